//! Early refusal: work whose deadline can't be met is refused before any of it is done.

use std::time::Duration;

use crate::endpoint_latency::MovingAverage;
use crate::time::Time;

/// Time over which the pace of a queue is measured.
const WINDOW: Duration = Duration::from_millis(500);
/// Shortest wait that a refused caller is told.
const AFTER_MIN: Duration = Duration::from_millis(200);
/// Longest wait that a refused caller is told.
const AFTER_MAX: Duration = Duration::from_secs(30);

/// Pace at which a queue that does not run empty hands out work.
#[derive(Debug, Clone, Default)]
pub struct QueuePace {
    rate: MovingAverage,
    handed: u64,
    since: Option<Time>,
}

impl QueuePace {
    /// Counts work handed out from a queue in which more waits.
    pub fn handed(&mut self, now: Time, tokens: u64) {
        let since = *self.since.get_or_insert(now);
        let seconds = now.since(since).as_secs_f64();
        if seconds >= WINDOW.as_secs_f64() {
            self.rate.observe(self.handed as f64 / seconds);
            self.handed = 0;
            self.since = Some(now);
        }
        self.handed += tokens;
    }

    /// Takes the news that the queue ran empty, so that its pace can't be seen.
    pub fn emptied(&mut self) {
        self.handed = 0;
        self.since = None;
    }

    /// Returns the wait behind `tokens` tokens of work, or `None` before the pace was seen.
    pub fn wait(&self, tokens: u64) -> Option<Duration> {
        if tokens == 0 {
            return Some(Duration::ZERO);
        }
        let rate = self.rate.get().filter(|r| *r > 0.0)?;
        let seconds = (tokens as f64 / rate).min(1e6);
        Some(Duration::from_secs_f64(seconds))
    }
}

/// Returns the wait before the next try if work that waits `wait` and then takes `service` is late.
pub fn late(now: Time, deadline: Time, wait: Duration, service: Duration) -> Option<Duration> {
    let end = now + wait + service;
    if end <= deadline {
        return None;
    }
    Some(end.since(deadline).clamp(AFTER_MIN, AFTER_MAX))
}
