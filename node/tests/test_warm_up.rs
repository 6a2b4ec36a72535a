//! Endpoints that turn cold take few requests a second of all daemons together. The list of each daemon
//! is a little old, and a daemon is lost and comes back meanwhile.

use std::time::{Duration, Instant};

use hemlock_platform_standin::endpoint::Endpoint;
use hemlock_platform_standin::fixtures;

use crate::cluster::{Cluster, Try, check_others_serve, check_runs};
use crate::node_process::config;

/// Requests in one second that an endpoint takes while it is cold; the settings name no more.
const PER_SECOND: usize = 5;
/// Time for which endpoints are cold.
const COLD_TIME: Duration = Duration::from_secs(6);
/// Time after which all daemons have read an entry.
const KNOWN_TIME: Duration = Duration::from_millis(700);
const SECOND: Duration = Duration::from_secs(1);

/// Starts daemons whose configuration names a warm-up for all services.
fn spawn() -> Cluster {
    let cluster = Cluster::spawn();
    let mut configuration = config(2);
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = 10_000.into();
    }
    fixtures::set_warm_up(&mut configuration, 1.0, PER_SECOND as f64);
    cluster.nodes[0].configure(&configuration);
    for node in &cluster.nodes {
        node.wait_until("the configuration is in force", |n| {
            !n.log_lines("event=config version=2").is_empty()
        });
    }
    // Daemons that have just started send nothing to endpoints that warm up.
    std::thread::sleep(Duration::from_secs(2));
    cluster
}

/// Checks that no second within the span has more arrivals than an endpoint takes.
fn check_bound(endpoint: &Endpoint, from: Instant, until: Instant) {
    let times = endpoint.arrival_times();
    for begin in times.iter().filter(|t| (from..until).contains(t)) {
        let end = (*begin + SECOND).min(until);
        let count = times.iter().filter(|t| (*begin..end).contains(t)).count();
        assert!(
            count <= PER_SECOND,
            "{} got {count} requests in the second from {:?}, allowed {PER_SECOND}",
            endpoint.id(),
            begin.duration_since(from)
        );
    }
}

fn arrivals_between(endpoint: &Endpoint, from: Instant, until: Instant) -> usize {
    let times = endpoint.arrival_times();
    times.iter().filter(|t| (from..until).contains(t)).count()
}

#[test]
fn cold_endpoints_get_no_more_than_they_take_while_others_serve() {
    let cluster = spawn();
    let plain = &cluster.endpoints[0];
    let head = cluster.group_heads()[0].clone();
    let mut tries = cluster.send_for("before", Duration::from_secs(1));
    let begin = Instant::now();
    plain.turn_cold(COLD_TIME);
    head.turn_cold(COLD_TIME);
    tries.extend(cluster.send_for("cold", COLD_TIME));
    let (known, end) = (begin + KNOWN_TIME, begin + COLD_TIME);
    for endpoint in [plain, &head] {
        check_bound(endpoint, known, end);
        let used = arrivals_between(endpoint, known, end);
        let plain_rate = PER_SECOND as f64 * (COLD_TIME - KNOWN_TIME).as_secs_f64();
        assert!(used as f64 >= plain_rate / 2.0, "{used} of {plain_rate}");
    }
    check_others_serve(&tries, &[]);
    check_runs(&cluster, &tries);
    // It ends by itself.
    let warm = Instant::now() + SECOND;
    let tries: Vec<Try> = cluster.send_for("warm", Duration::from_secs(3));
    check_others_serve(&tries, &[]);
    let after = arrivals_between(plain, warm, warm + SECOND);
    assert!(after > PER_SECOND, "{after} in the second after the end");
    let node = &cluster.nodes[0];
    assert!(!node.log_lines("event=warm_up id=p1").is_empty());
}

#[test]
fn bound_holds_while_daemons_are_lost_and_return() {
    let mut cluster = spawn();
    let cold: Vec<Endpoint> = cluster.endpoints[..2].to_vec();
    cluster.send_for("before", Duration::from_secs(1));
    let begin = Instant::now();
    cold.iter().for_each(|e| e.turn_cold(COLD_TIME));
    cluster.send_for("cold", SECOND);
    cluster.nodes[1].kill();
    cluster.nodes[2].signal("STOP");
    cluster.send_for("lost", SECOND);
    let store = cluster.nodes[0].store.clone();
    cluster.nodes[1] = crate::node_process::NodeProcess::spawn(store, "entry-2");
    cluster.nodes[2].signal("CONT");
    cluster.send_for("back", Duration::from_millis(3_800));
    for endpoint in &cold {
        check_bound(endpoint, begin + KNOWN_TIME, begin + COLD_TIME);
    }
}
