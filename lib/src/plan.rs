//! Plan of a shard: at most one change of its agreed state, and the orders that its engines need.
//!
//! A plan is a pure function of the view and of the few facts that only the lease holder knows. In
//! order of urgency it repairs broken replicas, removes drained ones, frees released VMs, forms new
//! replicas, and only then drains surplus ones.

use std::collections::{BTreeMap, BTreeSet};

use crate::engine::{Action, HeldReplica};
use crate::fleet::{Assignment, Fleet, FleetChange, Form};
use crate::ids::{DomainId, Fence, GroupId, ReplicaId, ReplicaSeq, VersionId, VmId};
use crate::placement::{self, MissingReplicas, WantedReplicas};
use crate::plan_inputs::PlanInputs;
use crate::view::{Health, View, VmStatus};

/// How a replica that lost a VM is repaired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepairPolicy {
    /// The remaining VMs keep their ranks and weights, and only the replacement loads.
    ReplaceLost,
    /// The replica is drained, and a new one is formed, all of whose VMs load.
    Rebuild,
}

/// Policy by which a shard is planned.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// How broken replicas are repaired.
    pub repair: RepairPolicy,
    /// Maximum number of VMs of all shards that load at a time, unless a single replica needs more.
    pub max_loading: u32,
    /// Whether a broken replica for which there is no replacement is drained if its VMs can repair
    /// another one.
    pub reclaim_broken: bool,
}

/// An order that an engine needs, without the numbers that are added when it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The VM that runs the engine.
    pub vm: VmId,
    /// The replica that the order is about.
    pub replica: ReplicaId,
    /// The formation that the VM is to join.
    pub form: Form,
    /// What the engine is to do.
    pub action: Action,
}

/// A formation that the lease holder made from the replica's reserve while the log was unavailable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalFormation {
    /// Identifier of the formation.
    pub form: Form,
    /// The VMs by rank.
    pub vms: Vec<VmId>,
}

/// Plan of a shard.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// Change of the agreed state, if one is needed.
    pub change: Option<FleetChange>,
    /// Orders to engines.
    pub orders: Vec<PlannedOrder>,
}

/// Facts from which the plan of a shard is made.
#[derive(Debug, Clone, Copy)]
pub struct PlanContext<'a> {
    /// The view.
    pub view: &'a View,
    /// The shard.
    pub shard: &'a DomainId,
    /// Agreed state of the shard.
    pub fleet: &'a Fleet,
    /// Fencing token of the lease.
    pub fence: Fence,
    /// Sequence number of the next formation.
    pub seq: u64,
    /// Policy by which to plan.
    pub rules: Rules,
    /// Draining replicas on which no request runs any more.
    pub drained: &'a BTreeSet<ReplicaSeq>,
    /// VMs that may still accept a load order that was sent to them.
    pub pending_load_vms: &'a BTreeSet<VmId>,
    /// Formations that were made while the log was unavailable.
    pub local_formations: &'a BTreeMap<ReplicaSeq, LocalFormation>,
    /// Whether VMs that are missing from the platform's list are considered gone.
    pub list_trusted: bool,
    /// Facts that are computed once for the plans of all shards.
    pub plan_inputs: &'a PlanInputs,
}

/// Condition of a VM that is part of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum VmCondition {
    /// Live, or on probation with its weights loaded.
    Usable,
    /// Suspect or not probed yet, or missing from a list that is not trusted.
    Uncertain,
    /// About to leave.
    Leaving,
    /// Lost, on probation without loaded weights, or missing from a trusted list.
    Gone,
}

impl<'a> PlanContext<'a> {
    /// Makes the plan; it has no change while the platform's list is not trusted.
    pub fn plan(&self) -> Plan {
        Plan {
            change: self.list_trusted.then(|| self.change()).flatten(),
            orders: self.orders(),
        }
    }

    /// Returns the formation that repairs a replica from its own reserve, or `None` if the replica
    /// is not broken or its reserve is not sufficient.
    pub fn local_formation(
        &self,
        seq: ReplicaSeq,
        assignment: &Assignment,
    ) -> Option<LocalFormation> {
        let (_, now) = self.formation(seq, assignment);
        let mut vms = now.to_vec();
        for rank in 0..vms.len() {
            if self.condition(&vms[rank]) != VmCondition::Gone {
                continue;
            }
            let own = assignment.reserve.iter().chain(&assignment.vms);
            let mut spare =
                own.filter(|vm| self.condition(vm) == VmCondition::Usable && !vms.contains(vm));
            vms[rank] = spare.next()?.clone();
        }
        (vms != now).then(|| LocalFormation {
            form: self.next_formation(),
            vms,
        })
    }

