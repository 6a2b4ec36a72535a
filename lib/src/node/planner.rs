//! Forms groups of engines, and repairs them when engines are lost, drain or are added.
//!
//! The state of the engines is read from the endpoint list, so that a new planner needs no data of
//! its predecessor. Two rules hold for every order: a group is opened only after each of its
//! members was seen ready under the group's name and epoch, and an engine joins another group only
//! after it has left its own or the head of its own has given up.
//!
//! The list is a belief: an entry may be late, and the planner may have been frozen since it read it. What
//! follows from a wrong order can't be taken back, so [`ExpectedGroup`] decides each join on the engine's own
//! word.

mod assign;
mod convert;
mod epochs;
mod groups;
mod idle;
mod orders;
mod prepare;
mod weight_loads;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::capacity::Demand;
use super::config::Engine;
use super::endpoints::{Endpoints, Group, Membership};
use epochs::{EPOCH_COUNTER_BITS, MAX_FENCE_LEAD, MAX_PREPARING};
pub use epochs::{EpochIssuer, fencing_token};
pub use idle::IdleCause;
pub use orders::{Action, ExpectedGroup, Order, Output, Reply};

use crate::time::Time;

/// Time within which the list shows the effect of an order. An entry follows a change at once, and
/// a slow store adds a few hundred milliseconds.
const LIST_DELAY: Duration = Duration::from_millis(1_500);
/// Time before an order that shows no effect is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(400);
/// Unanswered probes in a row after which an engine of a silent group counts as lost. Assumes a
/// link that loses 3 of 100 packets, and four packets for a probe and its answer.
const LOST_AFTER_PROBES: u32 = 3;
/// Time for which an engine that takes connections may leave probes unanswered before it counts as lost.
/// It may only pause, and callers stay with a stream for two seconds without an event.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Shortest and longest time before an engine that has answered is probed again.
const PROBE_BACKOFF_MIN: Duration = Duration::from_millis(400);
const PROBE_BACKOFF_MAX: Duration = Duration::from_secs(4);
/// Time between two probes of an engine that counts as lost but is still listed.
const LOST_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Time after an order for which the engine is polled for its state while the list is frozen.
const POLL_DURATION: Duration = Duration::from_secs(4);
/// Time without a plan after which ages start anew. Plans are made every 150 ms or more often.
const MAX_PLAN_GAP: Duration = Duration::from_secs(1);

/// The state that a plan is made from.
#[derive(Debug, Clone, Copy)]
pub struct PlannerInput<'a> {
    /// Service whose engines are planned.
    pub service: &'a str,
    /// Performance of the service's engines.
    pub engine: &'a Engine,
    /// The endpoint list.
    pub endpoints: &'a Endpoints,
    /// Heads of groups that entry VMs found silent.
    pub silent: &'a BTreeSet<Arc<str>>,
    /// Demand for each model.
    pub demand: &'a BTreeMap<Arc<str>, Demand>,
    /// Whether no caller has come yet. Until then weights load quickly and the limits on loads do
    /// not apply.
    pub before_traffic: bool,
    /// Whether the list is not being updated, so that engines must be queried for their state.
    pub list_frozen: bool,
}

/// A group that was formed in this term.
#[derive(Debug, Clone)]
struct FormedGroup {
    model: Arc<str>,
    members: Vec<Arc<str>>,
    since: Time,
    /// Join orders sent again because they showed no effect.
    resends: u32,
    /// Whether the order to open the group was sent.
    opened: bool,
    given_up: bool,
}

/// Result of a probe of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The engine answered.
    Answered,
    /// The engine took a connection and did not answer in time.
    Silent,
    /// No connection to the engine was established in time.
    Unreachable,
}

/// State of an engine that the endpoint list does not show.
#[derive(Debug, Default)]
struct EngineState {
    /// When the order that is still without a reply was sent.
    order_sent: Option<Time>,
    /// Time before which no other order is sent.
    next_order_after: Option<Time>,
    /// Unanswered probes in a row.
    unanswered: u32,
    /// Since when the engine takes connections and leaves probes unanswered.
    silent_since: Option<Time>,
    /// Time before an engine that has answered is probed again.
    probe_backoff: Duration,
    last_probe: Option<Time>,
    /// Whether a probe is still without a result.
    probe_pending: bool,
    /// Whether the engine counts as lost, until it answers.
    lost: bool,
    /// When the last order was sent.
    last_order: Option<Time>,
    /// The last group that the engine has left on an order, with its epoch.
    left: Option<(Arc<str>, u64)>,
    /// Model of the last group.
    last_model: Option<Arc<str>>,
    /// Model whose weights are being loaded onto the host, and since when.
    staging: Option<(Arc<str>, Time)>,
    /// Whether the engine was ordered to start a model alone since its start.
    was_prepared: bool,
    /// Membership when the list was last read.
    membership: Option<Membership>,
    /// Start time of the engine that this state belongs to.
    started_ms: u64,
}

