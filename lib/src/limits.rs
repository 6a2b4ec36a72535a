//! Limits of client accounts as one gateway enforces them.

use std::time::Duration;

use crate::codes::Code;
use crate::ids::AccountId;
use crate::slices::{Amount, Demand};
use crate::time::Time;

/// Burst size of a rate limit, in seconds of its rate.
const BURST_S: f64 = 1.0;
/// Part of the last reported demand below which the next report does not fall.
const DEMAND_DECAY: f64 = 0.7;
/// Wait before a retry after the limit on open requests is reached, since the end of an open
/// request isn't known.
const OPEN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Maximum wait before a retry that a refusal states.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// A refusal and the wait before a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Result code of the refusal.
    pub code: Code,
    /// Wait before a retry.
    pub retry_after: Duration,
}

/// Token bucket of a rate limit.
///
/// A request larger than the burst needs a full bucket and leaves a debt.
#[derive(Debug, Clone)]
pub struct Bucket {
    level: f64,
    refilled_at: Time,
}

impl Bucket {
    /// Creates a full bucket for `rate` units a second.
    pub fn full(now: Time, rate: f64) -> Self {
        Self {
            level: rate * BURST_S,
            refilled_at: now,
        }
    }

    /// Refills the bucket at `rate` units a second for the time passed, and returns the wait until
    /// `amount` units may be consumed.
    pub fn wait(&mut self, now: Time, rate: f64, amount: f64) -> Duration {
        let gained = now.since(self.refilled_at).as_secs_f64() * rate;
        self.level = (self.level + gained).min(rate * BURST_S);
        self.refilled_at = now;
        if rate <= 0.0 {
            return MAX_RETRY_AFTER;
        }
        let missing = amount.min(rate * BURST_S) - self.level;
        Duration::from_secs_f64((missing / rate).clamp(0.0, MAX_RETRY_AFTER.as_secs_f64()))
    }

    /// Consumes `amount` units.
    pub fn consume(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Returns the units consumed beyond the level of the bucket.
    pub fn debt(&self) -> f64 {
        (-self.level).max(0.0)
    }
}

/// Use of the limits by one client account at one gateway.
#[derive(Debug, Clone)]
pub struct Usage {
    requests: Bucket,
    tokens: Bucket,
    open: u64,
    /// Amount that callers requested since the last report, admitted or not.
    offered: Amount,
    demand: Amount,
    reported_at: Time,
}

impl Usage {
    /// Creates the usage of an account that has sent no request yet.
    pub fn new(now: Time, amount: Amount) -> Self {
        Self {
            requests: Bucket::full(now, per_second(amount.requests)),
            tokens: Bucket::full(now, amount.tokens as f64),
            open: 0,
            offered: Amount::default(),
            demand: Amount::default(),
            reported_at: now,
        }
    }

    /// Admits a request of `tokens` tokens under the limits `amount`.
    ///
    /// # Errors
    ///
    /// Fails if the request exceeds a limit, with the limit and the wait before a retry.
    pub fn admit(&mut self, now: Time, amount: Amount, tokens: u64) -> Result<(), Refused> {
        self.offered.requests += 1_000;
        self.offered.tokens += tokens;
        self.offered.open += 1;
        if self.open + 1 > amount.open {
            return refuse(Code::ConcurrencyLimit, OPEN_RETRY_AFTER);
        }
        let wait = self.requests.wait(now, per_second(amount.requests), 1.0);
        if !wait.is_zero() {
            return refuse(Code::RequestLimit, wait);
        }
        let wait = self.tokens.wait(now, amount.tokens as f64, tokens as f64);
        if !wait.is_zero() {
            return refuse(Code::TokenLimit, wait);
        }
        self.requests.consume(1.0);
        self.tokens.consume(tokens as f64);
        self.open += 1;
        Ok(())
    }

    /// Records the end of an admitted request.
    pub fn record_end(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Returns the number of open requests.
    pub fn open(&self) -> u64 {
        self.open
    }

    /// Returns the demand since the last call. It follows an increase at once and a decrease
    /// gradually.
    pub fn demand(&mut self, now: Time, account: &AccountId) -> Demand {
        let seconds = now.since(self.reported_at).as_secs_f64().max(0.001);
        self.reported_at = now;
        let offered = std::mem::take(&mut self.offered);
        let decay = |old: u64| (old as f64 * DEMAND_DECAY) as u64;
        let debt = self.tokens.debt() as u64;
        let observed = Amount {
            requests: (offered.requests as f64 / seconds) as u64,
            tokens: (offered.tokens as f64 / seconds) as u64 + debt,
            open: self.open + offered.open,
        };
        let decayed = Amount {
            requests: decay(self.demand.requests),
            tokens: decay(self.demand.tokens),
            open: decay(self.demand.open),
        };
        self.demand = observed.max_each(decayed);
        Demand {
            account: account.clone(),
            wants: self.demand,
            open: self.open,
        }
    }
}

fn per_second(thousandths: u64) -> f64 {
    thousandths as f64 / 1_000.0
}

fn refuse(code: Code, retry_after: Duration) -> Result<(), Refused> {
    Err(Refused { code, retry_after })
}
