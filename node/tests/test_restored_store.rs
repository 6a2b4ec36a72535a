use std::time::{Duration, Instant};

use hemlock_platform_standin::endpoint::Endpoint;
use serde_json::Value;

use crate::node_process::{NodeProcess, config, route};

/// Time in which a change of the configuration must take effect.
const CONFIG_LIMIT: Duration = Duration::from_secs(2);

/// Returns a configuration that adds the route `/v{version}/` to those of the first version.
fn config_with_route(version: u64) -> Value {
    let mut config = config(version);
    let routes = config["routes"].as_array_mut().unwrap();
    routes.push(route(&format!("/v{version}/"), "idempotent", "plain"));
    config
}

/// Starts daemons that use the same store, with the configuration's first version and an endpoint,
/// and waits until each of them has heard from the others.
fn spawn_nodes(names: &[&str]) -> (Vec<NodeProcess>, Endpoint) {
    let first = NodeProcess::unconfigured();
    let endpoint = Endpoint::spawn(&first.store, "p1", "plain", None);
    first.configure(&config(1));
    let mut nodes: Vec<NodeProcess> = names.iter().map(|n| first.spawn_peer(n)).collect();
    nodes.insert(0, first);
    for node in &nodes {
        node.wait_until("all nodes hear from each other", |n| {
            let peers = n.log_lines("event=peer_regained").len();
            peers >= nodes.len() - 1 && n.ready_status() == 200
        });
    }
    (nodes, endpoint)
}

fn serves(node: &NodeProcess, path: &str) -> bool {
    node.send("GET", path, "probe", "", "").status == 200
}

fn wait_for_route(nodes: &[NodeProcess], path: &str) {
    for node in nodes {
        node.wait_until("the route is served", |n| serves(n, path));
    }
}

/// Returns the indices of the nodes that do not serve a route [`CONFIG_LIMIT`] after `since`.
fn late_nodes(nodes: &[NodeProcess], path: &str, since: Instant) -> Vec<usize> {
    std::thread::sleep(CONFIG_LIMIT.saturating_sub(since.elapsed()));
    let is_late = |i: &usize| !serves(&nodes[*i], path);
    (0..nodes.len()).filter(is_late).collect()
}

/// Adds routes in the versions 2 to 4, takes the store back to the first version, and `pause` later
/// has the operators write the versions 4 to 6, which get the same offsets.
fn rewrite_history(nodes: &[NodeProcess], pause: Duration) {
    let store = &nodes[0].store;
    let copy = store.copy();
    for version in 2..=4 {
        nodes[0].configure(&config_with_route(version));
    }
    wait_for_route(nodes, "/v4/");
    store.restore(copy);
    std::thread::sleep(pause);
    for version in 4..=6 {
        nodes[0].configure(&config_with_route(version));
    }
}

#[test]
fn change_at_an_offset_that_was_assigned_before_takes_effect() {
    let (nodes, _endpoint) = spawn_nodes(&[]);
    rewrite_history(&nodes, Duration::ZERO);
    assert_eq!(late_nodes(&nodes, "/v6/", Instant::now()), [0_usize; 0]);
}

#[test]
fn change_after_the_store_lost_records_reaches_vms_that_read_through_a_peer() {
    let (nodes, _endpoint) = spawn_nodes(&["entry-2", "entry-3"]);
    rewrite_history(&nodes, Duration::from_millis(200));
    assert_eq!(late_nodes(&nodes, "/v6/", Instant::now()), [0_usize; 0]);
}

#[test]
fn vm_that_starts_after_the_store_lost_a_change_uses_the_version_of_its_peers() {
    let (mut nodes, _endpoint) = spawn_nodes(&["entry-2"]);
    let copy = nodes[0].store.copy();
    nodes[0].configure(&config_with_route(2));
    wait_for_route(&nodes, "/v2/");
    nodes[0].store.restore(copy);
    let started = nodes[0].spawn_peer("entry-0");
    nodes.push(started);
    nodes[2].wait_until("the node is ready", |n| n.ready_status() == 200);
    assert_eq!(late_nodes(&nodes, "/v2/", Instant::now()), [0_usize; 0]);
}

#[test]
fn draining_endpoint_gets_no_request_when_the_store_comes_back_older() {
    let (nodes, endpoint) = spawn_nodes(&[]);
    let node = &nodes[0];
    let other = Endpoint::spawn(&node.store, "p2", "plain", None);
    node.wait_until("both endpoints serve", |n| {
        n.log_lines("event=serving").len() >= 2
    });
    let copy = node.store.copy();
    endpoint.drain();
    node.wait_until("the endpoint drains", |n| {
        !n.log_lines("change=draining").is_empty()
    });
    node.store.restore(copy);
    node.wait_until("the list is read again", |n| {
        n.log_lines("event=read topic=Endpoints").len() >= 2
    });
    for i in 0..20 {
        assert!(serves(node, &format!("/plain/{i}")));
    }
    assert_eq!((endpoint.runs().len(), other.runs().len()), (0, 20));
}

#[test]
fn vm_whose_record_the_store_lost_is_known_to_vms_that_start_later() {
    let (mut nodes, _endpoint) = spawn_nodes(&[]);
    let copy = nodes[0].store.copy();
    let second = nodes[0].spawn_peer("entry-2");
    second.wait_until("the VMs hear from each other", |n| {
        n.log_lines("event=peer_regained").len() == 1 && n.ready_status() == 200
    });
    nodes.push(second);
    nodes[0].store.restore(copy);
    nodes[1].wait_until("the restore is noticed", |n| {
        !n.log_lines("event=store_era").is_empty()
    });
    std::thread::sleep(Duration::from_millis(1_500));
    let third = nodes[0].spawn_peer("entry-3");
    third.wait_until("the second VM is heard", |n| {
        !n.log_lines("event=peer_regained node=entry-2").is_empty()
    });
}