/// The planner of one service's engines.
#[derive(Debug, Default)]
pub struct Planner {
    /// Fencing token of the term to which all other fields belong.
    term: Option<u64>,
    /// Fencing token of the orders, unless the term is paused.
    fence: Option<u64>,
    formed: BTreeMap<u64, FormedGroup>,
    engine_states: BTreeMap<Arc<str>, EngineState>,
    last_step: Option<Time>,
    /// When a group was first seen incomplete or draining.
    unhealthy_since: BTreeMap<(Arc<str>, u64), Time>,
    load_starts: Vec<Time>,
    /// Epochs of complete groups that are being closed so that their engines can serve another
    /// model.
    retiring: BTreeSet<u64>,
    /// Epochs of the groups in which single engines start a model to be ready for it.
    preparing: BTreeSet<u64>,
    /// Conversions in progress, by failure domain.
    conversions: BTreeMap<Arc<str>, Conversion>,
    summary: Summary,
}

/// Engines of a failure domain that are being freed for groups of another model.
#[derive(Debug, Clone)]
struct Conversion {
    /// Model that the engines will serve.
    model: Arc<str>,
    /// Engines that will serve the model.
    count: usize,
    since: Time,
}

/// Number of engines for one model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelCount {
    /// Name of the model.
    pub model: Arc<str>,
    /// Engines in groups that serve the model or are being formed for it.
    pub assigned: usize,
    /// Engines that the model should have.
    pub target: usize,
    /// Engines that could serve the model without loading its weights.
    pub warm: usize,
}

/// Result of the last plan, for the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Summary {
    /// Engines that may be used.
    pub usable: usize,
    /// Usable engines that could join a group now.
    pub free: usize,
    /// Engines that are loading weights.
    pub loading: usize,
    /// Groups that take requests.
    pub serving: usize,
    /// Groups that are being formed or opened.
    pub forming: usize,
    /// Groups that are being ended.
    pub ending: usize,
    /// Engines of each model.
    pub models: Vec<ModelCount>,
    /// Usable engines in no group that serves or is about to, by cause.
    pub idle: BTreeMap<IdleCause, usize>,
}

/// Returns the name of a group. Later planners read the group's size and model from it.
pub fn group_name(epoch: u64, group_size: usize, model: &str) -> Arc<str> {
    Arc::from(format!("g{epoch}-{group_size}-{model}"))
}

/// Returns the size and model of a group from its name, or `None` for another kind of name.
pub fn parse_group_name(name: &str) -> Option<(usize, &str)> {
    let mut parts = name.strip_prefix('g')?.splitn(3, '-');
    parts.next()?.parse::<u64>().ok()?;
    Some((parts.next()?.parse().ok()?, parts.next()?))
}

/// Phase in the life of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GroupPhase {
    /// Members are still joining.
    Forming,
    /// All members are ready, and the head is to be opened.
    Ready,
    /// The group takes requests.
    Serving,
    /// The group is to finish its requests and end, for instance because a member is about to stop.
    Ending,
    /// A member is lost or missing, or the planner gave the group up before it was opened.
    Damaged,
    /// The head gave the group up for good, so that its members may join other groups.
    Disbanded,
    /// A single engine starts a model, to have it besides the one on its host.
    Preparing,
}

impl Planner {
    /// Returns the fencing token of the orders, unless the term is paused.
    pub fn fence(&self) -> Option<u64> {
        self.fence
    }

    /// Begins a term, or continues the one of this fencing token.
    ///
    /// While a token stands, no other planner has given orders, so that what this one knows of its own orders
    /// holds. Under another token, one may have worked in between: only loads in progress are kept, since the list
    /// does not show them. Returns whether the term is a new one.
    pub fn begin_term(&mut self, fence: u64) -> bool {
        let is_new = self.term != Some(fence);
        if is_new {
            let states = std::mem::take(&mut self.engine_states).into_iter();
            let loading = states.filter(|(_, state)| state.staging.is_some());
            let only_load = |(id, state): (Arc<str>, EngineState)| {
                let load = EngineState {
                    staging: state.staging,
                    started_ms: state.started_ms,
                    ..EngineState::default()
                };
                (id, load)
            };
            *self = Self {
                term: Some(fence),
                engine_states: loading.map(only_load).collect(),
                load_starts: std::mem::take(&mut self.load_starts),
                ..Self::default()
            };
        }
        self.fence = Some(fence);
        is_new
    }

