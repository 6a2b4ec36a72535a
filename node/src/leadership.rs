//! The planner's duty: asks the store for it, and carries out what the planner decides.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::capacity::{self, Demand};
use hemlock_lib::node::config::Config;
use hemlock_lib::node::planner::{Output, Planner, PlannerInput, Summary};
use hemlock_lib::time::Time;
use hemlock_platform::engines::{self, Report};
use tokio::task::spawn_local;

use crate::metrics::Counter;
use crate::state::Node;

/// Time between two plans, unless the endpoints change.
const PLAN_EVERY: Duration = Duration::from_millis(150);
/// Shortest time between two lines on what a plan found.
const SUMMARY_EVERY: Duration = Duration::from_millis(500);
/// Shortest time between two plans.
const PLAN_PAUSE: Duration = Duration::from_millis(15);
/// Time between two renewals of the duty.
const RENEW_EVERY: Duration = Duration::from_millis(400);
/// Time that the duty lasts without a renewal.
const LEASE: Duration = Duration::from_millis(1_500);
/// Time before its end at which no more orders are sent.
const LEASE_MARGIN: Duration = Duration::from_millis(300);
/// Time for which a VM that could not ask lets others do so.
const UNABLE: Duration = Duration::from_secs(2);
/// Time after the end of the duty in which it is taken up again if the store is away: VMs find that
/// out within a second, and tell each other within another.
const STAY_LIMIT: Duration = Duration::from_secs(4);
/// Time after the start in which peers are heard of, so that one VM asks for the duty.
const LISTEN_FIRST: Duration = Duration::from_millis(700);

/// The duty of one engine service after the other.
#[derive(Debug, Default)]
struct Duty {
    planners: BTreeMap<Arc<str>, Planner>,
    generation: u64,
    until: Option<Time>,
    /// When it last ended without another VM taking over; the store's outage may be the reason.
    lapsed: Option<Time>,
    /// Whether it is held without the store.
    alone: bool,
    /// The summary that was logged last, and when.
    logged: Option<(Time, Summary)>,
}

/// Holds the duty whenever this VM should, for good.
pub(crate) async fn run(node: Rc<Node>) {
    let duty = Rc::new(RefCell::new(Duty::default()));
    spawn_local(renew(node.clone(), duty.clone()));
    loop {
        let changed = node.endpoints_changed.notified();
        let _ = tokio::time::timeout(PLAN_EVERY, changed).await;
        tokio::time::sleep(PLAN_PAUSE).await;
        plan(&node, &duty);
    }
}

/// Asks the store for the duty while this VM should have it, and gives it back otherwise.
async fn renew(node: Rc<Node>, duty: Rc<RefCell<Duty>>) {
    let lease = LEASE.max(Duration::from_millis(node.settings.store.lease_ms));
    let mut asks = false;
    tokio::time::sleep(LISTEN_FIRST).await;
    loop {
        let now = node.now();
        if stay(&node, &duty, now, lease) {
            tokio::time::sleep(RENEW_EVERY).await;
            continue;
        }
        let held = duty.borrow().until.is_some_and(|t| t > now);
        let unable = node.lease_backoff_until.get().is_some_and(|t| t > now);
        let first = !unable && node.peers.borrow().should_plan(now, &node.identity);
        let should = held || first;
        if should && node.is_ready() {
            asks = true;
            ask(&node, &duty, now, lease).await;
        } else if asks {
            // A member that stays in the group without need would get the duty some day.
            match node.store.leave(&node.planner_name()).await {
                Ok(()) => asks = false,
                Err(e) => log::warn!("event=duty_unreturned cause=\"{e}\""),
            }
        }
        if duty.borrow().until.is_none_or(|t| t <= node.now()) {
            lead(&node, false, duty.borrow().generation);
        }
        tokio::time::sleep(RENEW_EVERY).await;
    }
}

