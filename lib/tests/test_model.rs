//! Exhaustive enumeration of leases and assignments at a small size.
//!
//! Two planners, three VMs, a span of two. Each planner acts on the state that it read last, and
//! each record that it sends may land at once, later, twice or never.

use std::collections::{BTreeMap, HashSet};

use hemlock_lib::codec;
use hemlock_lib::fleet::{Assignment, Fleet, FleetChange, FleetRecord, Form};
use hemlock_lib::ids::{EntryId, Fence, Incarnation, Nonce, Offset, ReplicaSeq, VmId};
use serde::Serialize;

const DEPTH: u32 = 8;
const PLANNERS: [&str; 2] = ["a", "b"];
const PAIRS: [[&str; 2]; 3] = [["x", "y"], ["y", "z"], ["z", "x"]];

#[derive(Debug, Clone)]
struct World {
    truth: Fleet,
    read: [Fleet; 2],
    sent: [Option<Sent>; 2],
}

/// A record on its way, with the replicas that its planner had read.
#[derive(Debug, Clone, Serialize)]
struct Sent {
    change: FleetChange,
    replicas: BTreeMap<ReplicaSeq, Assignment>,
}

impl World {
    fn key(&self) -> Vec<u8> {
        codec::encode(&(&self.truth, &self.read, &self.sent))
    }

    /// Lands the record that a planner sent; panics if the fold takes what it must not take.
    fn land(&mut self, planner: usize, sent: &Sent) {
        let change = &sent.change;
        let before = self.truth.clone();
        let offset = before.next;
        let record = FleetRecord {
            nonce: Nonce(offset.0),
            change: change.clone(),
        };
        if self.truth.fold(offset, &record).is_err() {
            assert_eq!(
                before.replicas, self.truth.replicas,
                "a refused record changes nothing"
            );
            return;
        }
        let fence = |f: &Fleet| f.lease.as_ref().map(|l| l.fence);
        assert!(
            fence(&before) <= fence(&self.truth),
            "fencing numbers never fall"
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
        for (seq, assignment) in &self.truth.replicas {
            assert_eq!(assignment.vms.len(), 2, "a replica has its span");
            for vm in assignment.vms.iter().chain(&assignment.reserve) {
                assert!(seen.insert(vm.clone()), "{vm} is in two replicas");
                assert_eq!(self.truth.owner(vm), Some(*seq));
            }
        }
        let left = self.truth.retained_vms().all(|(vm, _)| !seen.contains(vm));
        assert!(left, "a VM that was left taken is in no replica");
    }
}

/// Lists every change that a planner may send on the state that it read.
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
        out.extend(endings(fence, base, *replica, &assignment.vms));
    }
    out.extend(read.retained_vms().map(|(vm, _)| FleetChange::FreeVm {
        fence,
        base,
        vm: vm.clone(),
    }));
    out
}

fn endings(fence: Fence, base: Offset, replica: ReplicaSeq, vms: &[VmId]) -> Vec<FleetChange> {
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

fn successors(world: &World) -> Vec<World> {
    let mut out = Vec::new();
    for p in 0..2 {
        let mut read = world.clone();
        read.read[p] = world.truth.clone();
        out.push(read);
        if let Some(sent) = &world.sent[p] {
            let mut kept = world.clone();
            kept.land(p, sent);
            let mut landed = kept.clone();
            landed.sent[p] = None;
            out.extend([kept, landed]);
        }
        // A new record takes the place of one that was lost on the way.
        for change in choices(p, &world.read[p]) {
            let mut next = world.clone();
            next.sent[p] = Some(sent(change, &world.read[p]));
            out.push(next);
        }
    }
    out
}

/// From an empty shard, no order of reads, sends, losses and repeats breaks an invariant.
#[test]
fn every_short_history_keeps_the_invariants() {
    let mut start = World {
        truth: Fleet::default(),
        read: [Fleet::default(), Fleet::default()],
        sent: [None, None],
    };
    // The first holder with its first replica, so that the depth goes to what follows.
    for _ in 0..2 {
        let change = choices(0, &start.truth).pop().expect("a choice");
        let sent = sent(change, &start.truth);
        start.land(0, &sent);
    }
    start.read = [start.truth.clone(), start.truth.clone()];
    let mut seen = HashSet::from([start.key()]);
    let mut layer = vec![start];
    for _ in 0..DEPTH {
        let next = layer.iter().flat_map(successors);
        layer = next.filter(|w| seen.insert(w.key())).collect();
    }
    println!("{} states", seen.len());
    assert!(seen.len() > 90_000);
}