    /// Returns the result of the last plan.
    pub fn summary(&self) -> &Summary {
        &self.summary
    }

    /// Pauses the term: no more orders are issued until it goes on or another one begins.
    pub fn pause_term(&mut self) {
        self.fence = None;
    }

    /// Handles the result of an order that was decided on under a fencing token. Returns true if the term ended
    /// because another planner may have used a higher one.
    ///
    /// The reply to an order of an earlier term says nothing of this one, but for a load that goes on.
    pub fn handle_reply(
        &mut self,
        now: Time,
        fence: u64,
        endpoint: &str,
        action: &Action,
        reply: Reply,
    ) -> bool {
        if self.term != Some(fence) && !matches!(action, Action::Stage { .. }) {
            return false;
        }
        let Some(state) = self.engine_states.get_mut(endpoint) else {
            return false;
        };
        state.order_sent = None;
        state.next_order_after = match reply {
            Reply::Begun | Reply::Done => Some(now + LIST_DELAY),
            Reply::Conflict | Reply::Elsewhere | Reply::Lost | Reply::Outdated => {
                Some(now + RESEND_INTERVAL)
            }
        };
        if let Action::Leave { group, epoch } = action
            && matches!(reply, Reply::Begun | Reply::Done)
        {
            state.left = Some((group.clone(), *epoch));
        }
        if let Action::Stage { model } = action {
            let may_run = matches!(reply, Reply::Begun | Reply::Lost);
            state.staging = may_run.then(|| (model.clone(), now));
            if may_run {
                state.next_order_after = None;
            }
        }
        if let Action::Join { epoch, .. } = action
            && matches!(reply, Reply::Conflict | Reply::Elsewhere | Reply::Outdated)
            && let Some(formed) = self.formed.get_mut(epoch)
        {
            formed.given_up = true;
        }
        let is_outdated = reply == Reply::Outdated && self.term == Some(fence);
        if is_outdated {
            // Another planner has given orders, whatever the store says of the token.
            (self.term, self.fence) = (None, None);
        }
        is_outdated
    }

    /// Ends a probe whose result says nothing, since this VM did not reach other engines either.
    pub fn forget_probe(&mut self, endpoint: &str) {
        if let Some(state) = self.engine_states.get_mut(endpoint) {
            state.probe_pending = false;
        }
    }

    /// Handles the result of a probe.
    pub fn handle_probe_result(&mut self, now: Time, endpoint: &str, result: ProbeResult) {
        let Some(state) = self.engine_states.get_mut(endpoint) else {
            return;
        };
        state.probe_pending = false;
        if result == ProbeResult::Answered {
            state.unanswered = 0;
            state.silent_since = None;
            state.lost = false;
            state.probe_backoff =
                (state.probe_backoff * 2).clamp(PROBE_BACKOFF_MIN, PROBE_BACKOFF_MAX);
            return;
        }
        state.unanswered += 1;
        state.probe_backoff = Duration::ZERO;
        let may_pause = match result {
            ProbeResult::Silent => {
                let since = *state.silent_since.get_or_insert(now);
                now.since(since) < MAX_PAUSE
            }
            ProbeResult::Answered | ProbeResult::Unreachable => false,
        };
        if state.unanswered >= LOST_AFTER_PROBES && !may_pause {
            state.lost = true;
        }
    }

    /// Makes one plan and appends the resulting orders and probes to `out`.
    pub fn step(
        &mut self,
        now: Time,
        input: &PlannerInput<'_>,
        epochs: &mut EpochIssuer,
        out: &mut Vec<Output>,
    ) {
        let Some(fence) = self.fence else { return };
        let last_step = self.last_step.replace(now);
        if last_step.is_some_and(|t| now.since(t) >= MAX_PLAN_GAP) {
            self.forget_ages();
        }
        self.update_states(input, epochs);
        let mut round = PlanningRound {
            now,
            fence,
            input,
            groups: input.endpoints.groups(),
            planner: self,
            epochs,
            out,
        };
        round.groups.retain(|_, g| &*g.service == input.service);
        round.probe();
        round.resend_joins();
        let phases = round.update_groups();
        round.finish_preparations();
        round.form_groups(&phases);
    }

