//! Loads of model weights: which engines need one, how many may run, and which models hosts stage
//! in advance.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::assign::Assignment;
use super::{Action, LIST_DELAY, PlanningRound, parse_group_name};
use crate::node::config::Model;
use crate::node::endpoints::{Endpoint, MemberState};
use crate::time::Time;

/// Time that an engine is assumed to need to join a group that serves the same model as its last
/// group.
const REJOIN_TIME: Duration = Duration::from_millis(200);
/// Models that an engine can serve without a load: the one of its group, and one staged on its
/// host.
const MAX_MODELS_PER_ENGINE: usize = 2;
/// Concurrent loads that are reserved for idle engines when hosts of serving engines stage models.
const LOADS_RESERVED_FOR_IDLE: usize = 4;
/// Factor on the load time of a model that has enough engines which can serve nothing else.
const SURPLUS_FACTOR: u32 = 4;
/// Factor on the longest load time after which a load onto a host is given up; concurrent loads
/// slow each other down.
const STAGING_TIMEOUT_FACTOR: u32 = 4;

impl PlanningRound<'_, '_> {
    /// Returns whether the limits of the weight store allow `count` more loads now, and counts
    /// these if so.
    pub(super) fn may_load(&mut self, count: usize) -> bool {
        if count == 0 || self.input.before_traffic {
            return true;
        }
        let engine = self.input.engine;
        let now = self.now;
        let longest = engine.models.iter().map(|m| m.load_time).max();
        let longest = longest.unwrap_or_default();
        self.planner.load_starts.retain(|t| now.since(*t) < longest);
        let second = Duration::from_secs(1);
        let recent_loads = self
            .planner
            .load_starts
            .iter()
            .filter(|t| now.since(**t) < second);
        let recent_loads = recent_loads.count();
        let allowed = (engine.load_rate.floor() as usize).max(count);
        let running = self.loading();
        if recent_loads + count > allowed || running > 0 && running + count > engine.load_limit {
            return false;
        }
        self.planner.load_starts.extend((0..count).map(|_| now));
        true
    }

    /// Returns the number of engines that are loading weights.
    pub(super) fn loading(&self) -> usize {
        let engine = self.input.engine;
        let is_loading = |e: &&Endpoint| {
            let membership = e
                .membership
                .as_ref()
                .filter(|s| s.state == MemberState::Joining);
            let model = membership.and_then(|s| engine.model(parse_group_name(&s.group)?.1));
            &*e.service == self.input.service && model.is_some_and(|m| self.needs_load(e, m))
        };
        let listed = self.input.endpoints.iter().filter(is_loading).count();
        let staging = self
            .planner
            .engine_states
            .values()
            .filter(|m| m.staging.is_some());
        let recent_loads = self.planner.load_starts.iter();
        let fresh = recent_loads
            .filter(|t| self.now.since(**t) < LIST_DELAY / 3)
            .count();
        (listed + staging.count()).max(fresh)
    }

    /// Stages on each host a model that its engine cannot serve yet. An engine that can join a
    /// group of any model within a second can replace a lost one at once. Load capacity is scarce
    /// while engines are being replaced, so the loads that put the most idle engines to work per
    /// load time come first.
    pub(super) fn stage_models(&mut self, usable: &[&Endpoint], assignment: &Assignment<'_>) {
        self.forget_stalled_loads();
        let engine = self.input.engine;
        let mut warm: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        let mut idle: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        let mut only_model: BTreeMap<&str, usize> = BTreeMap::new();
        for model in &engine.models {
            for (domain, engines) in &assignment.free {
                let count = engines.iter().filter(|e| self.is_warm(e, model)).count();
                idle.insert((domain, &model.name), count);
            }
            for e in usable.iter().filter(|e| self.is_warm(e, model)) {
                *warm.entry((&e.domain, &model.name)).or_default() += 1;
                let models = engine.models.iter().filter(|m| self.is_warm(e, m)).count();
                *only_model.entry(&model.name).or_default() += usize::from(models == 1);
            }
        }
        let cost = |e: &Endpoint, m: &Model| {
            let key = (&*e.domain, &*m.name);
            let size = m.group_size.max(1);
            let waiting = idle.get(&key).copied().unwrap_or(0) % size;
            let mut time = m.load_time * (size - waiting) as u32 / size as u32;
            // More engines that can serve only a model with enough of them are of little use.
            if only_model.get(&*m.name).copied().unwrap_or(0) as f64 >= assignment.target(m) {
                time *= SURPLUS_FACTOR;
            }
            let warm_count = warm.get(&key).copied().unwrap_or(0);
            (time, warm_count * 100 / size)
        };
        let mut staging_options: Vec<(bool, (Duration, usize), &Endpoint, &Model)> = Vec::new();
        for e in usable.iter().filter(|e| self.has_room(e)) {
            let models = engine.models.iter().filter(|m| !self.is_warm(e, m));
            if let Some(model) = models.min_by_key(|m| cost(e, m)) {
                staging_options.push((e.membership.is_some(), cost(e, model), e, model));
            }
        }
        staging_options.sort_by(|a, b| (a.0, a.1, &a.2.id).cmp(&(b.0, b.1, &b.2.id)));
        for (is_serving, _, e, model) in staging_options {
            // Engines that serve can wait for their load; engines without a group cannot.
            let reserved = if is_serving {
                LOADS_RESERVED_FOR_IDLE
            } else {
                0
            };
            if !self.input.before_traffic && self.loading() + reserved >= engine.load_limit {
                continue;
            }
            if !self.may_load(1) {
                return;
            }
            let model = model.name.clone();
            self.send_order(&e.id.clone(), Action::Stage { model });
        }
    }

