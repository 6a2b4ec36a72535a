//! Forms groups of engines and mends them: answers the load of lost, draining and new engines.
//!
//! What engines hold is read from the endpoints' list, so that a new planner needs no record of the
//! last one. Two rules bind every order: a group is opened only once each of its members was seen
//! ready under its name and epoch, and no member joins another group before it has left its own or
//! the head of that has given up.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::config::{Engine, Model};
use super::endpoints::{Endpoint, Endpoints, Group, Seat, SeatState};
use super::placement::{self, Demand};
use crate::time::Time;

/// Time in which the list shows what an engine took; its entry follows a change at once, and a slow
/// store takes some hundred milliseconds.
const SHOW_TIME: Duration = Duration::from_millis(1_500);
/// Time between two sends of an order that shows no effect.
const RESEND: Duration = Duration::from_millis(400);
/// Joins sent again before their group is given up, for each member.
const RESENDS: u32 = 3;
/// Longest time that a head may finish its requests before a draining member ends.
const CLOSE_TIME: Duration = Duration::from_millis(2_500);
/// Probes without an answer after which an engine of a silent group counts as lost.
const DEAD_PROBES: u32 = 2;
/// Time between two probes of one engine.
const PROBE_EVERY: Duration = Duration::from_millis(150);
/// First and longest time until an engine that answered is probed again.
const PROBE_FIRST: Duration = Duration::from_millis(400);
const PROBE_MOST: Duration = Duration::from_secs(4);
/// Time for which an engine that answered no probe gets no new group.
const DEAD_TIME: Duration = Duration::from_secs(4);
/// Time to join a group of the model of the engine's last group (stated by the users).
const REJOIN: Duration = Duration::from_millis(200);
/// Models that an engine can serve without a load: the one of its group and one on its host.
const KEPT: usize = 2;
/// Loads that are left to idle engines while hosts of serving ones stage models.
const SPARE_LOADS: usize = 4;
/// Loads may take this many times longer while others run.
const STAGE_FACTOR: u32 = 4;
/// Part of the engines that stays without a group, to replace lost members at once.
const RESERVE: f64 = 0.05;
/// Part of the richest model's share of engines below which a model takes some of them wherever one
/// engine is idle.
const CONVERT: f64 = 0.75;
/// Idle engines of a domain that are made up to a group for a smaller difference too.
const IDLE: usize = 2;
/// Bits of an epoch that count within one term.
const EPOCH_BITS: u32 = 20;

/// What an engine is told to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Become a member of a group.
    Join {
        /// Its name.
        group: Arc<str>,
        /// Epoch of the member list.
        epoch: u64,
        /// Model to hold.
        model: Arc<str>,
        /// Members by rank.
        members: Vec<Arc<str>>,
    },
    /// Take requests, as the head of a group.
    Open {
        /// The group.
        group: Arc<str>,
        /// Its epoch.
        epoch: u64,
    },
    /// Finish the requests of a group, as its head.
    Close {
        /// The group.
        group: Arc<str>,
        /// Its epoch.
        epoch: u64,
    },
    /// Give up the membership in a group.
    Leave {
        /// The group.
        group: Arc<str>,
        /// Its epoch.
        epoch: u64,
    },
    /// Load a model onto the host.
    Stage {
        /// The model.
        model: Arc<str>,
    },
}

impl Action {
    /// Returns the name used in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Join { .. } => "join",
            Self::Open { .. } => "open",
            Self::Close { .. } => "close",
            Self::Leave { .. } => "leave",
            Self::Stage { .. } => "stage",
        }
    }

    /// Returns the group that it names, or the model to stage.
    pub fn subject(&self) -> &str {
        match self {
            Self::Join { group, .. }
            | Self::Open { group, .. }
            | Self::Close { group, .. }
            | Self::Leave { group, .. } => group,
            Self::Stage { model } => model,
        }
    }
}

/// What the planner wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send an order.
    Order {
        /// The engine.
        endpoint: Arc<str>,
        /// Its address.
        address: String,
        /// Fencing token.
        fence: u64,
        /// What to do.
        action: Action,
    },
    /// Ask an engine for its report, to see whether it lives.
    Probe {
        /// The engine.
        endpoint: Arc<str>,
        /// Its address.
        address: String,
    },
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// It has begun.
    Begun,
    /// It is done, or the state holds already.
    Done,
    /// It doesn't fit the engine's state.
    Conflict,
    /// Another planner has used a higher fencing token, or a later epoch.
    Outdated,
    /// Another engine has the address.
    Elsewhere,
    /// No reply came: it may be carried out yet.
    Lost,
}

