//! Restating of streams, so that the agreed state outlives the log's retention.
//!
//! A stream is restated in two records. The mark fixes a place in the stream at which every reader
//! takes the digest of its own state. The snapshot carries the state at that place. A reader that
//! starts later loads a snapshot and folds each record after its mark, also those between the mark
//! and the snapshot, so a snapshot that was written late reverts nothing.

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{Nonce, Offset};

/// Version of the encodings of the folded states.
///
/// Digests are compared between equal forms only, so that two versions run side by side.
pub const STATE_FORM: u32 = 1;

/// State of a stream as of an offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Offset of the first record that is not part of the state.
    pub at: Offset,
    /// Version of the encoding.
    pub form: u32,
    /// Digest of the encoded state.
    pub digest: u64,
    /// The encoded state.
    pub state: ByteBuf,
}

impl Snapshot {
    /// Makes a snapshot of an encoded state as of `at`.
    pub fn new(at: Offset, state: Vec<u8>) -> Self {
        Self {
            at,
            form: STATE_FORM,
            digest: digest(&state),
            state: ByteBuf::from(state),
        }
    }

    /// Returns whether the state is whole and of a form that this version reads.
    pub fn is_sound(&self) -> bool {
        self.form == STATE_FORM && digest(&self.state) == self.digest
    }
}

/// What a restating record says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Restate {
    /// Fixes the place of the next snapshot.
    Mark {
        /// Claims on keys made before this time, in milliseconds since the Unix epoch, are dropped
        /// and can't be made anew.
        horizon_ms: u64,
    },
    /// Carries the state at a mark.
    Snapshot(Snapshot),
}

/// A restating record, which any stream may hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestateRecord {
    /// Tells this append apart.
    pub nonce: Nonce,
    /// What it says.
    pub restate: Restate,
}

/// Returns the digest of an encoded state.
pub fn digest(state: &[u8]) -> u64 {
    xxh3_64(state)
}
