//! Settings of an entry VM, read from one YAML file by its three daemons.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use error_stack::Report;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, EntryId};
use crate::yaml::{self, Position};

/// An error in a settings file, with its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// Path of the settings file.
    pub file: PathBuf,
    /// Position in the file.
    pub position: Position,
    /// Message that states the error and how to correct it.
    pub cause: String,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let file = self.file.display();
        match self.position.line {
            0 => write!(f, "{file}: {}", self.cause),
            _ => write!(f, "{file}:{}: {}", self.position, self.cause),
        }
    }
}

impl std::error::Error for SettingsError {}

/// Settings of an entry VM.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the entry VM.
    pub entry: EntryId,
    /// Failure domain of the entry VM.
    pub domain: DomainId,
    /// All failure domains that hold endpoint VMs.
    pub domains: Vec<DomainId>,
    /// Addresses of the platform.
    pub platform: Platform,
    /// Settings of the gateway.
    pub gateway: GatewaySettings,
    /// Settings of the agent.
    pub agent: AgentSettings,
    /// Settings of the planner.
    #[serde(default)]
    pub planner: PlannerSettings,
    /// Directory of state charts that replace the built-in ones, relative to this file's directory.
    pub charts: Option<PathBuf>,
    /// Settings of metrics.
    #[serde(default)]
    pub metrics: MetricsSettings,
    /// Settings of logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses of the platform.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Base URL of the log.
    pub log: String,
    /// URL of the list of VMs.
    pub vms: String,
}

/// Settings of the gateway.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// IP address and port to listen on.
    pub listen: String,
    /// Base URL that callers use.
    pub advertise: String,
    /// Most requests that the gateway queues.
    #[serde(default = "queue")]
    #[schemars(range(min = 1, max = 65_536))]
    pub queue: usize,
    /// Threads that serve callers.
    #[serde(default = "workers")]
    #[schemars(range(min = 1, max = 64))]
    pub workers: usize,
    /// Largest request body in bytes.
    #[serde(default = "body_limit")]
    #[schemars(range(min = 1_024, max = 4_194_304))]
    pub body_limit: usize,
    /// Time in seconds for which callers keep an address and a leaving gateway accepts requests.
    #[serde(default = "keep_for_s")]
    pub keep_for_s: u64,
    /// Time in seconds that open requests have to end after a stopping gateway refuses new ones.
    #[serde(default = "drain_s")]
    pub drain_s: u64,
    /// Whether account limits are divided among gateways by demand; otherwise, evenly.
    #[serde(default)]
    pub slices: bool,
}

/// Settings of the agent.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// IP address and port to listen on.
    pub listen: String,
    /// Base URL that the other daemons use.
    pub advertise: String,
    /// IP address and UDP port for gossip.
    pub gossip: String,
    /// Keys that authenticate gossip; new messages are signed with the first one.
    pub keys: Vec<KeySettings>,
    /// Number of partitions of the claims streams.
    #[serde(default = "partitions")]
    #[schemars(range(min = 1, max = 64))]
    pub partitions: u32,
    /// Time for which the log keeps records, in seconds.
    #[serde(default = "retention_s")]
    pub retention_s: u64,
    /// Base URLs of agents from which to load the state at startup while the log is unavailable.
    #[serde(default)]
    pub peers: Vec<String>,
}

/// A secret key shared by the entry VMs.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// Number of the key.
    pub id: u32,
    /// File that holds the secret, relative to the directory of this file.
    pub file: PathBuf,
}

/// Settings of the planner.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct PlannerSettings {
    /// Length of a lease in milliseconds.
    #[schemars(range(min = 500, max = 60_000))]
    pub lease_ms: u64,
    /// Largest clock drift over one lease in milliseconds; must be under a third of the lease.
    #[schemars(range(min = 1, max = 20_000))]
    pub drift_ms: u64,
    /// Time after which engines reject an order, in milliseconds.
    #[schemars(range(min = 100, max = 60_000))]
    pub order_ms: u64,
    /// Whether engines reject an order with an old fencing token.
    pub fenced: bool,
    // Loads share the bandwidth of the weight store: beyond its limit, all of them slow down.
    /// Most VMs that load at once, unless one replica needs more: what the weight store can serve.
    #[schemars(range(min = 1, max = 4_096))]
    pub loads: u32,
    /// IP address and port that serve `/healthz` and `/readyz`; not served if this is unset.
    pub listen: Option<String>,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            lease_ms: 3_000,
            drift_ms: 300,
            order_ms: 2_000,
            fenced: true,
            loads: 20,
            listen: None,
        }
    }
}

/// Settings of metrics.
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct MetricsSettings {
    /// IP address and UDP port that receive metrics; none are sent if this is unset.
    pub statsd: Option<String>,
}

/// Settings of logs.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Log level: `off`, `error`, `warn`, `info`, `debug` or `trace`.
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

fn retention_s() -> u64 {
    24 * 3_600
}

fn partitions() -> u32 {
    4
}

/// Value and allowed range of a numeric setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Bound {
    section: &'static str,
    key: &'static str,
    value: u64,
    min: u64,
    max: u64,
}

