//! Many callers at once with bodies within the limits of the configuration, at an entry VM with the
//! memory limit of the sheet.

use std::fmt::Write as _;
use std::time::{Duration, Instant};

use hemlock_platform_standin::fixtures;
use hemlock_platform_standin::store::Store;

use crate::client::{Callers, ENDED, GAVE_UP, Template};
use crate::node::{TempFolder, Vm, memory_kb, wait};
use crate::worker::{Service, Worker};

/// `limits.memoryMb` of the settings and of the sheet. The platform ends a process above it.
const MEMORY_KB: u64 = 260 << 10;
/// `maxBodyBytes` of the configuration, as in the example of the pages.
const BODY_BYTES: usize = 4 << 20;
/// Callers without the burst, and those that the burst adds: 1.7 times as many in all.
const CALLERS: usize = 19;
const BURST_CALLERS: usize = 13;
const BURST_AT: Duration = Duration::from_secs(6);
const BURST_FOR: Duration = Duration::from_secs(3);
/// A body takes 1.1 s or more, at 29 Mbit/s: all callers together need less than the 1,000 Mbit/s of the sheet's
/// link, so that the VM doesn't count as choked.
const SEND_PACE: Duration = Duration::from_millis(18);
const LENGTH: Duration = Duration::from_secs(12);
/// Time after which the platform starts a process again that has ended.
const RESTART_TIME: Duration = Duration::from_millis(500);
const WORKERS: usize = 4;
const SERVICE: Service = Service {
    work: Duration::from_millis(1_600),
    answer_bytes: 800,
};

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
    config["limits"]["maxBodyBytes"] = BODY_BYTES.into();
    config["limits"]["idleTimeoutMs"] = 15_000.into();
    fixtures::publish_config(&store, &config);
    let vm = Vm::new(dir.path(), "entry-0", store.address());
    let mut daemon = vm.start();
    let is_up = || vm.is_ready() && vm.log_lines("event=serving").len() >= WORKERS;
    if !wait(Duration::from_secs(10), is_up) {
        return 2;
    }
    let (callers, burst) = (Callers::default(), Callers::default());
    let template = Template {
        target: "/plain/a".to_owned(),
        headers: String::new(),
        body: BODY_BYTES,
        deadline_ms: 4_000,
        pause: Duration::from_millis(20),
        send_pace: SEND_PACE,
        read_pace: Duration::ZERO,
    };
    let start = Instant::now();
    let go = |callers: &Callers| callers.start(start, vm.front, template.clone());
    let mut threads: Vec<_> = (0..CALLERS).map(|_| go(&callers)).collect();
    let mut text = String::new();
    let (mut peak, mut ends, mut has_burst) = (0, 0, false);
    while start.elapsed() < LENGTH {
        if trouble && !has_burst && start.elapsed() >= BURST_AT {
            has_burst = true;
            threads.extend((0..BURST_CALLERS).map(|_| go(&burst)));
        }
        if start.elapsed() >= BURST_AT + BURST_FOR {
            burst.stop();
        }
        let memory = memory_kb(daemon.pid());
        peak = peak.max(memory);
        if memory > MEMORY_KB {
            ends += 1;
            let at = start.elapsed().as_millis();
            let _ = writeln!(text, "{at} ms: the process has {memory} kB and is ended");
            daemon.kill();
            std::thread::sleep(RESTART_TIME);
            daemon = vm.start();
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    callers.stop();
    threads.into_iter().for_each(|t| drop(t.join()));
    drop(daemon);
    let runs: Vec<String> = workers.iter().flat_map(Worker::runs).collect();
    let mut tries = callers.tries();
    tries.extend(burst.tries());
    let mut lost = 0;
    for t in &tries {
        let has_run = runs.contains(&t.id);
        let is_lost = t.is_kept && t.status == ENDED && has_run;
        lost += usize::from(is_lost);
        let note = if is_lost { " LOST" } else { "" };
        let _ = writeln!(
            text,
            "{} to {} ms: {} kept={} status={} run={has_run}{note}",
            t.sent_ms, t.ended_ms, t.id, t.is_kept, t.status
        );
    }
    let count = |status: u16| tries.iter().filter(|t| t.status == status).count();
    let summary = format!(
        "requests {}, 200: {}, 502: {}, 503: {}, ended: {}, gave up: {}; peak memory {peak} kB of {MEMORY_KB} kB, ends for memory {ends}; \
         passed on from kept connections and closed without an answer: {lost} (3 allowed)\n",
        tries.len(),
        count(200),
        count(502),
        count(503),
        count(ENDED),
        count(GAVE_UP)
    );
    print!("{summary}");
    std::fs::write(record, summary + &text).expect("the record is written");
    u8::from(lost > 3)
}
