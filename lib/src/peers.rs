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

/// Request of a daemon or operator that the agent appends a record and reports its outcome.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Submit {
    /// Changes rows of the table.
    Config {
        /// Author of the change, as shown to operators.
        author: String,
        /// The edits.
        edits: Vec<Edit>,
    },
    /// Changes the state of a shard.
    Fleet {
        /// The shard.
        shard: DomainId,
        /// The change.
        change: FleetChange,
    },
    /// Makes or changes the claim on an idempotency key.
    Claim {
        /// The idempotency key.
        key: Uuid,
        /// The gateway that submits the change.
        owner: Owner,
        /// Number of the claim that is made or changed.
        #[serde(default)]
        claim: ClaimId,
        /// Account and body to which a new claim binds the key.
        #[serde(default)]
        binding: Option<Binding>,
        /// The change.
        change: crate::claims::ClaimChange,
    },
    /// Asks for the claim on a key as far as the agent has folded the log; appends nothing.
    ClaimStatus {
        /// The idempotency key.
        key: Uuid,
    },
}

/// Outcome of a submitted record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Settled {
    /// The record was read back from the log and is valid.
    Accepted {
        /// Offset of the record.
        offset: Offset,
    },
    /// The record was read back from the log, or checked before the append, and the table refuses
    /// it.
    ConfigRefused(Refusal),
    /// The record was read back from the log, and the fold of the shard ignores it.
    FleetRefused(FleetRefusal),
    /// Another claim on the key exists.
    ClaimTaken {
        /// The gateway that holds the claim.
        owner: Owner,
        /// Number of the claim.
        #[serde(default)]
        claim: ClaimId,
        /// Account and body to which the key is bound.
        #[serde(default)]
        binding: Option<Binding>,
        /// The answer to the request, once there is one.
        answer: Option<Answer>,
        /// Set once the claim ended without an answer: `true` if the request surely ran, `false` if
        /// it may have run.
        #[serde(default)]
        closed: Option<bool>,
    },
    /// No claim on the key is known.
    ClaimFree,
    /// The key is too old, so that it is no longer known whether its request ran.
    ClaimExpired,
    /// The edits are invalid; the agent appended nothing.
    ConfigInvalid(Vec<RowError>),
    /// Records of the stream expired before the agent read them, so that it does not know the
    /// state; nothing was appended.
    Gap,
    /// The log refused the record or could not be reached; it was not appended.
    NotAppended,
    /// It is not known whether the record was appended.
    Unknown,
}

/// Report of one agent on a VM that it probed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmReport {
    /// The probed VM.
    pub vm: VmId,
    /// Whether the VM answered.
    pub answered: bool,
    /// State that the VM reported; `None` for plain services and for VMs that did not answer.
    pub state: Option<EngineState>,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
}

/// Liveness of an entry VM according to gossip.
///
/// For the same incarnation, a later variant takes precedence over an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Liveness {
    /// The agent has not heard of the entry VM since it started.
    Unknown,
    /// The entry VM answers pings.
    Alive,
    /// The entry VM missed a ping, and may refute the suspicion.
    Suspect,
    /// The entry VM did not refute a suspicion in time.
    Dead,
}

impl Liveness {
    /// Returns whether an entry VM of this status is considered alive.
    pub fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// A change of an entry VM's status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u8, u32)", into = "(u64, u8, u32)")]
pub struct StatusUpdate {
    /// Number of the member; see [`crate::members::Members::number`].
    pub member: u64,
    /// New status of the member.
    pub status: Liveness,
    /// Gossip incarnation of the member, which only the member itself increments.
    pub incarnation: u32,
}

impl From<(u64, u8, u32)> for StatusUpdate {
    fn from((member, status, incarnation): (u64, u8, u32)) -> Self {
        let status = match status {
            1 => Liveness::Alive,
            2 => Liveness::Suspect,
            3 => Liveness::Dead,
            _ => Liveness::Unknown,
        };
        Self {
            member,
            status,
            incarnation,
        }
    }
}

impl From<StatusUpdate> for (u64, u8, u32) {
    fn from(update: StatusUpdate) -> Self {
        (update.member, update.status as u8, update.incarnation)
    }
}

/// Heartbeat of an entry VM, which others pass on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Number of the member; see [`crate::members::Members::number`].
    pub member: u64,
    /// Counter that the member increments while it runs.
    pub count: u32,
    /// Spare share of the member's capacity, in percent.
    pub spare: u8,
    /// Offset up to which the member has folded the `config` stream.
    pub config: u64,
}

/// A request that was running at an endpoint when the connection to the endpoint broke.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// Fingerprint of the request's client account, target and body.
    pub print: u64,
    /// The entry VM whose gateway observed the break.
    pub origin: EntryId,
    /// The endpoint VM.
    pub vm: VmId,
    /// Incarnation of the endpoint VM at that time.
    pub run: Incarnation,
    /// Whether the request was the only one at the endpoint.
    pub alone: bool,
    /// Age of the observation, in milliseconds.
    pub age_ms: u64,
}

/// Kind of a gossip packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "u8", into = "u8")]
#[repr(u8)]
pub enum PacketKind {
    /// Asks the recipient for an ack.
    Ping,
    /// Answers a ping.
    Ack,
    /// Asks the recipient to ping the target on behalf of the sender.
    Relay,
}

impl TryFrom<u8> for PacketKind {
    type Error = String;

    fn try_from(kind: u8) -> Result<Self, String> {
        match kind {
            0 => Ok(Self::Ping),
            1 => Ok(Self::Ack),
            2 => Ok(Self::Relay),
            _ => Err(format!("unknown packet kind {kind}")),
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
    /// Member number of the sender.
    pub from: u64,
    /// Time of sending in milliseconds, which never decreases among the packets of one sender;
    /// reveals replayed packets.
    pub stamp: u64,
    /// Kind of the packet.
    pub kind: PacketKind,
    /// Sequence number of a ping; an ack repeats the number of its ping.
    pub seq: u32,
    /// Member number of the entry VM that a relay is to ping.
    pub target: u64,
    /// Whether the sender asks for the heartbeats of many entry VMs.
    pub asks: bool,
    /// Liveness updates.
    pub updates: Vec<StatusUpdate>,
    /// Heartbeats, that of the sender first.
    pub beats: Vec<Heartbeat>,
}

/// Content of a datagram.
#[derive(Debug, Clone, PartialEq)]
pub enum GossipMessage {
    /// Liveness of entry VMs.
    Packet(Packet),
    /// Reports on probed VMs.
    Reports(Vec<VmReport>),
    /// Requests suspected of crashing endpoints.
    Suspicions(Vec<Suspicion>),
}

/// A datagram with its authentication tag, encoded without field names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedMessage {
    /// Number of the key.
    pub key: u32,
    /// Number of the body's encoding.
    pub form: u8,
    /// Leading bytes of the HMAC-SHA-256 of `form` and `body`.
    pub tag: ByteBuf,
    /// The encoded message.
    pub body: ByteBuf,
}
