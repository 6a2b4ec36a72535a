//! Answers of model engines that break off, stall or break the protocol.

use std::io::Read;
use std::time::{Duration, Instant};

use hemlock_testutils::engine::right_answer;
use uuid::Uuid;

use crate::harness::{AUTH, Act, Endpoint, Site, chat_body, request};

const TOKENS: u32 = 6;

fn right() -> String {
    right_answer("user: hello", TOKENS.into())
}

/// Whatever the first engine does, the caller gets the whole answer from the other one.
#[test]
fn a_broken_answer_is_resumed_elsewhere() {
    let cases = [
        Act::Answer,
        Act::Noisy,
        Act::Cut(0),
        Act::Cut(3),
        Act::Gap,
        Act::Endless,
        Act::Oversized,
        Act::Garbage,
        Act::Status(503),
        Act::Status(500),
        Act::Close,
    ];
    for act in cases {
        for stream in [false, true] {
            let engines = [Endpoint::spawn(&[act]), Endpoint::spawn(&[])];
            let (a, b) = (&engines[0], &engines[1]);
            let site = Site::spawn(&[a, b], &[]);
            // Two requests, so that each engine is met by one at least.
            for _ in 0..2 {
                let reply = site.chat(stream, TOKENS, &[]);
                assert!(reply.whole, "{act:?} stream={stream}");
                let text = if stream {
                    reply.stream()
                } else {
                    (reply.text(), Some(reply.code().max(1000)))
                };
                // An engine that sends more than was asked for is cut at the right length.
                assert_eq!(text, (right(), Some(1000)), "{act:?} stream={stream}");
            }
        }
    }
}

/// An answer that no engine completes ends with an error, never as if it were whole.
#[test]
fn an_answer_that_can_not_be_completed_ends_with_an_error() {
    let cases = [
        (Act::Cut(2), "unknown"),
        (Act::Close, "unknown"),
        (Act::Status(503), "no"),
        (Act::Status(500), "unknown"),
    ];
    for (act, ran) in cases {
        // More calls than two requests make together.
        let script = [act; 32];
        let engines = [Endpoint::spawn(&script), Endpoint::spawn(&script)];
        let site = Site::spawn(&[&engines[0], &engines[1]], &[]);
        let whole = site.chat(false, TOKENS, &[("x-deadline-ms", "4000")]);
        assert!(
            whole.status >= 500 || whole.status == 422,
            "{act:?}: {whole:?}"
        );
        assert_eq!(whole.ran(), ran, "{act:?}: {whole:?}");
        let streamed = site.chat(true, TOKENS, &[("x-deadline-ms", "4000")]);
        let (text, code) = streamed.stream();
        assert!(right().starts_with(&text), "{act:?}");
        let code = code.unwrap_or(streamed.code());
        assert!(code > 1000, "{act:?}: {streamed:?}");
        assert!(streamed.whole, "{act:?} was cut off");
    }
}

fn wait_for(what: &str, mut check: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(10);
    while !check() {
        assert!(Instant::now() < end, "not within 10 s: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// The engine is told when the caller leaves, whether it streams or waits for the whole answer.
#[test]
fn a_caller_that_leaves_cancels_its_answer() {
    for stream in [true, false] {
        let engine = Endpoint::spawn(&[Act::Slow(Duration::from_millis(20))]);
        let site = Site::spawn(&[&engine], &[]);
        let mut caller = site.connect();
        let body = chat_body(stream, 100_000, "hello");
        let call = request("POST", "/v1/chat/completions", &[AUTH], body.as_bytes());
        std::io::Write::write_all(&mut caller, &call).expect("it is connected");
        wait_for("the engine runs the call", || engine.open() == 1);
        drop(caller);
        wait_for("the engine is told", || engine.open() == 0);
    }
}

/// A caller that doesn't read holds up its engine instead of filling the gateway's memory.
#[test]
fn a_slow_caller_is_bounded_in_memory() {
    let engine = Endpoint::spawn(&[]);
    let site = Site::spawn(&[&engine], &[]);
    let mut caller = site.connect();
    let body = chat_body(true, 3_000_000, "hello");
    let call = request("POST", "/v1/chat/completions", &[AUTH], body.as_bytes());
    std::io::Write::write_all(&mut caller, &call).expect("it is connected");
    let mut first = [0; 64];
    caller.read_exact(&mut first).expect("the answer starts");
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(engine.open(), 1, "the engine waits for the caller");
    drop(caller);
    wait_for("the engine is told", || engine.open() == 0);
}

/// A request whose deadline passes while it runs is told so at once, and its engine is freed.
#[test]
fn a_running_request_ends_at_its_deadline() {
    let engine = Endpoint::spawn(&[Act::Slow(Duration::from_millis(50))]);
    let site = Site::spawn(&[&engine], &[]);
    let started = Instant::now();
    let reply = site.chat(true, 100_000, &[("x-deadline-ms", "600")]);
    assert_eq!(reply.stream().1, Some(1307));
    assert!(started.elapsed() < Duration::from_secs(3));
    wait_for("the engine is told", || engine.open() == 0);
}

/// With a key, a chat runs at most once; its answer is kept for a resend.
#[test]
fn a_chat_with_a_key_runs_at_most_once() {
    let engines = [Endpoint::spawn(&[]), Endpoint::spawn(&[])];
    let site = Site::spawn(&[&engines[0], &engines[1]], &[]);
    let key = Uuid::now_v7().to_string();
    let header = [("idempotency-key", key.as_str())];
    let first = site.chat(false, TOKENS, &header);
    let again = site.chat(false, TOKENS, &header);
    assert_eq!((first.text(), again.text()), (right(), right()));
    let other = site.chat(false, TOKENS + 1, &header);
    assert_eq!((other.code(), other.ran()), (1508, "no"));
    assert_eq!(engines[0].calls() + engines[1].calls(), 1);

    let script = [Act::Cut(2); 2];
    let engines = [Endpoint::spawn(&script), Endpoint::spawn(&script)];
    let site = Site::spawn(&[&engines[0], &engines[1]], &[]);
    for _ in 0..2 {
        let broken = site.chat(false, TOKENS, &header);
        assert_eq!((broken.code(), broken.ran()), (1506, "unknown"));
    }
    assert_eq!(engines[0].calls() + engines[1].calls(), 1);
}
