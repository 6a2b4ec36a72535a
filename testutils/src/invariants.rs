//! What must always hold, each point as one function over a trace of events.
//!
//! Each function returns the first event that breaks its point. The bounds in time are arguments, so
//! that a test states the ones of its settings.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hemlock_lib::codes::Ran;
use hemlock_lib::ids::{EntryId, Offset, ReplicaId, RequestId, VmId};
use hemlock_lib::time::Time;

/// Something that happened, seen from outside the system.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A VM was assigned to a replica.
    Assigned(VmId, ReplicaId),
    /// A VM was freed by a replica.
    Freed(VmId, ReplicaId),
    /// An engine took an order and is part of a replica that spans so many VMs.
    Took(VmId, ReplicaId, u32),
    /// An engine gave up its part of a replica.
    GaveUp(VmId),
    /// A VM went down.
    Down(VmId),
    /// A VM came back.
    Up(VmId),
    /// The platform lists a VM as leaving.
    Leaving(VmId),
    /// A replica's engine was given a request.
    Dispatched(RequestId, VmId, Option<ReplicaId>),
    /// An endpoint ran the work behind this name.
    Ran(RequestId),
    /// A caller asked for work whose right answer has this digest.
    Asked(RequestId, u64),
    /// A caller was given an answer with this digest as a whole one.
    Answered(RequestId, u64),
    /// A caller was refused.
    Refused(RequestId, Ran),
    /// A stream ended without its end or an error.
    Cut(RequestId, EntryId),
    /// An entry VM was asked to stop as planned.
    Stopping(EntryId),
    /// An entry VM runs and applies the table.
    Started(EntryId),
    /// An entry VM was killed, or has stopped.
    Ended(EntryId),
    /// A change of the table was accepted at this offset.
    Accepted(Offset),
    /// An entry VM applies the table up to this offset, exclusive.
    InForce(EntryId, Offset),
}

/// An event with its time.
#[derive(Debug, Clone, PartialEq)]
pub struct Stamped {
    /// When.
    pub at: Time,
    /// What.
    pub event: Event,
}

/// Events in the order of their times.
pub type Trace = [Stamped];

/// Says which event broke which point.
#[derive(Debug, Clone, PartialEq)]
pub struct Breach {
    /// The point.
    pub point: &'static str,
    /// The event.
    pub event: Stamped,
}

impl std::fmt::Display for Breach {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{}: {:?} at {} ms",
            self.point,
            self.event.event,
            self.event.at.as_millis()
        )
    }
}

impl std::error::Error for Breach {}

/// Bounds in time that the points allow.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Time after a VM is lost in which requests may still reach its replica.
    pub probe: Duration,
    /// Time after which a leaving endpoint gets no new work.
    pub leaving: Duration,
    /// Time in which an accepted change is in force everywhere.
    pub in_force: Duration,
}

/// Checks all eight points.
pub fn check(trace: &Trace, limits: &Limits) -> Result<(), Breach> {
    replica_is_whole(trace, limits.probe)?;
    vm_has_one_replica(trace)?;
    answer_is_its_own(trace)?;
    not_run_is_true(trace)?;
    once_runs_once(trace)?;
    leaving_gets_nothing(trace, limits.leaving)?;
    stop_cuts_nothing(trace)?;
    change_stays(trace, limits.in_force)
}

/// No replica serves while missing any of its VMs for longer than `bound`.
pub fn replica_is_whole(trace: &Trace, bound: Duration) -> Result<(), Breach> {
    let mut parts: BTreeMap<VmId, ReplicaId> = BTreeMap::new();
    let mut spans: BTreeMap<ReplicaId, u32> = BTreeMap::new();
    let mut short: BTreeMap<ReplicaId, Time> = BTreeMap::new();
    for stamped in trace {
        match &stamped.event {
            Event::Took(vm, replica, span) => {
                spans.insert(replica.clone(), *span);
                leave_part(&mut parts, &mut short, vm, stamped.at);
                parts.insert(vm.clone(), replica.clone());
                if parts.values().filter(|r| *r == replica).count() == *span as usize {
                    short.remove(replica);
                }
            }
            Event::GaveUp(vm) | Event::Down(vm) => {
                leave_part(&mut parts, &mut short, vm, stamped.at);
            }
            Event::Dispatched(_, _, Some(replica)) => {
                let late = short
                    .get(replica)
                    .is_some_and(|at| stamped.at.since(*at) > bound);
                if late || !spans.contains_key(replica) {
                    return breach("a replica serves while missing a VM", stamped);
                }
            }
            _ => {}
        }
    }
    Ok(())
}

