//! Invariants of the system, each as one function over a trace of events.
//!
//! Each function returns the first event that violates its invariant. The time bounds are arguments,
//! since they depend on the settings of the tested system.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hemlock_lib::codes::Ran;
use hemlock_lib::ids::{EntryId, Offset, ReplicaId, RequestId, VmId};
use hemlock_lib::time::Time;

/// An event as seen from outside the system.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A VM was assigned to a replica.
    Assigned(VmId, ReplicaId),
    /// A VM was released from a replica.
    Freed(VmId, ReplicaId),
    /// An engine accepted an order to load its part of a replica, which spans this number of VMs.
    Loaded(VmId, ReplicaId, u32),
    /// An engine unloaded its part of a replica.
    Unloaded(VmId),
    /// A VM went down.
    Down(VmId),
    /// A VM came back up.
    Up(VmId),
    /// The platform lists a VM as leaving.
    Leaving(VmId),
    /// A request was dispatched to a VM, and to this replica if it was for a model.
    Dispatched(RequestId, VmId, Option<ReplicaId>),
    /// An endpoint executed the request, or the work with this idempotency key.
    Executed(RequestId),
    /// A caller sent a request whose expected answer has this digest.
    Requested(RequestId, u64),
    /// A caller received an answer with this digest, and the system called it complete.
    Answered(RequestId, u64),
    /// A request was refused, with a statement of whether it was run.
    Refused(RequestId, Ran),
    /// A stream through this entry VM ended without an end marker or an error.
    StreamCut(RequestId, EntryId),
    /// An entry VM was told to stop gracefully.
    Stopping(EntryId),
    /// An entry VM was started and applies the table.
    Started(EntryId),
    /// An entry VM was killed or has stopped.
    Ended(EntryId),
    /// A change of the table was accepted at this offset of the log.
    Accepted(Offset),
    /// An entry VM applies the table up to this offset, exclusive.
    Applied(EntryId, Offset),
}

/// An event with its time.
#[derive(Debug, Clone, PartialEq)]
pub struct TimedEvent {
    /// When the event occurred.
    pub at: Time,
    /// The event that occurred.
    pub event: Event,
}

/// Events in chronological order.
pub type Trace = [TimedEvent];

/// A violated invariant, with the event that violated it.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// Description of the violation.
    pub description: &'static str,
    /// First event that violates the invariant.
    pub event: TimedEvent,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{}: {:?} at {} ms",
            self.description,
            self.event.event,
            self.event.at.as_millis()
        )
    }
}

impl std::error::Error for Violation {}

/// Time bounds within which the system must react.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Time after the loss of a VM within which requests may still be dispatched to its replica.
    pub loss_detection: Duration,
    /// Time after which a leaving endpoint must get no new requests.
    pub leaving: Duration,
    /// Time within which every running entry VM must apply an accepted change.
    pub table_update: Duration,
}

/// Checks all eight invariants and returns the first violation.
pub fn check(trace: &Trace, bounds: &Bounds) -> Result<(), Violation> {
    incomplete_replicas_get_no_requests(trace, bounds.loss_detection)?;
    vm_has_one_replica(trace)?;
    answers_match_requests(trace)?;
    not_run_refusals_are_true(trace)?;
    work_runs_at_most_once(trace)?;
    leaving_endpoints_get_no_requests(trace, bounds.leaving)?;
    graceful_stop_cuts_no_stream(trace)?;
    accepted_changes_are_applied(trace, bounds.table_update)
}

/// A replica that lacks one of its VMs gets requests for at most `bound`.
pub fn incomplete_replicas_get_no_requests(
    trace: &Trace,
    bound: Duration,
) -> Result<(), Violation> {
    let mut replica_by_vm: BTreeMap<VmId, ReplicaId> = BTreeMap::new();
    let mut span_by_replica: BTreeMap<ReplicaId, u32> = BTreeMap::new();
    let mut incomplete_since: BTreeMap<ReplicaId, Time> = BTreeMap::new();
    for timed in trace {
        match &timed.event {
            Event::Loaded(vm, replica, span) => {
                span_by_replica.insert(replica.clone(), *span);
                remove_vm(&mut replica_by_vm, &mut incomplete_since, vm, timed.at);
                replica_by_vm.insert(vm.clone(), replica.clone());
                if replica_by_vm.values().filter(|r| *r == replica).count() == *span as usize {
                    incomplete_since.remove(replica);
                }
            }
            Event::Unloaded(vm) | Event::Down(vm) => {
                remove_vm(&mut replica_by_vm, &mut incomplete_since, vm, timed.at);
            }
            Event::Dispatched(_, _, Some(replica)) => {
                let late = incomplete_since
                    .get(replica)
                    .is_some_and(|at| timed.at.since(*at) > bound);
                if late || !span_by_replica.contains_key(replica) {
                    return violation("a replica serves while missing a VM", timed);
                }
            }
            _ => {}
        }
    }
    Ok(())
}

