//! The planner's state machine: leases of shards, assignments and orders to engines.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::appender::Ticket;
use crate::chart::Charts;
use crate::engine::{Action, Order, OrderReply};
use crate::fleet::{Assignment, Fleet, FleetChange};
use crate::ids::{DomainId, EntryId, Fence, Incarnation, Offset, OrderId, ReplicaSeq, VmId};
use crate::lease::{LeaseAction, LeaseConfig, LeaseOutcome, LeaseTracker};
use crate::peers::{Settled, Submit};
use crate::plan::{LocalFormation, PlanContext, PlannedOrder, Rules};
use crate::plan_inputs::PlanInputs;
use crate::rendezvous;
use crate::time::Time;
use crate::view::View;

/// Bits of an order's sequence number that count within one run; the run's number is above them,
/// so that the numbers of a restarted planner go on where the last run ended.
const SEQ_BITS: u32 = 20;
/// Time after which a change that was not accepted is planned again.
const CHANGE_RETRY: Duration = Duration::from_millis(300);
/// Time between two plans of a shard.
const PLAN_EVERY: Duration = Duration::from_millis(250);
/// Time for which a list that leaves out most VMs in use is taken as faulty.
const LIST_DOUBT: Duration = Duration::from_secs(600);
/// Time that gateways have to read that a replica takes no new work.
const DRAIN_NOTICE: Duration = Duration::from_secs(2);

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
    /// Whether engines refuse an order with an old fencing number.
    pub fenced: bool,
    /// Longest time that a draining replica's requests may take.
    pub drain_limit: Duration,
    /// How shards are planned.
    pub rules: Rules,
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
    OrderReplied(VmId, Option<OrderReply>),
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

/// The last order to a VM.
#[derive(Debug)]
struct Ordered {
    at: Time,
    wish: PlannedOrder,
    /// When the VM was last told to load; an engine that ignores the order of messages may take
    /// that order after a later one to unload.
    load: Option<Time>,
}

#[derive(Debug)]
struct Shard {
    watch: LeaseTracker,
    lease_ticket: Option<Ticket>,
    plan_ticket: Option<Ticket>,
    wait: Offset,
    retry: Time,
    ordered: BTreeMap<VmId, Ordered>,
    draining: BTreeMap<ReplicaSeq, Time>,
    swaps: BTreeMap<ReplicaSeq, LocalFormation>,
    doubted: Option<Time>,
    planned: Offset,
    next_plan: Time,
}

impl Shard {
    fn new(watch: LeaseTracker) -> Self {
        Self {
            watch,
            lease_ticket: None,
            plan_ticket: None,
            wait: Offset(0),
            retry: Time::ZERO,
            ordered: BTreeMap::new(),
            draining: BTreeMap::new(),
            swaps: BTreeMap::new(),
            doubted: None,
            planned: Offset(0),
            next_plan: Time::ZERO,
        }
    }

    /// Returns whether the platform's list may be believed about VMs that it doesn't name: one that
    /// leaves out more than half of the VMs in use is taken as faulty for a while.
    fn trusts_list(&self, now: Time) -> bool {
        self.doubted
            .is_none_or(|since| now.since(since) >= LIST_DOUBT)
    }

    /// Returns whether to plan now: at once after a change, and else every `PLAN_EVERY`.
    fn is_due(&mut self, now: Time, planned: Offset) -> bool {
        if now < self.next_plan && planned == self.planned {
            return false;
        }
        self.planned = planned;
        self.next_plan = now + PLAN_EVERY;
        true
    }

    /// Notes since when replicas drain and the list is doubtful, and forgets replicas that ended.
    fn update(&mut self, now: Time, view: &View, fleet: &Fleet) {
        let unlisted = |(vm, _): &(&VmId, ReplicaSeq)| !view.vms.contains_key(*vm);
        let doubtful = fleet.owned_vms().filter(unlisted).count() * 2 > fleet.owned_vms().count();
        self.doubted = match self.doubted {
            since if doubtful => since.or(Some(now)),
            _ => None,
        };
        let drains = |r: &ReplicaSeq| fleet.replicas.get(r).is_some_and(|a| a.draining);
        self.draining.retain(|r, _| drains(r));
        for (seq, _) in fleet.replicas.iter().filter(|(_, a)| a.draining) {
            self.draining.entry(*seq).or_insert(now);
        }
        self.swaps.retain(|seq, swap| {
            let agreed = fleet.replicas.get(seq);
            let own = swap.vms.iter().all(|vm| fleet.is_part_of(vm, *seq));
            own && agreed.is_some_and(|a| a.form <= swap.form && a.vms != swap.vms)
        });
    }
}

