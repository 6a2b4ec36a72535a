use hemlock_platform_standin::caller;
use hemlock_platform_standin::store::Mode as StoreMode;
use hemlock_platform_standin::worker::{Mode, Worker};

use crate::node_process::{NodeProcess, config, request, route};

#[test]
fn without_a_configuration_it_is_not_ready_and_refuses() {
    let node = NodeProcess::unconfigured();
    node.wait("it listens", |s| s.ready_status() == 503);
    let got = node.send("GET", "/plain/a", "r1", "", "");
    assert_eq!(got.status, 503);
    assert!(got.header("retry-after").is_some());
}

#[test]
fn unknown_keys_and_routes_are_denied() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    let text = request("GET", "/plain/a", "r1", "", "").replace("key-1", "other");
    assert_eq!(caller::send(node.front, &text).status, 401);
    assert_eq!(node.send("GET", "/nowhere/a", "r2", "", "").status, 404);
    assert!(plain.iter().all(|w| w.runs().is_empty()));
}

/// While the store is away, a key that is unknown here may be known by now.
#[test]
fn without_the_store_unknown_keys_are_refused_not_denied() {
    let (node, _plain) = NodeProcess::with_plain_endpoints();
    node.store.set_mode(StoreMode::Refuse(503));
    node.wait("the loss is known", |s| {
        !s.lines("event=store_lost topic=Config").is_empty()
    });
    let text = request("GET", "/plain/a", "r1", "", "").replace("key-1", "other");
    assert_eq!(caller::send(node.front, &text).status, 503);
    assert_eq!(node.send("GET", "/plain/a", "r2", "", "").status, 200);
}

#[test]
fn a_refusal_says_truly_that_nothing_ran() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    plain.iter().for_each(|w| w.set_mode(Mode::Full));
    let got = node.send("POST", "/once/a", "r1", "", "x");
    assert_eq!(got.status, 503);
    let after: f64 = got.header("retry-after").unwrap().parse().unwrap();
    assert!((0.05..2.0).contains(&after));
    assert!(plain.iter().all(|w| w.runs().is_empty()));
}

#[test]
fn a_full_endpoint_passes_its_requests_to_another() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    plain[0].set_mode(Mode::Full);
    for i in 0..6 {
        let got = node.send("POST", "/once/a", &format!("r{i}"), "", "x");
        assert_eq!(got.status, 200, "{got:?}");
    }
    assert_eq!(plain[1].runs().len(), 6);
}

#[test]
fn a_new_configuration_is_in_force_at_once_and_never_goes_back() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    let mut next = config(5);
    next["tenants"][0]["apiKeys"] = serde_json::json!(["key-2"]);
    next["routes"]
        .as_array_mut()
        .unwrap()
        .push(route("/new/", "idempotent", "plain"));
    node.configure(&next);
    node.wait("it is read", |s| {
        !s.lines("event=config version=5").is_empty()
    });
    node.configure(&config(3));
    assert_eq!(node.send("GET", "/plain/a", "r1", "", "").status, 401);
    let text = request("GET", "/new/a", "r2", "", "").replace("key-1", "key-2");
    assert_eq!(caller::send(node.front, &text).status, 200);
    assert_eq!(plain.iter().map(|w| w.runs().len()).sum::<usize>(), 1);
}

#[test]
fn a_request_that_breaks_endpoints_is_refused_in_the_end() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    let more = ["p3", "p4"].map(|n| Worker::spawn(&node.store, n, "plain", None));
    node.wait("four serve", |s| s.lines("event=serving").len() >= 4);
    let all: Vec<&Worker> = plain.iter().chain(&more).collect();
    all.iter().for_each(|w| w.set_mode(Mode::LoseAnswers));
    let mut refused = 0;
    for i in 0..12 {
        let got = node.send("POST", "/once/bad", &format!("r{i}"), "", "poison");
        refused += usize::from(got.status == 503);
    }
    let ran: usize = all.iter().map(|w| w.runs().len()).sum();
    assert!(refused >= 1 && ran + refused == 12, "{refused} {ran}");
    node.wait("the log names the cause", |s| {
        !s.lines("cause=breaks_endpoints").is_empty()
    });
}

#[test]
fn addresses_are_told_only_when_it_is_ready() {
    let node = NodeProcess::unconfigured();
    node.wait("it listens", |s| s.ready_status() == 503);
    let ask = "GET /v1/resolve?name=site.example&region=r&zone=z1 HTTP/1.1\r\nHost: a\r\n\r\n";
    assert_eq!(caller::send(node.directory, ask).status, 503);
    let _plain = Worker::spawn(&node.store, "p1", "plain", None);
    node.configure(&config(1));
    node.wait("it is ready", |s| s.ready_status() == 200);
    let got = caller::send(node.directory, ask);
    assert_eq!(got.status, 200);
    assert!(got.body.contains(&node.front.to_string()), "{got:?}");
}

#[test]
fn metrics_count_refusals_by_cause() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    plain.iter().for_each(|w| w.set_mode(Mode::Full));
    node.send("POST", "/once/a", "r1", "", "x");
    let got = caller::send(node.metrics, "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(
        got.body.contains("hemlock_refused_total{kind="),
        "{}",
        got.body
    );
    assert!(got.body.contains("hemlock_ready 1"), "{}", got.body);
}
