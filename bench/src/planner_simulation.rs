//! Simulation of one planner that holds the leases of all shards, with fake engines, a weight store
//! and a log, in virtual time.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlock_lib::chart::Charts;
use hemlock_lib::engine::{Action, EngineState, HeldReplica, Load, Order};
use hemlock_lib::fleet::{Fleet, FleetRecord};
use hemlock_lib::ids::{DomainId, Incarnation, Nonce, VersionId, VmId};
use hemlock_lib::lease::LeaseConfig;
use hemlock_lib::peers::{Settled, Submit, VmReport};
use hemlock_lib::plan::Rules;
use hemlock_lib::planner::{Input, Output, Planner, PlannerConfig};
use hemlock_lib::platform::{VmListing, VmRole};
use hemlock_lib::probe::{ProbeConfig, Prober};
use hemlock_lib::table::{ConfigRecord, Edit, Row, RowKey, Table};
use hemlock_lib::time::Time;
use hemlock_lib::view::View;

/// Time that one VM takes to load weights when the store is idle.
pub const LOAD_TIME: Duration = Duration::from_secs(60);
/// VMs that the weight store is assumed to serve at full speed at a time.
pub const STORE_CAPACITY: usize = 8;

/// Sizes and rules of a simulated deployment.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Number of failure domains.
    pub domains: usize,
    /// Number of VMs in each failure domain.
    pub vms: usize,
    /// Rules by which shards are planned.
    pub rules: Rules,
    /// VMs that the weight store serves at full speed at a time. If more load, they share its rate.
    pub store_capacity: usize,
    /// Virtual time that passes in one step.
    pub tick: Duration,
}

/// Integrals over virtual time since the last reset.
#[derive(Debug, Clone, Copy, Default)]
pub struct Integrals {
    /// Replica-seconds in which replicas that the table asks for took no work.
    pub downtime: f64,
    /// VM-seconds of running VMs that belonged to no serving replica.
    pub stranded: f64,
}

#[derive(Debug, Default)]
struct Engine {
    domain: String,
    run: u64,
    down: bool,
    held: Option<HeldReplica>,
    /// Time in seconds until the weights are loaded, at the full speed of the store.
    load_time_left_s: f64,
}

/// The planner with its engines, log and probes.
#[derive(Debug)]
pub struct PlannerSimulation {
    setup: Setup,
    now: Time,
    table: Table,
    fleets: BTreeMap<DomainId, Fleet>,
    engines: BTreeMap<VmId, Engine>,
    planner: Planner,
    prober: Prober,
    inputs: VecDeque<Input>,
    log_up: bool,
    serving: BTreeMap<VersionId, usize>,
    /// Records that were appended to the log.
    pub appends: u64,
    /// Wall time spent in the planner.
    pub planning_time: Duration,
    /// Integrals since the last reset.
    pub integrals: Integrals,
}

impl PlannerSimulation {
    /// Creates a deployment whose VMs are all up and hold no model.
    pub fn new(setup: Setup, rows: Vec<(RowKey, Row)>) -> Self {
        let charts = Charts::built_in().expect("the built-in charts are valid");
        let probe = ProbeConfig {
            interval: Duration::from_millis(300).max(setup.tick),
            lost_after: Duration::from_secs(2),
        };
        let names = (0..setup.domains).map(|d| format!("domain-{d}"));
        let mut engines = BTreeMap::new();
        for domain in names.clone() {
            for i in 0..setup.vms {
                let engine = Engine {
                    domain: domain.clone(),
                    ..Engine::default()
                };
                engines.insert(VmId::new(format!("{domain}-{i:03}")), engine);
            }
        }
        let mut simulation = Self {
            now: Time::from_millis(1_000),
            table: Table::default(),
            fleets: names
                .map(|d| (DomainId::new(d), Fleet::default()))
                .collect(),
            engines,
            planner: Planner::new(planner_config(setup.rules), charts.clone()),
            prober: Prober::new(probe, charts.vm),
            inputs: VecDeque::new(),
            log_up: true,
            serving: BTreeMap::new(),
            appends: 0,
            planning_time: Duration::ZERO,
            integrals: Integrals::default(),
            setup,
        };
        simulation.set_rows(rows);
        simulation
    }

    /// Inserts or replaces rows of the table.
    ///
    /// # Panics
    ///
    /// Panics if the table refuses the rows, which it does only for outdated edits or invalid rows.
    pub fn set_rows(&mut self, rows: Vec<(RowKey, Row)>) {
        let offset = self.table.next;
        let edit = |(key, row): (RowKey, Row)| Edit {
            base: self.table.entry(&key).map(|e| e.version),
            key,
            row: Some(row),
        };
        let record = ConfigRecord {
            nonce: Nonce(offset.0),
            author: "bench".to_owned(),
            at_ms: 0,
            edits: rows.into_iter().map(edit).collect(),
        };
        let folded = self.table.fold(offset, &record);
        folded.expect("the edits are based on the current table");
    }

    /// Sets whether the log accepts appends.
    pub fn set_log_up(&mut self, up: bool) {
        self.log_up = up;
    }

    /// Takes VMs of a failure domain down, or brings them back up without a model.
    pub fn set_down(&mut self, domain: usize, vms: impl Iterator<Item = usize>, down: bool) {
        for i in vms {
            let vm = VmId::new(format!("domain-{domain}-{i:03}"));
            let engine = self.engines.get_mut(&vm).expect("a VM of the setup");
            engine.down = down;
            engine.held = None;
            engine.run += u64::from(down);
        }
    }

    /// Runs until `done` holds, for at most `time`. Returns the virtual time until then, or `None` if
    /// `done` never held.
    pub fn run(&mut self, time: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < time {
            self.step();
            if done(self) {
                return Some(self.now.since(start));
            }
        }
        None
    }

