//! A randomized soak: entry VMs as real processes before stand-ins for the platform, with faults from
//! outside, and checks of what must hold.
//!
//! Clocks are not moved: the daemon decides by the boot clock, which only root can set.

mod callers;
mod checks;
mod faults;
mod proxy;
mod site;

use std::collections::BTreeSet;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use hemlock_platform_standin::{caller, fixtures, store};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rustix::process::Signal;

use crate::callers::Callers;
use crate::checks::{Happened, Probe, Report};
use crate::faults::{Fault, Planned};
use crate::proxy::Link;
use crate::site::{GRACE_S, Site};

/// Step of the run.
const TICK: Duration = Duration::from_millis(10);
/// Time in which the entry VMs and groups start.
const START: Duration = Duration::from_secs(4);
/// Time after the last fault in which the entry VMs recover.
const RECOVER: Duration = Duration::from_secs(8);
/// Time in which callers are watched after that.
const WATCH: Duration = Duration::from_secs(2);
/// Time between two probes of the configuration.
const PROBE_EVERY: Duration = Duration::from_millis(100);
/// Time that a stopping process may take beyond its bound.
const STOP_SLACK: Duration = Duration::from_millis(1_500);

/// What to run.
#[derive(Debug, Clone)]
pub struct Soak {
    /// The daemon's program.
    pub program: PathBuf,
    /// Entry VMs.
    pub nodes: usize,
    /// Callers.
    pub callers: usize,
    /// Time in which faults begin and end.
    pub fault_period: Duration,
    /// What the faults are drawn from.
    pub seed: u64,
    /// Where settings and logs go.
    pub dir: PathBuf,
}

/// What came of a run.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Requests sent.
    pub requests: usize,
    /// Of these, answered in whole.
    pub served: usize,
    /// Faults that happened.
    pub faults: Vec<String>,
    /// What was broken.
    pub broken: Vec<String>,
}

struct Run<'a> {
    soak: &'a Soak,
    site: Site,
    lives: Arc<Mutex<Vec<u32>>>,
    added: Arc<Mutex<Vec<String>>>,
    happened: Vec<Happened>,
    /// Times at which routes were added.
    times: Vec<(String, Instant)>,
    /// Entry VMs that are to end, and how long they have run since.
    ending: Vec<(usize, Duration)>,
    /// Entry VMs that stand still.
    paused: BTreeSet<usize>,
    broken: Vec<String>,
}

impl Soak {
    /// Runs once.
    pub fn run(&self) -> io::Result<Outcome> {
        let site = Site::spawn(&self.program, self.nodes, &self.dir)?;
        thread::sleep(START);
        let directories: Vec<_> = site.nodes.iter().map(|n| n.directory).collect();
        let callers = Callers::spawn(self.callers, &directories, self.seed);
        let mut run = Run {
            soak: self,
            lives: Arc::new(Mutex::new(vec![0; self.nodes])),
            added: Arc::default(),
            happened: Vec::new(),
            times: Vec::new(),
            ending: Vec::new(),
            paused: BTreeSet::new(),
            broken: Vec::new(),
            site,
        };
        let (stop, probes) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let prober = run.spawn_prober(&stop, &probes);
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let planned = faults::draw(
            &mut rng,
            self.fault_period,
            self.nodes,
            run.site.endpoints.len(),
        );
        run.play(&planned)?;
        let calm = Instant::now();
        thread::sleep(WATCH);
        stop.store(true, Ordering::Relaxed);
        if prober.join().is_err() {
            run.broken.push("the prober panicked".to_owned());
        }
        let seen = callers.finish();
        let probes = probes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let report = Report {
            runs: run.site.runs(),
            probes,
            happened: run.happened,
            added: run.times.into_iter().collect(),
            endpoints: run
                .site
                .endpoints
                .iter()
                .map(|e| e.endpoint.id().to_owned())
                .collect(),
            notes: run.site.store.violations(),
            calm,
            seen,
        };
        let mut broken = report.broken();
        broken.extend(run.broken);
        let whole = report
            .seen
            .iter()
            .filter(|s| s.got.status == 200 && s.got.complete);
        Ok(Outcome {
            requests: report.seen.len(),
            served: whole.count(),
            faults: planned
                .iter()
                .map(|p| format!("{:?} at {:?}", p.fault, p.at))
                .collect(),
            broken,
        })
    }
}

