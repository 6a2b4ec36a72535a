//! Lease and VM assignments of one shard, folded from its `fleet/<shard>` stream.
//!
//! A shard is a failure domain. The fold accepts a record only if all invariants still hold, so
//! that neither a planner that resumes after a pause nor a repeated record can give a VM to two
//! replicas.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{
    EntryId, Fence, GroupId, Incarnation, Nonce, Offset, ReplicaSeq, VersionId, VmId,
};

/// Change that a record of a `fleet/<shard>` stream makes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetChange {
    /// Claims or renews the shard's lease.
    Lease {
        /// Entry VM of the planner.
        holder: EntryId,
        /// Incarnation of the planner.
        run: Incarnation,
        /// Offset of the last lease record that the planner had read.
        supersedes: Option<Offset>,
        /// Length of the lease, in milliseconds.
        length_ms: u64,
    },
    /// Assigns VMs to a new replica.
    Assign {
        /// Fencing token of the lease.
        fence: Fence,
        /// [`Fleet::planned`] of the state that the planner had read.
        base: Offset,
        /// Sequence number of the replica's first formation under this fencing token.
        form: u64,
        /// Model group that the replica serves.
        group: GroupId,
        /// Model version that the replica serves.
        version: VersionId,
        /// Number of VMs that a replica of the version spans.
        span: u32,
        /// Serving VMs; the index is the rank.
        vms: Vec<VmId>,
        /// Reserve VMs.
        reserve: Vec<VmId>,
    },
    /// Assigns another VM to a rank of a replica; the VM that had the rank stays owned by the
    /// replica until a `FreeVm` record names it.
    Replace {
        /// Fencing token of the lease.
        fence: Fence,
        /// [`Fleet::planned`] of the state that the planner had read.
        base: Offset,
        /// The formation in which the VM has the rank.
        form: Form,
        /// The replica.
        replica: ReplicaSeq,
        /// The rank, counted from zero.
        rank: u32,
        /// A reserve VM of the replica, or a free VM.
        vm: VmId,
    },
    /// Adds a free VM to the reserve of a replica, or removes one, which stays owned by the replica
    /// until a `FreeVm` record names it.
    Reserve {
        /// Fencing token of the lease.
        fence: Fence,
        /// [`Fleet::planned`] of the state that the planner had read.
        base: Offset,
        /// The replica.
        replica: ReplicaSeq,
        /// The VM.
        vm: VmId,
        /// Whether the VM is added; otherwise it is removed.
        add: bool,
    },
    /// Drains a replica: it gets no new requests, and those that run on it may finish.
    Drain {
        /// Fencing token of the lease.
        fence: Fence,
        /// [`Fleet::planned`] of the state that the planner had read.
        base: Offset,
        /// The replica.
        replica: ReplicaSeq,
    },
    /// Removes a replica and frees its VMs, except those that did not confirm their unload.
    Free {
        /// Fencing token of the lease.
        fence: Fence,
        /// [`Fleet::planned`] of the state that the planner had read.
        base: Offset,
        /// The replica.
        replica: ReplicaSeq,
        /// VMs that stay owned by the replica until a `FreeVm` record names them.
        held: Vec<VmId>,
    },
    /// Frees a VM that is owned by a replica without being part of it.
    FreeVm {
        /// Fencing token of the lease.
        fence: Fence,
        /// [`Fleet::planned`] of the state that the planner had read.
        base: Offset,
        /// The VM.
        vm: VmId,
    },
}

/// Identifies a formation: the set of VMs that together serve as one replica at a time.
///
/// Every load order carries the formation, and engines report it back. A replica serves only if all
/// its VMs report the same formation, so that a late order cannot mix old ranks with new ones.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Form {
    /// Fencing token of the lease under which the formation was made.
    pub fence: Fence,
    /// Sequence number, which increases with each formation under one fencing token.
    pub seq: u64,
}

/// A record of a `fleet/<shard>` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetRecord {
    /// Nonce that distinguishes this append from all others.
    pub nonce: Nonce,
    /// The change.
    pub change: FleetChange,
}

/// Lease of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Entry VM of the holder.
    pub holder: EntryId,
    /// Incarnation of the holder.
    pub run: Incarnation,
    /// Offset of the last claim or renewal.
    pub last: Offset,
    /// Fencing token, which each new holder increases.
    pub fence: Fence,
    /// Length of the lease, in milliseconds.
    pub length_ms: u64,
}

