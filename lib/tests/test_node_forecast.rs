use std::time::Duration;

use hemlock_lib::node::forecast::Course;

/// A stream of a group that turned four times as slow, as one on the users' days that ended unfinished
/// after 50 events: 105 ms between events, a length that was given as 17 events.
fn slow(events: u32, left_ms: u64) -> Course {
    Course {
        slowness: 4.0,
        pause: Duration::from_millis(105),
        events,
        missing: 17u32.saturating_sub(events),
        left: Duration::from_millis(left_ms),
        first: Duration::from_millis(300),
    }
}

#[test]
fn a_stream_that_would_miss_its_end_moves_in_time() {
    let moves = |events: u32| slow(events, 6_000 - u64::from(events) * 105).should_move();
    assert!(!moves(10), "it may still end here");
    assert!(moves(40), "it would be cut off");
}

#[test]
fn a_stream_stays_where_another_group_would_not_help() {
    let loaded = Course {
        slowness: 1.6,
        ..slow(40, 1_800)
    };
    assert!(!loaded.should_move(), "the group is loaded, not slow");
    assert!(!slow(40, 500).should_move(), "there is no time to move");
}
