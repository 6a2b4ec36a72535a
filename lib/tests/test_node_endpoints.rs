use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::endpoints::{
    Change, Endpoint, Endpoints, EngineReport, MemberState, Membership,
};
use hemlock_lib::node::warm_up::ToldWarmUp;
use hemlock_lib::time::Time;

fn at(ms: u64) -> Time {
    Time::from_millis(10_000 + ms)
}

fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        id: Arc::from(id),
        started_ms: 1,
        sequence: 0,
        service: Arc::from("s"),
        address: "10.0.0.1:80".to_owned(),
        zone: Arc::from("z"),
        domain: Arc::from("d"),
        draining: false,
        slots: 4,
        staged: Vec::new(),
        model: None,
        membership: None,
        warm_up: ToldWarmUp::default(),
    }
}

fn list_of(count: usize) -> Endpoints {
    let mut endpoints = Endpoints::new(Duration::from_secs(2));
    for i in 0..count {
        endpoints.put(at(0), endpoint(&format!("e{i}")));
    }
    endpoints
}

#[test]
fn an_entry_that_ends_is_removed_at_once() {
    let mut endpoints = list_of(10);
    assert_eq!(
        endpoints.remove(at(0), ["e1"]),
        [(Arc::from("e1"), Change::Gone)]
    );
    assert!(endpoints.get("e1").is_none());
    assert!(endpoints.remove(at(0), ["e1"]).is_empty());
}

/// Entries lapse during an outage of the store. They are listed again within 2 s after it, or
/// removed.
#[test]
fn entries_that_lapse_in_an_outage_stay_until_the_store_is_back() {
    let mut endpoints = list_of(10);
    endpoints.store_lost();
    assert_eq!(endpoints.remove(at(0), ["e1"])[0].1, Change::Lapsed);
    assert!(endpoints.expire(at(60_000)).is_empty());
    endpoints.store_returned(at(60_000));
    assert_eq!(endpoints.remove(at(60_500), ["e2"])[0].1, Change::Lapsed);
    endpoints.put(at(0), endpoint("e2"));
    assert!(endpoints.expire(at(61_900)).is_empty());
    assert_eq!(endpoints.expire(at(62_000)), [Arc::from("e1")]);
    assert!(endpoints.get("e2").is_some());
    assert_eq!(endpoints.remove(at(62_100), ["e3"])[0].1, Change::Gone);
}

/// Regression test (qcl-sfax, scenario trouble-2): the store answered once between two outages, and
/// entries that it had removed by then were dropped 2 s later, during the second outage.
#[test]
fn a_store_that_answers_once_in_an_outage_removes_nothing() {
    let mut endpoints = list_of(10);
    endpoints.store_lost();
    endpoints.store_returned(at(0));
    endpoints.remove(at(10), ["e1", "e2"]);
    endpoints.store_lost();
    assert!(endpoints.expire(at(30_000)).is_empty());
    assert!(endpoints.get("e1").is_some());
}

/// Many entries that end together stay in use, but for less than the 2 s that a drain may take.
#[test]
fn many_entries_that_end_together_stay_for_a_while() {
    let mut endpoints = list_of(10);
    let changes = endpoints.remove(at(0), ["e1", "e2", "e3"]);
    assert!(changes.iter().all(|(_, c)| *c == Change::Lapsed));
    assert!(endpoints.expire(at(1_400)).is_empty());
    assert_eq!(endpoints.expire(at(1_500)).len(), 3);
}

#[test]
fn a_restarted_endpoint_counts_as_new() {
    let mut endpoints = list_of(1);
    let restarted = Endpoint {
        started_ms: 2,
        ..endpoint("e0")
    };
    assert_eq!(endpoints.put(at(0), restarted.clone()), Change::Listed);
    assert_eq!(endpoints.put(at(0), restarted), Change::None);
}

#[test]
fn groups_are_assembled_by_name_and_epoch() {
    let mut endpoints = Endpoints::new(Duration::from_secs(2));
    let membership = |rank, epoch| Membership {
        group: Arc::from("g"),
        epoch,
        rank,
        state: MemberState::Ready,
    };
    for (id, rank, epoch) in [("a", 0, 7), ("b", 1, 7), ("c", 1, 6)] {
        let membership = Some(membership(rank, epoch));
        endpoints.put(
            at(0),
            Endpoint {
                membership,
                ..endpoint(id)
            },
        );
    }
    let groups = endpoints.groups();
    assert!(groups[&(Arc::from("g"), 7)].is_complete(2));
    assert!(!groups[&(Arc::from("g"), 6)].is_complete(2));
    assert_eq!(groups[&(Arc::from("g"), 7)].head().unwrap().0.as_ref(), "a");
}

