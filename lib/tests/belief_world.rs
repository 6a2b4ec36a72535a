//! Planners of several entry VMs, a store and engines in virtual time. Entries, reports, orders and
//! replies are late, lost or reordered, VMs freeze, the store goes down, and clocks go back.
//!
//! It checks what the users' rules say of groups: no engine takes a join of another group while the head
//! of its own may serve, and no request runs in a group that is incomplete or has a member that was never
//! ready under its name, epoch and member list.

mod engine;
mod faults;
mod orders;
mod store;
mod vm;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::config::Engine as EngineModel;
use hemlock_lib::node::endpoints::{Endpoint, EngineReport, MemberState};
use hemlock_lib::node::lease::Grant;
use hemlock_lib::node::planner::{Order, Output, PlannerInput, ProbeResult, Reply};
use hemlock_lib::node::warm_up::ToldWarmUp;
use hemlock_lib::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::node_world::{engine as engine_model, zone_of};
use engine::{SimulatedEngine, show, staged};
use faults::AtJoin;
use store::{Record, Store};
use vm::{Vm, may_order};

const SERVICE: &str = "models";
const MODEL: &str = "m";
const GROUP_SIZE: usize = 2;
const DOMAINS: [&str; 2] = ["d0", "d1"];
/// Engines of a failure domain at the start.
const ENGINES: usize = 5;

/// All times of the world are in milliseconds.
const TICK: u64 = 10;
const HEARTBEAT: u64 = 1_200;
/// Silence after which the store removes an entry.
const ENTRY_LIFETIME: u64 = 3 * HEARTBEAT;
/// Age of what an engine says of itself in a report.
const REPORT_LAG: u64 = 200;
/// Time until the reply to a call.
const ROUND_TRIP: u64 = 20;
const REPLY_TIMEOUT: u64 = 600;
/// Time after which a write or an order without a reply is carried out.
const LATE: std::ops::Range<u64> = 1_000..6_000;
const REJOIN_TIME: u64 = 200;
const OPEN_TIME: u64 = 300;
const CLOSE_TIME: u64 = 800;
const STALL_TIME: u64 = 5_000;
const RENEW_INTERVAL: u64 = 400;
const LEASE: u64 = 1_500;
const PLAN_INTERVAL: u64 = 50;
/// Time without the store after which the VMs may know that none of them reaches it.
const OUTAGE_NOTICE: u64 = 1_000;
/// Reports that are asked for before a join is given up.
const MAX_CHECKS: u32 = 3;

/// Faults of a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Engines are cut from the store, which executes their writes late, out of order, or not at all.
    pub late_entries: bool,
    /// The store answers nothing for seconds, also as groups form.
    pub outages: bool,
    /// VMs freeze while others work, and stop.
    pub freezes: bool,
    /// Orders get no reply and are carried out seconds later.
    pub late_orders: bool,
    /// Engines restart, some of them with a clock that went back.
    pub restarts: bool,
    /// Another writer puts what can't be read under the identifiers of engines.
    pub odd_entries: bool,
}

/// An order on its way from a VM.
#[derive(Debug, Clone)]
struct SentOrder {
    from: usize,
    order: Order,
    precondition: Option<u64>,
    wants_reply: bool,
}

/// A join that waits for the report of its engine.
#[derive(Debug, Clone)]
struct JoinCheck {
    order: Order,
    attempt: u32,
}

/// A message or signal on its way to an engine, the store or a VM.
#[derive(Debug, Clone)]
enum Event {
    /// A write to the store.
    Write(Endpoint),
    /// An order, at its engine.
    Order(SentOrder),
    /// A request for an engine's report, at the engine.
    Ask(usize, JoinCheck),
    /// An engine's report of its state and number of orders, at the VM.
    Report(usize, JoinCheck, Option<(EngineReport, u64)>),
    /// An output of a VM's planner, at the VM.
    Planned(usize, Output),
    /// The reply to an order, at the VM.
    Reply(usize, Box<Order>, Reply),
    /// The result of a probe, at the VM.
    Probed(usize, Arc<str>, ProbeResult, Option<EngineReport>),
    /// The store's answer to a request for the lease that was sent at a time.
    Granted(usize, u64, Grant),
    /// A freeze of the VM that plans.
    FreezePlanner(u64),
    /// A planned stop of the VM that plans.
    StopPlanner,
}

