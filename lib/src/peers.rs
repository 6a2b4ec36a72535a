//! Messages between the daemons of this system.

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use uuid::Uuid;

use crate::check::RowError;
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
    /// The key is too old; whether its work ran is no longer known.
    ClaimExpired,
    /// The agent found faults in the edits and appended nothing.
    ConfigInvalid(Vec<RowError>),
    /// Records of the stream expired unread, so that the agent can't decide; nothing was appended.
    Gap,
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

/// What gossip holds of an entry VM; the order is that in which one replaces another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Status {
    /// Not heard of since this agent started.
    Unknown,
    /// Answers.
    Alive,
    /// Missed a ping; it may refute that.
    Suspect,
    /// Did not refute a suspicion in time.
    Dead,
}

impl Status {
    /// Returns whether an entry VM of this status is held alive.
    pub fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// A change of an entry VM's status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u8, u32)", into = "(u64, u8, u32)")]
pub struct Update {
    /// Number of the member.
    pub member: u64,
    /// Its status.
    pub status: Status,
    /// Its incarnation, which only it raises.
    pub incarnation: u32,
}

impl From<(u64, u8, u32)> for Update {
    fn from((member, status, incarnation): (u64, u8, u32)) -> Self {
        let status = match status {
            1 => Status::Alive,
            2 => Status::Suspect,
            3 => Status::Dead,
            _ => Status::Unknown,
        };
        Self {
            member,
            status,
            incarnation,
        }
    }
}

impl From<Update> for (u64, u8, u32) {
    fn from(update: Update) -> Self {
        (update.member, update.status as u8, update.incarnation)
    }
}

/// What one agent says about an entry VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Number of the member.
    pub member: u64,
    /// Grows while it runs.
    pub count: u32,
    /// Spare share of its capacity in percent.
    pub spare: u8,
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

/// What a packet asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "u8", into = "u8")]
#[repr(u8)]
pub enum PacketKind {
    /// An ack.
    Ping,
    /// Nothing; it answers a ping.
    Ack,
    /// A ping of the target in the sender's place.
    Relay,
}

impl TryFrom<u8> for PacketKind {
    type Error = String;

    fn try_from(kind: u8) -> Result<Self, String> {
        match kind {
            0 => Ok(Self::Ping),
            1 => Ok(Self::Ack),
            2 => Ok(Self::Relay),
            _ => Err(format!("no kind of packet has the number {kind}")),
        }
    }
}

impl From<PacketKind> for u8 {
    fn from(kind: PacketKind) -> Self {
        kind as Self
    }
}

/// A gossip packet, encoded without field names to keep it small.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// Number of the sender.
    pub from: u64,
    /// Never falls among the packets of one sender; tells replayed packets apart.
    pub stamp: u64,
    /// What it asks for.
    pub kind: PacketKind,
    /// Tells pings apart; an ack repeats that of its ping.
    pub seq: u32,
    /// Whom a relay is to ping.
    pub target: u64,
    /// Whether the sender wants to hear of many entry VMs.
    pub asks: bool,
    /// Changes of status.
    pub updates: Vec<Update>,
    /// Entry VMs.
    pub beats: Vec<Heartbeat>,
}

/// What a datagram carries.
#[derive(Debug, Clone, PartialEq)]
pub enum GossipMessage {
    /// Liveness.
    Packet(Packet),
    /// Probed VMs.
    Reports(Vec<VmReport>),
    /// Requests under suspicion of crashing endpoints.
    Suspicions(Vec<Suspicion>),
}

/// A datagram with its authentication tag, encoded without field names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedMessage {
    /// Number of the key.
    pub key: u32,
    /// Form of the body.
    pub form: u8,
    /// Leading bytes of the HMAC-SHA-256 of form and body.
    pub tag: ByteBuf,
    /// The encoded message.
    pub body: ByteBuf,
}
