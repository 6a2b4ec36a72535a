//! The real daemons of several entry VMs as processes, with stand-ins in the test process.

use std::collections::BTreeMap;
use std::fs;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use hemlock_lib::view::View;
use hemlock_testutils::deployments::Deployment;
use hemlock_testutils::engine::EngineConfig;
use hemlock_testutils::platform::Platform;
use hemlock_wire::{agent_client, http_client};
use rustix::process::{Pid, Signal, kill_process};

/// The daemon programs.
pub const GATEWAY: &str = "hemlock-gateway";
pub const AGENT: &str = "hemlock-agent";
pub const PLANNER: &str = "hemlock-planner";

/// Time that anything awaited may take.
const PATIENCE: Duration = Duration::from_secs(40);
/// Ports that one entry VM uses.
const PORTS: usize = 3;

/// Entry VMs of one deployment, each with its three daemons.
pub struct Daemons {
    pub platform: Platform,
    pub deployment: Deployment,
    base: u16,
    dir: tempfile::TempDir,
    children: BTreeMap<(usize, &'static str), Child>,
}

impl Daemons {
    /// Starts `entries` entry VMs.
    pub fn spawn(deployment: Deployment, entries: usize) -> Self {
        let platform =
            Platform::spawn("127.0.0.1:0", &deployment.vms(), EngineConfig::default()).unwrap();
        let dir = tempfile::tempdir().unwrap();
        fs::write(dir.path().join("gossip.key"), "test secret").unwrap();
        let base = free_ports(entries * PORTS);
        let mut daemons = Self {
            platform,
            deployment,
            base,
            dir,
            children: BTreeMap::new(),
        };
        for i in 0..entries {
            let (log, vms) = (daemons.platform.log_url(), daemons.platform.vms_url());
            let settings = deployment.settings(i, base, &log, &vms);
            fs::write(daemons.settings(i), settings).unwrap();
            for program in [AGENT, PLANNER, GATEWAY] {
                daemons.start(i, program);
            }
        }
        daemons
    }

    /// Returns the base URL of an entry VM's gateway.
    pub fn gateway(&self, i: usize) -> String {
        format!("http://127.0.0.1:{}", self.base + (i * PORTS) as u16)
    }

    /// Returns the base URL of an entry VM's agent.
    pub fn agent(&self, i: usize) -> String {
        format!("http://127.0.0.1:{}", self.base + (i * PORTS) as u16 + 1)
    }

    /// Starts one daemon.
    pub fn start(&mut self, i: usize, program: &'static str) {
        let child = Command::new(binary(program))
            .arg("--settings")
            .arg(self.settings(i))
            .spawn()
            .unwrap_or_else(|e| panic!("build the workspace first: can't start {program}: {e}"));
        self.children.insert((i, program), child);
    }

    /// Sends a signal to one daemon.
    pub fn signal(&self, i: usize, program: &'static str, signal: Signal) {
        let child = &self.children[&(i, program)];
        kill_process(Pid::from_child(child), signal).unwrap();
    }

    /// Waits until a daemon has ended, and returns whether it ended well.
    pub fn wait_end(&mut self, i: usize, program: &'static str) -> bool {
        let mut child = self.children.remove(&(i, program)).unwrap();
        let mut status = None;
        wait(&format!("{program} of entry VM {i} ends"), || {
            status = child.try_wait().unwrap();
            status.is_some()
        });
        status.is_some_and(|s| s.success())
    }

    /// Returns an agent's view, if it answers.
    pub fn view(&self, i: usize) -> Option<View> {
        let url = self.agent(i);
        http_client::block_on_new_thread("test-view", async move || {
            agent_client::view(&url, Duration::from_secs(2)).await.ok()
        })
    }

    /// Returns the number of replicas that serve, as an agent sees it.
    pub fn serving(&self, i: usize) -> usize {
        let Some(view) = self.view(i) else { return 0 };
        view.replicas()
            .filter(|(id, a)| view.is_serving(id, a))
            .count()
    }

    /// Writes the deployment's table to files and returns their directory.
    pub fn write_table(&self) -> PathBuf {
        let dir = self.dir.path().join("table");
        fs::create_dir_all(&dir).unwrap();
        let text = self.deployment.declaration();
        fs::write(dir.join("table.yaml"), text).unwrap();
        dir
    }

    fn settings(&self, i: usize) -> PathBuf {
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

/// Waits until `done` holds.
pub fn wait(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !done() {
        assert!(Instant::now() < end, "waited {PATIENCE:?} until {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn binary(program: &str) -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_hemlock-demo")).with_file_name(program)
}

/// Finds a run of free ports; below the range from which the kernel takes ports for connections.
fn free_ports(count: usize) -> u16 {
    let free = |base: &u16| {
        (*base..base + count as u16).all(|p| TcpListener::bind(("127.0.0.1", p)).is_ok())
    };
    (20_000..30_000)
        .step_by(100)
        .find(free)
        .expect("some run of ports is free")
}
