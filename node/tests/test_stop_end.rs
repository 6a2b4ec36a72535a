//! What happens to callers in the last moments of a stopping daemon.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use hemlock_platform_standin::caller::{self, Response};
use hemlock_platform_standin::endpoint::{Endpoint, Mode};

use crate::node_process::{NodeProcess, request};

/// Number of callers of each kind that send until the process has ended.
const CALLERS: usize = 2;
/// Time for which an endpoint runs a request.
const RUN_TIME: Duration = Duration::from_millis(40);
/// Time between two requests of a caller, so that at times no request is open.
const PAUSE: Duration = Duration::from_millis(97);
/// Time after the signal from which callers send; the node ends after 5.5 s at the earliest.
const LATE: Duration = Duration::from_millis(5_000);

/// A request of a caller, and what it got.
struct Sent {
    id: String,
    response: Response,
}

fn short_request(id: &str) -> String {
    request("POST", "/once/a", id, "", "x").replace("-Ms: 3000", "-Ms: 500")
}

/// Starts a caller that sends requests until `ended` is set. With `idle` it opens each connection
/// that long before it uses it.
fn spawn_caller(
    front: SocketAddr,
    name: String,
    idle: Duration,
    ended: Arc<AtomicBool>,
) -> JoinHandle<Vec<Sent>> {
    std::thread::spawn(move || {
        let mut sent = Vec::new();
        while !ended.load(Ordering::SeqCst) {
            let id = format!("{name}-{}", sent.len());
            let response = match TcpStream::connect(front) {
                Ok(mut io) => {
                    std::thread::sleep(idle);
                    caller::exchange(&mut io, &short_request(&id))
                }
                Err(_) => Response::default(),
            };
            sent.push(Sent { id, response });
            std::thread::sleep(PAUSE);
        }
        sent
    })
}

fn has_run(endpoints: &[Endpoint], id: &str) -> bool {
    let mut runs = endpoints.iter().flat_map(Endpoint::runs);
    runs.any(|run| run.request_id == id)
}

/// The node still accepted requests while it wrote its last log lines.
#[test]
fn no_request_is_accepted_after_a_stopping_node_has_decided_to_end() {
    let (mut node, endpoints) = NodeProcess::with_plain_endpoints();
    endpoints.iter().for_each(|e| e.set_run_time(RUN_TIME * 5));
    node.terminate();
    node.wait_until("the node ends", |n| {
        !n.log_lines("event=stopped").is_empty()
    });
    let response = caller::send(node.front, &short_request("r1"));
    assert_eq!(response.status, 0, "{response:?}");
    assert!(!has_run(&endpoints, "r1"));
    assert!(node.wait_for_exit());
}

/// Sends requests to a stopping node until it has ended, and checks that all that reached an endpoint
/// are answered. Returns the statuses.
fn check_late_requests(mut node: NodeProcess, endpoints: &[Endpoint]) -> BTreeSet<u16> {
    node.terminate();
    node.wait_until("the node is not ready", |n| n.ready_status() == 503);
    std::thread::sleep(LATE);
    let ended = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..2 * CALLERS)
        .map(|i| {
            let idle = if i < CALLERS { Duration::ZERO } else { PAUSE };
            spawn_caller(node.front, format!("c{i}"), idle, ended.clone())
        })
        .collect();
    assert!(node.wait_for_exit());
    ended.store(true, Ordering::SeqCst);
    let sent = callers.into_iter().flat_map(|c| c.join().unwrap());
    let sent: Vec<Sent> = sent.collect();
    let cut = sent.iter().filter(|s| !s.response.complete);
    let cut: Vec<&str> = cut
        .filter(|s| has_run(endpoints, &s.id))
        .map(|s| s.id.as_str())
        .collect();
    assert!(cut.is_empty(), "ran and not answered: {cut:?}");
    sent.iter().map(|s| s.response.status).collect()
}

/// A request that came after the node had decided to end was passed on to an endpoint and cut off.
#[test]
fn no_request_at_an_endpoint_is_cut_off_when_a_stopping_node_ends() {
    let (node, endpoints) = NodeProcess::with_plain_endpoints();
    endpoints.iter().for_each(|e| e.set_run_time(RUN_TIME));
    assert!(check_late_requests(node, &endpoints).contains(&200));
}

#[test]
fn no_request_at_an_endpoint_that_does_not_answer_is_cut_off_when_a_stopping_node_ends() {
    let (node, endpoints) = NodeProcess::with_plain_endpoints();
    endpoints.iter().for_each(|e| e.set_mode(Mode::Mute));
    assert!(check_late_requests(node, &endpoints).contains(&504));
}

