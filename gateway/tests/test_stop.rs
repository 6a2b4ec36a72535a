//! Graceful stops.

use std::time::{Duration, Instant};

use hemlock_testutils::engine::right_answer;

use crate::harness::{Act, Endpoint, Site};

/// A leaving gateway serves on while callers keep its address, then ends what is open, then stops.
#[test]
fn a_retiring_gateway_cuts_nothing_off() {
    let slow = Act::Slow(Duration::from_millis(100));
    let engine = Endpoint::spawn(&[slow; 4]);
    let mut site = Site::spawn(&[&engine], &[]);
    let gateway = site.gateway.take().expect("it runs");
    let site = site;
    let right = right_answer("user: hello", 20);
    std::thread::scope(|scope| {
        let early = scope.spawn(|| site.chat(true, 20, &[]));
        std::thread::sleep(Duration::from_millis(100));
        let started = Instant::now();
        let keep_for = Duration::from_millis(1_000);
        let stop = scope.spawn(move || gateway.stop_gracefully(keep_for, Duration::from_secs(20)));
        std::thread::sleep(Duration::from_millis(600));
        // Still within the time for which callers keep the address.
        let late = scope.spawn(|| site.chat(true, 20, &[]));
        std::thread::sleep(Duration::from_millis(900));
        let refused = site.chat(true, 20, &[]);
        assert_eq!((refused.code(), refused.ran()), (1305, "no"));
        for served in [early, late] {
            let reply = served.join().expect("the caller ends");
            assert_eq!(reply.stream(), (right.clone(), Some(1000)));
            assert!(reply.whole);
        }
        stop.join().expect("the gateway stops");
        assert!(started.elapsed() < Duration::from_secs(15));
    });
    assert!(std::net::TcpStream::connect(&site.url[7..]).is_err());
}
