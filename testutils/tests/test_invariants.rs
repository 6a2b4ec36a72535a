//! Each invariant check passes a sound trace and fails one that breaks its point.

use std::time::Duration;

use hemlock_lib::codes::Ran;
use hemlock_lib::ids::{Offset, ReplicaId, ReplicaSeq, RequestId, VmId};
use hemlock_lib::time::Time;
use hemlock_testutils::invariants::{self, Event, Limits, Stamped};

const LIMITS: Limits = Limits {
    probe: Duration::from_secs(2),
    leaving: Duration::from_secs(3),
    in_force: Duration::from_secs(12),
};

fn trace(events: &[(u64, Event)]) -> Vec<Stamped> {
    let stamp = |(ms, event): &(u64, Event)| Stamped {
        at: Time::from_millis(*ms),
        event: event.clone(),
    };
    events.iter().map(stamp).collect()
}

fn replica(seq: u64) -> ReplicaId {
    ReplicaId {
        shard: "riverside".into(),
        seq: ReplicaSeq(seq),
    }
}

fn vm(name: &str) -> VmId {
    VmId::new(name)
}

fn r() -> RequestId {
    RequestId::new("r")
}

fn took(name: &str) -> Event {
    Event::Took(vm(name), replica(1), 2)
}

fn sent(name: &str) -> Event {
    Event::Dispatched(r(), vm(name), Some(replica(1)))
}

fn cut() -> Event {
    Event::Cut(r(), "e".into())
}

fn in_force(offset: u64) -> Event {
    Event::InForce("e".into(), Offset(offset))
}

#[test]
fn sound_traces_pass() {
    let started = || Event::Started("e".into());
    let sound = [
        vec![(0, took("a")), (1, took("b")), (2, sent("a"))],
        vec![
            (0, took("a")),
            (1, took("b")),
            (9, Event::Down(vm("b"))),
            (2_009, sent("a")),
        ],
        vec![
            (0, took("a")),
            (0, took("b")),
            (1, Event::Leaving(vm("a"))),
            (3_001, sent("a")),
        ],
        vec![
            (0, Event::Assigned(vm("a"), replica(1))),
            (1, Event::Freed(vm("a"), replica(1))),
            (2, Event::Assigned(vm("a"), replica(2))),
        ],
        vec![(0, Event::Asked(r(), 7)), (1, Event::Answered(r(), 7))],
        vec![(0, Event::Ran(r())), (1, Event::Refused(r(), Ran::Unknown))],
        vec![(0, cut()), (1, Event::Stopping("e".into()))],
        vec![
            (0, started()),
            (1, Event::Accepted(Offset(4))),
            (12_001, in_force(5)),
            (40_000, Event::Ran(r())),
        ],
    ];
    for events in sound {
        assert_eq!(
            invariants::check(&trace(&events), &LIMITS),
            Ok(()),
            "{events:?}"
        );
    }
}

#[test]
fn each_point_can_break() {
    let started = || Event::Started("e".into());
    let lost = (9, Event::Down(vm("b")));
    let cases = [
        (
            "missing a VM",
            vec![(0, took("a")), (1, took("b")), lost, (2_010, sent("a"))],
        ),
        ("missing a VM", vec![(0, sent("a"))]),
        (
            "two replicas",
            vec![
                (0, Event::Assigned(vm("a"), replica(1))),
                (1, Event::Assigned(vm("a"), replica(2))),
            ],
        ),
        (
            "another's",
            vec![(0, Event::Asked(r(), 7)), (1, Event::Answered(r(), 8))],
        ),
        ("another's", vec![(1, Event::Answered(r(), 8))]),
        (
            "refused as not run",
            vec![(0, Event::Refused(r(), Ran::No)), (1, Event::Ran(r()))],
        ),
        (
            "ran twice",
            vec![(0, Event::Ran(r())), (1, Event::Ran(r()))],
        ),
        (
            "leaving endpoint",
            vec![
                (0, took("a")),
                (0, took("b")),
                (0, Event::Leaving(vm("a"))),
                (3_001, sent("a")),
            ],
        ),
        (
            "planned stop",
            vec![(0, Event::Stopping("e".into())), (1, cut())],
        ),
        (
            "reverted",
            vec![(0, started()), (1, in_force(5)), (2, in_force(4))],
        ),
        (
            "in force in time",
            vec![
                (0, started()),
                (1, Event::Accepted(Offset(4))),
                (12_002, Event::Ran(r())),
            ],
        ),
    ];
    for (point, events) in cases {
        let breach = invariants::check(&trace(&events), &LIMITS).expect_err("the trace is unsound");
        assert!(breach.point.contains(point), "{point}: {breach}");
    }
}
