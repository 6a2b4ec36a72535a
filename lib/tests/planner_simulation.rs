//! Simulation of planners, an in-memory log and fake engines, in virtual time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::appender::Ticket;
use hemlock_lib::chart::Charts;
use hemlock_lib::engine::{Action, EngineState, HeldReplica, Load, Order};
use hemlock_lib::fleet::{Fleet, FleetRecord, Form};
use hemlock_lib::ids::{DomainId, Incarnation, Nonce, Offset, ReplicaId, VmId};
use hemlock_lib::lease::LeaseConfig;
use hemlock_lib::peers::{Settled, Submit, VmReport};
use hemlock_lib::plan::{RepairPolicy, Rules};
use hemlock_lib::planner::{Input, Output, Planner, PlannerConfig};
use hemlock_lib::platform::{VmListing, VmRole};
use hemlock_lib::probe::{ProbeConfig, Prober};
use hemlock_lib::table::{ConfigRecord, Edit, GroupRow, Row, RowKey, Table, VersionRow};
use hemlock_lib::time::Time;
use hemlock_lib::view::View;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Silence after which a VM is considered lost.
pub const LOST_AFTER: Duration = Duration::from_millis(1_000);
/// Time that an engine takes to load weights, in milliseconds.
const LOAD_MS: u64 = 300;
/// Time after which the outcome of a submission counts as unknown, in milliseconds.
const SUBMIT_TIMEOUT_MS: u64 = 600;

/// A fake engine.
#[derive(Debug, Default)]
pub struct Engine {
    run: u64,
    pub down: bool,
    /// Part of a replica that the engine holds, with the time at which its weights are loaded.
    pub held: Option<(HeldReplica, u64)>,
    /// Fencing token and sequence number of the last accepted order.
    last_order: (u64, u64),
    /// Last time at which the engine was up and ready, for each rank of a formation.
    ready: BTreeMap<(ReplicaId, Form, u32), u64>,
}

/// An entry VM: its planner, and the state that its agent would know.
#[derive(Debug)]
pub struct Node {
    planner: Planner,
    prober: Prober,
    pub fleet: Fleet,
    /// Number of log records that the node has read.
    read: usize,
    /// Whether the node cannot reach the log.
    pub partitioned: bool,
    paused_until: u64,
    /// Inputs that the planner has not handled yet.
    backlog: VecDeque<Input>,
    /// Submissions by nonce, with the time at which their outcome counts as unknown.
    unsettled: BTreeMap<u64, (Ticket, u64)>,
    clock_skew: u64,
    run: u64,
}

#[derive(Debug, Clone)]
enum Event {
    Append(usize, FleetRecord),
    Order(VmId, Order),
}

/// State of the simulation; times are in milliseconds.
#[derive(Debug)]
pub struct Simulation {
    pub now: u64,
    pub rng: SmallRng,
    /// Whether messages are lost, delayed and repeated at random.
    pub inject_faults: bool,
    pub log_up: bool,
    fenced: bool,
    shard: DomainId,
    pub table: Table,
    pub log: Vec<FleetRecord>,
    /// State of the shard, folded from the whole log.
    pub agreed: Fleet,
    pub engines: BTreeMap<VmId, Engine>,
    /// VMs that are missing from the platform's list.
    pub unlisted: BTreeSet<VmId>,
    pub nodes: Vec<Node>,
    events: Vec<(u64, Event)>,
    nonce: u64,
    /// Newest fencing token of the orders that each engine accepted.
    newest_fences: BTreeMap<VmId, u64>,
}

pub fn rules() -> Rules {
    Rules {
        repair: RepairPolicy::ReplaceLost,
        max_loading: 4,
        reclaim_broken: true,
    }
}

pub fn set_rows(table: &mut Table, rows: Vec<(RowKey, Row)>) {
    let offset = table.next;
    let edit = |(key, row): (RowKey, Row)| Edit {
        base: table.entry(&key).map(|e| e.version),
        key,
        row: Some(row),
    };
    let record = ConfigRecord {
        nonce: Nonce(offset.0),
        author: "test".to_owned(),
        at_ms: 0,
        edits: rows.into_iter().map(edit).collect(),
    };
    table.fold(offset, &record).expect("the rows are current");
}

pub fn version(name: &str, weight: f64, span: u32) -> (RowKey, Row) {
    let row = VersionRow {
        group: "listwriter".into(),
        weight,
        span,
    };
    (RowKey::Version(name.into()), Row::Version(row))
}

