//! Metrics of what the agent does and of the views that it serves.

use std::time::{Duration, Instant};

use hemlock_lib::agent::Output;
use hemlock_lib::peers::Settled;
use hemlock_lib::shortage::Shortages;
use hemlock_lib::view::{Health, View};
use hemlock_wire::clock;
use hemlock_wire::metrics::{Metric, Metrics};

/// Time between two reports of the gauges.
const EVERY: Duration = Duration::from_secs(1);

/// Counters and gauges of one agent.
#[derive(Debug)]
pub(crate) struct Gauges {
    metrics: Metrics,
    shortages: Shortages,
    next: Instant,
}

impl Gauges {
    pub(crate) fn new(metrics: Metrics) -> Self {
        Self {
            metrics,
            shortages: Shortages::default(),
            next: Instant::now(),
        }
    }

    /// Counts an output of the state machine.
    pub(crate) fn count(&mut self, output: &Output) {
        match output {
            Output::Append(..) => self.metrics.count(Metric::Appends),
            Output::Probe(_) => self.metrics.count(Metric::Probes),
            Output::Send { .. } => self.metrics.count(Metric::Datagrams),
            Output::Settle(_, settled) => self.metrics.count_by(Metric::Settled, end(settled)),
            Output::Publish(view) if Instant::now() >= self.next => {
                self.next = Instant::now() + EVERY;
                self.report(view);
            }
            _ => {}
        }
    }

    fn report(&mut self, view: &View) {
        let live = view.entries.iter().filter(|e| e.live).count();
        let vms = view.vms.values().filter(|s| s.health == Health::Live);
        self.metrics.gauge(Metric::LogUp, u64::from(view.log_up));
        for (kind, count) in alarms(view) {
            self.metrics.gauge_by(Metric::Alarms, kind, count);
        }
        self.metrics.gauge(Metric::ConfigOffset, view.table.next.0);
        self.metrics.gauge(Metric::EntriesLive, live as u64);
        self.metrics.gauge(Metric::VmsLive, vms.count() as u64);
        self.shortages.observe(clock::now(), view);
        for (group, s) in self.shortages.iter() {
            self.metrics.gauge_by(Metric::GroupWanted, group, s.wanted);
            self.metrics
                .gauge_by(Metric::GroupServing, group, s.serving);
            self.metrics
                .gauge_by(Metric::GroupDowntime, group, s.downtime_ms);
            self.metrics
                .gauge_by(Metric::GroupStranded, group, s.stranded);
        }
        self.metrics
            .gauge(Metric::Unwanted, self.shortages.surplus_accelerators());
    }
}

fn alarms(view: &View) -> [(&'static str, u64); 5] {
    let alarms = &view.alarms;
    [
        ("gaps", alarms.gaps),
        ("regressions", alarms.regressions),
        ("undecodable", alarms.undecodable),
        ("divergences", alarms.divergences),
        ("unsound", alarms.unsound),
    ]
}

fn end(settled: &Settled) -> &'static str {
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
