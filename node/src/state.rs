//! What the tasks of a node share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::balance::{Balancer, Candidate};
use hemlock_lib::node::budget::{Allowance, RetryBudget};
use hemlock_lib::node::capacity::DemandMeter;
use hemlock_lib::node::config::Config;
use hemlock_lib::node::endpoints::{Change, Endpoints, EngineReport, MemberState};
use hemlock_lib::node::load_totals::LoadTotals;
use hemlock_lib::node::peers::{EndpointLoad, Member, Peers};
use hemlock_lib::node::planner::parse_group_name;
use hemlock_lib::node::quarantine::Quarantine;
use hemlock_lib::node::settings::NodeSettings;
use hemlock_lib::time::Time;
use hemlock_platform::store::{Store, Topic};
use hemlock_wire::clock;
use rand::Rng;
use tokio::sync::Notify;

use crate::feed::Feed;
use crate::metrics::{Counter, Metrics};
use crate::pool::Pool;

/// Topics that a VM follows.
const TOPICS: usize = 2;
/// Time between two tries of all VMs together to reach a store that is lost to those that read it.
const SEARCH_EVERY: Duration = Duration::from_millis(50);
/// Part of the store's rate that following topics may take.
const RATE_PART: f64 = 0.25;
/// Pauses after news from the store or a peer.
const GATHER_PLANNER: Duration = Duration::from_millis(40);
const GATHER_STORE: Duration = Duration::from_millis(150);
const GATHER_PEER: Duration = Duration::from_millis(30);

/// One entry VM.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) me: Member,
    pub(crate) store: Store,
    pub(crate) config: RefCell<Option<Rc<Config>>>,
    config_feed: Feed,
    endpoint_feed: Feed,
    pub(crate) endpoints: RefCell<Endpoints>,
    pub(crate) listed: Cell<bool>,
    pub(crate) balance: RefCell<Balancer>,
    pub(crate) budget: RefCell<RetryBudget>,
    pub(crate) quarantine: RefCell<Quarantine>,
    pub(crate) peers: RefCell<Peers>,
    pub(crate) tally: RefCell<LoadTotals>,
    /// What all other VMs have placed, as last told, and when that was.
    pub(crate) others: RefCell<Option<(Time, Vec<EndpointLoad>)>>,
    pub(crate) meter: RefCell<DemandMeter>,
    pub(crate) pool: Pool,
    pub(crate) metrics: Metrics,
    /// When SIGTERM came.
    pub(crate) stopping: Cell<Option<Time>>,
    pub(crate) stop: Notify,
    /// Requests read and not yet answered.
    pub(crate) open: Cell<usize>,
    /// Whether no VM reads the store.
    outage: Cell<bool>,
    /// What engines said of themselves since the store went away, while this VM plans.
    pub(crate) observed: RefCell<BTreeMap<Arc<str>, EngineReport>>,
    /// Until when this VM does not ask to plan, since the store did not answer that.
    pub(crate) unable: Cell<Option<Time>>,
    pub(crate) leads: Cell<bool>,
    /// Whether a caller has come.
    pub(crate) called: Cell<bool>,
    /// Wakes the planner after a change of the endpoints.
    pub(crate) changed: Notify,
    /// Wakes the reading of topics when a peer reaches a store that was lost.
    pub(crate) found: Notify,
    /// Wakes the sender of datagrams when news can't wait.
    pub(crate) urgent: Notify,
    refreshed: Cell<(u64, u64)>,
}

impl Node {
    pub(crate) fn new(settings: NodeSettings) -> Rc<Self> {
        let bounds = &settings.bounds;
        let allowance = Allowance {
            ratio: bounds.repeat_ratio,
            extra: bounds.repeat_extra,
            window: bounds.repeat_window(),
        };
        let me = Member {
            node: settings.node.clone(),
            run: rand::rng().random(),
            zone: settings.zone.clone(),
            cores: settings.cores,
            caller_address: settings.listen.front.to_string(),
            peer_address: settings.listen.peer,
        };
        Rc::new(Self {
            me,
            store: Store::open(settings.store.address),
            config: RefCell::default(),
            config_feed: Feed::default(),
            endpoint_feed: Feed::default(),
            endpoints: RefCell::new(Endpoints::new(bounds.drain())),
            listed: Cell::default(),
            balance: RefCell::new(Balancer::new(bounds.stall())),
            budget: RefCell::new(RetryBudget::new(allowance)),
            quarantine: RefCell::default(),
            peers: RefCell::default(),
            tally: RefCell::default(),
            others: RefCell::default(),
            meter: RefCell::default(),
            pool: Pool::default(),
            metrics: Metrics::default(),
            stopping: Cell::default(),
            stop: Notify::new(),
            open: Cell::default(),
            outage: Cell::default(),
            observed: RefCell::default(),
            unable: Cell::default(),
            leads: Cell::default(),
            called: Cell::default(),
            changed: Notify::new(),
            found: Notify::new(),
            urgent: Notify::new(),
            refreshed: Cell::default(),
            settings,
        })
    }

