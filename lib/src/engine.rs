//! Messages exchanged with model engines.

use serde::{Deserialize, Serialize};

use crate::fleet::Form;
use crate::ids::{Fence, Incarnation, OrderId, ReplicaId, VersionId, VmId};

/// Instruction of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// Load the weights of a version and serve as one rank of a replica.
    Load {
        /// Model version.
        version: VersionId,
        /// Rank within the replica; rank 0 takes the requests.
        rank: u32,
        /// VMs of the replica, by rank.
        vms: Vec<VmId>,
        /// Requests that the replica runs at a time.
        slots: u32,
    },
    /// Unload the weights and leave the replica.
    Unload,
}

/// An order from a planner to one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Identifier of the order.
    pub order: OrderId,
    /// Replica that the order is about.
    pub replica: ReplicaId,
    /// Fencing token of the lease under which the planner gives the order.
    pub fence: Fence,
    /// Formation that the VM joins.
    #[serde(default)]
    pub form: Form,
    /// Sequence number under one fencing token; a later order has a larger number.
    pub seq: u64,
    /// Time after which the engine rejects the order, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Instruction to the engine.
    pub action: Action,
}

/// The rank of a replica that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldReplica {
    /// Replica that the engine belongs to.
    pub replica: ReplicaId,
    /// Fencing token of the order that the engine follows.
    pub fence: Fence,
    /// Formation of the order that the engine follows.
    #[serde(default)]
    pub form: Form,
    /// Model version.
    pub version: VersionId,
    /// Rank within the replica.
    pub rank: u32,
    /// Whether the weights are loaded.
    pub ready: bool,
}

/// Load of an engine, as of some time before the report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub queued: u32,
    /// Tokens still to process, of running and queued requests.
    pub tokens: u64,
    /// Age of these figures in milliseconds.
    pub age_ms: u64,
}

/// State that an engine reports when probed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// VM of the engine.
    pub vm: VmId,
    /// Incarnation of the engine; after a restart it holds nothing.
    pub run: Incarnation,
    /// Rank of a replica that the engine holds, if any.
    pub held: Option<HeldReplica>,
    /// Load of the engine.
    pub load: Load,
}

/// Reply of an engine to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderReply {
    /// The engine accepted the order; its state follows.
    Taken(EngineState),
    /// The engine rejected the order for an old fencing token, an old sequence number or a passed
    /// deadline; its state follows.
    Refused(EngineState),
}

/// One chunk of an engine's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Attempt that the chunk answers.
    pub attempt: String,
    /// Number of the chunk, counted from zero over the whole answer, across attempts.
    pub seq: u64,
    /// Text of the chunk; empty in the last one.
    pub text: String,
    /// Whether the answer ends with this chunk.
    #[serde(default)]
    pub done: bool,
}

/// A call to an engine for one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCall {
    /// Identifier of the attempt; the engine echoes it with each chunk.
    pub attempt: String,
    /// Replica that must answer; any other rejects the call.
    pub replica: ReplicaId,
    /// Prompt text.
    pub prompt: String,
    /// Maximum number of chunks to generate.
    pub max_tokens: u32,
    /// Chunks that the caller has already; the engine continues after them.
    pub resume_from: u64,
    /// Priority; a larger one is served first.
    pub priority: i32,
}
