//! The planner's state machine: leases of shards, assignments and orders to engines.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::appender::Ticket;
use crate::chart::Charts;
use crate::engine::{Action, Held, Order, OrderReply};
use crate::fleet::{Assignment, Fleet, FleetChange};
use crate::ids::{DomainId, EntryId, Fence, Incarnation, OrderId, ReplicaId, ReplicaSeq, VmId};
use crate::lease::{LeaseConfig, LeaseStep, LeaseWatch};
use crate::peers::{Settled, Submit};
use crate::placement;
use crate::platform::VmRole;
use crate::rendezvous;
use crate::time::Time;
use crate::view::{Health, View, VmStatus};

/// What a planner is told when it starts.
#[derive(Debug, Clone)]
pub struct PlannerConfig {
    /// Its entry VM.
    pub entry: EntryId,
    /// Its run.
    pub run: Incarnation,
    /// Leases.
    pub lease: LeaseConfig,
    /// Time after which engines drop an order.
    pub order_deadline: Duration,
    /// Time after which an order that shows no effect is sent again.
    pub order_retry: Duration,
}

/// What happens to a planner.
#[derive(Debug)]
pub enum Input {
    /// Time passes.
    Tick,
    /// The agent serves a new view.
    View(Arc<View>),
    /// A submitted record was settled.
    Settled(Ticket, Settled),
    /// An engine replied to an order; `None` says that the reply is lost.
    Ordered(VmId, Option<OrderReply>),
}

/// What a planner does.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Ask the agent to append a record.
    Submit(Ticket, Submit),
    /// Send an order to an engine.
    Order {
        /// The VM.
        vm: VmId,
        /// Its base URL.
        address: String,
        /// The order.
        order: Order,
    },
}

#[derive(Debug)]
struct Shard {
    watch: LeaseWatch,
    lease_ticket: Option<Ticket>,
    plan_ticket: Option<Ticket>,
    ordered: BTreeMap<VmId, Time>,
}

/// The planner of one entry VM.
#[derive(Debug)]
pub struct Planner {
    config: PlannerConfig,
    charts: Charts,
    view: Option<Arc<View>>,
    shards: BTreeMap<DomainId, Shard>,
    next: u64,
}

impl Planner {
    /// Makes a planner that has seen no view yet.
    pub fn new(config: PlannerConfig, charts: Charts) -> Self {
        Self {
            config,
            charts,
            view: None,
            shards: BTreeMap::new(),
            next: 0,
        }
    }

