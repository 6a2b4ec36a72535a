use std::time::Duration;

use hemlock_lib::node::lease::{Grant, Lease};
use hemlock_lib::time::Time;

const LENGTH: Duration = Duration::from_millis(1_500);

fn at(ms: u64) -> Time {
    Time::from_millis(10_000 + ms)
}

fn grant(generation: u64) -> Grant {
    Grant {
        era: 0,
        generation,
        is_held: true,
    }
}

/// Guards against review case 9: an order that was decided before a freeze was sent after it.
#[test]
fn order_decided_before_a_freeze_is_not_sent_after_it() {
    let mut lease = Lease::default();
    lease.apply(at(0), LENGTH, grant(9));
    let fence = lease.fence();
    assert!(lease.may_order(at(1_100), fence));
    // The lease has lapsed by the clock, and nobody has said so yet.
    assert!(!lease.may_order(at(4_000), fence));
    // The store has granted it again, after others may have had it.
    lease.apply(at(4_000), LENGTH, grant(17));
    assert!(!lease.may_order(at(4_010), fence));
    assert!(lease.may_order(at(4_010), lease.fence()));
}

/// The answer to a renewal that was sent before a freeze grants nothing after it.
#[test]
fn late_answer_to_a_renewal_grants_no_lease() {
    let mut lease = Lease::default();
    lease.apply(at(0), LENGTH, grant(9));
    // It was sent at 1 s and is read at 5 s.
    lease.apply(at(1_000), LENGTH, grant(9));
    assert!(!lease.is_held(at(5_000)));
}

#[test]
fn planning_goes_on_without_the_store_until_another_vm_may_plan() {
    let mut lease = Lease::default();
    lease.apply(at(0), LENGTH, grant(9));
    assert_eq!(lease.continue_alone(at(500), LENGTH, false), None);
    assert_eq!(lease.continue_alone(at(2_500), LENGTH, true), Some(true));
    assert!(lease.may_order(at(2_600), lease.fence()));
    assert_eq!(lease.continue_alone(at(2_900), LENGTH, true), None);
    assert_eq!(lease.continue_alone(at(3_300), LENGTH, false), Some(false));
    assert!(!lease.is_held(at(3_300)));
}

/// A VM that was frozen while it planned without the store can't know whether others have it again.
#[test]
fn planning_without_the_store_ends_with_a_freeze() {
    let mut lease = Lease::default();
    lease.apply(at(0), LENGTH, grant(9));
    lease.continue_alone(at(500), LENGTH, false);
    lease.continue_alone(at(1_000), LENGTH, true);
    assert_eq!(lease.continue_alone(at(4_500), LENGTH, true), Some(false));
    assert!(!lease.is_held(at(4_500)));
}
