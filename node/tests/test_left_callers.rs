//! Requests whose callers have left: they reach no endpoint, and the work on them ends.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use hemlock_platform_standin::endless::{Endless, Pace};
use hemlock_platform_standin::endpoint::{Endpoint, Mode};
use hemlock_platform_standin::proxy::Link;

use crate::cluster::{Cluster, MODEL_HEADERS};
use crate::node_process::{NodeProcess, request};

/// Requests of each kind that are sent while the node stands still.
const CALLERS: usize = 6;
/// Time within which an endpoint sees that a request is not wanted any more.
const END_LIMIT: Duration = Duration::from_millis(500);
/// Time in which a request that is still sent on reaches an endpoint.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// How a caller leaves.
#[derive(Debug, Clone, Copy)]
enum Leave {
    Close,
    Reset,
    HalfClose,
}

/// Leaves; returns the connection if it is only half closed.
fn leave(io: TcpStream, how: Leave) -> Option<TcpStream> {
    match how {
        Leave::Close => None,
        Leave::Reset => {
            let socket = socket2::SockRef::from(&io);
            socket
                .set_linger(Some(Duration::ZERO))
                .expect("the linger time is set");
            None
        }
        Leave::HalfClose => {
            io.shutdown(Shutdown::Write).expect("half of it is closed");
            Some(io)
        }
    }
}

fn text_of(kind: &str, id: &str) -> String {
    match kind {
        "plain" => request("GET", "/plain/a", id, "", ""),
        "once" => request("POST", "/once/a", id, "", "x"),
        _ => request("POST", "/stream/a", id, MODEL_HEADERS, "x"),
    }
}

/// Sends requests of all kinds to a node that stands still, and leaves.
fn send_and_leave(front: SocketAddr, how: Leave) -> Vec<TcpStream> {
    let kinds = ["plain", "once", "stream"];
    let numbered = (0..CALLERS).flat_map(|n| kinds.map(|kind| (kind, n)));
    let connections = numbered.map(|(kind, n)| {
        let mut io = TcpStream::connect(front).expect("the backlog takes the connection");
        let text = text_of(kind, &format!("left-{how:?}-{kind}-{n}"));
        io.write_all(text.as_bytes()).expect("the request is sent");
        leave(io, how)
    });
    connections.flatten().collect()
}

/// Lists the requests of callers that left which ran at any endpoint.
fn runs_of_left(endpoints: &[Endpoint]) -> Vec<String> {
    let runs = endpoints.iter().flat_map(Endpoint::runs);
    let ids = runs.map(|run| run.request_id);
    ids.filter(|id| id.starts_with("left")).collect()
}

fn wait_for_ends(node: &NodeProcess, endpoints: &[Endpoint], count: usize) {
    std::thread::sleep(END_LIMIT);
    let ended: usize = endpoints.iter().map(Endpoint::abandoned_requests).sum();
    let log = node.log_lines("request=");
    assert_eq!(
        ended, count,
        "requests whose end the endpoints have seen: {log:?}"
    );
}

#[test]
fn request_of_a_caller_that_left_while_the_vm_stood_still_reaches_no_endpoint() {
    let cluster = Cluster::spawn();
    cluster.send_for("warm", Duration::from_millis(400));
    for how in [Leave::Close, Leave::Reset, Leave::HalfClose] {
        cluster.nodes[0].signal("STOP");
        let half_closed = send_and_leave(cluster.nodes[0].front, how);
        std::thread::sleep(END_LIMIT);
        cluster.nodes[0].signal("CONT");
        std::thread::sleep(SETTLE_TIME);
        assert_eq!(runs_of_left(&cluster.endpoints), [""; 0], "{how:?}");
        drop(half_closed);
    }
}

#[test]
fn request_of_a_caller_that_left_is_not_passed_on() {
    let cluster = Cluster::spawn();
    cluster.set_link(0, Link::Silent);
    cluster.send_for("cut", Duration::from_secs(2));
    cluster.nodes[0].signal("STOP");
    send_and_leave(cluster.nodes[0].front, Leave::Close);
    std::thread::sleep(END_LIMIT);
    cluster.nodes[0].signal("CONT");
    std::thread::sleep(SETTLE_TIME);
    assert_eq!(runs_of_left(&cluster.endpoints), [""; 0]);
}

#[test]
fn work_ends_when_a_caller_leaves_behind_pipelined_bytes() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    plain.iter().for_each(|e| e.set_mode(Mode::Mute));
    let mut io = TcpStream::connect(node.front).expect("a connection opens");
    let text = text_of("once", "r1") + &text_of("once", "r2").repeat(1_200);
    io.write_all(text.as_bytes())
        .expect("the requests are sent");
    node.wait_until("the request runs", |_| {
        plain.iter().any(|e| !e.runs().is_empty())
    });
    drop(io);
    wait_for_ends(&node, &plain, 1);
}

#[test]
fn work_ends_when_a_caller_that_does_not_read_leaves() {
    let (node, engines) = NodeProcess::with_engines();
    let endless = Mode::Endless(Endless::Events, Pace::Fast);
    engines.iter().for_each(|e| e.set_mode(endless));
    let mut io = TcpStream::connect(node.front).expect("a connection opens");
    io.write_all(text_of("stream", "r1").as_bytes())
        .expect("the request is sent");
    let mut first = [0; 64];
    io.read_exact(&mut first).expect("the stream begins");
    // Until all buffers on the way are full.
    std::thread::sleep(SETTLE_TIME);
    let io = leave(io, Leave::HalfClose);
    wait_for_ends(&node, &engines, 1);
    drop(io);
}

#[test]
fn request_given_up_in_a_silent_cut_does_not_reach_its_endpoint_when_the_link_is_back() {
    let cluster = Cluster::spawn();
    cluster.send_for("warm", Duration::from_millis(400));
    cluster
        .nodes
        .iter()
        .enumerate()
        .for_each(|(i, _)| cluster.set_link(i, Link::Silent));
    let front = cluster.nodes[0].front;
    let callers: Vec<TcpStream> = ["plain", "once", "stream"]
        .into_iter()
        .flat_map(|kind| (0..2).map(move |n| (kind, n)))
        .map(|(kind, n)| {
            let mut io = TcpStream::connect(front).expect("a connection opens");
            let text = text_of(kind, &format!("left-{kind}-{n}"));
            io.write_all(text.as_bytes()).expect("the request is sent");
            io
        })
        .collect();
    std::thread::sleep(END_LIMIT);
    drop(callers);
    std::thread::sleep(SETTLE_TIME);
    cluster
        .nodes
        .iter()
        .enumerate()
        .for_each(|(i, _)| cluster.set_link(i, Link::Open));
    std::thread::sleep(SETTLE_TIME);
    assert_eq!(runs_of_left(&cluster.endpoints), [""; 0]);
}
