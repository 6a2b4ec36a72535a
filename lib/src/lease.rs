//! A planner's own view of one shard's lease.
//!
//! The holder counts from before it sent its last renewal, less the drift that clocks may have. A
//! challenger counts silence only while the log answers, and adds the same drift.

use std::time::Duration;

use crate::chart::{Chart, State};
use crate::ids::Offset;
use crate::time::Time;

/// Longest time between two looks at the lease that counts as silence; a planner that was paused
/// for longer has not listened meanwhile.
const LISTEN_LIMIT: Duration = Duration::from_secs(1);
/// Parts of a lease's length after which a failed append is tried again.
const RETRY_PARTS: u32 = 10;

/// Length of leases and the drift of clocks.
#[derive(Debug, Clone, Copy)]
pub struct LeaseConfig {
    /// Length of a lease.
    pub length: Duration,
    /// Largest drift between two clocks over one lease.
    pub drift: Duration,
    /// Further silence that a planner waits for when another is preferred for the shard.
    pub preference_delay: Duration,
    /// Further silence that every challenger waits for: the longest time for which an engine that
    /// ignores fencing numbers may still take an order of the old holder.
    pub grace: Duration,
}

/// What a planner should do about a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing.
    Wait,
    /// Append a claim or renewal that supersedes this record.
    Append(Option<Offset>),
}

/// How the append of a claim or renewal ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseEnd {
    /// Read back as valid at this offset.
    Won(Offset),
    /// Read back as superseded.
    Superseded,
    /// Not appended, or nobody knows.
    Failed,
}

/// One lease as its planner sees it.
#[derive(Debug)]
pub struct LeaseWatch {
    config: LeaseConfig,
    chart: Chart,
    state: State,
    seen: Option<Offset>,
    won: Option<Offset>,
    silent: Duration,
    checked: Time,
    sent: Option<Time>,
    until: Time,
    retry: Time,
}

impl LeaseWatch {
    /// Makes a watch that interprets the `lease` chart.
    pub fn new(config: LeaseConfig, chart: Chart) -> Self {
        let state = chart.start();
        Self {
            config,
            chart,
            state,
            seen: None,
            won: None,
            silent: Duration::ZERO,
            checked: Time::ZERO,
            sent: None,
            until: Time::ZERO,
            retry: Time::ZERO,
        }
    }

    /// Returns whether orders may be given under the lease.
    pub fn is_held(&self, now: Time) -> bool {
        self.in_state("held") && now < self.until
    }

    /// Looks at the folded lease; `last` is its last record, `mine` whether this planner holds it.
    ///
    /// Returns whether the fold has come as far as the lease that this planner won last; an older
    /// one says nothing about who holds it now.
    pub fn observe(&mut self, now: Time, last: Option<Offset>, mine: bool, log_up: bool) -> bool {
        let gap = now.since(self.checked).min(LISTEN_LIMIT);
        self.checked = now;
        if now >= self.until {
            self.advance("lapse");
        }
        if last < self.won {
            return false;
        }
        if self.seen != last {
            self.seen = last;
            self.silent = Duration::ZERO;
        } else if log_up {
            self.silent += gap;
        }
        if !mine && !self.in_state("claiming") {
            self.advance("lost");
        }
        true
    }

    /// Decides whether to claim or renew.
    pub fn decide(&mut self, now: Time, mine: bool, preferred: bool) -> LeaseStep {
        let waiting = |sent: Time| now.since(sent) < self.config.length;
        if self.sent.is_some_and(waiting) || now < self.retry {
            return LeaseStep::Wait;
        }
        let due = if mine {
            !self.in_state("held") || self.until.since(now) < self.config.length * 2 / 3
        } else {
            let extra = if preferred {
                Duration::ZERO
            } else {
                self.config.preference_delay
            };
            self.silent >= self.patience() + extra
        };
        if !due {
            return LeaseStep::Wait;
        }
        self.sent = Some(now);
        self.advance("claim");
        LeaseStep::Append(self.seen)
    }

    /// Takes the settled end of the append.
    pub fn settled(&mut self, now: Time, end: LeaseEnd) {
        let Some(sent) = self.sent.take() else { return };
        match end {
            LeaseEnd::Won(offset) => {
                self.until = sent + self.config.length.saturating_sub(self.config.drift);
                self.won = Some(offset);
                self.advance("won");
            }
            LeaseEnd::Superseded => self.advance("lost"),
            LeaseEnd::Failed => {
                self.retry = now + self.config.length / RETRY_PARTS;
                self.advance("failed");
            }
        }
    }

    fn patience(&self) -> Duration {
        match self.seen {
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
