//! Leadership: one entry VM at a time is the planner for all. This module acquires and renews the
//! planner's lease at the store, and executes what the planner decides.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::capacity::{self, Demand};
use hemlock_lib::node::config::Config;
use hemlock_lib::node::endpoints::EngineReport;
use hemlock_lib::node::lease::Lease;
use hemlock_lib::node::planner::{
    Action, EpochIssuer, ExpectedGroup, Order, Output, Planner, PlannerInput, ProbeResult, Reply,
    Summary,
};
use hemlock_lib::node::reach::{PathFailure, PathState};
use hemlock_lib::time::Time;
use hemlock_platform::engines::{self, ReportOutcome};
use tokio::task::spawn_local;

use crate::metrics::Counter;
use crate::state::Node;

/// Interval between two plans while the endpoints do not change.
const PLAN_INTERVAL: Duration = Duration::from_millis(150);
/// Minimum interval between two log lines that summarise a plan.
const MIN_SUMMARY_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum interval between two plans.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(15);
/// Interval between two renewals of the lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum length of the lease, which the settings may extend.
const MIN_LEASE: Duration = Duration::from_millis(1_500);
/// Time for which a VM whose request for the lease failed leaves the lease to others.
const LEASE_BACKOFF: Duration = Duration::from_secs(2);
/// Time after the start in which this VM only listens to its peers, so that a single VM asks for
/// the lease.
const STARTUP_DELAY: Duration = Duration::from_millis(700);

/// Time by which the report of an engine may be older than its last order.
const REPORT_LAG: Duration = Duration::from_millis(250);
/// Number of times that an engine is asked for its group before an order is given up.
const MAX_CHECKS: u32 = 3;

/// The lease, and the planners that run while it is held.
#[derive(Debug, Default)]
struct Leadership {
    /// Planners by engine service.
    planners: BTreeMap<Arc<str>, Planner>,
    epochs: EpochIssuer,
    lease: Lease,
    /// The summary that was logged last, and the time of that.
    last_summary: Option<(Time, Summary)>,
}

/// Plans whenever this VM is the planner, until the process ends.
pub(crate) async fn run(node: Rc<Node>) {
    let leadership = Rc::new(RefCell::new(Leadership::default()));
    spawn_local(renew(node.clone(), leadership.clone()));
    loop {
        let changed = node.endpoints_changed.notified();
        let _ = tokio::time::timeout(PLAN_INTERVAL, changed).await;
        tokio::time::sleep(MIN_PLAN_INTERVAL).await;
        plan(&node, &leadership);
    }
}

/// Acquires and renews the lease while this VM should be the planner, and gives it back otherwise.
async fn renew(node: Rc<Node>, leadership: Rc<RefCell<Leadership>>) {
    let length = MIN_LEASE.max(Duration::from_millis(node.settings.store.lease_ms));
    let mut is_in_planner_group = false;
    tokio::time::sleep(STARTUP_DELAY).await;
    loop {
        let now = node.now();
        if continue_alone(&node, &leadership, now, length) {
            tokio::time::sleep(RENEW_INTERVAL).await;
            continue;
        }
        let held = leadership.borrow().lease.is_held(now);
        let is_backing_off = node.lease_backoff_until.get().is_some_and(|t| t > now);
        let path = node.path_state(now);
        let wants_lease = (held || !is_backing_off)
            && node
                .peers
                .borrow()
                .should_hold_lease(now, &node.identity, held, path);
        if wants_lease && node.is_ready() {
            is_in_planner_group = true;
            request_lease(&node, &leadership, now, length).await;
        } else if is_in_planner_group {
            // The store may grant the lease to any VM in its group of planners, so a VM that should
            // not be the planner leaves the group.
            if path == PathState::Cut {
                // Peers that can give orders take over.
                leadership.borrow_mut().lease.give_up();
            }
            match node.store.leave_planners(&node.planner_name()).await {
                Ok(()) => is_in_planner_group = false,
                Err(e) => log::warn!("event=duty_unreturned cause=\"{e}\""),
            }
        }
        end_if_lapsed(&node, &leadership.borrow().lease);
        tokio::time::sleep(RENEW_INTERVAL).await;
    }
}

/// Stops planning once the lease has lapsed.
fn end_if_lapsed(node: &Node, lease: &Lease) {
    if !lease.is_held(node.now()) {
        set_is_planner(node, false, lease.fence());
    }
}