    /// Returns the load orders: one replica after the other, so that the first one serves soonest.
    pub fn loads(&self) -> Vec<PlannedOrder> {
        let mut out = Vec::new();
        let mut loading = self.plan_inputs.loading_vms;
        for (seq, assignment) in &self.fleet.replicas {
            let (form, vms) = self.formation(*seq, assignment);
            let gone = vms.iter().any(|vm| self.condition(vm) == VmCondition::Gone);
            if assignment.draining || gone {
                continue;
            }
            let orders = self.replica_loads(*seq, assignment, form, vms);
            let need = orders.iter().filter(|w| !self.is_loaded(w)).count() as u32;
            if loading > 0 && need > 0 && loading + need > self.rules.max_loading {
                continue;
            }
            loading += need;
            out.extend(orders);
        }
        out
    }

    /// Returns all orders. A VM that holds a part of its replica, but not in the current formation,
    /// got it from an earlier lease holder, and is ordered to unload it.
    fn orders(&self) -> Vec<PlannedOrder> {
        let mut out = self.loads();
        for (seq, assignment) in &self.fleet.replicas {
            let over = self.is_drained(*seq, assignment);
            let (_, vms) = self.formation(*seq, assignment);
            let unused = |vm: &&VmId| over || !assignment.draining && !vms.contains(vm);
            let unloads = all_vms(assignment).filter(unused);
            out.extend(unloads.filter_map(|vm| self.unload_order(vm, *seq)));
        }
        out.extend(self.stray_unloads());
        out
    }

    fn change(&self) -> Option<FleetChange> {
        self.record_local_formation()
            .or_else(|| self.repair_broken())
            .or_else(|| self.finish_drained())
            .or_else(|| self.free_released_vm())
            .or_else(|| self.assign_replica())
            .or_else(|| self.release_reserve())
            .or_else(|| self.reclaim_from_broken())
            .or_else(|| self.drain_surplus())
            .or_else(|| self.add_reserve())
    }

    /// Records that a reserve VM got a rank while the log was unavailable.
    fn record_local_formation(&self) -> Option<FleetChange> {
        self.fleet.replicas.iter().find_map(|(seq, assignment)| {
            if assignment.draining {
                return None;
            }
            let (form, vms) = self.deviating_formation(*seq, assignment)?;
            let differs = |rank: &usize| vms[*rank] != assignment.vms[*rank];
            let rank = (0..vms.len()).find(differs)?;
            Some(self.replace_change(*seq, rank, vms[rank].clone(), form))
        })
    }

    fn repair_broken(&self) -> Option<FleetChange> {
        let mut broken: Vec<_> = self.broken_replicas().collect();
        broken.sort_by(|a, b| {
            let weight = |a: &Assignment| self.downtime_weight(&a.group);
            weight(b.1).total_cmp(&weight(a.1)).then(a.0.cmp(&b.0))
        });
        broken.into_iter().find_map(|(seq, assignment)| {
            if self.rules.repair == RepairPolicy::Rebuild {
                return Some(self.drain_change(seq));
            }
            let rank = self.gone_rank(assignment)?;
            let vm = self.replacement(assignment)?;
            Some(self.replace_change(seq, rank, vm, self.next_formation()))
        })
    }

    /// Finishes a drained replica: if the replica is still wanted, a VM that leaves is replaced;
    /// otherwise the replica is removed once its VMs confirm that they hold nothing of it.
    fn finish_drained(&self) -> Option<FleetChange> {
        self.fleet.replicas.iter().find_map(|(seq, assignment)| {
            if !self.is_drained(*seq, assignment) {
                return None;
            }
            self.replace_leaving(*seq, assignment)
                .or_else(|| self.remove_replica(*seq, assignment))
        })
    }

    fn replace_leaving(&self, seq: ReplicaSeq, assignment: &Assignment) -> Option<FleetChange> {
        let conditions = || assignment.vms.iter().map(|vm| self.condition(vm));
        let only_leaving =
            conditions().all(|p| matches!(p, VmCondition::Usable | VmCondition::Leaving));
        let rank = conditions().position(|p| p == VmCondition::Leaving)?;
        let want = self.want(&assignment.version)?;
        let fits = want.span as usize == assignment.vms.len();
        if !only_leaving || !fits || self.healthy_count(&assignment.version) >= want.count {
            return None;
        }
        let vm = self.replacement(assignment)?;
        Some(self.replace_change(seq, rank, vm, self.next_formation()))
    }

