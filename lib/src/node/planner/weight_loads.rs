//! Loads of weights: which engines need one, how many may run, and what hosts stage meanwhile.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::assign::Deal;
use super::{Action, Round, SHOW_TIME, parse_group_name};
use crate::node::config::Model;
use crate::node::endpoints::{Endpoint, MemberState};
use crate::time::Time;

/// Time to join a group of the model of the engine's last group (stated by the users).
const REJOIN: Duration = Duration::from_millis(200);
/// Models that an engine can serve without a load: the one of its group and one on its host.
const KEPT: usize = 2;
/// Loads that are left to idle engines while hosts of serving ones stage models.
const SPARE_LOADS: usize = 4;
/// Weight of a load of a model that has enough engines which can serve nothing else.
const AMPLE_FACTOR: u32 = 4;
/// Loads may take this many times longer while others run.
const STAGE_FACTOR: u32 = 4;

impl Round<'_, '_> {
    /// Takes `count` loads of the weight store's allowance if it has them.
    pub(super) fn may_load(&mut self, count: usize) -> bool {
        if count == 0 || self.scene.before_traffic {
            return true;
        }
        let engine = self.scene.engine;
        let now = self.now;
        let longest = engine.models.iter().map(|m| m.load_time).max();
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
    pub(super) fn loading(&self) -> usize {
        let engine = self.scene.engine;
        let joins = |e: &&Endpoint| {
            let seat = e
                .membership
                .as_ref()
                .filter(|s| s.state == MemberState::Joining);
            let model = seat.and_then(|s| engine.model(parse_group_name(&s.group)?.1));
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
    /// any group within a second replaces a lost one at once. Loads are short when engines are
    /// replaced, so that what puts the most idle engines to work for its time goes first.
    pub(super) fn stage_others(&mut self, usable: &[&Endpoint], deal: &Deal<'_>) {
        self.forget_stuck();
        let engine = self.scene.engine;
        let mut able: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        let mut idle: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        let mut alone: BTreeMap<&str, usize> = BTreeMap::new();
        for model in &engine.models {
            for (domain, engines) in &deal.free {
                let count = engines.iter().filter(|e| self.is_able(e, model)).count();
                idle.insert((domain, &model.name), count);
            }
            for e in usable.iter().filter(|e| self.is_able(e, model)) {
                *able.entry((&e.domain, &model.name)).or_default() += 1;
                let others = engine.models.iter().filter(|m| self.is_able(e, m)).count();
                *alone.entry(&model.name).or_default() += usize::from(others == 1);
            }
        }
        let weigh = |e: &Endpoint, m: &Model| {
            let key = (&*e.domain, &*m.name);
            let size = m.group_size.max(1);
            let waiting = idle.get(&key).copied().unwrap_or(0) % size;
            let mut time = m.load_time * (size - waiting) as u32 / size as u32;
            // Engines that can serve nothing else than a model that has enough are of little use.
            if alone.get(&*m.name).copied().unwrap_or(0) as f64 >= deal.goal(m) {
                time *= AMPLE_FACTOR;
            }
            let have = able.get(&key).copied().unwrap_or(0);
            (time, have * 100 / size)
        };
        let mut wanted: Vec<(bool, (Duration, usize), &Endpoint, &Model)> = Vec::new();
        for e in usable.iter().filter(|e| self.has_room(e)) {
            let others = engine.models.iter().filter(|m| !self.is_able(e, m));
            if let Some(model) = others.min_by_key(|m| weigh(e, m)) {
                wanted.push((e.membership.is_some(), weigh(e, model), e, model));
            }
        }
        wanted.sort_by(|a, b| (a.0, a.1, &a.2.id).cmp(&(b.0, b.1, &b.2.id)));
        for (serves, _, e, model) in wanted {
            // An engine that serves has time; those without a group have not.
            let spared = if serves { SPARE_LOADS } else { 0 };
            if !self.scene.before_traffic && self.loading() + spared >= engine.load_limit {
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
        let longest = self.scene.engine.models.iter().map(|m| m.load_time).max();
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
    pub(super) fn is_able(&self, endpoint: &Endpoint, model: &Model) -> bool {
        let mind = self.planner.minds.get(&endpoint.id);
        let staging = mind.and_then(|m| m.staging.as_ref());
        let seat = endpoint
            .membership
            .as_ref()
            .and_then(|s| parse_group_name(&s.group));
        staging.is_some_and(|(name, _)| *name == model.name)
            || seat.is_some_and(|(_, name)| name == &*model.name)
            || !self.needs_load(endpoint, model)
    }

    /// Returns whether an engine has no order or load under way.
    fn is_settled(&self, endpoint: &Endpoint) -> bool {
        let joining = endpoint
            .membership
            .as_ref()
            .is_some_and(|s| s.state == MemberState::Joining);
        let mind = self.planner.minds.get(&endpoint.id);
        let staging = mind.is_some_and(|m| m.staging.is_some());
        !joining && !staging && self.is_idle(&endpoint.id)
    }

    /// Returns whether an engine must read the model's weights from the weight store.
    pub(super) fn needs_load(&self, endpoint: &Endpoint, model: &Model) -> bool {
        self.delay(endpoint, model) >= model.load_time
    }

    /// Returns the time that an engine needs to become a member of a group of this model.
    pub(super) fn delay(&self, endpoint: &Endpoint, model: &Model) -> Duration {
        let mind = self.planner.minds.get(&endpoint.id);
        if mind.is_some_and(|m| m.last.as_ref() == Some(&model.name)) {
            return REJOIN.min(model.load_time);
        }
        match endpoint.staged.contains(&model.name) {
            true => model.warmup_time,
            false => model.load_time,
        }
    }
}