#[test]
fn a_fresh_list_replaces_the_old_one() {
    let mut endpoints = list_of(10);
    let mut new_entries: Vec<Endpoint> = (0..9).map(|i| endpoint(&format!("e{i}"))).collect();
    new_entries.push(endpoint("new"));
    let changes = endpoints.replace(at(0), new_entries);
    assert!(changes.contains(&(Arc::from("e9"), Change::Gone)));
    assert!(changes.contains(&(Arc::from("new"), Change::Listed)));
    assert_eq!(endpoints.iter().count(), 10);
    endpoints.store_returned(at(0));
    endpoints.replace(at(100), Vec::new());
    assert_eq!(endpoints.iter().count(), 10);
    endpoints.expire(at(0) + Duration::from_secs(2));
    assert_eq!(endpoints.iter().count(), 0);
}

fn entry(id: &str, sequence: u64, draining: bool) -> Endpoint {
    Endpoint {
        sequence,
        draining,
        ..endpoint(id)
    }
}

#[test]
fn an_older_copy_of_the_store_makes_no_draining_endpoint_available() {
    let mut endpoints = list_of(0);
    endpoints.put(at(0), entry("counted", 7, true));
    endpoints.put(at(0), entry("uncounted", 0, true));
    let copy = vec![entry("counted", 6, false), entry("uncounted", 0, false)];
    endpoints.restore(at(0), copy);
    assert!(endpoints.iter().all(|e| e.draining));
    // Its next life does not drain.
    let restarted = Endpoint {
        started_ms: 2,
        ..endpoint("counted")
    };
    endpoints.put(at(0), restarted);
    assert!(!endpoints.get("counted").unwrap().draining);
}

#[test]
fn an_older_copy_of_the_store_lists_no_endpoint_that_has_gone() {
    let mut endpoints = list_of(10);
    endpoints.put(at(0), entry("gone", 4, false));
    endpoints.remove(at(0), ["gone"]);
    let copy = |sequence| {
        let others = (0..10).map(|i| endpoint(&format!("e{i}")));
        others.chain([entry("gone", sequence, false)]).collect()
    };
    endpoints.restore(at(3_000), copy(4));
    assert!(endpoints.get("gone").is_none());
    // It has written again, so it lives.
    endpoints.restore(at(4_000), copy(5));
    assert!(endpoints.get("gone").is_some());
}

#[test]
fn endpoints_that_an_older_copy_lacks_stay_until_they_would_be_listed_again() {
    let mut endpoints = list_of(10);
    endpoints.restore(at(0), (0..9).map(|i| endpoint(&format!("e{i}"))).collect());
    assert!(endpoints.get("e9").is_some() && endpoints.is_settling(at(1_900)));
    assert!(endpoints.expire(at(1_900)).is_empty());
    assert_eq!(endpoints.expire(at(2_000)), [Arc::from("e9")]);
    assert!(!endpoints.is_settling(at(2_000)));
}

#[test]
fn what_an_endpoint_wrote_after_the_copy_was_taken_is_kept() {
    let mut endpoints = list_of(0);
    let member = |epoch| {
        Some(Membership {
            group: Arc::from("g"),
            epoch,
            rank: 0,
            state: MemberState::Open,
        })
    };
    let of = |sequence, epoch| Endpoint {
        membership: member(epoch),
        ..entry("e", sequence, false)
    };
    endpoints.put(at(0), of(5, 50));
    endpoints.restore(at(0), vec![of(4, 40)]);
    assert_eq!(endpoints.get("e").unwrap().membership, member(50));
    endpoints.restore(at(0), vec![of(6, 60)]);
    assert_eq!(endpoints.get("e").unwrap().membership, member(60));
}

#[test]
fn endpoint_that_says_it_leaves_drains_until_it_has_restarted() {
    let mut endpoints = list_of(10);
    let id = Arc::from("e1");
    assert_eq!(endpoints.mark_leaving(&id, 2), Change::None);
    assert_eq!(endpoints.mark_leaving(&id, 1), Change::Draining);
    assert_eq!(endpoints.mark_leaving(&id, 1), Change::None);
    endpoints.put(at(0), entry("e1", 5, false));
    assert!(endpoints.get("e1").unwrap().draining);
    endpoints.put(
        at(0),
        Endpoint {
            started_ms: 2,
            ..endpoint("e1")
        },
    );
    assert!(!endpoints.get("e1").unwrap().draining);
}

fn of_start(started_ms: u64, sequence: u64) -> Endpoint {
    Endpoint {
        started_ms,
        ..entry("e1", sequence, false)
    }
}

