//! Pace of one endpoint as seen by a gateway, beside that of its whole pool.

use std::time::Duration;

use crate::time::Time;

/// Weight of a new observation in a moving average.
const OBSERVATION_WEIGHT: f64 = 0.2;
/// Ratio to the pool's pace below which an endpoint counts as sound.
const HEALTHY_RATIO: f64 = 1.5;
/// Largest slowness that one observation may claim.
const MAX_RATIO: f64 = 16.0;
/// Time in which the slowness of an endpoint that is not observed halves, so that it is tried again.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Moving average that takes its first observation as it is.
#[derive(Debug, Clone, Copy, Default)]
pub struct MovingAverage(Option<f64>);

impl MovingAverage {
    /// Takes an observation.
    pub fn observe(&mut self, value: f64) {
        let old = self.0.unwrap_or(value);
        self.0 = Some(old + OBSERVATION_WEIGHT * (value - old));
    }

    /// Returns the average, or `None` before the first observation.
    pub fn get(&self) -> Option<f64> {
        self.0
    }
}

/// Slowness of one endpoint relative to its pool.
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
    /// Takes an observed time, of a first token or between tokens, beside the pool's average.
    pub fn observe(&mut self, now: Time, seconds: f64, pool: f64) {
        if pool <= 0.0 {
            return;
        }
        let old = self.decayed_ratio(now);
        let ratio = (seconds / pool).min(MAX_RATIO);
        self.ratio = old + OBSERVATION_WEIGHT * (ratio - old);
        self.observed = now;
    }

    /// Returns how many times slower the endpoint is expected to be now; 1 for a sound one.
    pub fn factor(&self, now: Time) -> f64 {
        let ratio = self.decayed_ratio(now);
        if ratio > HEALTHY_RATIO { ratio } else { 1.0 }
    }

    fn decayed_ratio(&self, now: Time) -> f64 {
        let half_lives = now.since(self.observed).as_secs_f64() / HALF_LIFE.as_secs_f64();
        1.0 + (self.ratio - 1.0) * (-half_lives).exp2()
    }
}
