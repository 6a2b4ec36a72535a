//! A deployment of engines in virtual time, which the planner of `hemlock-node` orders about.
//!
//! It checks at each order that a group is opened only when all its members are ready, and that no
//! engine joins another group without having left its own.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::capacity::Demand;
use hemlock_lib::node::config::{Engine, Model};
use hemlock_lib::node::endpoints::{Endpoint, Endpoints, EngineReport, MemberState, Membership};
use hemlock_lib::node::planner::{Action, Output, Planner, PlannerInput, Reply};
use hemlock_lib::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SERVICE: &str = "models";
const STALL: Duration = Duration::from_secs(5);
/// Step of the virtual clock.
const TICK: Duration = Duration::from_millis(50);
/// Time in which a closing head finishes its requests: a long answer of the users' services.
const CLOSE: Duration = Duration::from_millis(1_400);
/// Time until a silent engine's entry is gone.
const LAPSE: Duration = Duration::from_millis(3_600);

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
        steps_per_pass: 5,
        load_rate: 5.0,
        load_limit: 7,
        models: models.iter().map(model).collect(),
    }
}

#[derive(Debug, Clone)]
struct Worker {
    entry: Endpoint,
    dead: Option<Time>,
    last: Option<Arc<str>>,
    /// What is left of the join under way, and whether it reads from the weight store.
    joining: Option<(Duration, bool)>,
    /// The model that is read onto the host, and what is left of that.
    staging: Option<(Arc<str>, Duration)>,
    /// What is left until a closing head has finished its requests.
    closing: Option<Duration>,
    /// When the head gives up since a member is missing.
    stalled: Option<Time>,
    highest: u64,
}

impl Worker {
    fn is_loading(&self) -> bool {
        let joins = self.joining.is_some_and(|(_, loads)| loads);
        self.dead.is_none() && (joins || self.staging.is_some())
    }
}

pub struct World {
    pub now: Time,
    pub engine: Engine,
    pub endpoints: Endpoints,
    pub planner: Planner,
    pub silent: BTreeSet<Arc<str>>,
    pub demand: BTreeMap<Arc<str>, Demand>,
    pub early: bool,
    /// Whether the list is not written; what engines hold shows when they are asked.
    pub blind: bool,
    pub loads: Vec<Time>,
    pub orders: Vec<(Time, Arc<str>, Action)>,
    /// Share of the orders that get no reply and are carried out seconds later.
    pub late_share: f64,
    late: Vec<(Time, Arc<str>, u64, Action)>,
    workers: BTreeMap<Arc<str>, Worker>,
    ready: BTreeSet<(Arc<str>, u64)>,
    rng: SmallRng,
}

impl World {
    pub fn new(engine: Engine, domains: &[usize], seed: u64) -> Self {
        let mut world = Self {
            now: Time::from_millis(1),
            engine,
            endpoints: Endpoints::new(Duration::from_secs(2)),
            planner: Planner::default(),
            silent: BTreeSet::new(),
            demand: BTreeMap::new(),
            early: true,
            blind: false,
            loads: Vec::new(),
            orders: Vec::new(),
            late_share: 0.0,
            late: Vec::new(),
            workers: BTreeMap::new(),
            ready: BTreeSet::new(),
            rng: SmallRng::seed_from_u64(seed),
        };
        for (d, count) in domains.iter().enumerate() {
            for i in 0..*count {
                world.add(&format!("w{d}-{i}"), &format!("d{d}"));
            }
        }
        world.planner.begin_term(1);
        world
    }

    pub fn add(&mut self, id: &str, domain: &str) {
        let entry = Endpoint {
            id: Arc::from(id),
            started_ms: self.now.0,
            service: Arc::from(SERVICE),
            address: "10.0.0.1:80".to_owned(),
            zone: Arc::from("z"),
            domain: Arc::from(domain),
            draining: false,
            slots: 17,
            staged: Vec::new(),
            model: None,
            membership: None,
        };
        self.endpoints.put(entry.clone());
        let worker = Worker {
            entry,
            dead: None,
            last: None,
            joining: None,
            staging: None,
            closing: None,
            stalled: None,
            highest: 0,
        };
        self.workers.insert(Arc::from(id), worker);
    }