impl Event {
    /// Returns the VM that the event is for.
    fn vm(&self) -> Option<usize> {
        match self {
            Self::Write(_)
            | Self::Order(_)
            | Self::Ask(..)
            | Self::FreezePlanner(_)
            | Self::StopPlanner => None,
            Self::Report(vm, ..)
            | Self::Planned(vm, _)
            | Self::Reply(vm, ..)
            | Self::Probed(vm, ..)
            | Self::Granted(vm, ..) => Some(*vm),
        }
    }
}

/// An engine that was ready, with the name, epoch and member list of its group.
type Readiness = (Arc<str>, Arc<str>, u64, Vec<Arc<str>>);

/// A broken rule.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Broken {
    /// An engine took a join of another group while the head of its own might serve.
    Two(String),
    /// A request ran in a group that wasn't whole.
    Partial(String),
}

#[derive(Debug)]
pub struct World {
    now: u64,
    faults: Faults,
    model: EngineModel,
    rng: SmallRng,
    engines: BTreeMap<Arc<str>, SimulatedEngine>,
    store: Store,
    vms: Vec<Vm>,
    events: Vec<(u64, Event)>,
    ready: BTreeSet<Readiness>,
    next_fault: u64,
    has_traffic: bool,
    at_join: AtJoin,
    pub broken: BTreeSet<Broken>,
    /// Joins that engines took after the first callers, and reports asked for these.
    pub joins: u64,
    pub asked: u64,
}

