//! At-most-once claims on non-idempotent requests, folded from the `claims/<p>` streams.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use uuid::Uuid;

use crate::ids::{AccountId, EntryId, Incarnation, Nonce, Offset};
use crate::peers::Settled;

/// One run of a gateway.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// Entry VM of the gateway.
    pub entry: EntryId,
    /// Incarnation of the gateway process.
    pub run: Incarnation,
}

/// An answer that is stored for callers that repeat their request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status of the answer.
    pub status: u16,
    /// Content type of the body.
    pub kind: String,
    /// Body of the answer.
    pub body: ByteBuf,
}

/// Identity of the first request that used an idempotency key; only the same request gets its
/// answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Binding {
    /// Client account of the request; the answer is not disclosed to any other account.
    pub account: AccountId,
    /// Fingerprint of the target and the body.
    pub body: String,
}

/// Number of a claim within one run of its gateway.
///
/// A release names the claim that it gives up, so that a late release of an earlier claim can't
/// free the key while a later claim of the same gateway runs.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClaimId(pub u64);

/// Change that a record of a `claims/<p>` stream makes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimChange {
    /// Claims the key, if it is free.
    Claim,
    /// Frees the key, since the request did not run.
    Release,
    /// Stores the answer; the key is never free again.
    Finish(Answer),
    /// Ends the claim without a stored answer; the key is never free again.
    Close {
        /// Whether the request ran; if false, it may have run.
        ran: bool,
    },
}

/// A record of a `claims/<p>` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Distinguishes this append from every other one.
    pub nonce: Nonce,
    /// Idempotency key that the record is about.
    pub key: Uuid,
    /// Gateway run that makes the change.
    pub owner: Owner,
    /// Claim that the record makes or changes.
    #[serde(default)]
    pub claim: ClaimId,
    /// Request that a new claim binds the key to.
    #[serde(default)]
    pub binding: Option<Binding>,
    /// Change of the claim.
    pub change: ClaimChange,
}

/// State of a claimed idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Gateway run that holds the claim.
    pub owner: Owner,
    /// Log offset of the record that made the claim.
    pub offset: Offset,
    /// Number of the claim within the run of its gateway.
    #[serde(default)]
    pub claim: ClaimId,
    /// Request that the key is bound to.
    #[serde(default)]
    pub binding: Option<Binding>,
    /// Stored answer, once there is one.
    pub answer: Option<Answer>,
    /// For a claim that was closed without an answer: whether the request ran (`true`) or may have
    /// run (`false`).
    #[serde(default)]
    pub closed: Option<bool>,
}

impl Claim {
    /// Returns the result for another request that claims the key.
    pub fn to_settled(&self) -> Settled {
        Settled::ClaimTaken {
            owner: self.owner.clone(),
            claim: self.claim,
            binding: self.binding.clone(),
            answer: self.answer.clone(),
            closed: self.closed,
        }
    }

    /// Returns whether the claim was finished or closed, after which it can't be released.
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

/// Reason why the fold ignores a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimRefusal {
    /// The key has another claim, or none that the record could release, finish or close.
    Taken,
    /// The key was created before the horizon, so whether it was claimed is no longer known.
    Expired,
}

/// Claims of one partition, folded from its stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// Offset of the next record to fold.
    pub next: Offset,
    /// Keys created before this time, in milliseconds since the Unix epoch, can't be claimed.
    #[serde(default)]
    pub horizon_ms: u64,
    claims: BTreeMap<Uuid, Claim>,
    /// Claims whose release was folded before their own record; such a claim is ignored.
    #[serde(default)]
    void: BTreeSet<(Uuid, Owner, ClaimId)>,
}

impl Claims {
    /// Folds the record at `offset`. All readers accept or ignore a record alike.
    ///
    /// # Errors
    ///
    /// Returns why the record was ignored.
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

    /// Drops the claims on keys created before `horizon_ms`.
    ///
    /// Such keys can't be claimed any more, so dropping a claim too early refuses requests but
    /// never runs one twice.
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

    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}

/// Returns the partition of a key, from 0 to `partitions - 1`.
pub fn partition(key: &Uuid, partitions: u32) -> u32 {
    (xxhash_rust::xxh3::xxh3_64(key.as_bytes()) % u64::from(partitions.max(1))) as u32
}

/// Returns when a key was created, in milliseconds since the Unix epoch; zero if it has no
/// timestamp.
fn created_ms(key: &Uuid) -> u64 {
    let created = key.get_timestamp().map(|stamp| stamp.to_unix());
    created.map_or(0, |(s, ns)| s * 1_000 + u64::from(ns / 1_000_000))
}
