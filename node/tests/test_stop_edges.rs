//! Requests at the edges of a graceful stop: behind others, at endpoints that stand still, at a
//! daemon that was suspended, and signals that come at a bad time.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use hemlock_platform_standin::caller;
use hemlock_platform_standin::endpoint::Endpoint;
use hemlock_platform_standin::store;

use crate::node_process::{NodeProcess, config, request};

/// Time after the signal at which the node is about to close.
const LATE: Duration = Duration::from_millis(5_000);
/// Time after the signal by which the platform ends a process.
const GRACE: Duration = Duration::from_secs(8);

fn short_request(id: &str) -> String {
    request("POST", "/once/a", id, "", "x").replace("-Ms: 3000", "-Ms: 500")
}

fn read_all(io: &mut TcpStream) -> (String, Option<ErrorKind>) {
    let _ = io.set_read_timeout(Some(Duration::from_secs(10)));
    let mut bytes = Vec::new();
    let error = io.read_to_end(&mut bytes).err().map(|e| e.kind());
    (String::from_utf8_lossy(&bytes).into_owned(), error)
}

fn runs(endpoints: &[Endpoint]) -> Vec<String> {
    let runs = endpoints.iter().flat_map(Endpoint::runs);
    runs.map(|run| run.request_id).collect()
}

fn terminate(node: &NodeProcess) -> Instant {
    node.terminate();
    let since = Instant::now();
    node.wait_until("the node is not ready", |n| n.ready_status() == 503);
    since
}

/// A request that came together with another one was read and thrown away.
#[test]
fn request_that_a_stopping_node_has_read_behind_another_is_answered() {
    let (mut node, _endpoints) = NodeProcess::with_plain_endpoints();
    terminate(&node);
    let mut io = TcpStream::connect(node.front).unwrap();
    let both = short_request("r1") + &short_request("r2");
    io.write_all(both.as_bytes()).unwrap();
    let (text, _) = read_all(&mut io);
    for id in ["r1", "r2"] {
        assert!(text.contains(&format!("Request-Id: {id}\r\n")), "{text}");
    }
    assert!(node.wait_for_exit());
}

/// A request that came while the one before it ran was read and thrown away.
#[test]
fn request_that_a_stopping_node_has_read_while_another_ran_is_answered() {
    let (mut node, endpoints) = NodeProcess::with_plain_endpoints();
    endpoints
        .iter()
        .for_each(|e| e.set_run_time(Duration::from_millis(300)));
    terminate(&node);
    std::thread::sleep(LATE);
    let mut io = TcpStream::connect(node.front).unwrap();
    io.write_all(short_request("r1").as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(150));
    io.write_all(short_request("r2").as_bytes()).unwrap();
    let (text, _) = read_all(&mut io);
    for id in ["r1", "r2"] {
        assert!(text.contains(&format!("Request-Id: {id}\r\n")), "{text}");
    }
    assert!(text.contains("Connection: close"), "{text}");
    assert!(node.wait_for_exit());
}

/// Starts an endpoint that sends `answer` to each connection and never reads.
fn spawn_unreading_endpoint(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut open = Vec::new();
        for mut io in listener.incoming().map_while(Result::ok) {
            let _ = io.write_all(answer.as_bytes());
            open.push(io);
        }
    });
    address
}

/// Sends a request to a stopping node whose only endpoint is at `address`, and returns the answer and
/// the time that it took.
fn send_late(address: SocketAddr, text: &str) -> (caller::Response, Duration) {
    let mut node = NodeProcess::unconfigured();
    let endpoint = Endpoint::spawn(&node.store, "p1", "plain", None);
    endpoint.publish_entry_at(address);
    let mut settings = config(1);
    settings["limits"]["maxBodyBytes"] = serde_json::json!(32 << 20);
    node.configure(&settings);
    node.wait_until("the endpoint serves", |n| {
        !n.log_lines("event=serving").is_empty()
    });
    terminate(&node);
    std::thread::sleep(LATE);
    let sent = Instant::now();
    let response = caller::send(node.front, text);
    let elapsed = sent.elapsed();
    assert!(node.wait_for_exit());
    (response, elapsed)
}

/// The end of a request's time did not end the sending of its body to an endpoint that stands still.
#[test]
fn request_with_a_long_body_for_a_silent_endpoint_is_answered_before_a_stopping_node_ends() {
    let address = spawn_unreading_endpoint("");
    let body = "x".repeat(24 << 20);
    let text = request("POST", "/once/a", "r1", "", &body).replace("-Ms: 3000", "-Ms: 1000");
    let (response, elapsed) = send_late(address, &text);
    assert_eq!((response.status, response.complete), (504, true));
    assert!(elapsed < Duration::from_millis(1_500), "{elapsed:?}");
}

