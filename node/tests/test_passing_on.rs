//! Requests that one daemon passes on to another, at both of them: who may do so, and what becomes of
//! a request whose peer does not answer as it should.

use std::time::{Duration, Instant};

use hemlock_lib::node::passing::{
    self, Origin, PassedRequest, PeerReport, REPORT_HEADER, REQUEST_HEADER, SECRET_KEY_PREFIX,
    SecretRecord, Sends,
};
use hemlock_platform::store::{Store, Topic};
use hemlock_platform_standin::caller::{self, Response};
use hemlock_platform_standin::endpoint::Endpoint;
use hemlock_platform_standin::fixtures;
use hemlock_platform_standin::server::free_address;

use crate::fake_peer::{Answer, FakePeer};
use crate::node_process::{NodeProcess, config, request};

/// Returns the secret of a daemon that is in the store.
fn secret_of(node: &NodeProcess, name: &str) -> String {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    let store = Store::new(node.store.address());
    let snapshot = runtime.block_on(store.read_snapshot(Topic::Members));
    let records = snapshot.expect("the members are read").records;
    let key = format!("{SECRET_KEY_PREFIX}{name}");
    let record = records.iter().find(|r| r.key == key);
    let value = record.and_then(|r| r.value.as_deref());
    let value = value.expect("the daemon has written its secret");
    let record: SecretRecord = rmp_serde::from_slice(value).expect("the record is valid");
    record.secret
}

fn message(secret: &str) -> PassedRequest {
    PassedRequest {
        secret: secret.to_owned(),
        from: "entry-9".to_owned(),
        config: 1,
        service: "plain".into(),
        left_ms: 1_500,
        age_ms: 0,
        exit_ms: None,
        pause_ms: None,
        last_event: None,
        events: 0,
        sends: Sends::default(),
        max_runs: 1,
        leaving: Vec::new(),
    }
}

/// Returns a request without a body as a peer passes it on.
fn passed(message: &PassedRequest, path: &str, id: &str, headers: &str) -> String {
    let text = passing::encode(message).expect("the message is encoded");
    request(
        "POST",
        &format!("/requests{path}"),
        id,
        &format!("{headers}{REQUEST_HEADER}: {text}\r\n"),
        "",
    )
}

fn run_count(endpoints: &[Endpoint]) -> usize {
    endpoints.iter().map(|e| e.runs().len()).sum()
}

fn report_of(response: &Response) -> PeerReport {
    let text = response.header(&REPORT_HEADER.to_lowercase());
    passing::decode(text.expect("the response has a report")).expect("the report is valid")
}

/// The response to a request that was accepted, without the interim ones.
fn send_passed(node: &NodeProcess, text: &str) -> Response {
    use std::io::{Read, Write};
    let mut io = std::net::TcpStream::connect(node.peer).expect("the daemon listens");
    io.write_all(text.as_bytes()).expect("the request is sent");
    let mut interim = [0; 25];
    io.read_exact(&mut interim).expect("the daemon answers");
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    caller::exchange(&mut io, "")
}

#[test]
fn member_has_a_request_run_with_the_account_of_its_key() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    let message = message(&secret_of(&node, "entry-1"));
    let response = send_passed(
        &node,
        &passed(
            &message,
            "/once/a?b=c",
            "r1",
            "Tenant: forged\r\nHemlock-X: 1\r\n",
        ),
    );
    assert_eq!(response.status, 200, "{response:?}");
    assert!(fixtures::is_endpoint_response(&response, "r1"));
    let report = report_of(&response);
    assert!(
        matches!(report.origin, Origin::Endpoint { .. }),
        "{report:?}"
    );
    assert_eq!(report.sends.reached, 1);
    let runs: Vec<_> = plain.iter().flat_map(|e| e.runs()).collect();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].target, "/once/a?b=c");
    assert_eq!(runs[0].headers["tenant"], "acme");
    let deadline: u64 = runs[0].headers["deadline-ms"].parse().unwrap();
    assert!(deadline <= 1_500, "{deadline}");
    let own = runs[0].headers.keys().filter(|h| h.starts_with("hemlock-"));
    assert_eq!(own.count(), 0, "{:?}", runs[0].headers);
}

/// Only the secret opens the way, and an account is found by the key of the caller alone.
#[test]
fn nobody_without_the_secret_has_a_request_run() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    let secret = secret_of(&node, "entry-1");
    for wrong in ["", "0", &"0".repeat(32), &secret[..31]] {
        let response = caller::send(node.peer, &passed(&message(wrong), "/once/a", "r1", ""));
        assert_eq!(response.status, 403, "{response:?}");
        assert!(response.header("server-stamp").is_none());
    }
    let at_front = passed(&message(&secret), "/once/a", "r2", "");
    assert_eq!(caller::send(node.front, &at_front).status, 404);
    let keyless = passed(&message(&secret), "/once/a", "r3", "").replace("key-1", "none");
    let response = send_passed(&node, &keyless);
    assert!(!matches!(response.status, 200..=299), "{response:?}");
    assert_eq!(run_count(&plain), 0);
    node.wait_until("all strangers are logged", |n| {
        n.log_lines("event=stranger_denied").len() == 4
    });
    assert!(node.log_lines(&secret).is_empty(), "the secret was logged");
}