    fn remove_replica(&self, seq: ReplicaSeq, assignment: &Assignment) -> Option<FleetChange> {
        let mut held = Vec::new();
        for vm in all_vms(assignment) {
            match self.view.vms.get(vm) {
                None if self.pending_load_vms.contains(vm) => return None,
                None => {}
                Some(status) if status.health == Health::Lost => held.push(vm.clone()),
                Some(status) if !self.has_released(status, seq) => return None,
                Some(_) => {}
            }
        }
        Some(FleetChange::Free {
            fence: self.fence,
            base: self.fleet.planned,
            replica: seq,
            held,
        })
    }

    fn free_released_vm(&self) -> Option<FleetChange> {
        let confirmed = |vm: &VmId, seq| match self.view.vms.get(vm) {
            None => !self.pending_load_vms.contains(vm),
            Some(status) => status.health != Health::Lost && self.has_released(status, seq),
        };
        let mut retained = self.fleet.retained_vms();
        let (vm, _) = retained.find(|(vm, seq)| confirmed(vm, *seq))?;
        Some(FleetChange::FreeVm {
            fence: self.fence,
            base: self.fleet.planned,
            vm: vm.clone(),
        })
    }

    fn assign_replica(&self) -> Option<FleetChange> {
        let free = self.free_vms();
        let missing = self.missing_replicas();
        let counts = placement::pack(free.len() as u32, &missing);
        let (want, count) = self.wanted().iter().zip(counts).find(|(_, n)| *n > 0)?;
        let used = count * want.span;
        let reserve = want.reserve.min((free.len() as u32).saturating_sub(used));
        let (vms, reserve) = placement::pick_vms(&free, want.span, reserve)?;
        Some(FleetChange::Assign {
            fence: self.fence,
            base: self.fleet.planned,
            form: self.seq,
            group: want.group.clone(),
            version: want.version.clone(),
            span: want.span,
            vms,
            reserve,
        })
    }

    /// Returns the replicas that are wanted but missing from the shard.
    fn missing_replicas(&self) -> Vec<MissingReplicas> {
        let healthy = self.healthy_counts();
        let have = |v: &VersionId| healthy.get(v).copied().unwrap_or(0);
        let missing_of_version = |w: &WantedReplicas| MissingReplicas {
            span: w.span,
            count: w.count.saturating_sub(have(&w.version)),
            value: w.value,
        };
        self.wanted().iter().map(missing_of_version).collect()
    }

    /// Releases a reserve VM if a wanted replica can be formed with it.
    fn release_reserve(&self) -> Option<FleetChange> {
        let spare = |(seq, a): (&ReplicaSeq, &Assignment)| {
            let usable = a
                .reserve
                .iter()
                .filter(|vm| self.condition(vm) == VmCondition::Usable);
            usable.map(|vm| (*seq, vm.clone())).collect::<Vec<_>>()
        };
        let staying = self.fleet.replicas.iter().filter(|(_, a)| !a.draining);
        let spares: Vec<_> = staying.flat_map(spare).collect();
        let vms = spares.len() + self.free_vms().len();
        let short = |n: &MissingReplicas| n.count > 0 && n.span > 0 && n.span as usize <= vms;
        if !self.missing_replicas().iter().any(short) {
            return None;
        }
        let (replica, vm) = spares.into_iter().next_back()?;
        Some(self.reserve_change(replica, vm, false))
    }

    /// Adds a VM that nothing else needs to a replica that lacks reserve VMs.
    fn add_reserve(&self) -> Option<FleetChange> {
        let lacks = |a: &Assignment| {
            let row = self.view.table.group(&a.group);
            !a.draining && row.is_some_and(|g| a.reserve.len() < g.reserve as usize)
        };
        let mut replicas = self.fleet.replicas.iter();
        let (replica, _) = replicas.find(|(_, a)| lacks(a))?;
        if self.missing_replicas().iter().any(|n| n.count > 0) {
            return None;
        }
        let vm = self.free_vms().into_iter().next()?;
        Some(self.reserve_change(*replica, vm, true))
    }

    fn reserve_change(&self, replica: ReplicaSeq, vm: VmId, add: bool) -> FleetChange {
        FleetChange::Reserve {
            fence: self.fence,
            base: self.fleet.planned,
            replica,
            vm,
            add,
        }
    }

