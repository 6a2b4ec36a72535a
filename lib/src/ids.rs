//! Typed identifiers.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

macro_rules! text_id {
    ($(#[$doc:meta] $name:ident;)*) => {$(
        #[$doc]
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates an identifier from its text.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(Arc::from(text.as_ref()))
            }

            /// Returns the text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    )*};
}

macro_rules! number_id {
    ($(#[$doc:meta] $name:ident;)*) => {$(
        #[$doc]
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    )*};
}

text_id! {
    /// Name of an endpoint VM, which runs a model engine or a plain service.
    VmId;
    /// Name of an entry VM, which runs this system's daemons.
    EntryId;
    /// Name of a failure domain: VMs that share a fabric and may fail together.
    DomainId;
    /// Name of a model group.
    GroupId;
    /// Name of a model version within its group.
    VersionId;
    /// Name of a client account.
    AccountId;
    /// Name of a plain service.
    ServiceId;
    /// Identifier of a request, from its admission to its final answer.
    RequestId;
    /// Name of a log stream.
    StreamId;
}

number_id! {
    /// Position of a record in its log stream.
    Offset;
    /// Fencing token of a lease: the offset of the record that claimed it, plus one.
    Fence;
    /// Number of a run of one process or VM; a later run has a larger number.
    Incarnation;
    /// Number of a replica within its shard: the offset of the record that assigned it, plus one.
    ReplicaSeq;
    /// Identifier of an attempt of a request at an endpoint; unique within a gateway run.
    AttemptId;
    /// Random number that distinguishes a record from every other append.
    Nonce;
    /// Identifier of an order to an engine; unique within a planner run.
    OrderId;
}

/// Identifier of a replica: the shard that formed it and its number there.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    /// Shard that formed the replica, which is a failure domain.
    pub shard: DomainId,
    /// Number of the replica within the shard.
    pub seq: ReplicaSeq,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.shard, self.seq)
    }
}
