//! Rate limit of log lines by event: the first lines of a window pass, the rest are counted.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Time;

/// Maximum number of events with a limit of their own; further events share one limit.
const MAX_EVENTS: usize = 256;

/// Rate limit of the log lines of one event.
#[derive(Debug, Clone, Copy)]
pub struct LogLimit {
    /// Maximum number of lines that pass within one window.
    pub lines: u32,
    /// Length of the window.
    pub window: Duration,
}

/// Decision about a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineDecision {
    /// The line is written; before it, this many lines of the event were suppressed.
    Write(u64),
    /// The line is suppressed.
    Suppress,
}

#[derive(Debug)]
struct EventWindow {
    start: Time,
    passed: u32,
    suppressed: u64,
}

/// Rate limiter with the state of each event.
#[derive(Debug)]
pub struct LogLimiter {
    config: LogLimit,
    events: BTreeMap<String, EventWindow>,
}

impl LogLimiter {
    /// Creates a limiter that has counted no lines.
    pub fn new(config: LogLimit) -> Self {
        Self {
            config,
            events: BTreeMap::new(),
        }
    }

    /// Decides whether a line of `event` is written at the time `now`.
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

    /// Returns each event whose window has ended with suppressed lines, with their number, and
    /// resets that number.
    pub fn take_summaries(&mut self, now: Time) -> Vec<(String, u64)> {
        let window = self.config.window;
        let due = |s: &EventWindow| s.suppressed > 0 && now.since(s.start) >= window;
        let ended = self.events.iter_mut().filter(|(_, s)| due(s));
        ended
            .map(|(event, s)| (event.clone(), std::mem::take(&mut s.suppressed)))
            .collect()
    }
}
