//! Retry budget: retries are limited to a share of first attempts, to prevent retry storms.

use crate::gateway::FailReason;

/// Retries that each first attempt adds to the budget.
const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.08;
/// Maximum retry budget, with which a gateway starts.
const MAX_BUDGET: f64 = 16.0;
/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: u32 = 4;
/// Maximum number of attempts of a request whose last attempt did not run: several endpoints may be
/// gone before their probers notice.
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

/// Decision about a request after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// The request is retried.
    Retry,
    /// The request is not retried, since it may have run and must not run twice.
    MayHaveRun,
    /// The request is not retried, since it has used its attempts or the retry budget is empty.
    GiveUp,
}

impl RetryBudget {
    /// Adds the share of one first attempt to the budget.
    pub fn record_first_attempt(&mut self) {
        self.level = (self.level + RETRIES_PER_FIRST_ATTEMPT).min(MAX_BUDGET);
    }

    /// Decides about a retry after an attempt failed, and charges it to the budget.
    ///
    /// `at_most_once` tells whether the request must not run twice; `attempts` counts the attempts
    /// so far.
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