    /// Drains the broken replica with the lowest weight, if its VMs suffice to repair another one.
    fn reclaim_from_broken(&self) -> Option<FleetChange> {
        let draining = self.fleet.replicas.values().any(|a| a.draining);
        if !self.rules.reclaim_broken || draining {
            return None;
        }
        let mut broken: Vec<_> = self.broken_replicas().collect();
        let missing = |a: &Assignment| a.vms.len() - self.usable_count(a);
        broken.sort_by(|a, b| {
            let weight = |a: &Assignment| self.downtime_weight(&a.group);
            let least = weight(a.1).total_cmp(&weight(b.1));
            least
                .then(missing(b.1).cmp(&missing(a.1)))
                .then(b.0.cmp(&a.0))
        });
        let (weakest, assignment) = broken.first()?;
        let available = self.usable_count(assignment) + self.free_vms().len();
        let helped = broken[1..].iter().any(|(_, a)| missing(a) <= available);
        helped.then(|| self.drain_change(*weakest))
    }

    /// Drains one surplus replica, or one that a VM is about to leave.
    fn drain_surplus(&self) -> Option<FleetChange> {
        let replicas = || self.fleet.replicas.iter();
        let healthy = self.healthy_counts();
        let mut surplus: Vec<_> = replicas()
            .filter(|(seq, a)| !a.draining && self.is_surplus(**seq, a, &healthy))
            .collect();
        surplus.sort_by_key(|(seq, a)| (self.is_serving(**seq, a), std::cmp::Reverse(**seq)));
        let (seq, assignment) = surplus.first()?;
        let at_once = self.rules.repair == RepairPolicy::Rebuild;
        if at_once || !self.is_serving(**seq, assignment) {
            return Some(self.drain_change(**seq));
        }
        let group = &assignment.group;
        let in_change = |(seq, a): (&ReplicaSeq, &Assignment)| {
            a.group == *group
                && (a.draining || self.gone_rank(a).is_none() && !self.is_serving(*seq, a))
        };
        if replicas().any(in_change) {
            return None;
        }
        let leaving = self.has_leaving(assignment);
        (leaving || self.can_spare_replica(group)).then(|| self.drain_change(**seq))
    }

    fn is_surplus(
        &self,
        seq: ReplicaSeq,
        assignment: &Assignment,
        healthy: &BTreeMap<&VersionId, u32>,
    ) -> bool {
        let Some(want) = self.want(&assignment.version) else {
            return true;
        };
        if want.span as usize != assignment.vms.len() || self.has_leaving(assignment) {
            return true;
        }
        if self.gone_rank(assignment).is_some() {
            return self.wanted_total(&assignment.version) == 0;
        }
        if healthy.get(&assignment.version).copied().unwrap_or(0) <= want.count {
            return false;
        }
        let everywhere = self
            .view
            .replicas()
            .filter(|(id, a)| a.version == assignment.version && self.view.takes_work(id, a));
        let enough = everywhere.count() as u32 > self.wanted_total(&assignment.version);
        enough || !self.is_serving(seq, assignment)
    }

    /// Returns whether a group can do without one replica of this shard, whatever other shards do
    /// at the same time: each shard keeps its share of the group's minimum.
    fn can_spare_replica(&self, group: &GroupId) -> bool {
        let minimum = self.view.table.group(group).map_or(0, |g| g.minimum);
        let (mut here, mut all) = (0u32, 0u32);
        for (id, a) in self.view.replicas().filter(|(_, a)| a.group == *group) {
            let takes = u32::from(self.view.takes_work(&id, a));
            all += takes;
            here += takes * u32::from(id.shard == *self.shard);
        }
        let shards = self.view.fleets.len().max(1) as u32;
        all > minimum && here > minimum.div_ceil(shards)
    }

    fn replica_loads(
        &self,
        seq: ReplicaSeq,
        assignment: &Assignment,
        form: Form,
        vms: &[VmId],
    ) -> Vec<PlannedOrder> {
        let slots = self.view.table.group(&assignment.group);
        let slots = slots.map_or(1, |g| g.slots);
        let follows = |h: &HeldReplica, rank: u32| {
            h.replica.seq == seq
                && h.replica.shard == *self.shard
                && h.form == form
                && h.version == assignment.version
                && h.rank == rank
        };
        let order = |(rank, vm): (usize, &VmId)| {
            let status = self.view.vms.get(vm)?;
            let rank = rank as u32;
            if status.held.as_ref().is_some_and(|h| follows(h, rank)) {
                return None;
            }
            let action = Action::Load {
                version: assignment.version.clone(),
                rank,
                vms: vms.to_vec(),
                slots,
            };
            Some(self.order(vm, seq, form, action))
        };
        vms.iter().enumerate().filter_map(order).collect()
    }

