//! Metrics of what the gateway does, and what became of its last requests.

use hemlock_lib::gateway::{Input, Output};
use hemlock_lib::ids::RequestId;
use hemlock_lib::outcomes::{Outcome, Outcomes};
use hemlock_lib::stream::DropReason;
use hemlock_wire::clock;
use hemlock_wire::metrics::{Metric, Metrics};

/// Requests remembered for `hemlock explain`.
const OUTCOMES: usize = 4_096;

/// Counters and gauges of one gateway.
#[derive(Debug)]
pub(crate) struct Gauges {
    metrics: Metrics,
    outcomes: Outcomes,
}

impl Gauges {
    pub(crate) fn new(metrics: Metrics) -> Self {
        Self {
            metrics,
            outcomes: Outcomes::new(OUTCOMES),
        }
    }

    /// Counts an input of the state machine.
    pub(crate) fn count_input(&mut self, input: &Input) {
        self.outcomes.record_input(clock::now(), input);
        match input {
            Input::Finished(..) => self.metrics.count(Metric::Answered),
            Input::CallerLeft(_) => self.metrics.count(Metric::Left),
            _ => {}
        }
    }

    /// Counts an output of the state machine.
    pub(crate) fn count(&mut self, output: &Output) {
        self.outcomes.record_output(output);
        match output {
            Output::Dispatch { .. } => self.metrics.count(Metric::Dispatched),
            Output::Refuse { code, .. } => self.metrics.count_by(Metric::Refused, code.name()),
            Output::Replay(..) => self.metrics.count(Metric::Replayed),
            Output::Retry(_, reason) => self.metrics.count_by(Metric::Retried, reason.name()),
            _ => {}
        }
    }

    /// Returns what became of a request, if it is remembered.
    pub(crate) fn outcome(&self, request: &RequestId) -> Option<Outcome> {
        self.outcomes.get(request).cloned()
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
