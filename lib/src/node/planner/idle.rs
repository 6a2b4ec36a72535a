//! Tells why engines serve nobody, for the log and the metrics.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::assign::Assignment;
use super::{GroupPhase, PlanningRound};
use crate::node::config::Model;
use crate::node::endpoints::Endpoint;

/// Why an engine that may be used is in no group that serves or is about to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum IdleCause {
    /// An order to the engine, or the end of its group, is in progress.
    Ordered,
    /// The host is loading weights and has those of no other model.
    Loading,
    /// The host has no weights and waits for a load.
    Unloaded,
    /// Too few engines of the failure domain are idle and have the weights of one model.
    Incomplete,
    /// The engine is kept for a group that others are being freed for, or for its last model.
    Reserved,
}

impl IdleCause {
    /// All causes.
    pub const ALL: [Self; 5] = [
        Self::Ordered,
        Self::Loading,
        Self::Unloaded,
        Self::Incomplete,
        Self::Reserved,
    ];

    /// Returns the name of the cause in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ordered => "ordered",
            Self::Loading => "loading",
            Self::Unloaded => "unloaded",
            Self::Incomplete => "incomplete",
            Self::Reserved => "reserved",
        }
    }
}

impl PlanningRound<'_, '_> {
    /// Counts the engines that serve nobody by cause, after groups have been formed.
    pub(super) fn idle_causes(
        &self,
        usable: &[&Endpoint],
        assignment: &Assignment<'_>,
        phases: &BTreeMap<(Arc<str>, u64), GroupPhase>,
    ) -> BTreeMap<IdleCause, usize> {
        let in_live_group = |e: &&&Endpoint| {
            let membership = e.membership.as_ref();
            membership.is_some_and(|m| {
                let phase = phases.get(&(m.group.clone(), m.epoch));
                !matches!(
                    phase,
                    None | Some(
                        GroupPhase::Damaged | GroupPhase::Disbanded | GroupPhase::Preparing
                    )
                )
            })
        };
        let mut counts = BTreeMap::new();
        for endpoint in usable.iter().filter(|e| !in_live_group(e)) {
            let cause = self.idle_cause(endpoint, assignment);
            *counts.entry(cause).or_default() += 1;
        }
        counts
    }

    fn idle_cause(&self, endpoint: &Endpoint, assignment: &Assignment<'_>) -> IdleCause {
        let free = assignment.free.get(&endpoint.domain);
        let free = free.map(Vec::as_slice).unwrap_or_default();
        if !free.iter().any(|e| e.id == endpoint.id) {
            return IdleCause::Ordered;
        }
        let models = self.input.engine.models.iter();
        let loaded: Vec<&Model> = models.filter(|m| !self.needs_load(endpoint, m)).collect();
        if loaded.is_empty() {
            let state = self.planner.engine_states.get(&endpoint.id);
            let is_loading = state.is_some_and(|s| s.staging.is_some());
            return match is_loading {
                true => IdleCause::Loading,
                false => IdleCause::Unloaded,
            };
        }
        let is_complete = |m: &&Model| {
            let others = free.iter().filter(|e| !self.needs_load(e, m));
            others.count() >= m.group_size.max(1)
        };
        match loaded.iter().any(is_complete) {
            true => IdleCause::Reserved,
            false => IdleCause::Incomplete,
        }
    }
}