/// What the planner plans from.
#[derive(Debug, Clone, Copy)]
pub struct Scene<'a> {
    /// The service whose engines are planned.
    pub service: &'a str,
    /// How its engines work.
    pub engine: &'a Engine,
    /// The list.
    pub endpoints: &'a Endpoints,
    /// Heads of groups that stopped answering, as gateways see it.
    pub silent: &'a BTreeSet<Arc<str>>,
    /// What callers ask of each model.
    pub demand: &'a BTreeMap<Arc<str>, Demand>,
    /// Whether no caller has come yet; until then loads are quick and don't count.
    pub early: bool,
}

/// A group that this planner ordered.
#[derive(Debug, Clone)]
struct Formed {
    model: Arc<str>,
    members: Vec<Arc<str>>,
    since: Time,
    /// Sends of joins that showed no effect.
    resends: u32,
    /// Whether an order to open it was sent.
    opened: bool,
    given_up: bool,
}

/// What the planner knows of an engine beyond the list.
#[derive(Debug, Default)]
struct Mind {
    /// The order under way, and since when.
    pending: Option<Time>,
    /// No other order before this time.
    wait: Option<Time>,
    /// Unanswered probes in a row, and the time of the last probe.
    unanswered: u32,
    /// Time until an engine that answered is probed again.
    patience: Duration,
    probed: Option<Time>,
    dead_until: Option<Time>,
    /// The model of its last group.
    last: Option<Arc<str>>,
    /// The model that it loads onto its host, and since when.
    staging: Option<(Arc<str>, Time)>,
    /// Its place in a group when it was last looked at.
    seat: Option<Seat>,
    /// Start that all of this is about.
    born: u64,
}

/// The planner of all engines of one deployment.
#[derive(Debug, Default)]
pub struct Planner {
    fence: Option<u64>,
    /// The highest epoch seen or given out.
    epoch: u64,
    formed: BTreeMap<u64, Formed>,
    minds: BTreeMap<Arc<str>, Mind>,
    /// When a group was first seen damaged or closing.
    seen: BTreeMap<(Arc<str>, u64), Time>,
    loads: Vec<Time>,
    /// Epochs of whole groups that are ended for another model.
    retiring: BTreeSet<u64>,
    summary: Summary,
}

/// Engines of one model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelCount {
    /// The model.
    pub model: Arc<str>,
    /// Engines that serve it or will do so.
    pub have: usize,
    /// Engines that should.
    pub goal: usize,
    /// Engines that could without a load.
    pub able: usize,
}

/// What the last plan found, for the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Summary {
    /// Engines that may be used.
    pub usable: usize,
    /// Of these, without a group and ready for one.
    pub free: usize,
    /// Engines that load weights.
    pub loading: usize,
    /// Groups that serve.
    pub serving: usize,
    /// Groups that form or are to be opened.
    pub forming: usize,
    /// Groups that are being ended.
    pub ending: usize,
    /// Engines by model.
    pub models: Vec<ModelCount>,
}

/// Returns the name of a group; it tells later planners the group's size and model.
pub fn group_name(epoch: u64, size: usize, model: &str) -> Arc<str> {
    Arc::from(format!("g{epoch}-{size}-{model}"))
}

/// Returns the size and model that a group's name tells.
pub fn parse_name(name: &str) -> Option<(usize, &str)> {
    let mut parts = name.strip_prefix('g')?.splitn(3, '-');
    parts.next()?.parse::<u64>().ok()?;
    Some((parts.next()?.parse().ok()?, parts.next()?))
}

/// Engines to deal out to groups.
#[derive(Debug)]
struct Deal<'a> {
    /// Engines that each model should have.
    goals: BTreeMap<Arc<str>, usize>,
    /// Engines without a group, by failure domain.
    free: BTreeMap<Arc<str>, Vec<&'a Endpoint>>,
    /// Engines that serve each model or will do so.
    have: BTreeMap<Arc<str>, usize>,
}

impl Deal<'_> {
    /// Returns how many engines a model should have.
    fn goal(&self, model: &Model) -> f64 {
        self.goals.get(&model.name).copied().unwrap_or(0) as f64
    }

    /// Returns the part of these that it has.
    fn part(&self, model: &Model) -> f64 {
        let have = self.have.get(&model.name).copied().unwrap_or(0) as f64;
        have / self.goal(model).max(1e-9)
    }
}

/// Where a group stands in its life, as the plan sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Members are still joining.
    Forming,
    /// All members are ready; the head is to be opened.
    Ready,
    /// It takes requests.
    Serving,
    /// A member is about to stop.
    Leaving,
    /// A member is lost or the group was given up.
    Damaged,
    /// Its head gave up, so that members may join others.
    Over,
}