    /// Takes one input at the time `now` and appends what is to be done to `out`.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => {}
            Input::View(view) => self.view = Some(view),
            Input::Settled(ticket, settled) => self.take_settled(ticket, &settled),
            Input::Ordered(..) => return,
        }
        let Some(view) = self.view.clone() else {
            return;
        };
        for (shard, fleet) in &view.fleets {
            self.plan_shard(now, &view, shard, fleet, out);
        }
    }

    /// Returns the shards whose lease is held.
    pub fn held(&self, now: Time) -> impl Iterator<Item = &DomainId> {
        self.shards
            .iter()
            .filter(move |(_, s)| s.watch.is_held(now))
            .map(|(d, _)| d)
    }

    fn take_settled(&mut self, ticket: Ticket, settled: &Settled) {
        let won = matches!(settled, Settled::Accepted { .. });
        for shard in self.shards.values_mut() {
            if shard.lease_ticket == Some(ticket) {
                shard.lease_ticket = None;
                shard.watch.settled(won);
            }
            if shard.plan_ticket == Some(ticket) {
                shard.plan_ticket = None;
            }
        }
    }

    fn plan_shard(
        &mut self,
        now: Time,
        view: &View,
        id: &DomainId,
        fleet: &Fleet,
        out: &mut Vec<Output>,
    ) {
        let lease = fleet.held_by(&self.config.entry, self.config.run);
        let last = fleet.lease.as_ref().map(|l| l.last);
        let preferred = self.is_preferred(view, id);
        let (lease_config, chart) = (self.config.lease, &self.charts.lease);
        let shard = self.shards.entry(id.clone()).or_insert_with(|| Shard {
            watch: LeaseWatch::new(lease_config, chart.clone()),
            lease_ticket: None,
            plan_ticket: None,
            ordered: BTreeMap::new(),
        });
        shard.watch.observe(now, last, lease.is_some(), view.log_up);
        if let LeaseStep::Append(supersedes) = shard.watch.decide(now, lease.is_some(), preferred) {
            let change = FleetChange::Lease {
                holder: self.config.entry.clone(),
                run: self.config.run,
                supersedes,
                length_ms: lease_config.length.as_millis() as u64,
            };
            let ticket = self.submit(id, change, out);
            self.shard(id).lease_ticket = Some(ticket);
        }
        let Some(lease) = lease else { return };
        if !self.shard(id).watch.is_held(now) {
            return;
        }
        self.place(now, view, id, fleet, lease.fence, out);
    }

    fn place(
        &mut self,
        now: Time,
        view: &View,
        id: &DomainId,
        fleet: &Fleet,
        fence: Fence,
        out: &mut Vec<Output>,
    ) {
        let mut change = None;
        for (seq, assignment) in &fleet.replicas {
            let replica = ReplicaId {
                shard: id.clone(),
                seq: *seq,
            };
            if self.is_ending(view, id, fleet, *seq, assignment) {
                let end = self.end_replica(now, view, &replica, assignment, fence, out);
                change = change.or(end);
            } else {
                self.load_replica(now, view, &replica, assignment, fence, out);
            }
        }
        let change = change
            .or_else(|| free_held(view, id, fleet, fence))
            .or_else(|| assign(view, id, fleet, fence));
        let Some(change) = change else { return };
        if self.shard(id).plan_ticket.is_none() {
            let ticket = self.submit(id, change, out);
            self.shard(id).plan_ticket = Some(ticket);
        }
    }

    fn is_ending(
        &self,
        view: &View,
        id: &DomainId,
        fleet: &Fleet,
        seq: ReplicaSeq,
        assignment: &Assignment,
    ) -> bool {
        let usable = |vm: &VmId| view.vms.get(vm).is_some_and(is_usable);
        if !assignment.vms.iter().all(usable) {
            return true;
        }
        let shards: Vec<DomainId> = view.fleets.keys().cloned().collect();
        let wanted = placement::wanted(&view.table, &shards, id);
        let Some(want) = wanted.iter().find(|w| w.version == assignment.version) else {
            return true;
        };
        let earlier = fleet
            .replicas
            .range(..seq)
            .filter(|(_, a)| a.version == assignment.version)
            .count();
        want.span as usize != assignment.vms.len() || earlier >= want.count as usize
    }

    fn end_replica(
        &mut self,
        now: Time,
        view: &View,
        replica: &ReplicaId,
        assignment: &Assignment,
        fence: Fence,
        out: &mut Vec<Output>,
    ) -> Option<FleetChange> {
        let mut held = Vec::new();
        let mut waiting = false;
        for vm in assignment.vms.iter().chain(&assignment.reserve) {
            let Some(status) = view.vms.get(vm) else {
                continue;
            };
            if status.health == Health::Lost {
                held.push(vm.clone());
            } else if status.held.as_ref().is_some_and(|h| h.replica == *replica) {
                waiting = true;
                self.order(now, status, replica, fence, Action::Unload, out);
            }
        }
        (!waiting).then_some(FleetChange::Free {
            fence,
            replica: replica.seq,
            held,
        })
    }

    fn load_replica(
        &mut self,
        now: Time,
        view: &View,
        replica: &ReplicaId,
        assignment: &Assignment,
        fence: Fence,
        out: &mut Vec<Output>,
    ) {
        let slots = view.table.group(&assignment.group).map_or(1, |g| g.slots);
        for (rank, vm) in assignment.vms.iter().enumerate() {
            let Some(status) = view.vms.get(vm) else {
                continue;
            };
            let rank = rank as u32;
            if status
                .held
                .as_ref()
                .is_some_and(|h| is_rank(h, replica, assignment, rank))
            {
                continue;
            }
            let action = Action::Load {
                version: assignment.version.clone(),
                rank,
                vms: assignment.vms.clone(),
                slots,
            };
            self.order(now, status, replica, fence, action, out);
        }
    }

    fn order(
        &mut self,
        now: Time,
        status: &VmStatus,
        replica: &ReplicaId,
        fence: Fence,
        action: Action,
        out: &mut Vec<Output>,
    ) {
        let vm = &status.listing.vm;
        let retry = self.config.order_retry;
        let ordered = &mut self.shard(&replica.shard).ordered;
        if ordered.get(vm).is_some_and(|at| now.since(*at) < retry) {
            return;
        }
        ordered.insert(vm.clone(), now);
        self.next += 1;
        let order = Order {
            order: OrderId(self.next),
            replica: replica.clone(),
            fence,
            seq: self.next,
            deadline_ms: (now + self.config.order_deadline).as_millis(),
            action,
        };
        out.push(Output::Order {
            vm: vm.clone(),
            address: status.listing.address.clone(),
            order,
        });
    }

    fn submit(&mut self, id: &DomainId, change: FleetChange, out: &mut Vec<Output>) -> Ticket {
        self.next += 1;
        let ticket = Ticket(self.next);
        out.push(Output::Submit(
            ticket,
            Submit::Fleet {
                shard: id.clone(),
                change,
            },
        ));
        ticket
    }

    fn is_preferred(&self, view: &View, id: &DomainId) -> bool {
        let live = view.entries.iter().filter(|e| e.live && !e.member.leaving);
        let names = live.map(|e| e.member.entry.as_str());
        let best = rendezvous::owners(id.as_str().as_bytes(), names, 1);
        best.first()
            .is_none_or(|e| *e == self.config.entry.as_str())
    }

    fn shard(&mut self, id: &DomainId) -> &mut Shard {
        self.shards
            .get_mut(id)
            .expect("plan_shard makes the shard first")
    }
}

