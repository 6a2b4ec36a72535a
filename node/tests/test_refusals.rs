use std::time::Duration;

use hemlock_platform_standin::caller;
use hemlock_platform_standin::endpoint::{Endpoint, Mode};
use hemlock_platform_standin::server::free_address;
use hemlock_platform_standin::store::Mode as StoreMode;

use crate::node_process::{NodeProcess, config, request, route};

#[test]
fn without_a_configuration_node_is_not_ready_and_refuses_requests() {
    let node = NodeProcess::unconfigured();
    node.wait_until("the node listens", |n| n.ready_status() == 503);
    let response = node.send("GET", "/plain/a", "r1", "", "");
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
}

#[test]
fn unknown_keys_and_routes_are_denied() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    let text = request("GET", "/plain/a", "r1", "", "").replace("key-1", "other");
    assert_eq!(caller::send(node.front, &text).status, 401);
    assert_eq!(node.send("GET", "/nowhere/a", "r2", "", "").status, 404);
    assert!(plain.iter().all(|e| e.runs().is_empty()));
}

/// While the store is unreachable, a newer configuration may know a key that this node does not
/// know.
#[test]
fn without_the_store_unknown_keys_are_refused_not_denied() {
    let (node, _plain) = NodeProcess::with_plain_endpoints();
    node.store.set_mode(StoreMode::Refuse(503));
    node.wait_until("the node notices the loss of the store", |n| {
        !n.log_lines("event=store_lost topic=Config").is_empty()
    });
    let text = request("GET", "/plain/a", "r1", "", "").replace("key-1", "other");
    assert_eq!(caller::send(node.front, &text).status, 503);
    assert_eq!(node.send("GET", "/plain/a", "r2", "", "").status, 200);
}

#[test]
fn refused_request_ran_nowhere_and_may_be_retried_soon() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    plain.iter().for_each(|e| e.set_mode(Mode::Full));
    let response = node.send("POST", "/once/a", "r1", "", "x");
    assert_eq!(response.status, 503);
    let retry_after: f64 = response.header("retry-after").unwrap().parse().unwrap();
    assert!((0.05..2.0).contains(&retry_after));
    assert!(plain.iter().all(|e| e.runs().is_empty()));
}

#[test]
fn request_refused_by_a_full_endpoint_is_sent_to_another() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    plain[0].set_mode(Mode::Full);
    for i in 0..6 {
        let response = node.send("POST", "/once/a", &format!("r{i}"), "", "x");
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert_eq!(plain[1].runs().len(), 6);
}

#[test]
fn newer_configuration_takes_effect_and_an_older_one_is_ignored() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    let mut next = config(5);
    next["tenants"][0]["apiKeys"] = serde_json::json!(["key-2"]);
    next["routes"]
        .as_array_mut()
        .unwrap()
        .push(route("/new/", "idempotent", "plain"));
    node.configure(&next);
    node.wait_until("the configuration is read", |n| {
        !n.log_lines("event=config version=5").is_empty()
    });
    node.configure(&config(3));
    assert_eq!(node.send("GET", "/plain/a", "r1", "", "").status, 401);
    let text = request("GET", "/new/a", "r2", "", "").replace("key-1", "key-2");
    assert_eq!(caller::send(node.front, &text).status, 200);
    assert_eq!(plain.iter().map(|e| e.runs().len()).sum::<usize>(), 1);
}

#[test]
fn request_that_crashes_several_endpoints_is_quarantined() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    let more = ["p3", "p4"].map(|n| Endpoint::spawn(&node.store, n, "plain", None));
    node.wait_until("four endpoints serve", |n| {
        n.log_lines("event=serving").len() >= 4
    });
    let all: Vec<&Endpoint> = plain.iter().chain(&more).collect();
    all.iter().for_each(|e| e.set_mode(Mode::LoseAnswers));
    let mut refused = 0;
    for i in 0..12 {
        let response = node.send("POST", "/once/bad", &format!("r{i}"), "", "poison");
        refused += usize::from(response.status == 503);
    }
    let ran: usize = all.iter().map(|e| e.runs().len()).sum();
    assert!(refused >= 1 && ran + refused == 12, "{refused} {ran}");
    node.wait_until("the cause is logged", |n| {
        !n.log_lines("cause=breaks_endpoints").is_empty()
    });
}

