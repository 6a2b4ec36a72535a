//! A simulated deployment of engines in virtual time, controlled by the planner of `hemlock-node`.
//!
//! It checks at each order that a group is opened only after all its members were ready, and that
//! no engine joins another group while the head of its own may still serve.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::capacity::Demand;
use hemlock_lib::node::config::{Engine, Model};
use hemlock_lib::node::endpoints::{Endpoint, Endpoints, EngineReport, MemberState, Membership};
use hemlock_lib::node::planner::{
    Action, EpochIssuer, ExpectedGroup, Order, Output, Planner, PlannerInput, ProbeResult, Reply,
};
use hemlock_lib::node::warm_up::ToldWarmUp;
use hemlock_lib::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SERVICE: &str = "models";
const STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Step of the virtual clock.
const TICK: Duration = Duration::from_millis(50);
/// Time in which a closing head finishes its requests; assumes that one of them has a long answer.
const CLOSE_DURATION: Duration = Duration::from_millis(1_400);
/// Time until the entry of a crashed engine is removed from the list.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3_600);

pub fn engine(models: &[(&str, usize, f64)]) -> Engine {
    let model = |(name, size, share): &(&str, usize, f64)| Model {
        name: Arc::from(*name),
        group_size: *size,
        time_factor: 1.0,
        share: *share,
        load_time: Duration::from_secs(12),
        warmup_time: Duration::from_secs(1),
    };
    Engine {
        slots: 17,
        step_time: Duration::from_micros(7_800),
        step_time_per_request: Duration::from_micros(95),
        prefill_rate: 45_900.0,
        prefill_chunk: None,
        steps_per_pass: 5,
        load_rate: 5.0,
        load_limit: 7,
        models: models.iter().map(model).collect(),
    }
}

/// Returns the zone of a failure domain.
pub fn zone_of(domain: &str) -> Arc<str> {
    Arc::from(format!("z-{domain}"))
}

#[derive(Debug, Clone)]
struct SimulatedEngine {
    entry: Endpoint,
    crashed_at: Option<Time>,
    last_model: Option<Arc<str>>,
    /// Remaining time of the join in progress, and whether it loads from the weight store.
    joining: Option<(Duration, bool)>,
    /// Model that is being loaded onto the host, and the remaining time.
    staging: Option<(Arc<str>, Duration)>,
    /// Remaining time until a closing head has finished its requests.
    closing: Option<Duration>,
    /// When the head of an open group first missed a member.
    member_missing_since: Option<Time>,
    highest_fence: u64,
    /// Number of orders begun so far.
    begun: u64,
}

impl SimulatedEngine {
    fn is_loading(&self) -> bool {
        let joins = self.joining.is_some_and(|(_, loads_weights)| loads_weights);
        self.crashed_at.is_none() && (joins || self.staging.is_some())
    }
}

/// An order as an engine gets it.
#[derive(Debug, Clone)]
struct SentOrder {
    fence: u64,
    action: Action,
    /// Number of orders that the engine must have begun before.
    precondition: Option<u64>,
}

pub struct Simulation {
    pub now: Time,
    pub engine: Engine,
    pub endpoints: Endpoints,
    pub planner: Planner,
    epochs: EpochIssuer,
    pub silent: BTreeSet<Arc<str>>,
    /// Engines that take connections and answer nothing.
    pub paused: BTreeSet<Arc<str>>,
    pub demand: BTreeMap<Arc<str>, Demand>,
    pub before_traffic: bool,
    /// Whether the list is not being updated; the state of an engine shows only when it is probed.
    pub list_frozen: bool,
    /// Whether no engine answers the planner, and all groups look silent to it.
    pub is_cut_off: bool,
    pub load_starts: Vec<Time>,
    pub orders: Vec<(Time, Arc<str>, Action)>,
    /// Fraction of the orders that get no reply and are carried out seconds later.
    pub delayed_share: f64,
    delayed_orders: Vec<(Time, Arc<str>, SentOrder)>,
    engines: BTreeMap<Arc<str>, SimulatedEngine>,
    ready_members: BTreeSet<(Arc<str>, u64)>,
    rng: SmallRng,
}

