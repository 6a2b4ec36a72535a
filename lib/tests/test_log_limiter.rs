//! Rate limit of repeated log lines.

use std::time::Duration;

use hemlock_lib::log_limiter::{LineDecision, LogLimit, LogLimiter};
use hemlock_lib::time::Time;

fn limiter() -> LogLimiter {
    LogLimiter::new(LogLimit {
        lines: 2,
        window: Duration::from_secs(10),
    })
}

#[test]
fn lines_beyond_the_limit_are_suppressed_and_counted() {
    let mut limiter = limiter();
    let written = (0..100)
        .filter(|i| limiter.decide(Time::from_millis(*i), "event=refuse") != LineDecision::Suppress)
        .count();
    assert_eq!(written, 2);
    assert_eq!(
        limiter.decide(Time::from_millis(100), "event=retry"),
        LineDecision::Write(0),
        "another event is not held back"
    );
    let next = limiter.decide(Time::from_millis(10_000), "event=refuse");
    assert_eq!(next, LineDecision::Write(98));
}

#[test]
fn suppressed_lines_are_summarised_once() {
    let mut limiter = limiter();
    for i in 0..5 {
        limiter.decide(Time::from_millis(i), "event=refuse");
    }
    assert_eq!(limiter.take_summaries(Time::from_millis(9_999)), []);
    let due = vec![("event=refuse".to_owned(), 3)];
    assert_eq!(limiter.take_summaries(Time::from_millis(10_000)), due);
    assert_eq!(limiter.take_summaries(Time::from_millis(30_000)), []);
}

#[test]
fn the_number_of_tracked_events_is_bounded() {
    let mut limiter = limiter();
    let written = (0..10_000)
        .filter(|i| limiter.decide(Time::ZERO, &format!("event=e{i}")) != LineDecision::Suppress)
        .count();
    assert_eq!(written, 256 + 2);
}