impl World {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let mut model = engine_model(&[(MODEL, GROUP_SIZE, 1.0)]);
        model.models[0].load_time = Duration::from_secs(2);
        model.models[0].warmup_time = Duration::from_millis(400);
        let mut world = Self {
            now: 10_000,
            faults,
            model,
            rng: SmallRng::seed_from_u64(seed),
            engines: BTreeMap::new(),
            store: Store::default(),
            vms: vec![Vm::new(10_000), Vm::new(10_400)],
            events: Vec::new(),
            ready: BTreeSet::new(),
            next_fault: 14_000,
            has_traffic: false,
            at_join: AtJoin::Nothing,
            broken: BTreeSet::new(),
            joins: 0,
            asked: 0,
        };
        for domain in DOMAINS {
            for i in 0..ENGINES {
                world.add(i, domain);
            }
        }
        world
    }

    /// Adds an engine. Planners prefer engines by their identifiers, whose order is random.
    fn add(&mut self, number: usize, domain: &str) {
        let order = self.rng.random_range(0..1_000);
        let id: Arc<str> = Arc::from(format!("{domain}-{order:03}-{number}"));
        let first_write = self.now + self.rng.random_range(0..HEARTBEAT);
        let domain = Arc::from(domain);
        let simulated = SimulatedEngine::new(&id, &domain, self.now, first_write);
        self.engines.insert(id, simulated);
    }

    /// Plays `span` milliseconds with faults.
    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.step(true);
        }
    }

    /// Ends all faults and plays `span` milliseconds.
    pub fn settle(&mut self, span: u64) {
        (self.store.down_until, self.at_join) = (0, AtJoin::Nothing);
        self.vms.iter_mut().for_each(|vm| vm.frozen_until = 0);
        for e in self.engines.values_mut() {
            e.cut_until = 0;
            e.down_until = e.down_until.map(|t| t.min(self.now));
        }
        let end = self.now + span;
        while self.now < end {
            self.step(false);
        }
    }

    fn step(&mut self, with_faults: bool) {
        self.now += TICK;
        self.has_traffic |= self.now >= 13_000;
        if with_faults && self.now >= self.next_fault {
            self.next_fault = self.now + self.rng.random_range(300..1_500);
            self.cause_fault();
        }
        self.advance_engines();
        self.deliver();
        if self.store.down_until <= self.now {
            self.store.remove_silent(self.now);
        }
        for vm in 0..self.vms.len() {
            self.run_vm(vm);
        }
        self.check_requests();
    }

    fn send(&mut self, after: u64, event: Event) {
        self.events.push((self.now + after, event));
    }

    /// Delivers the events that are due, except to VMs that don't run.
    fn deliver(&mut self) {
        let now = self.now;
        let vms = &self.vms;
        let runs = |vm: usize| vms[vm].frozen_until <= now && vms[vm].stopped_until <= now;
        let mut due: Vec<(u64, Event)> = self
            .events
            .extract_if(.., |(at, e)| *at <= now && e.vm().is_none_or(runs))
            .collect();
        due.sort_by_key(|(at, _)| *at);
        for (_, event) in due {
            match event {
                Event::Write(entry) => self.store.write(now, entry),
                Event::Order(order) => self.receive_order(order),
                Event::Planned(vm, output) => self.execute(vm, output),
                Event::FreezePlanner(span) => self.freeze_planner(span),
                Event::StopPlanner => {
                    if let Some(vm) = self.planning_vm() {
                        self.stop(vm);
                    }
                }
                Event::Ask(vm, check) => {
                    let report = self.report(&check.order.endpoint);
                    self.send(ROUND_TRIP / 2, Event::Report(vm, check, report));
                }
                Event::Report(vm, check, report) => self.check_join(vm, check, report),
                Event::Reply(vm, order, reply) => {
                    let vm = &mut self.vms[vm];
                    let (time, fence) = (Time::from_millis(now), order.fence);
                    let (id, action) = (&order.endpoint, &order.action);
                    if vm.planner.handle_reply(time, fence, id, action, reply) {
                        vm.lease.give_up();
                        vm.is_planner = false;
                    }
                }
                Event::Probed(vm, id, result, report) => {
                    let vm = &mut self.vms[vm];
                    if let Some(report) = report.filter(|_| vm.is_outage) {
                        vm.endpoints.observe(&report);
                    }
                    let time = Time::from_millis(now);
                    vm.planner.handle_probe_result(time, &id, result);
                }
                Event::Granted(vm, asked_at, grant) => {
                    let vm = &mut self.vms[vm];
                    let length = Duration::from_millis(LEASE);
                    vm.lease.apply(Time::from_millis(asked_at), length, grant);
                    vm.is_planner = grant.is_held;
                }
            }
        }
    }

    /// Returns what an engine reports of itself, which is some time old, and its number of orders then.
    fn report(&self, id: &str) -> Option<(EngineReport, u64)> {
        let e = self.engines.get(id)?;
        if e.down_until.is_some() {
            return None;
        }
        let at = self.now.saturating_sub(REPORT_LAG);
        let then = e.history.iter().find(|(until, _)| *until > at);
        let shown = then.map_or(&e.shown, |(_, shown)| shown);
        let report = EngineReport {
            id: e.id.clone(),
            started_ms: e.started_ms,
            staged: staged(e),
            model: shown.model.clone(),
            membership: shown.membership.clone(),
        };
        Some((report, shown.orders))
    }

    /// Checks the groups whose heads take requests.
    fn check_requests(&mut self) {
        for e in self.engines.values() {
            let Some(m) = &e.shown.membership else {
                continue;
            };
            if m.state != MemberState::Open || e.down_until.is_some() {
                continue;
            }
            let was_ready = |id: &Arc<str>| {
                let (group, members) = (m.group.clone(), e.members.clone());
                let key = (id.clone(), group, m.epoch, members);
                self.ready.contains(&key)
            };
            if e.members.len() != GROUP_SIZE || !e.members.iter().all(was_ready) {
                let text = format!("{} runs requests for {:?}", m.group, e.members);
                self.broken.insert(Broken::Partial(text));
            }
        }
    }

    /// Has an engine write its entry to the store.
    fn publish(&mut self, id: &str) {
        let (now, is_down) = (self.now, self.store.down_until > self.now);
        let e = self.engines.get_mut(id).unwrap();
        e.sequence += 1;
        let entry = Endpoint {
            id: e.id.clone(),
            started_ms: e.started_ms,
            sequence: e.sequence,
            service: Arc::from(SERVICE),
            address: "10.0.0.1:80".to_owned(),
            zone: zone_of(&e.domain),
            domain: e.domain.clone(),
            draining: false,
            slots: 17,
            staged: staged(e),
            model: e.shown.model.clone(),
            membership: e.shown.membership.clone(),
            warm_up: ToldWarmUp::default(),
        };
        if now < e.cut_until || is_down {
            if self.rng.random_bool(0.6) {
                let delay = self.rng.random_range(LATE);
                self.send(delay, Event::Write(entry));
            }
            return;
        }
        let delay = self.rng.random_range(5..30);
        self.send(delay, Event::Write(entry));
    }

    fn advance_engines(&mut self) {
        let now = self.now;
        let ids: Vec<Arc<str>> = self.engines.keys().cloned().collect();
        for id in ids {
            let is_stalled = self.is_stalled(&id);
            let clock_back = match self.faults.restarts && self.rng.random_bool(0.5) {
                true => self.rng.random_range(0..8_000),
                false => 0,
            };
            let e = self.engines.get_mut(&id).unwrap();
            if let Some(until) = e.down_until {
                e.shown.membership = None;
                if until > now {
                    continue;
                }
                *e = SimulatedEngine {
                    staged: e.staged,
                    cut_until: e.cut_until,
                    ..SimulatedEngine::new(&e.id, &e.domain, now - clock_back, now)
                };
            }
            let mut shown = e.shown.clone();
            if e.staged_at.is_some_and(|t| t <= now) {
                (e.staged, e.staged_at) = (true, None);
                e.next_write = now;
            }
            if e.changes_at.is_some_and(|t| t <= now) {
                e.changes_at = None;
                if let Some(m) = &mut shown.membership {
                    m.state = match m.state {
                        MemberState::Joining => {
                            shown.model = Some(Arc::from(MODEL));
                            let (group, members) = (m.group.clone(), e.members.clone());
                            self.ready.insert((id.clone(), group, m.epoch, members));
                            MemberState::Ready
                        }
                        MemberState::Ready if e.is_opening => MemberState::Open,
                        _ => MemberState::Ready,
                    };
                    e.is_opening = false;
                }
            }
            e.missing_since = match is_stalled {
                true => e.missing_since.or(Some(now)),
                false => None,
            };
            if e.missing_since.is_some_and(|t| now >= t + STALL_TIME)
                && let Some(m) = &mut shown.membership
            {
                m.state = MemberState::Broken;
            }
            let changed = shown != e.shown;
            show(e, now, shown);
            if changed || e.next_write <= now {
                e.next_write = now + HEARTBEAT;
                self.publish(&id);
            }
        }
    }

    /// Returns whether a member of the group of an open head is not there.
    fn is_stalled(&self, id: &str) -> bool {
        let e = &self.engines[id];
        let Some(own) = &e.shown.membership else {
            return false;
        };
        let is_there = |id: &Arc<str>| {
            let other = &self.engines[id];
            let m = other.shown.membership.as_ref();
            other.down_until.is_none()
                && m.is_some_and(|m| m.group == own.group && m.epoch == own.epoch)
        };
        own.state == MemberState::Open && !e.members.iter().all(is_there)
    }

    fn run_vm(&mut self, i: usize) {
        let now = self.now;
        let time = Time::from_millis(now);
        if self.vms[i].frozen_until > now || self.vms[i].stopped_until > now {
            return;
        }
        if std::mem::replace(&mut self.vms[i].last_run, now) + TICK < now {
            // Timers of a process that wakes fire in any order.
            self.vms[i].next_plan = now + self.rng.random_range(0..60);
            self.vms[i].next_renewal = now;
        }
        // A process that wakes may make its plan before it has read anything.
        let plans_first = self.rng.random_bool(0.2);
        if plans_first {
            self.plan(i);
        }
        let is_up = self.store.down_until <= now;
        let vm = &mut self.vms[i];
        if is_up && vm.is_outage {
            vm.is_outage = false;
            vm.endpoints.store_returned(time);
        } else if !is_up
            && !vm.is_outage
            && now >= self.store.down_since + OUTAGE_NOTICE
            && self.rng.random_bool(0.01)
        {
            vm.is_outage = true;
            vm.endpoints.store_lost();
        }
        if is_up {
            for (id, record) in &self.store.log[vm.next_record..] {
                match record {
                    Record::Entry(entry) => {
                        vm.endpoints.put(time, (**entry).clone());
                    }
                    Record::Removed => {
                        vm.endpoints.remove(time, [&**id]);
                    }
                    Record::Odd => {
                        vm.endpoints.doubt(time, id);
                    }
                }
            }
            vm.next_record = self.store.log.len();
        }
        vm.endpoints.expire(time);
        vm.endpoints.settle(time);
        if now >= vm.next_renewal {
            vm.next_renewal = now + RENEW_INTERVAL;
            self.renew(i);
        }
        if !plans_first {
            self.plan(i);
        }
    }

    fn renew(&mut self, i: usize) {
        let (now, time) = (self.now, Time::from_millis(self.now));
        let length = Duration::from_millis(LEASE);
        let others_plan = (0..self.vms.len())
            .filter(|j| *j != i)
            .any(|j| self.vms[j].is_planner && self.vms[j].frozen_until <= now);
        let vm = &mut self.vms[i];
        let may_continue = vm.is_outage && !others_plan;
        vm.lease.continue_alone(time, length, may_continue);
        if vm.lease.is_alone() {
            vm.is_planner = true;
            return;
        }
        let is_up = self.store.down_until <= now;
        if vm.lease.is_held(time) || !others_plan {
            if is_up {
                vm.is_in_group = true;
                let grant = self.store.grant(now, i);
                self.send(ROUND_TRIP, Event::Granted(i, now, grant));
            }
        } else if vm.is_in_group && is_up {
            vm.is_in_group = false;
            self.store.leave(i);
        }
        let vm = &mut self.vms[i];
        vm.is_planner &= vm.lease.is_held(time);
    }

    fn plan(&mut self, i: usize) {
        let time = Time::from_millis(self.now);
        let vm = &mut self.vms[i];
        if self.now < vm.next_plan {
            return;
        }
        vm.next_plan = self.now + PLAN_INTERVAL;
        let confirmed = !vm.lease.is_alone() || vm.is_outage;
        if !vm.lease.is_held(time) || !vm.is_planner || !confirmed {
            vm.planner.pause_term();
            return;
        }
        let (demand, silent) = (BTreeMap::new(), BTreeSet::new());
        let input = PlannerInput {
            service: SERVICE,
            engine: &self.model,
            endpoints: &vm.endpoints,
            silent: &silent,
            demand: &demand,
            before_traffic: !self.has_traffic,
            list_frozen: vm.is_outage,
        };
        let mut out = Vec::new();
        vm.planner.begin_term(vm.lease.fence());
        vm.planner.step(time, &input, &mut vm.epochs, &mut out);
        // The process may freeze before it gets to them.
        for output in out {
            self.send(0, Event::Planned(i, output));
        }
    }

    /// Executes an output of a VM's planner, unless it is an order that may no longer be sent.
    fn execute(&mut self, i: usize, output: Output) {
        match output {
            Output::Order(order) if order.expected.is_some() => {
                self.asked += u64::from(self.has_traffic);
                let check = JoinCheck { order, attempt: 0 };
                self.send(ROUND_TRIP / 2, Event::Ask(i, check));
            }
            Output::Order(order) if may_order(&self.vms[i], self.now, order.fence) => {
                self.send_order(i, order, None);
            }
            Output::Order(order) => {
                let dropped = Event::Reply(i, Box::new(order), Reply::Conflict);
                self.send(0, dropped);
            }
            Output::Probe { endpoint, .. } => {
                let report = self.report(&endpoint).map(|(report, _)| report);
                let result = match report {
                    Some(_) => ProbeResult::Answered,
                    None => ProbeResult::Unreachable,
                };
                self.send(ROUND_TRIP, Event::Probed(i, endpoint, result, report));
            }
        }
    }

    /// Returns the engines that run but that a VM doesn't list with their start.
    pub fn unlisted(&self) -> Vec<Arc<str>> {
        let is_listed = |e: &SimulatedEngine| {
            let mut vms = self.vms.iter();
            vms.all(|vm| {
                let listed = vm.endpoints.get(&e.id);
                listed.is_some_and(|l| l.started_ms == e.started_ms)
            })
        };
        let engines = self.engines.values();
        let unlisted = engines.filter(|e| e.down_until.is_none() && !is_listed(e));
        unlisted.map(|e| e.id.clone()).collect()
    }

    /// Returns the engines that are members of open groups, and all that run.
    pub fn serving(&self) -> (usize, usize) {
        let live = self.engines.values().filter(|e| e.down_until.is_none());
        let is_open = |e: &&SimulatedEngine| {
            let m = e.shown.membership.as_ref();
            m.is_some_and(|m| m.state == MemberState::Open) && !self.is_stalled(&e.id)
        };
        let open = self.engines.values().filter(is_open).count();
        (open * GROUP_SIZE, live.count())
    }
}