impl Planner {
    /// Returns the fencing token of the present term, if there is one.
    pub fn fence(&self) -> Option<u64> {
        self.fence
    }

    /// Begins or goes on with a term.
    pub fn lead(&mut self, fence: u64) {
        if self.fence.is_none() {
            *self = Self::default();
        }
        self.fence = Some(self.fence.map_or(fence, |f| f.max(fence)));
    }

    /// Returns what the last plan found.
    pub fn summary(&self) -> &Summary {
        &self.summary
    }

    /// Ends the term.
    pub fn resign(&mut self) {
        self.fence = None;
    }

    /// Takes the end of an order; returns whether the term is over.
    pub fn replied(&mut self, now: Time, endpoint: &str, action: &Action, reply: Reply) -> bool {
        let Some(mind) = self.minds.get_mut(endpoint) else {
            return false;
        };
        mind.pending = None;
        mind.wait = match reply {
            Reply::Begun | Reply::Done => Some(now + SHOW_TIME),
            Reply::Conflict | Reply::Elsewhere | Reply::Lost | Reply::Outdated => {
                Some(now + RESEND)
            }
        };
        if let Action::Stage { model } = action
            && matches!(reply, Reply::Begun | Reply::Lost)
        {
            mind.staging = Some((model.clone(), now));
            mind.wait = None;
        }
        if let Action::Join { epoch, .. } = action
            && matches!(reply, Reply::Conflict | Reply::Elsewhere | Reply::Outdated)
            && let Some(formed) = self.formed.get_mut(epoch)
        {
            formed.given_up = true;
        }
        reply == Reply::Outdated
    }

    /// Takes the end of a probe.
    pub fn probed(&mut self, now: Time, endpoint: &str, answered: bool) {
        let Some(mind) = self.minds.get_mut(endpoint) else {
            return;
        };
        if answered {
            mind.unanswered = 0;
            mind.dead_until = None;
            mind.patience = (mind.patience * 2).clamp(PROBE_FIRST, PROBE_MOST);
            return;
        }
        mind.unanswered += 1;
        mind.patience = Duration::ZERO;
        if mind.unanswered >= DEAD_PROBES {
            mind.dead_until = Some(now + DEAD_TIME);
        }
    }

    /// Plans once and appends what is to be done to `out`.
    pub fn step(&mut self, now: Time, scene: &Scene<'_>, out: &mut Vec<Output>) {
        let Some(fence) = self.fence else { return };
        self.follow(scene);
        let mut round = Round {
            now,
            fence,
            scene,
            groups: scene.endpoints.groups(),
            planner: self,
            out,
        };
        round.groups.retain(|_, g| &*g.service == scene.service);
        round.probe_silent();
        round.resend_joins();
        let stages = round.tend();
        round.fill(&stages);
    }

    /// Returns an epoch that is higher than all that were seen or given out.
    fn next_epoch(&mut self, fence: u64) -> u64 {
        self.epoch = self.epoch.max(fence << EPOCH_BITS) + 1;
        self.epoch
    }

    fn follow(&mut self, scene: &Scene<'_>) {
        let seats = scene.endpoints.iter().filter_map(|e| e.seat.as_ref());
        let seen = seats.map(|s| s.epoch).max().unwrap_or_default();
        self.epoch = self.epoch.max(seen);
        for endpoint in scene.endpoints.iter() {
            if &*endpoint.service != scene.service {
                continue;
            }
            let mind = self.minds.entry(endpoint.id.clone()).or_default();
            if mind.born != endpoint.born {
                *mind = Mind {
                    born: endpoint.born,
                    ..Mind::default()
                };
            }
            if mind.seat != endpoint.seat {
                mind.seat.clone_from(&endpoint.seat);
                mind.wait = None;
            }
            if endpoint.model.is_some() {
                mind.last.clone_from(&endpoint.model);
            }
            let staged = |(model, _): &(Arc<str>, Time)| endpoint.staged.contains(model);
            if mind.staging.as_ref().is_some_and(staged) {
                mind.staging = None;
            }
        }
        let listed = |id: &Arc<str>| scene.endpoints.get(id).is_some();
        self.minds.retain(|id, _| listed(id));
        self.formed.retain(|_, f| f.members.iter().any(listed));
        let seated = |epoch: &u64| {
            let mut seats = scene.endpoints.iter().filter_map(|e| e.seat.as_ref());
            seats.any(|s| s.epoch == *epoch)
        };
        self.retiring.retain(seated);
    }
}

