//! Metrics, sent as statsd datagrams.

use std::fmt::Display;
use std::io;
use std::net::UdpSocket;
use std::sync::Arc;

use cadence::prelude::{Counted, Gauged};
use cadence::{BufferedUdpMetricSink, QueuingMetricSink, StatsdClient};

/// Maximum number of metrics that wait for the sending thread; further ones are dropped.
const MAX_QUEUED: usize = 4_096;

/// The statsd type of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Values are added up.
    Counter,
    /// Each value replaces the last one.
    Gauge,
}

impl Kind {
    /// Returns the name used in the documentation of the metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
        }
    }
}

macro_rules! metrics {
    ($($name:ident $kind:ident $pattern:literal $unit:literal $text:literal;)*) => {
        /// A metric. A placeholder in braces in its name is filled in when it is sent.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Metric {
            $(#[doc = $text] $name,)*
        }

        impl Metric {
            /// Lists all metrics.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the name without the prefix `hemlock.ENTRY.`, with its placeholder.
            pub fn pattern(self) -> &'static str {
                match self { $(Self::$name => $pattern,)* }
            }

            /// Returns the statsd type.
            pub fn kind(self) -> Kind {
                match self { $(Self::$name => Kind::$kind,)* }
            }

            /// Returns the unit of the values.
            pub fn unit(self) -> &'static str {
                match self { $(Self::$name => $unit,)* }
            }

            /// Returns a description in one sentence.
            pub fn description(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

metrics! {
    Dispatched Counter "gateway.dispatched" "attempts" "Attempts sent to endpoints.";
    Answered Counter "gateway.answered" "requests" "Requests answered in full.";
    Replayed Counter "gateway.replayed" "requests" "Requests sent again by the caller and answered from the stored answer.";
    Refused Counter "gateway.refused.{code}" "requests" "Requests refused, by result code.";
    Retried Counter "gateway.retried.{reason}" "attempts" "Repeated attempts, by the reason why the last one failed.";
    Dropped Counter "gateway.dropped.{reason}" "chunks" "Chunks dropped from answers, by reason.";
    Left Counter "gateway.left" "requests" "Requests whose caller disconnected before the end of the answer.";
    Open Gauge "gateway.open" "requests" "Requests that were admitted and are not yet answered in full.";
    Spare Gauge "gateway.spare" "thousandths" "Spare share of the gateway's capacity.";
    Appends Counter "agent.appends" "calls" "Appends sent to the log.";
    Settled Counter "agent.settled.{end}" "records" "Submitted records, by the outcome of their submission.";
    Datagrams Counter "agent.datagrams" "datagrams" "Gossip datagrams sent.";
    Probes Counter "agent.probes" "probes" "Probes sent to endpoint VMs.";
    LogUp Gauge "agent.log.up" "0 or 1" "Whether the log answers.";
    Alarms Gauge "agent.alarms.{kind}" "count" "Faults of the log that the agent has detected since it started, by kind.";
    ConfigOffset Gauge "agent.config.offset" "offset" "Offset of the next record of the configuration table to read.";
    EntriesLive Gauge "agent.entries.live" "entry VMs" "Entry VMs that are alive according to gossip.";
    VmsLive Gauge "agent.vms.live" "VMs" "Endpoint VMs that answer probes.";
    GroupWanted Gauge "group.wanted.{group}" "replicas" "Replicas that the configuration table asks for.";
    GroupServing Gauge "group.serving.{group}" "replicas" "Replicas that serve.";
    GroupDowntime Gauge "group.downtime.{group}" "replica-ms" "Group downtime since the agent started: time during which wanted replicas could not serve.";
    GroupStranded Gauge "group.stranded.{group}" "accelerators" "Stranded accelerators: live ones in the group's replicas that do not serve, and free ones while the group lacks replicas.";
    Unwanted Gauge "group.unwanted" "accelerators" "Live accelerators outside any serving replica while no group lacks one.";
    Leases Gauge "planner.leases" "leases" "Leases that this planner holds according to the last view.";
    Submitted Counter "planner.submitted" "records" "Records submitted by the planner.";
    Orders Counter "planner.orders" "orders" "Orders sent to engines.";
}

/// Sends metrics, or discards them if no address is configured.
#[derive(Debug, Clone, Default)]
pub struct Metrics {
    client: Option<Arc<StatsdClient>>,
}

impl Metrics {
    /// Opens a sender of metrics of the entry VM `entry` to the UDP address `statsd`.
    ///
    /// # Errors
    ///
    /// Fails if no socket can be opened or the address can't be resolved.
    pub fn open(statsd: Option<&str>, entry: impl Display) -> io::Result<Self> {
        let Some(address) = statsd else {
            return Ok(Self::default());
        };
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)?;
        let queue = QueuingMetricSink::with_capacity(sink, MAX_QUEUED);
        let client = StatsdClient::from_sink(&format!("hemlock.{}", name_component(&entry)), queue);
        Ok(Self {
            client: Some(Arc::new(client)),
        })
    }

    /// Adds one to a counter.
    pub fn count(&self, metric: Metric) {
        self.add(metric, "", 1);
    }

    /// Adds one to a counter, with `by` in place of its placeholder.
    pub fn count_by(&self, metric: Metric, by: impl Display) {
        self.add(metric, by, 1);
    }

    /// Sets a gauge.
    pub fn gauge(&self, metric: Metric, value: u64) {
        self.gauge_by(metric, "", value);
    }

    /// Sets a gauge, with `by` in place of its placeholder.
    pub fn gauge_by(&self, metric: Metric, by: impl Display, value: u64) {
        if let Some(client) = &self.client {
            let _ = client.gauge(&name(metric, by), value);
        }
    }

    fn add(&self, metric: Metric, by: impl Display, count: i64) {
        if let Some(client) = &self.client {
            let _ = client.count(&name(metric, by), count);
        }
    }
}

/// Returns a metric's name without the prefix, with `by` in place of its placeholder.
pub fn name(metric: Metric, by: impl Display) -> String {
    let pattern = metric.pattern();
    match pattern.split_once('{') {
        Some((head, _)) => format!("{head}{}", name_component(by)),
        None => pattern.to_owned(),
    }
}

/// Converts `by` to a component of a name: in snake case, without dots and other separators of
/// statsd.
fn name_component(by: impl Display) -> String {
    let mut out = String::new();
    for c in by.to_string().chars() {
        if c.is_ascii_uppercase() {
            if !out.is_empty() {
                out.push('_');
            }
            out.push(c.to_ascii_lowercase());
        } else if c.is_ascii_alphanumeric() || c == '-' || c == '_' {
            out.push(c);
        } else {
            out.push('_');
        }
    }
    out
}