/// Continues to plan while no VM reaches the store. Returns whether planning continues.
fn continue_alone(
    node: &Node,
    leadership: &RefCell<Leadership>,
    now: Time,
    length: Duration,
) -> bool {
    let may_continue = node.is_outage() && node.peers.borrow().may_keep_planning(now);
    let lease = &mut leadership.borrow_mut().lease;
    if let Some(continues) = lease.continue_alone(now, length, may_continue) {
        log::info!(
            "event=duty_alone stays={continues} fence={} outage={}",
            lease.fence(),
            node.is_outage()
        );
    }
    if lease.is_alone() {
        set_is_planner(node, true, lease.fence());
    }
    lease.is_alone()
}

/// Asks the store for the lease, or for its renewal, once.
async fn request_lease(node: &Node, leadership: &RefCell<Leadership>, now: Time, length: Duration) {
    let before = leadership.borrow().lease.fence();
    let era = node.store_era.get();
    let generation = leadership.borrow().lease.known_generation(era);
    let name = node.planner_name();
    let grant = match node.store.join_planners(&name, generation, length).await {
        Ok(grant) => grant,
        Err(e) => {
            log::warn!("event=duty_unrenewed cause=\"{e}\"");
            node.lease_backoff_until.set(Some(now + LEASE_BACKOFF));
            return;
        }
    };
    node.lease_backoff_until.set(None);
    let lease = &mut leadership.borrow_mut().lease;
    lease.apply(now, length, grant);
    let fence = lease.fence();
    if fence != before {
        log::info!(
            "event=duty_asked holds={} fence={fence} before={before}",
            grant.is_held
        );
    }
    set_is_planner(node, grant.is_held, fence);
}

/// Sets whether this VM is the planner, and announces a change.
fn set_is_planner(node: &Node, is_planner: bool, fence: u64) {
    if node.is_planner.replace(is_planner) != is_planner {
        let change = if is_planner { "gained" } else { "lost" };
        log::info!("event=duty change={change} fence={fence}");
        node.metrics.count(Counter::LeaseChanges, change);
        node.send_now.notify_one();
    }
}

/// Runs the planner of each engine service once if this VM is the planner, and starts to execute
/// its outputs.
fn plan(node: &Rc<Node>, leadership: &Rc<RefCell<Leadership>>) {
    let Some(config) = node.config() else { return };
    let now = node.now();
    let mut state = leadership.borrow_mut();
    // Planning without the store ends when the store is reachable again.
    let confirmed = !state.lease.is_alone() || node.is_outage();
    // A stopping node gives up the lease, so that a successor may plan already. While no node reaches
    // the store, there is none.
    let gives_up = node.stop.is_stopping() && !node.is_outage();
    let is_planner = state.lease.is_held(now) && node.is_planner.get();
    let may_plan = is_planner && confirmed && !gives_up;
    if !may_plan {
        state.planners.values_mut().for_each(Planner::pause_term);
        node.idle_engines.set(0);
        return;
    }
    // An engine that looks free may serve by now, and its entry not be written again yet.
    if node.endpoints.borrow().is_settling(now) {
        return;
    }
    let fence = state.lease.fence();
    let state = &mut *state;
    let last_summary = &mut state.last_summary;
    let mut idle_engines = 0;
    for service in engine_services(&config) {
        let mut outputs = Vec::new();
        let silent = silent_heads(node, now);
        let demand = total_demand(node, now);
        let endpoints = node.endpoints.borrow();
        let Some(engine) = config
            .services
            .get(&service)
            .and_then(|s| s.engine.as_ref())
        else {
            continue;
        };
        let input = PlannerInput {
            service: &service,
            engine,
            endpoints: &endpoints,
            silent: &silent,
            demand: &demand,
            before_traffic: !node.has_traffic.get() && !node.peers.borrow().any_has_traffic(now),
            list_frozen: node.is_outage(),
        };
        let planner = state.planners.entry(service.clone()).or_default();
        if planner.begin_term(fence) {
            log::info!("event=term service={service} fence={fence}");
        }
        planner.step(now, &input, &mut state.epochs, &mut outputs);
        log_summary(now, &service, planner, last_summary);
        idle_engines += planner.summary().idle.values().sum::<usize>();
        for output in outputs {
            spawn_local(execute(
                node.clone(),
                leadership.clone(),
                service.clone(),
                output,
            ));
        }
    }
    node.idle_engines.set(idle_engines);
}

