//! The entry VM processes and platform stand-ins of one run.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use hemlock_platform_standin::client_processes::ClientProcesses;
use hemlock_platform_standin::endpoint::Endpoint;
use hemlock_platform_standin::fixtures;
use hemlock_platform_standin::server::free_address;
use hemlock_platform_standin::store::Store;
use rustix::process::{Pid, Signal, kill_process};

use crate::callers;
use crate::faults::zone_of;
use hemlock_platform_standin::proxy::{Link, Proxy};

/// Number of events of each stream.
pub const EVENTS_PER_STREAM: u64 = 30;
/// Time for which an endpoint runs a request without a stream.
const RUN_TIME: Duration = Duration::from_millis(30);
/// Time limit within which an entry VM exits after SIGTERM, in seconds.
pub const GRACE_S: u64 = 8;
/// Time for which requests may still reach an endpoint after it began to drain, in milliseconds.
pub const DRAIN_MS: u64 = 2_000;

/// An entry VM, which runs as a process; the process is killed when this is dropped.
#[derive(Debug)]
pub struct Node {
    pub front: SocketAddr,
    pub directory: SocketAddr,
    /// Proxy between this entry VM and the store.
    pub store_link: Proxy,
    child: Child,
    settings: PathBuf,
    log: PathBuf,
}

