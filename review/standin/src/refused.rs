//! At-most-once requests with large answers, at an entry VM that loses its path to the workers.

use std::fmt::Write as _;
use std::time::{Duration, Instant};

use hemlock_platform_standin::client_processes::ClientProcesses;
use hemlock_platform_standin::fixtures;
use hemlock_platform_standin::proxy::{Link, Proxy};
use hemlock_platform_standin::store::Store;

use crate::client::{Callers, Template};
use crate::node::{Vm, wait};
use crate::worker::{Service, Worker};

const SERVICE: Service = Service { work: Duration::from_millis(300), answer_bytes: 7_500_000 };
const WORKERS: usize = 4;
const VMS: usize = 4;
/// Callers read 4 MiB in a second, over links of some 32 Mbit/s.
const READ_PACE: Duration = Duration::from_millis(16);
/// Callers of the VM that is cut off; the others have none.
const CALLERS: usize = 12;
const CUT_AT: Duration = Duration::from_secs(3);
const CUT_FOR: Duration = Duration::from_secs(8);
const LENGTH: Duration = Duration::from_secs(13);

pub fn run(record: &str, trouble: bool) -> u8 {
    let dir = tempfile::tempdir().expect("a temporary folder");
    let (store, links) = (Store::spawn(), ClientProcesses::default());
    let workers: Vec<Worker> = (0..WORKERS).map(|i| Worker::spawn(&format!("p{i}"), SERVICE)).collect();
    for worker in &workers {
        let proxy = Proxy::spawn_for(worker.address, &links).expect("the proxy starts");
        worker.list(&store, "plain", proxy.address());
    }
    let mut config = fixtures::config(1);
    config["limits"]["maxBodyBytes"] = (4 << 20).into();
    fixtures::publish_config(&store, &config);
    let vms: Vec<Vm> = (0..VMS).map(|i| Vm::new(dir.path(), &format!("entry-{i}"), store.address())).collect();
    let children: Vec<_> = vms.iter().map(Vm::start).collect();
    for (vm, child) in vms.iter().zip(&children) {
        links.register(&vm.name, child.pid());
    }
    let is_up = |vm: &Vm| vm.is_ready() && vm.log_lines("event=serving").len() >= WORKERS;
    let ready = wait(Duration::from_secs(10), || vms.iter().all(is_up));
    let callers = Callers::default();
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
            read_pace: READ_PACE,
        };
        let threads: Vec<_> = (0..CALLERS).map(|_| callers.start(start, vms[0].front, template.clone())).collect();
        std::thread::sleep(CUT_AT);
        if trouble {
            links.set_link(&vms[0].name, Link::Silent);
        }
        std::thread::sleep(CUT_FOR);
        links.set_link(&vms[0].name, Link::Open);
        std::thread::sleep(LENGTH.saturating_sub(start.elapsed()));
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
    for t in &tries {
        let times = runs.iter().filter(|id| **id == t.id).count();
        let is_broken = times > 0 && matches!(t.status, 408 | 421 | 429 | 503) || times > 1;
        broken += usize::from(is_broken);
        let _ = writeln!(text, "{} to {} ms: {} status={} runs={times}{}", t.sent_ms, t.ended_ms, t.id, t.status, if is_broken { " BROKEN" } else { "" });
    }
    let count = |status: u16| tries.iter().filter(|t| t.status == status).count();
    let summary = format!(
        "requests {}, 200: {}, 502: {}, 503: {}, 504: {}, refused though they ran, or ran twice: {broken} (0 allowed); {} ms\n",
        tries.len(), count(200), count(502), count(503), count(504), start.elapsed().as_millis()
    );
    print!("{summary}");
    for line in vms[0].log_lines("event=path").iter().chain(vms[0].log_lines("too_large").iter().take(3)) {
        let _ = writeln!(text, "{line}");
    }
    std::fs::write(record, summary + &text).expect("the record is written");
    u8::from(broken > 0)
}
