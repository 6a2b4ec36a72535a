//! The entry VM processes and platform stand-ins of one run.

use std::collections::BTreeSet;
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

use crate::callers::{self, RequestKind, Workload};
use crate::faults::{ZONES, zone_of};
use hemlock_platform_standin::proxy::{Link, Proxy};

/// Number of events of each stream, unless its request says how long it may be.
pub const EVENTS_PER_STREAM: u32 = 30;
/// Number of tokens of each event, and interval between two, where a request says how long its
/// stream may be.
pub const STRIDE: u32 = 5;
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Number of endpoints of the first service. The engines come after them.
pub const PLAIN_ENDPOINTS: usize = 3;
/// Minimum number of engines, and callers with long streams that an engine has slots for.
const MIN_ENGINES: usize = 10;
const CALLERS_PER_ENGINE: usize = 3;
/// Number of engines of a failure domain.
const ENGINES_PER_DOMAIN: usize = 5;
/// Maximum number of runs of a request that may run more than once.
pub const MAX_ATTEMPTS: usize = 2;
/// Timeouts in seconds of routes without and with streams, one after the other, where they change.
const TIMEOUTS_S: [(u64, u64); 3] = [(5, 7), (6, 8), (8, 10)];
/// Weights of a service that moves, one after the other.
const WEIGHTS: [f64; 4] = [0.0, 10.0, 50.0, 90.0];
/// Service to which requests move and from which they move back.
const SPARE_SERVICE: &str = "spare";
/// Number of endpoints of the spare service, which come after the engines.
pub const SPARE_ENDPOINTS: usize = 2;
/// Time for which an endpoint runs a request without a stream.
const RUN_TIME: Duration = Duration::from_millis(30);
/// Time limit within which an entry VM exits after SIGTERM, in seconds.
pub const GRACE_S: u64 = 8;
/// Time for which requests may still reach an endpoint after it began to drain, in milliseconds.
pub const DRAIN_MS: u64 = 2_000;

/// Seconds for which endpoints are cold after a start, and the requests a second that they take
/// meanwhile, in runs with warm-ups.
const COLD_START_S: f64 = 2.5;
const COLD_RATE: f64 = 2.0;
/// Factor on that rate, and requests beyond it, that a cold endpoint bears in one second.
const COLD_EXCESS: f64 = 1.5;
const COLD_SLACK: f64 = 2.0;
/// Requests in one second that a cold endpoint bears; it crashes above half as many again.
pub const COLD_BOUND: usize = (COLD_RATE * COLD_EXCESS + COLD_SLACK) as usize;

/// Returns the number of the zone of an endpoint where these have several zones.
pub fn endpoint_zone(index: usize) -> usize {
    match index.checked_sub(PLAIN_ENDPOINTS) {
        None => zone_of(index),
        Some(engine) => zone_of(engine / ENGINES_PER_DOMAIN),
    }
}

/// Returns the shortest timeout of requests of a kind, where timeouts change.
pub fn min_timeout(kind: RequestKind) -> Duration {
    let timeout = |(plain, stream): (u64, u64)| match kind {
        RequestKind::Idempotent | RequestKind::NonIdempotent => plain,
        RequestKind::Stream => stream,
    };
    let shortest = TIMEOUTS_S.into_iter().map(timeout).min();
    Duration::from_secs(shortest.unwrap_or(0))
}