impl Node {
    fn spawn(index: usize, program: &Path, store: &Store, dir: &Path) -> std::io::Result<Self> {
        let name = client_name(index);
        let (front, directory) = (free_address(), free_address());
        let (ready, peer, metrics) = (free_address(), free_address(), free_address());
        let proxy = Proxy::spawn(store.address())?;
        let settings = dir.join(format!("{name}.yaml"));
        let text = format!(
            "node: {name}\nzone: z{}\nlisten:\n  front: {front}\n  ready: {ready}\n  \
             directory: {directory}\n  peer: {peer}\n  metrics: {metrics}\nstore:\n  address: {}\n  \
             read_rate: 2000\n  lease_ms: 1000\nbounds:\n  drain_ms: {DRAIN_MS}\n  \
             grace_s: {GRACE_S}\n  stall_ms: 5000\n  advice_s: 1\n  repeat_ratio: 0.2\n  \
             repeat_extra: 100\n  repeat_s: 10\ncores: 0.25\n",
            zone_of(index),
            proxy.address()
        );
        std::fs::write(&settings, text)?;
        let log = dir.join(format!("{name}.log"));
        let child = start_process(program, &settings, &log)?;
        Ok(Self {
            front,
            directory,
            store_link: proxy,
            child,
            settings,
            log,
        })
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            // Ignored, since a process that has exited is noticed by `has_exited`.
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Starts a new process with the same settings.
    fn restart(&mut self, program: &Path) -> std::io::Result<()> {
        self.child = start_process(program, &self.settings, &self.log)?;
        Ok(())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start_process(program: &Path, settings: &Path, log: &Path) -> std::io::Result<Child> {
    let out = File::options().create(true).append(true).open(log)?;
    Command::new(program)
        .arg("--settings")
        .arg(settings)
        .stderr(out.try_clone()?)
        .stdout(out)
        .spawn()
}

/// An endpoint, listed under the address of a proxy in front of it.
#[derive(Debug)]
pub struct ProxiedEndpoint {
    pub endpoint: Endpoint,
    pub link: Proxy,
}

impl ProxiedEndpoint {
    fn spawn(
        store: &Store,
        clients: &ClientProcesses,
        id: &str,
        service: &str,
        domain: Option<&str>,
    ) -> std::io::Result<Self> {
        let endpoint = Endpoint::spawn(store, id, service, domain);
        endpoint.set_event_count(EVENTS_PER_STREAM);
        endpoint.set_run_time(RUN_TIME);
        let link = Proxy::spawn_for(endpoint.address(), clients)?;
        endpoint.publish_entry_at(link.address());
        Ok(Self { endpoint, link })
    }
}

fn client_name(index: usize) -> String {
    format!("entry-{index}")
}

/// The store, endpoints and entry VMs of a run.
#[derive(Debug)]
pub struct Deployment {
    pub store: Store,
    pub nodes: Vec<Node>,
    pub endpoints: Vec<ProxiedEndpoint>,
    /// Path prefixes of the routes that versions of the configuration have added, the newest last.
    pub added_routes: Vec<String>,
    /// Processes of the entry VMs, whose links to the endpoints can be cut.
    clients: ClientProcesses,
    version: u64,
}

impl Deployment {
    /// Starts the stand-ins, and an entry VM for each of `programs`, which runs it. They keep their
    /// settings and logs in `dir`.
    pub fn spawn(programs: &[&Path], dir: &Path) -> std::io::Result<Self> {
        let (store, clients) = (Store::spawn(), ClientProcesses::default());
        let spawn = |id: &str, service: &str, domain: Option<&str>| {
            ProxiedEndpoint::spawn(&store, &clients, id, service, domain)
        };
        let plain = (0..3).map(|i| spawn(&format!("p{i}"), "plain", None));
        let engine = |i: usize| {
            let domain = format!("d{}", i / 5);
            spawn(&format!("e{i}"), "models", Some(&domain))
        };
        let endpoints = plain.chain((0..10).map(engine)).collect::<Result<_, _>>()?;
        let mut deployment = Self {
            store,
            nodes: Vec::new(),
            endpoints,
            added_routes: Vec::new(),
            clients,
            version: 1,
        };
        deployment.publish_config();
        for (index, program) in programs.iter().enumerate() {
            let node = Node::spawn(index, program, &deployment.store, dir)?;
            deployment.clients.register(&client_name(index), node.pid());
            deployment.nodes.push(node);
        }
        Ok(deployment)
    }

    /// Starts a new process of an entry VM, whose links stay as they are.
    pub fn restart(&mut self, index: usize, program: &Path) -> std::io::Result<()> {
        self.nodes[index].restart(program)?;
        let pid = self.nodes[index].pid();
        self.clients.register(&client_name(index), pid);
        Ok(())
    }

    /// Sets the link between an entry VM and all endpoints.
    pub fn set_endpoint_links(&self, index: usize, link: Link) {
        self.clients.set_link(&client_name(index), link);
    }

    /// Publishes a version of the configuration that adds a route.
    pub fn add_route(&mut self) {
        self.version += 1;
        self.added_routes.push(format!("/v{}/", self.version));
        self.publish_config();
    }

    /// Writes the newest version of the configuration to the store.
    pub fn publish_config(&self) {
        let mut config = fixtures::config(self.version);
        if let Some(routes) = config["routes"].as_array_mut() {
            routes.extend(
                self.added_routes
                    .iter()
                    .map(|p| fixtures::route(p, "idempotent", "plain")),
            );
        }
        fixtures::publish_config(&self.store, &config);
    }

    /// Sets whether requests with [`callers::CRASHING_PART`] crash engines.
    pub fn set_crashing_part(&self, crashes: bool) {
        for proxied in &self.endpoints {
            let part = crashes.then_some(callers::CRASHING_PART);
            proxied.endpoint.set_crashing_part(part);
        }
    }

    /// Returns when parts of prompts crashed engines, the earliest first.
    pub fn crashes(&self) -> Vec<Instant> {
        let crashes = self.endpoints.iter().flat_map(|e| e.endpoint.crashes());
        let mut crashes: Vec<Instant> = crashes.collect();
        crashes.sort();
        crashes
    }

    /// Returns when requests reached each endpoint, in their order.
    pub fn arrivals(&self) -> Vec<Vec<Instant>> {
        let endpoints = self.endpoints.iter();
        endpoints.map(|e| e.endpoint.arrival_times()).collect()
    }

    /// Returns the request, endpoint and start of each execution of a request.
    pub fn runs(&self) -> Vec<(String, String, Instant)> {
        let runs_of = |e: &ProxiedEndpoint| {
            let id = e.endpoint.id().to_owned();
            let runs = e.endpoint.runs().into_iter();
            runs.map(move |r| (r.request_id, id.clone(), r.started_at))
                .collect::<Vec<_>>()
        };
        self.endpoints.iter().flat_map(runs_of).collect()
    }
}