/// The end of a request's time did not end the reading of a refusal that stops half-way.
#[test]
fn request_whose_refusal_stops_half_way_is_answered_before_a_stopping_node_ends() {
    let address = spawn_unreading_endpoint(
        "HTTP/1.1 503 X\r\nRequest-Id: r1\r\nNot-Run: 1\r\nContent-Length: 9\r\n\r\nhalf",
    );
    let (response, elapsed) = send_late(address, &short_request("r1"));
    assert_eq!((response.status, response.complete), (503, true));
    assert!(elapsed < Duration::from_millis(1_000), "{elapsed:?}");
}

/// As above, with an answer that names another request.
#[test]
fn request_whose_foreign_answer_stops_half_way_is_answered_before_a_stopping_node_ends() {
    let address = spawn_unreading_endpoint(
        "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nServer-Stamp: a\r\nContent-Length: 9\r\n\r\nhalf",
    );
    let (response, elapsed) = send_late(address, &short_request("r1"));
    assert_eq!((response.status, response.complete), (504, true));
    assert!(elapsed < Duration::from_millis(1_000), "{elapsed:?}");
}

#[test]
fn further_signals_and_a_silent_store_do_not_change_a_stop() {
    let (mut node, endpoints) = NodeProcess::with_plain_endpoints();
    node.store.set_mode(store::Mode::Silent);
    let since = terminate(&node);
    node.signal("TERM");
    node.signal("INT");
    node.signal("HUP");
    std::thread::sleep(LATE);
    assert_eq!(caller::send(node.front, &short_request("r1")).status, 200);
    node.wait_until("the node closes", |n| {
        !n.log_lines("event=closing").is_empty()
    });
    node.signal("TERM");
    node.signal("HUP");
    assert!(node.wait_for_exit());
    assert!(since.elapsed() < GRACE);
    assert_eq!(runs(&endpoints), ["r1"]);
}

#[test]
fn node_without_configuration_refuses_until_it_ends() {
    let mut node = NodeProcess::unconfigured();
    node.wait_until("the node answers", |n| n.ready_status() == 503);
    node.terminate();
    std::thread::sleep(LATE);
    let response = caller::send(node.front, &short_request("r1"));
    assert_eq!((response.status, response.complete), (503, true));
    assert!(node.wait_for_exit());
}

/// A request whose body is awaited after an interim response is read in full or refused.
#[test]
fn caller_that_awaits_an_interim_response_is_answered_when_a_stopping_node_closes() {
    let (mut node, _endpoints) = NodeProcess::with_plain_endpoints();
    terminate(&node);
    std::thread::sleep(LATE);
    let text = request("POST", "/once/a", "r1", "Expect: 100-continue\r\n", "body");
    let (head, body) = text.split_at(text.len() - 4);
    let mut callers: Vec<TcpStream> = ["1000", "3000"]
        .iter()
        .map(|deadline| {
            let head = head.replace("-Ms: 3000", &format!("-Ms: {deadline}"));
            let mut io = TcpStream::connect(node.front).unwrap();
            io.write_all(head.as_bytes()).unwrap();
            io
        })
        .collect();
    node.wait_until("the node closes", |n| {
        !n.log_lines("event=closing").is_empty()
    });
    callers[0].write_all(body.as_bytes()).unwrap();
    for (io, status) in callers.iter_mut().zip(["200", "503"]) {
        let (text, error) = read_all(io);
        assert!(text.starts_with("HTTP/1.1 100 "), "{text} {error:?}");
        assert!(text.contains(&format!("HTTP/1.1 {status} ")), "{text}");
    }
    assert!(node.wait_for_exit());
}

/// Suspends a stopping node until `suspended_until` after the signal, while callers send to it.
fn check_suspended_stop(suspended_until: Duration) {
    let (mut node, endpoints) = NodeProcess::with_plain_endpoints();
    endpoints
        .iter()
        .for_each(|e| e.set_run_time(Duration::from_millis(150)));
    let since = terminate(&node);
    std::thread::sleep(Duration::from_millis(500));
    node.signal("STOP");
    let mut callers: Vec<TcpStream> = (0..10)
        .map(|i| {
            let mut io = TcpStream::connect(node.front).unwrap();
            let text = short_request(&format!("r{i}"));
            io.write_all(text.as_bytes()).unwrap();
            io
        })
        .collect();
    std::thread::sleep(suspended_until.saturating_sub(since.elapsed()));
    node.signal("CONT");
    let answers: Vec<_> = callers.iter_mut().map(read_all).collect();
    assert!(node.wait_for_exit());
    let ran = runs(&endpoints);
    for (i, (text, error)) in answers.iter().enumerate() {
        let has_run = ran.contains(&format!("r{i}"));
        assert!(
            !has_run || text.starts_with("HTTP/1.1 200 "),
            "r{i} after {suspended_until:?}: {text} {error:?}"
        );
    }
}

/// The time for which a process is suspended counts, so that it may wake when its end is due.
#[test]
fn node_that_wakes_when_its_end_is_due_runs_nothing_that_it_does_not_answer() {
    std::thread::scope(|scope| {
        for ms in [6_000, 7_650, 9_000] {
            scope.spawn(move || check_suspended_stop(Duration::from_millis(ms)));
        }
    });
}
