//! Settings of `hemlock-node`.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

use super::warm_up::Bound;
use crate::settings::LogSettings;
use crate::yaml;

/// Settings of one entry VM.
#[derive(Debug, Clone, Deserialize)]
pub struct NodeSettings {
    /// Name of the entry VM.
    pub node: String,
    /// Zone of the entry VM.
    pub zone: String,
    /// Addresses that the entry VM listens on.
    pub listen: Listen,
    /// Hosted store.
    pub store: StoreSettings,
    /// Time limits and retry limits of the deployment.
    pub bounds: Bounds,
    /// Fraction of a CPU core available to the process.
    pub cores: f64,
    /// Memory in MB above which the platform ends the process, if it is known.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Log settings.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses that an entry VM listens on.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Listen {
    /// Address for callers' requests.
    pub front: SocketAddr,
    /// Address for readiness checks.
    pub ready: SocketAddr,
    /// Address at which callers ask for the addresses of entry VMs.
    pub directory: SocketAddr,
    /// Address for datagrams of other entry VMs.
    pub peer: SocketAddr,
    /// Address at which metrics are served.
    pub metrics: SocketAddr,
}

/// Settings of the hosted store.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
    /// Read calls per second that all entry VMs together may make.
    pub read_rate: f64,
    /// Shortest lease that the store grants, in milliseconds.
    pub lease_ms: u64,
}

/// Time limits and retry limits of a deployment.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Bounds {
    /// Milliseconds for which a draining endpoint may still be sent requests.
    pub drain_ms: f64,
    /// Seconds between SIGTERM and SIGKILL.
    pub grace_s: f64,
    /// Milliseconds after which the head of a group with a lost member gives up.
    pub stall_ms: f64,
    /// Seconds for which callers keep entry VM addresses at most.
    pub advice_s: f64,
    /// Retries allowed per request.
    pub repeat_ratio: f64,
    /// Retries allowed in addition, regardless of the number of requests.
    pub repeat_extra: f64,
    /// Seconds in the sliding window of `repeat_ratio` and `repeat_extra`.
    pub repeat_s: f64,
    /// Factor on the rate of an endpoint that warms up, in the bound on its requests in one second; 1
    /// if it is not between 1 and 100.
    #[serde(default)]
    pub warm_up_excess: Option<f64>,
    /// Requests in one second beyond that; 0 if it is not between 0 and 1000000.
    #[serde(default)]
    pub warm_up_slack: Option<f64>,
}

/// Error in the settings of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SettingsError {}

impl NodeSettings {
    /// Reads the settings at `path`. Fails if the file cannot be read, or if its contents are
    /// invalid.
    pub fn open(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path)
            .map_err(|e| SettingsError(format!("{}: cannot read the file: {e}", path.display())))?;
        Self::parse(&text).map_err(|e| SettingsError(format!("{}:{e}", path.display())))
    }

    /// Parses settings. Fails if they are malformed or a value is out of bounds.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = yaml::parse(text)
            .map_err(|error| SettingsError(format!("{}: {}", error.position, error.cause)))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let invalid = |text: &str| Err(SettingsError(format!(" {text}")));
        if self.node.is_empty() {
            return invalid("node must not be empty");
        }
        if self.store.lease_ms == 0 {
            return invalid("store.lease_ms must be at least 1");
        }
        if !(0.0..=10.0).contains(&self.bounds.repeat_ratio) {
            return invalid("bounds.repeat_ratio must lie between 0 and 10");
        }
        if !(1.0..=3_600.0).contains(&self.bounds.grace_s) {
            return invalid("bounds.grace_s must lie between 1 and 3600");
        }
        if !(0.1..=3_600.0).contains(&self.bounds.repeat_s) {
            return invalid("bounds.repeat_s must lie between 0.1 and 3600");
        }
        if !(0.0..=600_000.0).contains(&self.bounds.drain_ms) {
            return invalid("bounds.drain_ms must lie between 0 and 600000");
        }
        if !(1.0..=1e9).contains(&self.store.read_rate) {
            return invalid("store.read_rate must lie between 1 and 1000000000");
        }
        if self.memory_mb.is_some_and(|mb| !(96.0..=1e6).contains(&mb)) {
            return invalid("memory_mb must lie between 96 and 1000000");
        }
        if !(0.0..=600_000.0).contains(&self.bounds.stall_ms) {
            return invalid("bounds.stall_ms must lie between 0 and 600000");
        }
        Ok(())
    }
}

impl Bounds {
    /// Returns the time for which a draining endpoint may still be sent requests.
    pub fn drain(&self) -> Duration {
        Duration::from_secs_f64(self.drain_ms / 1_000.0)
    }

    /// Returns the time after which the head of a group with a lost member gives up.
    pub fn stall(&self) -> Duration {
        Duration::from_secs_f64(self.stall_ms / 1_000.0)
    }

    /// Returns the time between SIGTERM and SIGKILL.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Returns the bound on the requests to an endpoint that warms up.
    pub fn warm_up(&self) -> Bound {
        Bound::new(self.warm_up_excess, self.warm_up_slack)
    }

    /// Returns the sliding window of the retry budget.
    pub fn repeat_window(&self) -> Duration {
        Duration::from_secs_f64(self.repeat_s)
    }
}