impl Run<'_> {
    /// Asks each entry VM for the newest route again and again.
    fn spawn_prober(
        &self,
        stop: &Arc<AtomicBool>,
        probes: &Arc<Mutex<Vec<Probe>>>,
    ) -> thread::JoinHandle<()> {
        let fronts: Vec<_> = self.site.nodes.iter().map(|n| n.front).collect();
        let (stop, probes) = (stop.clone(), probes.clone());
        let (lives, added) = (self.lives.clone(), self.added.clone());
        let life = move |node: usize| lives.lock().unwrap_or_else(PoisonError::into_inner)[node];
        thread::spawn(move || {
            let mut count = 0;
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(PROBE_EVERY);
                let newest = added
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .last()
                    .cloned();
                let Some(path): Option<String> = newest else {
                    continue;
                };
                for (node, front) in fronts.iter().enumerate() {
                    count += 1;
                    let before = life(node);
                    let text = fixtures::request("GET", &path, &format!("probe-{count}"), "", "");
                    let sent = Instant::now();
                    let status = caller::send(*front, &text).status;
                    if life(node) == before {
                        let probe = Probe {
                            node,
                            life: before,
                            path: path.clone(),
                            sent,
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

    /// Lets the faults begin and end at their times, and waits for the recovery.
    fn play(&mut self, planned: &[Planned]) -> io::Result<()> {
        let start = Instant::now();
        let mut waiting: Vec<&Planned> = planned.iter().collect();
        let mut active: Vec<(&Planned, Instant)> = Vec::new();
        while !waiting.is_empty() || !active.is_empty() || !self.ending.is_empty() {
            let now = start.elapsed();
            for p in waiting.extract_if(.., |p| p.at <= now) {
                // Taken before it begins: callers see a kill at once.
                let from = Instant::now();
                self.begin(&p.fault);
                active.push((p, from));
            }
            for (p, from) in active
                .extract_if(.., |(p, _)| p.until <= now)
                .collect::<Vec<_>>()
            {
                self.end(&p.fault)?;
                self.happened.push(Happened {
                    fault: p.fault,
                    from,
                    until: Instant::now(),
                });
            }
            self.restart_ended()?;
            thread::sleep(TICK);
        }
        thread::sleep(RECOVER);
        Ok(())
    }

    fn begin(&mut self, fault: &Fault) {
        let site = &mut self.site;
        match *fault {
            Fault::Terminate(n) => {
                site.nodes[n].signal(Signal::TERM);
                // A second signal does not put the end off.
                if self.ending.iter().all(|(other, _)| *other != n) {
                    self.ending.push((n, Duration::ZERO));
                }
            }
            Fault::Kill(n) => {
                site.nodes[n].signal(Signal::KILL);
                self.ending.retain(|(other, _)| *other != n);
            }
            Fault::Pause(n) => {
                site.nodes[n].signal(Signal::STOP);
                self.paused.insert(n);
            }
            Fault::Store(mode) => site.store.set_mode(mode),
            Fault::StoreLink(n, link) => site.nodes[n].store.set_link(link),
            Fault::Link(e, link) => site.endpoints[e].link.set_link(link),
            Fault::Endpoint(e, mode) => site.endpoints[e].endpoint.set_mode(mode),
            Fault::Crash(e) => {
                site.endpoints[e].link.set_link(Link::Reset);
                site.endpoints[e].endpoint.remove_entry();
            }
            Fault::Drain(e) => site.endpoints[e].endpoint.drain(),
            Fault::Configure => {
                site.add_route();
                if let Some(path) = site.added.last() {
                    self.times.push((path.clone(), Instant::now()));
                    let mut added = self.added.lock().unwrap_or_else(PoisonError::into_inner);
                    added.push(path.clone());
                }
            }
        }
    }

    fn end(&mut self, fault: &Fault) -> io::Result<()> {
        let site = &mut self.site;
        match *fault {
            Fault::Terminate(_) | Fault::Configure => {}
            Fault::Kill(n) => self.restart(n)?,
            Fault::Pause(n) => {
                site.nodes[n].signal(Signal::CONT);
                self.paused.remove(&n);
            }
            Fault::Store(_) => site.store.set_mode(store::Mode::Up),
            Fault::StoreLink(n, _) => site.nodes[n].store.set_link(Link::Open),
            Fault::Link(e, _) => site.endpoints[e].link.set_link(Link::Open),
            Fault::Endpoint(e, _) => {
                site.endpoints[e]
                    .endpoint
                    .set_mode(hemlock_platform_standin::endpoint::Mode::Good);
            }
            Fault::Crash(e) => {
                site.endpoints[e].link.set_link(Link::Open);
                site.endpoints[e].endpoint.restart();
            }
            Fault::Drain(e) => site.endpoints[e].endpoint.restart(),
        }
        Ok(())
    }

    /// Starts entry VMs again that have ended after SIGTERM; they must do so within their bound, in which
    /// the time that they stood still does not count.
    fn restart_ended(&mut self) -> io::Result<()> {
        let bound = Duration::from_secs(GRACE_S) + STOP_SLACK;
        for (n, ran) in std::mem::take(&mut self.ending) {
            if self.site.nodes[n].has_ended() {
                self.restart(n)?;
            } else if self.paused.contains(&n) {
                self.ending.push((n, ran));
            } else if ran > bound {
                self.broken.push(format!("entry-{n} does not stop"));
                self.site.nodes[n].signal(Signal::KILL);
                self.ending.push((n, Duration::ZERO));
            } else {
                self.ending.push((n, ran + TICK));
            }
        }
        Ok(())
    }

    fn restart(&mut self, n: usize) -> io::Result<()> {
        self.lives.lock().unwrap_or_else(PoisonError::into_inner)[n] += 1;
        self.site.nodes[n].restart(&self.soak.program)
    }
}
