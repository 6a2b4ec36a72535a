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
            /// Makes an identifier from its text.
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
    /// Names an endpoint VM: a machine that runs a model engine or a plain service.
    VmId;
    /// Names an entry VM: a machine that runs this system's daemons.
    EntryId;
    /// Names a failure domain: VMs that share a fabric and may fail together.
    DomainId;
    /// Names a model group.
    GroupId;
    /// Names a model version within its group.
    VersionId;
    /// Names a client account.
    AccountId;
    /// Names a plain service.
    ServiceId;
    /// Names one request, from its admission to its final answer.
    RequestId;
    /// Names a log stream.
    StreamId;
}

number_id! {
    /// Position of a record in its log stream.
    Offset;
    /// Fencing number of a lease: the offset of the record that claimed it, plus one.
    Fence;
    /// Distinguishes the runs of one process or VM; a later run has a larger number.
    Incarnation;
    /// Names a replica: the offset of the record that assigned it, plus one, within its shard.
    ReplicaSeq;
    /// Names one attempt of a request at an endpoint; unique within a gateway run.
    AttemptId;
    /// Random number that tells a record apart from every other append.
    Nonce;
    /// Names one order to an engine; unique within a planner run.
    OrderId;
}

/// Names a replica by the shard that formed it and its number there.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    /// The shard, which is a failure domain.
    pub shard: DomainId,
    /// Number within the shard.
    pub seq: ReplicaSeq,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.shard, self.seq)
    }
}