    pub fn crash(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.dead.get_or_insert(self.now);
        }
        let seat = self.workers[id].entry.membership.clone();
        if let Some(seat) = seat {
            let head = self.head(&seat.group, seat.epoch);
            self.silent.extend(head);
        }
    }

    pub fn drain(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.entry.draining = true;
        }
        self.show(id);
    }

    fn head(&self, group: &str, epoch: u64) -> Option<Arc<str>> {
        let of = |w: &&Worker| {
            let seat = w.entry.membership.as_ref();
            seat.is_some_and(|s| &*s.group == group && s.epoch == epoch && s.rank == 0)
        };
        self.workers.values().find(of).map(|w| w.entry.id.clone())
    }

    /// Lists the engines of the groups that are open with all members alive, by model.
    pub fn serving(&self) -> BTreeMap<String, usize> {
        let mut serving = BTreeMap::new();
        for group in self.endpoints.groups().values() {
            let parts: Vec<&str> = group.name.splitn(3, '-').collect();
            let size: usize = parts[1].parse().unwrap();
            let open = matches!(group.head(), Some((_, MemberState::Open)));
            let alive = |id: &Arc<str>| self.workers.get(id).is_some_and(|w| w.dead.is_none());
            if open && group.is_complete(size) && group.members.values().all(|(id, _)| alive(id)) {
                *serving.entry(parts[2].to_owned()).or_default() += 1;
            }
        }
        serving
    }

    /// Returns how many engines live.
    pub fn live(&self) -> usize {
        self.workers.values().filter(|w| w.dead.is_none()).count()
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            self.advance();
            self.plan();
        }
    }

    /// Another planner takes over with a higher fencing token.
    pub fn replace_planner(&mut self, fence: u64) {
        self.planner = Planner::default();
        self.planner.begin_term(fence);
    }

    fn plan(&mut self) {
        let mut out = Vec::new();
        let scene = PlannerInput {
            service: SERVICE,
            engine: &self.engine,
            endpoints: &self.endpoints,
            silent: &self.silent,
            demand: &self.demand,
            before_traffic: self.early,
            list_frozen: self.blind,
        };
        self.planner.step(self.now, &scene, &mut out);
        for output in out {
            match output {
                Output::Order {
                    endpoint,
                    fence,
                    action,
                    ..
                } => self.take(endpoint, fence, action),
                Output::Probe { endpoint, .. } => {
                    let alive = self
                        .workers
                        .get(&endpoint)
                        .is_some_and(|w| w.dead.is_none());
                    if alive && self.blind {
                        let e = &self.workers[&endpoint].entry;
                        self.endpoints.observe(&EngineReport {
                            id: e.id.clone(),
                            started_ms: e.started_ms,
                            staged: e.staged.clone(),
                            model: e.model.clone(),
                            membership: e.membership.clone(),
                        });
                    }
                    self.planner.handle_probe_result(&endpoint, alive);
                }
            }
        }
    }

    fn take(&mut self, id: Arc<str>, fence: u64, action: Action) {
        self.orders.push((self.now, id.clone(), action.clone()));
        let dead = self.workers[&id].dead.is_some();
        if !dead && self.rng.random_bool(self.late_share) {
            let at = self.now + Duration::from_millis(self.rng.random_range(2_000..12_000));
            self.late.push((at, id.clone(), fence, action.clone()));
            self.planner
                .handle_reply(self.now, &id, &action, Reply::Lost);
            return;
        }
        let reply = match dead {
            true => Reply::Lost,
            false => self.carry_out(&id, fence, &action),
        };
        self.planner.handle_reply(self.now, &id, &action, reply);
    }

    fn carry_out(&mut self, id: &Arc<str>, fence: u64, action: &Action) -> Reply {
        let now = self.now;
        let quick = if self.early { 10 } else { 1 };
        let worker = &self.workers[id];
        if fence < worker.highest {
            return Reply::Outdated;
        }
        let mut next = worker.clone();
        next.highest = fence;
        let seat = worker.entry.membership.clone();
        let holds = |group: &Arc<str>, epoch: &u64| {
            seat.as_ref()
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
                if seat.as_ref().is_some_and(|s| s.epoch > *epoch) {
                    return Reply::Outdated;
                }
                self.check_join(id, group);
                let spec = self.engine.model(model).expect("a known model").clone();
                let (wait, loads) = if next.last.as_ref() == Some(model) {
                    (Duration::from_millis(200), false)
                } else if next.entry.staged.contains(model) {
                    (spec.warmup_time, false)
                } else {
                    self.loads.push(now);
                    next.entry.staged = vec![model.clone()];
                    (spec.load_time / quick, true)
                };
                next.joining = Some((wait, loads));
                next.entry.model = None;
                next.last = Some(model.clone());
                let rank = members.iter().position(|m| m == id).expect("a member");
                next.entry.membership = Some(Membership {
                    group: group.clone(),
                    epoch: *epoch,
                    rank,
                    state: MemberState::Joining,
                });
                Reply::Begun
            }
            Action::Open { group, epoch } => match &mut next.entry.membership {
                Some(s) if holds(group, epoch) && s.rank == 0 && s.state == MemberState::Ready => {
                    self.check_open(group, *epoch);
                    s.state = MemberState::Open;
                    Reply::Begun
                }
                _ => Reply::Conflict,
            },
            Action::Close { group, epoch } => match &mut next.entry.membership {
                Some(s) if holds(group, epoch) && s.state == MemberState::Open => {
                    s.state = MemberState::Closing;
                    next.closing = Some(CLOSE);
                    Reply::Begun
                }
                _ => Reply::Conflict,
            },
            Action::Leave { group, epoch } => {
                if holds(group, epoch) {
                    next.entry.membership = None;
                    next.entry.model = None;
                    next.joining = None;
                    next.closing = None;
                }
                Reply::Done
            }
            Action::Stage { model } => {
                let spec = self.engine.model(model).expect("a known model");
                next.staging = Some((model.clone(), spec.load_time / quick));
                self.loads.push(now);
                Reply::Begun
            }
        };
        self.workers.insert(id.clone(), next);
        self.show(id);
        reply
    }

    fn check_join(&self, id: &Arc<str>, group: &Arc<str>) {
        let Some(seat) = &self.workers[id].entry.membership else {
            return;
        };
        let head = self.head(&seat.group, seat.epoch);
        let head = head.map(|h| &self.workers[&h]);
        let state = head
            .and_then(|h| h.entry.membership.as_ref())
            .map(|s| s.state);
        let may_serve = matches!(state, Some(MemberState::Open | MemberState::Closing));
        assert!(
            !may_serve,
            "{id} joins {group} while the head of its group {} is {state:?}",
            seat.group
        );
    }

    fn check_open(&self, group: &Arc<str>, epoch: u64) {
        let size: usize = group.split('-').nth(1).unwrap().parse().unwrap();
        let of = |w: &&Worker| {
            let seat = w.entry.membership.as_ref();
            seat.is_some_and(|s| s.group == *group && s.epoch == epoch)
        };
        let members = self.workers.values().filter(of).count();
        let ready = self.ready.iter().filter(|(_, e)| *e == epoch).count();
        assert!(
            ready >= size,
            "{group} is opened with {members} members, {ready} of {size} were ready"
        );
    }

    fn show(&mut self, id: &str) {
        let worker = &self.workers[id];
        if worker.dead.is_none() && !self.blind {
            self.endpoints.put(worker.entry.clone());
        }
    }

    fn advance(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.late.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, id, fence, action) in due {
            if self.workers[&id].dead.is_none() {
                self.carry_out(&id, fence, &action);
            }
        }
        let active = self.workers.values().filter(|w| w.is_loading()).count();
        // Beyond the limit, loads share the weight store; before callers come they do not.
        let limit = self.engine.load_limit;
        let part = if self.early || active <= limit {
            1.0
        } else {
            limit as f64 / active as f64
        };
        let ids: Vec<Arc<str>> = self.workers.keys().cloned().collect();
        for id in ids {
            let mut worker = self.workers[&id].clone();
            if let Some(dead) = worker.dead {
                if now.since(dead) >= LAPSE && !self.blind {
                    self.endpoints.remove(now, [&*id]);
                }
                continue;
            }
            let before = worker.entry.clone();
            if let Some((left, loads)) = &mut worker.joining {
                *left = left.saturating_sub(if *loads { TICK.mul_f64(part) } else { TICK });
            }
            if worker.joining.is_some_and(|(left, _)| left.is_zero()) {
                worker.joining = None;
                worker.entry.model.clone_from(&worker.last);
                if let Some(seat) = &mut worker.entry.membership {
                    seat.state = MemberState::Ready;
                    self.ready.insert((id.clone(), seat.epoch));
                }
            }
            if let Some((_, left)) = &mut worker.staging {
                *left = left.saturating_sub(TICK.mul_f64(part));
            }
            if let Some((model, left)) = worker.staging.clone()
                && left.is_zero()
            {
                worker.staging = None;
                worker.entry.staged = vec![model];
            }
            if let (Some(left), Some(seat)) = (&mut worker.closing, &mut worker.entry.membership) {
                *left = left.saturating_sub(TICK);
                if left.is_zero() {
                    worker.closing = None;
                    seat.state = MemberState::Ready;
                }
            }
            self.stall(&mut worker);
            let changed = worker.entry != before;
            self.workers.insert(id.clone(), worker);
            if changed {
                self.show(&id);
            }
        }
    }

    /// Lets an open head give up when a member is missing for long.
    fn stall(&self, worker: &mut Worker) {
        let Some(seat) = &mut worker.entry.membership else {
            worker.stalled = None;
            return;
        };
        if seat.rank != 0 || seat.state != MemberState::Open {
            worker.stalled = None;
            return;
        }
        let size: usize = seat.group.split('-').nth(1).unwrap().parse().unwrap();
        let of = |w: &&Worker| {
            let other = w.entry.membership.as_ref();
            w.dead.is_none() && other.is_some_and(|s| s.epoch == seat.epoch)
        };
        if self.workers.values().filter(of).count() >= size {
            worker.stalled = None;
            return;
        }
        let since = *worker.stalled.get_or_insert(self.now);
        if self.now.since(since) >= STALL {
            seat.state = MemberState::Broken;
        }
    }
}
