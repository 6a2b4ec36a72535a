//! Counters, gauges and latency histograms, served as text.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Largest latency that a histogram can record, in microseconds; larger ones are recorded as this.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Number of significant decimal digits that a histogram keeps.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Quantiles that are served for each latency.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

macro_rules! counters {
    ($($name:ident $text:literal $meaning:literal;)*) => {
        /// A counter. The kind of an event is given when it is counted.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
        pub(crate) enum Counter {
            $(#[doc = $meaning] $name,)*
        }

        impl Counter {
            /// All counters.
            const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the name under which the counter is served.
            fn name(self) -> &'static str {
                match self { $(Self::$name => concat!("hemlock_", $text, "_total"),)* }
            }
        }
    };
}

counters! {
    AcceptsFailed "accepts_failed" "Connections that could not be accepted.";
    Answered "answered" "Requests answered by an endpoint, by success or failure.";
    BreaksAll "breaks_all" "Times that a group broke off several requests in a row before a byte.";
    BrokenOff "broken_off" "Streams that were cut off before their end, by cause.";
    Connects "connects" "New connections to endpoints.";
    CrashReports "crash_reports" "Reports of crashes in the heartbeats of other VMs, with repeats.";
    DatagramsReceived "datagrams_received" "Datagrams that were read, by what they carry.";
    DatagramsRefused "datagrams_refused" "Datagrams that could not be read.";
    DatagramsSent "datagrams_sent" "Datagrams to other VMs, by what they carry.";
    DatagramBytes "datagram_bytes" "Bytes of the datagrams to other VMs, by what they carry.";
    Denied "denied" "Requests that the configuration does not allow, by whether the route or the key is unknown.";
    EarlyHeartbeats "early_heartbeats" "Heartbeats to all VMs before the interval has passed.";
    EntriesIgnored "entries_ignored" "Entries of endpoints that were not applied, by whether they are older than what is known (outdated) or of a start that may be earlier (unconfirmed).";
    EvacuationChanges "evacuation_changes" "Changes of the evacuations of zones, by kind.";
    LeaseChanges "duty_changes" "Times that this VM gained or lost the planner's lease.";
    EventsLate "events_late" "First events that took over twice the time expected, by whether a slot was expected to be free, doubtful or waited for.";
    Failed "failed" "Requests that may have run and ended with 502 or 504, by cause.";
    FeedBytes "feed_bytes" "Bytes of records sent to peers that read through this VM, by topic.";
    FeedReadsFailed "feed_reads_failed" "Reads of a topic that failed, by what was read.";
    FirstEvents "first_events" "First events of streams, by whether the prompt is longer than the engine reads in one step (long, short) and whether the event was in time (in_time, late).";
    ForeignAnswers "foreign_answers" "Responses to other requests, which were skipped.";
    GivenUp "given_up" "Requests that ended without their answer after an endpoint or a peer that had them was silent and gave no other sign of a failure, by cause.";
    Left "left" "Requests whose caller disconnected before the end of the answer, by whether they were sent before.";
    LimitChanges "limit_changes" "Changes of the limits that endpoints announce, by kind.";
    LogDropped "log_dropped" "Log lines dropped because the buffer was full.";
    OrdersDropped "orders_dropped" "Orders that were not sent, since the engine or the lease was not as the plan assumed, by which of them.";
    Orders "orders" "Orders to engines, by action.";
    MemoryRefused "memory_refused" "Times that there was no memory for what a caller sent, by what it was.";
    PassedOn "passed_on" "Requests that this VM passed on to peers, by outcome.";
    PathChanges "path_changes" "Times that the path of this VM to the endpoints changed its state, by the new state.";
    PathProbes "path_probes" "Probes of endpoints to learn whether this VM reaches them, by outcome.";
    PathQueries "path_queries" "Queries between entry VMs whether they reach endpoints, sent and received.";
    Placed "placed" "Requests sent to endpoints, by whether a slot was free, doubtful or waited for there.";
    Probes "probes" "Probes of engines of silent groups, by outcome.";
    Quarantined "quarantined" "Parts of prompts whose requests are refused because they crash endpoints.";
    Refused "refused" "Requests refused before they ran, by cause.";
    Retries "repeated" "Retries, by the cause of the preceding failure.";
    RetriesDenied "repeats_denied" "Retries that the retry budget did not allow, by the cause of the preceding failure.";
    StrangersDenied "strangers_denied" "Requests at the peer listener that did not come from an entry VM.";
    TakenOver "taken_over" "Requests that peers passed on to this VM, by outcome.";
    SendsFailed "sends_failed" "Sends that ended without an answer, by cause.";
    SendsHeld "sends_held" "Sends that were held open since their endpoint or peer was silent, by cause.";
    SendsResumed "sends_resumed" "Sends that went on to be relayed after they were held, by the cause for which they were.";
    Silent "silent" "Times that an endpoint was found to send nothing for too long.";
    Standstills "standstills" "Times that this process was not run for half a second or longer.";
    StoreChanges "store_changes" "Times that the store was lost or regained.";
    StoreReads "store_reads" "Reads of the store, by topic.";
    WarmUps "warm_ups" "Warm-ups of endpoints that this VM heard of, and malformed values.";
}

/// A measured latency.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Latency {
    /// From the arrival of a request to the first event of its stream.
    FirstEvent,
    /// Between two events of a stream.
    EventGap,
    /// From the arrival of a request to its end.
    Whole,
    /// From the time at which a timer of this process was due to the time at which it fired.
    TimerDelay,
}

impl Latency {
    fn name(self) -> &'static str {
        match self {
            Self::FirstEvent => "first_event",
            Self::EventGap => "pause",
            Self::Whole => "whole",
            Self::TimerDelay => "timer_delay",
        }
    }
}

