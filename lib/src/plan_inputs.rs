//! Inputs that the plans of all shards share, computed once for each view.

use std::collections::BTreeMap;

use crate::ids::{DomainId, VmId};
use crate::placement::{self, WantedReplicas};
use crate::platform::VmRole;
use crate::view::{Health, View};

/// Counts and lists derived from one view, for the plans of all its shards.
#[derive(Debug, Default)]
pub struct PlanInputs {
    /// Replicas of each version that the table asks for, over all shards.
    pub(crate) totals: Vec<WantedReplicas>,
    /// Replicas of each version that each shard should have.
    pub(crate) wanted: BTreeMap<DomainId, Vec<WantedReplicas>>,
    /// Live VMs, over all shards, that are loading weights; they share the bandwidth of the weight
    /// store.
    pub(crate) loading_vms: u32,
    /// Engine VMs in the failure domain of each shard.
    pub(crate) engine_vms: BTreeMap<DomainId, Vec<VmId>>,
    /// VMs that hold a rank of a replica of each shard.
    pub(crate) holders: BTreeMap<DomainId, Vec<VmId>>,
}

impl PlanInputs {
    /// Computes the inputs from a view.
    pub fn new(view: &View) -> Self {
        let totals = placement::totals(&view.table);
        let wanted = placement::split_by_capacity(&totals, &placement::capacities(view));
        let mut plan_inputs = Self {
            totals,
            wanted,
            ..Self::default()
        };
        for (vm, status) in &view.vms {
            if status.listing.role == VmRole::Engine {
                push(&mut plan_inputs.engine_vms, &status.listing.domain, vm);
            }
            let Some(held) = &status.held else { continue };
            push(&mut plan_inputs.holders, &held.replica.shard, vm);
            plan_inputs.loading_vms += u32::from(!held.ready && status.health == Health::Live);
        }
        plan_inputs
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
