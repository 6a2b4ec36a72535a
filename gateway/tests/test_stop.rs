//! Graceful stop of the gateway.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use hemlock_testutils::engine::expected_answer;

use crate::harness::{AUTH, Behaviour, Endpoint, Harness, chat_body, request};

/// A graceful stop must not cut answers off. The gateway first serves new requests as well, for as
/// long as callers keep its address, then refuses them, completes the open ones and stops.
#[test]
fn a_graceful_stop_completes_open_answers() {
    let slow_chunks = Behaviour::Slow(Duration::from_millis(100));
    let engine = Endpoint::spawn(&[slow_chunks; 4]);
    let mut harness = Harness::spawn(&[&engine], &[]);
    let gateway = harness.gateway.take().expect("it runs");
    let harness = harness;
    let expected_answer = expected_answer("user: hello", 20);
    std::thread::scope(|scope| {
        let before_stop = scope.spawn(|| harness.chat(true, 20, &[]));
        std::thread::sleep(Duration::from_millis(100));
        let started = Instant::now();
        let keep_for = Duration::from_millis(1_000);
        let stop = scope.spawn(move || gateway.stop_gracefully(keep_for, Duration::from_secs(20)));
        std::thread::sleep(Duration::from_millis(600));
        // Callers still keep the address, so this request is served too.
        let during_stop = scope.spawn(|| harness.chat(true, 20, &[]));
        std::thread::sleep(Duration::from_millis(900));
        let refused = harness.chat(true, 20, &[]);
        assert_eq!((refused.code(), refused.ran()), (1305, "no"));
        for answer in [before_stop, during_stop] {
            let reply = answer.join().expect("the caller ends");
            assert_eq!(reply.stream(), (expected_answer.clone(), Some(1000)));
            assert!(reply.complete);
        }
        stop.join().expect("the gateway stops");
        assert!(started.elapsed() < Duration::from_secs(15));
    });
    assert!(std::net::TcpStream::connect(&harness.url[7..]).is_err());
}

/// Requests that the gateway had read in part when it had decided to end were cut off.
#[test]
fn request_that_is_half_read_when_a_stopping_gateway_ends_is_answered() {
    let engine = Endpoint::spawn(&[Behaviour::Answer; 1]);
    let mut harness = Harness::spawn(&[&engine], &[]);
    let gateway = harness.gateway.take().expect("it runs");
    let address = harness.url[7..].to_owned();
    let body = chat_body(false, 20, "hello");
    let text = request("POST", "/v1/chat/completions", &[AUTH], body.as_bytes());
    let (first, second) = text.split_at(text.len() - body.len() / 2);
    let stop = std::thread::spawn(move || {
        gateway.stop_gracefully(Duration::ZERO, Duration::from_millis(500));
    });
    let mut halves = Vec::new();
    let started = Instant::now();
    while let Ok(mut stream) = TcpStream::connect(&address) {
        stream.write_all(first).expect("the connection is open");
        halves.push(stream);
        std::thread::sleep(Duration::from_millis(20));
        if started.elapsed() > Duration::from_millis(1_500) {
            break;
        }
    }
    std::thread::sleep(Duration::from_millis(600));
    let mut answered = 0;
    for mut stream in halves {
        stream.set_nonblocking(true).expect("the mode can be set");
        let state = stream.peek(&mut [0]).map_err(|e| e.kind());
        stream.set_nonblocking(false).expect("the mode can be set");
        let mut bytes = Vec::new();
        let _ = stream.write_all(second);
        let read = stream.read_to_end(&mut bytes).map_err(|e| e.kind());
        // A reset of an open connection says that the gateway has not read the request.
        if [state.err(), read.err()].contains(&Some(ErrorKind::ConnectionReset)) {
            continue;
        }
        let text = String::from_utf8_lossy(&bytes);
        assert!(
            text.starts_with("HTTP/1.1 503 "),
            "read and not answered: {state:?} {text}"
        );
        answered += 1;
    }
    assert!(answered > 0);
    stop.join().expect("the gateway stops");
}

/// A caller that did not read its answer kept the gateway for 11 s beyond the stated end.
#[test]
fn gateway_stops_at_the_stated_end_while_a_caller_does_not_read_its_answer() {
    let engine = Endpoint::spawn(&[Behaviour::Endless; 1]);
    let mut harness = Harness::spawn(&[&engine], &[]);
    let gateway = harness.gateway.take().expect("it runs");
    let body = chat_body(true, 4_000_000, "hello");
    let text = request("POST", "/v1/chat/completions", &[AUTH], body.as_bytes());
    let mut stream = TcpStream::connect(&harness.url[7..]).expect("it listens");
    stream.write_all(&text).expect("the connection is open");
    let mut first = [0];
    stream.read_exact(&mut first).expect("the answer begins");
    std::thread::sleep(Duration::from_secs(2));
    let started = Instant::now();
    gateway.stop_gracefully(Duration::ZERO, Duration::from_millis(500));
    assert!(
        started.elapsed() < Duration::from_secs(2),
        "{:?}",
        started.elapsed()
    );
}
