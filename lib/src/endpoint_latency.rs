//! Latency of one endpoint as a gateway observes it, relative to the pool of the endpoint.

use std::time::Duration;

use crate::time::Time;

/// Weight of a new observation in a moving average.
const OBSERVATION_WEIGHT: f64 = 0.2;
/// Ratio to the pool's latency up to which an endpoint counts as healthy.
const HEALTHY_RATIO: f64 = 1.5;
/// Largest ratio to the pool's latency that one observation counts with.
const MAX_RATIO: f64 = 16.0;
/// Half-life of the slowness of an endpoint that gets no requests, so that it is tried again.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Exponential moving average that starts at its first observation.
#[derive(Debug, Clone, Copy, Default)]
pub struct MovingAverage(Option<f64>);

impl MovingAverage {
    /// Adds an observation.
    pub fn observe(&mut self, value: f64) {
        let old = self.0.unwrap_or(value);
        self.0 = Some(old + OBSERVATION_WEIGHT * (value - old));
    }

    /// Returns the average, or `None` before the first observation.
    pub fn get(&self) -> Option<f64> {
        self.0
    }
}

/// Latency of one endpoint as a multiple of its pool's, decaying to 1 with time.
#[derive(Debug, Clone, Copy)]
pub struct Slowness {
    ratio: f64,
    observed: Time,
}

impl Default for Slowness {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            observed: Time::ZERO,
        }
    }
}

impl Slowness {
    /// Adds an observed latency, to the first token or between tokens; `pool` is the average of the
    /// pool. Both are in seconds.
    pub fn observe(&mut self, now: Time, seconds: f64, pool: f64) {
        if pool <= 0.0 {
            return;
        }
        let old = self.decayed_ratio(now);
        let ratio = (seconds / pool).min(MAX_RATIO);
        self.ratio = old + OBSERVATION_WEIGHT * (ratio - old);
        self.observed = now;
    }

    /// Returns the expected ratio of the endpoint's latency to its pool's now; exactly 1 for a
    /// healthy endpoint.
    pub fn factor(&self, now: Time) -> f64 {
        let ratio = self.decayed_ratio(now);
        if ratio > HEALTHY_RATIO { ratio } else { 1.0 }
    }

    fn decayed_ratio(&self, now: Time) -> f64 {
        let half_lives = now.since(self.observed).as_secs_f64() / HALF_LIFE.as_secs_f64();
        1.0 + (self.ratio - 1.0) * (-half_lives).exp2()
    }
}
