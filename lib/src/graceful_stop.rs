//! Phases of a graceful stop.

use std::time::Duration;

use crate::time::Time;

/// How far a graceful stop is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Out of the address advice, but callers that keep the address are still served.
    Leaving,
    /// New requests are refused; open ones run to their end.
    Draining,
    /// Nothing is open, or the stated deadline has passed.
    Finished,
}

impl Phase {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Draining => "draining",
            Self::Finished => "gone",
        }
    }
}

/// A graceful stop under way.
#[derive(Debug, Clone, Copy)]
pub struct GracefulStop {
    started: Time,
    keep_for: Duration,
    drain_limit: Duration,
}

impl GracefulStop {
    /// Starts a stop: callers keep the address for `keep_for`, and `limit` after that it ends.
    pub fn new(now: Time, keep_for: Duration, drain_limit: Duration) -> Self {
        Self {
            started: now,
            keep_for,
            drain_limit,
        }
    }

    /// Returns the phase at `now` with `open` requests and claims.
    ///
    /// Another signal does not shorten it: only time and the open requests count.
    pub fn phase(&self, now: Time, open: usize) -> Phase {
        let elapsed = now.since(self.started);
        if elapsed < self.keep_for {
            return Phase::Leaving;
        }
        if open == 0 || elapsed >= self.keep_for + self.drain_limit {
            return Phase::Finished;
        }
        Phase::Draining
    }

    /// Returns when the process ends at the latest.
    pub fn deadline(&self) -> Time {
        self.started + self.keep_for + self.drain_limit
    }
}