    pub(crate) fn now(&self) -> Time {
        clock::since_boot()
    }

    pub(crate) fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// Returns the name under which this run asks to plan; another run must not take its terms for
    /// its own.
    pub(crate) fn planner_name(&self) -> String {
        format!("{}-{:x}", self.me.node, self.me.run)
    }

    /// Returns whether this VM takes callers: it has a configuration and endpoints, and isn't
    /// about to stop.
    pub(crate) fn is_ready(&self) -> bool {
        self.stopping.get().is_none() && self.config.borrow().is_some() && self.listed.get()
    }

    /// Notes whether the store answers, and logs a change of that.
    pub(crate) fn store_answers(&self, topic: Topic, up: bool, cause: &dyn std::fmt::Display) {
        if self.feed(topic).up.replace(up) == up {
            return;
        }
        let change = if up { "up" } else { "down" };
        if up {
            log::info!("event=store_regained topic={topic:?} {cause}");
        } else {
            log::warn!("event=store_lost topic={topic:?} cause=\"{cause}\"");
        }
        self.metrics.count(Counter::StoreChanges, change);
        self.check_outage();
        self.urgent.notify_one();
    }

    /// Returns whether no VM reads the store.
    pub(crate) fn is_outage(&self) -> bool {
        self.outage.get()
    }

    /// Takes what an engine says of itself, which counts while the store is away.
    pub(crate) fn observe(&self, held: &EngineReport) {
        if !self.is_outage() {
            return;
        }
        let change = self.endpoints.borrow_mut().observe(held);
        if change != Change::None {
            self.log_change(&held.id, change);
            self.refresh();
        }
    }

    /// Returns whether this VM reads the store itself.
    pub(crate) fn reads_store(&self) -> bool {
        let direct = |f: &Feed| f.up.get() && f.direct.get();
        direct(&self.config_feed) && direct(&self.endpoint_feed)
    }

    /// Returns whether any topic of the store is read, here or at a peer.
    pub(crate) fn store_up(&self) -> bool {
        self.config_feed.up.get() || self.endpoint_feed.up.get()
    }

    /// Notes the begin and the end of an outage of the store as a whole. Entries lapse only then: a
    /// store that only this VM does not reach goes on hearing from the endpoints.
    pub(crate) fn check_outage(&self) {
        let now = self.now();
        let out = !self.store_up() && !self.peers.borrow().any_reaches_store(now);
        if self.outage.replace(out) == out {
            return;
        }
        let mut endpoints = self.endpoints.borrow_mut();
        if out {
            endpoints.store_lost();
        } else {
            endpoints.store_returned(now);
            self.observed.borrow_mut().clear();
        }
        log::info!("event=outage of_all={out} list={}", endpoints.version());
    }

    /// Logs a change of the list of endpoints.
    pub(crate) fn log_change(&self, id: &str, change: Change) {
        let endpoints = self.endpoints.borrow();
        let version = endpoints.version();
        let name = match change {
            Change::None => return,
            Change::Listed => "listed",
            Change::Draining => "draining",
            Change::Membership => "seat",
            Change::Gone => "gone",
            Change::Lapsed => "lapsed",
        };
        let seat = endpoints.get(id).and_then(|e| e.membership.as_ref());
        match seat {
            Some(s) => log::info!(
                "event=endpoint change={name} id={id} group={} rank={} state={:?} list={version}",
                s.group,
                s.rank,
                s.state
            ),
            None => log::info!("event=endpoint change={name} id={id} list={version}"),
        }
    }

    /// Does what only the passing of time calls for.
    pub(crate) fn tick(&self) {
        let now = self.now();
        let expired = self.endpoints.borrow_mut().expire(now);
        for id in &expired {
            self.log_change(id, Change::Gone);
        }
        for name in self.peers.borrow_mut().newly_lost(now) {
            log::info!("event=peer_lost node={name}");
        }
        self.check_outage();
        self.refresh();
        self.pool.expire(now);
    }