    /// Returns the number of replicas that take work.
    pub fn serving(&self) -> usize {
        self.serving.values().sum()
    }

    /// Returns the number of replicas of a version that take work.
    pub fn serving_version(&self, version: &str) -> usize {
        self.serving.get(version).copied().unwrap_or(0)
    }

    /// Returns the view that an agent would serve.
    pub fn view(&self) -> View {
        View {
            version: self.now.as_millis(),
            table: self.table.clone(),

            vms: self.prober.statuses(self.now),
            fleets: self.fleets.clone(),
            log_up: self.log_up,
            peers_up: true,
            ..View::default()
        }
    }

    /// Advances virtual time by one tick.
    pub fn step(&mut self) {
        self.now = self.now + self.setup.tick;
        self.advance_loading();
        self.probe();
        let view = Arc::new(self.view());
        self.update_integrals(&view);
        let mut out = Vec::new();
        let mut inputs = std::mem::take(&mut self.inputs);
        inputs.push_back(Input::View(view));
        let started = Instant::now();
        for input in inputs {
            self.planner.step(self.now, input, &mut out);
        }
        self.planning_time += started.elapsed();
        for output in out {
            self.apply_output(output);
        }
    }

    fn update_integrals(&mut self, view: &View) {
        let target: u32 = view.table.groups().map(|(_, g)| g.replicas).sum();
        let serving: Vec<_> = view
            .replicas()
            .filter(|(id, a)| view.takes_work(id, a))
            .collect();
        let used: usize = serving.iter().map(|(_, a)| a.vms.len()).sum();
        self.serving.clear();
        for (_, a) in &serving {
            *self.serving.entry(a.version.clone()).or_default() += 1;
        }
        let up = self.engines.values().filter(|e| !e.down).count();
        let tick_s = self.setup.tick.as_secs_f64();
        let missing = (target as usize).saturating_sub(serving.len());
        self.integrals.downtime += tick_s * missing as f64;
        self.integrals.stranded += tick_s * up.saturating_sub(used) as f64;
    }

    fn advance_loading(&mut self) {
        let loading = |e: &&mut Engine| e.held.as_ref().is_some_and(|h| !h.ready);
        let count = self.engines.values_mut().filter(loading).count();
        let rate = (self.setup.store_capacity as f64 / count.max(1) as f64).min(1.0);
        for engine in self.engines.values_mut().filter(loading) {
            engine.load_time_left_s -= self.setup.tick.as_secs_f64() * rate;
            let done = engine.load_time_left_s <= 0.0;
            engine.held.iter_mut().for_each(|h| h.ready = done);
        }
    }

    fn probe(&mut self) {
        let listing = |(vm, engine): (&VmId, &Engine)| VmListing {
            vm: vm.clone(),
            address: String::new(),
            domain: engine.domain.as_str().into(),
            role: VmRole::Engine,
            leaving: false,
        };
        let list: Vec<VmListing> = self.engines.iter().map(listing).collect();
        self.prober.update_list(self.now, &list);
        for listing in self.prober.start_due(self.now, |_| true) {
            let engine = &self.engines[&listing.vm];
            let state = (!engine.down).then(|| EngineState {
                vm: listing.vm.clone(),
                run: Incarnation(engine.run),
                held: engine.held.clone(),
                load: Load::default(),
            });
            let report = VmReport {
                vm: listing.vm,
                answered: state.is_some(),
                state,
                age_ms: 0,
            };
            self.prober.record_probe(self.now, &report);
        }
        self.prober.expire(self.now);
    }

    fn apply_output(&mut self, output: Output) {
        match output {
            Output::Submit(ticket, Submit::Fleet { change, shard }) if self.log_up => {
                let fleet = self.fleets.get_mut(&shard).expect("a shard of the setup");
                let offset = fleet.next;
                let nonce = Nonce(self.appends);
                let folded = fleet.fold(offset, &FleetRecord { nonce, change });
                self.appends += 1;
                let settled =
                    folded.map_or_else(Settled::FleetRefused, |()| Settled::Accepted { offset });
                self.inputs.push_back(Input::Settled(ticket, settled));
            }
            Output::Submit(ticket, _) => {
                let settled = Settled::NotAppended;
                self.inputs.push_back(Input::Settled(ticket, settled));
            }
            Output::Order { vm, order, .. } => self.apply_order(&vm, &order),
        }
    }

    fn apply_order(&mut self, vm: &VmId, order: &Order) {
        let engine = self.engines.get_mut(vm).expect("a VM of the setup");
        if engine.down {
            return;
        }
        match &order.action {
            Action::Unload => engine.held = None,
            Action::Load { version, rank, .. } => {
                let same = |h: &HeldReplica| h.version == *version && h.rank == *rank;
                let already_loaded = engine.held.take().filter(same);
                if already_loaded.is_none() {
                    engine.load_time_left_s = LOAD_TIME.as_secs_f64();
                }
                engine.held = Some(HeldReplica {
                    replica: order.replica.clone(),
                    fence: order.fence,
                    form: order.form,
                    version: version.clone(),
                    rank: *rank,
                    ready: already_loaded.is_some_and(|h| h.ready),
                });
            }
        }
    }
}

fn planner_config(rules: Rules) -> PlannerConfig {
    PlannerConfig {
        entry: "entry-0".into(),
        run: Incarnation(1),
        lease: LeaseConfig {
            length: Duration::from_secs(3),
            drift: Duration::from_millis(300),
            preference_delay: Duration::from_secs(1),
            grace: Duration::ZERO,
        },
        order_deadline: Duration::from_secs(2),
        order_retry: Duration::from_millis(800),
        fenced: true,
        drain_limit: Duration::from_secs(600),
        rules,
    }
}
