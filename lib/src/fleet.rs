//! Leases and VM assignments of one shard, folded from its `fleet/<shard>` stream.
//!
//! A shard is a failure domain. The fold takes a record only if it keeps every invariant, so that a
//! paused planner that wakes, or a repeated record, can't give a VM to two replicas.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{
    EntryId, Fence, GroupId, Incarnation, Nonce, Offset, ReplicaSeq, VersionId, VmId,
};

/// What a record of a `fleet/<shard>` stream says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetChange {
    /// Claims or renews the shard's lease.
    Lease {
        /// The planner's entry VM.
        holder: EntryId,
        /// Its run.
        run: Incarnation,
        /// Last lease record that the planner had read.
        supersedes: Option<Offset>,
        /// Length of the lease in milliseconds.
        length_ms: u64,
    },
    /// Assigns VMs to a new replica.
    Assign {
        /// Fencing number of the lease.
        fence: Fence,
        /// The fold's `planned` that the planner had read.
        base: Offset,
        /// Number of the first formation under this fencing number.
        form: u64,
        /// Group served.
        group: GroupId,
        /// Version served.
        version: VersionId,
        /// VMs that the version spans.
        span: u32,
        /// Serving VMs; the index is the rank.
        vms: Vec<VmId>,
        /// Reserve VMs.
        reserve: Vec<VmId>,
    },
    /// Puts another VM in a rank of a replica; the VM that had the rank stays taken until a
    /// `FreeVm` record names it.
    Replace {
        /// Fencing number of the lease.
        fence: Fence,
        /// The fold's `planned` that the planner had read.
        base: Offset,
        /// The formation in which the VM has the rank.
        form: Form,
        /// The replica.
        replica: ReplicaSeq,
        /// The rank.
        rank: u32,
        /// A reserve VM of the replica, or a free VM.
        vm: VmId,
    },
    /// Adds a free VM to the reserve of a replica, or gives one up, which stays taken until a
    /// `FreeVm` record names it.
    Reserve {
        /// Fencing number of the lease.
        fence: Fence,
        /// The fold's `planned` that the planner had read.
        base: Offset,
        /// The replica.
        replica: ReplicaSeq,
        /// The VM.
        vm: VmId,
        /// Whether the VM is added.
        add: bool,
    },
    /// Ends a replica in order: it gets no new work, and what runs on it may finish.
    Drain {
        /// Fencing number of the lease.
        fence: Fence,
        /// The fold's `planned` that the planner had read.
        base: Offset,
        /// The replica.
        replica: ReplicaSeq,
    },
    /// Ends a replica and frees its VMs, but for those that did not confirm their unload.
    Free {
        /// Fencing number of the lease.
        fence: Fence,
        /// The fold's `planned` that the planner had read.
        base: Offset,
        /// The replica.
        replica: ReplicaSeq,
        /// VMs that stay taken until a `FreeVm` record names them.
        held: Vec<VmId>,
    },
    /// Frees a VM that a replica left taken.
    FreeVm {
        /// Fencing number of the lease.
        fence: Fence,
        /// The fold's `planned` that the planner had read.
        base: Offset,
        /// The VM.
        vm: VmId,
    },
}

/// Names the set of VMs that work together as one replica at a time.
///
/// Every load order carries it and engines report it back. A replica serves only with VMs that all
/// report the same formation, so that a late order can't mix old ranks with new ones.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Form {
    /// Fencing number of the lease under which it was formed.
    pub fence: Fence,
    /// Grows with each formation under one fencing number.
    pub seq: u64,
}

/// A record of a `fleet/<shard>` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetRecord {
    /// Tells this append apart.
    pub nonce: Nonce,
    /// What changes.
    pub change: FleetChange,
}

/// The shard's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The holder's entry VM.
    pub holder: EntryId,
    /// The holder's run.
    pub run: Incarnation,
    /// Offset of the last record of this lease.
    pub last: Offset,
    /// Fencing number.
    pub fence: Fence,
    /// Length in milliseconds.
    pub length_ms: u64,
}

/// A replica's VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// Fencing number under which it was assigned.
    pub fence: Fence,
    /// Oldest formation that may serve.
    #[serde(default)]
    pub form: Form,
    /// Group served.
    pub group: GroupId,
    /// Version served.
    pub version: VersionId,
    /// Serving VMs; the index is the rank.
    pub vms: Vec<VmId>,
    /// Reserve VMs.
    pub reserve: Vec<VmId>,
    /// Whether the replica is being ended and gets no new work.
    #[serde(default)]
    pub draining: bool,
}

