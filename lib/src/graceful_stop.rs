//! Phases of a graceful stop.

use std::time::Duration;

use crate::time::Time;

/// Phase of a graceful stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The process has left the address advice, but still serves callers that keep its address.
    Leaving,
    /// New requests are refused; open ones run to their end.
    Draining,
    /// No request is open, or the time limit has passed; the process may end.
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

/// A graceful stop in progress.
#[derive(Debug, Clone, Copy)]
pub struct GracefulStop {
    started: Time,
    keep_for: Duration,
    drain_limit: Duration,
}

impl GracefulStop {
    /// Starts a stop: callers keep the address for `keep_for`, and the drain after it takes at most
    /// `drain_limit`.
    pub fn new(now: Time, keep_for: Duration, drain_limit: Duration) -> Self {
        Self {
            started: now,
            keep_for,
            drain_limit,
        }
    }

    /// Returns the phase at `now` with `open` requests and claim updates still open.
    ///
    /// A second signal does not shorten the stop: only time and open requests count.
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

    /// Returns the latest time at which the process ends.
    pub fn deadline(&self) -> Time {
        self.started + self.keep_for + self.drain_limit
    }
}
