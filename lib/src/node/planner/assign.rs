//! Assigns free engines to new groups, favouring the models that are furthest below their targets.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::{
    Action, FormedGroup, GroupPhase, LIST_DELAY, ModelCount, PlanningRound, Summary, group_name,
    parse_group_name,
};
use crate::node::capacity;
use crate::node::config::Model;
use crate::node::endpoints::Endpoint;

/// Fraction of the engines that stays without a group, so that lost members can be replaced at
/// once.
const RESERVE_FRACTION: f64 = 0.05;
/// Longest time for which engines are kept without a group for one that is not complete yet. In more
/// time, a group of another model would serve longer than it takes to end it again.
const MAX_RESERVATION: Duration = Duration::from_secs(3);
/// State of the assignment of engines to models.
#[derive(Debug)]
pub(super) struct Assignment<'a> {
    /// Number of engines that each model should have.
    targets: BTreeMap<Arc<str>, usize>,
    /// Engines that can join a group, by failure domain.
    pub(super) free: BTreeMap<Arc<str>, Vec<&'a Endpoint>>,
    /// Engines in groups that serve each model or are being formed for it.
    pub(super) assigned: BTreeMap<Arc<str>, usize>,
    /// Engines without a group that have the weights of a model or will have them within
    /// [`MAX_RESERVATION`], by failure domain and model; includes those that are leaving a group.
    soon: BTreeMap<(Arc<str>, Arc<str>), usize>,
}

/// Returns whether the engine is in a group that serves or is about to.
pub(super) fn has_live_group(
    endpoint: &Endpoint,
    phases: &BTreeMap<(Arc<str>, u64), GroupPhase>,
) -> bool {
    let membership = endpoint.membership.as_ref();
    let phase = membership.and_then(|m| phases.get(&(m.group.clone(), m.epoch)));
    let live = [GroupPhase::Forming, GroupPhase::Ready, GroupPhase::Serving];
    phase.is_some_and(|phase| live.contains(phase))
}

impl Assignment<'_> {
    /// Returns the number of engines that the model should have.
    pub(super) fn target(&self, model: &Model) -> f64 {
        self.targets.get(&model.name).copied().unwrap_or(0) as f64
    }

    /// Returns the fraction of its target that the model has; above 1 if it has more.
    pub(super) fn coverage(&self, model: &Model) -> f64 {
        let assigned = self.assigned.get(&model.name).copied().unwrap_or(0) as f64;
        assigned / self.target(model).max(1e-9)
    }
}

impl PlanningRound<'_, '_> {
    /// Returns whether the engine can join a group now.
    fn is_free(&self, endpoint: &Endpoint, phases: &BTreeMap<(Arc<str>, u64), GroupPhase>) -> bool {
        if endpoint.draining || self.is_lost(&endpoint.id) || !self.is_idle(&endpoint.id) {
            return false;
        }
        if self.input.endpoints.is_evacuated(endpoint) {
            return false;
        }
        let Some(membership) = &endpoint.membership else {
            return true;
        };
        let key = (membership.group.clone(), membership.epoch);
        phases.get(&key) == Some(&GroupPhase::Disbanded)
    }

