use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use hemlock_platform_standin::caller::{self, Response};
use hemlock_platform_standin::endpoint::Endpoint;
use hemlock_platform_standin::proxy::Link;

use crate::cluster::Cluster;
use crate::node_process::{NodeProcess, config, request};

/// Smallest memory limit of an entry VM, as a line of settings.
const SMALL_VM: &str = "memory_mb: 160\n";
const SMALL_VM_MB: u64 = 160;
/// Size of a body that the limits of the configuration allow.
const BODY_BYTES: usize = 4 << 20;
/// Time for which endpoints work on a request.
const RUN_TIME: Duration = Duration::from_millis(700);
/// Time within which a small request is answered beside large ones.
const CALM_LIMIT: Duration = Duration::from_secs(2);

/// Returns the identifiers of the requests that ran.
fn runs(endpoints: &[Endpoint]) -> Vec<String> {
    let runs = endpoints.iter().flat_map(Endpoint::runs);
    runs.map(|r| r.request_id).collect()
}

fn metric(node: &NodeProcess, line: &str) -> f64 {
    let text = caller::send(node.metrics, "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n").body;
    let value = text.lines().find_map(|l| l.strip_prefix(line));
    value.and_then(|v| v.trim().parse().ok()).unwrap_or(0.0)
}

/// Publishes a configuration that allows bodies of this size, and waits until it is in force.
fn allow_bodies(node: &NodeProcess, bytes: usize) {
    let mut large = config(2);
    large["limits"]["maxBodyBytes"] = bytes.into();
    node.configure(&large);
    node.wait_until("the limits are known", |n| {
        !n.log_lines("event=config version=2").is_empty()
    });
}

/// Checks a refusal of a request that did not run.
fn assert_refused(response: &Response, id: &str, runs: &[String]) {
    assert_eq!(response.status, 503, "{}", response.head);
    let after = response.header("Retry-After").expect("a Retry-After");
    let after: f64 = after.parse().expect("seconds");
    assert!((0.02..=1.0).contains(&after), "{after}");
    assert!(!runs.iter().any(|r| r == id), "{id} ran");
}

/// Sends a body from each of `callers` at once, and small requests meanwhile.
fn assert_fits(path: &'static str, framing: Framing, callers: usize) {
    let (node, plain) = NodeProcess::with_plain_endpoints_and(SMALL_VM);
    allow_bodies(&node, BODY_BYTES);
    plain.iter().for_each(|e| e.set_run_time(RUN_TIME));
    let responses: Vec<(String, Response)> = std::thread::scope(|scope| {
        let send = |i: usize| {
            let (id, front) = (format!("b{i}"), node.front);
            let text = framing.request(path, &id);
            scope.spawn(move || (id, caller::send(front, &text)))
        };
        let threads: Vec<_> = (0..callers).map(send).collect();
        for i in 0..5 {
            let sent = Instant::now();
            let response = node.send("GET", "/plain/a", &format!("s{i}"), "", "small");
            assert_eq!(response.status, 200, "{}", response.head);
            let elapsed = sent.elapsed();
            assert!(elapsed < RUN_TIME + CALM_LIMIT, "{elapsed:?}");
        }
        let join = |t: std::thread::ScopedJoinHandle<'_, _>| t.join().expect("no caller panics");
        threads.into_iter().map(join).collect()
    });
    let (peak, runs) = (node.peak_memory_mb(), runs(&plain));
    let served = responses.iter().filter(|(_, r)| r.status == 200).count();
    println!("{path} {framing:?} {callers}: {served} served, peak {peak} MB");
    assert!(peak < SMALL_VM_MB, "{peak} MB");
    assert!(served >= 4, "{served} served");
    assert!(served < callers, "all fitted");
    for (id, response) in responses.iter().filter(|(_, r)| r.status != 200) {
        assert_refused(response, id, &runs);
    }
    let refused = metric(&node, "hemlock_memory_refused_total{kind=\"body\"}");
    assert!(refused >= (callers - served) as f64, "{refused}");
    node.wait_until("the memory is free again", |n| {
        metric(n, "hemlock_body_bytes") == 0.0
    });
    assert!(metric(&node, "hemlock_memory_budget_bytes") > 0.0);
}

#[derive(Debug, Clone, Copy)]
enum Framing {
    Length,
    Chunked,
}

impl Framing {
    fn request(self, path: &str, id: &str) -> String {
        let body = "x".repeat(BODY_BYTES);
        match self {
            Self::Length => request("POST", path, id, "", &body),
            Self::Chunked => {
                let text = request("POST", path, id, "", "");
                let chunk = format!("{:x}\r\n{}\r\n", 64 << 10, "x".repeat(64 << 10));
                text.replace("Content-Length: 0", "Transfer-Encoding: chunked")
                    + &chunk.repeat(BODY_BYTES / (64 << 10))
                    + "0\r\n\r\n"
            }
        }
    }
}

#[test]
fn bodies_of_many_callers_fit_into_memory() {
    assert_fits("/once/a", Framing::Length, 48);
}

#[test]
fn chunked_bodies_of_many_callers_fit_into_memory() {
    assert_fits("/plain/a", Framing::Chunked, 48);
}

