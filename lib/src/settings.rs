//! Settings of an entry VM, read from one YAML file by its three daemons.

use std::path::{Path, PathBuf};
use std::time::Duration;

use error_stack::Report;
use serde::Deserialize;

use crate::ids::{DomainId, EntryId};

/// Says what is wrong with a settings file, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The file.
    pub file: PathBuf,
    /// Line within the file, counted from one; zero when the file as a whole is at fault.
    pub line: usize,
    /// What is wrong and how to mend it.
    pub cause: String,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}: {}", self.file.display(), self.line, self.cause)
    }
}

impl std::error::Error for SettingsError {}

/// Settings of an entry VM.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the entry VM.
    pub entry: EntryId,
    /// Its failure domain.
    pub domain: DomainId,
    /// All failure domains that hold endpoint VMs.
    pub domains: Vec<DomainId>,
    /// The platform.
    pub platform: Platform,
    /// The gateway.
    pub gateway: GatewaySettings,
    /// The agent.
    pub agent: AgentSettings,
    /// The planner.
    #[serde(default)]
    pub planner: PlannerSettings,
    /// Directory of state charts that replace the built-in ones.
    pub charts: Option<PathBuf>,
    /// Metrics.
    #[serde(default)]
    pub metrics: MetricsSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses of the platform.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Base URL of the log.
    pub log: String,
    /// URL of the list of VMs.
    pub vms: String,
}

/// Settings of the gateway.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// IP address and port to listen on.
    pub listen: String,
    /// Base URL that callers are told.
    pub advertise: String,
    /// Requests queued at most.
    #[serde(default = "queue")]
    pub queue: usize,
    /// Threads that serve callers.
    #[serde(default = "workers")]
    pub workers: usize,
    /// Largest body in bytes.
    #[serde(default = "body_limit")]
    pub body_limit: usize,
    /// Time in seconds for which callers keep an address, and a leaving gateway serves on.
    #[serde(default = "keep_for_s")]
    pub keep_for_s: u64,
    /// Time in seconds that open requests have to end once a leaving gateway takes no new ones.
    #[serde(default = "drain_s")]
    pub drain_s: u64,
}

/// Settings of the agent.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// IP address and port to listen on.
    pub listen: String,
    /// Base URL that the other daemons use.
    pub advertise: String,
    /// IP address and UDP port of gossip.
    pub gossip: String,
    /// Keys that authenticate gossip, the sealing one first.
    pub keys: Vec<KeySettings>,
    /// Partitions of the claims streams.
    #[serde(default = "partitions")]
    pub partitions: u32,
}

/// A shared key.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// Number of the key.
    pub id: u32,
    /// File that holds the secret.
    pub file: PathBuf,
}

/// Settings of the planner.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlannerSettings {
    /// Length of a lease in milliseconds.
    pub lease_ms: u64,
    /// Largest clock drift over one lease in milliseconds.
    pub drift_ms: u64,
    /// Time after which engines drop an order, in milliseconds.
    pub order_ms: u64,
    /// Whether engines refuse an order with an old fencing number.
    pub fenced: bool,
    /// VMs of one failure domain that load weights at a time, unless one replica needs more; what
    /// the weight store serves at a time, divided by the failure domains.
    pub loads: u32,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            lease_ms: 3_000,
            drift_ms: 300,
            order_ms: 2_000,
            fenced: true,
            loads: 8,
        }
    }
}

/// Settings of metrics.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MetricsSettings {
    /// IP address and UDP port that takes metrics; none are sent without it.
    pub statsd: Option<String>,
}

/// Settings of logs.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
        }
    }
}

fn queue() -> usize {
    256
}

fn workers() -> usize {
    2
}

fn body_limit() -> usize {
    1 << 20
}

fn keep_for_s() -> u64 {
    30
}

fn drain_s() -> u64 {
    90
}

fn partitions() -> u32 {
    4
}

impl Settings {
    /// Reads and checks the file at `path`.
    pub fn open(path: impl AsRef<Path>) -> Result<Self, Report<SettingsError>> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path)
            .map_err(|e| fault(path, 0, format!("can't read the settings: {e}")))?;
        Self::parse(path, &text)
    }

    /// Parses and checks `text`; `file` is named in errors.
    pub fn parse(file: impl AsRef<Path>, text: &str) -> Result<Self, Report<SettingsError>> {
        let file = file.as_ref();
        let settings: Self = serde_yaml_ng::from_str(text).map_err(|e| {
            let line = e.location().map_or(0, |l| l.line());
            fault(file, line, e.to_string())
        })?;
        settings.check(file, text)?;
        Ok(settings)
    }

    /// Returns the length of a lease.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.planner.lease_ms)
    }

    fn check(&self, file: &Path, text: &str) -> Result<(), Report<SettingsError>> {
        let addresses = [&self.gateway.listen, &self.agent.listen, &self.agent.gossip];
        for address in addresses {
            if address.parse::<std::net::SocketAddr>().is_err() {
                let cause = format!("`{address}` is no address; write IP:PORT");
                return Err(fault(file, line_of(text, address), cause));
            }
        }
        for url in [
            &self.platform.log,
            &self.platform.vms,
            &self.gateway.advertise,
        ] {
            if !url.starts_with("http://") {
                let cause = format!("`{url}` is no URL; write http://IP:PORT");
                return Err(fault(file, line_of(text, url), cause));
            }
        }
        if self.agent.keys.is_empty() {
            return Err(fault(
                file,
                line_of(text, "keys"),
                "`keys` names no key".to_owned(),
            ));
        }
        if self.planner.drift_ms * 3 >= self.planner.lease_ms {
            let cause = "`lease_ms` must be more than three times `drift_ms`".to_owned();
            return Err(fault(file, line_of(text, "lease_ms"), cause));
        }
        Ok(())
    }
}

fn fault(file: &Path, line: usize, cause: String) -> Report<SettingsError> {
    Report::new(SettingsError {
        file: file.to_owned(),
        line,
        cause,
    })
}

fn line_of(text: &str, word: &str) -> usize {
    text.lines()
        .position(|l| l.contains(word))
        .map_or(0, |l| l + 1)
}