/// The planner of one entry VM.
#[derive(Debug)]
pub struct Planner {
    config: PlannerConfig,
    charts: Charts,
    view: Option<Arc<View>>,
    plan_inputs: Option<Arc<PlanInputs>>,
    shards: BTreeMap<DomainId, Shard>,
    next: u64,
}

impl Planner {
    /// Makes a planner that has seen no view yet.
    pub fn new(config: PlannerConfig, charts: Charts) -> Self {
        let next = config.run.0 << SEQ_BITS;
        Self {
            config,
            charts,
            view: None,
            plan_inputs: None,
            shards: BTreeMap::new(),
            next,
        }
    }

    /// Takes one input at the time `now` and appends what is to be done to `out`.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => {}
            Input::View(view) => {
                self.plan_inputs = None;
                self.view = Some(view);
            }
            Input::Settled(ticket, settled) => self.take_settled(now, ticket, &settled),
            Input::OrderReplied(..) => return,
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

    fn take_settled(&mut self, now: Time, ticket: Ticket, settled: &Settled) {
        for shard in self.shards.values_mut() {
            if shard.lease_ticket == Some(ticket) {
                shard.lease_ticket = None;
                let end = match settled {
                    Settled::Accepted { offset } => LeaseOutcome::Won(*offset),
                    Settled::FleetRefused(_) => LeaseOutcome::Superseded,
                    _ => LeaseOutcome::Failed,
                };
                shard.watch.settled(now, end);
            }
            if shard.plan_ticket == Some(ticket) {
                shard.plan_ticket = None;
                match settled {
                    Settled::Accepted { offset } => shard.wait = Offset(offset.0 + 1),
                    _ => shard.retry = now + CHANGE_RETRY,
                }
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
        let new_shard = || Shard::new(LeaseTracker::new(lease_config, chart.clone()));
        let shard = self.shards.entry(id.clone()).or_insert_with(new_shard);
        let mine = lease.is_some();
        if !shard.watch.observe(now, last, mine, view.log_up) {
            return;
        }
        if let LeaseAction::Append(supersedes) = shard.watch.decide(now, mine, preferred) {
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
        let held = self.shard(id).watch.is_held(now);
        self.shard(id).update(now, view, fleet);
        if self.config.fenced && !view.log_up {
            self.swap(now, view, id, fleet, lease.fence);
        }
        if held {
            self.place(now, view, id, fleet, lease.fence, out);
        } else if self.config.fenced && !view.log_up {
            self.restore(now, view, id, fleet, lease.fence, out);
        }
    }

    /// Plans the shard under a lease that is held.
    fn place(
        &mut self,
        now: Time,
        view: &View,
        id: &DomainId,
        fleet: &Fleet,
        fence: Fence,
        out: &mut Vec<Output>,
    ) {
        if fleet.next < self.shard(id).wait || !self.shard(id).is_due(now, fleet.planned) {
            return;
        }
        self.next += 1;
        let plan = self.with_scene(now, view, id, fleet, fence, |s| s.plan());
        for wish in plan.orders {
            self.order(now, view, id, fence, wish, out);
        }
        let shard = self.shard(id);
        let Some(change) = plan.change else { return };
        if shard.plan_ticket.is_none() && now >= shard.retry {
            let ticket = self.submit(id, change, out);
            self.shard(id).plan_ticket = Some(ticket);
        }
    }

    /// Gives the orders that a lapsed lease allows while the log is out: loads within replicas as
    /// agreed. Engines refuse them once a later holder has given any.
    fn restore(
        &mut self,
        now: Time,
        view: &View,
        id: &DomainId,
        fleet: &Fleet,
        fence: Fence,
        out: &mut Vec<Output>,
    ) {
        self.next += 1;
        for wish in self.with_scene(now, view, id, fleet, fence, |s| s.loads()) {
            self.order(now, view, id, fence, wish, out);
        }
    }

    /// Makes broken replicas whole from their own reserve, which needs no agreement.
    fn swap(&mut self, now: Time, view: &View, id: &DomainId, fleet: &Fleet, fence: Fence) {
        self.next += 1;
        let replicas = fleet.replicas.iter().filter(|(_, a)| !a.draining);
        let swaps = self.with_scene(now, view, id, fleet, fence, |scene| {
            let swap = |(seq, a): (&ReplicaSeq, &Assignment)| {
                Some((*seq, scene.local_formation(*seq, a)?))
            };
            replicas.filter_map(swap).collect::<Vec<_>>()
        });
        self.shard(id).swaps.extend(swaps);
    }

    fn with_scene<T>(
        &mut self,
        now: Time,
        view: &View,
        id: &DomainId,
        fleet: &Fleet,
        fence: Fence,
        run: impl FnOnce(&PlanContext<'_>) -> T,
    ) -> T {
        let plan_inputs = self
            .plan_inputs
            .get_or_insert_with(|| Arc::new(PlanInputs::new(view)));
        let plan_inputs = Arc::clone(plan_inputs);
        let drained = self.drained(now, view, id, fleet);
        let busy = self.busy(now, id);
        let scene = PlanContext {
            view,
            shard: id,
            fleet,
            fence,
            seq: self.next,
            rules: self.config.rules,
            drained: &drained,
            busy: &busy,
            local_formations: &self.shards[id].swaps,
            trusted: self.shards[id].trusts_list(now),
            plan_inputs: &plan_inputs,
        };
        run(&scene)
    }

    fn drained(
        &self,
        now: Time,
        view: &View,
        id: &DomainId,
        fleet: &Fleet,
    ) -> BTreeSet<ReplicaSeq> {
        let idle = |a: &Assignment| {
            let first = a.vms.first().and_then(|vm| view.vms.get(vm));
            first.is_none_or(|s| s.load.running == 0 && s.load.queued == 0)
        };
        let is_drained = |(seq, since): &(&ReplicaSeq, &Time)| {
            let passed = now.since(**since);
            let quiet = fleet.replicas.get(seq).is_none_or(idle);
            passed >= DRAIN_NOTICE && quiet || passed >= self.config.drain_limit
        };
        let draining = self.shards[id].draining.iter();
        draining.filter(is_drained).map(|(seq, _)| *seq).collect()
    }

    /// Returns the VMs that may still take an order to load that was sent to them.
    fn busy(&self, now: Time, id: &DomainId) -> BTreeSet<VmId> {
        let limit = self.config.order_deadline + self.config.lease.drift;
        let may_take = |(_, o): &(&VmId, &Ordered)| o.load.is_some_and(|at| now.since(at) <= limit);
        let ordered = self.shards[id].ordered.iter();
        ordered.filter(may_take).map(|(vm, _)| vm.clone()).collect()
    }

    fn order(
        &mut self,
        now: Time,
        view: &View,
        id: &DomainId,
        fence: Fence,
        wish: PlannedOrder,
        out: &mut Vec<Output>,
    ) {
        let Some(status) = view.vms.get(&wish.vm) else {
            return;
        };
        let retry = self.config.order_retry;
        let same = |w: &PlannedOrder| w.replica == wish.replica && same_action(w, &wish);
        let last = self.shards[id].ordered.get(&wish.vm);
        let load = match wish.action {
            Action::Load { .. } => Some(now),
            Action::Unload => last.and_then(|o| o.load),
        };
        if last.is_some_and(|o| same(&o.wish) && now.since(o.at) < retry) {
            return;
        }
        self.next += 1;
        let order = Order {
            order: OrderId(self.next),
            replica: wish.replica.clone(),
            fence,
            form: wish.form,
            seq: self.next,
            deadline_ms: (now + self.config.order_deadline).as_millis(),
            action: wish.action.clone(),
        };
        let (vm, address) = (wish.vm.clone(), status.listing.address.clone());
        let ordered = Ordered {
            at: now,
            wish,
            load,
        };
        self.shard(id).ordered.insert(vm.clone(), ordered);
        out.push(Output::Order { vm, address, order });
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

/// Returns whether two orders to one VM ask for the same; unloads carry no formation of their own.
fn same_action(a: &PlannedOrder, b: &PlannedOrder) -> bool {
    a.action == b.action && (a.action == Action::Unload || a.form == b.form)
}
