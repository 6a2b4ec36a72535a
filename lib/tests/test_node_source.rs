use std::time::Duration;

use hemlock_lib::node::cache::Position;
use hemlock_lib::node::source::{Lag, MAX_LAG, MIN_PROGRESS_BYTES, PROGRESS_INTERVAL, Transfer};
use hemlock_lib::time::Time;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

#[test]
fn a_transfer_that_makes_progress_goes_on_however_long_it_takes() {
    let mut transfer = Transfer::new(at(0));
    for ms in (300..60_000).step_by(300) {
        assert!(!transfer.time_left(at(ms)).is_zero(), "{ms}");
        transfer.record(at(ms), MIN_PROGRESS_BYTES);
    }
    assert!(transfer.is_long(at(1_000)) && !transfer.is_long(at(999)));
}

#[test]
fn a_transfer_that_brings_a_byte_now_and_then_has_stalled() {
    let mut transfer = Transfer::new(at(0));
    for ms in (10..400).step_by(10) {
        transfer.record(at(ms), 1);
    }
    assert_eq!(transfer.time_left(at(399)), Duration::from_millis(1));
    assert_eq!(
        transfer.time_left(Time::ZERO + PROGRESS_INTERVAL),
        Duration::ZERO
    );
}

#[test]
fn a_source_that_replies_but_stays_behind_is_stale() {
    let mut lag = Lag::default();
    let (own, peer) = (Position::from(10), Position::from(12));
    let limit = MAX_LAG.as_millis() as u64;
    assert!(!lag.record_peer(at(0), own, peer));
    for ms in (0..limit).step_by(100) {
        // Replies without records, or with some of those that are missing.
        lag.record_read(own);
        lag.record_read(11.into());
        assert!(!lag.record_peer(at(ms), own, peer));
    }
    assert!(lag.record_peer(at(limit), own, peer));
    assert!(
        !lag.record_peer(at(limit), own, peer),
        "the time starts anew"
    );
}

#[test]
fn a_source_that_follows_the_changes_of_a_storm_is_not_stale() {
    let mut lag = Lag::default();
    for i in 0..100 {
        let (now, own) = (at(i * 100), Position::from(i));
        assert!(!lag.record_peer(now, own, (i + 5).into()), "{i}");
        lag.record_read((i + 1).into());
    }
}
