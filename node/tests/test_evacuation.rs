use std::time::{Duration, Instant};

use hemlock_platform_standin::caller;
use hemlock_platform_standin::endpoint::Endpoint;
use hemlock_platform_standin::fixtures::{evacuate, take_back};
use hemlock_platform_standin::store::Mode;

use crate::node_process::{NodeProcess, config};

/// Time in which an evacuation must be in force on each VM of a small deployment.
const LIMIT: Duration = Duration::from_secs(2);
/// Time in which daemons that have just started find out which of them reads the store for the others;
/// a read of the store lasts for one second.
const SETTLING: Duration = Duration::from_secs(2);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(1_500);

/// Daemons that use the same store, before one plain endpoint in each of two zones.
struct World {
    nodes: Vec<NodeProcess>,
    first: Endpoint,
    second: Endpoint,
}

impl World {
    fn spawn(peers: &[&str]) -> Self {
        let node = NodeProcess::unconfigured();
        let first = Endpoint::spawn(&node.store, "p1", "plain", None);
        let second = Endpoint::spawn(&node.store, "p2", "plain", None);
        second.set_zone("z2");
        node.configure(&config(1));
        let mut nodes: Vec<NodeProcess> = peers.iter().map(|n| node.spawn_peer(n)).collect();
        nodes.insert(0, node);
        for node in &nodes {
            node.wait_until("all daemons hear from each other and are ready", |n| {
                let heard = n.log_lines("event=peer_regained").len();
                heard >= nodes.len() - 1 && n.ready_status() == 200
            });
            node.wait_until("both endpoints serve", |n| {
                n.log_lines("event=serving").len() >= 2
            });
        }
        Self {
            nodes,
            first,
            second,
        }
    }

    /// Has each daemon send requests; returns how many the endpoints in the first and the second zone
    /// ran.
    fn send_everywhere(&self) -> (usize, usize) {
        let before = (self.first.runs().len(), self.second.runs().len());
        for node in &self.nodes {
            for i in 0..12 {
                let response = node.send("GET", &format!("/plain/{i}"), "r", "", "");
                assert_eq!(response.status, 200, "{response:?}");
            }
        }
        (
            self.first.runs().len() - before.0,
            self.second.runs().len() - before.1,
        )
    }

    /// Waits until an evacuation of the first zone must be in force, and checks that it is.
    fn check_evacuated(&self, since: Instant) {
        std::thread::sleep(LIMIT.saturating_sub(since.elapsed()));
        let sent = self.send_everywhere();
        assert_eq!(sent, (0, 12 * self.nodes.len()));
    }

    /// Waits until the end of an evacuation must be in force, and checks that the first zone serves: the
    /// second one is evacuated for it, since a connection there would go first.
    fn check_taken_back(&self, since: Instant) {
        std::thread::sleep(LIMIT.saturating_sub(since.elapsed()));
        evacuate(&self.nodes[0].store, "z2");
        std::thread::sleep(LIMIT);
        let sent = self.send_everywhere();
        assert_eq!(sent, (12 * self.nodes.len(), 0));
    }
}

/// Operators empty a zone and take it back. Some VMs read the store through another one, and one
/// starts in the middle.
#[test]
fn evacuated_zone_gets_no_request_from_any_vm_and_serves_again() {
    let mut world = World::spawn(&["entry-2", "entry-3"]);
    let store = world.nodes[0].store.clone();
    std::thread::sleep(SETTLING);
    evacuate(&store, "z1");
    world.check_evacuated(Instant::now());
    let started = world.nodes[0].spawn_peer("entry-4");
    started.wait_until("the daemon is ready", |n| n.ready_status() == 200);
    world.nodes.push(started);
    world.check_evacuated(Instant::now());
    let reads_from_peer = |n: &NodeProcess| !n.log_lines("change=begun from=Some").is_empty();
    assert!(world.nodes.iter().any(reads_from_peer));
    take_back(&store, "z1");
    world.check_taken_back(Instant::now());
}

