//! Metrics of the agent and of the views that it serves.

use std::time::{Duration, Instant};

use hemlock_lib::agent::Output;
use hemlock_lib::peers::Settled;
use hemlock_lib::shortage::Shortages;
use hemlock_lib::view::{Health, View};
use hemlock_wire::clock;
use hemlock_wire::metrics::{Metric, Metrics};

/// Shortest time between two reports of the gauges.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Counters and gauges of an agent.
#[derive(Debug)]
pub(crate) struct AgentMetrics {
    metrics: Metrics,
    shortages: Shortages,
    next_report: Instant,
}

impl AgentMetrics {
    pub(crate) fn new(metrics: Metrics) -> Self {
        Self {
            metrics,
            shortages: Shortages::default(),
            next_report: Instant::now(),
        }
    }

    /// Records an output of the state machine. A published view updates the gauges once they are
    /// due.
    pub(crate) fn observe_output(&mut self, output: &Output) {
        match output {
            Output::Append(..) => self.metrics.count(Metric::Appends),
            Output::Probe(_) => self.metrics.count(Metric::Probes),
            Output::Send { .. } => self.metrics.count(Metric::Datagrams),
            Output::Settle(_, settled) => self
                .metrics
                .count_by(Metric::Settled, settled_label(settled)),
            Output::Publish(view) if Instant::now() >= self.next_report => {
                self.next_report = Instant::now() + GAUGE_INTERVAL;
                self.report_gauges(view);
            }
            _ => {}
        }
    }

    fn report_gauges(&mut self, view: &View) {
        let live_entries = view.entries.iter().filter(|e| e.live).count();
        let live_vms = view.vms.values().filter(|s| s.health == Health::Live);
        self.metrics.gauge(Metric::LogUp, u64::from(view.log_up));
        for (kind, count) in alarm_counts(view) {
            self.metrics.gauge_by(Metric::Alarms, kind, count);
        }
        self.metrics.gauge(Metric::ConfigOffset, view.table.next.0);
        self.metrics.gauge(Metric::EntriesLive, live_entries as u64);
        self.metrics.gauge(Metric::VmsLive, live_vms.count() as u64);
        self.shortages.observe(clock::now(), view);
        for (group, shortage) in self.shortages.iter() {
            self.metrics
                .gauge_by(Metric::GroupWanted, group, shortage.wanted);
            self.metrics
                .gauge_by(Metric::GroupServing, group, shortage.serving);
            self.metrics
                .gauge_by(Metric::GroupDowntime, group, shortage.downtime_ms);
            self.metrics
                .gauge_by(Metric::GroupStranded, group, shortage.stranded);
        }
        self.metrics
            .gauge(Metric::Unwanted, self.shortages.surplus_accelerators());
    }
}

/// Returns the kinds of alarms with their counts.
fn alarm_counts(view: &View) -> [(&'static str, u64); 5] {
    let alarms = &view.alarms;
    [
        ("gaps", alarms.gaps),
        ("regressions", alarms.regressions),
        ("undecodable", alarms.undecodable),
        ("divergences", alarms.divergences),
        ("unsound", alarms.unsound),
    ]
}

/// Returns the part of the metric name that tells how a record was settled.
fn settled_label(settled: &Settled) -> &'static str {
    match settled {
        Settled::Accepted { .. } => "accepted",
        Settled::ConfigRefused(_) => "config_refused",
        Settled::FleetRefused(_) => "fleet_refused",
        Settled::ClaimTaken { .. } => "claim_taken",
        Settled::ClaimExpired => "claim_expired",
        Settled::ClaimFree => "claim_free",
        Settled::ConfigInvalid(_) => "config_invalid",
        Settled::Gap => "gap",
        Settled::NotAppended => "not_appended",
        Settled::Unknown => "unknown",
    }
}
