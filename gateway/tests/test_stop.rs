//! Graceful stop of the gateway.

use std::time::{Duration, Instant};

use hemlock_testutils::engine::expected_answer;

use crate::harness::{Behaviour, Endpoint, Harness};

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
