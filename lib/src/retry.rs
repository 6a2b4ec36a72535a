//! Budget of retries: a share of the first tries, so that retries can't grow into a storm.

use crate::gateway::FailReason;

/// Retries that each first try adds to the budget.
const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.08;
/// Retries that an idle gateway has in hand.
const MAX_BUDGET: f64 = 16.0;
/// Attempts of one request at most.
const MAX_ATTEMPTS: u32 = 4;
/// Attempts at most of a request whose last one surely did not run: several endpoints may be gone
/// before their probers know.
const MAX_ATTEMPTS_NOT_RUN: u32 = 8;

/// Retries that a gateway may still make.
#[derive(Debug)]
pub struct RetryBudget {
    level: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { level: MAX_BUDGET }
    }
}

/// What follows a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another attempt.
    Retry,
    /// None: the work may have run and must not run twice.
    MayHaveRun,
    /// None: too many attempts or too few retries left.
    GiveUp,
}

impl RetryBudget {
    /// Counts a first try.
    pub fn record_first_attempt(&mut self) {
        self.level = (self.level + RETRIES_PER_FIRST_ATTEMPT).min(MAX_BUDGET);
    }

    /// Decides on a failed attempt, and pays for the retry if there is one.
    pub fn decide(
        &mut self,
        reason: FailReason,
        at_most_once: bool,
        attempts: u32,
    ) -> RetryDecision {
        if at_most_once && !reason.not_run() {
            return RetryDecision::MayHaveRun;
        }
        let limit = if reason.not_run() {
            MAX_ATTEMPTS_NOT_RUN
        } else {
            MAX_ATTEMPTS
        };
        if attempts >= limit || self.level < 1.0 {
            return RetryDecision::GiveUp;
        }
        self.level -= 1.0;
        RetryDecision::Retry
    }
}