    /// Returns unload orders to VMs that hold a part of a replica that they are not part of.
    fn stray_unloads(&self) -> Vec<PlannedOrder> {
        let stray = |vm: &VmId| {
            let status = self.view.vms.get(vm)?;
            let seq = status.held.as_ref()?.replica.seq;
            let known = seq.0 <= self.fleet.next.0 && status.health != Health::Lost;
            let owner = self.fleet.owner(vm);
            let part = owner.is_some_and(|r| self.fleet.is_part_of(vm, r));
            (known && !part).then(|| self.order(vm, seq, self.next_formation(), Action::Unload))
        };
        let holders = self
            .plan_inputs
            .holders
            .get(self.shard)
            .into_iter()
            .flatten();
        holders.filter_map(stray).collect()
    }

    fn unload_order(&self, vm: &VmId, seq: ReplicaSeq) -> Option<PlannedOrder> {
        let status = self.view.vms.get(vm)?;
        let answers = status.health != Health::Lost;
        (answers && self.holds_part(status, seq))
            .then(|| self.order(vm, seq, self.next_formation(), Action::Unload))
    }

    fn order(&self, vm: &VmId, seq: ReplicaSeq, form: Form, action: Action) -> PlannedOrder {
        PlannedOrder {
            vm: vm.clone(),
            replica: self.replica_id(seq),
            form,
            action,
        }
    }

    fn replace_change(
        &self,
        replica: ReplicaSeq,
        rank: usize,
        vm: VmId,
        form: Form,
    ) -> FleetChange {
        FleetChange::Replace {
            fence: self.fence,
            base: self.fleet.planned,
            form,
            replica,
            rank: rank as u32,
            vm,
        }
    }

    fn drain_change(&self, replica: ReplicaSeq) -> FleetChange {
        FleetChange::Drain {
            fence: self.fence,
            base: self.fleet.planned,
            replica,
        }
    }