/// Goes on to plan while no VM reaches the store, so that nobody else can take over: engines refuse
/// older fencing tokens once another planner has used its own. Returns whether it does.
fn stay(node: &Node, duty: &RefCell<Duty>, now: Time, lease: Duration) -> bool {
    let mut duty = duty.borrow_mut();
    let held = duty.until.is_some_and(|t| t > now);
    if held {
        duty.lapsed = Some(now);
    }
    let recent = duty.lapsed.is_some_and(|t| now.since(t) < STAY_LIMIT);
    let stays = node.is_outage() && recent && node.peers.borrow().may_keep_planning(now);
    if stays != duty.alone {
        duty.alone = stays;
        log::info!(
            "event=duty_alone stays={stays} fence={} outage={}",
            duty.generation,
            node.is_outage()
        );
        if !stays {
            // The store says who plans from now on.
            duty.until = None;
        }
    }
    if !stays {
        return false;
    }
    duty.until = Some(now + lease);
    duty.lapsed = Some(now);
    let fence = duty.generation;
    drop(duty);
    lead(node, true, fence);
    true
}

async fn ask(node: &Node, duty: &RefCell<Duty>, now: Time, lease: Duration) {
    let generation = duty.borrow().generation;
    let name = node.planner_name();
    let joined = node.store.join(&name, generation, lease).await;
    let term = match joined {
        Ok(term) => term,
        Err(e) => {
            log::warn!("event=duty_unrenewed cause=\"{e}\"");
            node.lease_backoff_until.set(Some(now + UNABLE));
            return;
        }
    };
    node.lease_backoff_until.set(None);
    if term.generation != generation {
        log::info!(
            "event=duty_asked holds={} fence={} before={generation}",
            term.holds,
            term.generation
        );
    }
    let mut duty = duty.borrow_mut();
    duty.generation = term.generation;
    // The lease runs from the call's arrival, which is later than its start.
    duty.until = term.holds.then(|| now + lease - LEASE_MARGIN);
    if !term.holds {
        duty.lapsed = None;
    }
    drop(duty);
    lead(node, term.holds, term.generation);
}

fn lead(node: &Node, holds: bool, generation: u64) {
    if node.is_planner.replace(holds) != holds {
        let change = if holds { "gained" } else { "lost" };
        log::info!("event=duty change={change} fence={generation}");
        node.metrics.count(Counter::DutyChanges, change);
        node.send_now.notify_one();
    }
}

fn plan(node: &Rc<Node>, duty: &Rc<RefCell<Duty>>) {
    let Some(config) = node.config() else { return };
    let now = node.now();
    let mut state = duty.borrow_mut();
    // What is held without the store ends with its return.
    let confirmed = !state.alone || node.is_outage();
    let leads = state.until.is_some_and(|t| t > now) && node.is_planner.get() && confirmed;
    if !leads {
        state.planners.values_mut().for_each(Planner::end_term);
        return;
    }
    let generation = state.generation;
    let state = &mut *state;
    let logged = &mut state.logged;
    for service in engine_services(&config) {
        let mut out = Vec::new();
        let silent = silent(node, now);
        let demand = demand(node, now);
        let endpoints = node.endpoints.borrow();
        let Some(engine) = config
            .services
            .get(&service)
            .and_then(|s| s.engine.as_ref())
        else {
            continue;
        };
        let scene = PlannerInput {
            service: &service,
            engine,
            endpoints: &endpoints,
            silent: &silent,
            demand: &demand,
            before_traffic: !node.has_traffic.get() && !node.peers.borrow().any_has_traffic(now),
            list_frozen: node.is_outage(),
        };
        let planner = state.planners.entry(service.clone()).or_default();
        planner.begin_term(generation);
        planner.step(now, &scene, &mut out);
        log_summary(now, &service, planner, logged);
        for output in out {
            spawn_local(carry_out(
                node.clone(),
                duty.clone(),
                service.clone(),
                output,
            ));
        }
    }
}

