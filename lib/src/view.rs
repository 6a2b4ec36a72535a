//! View that an agent serves to gateways, planners and operators: the agreed state and the health
//! of VMs.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::engine::{HeldReplica, Load};
use crate::fleet::{Assignment, Fleet};
use crate::folds::Alarms;
use crate::ids::{DomainId, Incarnation, ReplicaId, StreamId, VmId};
use crate::members::Member;
use crate::peers::Suspicion;
use crate::platform::VmListing;
use crate::table::Table;

/// Status of an entry VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The entry VM as announced in the log.
    pub member: Member,
    /// Whether gossip considers the entry VM alive.
    pub live: bool,
    /// Spare share of the entry VM's capacity, from 0 to 1.
    pub spare: f64,
    /// Offset up to which the entry VM has folded the `config` stream.
    pub config: u64,
}

/// Health of an endpoint VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// The VM was not probed yet.
    Unknown,
    /// The VM answers probes.
    Live,
    /// The VM missed a probe.
    Suspect,
    /// The VM has been silent for too long.
    Lost,
    /// The VM is about to leave, is missing from the platform's list, or is drained by the table.
    Leaving,
    /// The VM was lost and returned too often.
    Probation,
}

/// Status of an endpoint VM, as last reported by its probers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmStatus {
    /// Entry of the platform's VM list.
    pub listing: VmListing,
    /// Health of the VM.
    pub health: Health,
    /// Incarnation of the VM.
    pub run: Incarnation,
    /// Part of a replica that the VM holds, if any.
    pub held: Option<HeldReplica>,
    /// Load of the VM.
    pub load: Load,
    /// Time since the VM last answered, in milliseconds.
    pub silent_ms: u64,
}

/// State that an agent publishes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Version of the view, which increases with each change within one incarnation of the agent.
    pub version: u64,
    /// The operators' table.
    pub table: Table,
    /// Status of each entry VM.
    pub entries: Vec<EntryStatus>,
    /// Status of each endpoint VM.
    pub vms: BTreeMap<VmId, VmStatus>,
    /// State of each shard.
    pub fleets: BTreeMap<DomainId, Fleet>,
    /// Whether the log answers the agent.
    pub log_up: bool,
    /// Whether the agent recently received gossip of another one.
    pub peers_up: bool,
    /// Requests suspected of crashing endpoints.
    #[serde(default)]
    pub suspicions: Vec<Suspicion>,
    /// Streams whose records expired unread, so that their state is unknown.
    #[serde(default)]
    pub gaps: Vec<StreamId>,
    /// Faults of the log that the agent detected.
    #[serde(default)]
    pub alarms: Alarms,
}

impl View {
    /// Iterates over all replicas with their assignments.
    pub fn replicas(&self) -> impl Iterator<Item = (ReplicaId, &Assignment)> {
        self.fleets.iter().flat_map(|(shard, fleet)| {
            fleet.replicas.iter().map(|(seq, a)| {
                (
                    ReplicaId {
                        shard: shard.clone(),
                        seq: *seq,
                    },
                    a,
                )
            })
        })
    }

    /// Returns whether a replica serves: each of its VMs answers and reports its rank and version.
    pub fn is_serving(&self, replica: &ReplicaId, assignment: &Assignment) -> bool {
        self.vms_by_rank(replica, assignment).is_some()
    }

    /// Returns whether a replica accepts new requests.
    pub fn takes_work(&self, replica: &ReplicaId, assignment: &Assignment) -> bool {
        !assignment.draining && self.is_serving(replica, assignment)
    }

    /// Returns the VM of each rank of a replica, or `None` if the replica does not serve.
    ///
    /// All ranks must report the newest formation that any VM of the replica reports. A reserve VM
    /// may have a rank, since a planner can assign it one while the log is unavailable.
    pub fn vms_by_rank<'a>(
        &self,
        replica: &ReplicaId,
        assignment: &'a Assignment,
    ) -> Option<Vec<&'a VmId>> {
        let own = assignment.vms.iter().chain(&assignment.reserve);
        let holders: Vec<(&VmId, &VmStatus, &HeldReplica)> = own
            .filter_map(|vm| {
                let status = self.vms.get(vm)?;
                let held = status.held.as_ref().filter(|h| h.replica == *replica)?;
                Some((vm, status, held))
            })
            .collect();
        let newest = holders.iter().map(|(_, _, held)| held.form).max()?;
        if newest < assignment.form {
            return None;
        }
        let has_rank = |rank: usize, status: &VmStatus, held: &HeldReplica| {
            matches!(
                status.health,
                Health::Live | Health::Leaving | Health::Probation
            ) && held.ready
                && held.form == newest
                && held.version == assignment.version
                && held.rank as usize == rank
        };
        let ranked = |rank| {
            let found = holders.iter().find(|(_, s, h)| has_rank(rank, s, h));
            found.map(|(vm, _, _)| *vm)
        };
        (0..assignment.vms.len()).map(ranked).collect()
    }
}

/// Sets the health of the live VMs that the table drains to `Leaving`.
pub fn mark_drained(vms: &mut BTreeMap<VmId, VmStatus>, table: &Table) {
    for vm in table.drains() {
        if let Some(status) = vms.get_mut(vm).filter(|s| s.health == Health::Live) {
            status.health = Health::Leaving;
        }
    }
}