/// Says why a record of a shard was ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetRefusal {
    /// The lease moved on.
    Superseded,
    /// The fencing number isn't that of the lease.
    Fenced,
    /// Another change was accepted since the planner read the shard.
    Outdated,
    /// A VM belongs to a replica already, or is named twice.
    VmTaken,
    /// The VMs don't number what the version spans.
    WrongSpan,
    /// No such replica.
    UnknownReplica,
}

/// The folded shard.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// Offset of the next record to fold.
    pub next: Offset,
    /// The lease, once there was one; whether it lapsed is for the reader's clock.
    pub lease: Option<Lease>,
    /// The replicas.
    pub replicas: BTreeMap<ReplicaSeq, Assignment>,
    /// Offset after the last accepted change of replicas; each change names it, so that of two
    /// changes made from the same state only one is accepted.
    #[serde(default)]
    pub planned: Offset,
    owners: BTreeMap<VmId, ReplicaSeq>,
}

impl Fleet {
    /// Folds the record at `offset`, which every reader accepts or ignores alike.
    pub fn fold(&mut self, offset: Offset, record: &FleetRecord) -> Result<(), FleetRefusal> {
        self.next = Offset(offset.0 + 1);
        if let FleetChange::Lease {
            holder,
            run,
            supersedes,
            length_ms,
        } = &record.change
        {
            return self.fold_lease(offset, holder, *run, *supersedes, *length_ms);
        }
        let (fence, base) = basis(&record.change);
        self.check_fence(fence)?;
        if base != self.planned {
            return Err(FleetRefusal::Outdated);
        }
        self.fold_change(offset, &record.change)?;
        self.planned = self.next;
        Ok(())
    }

    /// Returns the replica that a VM belongs to.
    pub fn owner(&self, vm: &VmId) -> Option<ReplicaSeq> {
        self.owners.get(vm).copied()
    }

    /// Lists the VMs that replicas left taken: they belong to one but have no part in it.
    pub fn held_vms(&self) -> impl Iterator<Item = (&VmId, ReplicaSeq)> {
        let left = |(vm, r): &(&VmId, &ReplicaSeq)| !self.has_part(vm, **r);
        self.owners.iter().filter(left).map(|(vm, r)| (vm, *r))
    }

    /// Lists every VM that belongs to a replica.
    pub fn owned(&self) -> impl Iterator<Item = (&VmId, ReplicaSeq)> {
        self.owners.iter().map(|(vm, r)| (vm, *r))
    }

    /// Returns whether a VM has a rank in a replica or is one of its reserve.
    pub fn has_part(&self, vm: &VmId, replica: ReplicaSeq) -> bool {
        self.replicas
            .get(&replica)
            .is_some_and(|a| a.vms.contains(vm) || a.reserve.contains(vm))
    }

    /// Returns whether `holder` in its run `run` holds the lease as far as the log says.
    pub fn held_by(&self, holder: &EntryId, run: Incarnation) -> Option<&Lease> {
        self.lease
            .as_ref()
            .filter(|l| l.holder == *holder && l.run == run)
    }

    fn fold_change(&mut self, offset: Offset, change: &FleetChange) -> Result<(), FleetRefusal> {
        match change {
            FleetChange::Lease { .. } => Ok(()),
            FleetChange::Assign {
                fence,
                form,
                group,
                version,
                span,
                vms,
                reserve,
                ..
            } => {
                self.check_vms(*span, vms, reserve)?;
                let seq = ReplicaSeq(offset.0 + 1);
                for vm in vms.iter().chain(reserve) {
                    self.owners.insert(vm.clone(), seq);
                }
                let assignment = Assignment {
                    fence: *fence,
                    form: Form {
                        fence: *fence,
                        seq: *form,
                    },
                    group: group.clone(),
                    version: version.clone(),
                    vms: vms.clone(),
                    reserve: reserve.clone(),
                    draining: false,
                };
                self.replicas.insert(seq, assignment);
                Ok(())
            }
            FleetChange::Replace {
                fence,
                form,
                replica,
                rank,
                vm,
                ..
            } => self.fold_replace(*fence, *form, *replica, *rank, vm),
            FleetChange::Reserve {
                replica, vm, add, ..
            } => self.fold_reserve(*replica, vm, *add),
            FleetChange::Drain { replica, .. } => {
                let assignment = self.replica_mut(*replica)?;
                assignment.draining = true;
                Ok(())
            }
            FleetChange::Free { replica, held, .. } => {
                let ended = self
                    .replicas
                    .remove(replica)
                    .ok_or(FleetRefusal::UnknownReplica)?;
                let freed = |vm: &VmId| ended.vms.contains(vm) || ended.reserve.contains(vm);
                self.owners
                    .retain(|vm, r| r != replica || held.contains(vm) || !freed(vm));
                Ok(())
            }
            FleetChange::FreeVm { vm, .. } => {
                let owner = self.owner(vm).ok_or(FleetRefusal::UnknownReplica)?;
                if self.has_part(vm, owner) {
                    return Err(FleetRefusal::VmTaken);
                }
                self.owners.remove(vm);
                Ok(())
            }
        }
    }

