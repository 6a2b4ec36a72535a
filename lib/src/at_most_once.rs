//! At-most-once requests of one gateway: the meaning of a claimed key for a caller, and the claim
//! updates that must reach the log.
//!
//! A request whose claim a gateway has released is never dispatched, whether or not the release is
//! known to have reached the log; a release also cancels a claim whose own record comes after it.

use std::collections::BTreeMap;
use std::time::Duration;

use uuid::Uuid;

use crate::claims::{Answer, Binding, ClaimChange, ClaimId, Owner};
use crate::codes::Code;
use crate::peers::Settled;
use crate::time::Time;

/// Largest answer that is stored with a claim, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 64 << 10;
/// Maximum time by which the timestamp of a key may lie in the future.
const MAX_AHEAD: Duration = Duration::from_secs(60);
/// Wait before a claim update is resubmitted when its result is unknown or it was not appended.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a reply after which a claim update is resubmitted.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a claim update is abandoned; callers are then told that the request may have
/// run.
const RETRY_TIMEOUT: Duration = Duration::from_secs(600);
/// Maximum number of claim updates that wait for the log.
const MAX_PENDING: usize = 4_096;

/// Checks that a key is a UUIDv7 that is no older than `max_age`.
///
/// # Errors
///
/// Fails if the key has no UUIDv7 timestamp, is too old, or lies too far in the future.
pub fn check_key(now: Time, key: &Uuid, max_age: Duration) -> Result<(), Code> {
    let stamp = key.get_timestamp().filter(|_| key.get_version_num() == 7);
    let Some(stamp) = stamp else {
        return Err(Code::KeyMalformed);
    };
    let (s, ns) = stamp.to_unix();
    let created = Time(s * 1_000_000 + u64::from(ns / 1_000));
    if now.since(created) > max_age || created.since(now) > MAX_AHEAD.min(max_age) {
        return Err(Code::KeyExpired);
    }
    Ok(())
}

/// Response to a request whose claim was not granted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimRejection {
    /// The stored answer of the key.
    Replay(Answer),
    /// A refusal with this code.
    Refuse(Code),
}

/// Returns the response that the result of a claim implies for the request `binding`, or `None` if
/// the claim was granted.
pub fn rejection(
    settled: Settled,
    binding: &Binding,
    is_live: impl Fn(&Owner) -> bool,
) -> Option<ClaimRejection> {
    match settled {
        Settled::Accepted { .. } => None,
        Settled::ClaimTaken {
            binding: Some(bound),
            ..
        } if bound != *binding => Some(ClaimRejection::Refuse(Code::KeyReused)),
        Settled::ClaimTaken {
            answer: Some(answer),
            ..
        } => Some(ClaimRejection::Replay(answer)),
        Settled::ClaimTaken {
            closed: Some(true), ..
        } => Some(ClaimRejection::Refuse(Code::AnswerNotKept)),
        Settled::ClaimTaken {
            owner,
            closed: None,
            ..
        } if is_live(&owner) => Some(ClaimRejection::Refuse(Code::InProgress)),
        Settled::ClaimTaken { .. } | Settled::ClaimExpired => {
            Some(ClaimRejection::Refuse(Code::MayHaveRun))
        }
        Settled::Unknown => Some(ClaimRejection::Refuse(Code::ClaimUnknown)),
        _ => Some(ClaimRejection::Refuse(Code::ClaimUnavailable)),
    }
}

/// An update of a claim, to be appended to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimUpdate {
    /// Claim that is updated.
    pub claim: ClaimId,
    /// Idempotency key of the claim.
    pub key: Uuid,
    /// Change of the claim.
    pub change: ClaimChange,
}

#[derive(Debug)]
struct PendingUpdate {
    change: ClaimUpdate,
    due_at: Time,
    expires_at: Time,
}

/// Claim updates (releases, answers and closures) that the log is not known to hold yet.
#[derive(Debug, Default)]
pub struct PendingUpdates {
    pending: BTreeMap<ClaimId, PendingUpdate>,
    abandoned: u64,
}

impl PendingUpdates {
    /// Adds an update that the caller submits now.
    pub fn add(&mut self, now: Time, change: ClaimUpdate) {
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_first();
            self.abandoned += 1;
        }
        let pending = PendingUpdate {
            change: change.clone(),
            due_at: now + REPLY_TIMEOUT,
            expires_at: now + RETRY_TIMEOUT,
        };
        self.pending.insert(change.claim, pending);
    }

    /// Records the result of a submitted update.
    pub fn record_result(&mut self, now: Time, claim: ClaimId, settled: &Settled) {
        let retryable = matches!(settled, Settled::NotAppended | Settled::Unknown);
        if !retryable {
            self.pending.remove(&claim);
        } else if let Some(pending) = self.pending.get_mut(&claim) {
            pending.due_at = now + RETRY_INTERVAL;
        }
    }

    /// Returns the updates to resubmit, and abandons those that are too old.
    pub fn take_due(&mut self, now: Time) -> Vec<ClaimUpdate> {
        let before = self.pending.len();
        self.pending.retain(|_, p| now < p.expires_at);
        self.abandoned += (before - self.pending.len()) as u64;
        let mut out = Vec::new();
        for pending in self.pending.values_mut().filter(|p| p.due_at <= now) {
            pending.due_at = now + REPLY_TIMEOUT;
            out.push(pending.change.clone());
        }
        out
    }

    /// Returns whether a release of this claim waits for the log.
    pub fn is_released(&self, claim: ClaimId) -> bool {
        let pending = self.pending.get(&claim);
        pending.is_some_and(|p| p.change.change == ClaimChange::Release)
    }

    /// Returns the number of updates that wait for the log.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether no update waits for the log.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the number of updates abandoned so far.
    pub fn abandoned(&self) -> u64 {
        self.abandoned
    }
}
