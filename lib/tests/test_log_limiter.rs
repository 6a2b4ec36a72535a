//! Repeated log lines: a few pass, the rest are summarised.

use std::time::Duration;

use hemlock_lib::log_limiter::{LineDecision, LogLimit, LogLimiter};
use hemlock_lib::time::Time;

fn limit() -> LogLimiter {
    LogLimiter::new(LogLimit {
        lines: 2,
        window: Duration::from_secs(10),
    })
}

#[test]
fn a_flood_is_held_back_and_counted() {
    let mut limit = limit();
    let written = (0..100)
        .filter(|i| limit.decide(Time::from_millis(*i), "event=refuse") != LineDecision::Suppress)
        .count();
    assert_eq!(written, 2);
    assert_eq!(
        limit.decide(Time::from_millis(100), "event=retry"),
        LineDecision::Write(0),
        "another event is not held back"
    );
    let next = limit.decide(Time::from_millis(10_000), "event=refuse");
    assert_eq!(next, LineDecision::Write(98));
}

#[test]
fn a_flood_that_ended_is_summarised_once() {
    let mut limit = limit();
    for i in 0..5 {
        limit.decide(Time::from_millis(i), "event=refuse");
    }
    assert_eq!(limit.take_summaries(Time::from_millis(9_999)), []);
    let due = vec![("event=refuse".to_owned(), 3)];
    assert_eq!(limit.take_summaries(Time::from_millis(10_000)), due);
    assert_eq!(limit.take_summaries(Time::from_millis(30_000)), []);
}

#[test]
fn the_events_told_apart_are_bounded() {
    let mut limit = limit();
    let written = (0..10_000)
        .filter(|i| limit.decide(Time::ZERO, &format!("event=e{i}")) != LineDecision::Suppress)
        .count();
    assert_eq!(written, 256 + 2);
}
