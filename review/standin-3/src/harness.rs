//! Entry VM processes, the record of a run, and its end.

use std::fs::{self, File};
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use hemlock_platform_standin::caller;
use hemlock_platform_standin::server::free_address;
use hemlock_platform_standin::store::Store;
use rustix::process::{Pid, Signal, kill_process};

/// Bounds of the small deployment `tallow-lists`.
pub const GRACE: Duration = Duration::from_secs(8);
pub const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// Time in which a started process must be ready.
const READY_LIMIT: Duration = Duration::from_secs(15);

/// The record of a run: what was sent, answered and run, with the milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            begun: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn add(&self, text: impl Into<String>) {
        let at = self.begun.elapsed().as_millis();
        lock(&self.lines).push((at, text.into()));
    }

    /// Returns the milliseconds since the start of the run at `time`.
    pub fn ms(&self, time: Instant) -> u128 {
        time.saturating_duration_since(self.begun).as_millis()
    }

    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut out = File::create(path)?;
        for (at, text) in lock(&self.lines).iter() {
            writeln!(out, "{at:>7} {text}")?;
        }
        Ok(())
    }
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How a run ended.
pub enum Verdict {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

impl Verdict {
    pub fn finish(self, record: &Record, path: &Path) -> ExitCode {
        let (code, text) = match self {
            Self::Held(text) => (0, format!("HELD: {text}")),
            Self::Broken(text) => (1, format!("BROKEN: {text}")),
            Self::CouldNotRun(text) => (2, format!("COULD NOT RUN: {text}")),
        };
        println!("{text}");
        record.add(text);
        if let Err(e) = record.write(path) {
            println!("the record could not be written: {e}");
            return ExitCode::from(2);
        }
        ExitCode::from(code)
    }
}

/// A folder that is removed at the end.
pub struct TempFolder(PathBuf);

impl TempFolder {
    pub fn new() -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// An entry VM. Its process is killed when this is dropped.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Child,
    /// When the process was started.
    pub started: Instant,
    /// When the process got SIGTERM.
    pub stopped: Option<Instant>,
}

impl Node {
    /// Starts an entry VM with settings as the deploy file's template has them.
    pub fn start(
        name: &str,
        zone: &str,
        store: SocketAddr,
        folder: &TempFolder,
    ) -> std::io::Result<Self> {
        let front = free_address();
        let ready = free_address();
        let (directory, peer, metrics) = (free_address(), free_address(), free_address());
        let text = format!(
            "node: \"{name}\"\nzone: \"{zone}\"\nlisten:\n  front: \"{front}\"\n  ready: \"{ready}\"\n  \
             directory: \"{directory}\"\n  peer: \"{peer}\"\n  metrics: \"{metrics}\"\nstore:\n  \
             address: \"{store}\"\n  read_rate: 2000\n  lease_ms: 1000\nbounds:\n  drain_ms: 2000\n  \
             grace_s: 8\n  stall_ms: 5000\n  advice_s: 5\n  repeat_ratio: 0.2\n  repeat_extra: 103\n  \
             repeat_s: 10\ncores: 0.25\nmemory_mb: 260\n"
        );
        let settings = folder.0.join(format!("{name}.yaml"));
        fs::write(&settings, text)?;
        let program = std::env::var_os("HEMLOCK_NODE").map_or_else(
            || PathBuf::from("target/release/hemlock-node"),
            PathBuf::from,
        );
        let log = folder.0.join(format!("{name}.log"));
        let child = spawn(&program, &settings, &log)?;
        Ok(Self {
            name: name.to_owned(),
            front,
            ready,
            settings,
            log,
            program,
            child,
            started: Instant::now(),
            stopped: None,
        })
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&mut self) {
        self.stopped = Some(Instant::now());
        self.signal(Signal::TERM);
    }

    /// Waits until the process has ended, with SIGKILL after the grace time; returns whether that was
    /// needed.
    pub fn wait_end(&mut self) -> bool {
        let due = Instant::now() + GRACE;
        while Instant::now() < due {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return false;
            }
            thread::sleep(Duration::from_millis(20));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        true
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Starts the process again with the same settings.
    pub fn start_again(&mut self) -> std::io::Result<()> {
        self.child = spawn(&self.program, &self.settings, &self.log)?;
        self.started = Instant::now();
        self.stopped = None;
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let response = caller::send(self.ready, "GET /v1/ready HTTP/1.1\r\nHost: a\r\n\r\n");
        response.status == 200
    }

    /// Waits until the process is ready; returns whether it is in time.
    pub fn wait_ready(&self) -> bool {
        let due = Instant::now() + READY_LIMIT;
        while Instant::now() < due {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Returns whether the process runs undisturbed for the stable window before `time`.
    pub fn is_in_touch(&self, time: Instant) -> bool {
        self.stopped.is_none() && time.saturating_duration_since(self.started) >= STABLE_WINDOW
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(folder) = std::env::var_os("KEEP_LOGS") {
            let name = format!("{}.log", self.name);
            let _ = fs::copy(&self.log, Path::new(&folder).join(name));
        }
    }
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> std::io::Result<Child> {
    let out = File::options().create(true).append(true).open(log)?;
    Command::new(program)
        .env_clear()
        .env("HEMLOCKLB_SETTINGS", settings)
        .stdin(Stdio::null())
        .stderr(out.try_clone()?)
        .stdout(out)
        .spawn()
}

/// Starts entry VMs, and waits until all are ready.
pub fn start_nodes(count: usize, store: &Store, folder: &TempFolder) -> Result<Vec<Node>, String> {
    let mut nodes = Vec::new();
    for i in 1..=count {
        let zone = format!("z{i}");
        let node = Node::start(&format!("front-{i}"), &zone, store.address(), folder);
        nodes.push(node.map_err(|e| format!("an entry VM does not start: {e}"))?);
    }
    match nodes.iter().all(Node::wait_ready) {
        true => Ok(nodes),
        false => Err("an entry VM is not ready in time".to_owned()),
    }
}