impl Simulation {
    pub fn new(engine: Engine, domains: &[usize], seed: u64) -> Self {
        let mut simulation = Self {
            now: Time::from_millis(1),
            engine,
            endpoints: Endpoints::new(Duration::from_secs(2)),
            planner: Planner::default(),
            epochs: EpochIssuer::default(),
            silent: BTreeSet::new(),
            paused: BTreeSet::new(),
            demand: BTreeMap::new(),
            before_traffic: true,
            list_frozen: false,
            is_cut_off: false,
            load_starts: Vec::new(),
            orders: Vec::new(),
            delayed_share: 0.0,
            delayed_orders: Vec::new(),
            engines: BTreeMap::new(),
            ready_members: BTreeSet::new(),
            rng: SmallRng::seed_from_u64(seed),
        };
        for (domain, count) in domains.iter().enumerate() {
            for i in 0..*count {
                simulation.add(&format!("w{domain}-{i}"), &format!("d{domain}"));
            }
        }
        simulation.planner.begin_term(1);
        simulation
    }

    pub fn add(&mut self, id: &str, domain: &str) {
        let entry = Endpoint {
            id: Arc::from(id),
            started_ms: self.now.0,
            sequence: 0,
            service: Arc::from(SERVICE),
            address: "10.0.0.1:80".to_owned(),
            zone: zone_of(domain),
            domain: Arc::from(domain),
            draining: false,
            slots: 17,
            staged: Vec::new(),
            model: None,
            membership: None,
            warm_up: ToldWarmUp::default(),
        };
        self.endpoints.put(self.now, entry.clone());
        let simulated = SimulatedEngine {
            entry,
            crashed_at: None,
            last_model: None,
            joining: None,
            staging: None,
            closing: None,
            member_missing_since: None,
            highest_fence: 0,
            begun: 0,
        };
        self.engines.insert(Arc::from(id), simulated);
    }

    pub fn crash(&mut self, id: &str) {
        if let Some(simulated) = self.engines.get_mut(id) {
            simulated.crashed_at.get_or_insert(self.now);
        }
        let membership = self.engines[id].entry.membership.clone();
        if let Some(membership) = membership {
            let head = self.head(&membership.group, membership.epoch);
            self.silent.extend(head);
        }
    }

    pub fn drain(&mut self, id: &str) {
        if let Some(simulated) = self.engines.get_mut(id) {
            simulated.entry.draining = true;
        }
        self.update_list(id);
    }

    fn head(&self, group: &str, epoch: u64) -> Option<Arc<str>> {
        let is_match = |e: &&SimulatedEngine| {
            let membership = e.entry.membership.as_ref();
            membership.is_some_and(|s| &*s.group == group && s.epoch == epoch && s.rank == 0)
        };
        self.engines
            .values()
            .find(is_match)
            .map(|e| e.entry.id.clone())
    }

    /// Returns the number of open groups with all members alive, by model.
    pub fn serving(&self) -> BTreeMap<String, usize> {
        let mut serving = BTreeMap::new();
        for group in self.endpoints.groups().values() {
            let parts: Vec<&str> = group.name.splitn(3, '-').collect();
            let size: usize = parts[1].parse().unwrap();
            let open = matches!(group.head(), Some((_, MemberState::Open)));
            let alive =
                |id: &Arc<str>| self.engines.get(id).is_some_and(|e| e.crashed_at.is_none());
            if open && group.is_complete(size) && group.members.values().all(|(id, _)| alive(id)) {
                *serving.entry(parts[2].to_owned()).or_default() += 1;
            }
        }
        serving
    }

