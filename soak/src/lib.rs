//! Randomized soak test: runs entry VMs as real processes with stand-ins for the platform, injects
//! faults from outside, and checks the guarantees.
//!
//! Clock changes are not among the faults: the daemon uses the boot clock, which only root can set.

mod callers;
mod checks;
mod deployment;
mod faults;
mod losses;
mod pauses;

use std::collections::{BTreeSet, VecDeque};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use hemlock_platform_standin::{caller, fixtures, store};
use rustix::process::Signal;

use crate::callers::{Callers, Workload};
use crate::checks::{InjectedFault, Probe, Report};
use crate::deployment::{Deployment, GRACE_S};
pub use crate::faults::FaultSet;
use crate::faults::{Fault, ScheduledFault};
use hemlock_platform_standin::proxy::Link;

/// Interval at which due faults and exited processes are checked for.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for the entry VMs and groups to start, before the first request.
const STARTUP_TIME: Duration = Duration::from_secs(4);
/// Time for the entry VMs to recover after the last fault.
const RECOVERY_TIME: Duration = Duration::from_secs(8);
/// Time after the recovery for which callers still send requests.
const OBSERVATION_TIME: Duration = Duration::from_secs(2);
/// Interval between two probes of the configuration.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two copies of the store, and their number.
const COPY_INTERVAL: Duration = Duration::from_millis(100);
const MAX_COPIES: usize = 100;
/// Time after which operators and endpoints have written again to a store that came back older.
const REWRITE_TIME: Duration = Duration::from_millis(1_200);
/// Time beyond its limit that a stopping process may take.
const STOP_TOLERANCE: Duration = Duration::from_millis(1_500);

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct Soak {
    /// Path of the `hemlock-node` program.
    pub program: PathBuf,
    /// Path of an older `hemlock-node`, which every second entry VM runs until it is restarted.
    pub older: Option<PathBuf>,
    /// Number of entry VMs.
    pub nodes: usize,
    /// Number of callers.
    pub callers: usize,
    /// Time in which faults begin and end.
    pub fault_period: Duration,
    /// Seed of the faults and requests.
    pub seed: u64,
    /// Kinds of faults.
    pub fault_set: FaultSet,
    /// Directory for the settings and logs of the entry VMs.
    pub dir: PathBuf,
}

/// Outcome of a run.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Number of requests sent.
    pub requests: usize,
    /// Number of requests with a complete and successful response.
    pub served: usize,
    /// Faults that were injected, with their times.
    pub faults: Vec<String>,
    /// Number of requests by kind, end, status and whether an endpoint ran them.
    pub counts: Vec<String>,
    /// Violations of the guarantees.
    pub broken: Vec<String>,
}

struct SoakRun<'a> {
    soak: &'a Soak,
    deployment: Deployment,
    /// Number of restarts of each entry VM.
    incarnations: Arc<Mutex<Vec<u32>>>,
    /// Path prefixes of the added routes, shared with the prober.
    added_routes: Arc<Mutex<Vec<String>>>,
    injected: Vec<InjectedFault>,
    /// Path prefixes of the added routes, with the times at which they were added.
    route_times: Vec<(String, Instant)>,
    /// Entry VMs that got SIGTERM, and how long they have run since.
    stopping: Vec<(usize, Duration)>,
    /// Entry VMs that were restarted, and when.
    restarts: Vec<(usize, Instant)>,
    /// Entry VMs that are suspended.
    paused: BTreeSet<usize>,
    /// Copies of the store, the oldest first, with the times at which they were taken.
    copies: VecDeque<(Instant, store::Content)>,
    /// When operators and endpoints write again after the store came back older.
    rewrite_at: Option<Instant>,
    /// Set to end the requests with the crashing part.
    stop_crashing: Arc<AtomicBool>,
    /// Endpoints that have disappeared.
    crashed: BTreeSet<usize>,
    broken: Vec<String>,
}

