//! Answers of model engines that break off or violate the protocol, callers that leave or do not
//! read, deadlines, and idempotency keys.

use std::io::Read;
use std::time::{Duration, Instant};

use hemlock_testutils::engine::expected_answer;
use uuid::Uuid;

use crate::harness::{AUTH, Behaviour, Endpoint, Harness, chat_body, request};

const TOKENS: u32 = 6;

fn hello_answer() -> String {
    expected_answer("user: hello", TOKENS.into())
}

/// An engine that fails or violates the protocol must not cut or change the answer: the gateway
/// resumes it on the other engine.
#[test]
fn a_failed_attempt_is_resumed_on_another_engine() {
    let cases = [
        Behaviour::Answer,
        Behaviour::StrayChunks,
        Behaviour::Cut(0),
        Behaviour::Cut(3),
        Behaviour::Gap,
        Behaviour::Endless,
        Behaviour::Oversized,
        Behaviour::Garbage,
        Behaviour::Status(503),
        Behaviour::Status(500),
        Behaviour::Close,
    ];
    for behaviour in cases {
        for stream in [false, true] {
            let engines = [Endpoint::spawn(&[behaviour]), Endpoint::spawn(&[])];
            let (first, second) = (&engines[0], &engines[1]);
            let harness = Harness::spawn(&[first, second], &[]);
            // Two requests, so that each engine gets at least one of them.
            for _ in 0..2 {
                let reply = harness.chat(stream, TOKENS, &[]);
                assert!(reply.complete, "{behaviour:?} stream={stream}");
                let text = if stream {
                    reply.stream()
                } else {
                    (reply.text(), Some(reply.code().max(1000)))
                };
                // The answer of an engine that sends too many chunks ends at the requested length.
                assert_eq!(
                    text,
                    (hello_answer(), Some(1000)),
                    "{behaviour:?} stream={stream}"
                );
            }
        }
    }
}

/// An answer that no engine completes must end with an error, and never look complete.
#[test]
fn an_answer_that_cannot_be_completed_ends_with_an_error() {
    let cases = [
        (Behaviour::Cut(2), "unknown"),
        (Behaviour::Close, "unknown"),
        (Behaviour::Status(503), "no"),
        (Behaviour::Status(500), "unknown"),
    ];
    for (behaviour, ran) in cases {
        // The script has more entries than the two requests make calls in total.
        let script = [behaviour; 32];
        let engines = [Endpoint::spawn(&script), Endpoint::spawn(&script)];
        let harness = Harness::spawn(&[&engines[0], &engines[1]], &[]);
        let whole = harness.chat(false, TOKENS, &[("x-deadline-ms", "4000")]);
        assert!(
            whole.status >= 500 || whole.status == 422,
            "{behaviour:?}: {whole:?}"
        );
        assert_eq!(whole.ran(), ran, "{behaviour:?}: {whole:?}");
        let streamed = harness.chat(true, TOKENS, &[("x-deadline-ms", "4000")]);
        let (text, code) = streamed.stream();
        assert!(hello_answer().starts_with(&text), "{behaviour:?}");
        let code = code.unwrap_or(streamed.code());
        assert!(code > 1000, "{behaviour:?}: {streamed:?}");
        assert!(streamed.complete, "{behaviour:?} was cut off");
    }
}

fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while !condition() {
        assert!(Instant::now() < deadline, "not within 10 s: {description}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// When a caller disconnects, its engine call must be cancelled, for streamed and whole answers
/// alike; otherwise the engine would keep its slot busy with an unwanted answer.
#[test]
fn a_disconnected_caller_cancels_its_engine_call() {
    for stream in [true, false] {
        let engine = Endpoint::spawn(&[Behaviour::Slow(Duration::from_millis(20))]);
        let harness = Harness::spawn(&[&engine], &[]);
        let mut caller = harness.connect();
        let body = chat_body(stream, 100_000, "hello");
        let call = request("POST", "/v1/chat/completions", &[AUTH], body.as_bytes());
        std::io::Write::write_all(&mut caller, &call).expect("it is connected");
        wait_until("the engine runs the call", || engine.open() == 1);
        drop(caller);
        wait_until("the engine call is cancelled", || engine.open() == 0);
    }
}

/// A caller that doesn't read must stall its engine rather than fill the memory of the gateway.
#[test]
fn a_caller_that_does_not_read_stalls_its_engine() {
    let engine = Endpoint::spawn(&[]);
    let harness = Harness::spawn(&[&engine], &[]);
    let mut caller = harness.connect();
    let body = chat_body(true, 3_000_000, "hello");
    let call = request("POST", "/v1/chat/completions", &[AUTH], body.as_bytes());
    std::io::Write::write_all(&mut caller, &call).expect("it is connected");
    let mut first = [0; 64];
    caller.read_exact(&mut first).expect("the answer starts");
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(engine.open(), 1, "the engine waits for the caller");
    drop(caller);
    wait_until("the engine call is cancelled", || engine.open() == 0);
}

/// When the deadline passes while a request runs, the caller is told at once and the engine call is
/// cancelled.
#[test]
fn a_running_request_ends_at_its_deadline() {
    let engine = Endpoint::spawn(&[Behaviour::Slow(Duration::from_millis(50))]);
    let harness = Harness::spawn(&[&engine], &[]);
    let started = Instant::now();
    let reply = harness.chat(true, 100_000, &[("x-deadline-ms", "600")]);
    assert_eq!(reply.stream().1, Some(1307));
    assert!(started.elapsed() < Duration::from_secs(3));
    wait_until("the engine call is cancelled", || engine.open() == 0);
}

/// With an idempotency key, a chat completion runs at most once. Its answer is kept and returned
/// when the same request is sent again; another request with the key is refused.
#[test]
fn a_chat_with_an_idempotency_key_runs_at_most_once() {
    let engines = [Endpoint::spawn(&[]), Endpoint::spawn(&[])];
    let harness = Harness::spawn(&[&engines[0], &engines[1]], &[]);
    let key = Uuid::now_v7().to_string();
    let header = [("idempotency-key", key.as_str())];
    let first = harness.chat(false, TOKENS, &header);
    let repeated = harness.chat(false, TOKENS, &header);
    assert_eq!(
        (first.text(), repeated.text()),
        (hello_answer(), hello_answer())
    );
    let other_request = harness.chat(false, TOKENS + 1, &header);
    assert_eq!((other_request.code(), other_request.ran()), (1508, "no"));
    assert_eq!(engines[0].calls() + engines[1].calls(), 1);

    let script = [Behaviour::Cut(2); 2];
    let engines = [Endpoint::spawn(&script), Endpoint::spawn(&script)];
    let harness = Harness::spawn(&[&engines[0], &engines[1]], &[]);
    for _ in 0..2 {
        let broken = harness.chat(false, TOKENS, &header);
        assert_eq!((broken.code(), broken.ran()), (1506, "unknown"));
    }
    assert_eq!(engines[0].calls() + engines[1].calls(), 1);
}
