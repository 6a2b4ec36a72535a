use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hemlock_platform_standin::endpoint::Endpoint;
use hemlock_platform_standin::fixtures;
use serde_json::json;

use crate::node_process::{NodeProcess, config};

/// Time in which a change of the list or of the configuration must be known.
const CHANGE_LIMIT: Duration = Duration::from_secs(2);

/// Returns entries with this address that no endpoint writes, as text.
fn odd_entries(address: SocketAddr) -> Vec<String> {
    let entry = fixtures::entry("plain", address, 1_000, 1);
    let with = |name: &str, text: &str| {
        let mut entry = entry.clone();
        entry.as_object_mut().unwrap().remove(name);
        entry
            .to_string()
            .replacen('{', &format!("{{\"{name}\":{text},"), 1)
    };
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let numbers = ["4294967296", "18446744073709551615", "1e400", "-1"];
    let mut entries: Vec<String> = numbers
        .iter()
        .flat_map(|n| ["slots", "sequence", "born"].map(|name| with(name, n)))
        .collect();
    entries.push(with("address", "\"127.0.0.1:70000\""));
    for name in ["staged", "group", "new"] {
        entries.push(with(name, &nested));
    }
    entries.push(with(
        "group",
        "{\"name\":\"g1-2-m\",\"epoch\":18446744073709551615,\"rank\":18446744073709551615,\"state\":\"open\"}",
    ));
    entries
}

/// Guards against review case 7: entries of another writer under the identifiers of the members of a group that
/// serves. The group goes on, and no engine gets an order.
#[test]
fn entry_of_another_writer_takes_no_engine_out_of_its_group() {
    let (node, engines) = NodeProcess::with_engines();
    node.wait_until("a group serves", |n| {
        !n.log_lines("event=serving").is_empty()
    });
    let joined = |e: &&Endpoint| e.orders().iter().any(|o| o["operation"] == "join");
    let members: Vec<&Endpoint> = engines.iter().filter(joined).collect();
    assert!(members.len() >= 2);
    // Orders of the first seconds have come by then.
    std::thread::sleep(Duration::from_millis(500));
    let count = |e: &Endpoint| {
        let orders = e.orders();
        orders.iter().filter(|o| o["operation"] != "phase").count()
    };
    let before: Vec<usize> = engines.iter().map(count).collect();
    for (odd, member) in members.iter().take(2).enumerate() {
        let mut entry = fixtures::entry("models", member.address(), 1_000, 1);
        entry["domain"] = json!("d1");
        (entry["staged"], entry["models"]) = (json!([]), json!([]));
        if odd == 0 {
            entry["group"] = json!({"name": "g1", "epoch": 1, "rank": 0, "state": "resting"});
        } else {
            entry.as_object_mut().unwrap().remove("born");
        }
        fixtures::publish_entry(&node.store, member.id(), &entry.to_string());
    }
    std::thread::sleep(Duration::from_millis(700));
    members.iter().for_each(|m| m.publish_entry());
    std::thread::sleep(Duration::from_millis(1_500));
    let after: Vec<usize> = engines.iter().map(count).collect();
    assert_eq!(after, before, "{:#?}", node.log_lines("event=order"));
}

#[test]
fn odd_entries_do_not_keep_a_vm_from_serving_and_following_the_list() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    let _engines = ["e1", "e2"].map(|id| Endpoint::spawn(&node.store, id, "models", Some("d1")));
    for (i, entry) in odd_entries(plain[1].address()).iter().enumerate() {
        fixtures::publish_entry(&node.store, &format!("odd-{i}"), entry);
    }
    plain[0].drain();
    node.configure(&config(2));
    let since = Instant::now();
    let is_known = || {
        let drained = node.log_lines("change=draining id=p1");
        !drained.is_empty() && !node.log_lines("event=config version=2").is_empty()
    };
    while !is_known() {
        assert!(since.elapsed() < CHANGE_LIMIT, "{:?}", node.log_lines(""));
        std::thread::sleep(Duration::from_millis(10));
    }
    for i in 0..20 {
        let response = node.send("GET", "/plain/a", &format!("r{i}"), "", "");
        assert_eq!(response.status, 200, "{response:?}");
    }
    node.wait_until("a group serves", |n| {
        n.log_lines("event=serving")
            .iter()
            .any(|l| l.contains("id=e"))
    });
}