pub fn group(replicas: u32, minimum: u32, reserve: u32) -> (RowKey, Row) {
    let row = GroupRow {
        replicas,
        minimum,
        downtime: 1.0,
        stranded: 1.0,
        reserve,
        slots: 4,
    };
    (RowKey::Group("listwriter".into()), Row::Group(row))
}

impl Simulation {
    pub fn new(seed: u64, fenced: bool, vms: u32, replicas: u32, reserve: u32) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut table = Table::default();
        set_rows(
            &mut table,
            vec![group(replicas, 1, reserve), version("v1", 1.0, 2)],
        );
        let charts = Charts::built_in().expect("the built-in charts are valid");
        let node = |i: usize| node(i, 1, fenced, &charts, rng.random_range(0..100));
        let nodes = (0..3).map(node).collect();
        let engine = |i| (VmId::new(format!("vm-{i}")), Engine::default());
        Self {
            now: 1_000,
            rng,
            inject_faults: false,
            log_up: true,
            fenced,
            shard: "riverside".into(),
            table,
            log: Vec::new(),
            agreed: Fleet::default(),
            engines: (0..vms).map(engine).collect(),
            unlisted: BTreeSet::new(),
            nodes,
            events: Vec::new(),
            nonce: 0,
            newest_fences: BTreeMap::new(),
        }
    }

    /// Advances the time by `ms` milliseconds; each node probes, reads the log and plans once.
    pub fn step(&mut self, ms: u64) {
        self.now += ms;
        self.record_ready();
        self.deliver();
        self.record_ready();
        for i in 0..self.nodes.len() {
            self.run_node(i);
        }
    }

    /// Pauses the planner of a node for `ms` milliseconds.
    pub fn pause(&mut self, i: usize, ms: u64) {
        self.nodes[i].paused_until = self.now + ms;
    }

    /// Restarts the daemons of an entry VM, which lose their state.
    pub fn restart(&mut self, i: usize) {
        let charts = Charts::built_in().expect("the built-in charts are valid");
        let old = &self.nodes[i];
        self.nodes[i] = node(i, old.run + 1, self.fenced, &charts, old.clock_skew);
    }

    /// Stops an engine, which loses what it holds.
    pub fn kill(&mut self, vm: &VmId) {
        let engine = self.engines.get_mut(vm).expect("a known VM");
        engine.down = true;
        engine.held = None;
        engine.run += 1;
        engine.last_order = (0, 0);
        self.newest_fences.remove(vm);
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.inject_faults = false;
        self.log_up = true;
        self.unlisted.clear();
        for node in &mut self.nodes {
            node.partitioned = false;
            node.paused_until = 0;
        }
        for engine in self.engines.values_mut() {
            engine.down = false;
        }
    }

    /// Returns the view that the agent of a node would serve.
    pub fn view(&self, i: usize) -> View {
        let node = &self.nodes[i];
        View {
            version: self.now,
            table: self.table.clone(),
            entries: Vec::new(),
            vms: node.prober.statuses(Time::from_millis(self.now)),
            fleets: BTreeMap::from([(self.shard.clone(), node.fleet.clone())]),
            log_up: self.log_up && !node.partitioned,
            peers_up: true,
            ..View::default()
        }
    }

    /// Checks the invariants: no VM is part of two replicas, and each serving replica has all its
    /// VMs.
    pub fn check(&self) -> Result<(), String> {
        let mut seen = BTreeSet::new();
        for assignment in self.agreed.replicas.values() {
            for vm in assignment.vms.iter().chain(&assignment.reserve) {
                if !seen.insert(vm) {
                    return Err(format!("{vm} is assigned twice"));
                }
            }
        }
        for i in 0..self.nodes.len() {
            if self.nodes[i].paused_until <= self.now {
                self.check_serving(i)?;
            }
        }
        Ok(())
    }

    /// Returns the number of replicas that serve according to a node.
    pub fn serving(&self, i: usize) -> usize {
        let view = self.view(i);
        let serving = view.replicas().filter(|(id, a)| view.takes_work(id, a));
        serving.count()
    }

    fn check_serving(&self, i: usize) -> Result<(), String> {
        let view = self.view(i);
        let max_age = LOST_AFTER.as_millis() as u64 + 1;
        for (id, assignment) in view.replicas() {
            let ranks = view.vms_by_rank(&id, assignment).unwrap_or_default();
            let form = ranks.first().and_then(|vm| view.vms[*vm].held.as_ref());
            let form = form.map(|h| h.form).unwrap_or_default();
            for (rank, vm) in ranks.into_iter().enumerate() {
                let key = (id.clone(), form, rank as u32);
                let ready = self.engines[vm].ready.get(&key);
                if ready.is_none_or(|at| self.now - at > max_age) {
                    return Err(format!("{id} serves for node {i} without {vm}"));
                }
            }
        }
        Ok(())
    }

    fn record_ready(&mut self) {
        for engine in self.engines.values_mut() {
            if let Some((held, at)) = &engine.held
                && *at <= self.now
                && !engine.down
            {
                let key = (held.replica.clone(), held.form, held.rank);
                engine.ready.insert(key, self.now);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (mut due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.events)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.events = rest;
        due.sort_by_key(|(at, _)| *at);
        for (at, event) in due {
            match event {
                Event::Append(node, record) if !self.log_up || self.nodes[node].partitioned => {
                    drop(record);
                }
                Event::Append(_, record) => {
                    let _ = self.agreed.fold(Offset(self.log.len() as u64), &record);
                    self.log.push(record);
                }
                Event::Order(vm, order) => self.handle_order(at, &vm, &order),
            }
        }
    }

    fn handle_order(&mut self, at: u64, vm: &VmId, order: &Order) {
        let fenced = self.fenced;
        let engine = self.engines.get_mut(vm).expect("a known VM");
        let old = fenced && (order.fence.0, order.seq) < engine.last_order;
        if engine.down || old || order.deadline_ms < at {
            return;
        }
        engine.last_order = engine.last_order.max((order.fence.0, order.seq));
        let newest = self.newest_fences.entry(vm.clone()).or_default();
        assert!(
            order.fence.0 >= *newest,
            "an old holder's order reached {vm} after a new holder's"
        );
        *newest = order.fence.0;
        let holds = engine.held.as_ref().map(|(h, _)| h.replica.clone());
        match &order.action {
            Action::Unload if holds.as_ref() == Some(&order.replica) => engine.held = None,
            Action::Unload => {}
            Action::Load { version, rank, .. } => {
                let other = holds.filter(|h| *h != order.replica);
                let part = other.is_some_and(|h| self.agreed.is_part_of(vm, h.seq));
                assert!(!part, "{vm} changed replica without an unload");
                let owned = self.agreed.owner(vm) == Some(order.replica.seq);
                assert!(
                    fenced || owned,
                    "{vm} was given to a replica after it left it"
                );
                let same = |h: &HeldReplica| h.version == *version && h.rank == *rank;
                let kept = engine
                    .held
                    .take()
                    .filter(|(h, _)| same(h))
                    .map(|(_, at)| at);
                let held = HeldReplica {
                    replica: order.replica.clone(),
                    fence: order.fence,
                    form: order.form,
                    version: version.clone(),
                    rank: *rank,
                    ready: false,
                };
                engine.held = Some((held, kept.unwrap_or(self.now + LOAD_MS)));
            }
        }
    }

    fn run_node(&mut self, i: usize) {
        let now = Time::from_millis(self.now);
        self.probe(i);
        self.read(i);
        if self.nodes[i].paused_until > self.now {
            // A paused planner gets its views late and all at once.
            let view = Input::View(Arc::new(self.view(i)));
            self.nodes[i].backlog.push_back(view);
            return;
        }
        let mut inputs: Vec<Input> = self.nodes[i].backlog.drain(..).collect();
        inputs.push(Input::View(Arc::new(self.view(i))));
        inputs.push(Input::Tick);
        let mut out = Vec::new();
        let own = now + Duration::from_millis(self.nodes[i].clock_skew);
        for input in inputs {
            self.nodes[i].planner.step(own, input, &mut out);
        }
        for output in out {
            self.execute(i, output);
        }
    }

    fn probe(&mut self, i: usize) {
        let now = Time::from_millis(self.now);
        let list: Vec<VmListing> = self
            .engines
            .keys()
            .filter(|vm| !self.unlisted.contains(*vm))
            .map(|vm| VmListing {
                vm: vm.clone(),
                address: String::new(),
                domain: self.shard.clone(),
                role: VmRole::Engine,
                leaving: false,
            })
            .collect();
        let node = &mut self.nodes[i];
        node.prober.update_list(now, &list);
        for listing in node.prober.start_due(now, |_| true) {
            let engine = &self.engines[&listing.vm];
            let lost = self.inject_faults && self.rng.random_bool(0.02);
            let state = (!engine.down && !lost).then(|| state(&listing.vm, engine, self.now));
            let report = VmReport {
                vm: listing.vm,
                answered: state.is_some(),
                state,
                age_ms: 0,
            };
            node.prober.record_probe(now, &report);
        }
        node.prober.expire(now);
    }

    fn read(&mut self, i: usize) {
        let up = self.log_up;
        let node = &mut self.nodes[i];
        let lag = self.inject_faults && self.rng.random_bool(0.2);
        if up && !node.partitioned && !lag {
            for record in &self.log[node.read..] {
                let offset = Offset(node.read as u64);
                node.read += 1;
                let folded = node.fleet.fold(offset, record);
                let settled =
                    folded.map_or_else(Settled::FleetRefused, |()| Settled::Accepted { offset });
                if let Some((ticket, _)) = node.unsettled.remove(&record.nonce.0) {
                    node.backlog.push_back(Input::Settled(ticket, settled));
                }
            }
        }
        let late: Vec<u64> = node
            .unsettled
            .iter()
            .filter(|(_, (_, end))| *end <= self.now)
            .map(|(nonce, _)| *nonce)
            .collect();
        for nonce in late {
            if let Some((ticket, _)) = node.unsettled.remove(&nonce) {
                let unknown = Input::Settled(ticket, Settled::Unknown);
                node.backlog.push_back(unknown);
            }
        }
    }

    fn execute(&mut self, i: usize, output: Output) {
        let copies = if self.inject_faults && self.rng.random_bool(0.1) {
            2
        } else {
            1
        };
        match output {
            Output::Submit(ticket, Submit::Fleet { change, .. }) => {
                self.nonce += 1;
                let nonce = Nonce(self.nonce);
                let end = self.now + SUBMIT_TIMEOUT_MS;
                self.nodes[i].unsettled.insert(nonce.0, (ticket, end));
                for _ in 0..copies {
                    let record = FleetRecord {
                        nonce,
                        change: change.clone(),
                    };
                    self.schedule(Event::Append(i, record));
                }
            }
            Output::Order { vm, order, .. } => {
                for _ in 0..copies {
                    self.schedule(Event::Order(vm.clone(), order.clone()));
                }
            }
            Output::Submit(..) => {}
        }
    }

    fn schedule(&mut self, event: Event) {
        let delay = if !self.inject_faults {
            10
        } else if self.rng.random_bool(0.1) {
            self.rng.random_range(0..4_000)
        } else {
            self.rng.random_range(0..150)
        };
        let lost = self.inject_faults && self.rng.random_bool(0.1);
        if !lost {
            self.events.push((self.now + delay, event));
        }
    }
}

fn state(vm: &VmId, engine: &Engine, now: u64) -> EngineState {
    let held = engine.held.as_ref().map(|(held, at)| HeldReplica {
        ready: *at <= now,
        ..held.clone()
    });
    EngineState {
        vm: vm.clone(),
        run: Incarnation(engine.run),
        held,
        load: Load::default(),
    }
}

fn node(i: usize, run: u64, fenced: bool, charts: &Charts, clock_skew: u64) -> Node {
    let order_deadline = Duration::from_millis(1_500);
    let drift = Duration::from_millis(200);
    let config = PlannerConfig {
        entry: format!("entry-{i}").as_str().into(),
        run: Incarnation(run),
        lease: LeaseConfig {
            length: Duration::from_millis(1_500),
            drift,
            preference_delay: Duration::ZERO,
            grace: if fenced {
                Duration::ZERO
            } else {
                order_deadline + drift
            },
        },
        order_deadline,
        order_retry: Duration::from_millis(400),
        fenced,
        drain_limit: Duration::from_secs(10),
        rules: rules(),
    };
    let probe = ProbeConfig {
        interval: Duration::from_millis(100),
        lost_after: LOST_AFTER,
    };
    Node {
        planner: Planner::new(config, charts.clone()),
        prober: Prober::new(probe, charts.vm.clone()),
        fleet: Fleet::default(),
        read: 0,
        partitioned: false,
        paused_until: 0,
        backlog: VecDeque::new(),
        unsettled: BTreeMap::new(),
        clock_skew,
        run,
    }
}
