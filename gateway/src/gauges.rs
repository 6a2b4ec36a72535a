//! Metrics of what the gateway does.

use hemlock_lib::gateway::{Input, Output};
use hemlock_lib::stream::DropReason;
use hemlock_wire::metrics::{Metric, Metrics};

/// Counters and gauges of one gateway.
#[derive(Debug)]
pub(crate) struct Gauges {
    metrics: Metrics,
}

impl Gauges {
    pub(crate) fn new(metrics: Metrics) -> Self {
        Self { metrics }
    }

    /// Counts an input of the state machine.
    pub(crate) fn count_input(&self, input: &Input) {
        match input {
            Input::Finished(..) => self.metrics.count(Metric::Answered),
            Input::Left(_) => self.metrics.count(Metric::Left),
            _ => {}
        }
    }

    /// Counts an output of the state machine.
    pub(crate) fn count(&self, output: &Output) {
        match output {
            Output::Dispatch { .. } => self.metrics.count(Metric::Dispatched),
            Output::Refuse { code, .. } => self.metrics.count_by(Metric::Refused, code.name()),
            Output::Replay(..) => self.metrics.count(Metric::Replayed),
            Output::Retry(_, reason) => self.metrics.count_by(Metric::Retried, reason.name()),
            _ => {}
        }
    }

    /// Counts a dropped chunk.
    pub(crate) fn count_dropped(&self, reason: DropReason) {
        self.metrics.count_by(Metric::Dropped, reason.name());
    }

    /// Reports the gauges.
    pub(crate) fn report(&self, open: usize, spare: f64) {
        self.metrics.gauge(Metric::Open, open as u64);
        self.metrics.gauge(Metric::Spare, (spare * 1_000.0) as u64);
    }
}
