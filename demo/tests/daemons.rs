//! Daemons of several entry VMs as processes; the stand-ins for the platform run in the test process.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use hemlock_lib::view::View;
use hemlock_testutils::deployments::Deployment;
use hemlock_testutils::engine::EngineConfig;
use hemlock_testutils::platform::Platform;
use hemlock_testutils::ports::PortBlock;
use hemlock_wire::{agent_client, http_client};
use rustix::process::{Pid, Signal, kill_process};

/// Name of the gateway program.
pub const GATEWAY: &str = "hemlock-gateway";
/// Name of the agent program.
pub const AGENT: &str = "hemlock-agent";
/// Name of the planner program.
pub const PLANNER: &str = "hemlock-planner";

/// Time limit of [`wait`].
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
/// Number of ports that one entry VM uses.
const PORTS_PER_ENTRY: usize = 3;

/// Entry VMs of one deployment, each with its three daemons.
pub struct Daemons {
    pub platform: Platform,
    pub deployment: Deployment,
    ports: PortBlock,
    dir: tempfile::TempDir,
    children: BTreeMap<(usize, &'static str), Child>,
}

impl Daemons {
    /// Starts the platform and `entries` entry VMs, each with its three daemons.
    pub fn spawn(deployment: Deployment, entries: usize) -> Self {
        let platform =
            Platform::spawn("127.0.0.1:0", &deployment.vms(), EngineConfig::default()).unwrap();
        let dir = tempfile::tempdir().unwrap();
        fs::write(dir.path().join("gossip.key"), "test secret").unwrap();
        let ports = PortBlock::reserve((entries * PORTS_PER_ENTRY) as u16);
        let mut daemons = Self {
            platform,
            deployment,
            ports,
            dir,
            children: BTreeMap::new(),
        };
        for i in 0..entries {
            let (log, vms) = (daemons.platform.log_url(), daemons.platform.vms_url());
            let settings = deployment.settings(i, daemons.ports.base, &log, &vms);
            fs::write(daemons.settings_path(i), settings).unwrap();
            for program in [AGENT, PLANNER, GATEWAY] {
                daemons.start(i, program);
            }
        }
        daemons
    }

    /// Returns the base URL of an entry VM's gateway.
    pub fn gateway(&self, i: usize) -> String {
        format!(
            "http://127.0.0.1:{}",
            self.ports.base + (i * PORTS_PER_ENTRY) as u16
        )
    }

    /// Returns the base URL of an entry VM's agent.
    pub fn agent(&self, i: usize) -> String {
        format!(
            "http://127.0.0.1:{}",
            self.ports.base + (i * PORTS_PER_ENTRY) as u16 + 1
        )
    }

    /// Starts a daemon of entry VM `i`.
    pub fn start(&mut self, i: usize, program: &'static str) {
        let child = Command::new(program_path(program))
            .arg("--settings")
            .arg(self.settings_path(i))
            .spawn()
            .unwrap_or_else(|e| panic!("build the workspace first: can't start {program}: {e}"));
        self.children.insert((i, program), child);
    }

    /// Sends a signal to a daemon of entry VM `i`.
    pub fn signal(&self, i: usize, program: &'static str, signal: Signal) {
        let child = &self.children[&(i, program)];
        kill_process(Pid::from_child(child), signal).unwrap();
    }

    /// Waits until a daemon has ended, and returns whether it ended with success.
    pub fn wait_end(&mut self, i: usize, program: &'static str) -> bool {
        let mut child = self.children.remove(&(i, program)).unwrap();
        let mut status = None;
        wait(&format!("{program} of entry VM {i} ends"), || {
            status = child.try_wait().unwrap();
            status.is_some()
        });
        status.is_some_and(|s| s.success())
    }

    /// Returns the view of an agent, or `None` if it does not answer.
    pub fn view(&self, i: usize) -> Option<View> {
        let url = self.agent(i);
        http_client::block_on_new_thread("test-view", async move || {
            agent_client::view(&url, Duration::from_secs(2)).await.ok()
        })
    }

    /// Returns the number of serving replicas in the view of an agent, or 0 if it does not answer.
    pub fn serving_replicas(&self, i: usize) -> usize {
        let Some(view) = self.view(i) else { return 0 };
        view.replicas()
            .filter(|(id, a)| view.is_serving(id, a))
            .count()
    }

    /// Writes the table of the deployment to a file and returns its directory.
    pub fn write_table(&self) -> PathBuf {
        let dir = self.dir.path().join("table");
        fs::create_dir_all(&dir).unwrap();
        let text = self.deployment.declaration();
        fs::write(dir.join("table.yaml"), text).unwrap();
        dir
    }

    fn settings_path(&self, i: usize) -> PathBuf {
        self.dir.path().join(format!("entry-{i}.yaml"))
    }
}

impl Drop for Daemons {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Waits until `done` returns true.
///
/// # Panics
///
/// Panics after [`WAIT_TIMEOUT`]; the message names `condition`.
pub fn wait(condition: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !done() {
        assert!(
            Instant::now() < end,
            "waited {WAIT_TIMEOUT:?} until {condition}"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn program_path(program: &str) -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_hemlock-demo")).with_file_name(program)
}