/// A value that is read when the metrics are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Gauge {
    /// Requests whose head was read and which have not ended.
    OpenRequests,
    /// Whether this VM accepts callers.
    Ready,
    /// Whether the store answers, directly or through a peer.
    StoreUp,
    /// Whether this VM is the planner.
    IsPlanner,
    /// Entry VMs that are alive, including this one.
    EntryVms,
    /// Endpoints that accept requests.
    ServingEndpoints,
    /// Version of the configuration in force.
    ConfigVersion,
    /// Bytes that open requests may hold.
    MemoryBudget,
    /// Bytes that bodies of open requests hold.
    BodyBytes,
    /// Bytes that answers hold that are read whole, with their copies.
    AnswerBytes,
    /// Bytes that connections from outside have received and not yet parsed.
    BufferedBytes,
    /// Number of times that the store came back from an older copy, as far as this VM knows.
    StoreEra,
    /// Whether this VM reaches endpoints: 1 if it does, 0.5 if that is doubtful, 0 if it is cut off.
    PathUp,
    /// Peers that said recently that they reach endpoints.
    PeersWithPath,
    /// Endpoints with a limit on their requests that holds.
    LimitedEndpoints,
    /// Endpoints that warm up.
    WarmingEndpoints,
    /// Zones that the operators have evacuated.
    EvacuatedZones,
    /// Engines that may be used and are in no group that serves or is about to; zero at VMs that are
    /// not the planner.
    IdleEngines,
    /// Largest part that this VM has used of what it could retry at a service.
    RetryShareUsed,
}

impl Gauge {
    const ALL: [Self; 19] = [
        Self::OpenRequests,
        Self::Ready,
        Self::StoreUp,
        Self::IsPlanner,
        Self::EntryVms,
        Self::ServingEndpoints,
        Self::ConfigVersion,
        Self::MemoryBudget,
        Self::BodyBytes,
        Self::AnswerBytes,
        Self::BufferedBytes,
        Self::StoreEra,
        Self::PathUp,
        Self::PeersWithPath,
        Self::LimitedEndpoints,
        Self::WarmingEndpoints,
        Self::EvacuatedZones,
        Self::IdleEngines,
        Self::RetryShareUsed,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::OpenRequests => "hemlock_open_requests",
            Self::Ready => "hemlock_ready",
            Self::StoreUp => "hemlock_store_up",
            Self::IsPlanner => "hemlock_leads",
            Self::EntryVms => "hemlock_machines",
            Self::ServingEndpoints => "hemlock_serving_endpoints",
            Self::ConfigVersion => "hemlock_config_version",
            Self::MemoryBudget => "hemlock_memory_budget_bytes",
            Self::BodyBytes => "hemlock_body_bytes",
            Self::AnswerBytes => "hemlock_answer_bytes",
            Self::BufferedBytes => "hemlock_buffered_bytes",
            Self::StoreEra => "hemlock_store_era",
            Self::PathUp => "hemlock_path_up",
            Self::PeersWithPath => "hemlock_peers_with_path",
            Self::LimitedEndpoints => "hemlock_limited_endpoints",
            Self::WarmingEndpoints => "hemlock_warming_endpoints",
            Self::EvacuatedZones => "hemlock_evacuated_zones",
            Self::IdleEngines => "hemlock_idle_engines",
            Self::RetryShareUsed => "hemlock_retry_share_used",
        }
    }
}

/// Returns the names of all metrics.
pub(crate) fn names() -> Vec<String> {
    let latencies = [
        Latency::FirstEvent,
        Latency::EventGap,
        Latency::Whole,
        Latency::TimerDelay,
    ];
    let latency = |l: &Latency| format!("hemlock_{}_seconds", l.name());
    let counters = Counter::ALL.iter().map(|c| c.name().to_owned());
    let gauges = Gauge::ALL.iter().map(|g| g.name().to_owned());
    counters
        .chain(latencies.iter().map(latency))
        .chain(gauges)
        .collect()
}

/// The metrics of a process.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    counters: RefCell<BTreeMap<(Counter, &'static str), u64>>,
    latencies: RefCell<BTreeMap<(Latency, &'static str), Histogram<u32>>>,
}

impl Metrics {
    /// Adds one to a counter, for an event of the given kind.
    pub(crate) fn count(&self, counter: Counter, kind: &'static str) {
        self.add(counter, kind, 1);
    }

    /// Adds `count` to a counter, for events of the given kind.
    pub(crate) fn add(&self, counter: Counter, kind: &'static str, count: u64) {
        let mut counters = self.counters.borrow_mut();
        *counters.entry((counter, kind)).or_default() += count;
    }

    /// Returns the sum of a counter over all kinds.
    pub(crate) fn total(&self, counter: Counter) -> u64 {
        let counters = self.counters.borrow();
        let of_kinds = counters.iter().filter(|((c, _), _)| *c == counter);
        of_kinds.map(|(_, count)| count).sum()
    }

    /// Records a latency of a request with the given outcome.
    pub(crate) fn record(&self, latency: Latency, outcome: &'static str, time: Duration) {
        let mut latencies = self.latencies.borrow_mut();
        let new = || Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
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
        histogram.saturating_record((time.as_micros() as u64).clamp(1, MAX_LATENCY_US));
    }

    /// Renders all metrics as text, with the given values of the gauges.
    pub(crate) fn render(&self, gauges: &[(Gauge, f64)]) -> String {
        let mut out = String::new();
        for ((counter, kind), value) in self.counters.borrow().iter() {
            let name = counter.name();
            let _ = writeln!(out, "{name}{{kind=\"{kind}\"}} {value}");
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
        for (gauge, value) in gauges {
            let _ = writeln!(out, "{} {value}", gauge.name());
        }
        out
    }
}
