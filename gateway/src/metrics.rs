//! Metrics of the gateway and the outcomes of its last requests.

use hemlock_lib::gateway::{Input, Output};
use hemlock_lib::ids::RequestId;
use hemlock_lib::outcomes::{Outcome, Outcomes};
use hemlock_lib::stream::DropReason;
use hemlock_wire::clock;
use hemlock_wire::metrics::{Metric, Metrics};

/// Number of last requests whose outcomes are remembered for `hemlock explain`.
const OUTCOME_CAPACITY: usize = 4_096;

/// Counters and gauges of a gateway, with the outcomes of its last requests.
#[derive(Debug)]
pub(crate) struct GatewayMetrics {
    metrics: Metrics,
    outcomes: Outcomes,
}

impl GatewayMetrics {
    pub(crate) fn new(metrics: Metrics) -> Self {
        Self {
            metrics,
            outcomes: Outcomes::new(OUTCOME_CAPACITY),
        }
    }

    /// Records an input of the state machine.
    pub(crate) fn observe_input(&mut self, input: &Input) {
        self.outcomes.record_input(clock::now(), input);
        match input {
            Input::Finished(..) => self.metrics.count(Metric::Answered),
            Input::CallerLeft(_) => self.metrics.count(Metric::Left),
            _ => {}
        }
    }

    /// Records an output of the state machine.
    pub(crate) fn observe_output(&mut self, output: &Output) {
        self.outcomes.record_output(output);
        match output {
            Output::Dispatch { .. } => self.metrics.count(Metric::Dispatched),
            Output::Refuse { code, .. } => self.metrics.count_by(Metric::Refused, code.name()),
            Output::Replay(..) => self.metrics.count(Metric::Replayed),
            Output::Retry(_, reason) => self.metrics.count_by(Metric::Retried, reason.name()),
            _ => {}
        }
    }

    /// Returns the outcome of a request, or `None` if it is not remembered.
    pub(crate) fn outcome(&self, request: &RequestId) -> Option<Outcome> {
        self.outcomes.get(request).cloned()
    }

    /// Counts a chunk that was dropped from an answer.
    pub(crate) fn count_dropped(&self, reason: DropReason) {
        self.metrics.count_by(Metric::Dropped, reason.name());
    }

    /// Sends the gauges: the number of open requests and the spare share of capacity.
    ///
    /// `spare` is from 0 to 1 and is sent in thousandths.
    pub(crate) fn report_gauges(&self, open: usize, spare: f64) {
        self.metrics.gauge(Metric::Open, open as u64);
        self.metrics.gauge(Metric::Spare, (spare * 1_000.0) as u64);
    }
}
