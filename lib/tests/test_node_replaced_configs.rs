use std::rc::Rc;
use std::time::Duration;

use hemlock_lib::node::config::{Config, Limits};
use hemlock_lib::node::replaced_configs::ReplacedConfigs;
use hemlock_lib::time::Time;

fn config(version: u64) -> Rc<Config> {
    Rc::new(Config::new(version, Limits::default(), [], [], None))
}

/// Versions 1 to 3, which were replaced after 1, 2 and 3 s; version 4 is in force.
fn replaced() -> ReplacedConfigs {
    let mut replaced = ReplacedConfigs::default();
    for version in 1..=3 {
        replaced.record(Time::from_millis(version * 1_000), config(version));
    }
    replaced
}

fn version_at(replaced: &ReplacedConfigs, arrival_ms: u64, accepted_by: u64) -> Option<u64> {
    let found = replaced.at(Time::from_millis(arrival_ms), accepted_by);
    found.map(|c| c.version)
}

#[test]
fn request_that_arrived_before_a_change_is_handled_by_the_version_before_it() {
    let replaced = replaced();
    assert_eq!(version_at(&replaced, 900, 1), Some(1));
    assert_eq!(version_at(&replaced, 1_500, 2), Some(2));
    assert_eq!(version_at(&replaced, 3_500, 4), None);
}

#[test]
fn peer_with_an_old_version_has_no_request_run_by_it_after_the_change() {
    let replaced = replaced();
    assert_eq!(version_at(&replaced, 2_500, 1), Some(3));
    assert_eq!(version_at(&replaced, 3_000, 1), None);
}

#[test]
fn request_that_was_accepted_by_a_newer_version_is_not_handled_by_an_older_one() {
    let replaced = replaced();
    assert_eq!(version_at(&replaced, 500, 3), Some(3));
    assert_eq!(version_at(&replaced, 500, 4), None);
}

#[test]
fn versions_in_quick_series_are_kept_up_to_a_number_and_forgotten_after_a_time() {
    let mut replaced = ReplacedConfigs::default();
    for version in 1..=100 {
        replaced.record(Time::from_millis(1_000 + version), config(version));
    }
    assert_eq!(version_at(&replaced, 0, 1), Some(37));
    replaced.expire(Time::from_millis(1_050) + Duration::from_secs(30));
    assert_eq!(version_at(&replaced, 0, 1), Some(51));
    replaced.expire(Time::from_millis(2_000) + Duration::from_secs(30));
    assert_eq!(version_at(&replaced, 0, 1), None);
}
