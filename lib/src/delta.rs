//! Differences between two views, so that followers need not fetch whole ones.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::engine::Load;
use crate::fleet::Fleet;
use crate::folds::Alarms;
use crate::ids::{DomainId, StreamId, VmId};
use crate::peers::Suspicion;
use crate::table::Table;
use crate::view::{EntryStatus, View, VmStatus};

/// A VM that was heard again without any change but its load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heard {
    /// The VM.
    pub vm: VmId,
    /// Its load.
    pub load: Load,
    /// Time since it was heard, in milliseconds.
    pub silent_ms: u64,
}

/// What changed from one view to a later one.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Version of the view that it applies to.
    pub base: u64,
    /// Version of the view that it makes.
    pub version: u64,
    /// Time between the two views in milliseconds.
    pub aged_ms: u64,
    /// The table, if it changed.
    pub table: Option<Table>,
    /// Entry VMs, if any changed.
    pub entries: Option<Vec<EntryStatus>>,
    /// Endpoint VMs that are new or changed.
    pub vms: BTreeMap<VmId, VmStatus>,
    /// Endpoint VMs that were heard again.
    pub heard: Vec<Heard>,
    /// Endpoint VMs that are gone.
    pub gone: Vec<VmId>,
    /// Shards that changed.
    pub fleets: BTreeMap<DomainId, Fleet>,
    /// Whether the log answers.
    pub log_up: bool,
    /// Whether a peer was heard lately.
    pub peers_up: bool,
    /// Streams on which nothing may be decided.
    pub gaps: Vec<StreamId>,
    /// Requests under suspicion of crashing endpoints.
    #[serde(default)]
    pub suspicions: Vec<Suspicion>,
    /// Faults of the log that the agent met.
    pub alarms: Alarms,
}

/// Reply to a follower.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ViewReply {
    /// Run of the agent; versions of different runs have nothing to do with each other.
    pub run: u64,
    /// The news.
    pub news: ViewUpdate,
}

/// A view, whole or as a difference.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ViewUpdate {
    /// The whole view, for a follower without a base.
    Whole(Box<View>),
    /// What changed since the follower's view.
    Delta(Box<Delta>),
}

impl Delta {
    /// Returns what changed from `old` to `new`, which is `aged_ms` younger.
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
            delta.compare(vm, old.vms.get(vm), status);
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

    /// Makes the later view out of `view`; returns whether it was the one that this applies to.
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

    fn compare(&mut self, vm: &VmId, old: Option<&VmStatus>, new: &VmStatus) {
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
            self.heard.push(Heard {
                vm: vm.clone(),
                load: new.load,
                silent_ms: new.silent_ms,
            });
        }
    }
}
