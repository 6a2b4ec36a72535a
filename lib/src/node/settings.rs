//! Settings of `hemlock-node`.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

use crate::settings::LogSettings;
use crate::yaml;

/// Settings of one entry VM.
#[derive(Debug, Clone, Deserialize)]
pub struct NodeSettings {
    /// Name of the VM.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Addresses that it listens on.
    pub listen: Listen,
    /// The hosted store.
    pub store: StoreSettings,
    /// Bounds that the users state.
    pub bounds: Bounds,
    /// Part of a core that the process has.
    pub cores: f64,
    /// Log.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses that a VM listens on.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Listen {
    /// Callers.
    pub front: SocketAddr,
    /// Readiness.
    pub ready: SocketAddr,
    /// Callers that ask for addresses.
    pub directory: SocketAddr,
    /// Datagrams of other entry VMs.
    pub peer: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
}

/// The hosted store.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
    /// Reading calls a second of all entry VMs.
    pub read_rate: f64,
    /// Shortest lease in milliseconds.
    pub lease_ms: u64,
}

/// Bounds that the users state.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Bounds {
    /// Milliseconds in which a draining endpoint may still be sent requests.
    pub drain_ms: f64,
    /// Seconds between SIGTERM and SIGKILL.
    pub grace_s: f64,
    /// Milliseconds after which a replica with a lost member gives up.
    pub stall_ms: f64,
    /// Seconds that callers keep addresses at most.
    pub advice_s: f64,
    /// Repeats for each request.
    pub repeat_ratio: f64,
    /// Repeats beyond that.
    pub repeat_extra: f64,
    /// Seconds of the window of both.
    pub repeat_s: f64,
}

/// Says why settings can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsFault(pub String);

impl std::fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SettingsFault {}

impl NodeSettings {
    /// Reads and checks the settings at `path`.
    pub fn open(path: impl AsRef<Path>) -> Result<Self, SettingsFault> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path)
            .map_err(|e| SettingsFault(format!("{}: can't read: {e}", path.display())))?;
        Self::parse(&text).map_err(|e| SettingsFault(format!("{}:{e}", path.display())))
    }

    /// Reads and checks the settings in `text`.
    pub fn parse(text: &str) -> Result<Self, SettingsFault> {
        let settings: Self = yaml::parse(text)
            .map_err(|fault| SettingsFault(format!("{}: {}", fault.position, fault.cause)))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsFault> {
        let bad = |text: &str| Err(SettingsFault(format!(" {text}")));
        if self.node.is_empty() {
            return bad("node must not be empty");
        }
        if self.store.lease_ms == 0 {
            return bad("store.lease_ms must be at least 1");
        }
        if !(0.0..=10.0).contains(&self.bounds.repeat_ratio) {
            return bad("bounds.repeat_ratio must lie between 0 and 10");
        }
        if !(1.0..=3_600.0).contains(&self.bounds.grace_s) {
            return bad("bounds.grace_s must lie between 1 and 3600");
        }
        if !(0.1..=3_600.0).contains(&self.bounds.repeat_s) {
            return bad("bounds.repeat_s must lie between 0.1 and 3600");
        }
        if !(0.0..=600_000.0).contains(&self.bounds.drain_ms) {
            return bad("bounds.drain_ms must lie between 0 and 600000");
        }
        if !(1.0..=1e9).contains(&self.store.read_rate) {
            return bad("store.read_rate must lie between 1 and 1000000000");
        }
        if !(0.0..=600_000.0).contains(&self.bounds.stall_ms) {
            return bad("bounds.stall_ms must lie between 0 and 600000");
        }
        Ok(())
    }
}

impl Bounds {
    /// Time in which a draining endpoint may still be sent requests.
    pub fn drain(&self) -> Duration {
        Duration::from_secs_f64(self.drain_ms / 1_000.0)
    }

    /// Time after which a replica with a lost member gives up.
    pub fn stall(&self) -> Duration {
        Duration::from_secs_f64(self.stall_ms / 1_000.0)
    }

    /// Time between SIGTERM and SIGKILL.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Window of the budget of repeats.
    pub fn repeat_window(&self) -> Duration {
        Duration::from_secs_f64(self.repeat_s)
    }
}
