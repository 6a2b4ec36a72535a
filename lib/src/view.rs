//! What an agent tells the gateways and planners: agreed state and the health of VMs.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::engine::{Held, Load};
use crate::fleet::{Assignment, Fleet};
use crate::ids::{DomainId, Incarnation, ReplicaId, VmId};
use crate::members::Member;
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
    pub held: Option<Held>,
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
        let confirmed = |(rank, vm): (usize, &VmId)| {
            self.vms
                .get(vm)
                .is_some_and(|status| confirms(status, replica, assignment, rank))
        };
        assignment.vms.iter().enumerate().all(confirmed)
    }
}

fn confirms(status: &VmStatus, replica: &ReplicaId, assignment: &Assignment, rank: usize) -> bool {
    let answers = matches!(status.health, Health::Live | Health::Leaving);
    let held = status.held.as_ref().is_some_and(|held| {
        held.ready
            && held.replica == *replica
            && held.fence >= assignment.fence
            && held.version == assignment.version
            && held.rank as usize == rank
    });
    answers && held
}