/// Logs the summary of a plan if it differs from the last one logged, at most once in
/// [`MIN_SUMMARY_INTERVAL`].
fn log_summary(
    now: Time,
    service: &str,
    planner: &Planner,
    last_summary: &mut Option<(Time, Summary)>,
) {
    let summary = planner.summary();
    let is_due =
        |(at, last): &(Time, Summary)| now.since(*at) >= MIN_SUMMARY_INTERVAL && last != summary;
    if last_summary.as_ref().is_some_and(|l| !is_due(l)) {
        return;
    }
    *last_summary = Some((now, summary.clone()));
    let Summary {
        usable,
        free,
        loading,
        serving,
        forming,
        ending,
        models,
        idle,
    } = summary;
    let models: Vec<String> = models
        .iter()
        .map(|m| format!("{}:{}/{}/{}", m.model, m.assigned, m.target, m.warm))
        .collect();
    let models = models.join(",");
    let idle = idle
        .iter()
        .map(|(cause, count)| format!("{}:{count}", cause.name()));
    let idle = idle.collect::<Vec<_>>().join(",");
    log::info!(
        "event=plan service={service} usable={usable} free={free} loading={loading} \
         serving={serving} forming={forming} ending={ending} idle={idle} models={models}"
    );
}

fn engine_services(config: &Config) -> Vec<Arc<str>> {
    let engines = config.services.values().filter(|s| s.engine.is_some());
    engines.map(|s| s.name.clone()).collect()
}

/// Returns the demand by model, added up over this VM and its peers.
fn total_demand(node: &Node, now: Time) -> BTreeMap<Arc<str>, Demand> {
    let own_demand = node.demand_meter.borrow().demand(now);
    let peers = node.peers.borrow();
    let demands = peers.heartbeats(now).flat_map(|(h, _)| &h.demand);
    let of_peers = demands.map(|(model, d)| (model.as_str(), d));
    capacity::combined_demand(own_demand.iter().map(|(m, d)| (&**m, d)).chain(of_peers))
}

/// Returns the heads of groups that this VM or a peer found silent, and those from which no VM has
/// received anything for a moment.
fn silent_heads(node: &Node, now: Time) -> BTreeSet<Arc<str>> {
    let balancer = node.balancer.borrow();
    let marked_silent = |id: &&Arc<str>| balancer.is_silent(now, id);
    let ids = balancer.candidates().map(|c| &c.id);
    let silent = ids.filter(marked_silent);
    silent.chain(balancer.suspects(now)).cloned().collect()
}

/// Applies the report of an engine that this VM has queried, and tells peers, if no VM can read the
/// store.
fn keep_report(node: &Node, report: EngineReport) {
    if !node.is_outage() {
        return;
    }
    node.apply_report(&report);
    let mut observed = node.engine_reports.borrow_mut();
    if observed.insert(report.id.clone(), report.clone()) != Some(report) {
        node.send_now.notify_one();
    }
}

/// Returns whether an order that was decided on under a fencing token may be sent now.
fn may_order(node: &Node, leadership: &RefCell<Leadership>, fence: u64) -> bool {
    // A stopping node gives up the lease, so that a successor may plan already.
    let gives_up = node.stop.is_stopping() && !node.is_outage();
    let lease = &leadership.borrow().lease;
    lease.may_order(node.now(), fence) && node.is_planner.get() && !gives_up
}

/// Sends an order if the lease still allows it. The process may have been stopped since it planned.
async fn send_order(
    node: &Node,
    leadership: &RefCell<Leadership>,
    order: &Order,
    orders_before: Option<u64>,
) -> Reply {
    if !may_order(node, leadership, order.fence) {
        log::warn!(
            "event=order_dropped cause=lease action={} id={} fence={} lease={}",
            order.action.name(),
            order.endpoint,
            order.fence,
            leadership.borrow().lease.fence()
        );
        node.metrics.count(Counter::OrdersDropped, "lease");
        return Reply::Conflict;
    }
    engines::send_order(&order.address, order.fence, &order.action, orders_before).await
}