/// A replica with the VMs that are assigned to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// Fencing token under which the replica was assigned.
    pub fence: Fence,
    /// Oldest formation that may serve.
    #[serde(default)]
    pub form: Form,
    /// Model group that the replica serves.
    pub group: GroupId,
    /// Model version that the replica serves.
    pub version: VersionId,
    /// Serving VMs; the index is the rank.
    pub vms: Vec<VmId>,
    /// Reserve VMs.
    pub reserve: Vec<VmId>,
    /// Whether the replica is being drained and gets no new requests.
    #[serde(default)]
    pub draining: bool,
}

/// Reason why the fold ignored a record of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetRefusal {
    /// Another lease record was accepted since the planner read the shard.
    Superseded,
    /// The fencing token is not that of the lease.
    Fenced,
    /// Another change was accepted since the planner read the shard.
    Outdated,
    /// A VM belongs to a replica already, or is named twice.
    VmTaken,
    /// The number of VMs is not the span of the version, or the rank is out of range.
    WrongSpan,
    /// There is no such replica.
    UnknownReplica,
}

/// Folded state of a shard.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// Offset of the next record to fold.
    pub next: Offset,
    /// The last lease, if there ever was one; readers decide by their own clock whether it lapsed.
    pub lease: Option<Lease>,
    /// The replicas.
    pub replicas: BTreeMap<ReplicaSeq, Assignment>,
    /// Offset after the last accepted change of replicas. Each change names the value from which it
    /// was made, so that of two changes made from the same state only one is accepted.
    #[serde(default)]
    pub planned: Offset,
    owners: BTreeMap<VmId, ReplicaSeq>,
}

impl Fleet {
    /// Folds the record at `offset`, which every reader accepts or ignores alike.
    ///
    /// # Errors
    ///
    /// Returns why the record was ignored.
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
        let (fence, base) = fence_and_base(&record.change);
        self.check_fence(fence)?;
        if base != self.planned {
            return Err(FleetRefusal::Outdated);
        }
        self.fold_change(offset, &record.change)?;
        self.planned = self.next;
        Ok(())
    }

    /// Returns the replica that owns a VM, if any.
    pub fn owner(&self, vm: &VmId) -> Option<ReplicaSeq> {
        self.owners.get(vm).copied()
    }

    /// Iterates over the VMs that are owned by a replica without being part of it.
    pub fn retained_vms(&self) -> impl Iterator<Item = (&VmId, ReplicaSeq)> {
        let retained = |(vm, r): &(&VmId, &ReplicaSeq)| !self.is_part_of(vm, **r);
        self.owners.iter().filter(retained).map(|(vm, r)| (vm, *r))
    }

    /// Iterates over all VMs that are owned by a replica.
    pub fn owned_vms(&self) -> impl Iterator<Item = (&VmId, ReplicaSeq)> {
        self.owners.iter().map(|(vm, r)| (vm, *r))
    }

    /// Returns whether a VM has a rank in a replica or is in its reserve.
    pub fn is_part_of(&self, vm: &VmId, replica: ReplicaSeq) -> bool {
        self.replicas
            .get(&replica)
            .is_some_and(|a| a.vms.contains(vm) || a.reserve.contains(vm))
    }

    /// Returns the lease if, according to the log, `holder` holds it in its incarnation `run`.
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
                let removed = self
                    .replicas
                    .remove(replica)
                    .ok_or(FleetRefusal::UnknownReplica)?;
                let was_part = |vm: &VmId| removed.vms.contains(vm) || removed.reserve.contains(vm);
                self.owners
                    .retain(|vm, r| r != replica || held.contains(vm) || !was_part(vm));
                Ok(())
            }
            FleetChange::FreeVm { vm, .. } => {
                let owner = self.owner(vm).ok_or(FleetRefusal::UnknownReplica)?;
                if self.is_part_of(vm, owner) {
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
        let available = owner.is_none() || assignment.reserve.contains(vm);
        if !available {
            return Err(FleetRefusal::VmTaken);
        }
        if form.fence > fence || form < assignment.form {
            return Err(FleetRefusal::Outdated);
        }
        let ranked_vm = assignment
            .vms
            .get_mut(rank as usize)
            .ok_or(FleetRefusal::WrongSpan)?;
        *ranked_vm = vm.clone();
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

fn fence_and_base(change: &FleetChange) -> (Fence, Offset) {
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