/// One pass of the planner.
struct Round<'a, 'b> {
    now: Time,
    fence: u64,
    scene: &'a Scene<'a>,
    groups: BTreeMap<(Arc<str>, u64), Group>,
    planner: &'b mut Planner,
    out: &'b mut Vec<Output>,
}

impl Round<'_, '_> {
    fn size(&self, group: &Group) -> usize {
        parse_name(&group.name).map_or(0, |(size, _)| size)
    }

    fn is_dead(&self, id: &str) -> bool {
        let mind = self.planner.minds.get(id);
        mind.is_some_and(|m| m.dead_until.is_some_and(|t| t > self.now))
    }

    fn is_idle(&self, id: &str) -> bool {
        let mind = self.planner.minds.get(id);
        mind.is_some_and(|m| m.pending.is_none() && m.wait.is_none_or(|t| t <= self.now))
    }

    fn order(&mut self, id: &Arc<str>, action: Action) {
        let Some(endpoint) = self.scene.endpoints.get(id) else {
            return;
        };
        if let Some(mind) = self.planner.minds.get_mut(id) {
            mind.pending = Some(self.now);
        }
        self.out.push(Output::Order {
            endpoint: id.clone(),
            address: endpoint.address.clone(),
            fence: self.fence,
            action,
        });
    }

    /// Probes the members of groups that gateways find silent, to learn which one is lost.
    fn probe_silent(&mut self) {
        let heads = |g: &Group| {
            g.head()
                .is_some_and(|(id, _)| self.scene.silent.contains(id))
        };
        let silent: Vec<Arc<str>> = self
            .groups
            .values()
            .filter(|g| heads(g))
            .flat_map(|g| g.members.values().map(|(id, _)| id.clone()))
            .collect();
        for id in silent {
            let Some(endpoint) = self.scene.endpoints.get(&id) else {
                continue;
            };
            let Some(mind) = self.planner.minds.get_mut(&id) else {
                continue;
            };
            // An engine that answered is slow rather than lost, and is asked again later.
            let every = mind.patience.max(PROBE_EVERY);
            if mind.probed.is_some_and(|t| self.now.since(t) < every) {
                continue;
            }
            mind.probed = Some(self.now);
            self.out.push(Output::Probe {
                endpoint: id,
                address: endpoint.address.clone(),
            });
        }
    }

    /// Sends joins again that showed no effect; the same epoch and members make that harmless.
    fn resend_joins(&mut self) {
        let open: Vec<(u64, Formed)> = self
            .planner
            .formed
            .iter()
            .filter(|(_, f)| !f.given_up && !f.opened)
            .map(|(epoch, f)| (*epoch, f.clone()))
            .collect();
        for (epoch, formed) in open {
            let lacks = |id: &&Arc<str>| {
                let seat = self.scene.endpoints.get(id).and_then(|e| e.seat.as_ref());
                seat.is_none_or(|s| s.epoch != epoch)
            };
            let lacking: Vec<Arc<str>> = formed.members.iter().filter(lacks).cloned().collect();
            let spent = formed.resends as usize >= RESENDS as usize * formed.members.len();
            for id in lacking {
                let lost = self.is_dead(&id) || self.scene.endpoints.get(&id).is_none();
                let idle = self.is_idle(&id);
                let Some(state) = self.planner.formed.get_mut(&epoch) else {
                    continue;
                };
                if lost || spent && idle {
                    state.given_up = true;
                    break;
                }
                if !idle {
                    continue;
                }
                state.resends += 1;
                let action = Action::Join {
                    group: group_name(epoch, formed.members.len(), &formed.model),
                    epoch,
                    model: formed.model.clone(),
                    members: formed.members.clone(),
                };
                self.order(&id, action);
            }
        }
    }

    /// Tends to each group and returns where it stands.
    fn tend(&mut self) -> BTreeMap<(Arc<str>, u64), Stage> {
        let keys: Vec<_> = self.groups.keys().cloned().collect();
        let mut stages = BTreeMap::new();
        for key in keys {
            let group = self.groups[&key].clone();
            let stage = self.stage(&group);
            self.act(&key, &group, stage);
            stages.insert(key, stage);
        }
        self.planner.seen.retain(|k, _| stages.contains_key(k));
        stages
    }