impl Settings {
    /// Reads and validates the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, is not a settings file, or has an invalid value.
    pub fn open(path: impl AsRef<Path>) -> Result<Self, Report<SettingsError>> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path).map_err(|e| {
            let cause = format!("can't read the settings: {e}");
            error(path, Position::default(), cause)
        })?;
        Self::parse(path, &text)
    }

    /// Parses and validates `text`; `file` is only named in errors.
    ///
    /// # Errors
    ///
    /// Fails if `text` is not a settings file or has an invalid value.
    pub fn parse(file: impl AsRef<Path>, text: &str) -> Result<Self, Report<SettingsError>> {
        let file = file.as_ref();
        let settings: Self = yaml::parse(text).map_err(|f| error(file, f.position, f.cause))?;
        match settings.first_error() {
            Some((section, word, cause)) => Err(error(file, position(text, section, &word), cause)),
            None => Ok(settings),
        }
    }

    /// Returns the length of a planner's lease.
    pub fn lease_length(&self) -> Duration {
        Duration::from_millis(self.planner.lease_ms)
    }

    /// Returns the first invalid value: its section, the word to find in that section, and the
    /// error message.
    fn first_error(&self) -> Option<(&'static str, String, String)> {
        let found = self.address_error().or_else(|| self.url_error());
        let found = found.or_else(|| self.range_error());
        found.or_else(|| self.consistency_error())
    }

    fn address_error(&self) -> Option<(&'static str, String, String)> {
        let addresses = [
            ("gateway", Some(&self.gateway.listen)),
            ("agent", Some(&self.agent.listen)),
            ("agent", Some(&self.agent.gossip)),
            ("planner", self.planner.listen.as_ref()),
            ("metrics", self.metrics.statsd.as_ref()),
        ];
        let mut given = addresses
            .into_iter()
            .filter_map(|(section, a)| Some((section, a?)));
        let (section, address) = given.find(|(_, a)| a.parse::<SocketAddr>().is_err())?;
        let cause = format!("`{address}` is not a socket address; write IP:PORT");
        Some((section, address.clone(), cause))
    }

    fn url_error(&self) -> Option<(&'static str, String, String)> {
        let urls = [
            ("platform", &self.platform.log),
            ("platform", &self.platform.vms),
            ("gateway", &self.gateway.advertise),
            ("agent", &self.agent.advertise),
        ];
        let (section, url) = urls.into_iter().find(|(_, u)| !is_url(u))?;
        let cause = format!("`{url}` is not a URL; write http://IP:PORT");
        Some((section, url.clone(), cause))
    }

    fn range_error(&self) -> Option<(&'static str, String, String)> {
        let bound = self
            .bounds()
            .into_iter()
            .find(|b| b.value < b.min || b.value > b.max)?;
        let cause = format!(
            "`{}` is {}; it must be from {} to {}",
            bound.key, bound.value, bound.min, bound.max
        );
        Some((bound.section, bound.key.to_owned(), cause))
    }

    fn consistency_error(&self) -> Option<(&'static str, String, String)> {
        if self.agent.keys.is_empty() {
            let cause = "`keys` is empty; write {id: NUMBER, file: FILE}";
            return Some(("agent", "keys".to_owned(), cause.to_owned()));
        }
        if !self.domains.contains(&self.domain) {
            let cause = format!("`domain` `{}` is not among `domains`", self.domain);
            return Some(("domain", "domain".to_owned(), cause));
        }
        if self.planner.drift_ms * 3 >= self.planner.lease_ms {
            let cause = "`lease_ms` must be more than three times `drift_ms`";
            return Some(("planner", "lease_ms".to_owned(), cause.to_owned()));
        }
        let level = self.log.level.as_str();
        if !LOG_LEVELS.contains(&level) {
            let cause = format!(
                "`{level}` is not a log level; use one of {}",
                LOG_LEVELS.join(", ")
            );
            return Some(("log", level.to_owned(), cause));
        }
        None
    }

    fn bounds(&self) -> [Bound; 8] {
        let bound = |section, key, value, min, max| Bound {
            section,
            key,
            value,
            min,
            max,
        };
        let (gateway, planner) = (&self.gateway, &self.planner);
        [
            bound("gateway", "queue", gateway.queue as u64, 1, 65_536),
            bound("gateway", "workers", gateway.workers as u64, 1, 64),
            bound(
                "gateway",
                "body_limit",
                gateway.body_limit as u64,
                1_024,
                4 << 20,
            ),
            bound("agent", "partitions", self.agent.partitions.into(), 1, 64),
            bound("planner", "lease_ms", planner.lease_ms, 500, 60_000),
            bound("planner", "drift_ms", planner.drift_ms, 1, 20_000),
            bound("planner", "order_ms", planner.order_ms, 100, 60_000),
            bound("planner", "loads", planner.loads.into(), 1, 4_096),
        ]
    }
}

/// Log levels, least verbose first.
pub const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

fn is_url(text: &str) -> bool {
    let rest = text.strip_prefix("http://").unwrap_or_default();
    !rest.is_empty() && !rest.contains(char::is_whitespace)
}

fn error(file: &Path, position: Position, cause: String) -> Report<SettingsError> {
    Report::new(SettingsError {
        file: file.to_owned(),
        position,
        cause,
    })
}

fn position(text: &str, section: &str, word: &str) -> Position {
    let start = yaml::find(text, 1, section).map_or(1, |p| p.line);
    yaml::find(text, start, word).unwrap_or(Position {
        line: start,
        column: 1,
    })
}
