//! At-most-once claims on non-idempotent work, folded from the `claims/<p>` streams.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use uuid::Uuid;

use crate::ids::{AccountId, EntryId, Incarnation, Nonce, Offset};
use crate::peers::Settled;

/// A gateway in one of its runs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
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

/// Ties an idempotency key to the request that used it first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Binding {
    /// The client account; no other one is told of the claim or its answer.
    pub account: AccountId,
    /// Fingerprint of the target and the body.
    pub body: String,
}

/// Number of a claim within the run of its gateway.
///
/// A release names the claim that it gives up, so that a late release of an earlier claim can't
/// free the key while a later claim of the same gateway runs.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClaimId(pub u64);

/// What a record of a `claims/<p>` stream says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimChange {
    /// Claims the key, if it is free.
    Claim,
    /// Gives the key up, since the work surely did not run.
    Release,
    /// Keeps the answer.
    Finish(Answer),
    /// Ends the claim without an answer to keep; the key is never free again.
    Close {
        /// Whether the work surely ran; otherwise it may have run.
        ran: bool,
    },
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
    /// The claim that it makes or changes.
    #[serde(default)]
    pub claim: ClaimId,
    /// What a new claim ties the key to.
    #[serde(default)]
    pub binding: Option<Binding>,
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
    /// Number of the claim.
    #[serde(default)]
    pub claim: ClaimId,
    /// What the key is tied to.
    #[serde(default)]
    pub binding: Option<Binding>,
    /// The answer, once there is one.
    pub answer: Option<Answer>,
    /// Whether the work ran, once the claim ended without an answer.
    #[serde(default)]
    pub closed: Option<bool>,
}

impl Claim {
    /// Returns what a request for the key is told.
    pub fn to_settled(&self) -> Settled {
        Settled::ClaimTaken {
            owner: self.owner.clone(),
            claim: self.claim,
            binding: self.binding.clone(),
            answer: self.answer.clone(),
            closed: self.closed,
        }
    }

    /// Returns whether its work has ended, so that it can't be released.
    fn ended(&self) -> bool {
        self.answer.is_some() || self.closed.is_some()
    }
}

fn new_claim(offset: Offset, record: &ClaimRecord) -> Claim {
    Claim {
        owner: record.owner.clone(),
        offset,
        claim: record.claim,
        binding: record.binding.clone(),
        answer: None,
        closed: None,
    }
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
    /// Claims released before their own record came.
    #[serde(default)]
    void: BTreeSet<(Uuid, Owner, ClaimId)>,
}

impl Claims {
    /// Folds the record at `offset`, which every reader accepts or ignores alike.
    pub fn fold(&mut self, offset: Offset, record: &ClaimRecord) -> Result<(), ClaimRefusal> {
        self.next = Offset(offset.0 + 1);
        if created_ms(&record.key) < self.horizon_ms {
            return Err(ClaimRefusal::Expired);
        }
        let id = (record.key, record.owner.clone(), record.claim);
        let held = self.claims.get_mut(&record.key);
        let same_claim = |c: &Claim| c.owner == record.owner && c.claim == record.claim;
        match (&record.change, held) {
            (ClaimChange::Claim, None) if self.void.remove(&id) => Err(ClaimRefusal::Taken),
            (ClaimChange::Claim, None) => {
                self.claims.insert(record.key, new_claim(offset, record));
                Ok(())
            }
            (ClaimChange::Release, Some(c)) if same_claim(c) && !c.ended() => {
                self.claims.remove(&record.key);
                Ok(())
            }
            (ClaimChange::Release, Some(c)) if same_claim(c) => Err(ClaimRefusal::Taken),
            (ClaimChange::Release, _) => {
                self.void.insert(id);
                Ok(())
            }
            (ClaimChange::Finish(answer), Some(c)) if same_claim(c) => {
                c.answer.get_or_insert_with(|| answer.clone());
                Ok(())
            }
            (ClaimChange::Close { ran }, Some(c)) if same_claim(c) => {
                c.closed = Some(*ran || c.closed == Some(true));
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
            self.claims.retain(|key, _| created_ms(key) >= horizon_ms);
            self.void.retain(|(key, ..)| created_ms(key) >= horizon_ms);
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
fn created_ms(key: &Uuid) -> u64 {
    let created = key.get_timestamp().map(|stamp| stamp.to_unix());
    created.map_or(0, |(s, ns)| s * 1_000 + u64::from(ns / 1_000_000))
}