#[test]
fn endpoint_that_says_it_leaves_gets_no_request_after_the_drain_time() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    plain[0].set_leaving(true);
    let mut count = 0;
    while plain[0].arrivals() == 0 {
        count += 1;
        node.send("GET", "/plain/a", &format!("r{count}"), "", "");
    }
    // The drain time of the fixture's settings.
    std::thread::sleep(Duration::from_secs(2));
    let before = plain[0].arrivals();
    for i in 0..20 {
        let response = node.send("GET", "/plain/a", &format!("late{i}"), "", "");
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert_eq!(plain[0].arrivals(), before);
    // The store lists it as available, and it may write its entry again.
    plain[0].publish_entry();
    node.send("GET", "/plain/a", "r", "", "");
    assert_eq!(plain[0].arrivals(), before);
}

#[test]
fn endpoint_that_asks_to_be_left_alone_gets_no_request_meanwhile() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    plain[0].set_mode(Mode::FullFor(4));
    let mut count = 0;
    while plain[0].arrivals() == 0 {
        count += 1;
        node.send("GET", "/plain/a", &format!("r{count}"), "", "");
    }
    std::thread::sleep(Duration::from_millis(500));
    let before = plain[0].arrivals();
    for i in 0..30 {
        let response = node.send("GET", "/plain/a", &format!("late{i}"), "", "");
        assert_eq!(response.status, 200, "{response:?}");
        std::thread::sleep(Duration::from_millis(100));
    }
    let reached = plain[0].arrivals() - before;
    assert!(reached <= 2, "{reached} requests reached the endpoint");
}

#[test]
fn caller_is_told_when_endpoints_that_asked_to_be_left_alone_take_requests_again() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    plain.iter().for_each(|e| e.set_mode(Mode::FullFor(5)));
    for id in ["r1", "r2"] {
        let response = node.send("GET", "/plain/a", id, "", "");
        assert_eq!(response.status, 503);
        let retry_after: f64 = response.header("retry-after").unwrap().parse().unwrap();
        assert!((4.0..6.0).contains(&retry_after), "{retry_after}");
    }
    assert!(plain.iter().all(|e| e.arrivals() == 1));
}

#[test]
fn addresses_are_served_only_by_a_ready_node() {
    let node = NodeProcess::unconfigured();
    node.wait_until("the node listens", |n| n.ready_status() == 503);
    let lookup = "GET /v1/resolve?name=site.example&region=r&zone=z1 HTTP/1.1\r\nHost: a\r\n\r\n";
    assert_eq!(caller::send(node.directory, lookup).status, 503);
    let _plain = Endpoint::spawn(&node.store, "p1", "plain", None);
    node.configure(&config(1));
    node.wait_until("the node is ready", |n| n.ready_status() == 200);
    let response = caller::send(node.directory, lookup);
    assert_eq!(response.status, 200);
    assert!(
        response.body.contains(&node.front.to_string()),
        "{response:?}"
    );
}

#[test]
fn metrics_count_refusals_by_cause() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    plain.iter().for_each(|e| e.set_mode(Mode::Full));
    node.send("POST", "/once/a", "r1", "", "x");
    let response = caller::send(node.metrics, "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(
        response.body.contains("hemlock_refused_total{kind="),
        "{}",
        response.body
    );
    assert!(
        response.body.contains("hemlock_ready 1"),
        "{}",
        response.body
    );
}

/// Only what may have arrived at an endpoint is repeated by the next send.
#[test]
fn connects_that_fail_draw_no_retry_budget_and_are_few() {
    let node = NodeProcess::unconfigured();
    for name in ["p1", "p2", "p3", "p4", "p5"] {
        Endpoint::spawn(&node.store, name, "plain", None).publish_entry_at(free_address());
    }
    node.configure(&config(1));
    node.wait_until("five endpoints serve", |n| {
        n.log_lines("event=serving").len() >= 5
    });
    let response = node.send("POST", "/once/a", "r1", "", "x");
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.header("retry-after").is_some(), "{response:?}");
    let metrics = caller::send(node.metrics, "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(
        metrics.body.contains("hemlock_refused_total"),
        "{metrics:?}"
    );
    assert!(!metrics.body.contains("hemlock_repeat"), "{metrics:?}");
    node.wait_until("the refusal is logged", |n| {
        !n.log_lines("event=refused request=r1").is_empty()
    });
    assert!(node.log_lines("event=sent request=r1").len() <= 3);
}
