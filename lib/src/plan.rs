//! What a shard needs next: at most one change of agreed state, and the orders that engines need.
//!
//! A plan is a pure function of the view and of the little that only the lease holder knows. Order
//! of urgency: mend broken replicas, finish ended ones, free what was given up, form new replicas,
//! and only then end surplus ones.

use std::collections::{BTreeMap, BTreeSet};

use crate::engine::{Action, HeldReplica};
use crate::fleet::{Assignment, Fleet, FleetChange, Form};
use crate::ids::{DomainId, Fence, GroupId, ReplicaId, ReplicaSeq, VersionId, VmId};
use crate::placement::{self, MissingReplicas, WantedReplicas};
use crate::plan_inputs::PlanInputs;
use crate::view::{Health, View, VmStatus};

/// How a replica that lost a VM is made whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepairPolicy {
    /// Survivors keep their ranks and weights, and only the replacement loads.
    ReplaceLost,
    /// The replica is ended, and a new one loads all its VMs.
    Rebuild,
}

/// How a shard is planned.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// How broken replicas are made whole.
    pub repair: RepairPolicy,
    /// VMs of all shards that load at a time, unless a single replica needs more.
    pub max_loading: u32,
    /// Whether a broken replica that has no replacement gives its VMs to another.
    pub reclaim_broken: bool,
}

/// An order that an engine needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wish {
    /// The VM.
    pub vm: VmId,
    /// The replica.
    pub replica: ReplicaId,
    /// The formation.
    pub form: Form,
    /// What to do.
    pub action: Action,
}

/// A formation that the holder made without the log, from the replica's reserve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Swap {
    /// The formation.
    pub form: Form,
    /// VMs by rank.
    pub vms: Vec<VmId>,
}

/// What a plan does.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// Change of agreed state.
    pub change: Option<FleetChange>,
    /// Orders.
    pub wishes: Vec<Wish>,
}

/// What a plan is made from.
#[derive(Debug, Clone, Copy)]
pub struct Scene<'a> {
    /// The view.
    pub view: &'a View,
    /// The shard.
    pub shard: &'a DomainId,
    /// Its agreed state.
    pub fleet: &'a Fleet,
    /// Fencing number of the lease.
    pub fence: Fence,
    /// Number of the next formation.
    pub seq: u64,
    /// How to plan.
    pub rules: Rules,
    /// Draining replicas on which nothing runs any more.
    pub drained: &'a BTreeSet<ReplicaSeq>,
    /// VMs that may still take an order sent to them.
    pub busy: &'a BTreeSet<VmId>,
    /// Formations made without the log.
    pub swaps: &'a BTreeMap<ReplicaSeq, Swap>,
    /// Whether VMs that the platform's list doesn't name are gone.
    pub trusted: bool,
    /// What the view says over all shards.
    pub plan_inputs: &'a PlanInputs,
}

/// What is known of a VM that a replica names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    Good,
    Unsure,
    Leaving,
    Gone,
}

impl<'a> Scene<'a> {
    /// Makes the plan; it changes nothing while the platform's list is doubtful.
    pub fn plan(&self) -> Plan {
        Plan {
            change: self.trusted.then(|| self.change()).flatten(),
            wishes: self.wishes(),
        }
    }

    /// Returns the formation that makes a replica whole from its own reserve, if that is needed.
    pub fn swap(&self, seq: ReplicaSeq, assignment: &Assignment) -> Option<Swap> {
        let (_, now) = self.formation(seq, assignment);
        let mut vms = now.to_vec();
        for rank in 0..vms.len() {
            if self.part(&vms[rank]) != Part::Gone {
                continue;
            }
            let own = assignment.reserve.iter().chain(&assignment.vms);
            let mut spare = own.filter(|vm| self.part(vm) == Part::Good && !vms.contains(vm));
            vms[rank] = spare.next()?.clone();
        }
        (vms != now).then(|| Swap {
            form: self.next_form(),
            vms,
        })
    }

    /// Lists the orders to load: one replica after the other, so that the first serves soonest.
    pub fn loads(&self) -> Vec<Wish> {
        let mut out = Vec::new();
        let mut loading = self.plan_inputs.loading_vms;
        for (seq, assignment) in &self.fleet.replicas {
            let (form, vms) = self.formation(*seq, assignment);
            let gone = vms.iter().any(|vm| self.part(vm) == Part::Gone);
            if assignment.draining || gone {
                continue;
            }
            let wishes = self.load_replica(*seq, assignment, form, vms);
            let need = wishes.iter().filter(|w| !self.is_warm(w)).count() as u32;
            if loading > 0 && need > 0 && loading + need > self.rules.max_loading {
                continue;
            }
            loading += need;
            out.extend(wishes);
        }
        out
    }

