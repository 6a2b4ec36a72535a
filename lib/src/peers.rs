//! Messages between the daemons of this system.

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use uuid::Uuid;

use crate::claims::{Answer, Binding, ClaimId, Owner};
use crate::engine::EngineState;
use crate::fleet::{FleetChange, FleetRefusal};
use crate::ids::{DomainId, EntryId, Incarnation, Offset, VmId};
use crate::table::{Edit, Refusal};

/// A record that a daemon or operator asks the agent to append and settle.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Submit {
    /// A change of the table.
    Config {
        /// Who makes it.
        author: String,
        /// The edits.
        edits: Vec<Edit>,
    },
    /// A change of a shard.
    Fleet {
        /// The shard.
        shard: DomainId,
        /// What changes.
        change: FleetChange,
    },
    /// A change of a claim.
    Claim {
        /// The idempotency key.
        key: Uuid,
        /// The gateway that asks.
        owner: Owner,
        /// The claim that is made or changed.
        #[serde(default)]
        claim: ClaimId,
        /// What a new claim ties the key to.
        #[serde(default)]
        binding: Option<Binding>,
        /// What to do.
        change: crate::claims::ClaimChange,
    },
    /// Asks for the claim on a key as folded so far; nothing is appended.
    ClaimStatus {
        /// The idempotency key.
        key: Uuid,
    },
}

/// How a submitted record was settled.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Settled {
    /// Read back from the log and found valid.
    Accepted {
        /// Offset of the record.
        offset: Offset,
    },
    /// Read back from the log and refused by its fold.
    ConfigRefused(Refusal),
    /// Read back from the log and ignored by its fold.
    FleetRefused(FleetRefusal),
    /// Another claim on the key stands.
    ClaimTaken {
        /// The gateway that holds it.
        owner: Owner,
        /// Number of the claim.
        #[serde(default)]
        claim: ClaimId,
        /// What the key is tied to.
        #[serde(default)]
        binding: Option<Binding>,
        /// The answer, once there is one.
        answer: Option<Answer>,
        /// Whether the work ran, once the claim ended without an answer.
        #[serde(default)]
        closed: Option<bool>,
    },
    /// No claim on the key is known.
    ClaimFree,
    /// The log refused the record or could not be reached; it was not appended.
    NotAppended,
    /// Whether the record was appended can't be told.
    Unknown,
}

/// What one agent says about a VM that it probed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmReport {
    /// The VM.
    pub vm: VmId,
    /// Whether the VM answered.
    pub answered: bool,
    /// Its state; `None` for plain services and silent VMs.
    pub state: Option<EngineState>,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
}

/// What one agent says about an entry VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// The entry VM.
    pub entry: EntryId,
    /// Its run.
    pub run: Incarnation,
    /// Grows while it runs.
    pub count: u64,
    /// Spare share of its capacity, from 0 to 1.
    pub spare: f64,
    /// Offset up to which it has folded the `config` stream.
    pub config: u64,
}

/// A request that was running at an endpoint when this broke off.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// Fingerprint of the client account, the target and the body.
    pub print: u64,
    /// The entry VM whose gateway saw it.
    pub origin: EntryId,
    /// The endpoint VM.
    pub vm: VmId,
    /// Run of the endpoint VM.
    pub run: Incarnation,
    /// Whether it was the only request there.
    pub alone: bool,
    /// Age in milliseconds.
    pub age_ms: u64,
}

/// A gossip datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The sender.
    pub from: EntryId,
    /// Entry VMs.
    pub beats: Vec<Beat>,
    /// Probed VMs.
    pub reports: Vec<VmReport>,
    /// Requests under suspicion, the newest ones.
    #[serde(default)]
    pub suspicions: Vec<Suspicion>,
}

/// A datagram with its authentication tag.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sealed {
    /// Number of the key.
    pub key: u32,
    /// HMAC-SHA-256 of the body.
    pub tag: ByteBuf,
    /// The encoded message.
    pub body: ByteBuf,
}