/// No VM belongs to two replicas at once.
pub fn vm_has_one_replica(trace: &Trace) -> Result<(), Violation> {
    let mut replica_by_vm: BTreeMap<&VmId, &ReplicaId> = BTreeMap::new();
    for timed in trace {
        match &timed.event {
            Event::Assigned(vm, replica) => {
                let previous = replica_by_vm.insert(vm, replica);
                if previous.is_some_and(|previous| previous != replica) {
                    return violation("a VM belongs to two replicas", timed);
                }
            }
            Event::Freed(vm, _) => drop(replica_by_vm.remove(vm)),
            _ => {}
        }
    }
    Ok(())
}

/// Every caller receives the complete answer to its own request.
pub fn answers_match_requests(trace: &Trace) -> Result<(), Violation> {
    let mut expected = BTreeMap::new();
    for timed in trace {
        match &timed.event {
            Event::Requested(request, digest) => drop(expected.insert(request, digest)),
            Event::Answered(request, digest) if expected.get(request) != Some(&digest) => {
                return violation(
                    "an answer is wrong, incomplete or that of another request",
                    timed,
                );
            }
            _ => {}
        }
    }
    Ok(())
}

/// A request that was refused with the statement that it was not run is never executed.
///
/// A request that is sent again with a new identifier counts as another request.
pub fn not_run_refusals_are_true(trace: &Trace) -> Result<(), Violation> {
    let refused = |s: &TimedEvent| match &s.event {
        Event::Refused(request, Ran::No) => Some(request.clone()),
        _ => None,
    };
    let refused: BTreeSet<RequestId> = trace.iter().filter_map(refused).collect();
    let violates = |s: &&TimedEvent| matches!(&s.event, Event::Executed(r) if refused.contains(r));
    match trace.iter().find(violates) {
        Some(timed) => violation("a request that was refused as not run was run", timed),
        None => Ok(()),
    }
}

/// Non-idempotent work is executed at most once. `Executed` events must carry the idempotency key.
pub fn work_runs_at_most_once(trace: &Trace) -> Result<(), Violation> {
    let mut executed = BTreeSet::new();
    for timed in trace {
        if matches!(&timed.event, Event::Executed(r) if !executed.insert(r)) {
            return violation("non-idempotent work ran twice", timed);
        }
    }
    Ok(())
}

/// A leaving endpoint gets no new requests after `bound`.
pub fn leaving_endpoints_get_no_requests(trace: &Trace, bound: Duration) -> Result<(), Violation> {
    let mut leaving = BTreeMap::new();
    for timed in trace {
        match &timed.event {
            Event::Leaving(vm) => drop(leaving.insert(vm, timed.at)),
            Event::Up(vm) => drop(leaving.remove(vm)),
            Event::Dispatched(_, vm, _) => {
                let since = leaving.get(vm);
                if since.is_some_and(|at| timed.at.since(*at) > bound) {
                    return violation("a leaving endpoint got a new request", timed);
                }
            }
            _ => {}
        }
    }
    Ok(())
}

/// A graceful stop cuts off no stream.
pub fn graceful_stop_cuts_no_stream(trace: &Trace) -> Result<(), Violation> {
    let mut stopping = BTreeSet::new();
    for timed in trace {
        match &timed.event {
            Event::Stopping(entry) => drop(stopping.insert(entry)),
            Event::Started(entry) => drop(stopping.remove(entry)),
            Event::StreamCut(_, entry) if stopping.contains(entry) => {
                return violation("a graceful stop cut off a stream", timed);
            }
            _ => {}
        }
    }
    Ok(())
}

/// Every running entry VM applies an accepted change within `bound` and never reverts it.
pub fn accepted_changes_are_applied(trace: &Trace, bound: Duration) -> Result<(), Violation> {
    let mut running: BTreeMap<&EntryId, (Time, Offset)> = BTreeMap::new();
    let mut accepted: Vec<(Time, Offset)> = Vec::new();
    for timed in trace {
        match &timed.event {
            Event::Started(entry) => drop(running.insert(entry, (timed.at, Offset(0)))),
            Event::Ended(entry) => drop(running.remove(entry)),
            Event::Accepted(offset) => accepted.push((timed.at, *offset)),
            Event::Applied(entry, offset) => {
                let Some((_, last)) = running.get_mut(entry) else {
                    continue;
                };
                if *offset < *last {
                    return violation("an accepted change was reverted", timed);
                }
                *last = *offset;
            }
            _ => {}
        }
        for (at, offset) in &accepted {
            let late = |(started, applied): &(Time, Offset)| {
                *applied <= *offset && timed.at.since(*at.max(started)) > bound
            };
            if running.values().any(late) {
                return violation("an accepted change was not applied in time", timed);
            }
        }
    }
    Ok(())
}

fn remove_vm(
    replica_by_vm: &mut BTreeMap<VmId, ReplicaId>,
    incomplete_since: &mut BTreeMap<ReplicaId, Time>,
    vm: &VmId,
    at: Time,
) {
    if let Some(replica) = replica_by_vm.remove(vm) {
        incomplete_since.entry(replica).or_insert(at);
    }
}

fn violation(description: &'static str, timed: &TimedEvent) -> Result<(), Violation> {
    Err(Violation {
        description,
        event: timed.clone(),
    })
}
