//! A planner's record of a lease: when the planner may act under it, and when it may claim it.

use std::time::Duration;

use hemlock_lib::chart::Charts;
use hemlock_lib::ids::Offset;
use hemlock_lib::lease::{LeaseAction, LeaseConfig, LeaseOutcome, LeaseTracker};
use hemlock_lib::time::Time;

const LENGTH_MS: u64 = 3_000;
const DRIFT_MS: u64 = 300;
const GRACE_MS: u64 = 2_000;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn tracker() -> LeaseTracker {
    let charts = Charts::built_in().expect("the built-in charts are valid");
    let config = LeaseConfig {
        length: Duration::from_millis(LENGTH_MS),
        drift: Duration::from_millis(DRIFT_MS),
        preference_delay: Duration::ZERO,
        grace: Duration::from_millis(GRACE_MS),
    };
    LeaseTracker::new(config, charts.lease)
}

/// Returns a tracker whose claim was sent at 0 ms and accepted at offset 5 after 400 ms.
fn holder() -> LeaseTracker {
    let mut tracker = tracker();
    tracker.observe(at(0), None, false, true);
    assert_eq!(
        tracker.decide(at(0), false, true),
        LeaseAction::Append(None)
    );
    tracker.handle_outcome(at(400), LeaseOutcome::Won(Offset(5)));
    tracker
}

/// Returns the time in milliseconds at which a challenger that observes every 100 ms claims.
///
/// `log_up` tells for each time whether the log answers, or returns `None` if the challenger is
/// paused.
fn claims_at(log_up: impl Fn(u64) -> Option<bool>) -> u64 {
    let mut tracker = tracker();
    let observations = (0..100)
        .map(|i| i * 100)
        .filter_map(|ms| Some((ms, log_up(ms)?)));
    for (ms, log_up) in observations {
        tracker.observe(at(ms), Some(Offset(5)), false, log_up);
        if tracker.decide(at(ms), false, true) != LeaseAction::Wait {
            return ms;
        }
    }
    u64::MAX
}

#[test]
fn lease_counts_from_the_time_its_claim_was_sent() {
    let tracker = holder();
    assert!(tracker.is_held(at(LENGTH_MS - DRIFT_MS - 1)));
    assert!(!tracker.is_held(at(LENGTH_MS - DRIFT_MS)));
}

#[test]
fn view_older_than_the_lease_does_not_end_it() {
    let mut tracker = holder();
    assert!(!tracker.observe(at(500), None, false, true));
    assert!(tracker.is_held(at(500)));
    assert!(tracker.observe(at(600), Some(Offset(6)), false, true));
    assert!(
        !tracker.is_held(at(600)),
        "another planner holds the lease now"
    );
}

#[test]
fn lease_is_held_to_its_end_after_a_failed_renewal() {
    let mut tracker = holder();
    tracker.observe(at(1_000), Some(Offset(5)), true, true);
    let renewal = LeaseAction::Append(Some(Offset(5)));
    assert_eq!(tracker.decide(at(1_000), true, true), renewal);
    tracker.handle_outcome(at(1_500), LeaseOutcome::Failed);
    assert!(tracker.is_held(at(1_500)));
    assert_eq!(tracker.decide(at(1_600), true, true), LeaseAction::Wait);
    assert_eq!(
        tracker.decide(at(1_800), true, true),
        renewal,
        "tried again"
    );
}

#[test]
fn challenger_waits_for_the_lease_and_late_orders_to_expire() {
    let required_silence = LENGTH_MS + DRIFT_MS + GRACE_MS;
    assert_eq!(claims_at(|_| Some(true)), required_silence);
    let outage = |ms| Some(!(1_000..=2_000).contains(&ms));
    assert_eq!(
        claims_at(outage),
        required_silence + 1_100,
        "an outage of the log is not counted"
    );
    let pause = |ms| (!(1_000..4_000).contains(&ms)).then_some(true);
    assert_eq!(
        claims_at(pause),
        required_silence + 2_100,
        "a pause is not counted"
    );
}

/// A claim whose outcome never arrives does not prevent a planner from claiming again.
#[test]
fn claim_without_an_outcome_is_sent_again() {
    let mut tracker = tracker();
    tracker.observe(at(0), None, false, true);
    assert_eq!(
        tracker.decide(at(0), false, true),
        LeaseAction::Append(None)
    );
    assert_eq!(
        tracker.decide(at(LENGTH_MS - 1), false, true),
        LeaseAction::Wait
    );
    assert_eq!(
        tracker.decide(at(LENGTH_MS), false, true),
        LeaseAction::Append(None)
    );
}