    /// Returns the current formation: the one made while the log was unavailable, unless the agreed
    /// one is newer.
    fn formation<'b>(&'b self, seq: ReplicaSeq, assignment: &'b Assignment) -> (Form, &'b [VmId]) {
        match self.local_formations.get(&seq) {
            Some(local) if local.form >= assignment.form => (local.form, &local.vms),
            _ => (assignment.form, &assignment.vms),
        }
    }

    /// Returns the formation that the holder made or that serves, if its VMs may differ from the
    /// agreed ones.
    fn deviating_formation(
        &self,
        seq: ReplicaSeq,
        assignment: &Assignment,
    ) -> Option<(Form, Vec<VmId>)> {
        let (form, vms) = self.formation(seq, assignment);
        if vms != assignment.vms {
            return Some((form, vms.to_vec()));
        }
        let vms = self.view.vms_by_rank(&self.replica_id(seq), assignment)?;
        let held = self.view.vms.get(*vms.first()?)?.held.as_ref()?;
        (held.form.fence <= self.fence).then(|| (held.form, vms.into_iter().cloned().collect()))
    }

    fn broken_replicas(&self) -> impl Iterator<Item = (ReplicaSeq, &Assignment)> {
        self.fleet
            .replicas
            .iter()
            .filter(|(_, a)| !a.draining && self.gone_rank(a).is_some())
            .map(|(seq, a)| (*seq, a))
    }

    fn gone_rank(&self, assignment: &Assignment) -> Option<usize> {
        let mut vms = assignment.vms.iter();
        vms.position(|vm| self.condition(vm) == VmCondition::Gone)
    }

    fn has_leaving(&self, assignment: &Assignment) -> bool {
        let mut vms = assignment.vms.iter();
        vms.any(|vm| self.condition(vm) == VmCondition::Leaving)
    }

    fn usable_count(&self, assignment: &Assignment) -> usize {
        let usable = |vm: &&VmId| self.condition(vm) == VmCondition::Usable;
        assignment.vms.iter().filter(usable).count()
    }

    fn replacement(&self, assignment: &Assignment) -> Option<VmId> {
        let mut reserve = assignment.reserve.iter();
        let own = reserve.find(|vm| self.condition(vm) == VmCondition::Usable);
        own.cloned().or_else(|| self.free_vms().into_iter().next())
    }

    fn condition(&self, vm: &VmId) -> VmCondition {
        let Some(status) = self.view.vms.get(vm) else {
            return match self.list_trusted {
                true => VmCondition::Gone,
                false => VmCondition::Uncertain,
            };
        };
        let ready = status.held.as_ref().is_some_and(|h| h.ready);
        match status.health {
            Health::Live => VmCondition::Usable,
            Health::Probation if ready => VmCondition::Usable,
            Health::Probation | Health::Lost => VmCondition::Gone,
            Health::Suspect | Health::Unknown => VmCondition::Uncertain,
            Health::Leaving => VmCondition::Leaving,
        }
    }

    fn is_drained(&self, seq: ReplicaSeq, assignment: &Assignment) -> bool {
        assignment.draining && (self.drained.contains(&seq) || !self.is_serving(seq, assignment))
    }

    fn is_serving(&self, seq: ReplicaSeq, assignment: &Assignment) -> bool {
        self.view.is_serving(&self.replica_id(seq), assignment)
    }

    fn replica_id(&self, seq: ReplicaSeq) -> ReplicaId {
        ReplicaId {
            shard: self.shard.clone(),
            seq,
        }
    }

    fn holds_part(&self, status: &VmStatus, seq: ReplicaSeq) -> bool {
        let same = |h: &HeldReplica| h.replica.seq == seq && h.replica.shard == *self.shard;
        status.held.as_ref().is_some_and(same)
    }

    /// Returns whether a VM reported that it holds nothing of a replica and no order on its way can
    /// change that.
    fn has_released(&self, status: &VmStatus, seq: ReplicaSeq) -> bool {
        status.health != Health::Unknown
            && !self.holds_part(status, seq)
            && !self.pending_load_vms.contains(&status.listing.vm)
    }

    fn free_vms(&self) -> Vec<VmId> {
        let owned = |vm: &VmId| self.view.fleets.values().any(|f| f.owner(vm).is_some());
        let empty = |vm: &VmId| {
            let status = self.view.vms.get(vm);
            status
                .is_some_and(|s| s.health == Health::Live && s.held.is_none() && !s.listing.leaving)
        };
        let listed = self
            .plan_inputs
            .engine_vms
            .get(self.shard)
            .into_iter()
            .flatten();
        listed
            .filter(|vm| empty(vm) && !owned(vm) && !self.pending_load_vms.contains(*vm))
            .cloned()
            .collect()
    }

    fn is_loaded(&self, order: &PlannedOrder) -> bool {
        let Action::Load { version, rank, .. } = &order.action else {
            return true;
        };
        let held = self.view.vms.get(&order.vm).and_then(|s| s.held.as_ref());
        held.is_some_and(|h| h.ready && h.version == *version && h.rank == *rank)
    }

    /// Counts the replicas of each version that have all their VMs and are not draining.
    fn healthy_counts(&self) -> BTreeMap<&VersionId, u32> {
        let whole = |a: &&Assignment| {
            let mut conditions = a.vms.iter().map(|vm| self.condition(vm));
            !a.draining
                && conditions.all(|p| matches!(p, VmCondition::Usable | VmCondition::Uncertain))
        };
        let mut out = BTreeMap::new();
        for assignment in self.fleet.replicas.values().filter(whole) {
            *out.entry(&assignment.version).or_insert(0) += 1;
        }
        out
    }

    fn healthy_count(&self, version: &VersionId) -> u32 {
        self.healthy_counts().get(version).copied().unwrap_or(0)
    }

    fn wanted(&self) -> &'a [WantedReplicas] {
        let wanted = self.plan_inputs.wanted.get(self.shard);
        wanted.map_or(&[], Vec::as_slice)
    }

    fn want(&self, version: &VersionId) -> Option<&WantedReplicas> {
        self.wanted().iter().find(|w| w.version == *version)
    }

    fn wanted_total(&self, version: &VersionId) -> u32 {
        let of = self
            .plan_inputs
            .totals
            .iter()
            .find(|w| w.version == *version);
        of.map_or(0, |w| w.count)
    }

    fn downtime_weight(&self, group: &GroupId) -> f64 {
        self.view.table.group(group).map_or(0.0, |g| g.downtime)
    }

    fn next_formation(&self) -> Form {
        Form {
            fence: self.fence,
            seq: self.seq,
        }
    }
}

fn all_vms(assignment: &Assignment) -> impl Iterator<Item = &VmId> {
    assignment.vms.iter().chain(&assignment.reserve)
}
