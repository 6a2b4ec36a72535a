//! At-most-once requests with large answers, at an entry VM whose open connections to the
//! workers go silent.

use std::fmt::Write as _;
use std::time::{Duration, Instant};

use hemlock_platform_standin::fixtures;
use hemlock_platform_standin::store::Store;

use crate::client::{Callers, Template};
use crate::node::{TempFolder, Vm, wait};
use crate::worker::{Service, Worker};

const SERVICE: Service = Service {
    work: Duration::from_millis(300),
    answer_bytes: 7_500_000,
};
const WORKERS: usize = 4;
const VMS: usize = 4;
/// Callers read 4 MiB in a second, over links of some 32 Mbit/s.
const READ_PACE: Duration = Duration::from_millis(16);
/// Callers of the first VM; the others have none.
const CALLERS: usize = 14;
/// Times that the open connections to the workers go silent, and the time between.
const SILENCES: u32 = 3;
const INTERVAL: Duration = Duration::from_secs(5);

pub fn run(record: &str, trouble: bool) -> u8 {
    let dir = TempFolder::new();
    let store = Store::spawn();
    let workers: Vec<Worker> = (0..WORKERS)
        .map(|i| Worker::spawn(&format!("p{i}"), SERVICE))
        .collect();
    for worker in &workers {
        worker.list(&store, "plain", worker.address);
    }
    let mut config = fixtures::config(1);
    config["limits"]["maxBodyBytes"] = (4 << 20).into();
    fixtures::publish_config(&store, &config);
    let vms: Vec<Vm> = (0..VMS)
        .map(|i| Vm::new(dir.path(), &format!("entry-{i}"), store.address()))
        .collect();
    let children: Vec<_> = vms.iter().map(Vm::start).collect();
    let is_up = |vm: &Vm| vm.is_ready() && vm.log_lines("event=serving").len() >= WORKERS;
    let ready = wait(Duration::from_secs(10), || vms.iter().all(is_up));
    let callers = Callers::default();
    let mut silenced = Vec::new();
    let start = Instant::now();
    if ready {
        // The VMs learn each other's secrets with the second reading of the members.
        std::thread::sleep(Duration::from_secs(4));
        let start = Instant::now();
        let template = Template {
            target: "/once/a".to_owned(),
            headers: String::new(),
            body: 600,
            deadline_ms: 3_000,
            pause: Duration::from_millis(20),
            send_pace: Duration::ZERO,
            read_pace: READ_PACE,
        };
        let threads: Vec<_> = (0..CALLERS)
            .map(|_| callers.start(start, vms[0].front, template.clone()))
            .collect();
        for _ in 0..SILENCES {
            std::thread::sleep(INTERVAL);
            if trouble {
                silenced.push(start.elapsed().as_millis());
                workers.iter().for_each(Worker::silence_open_connections);
            }
        }
        std::thread::sleep(INTERVAL);
        callers.stop();
        threads.into_iter().for_each(|t| drop(t.join()));
    }
    drop(children);
    if !ready {
        return 2;
    }
    let runs: Vec<String> = workers.iter().flat_map(Worker::runs).collect();
    let tries = callers.tries();
    let mut text = String::new();
    let mut broken = 0;
    let _ = writeln!(
        text,
        "open connections to workers go silent at {silenced:?} ms"
    );
    for t in &tries {
        let times = runs.iter().filter(|id| **id == t.id).count();
        let is_broken = times > 0 && matches!(t.status, 408 | 421 | 429 | 503) || times > 1;
        broken += usize::from(is_broken);
        let _ = writeln!(
            text,
            "{} to {} ms: {} status={} runs={times}{}",
            t.sent_ms,
            t.ended_ms,
            t.id,
            t.status,
            if is_broken { " BROKEN" } else { "" }
        );
    }
    let count = |status: u16| tries.iter().filter(|t| t.status == status).count();
    let summary = format!(
        "requests {}, 200: {}, 502: {}, 503: {}, 504: {}, refused though they ran, or ran twice: {broken} (0 allowed); {} ms\n",
        tries.len(),
        count(200),
        count(502),
        count(503),
        count(504),
        start.elapsed().as_millis()
    );
    print!("{summary}");
    for line in vms[0]
        .log_lines("event=path")
        .iter()
        .chain(vms[0].log_lines("too_large").iter().take(3))
    {
        let _ = writeln!(text, "{line}");
    }
    std::fs::write(record, summary + &text).expect("the record is written");
    u8::from(broken > 0)
}
