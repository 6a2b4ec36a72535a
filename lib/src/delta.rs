//! Differences between two views, so that followers of an agent need not fetch whole views.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::engine::Load;
use crate::fleet::Fleet;
use crate::folds::Alarms;
use crate::ids::{DomainId, StreamId, VmId};
use crate::peers::Suspicion;
use crate::table::Table;
use crate::view::{EntryStatus, View, VmStatus};

/// A VM that answered again and of which only the load changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnsweredVm {
    /// The VM.
    pub vm: VmId,
    /// Load that the VM reported.
    pub load: Load,
    /// Time since the VM last answered, in milliseconds.
    pub silent_ms: u64,
}

/// Difference between a view and a later one.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Version of the view to which the delta applies.
    pub base: u64,
    /// Version of the view that results.
    pub version: u64,
    /// Time between the two views, in milliseconds.
    pub aged_ms: u64,
    /// The new table, if it changed.
    pub table: Option<Table>,
    /// All entry VMs, if any of them changed.
    pub entries: Option<Vec<EntryStatus>>,
    /// Endpoint VMs that are new, or of which more than the load changed.
    pub vms: BTreeMap<VmId, VmStatus>,
    /// Endpoint VMs that answered again and of which only the load changed.
    pub heard: Vec<AnsweredVm>,
    /// Endpoint VMs that the later view no longer has.
    pub gone: Vec<VmId>,
    /// Shards that changed.
    pub fleets: BTreeMap<DomainId, Fleet>,
    /// Whether the log answers the agent.
    pub log_up: bool,
    /// Whether the agent recently received gossip of another one.
    pub peers_up: bool,
    /// Streams whose records expired unread, so that their state is unknown.
    pub gaps: Vec<StreamId>,
    /// Requests suspected of crashing endpoints.
    #[serde(default)]
    pub suspicions: Vec<Suspicion>,
    /// Faults of the log that the agent detected.
    pub alarms: Alarms,
}

/// Reply to a follower that asks for a newer view.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ViewReply {
    /// Incarnation of the agent; view versions of different incarnations are not comparable.
    pub run: u64,
    /// The newer view, whole or as a difference.
    pub news: ViewUpdate,
}

/// A newer view, whole or as a difference to the view that the follower has.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ViewUpdate {
    /// The whole view, for a follower whose view the agent does not have any more.
    Whole(Box<View>),
    /// The difference to the follower's view.
    Delta(Box<Delta>),
}

impl Delta {
    /// Returns the difference from `old` to `new`, which is `aged_ms` milliseconds younger.
    pub fn between(old: &View, new: &View, aged_ms: u64) -> Self {
        let mut delta = Self {
            base: old.version,
            version: new.version,
            aged_ms,
            table: (old.table != new.table).then(|| new.table.clone()),
            entries: (old.entries != new.entries).then(|| new.entries.clone()),
            log_up: new.log_up,
            peers_up: new.peers_up,
            gaps: new.gaps.clone(),
            suspicions: new.suspicions.clone(),
            alarms: new.alarms,
            ..Self::default()
        };
        for (vm, status) in &new.vms {
            delta.add_vm(vm, old.vms.get(vm), status);
        }
        let gone = old.vms.keys().filter(|vm| !new.vms.contains_key(*vm));
        delta.gone = gone.cloned().collect();
        let changed = new
            .fleets
            .iter()
            .filter(|(d, f)| old.fleets.get(*d) != Some(*f));
        delta.fleets = changed.map(|(d, f)| (d.clone(), f.clone())).collect();
        delta
    }

    /// Turns `view` into the later view; returns `false` and changes nothing if the delta applies
    /// to another version.
    pub fn apply(self, view: &mut View) -> bool {
        if view.version != self.base {
            return false;
        }
        view.version = self.version;
        for status in view.vms.values_mut() {
            status.silent_ms += self.aged_ms;
        }
        for heard in self.heard {
            if let Some(status) = view.vms.get_mut(&heard.vm) {
                status.load = heard.load;
                status.silent_ms = heard.silent_ms;
            }
        }
        for vm in &self.gone {
            view.vms.remove(vm);
        }
        view.vms.extend(self.vms);
        view.fleets.extend(self.fleets);
        view.table = self
            .table
            .unwrap_or_else(|| std::mem::take(&mut view.table));
        view.entries = self
            .entries
            .unwrap_or_else(|| std::mem::take(&mut view.entries));
        view.log_up = self.log_up;
        view.peers_up = self.peers_up;
        view.gaps = self.gaps;
        view.suspicions = self.suspicions;
        view.alarms = self.alarms;
        true
    }

    fn add_vm(&mut self, vm: &VmId, old: Option<&VmStatus>, new: &VmStatus) {
        let Some(old) = old else {
            self.vms.insert(vm.clone(), new.clone());
            return;
        };
        let same = VmStatus {
            load: old.load,
            silent_ms: old.silent_ms,
            ..new.clone()
        };
        if same != *old {
            self.vms.insert(vm.clone(), new.clone());
        } else if new.load != old.load || new.silent_ms != old.silent_ms + self.aged_ms {
            self.heard.push(AnsweredVm {
                vm: vm.clone(),
                load: new.load,
                silent_ms: new.silent_ms,
            });
        }
    }
}
