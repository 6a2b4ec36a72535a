//! Downtime of groups and stranded accelerators, computed from successive views.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{GroupId, VmId};
use crate::platform::VmRole;
use crate::time::Time;
use crate::view::{Health, View};

/// Replicas that one group lacks, and accelerators that do not serve it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Shortage {
    /// Number of replicas that the table asks for.
    pub wanted: u64,
    /// Number of replicas that serve.
    pub serving: u64,
    /// Number of live accelerators that could serve the group but do not.
    pub stranded: u64,
    /// Total time for which wanted replicas did not serve, in replica-milliseconds.
    pub downtime_ms: u64,
}

/// Accumulates the downtime of groups over successive views.
#[derive(Debug, Clone, Default)]
pub struct Shortages {
    groups: BTreeMap<GroupId, Shortage>,
    surplus_accelerators: u64,
    last_observed: Option<Time>,
}

impl Shortages {
    /// Observes the view as of `now`; the previous view counts as valid until then.
    pub fn observe(&mut self, now: Time, view: &View) {
        let passed = self
            .last_observed
            .map_or(0, |last| now.since(last).as_millis() as u64);
        self.last_observed = Some(now);
        let before = std::mem::take(&mut self.groups);
        for (group, row) in view.table.groups() {
            let old = before.get(group).cloned().unwrap_or_default();
            let lacking = old.wanted.saturating_sub(old.serving);
            let shortage = Shortage {
                wanted: u64::from(row.replicas),
                downtime_ms: old.downtime_ms + lacking * passed,
                ..Shortage::default()
            };
            self.groups.insert(group.clone(), shortage);
        }
        self.count(view);
    }

    /// Iterates over the groups.
    pub fn iter(&self) -> impl Iterator<Item = (&GroupId, &Shortage)> {
        self.groups.iter()
    }

    /// Returns the number of live accelerators outside any serving replica while no group lacks a
    /// replica.
    pub fn surplus_accelerators(&self) -> u64 {
        self.surplus_accelerators
    }

    fn count(&mut self, view: &View) {
        let mut free = live_engines(view);
        for (id, assignment) in view.replicas() {
            let serving = view.is_serving(&id, assignment);
            let live = assignment.vms.iter().filter(|vm| free.remove(*vm)).count();
            let Some(shortage) = self.groups.get_mut(&assignment.group) else {
                continue;
            };
            if serving {
                shortage.serving += 1;
            } else {
                shortage.stranded += live as u64;
            }
        }
        let lacks = |s: &&mut Shortage| s.serving < s.wanted;
        match self.groups.values_mut().find(lacks) {
            Some(shortage) => {
                shortage.stranded += free.len() as u64;
                self.surplus_accelerators = 0;
            }
            None => self.surplus_accelerators = free.len() as u64,
        }
    }
}

fn live_engines(view: &View) -> BTreeSet<VmId> {
    let engines = view
        .vms
        .iter()
        .filter(|(_, s)| s.listing.role == VmRole::Engine && s.health == Health::Live);
    engines.map(|(vm, _)| vm.clone()).collect()
}
