//! At-most-once claims on non-idempotent work, folded from the `claims/<p>` streams.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use uuid::Uuid;

use crate::ids::{EntryId, Incarnation, Nonce, Offset};

/// A gateway in one of its runs.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// Its entry VM.
    pub entry: EntryId,
    /// Its run.
    pub run: Incarnation,
}

/// An answer that is kept for callers that send their request again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub kind: String,
    /// Body.
    pub body: ByteBuf,
}

/// What a record of a `claims/<p>` stream says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimChange {
    /// Claims the key, if it is free.
    Claim,
    /// Gives the key up, since the work surely did not run.
    Release,
    /// Keeps the answer.
    Finish(Answer),
}

/// A record of a `claims/<p>` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Tells this append apart.
    pub nonce: Nonce,
    /// The idempotency key.
    pub key: Uuid,
    /// The gateway that asks.
    pub owner: Owner,
    /// What changes.
    pub change: ClaimChange,
}

/// A claimed key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The gateway that holds it.
    pub owner: Owner,
    /// Offset of the claim.
    pub offset: Offset,
    /// The answer, once there is one.
    pub answer: Option<Answer>,
}

/// Says why a record was ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimRefusal {
    /// Another claim stands, or there is none to release or finish.
    Taken,
    /// The key lies before the horizon, so whether it was claimed is no longer known.
    Expired,
}

/// The folded claims of one partition.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// Offset of the next record to fold.
    pub next: Offset,
    /// Keys made before this time, in milliseconds since the Unix epoch, can't be claimed.
    #[serde(default)]
    pub horizon_ms: u64,
    claims: BTreeMap<Uuid, Claim>,
}

impl Claims {
    /// Folds the record at `offset`, which every reader accepts or ignores alike.
    pub fn fold(&mut self, offset: Offset, record: &ClaimRecord) -> Result<(), ClaimRefusal> {
        self.next = Offset(offset.0 + 1);
        if made_ms(&record.key) < self.horizon_ms {
            return Err(ClaimRefusal::Expired);
        }
        let held = self.claims.get_mut(&record.key);
        match (&record.change, held) {
            (ClaimChange::Claim, None) => {
                let claim = Claim {
                    owner: record.owner.clone(),
                    offset,
                    answer: None,
                };
                self.claims.insert(record.key, claim);
                Ok(())
            }
            (ClaimChange::Release, Some(c)) if c.owner == record.owner && c.answer.is_none() => {
                self.claims.remove(&record.key);
                Ok(())
            }
            (ClaimChange::Finish(answer), Some(c)) if c.owner == record.owner => {
                c.answer.get_or_insert_with(|| answer.clone());
                Ok(())
            }
            _ => Err(ClaimRefusal::Taken),
        }
    }

    /// Drops the claims on keys made before `horizon_ms`.
    ///
    /// Such keys can't be claimed any more, so that dropping a claim too early refuses work but
    /// never runs it twice.
    pub fn drop_before(&mut self, horizon_ms: u64) {
        if horizon_ms > self.horizon_ms {
            self.horizon_ms = horizon_ms;
            self.claims.retain(|key, _| made_ms(key) >= horizon_ms);
        }
    }

    /// Returns the claim on a key.
    pub fn get(&self, key: &Uuid) -> Option<&Claim> {
        self.claims.get(key)
    }

    /// Returns the number of claims held.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}

/// Returns the partition of a key among `partitions`.
pub fn partition(key: &Uuid, partitions: u32) -> u32 {
    (xxhash_rust::xxh3::xxh3_64(key.as_bytes()) % u64::from(partitions.max(1))) as u32
}

/// Returns when a key was made, in milliseconds since the Unix epoch.
fn made_ms(key: &Uuid) -> u64 {
    let made = key.get_timestamp().map(|stamp| stamp.to_unix());
    made.map_or(0, |(s, ns)| s * 1_000 + u64::from(ns / 1_000_000))
}