    fn stage(&mut self, group: &Group) -> Stage {
        let key = (group.name.clone(), group.epoch);
        let size = self.size(group);
        let formed = self.planner.formed.get(&group.epoch).cloned();
        if let Some((_, SeatState::Broken)) = group.head() {
            return Stage::Over;
        }
        if formed.as_ref().is_some_and(|f| f.given_up && !f.opened) {
            return Stage::Over;
        }
        let dead = group.members.values().any(|(id, _)| self.is_dead(id));
        if dead {
            return Stage::Damaged;
        }
        if !group.is_whole(size) {
            let since = formed.as_ref().map(|f| f.since);
            let first = *self.planner.seen.entry(key).or_insert(self.now);
            let started = group.members.values().all(|(_, s)| *s <= SeatState::Ready);
            let since = since.unwrap_or(first);
            if started && self.now.since(since) < SHOW_TIME * 2 {
                return Stage::Forming;
            }
            return Stage::Damaged;
        }
        if group.draining || self.planner.retiring.contains(&group.epoch) {
            return Stage::Leaving;
        }
        let joining = group
            .members
            .values()
            .any(|(_, s)| *s == SeatState::Joining);
        match group.head() {
            _ if joining => Stage::Forming,
            Some((_, SeatState::Ready)) => Stage::Ready,
            Some((_, SeatState::Open)) => Stage::Serving,
            // A close that is not ours any more ends in ready, and the group opens again.
            _ => Stage::Leaving,
        }
    }

    fn act(&mut self, key: &(Arc<str>, u64), group: &Group, stage: Stage) {
        let (name, epoch) = key.clone();
        let head = group.head().map(|(id, s)| (id.clone(), s));
        match (stage, head) {
            (Stage::Ready, Some((head, _))) if self.is_idle(&head) => {
                if let Some(formed) = self.planner.formed.get_mut(&epoch) {
                    formed.opened = true;
                }
                self.order(&head, Action::Open { group: name, epoch });
            }
            (Stage::Leaving, Some((head, state))) => {
                let since = *self.planner.seen.entry(key.clone()).or_insert(self.now);
                let late = self.now.since(since) >= CLOSE_TIME;
                match state {
                    SeatState::Open if !late && self.is_idle(&head) => {
                        self.order(&head, Action::Close { group: name, epoch });
                    }
                    SeatState::Open | SeatState::Closing if !late => {}
                    _ => self.dissolve(key, group),
                }
            }
            (Stage::Damaged, _) => self.dissolve(key, group),
            _ => {}
        }
    }

    /// Tells all members to leave. A head that is lost may still be open, out of reach; it serves
    /// nothing without its members and gives up after a while.
    fn dissolve(&mut self, key: &(Arc<str>, u64), group: &Group) {
        for (id, _) in group.members.values() {
            if !self.is_dead(id) && self.is_idle(id) {
                let (group, epoch) = key.clone();
                self.order(id, Action::Leave { group, epoch });
            }
        }
    }

    /// Returns whether an engine may join a group now.
    fn is_free(&self, endpoint: &Endpoint, stages: &BTreeMap<(Arc<str>, u64), Stage>) -> bool {
        if endpoint.draining || self.is_dead(&endpoint.id) || !self.is_idle(&endpoint.id) {
            return false;
        }
        let Some(seat) = &endpoint.seat else {
            return true;
        };
        let key = (seat.group.clone(), seat.epoch);
        stages.get(&key) == Some(&Stage::Over)
    }

    /// Forms groups from free engines, the model furthest below its share first.
    fn fill(&mut self, stages: &BTreeMap<(Arc<str>, u64), Stage>) {
        let engines: Vec<&Endpoint> = self.scene.endpoints.iter().collect();
        let usable = |e: &&&Endpoint| {
            &*e.service == self.scene.service && !e.draining && !self.is_dead(&e.id)
        };
        let usable: Vec<&Endpoint> = engines.iter().filter(usable).copied().collect();
        let total = (usable.len() as f64 * (1.0 - RESERVE)).ceil() as usize;
        let goals = placement::goals(self.scene.engine, total, self.scene.demand);
        let mut free: BTreeMap<Arc<str>, Vec<&Endpoint>> = BTreeMap::new();
        for e in usable.iter().filter(|e| self.is_free(e, stages)) {
            free.entry(e.domain.clone()).or_default().push(e);
        }
        let mut have: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for (key, stage) in stages {
            if matches!(stage, Stage::Forming | Stage::Ready | Stage::Serving)
                && let Some((size, model)) = parse_name(&key.0)
            {
                *have.entry(Arc::from(model)).or_default() += size;
            }
        }
        for (epoch, formed) in &self.planner.formed {
            let shown = stages.keys().any(|(_, e)| e == epoch);
            if !shown && !formed.given_up && self.now.since(formed.since) < SHOW_TIME {
                *have.entry(formed.model.clone()).or_default() += formed.members.len();
            }
        }
        let count = |wanted: &[Stage]| stages.values().filter(|s| wanted.contains(s)).count();
        self.planner.summary = Summary {
            usable: usable.len(),
            free: free.values().map(Vec::len).sum(),
            loading: self.loading(),
            serving: count(&[Stage::Serving]),
            forming: count(&[Stage::Forming, Stage::Ready]),
            ending: count(&[Stage::Leaving, Stage::Damaged]),
            models: self
                .scene
                .engine
                .models
                .iter()
                .map(|m| ModelCount {
                    model: m.name.clone(),
                    have: have.get(&m.name).copied().unwrap_or(0),
                    goal: goals.get(&m.name).copied().unwrap_or(0),
                    able: usable.iter().filter(|e| self.is_able(e, m)).count(),
                })
                .collect(),
        };
        let mut deal = Deal { goals, free, have };
        while self.form_one(&mut deal, false) {}
        while self.form_one(&mut deal, true) {}
        self.convert(&deal, stages);
        let free = deal.free;
        self.stage_others(&usable, &free);
    }