/// Logs what a plan found, if it differs from what was logged and that was a while ago.
fn log_summary(now: Time, service: &str, planner: &Planner, logged: &mut Option<(Time, Summary)>) {
    let found = planner.summary();
    let due = |(at, old): &(Time, Summary)| now.since(*at) >= SUMMARY_EVERY && old != found;
    if logged.as_ref().is_some_and(|l| !due(l)) {
        return;
    }
    *logged = Some((now, found.clone()));
    let Summary {
        usable,
        free,
        loading,
        serving,
        forming,
        ending,
        models,
    } = found;
    let models: Vec<String> = models
        .iter()
        .map(|m| format!("{}:{}/{}/{}", m.model, m.assigned, m.target, m.warm))
        .collect();
    let models = models.join(",");
    log::info!(
        "event=plan service={service} usable={usable} free={free} loading={loading} \
         serving={serving} forming={forming} ending={ending} models={models}"
    );
}

fn engine_services(config: &Config) -> Vec<Arc<str>> {
    let engines = config.services.values().filter(|s| s.engine.is_some());
    engines.map(|s| s.name.clone()).collect()
}

/// Adds up what this VM and its peers see.
fn demand(node: &Node, now: Time) -> BTreeMap<Arc<str>, Demand> {
    let own = node.demand_meter.borrow().demand(now);
    let peers = node.peers.borrow();
    let news = peers.heartbeats(now).flat_map(|(n, _)| &n.demand);
    let heard = news.map(|(model, d)| (model.as_str(), d));
    capacity::combined_demand(own.iter().map(|(m, d)| (&**m, d)).chain(heard))
}

/// Lists the heads that this VM or a peer finds silent, and those that nobody has heard of for a
/// moment.
fn silent(node: &Node, now: Time) -> BTreeSet<Arc<str>> {
    let balancer = node.balancer.borrow();
    let silent = |id: &&Arc<str>| balancer.is_silent(now, id);
    let ids = balancer.candidates().map(|c| &c.id);
    let silent = ids.filter(silent);
    silent.chain(balancer.suspects(now)).cloned().collect()
}

async fn carry_out(node: Rc<Node>, duty: Rc<RefCell<Duty>>, service: Arc<str>, output: Output) {
    match output {
        Output::Order {
            endpoint,
            address,
            fence,
            action,
        } => {
            let reply = engines::order(&address, fence, &action).await;
            let now = node.now();
            log::info!(
                "event=order action={} subject={} id={endpoint} fence={fence} reply={reply:?}",
                action.name(),
                action.subject()
            );
            node.metrics.count(Counter::Orders, action.name());
            let mut duty = duty.borrow_mut();
            let Some(planner) = duty.planners.get_mut(&service) else {
                return;
            };
            if planner.handle_reply(now, &endpoint, &action, reply) {
                // Another planner may have taken over: nothing more until the store confirms the
                // duty.
                log::warn!("event=order_outdated id={endpoint} fence={fence}");
                duty.until = None;
                duty.lapsed = None;
                lead(&node, false, fence);
            }
        }
        Output::Probe { endpoint, address } => {
            let report = engines::report(&endpoint, &address).await;
            let answered = report != Report::Missing;
            log::info!("event=probe id={endpoint} answered={answered}");
            if let Report::Holds(held) = report
                && node.is_outage()
            {
                node.apply_engine_report(&held);
                let mut observed = node.engine_reports.borrow_mut();
                if observed.insert(held.id.clone(), held.clone()) != Some(held) {
                    node.send_now.notify_one();
                }
            }
            node.metrics.count(
                Counter::Probes,
                if answered { "answered" } else { "unanswered" },
            );
            let mut duty = duty.borrow_mut();
            if let Some(planner) = duty.planners.get_mut(&service) {
                planner.handle_probe_result(&endpoint, answered);
            }
        }
    }
    node.endpoints_changed.notify_one();
}