    /// Lists all orders. A VM that holds a part of its replica, but of no formation in force, was
    /// swapped in by an earlier holder that lost the lease, and is to give it up.
    fn wishes(&self) -> Vec<Wish> {
        let mut out = self.loads();
        for (seq, assignment) in &self.fleet.replicas {
            let over = self.is_over(*seq, assignment);
            let (_, vms) = self.formation(*seq, assignment);
            let unused = |vm: &&VmId| over || !assignment.draining && !vms.contains(vm);
            let unloads = members(assignment).filter(unused);
            out.extend(unloads.filter_map(|vm| self.unload(vm, *seq)));
        }
        out.extend(self.strays());
        out
    }

    fn change(&self) -> Option<FleetChange> {
        self.learn()
            .or_else(|| self.mend())
            .or_else(|| self.finish())
            .or_else(|| self.free_vm())
            .or_else(|| self.assign())
            .or_else(|| self.give_up_reserve())
            .or_else(|| self.lend())
            .or_else(|| self.drain())
            .or_else(|| self.add_reserve())
    }

    /// Records a reserve VM that was given a rank without the log.
    fn learn(&self) -> Option<FleetChange> {
        self.fleet.replicas.iter().find_map(|(seq, assignment)| {
            if assignment.draining {
                return None;
            }
            let (form, vms) = self.formed(*seq, assignment)?;
            let differs = |rank: &usize| vms[*rank] != assignment.vms[*rank];
            let rank = (0..vms.len()).find(differs)?;
            Some(self.replace(*seq, rank, vms[rank].clone(), form))
        })
    }

    fn mend(&self) -> Option<FleetChange> {
        let mut broken: Vec<_> = self.broken().collect();
        broken.sort_by(|a, b| {
            let weight = |a: &Assignment| self.weight(&a.group);
            weight(b.1).total_cmp(&weight(a.1)).then(a.0.cmp(&b.0))
        });
        broken.into_iter().find_map(|(seq, assignment)| {
            if self.rules.repair == RepairPolicy::Rebuild {
                return Some(self.end(seq));
            }
            let rank = self.gone_rank(assignment)?;
            let vm = self.replacement(assignment)?;
            Some(self.replace(seq, rank, vm, self.next_form()))
        })
    }

    /// Finishes a drained replica: a VM that leaves is replaced if the replica is still wanted, and
    /// else the replica is freed once its VMs confirm that they hold nothing of it.
    fn finish(&self) -> Option<FleetChange> {
        self.fleet.replicas.iter().find_map(|(seq, assignment)| {
            if !self.is_over(*seq, assignment) {
                return None;
            }
            self.retake(*seq, assignment)
                .or_else(|| self.free(*seq, assignment))
        })
    }

    fn retake(&self, seq: ReplicaSeq, assignment: &Assignment) -> Option<FleetChange> {
        let parts = || assignment.vms.iter().map(|vm| self.part(vm));
        let only_leaving = parts().all(|p| matches!(p, Part::Good | Part::Leaving));
        let rank = parts().position(|p| p == Part::Leaving)?;
        let want = self.want(&assignment.version)?;
        let fits = want.span as usize == assignment.vms.len();
        if !only_leaving || !fits || self.healthy(&assignment.version) >= want.count {
            return None;
        }
        let vm = self.replacement(assignment)?;
        Some(self.replace(seq, rank, vm, self.next_form()))
    }