    /// Forms groups from free engines, converts groups between models and stages weights.
    pub(super) fn form_groups(&mut self, phases: &BTreeMap<(Arc<str>, u64), GroupPhase>) {
        let engines: Vec<&Endpoint> = self.input.endpoints.iter().collect();
        let usable = |e: &&&Endpoint| {
            &*e.service == self.input.service
                && !e.draining
                && !self.is_lost(&e.id)
                && !self.input.endpoints.is_evacuated(e)
        };
        let usable: Vec<&Endpoint> = engines.iter().filter(usable).copied().collect();
        let total = (usable.len() as f64 * (1.0 - RESERVE_FRACTION)).ceil() as usize;
        let targets = capacity::engine_targets(self.input.engine, total, self.input.demand);
        let mut free: BTreeMap<Arc<str>, Vec<&Endpoint>> = BTreeMap::new();
        for e in usable.iter().filter(|e| self.is_free(e, phases)) {
            free.entry(e.domain.clone()).or_default().push(e);
        }
        let mut assigned: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for (key, phase) in phases {
            if matches!(
                phase,
                GroupPhase::Forming | GroupPhase::Ready | GroupPhase::Serving
            ) && !self.groups.get(key).is_some_and(|g| self.is_evacuated(g))
                && let Some((size, model)) = parse_group_name(&key.0)
            {
                *assigned.entry(Arc::from(model)).or_default() += size;
            }
        }
        for (epoch, formed) in &self.planner.formed {
            let is_listed = phases.keys().any(|(_, e)| e == epoch);
            if !is_listed && !formed.given_up && self.now.since(formed.since) < LIST_DELAY {
                *assigned.entry(formed.model.clone()).or_default() += formed.members.len();
            }
        }
        let count =
            |counted: &[GroupPhase]| phases.values().filter(|s| counted.contains(s)).count();
        self.planner.summary = Summary {
            usable: usable.len(),
            free: free.values().map(Vec::len).sum(),
            loading: self.loading(),
            serving: count(&[GroupPhase::Serving]),
            forming: count(&[GroupPhase::Forming, GroupPhase::Ready]),
            ending: count(&[GroupPhase::Ending, GroupPhase::Damaged]),
            models: self
                .input
                .engine
                .models
                .iter()
                .map(|m| ModelCount {
                    model: m.name.clone(),
                    assigned: assigned.get(&m.name).copied().unwrap_or(0),
                    target: targets.get(&m.name).copied().unwrap_or(0),
                    warm: usable.iter().filter(|e| self.is_warm(e, m)).count(),
                })
                .collect(),
            idle: BTreeMap::new(),
        };
        let mut assignment = Assignment {
            targets,
            free,
            assigned,
            soon: self.available_soon(&usable, phases),
        };
        self.finish_conversions(&mut assignment);
        while self.form_next_group(&mut assignment, false) {}
        while self.form_next_group(&mut assignment, true) {}
        self.convert(&mut assignment, phases);
        self.prepare_engines(&usable, &assignment, phases);
        self.stage_models(&usable, &assignment);
        self.planner.summary.idle = self.idle_causes(&usable, &assignment, phases);
    }

    /// Counts the engines without a group that have the weights of a model or will have them soon, by
    /// failure domain and model.
    fn available_soon(
        &self,
        usable: &[&Endpoint],
        phases: &BTreeMap<(Arc<str>, u64), GroupPhase>,
    ) -> BTreeMap<(Arc<str>, Arc<str>), usize> {
        let mut soon = BTreeMap::new();
        for e in usable.iter().filter(|e| !has_live_group(e, phases)) {
            for model in &self.input.engine.models {
                let time = match self.needs_load(e, model) {
                    true => self.load_time_left(e, model),
                    false => Some(Duration::ZERO),
                };
                if time.is_some_and(|t| t <= MAX_RESERVATION) {
                    *soon
                        .entry((e.domain.clone(), model.name.clone()))
                        .or_default() += 1;
                }
            }
        }
        soon
    }

    /// Forms one group, for the model furthest below its target that a group can be formed for;
    /// returns false if there is none. With `surplus`, groups beyond the target are formed as well,
    /// from engines that would be idle otherwise and need no load.
    fn form_next_group(&mut self, assignment: &mut Assignment<'_>, surplus: bool) -> bool {
        let engine = self.input.engine;
        let mut models: Vec<&Model> = engine.models.iter().collect();
        models.sort_by(|a, b| assignment.coverage(a).total_cmp(&assignment.coverage(b)));
        for model in models {
            let already_assigned = assignment.assigned.get(&model.name).copied().unwrap_or(0);
            let above_target = (already_assigned + model.group_size) as f64
                > assignment.target(model) + model.group_size as f64 / 2.0;
            if above_target && already_assigned > 0 && !surplus {
                continue;
            }
            let options = assignment.free.iter().map(|(domain, engines)| {
                let unreserved = engines.iter().filter(|e| {
                    !self.is_reserved(e, model, assignment) && !self.is_reserved_for_conversion(e)
                });
                (domain, unreserved.copied().collect::<Vec<&Endpoint>>())
            });
            let options = options.filter(|(_, e)| e.len() >= model.group_size.max(1));
            let best = options
                .map(|(domain, engines)| {
                    (
                        self.pick_members(&engines, model),
                        domain.clone(),
                        engines.len(),
                    )
                })
                .min_by_key(|((cost, _), _, count)| (*cost, std::cmp::Reverse(*count)));
            let Some(((_, members), domain, _)) = best else {
                continue;
            };
            let loads_needed = members.iter().filter(|e| self.needs_load(e, model)).count();
            // The other members would wait for one that loads weights, so the load comes first.
            if loads_needed > 0 && (surplus || !self.input.before_traffic)
                || !self.may_load(loads_needed)
            {
                continue;
            }
            self.assign_group(assignment, &domain, model, &members);
            return true;
        }
        false
    }

