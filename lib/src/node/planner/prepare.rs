//! Prepares engines without a group to serve any model at once.
//!
//! A host keeps few models, and an engine keeps the one that it started last. So an engine that has
//! started one model and has another on its host can serve both. Engines in groups come to that by
//! themselves; one that has never been in a group starts a model alone, in a group that is never
//! opened, and leaves it.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::assign::{Assignment, has_live_group};
use super::{Action, GroupPhase, PlanningRound, group_name};
use crate::node::config::Model;
use crate::node::endpoints::{Endpoint, MemberState};

impl<'s> PlanningRound<'s, '_> {
    /// Has idle engines that have never started a model start the one on their host, in failure
    /// domains that have too few idle engines for a group of any model.
    pub(super) fn prepare_engines(
        &mut self,
        usable: &[&Endpoint],
        assignment: &Assignment<'_>,
        phases: &BTreeMap<(Arc<str>, u64), GroupPhase>,
    ) {
        let models = &self.input.engine.models;
        let smallest = models.iter().map(|m| m.group_size).min().unwrap_or(0);
        // A list that is not updated does not show where an engine is by now.
        if models.len() < 2 || self.input.list_frozen {
            return;
        }
        let mut idle: BTreeMap<&str, usize> = BTreeMap::new();
        for e in usable.iter().filter(|e| !has_live_group(e, phases)) {
            *idle.entry(&e.domain).or_default() += 1;
        }
        let free = assignment.free.values().flatten().copied();
        let unstarted: Vec<(&Endpoint, &'s Model)> = free
            .filter(|e| idle.get(&*e.domain).is_some_and(|count| *count < smallest))
            .filter(|e| !self.is_reserved_for_conversion(e))
            .filter_map(|e| Some((e, self.unstarted_model(e)?)))
            .collect();
        for (endpoint, model) in unstarted {
            let epoch = self.epochs.issue(self.fence);
            self.planner.preparing.insert(epoch);
            if let Some(state) = self.planner.engine_states.get_mut(&endpoint.id) {
                state.was_prepared = true;
            }
            let action = Action::Join {
                group: group_name(epoch, model.group_size, &model.name),
                epoch,
                model: model.name.clone(),
                members: vec![endpoint.id.clone()],
            };
            self.send_order(&endpoint.id.clone(), action);
        }
    }

    /// Returns the model that is on the engine's host, if the engine has not started any and has no
    /// order or load in progress.
    fn unstarted_model(&self, endpoint: &Endpoint) -> Option<&'s Model> {
        let state = self.planner.engine_states.get(&endpoint.id)?;
        let is_new = state.last_model.is_none() && !state.was_prepared;
        if !is_new || state.staging.is_some() || !self.is_idle(&endpoint.id) {
            return None;
        }
        let models = self.input.engine.models.iter();
        let mut staged = models.filter(|m| m.group_size > 1 && endpoint.staged.contains(&m.name));
        staged.next()
    }

    /// Has engines leave the groups in which they have started a model alone.
    pub(super) fn finish_preparations(&mut self) {
        let prepared: Vec<&Endpoint> = self
            .input
            .endpoints
            .iter()
            .filter(|e| {
                let takes_orders = &*e.service == self.input.service
                    && !self.input.endpoints.is_evacuated(e)
                    && !self.is_lost(&e.id);
                let membership = e.membership.as_ref().filter(|_| takes_orders);
                membership.is_some_and(|m| {
                    m.state != MemberState::Joining && self.planner.preparing.contains(&m.epoch)
                })
            })
            .collect();
        for endpoint in prepared {
            if let Some(m) = endpoint
                .membership
                .as_ref()
                .filter(|_| self.is_idle(&endpoint.id))
            {
                let (group, epoch) = (m.group.clone(), m.epoch);
                self.send_order(&endpoint.id, Action::Leave { group, epoch });
            }
        }
    }
}