    fn free(&self, seq: ReplicaSeq, assignment: &Assignment) -> Option<FleetChange> {
        let mut held = Vec::new();
        for vm in members(assignment) {
            match self.view.vms.get(vm) {
                None if self.busy.contains(vm) => return None,
                None => {}
                Some(status) if status.health == Health::Lost => held.push(vm.clone()),
                Some(status) if !self.has_given_up(status, seq) => return None,
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

    fn free_vm(&self) -> Option<FleetChange> {
        let confirmed = |vm: &VmId, seq| match self.view.vms.get(vm) {
            None => !self.busy.contains(vm),
            Some(status) => status.health != Health::Lost && self.has_given_up(status, seq),
        };
        let mut held = self.fleet.retained_vms();
        let (vm, _) = held.find(|(vm, seq)| confirmed(vm, *seq))?;
        Some(FleetChange::FreeVm {
            fence: self.fence,
            base: self.fleet.planned,
            vm: vm.clone(),
        })
    }

    fn assign(&self) -> Option<FleetChange> {
        let free = self.free_vms();
        let needs = self.needs();
        let counts = placement::pack(free.len() as u32, &needs);
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

    /// Returns what the shard still lacks.
    fn needs(&self) -> Vec<MissingReplicas> {
        let healthy = self.healthy_counts();
        let have = |v: &VersionId| healthy.get(v).copied().unwrap_or(0);
        let need = |w: &WantedReplicas| MissingReplicas {
            span: w.span,
            count: w.count.saturating_sub(have(&w.version)),
            value: w.value,
        };
        self.wanted().iter().map(need).collect()
    }

    /// Gives up a reserve VM if a wanted replica can be formed with it.
    fn give_up_reserve(&self) -> Option<FleetChange> {
        let spare = |(seq, a): (&ReplicaSeq, &Assignment)| {
            let good = a.reserve.iter().filter(|vm| self.part(vm) == Part::Good);
            good.map(|vm| (*seq, vm.clone())).collect::<Vec<_>>()
        };
        let staying = self.fleet.replicas.iter().filter(|(_, a)| !a.draining);
        let spares: Vec<_> = staying.flat_map(spare).collect();
        let vms = spares.len() + self.free_vms().len();
        let short = |n: &MissingReplicas| n.count > 0 && n.span > 0 && n.span as usize <= vms;
        if !self.needs().iter().any(short) {
            return None;
        }
        let (replica, vm) = spares.into_iter().next_back()?;
        Some(self.reserve(replica, vm, false))
    }

    /// Gives a replica that lacks reserve VMs one that nothing else needs.
    fn add_reserve(&self) -> Option<FleetChange> {
        let lacks = |a: &Assignment| {
            let row = self.view.table.group(&a.group);
            !a.draining && row.is_some_and(|g| a.reserve.len() < g.reserve as usize)
        };
        let mut replicas = self.fleet.replicas.iter();
        let (replica, _) = replicas.find(|(_, a)| lacks(a))?;
        if self.needs().iter().any(|n| n.count > 0) {
            return None;
        }
        let vm = self.free_vms().into_iter().next()?;
        Some(self.reserve(*replica, vm, true))
    }

    fn reserve(&self, replica: ReplicaSeq, vm: VmId, add: bool) -> FleetChange {
        FleetChange::Reserve {
            fence: self.fence,
            base: self.fleet.planned,
            replica,
            vm,
            add,
        }
    }

    /// Ends the broken replica that is worth least, if its VMs make another whole.
    fn lend(&self) -> Option<FleetChange> {
        let draining = self.fleet.replicas.values().any(|a| a.draining);
        if !self.rules.reclaim_broken || draining {
            return None;
        }
        let mut broken: Vec<_> = self.broken().collect();
        let missing = |a: &Assignment| a.vms.len() - self.good(a);
        broken.sort_by(|a, b| {
            let weight = |a: &Assignment| self.weight(&a.group);
            let least = weight(a.1).total_cmp(&weight(b.1));
            least
                .then(missing(b.1).cmp(&missing(a.1)))
                .then(b.0.cmp(&a.0))
        });
        let (victim, assignment) = broken.first()?;
        let given = self.good(assignment) + self.free_vms().len();
        let helped = broken[1..].iter().any(|(_, a)| missing(a) <= given);
        helped.then(|| self.end(*victim))
    }

    /// Ends one surplus replica, or one that a VM is about to leave.
    fn drain(&self) -> Option<FleetChange> {
        let replicas = || self.fleet.replicas.iter();
        let healthy = self.healthy_counts();
        let mut surplus: Vec<_> = replicas()
            .filter(|(seq, a)| !a.draining && self.is_surplus(**seq, a, &healthy))
            .collect();
        surplus.sort_by_key(|(seq, a)| (self.serves(**seq, a), std::cmp::Reverse(**seq)));
        let (seq, assignment) = surplus.first()?;
        let at_once = self.rules.repair == RepairPolicy::Rebuild;
        if at_once || !self.serves(**seq, assignment) {
            return Some(self.end(**seq));
        }
        let group = &assignment.group;
        let in_change = |(seq, a): (&ReplicaSeq, &Assignment)| {
            a.group == *group
                && (a.draining || self.gone_rank(a).is_none() && !self.serves(*seq, a))
        };
        if replicas().any(in_change) {
            return None;
        }
        let leaving = self.has_leaving(assignment);
        (leaving || self.spares_one(group)).then(|| self.end(**seq))
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
            return self.total(&assignment.version) == 0;
        }
        if healthy.get(&assignment.version).copied().unwrap_or(0) <= want.count {
            return false;
        }
        let everywhere = self
            .view
            .replicas()
            .filter(|(id, a)| a.version == assignment.version && self.view.takes_work(id, a));
        let enough = everywhere.count() as u32 > self.total(&assignment.version);
        enough || !self.serves(seq, assignment)
    }

    /// Returns whether a group can do without one replica of this shard, whatever other shards do
    /// at the same time: each keeps its own part of the minimum.
    fn spares_one(&self, group: &GroupId) -> bool {
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

    fn load_replica(
        &self,
        seq: ReplicaSeq,
        assignment: &Assignment,
        form: Form,
        vms: &[VmId],
    ) -> Vec<Wish> {
        let slots = self.view.table.group(&assignment.group);
        let slots = slots.map_or(1, |g| g.slots);
        let follows = |h: &HeldReplica, rank: u32| {
            h.replica.seq == seq
                && h.replica.shard == *self.shard
                && h.form == form
                && h.version == assignment.version
                && h.rank == rank
        };
        let wish = |(rank, vm): (usize, &VmId)| {
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
            Some(self.wish(vm, seq, form, action))
        };
        vms.iter().enumerate().filter_map(wish).collect()
    }

    /// Lists orders to VMs that hold a part of a replica that they don't belong to.
    fn strays(&self) -> Vec<Wish> {
        let stray = |vm: &VmId| {
            let status = self.view.vms.get(vm)?;
            let seq = status.held.as_ref()?.replica.seq;
            let known = seq.0 <= self.fleet.next.0 && status.health != Health::Lost;
            let owner = self.fleet.owner(vm);
            let part = owner.is_some_and(|r| self.fleet.is_part_of(vm, r));
            (known && !part).then(|| self.wish(vm, seq, self.next_form(), Action::Unload))
        };
        let holders = self
            .plan_inputs
            .holders
            .get(self.shard)
            .into_iter()
            .flatten();
        holders.filter_map(stray).collect()
    }

    fn unload(&self, vm: &VmId, seq: ReplicaSeq) -> Option<Wish> {
        let status = self.view.vms.get(vm)?;
        let answers = status.health != Health::Lost;
        (answers && self.holds(status, seq))
            .then(|| self.wish(vm, seq, self.next_form(), Action::Unload))
    }

    fn wish(&self, vm: &VmId, seq: ReplicaSeq, form: Form, action: Action) -> Wish {
        Wish {
            vm: vm.clone(),
            replica: self.replica(seq),
            form,
            action,
        }
    }

    fn replace(&self, replica: ReplicaSeq, rank: usize, vm: VmId, form: Form) -> FleetChange {
        FleetChange::Replace {
            fence: self.fence,
            base: self.fleet.planned,
            form,
            replica,
            rank: rank as u32,
            vm,
        }
    }

    fn end(&self, replica: ReplicaSeq) -> FleetChange {
        FleetChange::Drain {
            fence: self.fence,
            base: self.fleet.planned,
            replica,
        }
    }

    /// Returns the formation in force: the holder's own if it is newer than the agreed one.
    fn formation<'b>(&'b self, seq: ReplicaSeq, assignment: &'b Assignment) -> (Form, &'b [VmId]) {
        match self.swaps.get(&seq) {
            Some(swap) if swap.form >= assignment.form => (swap.form, &swap.vms),
            _ => (assignment.form, &assignment.vms),
        }
    }

    /// Returns the formation that serves or that the holder made, if it has other VMs than agreed.
    fn formed(&self, seq: ReplicaSeq, assignment: &Assignment) -> Option<(Form, Vec<VmId>)> {
        let (form, vms) = self.formation(seq, assignment);
        if vms != assignment.vms {
            return Some((form, vms.to_vec()));
        }
        let vms = self.view.vms_by_rank(&self.replica(seq), assignment)?;
        let held = self.view.vms.get(*vms.first()?)?.held.as_ref()?;
        (held.form.fence <= self.fence).then(|| (held.form, vms.into_iter().cloned().collect()))
    }

    fn broken(&self) -> impl Iterator<Item = (ReplicaSeq, &Assignment)> {
        self.fleet
            .replicas
            .iter()
            .filter(|(_, a)| !a.draining && self.gone_rank(a).is_some())
            .map(|(seq, a)| (*seq, a))
    }

    fn gone_rank(&self, assignment: &Assignment) -> Option<usize> {
        let mut vms = assignment.vms.iter();
        vms.position(|vm| self.part(vm) == Part::Gone)
    }

    fn has_leaving(&self, assignment: &Assignment) -> bool {
        let mut vms = assignment.vms.iter();
        vms.any(|vm| self.part(vm) == Part::Leaving)
    }

    fn good(&self, assignment: &Assignment) -> usize {
        let good = |vm: &&VmId| self.part(vm) == Part::Good;
        assignment.vms.iter().filter(good).count()
    }

    fn replacement(&self, assignment: &Assignment) -> Option<VmId> {
        let mut reserve = assignment.reserve.iter();
        let own = reserve.find(|vm| self.part(vm) == Part::Good);
        own.cloned().or_else(|| self.free_vms().into_iter().next())
    }

    fn part(&self, vm: &VmId) -> Part {
        let Some(status) = self.view.vms.get(vm) else {
            return match self.trusted {
                true => Part::Gone,
                false => Part::Unsure,
            };
        };
        let ready = status.held.as_ref().is_some_and(|h| h.ready);
        match status.health {
            Health::Live => Part::Good,
            Health::Probation if ready => Part::Good,
            Health::Probation | Health::Lost => Part::Gone,
            Health::Suspect | Health::Unknown => Part::Unsure,
            Health::Leaving => Part::Leaving,
        }
    }

    fn is_over(&self, seq: ReplicaSeq, assignment: &Assignment) -> bool {
        assignment.draining && (self.drained.contains(&seq) || !self.serves(seq, assignment))
    }

    fn serves(&self, seq: ReplicaSeq, assignment: &Assignment) -> bool {
        self.view.is_serving(&self.replica(seq), assignment)
    }

    fn replica(&self, seq: ReplicaSeq) -> ReplicaId {
        ReplicaId {
            shard: self.shard.clone(),
            seq,
        }
    }

    fn holds(&self, status: &VmStatus, seq: ReplicaSeq) -> bool {
        let same = |h: &HeldReplica| h.replica.seq == seq && h.replica.shard == *self.shard;
        status.held.as_ref().is_some_and(same)
    }

    /// Returns whether a VM was heard to hold nothing of a replica and no order can change that.
    fn has_given_up(&self, status: &VmStatus, seq: ReplicaSeq) -> bool {
        status.health != Health::Unknown
            && !self.holds(status, seq)
            && !self.busy.contains(&status.listing.vm)
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
            .filter(|vm| empty(vm) && !owned(vm) && !self.busy.contains(*vm))
            .cloned()
            .collect()
    }

    fn is_warm(&self, wish: &Wish) -> bool {
        let Action::Load { version, rank, .. } = &wish.action else {
            return true;
        };
        let held = self.view.vms.get(&wish.vm).and_then(|s| s.held.as_ref());
        held.is_some_and(|h| h.ready && h.version == *version && h.rank == *rank)
    }

    /// Counts the replicas of each version that are whole and stay.
    fn healthy_counts(&self) -> BTreeMap<&VersionId, u32> {
        let whole = |a: &&Assignment| {
            let mut parts = a.vms.iter().map(|vm| self.part(vm));
            !a.draining && parts.all(|p| matches!(p, Part::Good | Part::Unsure))
        };
        let mut out = BTreeMap::new();
        for assignment in self.fleet.replicas.values().filter(whole) {
            *out.entry(&assignment.version).or_insert(0) += 1;
        }
        out
    }

    fn healthy(&self, version: &VersionId) -> u32 {
        self.healthy_counts().get(version).copied().unwrap_or(0)
    }

    fn wanted(&self) -> &'a [WantedReplicas] {
        let wanted = self.plan_inputs.wanted.get(self.shard);
        wanted.map_or(&[], Vec::as_slice)
    }

    fn want(&self, version: &VersionId) -> Option<&WantedReplicas> {
        self.wanted().iter().find(|w| w.version == *version)
    }

    fn total(&self, version: &VersionId) -> u32 {
        let of = self
            .plan_inputs
            .totals
            .iter()
            .find(|w| w.version == *version);
        of.map_or(0, |w| w.count)
    }

    fn weight(&self, group: &GroupId) -> f64 {
        self.view.table.group(group).map_or(0.0, |g| g.downtime)
    }

    fn next_form(&self) -> Form {
        Form {
            fence: self.fence,
            seq: self.seq,
        }
    }
}

fn members(assignment: &Assignment) -> impl Iterator<Item = &VmId> {
    assignment.vms.iter().chain(&assignment.reserve)
}