/// Returns the membership of the head of an open group.
fn open_head() -> Option<Membership> {
    Some(Membership {
        group: Arc::from("g"),
        epoch: 1,
        rank: 0,
        state: MemberState::Open,
    })
}

fn start_of(endpoints: &Endpoints) -> (u64, u64) {
    let e = endpoints.get("e1").unwrap();
    (e.started_ms, e.sequence)
}

/// Guards against review case 8: the store executed an entry behind newer ones, and the list showed the
/// engine without its group.
#[test]
fn entry_that_the_store_executes_behind_newer_ones_is_ignored() {
    let mut endpoints = list_of(10);
    let joined = Endpoint {
        membership: open_head(),
        ..of_start(5, 9)
    };
    endpoints.put(at(0), joined.clone());
    let late = of_start(5, 8);
    let change = endpoints.put(at(1), late.clone());
    assert_eq!(change, Change::Outdated(late.entry_version()));
    let mut list: Vec<Endpoint> = endpoints.iter().cloned().collect();
    list.iter_mut()
        .filter(|e| &*e.id == "e1")
        .for_each(|e| *e = late.clone());
    endpoints.replace(at(2), list);
    assert_eq!(endpoints.get("e1"), Some(&joined));
}

/// Guards against DRAIN broken by a late entry: a plain endpoint became available again.
#[test]
fn late_entry_makes_no_draining_endpoint_available() {
    let mut endpoints = list_of(10);
    endpoints.put(at(0), entry("e1", 7, true));
    endpoints.put(at(1), entry("e1", 6, false));
    assert!(endpoints.get("e1").unwrap().draining);
    // Uncounted entries, and one that was numbered before the endpoint began to drain.
    endpoints.put(at(2), entry("e1", 8, false));
    assert!(endpoints.get("e1").unwrap().draining);
}

#[test]
fn late_entry_lists_no_endpoint_that_is_gone() {
    let mut endpoints = list_of(10);
    endpoints.put(at(0), entry("e1", 7, true));
    endpoints.remove(at(10), ["e1"]);
    for sequence in [6, 7] {
        endpoints.put(at(20), entry("e1", sequence, false));
        assert!(endpoints.get("e1").is_none(), "{sequence}");
    }
    // One that only had lapsed writes on, but does not stop to drain.
    endpoints.put(at(30), entry("e1", 8, false));
    assert!(endpoints.get("e1").unwrap().draining);
    endpoints.put(at(40), of_start(2, 0));
    assert!(!endpoints.get("e1").unwrap().draining);
}

#[test]
fn endpoint_whose_clock_went_back_at_its_restart_is_listed() {
    for ends_first in [false, true] {
        let mut endpoints = list_of(10);
        endpoints.put(at(0), of_start(5_000, 40));
        if ends_first {
            endpoints.remove(at(50), ["e1"]);
        }
        let restarted = of_start(2_000, 0);
        let unconfirmed = Change::Unconfirmed(restarted.entry_version());
        assert_eq!(endpoints.put(at(100), restarted.clone()), unconfirmed);
        // Neither reading the list again nor further entries defer it.
        endpoints.put(at(2_050), of_start(2_000, 0));
        endpoints.put(at(4_000), of_start(2_000, 3));
        assert!(endpoints.settle(at(5_000)).is_empty());
        let settled = endpoints.settle(at(5_100));
        assert_eq!(settled, [(Arc::from("e1"), Change::Listed)]);
        assert_eq!(start_of(&endpoints), (2_000, 3));
        // A late entry of the life before is now of the later start, and stays out.
        endpoints.put(at(5_200), of_start(5_000, 39));
        endpoints.put(at(5_300), of_start(2_000, 4));
        assert!(endpoints.settle(at(19_000)).is_empty());
        assert_eq!(start_of(&endpoints), (2_000, 4));
    }
}

/// Guards against endpoints that are lost for good: the store executed a late entry that says what the
/// endpoint says now, so that its heartbeats add no record.
#[test]
fn late_entry_that_the_store_goes_on_listing_is_applied() {
    let mut endpoints = list_of(10);
    endpoints.put(at(0), entry("e1", 7, false));
    endpoints.remove(at(10), ["e1"]);
    endpoints.put(at(20), entry("e1", 6, false));
    assert!(endpoints.settle(at(5_000)).is_empty());
    assert_eq!(endpoints.settle(at(5_020)).len(), 1);
    // The same of an endpoint whose newer entry was lost.
    let joined = Endpoint {
        membership: open_head(),
        ..of_start(1, 9)
    };
    endpoints.put(at(6_000), joined);
    endpoints.put(at(6_100), of_start(1, 8));
    endpoints.put(at(7_000), of_start(1, 7));
    assert!(endpoints.settle(at(11_900)).is_empty());
    let settled = endpoints.settle(at(12_000));
    assert_eq!(settled, [(Arc::from("e1"), Change::Membership)]);
    assert_eq!(endpoints.get("e1").unwrap().membership, None);
}