    /// Forms one group, of the model furthest below its share; a surplus group is one beyond that
    /// share, of engines that would serve nothing otherwise, and without a load.
    fn form_one(&mut self, deal: &mut Deal<'_>, surplus: bool) -> bool {
        let engine = self.scene.engine;
        let mut models: Vec<&Model> = engine.models.iter().collect();
        models.sort_by(|a, b| deal.part(a).total_cmp(&deal.part(b)));
        for model in models {
            let held = deal.have.get(&model.name).copied().unwrap_or(0);
            let beyond = (held + model.size) as f64 > deal.goal(model) + model.size as f64 / 2.0;
            if beyond && held > 0 && !surplus {
                continue;
            }
            let places = deal.free.iter().map(|(domain, engines)| {
                let open = engines.iter().filter(|e| !self.is_kept(e, model, deal));
                (domain, open.copied().collect::<Vec<&Endpoint>>())
            });
            let places = places.filter(|(_, e)| e.len() >= model.size.max(1));
            let best = places
                .map(|(domain, engines)| {
                    (self.pick(&engines, model), domain.clone(), engines.len())
                })
                .min_by_key(|((cost, _), _, count)| (*cost, std::cmp::Reverse(*count)));
            let Some(((_, members), domain, _)) = best else {
                continue;
            };
            let loads = members.iter().filter(|e| self.needs_load(e, model)).count();
            if loads > 0 && surplus || !self.may_load(loads) {
                continue;
            }
            if let Some(engines) = deal.free.get_mut(&domain) {
                engines.retain(|e| !members.iter().any(|m| m.id == e.id));
            }
            *deal.have.entry(model.name.clone()).or_default() += model.size;
            self.form(model, &members);
            return true;
        }
        false
    }

    /// Returns whether an engine is kept for the model of its last group: it would have to load that
    /// again after a change, and that model is at least as short of engines.
    fn is_kept(&self, endpoint: &Endpoint, model: &Model, deal: &Deal<'_>) -> bool {
        let mind = self.planner.minds.get(&endpoint.id);
        let Some(last) = mind.and_then(|m| m.last.as_ref()) else {
            return false;
        };
        if *last == model.name || endpoint.staged.contains(last) {
            return false;
        }
        let last = self.scene.engine.model(last);
        last.is_some_and(|l| deal.part(l) < 1.0 && deal.part(l) <= deal.part(model))
    }

    /// Ends groups of the model that has the most engines for its share, where that frees enough
    /// engines beside idle ones for a group of the model that has the fewest.
    fn convert(&mut self, deal: &Deal<'_>, stages: &BTreeMap<(Arc<str>, u64), Stage>) {
        let engine = self.scene.engine;
        if !self.planner.retiring.is_empty() || self.scene.early {
            return;
        }
        let part = |m: &&Model| deal.part(m);
        let models = || engine.models.iter();
        let by_part = |a: &&Model, b: &&Model| part(a).total_cmp(&part(b));
        let (Some(short), Some(rich)) = (models().min_by(by_part), models().max_by(by_part)) else {
            return;
        };
        if short.name == rich.name || part(&short) >= 1.0 {
            return;
        }
        let much = part(&short) < part(&rich) * CONVERT;
        let goal = deal.goal(rich).max(1e-9);
        let mut best: Option<(usize, Vec<u64>)> = None;
        for (domain, free) in &deal.free {
            let able = free.iter().filter(|e| !self.needs_load(e, short)).count();
            let serving = self.groups.iter().filter(|(key, g)| {
                let model = parse_name(&g.name).map(|(_, m)| m);
                let serves = stages.get(*key) == Some(&Stage::Serving);
                serves && g.domain == *domain && model == Some(&*rich.name)
            });
            // Groups whose members can serve the other model without a load go first.
            let mut victims: Vec<(usize, u64)> = serving
                .map(|(key, g)| (self.count_quick(g, short), key.1))
                .filter(|(quick, _)| *quick > 0)
                .collect();
            victims.sort_by_key(|(quick, epoch)| (std::cmp::Reverse(*quick), *epoch));
            let mut found = able;
            let enough = |(quick, _): &&(usize, u64)| {
                let more = found < short.size;
                found += quick;
                more
            };
            let epochs: Vec<u64> = victims.iter().take_while(enough).map(|(_, e)| *e).collect();
            let count = epochs.len();
            // A domain without any idle engine gains nothing from the change.
            if able == 0 || count == 0 || found < short.size || !much && able < IDLE {
                continue;
            }
            let left = part(&rich) - (count * rich.size) as f64 / goal;
            if left < part(&short) || best.as_ref().is_some_and(|(c, _)| *c <= count) {
                continue;
            }
            best = Some((count, epochs));
        }
        if let Some((_, epochs)) = best {
            self.planner.retiring.extend(epochs);
        }
    }