    /// Forgets loads onto hosts that take far too long.
    fn forget_stalled_loads(&mut self) {
        let longest = self.input.engine.models.iter().map(|m| m.load_time).max();
        let longest = longest.unwrap_or_default() * STAGING_TIMEOUT_FACTOR;
        let now = self.now;
        for state in self.planner.engine_states.values_mut() {
            let is_stalled = |(_, since): &(Arc<str>, Time)| now.since(*since) > longest;
            if state.staging.as_ref().is_some_and(is_stalled) {
                state.staging = None;
            }
        }
    }

    /// Returns whether the host has room for another model: it keeps one besides that of its
    /// engine's group.
    fn has_room(&self, endpoint: &Endpoint) -> bool {
        let models = self.input.engine.models.iter();
        let warm_models = models.filter(|m| self.is_warm(endpoint, m)).count();
        let state = self.planner.engine_states.get(&endpoint.id);
        let served = state.is_some_and(|m| m.last_model.is_some());
        let max_models = if served { MAX_MODELS_PER_ENGINE } else { 1 };
        warm_models < max_models && self.is_settled(endpoint)
    }

    /// Returns whether the engine can join a group of the model without a new load.
    pub(super) fn is_warm(&self, endpoint: &Endpoint, model: &Model) -> bool {
        let state = self.planner.engine_states.get(&endpoint.id);
        let staging = state.and_then(|m| m.staging.as_ref());
        let membership = endpoint
            .membership
            .as_ref()
            .and_then(|s| parse_group_name(&s.group));
        staging.is_some_and(|(name, _)| *name == model.name)
            || membership.is_some_and(|(_, name)| name == &*model.name)
            || !self.needs_load(endpoint, model)
    }

    /// Returns whether the engine has no order or load in progress.
    fn is_settled(&self, endpoint: &Endpoint) -> bool {
        let joining = endpoint
            .membership
            .as_ref()
            .is_some_and(|s| s.state == MemberState::Joining);
        let state = self.planner.engine_states.get(&endpoint.id);
        let staging = state.is_some_and(|m| m.staging.is_some());
        !joining && !staging && self.is_idle(&endpoint.id)
    }

    /// Returns whether the engine must load the model's weights from the weight store.
    pub(super) fn needs_load(&self, endpoint: &Endpoint, model: &Model) -> bool {
        self.join_delay(endpoint, model) >= model.load_time
    }

    /// Returns the time until the load of the model onto the engine's host is due, if one runs. Loads
    /// beyond the limit of the weight store slow each other down.
    pub(super) fn load_time_left(&self, endpoint: &Endpoint, model: &Model) -> Option<Duration> {
        let state = self.planner.engine_states.get(&endpoint.id)?;
        let (_, since) = state.staging.as_ref().filter(|(m, _)| *m == model.name)?;
        let limit = self.input.engine.load_limit.max(1);
        let slowdown = (self.loading() as f64 / limit as f64).max(1.0);
        let load_time = model.load_time.mul_f64(slowdown);
        Some(load_time.saturating_sub(self.now.since(*since)))
    }

    /// Returns the time that the engine needs to join a group of the model.
    pub(super) fn join_delay(&self, endpoint: &Endpoint, model: &Model) -> Duration {
        let state = self.planner.engine_states.get(&endpoint.id);
        if state.is_some_and(|m| m.last_model.as_ref() == Some(&model.name)) {
            return REJOIN_TIME.min(model.load_time);
        }
        match endpoint.staged.contains(&model.name) {
            true => model.warmup_time,
            false => model.load_time,
        }
    }
}
