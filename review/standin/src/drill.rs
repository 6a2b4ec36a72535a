//! A drill of the store: it is away for a moment and comes back from a copy some seconds old, while all
//! processes of the system start again.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hemlock_platform_standin::store::{Mode, Store};
use hemlock_platform_standin::{caller, fixtures};
use serde_json::json;

use crate::engine::{Engines, LOAD_TIME, WARMUP_TIME};
use crate::node::{TempFolder, Vm, wait};

const VMS: usize = 3;
/// Age of the copy.
const COPY_AGE: Duration = Duration::from_millis(4_000);
/// Time for which the store is away.
const AWAY_FOR: Duration = Duration::from_millis(1_000);
/// Time after which the platform starts a killed process again.
const RESTART_TIME: Duration = Duration::from_millis(500);
/// Time between the answer to a request and the next request.
const CALL_INTERVAL: Duration = Duration::from_millis(2_000);
const COPY_INTERVAL: Duration = Duration::from_millis(100);

/// Plays the drill and the kills, if they are wanted; returns the exit code of the script.
pub fn run(record: &str, kill: bool, drill: bool) -> u8 {
    let dir = TempFolder::new();
    let store = Store::spawn();
    let engines = Engines::new(&store);
    for i in 0..4 {
        engines.spawn(&format!("e{i}"));
    }
    let mut config = fixtures::config(1);
    let engine = &mut config["services"][1]["engine"];
    engine["slots"] = 17.into();
    engine["models"][0]["loadS"] = LOAD_TIME.as_secs_f64().into();
    engine["models"][0]["warmupS"] = WARMUP_TIME.as_secs_f64().into();
    config["limits"] = json!({"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000});
    fixtures::publish_config(&store, &config);
    let vms: Vec<Vm> = (0..VMS)
        .map(|i| Vm::new(dir.path(), &format!("entry-{i}"), store.address()))
        .collect();
    let mut daemons: Vec<_> = vms.iter().map(Vm::start).collect();
    if !wait(Duration::from_secs(20), || engines.serving() == 4) {
        eprintln!("the first groups don't serve");
        return 2;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let callers = {
        let (stop, answers, engines) = (stop.clone(), answers.clone(), engines.clone());
        let fronts: Vec<_> = vms.iter().map(|vm| vm.front).collect();
        std::thread::spawn(move || {
            for number in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("r{number}");
                let headers = fixtures::stream_headers("m", 100, 40);
                let text = fixtures::request("POST", "/stream/a", &id, &headers, "text");
                let response = caller::send(fronts[number % fronts.len()], &text);
                let at = engines.millis();
                answers.lock().expect("no caller panics").push(format!(
                    "{at} ms: {id} status={} events={}",
                    response.status,
                    response.events().len()
                ));
                std::thread::sleep(CALL_INTERVAL);
            }
        })
    };
    std::thread::sleep(Duration::from_secs(2));
    // Planned work: six more engines come, load their weights and form three more groups.
    engines.note("six engines are added");
    for i in 4..10 {
        engines.spawn(&format!("e{i}"));
    }
    let mut copies = VecDeque::new();
    let until = Instant::now() + LOAD_TIME * 2;
    let mut formed_at = None;
    loop {
        copies.push_back((Instant::now(), store.copy()));
        copies.retain(|(at, _)| at.elapsed() <= COPY_AGE + COPY_INTERVAL);
        if engines.serving() == 10 {
            formed_at.get_or_insert(Instant::now());
        }
        if formed_at.is_some_and(|at: Instant| at.elapsed() >= COPY_AGE / 4) {
            break;
        }
        if Instant::now() > until {
            eprintln!("the new groups don't serve");
            return 2;
        }
        std::thread::sleep(COPY_INTERVAL);
    }
    if kill || drill {
        engines.note(&format!(
            "the store goes away: {drill}; all processes are killed: {kill}"
        ));
        if drill {
            store.set_mode(Mode::Refuse(503));
        }
        if kill {
            daemons.clear();
        }
        std::thread::sleep(RESTART_TIME);
        if kill {
            daemons = vms.iter().map(Vm::start).collect();
        }
        std::thread::sleep(AWAY_FOR - RESTART_TIME);
        if drill {
            let (at, copy) = copies.pop_front().expect("there is a copy");
            engines.note(&format!(
                "the store is back from a copy of {} ms ago",
                at.elapsed().as_millis()
            ));
            store.restore(copy);
            store.set_mode(Mode::Up);
            fixtures::publish_config(&store, &config);
            engines.write_again();
        }
    }
    std::thread::sleep(Duration::from_secs(8));
    stop.store(true, Ordering::Relaxed);
    let _ = callers.join();
    drop(daemons);
    let (log, broken) = engines.record();
    let summary = format!(
        "orders {}, broken rules of groups {} (0 allowed), engines in open groups at the end {}\n",
        log.len(),
        broken.len(),
        engines.serving()
    );
    print!("{summary}");
    let answers = answers.lock().expect("no caller panics").join("\n");
    let text = format!(
        "{summary}\n{}\n\n{}\n\n{answers}\n",
        broken.join("\n"),
        log.join("\n")
    );
    std::fs::write(record, text).expect("the record is written");
    u8::from(!broken.is_empty())
}
