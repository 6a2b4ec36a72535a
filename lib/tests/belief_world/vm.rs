//! An entry VM, which may freeze and stop.

use std::time::Duration;

use hemlock_lib::node::endpoints::Endpoints;
use hemlock_lib::node::lease::Lease;
use hemlock_lib::node::planner::{EpochIssuer, Planner};
use hemlock_lib::time::Time;

/// An entry VM. What it is sent while it is frozen reaches it as it wakes.
#[derive(Debug)]
pub(super) struct Vm {
    pub(super) endpoints: Endpoints,
    pub(super) planner: Planner,
    pub(super) epochs: EpochIssuer,
    pub(super) lease: Lease,
    pub(super) is_planner: bool,
    pub(super) is_in_group: bool,
    pub(super) frozen_until: u64,
    /// Until when the process is not running after a stop.
    pub(super) stopped_until: u64,
    /// Next record of the store's log.
    pub(super) next_record: usize,
    pub(super) is_outage: bool,
    pub(super) next_renewal: u64,
    pub(super) next_plan: u64,
    pub(super) last_run: u64,
}

impl Vm {
    pub(super) fn new(now: u64) -> Self {
        Self {
            endpoints: Endpoints::new(Duration::from_secs(2)),
            planner: Planner::default(),
            epochs: EpochIssuer::default(),
            lease: Lease::default(),
            is_planner: false,
            is_in_group: false,
            frozen_until: 0,
            stopped_until: 0,
            next_record: 0,
            is_outage: false,
            next_renewal: now + 100,
            next_plan: now + 100,
            last_run: now,
        }
    }
}

/// Returns whether a VM may send an order that it decided on under a fencing token.
pub(super) fn may_order(vm: &Vm, now: u64, fence: u64) -> bool {
    vm.is_planner && vm.lease.may_order(Time::from_millis(now), fence)
}