    /// Returns how many members of a group can serve another model without a load.
    fn count_quick(&self, group: &Group, model: &Model) -> usize {
        let members = group.members.values();
        let listed = members.filter_map(|(id, _)| self.scene.endpoints.get(id));
        listed.filter(|e| !self.needs_load(e, model)).count()
    }

    fn form(&mut self, model: &Model, members: &[&Endpoint]) {
        let epoch = self.planner.next_epoch(self.fence);
        let group = group_name(epoch, model.size, &model.name);
        let ids: Vec<Arc<str>> = members.iter().map(|e| e.id.clone()).collect();
        self.planner.formed.insert(
            epoch,
            Formed {
                model: model.name.clone(),
                members: ids.clone(),
                since: self.now,
                resends: 0,
                opened: false,
                given_up: false,
            },
        );
        for id in &ids {
            self.order(
                id,
                Action::Join {
                    group: group.clone(),
                    epoch,
                    model: model.name.clone(),
                    members: ids.clone(),
                },
            );
        }
    }

    /// Takes `count` loads of the weight store's allowance if it has them.
    fn may_load(&mut self, count: usize) -> bool {
        if count == 0 || self.scene.early {
            return true;
        }
        let engine = self.scene.engine;
        let now = self.now;
        let longest = engine.models.iter().map(|m| m.load).max();
        let longest = longest.unwrap_or_default();
        self.planner.loads.retain(|t| now.since(*t) < longest);
        let second = Duration::from_secs(1);
        let recent = self
            .planner
            .loads
            .iter()
            .filter(|t| now.since(**t) < second);
        let recent = recent.count();
        let allowed = (engine.load_rate.floor() as usize).max(count);
        let running = self.loading();
        if recent + count > allowed || running > 0 && running + count > engine.load_limit {
            return false;
        }
        self.planner.loads.extend((0..count).map(|_| now));
        true
    }

    /// Returns the number of engines that load weights now.
    fn loading(&self) -> usize {
        let engine = self.scene.engine;
        let joins = |e: &&Endpoint| {
            let seat = e.seat.as_ref().filter(|s| s.state == SeatState::Joining);
            let model = seat.and_then(|s| engine.model(parse_name(&s.group)?.1));
            &*e.service == self.scene.service && model.is_some_and(|m| self.needs_load(e, m))
        };
        let listed = self.scene.endpoints.iter().filter(joins).count();
        let staging = self.planner.minds.values().filter(|m| m.staging.is_some());
        let recent = self.planner.loads.iter();
        let fresh = recent
            .filter(|t| self.now.since(**t) < SHOW_TIME / 3)
            .count();
        (listed + staging.count()).max(fresh)
    }

