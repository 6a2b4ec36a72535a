//! What other entry VMs sent to groups since their last reports, when all choose on the same old ones.

use std::time::Duration;

use hemlock_lib::node::under_way::{ExpectedLoad, ReportedLoad, expected_loads};

const MEAN_PROMPT: f64 = 600.0;

fn reported(other_requests: usize) -> ReportedLoad {
    ReportedLoad {
        own_requests: 0,
        other_requests,
        other_prompt_tokens: 0,
        slots: 30,
        hold_s: 0.6,
        prefill_rate: 50_000.0,
    }
}

fn after_ms(groups: &[ReportedLoad], ms: u64) -> Vec<ExpectedLoad> {
    expected_loads(groups, Duration::from_millis(ms), MEAN_PROMPT)
}

/// As many requests come as end, so that the total stays; they go to the groups with the most room.
#[test]
fn requests_that_end_are_replaced_where_there_is_room() {
    let groups = [reported(29), reported(30), reported(10), reported(29)];
    let expected = after_ms(&groups, 50);
    let total: f64 = expected.iter().map(|e| e.requests).sum();
    assert!((total - 98.0).abs() < 0.1, "{expected:?}");
    assert!(expected[2].sent > 10.0 * expected[1].sent, "{expected:?}");
    assert!(expected[1].requests < 25.0, "{expected:?}");
}

/// The older the report, the more has ended and come, and the larger the doubt.
#[test]
fn doubt_grows_with_the_age_of_the_report() {
    let groups = [reported(25), reported(25)];
    let (fresh, old) = (after_ms(&groups, 0), after_ms(&groups, 300));
    assert!(old[0].doubt > 1.3 * fresh[0].doubt, "{fresh:?} {old:?}");
    assert!((old[0].requests - 25.0).abs() < 0.1, "{old:?}");
}

/// A group with few requests but a long queue of prompts reads no more in that time, so that others send
/// it hardly any.
#[test]
fn a_queue_of_prompts_takes_up_room() {
    let queue = ReportedLoad {
        other_prompt_tokens: 25_000,
        ..reported(20)
    };
    let expected = after_ms(&[queue, reported(28), reported(28)], 50);
    assert!(expected[0].sent < 1.0, "{expected:?}");
    assert!(expected[0].prompt_tokens > 15_000.0, "{expected:?}");
}

/// Without requests of others there is nothing under way.
#[test]
fn idle_groups_get_nothing() {
    let expected = after_ms(&[reported(0), reported(0)], 100);
    assert!(expected.iter().all(|e| e.sent < 0.01 && e.doubt < 0.1));
}