fn is_usable(status: &VmStatus) -> bool {
    !matches!(
        status.health,
        Health::Lost | Health::Leaving | Health::Probation
    )
}

fn is_rank(held: &Held, replica: &ReplicaId, assignment: &Assignment, rank: u32) -> bool {
    held.replica == *replica
        && held.fence >= assignment.fence
        && held.version == assignment.version
        && held.rank == rank
}

fn free_held(view: &View, id: &DomainId, fleet: &Fleet, fence: Fence) -> Option<FleetChange> {
    let confirmed = |vm: &VmId, seq: ReplicaSeq| match view.vms.get(vm) {
        None => true,
        Some(status) if status.health == Health::Lost => false,
        Some(status) => {
            let old = ReplicaId {
                shard: id.clone(),
                seq,
            };
            status.held.as_ref().is_none_or(|h| h.replica != old)
        }
    };
    let (vm, _) = fleet.held_vms().find(|(vm, seq)| confirmed(vm, *seq))?;
    Some(FleetChange::FreeVm {
        fence,
        vm: vm.clone(),
    })
}

fn assign(view: &View, id: &DomainId, fleet: &Fleet, fence: Fence) -> Option<FleetChange> {
    let shards: Vec<DomainId> = view.fleets.keys().cloned().collect();
    let have = placement::count(fleet.replicas.values().map(|a| &a.version));
    let free: Vec<VmId> = view
        .vms
        .values()
        .filter(|s| s.listing.domain == *id && s.listing.role == VmRole::Engine)
        .filter(|s| s.health == Health::Live && s.held.is_none())
        .map(|s| s.listing.vm.clone())
        .filter(|vm| fleet.owner(vm).is_none())
        .collect();
    let wanted = placement::wanted(&view.table, &shards, id);
    wanted.into_iter().find_map(|w| {
        if have.get(&w.version).copied().unwrap_or(0) >= w.count {
            return None;
        }
        let (vms, reserve) = placement::form(&free, w.span, w.reserve)?;
        let (group, version, span) = (w.group, w.version, w.span);
        Some(FleetChange::Assign {
            fence,
            group,
            version,
            span,
            vms,
            reserve,
        })
    })
}
