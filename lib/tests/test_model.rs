//! Exhaustive exploration of leases and assignments, with two planners, three VMs and a span of
//! two.
//!
//! Each planner acts on the state that it read last, and each record that it sends may be appended
//! at once, later, twice or never.

use std::collections::{BTreeMap, HashSet};

use hemlock_lib::codec;
use hemlock_lib::fleet::{Assignment, Fleet, FleetChange, FleetRecord, Form};
use hemlock_lib::ids::{EntryId, Fence, Incarnation, Nonce, Offset, ReplicaSeq, VmId};
use serde::Serialize;

const DEPTH: u32 = 8;
const PLANNERS: [&str; 2] = ["a", "b"];
const PAIRS: [[&str; 2]; 3] = [["x", "y"], ["y", "z"], ["z", "x"]];

#[derive(Debug, Clone)]
struct State {
    agreed: Fleet,
    read: [Fleet; 2],
    sent: [Option<Sent>; 2],
}

/// A record that was sent but may not be appended yet, with the replicas that its planner had read.
#[derive(Debug, Clone, Serialize)]
struct Sent {
    change: FleetChange,
    replicas: BTreeMap<ReplicaSeq, Assignment>,
}

impl State {
    fn key(&self) -> Vec<u8> {
        codec::encode(&(&self.agreed, &self.read, &self.sent))
    }

    /// Appends the record that a planner sent; panics if the fold accepts an invalid record.
    fn append(&mut self, planner: usize, sent: &Sent) {
        let change = &sent.change;
        let before = self.agreed.clone();
        let offset = before.next;
        let record = FleetRecord {
            nonce: Nonce(offset.0),
            change: change.clone(),
        };
        if self.agreed.fold(offset, &record).is_err() {
            assert_eq!(
                before.replicas, self.agreed.replicas,
                "a refused record changes nothing"
            );
            return;
        }
        let fence = |f: &Fleet| f.lease.as_ref().map(|l| l.fence);
        assert!(
            fence(&before) <= fence(&self.agreed),
            "fencing tokens never decrease"
        );
        if !matches!(change, FleetChange::Lease { .. }) {
            let me = EntryId::new(PLANNERS[planner]);
            let holds = before.held_by(&me, Incarnation(1)).is_some();
            assert!(holds, "only the holder changes replicas: {change:?}");
            let same = sent.replicas == before.replicas;
            assert!(
                same,
                "a change was made from replicas that had changed: {change:?}"
            );
        }
        self.check();
    }

    fn check(&self) {
        let mut seen = HashSet::new();
        for (seq, assignment) in &self.agreed.replicas {
            assert_eq!(assignment.vms.len(), 2, "a replica has its span");
            for vm in assignment.vms.iter().chain(&assignment.reserve) {
                assert!(seen.insert(vm.clone()), "{vm} is in two replicas");
                assert_eq!(self.agreed.owner(vm), Some(*seq));
            }
        }
        let retained = self.agreed.retained_vms().all(|(vm, _)| !seen.contains(vm));
        assert!(retained, "a retained VM is part of no replica");
    }
}

/// Returns all changes that a planner may send, based on the state that it read.
fn choices(planner: usize, read: &Fleet) -> Vec<FleetChange> {
    let me = EntryId::new(PLANNERS[planner]);
    let mut out = vec![FleetChange::Lease {
        holder: me.clone(),
        run: Incarnation(1),
        supersedes: read.lease.as_ref().map(|l| l.last),
        length_ms: 1,
    }];
    let Some(lease) = read.held_by(&me, Incarnation(1)) else {
        return out;
    };
    let (fence, base) = (lease.fence, read.planned);
    out.extend(PAIRS.iter().map(|pair| FleetChange::Assign {
        fence,
        base,
        form: 1,
        group: "g".into(),
        version: "v".into(),
        span: 2,
        vms: pair.iter().map(VmId::new).collect(),
        reserve: Vec::new(),
    }));
    for (replica, assignment) in &read.replicas {
        out.extend(replica_changes(fence, base, *replica, &assignment.vms));
    }
    out.extend(read.retained_vms().map(|(vm, _)| FleetChange::FreeVm {
        fence,
        base,
        vm: vm.clone(),
    }));
    out
}

fn replica_changes(
    fence: Fence,
    base: Offset,
    replica: ReplicaSeq,
    vms: &[VmId],
) -> Vec<FleetChange> {
    let free = |held: Vec<VmId>| FleetChange::Free {
        fence,
        base,
        replica,
        held,
    };
    let replace = |vm: &&str| FleetChange::Replace {
        fence,
        base,
        form: Form { fence, seq: 2 },
        replica,
        rank: 0,
        vm: VmId::new(vm),
    };
    let reserve = |(vm, add): (&str, bool)| FleetChange::Reserve {
        fence,
        base,
        replica,
        vm: VmId::new(vm),
        add,
    };
    let mut out = vec![free(Vec::new()), free(vms[..1].to_vec())];
    out.extend([("y", true), ("y", false), ("z", true)].map(reserve));
    out.extend(["x", "y", "z"].iter().map(replace));
    out
}

fn sent(change: FleetChange, read: &Fleet) -> Sent {
    Sent {
        change,
        replicas: read.replicas.clone(),
    }
}

fn successors(state: &State) -> Vec<State> {
    let mut out = Vec::new();
    for p in 0..2 {
        let mut read = state.clone();
        read.read[p] = state.agreed.clone();
        out.push(read);
        if let Some(sent) = &state.sent[p] {
            let mut appended = state.clone();
            appended.append(p, sent);
            let mut delivered = appended.clone();
            delivered.sent[p] = None;
            out.extend([appended, delivered]);
        }
        // A new record replaces one that was lost.
        for change in choices(p, &state.read[p]) {
            let mut next = state.clone();
            next.sent[p] = Some(sent(change, &state.read[p]));
            out.push(next);
        }
    }
    out
}

/// From a shard with one replica, no order of reads, sends, losses and repeats breaks an invariant.
#[test]
fn invariants_hold_in_all_states_up_to_the_depth() {
    let mut start = State {
        agreed: Fleet::default(),
        read: [Fleet::default(), Fleet::default()],
        sent: [None, None],
    };
    // Start with a lease and a replica, so that the depth is used for what follows.
    for _ in 0..2 {
        let change = choices(0, &start.agreed).pop().expect("a choice");
        let sent = sent(change, &start.agreed);
        start.append(0, &sent);
    }
    start.read = [start.agreed.clone(), start.agreed.clone()];
    let mut seen = HashSet::from([start.key()]);
    let mut layer = vec![start];
    for _ in 0..DEPTH {
        let next = layer.iter().flat_map(successors);
        layer = next.filter(|w| seen.insert(w.key())).collect();
    }
    println!("{} states", seen.len());
    assert!(seen.len() > 90_000);
}
