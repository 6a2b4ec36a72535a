//! One entry VM as a real process before stand-ins for the platform.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hemlock_platform_standin::caller::{self, Got};
use hemlock_platform_standin::server::free_address;
use hemlock_platform_standin::store::Store;
use hemlock_platform_standin::texts;
pub use hemlock_platform_standin::texts::{config, request, route};
use hemlock_platform_standin::worker::Worker;
use serde_json::Value;
use tempfile::TempDir;

/// Longest wait for something that must come; a test ends sooner when it does.
const LIMIT: Duration = Duration::from_secs(20);

pub struct NodeProcess {
    pub store: Store,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub metrics: SocketAddr,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
    _dir: TempDir,
}

impl NodeProcess {
    /// Starts a store and an entry VM; nothing is configured or listed.
    pub fn unconfigured() -> Self {
        let store = Store::spawn();
        let (front, ready, directory) = (free_address(), free_address(), free_address());
        let metrics = free_address();
        let peer = free_address();
        let dir = tempfile::tempdir().expect("a directory");
        let path = dir.path().join("node.yaml");
        let text = format!(
            "node: entry-1\nzone: z1\nlisten:\n  front: {front}\n  ready: {ready}\n  \
             directory: {directory}\n  peer: {peer}\n  metrics: {metrics}\nstore:\n  address: {}\n  \
             read_rate: 2000\n  lease_ms: 1000\nbounds:\n  drain_ms: 2000\n  \
             grace_s: 8\n  stall_ms: 5000\n  advice_s: 5\n  repeat_ratio: 0.2\n  \
             repeat_extra: 100\n  repeat_s: 10\ncores: 0.25\n",
            store.address()
        );
        std::fs::write(&path, text).expect("settings");
        let mut child = Command::new(env!("CARGO_BIN_EXE_hemlock-node"))
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let log = Arc::new(Mutex::new(Vec::new()));
        let out = child.stdout.take().expect("its output");
        let lines = log.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                lines
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(line);
            }
        });
        Self {
            store,
            front,
            ready,
            directory,
            metrics,
            child,
            log,
            _dir: dir,
        }
    }

    /// Starts an entry VM with the usual configuration and two plain endpoints.
    pub fn with_plain_endpoints() -> (Self, Vec<Worker>) {
        let node = Self::unconfigured();
        let names = ["p1", "p2"];
        let plain = names.map(|n| Worker::spawn(&node.store, n, "plain", None));
        node.configure(&config(1));
        node.wait("two endpoints serve", |s| {
            s.lines("event=serving").len() >= 2
        });
        node.wait("it is ready", |s| s.ready_status() == 200);
        (node, plain.to_vec())
    }

    /// Starts an entry VM with four engines, which form two groups.
    pub fn with_engines() -> (Self, Vec<Worker>) {
        let node = Self::unconfigured();
        let names = ["e1", "e2", "e3", "e4", "e5"];
        let engines = names.map(|n| Worker::spawn(&node.store, n, "models", Some("d1")));
        node.configure(&config(1));
        node.wait("two groups serve", |s| s.lines("event=serving").len() >= 2);
        (node, engines.to_vec())
    }

    pub fn configure(&self, config: &Value) {
        texts::configure(&self.store, config);
    }

    pub fn ready_status(&self) -> u16 {
        caller::send(self.ready, "GET /v1/ready HTTP/1.1\r\nHost: a\r\n\r\n").status
    }

    /// Sends a request with the account's key.
    pub fn send(&self, method: &str, path: &str, id: &str, headers: &str, body: &str) -> Got {
        caller::send(self.front, &request(method, path, id, headers, body))
    }

    /// Returns the log lines that hold `text`.
    pub fn lines(&self, text: &str) -> Vec<String> {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.iter().filter(|l| l.contains(text)).cloned().collect()
    }

    /// Waits until `done`.
    pub fn wait(&self, what: &str, done: impl Fn(&Self) -> bool) {
        let start = Instant::now();
        while !done(self) {
            assert!(start.elapsed() < LIMIT, "waited in vain: {what}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Waits for the process's end and returns whether it was a success.
    pub fn ended(&mut self) -> bool {
        self.child.wait().expect("its end").success()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
