//! Entries that the store executes late, behind newer ones, and endpoints whose clocks go back.

use std::time::{Duration, Instant};

use hemlock_platform_standin::endpoint::Endpoint;
use hemlock_platform_standin::fixtures;
use serde_json::{Value, json};

use crate::node_process::NodeProcess;

/// Time within which an endpoint must be listed whose clock went back when it restarted: the store drops
/// the entries of silent endpoints after 3.6 s.
const RESTART_LIMIT: Duration = Duration::from_secs(7);

/// Guards against review case 8 with a real process: an entry of before its join makes no member of a group that
/// serves join another one.
#[test]
fn late_entry_takes_no_engine_out_of_its_group() {
    let (node, engines) = NodeProcess::with_engines();
    node.wait_until("a group serves", |n| {
        !n.log_lines("event=serving").is_empty()
    });
    std::thread::sleep(Duration::from_millis(500));
    let count = |e: &Endpoint| {
        let orders = e.orders();
        orders.iter().filter(|o| o["operation"] != "phase").count()
    };
    let before: Vec<usize> = engines.iter().map(count).collect();
    for engine in &engines {
        let mut late = fixtures::entry("models", engine.address(), 1_000, 0);
        late["domain"] = json!("d1");
        (late["staged"], late["models"]) = (json!(["m"]), json!([]));
        late["group"] = Value::Null;
        fixtures::publish_entry(&node.store, engine.id(), &late.to_string());
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let after: Vec<usize> = engines.iter().map(count).collect();
    assert_eq!(after, before, "{:#?}", node.log_lines("event=order"));
    let ignored = node.log_lines("event=entry_ignored");
    assert!(ignored.iter().any(|l| l.contains("cause=outdated")));
}

/// Guards against DRAIN broken by a late entry: a plain endpoint that drains gets no request.
#[test]
fn late_entry_makes_no_draining_endpoint_available() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    plain[0].drain();
    node.wait_until("the endpoint drains", |n| {
        !n.log_lines("change=draining id=p1").is_empty()
    });
    let runs = plain[0].runs().len();
    let late = fixtures::entry("plain", plain[0].address(), 1_000, 0);
    fixtures::publish_entry(&node.store, "p1", &late.to_string());
    std::thread::sleep(Duration::from_millis(300));
    for i in 0..20 {
        let response = node.send("GET", "/plain/a", &format!("r{i}"), "", "");
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert_eq!(plain[0].runs().len(), runs);
}

#[test]
fn endpoint_whose_clock_went_back_at_its_restart_is_used() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    node.wait_until("the endpoints are listed", |n| {
        !n.log_lines("change=listed id=p1").is_empty()
    });
    let restarted = fixtures::entry("plain", plain[0].address(), 500, 0);
    fixtures::publish_entry(&node.store, "p1", &restarted.to_string());
    let since = Instant::now();
    let is_listed = || {
        let lines = node.log_lines("change=listed id=p1");
        lines.iter().any(|l| l.contains("start=500"))
    };
    while !is_listed() {
        assert!(
            since.elapsed() < RESTART_LIMIT,
            "{:#?}",
            node.log_lines("id=p1")
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}
