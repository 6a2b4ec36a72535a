use std::io::{Read, Write};
use std::net::TcpStream;

use hemlock_platform_standin::texts;
use hemlock_platform_standin::worker::{Mode, Worker};

use crate::node_process::{NodeProcess, request};

fn runs(workers: &[Worker]) -> usize {
    workers.iter().map(|w| w.runs().len()).sum()
}

#[test]
fn a_request_reaches_an_endpoint_unchanged_but_for_the_account() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    let headers = "Tenant: forged\r\nX-Own: kept\r\nConnection: x-hop\r\nX-Hop: 1\r\n";
    let got = node.send("POST", "/once/a?b=c", "r1", headers, "the body");
    assert_eq!((got.status, got.complete), (200, true), "{got:?}");
    assert!(texts::is_own(&got, "r1"), "{got:?}");
    let all: Vec<_> = plain.iter().flat_map(|w| w.runs()).collect();
    assert_eq!(all.len(), 1);
    let run = &all[0];
    assert_eq!(
        (run.target.as_str(), &*run.body),
        ("/once/a?b=c", &b"the body"[..])
    );
    assert_eq!(run.headers.get("tenant").map(String::as_str), Some("acme"));
    assert_eq!(run.headers.get("x-own").map(String::as_str), Some("kept"));
    for absent in ["api-key", "x-hop", "connection"] {
        assert!(!run.headers.contains_key(absent), "{absent}");
    }
    let left: u64 = run.headers["deadline-ms"].parse().unwrap();
    assert!((1..=3_000).contains(&left));
}

#[test]
fn work_that_must_run_once_is_not_sent_again_after_a_lost_answer() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    plain.iter().for_each(|w| w.set_mode(Mode::LoseAnswers));
    let got = node.send("POST", "/once/a", "r1", "", "x");
    assert_eq!(got.status, 502);
    assert_eq!(runs(&plain), 1);
}

#[test]
fn work_that_may_repeat_is_sent_again_after_a_lost_answer() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    plain[0].set_mode(Mode::LoseAnswers);
    for i in 0..6 {
        let got = node.send("GET", "/plain/a", &format!("r{i}"), "", "");
        assert_eq!(got.status, 200, "{got:?}");
    }
}

#[test]
fn a_torn_answer_is_never_passed_on_as_whole() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    plain.iter().for_each(|w| w.set_mode(Mode::Torn));
    let got = node.send("POST", "/once/a", "r1", "", "x");
    assert_eq!(got.status, 502, "{got:?}");
    assert_eq!(runs(&plain), 1);
}

#[test]
fn an_unsigned_success_is_not_the_endpoints() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    plain.iter().for_each(|w| w.set_mode(Mode::Unsigned));
    let got = node.send("POST", "/once/a", "r1", "", "x");
    assert_eq!(got.status, 502, "{got:?}");
}

#[test]
fn an_answer_to_another_request_is_skipped() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    plain.iter().for_each(|w| w.set_mode(Mode::Foreign));
    let got = node.send("POST", "/once/a", "r1", "", "x");
    assert_eq!(
        (got.status, got.header("request-id")),
        (200, Some("r1")),
        "{got:?}"
    );
    assert!(got.body.starts_with("answer of"), "{got:?}");
}

#[test]
fn bytes_after_an_answer_reach_nobody() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    plain.iter().for_each(|w| w.set_mode(Mode::Extra));
    for i in 0..10 {
        let id = format!("r{i}");
        let got = node.send("POST", "/once/a", &id, "", "x");
        assert_eq!(got.status, 200);
        assert_eq!(got.header("request-id"), Some(id.as_str()));
        assert!(got.body.starts_with("answer of"), "{got:?}");
    }
    assert_eq!(runs(&plain), 10);
}

#[test]
fn a_connection_carries_many_requests() {
    let (node, _plain) = NodeProcess::with_plain_endpoints();
    let mut io = TcpStream::connect(node.front).unwrap();
    for i in 0..5 {
        let id = format!("k{i}");
        let text = request("GET", "/plain/a", &id, "", "");
        io.write_all(text.as_bytes()).unwrap();
        let mut bytes = Vec::new();
        let mut piece = [0; 1024];
        while !String::from_utf8_lossy(&bytes).contains("answer of p") {
            let n = io.read(&mut piece).unwrap();
            assert!(n > 0);
            bytes.extend_from_slice(&piece[..n]);
        }
        assert!(String::from_utf8_lossy(&bytes).contains(&id));
    }
}

#[test]
fn a_request_in_two_readings_is_refused_and_smuggles_nothing() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    let inner = "GET /plain/in HTTP/1.1\r\nHost: site.example\r\nRequest-Id: in\r\n\r\n";
    let text = format!(
        "POST /once/a HTTP/1.1\r\nHost: site.example\r\nRequest-Id: out\r\nApi-Key: key-1\r\n\
         Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{inner}"
    );
    let got = hemlock_platform_standin::caller::send(node.front, &text);
    assert_eq!(got.status, 400);
    assert_eq!(runs(&plain), 0);
}

#[test]
fn a_caller_that_leaves_ends_its_request_at_the_endpoint() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    plain.iter().for_each(|w| w.set_mode(Mode::Mute));
    let mut io = TcpStream::connect(node.front).unwrap();
    let text = request("POST", "/once/a", "r1", "", "x");
    io.write_all(text.as_bytes()).unwrap();
    node.wait("it runs", |_| runs(&plain) == 1);
    drop(io);
    node.wait("it is given up", |_| plain.iter().any(|w| w.left() == 1));
    node.wait("the log tells", |s| {
        s.lines("event=left request=r1").len() == 1
    });
}

#[test]
fn a_draining_or_unlisted_endpoint_gets_nothing_new() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    plain[0].drain();
    node.wait("it is known", |s| {
        !s.lines("event=not_serving id=p1").is_empty()
    });
    for i in 0..6 {
        assert_eq!(
            node.send("GET", "/plain/a", &format!("r{i}"), "", "")
                .status,
            200
        );
    }
    assert!(plain[0].runs().is_empty());
    plain[1].unlist();
    node.wait("it is gone", |s| {
        !s.lines("event=not_serving id=p2").is_empty()
    });
    assert_eq!(node.send("GET", "/plain/a", "last", "", "").status, 503);
}
