//! Limits that endpoints announce, which hold for all daemons together.

use std::time::{Duration, Instant};

use hemlock_platform_standin::endpoint::Endpoint;
use hemlock_platform_standin::proxy::Link;
use hemlock_platform_standin::store;

use crate::cluster::{Cluster, Try, check_others_serve, check_runs};

/// Time after the first announcement from which a limit holds.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Span over which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time for which callers send.
const SEND_TIME: Duration = Duration::from_secs(9);
/// Time within which a request is refused that can't be served.
const REFUSAL_LIMIT: Duration = Duration::from_millis(300);

/// Checks that no window after `from` has more arrivals than one and a half times the limit, and five.
fn check_held(endpoint: &Endpoint, from: Instant, per_second: f64) {
    let allowed = per_second * WINDOW.as_secs_f64() * 1.5 + 5.0;
    let times = endpoint.arrival_times();
    for begin in times.iter().filter(|t| **t >= from) {
        let count = times
            .iter()
            .filter(|t| (*begin..*begin + WINDOW).contains(t));
        let count = count.count();
        let after = begin.duration_since(from);
        assert!(
            count as f64 <= allowed,
            "{} got {count} requests in {WINDOW:?} from {after:?}, allowed {allowed}",
            endpoint.id()
        );
    }
}

fn arrivals_since(endpoint: &Endpoint, from: Instant) -> usize {
    let times = endpoint.arrival_times();
    times.iter().filter(|t| **t >= from).count()
}

fn of_kind<'a>(tries: &'a [Try], kind: &str) -> Vec<&'a Try> {
    tries.iter().filter(|t| t.id.contains(kind)).collect()
}

#[test]
fn limit_holds_for_all_vms_together_while_others_serve() {
    let cluster = Cluster::spawn();
    let plain = &cluster.endpoints[0];
    let head = cluster.group_heads()[0].clone();
    plain.set_limit(Some("2.5"));
    head.set_limit(Some("1.5"));
    let begin = Instant::now();
    let tries = cluster.send_for("r", SEND_TIME);
    check_others_serve(&tries, &[]);
    check_runs(&cluster, &tries);
    let settled = begin + SETTLE_TIME;
    for (endpoint, limit) in [(plain, 2.5), (&head, 1.5)] {
        check_held(endpoint, settled, limit);
        let used = arrivals_since(endpoint, settled);
        let possible = limit * (SEND_TIME - SETTLE_TIME).as_secs_f64();
        assert!(used as f64 >= possible / 2.0, "{used} of {possible}");
    }
}

#[test]
fn limit_holds_through_a_cut_a_standstill_a_restart_and_an_outage_of_the_store() {
    let mut cluster = Cluster::spawn();
    cluster
        .endpoints
        .iter()
        .for_each(|e| e.set_limit(Some("2")));
    let begin = Instant::now();
    let mut tries = cluster.send_for("first", SETTLE_TIME);
    cluster.set_link(0, Link::Silent);
    tries.extend(cluster.send_for("cut", SETTLE_TIME));
    cluster.set_link(0, Link::Open);
    cluster.nodes[1].signal("STOP");
    std::thread::sleep(Duration::from_secs(1));
    cluster.nodes[1].signal("CONT");
    tries.extend(cluster.send_for("stopped", SETTLE_TIME));
    cluster.nodes[0].store.set_mode(store::Mode::Silent);
    cluster.nodes[2].kill();
    tries.extend(cluster.send_for("killed", SETTLE_TIME));
    check_runs(&cluster, &tries);
    let settled = begin + SETTLE_TIME;
    for endpoint in &cluster.endpoints {
        check_held(endpoint, settled, 2.0);
    }
}

#[test]
fn endpoint_serves_as_before_once_its_limit_has_ended() {
    let cluster = Cluster::spawn();
    let plain: Vec<&Endpoint> = cluster.endpoints.iter().take(3).collect();
    plain.iter().for_each(|e| e.set_limit(Some("0.01")));
    cluster.send_for("limited", SETTLE_TIME);
    let before = Instant::now();
    let tries = cluster.send_for("held", Duration::from_secs(2));
    assert!(
        of_kind(&tries, "plain")
            .iter()
            .any(|t| t.response.status == 503)
    );
    assert!(plain.iter().all(|e| arrivals_since(e, before) < 20));
    plain.iter().for_each(|e| e.set_limit(None));
    cluster.send_for("ended", Duration::from_secs(10));
    let tries = cluster.send_for("free", Duration::from_secs(1));
    let served = of_kind(&tries, "plain")
        .iter()
        .filter(|t| t.is_served())
        .count();
    assert_eq!(served, of_kind(&tries, "plain").len());
}

#[test]
fn request_is_refused_at_once_if_all_endpoints_are_held_back() {
    let cluster = Cluster::spawn();
    cluster
        .endpoints
        .iter()
        .for_each(|e| e.set_limit(Some("1")));
    cluster.send_for("limited", SETTLE_TIME);
    let tries = cluster.send_for("held", Duration::from_secs(2));
    let refused: Vec<&Try> = tries.iter().filter(|t| t.response.status == 503).collect();
    assert!(
        refused.len() * 2 > tries.len(),
        "{} of {}",
        refused.len(),
        tries.len()
    );
    for t in &refused {
        assert!(t.time < REFUSAL_LIMIT, "{}: {:?}", t.id, t.time);
        assert!(t.response.header("Retry-After").is_some());
    }
    let node = &cluster.nodes[0];
    assert!(!node.log_lines("cause=limited").is_empty());
    assert!(node.log_lines("cause=full").is_empty());
}

#[test]
fn malformed_limit_neither_stops_nor_frees_an_endpoint_and_is_logged_once() {
    let values = [
        "0",
        "-1",
        "inf",
        "NaN",
        "1e9999",
        "99999999999",
        "1.5, 2",
        "",
        "fast",
    ];
    let cluster = Cluster::spawn();
    let set_values = || {
        let all = cluster.endpoints.iter().zip(values);
        all.for_each(|(e, value)| e.set_limit(Some(value)));
    };
    set_values();
    let tries = cluster.send_for("bad", Duration::from_secs(1));
    check_others_serve(&tries, &[]);
    let begin = Instant::now();
    cluster
        .endpoints
        .iter()
        .for_each(|e| e.set_limit(Some("1")));
    cluster.send_for("limited", SETTLE_TIME);
    set_values();
    cluster.send_for("bad-again", WINDOW);
    for endpoint in &cluster.endpoints {
        check_held(endpoint, begin + SETTLE_TIME, 1.0);
        for node in &cluster.nodes {
            let lines = node.log_lines(&format!("event=limit_malformed id={} ", endpoint.id()));
            assert!(lines.len() <= 1, "{lines:?}");
        }
    }
}
