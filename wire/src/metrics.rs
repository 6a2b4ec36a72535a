//! Metrics, sent as statsd datagrams by way of cadence.

use std::fmt::Display;
use std::io;
use std::net::UdpSocket;
use std::sync::Arc;

use cadence::prelude::{Counted, Gauged};
use cadence::{BufferedUdpMetricSink, QueuingMetricSink, StatsdClient};

/// Metrics that wait for the sending thread at most; more are dropped.
const QUEUE: usize = 4_096;

/// How a metric is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Adds up.
    Counter,
    /// Replaces the last value.
    Gauge,
}

impl Kind {
    /// Returns the word used on the page of metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
        }
    }
}

macro_rules! metrics {
    ($($name:ident $kind:ident $pattern:literal $unit:literal $text:literal;)*) => {
        /// A metric. A part in braces of its name is filled in when it is sent.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Metric {
            $(#[doc = $text] $name,)*
        }

        impl Metric {
            /// Lists all metrics.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the name below the prefix `hemlock.ENTRY.`.
            pub fn pattern(self) -> &'static str {
                match self { $(Self::$name => $pattern,)* }
            }

            /// Returns how the metric is read.
            pub fn kind(self) -> Kind {
                match self { $(Self::$name => Kind::$kind,)* }
            }

            /// Returns the unit.
            pub fn unit(self) -> &'static str {
                match self { $(Self::$name => $unit,)* }
            }

            /// Returns the meaning in one sentence.
            pub fn description(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

metrics! {
    Dispatched Counter "gateway.dispatched" "attempts" "Attempts sent to endpoints.";
    Answered Counter "gateway.answered" "requests" "Requests answered in full.";
    Replayed Counter "gateway.replayed" "requests" "Resent requests that got the kept answer.";
    Refused Counter "gateway.refused.{code}" "requests" "Requests refused, by result code.";
    Retried Counter "gateway.retried.{reason}" "attempts" "Attempts made again, by why the last one failed.";
    Dropped Counter "gateway.dropped.{reason}" "chunks" "Chunks dropped from answers, by reason.";
    Left Counter "gateway.left" "requests" "Requests whose caller left.";
    Open Gauge "gateway.open" "requests" "Requests between admission and their last answer.";
    Spare Gauge "gateway.spare" "thousandths" "Spare share of the gateway's capacity.";
    Appends Counter "agent.appends" "calls" "Appends sent to the log.";
    Settled Counter "agent.settled.{end}" "records" "Submitted records, by how they were settled.";
    Datagrams Counter "agent.datagrams" "datagrams" "Gossip datagrams sent.";
    Probes Counter "agent.probes" "probes" "Probes sent to endpoint VMs.";
    LogUp Gauge "agent.log.up" "0 or 1" "Whether the log answers.";
    Alarms Gauge "agent.alarms.{kind}" "count" "Faults of the log that the agent met since it started, by kind.";
    ConfigOffset Gauge "agent.config.offset" "offset" "Offset of the next table record to read.";
    EntriesLive Gauge "agent.entries.live" "entry VMs" "Entry VMs that gossip holds alive.";
    VmsLive Gauge "agent.vms.live" "VMs" "Endpoint VMs that answer.";
    GroupWanted Gauge "group.wanted.{group}" "replicas" "Replicas that the table wants.";
    GroupServing Gauge "group.serving.{group}" "replicas" "Replicas that serve.";
    GroupDowntime Gauge "group.downtime.{group}" "replica-ms" "Group downtime since the agent started: time that wanted replicas could not serve.";
    GroupStranded Gauge "group.stranded.{group}" "accelerators" "Stranded accelerators: live ones in the group's replicas that do not serve, and free ones while the group lacks replicas.";
    Unwanted Gauge "group.unwanted" "accelerators" "Live accelerators outside any serving replica while no group lacks one.";
    Leases Gauge "planner.leases" "leases" "Leases that this planner holds by the last view.";
    Submitted Counter "planner.submitted" "records" "Records submitted by the planner.";
    Orders Counter "planner.orders" "orders" "Orders sent to engines.";
}

/// Sends metrics; without an address they go nowhere.
#[derive(Debug, Clone, Default)]
pub struct Metrics {
    client: Option<Arc<StatsdClient>>,
}

impl Metrics {
    /// Opens a sender to the UDP address `statsd` for the entry VM `entry`.
    pub fn open(statsd: Option<&str>, entry: impl Display) -> io::Result<Self> {
        let Some(address) = statsd else {
            return Ok(Self::default());
        };
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)?;
        let queue = QueuingMetricSink::with_capacity(sink, QUEUE);
        let client = StatsdClient::from_sink(&format!("hemlock.{}", part(&entry)), queue);
        Ok(Self {
            client: Some(Arc::new(client)),
        })
    }

    /// Adds one to a counter.
    pub fn count(&self, metric: Metric) {
        self.add(metric, "", 1);
    }

    /// Adds one to the counter of one code, reason or end.
    pub fn count_by(&self, metric: Metric, by: impl Display) {
        self.add(metric, by, 1);
    }

    /// Sets a gauge.
    pub fn gauge(&self, metric: Metric, value: u64) {
        self.gauge_by(metric, "", value);
    }

    /// Sets the gauge of one group.
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

/// Returns a metric's name with its part in braces filled in.
pub fn name(metric: Metric, by: impl Display) -> String {
    let pattern = metric.pattern();
    match pattern.split_once('{') {
        Some((head, _)) => format!("{head}{}", part(by)),
        None => pattern.to_owned(),
    }
}

/// Returns one part of a name: snake case, without dots and other separators of statsd.
fn part(by: impl Display) -> String {
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
