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
    /// Ends a replica and frees its VMs, but for those that did not confirm their unload.
    Free {
        /// Fencing number of the lease.
        fence: Fence,
        /// The replica.
        replica: ReplicaSeq,
        /// VMs that stay taken until a `FreeVm` record names them.
        held: Vec<VmId>,
    },
    /// Frees a VM that an ended replica left taken.
    FreeVm {
        /// Fencing number of the lease.
        fence: Fence,
        /// The VM.
        vm: VmId,
    },
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
    /// Group served.
    pub group: GroupId,
    /// Version served.
    pub version: VersionId,
    /// Serving VMs; the index is the rank.
    pub vms: Vec<VmId>,
    /// Reserve VMs.
    pub reserve: Vec<VmId>,
}

/// Says why a record of a shard was ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetRefusal {
    /// The lease moved on.
    Superseded,
    /// The fencing number isn't that of the lease.
    Fenced,
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
    owners: BTreeMap<VmId, ReplicaSeq>,
}

impl Fleet {
    /// Folds the record at `offset`, which every reader accepts or ignores alike.
    pub fn fold(&mut self, offset: Offset, record: &FleetRecord) -> Result<(), FleetRefusal> {
        self.next = Offset(offset.0 + 1);
        match &record.change {
            FleetChange::Lease {
                holder,
                run,
                supersedes,
                length_ms,
            } => self.fold_lease(offset, holder, *run, *supersedes, *length_ms),
            FleetChange::Assign {
                fence,
                group,
                version,
                span,
                vms,
                reserve,
            } => {
                self.check_fence(*fence)?;
                self.check_vms(*span, vms, reserve)?;
                let seq = ReplicaSeq(offset.0 + 1);
                for vm in vms.iter().chain(reserve) {
                    self.owners.insert(vm.clone(), seq);
                }
                let assignment = Assignment {
                    fence: *fence,
                    group: group.clone(),
                    version: version.clone(),
                    vms: vms.clone(),
                    reserve: reserve.clone(),
                };
                self.replicas.insert(seq, assignment);
                Ok(())
            }
            FleetChange::Free {
                fence,
                replica,
                held,
            } => {
                self.check_fence(*fence)?;
                self.replicas
                    .remove(replica)
                    .ok_or(FleetRefusal::UnknownReplica)?;
                self.owners
                    .retain(|vm, owner| owner != replica || held.contains(vm));
                Ok(())
            }
            FleetChange::FreeVm { fence, vm } => {
                self.check_fence(*fence)?;
                if self
                    .owners
                    .get(vm)
                    .is_none_or(|r| self.replicas.contains_key(r))
                {
                    return Err(FleetRefusal::UnknownReplica);
                }
                self.owners.remove(vm);
                Ok(())
            }
        }
    }

    /// Returns the replica that a VM belongs to.
    pub fn owner(&self, vm: &VmId) -> Option<ReplicaSeq> {
        self.owners.get(vm).copied()
    }

    /// Lists the VMs that ended replicas left taken.
    pub fn held_vms(&self) -> impl Iterator<Item = (&VmId, ReplicaSeq)> {
        let ended = |r: &ReplicaSeq| !self.replicas.contains_key(r);
        self.owners
            .iter()
            .filter(move |(_, r)| ended(r))
            .map(|(vm, r)| (vm, *r))
    }

    /// Returns whether `holder` in its run `run` holds the lease as far as the log says.
    pub fn held_by(&self, holder: &EntryId, run: Incarnation) -> Option<&Lease> {
        self.lease
            .as_ref()
            .filter(|l| l.holder == *holder && l.run == run)
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
