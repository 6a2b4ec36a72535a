//! Messages between this system and the platform's log and VM list.

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::ids::{DomainId, Offset, ServiceId, StreamId, VmId};

/// Software that a VM runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// A model engine.
    Engine,
    /// A plain service.
    Service(ServiceId),
}

/// Entry of the platform's VM list, which may lag behind the actual state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListing {
    /// Name of the VM.
    pub vm: VmId,
    /// Base URL of the software that the VM runs.
    pub address: String,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Software that the VM runs.
    pub role: VmRole,
    /// Whether the platform is about to withdraw the VM.
    pub leaving: bool,
}

/// Request to append records to one stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendCall {
    /// Stream to append to.
    pub stream: StreamId,
    /// Encoded records, which get consecutive offsets.
    pub records: Vec<ByteBuf>,
}

/// Reply to an append.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Offset of the first record.
    pub first: Offset,
}

/// Request to read records of several streams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadCall {
    /// For each stream, the offset of the first record to return.
    pub wants: Vec<(StreamId, Offset)>,
    /// Time to wait for a record, in milliseconds.
    pub wait_ms: u64,
    /// Maximum number of records to return.
    pub limit: u32,
}

/// Part of the reply to a read that concerns one stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamPart {
    /// The stream.
    pub stream: StreamId,
    /// Offset of the first record that has not expired.
    pub kept: Offset,
    /// Offset that the next appended record gets.
    pub end: Offset,
    /// The encoded records with their offsets, in order.
    pub records: Vec<(Offset, ByteBuf)>,
}

/// Reply to a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadReply {
    /// One part for each requested stream.
    pub parts: Vec<StreamPart>,
}