#[test]
fn connection_is_kept_after_a_refusal_for_want_of_memory() {
    let (node, plain) = NodeProcess::with_plain_endpoints_and("memory_mb: 96\n");
    allow_bodies(&node, 64 << 20);
    let mut io = TcpStream::connect(node.front).expect("a connection opens");
    let body = "x".repeat(40 << 20);
    let response = caller::exchange(&mut io, &request("POST", "/once/a", "r1", "", &body));
    assert_refused(&response, "r1", &runs(&plain));
    let next = caller::exchange(&mut io, &request("POST", "/once/a", "r2", "", "x"));
    assert_eq!(next.status, 200, "{}", next.head);
    assert!(node.peak_memory_mb() < 40);
}

#[test]
fn body_without_memory_is_refused_before_it_is_asked_for() {
    let (node, plain) = NodeProcess::with_plain_endpoints_and("memory_mb: 96\n");
    allow_bodies(&node, 64 << 20);
    let text = request("POST", "/once/a", "r1", "Expect: 100-continue\r\n", "");
    let text = text.replace("Content-Length: 0", "Content-Length: 41943040");
    let response = caller::send(node.front, &text);
    assert_refused(&response, "r1", &runs(&plain));
    assert_eq!(response.header("Connection"), Some("close"));
}

#[test]
fn unfinished_heads_do_not_take_the_memory_of_others() {
    let (node, _plain) = NodeProcess::with_plain_endpoints_and("memory_mb: 96\n");
    let start = format!("GET /plain/a HTTP/1.1\r\nX: {}", "x".repeat(15 << 10));
    let slow: Vec<TcpStream> = (0..500)
        .map(|_| {
            let mut io = TcpStream::connect(node.front).expect("a connection opens");
            // Some are refused and closed before all is sent.
            let _ = io.write_all(start.as_bytes());
            io
        })
        .collect();
    let response = node.send("GET", "/plain/a", "r1", "", "x");
    assert_eq!(response.status, 200, "{}", response.head);
    node.wait_until("some heads are refused", |n| {
        metric(n, "hemlock_memory_refused_total{kind=\"head\"}") > 0.0
    });
    let buffered = metric(&node, "hemlock_buffered_bytes");
    let budget = metric(&node, "hemlock_memory_budget_bytes");
    println!("{buffered} of {budget} bytes buffered");
    assert!(buffered < budget / 4.0, "{buffered} of {budget}");
    drop(slow);
    node.wait_until("the memory is free again", |n| {
        metric(n, "hemlock_buffered_bytes") < 4_096.0
    });
}

#[test]
fn bytes_after_a_refused_body_are_discarded() {
    let (node, _plain) = NodeProcess::with_plain_endpoints();
    let text = request("POST", "/once/a", "r1", "", "").replace(
        "Content-Length: 0",
        &format!("Content-Length: {}", 1_u64 << 40),
    );
    let mut io = TcpStream::connect(node.front).expect("a connection opens");
    io.write_all(text.as_bytes()).expect("the head is sent");
    let block = vec![b'x'; 1 << 20];
    let until = Instant::now() + Duration::from_millis(500);
    let mut sent = 0;
    while Instant::now() < until && io.write_all(&block).is_ok() {
        sent += 1;
    }
    let mut status = [0; 12];
    io.read_exact(&mut status).expect("an answer");
    assert_eq!(&status, b"HTTP/1.1 413");
    let peak = node.peak_memory_mb();
    println!("{sent} MB sent, peak {peak} MB");
    assert!(peak < 40, "{peak} MB after {sent} MB");
}

#[test]
fn head_with_many_lines_is_read_within_the_limit() {
    let (node, _plain) = NodeProcess::with_plain_endpoints();
    let lines: String = (0..200).map(|i| format!("X-{i}: a\r\n")).collect();
    let response = node.send("GET", "/plain/a", "r1", &lines, "");
    assert_eq!(response.status, 200, "{}", response.head);
    let lines: String = (0..4_000).map(|i| format!("X-{i}: a\r\n")).collect();
    let response = node.send("GET", "/plain/a", "r2", &lines, "");
    assert_eq!(response.status, 431, "{}", response.head);
}

#[test]
fn body_that_is_passed_on_is_refused_while_no_peer_has_memory() {
    let cluster = Cluster::spawn_with(SMALL_VM);
    allow_bodies(&cluster.nodes[0], BODY_BYTES);
    for node in &cluster.nodes {
        node.wait_until("the limits are known", |n| {
            !n.log_lines("event=config version=2").is_empty()
        });
    }
    cluster.set_link(0, Link::Silent);
    cluster.send_for("cut", Duration::from_secs(2));
    for e in &cluster.endpoints {
        e.set_run_time(RUN_TIME);
    }
    let front = cluster.nodes[0].front;
    let responses: Vec<(String, Response)> = std::thread::scope(|scope| {
        let send = |i: usize| {
            let id = format!("b{i}");
            let text = Framing::Length.request("/once/a", &id);
            scope.spawn(move || (id, caller::send(front, &text)))
        };
        let threads: Vec<_> = (0..16).map(send).collect();
        let join = |t: std::thread::ScopedJoinHandle<'_, _>| t.join().expect("no caller panics");
        threads.into_iter().map(join).collect()
    });
    let runs = runs(&cluster.endpoints);
    for (id, response) in &responses {
        let count = runs.iter().filter(|r| *r == id).count();
        match response.status {
            200 => assert_eq!(count, 1, "{id}"),
            503 => assert_eq!(count, 0, "{id}"),
            _ => assert!(count <= 1, "{id}"),
        }
    }
    let served = responses.iter().filter(|(_, r)| r.status == 200).count();
    println!("{served} of {} served", responses.len());
    assert!(served > 0);
    for node in &cluster.nodes {
        assert!(node.peak_memory_mb() < SMALL_VM_MB);
    }
}
