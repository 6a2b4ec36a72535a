//! What an agent tells the gateways and planners: agreed state and the health of VMs.

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

/// An entry VM with its liveness.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// As announced on the log.
    pub member: Member,
    /// Whether gossip holds it alive.
    pub live: bool,
    /// Spare share of its capacity, from 0 to 1.
    pub spare: f64,
    /// Offset up to which it has folded the `config` stream.
    pub config: u64,
}

/// Health of an endpoint VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// Not probed yet.
    Unknown,
    /// Answers.
    Live,
    /// Missed a probe.
    Suspect,
    /// Silent past the probe bound.
    Lost,
    /// Leaving as planned.
    Leaving,
    /// Came and went too often.
    Probation,
}

/// An endpoint VM with what its probers heard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmStatus {
    /// As the platform lists it.
    pub listing: VmListing,
    /// Its health.
    pub health: Health,
    /// Its run, as last heard.
    pub run: Incarnation,
    /// What it holds, as last heard.
    pub held: Option<HeldReplica>,
    /// Its load, as last heard.
    pub load: Load,
    /// Time since it was last heard, in milliseconds.
    pub silent_ms: u64,
}

/// All that an agent knows.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Grows with each change.
    pub version: u64,
    /// The operators' table.
    pub table: Table,
    /// Entry VMs.
    pub entries: Vec<EntryStatus>,
    /// Endpoint VMs.
    pub vms: BTreeMap<VmId, VmStatus>,
    /// Shards.
    pub fleets: BTreeMap<DomainId, Fleet>,
    /// Whether the log answers.
    pub log_up: bool,
    /// Whether a peer was heard lately.
    pub peers_up: bool,
    /// Requests under suspicion of crashing endpoints.
    #[serde(default)]
    pub suspicions: Vec<Suspicion>,
    /// Streams whose records expired unread, on which nothing may be decided.
    #[serde(default)]
    pub gaps: Vec<StreamId>,
    /// Faults of the log that the agent met.
    #[serde(default)]
    pub alarms: Alarms,
}

impl View {
    /// Lists all replicas with their assignments.
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

    /// Returns whether a replica may serve: each VM answers and confirms its rank and version.
    pub fn is_serving(&self, replica: &ReplicaId, assignment: &Assignment) -> bool {
        self.vms_by_rank(replica, assignment).is_some()
    }

    /// Returns whether a replica may be given new work.
    pub fn takes_work(&self, replica: &ReplicaId, assignment: &Assignment) -> bool {
        !assignment.draining && self.is_serving(replica, assignment)
    }

    /// Returns the VM of each rank of a serving replica, or `None` if it may not serve.
    ///
    /// All ranks must report the newest formation that any VM of the replica reports. A reserve VM
    /// may have a rank, since a planner swaps it in without the log while the log is out.
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

/// Treats the live VMs that the table drains as leaving.
pub fn mark_drained(vms: &mut BTreeMap<VmId, VmStatus>, table: &Table) {
    for vm in table.drains() {
        if let Some(status) = vms.get_mut(vm).filter(|s| s.health == Health::Live) {
            status.health = Health::Leaving;
        }
    }
}