    /// Forgets for how long groups were seen unhealthy and engines silent. Time in which this process did not plan
    /// counts for nothing, since it may have been stopped itself.
    fn forget_ages(&mut self) {
        self.unhealthy_since.clear();
        for state in self.engine_states.values_mut() {
            state.silent_since = None;
        }
    }

    fn update_states(&mut self, input: &PlannerInput<'_>, epochs: &mut EpochIssuer) {
        let memberships = input.endpoints.iter().filter_map(|e| e.membership.as_ref());
        let max_fence = self.fence.unwrap_or_default() + MAX_FENCE_LEAD;
        let highest_epoch = memberships
            .map(|membership| membership.epoch)
            .filter(|epoch| epoch >> EPOCH_COUNTER_BITS <= max_fence)
            .max()
            .unwrap_or_default();
        epochs.note(highest_epoch);
        for endpoint in input.endpoints.iter() {
            if &*endpoint.service != input.service {
                continue;
            }
            let state = self.engine_states.entry(endpoint.id.clone()).or_default();
            if state.started_ms != endpoint.started_ms {
                *state = EngineState {
                    started_ms: endpoint.started_ms,
                    ..EngineState::default()
                };
            }
            if state.membership != endpoint.membership {
                state.membership.clone_from(&endpoint.membership);
                state.next_order_after = None;
            }
            if endpoint.model.is_some() {
                state.last_model.clone_from(&endpoint.model);
            }
            let is_staged = |(model, _): &(Arc<str>, Time)| endpoint.staged.contains(model);
            if state.staging.as_ref().is_some_and(is_staged) {
                state.staging = None;
            }
        }
        let is_listed = |id: &Arc<str>| input.endpoints.get(id).is_some();
        self.engine_states.retain(|id, _| is_listed(id));
        self.formed.retain(|_, f| f.members.iter().any(is_listed));
        let has_members = |epoch: &u64| {
            let mut memberships = input.endpoints.iter().filter_map(|e| e.membership.as_ref());
            memberships.any(|membership| membership.epoch == *epoch)
        };
        self.retiring.retain(has_members);
        // The list shows an epoch some time after it was ordered.
        let oldest = epochs.highest().saturating_sub(MAX_PREPARING);
        self.preparing
            .retain(|epoch| *epoch >= oldest || has_members(epoch));
    }
}

/// One run of the planner.
struct PlanningRound<'a, 'b> {
    now: Time,
    fence: u64,
    input: &'a PlannerInput<'a>,
    groups: BTreeMap<(Arc<str>, u64), Group>,
    planner: &'b mut Planner,
    epochs: &'b mut EpochIssuer,
    out: &'b mut Vec<Output>,
}

impl PlanningRound<'_, '_> {
    fn group_size(&self, group: &Group) -> usize {
        parse_group_name(&group.name).map_or(0, |(group_size, _)| group_size)
    }

    fn is_lost(&self, id: &str) -> bool {
        let state = self.planner.engine_states.get(id);
        state.is_some_and(|state| state.lost)
    }

    fn is_idle(&self, id: &str) -> bool {
        let state = self.planner.engine_states.get(id);
        state.is_some_and(|state| {
            state.order_sent.is_none() && state.next_order_after.is_none_or(|t| t <= self.now)
        })
    }

    fn send_order(&mut self, id: &Arc<str>, action: Action) {
        let Some(endpoint) = self.input.endpoints.get(id) else {
            return;
        };
        if let Some(state) = self.planner.engine_states.get_mut(id) {
            state.order_sent = Some(self.now);
            state.last_order = Some(self.now);
            // Counts against the limit of the weight store before the engine replies.
            if let Action::Stage { model } = &action {
                state.staging = Some((model.clone(), self.now));
            }
        }
        let is_join = matches!(action, Action::Join { .. });
        let state = self.planner.engine_states.get(id);
        let expected = is_join.then(|| ExpectedGroup {
            current: endpoint
                .membership
                .as_ref()
                .map(|m| (m.group.clone(), m.epoch)),
            left: state.and_then(|s| s.left.clone()),
        });
        self.out.push(Output::Order(Order {
            endpoint: id.clone(),
            address: endpoint.address.clone(),
            fence: self.fence,
            action,
            expected,
            entry: endpoint.entry_version(),
        }));
    }
}
