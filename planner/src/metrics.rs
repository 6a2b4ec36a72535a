//! Metrics of the planner.

use hemlock_lib::ids::EntryId;
use hemlock_lib::planner::{Input, Output};
use hemlock_wire::metrics::{Metric, Metrics};

/// Counters and gauges of a planner.
#[derive(Debug)]
pub(crate) struct PlannerMetrics {
    metrics: Metrics,
    entry: EntryId,
}

impl PlannerMetrics {
    pub(crate) fn new(metrics: Metrics, entry: EntryId) -> Self {
        Self { metrics, entry }
    }

    /// Records an input of the state machine. A view updates the gauge of the leases that
    /// this planner holds.
    pub(crate) fn observe_input(&self, input: &Input) {
        if let Input::View(view) = input {
            let leases = view.fleets.values().filter_map(|f| f.lease.as_ref());
            let held_count = leases.filter(|l| l.holder == self.entry).count();
            self.metrics.gauge(Metric::Leases, held_count as u64);
        }
    }

    /// Records an output of the state machine.
    pub(crate) fn observe_output(&self, output: &Output) {
        match output {
            Output::Submit(..) => self.metrics.count(Metric::Submitted),
            Output::Order { .. } => self.metrics.count(Metric::Orders),
        }
    }
}