#[test]
fn late_entry_of_an_earlier_life_is_not_listed() {
    let mut endpoints = list_of(10);
    endpoints.put(at(0), of_start(5_000, 1));
    endpoints.put(at(10), of_start(2_000, 90));
    // The endpoint writes its entry again.
    endpoints.put(at(1_200), of_start(5_000, 2));
    assert!(endpoints.settle(at(9_000)).is_empty());
    assert_eq!(start_of(&endpoints), (5_000, 2));
    // An entry that the store removes after its silence is of no life that goes on.
    endpoints.put(at(9_010), of_start(2_000, 91));
    endpoints.remove(at(10_000), ["e1"]);
    assert!(endpoints.settle(at(20_000)).is_empty());
    assert!(endpoints.get("e1").is_none());
}

#[test]
fn restart_with_an_earlier_clock_is_listed_at_once_when_the_engine_names_its_start() {
    let mut endpoints = list_of(10);
    endpoints.put(at(0), of_start(5_000, 40));
    endpoints.put(at(10), of_start(2_000, 0));
    assert_eq!(endpoints.confirm("e1", 5_000), Change::None);
    assert_eq!(endpoints.confirm("e1", 2_000), Change::Listed);
    assert_eq!(start_of(&endpoints), (2_000, 0));
}

/// Nothing can contradict a late entry while the store takes no writes.
#[test]
fn entry_of_an_earlier_start_waits_for_the_end_of_an_outage() {
    let mut endpoints = list_of(10);
    endpoints.put(at(0), of_start(5_000, 40));
    endpoints.put(at(10), of_start(2_000, 3));
    endpoints.store_lost();
    assert!(endpoints.settle(at(60_000)).is_empty());
    endpoints.store_returned(at(60_000));
    assert!(endpoints.settle(at(64_900)).is_empty());
    assert_eq!(endpoints.settle(at(65_000)).len(), 1);
}

/// Guards against review case 7 and what would follow: an entry of another writer ended that of a live endpoint.
#[test]
fn endpoint_whose_entry_another_writer_replaced_stays_in_use_until_it_writes_again() {
    let mut endpoints = list_of(10);
    let before = endpoints.get("e1").cloned();
    assert_eq!(endpoints.doubt(at(0), "e1"), Change::Lapsed);
    assert_eq!(endpoints.doubt(at(100), "e1"), Change::None);
    assert_eq!(endpoints.get("e1").cloned(), before);
    endpoints.put(at(1_200), entry("e1", 1, false));
    assert!(endpoints.expire(at(9_000)).is_empty());
    // One that doesn't is gone, within the drain time.
    endpoints.doubt(at(10_000), "e1");
    assert!(endpoints.expire(at(11_400)).is_empty());
    assert_eq!(endpoints.expire(at(11_500)), [Arc::from("e1")]);
    assert_eq!(endpoints.doubt(at(12_000), "e1"), Change::None);
    assert_eq!(endpoints.doubt(at(12_000), "unknown"), Change::None);
}

fn report_of(started_ms: u64) -> EngineReport {
    EngineReport {
        id: Arc::from("e1"),
        started_ms,
        staged: Vec::new(),
        model: None,
        membership: None,
    }
}

/// Reports stand in for the list during an outage; what the store executes after it may be of the life before.
#[test]
fn late_entry_after_an_outage_does_not_undo_a_restart_that_a_report_told() {
    let mut endpoints = list_of(10);
    endpoints.put(at(0), of_start(5_000, 40));
    endpoints.store_lost();
    assert_eq!(endpoints.observe(&report_of(2_000)), Change::Listed);
    endpoints.store_returned(at(9_000));
    endpoints.put(at(9_010), of_start(5_000, 41));
    assert_eq!(start_of(&endpoints).0, 2_000);
    endpoints.put(at(9_020), of_start(2_000, 3));
    assert!(endpoints.settle(at(30_000)).is_empty());
    assert_eq!(start_of(&endpoints), (2_000, 3));
    // A report of the life before that came late is corrected by the next one.
    endpoints.observe(&report_of(1_000));
    endpoints.observe(&report_of(2_000));
    assert_eq!(endpoints.put(at(30_010), of_start(2_000, 4)), Change::None);
    assert_eq!(start_of(&endpoints), (2_000, 4));
}