/// A caller that knows our headers must not speak for a peer, nor be told what peers are told.
#[test]
fn headers_of_members_are_dropped_from_requests_of_callers() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    let message = message(&secret_of(&node, "entry-1"));
    let text = passing::encode(&message).unwrap();
    let headers = format!("{REQUEST_HEADER}: {text}\r\nHEMLOCK-Other: 1\r\n");
    let response = node.send("POST", "/once/a", "r1", &headers, "x");
    assert_eq!(response.status, 200, "{response:?}");
    assert!(!response.head.to_lowercase().contains("hemlock-"));
    let run = plain.iter().flat_map(|e| e.runs()).next().unwrap();
    assert!(!run.headers.keys().any(|h| h.starts_with("hemlock-")));
}

#[test]
fn request_by_a_newer_configuration_is_handed_back() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    let message = PassedRequest {
        config: 2,
        ..message(&secret_of(&node, "entry-1"))
    };
    let response = caller::send(node.peer, &passed(&message, "/once/a", "r1", ""));
    assert_eq!(response.status, 503);
    assert_eq!(
        report_of(&response).origin,
        Origin::Elsewhere {
            cause: "older_config".to_owned()
        }
    );
    assert_eq!(run_count(&plain), 0);
}

#[test]
fn stopping_vm_hands_requests_of_peers_back() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    let message = message(&secret_of(&node, "entry-1"));
    node.terminate();
    node.wait_until("the node is stopping", |n| {
        !n.log_lines("event=stopping").is_empty()
    });
    let response = caller::send(node.peer, &passed(&message, "/once/a", "r1", ""));
    assert_eq!(
        report_of(&response).origin,
        Origin::Elsewhere {
            cause: "stopping".to_owned()
        }
    );
    assert_eq!(run_count(&plain), 0);
}

/// Starts a daemon before endpoints to which nobody can connect.
fn cut_node() -> NodeProcess {
    let node = NodeProcess::unconfigured();
    for name in ["p1", "p2", "p3", "p4"] {
        Endpoint::spawn(&node.store, name, "plain", None).publish_entry_at(free_address());
    }
    let mut config = config(1);
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeoutMs"] = 10_000.into();
    }
    node.configure(&config);
    node.wait_until("four endpoints serve", |n| {
        n.log_lines("event=serving").len() >= 4
    });
    node
}

/// Sends requests until one was passed on, and returns the response to that one.
fn send_until_passed_on(node: &NodeProcess, method: &str, path: &str) -> (Response, Duration) {
    send_body_until_passed_on(node, method, path, "x")
}

fn send_body_until_passed_on(
    node: &NodeProcess,
    method: &str,
    path: &str,
    body: &str,
) -> (Response, Duration) {
    let begin = Instant::now();
    for i in 0.. {
        let id = format!("r{i}");
        let started = Instant::now();
        let response = node.send(method, path, &id, "", body);
        let time = started.elapsed();
        // Lines are written every 100 ms.
        std::thread::sleep(Duration::from_millis(250));
        let line = format!("event=passed_on request={id} ");
        if !node.log_lines(&line).is_empty() {
            return (response, time);
        }
        assert!(begin.elapsed() < Duration::from_secs(15), "{response:?}");
    }
    unreachable!()
}

/// A build without this way closes the connection, and so does a peer that is just ending.
#[test]
fn request_that_an_earlier_build_refuses_did_not_run() {
    let node = cut_node();
    let old = FakePeer::spawn(&node, "entry-8", Answer::Close);
    let (response, _) = send_until_passed_on(&node, "POST", "/once/a");
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.header("retry-after").is_some());
    assert!(!old.heads().is_empty());
}

#[test]
fn silent_peer_is_given_up_long_before_the_deadline_and_runs_nothing() {
    let node = cut_node();
    let mute = FakePeer::spawn(&node, "entry-8", Answer::Mute);
    let (response, time) = send_until_passed_on(&node, "POST", "/once/a");
    assert_eq!(response.status, 503, "{response:?}");
    assert!(time < Duration::from_millis(1_500), "{time:?}");
    assert_eq!(mute.accepted(), 0);
}

#[test]
fn request_is_not_repeated_when_its_peer_falls_silent_after_accepting_it() {
    let node = cut_node();
    let peers = ["entry-7", "entry-8"].map(|n| FakePeer::spawn(&node, n, Answer::AcceptAndMute));
    let (response, time) = send_until_passed_on(&node, "POST", "/once/a");
    assert_eq!(response.status, 504, "{response:?}");
    let deadline = Duration::from_millis(3_000);
    assert!(time < deadline + Duration::from_millis(500), "{time:?}");
    assert_eq!(peers.iter().map(FakePeer::accepted).sum::<usize>(), 1);
}

