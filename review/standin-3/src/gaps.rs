//! An entry VM is stopped while streams whose event ids increase by more than one pass through it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use hemlock_platform_standin::caller;
use hemlock_platform_standin::fixtures;
use hemlock_platform_standin::store::Store;
use serde_json::json;

use crate::harness::{GRACE, Record, STABLE_WINDOW, TempFolder, Verdict, lock, start_nodes};
use crate::worker::{Action, Events, Request, Worker};

const WORKERS: usize = 6;
const CALLERS: usize = 6;
/// Events of a stream, and the time before each.
const EVENTS: u64 = 20;
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Tokens of an event, by which the ids increase.
const TOKENS: u64 = 5;
/// Times before and after SIGTERM in which callers send requests.
const BEFORE: Duration = Duration::from_secs(3);
const AFTER: Duration = Duration::from_secs(2);
const DEADLINE: Duration = Duration::from_secs(6);
/// Time after the grace time that still counts as planned work.
const AFTER_GRACE: Duration = Duration::from_secs(1);

/// A request, and how its connection ended.
struct Sent {
    id: String,
    at: Instant,
    ended: Instant,
    status: u16,
    is_complete: bool,
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    match try_run(record, has_trouble) {
        Ok(verdict) => verdict,
        Err(cause) => Verdict::CouldNotRun(cause),
    }
}

fn try_run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let folder = TempFolder::new().map_err(|e| e.to_string())?;
    let store = Store::spawn();
    let mut config = fixtures::config(1);
    fixtures::set_timeout(&mut config, "/stream/", DEADLINE);
    for route in config["routes"].as_array_mut().into_iter().flatten() {
        if route["pathPrefix"] == "/stream/" {
            route["service"] = json!("plain");
            route["backends"] = json!([{"service": "plain", "weight": 1.0}]);
            route["resumable"] = json!(true);
            route["maxAttempts"] = json!(2);
        }
    }
    fixtures::publish_config(&store, &config);

    let events = Events {
        count: EVENTS,
        id_step: if has_trouble { TOKENS } else { 1 },
        interval: EVENT_INTERVAL,
    };
    // Numbers of runs by request.
    let runs: Arc<Mutex<BTreeMap<String, usize>>> = Arc::default();
    let (own_record, own_runs) = (record.clone(), runs.clone());
    let decide = Arc::new(move |worker: &Worker, request: &Request| {
        let after = request.header("last-event-id");
        own_record.add(format!(
            "{} runs {} after event {after:?}",
            worker.id,
            request.id()
        ));
        *lock(&own_runs).entry(request.id().to_owned()).or_default() += 1;
        Action::Stream(events)
    });
    let mut workers = Vec::new();
    for number in 1..=WORKERS {
        let worker = Worker::start(
            &store,
            &format!("i-{number}"),
            "plain",
            decide.clone(),
            None,
        );
        workers.push(worker.map_err(|e| e.to_string())?);
    }
    let mut nodes = start_nodes(2, &store, &folder)?;
    thread::sleep(STABLE_WINDOW + Duration::from_secs(1));
    record.add("all entry VMs are ready");

    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let front = nodes[0].front;
    let until = Instant::now() + BEFORE + AFTER;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (sent, record) = (sent.clone(), record.clone());
            thread::spawn(move || call(caller, front, until, &sent, &record))
        })
        .collect();
    thread::sleep(BEFORE);
    nodes[0].terminate();
    let stopped = Instant::now();
    record.add("front-1 gets SIGTERM");
    for caller in callers {
        let _ = caller.join();
    }
    let was_killed = nodes[0].wait_end();
    record.add(format!("front-1 has ended, by SIGKILL: {was_killed}"));

    let (sent, runs) = (lock(&sent), lock(&runs));
    let planned = |s: &&Sent| s.ended >= stopped && s.at < stopped + GRACE + AFTER_GRACE;
    // No stream lasts until its deadline or the end of the grace time unless it is held up.
    let is_excused = |s: &Sent| {
        let is_overdue = s.ended.duration_since(s.at) >= DEADLINE;
        is_overdue || s.ended >= stopped + GRACE.mul_f64(5.0 / 6.0)
    };
    let is_lost = |s: &&Sent| {
        let has_run = runs.contains_key(&s.id);
        has_run && !s.is_complete && !is_excused(s)
    };
    let in_hand = sent.iter().filter(planned).count();
    let lost: Vec<&Sent> = sent.iter().filter(planned).filter(is_lost).collect();
    for s in &lost {
        record.add(format!("{} is lost, with status {}", s.id, s.status));
    }
    let lost_before = sent.iter().filter(|s| s.ended < stopped).filter(is_lost);
    let text = format!(
        "{} of {in_hand} streams that passed through an entry VM after its SIGTERM had reached a worker \
         and ended without a complete answer; none may ({} of {} before the SIGTERM)",
        lost.len(),
        lost_before.count(),
        sent.len() - in_hand
    );
    Ok(match lost.is_empty() {
        true if in_hand == 0 => return Err("no stream was in hand".to_owned()),
        true => Verdict::Held(text),
        false => Verdict::Broken(text),
    })
}

/// Sends one stream after the other.
fn call(
    caller: usize,
    front: std::net::SocketAddr,
    until: Instant,
    sent: &Mutex<Vec<Sent>>,
    record: &Record,
) {
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let id = format!("stream-{caller}-{number}");
        let headers = fixtures::stream_headers("m", 100, (EVENTS * TOKENS) as u32);
        let text = fixtures::request("POST", &format!("/stream/{id}"), &id, &headers, &id);
        let text = fixtures::with_deadline(&text, DEADLINE);
        let at = Instant::now();
        let response = caller::send(front, &text);
        let ended = Instant::now();
        record.add(format!(
            "{id}: {} after {} ms, events {:?}, complete {}",
            response.status,
            ended.duration_since(at).as_millis(),
            response.events(),
            response.complete
        ));
        lock(sent).push(Sent {
            id,
            at,
            ended,
            status: response.status,
            is_complete: response.complete,
        });
        thread::sleep(Duration::from_millis(50));
    }
}
