//! Limits of one client account as one gateway enforces them.

use crate::codes::Code;
use crate::table::AccountRow;
use crate::time::Time;

/// Seconds of its rate that an account may use at once.
const BURST_S: f64 = 1.0;

/// A rate limit that refills with time.
#[derive(Debug, Clone)]
pub struct Bucket {
    level: f64,
    filled: Time,
}

impl Bucket {
    /// Makes a full bucket for `rate` units a second.
    pub fn full(now: Time, rate: f64) -> Self {
        Self {
            level: rate * BURST_S,
            filled: now,
        }
    }

    /// Takes `amount` if the bucket has it.
    pub fn take(&mut self, now: Time, rate: f64, amount: f64) -> bool {
        let gained = now.since(self.filled).as_secs_f64() * rate;
        self.level = (self.level + gained).min(rate * BURST_S);
        self.filled = now;
        let enough = self.level >= amount.min(rate * BURST_S);
        if enough {
            self.level -= amount;
        }
        enough
    }
}

/// Use of one account at one gateway.
#[derive(Debug, Clone)]
pub struct Usage {
    requests: Bucket,
    tokens: Bucket,
    open: u32,
}

impl Usage {
    /// Makes the usage of an account that has sent nothing yet.
    pub fn new(now: Time, row: &AccountRow, share: f64) -> Self {
        let requests = Bucket::full(now, row.requests * share);
        let tokens = Bucket::full(now, row.tokens * share);
        Self {
            requests,
            tokens,
            open: 0,
        }
    }

    /// Admits a request of `tokens` tokens or names the limit that it breaks.
    pub fn admit(
        &mut self,
        now: Time,
        row: &AccountRow,
        share: f64,
        tokens: f64,
    ) -> Result<(), Code> {
        if f64::from(self.open) + 1.0 > (f64::from(row.concurrency) * share).max(1.0) {
            return Err(Code::ConcurrencyLimit);
        }
        if !self.requests.take(now, row.requests * share, 1.0) {
            return Err(Code::RequestLimit);
        }
        if !self.tokens.take(now, row.tokens * share, tokens) {
            return Err(Code::TokenLimit);
        }
        self.open += 1;
        Ok(())
    }

    /// Takes the end of an admitted request.
    pub fn ended(&mut self) {
        self.open = self.open.saturating_sub(1);
    }
}