impl Soak {
    /// Runs the test once and returns its outcome. Fails if a file or process cannot be created.
    pub fn run(&self) -> io::Result<Outcome> {
        let programs: Vec<&Path> = (0..self.nodes)
            .map(|n| match &self.older {
                Some(older) if !n.is_multiple_of(2) => older.as_path(),
                Some(_) | None => self.program.as_path(),
            })
            .collect();
        let workload = match self.fault_set {
            FaultSet::Pauses => Workload::Long,
            _ => Workload::Short,
        };
        let warms_up = self.fault_set == FaultSet::WarmUps;
        let deployment = Deployment::spawn(&programs, &self.dir, workload, self.callers, warms_up)?;
        if self.fault_set == FaultSet::Evacuations {
            deployment.spread_zones();
        }
        thread::sleep(STARTUP_TIME);
        let directories: Vec<_> = deployment.nodes.iter().map(|n| n.directory).collect();
        let fronts: Vec<_> = deployment.nodes.iter().map(|n| n.front).collect();
        let drops_closed = matches!(self.fault_set, FaultSet::Pauses | FaultSet::Evacuations);
        let mut callers = Callers::spawn(
            self.callers,
            &directories,
            self.seed,
            workload,
            drops_closed,
        );
        if matches!(
            self.fault_set,
            FaultSet::Cuts | FaultSet::Limits | FaultSet::WarmUps
        ) {
            callers.spawn_steady(&fronts);
        }
        if matches!(self.fault_set, FaultSet::Limits | FaultSet::Pauses) {
            callers.spawn_leaving(&fronts, self.seed);
        }
        let mut run = SoakRun {
            soak: self,
            incarnations: Arc::new(Mutex::new(vec![0; self.nodes])),
            added_routes: Arc::default(),
            injected: Vec::new(),
            route_times: Vec::new(),
            stopping: Vec::new(),
            restarts: Vec::new(),
            paused: BTreeSet::new(),
            copies: VecDeque::new(),
            rewrite_at: None,
            stop_crashing: Arc::default(),
            crashed: BTreeSet::new(),
            broken: Vec::new(),
            deployment,
        };
        let (stop, probes) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let prober = run.spawn_prober(&stop, &probes);
        let scheduled = faults::draw_schedule(
            self.seed,
            self.fault_set,
            self.fault_period,
            self.nodes,
            run.deployment.endpoints.len(),
        );
        run.inject(&scheduled)?;
        let recovered_at = Instant::now();
        thread::sleep(OBSERVATION_TIME);
        stop.store(true, Ordering::Relaxed);
        if prober.join().is_err() {
            run.broken.push("the prober panicked".to_owned());
        }
        let (requests, left) = callers.finish();
        let probes = probes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let report = Report {
            fault_set: self.fault_set,
            runs: run.deployment.runs(),
            crashes: run.deployment.crashes(),
            arrivals: run.deployment.arrivals(),
            cold_periods: run.deployment.cold_periods(),
            left,
            probes,
            faults: run.injected,
            fronts,
            restarts: run.restarts,
            routes_added_at: run.route_times.into_iter().collect(),
            endpoints: run
                .deployment
                .endpoints
                .iter()
                .map(|e| e.endpoint.id().to_owned())
                .collect(),
            endpoint_violations: run.deployment.store.violations(),
            recovered_at,
            requests,
        };
        let mut broken = report.violations();
        broken.extend(run.broken);
        let served = report
            .requests
            .iter()
            .filter(|s| s.response.status == 200 && s.response.complete);
        Ok(Outcome {
            counts: losses::count_ends(&report.requests, &report.runs),
            requests: report.requests.len(),
            served: served.count(),
            faults: scheduled
                .iter()
                .map(|p| format!("{:?} at {:?}", p.fault, p.at))
                .collect(),
            broken,
        })
    }
}