    fn fold_replace(
        &mut self,
        fence: Fence,
        form: Form,
        replica: ReplicaSeq,
        rank: u32,
        vm: &VmId,
    ) -> Result<(), FleetRefusal> {
        let owner = self.owner(vm);
        let assignment = self.replica_mut(replica)?;
        let spare = owner.is_none() || assignment.reserve.contains(vm);
        if !spare {
            return Err(FleetRefusal::VmTaken);
        }
        if form.fence > fence || form < assignment.form {
            return Err(FleetRefusal::Outdated);
        }
        let place = assignment
            .vms
            .get_mut(rank as usize)
            .ok_or(FleetRefusal::WrongSpan)?;
        *place = vm.clone();
        assignment.reserve.retain(|r| r != vm);
        assignment.form = form;
        assignment.draining = false;
        self.owners.insert(vm.clone(), replica);
        Ok(())
    }

    fn fold_reserve(
        &mut self,
        replica: ReplicaSeq,
        vm: &VmId,
        add: bool,
    ) -> Result<(), FleetRefusal> {
        let is_free = !self.owners.contains_key(vm);
        let assignment = self.replica_mut(replica)?;
        let allowed = match add {
            true => is_free,
            false => assignment.reserve.contains(vm),
        };
        if !allowed {
            return Err(FleetRefusal::VmTaken);
        }
        if add {
            assignment.reserve.push(vm.clone());
            self.owners.insert(vm.clone(), replica);
        } else {
            assignment.reserve.retain(|r| r != vm);
        }
        Ok(())
    }

    fn replica_mut(&mut self, replica: ReplicaSeq) -> Result<&mut Assignment, FleetRefusal> {
        self.replicas
            .get_mut(&replica)
            .ok_or(FleetRefusal::UnknownReplica)
    }

    fn fold_lease(
        &mut self,
        offset: Offset,
        holder: &EntryId,
        run: Incarnation,
        supersedes: Option<Offset>,
        length_ms: u64,
    ) -> Result<(), FleetRefusal> {
        if self.lease.as_ref().map(|l| l.last) != supersedes {
            return Err(FleetRefusal::Superseded);
        }
        let fence = match self.held_by(holder, run) {
            Some(lease) => lease.fence,
            None => Fence(offset.0 + 1),
        };
        self.lease = Some(Lease {
            holder: holder.clone(),
            run,
            last: offset,
            fence,
            length_ms,
        });
        Ok(())
    }

    fn check_fence(&self, fence: Fence) -> Result<(), FleetRefusal> {
        match &self.lease {
            Some(lease) if lease.fence == fence => Ok(()),
            _ => Err(FleetRefusal::Fenced),
        }
    }

    fn check_vms(&self, span: u32, vms: &[VmId], reserve: &[VmId]) -> Result<(), FleetRefusal> {
        if vms.is_empty() || vms.len() != span as usize {
            return Err(FleetRefusal::WrongSpan);
        }
        let mut seen = std::collections::BTreeSet::new();
        let free = |vm: &VmId| !self.owners.contains_key(vm);
        if vms
            .iter()
            .chain(reserve)
            .all(|vm| free(vm) && seen.insert(vm))
        {
            Ok(())
        } else {
            Err(FleetRefusal::VmTaken)
        }
    }
}

fn basis(change: &FleetChange) -> (Fence, Offset) {
    match change {
        FleetChange::Lease { .. } => (Fence(0), Offset(0)),
        FleetChange::Assign { fence, base, .. }
        | FleetChange::Replace { fence, base, .. }
        | FleetChange::Reserve { fence, base, .. }
        | FleetChange::Drain { fence, base, .. }
        | FleetChange::Free { fence, base, .. }
        | FleetChange::FreeVm { fence, base, .. } => (*fence, *base),
    }
}