/// An execution of a request at an endpoint.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub endpoint: String,
    pub started_at: Instant,
    /// When the endpoint ended the work, if it has.
    pub ended_at: Option<Instant>,
}

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
    fn spawn(
        index: usize,
        program: &Path,
        store: &Store,
        dir: &Path,
        warms_up: bool,
    ) -> std::io::Result<Self> {
        let name = client_name(index);
        let (front, directory) = (free_address(), free_address());
        let (ready, peer, metrics) = (free_address(), free_address(), free_address());
        let proxy = Proxy::spawn(store.address())?;
        let settings = dir.join(format!("{name}.yaml"));
        let bounds = match warms_up {
            true => {
                format!("  warm_up_excess: {COLD_EXCESS}\n  warm_up_slack: {COLD_SLACK}\n")
            }
            false => String::new(),
        };
        let text = format!(
            "node: {name}\nzone: z{}\nlisten:\n  front: {front}\n  ready: {ready}\n  \
             directory: {directory}\n  peer: {peer}\n  metrics: {metrics}\nstore:\n  address: {}\n  \
             read_rate: 2000\n  lease_ms: 1000\nbounds:\n  drain_ms: {DRAIN_MS}\n  \
             grace_s: {GRACE_S}\n  stall_ms: 5000\n  advice_s: 1\n  repeat_ratio: 0.2\n  \
             repeat_extra: 100\n  repeat_s: 10\n{bounds}cores: 0.25\n",
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
        endpoint.set_event_count(EVENTS_PER_STREAM.into());
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
    /// Zones that are evacuated, as the operators want it.
    evacuated: BTreeSet<usize>,
    version: u64,
    workload: Workload,
    /// Whether the configuration names a warm-up of the endpoints.
    warms_up: bool,
}

impl Deployment {
    /// Starts the stand-ins, and an entry VM for each of `programs`, which runs it. They keep their
    /// settings and logs in `dir`. With a workload of long streams, versions of the configuration also
    /// change timeouts and weights, and there are more engines for many callers. `warms_up` has endpoints
    /// be cold after a start, as the configuration says.
    pub fn spawn(
        programs: &[&Path],
        dir: &Path,
        workload: Workload,
        callers: usize,
        warms_up: bool,
    ) -> std::io::Result<Self> {
        let (store, clients) = (Store::spawn(), ClientProcesses::default());
        let spawn = |id: &str, service: &str, domain: Option<&str>| {
            ProxiedEndpoint::spawn(&store, &clients, id, service, domain)
        };
        let plain = (0..PLAIN_ENDPOINTS).map(|i| spawn(&format!("p{i}"), "plain", None));
        let engine = |i: usize| {
            let domain = format!("d{}", i / ENGINES_PER_DOMAIN);
            spawn(&format!("e{i}"), "models", Some(&domain))
        };
        let engines = match workload {
            Workload::Short => MIN_ENGINES,
            Workload::Long => MIN_ENGINES.max(callers / CALLERS_PER_ENGINE),
        };
        let endpoints = plain.chain((0..engines).map(engine));
        let endpoints = match workload {
            Workload::Short => endpoints.collect::<Result<Vec<_>, _>>()?,
            Workload::Long => {
                let spare =
                    (0..SPARE_ENDPOINTS).map(|i| spawn(&format!("s{i}"), SPARE_SERVICE, None));
                let endpoints = endpoints.chain(spare).collect::<Result<Vec<_>, _>>()?;
                for proxied in &endpoints {
                    proxied.endpoint.set_stride(STRIDE.into(), EVENT_INTERVAL);
                }
                endpoints
            }
        };
        if warms_up {
            let start_time = Duration::from_secs_f64(COLD_START_S);
            for proxied in &endpoints {
                let crash_above = Some(COLD_BOUND + COLD_BOUND / 2);
                proxied.endpoint.set_warm_up(start_time, crash_above);
            }
        }
        let mut deployment = Self {
            store,
            nodes: Vec::new(),
            endpoints,
            added_routes: Vec::new(),
            clients,
            evacuated: BTreeSet::new(),
            version: 1,
            workload,
            warms_up,
        };
        deployment.publish_config();
        for (index, program) in programs.iter().enumerate() {
            let node = Node::spawn(index, program, &deployment.store, dir, warms_up)?;
            deployment.nodes.push(node);
            deployment.register_client(index);
        }
        Ok(deployment)
    }

    /// Starts a new process of an entry VM, whose links stay as they are.
    pub fn restart(&mut self, index: usize, program: &Path) -> std::io::Result<()> {
        self.nodes[index].restart(program)?;
        self.register_client(index);
        Ok(())
    }

    /// Has the proxies find the connections of an entry VM, which takes them some time for each new
    /// one. Only cuts of entry VMs need it, and runs with long streams have none.
    fn register_client(&self, index: usize) {
        if self.workload == Workload::Short {
            let pid = self.nodes[index].pid();
            self.clients.register(&client_name(index), pid);
        }
    }

    /// Spreads the endpoints over the zones: plain ones by turns, and engines by failure domain.
    pub fn spread_zones(&self) {
        for (index, proxied) in self.endpoints.iter().enumerate() {
            proxied
                .endpoint
                .set_zone(&format!("z{}", endpoint_zone(index)));
        }
    }

    /// Has the operators evacuate a zone, or take it back.
    pub fn set_evacuated(&mut self, zone: usize, is_evacuated: bool) {
        match is_evacuated {
            true => self.evacuated.insert(zone),
            false => self.evacuated.remove(&zone),
        };
        self.write_evacuation(zone);
    }

    /// Writes the record of a zone's evacuation, or removes it.
    fn write_evacuation(&self, zone: usize) {
        let name = format!("z{zone}");
        match self.evacuated.contains(&zone) {
            true => fixtures::evacuate(&self.store, &name),
            false => fixtures::take_back(&self.store, &name),
        }
    }

    /// Writes the records of all zones again, for a store that came back older.
    pub fn rewrite_evacuations(&self) {
        for zone in 1..=ZONES {
            self.write_evacuation(zone);
        }
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
        if self.workload == Workload::Long {
            let timeouts = TIMEOUTS_S[self.version as usize % TIMEOUTS_S.len()];
            let weight = WEIGHTS[self.version as usize % WEIGHTS.len()];
            for (prefix, seconds) in [
                ("/plain/", timeouts.0),
                ("/once/", timeouts.0),
                ("/stream/", timeouts.1),
            ] {
                fixtures::set_timeout(&mut config, prefix, Duration::from_secs(seconds));
            }
            fixtures::add_service(&mut config, SPARE_SERVICE);
            let weights = [("plain", 100.0 - weight), (SPARE_SERVICE, weight)];
            fixtures::set_weights(&mut config, "/plain/", &weights);
        }
        if self.warms_up {
            fixtures::set_warm_up(&mut config, COLD_START_S, COLD_RATE);
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

    /// Returns the times in which each endpoint was cold.
    pub fn cold_periods(&self) -> Vec<Vec<(Instant, Instant)>> {
        let endpoints = self.endpoints.iter();
        endpoints.map(|e| e.endpoint.cold_periods()).collect()
    }

    /// Returns all executions of requests.
    pub fn runs(&self) -> Vec<Run> {
        let runs_of = |e: &ProxiedEndpoint| {
            let endpoint = e.endpoint.id().to_owned();
            let runs = e.endpoint.runs().into_iter();
            runs.map(move |r| Run {
                id: r.request_id,
                endpoint: endpoint.clone(),
                started_at: r.started_at,
                ended_at: r.ended_at,
            })
            .collect::<Vec<_>>()
        };
        self.endpoints.iter().flat_map(runs_of).collect()
    }
}
