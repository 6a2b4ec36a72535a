//! Snapshots of streams, so that the agreed state outlives the log's retention.
//!
//! A snapshot takes two records. The marker fixes a position in the stream at which every reader
//! computes the digest of its own state. The snapshot carries the state at that position. A reader
//! that starts later loads a snapshot and folds each record after its marker, including those
//! between the marker and the snapshot, so that a snapshot that was written late reverts nothing.

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{Nonce, Offset};

/// Version of the encoding of the folded states.
///
/// Digests are compared only between equal versions, so that two versions of the software can run
/// side by side.
pub const STATE_ENCODING_VERSION: u32 = 1;

/// Encoded state of a stream as of an offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Offset of the first record that is not part of the state.
    pub at: Offset,
    /// Version of the encoding, [`STATE_ENCODING_VERSION`] when written by this version.
    pub form: u32,
    /// Digest of the encoded state.
    pub digest: u64,
    /// The encoded state.
    pub state: ByteBuf,
}

impl Snapshot {
    /// Creates a snapshot of an encoded state as of `at`.
    pub fn new(at: Offset, state: Vec<u8>) -> Self {
        Self {
            at,
            form: STATE_ENCODING_VERSION,
            digest: digest(&state),
            state: ByteBuf::from(state),
        }
    }

    /// Returns whether the state is undamaged and in the encoding that this version reads.
    pub fn is_valid(&self) -> bool {
        self.form == STATE_ENCODING_VERSION && digest(&self.state) == self.digest
    }
}

/// One of the two steps of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SnapshotStep {
    /// Marker that fixes the position of the next snapshot.
    Mark {
        /// Claims on keys made before this time, in milliseconds since the Unix epoch, are dropped
        /// and cannot be made again.
        horizon_ms: u64,
    },
    /// The state at a marker.
    Snapshot(Snapshot),
}

/// A record of a snapshot, which any stream may contain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRecord {
    /// Nonce that distinguishes this append from all others.
    pub nonce: Nonce,
    /// The step of the snapshot.
    pub restate: SnapshotStep,
}

/// Returns the digest of an encoded state.
pub fn digest(state: &[u8]) -> u64 {
    xxh3_64(state)
}
