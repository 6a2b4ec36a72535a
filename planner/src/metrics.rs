//! Metrics of what the planner does.

use hemlock_lib::ids::EntryId;
use hemlock_lib::planner::{Input, Output};
use hemlock_wire::metrics::{Metric, Metrics};

/// Counters and gauges of one planner.
#[derive(Debug)]
pub(crate) struct Gauges {
    metrics: Metrics,
    entry: EntryId,
}

impl Gauges {
    pub(crate) fn new(metrics: Metrics, entry: EntryId) -> Self {
        Self { metrics, entry }
    }

    /// Reports the leases that a view shows.
    pub(crate) fn count_input(&self, input: &Input) {
        if let Input::View(view) = input {
            let leases = view.fleets.values().filter_map(|f| f.lease.as_ref());
            let own = leases.filter(|l| l.holder == self.entry).count();
            self.metrics.gauge(Metric::Leases, own as u64);
        }
    }

    /// Counts an output of the state machine.
    pub(crate) fn count(&self, output: &Output) {
        match output {
            Output::Submit(..) => self.metrics.count(Metric::Submitted),
            Output::Order { .. } => self.metrics.count(Metric::Orders),
        }
    }
}
