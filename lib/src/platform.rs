//! Messages between this system and the platform: log, VM list and weight store.

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::ids::{DomainId, Offset, ServiceId, StreamId, VmId};

/// What a VM runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// A model engine.
    Engine,
    /// A plain service.
    Service(ServiceId),
}

/// A VM as the platform lists it, with a lag.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListing {
    /// Its name.
    pub vm: VmId,
    /// Base URL of what it runs.
    pub address: String,
    /// Its failure domain.
    pub domain: DomainId,
    /// What it runs.
    pub role: VmRole,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Records to append to one stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendCall {
    /// The stream.
    pub stream: StreamId,
    /// The records, appended side by side.
    pub records: Vec<ByteBuf>,
}

/// Reply to an append.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Offset of the first record.
    pub first: Offset,
}

/// Asks for the records of several streams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadCall {
    /// For each stream, the offset of the next record wanted.
    pub wants: Vec<(StreamId, Offset)>,
    /// How long to wait for a record, in milliseconds.
    pub wait_ms: u64,
    /// Records to return at most.
    pub limit: u32,
}

/// Records of one stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamPart {
    /// The stream.
    pub stream: StreamId,
    /// Offset of the first record that is still kept.
    pub kept: Offset,
    /// Offset that the next append gets.
    pub end: Offset,
    /// The records, in order, with their offsets.
    pub records: Vec<(Offset, ByteBuf)>,
}

/// Reply to a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadReply {
    /// One part for each stream asked for.
    pub parts: Vec<StreamPart>,
}