/// Sends a join to an engine whose own report allows it. The report's number of orders is the precondition,
/// so that the engine refuses the join if another order, even a late one, came between.
async fn send_join(
    node: &Node,
    leadership: &RefCell<Leadership>,
    order: &Order,
    expected: &ExpectedGroup,
) -> Reply {
    let Action::Join { group, epoch, .. } = &order.action else {
        return Reply::Conflict;
    };
    let id = &order.endpoint;
    let mut reply = Reply::Lost;
    for attempt in 0..MAX_CHECKS {
        if attempt > 0 {
            tokio::time::sleep(REPORT_LAG).await;
        }
        let query = engines::fetch_report(id, &order.address).await;
        node.note_queried(id, query.limit);
        node.note_told_warm_up(id, query.warm_up);
        let (ReportOutcome::Received(report), Some(orders)) = (query.outcome, query.orders) else {
            return Reply::Lost;
        };
        node.note_start(id, report.started_ms);
        let membership = report.membership.as_ref();
        let checked = expected.check(membership, orders, group, *epoch);
        if checked.is_err() {
            log::warn!(
                "event=order_dropped cause=group action=join id={id} group={group} expected={:?} \
                 reported={:?} orders={orders}",
                expected.current,
                report.membership
            );
            node.metrics.count(Counter::OrdersDropped, "group");
        }
        keep_report(node, report);
        reply = match checked {
            Ok(orders) => send_order(node, leadership, order, Some(orders)).await,
            Err(reply) => reply,
        };
        // The report may be older than the engine's last order, as may be the list.
        if reply != Reply::Conflict || !may_order(node, leadership, order.fence) {
            break;
        }
    }
    reply
}

/// Executes one output of the planner and reports the result to it.
async fn execute(
    node: Rc<Node>,
    leadership: Rc<RefCell<Leadership>>,
    service: Arc<str>,
    output: Output,
) {
    match output {
        Output::Order(order) => {
            let reply = match &order.expected {
                Some(expected) => send_join(&node, &leadership, &order, expected).await,
                None => send_order(&node, &leadership, &order, None).await,
            };
            let now = node.now();
            let Order {
                endpoint,
                fence,
                action,
                entry,
                ..
            } = &order;
            log::info!(
                "event=order action={} subject={} id={endpoint} fence={fence} reply={reply:?} \
                 epoch={} start={} sequence={}",
                action.name(),
                action.subject(),
                action.epoch().unwrap_or_default(),
                entry.started_ms,
                entry.sequence
            );
            node.metrics.count(Counter::Orders, action.name());
            let mut leadership = leadership.borrow_mut();
            let Some(planner) = leadership.planners.get_mut(&service) else {
                return;
            };
            if planner.handle_reply(now, *fence, endpoint, action, reply) {
                // Another planner may have taken over, so send no more orders until the store
                // confirms the lease.
                log::warn!("event=order_outdated id={endpoint} fence={fence}");
                leadership.lease.give_up();
                set_is_planner(&node, false, *fence);
            }
        }
        Output::Probe { endpoint, address } => {
            let query = engines::fetch_report(&endpoint, &address).await;
            node.note_queried(&endpoint, query.limit);
            node.note_told_warm_up(&endpoint, query.warm_up);
            let answered = query.outcome != ReportOutcome::NoReply;
            if answered {
                node.note_heard(&endpoint);
            } else {
                node.note_path_failure(&endpoint, PathFailure::Quiet);
            }
            let result = match (answered, query.is_connected) {
                (true, _) => ProbeResult::Answered,
                (false, true) => ProbeResult::Silent,
                (false, false) => ProbeResult::Unreachable,
            };
            log::info!(
                "event=probe id={endpoint} answered={answered} connected={}",
                query.is_connected
            );
            if let ReportOutcome::Received(report) = query.outcome {
                keep_report(&node, report);
            }
            node.metrics.count(
                Counter::Probes,
                if answered { "answered" } else { "unanswered" },
            );
            let mut leadership = leadership.borrow_mut();
            let is_conclusive = answered || node.reach.borrow().hears_others(node.now());
            match leadership.planners.get_mut(&service) {
                Some(planner) if is_conclusive => {
                    planner.handle_probe_result(node.now(), &endpoint, result);
                }
                Some(planner) => planner.forget_probe(&endpoint),
                None => {}
            }
        }
    }
    node.endpoints_changed.notify_one();
}
