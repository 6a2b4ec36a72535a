//! A planner's own view of one shard's lease.
//!
//! The holder counts from before it sent its last renewal, less the drift that clocks may have. A
//! challenger counts silence only while the log answers, and adds the same drift.

use std::time::Duration;

use crate::chart::{Chart, State};
use crate::ids::Offset;
use crate::time::Time;

/// Length of leases and the drift of clocks.
#[derive(Debug, Clone, Copy)]
pub struct LeaseConfig {
    /// Length of a lease.
    pub length: Duration,
    /// Largest drift between two clocks over one lease.
    pub drift: Duration,
    /// Further silence that a planner waits for when another is preferred for the shard.
    pub courtesy: Duration,
}

/// What a planner should do about a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing.
    Wait,
    /// Append a claim or renewal that supersedes this record.
    Append(Option<Offset>),
}

/// One lease as its planner sees it.
#[derive(Debug)]
pub struct LeaseWatch {
    config: LeaseConfig,
    chart: Chart,
    state: State,
    seen: Option<Offset>,
    silent: Duration,
    checked: Time,
    sent: Option<Time>,
    until: Time,
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
            silent: Duration::ZERO,
            checked: Time::ZERO,
            sent: None,
            until: Time::ZERO,
        }
    }

    /// Returns whether orders may be given under the lease.
    pub fn is_held(&self, now: Time) -> bool {
        self.in_state("held") && now < self.until
    }

    /// Looks at the folded lease; `last` is its last record, `mine` whether this planner holds it.
    pub fn observe(&mut self, now: Time, last: Option<Offset>, mine: bool, log_up: bool) {
        let gap = now.since(self.checked);
        self.checked = now;
        if self.seen != last {
            self.seen = last;
            self.silent = Duration::ZERO;
        } else if log_up {
            self.silent += gap;
        }
        if !mine {
            self.advance("lost");
        } else if now >= self.until {
            self.advance("lapse");
        }
    }

    /// Decides whether to claim or renew.
    pub fn decide(&mut self, now: Time, mine: bool, preferred: bool) -> LeaseStep {
        if self.sent.is_some() {
            return LeaseStep::Wait;
        }
        let due = if mine {
            self.until.since(now) < self.config.length * 2 / 3
        } else {
            let extra = if preferred {
                Duration::ZERO
            } else {
                self.config.courtesy
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

    /// Takes the settled end of the append; `won` says that the record was read back as valid.
    pub fn settled(&mut self, won: bool) {
        let Some(sent) = self.sent.take() else { return };
        if won {
            self.until = sent + (self.config.length - self.config.drift);
            self.advance("won");
            self.advance("renewed");
        } else {
            self.advance("lost");
        }
    }

    fn patience(&self) -> Duration {
        match self.seen {
            Some(_) => self.config.length + self.config.drift,
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