impl SoakRun<'_> {
    /// Starts a thread that repeatedly requests the newest route of each entry VM.
    fn spawn_prober(
        &self,
        stop: &Arc<AtomicBool>,
        probes: &Arc<Mutex<Vec<Probe>>>,
    ) -> thread::JoinHandle<()> {
        let fronts: Vec<_> = self.deployment.nodes.iter().map(|n| n.front).collect();
        let (stop, probes) = (stop.clone(), probes.clone());
        let (incarnations, added_routes) = (self.incarnations.clone(), self.added_routes.clone());
        let incarnation_of =
            move |node: usize| incarnations.lock().unwrap_or_else(PoisonError::into_inner)[node];
        thread::spawn(move || {
            let mut probe_count = 0;
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(PROBE_INTERVAL);
                let newest = added_routes
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .last()
                    .cloned();
                let Some(path): Option<String> = newest else {
                    continue;
                };
                for (node, front) in fronts.iter().enumerate() {
                    probe_count += 1;
                    let before = incarnation_of(node);
                    let text =
                        fixtures::request("GET", &path, &format!("probe-{probe_count}"), "", "");
                    let sent_at = Instant::now();
                    let status = caller::send(*front, &text).status;
                    if incarnation_of(node) == before {
                        let probe = Probe {
                            node,
                            incarnation: before,
                            path: path.clone(),
                            sent_at,
                            status,
                        };
                        probes
                            .lock()
                            .unwrap_or_else(PoisonError::into_inner)
                            .push(probe);
                    }
                }
            }
        })
    }

    /// Begins and ends the faults at their times, and waits for the recovery.
    fn inject(&mut self, scheduled: &[ScheduledFault]) -> io::Result<()> {
        let start = Instant::now();
        let mut pending: Vec<&ScheduledFault> = scheduled.iter().collect();
        let mut active: Vec<(&ScheduledFault, Instant)> = Vec::new();
        while !pending.is_empty() || !active.is_empty() || !self.stopping.is_empty() {
            let now = start.elapsed();
            for p in pending.extract_if(.., |p| p.at <= now) {
                // Read the clock before the fault begins, since callers notice a kill at once.
                let from = Instant::now();
                self.begin_fault(&p.fault);
                active.push((p, from));
            }
            for (p, from) in active
                .extract_if(.., |(p, _)| p.until <= now)
                .collect::<Vec<_>>()
            {
                self.end_fault(&p.fault)?;
                self.injected.push(InjectedFault {
                    fault: p.fault,
                    from,
                    until: Instant::now(),
                });
            }
            self.restart_exited()?;
            self.copy_store();
            self.rewrite_if_due();
            thread::sleep(POLL_INTERVAL);
        }
        if self.rewrite_at.is_some() {
            thread::sleep(REWRITE_TIME);
            self.rewrite_if_due();
        }
        thread::sleep(RECOVERY_TIME);
        Ok(())
    }

    /// Takes a copy of the store if the last one is older than [`COPY_INTERVAL`].
    fn copy_store(&mut self) {
        let is_recent = |(taken_at, _): &(Instant, _)| taken_at.elapsed() < COPY_INTERVAL;
        if self.copies.back().is_some_and(is_recent) {
            return;
        }
        if self.copies.len() >= MAX_COPIES {
            self.copies.pop_front();
        }
        let copy = self.deployment.store.copy();
        self.copies.push_back((Instant::now(), copy));
    }

    /// Brings the store back from the newest copy that is at least this old.
    fn restore_store(&mut self, age: Duration) {
        let is_old_enough = |(taken_at, _): &&(Instant, _)| taken_at.elapsed() >= age;
        if let Some((_, copy)) = self.copies.iter().rev().find(is_old_enough) {
            self.deployment.store.restore(copy.clone());
        }
        // Copies of a store before it came back are not taken any more.
        self.copies.clear();
        self.rewrite_at = Some(Instant::now() + REWRITE_TIME);
        self.deployment.store.set_mode(store::Mode::Up);
    }

    /// Has operators and endpoints write again when the time has come.
    fn rewrite_if_due(&mut self) {
        if self.rewrite_at.is_none_or(|t| t > Instant::now()) {
            return;
        }
        self.rewrite_at = None;
        self.deployment.publish_config();
        if self.soak.fault_set == FaultSet::Evacuations {
            self.deployment.rewrite_evacuations();
        }
        for (index, proxied) in self.deployment.endpoints.iter().enumerate() {
            match self.crashed.contains(&index) {
                true => proxied.endpoint.remove_entry(),
                false => proxied.endpoint.publish_entry(),
            }
        }
    }

    fn begin_fault(&mut self, fault: &Fault) {
        let deployment = &mut self.deployment;
        match *fault {
            Fault::Terminate(n) => {
                deployment.nodes[n].signal(Signal::TERM);
                // A second signal does not extend the time limit.
                if self.stopping.iter().all(|(other, _)| *other != n) {
                    self.stopping.push((n, Duration::ZERO));
                }
            }
            Fault::Kill(n) => {
                deployment.nodes[n].signal(Signal::KILL);
                self.stopping.retain(|(other, _)| *other != n);
            }
            Fault::Pause(n) => {
                deployment.nodes[n].signal(Signal::STOP);
                self.paused.insert(n);
            }
            Fault::Store(mode) => deployment.store.set_mode(mode),
            Fault::Restore(_) => deployment.store.set_mode(store::Mode::Refuse(503)),
            Fault::StoreLink(n, link) => deployment.nodes[n].store_link.set_link(link),
            Fault::Link(e, link) => deployment.endpoints[e].link.set_link(link),
            Fault::Cut(n, link) => deployment.set_endpoint_links(n, link),
            Fault::Endpoint(e, mode) => deployment.endpoints[e].endpoint.set_mode(mode),
            Fault::Limit(e, tenths) => {
                let limit = format!("{}", f64::from(tenths) / 10.0);
                deployment.endpoints[e].endpoint.set_limit(Some(&limit));
            }
            Fault::TurnCold(e, time) => deployment.endpoints[e].endpoint.turn_cold(time),
            Fault::Crash(e) => {
                self.crashed.insert(e);
                deployment.endpoints[e].link.set_link(Link::Reset);
                deployment.endpoints[e].endpoint.remove_entry();
            }
            Fault::Drain(e) => deployment.endpoints[e].endpoint.drain(),
            Fault::Hold(e) => deployment.endpoints[e].link.set_link(Link::CutBack),
            Fault::HangUp(n) => deployment.nodes[n].signal(Signal::HUP),
            Fault::Evacuate(zone) => deployment.set_evacuated(zone, true),
            Fault::CrashingPart => {
                deployment.set_crashing_part(true);
                let fronts = deployment.nodes.iter().map(|n| n.front).collect();
                callers::spawn_crashing(fronts, self.stop_crashing.clone());
            }
            Fault::Configure => {
                deployment.add_route();
                if let Some(path) = deployment.added_routes.last() {
                    self.route_times.push((path.clone(), Instant::now()));
                    let mut added_routes = self
                        .added_routes
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner);
                    added_routes.push(path.clone());
                }
            }
        }
    }

    fn end_fault(&mut self, fault: &Fault) -> io::Result<()> {
        let deployment = &mut self.deployment;
        match *fault {
            Fault::Terminate(_) | Fault::Configure | Fault::HangUp(_) | Fault::TurnCold(..) => {}
            Fault::Evacuate(zone) => deployment.set_evacuated(zone, false),
            Fault::CrashingPart => {
                self.stop_crashing.store(true, Ordering::Relaxed);
                deployment.set_crashing_part(false);
            }
            Fault::Kill(n) => self.restart(n)?,
            Fault::Pause(n) => {
                deployment.nodes[n].signal(Signal::CONT);
                self.paused.remove(&n);
            }
            Fault::Store(_) => deployment.store.set_mode(store::Mode::Up),
            Fault::Restore(age) => self.restore_store(age),
            Fault::StoreLink(n, _) => deployment.nodes[n].store_link.set_link(Link::Open),
            Fault::Link(e, _) | Fault::Hold(e) => {
                deployment.endpoints[e].link.set_link(Link::Open);
            }
            Fault::Cut(n, _) => deployment.set_endpoint_links(n, Link::Open),
            Fault::Endpoint(e, _) => {
                deployment.endpoints[e]
                    .endpoint
                    .set_mode(hemlock_platform_standin::endpoint::Mode::Good);
            }
            Fault::Limit(e, _) => deployment.endpoints[e].endpoint.set_limit(None),
            Fault::Crash(e) => {
                self.crashed.remove(&e);
                deployment.endpoints[e].link.set_link(Link::Open);
                deployment.endpoints[e].endpoint.restart();
            }
            Fault::Drain(e) => deployment.endpoints[e].endpoint.restart(),
        }
        Ok(())
    }

    /// Restarts the entry VMs that have exited after SIGTERM. They must exit within their time limit,
    /// to which time while suspended does not count.
    fn restart_exited(&mut self) -> io::Result<()> {
        let time_limit = Duration::from_secs(GRACE_S) + STOP_TOLERANCE;
        for (n, running_time) in std::mem::take(&mut self.stopping) {
            if self.deployment.nodes[n].has_exited() {
                self.restart(n)?;
            } else if self.paused.contains(&n) {
                self.stopping.push((n, running_time));
            } else if running_time > time_limit {
                self.broken
                    .push(format!("entry-{n} does not exit in time after SIGTERM"));
                self.deployment.nodes[n].signal(Signal::KILL);
                self.stopping.push((n, Duration::ZERO));
            } else {
                self.stopping.push((n, running_time + POLL_INTERVAL));
            }
        }
        Ok(())
    }

    fn restart(&mut self, n: usize) -> io::Result<()> {
        self.incarnations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)[n] += 1;
        self.restarts.push((n, Instant::now()));
        self.deployment.restart(n, &self.soak.program)
    }
}
