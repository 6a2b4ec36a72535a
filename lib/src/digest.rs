//! What plans of several shards need of one view, worked out once.

use std::collections::BTreeMap;

use crate::ids::{DomainId, VmId};
use crate::placement::{self, WantedReplicas};
use crate::platform::VmRole;
use crate::view::{Health, View};

/// What is worked out once for a view, and used by the plans of all its shards.
#[derive(Debug, Default)]
pub struct Digest {
    /// Replicas of each version that the table asks for.
    pub(crate) totals: Vec<WantedReplicas>,
    /// Their split over the shards.
    pub(crate) wanted: BTreeMap<DomainId, Vec<WantedReplicas>>,
    /// VMs of all shards that load; they share the weight store.
    pub(crate) loading: u32,
    /// Engine VMs of each shard.
    pub(crate) listed: BTreeMap<DomainId, Vec<VmId>>,
    /// VMs that hold a part of a replica of each shard.
    pub(crate) holders: BTreeMap<DomainId, Vec<VmId>>,
}

impl Digest {
    /// Works out the digest of a view.
    pub fn new(view: &View) -> Self {
        let totals = placement::totals(&view.table);
        let wanted = placement::split_by_capacity(&totals, &placement::capacities(view));
        let mut digest = Self {
            totals,
            wanted,
            ..Self::default()
        };
        for (vm, status) in &view.vms {
            if status.listing.role == VmRole::Engine {
                push(&mut digest.listed, &status.listing.domain, vm);
            }
            let Some(held) = &status.held else { continue };
            push(&mut digest.holders, &held.replica.shard, vm);
            digest.loading += u32::from(!held.ready && status.health == Health::Live);
        }
        digest
    }
}

fn push(lists: &mut BTreeMap<DomainId, Vec<VmId>>, shard: &DomainId, vm: &VmId) {
    match lists.get_mut(shard) {
        Some(list) => list.push(vm.clone()),
        None => {
            lists.insert(shard.clone(), vec![vm.clone()]);
        }
    }
}
