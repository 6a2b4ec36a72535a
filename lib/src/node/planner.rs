//! Forms groups of engines and mends them: answers the load of lost, draining and new engines.
//!
//! What engines hold is read from the endpoints' list, so that a new planner needs no record of the
//! last one. Two rules bind every order: a group is opened only once each of its members was seen
//! ready under its name and epoch, and no member joins another group before it has left its own or
//! the head of that has given up.

mod assign;
mod convert;
mod groups;
mod weight_loads;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::capacity::Demand;
use super::config::Engine;
use super::endpoints::{Endpoints, Group, Membership};
use crate::time::Time;

/// Time in which the list shows what an engine took; its entry follows a change at once, and a slow
/// store takes some hundred milliseconds.
const SHOW_TIME: Duration = Duration::from_millis(1_500);
/// Time between two sends of an order that shows no effect.
const RESEND: Duration = Duration::from_millis(400);
/// Probes in a row without an answer after which an engine of a silent group counts as lost: a link of
/// the users' days loses 3 of 100 packets, four of which make an answer.
const DEAD_PROBES: u32 = 3;
/// First and longest time until an engine that answered is probed again.
const PROBE_FIRST: Duration = Duration::from_millis(400);
const PROBE_MOST: Duration = Duration::from_secs(4);
/// Time between two probes of an engine that counts as lost, but is listed.
const DEAD_EVERY: Duration = Duration::from_secs(2);
/// Time after an order for which an engine's state is asked for while the list is not written.
const FLUX_TIME: Duration = Duration::from_secs(4);
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
pub struct PlannerInput<'a> {
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
    pub before_traffic: bool,
    /// Whether the list is not written, so that engines are asked what they hold.
    pub list_frozen: bool,
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
    /// Whether a probe is under way.
    probing: bool,
    /// Whether it counts as lost, until it answers.
    dead: bool,
    /// When it was last sent an order.
    ordered: Option<Time>,
    /// The model of its last group.
    last: Option<Arc<str>>,
    /// The model that it loads onto its host, and since when.
    staging: Option<(Arc<str>, Time)>,
    /// Its place in a group when it was last looked at.
    seat: Option<Membership>,
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
    /// What their engines are ended for, by failure domain.
    conversions: BTreeMap<Arc<str>, Conversion>,
    summary: Summary,
}

/// Engines of a failure domain that change to another model.
#[derive(Debug, Clone)]
struct Conversion {
    /// The model that they change to.
    model: Arc<str>,
    /// Engines that will serve it.
    count: usize,
    since: Time,
}

/// Engines of one model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelCount {
    /// The model.
    pub model: Arc<str>,
    /// Engines that serve it or will do so.
    pub assigned: usize,
    /// Engines that should.
    pub target: usize,
    /// Engines that could without a load.
    pub warm: usize,
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
pub fn parse_group_name(name: &str) -> Option<(usize, &str)> {
    let mut parts = name.strip_prefix('g')?.splitn(3, '-');
    parts.next()?.parse::<u64>().ok()?;
    Some((parts.next()?.parse().ok()?, parts.next()?))
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
    pub fn begin_term(&mut self, fence: u64) {
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
    pub fn end_term(&mut self) {
        self.fence = None;
    }

    /// Takes the end of an order; returns whether the term is over, since another planner may have
    /// used a higher token.
    pub fn handle_reply(
        &mut self,
        now: Time,
        endpoint: &str,
        action: &Action,
        reply: Reply,
    ) -> bool {
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
        if reply == Reply::Outdated {
            self.end_term();
        }
        reply == Reply::Outdated
    }

    /// Takes the end of a probe.
    pub fn handle_probe_result(&mut self, endpoint: &str, answered: bool) {
        let Some(mind) = self.minds.get_mut(endpoint) else {
            return;
        };
        mind.probing = false;
        if answered {
            mind.unanswered = 0;
            mind.dead = false;
            mind.patience = (mind.patience * 2).clamp(PROBE_FIRST, PROBE_MOST);
            return;
        }
        mind.unanswered += 1;
        mind.patience = Duration::ZERO;
        if mind.unanswered >= DEAD_PROBES {
            mind.dead = true;
        }
    }

    /// Plans once and appends what is to be done to `out`.
    pub fn step(&mut self, now: Time, scene: &PlannerInput<'_>, out: &mut Vec<Output>) {
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
        round.probe();
        round.resend_joins();
        let stages = round.tend();
        round.fill(&stages);
    }

    /// Returns an epoch that is higher than all that were seen or given out.
    fn next_epoch(&mut self, fence: u64) -> u64 {
        self.epoch = self.epoch.max(fence << EPOCH_BITS) + 1;
        self.epoch
    }

    fn follow(&mut self, scene: &PlannerInput<'_>) {
        let seats = scene.endpoints.iter().filter_map(|e| e.membership.as_ref());
        let seen = seats.map(|s| s.epoch).max().unwrap_or_default();
        self.epoch = self.epoch.max(seen);
        for endpoint in scene.endpoints.iter() {
            if &*endpoint.service != scene.service {
                continue;
            }
            let mind = self.minds.entry(endpoint.id.clone()).or_default();
            if mind.born != endpoint.started_ms {
                *mind = Mind {
                    born: endpoint.started_ms,
                    ..Mind::default()
                };
            }
            if mind.seat != endpoint.membership {
                mind.seat.clone_from(&endpoint.membership);
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
            let mut seats = scene.endpoints.iter().filter_map(|e| e.membership.as_ref());
            seats.any(|s| s.epoch == *epoch)
        };
        self.retiring.retain(seated);
    }
}

/// One pass of the planner.
struct Round<'a, 'b> {
    now: Time,
    fence: u64,
    scene: &'a PlannerInput<'a>,
    groups: BTreeMap<(Arc<str>, u64), Group>,
    planner: &'b mut Planner,
    out: &'b mut Vec<Output>,
}

impl Round<'_, '_> {
    fn size(&self, group: &Group) -> usize {
        parse_group_name(&group.name).map_or(0, |(size, _)| size)
    }

    fn is_dead(&self, id: &str) -> bool {
        let mind = self.planner.minds.get(id);
        mind.is_some_and(|m| m.dead)
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
            mind.ordered = Some(self.now);
        }
        self.out.push(Output::Order {
            endpoint: id.clone(),
            address: endpoint.address.clone(),
            fence: self.fence,
            action,
        });
    }
}
