//! A planner's view of its lease: when it may act, and when it may claim.

use std::time::Duration;

use hemlock_lib::chart::Charts;
use hemlock_lib::ids::Offset;
use hemlock_lib::lease::{LeaseConfig, LeaseEnd, LeaseStep, LeaseWatch};
use hemlock_lib::time::Time;

const LENGTH_MS: u64 = 3_000;
const DRIFT_MS: u64 = 300;
const GRACE_MS: u64 = 2_000;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn watch() -> LeaseWatch {
    let charts = Charts::built_in().expect("the built-in charts are sound");
    let config = LeaseConfig {
        length: Duration::from_millis(LENGTH_MS),
        drift: Duration::from_millis(DRIFT_MS),
        preference_delay: Duration::ZERO,
        grace: Duration::from_millis(GRACE_MS),
    };
    LeaseWatch::new(config, charts.lease)
}

/// Returns a watch whose claim was sent at 0 ms and won at offset 5 after 400 ms.
fn holder() -> LeaseWatch {
    let mut watch = watch();
    watch.observe(at(0), None, false, true);
    assert_eq!(watch.decide(at(0), false, true), LeaseStep::Append(None));
    watch.settled(at(400), LeaseEnd::Won(Offset(5)));
    watch
}

/// Returns when a challenger that looks every 100 ms claims; `look` tells what it does at a time.
fn claims_at(look: impl Fn(u64) -> Option<bool>) -> u64 {
    let mut watch = watch();
    let looks = (0..100)
        .map(|i| i * 100)
        .filter_map(|ms| Some((ms, look(ms)?)));
    for (ms, log_up) in looks {
        watch.observe(at(ms), Some(Offset(5)), false, log_up);
        if watch.decide(at(ms), false, true) != LeaseStep::Wait {
            return ms;
        }
    }
    u64::MAX
}

#[test]
fn a_holder_counts_from_before_it_sent() {
    let watch = holder();
    assert!(watch.is_held(at(LENGTH_MS - DRIFT_MS - 1)));
    assert!(!watch.is_held(at(LENGTH_MS - DRIFT_MS)));
}

#[test]
fn a_view_from_before_the_lease_was_won_takes_nothing_away() {
    let mut watch = holder();
    assert!(!watch.observe(at(500), None, false, true));
    assert!(watch.is_held(at(500)));
    assert!(watch.observe(at(600), Some(Offset(6)), false, true));
    assert!(!watch.is_held(at(600)), "another took it since");
}

#[test]
fn a_lost_reply_to_a_renewal_leaves_the_lease_to_its_end() {
    let mut watch = holder();
    watch.observe(at(1_000), Some(Offset(5)), true, true);
    let renewal = LeaseStep::Append(Some(Offset(5)));
    assert_eq!(watch.decide(at(1_000), true, true), renewal);
    watch.settled(at(1_500), LeaseEnd::Failed);
    assert!(watch.is_held(at(1_500)));
    assert_eq!(watch.decide(at(1_600), true, true), LeaseStep::Wait);
    assert_eq!(watch.decide(at(1_800), true, true), renewal, "tried again");
}

#[test]
fn a_challenger_waits_out_the_lease_and_late_orders() {
    let patience = LENGTH_MS + DRIFT_MS + GRACE_MS;
    assert_eq!(claims_at(|_| Some(true)), patience);
    let outage = |ms| Some(!(1_000..=2_000).contains(&ms));
    assert_eq!(
        claims_at(outage),
        patience + 1_100,
        "silence of the log is none"
    );
    let pause = |ms| (!(1_000..4_000).contains(&ms)).then_some(true);
    assert_eq!(claims_at(pause), patience + 2_100, "a pause is no silence");
}

/// A claim whose end is never told doesn't keep a planner from claiming again.
#[test]
fn a_claim_without_an_end_is_sent_again() {
    let mut watch = watch();
    watch.observe(at(0), None, false, true);
    assert_eq!(watch.decide(at(0), false, true), LeaseStep::Append(None));
    assert_eq!(
        watch.decide(at(LENGTH_MS - 1), false, true),
        LeaseStep::Wait
    );
    assert_eq!(
        watch.decide(at(LENGTH_MS), false, true),
        LeaseStep::Append(None)
    );
}
