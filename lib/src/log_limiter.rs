//! Limits repeated log lines: a few pass, the rest are summarised.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Time;

/// Events told apart at most; further ones share one limit.
const MAX_EVENTS: usize = 256;

/// How many lines of one event pass.
#[derive(Debug, Clone, Copy)]
pub struct LogLimit {
    /// Lines that pass within one span.
    pub lines: u32,
    /// The span.
    pub window: Duration,
}

/// What becomes of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineDecision {
    /// It is written, with the number of lines that were held back before it.
    Write(u64),
    /// It is held back.
    Suppress,
}

#[derive(Debug)]
struct EventWindow {
    start: Time,
    passed: u32,
    suppressed: u64,
}

/// Counts of log lines by event.
#[derive(Debug)]
pub struct LogLimiter {
    config: LogLimit,
    events: BTreeMap<String, EventWindow>,
}

impl LogLimiter {
    /// Makes a limit that has seen nothing yet.
    pub fn new(config: LogLimit) -> Self {
        Self {
            config,
            events: BTreeMap::new(),
        }
    }

    /// Decides about a line of `event` at the time `now`.
    pub fn decide(&mut self, now: Time, event: &str) -> LineDecision {
        let tracked = self.events.contains_key(event) || self.events.len() < MAX_EVENTS;
        let event = if tracked { event } else { "" };
        let window = self.events.entry(event.to_owned()).or_insert(EventWindow {
            start: now,
            passed: 0,
            suppressed: 0,
        });
        if now.since(window.start) >= self.config.window {
            window.start = now;
            window.passed = 0;
        }
        if window.passed >= self.config.lines {
            window.suppressed += 1;
            return LineDecision::Suppress;
        }
        window.passed += 1;
        LineDecision::Write(std::mem::take(&mut window.suppressed))
    }

    /// Lists the events with lines held back in a span that has ended, and forgets the counts.
    pub fn take_summaries(&mut self, now: Time) -> Vec<(String, u64)> {
        let span = self.config.window;
        let due = |s: &EventWindow| s.suppressed > 0 && now.since(s.start) >= span;
        let ended = self.events.iter_mut().filter(|(_, s)| due(s));
        ended
            .map(|(event, s)| (event.clone(), std::mem::take(&mut s.suppressed)))
            .collect()
    }
}
