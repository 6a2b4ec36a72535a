use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use hemlock_platform_standin::caller;
use hemlock_platform_standin::endpoint::Endpoint;

use crate::node_process::{NodeProcess, request};

#[test]
fn open_requests_complete_before_the_process_ends_on_sigterm() {
    let (mut node, engines) = NodeProcess::with_engines();
    engines.iter().for_each(|e| e.set_event_count(200));
    let mut io = TcpStream::connect(node.front).unwrap();
    let headers = "Model: m\r\nToken-Count: 100,40\r\n";
    let text = request("POST", "/stream/a", "r1", headers, "prompt");
    io.write_all(text.as_bytes()).unwrap();
    let mut bytes = vec![0; 1];
    io.read_exact(&mut bytes).unwrap();
    node.terminate();
    node.wait_until("the node is not ready", |n| n.ready_status() == 503);
    io.read_to_end(&mut bytes).unwrap();
    let text = String::from_utf8_lossy(&bytes);
    assert!(
        text.contains("id: 200\n"),
        "{} {:?}",
        &text[text.len().saturating_sub(200)..],
        node.log_lines("request=r1")
    );
    assert!(text.ends_with("0\r\n\r\n"));
    assert!(node.wait_for_exit());
    assert!(!node.log_lines("event=stopped open=0").is_empty());
}

#[test]
fn stopping_node_still_serves_new_callers() {
    let (mut node, _plain) = NodeProcess::with_plain_endpoints();
    node.terminate();
    node.wait_until("the node is not ready", |n| n.ready_status() == 503);
    let response = node.send("GET", "/plain/a", "r1", "", "");
    assert_eq!(response.status, 200);
    assert_eq!(response.header("connection"), Some("close"));
    assert!(node.wait_for_exit());
}

/// Late in the stop, a request that may outlast the process is refused before it runs, so that its
/// caller can retry at another VM at once. A request that ends in time is still served.
#[test]
fn stopping_node_accepts_late_requests_only_if_they_end_in_time() {
    let (mut node, plain) = NodeProcess::with_plain_endpoints();
    node.terminate();
    node.wait_until("the node is not ready", |n| n.ready_status() == 503);
    // Without open requests, the process ends 5.5 s after the signal, and otherwise after 7.5 s at
    // the latest.
    std::thread::sleep(Duration::from_millis(2_600));
    assert_eq!(node.send("GET", "/plain/a", "early", "", "").status, 200);
    std::thread::sleep(Duration::from_millis(1_400));
    let runs = || plain.iter().map(|e| e.runs().len()).sum::<usize>();
    let before = runs();
    // The caller waits for the full timeout of the route, 4 s.
    let text = request("POST", "/once/a", "late", "", "x").replace("-Ms: 3000", "-Ms: 4000");
    let late = caller::send(node.front, &text);
    assert_eq!((late.status, late.complete), (503, true), "{late:?}");
    let retry_after: f64 = late.header("retry-after").unwrap().parse().unwrap();
    assert!(retry_after < 0.1, "{retry_after}");
    assert_eq!(runs(), before);
    node.wait_until("the refusal is logged", |n| {
        !n.log_lines("event=refused request=late cause=stopping")
            .is_empty()
    });
    assert!(node.wait_for_exit());
}

/// A node that had given up the planner's lease went on with orders until the lease would have
/// expired, beside its successor.
#[test]
fn stopping_node_sends_no_more_orders_to_engines() {
    let (mut node, engines) = NodeProcess::with_engines();
    let orders = || engines.iter().map(|e| e.orders().len()).sum::<usize>();
    node.terminate();
    node.wait_until("the node is not ready", |n| n.ready_status() == 503);
    std::thread::sleep(Duration::from_millis(100));
    let before = orders();
    engines.iter().for_each(Endpoint::restart);
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(orders(), before);
    assert!(node.wait_for_exit());
}