/// The store goes away for all VMs right after it has acknowledged an evacuation, and again when the
/// record is removed meanwhile.
#[test]
fn evacuation_and_its_end_are_read_from_a_store_that_was_away() {
    let world = World::spawn(&["entry-2"]);
    let store = world.nodes[0].store.clone();
    store.set_mode(Mode::Refuse(503));
    evacuate(&store, "z1");
    std::thread::sleep(AWAY);
    store.set_mode(Mode::Up);
    world.check_evacuated(Instant::now());
    store.set_mode(Mode::Silent);
    std::thread::sleep(AWAY);
    world.check_evacuated(Instant::now());
    take_back(&store, "z1");
    store.trim("keyed.op");
    store.set_mode(Mode::Up);
    world.check_taken_back(Instant::now());
}

/// The store comes back from a copy that is older than an evacuation. A VM that reads through
/// another one and starts then must know of it as well, though the store does not.
#[test]
fn evacuation_outlives_a_store_that_comes_back_older() {
    let mut world = World::spawn(&["entry-2"]);
    let store = world.nodes[0].store.clone();
    let copy = store.copy();
    evacuate(&store, "z1");
    world.check_evacuated(Instant::now());
    store.restore(copy);
    // The daemon that reads the store keeps it, and the other one reads it from there.
    let is_kept = |n: &NodeProcess| !n.log_lines("zone=z1 change=kept").is_empty();
    world.nodes[0].wait_until("the evacuation is kept", |_| {
        world.nodes.iter().any(is_kept)
    });
    let started = world.nodes[0].spawn_peer("entry-4");
    started.wait_until("the daemon is ready", |n| n.ready_status() == 200);
    world.nodes.push(started);
    world.check_evacuated(Instant::now());
    take_back(&store, "z1");
    world.check_taken_back(Instant::now());
}

/// All zones are evacuated while a request runs: it ends normally, and later ones are refused at once,
/// with a time after which to come back.
#[test]
fn running_request_ends_and_later_ones_are_refused_while_all_zones_are_evacuated() {
    let world = World::spawn(&[]);
    let node = &world.nodes[0];
    for endpoint in [&world.first, &world.second] {
        endpoint.set_run_time(Duration::from_millis(1_200));
    }
    std::thread::scope(|scope| {
        let running = scope.spawn(|| node.send("POST", "/once/a", "r1", "", "body"));
        node.wait_until("the request runs", |n| {
            !n.log_lines("event=sent request=r1").is_empty()
        });
        evacuate(&node.store, "z1");
        evacuate(&node.store, "z2");
        node.wait_until("both zones are evacuated", |n| {
            n.log_lines("change=begun").len() == 2
        });
        let since = Instant::now();
        let refused = node.send("POST", "/once/b", "r2", "", "body");
        assert!(since.elapsed() < Duration::from_millis(300));
        assert_eq!(refused.status, 503, "{refused:?}");
        assert!(refused.header("retry-after").is_some(), "{refused:?}");
        assert_eq!(running.join().expect("it ends").status, 200);
    });
    let runs = world.first.runs().len() + world.second.runs().len();
    assert_eq!(runs, 1);
    let metrics = caller::send(node.metrics, "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n").body;
    assert!(metrics.contains("hemlock_evacuated_zones 2"), "{metrics}");
    assert!(
        metrics.contains("hemlock_refused_total{kind=\"evacuated\"} 1"),
        "{metrics}"
    );
    let line = "event=refused request=r2 cause=evacuated";
    assert_eq!(node.log_lines(line).len(), 1);
}

/// Another writer leaves records in the operators' topic that name no zone, or one that there is not;
/// versions of the configuration and evacuations beside them take effect, and each is logged once.
#[test]
fn odd_records_are_logged_once_and_hide_nothing() {
    let world = World::spawn(&[]);
    let node = &world.nodes[0];
    for _ in 0..3 {
        node.store.put("keyed.op", "evacuate/", b"{}");
        node.store.put("keyed.op", "evacuate/nowhere", b"{}");
        node.store.put("keyed.op", "evacuate/z1", b"not an object");
        node.store.put("keyed.op", "other", b"{}");
    }
    node.configure(&config(2));
    world.check_evacuated(Instant::now());
    assert_eq!(node.log_lines("event=config version=2").len(), 1);
    assert_eq!(node.log_lines("event=evacuation_odd").len(), 2);
    assert_eq!(
        node.log_lines("event=evacuation_empty zone=nowhere").len(),
        1
    );
}
