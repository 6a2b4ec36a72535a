//! The daemon of an entry VM as a separate process, started with the command of the deploy file and
//! settings like those that its template gives.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use hemlock_platform_standin::caller;
use hemlock_platform_standin::server::free_address;

/// Addresses and settings of one entry VM, which stay the same over restarts.
#[derive(Debug, Clone)]
pub struct Vm {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

impl Vm {
    /// Writes the settings of the VM `name` to the folder `dir`.
    pub fn new(dir: &Path, name: &str, store: SocketAddr) -> Self {
        let (front, ready) = (free_address(), free_address());
        let (directory, peer, metrics) = (free_address(), free_address(), free_address());
        let settings = dir.join(format!("{name}.yaml"));
        let text = format!(
            "node: \"{name}\"\nzone: \"z1\"\nlisten:\n  front: \"{front}\"\n  ready: \"{ready}\"\n  \
             directory: \"{directory}\"\n  peer: \"{peer}\"\n  metrics: \"{metrics}\"\nstore:\n  \
             address: \"{store}\"\n  read_rate: 2000\n  lease_ms: 1000\nbounds:\n  drain_ms: 2000\n  \
             grace_s: 8\n  stall_ms: 5000\n  advice_s: 5\n  repeat_ratio: 0.2\n  repeat_extra: 103\n  \
             repeat_s: 10\ncores: 0.25\n"
        );
        std::fs::write(&settings, text).expect("the settings are written");
        Self {
            front,
            ready,
            settings,
            log: dir.join(format!("{name}.log")),
        }
    }

    /// Starts the daemon: `target/release/hemlock-node`, with the settings named by the variable.
    pub fn start(&self) -> Daemon {
        let log = File::options().create(true).append(true).open(&self.log);
        let child = Command::new("target/release/hemlock-node")
            .env_clear()
            .env("HEMLOCKLB_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.expect("the log is opened"))
            .spawn()
            .expect("the daemon starts");
        Daemon(child)
    }

    pub fn is_ready(&self) -> bool {
        caller::send(self.ready, "GET /v1/ready HTTP/1.1\r\nHost: a\r\n\r\n").status == 200
    }

    /// Returns the lines of the daemon's log with `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines()
            .filter(|l| l.contains(text))
            .map(str::to_owned)
            .collect()
    }
}

/// A running daemon, which is killed when this is dropped.
#[derive(Debug)]
pub struct Daemon(Child);

impl Daemon {
    pub fn pid(&self) -> u32 {
        self.0.id()
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = (self.0.kill(), self.0.wait());
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until `is_met`; returns false after `limit`.
pub fn wait(limit: Duration, is_met: impl Fn() -> bool) -> bool {
    let start = Instant::now();
    while !is_met() {
        if start.elapsed() > limit {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    true
}

/// Resident memory of a process in kB, as the kernel counts it.
pub fn memory_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.trim().trim_end_matches(" kB").parse().ok())
        .unwrap_or(0)
}

/// A temporary folder, which is removed when this is dropped.
#[derive(Debug)]
pub struct TempFolder(PathBuf);

impl TempFolder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("hemlock-review-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
