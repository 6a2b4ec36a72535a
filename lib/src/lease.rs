//! A planner's own record of one shard's lease: when it may act under it, and when it may claim it.
//!
//! The holder counts the lease from the time at which it sent its last renewal, less the maximum
//! clock drift. A challenger counts the holder's silence only while the log answers, and adds the
//! same drift.

use std::time::Duration;

use crate::chart::{Chart, State};
use crate::ids::Offset;
use crate::time::Time;

/// Longest time between two observations that counts as silence of the holder; a planner that was
/// paused for longer did not read the log meanwhile.
const MAX_OBSERVATION_GAP: Duration = Duration::from_secs(1);
/// A failed append is tried again after the length of a lease divided by this number.
const RETRY_DIVISOR: u32 = 10;

/// Timing of leases.
#[derive(Debug, Clone, Copy)]
pub struct LeaseConfig {
    /// Length of a lease.
    pub length: Duration,
    /// Maximum drift between two clocks during one lease.
    pub drift: Duration,
    /// Additional silence of the holder before a planner claims a shard for which another planner
    /// is preferred.
    pub preference_delay: Duration,
    /// Additional silence of the holder before any challenger claims: the longest time for which an
    /// engine that ignores fencing tokens may still accept an order of the old holder.
    pub grace: Duration,
}

/// What the planner is to do about the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseAction {
    /// Append nothing now.
    Wait,
    /// Append a claim or renewal that supersedes the lease record at this offset, or the first
    /// claim if it is `None`.
    Append(Option<Offset>),
}

/// How the append of a claim or renewal ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseOutcome {
    /// The record was read back as valid at this offset.
    Won(Offset),
    /// The record was read back as superseded by another one.
    Superseded,
    /// The record was not appended, or its outcome is unknown.
    Failed,
}

/// State of one lease as its planner observes it.
#[derive(Debug)]
pub struct LeaseTracker {
    config: LeaseConfig,
    chart: Chart,
    state: State,
    /// Offset of the last lease record that was observed.
    last_record: Option<Offset>,
    /// Offset of the last lease record by which this planner held the lease.
    won_record: Option<Offset>,
    /// Time for which no new lease record was observed while the log answered.
    holder_silence: Duration,
    observed_at: Time,
    /// Time at which the claim or renewal was sent whose outcome is awaited.
    sent: Option<Time>,
    held_until: Time,
    retry_at: Time,
}

impl LeaseTracker {
    /// Creates the state of a lease that was not observed yet; `chart` is the `lease` state chart.
    pub fn new(config: LeaseConfig, chart: Chart) -> Self {
        let state = chart.start();
        Self {
            config,
            chart,
            state,
            last_record: None,
            won_record: None,
            holder_silence: Duration::ZERO,
            observed_at: Time::ZERO,
            sent: None,
            held_until: Time::ZERO,
            retry_at: Time::ZERO,
        }
    }

    /// Returns whether the planner may give orders under the lease.
    pub fn is_held(&self, now: Time) -> bool {
        self.in_state("held") && now < self.held_until
    }

    /// Observes the folded lease: `last` is the offset of its last record, and `mine` tells whether
    /// this planner holds it.
    ///
    /// Returns whether the fold includes the lease record that this planner won last; an older fold
    /// does not tell who holds the lease now.
    pub fn observe(&mut self, now: Time, last: Option<Offset>, mine: bool, log_up: bool) -> bool {
        let gap = now.since(self.observed_at).min(MAX_OBSERVATION_GAP);
        self.observed_at = now;
        if now >= self.held_until {
            self.advance("lapse");
        }
        if last < self.won_record {
            return false;
        }
        if self.last_record != last {
            self.last_record = last;
            self.holder_silence = Duration::ZERO;
        } else if log_up {
            self.holder_silence += gap;
        }
        if !mine && !self.in_state("claiming") {
            self.advance("lost");
        }
        true
    }

    /// Decides whether to claim or renew the lease; `preferred` tells whether this planner is the
    /// preferred one for the shard.
    pub fn decide(&mut self, now: Time, mine: bool, preferred: bool) -> LeaseAction {
        let awaits_outcome = |sent: Time| now.since(sent) < self.config.length;
        if self.sent.is_some_and(awaits_outcome) || now < self.retry_at {
            return LeaseAction::Wait;
        }
        let due = if mine {
            !self.in_state("held") || self.held_until.since(now) < self.config.length * 2 / 3
        } else {
            let extra = if preferred {
                Duration::ZERO
            } else {
                self.config.preference_delay
            };
            self.holder_silence >= self.required_silence() + extra
        };
        if !due {
            return LeaseAction::Wait;
        }
        self.sent = Some(now);
        self.advance("claim");
        LeaseAction::Append(self.last_record)
    }

    /// Handles the outcome of the append that `decide` asked for.
    pub fn handle_outcome(&mut self, now: Time, outcome: LeaseOutcome) {
        let Some(sent) = self.sent.take() else { return };
        match outcome {
            LeaseOutcome::Won(offset) => {
                self.held_until = sent + self.config.length.saturating_sub(self.config.drift);
                self.won_record = Some(offset);
                self.advance("won");
            }
            LeaseOutcome::Superseded => self.advance("lost"),
            LeaseOutcome::Failed => {
                self.retry_at = now + self.config.length / RETRY_DIVISOR;
                self.advance("failed");
            }
        }
    }

    fn required_silence(&self) -> Duration {
        match self.last_record {
            Some(_) => self.config.length + self.config.drift + self.config.grace,
            None => Duration::ZERO,
        }
    }

    fn in_state(&self, name: &str) -> bool {
        self.chart.state_name(self.state) == name
    }

    fn advance(&mut self, event: &str) {
        let next = self
            .chart
            .event(event)
            .and_then(|e| self.chart.next(self.state, e));
        self.state = next.unwrap_or(self.state);
    }
}
