use std::time::{Duration, Instant};

use hemlock_platform_standin::caller::Response;
use hemlock_platform_standin::endpoint::Endpoint;
use hemlock_platform_standin::fixtures::{prompt_parts, stream_headers};

use crate::node_process::{NodeProcess, config};

const CRASHING_PART: &str = "bad0";
/// Time after the fifth crash from which at most [`LATE_LIMIT`] requests with the part may reach
/// engines.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const LATE_LIMIT: usize = 3;

/// Starts a daemon and ten engines that a part crashes, and waits until they serve.
fn spawn() -> (NodeProcess, Vec<Endpoint>) {
    let node = NodeProcess::unconfigured();
    let engine = |i: usize| {
        let domain = format!("d{}", i / 5);
        Endpoint::spawn(&node.store, &format!("e{i}"), "models", Some(&domain))
    };
    let engines: Vec<Endpoint> = (0..10).map(engine).collect();
    for engine in &engines {
        engine.set_crashing_part(Some(CRASHING_PART));
    }
    node.configure(&config(1));
    node.wait_until("four groups serve", |n| {
        n.log_lines("event=serving").len() >= 4
    });
    (node, engines)
}

/// Sends a stream whose prompt has the shared parts `first` and `second`; no two requests are alike.
fn send(node: &NodeProcess, first: &str, second: &str, number: u64) -> Response {
    let headers = stream_headers("m", 200, 150) + &prompt_parts(first, second, number);
    let (id, body) = (format!("r{number}"), format!("prompt {number}"));
    node.send("POST", "/stream/a", &id, &headers, &body)
}

fn crashes(engines: &[Endpoint]) -> usize {
    engines.iter().map(|e| e.crashes().len()).sum()
}

/// Returns how often requests with the crashing part reached engines.
fn crashing_runs(engines: &[Endpoint]) -> usize {
    let runs = engines.iter().flat_map(Endpoint::runs);
    runs.filter(|r| r.shares_part(CRASHING_PART)).count()
}

/// Sends requests with the crashing part until five engines have crashed and the stable window is
/// over. Returns the number of requests sent.
fn crash_five_engines(node: &NodeProcess, engines: &[Endpoint]) -> u64 {
    let start = Instant::now();
    let mut fifth_crash = None;
    let mut number = 0;
    while fifth_crash.is_none_or(|t: Instant| t.elapsed() < STABLE_WINDOW) {
        assert!(start.elapsed() < Duration::from_secs(40), "too few crashes");
        number += 1;
        send(node, "a1", CRASHING_PART, number);
        if fifth_crash.is_none() && crashes(engines) >= 5 {
            fifth_crash = Some(Instant::now());
        }
        // The part is refused before five engines have crashed.
        if number > 40 && fifth_crash.is_none() {
            break;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    number
}

#[test]
fn different_requests_that_share_a_crashing_part_stop_reaching_engines() {
    let (node, engines) = spawn();
    let sent = crash_five_engines(&node, &engines);
    let before = crashing_runs(&engines);
    for number in 1..=20 {
        send(&node, "a1", CRASHING_PART, sent + number);
        std::thread::sleep(Duration::from_millis(50));
    }
    let late = crashing_runs(&engines) - before;
    assert!(late <= LATE_LIMIT, "{late} requests reached engines");
}

#[test]
fn crashing_part_is_found_when_answers_end_with_the_connection() {
    let (node, engines) = spawn();
    for engine in &engines {
        engine.set_ends_with_connection(true);
    }
    let sent = crash_five_engines(&node, &engines);
    let before = crashing_runs(&engines);
    for number in 1..=20 {
        let response = send(&node, "a1", CRASHING_PART, sent + number);
        assert!(response.status != 200 || !response.complete, "{response:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
    let late = crashing_runs(&engines) - before;
    assert!(late <= LATE_LIMIT, "{late} requests reached engines");
}

#[test]
fn sound_requests_with_the_caller_and_first_part_of_crashing_ones_are_served() {
    let (node, engines) = spawn();
    let sent = crash_five_engines(&node, &engines);
    // Groups form again within the stable window.
    std::thread::sleep(STABLE_WINDOW);
    let mut served = 0;
    for number in 1..=40 {
        send(&node, "a1", CRASHING_PART, sent + 2 * number);
        let response = send(&node, "a1", "c0de", sent + 2 * number + 1);
        served += usize::from(response.status == 200 && response.complete);
    }
    assert!(served >= 20, "{served} of 40 served");
}

#[test]
fn vms_that_saw_no_crash_or_start_later_refuse_a_crashing_part() {
    let (node, engines) = spawn();
    let other = node.spawn_peer("entry-2");
    other.wait_until("the VMs hear from each other", |n| {
        n.log_lines("event=peer_regained").len() == 1 && n.ready_status() == 200
    });
    let sent = crash_five_engines(&node, &engines);
    let late = node.spawn_peer("entry-3");
    late.wait_until("the VM hears from the others", |n| {
        n.log_lines("event=peer_regained").len() == 2 && n.ready_status() == 200
    });
    std::thread::sleep(STABLE_WINDOW);
    let before = crashing_runs(&engines);
    for number in 1..=10 {
        send(&other, "a1", CRASHING_PART, sent + 2 * number);
        send(&late, "a1", CRASHING_PART, sent + 2 * number + 1);
    }
    let reached = crashing_runs(&engines) - before;
    assert!(reached <= LATE_LIMIT, "{reached} requests reached engines");
}