/// A peer that accepts a long request and stands still held it beyond its deadline of 3 s.
#[test]
fn request_whose_peer_does_not_read_its_body_ends_by_the_deadline() {
    let node = cut_node();
    let mut long_bodies = config(2);
    long_bodies["limits"]["maxBodyBytes"] = serde_json::json!(32 << 20);
    node.configure(&long_bodies);
    node.wait_until("the limits are known", |n| {
        !n.log_lines("event=config version=2").is_empty()
    });
    let unread = Answer::AcceptUnread(Duration::from_secs(10));
    let _peer = FakePeer::spawn(&node, "entry-8", unread);
    let body = "x".repeat(16 << 20);
    let (response, time) = send_body_until_passed_on(&node, "POST", "/once/a", &body);
    assert_eq!(response.status, 503, "{time:?} {response:?}");
    assert!(time < Duration::from_millis(3_500), "{time:?}");
}

/// A status of the peer itself is no answer of an endpoint, signed or not.
#[test]
fn failure_of_a_peer_is_not_taken_for_an_answer() {
    for status in [
        "200 OK",
        "502 Bad Gateway",
        "503 Service Unavailable",
        "504 Gateway Timeout",
    ] {
        let node = cut_node();
        let text = format!(
            "HTTP/1.1 {status}\r\nRequest-Id: r0\r\nServer-Stamp: forged\r\nContent-Length: 4\r\n\r\nfake"
        );
        let _peer = FakePeer::spawn(&node, "entry-8", Answer::Accept(text));
        let (response, _) = send_until_passed_on(&node, "POST", "/once/a");
        assert_eq!(response.status, 502, "{status}: {response:?}");
        assert!(response.header("server-stamp").is_none(), "{response:?}");
        assert!(response.body.is_empty(), "{response:?}");
    }
}

/// A peer that forwards an answer has not counted the run that it comes from.
#[test]
fn request_whose_answer_comes_through_a_peer_is_not_refused_as_unrun() {
    let report = |sends: Sends| {
        let (id, started_ms) = ("p9".into(), 1_000);
        let report = PeerReport {
            origin: Origin::Endpoint { id, started_ms },
            sends,
            leaving: Vec::new(),
        };
        passing::encode(&report).expect("the report is encoded")
    };
    let signed = "Server-Stamp: p9\r\n";
    let answers = [
        (
            "too large",
            format!("200 OK\r\n{signed}Content-Length: 9000000"),
        ),
        ("unsigned", "200 OK\r\nContent-Length: 4".to_owned()),
        ("cut off", format!("200 OK\r\n{signed}Content-Length: 9")),
        (
            "malformed",
            format!("200 OK\r\n{signed}Transfer-Encoding: chunked"),
        ),
        (
            "408",
            format!("408 Request Timeout\r\n{signed}Content-Length: 4"),
        ),
        (
            "421",
            format!("421 Misdirected Request\r\n{signed}Content-Length: 4"),
        ),
        (
            "429",
            format!("429 Too Many Requests\r\n{signed}Content-Length: 4"),
        ),
        (
            "503",
            format!("503 Service Unavailable\r\n{signed}Content-Length: 4"),
        ),
    ];
    let check = |name: &str, head: &str| {
        let node = cut_node();
        let text = format!(
            "HTTP/1.1 {head}\r\nRequest-Id: r0\r\n{REPORT_HEADER}: {}\r\n\r\nfake",
            report(Sends::new(vec!["p9".into()], 1, 0))
        );
        let spawn = |n| FakePeer::spawn(&node, n, Answer::Accept(text.clone()));
        let _peers = ["entry-7", "entry-8"].map(spawn);
        send_until_passed_on(&node, "POST", "/once/a");
        for (kind, method) in [("once", "POST"), ("plain", "GET")] {
            // A peer that failed is avoided for a second.
            std::thread::sleep(Duration::from_millis(1_200));
            let response = node.send(method, &format!("/{kind}/a"), "r0", "", "x");
            assert_eq!(response.status, 502, "{name}, {kind}: {response:?}");
        }
    };
    std::thread::scope(|scope| {
        for (name, head) in &answers {
            scope.spawn(|| check(name, head));
        }
    });
}

#[test]
fn peer_gets_the_request_as_the_caller_sent_it_with_what_both_must_know() {
    let node = cut_node();
    let peer = FakePeer::spawn(&node, "entry-8", Answer::Close);
    send_until_passed_on(&node, "POST", "/once/a?b=c");
    let head = peer.heads().pop().expect("a request was passed on");
    assert!(
        head.starts_with("POST /requests/once/a?b=c HTTP/1.1\r\n"),
        "{head}"
    );
    for line in ["Api-Key: key-1", "Deadline-Ms: 3000", "Host: site.example"] {
        assert!(head.contains(line), "{head}");
    }
    let prefix = format!("{REQUEST_HEADER}: ");
    let text = head.lines().find_map(|l| l.strip_prefix(&prefix)).unwrap();
    let message: PassedRequest = passing::decode(text).unwrap();
    assert_eq!(
        (message.from.as_str(), &*message.service),
        ("entry-1", "plain")
    );
    assert!(message.left_ms <= 3_000, "{message:?}");
    assert_eq!(
        (message.sends.reached, message.sends.possible_runs()),
        (0, 0)
    );
}
