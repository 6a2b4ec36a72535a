//! Messages between this system and model engines.

use serde::{Deserialize, Serialize};

use crate::fleet::Form;
use crate::ids::{Fence, Incarnation, OrderId, ReplicaId, VersionId, VmId};

/// What an engine is told to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// Load the weights of a version and serve as one rank of a replica.
    Load {
        /// The version.
        version: VersionId,
        /// Rank within the replica; rank 0 takes the requests.
        rank: u32,
        /// VMs of the replica, by rank.
        vms: Vec<VmId>,
        /// Requests that the replica runs at a time.
        slots: u32,
    },
    /// Give up the weights and the replica.
    Unload,
}

/// An order to one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Names the order.
    pub order: OrderId,
    /// The replica that the order is about.
    pub replica: ReplicaId,
    /// Fencing number of the lease under which the order is given.
    pub fence: Fence,
    /// The formation that the VM is to join.
    #[serde(default)]
    pub form: Form,
    /// Tells orders under one fencing number apart; a later order has a larger number.
    pub seq: u64,
    /// Time after which the engine drops the order, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// What to do.
    pub action: Action,
}

/// What an engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldReplica {
    /// The replica.
    pub replica: ReplicaId,
    /// Fencing number of the order that it follows.
    pub fence: Fence,
    /// Formation of the order that it follows.
    #[serde(default)]
    pub form: Form,
    /// The version.
    pub version: VersionId,
    /// Rank within the replica.
    pub rank: u32,
    /// Whether the weights are loaded.
    pub ready: bool,
}

/// Load that an engine reports, with a lag.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Tokens of work still to do.
    pub tokens: u64,
    /// Age of these figures in milliseconds.
    pub age_ms: u64,
}

/// State that an engine reports when probed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The VM.
    pub vm: VmId,
    /// Its run; a VM that restarted holds nothing.
    pub run: Incarnation,
    /// What it holds.
    pub held: Option<HeldReplica>,
    /// Its load.
    pub load: Load,
}

/// An engine's reply to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderReply {
    /// The order was taken; the state follows.
    Taken(EngineState),
    /// The order has an old fencing number, an old sequence number or a passed deadline.
    Refused(EngineState),
}

/// One piece of an engine's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The attempt that the piece answers.
    pub attempt: String,
    /// Number of the piece, counted from zero over the whole answer, also across attempts.
    pub seq: u64,
    /// The text; empty in the last piece.
    pub text: String,
    /// Whether the answer ends here.
    #[serde(default)]
    pub done: bool,
}

/// A call to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCall {
    /// Names the attempt; the engine echoes it with each piece.
    pub attempt: String,
    /// The replica that is to answer; any other refuses.
    pub replica: ReplicaId,
    /// The prompt.
    pub prompt: String,
    /// Pieces to generate at most.
    pub max_tokens: u32,
    /// Pieces that the caller has already, which the engine takes as given.
    pub resume_from: u64,
    /// Larger goes first.
    pub priority: i32,
}
