//! Counters and latency histograms, served as text.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Longest latency that a histogram holds, in microseconds; longer ones count as this.
const LONGEST_US: u64 = 60_000_000;
/// Significant digits of a histogram.
const DIGITS: u8 = 2;
/// Quantiles that are served.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// A latency that is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Latency {
    /// From the request to the first event of its stream.
    FirstEvent,
    /// Between two events of a stream.
    Pause,
    /// From the request to the end of its answer.
    Whole,
}

impl Latency {
    fn name(self) -> &'static str {
        match self {
            Self::FirstEvent => "first_event",
            Self::Pause => "pause",
            Self::Whole => "whole",
        }
    }
}

/// The metrics of a process.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    counters: RefCell<BTreeMap<(&'static str, &'static str), u64>>,
    latencies: RefCell<BTreeMap<(Latency, &'static str), Histogram<u32>>>,
}

impl Metrics {
    /// Counts one event of a kind.
    pub(crate) fn count(&self, name: &'static str, kind: &'static str) {
        *self.counters.borrow_mut().entry((name, kind)).or_default() += 1;
    }

    /// Records a latency of a request with an outcome.
    pub(crate) fn record(&self, latency: Latency, outcome: &'static str, time: Duration) {
        let mut latencies = self.latencies.borrow_mut();
        let new = || Histogram::new_with_bounds(1, LONGEST_US, DIGITS);
        let histogram = match latencies.entry((latency, outcome)) {
            std::collections::btree_map::Entry::Occupied(e) => e.into_mut(),
            std::collections::btree_map::Entry::Vacant(e) => match new() {
                Ok(histogram) => e.insert(histogram),
                Err(error) => {
                    log::error!("event=histogram_failed cause=\"{error}\"");
                    return;
                }
            },
        };
        histogram.saturating_record((time.as_micros() as u64).clamp(1, LONGEST_US));
    }

    /// Renders all metrics, with the gauges given.
    pub(crate) fn render(&self, gauges: &[(&str, f64)]) -> String {
        let mut out = String::new();
        for ((name, kind), value) in self.counters.borrow().iter() {
            let _ = writeln!(out, "hemlock_{name}_total{{kind=\"{kind}\"}} {value}");
        }
        for ((latency, outcome), h) in self.latencies.borrow().iter() {
            let name = latency.name();
            for q in QUANTILES {
                let seconds = h.value_at_quantile(q) as f64 / 1e6;
                let _ = writeln!(
                    out,
                    "hemlock_{name}_seconds{{outcome=\"{outcome}\",quantile=\"{q}\"}} {seconds}"
                );
            }
            let _ = writeln!(
                out,
                "hemlock_{name}_seconds_count{{outcome=\"{outcome}\"}} {}",
                h.len()
            );
        }
        for (name, value) in gauges {
            let _ = writeln!(out, "hemlock_{name} {value}");
        }
        out
    }
}
