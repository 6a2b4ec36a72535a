//! Budget of retries: a share of the first tries, so that retries can't grow into a storm.

use crate::gateway::FailReason;

/// Retries that each first try adds to the budget.
const SHARE: f64 = 0.08;
/// Retries that an idle gateway has in hand.
const RESERVE: f64 = 16.0;
/// Attempts of one request at most.
const ATTEMPTS: u32 = 4;
/// Attempts at most of a request whose last one surely did not run: several endpoints may be gone
/// before their probers know.
const ATTEMPTS_NOT_RUN: u32 = 8;

/// Retries that a gateway may still make.
#[derive(Debug)]
pub struct Budget {
    level: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { level: RESERVE }
    }
}

/// What follows a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Another attempt.
    Retry,
    /// None: the work may have run and must not run twice.
    MayHaveRun,
    /// None: too many attempts or too few retries left.
    GiveUp,
}

impl Budget {
    /// Counts a first try.
    pub fn first_try(&mut self) {
        self.level = (self.level + SHARE).min(RESERVE);
    }

    /// Decides on a failed attempt, and pays for the retry if there is one.
    pub fn decide(&mut self, reason: FailReason, once: bool, attempts: u32) -> Next {
        if once && !reason.not_run() {
            return Next::MayHaveRun;
        }
        let limit = if reason.not_run() {
            ATTEMPTS_NOT_RUN
        } else {
            ATTEMPTS
        };
        if attempts >= limit || self.level < 1.0 {
            return Next::GiveUp;
        }
        self.level -= 1.0;
        Next::Retry
    }
}