    /// Returns the number of live engines.
    pub fn live_engines(&self) -> usize {
        self.engines
            .values()
            .filter(|e| e.crashed_at.is_none())
            .count()
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            self.advance_engines();
            self.plan();
        }
    }

    /// Replaces the planner by a new one with a higher fencing token.
    pub fn replace_planner(&mut self, fence: u64) {
        self.planner = Planner::default();
        self.epochs = EpochIssuer::default();
        self.planner.begin_term(fence);
    }

    /// Replaces the list by an older copy of it, and the planner by one that remembers nothing.
    pub fn restart_beside(&mut self, copy: Vec<Endpoint>, fence: u64) {
        self.endpoints = Endpoints::new(Duration::from_secs(2));
        self.endpoints.replace(self.now, copy);
        self.before_traffic = true;
        self.replace_planner(fence);
    }

    /// Has all live engines write their entries again.
    pub fn write_entries(&mut self) {
        let live = self.engines.values().filter(|e| e.crashed_at.is_none());
        let ids: Vec<Arc<str>> = live.map(|e| e.entry.id.clone()).collect();
        ids.iter().for_each(|id| self.update_list(id));
    }

    fn plan(&mut self) {
        let mut out = Vec::new();
        if self.is_cut_off {
            let groups = self.endpoints.groups();
            let heads = groups.values().filter_map(|g| Some(g.head()?.0.clone()));
            self.silent = heads.collect();
        }
        let input = PlannerInput {
            service: SERVICE,
            engine: &self.engine,
            endpoints: &self.endpoints,
            silent: &self.silent,
            demand: &self.demand,
            before_traffic: self.before_traffic,
            list_frozen: self.list_frozen,
        };
        self.planner
            .step(self.now, &input, &mut self.epochs, &mut out);
        for output in out {
            match output {
                Output::Order(Order {
                    endpoint,
                    fence,
                    action,
                    expected,
                    ..
                }) => self.receive_order(endpoint, fence, action, expected),
                Output::Probe { endpoint, .. } if self.is_cut_off => {
                    self.planner.forget_probe(&endpoint);
                }
                Output::Probe { endpoint, .. } => {
                    let alive = self
                        .engines
                        .get(&endpoint)
                        .is_some_and(|e| e.crashed_at.is_none());
                    let result = match alive {
                        true if self.paused.contains(&endpoint) => ProbeResult::Silent,
                        true => ProbeResult::Answered,
                        false => ProbeResult::Unreachable,
                    };
                    if result == ProbeResult::Answered {
                        self.observe(&endpoint);
                    }
                    self.planner
                        .handle_probe_result(self.now, &endpoint, result);
                }
            }
        }
    }

    /// Applies the report of an engine to the list while that is not being updated.
    fn observe(&mut self, id: &str) {
        if !self.list_frozen {
            return;
        }
        let e = &self.engines[id].entry;
        self.endpoints.observe(&EngineReport {
            id: e.id.clone(),
            started_ms: e.started_ms,
            staged: e.staged.clone(),
            model: e.model.clone(),
            membership: e.membership.clone(),
        });
    }

    fn receive_order(
        &mut self,
        id: Arc<str>,
        fence: u64,
        action: Action,
        expected: Option<ExpectedGroup>,
    ) {
        self.orders.push((self.now, id.clone(), action.clone()));
        let crashed = self.engines[&id].crashed_at.is_some();
        let precondition = expected.is_some().then(|| self.engines[&id].begun);
        if let (Some(expected), Action::Join { group, epoch, .. }) = (expected, &action)
            && !crashed
        {
            self.observe(&id);
            let SimulatedEngine { entry, begun, .. } = &self.engines[&id];
            let membership = entry.membership.as_ref();
            if let Err(reply) = expected.check(membership, *begun, group, *epoch) {
                self.planner
                    .handle_reply(self.now, fence, &id, &action, reply);
                return;
            }
        }
        if !crashed && self.rng.random_bool(self.delayed_share) {
            let at = self.now + Duration::from_millis(self.rng.random_range(2_000..12_000));
            let order = SentOrder {
                fence,
                action: action.clone(),
                precondition,
            };
            self.delayed_orders.push((at, id.clone(), order));
            self.planner
                .handle_reply(self.now, fence, &id, &action, Reply::Lost);
            return;
        }
        let reply = match crashed {
            true => Reply::Lost,
            false => self.begin(&id, fence, &action),
        };
        self.planner
            .handle_reply(self.now, fence, &id, &action, reply);
    }

    /// Carries out an order, and counts it if it has begun something.
    fn begin(&mut self, id: &Arc<str>, fence: u64, action: &Action) -> Reply {
        let reply = self.carry_out(id, fence, action);
        if reply == Reply::Begun
            && let Some(simulated) = self.engines.get_mut(id)
        {
            simulated.begun += 1;
        }
        reply
    }

    fn carry_out(&mut self, id: &Arc<str>, fence: u64, action: &Action) -> Reply {
        let now = self.now;
        let speedup = if self.before_traffic { 10 } else { 1 };
        let simulated = &self.engines[id];
        if fence < simulated.highest_fence {
            return Reply::Outdated;
        }
        let mut updated = simulated.clone();
        updated.highest_fence = fence;
        let membership = simulated.entry.membership.clone();
        let holds = |group: &Arc<str>, epoch: &u64| {
            membership
                .as_ref()
                .is_some_and(|s| s.group == *group && s.epoch == *epoch)
        };
        let reply = match action {
            Action::Join {
                group,
                epoch,
                model,
                members,
            } => {
                if holds(group, epoch) {
                    return Reply::Done;
                }
                if membership.as_ref().is_some_and(|s| s.epoch > *epoch) {
                    return Reply::Outdated;
                }
                self.check_join(id, group);
                let model_info = self.engine.model(model).expect("a known model").clone();
                let (wait, loads_weights) = if updated.last_model.as_ref() == Some(model) {
                    (Duration::from_millis(200), false)
                } else if updated.entry.staged.contains(model) {
                    (model_info.warmup_time, false)
                } else {
                    self.load_starts.push(now);
                    updated.entry.staged = vec![model.clone()];
                    (model_info.load_time / speedup, true)
                };
                updated.joining = Some((wait, loads_weights));
                updated.entry.model = None;
                updated.last_model = Some(model.clone());
                let rank = members.iter().position(|m| m == id).expect("a member");
                updated.entry.membership = Some(Membership {
                    group: group.clone(),
                    epoch: *epoch,
                    rank,
                    state: MemberState::Joining,
                });
                Reply::Begun
            }
            Action::Open { group, epoch } => match &mut updated.entry.membership {
                Some(s) if holds(group, epoch) && s.rank == 0 && s.state == MemberState::Ready => {
                    self.check_open(group, *epoch);
                    s.state = MemberState::Open;
                    Reply::Begun
                }
                _ => Reply::Conflict,
            },
            Action::Close { group, epoch } => match &mut updated.entry.membership {
                Some(s) if holds(group, epoch) && s.state == MemberState::Open => {
                    s.state = MemberState::Closing;
                    updated.closing = Some(CLOSE_DURATION);
                    Reply::Begun
                }
                _ => Reply::Conflict,
            },
            Action::Leave { group, epoch } => {
                if holds(group, epoch) {
                    updated.entry.membership = None;
                    updated.entry.model = None;
                    updated.joining = None;
                    updated.closing = None;
                }
                Reply::Done
            }
            Action::Stage { model } => {
                let model_info = self.engine.model(model).expect("a known model");
                updated.staging = Some((model.clone(), model_info.load_time / speedup));
                self.load_starts.push(now);
                Reply::Begun
            }
        };
        self.engines.insert(id.clone(), updated);
        self.update_list(id);
        reply
    }

    fn check_join(&self, id: &Arc<str>, group: &Arc<str>) {
        let Some(membership) = &self.engines[id].entry.membership else {
            return;
        };
        let head = self.head(&membership.group, membership.epoch);
        let head = head.map(|h| &self.engines[&h]);
        let state = head
            .and_then(|h| h.entry.membership.as_ref())
            .map(|s| s.state);
        let may_serve = matches!(state, Some(MemberState::Open | MemberState::Closing));
        assert!(
            !may_serve,
            "{id} joins {group} while the head of its group {} is {state:?}",
            membership.group
        );
    }

    fn check_open(&self, group: &Arc<str>, epoch: u64) {
        let size: usize = group.split('-').nth(1).unwrap().parse().unwrap();
        let is_match = |e: &&SimulatedEngine| {
            let membership = e.entry.membership.as_ref();
            membership.is_some_and(|s| s.group == *group && s.epoch == epoch)
        };
        let members = self.engines.values().filter(is_match).count();
        let ready = self
            .ready_members
            .iter()
            .filter(|(_, e)| *e == epoch)
            .count();
        assert!(
            ready >= size,
            "{group} is opened with {members} members, {ready} of {size} were ready"
        );
    }

    fn update_list(&mut self, id: &str) {
        let simulated = &self.engines[id];
        if simulated.crashed_at.is_none() && !self.list_frozen {
            self.endpoints.put(self.now, simulated.entry.clone());
        }
    }

    fn advance_engines(&mut self) {
        let now = self.now;
        let due_orders: Vec<_> = self
            .delayed_orders
            .extract_if(.., |(at, ..)| *at <= now)
            .collect();
        for (_, id, order) in due_orders {
            let simulated = &self.engines[&id];
            let fits = order.precondition.is_none_or(|n| n == simulated.begun);
            if simulated.crashed_at.is_none() && fits {
                self.begin(&id, order.fence, &order.action);
            }
        }
        let active = self.engines.values().filter(|e| e.is_loading()).count();
        // Beyond the limit, loads share the bandwidth of the weight store; before traffic they do
        // not.
        let limit = self.engine.load_limit;
        let speed = if self.before_traffic || active <= limit {
            1.0
        } else {
            limit as f64 / active as f64
        };
        let ids: Vec<Arc<str>> = self.engines.keys().cloned().collect();
        for id in ids {
            let mut simulated = self.engines[&id].clone();
            if let Some(crashed_at) = simulated.crashed_at {
                if now.since(crashed_at) >= ENTRY_LIFETIME && !self.list_frozen {
                    self.endpoints.remove(now, [&*id]);
                }
                continue;
            }
            let previous = simulated.entry.clone();
            if let Some((left, loads_weights)) = &mut simulated.joining {
                *left = left.saturating_sub(if *loads_weights {
                    TICK.mul_f64(speed)
                } else {
                    TICK
                });
            }
            if simulated.joining.is_some_and(|(left, _)| left.is_zero()) {
                simulated.joining = None;
                simulated.entry.model.clone_from(&simulated.last_model);
                if let Some(membership) = &mut simulated.entry.membership {
                    membership.state = MemberState::Ready;
                    self.ready_members.insert((id.clone(), membership.epoch));
                }
            }
            if let Some((_, left)) = &mut simulated.staging {
                *left = left.saturating_sub(TICK.mul_f64(speed));
            }
            if let Some((model, left)) = simulated.staging.clone()
                && left.is_zero()
            {
                simulated.staging = None;
                simulated.entry.staged = vec![model];
            }
            if let (Some(left), Some(membership)) =
                (&mut simulated.closing, &mut simulated.entry.membership)
            {
                *left = left.saturating_sub(TICK);
                if left.is_zero() {
                    simulated.closing = None;
                    membership.state = MemberState::Ready;
                }
            }
            self.give_up_if_stalled(&mut simulated);
            let changed = simulated.entry != previous;
            self.engines.insert(id.clone(), simulated);
            if changed {
                self.update_list(&id);
            }
        }
    }

    /// Lets an open head give up after a member has been missing for too long.
    fn give_up_if_stalled(&self, simulated: &mut SimulatedEngine) {
        let Some(membership) = &mut simulated.entry.membership else {
            simulated.member_missing_since = None;
            return;
        };
        if membership.rank != 0 || membership.state != MemberState::Open {
            simulated.member_missing_since = None;
            return;
        }
        let size: usize = membership.group.split('-').nth(1).unwrap().parse().unwrap();
        let is_match = |e: &&SimulatedEngine| {
            let other = e.entry.membership.as_ref();
            e.crashed_at.is_none() && other.is_some_and(|s| s.epoch == membership.epoch)
        };
        if self.engines.values().filter(is_match).count() >= size {
            simulated.member_missing_since = None;
            return;
        }
        let since = *simulated.member_missing_since.get_or_insert(self.now);
        if self.now.since(since) >= STALL_TIMEOUT {
            membership.state = MemberState::Broken;
        }
    }
}
