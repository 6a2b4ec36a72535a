use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use hemlock_platform_standin::caller;

use crate::node_process::{NodeProcess, request};

#[test]
fn sigterm_ends_open_requests_before_the_process() {
    let (mut node, engines) = NodeProcess::with_engines();
    engines.iter().for_each(|w| w.set_events(200));
    let mut io = TcpStream::connect(node.front).unwrap();
    let headers = "Model: m\r\nToken-Count: 100,40\r\n";
    let text = request("POST", "/stream/a", "r1", headers, "prompt");
    io.write_all(text.as_bytes()).unwrap();
    let mut bytes = vec![0; 1];
    io.read_exact(&mut bytes).unwrap();
    node.terminate();
    node.wait("it is not ready", |s| s.ready_status() == 503);
    io.read_to_end(&mut bytes).unwrap();
    let text = String::from_utf8_lossy(&bytes);
    assert!(
        text.contains("id: 200\n"),
        "{}",
        &text[text.len().saturating_sub(200)..]
    );
    assert!(text.ends_with("0\r\n\r\n"));
    assert!(node.ended());
    assert!(!node.lines("event=stopped open=0").is_empty());
}

#[test]
fn a_stopping_node_still_serves_callers_that_come() {
    let (mut node, _plain) = NodeProcess::with_plain_endpoints();
    node.terminate();
    node.wait("it is not ready", |s| s.ready_status() == 503);
    let got = node.send("GET", "/plain/a", "r1", "", "");
    assert_eq!(got.status, 200);
    assert_eq!(got.header("connection"), Some("close"));
    assert!(node.ended());
}

/// A request that may outlast the process is refused truly, so that its caller goes to another VM; one
/// that ends in time is served on.
#[test]
fn a_stopping_node_takes_late_what_ends_in_time() {
    let (mut node, plain) = NodeProcess::with_plain_endpoints();
    node.terminate();
    node.wait("it is not ready", |s| s.ready_status() == 503);
    // The process ends 5.5 s after the signal without requests, and 7.5 s after it at the latest.
    std::thread::sleep(Duration::from_millis(2_600));
    assert_eq!(node.send("GET", "/plain/a", "early", "", "").status, 200);
    std::thread::sleep(Duration::from_millis(1_400));
    let runs = || plain.iter().map(|w| w.runs().len()).sum::<usize>();
    let before = runs();
    // Its caller waits for the route's 4 s.
    let text = request("POST", "/once/a", "late", "", "x").replace("-Ms: 3000", "-Ms: 4000");
    let late = caller::send(node.front, &text);
    assert_eq!((late.status, late.complete), (503, true), "{late:?}");
    let after: f64 = late.header("retry-after").unwrap().parse().unwrap();
    assert!(after < 0.1, "{after}");
    assert_eq!(runs(), before);
    node.wait("the refusal is logged", |s| {
        !s.lines("event=refused request=late cause=stopping")
            .is_empty()
    });
    assert!(node.ended());
}