/// No VM belongs to two replicas at once.
pub fn vm_has_one_replica(trace: &Trace) -> Result<(), Breach> {
    let mut owners: BTreeMap<&VmId, &ReplicaId> = BTreeMap::new();
    for stamped in trace {
        match &stamped.event {
            Event::Assigned(vm, replica) => {
                let owner = owners.insert(vm, replica);
                if owner.is_some_and(|owner| owner != replica) {
                    return breach("a VM belongs to two replicas", stamped);
                }
            }
            Event::Freed(vm, _) => drop(owners.remove(vm)),
            _ => {}
        }
    }
    Ok(())
}

/// Every caller receives the whole answer to its own request.
pub fn answer_is_its_own(trace: &Trace) -> Result<(), Breach> {
    let mut asked = BTreeMap::new();
    for stamped in trace {
        match &stamped.event {
            Event::Asked(request, digest) => drop(asked.insert(request, digest)),
            Event::Answered(request, digest) if asked.get(request) != Some(&digest) => {
                return breach("an answer is wrong, cut short or another's", stamped);
            }
            _ => {}
        }
    }
    Ok(())
}

/// When the system says that a refused request was not run, it was not run, then or later.
///
/// A request that is sent again under a new name counts as another one.
pub fn not_run_is_true(trace: &Trace) -> Result<(), Breach> {
    let refused = |s: &Stamped| match &s.event {
        Event::Refused(request, Ran::No) => Some(request.clone()),
        _ => None,
    };
    let refused: BTreeSet<RequestId> = trace.iter().filter_map(refused).collect();
    let untrue = |s: &&Stamped| matches!(&s.event, Event::Ran(r) if refused.contains(r));
    match trace.iter().find(untrue) {
        Some(stamped) => breach("a request that was refused as not run was run", stamped),
        None => Ok(()),
    }
}

/// Non-idempotent work runs at most once; the trace names `Ran` by the idempotency key.
pub fn once_runs_once(trace: &Trace) -> Result<(), Breach> {
    let mut ran = BTreeSet::new();
    for stamped in trace {
        if matches!(&stamped.event, Event::Ran(r) if !ran.insert(r)) {
            return breach("non-idempotent work ran twice", stamped);
        }
    }
    Ok(())
}

/// A leaving endpoint receives no new work after `bound`.
pub fn leaving_gets_nothing(trace: &Trace, bound: Duration) -> Result<(), Breach> {
    let mut leaving = BTreeMap::new();
    for stamped in trace {
        match &stamped.event {
            Event::Leaving(vm) => drop(leaving.insert(vm, stamped.at)),
            Event::Up(vm) => drop(leaving.remove(vm)),
            Event::Dispatched(_, vm, _) => {
                let since = leaving.get(vm);
                if since.is_some_and(|at| stamped.at.since(*at) > bound) {
                    return breach("a leaving endpoint received new work", stamped);
                }
            }
            _ => {}
        }
    }
    Ok(())
}

/// A planned stop cuts off no request.
pub fn stop_cuts_nothing(trace: &Trace) -> Result<(), Breach> {
    let mut stopping = BTreeSet::new();
    for stamped in trace {
        match &stamped.event {
            Event::Stopping(entry) => drop(stopping.insert(entry)),
            Event::Started(entry) => drop(stopping.remove(entry)),
            Event::Cut(_, entry) if stopping.contains(entry) => {
                return breach("a planned stop cut off a request", stamped);
            }
            _ => {}
        }
    }
    Ok(())
}

/// An accepted change is in force on every running entry VM within `bound`, and stays.
pub fn change_stays(trace: &Trace, bound: Duration) -> Result<(), Breach> {
    let mut running: BTreeMap<&EntryId, (Time, Offset)> = BTreeMap::new();
    let mut accepted: Vec<(Time, Offset)> = Vec::new();
    for stamped in trace {
        match &stamped.event {
            Event::Started(entry) => drop(running.insert(entry, (stamped.at, Offset(0)))),
            Event::Ended(entry) => drop(running.remove(entry)),
            Event::Accepted(offset) => accepted.push((stamped.at, *offset)),
            Event::InForce(entry, offset) => {
                let Some((_, last)) = running.get_mut(entry) else {
                    continue;
                };
                if *offset < *last {
                    return breach("an accepted change was reverted", stamped);
                }
                *last = *offset;
            }
            _ => {}
        }
        for (at, offset) in &accepted {
            let late = |(since, in_force): &(Time, Offset)| {
                *in_force <= *offset && stamped.at.since(*at.max(since)) > bound
            };
            if running.values().any(late) {
                return breach("an accepted change is not in force in time", stamped);
            }
        }
    }
    Ok(())
}

fn leave_part(
    parts: &mut BTreeMap<VmId, ReplicaId>,
    short: &mut BTreeMap<ReplicaId, Time>,
    vm: &VmId,
    at: Time,
) {
    if let Some(replica) = parts.remove(vm) {
        short.entry(replica).or_insert(at);
    }
}

fn breach(point: &'static str, stamped: &Stamped) -> Result<(), Breach> {
    Err(Breach {
        point,
        event: stamped.clone(),
    })
}