    /// Stages on each host a model that its engine doesn't hold: an engine that can become a member of
    /// any group within a second replaces a lost one at once. What completes a group of idle engines
    /// goes first, and then the rarest model of a domain.
    fn stage_others(&mut self, usable: &[&Endpoint], free: &BTreeMap<Arc<str>, Vec<&Endpoint>>) {
        self.forget_stuck();
        let engine = self.scene.engine;
        let mut able: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        let mut idle: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        let counted = |engines: &[&Endpoint], model: &Model| {
            engines.iter().filter(|e| self.is_able(e, model)).count()
        };
        for model in &engine.models {
            for (domain, engines) in free {
                idle.insert((domain, &model.name), counted(engines, model));
            }
            for e in usable.iter().filter(|e| self.is_able(e, model)) {
                *able.entry((&e.domain, &model.name)).or_default() += 1;
            }
        }
        let mut wanted: Vec<(usize, usize, &Endpoint, &Model)> = Vec::new();
        for e in usable.iter().filter(|e| self.has_room(e)) {
            let weigh = |m: &Model| {
                let key = (&*e.domain, &*m.name);
                let waiting = idle.get(&key).copied().unwrap_or(0) % m.size.max(1);
                let lacks = if waiting > 0 {
                    m.size - waiting
                } else {
                    usize::MAX
                };
                let have = able.get(&key).copied().unwrap_or(0);
                (lacks, have * 100 / m.size.max(1))
            };
            let others = engine.models.iter().filter(|m| !self.is_able(e, m));
            if let Some(model) = others.min_by_key(|m| weigh(m)) {
                let (lacks, have) = weigh(model);
                wanted.push((lacks, have, e, model));
            }
        }
        wanted.sort_by(|a, b| (a.0, a.1, &a.2.id).cmp(&(b.0, b.1, &b.2.id)));
        for (_, _, e, model) in wanted {
            // An engine that serves has time; those without a group, and groups that form, have not.
            let spared = if e.seat.is_some() { SPARE_LOADS } else { 0 };
            if !self.scene.early && self.loading() + spared >= engine.load_limit {
                continue;
            }
            if !self.may_load(1) {
                return;
            }
            let model = model.name.clone();
            self.order(&e.id.clone(), Action::Stage { model });
        }
    }

    /// Forgets loads onto hosts that take far too long.
    fn forget_stuck(&mut self) {
        let longest = self.scene.engine.models.iter().map(|m| m.load).max();
        let longest = longest.unwrap_or_default() * STAGE_FACTOR;
        let now = self.now;
        for mind in self.planner.minds.values_mut() {
            let stuck = |(_, since): &(Arc<str>, Time)| now.since(*since) > longest;
            if mind.staging.as_ref().is_some_and(stuck) {
                mind.staging = None;
            }
        }
    }

    /// Returns whether a host has room for a model: it keeps one beside that of its engine's group.
    fn has_room(&self, endpoint: &Endpoint) -> bool {
        let models = self.scene.engine.models.iter();
        let kept = models.filter(|m| self.is_able(endpoint, m)).count();
        let mind = self.planner.minds.get(&endpoint.id);
        let served = mind.is_some_and(|m| m.last.is_some());
        let most = if served { KEPT } else { 1 };
        kept < most && self.is_settled(endpoint)
    }

    /// Returns whether an engine can become a member of a group of this model without a load.
    fn is_able(&self, endpoint: &Endpoint, model: &Model) -> bool {
        let mind = self.planner.minds.get(&endpoint.id);
        let staging = mind.and_then(|m| m.staging.as_ref());
        let seat = endpoint.seat.as_ref().and_then(|s| parse_name(&s.group));
        staging.is_some_and(|(name, _)| *name == model.name)
            || seat.is_some_and(|(_, name)| name == &*model.name)
            || !self.needs_load(endpoint, model)
    }

    /// Returns whether an engine has no order or load under way.
    fn is_settled(&self, endpoint: &Endpoint) -> bool {
        let joining = endpoint
            .seat
            .as_ref()
            .is_some_and(|s| s.state == SeatState::Joining);
        let mind = self.planner.minds.get(&endpoint.id);
        let staging = mind.is_some_and(|m| m.staging.is_some());
        !joining && !staging && self.is_idle(&endpoint.id)
    }

    /// Returns whether an engine must read the model's weights from the weight store.
    fn needs_load(&self, endpoint: &Endpoint, model: &Model) -> bool {
        self.delay(endpoint, model) >= model.load
    }

    /// Returns the time that an engine needs to become a member of a group of this model.
    fn delay(&self, endpoint: &Endpoint, model: &Model) -> Duration {
        let mind = self.planner.minds.get(&endpoint.id);
        if mind.is_some_and(|m| m.last.as_ref() == Some(&model.name)) {
            return REJOIN.min(model.load);
        }
        match endpoint.staged.contains(&model.name) {
            true => model.warm,
            false => model.load,
        }
    }

    /// Picks the members of a group from a domain's free engines, and the time until it is ready in
    /// milliseconds.
    fn pick<'e>(&self, engines: &[&'e Endpoint], model: &Model) -> (u128, Vec<&'e Endpoint>) {
        let mut sorted: Vec<&Endpoint> = engines.to_vec();
        sorted.sort_by_key(|e| (self.delay(e, model), !e.staged.is_empty(), e.id.clone()));
        sorted.truncate(model.size);
        let slowest = sorted.iter().map(|e| self.delay(e, model)).max();
        (slowest.unwrap_or_default().as_millis(), sorted)
    }
}
