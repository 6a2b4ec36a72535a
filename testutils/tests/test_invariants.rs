//! Each invariant check accepts valid traces and reports a violation.

use std::time::Duration;

use hemlock_lib::codes::Ran;
use hemlock_lib::ids::{Offset, ReplicaId, ReplicaSeq, RequestId, VmId};
use hemlock_lib::time::Time;
use hemlock_testutils::invariants::{self, Bounds, Event, TimedEvent};

const BOUNDS: Bounds = Bounds {
    loss_detection: Duration::from_secs(2),
    leaving: Duration::from_secs(3),
    table_update: Duration::from_secs(12),
};

fn trace(events: &[(u64, Event)]) -> Vec<TimedEvent> {
    let timed = |(ms, event): &(u64, Event)| TimedEvent {
        at: Time::from_millis(*ms),
        event: event.clone(),
    };
    events.iter().map(timed).collect()
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

fn request() -> RequestId {
    RequestId::new("r")
}

fn loaded(name: &str) -> Event {
    Event::Loaded(vm(name), replica(1), 2)
}

fn dispatched(name: &str) -> Event {
    Event::Dispatched(request(), vm(name), Some(replica(1)))
}

fn stream_cut() -> Event {
    Event::StreamCut(request(), "e".into())
}

fn applied(offset: u64) -> Event {
    Event::Applied("e".into(), Offset(offset))
}

#[test]
fn valid_traces_are_accepted() {
    let started = || Event::Started("e".into());
    let valid = [
        vec![(0, loaded("a")), (1, loaded("b")), (2, dispatched("a"))],
        vec![
            (0, loaded("a")),
            (1, loaded("b")),
            (9, Event::Down(vm("b"))),
            (2_009, dispatched("a")),
        ],
        vec![
            (0, loaded("a")),
            (0, loaded("b")),
            (1, Event::Leaving(vm("a"))),
            (3_001, dispatched("a")),
        ],
        vec![
            (0, Event::Assigned(vm("a"), replica(1))),
            (1, Event::Freed(vm("a"), replica(1))),
            (2, Event::Assigned(vm("a"), replica(2))),
        ],
        vec![
            (0, Event::Requested(request(), 7)),
            (1, Event::Answered(request(), 7)),
        ],
        vec![
            (0, Event::Executed(request())),
            (1, Event::Refused(request(), Ran::Unknown)),
        ],
        vec![(0, stream_cut()), (1, Event::Stopping("e".into()))],
        vec![
            (0, started()),
            (1, Event::Accepted(Offset(4))),
            (12_001, applied(5)),
            (40_000, Event::Executed(request())),
        ],
    ];
    for events in valid {
        assert_eq!(
            invariants::check(&trace(&events), &BOUNDS),
            Ok(()),
            "{events:?}"
        );
    }
}

#[test]
fn each_violation_is_reported() {
    let started = || Event::Started("e".into());
    let vm_down = (9, Event::Down(vm("b")));
    let cases = [
        (
            "missing a VM",
            vec![
                (0, loaded("a")),
                (1, loaded("b")),
                vm_down,
                (2_010, dispatched("a")),
            ],
        ),
        ("missing a VM", vec![(0, dispatched("a"))]),
        (
            "two replicas",
            vec![
                (0, Event::Assigned(vm("a"), replica(1))),
                (1, Event::Assigned(vm("a"), replica(2))),
            ],
        ),
        (
            "another request",
            vec![
                (0, Event::Requested(request(), 7)),
                (1, Event::Answered(request(), 8)),
            ],
        ),
        ("another request", vec![(1, Event::Answered(request(), 8))]),
        (
            "refused as not run",
            vec![
                (0, Event::Refused(request(), Ran::No)),
                (1, Event::Executed(request())),
            ],
        ),
        (
            "ran twice",
            vec![
                (0, Event::Executed(request())),
                (1, Event::Executed(request())),
            ],
        ),
        (
            "leaving endpoint",
            vec![
                (0, loaded("a")),
                (0, loaded("b")),
                (0, Event::Leaving(vm("a"))),
                (3_001, dispatched("a")),
            ],
        ),
        (
            "graceful stop",
            vec![(0, Event::Stopping("e".into())), (1, stream_cut())],
        ),
        (
            "reverted",
            vec![(0, started()), (1, applied(5)), (2, applied(4))],
        ),
        (
            "not applied in time",
            vec![
                (0, started()),
                (1, Event::Accepted(Offset(4))),
                (12_002, Event::Executed(request())),
            ],
        ),
    ];
    for (description, events) in cases {
        let violation = invariants::check(&trace(&events), &BOUNDS)
            .expect_err("the trace violates an invariant");
        assert!(
            violation.description.contains(description),
            "{description}: {violation}"
        );
    }
}