    /// Removes engines from the free ones and forms a group of them.
    pub(super) fn assign_group(
        &mut self,
        assignment: &mut Assignment<'_>,
        domain: &str,
        model: &Model,
        members: &[&Endpoint],
    ) {
        if let Some(engines) = assignment.free.get_mut(domain) {
            engines.retain(|e| !members.iter().any(|m| m.id == e.id));
        }
        *assignment.assigned.entry(model.name.clone()).or_default() += model.group_size;
        self.order_joins(model, members);
    }

    /// Returns whether the engine is reserved for the model of its last group. This is so if it
    /// would have to load the weights again after a change, the model is below its target and no
    /// better off than `model`, half a group of engines that need no load for it is idle in the
    /// failure domain, and the others that a group needs are there soon.
    fn is_reserved(&self, endpoint: &Endpoint, model: &Model, assignment: &Assignment<'_>) -> bool {
        let state = self.planner.engine_states.get(&endpoint.id);
        let Some(last_model) = state.and_then(|state| state.last_model.as_ref()) else {
            return false;
        };
        if *last_model == model.name || endpoint.staged.contains(last_model) {
            return false;
        }
        let Some(last_model) = self.input.engine.model(last_model) else {
            return false;
        };
        let idle = assignment.free.get(&endpoint.domain).into_iter().flatten();
        let idle_without_load = idle.filter(|e| !self.needs_load(e, last_model)).count();
        let key = (endpoint.domain.clone(), last_model.name.clone());
        let soon = assignment.soon.get(&key).copied().unwrap_or(0);
        idle_without_load * 2 >= last_model.group_size
            && (soon >= last_model.group_size || self.input.before_traffic)
            && assignment.coverage(last_model) < 1.0
            && assignment.coverage(last_model) <= assignment.coverage(model)
    }

    fn order_joins(&mut self, model: &Model, members: &[&Endpoint]) {
        let epoch = self.epochs.issue(self.fence);
        let group = group_name(epoch, model.group_size, &model.name);
        let ids: Vec<Arc<str>> = members.iter().map(|e| e.id.clone()).collect();
        self.planner.formed.insert(
            epoch,
            FormedGroup {
                model: model.name.clone(),
                members: ids.clone(),
                since: self.now,
                resends: 0,
                opened: false,
                given_up: false,
            },
        );
        for id in &ids {
            self.send_order(
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

    /// Picks the members of a group from the free engines of a failure domain; returns the time
    /// until the group is ready in milliseconds, and the members.
    pub(super) fn pick_members<'e>(
        &self,
        engines: &[&'e Endpoint],
        model: &Model,
    ) -> (u128, Vec<&'e Endpoint>) {
        let mut sorted: Vec<&Endpoint> = engines.to_vec();
        sorted.sort_by_key(|e| {
            (
                self.join_delay(e, model),
                !e.staged.is_empty(),
                e.id.clone(),
            )
        });
        sorted.truncate(model.group_size);
        let slowest = sorted.iter().map(|e| self.join_delay(e, model)).max();
        (slowest.unwrap_or_default().as_millis(), sorted)
    }
}