/// Opens connections one after the other until the node ends, and sends the first part of `text` on
/// each. The rest follows only after the end was decided, on every other connection. Returns what was read from each
/// connection whose first part was sent at least 100 ms before the process refused new ones.
fn send_in_two_parts(address: SocketAddr, text: &str, split: usize) -> Vec<String> {
    let (first, second) = text.split_at(split);
    let mut halves = Vec::new();
    while let Ok(mut io) = TcpStream::connect(address) {
        if io.write_all(first.as_bytes()).is_err() {
            break;
        }
        halves.push((Instant::now(), io));
        std::thread::sleep(Duration::from_millis(50));
    }
    let end = Instant::now();
    halves.retain(|(sent, _)| end - *sent > Duration::from_millis(100));
    let mut answers = Vec::new();
    for (_, io) in halves.iter_mut().step_by(2) {
        let _ = io.write_all(second.as_bytes());
    }
    for (_, mut io) in halves {
        let mut bytes = Vec::new();
        let _ = io.set_read_timeout(Some(Duration::from_secs(5)));
        let _ = io.read_to_end(&mut bytes);
        answers.push(String::from_utf8_lossy(&bytes).into_owned());
    }
    answers
}

fn assert_all_answered(answers: &[String]) {
    assert!(!answers.is_empty());
    let is_answer = |a: &&String| {
        let is_known = ["HTTP/1.1 200 ", "HTTP/1.1 503 ", "HTTP/1.1 408 "];
        is_known.iter().any(|s| a.starts_with(s)) && a.contains("\r\n\r\n")
    };
    let lost = answers.iter().filter(|a| !is_answer(a)).count();
    assert_eq!(lost, 0, "of {}: {answers:?}", answers.len());
}

/// A request of which the node had read only a part of the head did not count as open.
#[test]
fn request_whose_head_is_half_read_when_a_stopping_node_ends_is_answered() {
    let (mut node, _endpoints) = NodeProcess::with_plain_endpoints();
    node.terminate();
    node.wait_until("the node is not ready", |n| n.ready_status() == 503);
    std::thread::sleep(LATE);
    let text = short_request("r1");
    let answers = send_in_two_parts(node.front, &text, 40);
    assert_all_answered(&answers);
    assert!(node.wait_for_exit());
}

/// Callers ask a stopping node for addresses until its end.
#[test]
fn question_for_addresses_that_is_half_read_when_a_stopping_node_ends_is_answered() {
    let (mut node, _endpoints) = NodeProcess::with_plain_endpoints();
    node.terminate();
    node.wait_until("the node is not ready", |n| n.ready_status() == 503);
    std::thread::sleep(LATE);
    let text = "GET /v1/resolve?name=a&zone=z1 HTTP/1.1\r\nHost: a\r\n\r\n";
    let answers = send_in_two_parts(node.directory, text, 20);
    assert_all_answered(&answers);
    assert!(node.wait_for_exit());
}

/// Another VM that reads the store's topics from this one had its reads cut off.
#[test]
fn read_of_a_peer_that_is_half_read_when_a_stopping_node_ends_is_answered() {
    let (mut node, _endpoints) = NodeProcess::with_plain_endpoints();
    node.terminate();
    node.wait_until("the node is not ready", |n| n.ready_status() == 503);
    std::thread::sleep(LATE);
    let answers = send_in_two_parts(node.peer, "GET /config/all HTTP/1.1\r\n\r\n", 10);
    assert_all_answered(&answers);
    assert!(node.wait_for_exit());
}

/// A request whose body was awaited kept the node until the last moment, and was then cut off.
#[test]
fn request_whose_body_is_late_when_a_stopping_node_ends_is_answered() {
    let (mut node, _endpoints) = NodeProcess::with_plain_endpoints();
    node.terminate();
    node.wait_until("the node is not ready", |n| n.ready_status() == 503);
    std::thread::sleep(LATE);
    let body = "x".repeat(100);
    let text = request("POST", "/once/a", "r1", "", &body);
    // The caller waits longer than the node runs, and sends no more than a part of the body.
    let mut io = TcpStream::connect(node.front).unwrap();
    io.write_all(&text.as_bytes()[..text.len() - 50]).unwrap();
    let answers = send_in_two_parts(node.front, &text, text.len() - 50);
    assert_all_answered(&answers);
    let mut bytes = Vec::new();
    let _ = io.read_to_end(&mut bytes);
    assert_all_answered(&[String::from_utf8_lossy(&bytes).into_owned()]);
    assert!(node.wait_for_exit());
}