    /// Works out which endpoints take requests, if the list or the configuration has changed.
    pub(crate) fn refresh(&self) {
        let Some(config) = self.config() else { return };
        let version = (self.endpoints.borrow().version(), config.version);
        if self.refreshed.replace(version) == version {
            return;
        }
        let endpoints = self.endpoints.borrow();
        let mut candidates = Vec::new();
        for e in endpoints.iter().filter(|e| !e.draining) {
            let service = config.services.get(&e.service);
            if service.is_some_and(|s| s.engine.is_none()) {
                candidates.push(Candidate {
                    id: e.id.clone(),
                    incarnation: (e.started_ms, 0),
                    address: e.address.clone(),
                    zone: e.zone.clone(),
                    service: e.service.clone(),
                    model: None,
                    slots: e.slots,
                    time_factor: 1.0,
                });
            }
        }
        for group in endpoints.groups().values() {
            let service = config.services.get(&group.service);
            let Some(engine) = service.and_then(|s| s.engine.as_ref()) else {
                continue;
            };
            let Some((size, model)) = parse_group_name(&group.name) else {
                continue;
            };
            let Some((head, MemberState::Open)) = group.head() else {
                continue;
            };
            let (Some(head), Some(model)) = (endpoints.get(head), engine.model(model)) else {
                continue;
            };
            if group.draining || !group.is_complete(size) {
                continue;
            }
            candidates.push(Candidate {
                id: head.id.clone(),
                incarnation: (head.started_ms, group.epoch),
                address: head.address.clone(),
                zone: head.zone.clone(),
                service: head.service.clone(),
                model: Some(model.name.clone()),
                slots: engine.slots,
                time_factor: model.time_factor,
            });
        }
        drop(endpoints);
        let before: Vec<Arc<str>> = self.serving();
        self.balance.borrow_mut().set_candidates(candidates);
        let after = self.serving();
        for id in after.iter().filter(|id| !before.contains(id)) {
            log::info!(
                "event=serving id={id} list={} config={}",
                version.0,
                version.1
            );
        }
        for id in before.iter().filter(|id| !after.contains(id)) {
            log::info!(
                "event=not_serving id={id} list={} config={}",
                version.0,
                version.1
            );
            self.pool.drop_endpoint(id);
        }
        self.changed.notify_one();
    }

    fn serving(&self) -> Vec<Arc<str>> {
        let balance = self.balance.borrow();
        balance.candidates().map(|c| c.id.clone()).collect()
    }

    /// Returns what this VM has read of a topic that it serves to others.
    pub(crate) fn feed(&self, topic: Topic) -> &Feed {
        match topic {
            Topic::Config => &self.config_feed,
            _ => &self.endpoint_feed,
        }
    }

    /// Returns the peer at which this VM reads the store's topics, or `None` to read the store.
    pub(crate) fn source(&self, now: Time, avoided: &[(SocketAddr, Time)]) -> Option<SocketAddr> {
        if self.leads.get() {
            return None;
        }
        let avoided: Vec<SocketAddr> = avoided.iter().map(|(a, _)| *a).collect();
        let peers = self.peers.borrow();
        peers.source(now, &self.me, self.is_ready(), &avoided)
    }

    /// Returns the time between two tries to reach a store that nobody reaches. The VMs that read it for
    /// others go on as before; the rest try seldom, but together often enough to find a store that is
    /// only lost to those.
    pub(crate) fn search_pause(&self, now: Time, starts: bool) -> Duration {
        let peers = self.peers.borrow();
        match starts || peers.should_read_store(now, &self.me, self.is_ready()) {
            true => Duration::ZERO,
            false => SEARCH_EVERY * peers.live_vm_count(now) as u32,
        }
    }

    /// Returns the shortest time between two calls to the store on one topic at which all VMs together
    /// keep to a part of its rate, also when each of them reads it.
    pub(crate) fn store_pause(&self) -> Duration {
        let calls = (self.machines() * TOPICS) as f64;
        let rate = self.settings.store.read_rate.max(1.0) * RATE_PART;
        Duration::from_secs_f64(calls / rate)
    }

    /// Returns the pause after news of a topic, so that changes in a row are read at once: short for
    /// the planner, whose next orders wait for them, and where it saves calls to the store.
    pub(crate) fn gather(&self, topic: Topic, source: Option<SocketAddr>) -> Duration {
        match (topic, source) {
            (Topic::Endpoints, None) if self.leads.get() => GATHER_PLANNER,
            (Topic::Endpoints, None) => GATHER_STORE.max(self.store_pause()),
            _ => GATHER_PEER,
        }
    }

    /// Returns how many entry VMs share the budget of repeats.
    pub(crate) fn machines(&self) -> usize {
        self.peers.borrow().live_vm_count(self.now())
    }
}
