//! Admission control: refuses requests that can't meet their deadline before any work is done.

use std::time::Duration;

use crate::endpoint_latency::MovingAverage;
use crate::time::Time;

/// Shortest time over which the rate of a queue is measured.
const RATE_WINDOW: Duration = Duration::from_millis(500);
/// Minimum wait before a retry that a refusal states.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Maximum wait before a retry that a refusal states.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Rate, in tokens a second, at which work leaves a queue that does not run empty.
#[derive(Debug, Clone, Default)]
pub struct DequeueRate {
    rate: MovingAverage,
    dequeued_tokens: u64,
    window_start: Option<Time>,
}

impl DequeueRate {
    /// Counts work that left the queue while other work still waits.
    pub fn record_dequeued(&mut self, now: Time, tokens: u64) {
        let start = *self.window_start.get_or_insert(now);
        let seconds = now.since(start).as_secs_f64();
        if seconds >= RATE_WINDOW.as_secs_f64() {
            self.rate.observe(self.dequeued_tokens as f64 / seconds);
            self.dequeued_tokens = 0;
            self.window_start = Some(now);
        }
        self.dequeued_tokens += tokens;
    }

    /// Restarts the measurement when the queue runs empty, since its rate then depends on arrivals.
    pub fn reset(&mut self) {
        self.dequeued_tokens = 0;
        self.window_start = None;
    }

    /// Returns the expected wait behind `tokens` tokens of work, or `None` before a rate was
    /// measured.
    pub fn expected_wait(&self, tokens: u64) -> Option<Duration> {
        if tokens == 0 {
            return Some(Duration::ZERO);
        }
        let rate = self.rate.get().filter(|r| *r > 0.0)?;
        let seconds = (tokens as f64 / rate).min(1e6);
        Some(Duration::from_secs_f64(seconds))
    }
}

/// Returns the wait before a retry if work that waits for `wait` and then runs for `service` would
/// end after `deadline`; `None` if it is in time.
pub fn retry_after_if_late(
    now: Time,
    deadline: Time,
    wait: Duration,
    service: Duration,
) -> Option<Duration> {
    let end = now + wait + service;
    if end <= deadline {
        return None;
    }
    Some(end.since(deadline).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
}
