use std::io::{Read, Write};
use std::net::TcpStream;

use hemlock_platform_standin::endpoint::{Endpoint, Mode};
use hemlock_platform_standin::fixtures;

use crate::node_process::{NodeProcess, request};

/// Returns the number of requests that ran at all endpoints together.
fn total_runs(endpoints: &[Endpoint]) -> usize {
    endpoints.iter().map(|e| e.runs().len()).sum()
}

#[test]
fn request_reaches_an_endpoint_unchanged_except_account_and_hop_by_hop_headers() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    let headers = "Tenant: forged\r\nX-Own: kept\r\nConnection: x-hop\r\nX-Hop: 1\r\n";
    let response = node.send("POST", "/once/a?b=c", "r1", headers, "the body");
    assert_eq!(
        (response.status, response.complete),
        (200, true),
        "{response:?}"
    );
    assert!(
        fixtures::is_endpoint_response(&response, "r1"),
        "{response:?}"
    );
    let all: Vec<_> = plain.iter().flat_map(|e| e.runs()).collect();
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
fn non_idempotent_request_is_not_repeated_after_a_lost_response() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    plain.iter().for_each(|e| e.set_mode(Mode::LoseAnswers));
    let response = node.send("POST", "/once/a", "r1", "", "x");
    assert_eq!(response.status, 502);
    assert_eq!(total_runs(&plain), 1);
}

#[test]
fn idempotent_request_is_repeated_after_a_lost_response() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    plain[0].set_mode(Mode::LoseAnswers);
    for i in 0..6 {
        let response = node.send("GET", "/plain/a", &format!("r{i}"), "", "");
        assert_eq!(response.status, 200, "{response:?}");
    }
}

#[test]
fn truncated_response_is_not_forwarded() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    plain.iter().for_each(|e| e.set_mode(Mode::Torn));
    let response = node.send("POST", "/once/a", "r1", "", "x");
    assert_eq!(response.status, 502, "{response:?}");
    assert_eq!(total_runs(&plain), 1);
}

#[test]
fn success_without_the_endpoints_signature_is_not_forwarded() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    plain.iter().for_each(|e| e.set_mode(Mode::Unsigned));
    let response = node.send("POST", "/once/a", "r1", "", "x");
    assert_eq!(response.status, 502, "{response:?}");
}

#[test]
fn response_to_another_request_is_skipped() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    plain.iter().for_each(|e| e.set_mode(Mode::Foreign));
    let response = node.send("POST", "/once/a", "r1", "", "x");
    assert_eq!(
        (response.status, response.header("request-id")),
        (200, Some("r1")),
        "{response:?}"
    );
    assert!(response.body.starts_with("answer of"), "{response:?}");
}

#[test]
fn earlier_refusal_on_a_kept_connection_says_nothing_of_a_later_request() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    for (status, named) in [421, 429, 503]
        .into_iter()
        .flat_map(|s| [(s, true), (s, false)])
    {
        let mode = Mode::RefuseAgain { status, named };
        plain.iter().for_each(|e| e.set_mode(mode));
        let ids: Vec<String> = (0..8).map(|i| format!("r{status}-{named}-{i}")).collect();
        let responses: Vec<_> = ids
            .iter()
            .map(|id| node.send("POST", "/once/a", id, "", "x"))
            .collect();
        let runs: Vec<_> = plain.iter().flat_map(|e| e.runs()).collect();
        for (id, response) in ids.iter().zip(&responses) {
            let count = runs.iter().filter(|r| r.request_id == *id).count();
            let is_refused = matches!(response.status, 408 | 421 | 429 | 503);
            assert!(
                count <= 1 && !(is_refused && count > 0),
                "{count} {response:?}"
            );
        }
        assert!(
            responses.iter().any(|r| r.status == 200),
            "{status} {named}"
        );
    }
}

#[test]
fn bytes_after_a_response_are_discarded() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    plain.iter().for_each(|e| e.set_mode(Mode::Extra));
    for i in 0..10 {
        let id = format!("r{i}");
        let response = node.send("POST", "/once/a", &id, "", "x");
        assert_eq!(response.status, 200);
        assert_eq!(response.header("request-id"), Some(id.as_str()));
        assert!(response.body.starts_with("answer of"), "{response:?}");
    }
    assert_eq!(total_runs(&plain), 10);
}

#[test]
fn connection_is_kept_open_for_further_requests() {
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
fn request_with_ambiguous_framing_is_rejected_and_smuggles_nothing() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    let inner = "GET /plain/in HTTP/1.1\r\nHost: site.example\r\nRequest-Id: in\r\n\r\n";
    let text = format!(
        "POST /once/a HTTP/1.1\r\nHost: site.example\r\nRequest-Id: out\r\nApi-Key: key-1\r\n\
         Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{inner}"
    );
    let response = hemlock_platform_standin::caller::send(node.front, &text);
    assert_eq!(response.status, 400);
    assert_eq!(total_runs(&plain), 0);
}

#[test]
fn request_is_cancelled_at_the_endpoint_when_its_caller_disconnects() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    plain.iter().for_each(|e| e.set_mode(Mode::Mute));
    let mut io = TcpStream::connect(node.front).unwrap();
    let text = request("POST", "/once/a", "r1", "", "x");
    io.write_all(text.as_bytes()).unwrap();
    node.wait_until("the request runs", |_| total_runs(&plain) == 1);
    drop(io);
    node.wait_until("the endpoint sees the disconnect", |_| {
        plain.iter().any(|e| e.abandoned_requests() == 1)
    });
    node.wait_until("the disconnect is logged", |n| {
        n.log_lines("event=left request=r1").len() == 1
    });
}

#[test]
fn draining_and_unlisted_endpoints_get_no_new_requests() {
    let (node, plain) = NodeProcess::with_plain_endpoints();
    plain[0].drain();
    node.wait_until("the drain is known", |n| {
        !n.log_lines("event=not_serving id=p1").is_empty()
    });
    for i in 0..6 {
        assert_eq!(
            node.send("GET", "/plain/a", &format!("r{i}"), "", "")
                .status,
            200
        );
    }
    assert!(plain[0].runs().is_empty());
    plain[1].remove_entry();
    node.wait_until("the removal is known", |n| {
        !n.log_lines("event=not_serving id=p2").is_empty()
    });
    assert_eq!(node.send("GET", "/plain/a", "last", "", "").status, 503);
}
