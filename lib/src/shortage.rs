//! Group downtime and stranded accelerators as a view shows them.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{GroupId, VmId};
use crate::platform::VmRole;
use crate::time::Time;
use crate::view::{Health, View};

/// What one group lacks.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Shortage {
    /// Replicas that the table wants.
    pub wanted: u64,
    /// Replicas that serve.
    pub serving: u64,
    /// Live accelerators that could serve the group but do not.
    pub stranded: u64,
    /// Time that wanted replicas could not serve, in replica-milliseconds.
    pub downtime_ms: u64,
}

/// Adds up group downtime over successive views.
#[derive(Debug, Clone, Default)]
pub struct Shortages {
    groups: BTreeMap<GroupId, Shortage>,
    surplus_accelerators: u64,
    last: Option<Time>,
}

impl Shortages {
    /// Takes the view of the time `now`; the last view held until then.
    pub fn observe(&mut self, now: Time, view: &View) {
        let passed = self
            .last
            .map_or(0, |last| now.since(last).as_millis() as u64);
        self.last = Some(now);
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

    /// Lists the groups.
    pub fn iter(&self) -> impl Iterator<Item = (&GroupId, &Shortage)> {
        self.groups.iter()
    }

    /// Returns the live accelerators outside any serving replica while no group lacks one.
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
