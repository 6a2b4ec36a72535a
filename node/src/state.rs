//! State that the tasks of a node share.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::balance::{Balancer, Candidate};
use hemlock_lib::node::budget::{Allowance, RetryBudget};
use hemlock_lib::node::cache::Entry;
use hemlock_lib::node::capacity::DemandMeter;
use hemlock_lib::node::config::Config;
use hemlock_lib::node::endpoints::{Change, Endpoints, EngineReport, MemberState};
use hemlock_lib::node::evacuation::Evacuations;
use hemlock_lib::node::load_totals::LoadTotals;
use hemlock_lib::node::memory::{DEFAULT_LIMIT_MB, Memory};
use hemlock_lib::node::own_delay::OwnDelay;
use hemlock_lib::node::passing::{PeerLoads, Secret, Secrets};
use hemlock_lib::node::peer_paths::{PeerPath, PeerPaths};
use hemlock_lib::node::peers::{EndpointLoad, Member, Peers};
use hemlock_lib::node::planner::parse_group_name;
use hemlock_lib::node::quarantine::{Quarantine, Suspects};
use hemlock_lib::node::rate_limits::{Announced, LimitChange};
use hemlock_lib::node::reach::{PathFailure, PathState, Reach};
use hemlock_lib::node::replaced_configs::ReplacedConfigs;
use hemlock_lib::node::settings::NodeSettings;
use hemlock_lib::node::source;
use hemlock_lib::time::Time;
use hemlock_platform::store::{Store, Topic};
use hemlock_wire::clock;
use hemlock_wire::http1::Received;
use rand::Rng;
use tokio::sync::Notify;

use crate::evacuations;
use crate::feed::Feed;
use crate::metrics::{Counter, Metrics};
use crate::pool::Pool;
use crate::stop::Stop;

/// Number of topics that a VM reads continuously.
const TOPICS: usize = 2;
/// Share of the store's rate that reads of topics may use.
const READ_RATE_SHARE: f64 = 0.25;
/// Pause after new endpoint records from the store, on the planner.
const PLANNER_BATCHING_DELAY: Duration = Duration::from_millis(40);
/// Pause after new endpoint records from the store, on other VMs.
const STORE_BATCHING_DELAY: Duration = Duration::from_millis(150);
/// Time before the present in which this VM's own delay is left out when endpoints are found quiet.
const DELAY_WINDOW: Duration = Duration::from_secs(2);
/// Pause after other new records.
const PEER_BATCHING_DELAY: Duration = Duration::from_millis(30);

/// The state of one entry VM.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) identity: Member,
    /// When this process started.
    pub(crate) started: Time,
    pub(crate) store: Store,
    pub(crate) config: RefCell<Option<Rc<Config>>>,
    /// Configurations that were in force before, for requests of peers.
    pub(crate) replaced_configs: RefCell<ReplacedConfigs>,
    config_feed: Feed,
    endpoint_feed: Feed,
    pub(crate) endpoints: RefCell<Endpoints>,
    /// Zones that the operators have evacuated.
    pub(crate) evacuations: RefCell<Evacuations>,
    /// Keys of odd records of evacuations that were logged.
    pub(crate) odd_evacuations: RefCell<BTreeSet<String>>,
    /// Whether the list of endpoints was read.
    pub(crate) endpoints_listed: Cell<bool>,
    pub(crate) balancer: RefCell<Balancer>,
    pub(crate) retry_budget: RefCell<RetryBudget>,
    pub(crate) quarantine: RefCell<Quarantine>,
    pub(crate) peers: RefCell<Peers>,
    /// For how long this VM was not run.
    pub(crate) own_delay: OwnDelay,
    /// Evidence of whether this VM reaches endpoints.
    pub(crate) reach: RefCell<Reach>,
    /// Reports of peers on their own paths to endpoints.
    pub(crate) peer_paths: RefCell<PeerPaths>,
    pub(crate) load_totals: RefCell<LoadTotals>,
    /// Load that all other VMs have on endpoints, as last reported, and the time of that report.
    pub(crate) other_loads: RefCell<Option<(Time, Vec<EndpointLoad>)>>,
    pub(crate) demand_meter: RefCell<DemandMeter>,
    /// Usable engines that serve nobody, as the planner of this VM counted last.
    pub(crate) idle_engines: Cell<usize>,
    pub(crate) pool: Pool,
    /// Memory that open requests hold.
    pub(crate) memory: RefCell<Memory>,
    /// What connections from outside have buffered.
    pub(crate) received: Arc<Received>,
    /// Idle connections to peers that take requests of this VM, by the names of the peers.
    pub(crate) peer_pool: Pool,
    /// Requests that this VM has passed on to peers.
    pub(crate) peer_loads: RefCell<PeerLoads>,
    /// Secret that peers must present to pass requests on to this VM.
    pub(crate) own_secret: Secret,
    /// Secrets of the peers.
    pub(crate) secrets: RefCell<Secrets>,
    /// Wakes the task that reads the members when the secret of a peer is missing.
    pub(crate) secrets_missing: Notify,
    pub(crate) metrics: Metrics,
    pub(crate) stop: Stop,
    /// Record of the configuration in force.
    pub(crate) config_record: RefCell<Option<Entry>>,
    /// Since when a peer has had a newer configuration.
    pub(crate) config_behind_since: Cell<Option<Time>>,
    /// Whether a newer configuration is being read from a peer that is not the source.
    pub(crate) config_read: Cell<bool>,
    /// Highest era that the store has stated.
    pub(crate) store_era: Cell<u64>,
    /// Whether no VM can read the store.
    outage: Cell<bool>,
    /// Reports of engines that this VM has queried as the planner since the store became
    /// unreachable.
    pub(crate) engine_reports: RefCell<BTreeMap<Arc<str>, EngineReport>>,
    /// Until when this VM does not ask for the planner's lease, since the last request for it
    /// failed.
    pub(crate) lease_backoff_until: Cell<Option<Time>>,
    /// Whether this VM is the planner.
    pub(crate) is_planner: Cell<bool>,
    /// Whether a caller's request was ever relayed.
    pub(crate) has_traffic: Cell<bool>,
    /// Wakes the planner after a change of the endpoints.
    pub(crate) endpoints_changed: Notify,
    /// Whether the list of members was read.
    pub(crate) members_read: Cell<bool>,
    /// Wakes the task that keeps this VM listed as a member, when the store may have lost its record.
    pub(crate) members_outdated: Notify,
    /// Wakes the reads of topics when a peer reaches a store that was lost.
    pub(crate) store_found: Notify,
    /// Wakes the watch of the path when an endpoint fails or a probe has ended.
    pub(crate) path_evidence: Notify,
    /// Wakes the sender of datagrams when a change can't wait for the next interval.
    pub(crate) send_now: Notify,
    /// Whether the next heartbeat is to announce a new configuration.
    pub(crate) announces_config: Cell<bool>,
    /// Versions of the list of endpoints and of the configuration from which the candidates were
    /// computed.
    candidates_version: Cell<(u64, u64)>,
    /// Version of the list of endpoints for which evidence of the path is kept.
    listed_version: Cell<u64>,
}

impl Node {
    pub(crate) fn new(settings: NodeSettings) -> Rc<Self> {
        let bounds = &settings.bounds;
        let allowance = Allowance {
            ratio: bounds.repeat_ratio,
            extra: bounds.repeat_extra,
            window: bounds.repeat_window(),
        };
        let identity = Member {
            node: settings.node.clone(),
            run: rand::rng().random(),
            zone: settings.zone.clone(),
            cores: settings.cores,
            caller_address: settings.listen.front.to_string(),
            peer_address: settings.listen.peer,
        };
        let own_delay = OwnDelay::default();
        let mut balancer = Balancer::new(&settings.node, bounds.stall());
        let warm_ups = balancer.limits_mut().warm_ups_mut();
        warm_ups.set_bound(bounds.warm_up());
        let memory = Memory::new(settings.memory_mb.unwrap_or(DEFAULT_LIMIT_MB));
        Rc::new(Self {
            identity,
            started: clock::since_boot(),
            store: Store::new(settings.store.address),
            config: RefCell::default(),
            replaced_configs: RefCell::default(),
            config_feed: Feed::default(),
            endpoint_feed: Feed::default(),
            endpoints: RefCell::new(Endpoints::new(bounds.drain())),
            evacuations: RefCell::default(),
            odd_evacuations: RefCell::default(),
            endpoints_listed: Cell::default(),
            balancer: RefCell::new(balancer),
            retry_budget: RefCell::new(RetryBudget::new(clock::since_boot(), allowance)),
            quarantine: RefCell::default(),
            peers: RefCell::new(Peers::new(own_delay.clone())),
            own_delay,
            reach: RefCell::default(),
            peer_paths: RefCell::default(),
            load_totals: RefCell::default(),
            other_loads: RefCell::default(),
            demand_meter: RefCell::default(),
            idle_engines: Cell::default(),
            pool: Pool::default(),
            received: Received::new(memory.buffer_bound()),
            memory: RefCell::new(memory),
            peer_pool: Pool::default(),
            peer_loads: RefCell::default(),
            own_secret: Secret::random(),
            secrets: RefCell::default(),
            secrets_missing: Notify::new(),
            metrics: Metrics::default(),
            stop: Stop::default(),
            config_record: RefCell::default(),
            config_behind_since: Cell::default(),
            config_read: Cell::default(),
            store_era: Cell::default(),
            outage: Cell::default(),
            engine_reports: RefCell::default(),
            lease_backoff_until: Cell::default(),
            is_planner: Cell::default(),
            has_traffic: Cell::default(),
            endpoints_changed: Notify::new(),
            members_read: Cell::default(),
            members_outdated: Notify::new(),
            store_found: Notify::new(),
            path_evidence: Notify::new(),
            send_now: Notify::new(),
            announces_config: Cell::default(),
            candidates_version: Cell::default(),
            listed_version: Cell::default(),
            settings,
        })
    }

    pub(crate) fn now(&self) -> Time {
        clock::since_boot()
    }

    /// Returns the configuration in force, if one was read.
    pub(crate) fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// Returns the name under which this run asks for the planner's lease. It differs from run to
    /// run, so that a later run does not mistake the lease of an earlier one for its own.
    pub(crate) fn planner_name(&self) -> String {
        format!("{}-{:x}", self.identity.node, self.identity.run)
    }

    /// Returns whether this VM accepts callers: it has a configuration and a list of endpoints, and
    /// is not stopping.
    pub(crate) fn is_ready(&self) -> bool {
        !self.stop.is_stopping() && self.config.borrow().is_some() && self.endpoints_listed.get()
    }

    /// Sets whether the store answers reads of a topic, and logs a change.
    pub(crate) fn set_store_state(
        &self,
        topic: Topic,
        answers: bool,
        cause: &dyn std::fmt::Display,
    ) {
        if self.feed(topic).store_up.replace(answers) == answers {
            return;
        }
        let change = if answers { "up" } else { "down" };
        if answers {
            log::info!("event=store_regained topic={topic:?} {cause}");
        } else {
            log::warn!("event=store_lost topic={topic:?} cause=\"{cause}\"");
        }
        self.metrics.count(Counter::StoreChanges, change);
        self.check_outage();
        self.send_now.notify_one();
    }

    /// Records the era of a topic that was read, and logs a new one.
    pub(crate) fn note_store_era(&self, topic: Topic, era: u64) {
        let before = self.store_era.get();
        if era <= before {
            return;
        }
        self.store_era.set(era);
        log::warn!("event=store_era topic={topic:?} era={era} before={before}");
        self.members_outdated.notify_one();
    }

    /// Returns whether no VM can read the store.
    pub(crate) fn is_outage(&self) -> bool {
        self.outage.get()
    }

    /// Applies what an engine reports of itself to the list of endpoints, if no VM can read the
    /// store.
    pub(crate) fn apply_report(&self, report: &EngineReport) {
        if !self.is_outage() {
            return;
        }
        let change = self.endpoints.borrow_mut().observe(report);
        if change != Change::None {
            self.log_endpoint_change(&report.id, change);
            self.refresh_candidates();
        }
    }

    /// Stops sending requests to an endpoint that says in an answer that it is about to stop.
    pub(crate) fn note_leaving(&self, id: &Arc<str>, started_ms: u64) {
        let change = self.endpoints.borrow_mut().mark_leaving(id, started_ms);
        if change != Change::None {
            self.log_endpoint_change(id, change);
            self.refresh_candidates();
        }
    }

    /// Sets the zones to whose endpoints nothing new is sent.
    pub(crate) fn set_evacuated(&self, zones: &BTreeSet<Arc<str>>) {
        self.balancer.borrow_mut().set_evacuated(zones.clone());
        self.endpoints.borrow_mut().set_evacuated(zones.clone());
        self.endpoints_changed.notify_one();
    }

    /// Returns whether an endpoint is in an evacuated zone.
    fn is_evacuated(&self, id: &str) -> bool {
        let endpoints = self.endpoints.borrow();
        endpoints.get(id).is_some_and(|e| endpoints.is_evacuated(e))
    }

    /// Records what an endpoint announces in an answer about the requests that it takes.
    pub(crate) fn note_limit(&self, id: &Arc<str>, started_ms: u64, announced: Announced) {
        let now = self.now();
        let mut balancer = self.balancer.borrow_mut();
        let limits = balancer.limits_mut();
        let change = limits.record_answer(now, id, started_ms, announced);
        self.log_limit(id, change, &self.identity.node);
    }

    /// Records a query of an endpoint, and the limit that its reply announces. Only answers to
    /// requests tell that a limit has ended, since a query may be answered by another part of it.
    pub(crate) fn note_queried(&self, id: &Arc<str>, announced: Option<Announced>) {
        self.balancer
            .borrow_mut()
            .limits_mut()
            .record_send(self.now(), id);
        let started_ms = self.endpoints.borrow().get(id).map(|e| e.started_ms);
        if let (Some(announced), Some(started_ms)) = (announced, started_ms)
            && announced != Announced::Nothing
        {
            self.note_limit(id, started_ms, announced);
        }
    }

    /// Logs and counts a change of what is known of an endpoint's limit, heard by the VM `from`.
    pub(crate) fn log_limit(&self, id: &str, change: LimitChange, from: &str) {
        let kind = match change {
            LimitChange::None => return,
            LimitChange::Set(rate) => {
                log::info!("event=limit id={id} per_s={rate} from={from}");
                "set"
            }
            LimitChange::Ended => {
                log::info!("event=limit_ended id={id} from={from}");
                "ended"
            }
            LimitChange::Malformed => {
                log::warn!("event=limit_malformed id={id} from={from}");
                "malformed"
            }
        };
        self.metrics.count(Counter::LimitChanges, kind);
    }

    /// Returns whether this VM reaches endpoints.
    pub(crate) fn path_state(&self, now: Time) -> PathState {
        self.reach.borrow().state(now)
    }

    /// Records that bytes arrived from an endpoint.
    pub(crate) fn note_heard(&self, endpoint: &Arc<str>) {
        self.reach.borrow_mut().record_heard(self.now(), endpoint);
    }

    /// Records that a connection to an endpoint was opened.
    pub(crate) fn note_connected(&self, endpoint: &Arc<str>) {
        let mut reach = self.reach.borrow_mut();
        reach.record_connected(self.now(), endpoint);
    }

    /// Records that an endpoint failed to answer, and has the path checked.
    ///
    /// An endpoint of an evacuated zone may be shut down at any time, which says nothing about the
    /// path of this VM.
    pub(crate) fn note_path_failure(&self, endpoint: &Arc<str>, failure: PathFailure) {
        if self.is_evacuated(endpoint) {
            return;
        }
        let mut reach = self.reach.borrow_mut();
        reach.record_failure(self.now(), endpoint, failure);
        if !reach.is_calm() {
            self.path_evidence.notify_one();
        }
    }

    /// Returns the peers that said recently that they reach endpoints.
    pub(crate) fn peers_with_path(&self, now: Time) -> Vec<PeerPath> {
        self.peer_paths.borrow().with_path(now)
    }

    /// Confirms the crashes of endpoints that are not due to a cut of this VM; returns whether there
    /// is something new to report.
    pub(crate) fn confirm_crashes(&self, now: Time) -> bool {
        let until = self.reach.borrow().crashes_confirmed_until(now);
        self.quarantine.borrow_mut().confirm_crashes(until)
    }

    /// Returns whether this VM reads the store itself.
    pub(crate) fn reads_store(&self) -> bool {
        let reads_directly = |f: &Feed| f.store_up.get() && f.direct.get();
        reads_directly(&self.config_feed) && reads_directly(&self.endpoint_feed)
    }

    /// Returns whether a newer configuration than this one is in force elsewhere, or may be while the
    /// store can't be read.
    pub(crate) fn may_be_outdated(&self, config: &Config) -> bool {
        let peers = self.peers.borrow();
        !self.config_feed.store_up.get() || peers.any_newer_config(self.now(), config.version)
    }

    /// Returns whether any topic can be read, from the store itself or through a peer.
    pub(crate) fn store_up(&self) -> bool {
        self.config_feed.store_up.get() || self.endpoint_feed.store_up.get()
    }

    /// Detects the start and the end of an outage of the store as a whole. Only then do entries of
    /// endpoints lapse: a store that only this VM does not reach still receives the endpoints'
    /// updates.
    pub(crate) fn check_outage(&self) {
        let now = self.now();
        let is_out = !self.store_up() && !self.peers.borrow().any_reaches_store(now);
        if self.outage.replace(is_out) == is_out {
            return;
        }
        let mut endpoints = self.endpoints.borrow_mut();
        if is_out {
            endpoints.store_lost();
        } else {
            endpoints.store_returned(now);
            self.engine_reports.borrow_mut().clear();
        }
        log::info!("event=outage of_all={is_out} list={}", endpoints.version());
    }

    /// Returns whether a request is to be refused because it crashes endpoints, and logs why.
    pub(crate) fn is_quarantined(&self, now: Time, request_id: &str, suspects: &Suspects) -> bool {
        let suspect = self.quarantine.borrow_mut().check(now, suspects);
        if let Some(suspect) = suspect {
            log::info!("event=quarantined request={request_id} suspect={suspect}");
        }
        suspect.is_some()
    }

    /// Removes what has expired: endpoints, peers and idle connections.
    pub(crate) fn tick(&self) {
        let now = self.now();
        let expired = self.endpoints.borrow_mut().expire(now);
        for id in &expired {
            self.log_endpoint_change(id, Change::Gone);
        }
        let settled = self.endpoints.borrow_mut().settle(now);
        for (id, change) in settled {
            self.log_endpoint_change(&id, change);
        }
        for name in self.peers.borrow_mut().newly_lost(now) {
            log::info!("event=peer_lost node={name}");
        }
        for part in self.quarantine.borrow_mut().newly_refused() {
            log::warn!("event=quarantine suspect={part}");
            self.metrics.count(Counter::Quarantined, "part");
        }
        self.check_outage();
        self.refresh_candidates();
        self.note_entry_vms(now);
        self.update_warm_up_vms();
        let is_alone = self.entry_vm_count() == 1;
        self.balancer.borrow_mut().set_alone(is_alone);
        evacuations::log_empty(self);
        self.replaced_configs.borrow_mut().expire(now);
        self.pool.expire(now);
        self.peer_pool.expire(now);
        if self.confirm_crashes(now) {
            self.send_now.notify_one();
        }
        let missed = self.own_delay.not_run(now - DELAY_WINDOW, now);
        let quiet = self.balancer.borrow().quiet_endpoints(now - missed);
        for id in &quiet {
            self.note_path_failure(id, PathFailure::Quiet);
        }
        let endpoints = self.endpoints.borrow();
        if self.listed_version.replace(endpoints.version()) != endpoints.version() {
            let is_listed = |id: &str| {
                endpoints
                    .get(id)
                    .is_some_and(|e| !endpoints.is_evacuated(e))
            };
            self.reach.borrow_mut().retain_listed(is_listed);
        }
    }

    /// Has the retry budget divided among the entry VMs that this one knows, once it has read their list.
    pub(crate) fn note_entry_vms(&self, now: Time) {
        if self.members_read.get() {
            let count = self.peers.borrow().vm_count_bound(now);
            self.retry_budget.borrow_mut().record_entry_vms(now, count);
        }
    }

    /// Computes which endpoints accept requests, if the list of endpoints or the configuration has
    /// changed.
    pub(crate) fn refresh_candidates(&self) {
        let Some(config) = self.config() else { return };
        let version = (self.endpoints.borrow().version(), config.version);
        if self.candidates_version.replace(version) == version {
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
        self.note_warm_ups(&config);
        let before: Vec<Arc<str>> = self.serving_endpoints();
        self.balancer.borrow_mut().set_candidates(candidates);
        let endpoints = self.endpoints.borrow();
        let is_listed = |id: &str| endpoints.get(id).is_some();
        self.balancer.borrow_mut().limits_mut().retain(is_listed);
        self.balancer.borrow_mut().breaks_mut().retain(is_listed);
        drop(endpoints);
        let after = self.serving_endpoints();
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
        self.endpoints_changed.notify_one();
    }

    fn serving_endpoints(&self) -> Vec<Arc<str>> {
        let balancer = self.balancer.borrow();
        balancer.candidates().map(|c| c.id.clone()).collect()
    }

    /// Returns the feed of a topic that this VM serves to others.
    pub(crate) fn feed(&self, topic: Topic) -> &Feed {
        match topic {
            Topic::Config => &self.config_feed,
            _ => &self.endpoint_feed,
        }
    }

    /// Returns the peer from which this VM reads the topics, or `None` if it reads the store
    /// itself.
    pub(crate) fn choose_source(
        &self,
        now: Time,
        avoided: &[(SocketAddr, Time)],
    ) -> Option<SocketAddr> {
        if self.is_planner.get() {
            return None;
        }
        let avoided: Vec<SocketAddr> = avoided.iter().map(|(a, _)| *a).collect();
        let peers = self.peers.borrow();
        peers.source(now, &self.identity, self.is_ready(), &avoided)
    }

    /// Returns the pause between two attempts to reach a store that this VM can't read.
    pub(crate) fn store_search_pause(&self, now: Time, is_starting: bool) -> Duration {
        let peers = self.peers.borrow();
        source::search_pause(now, &peers, &self.identity, self.is_ready(), is_starting)
    }

    /// Returns the minimum interval between two calls to the store for one topic with which all VMs
    /// together stay within [`READ_RATE_SHARE`] of its rate, even if each of them reads the store.
    pub(crate) fn min_store_interval(&self) -> Duration {
        let calls = (self.entry_vm_count() * TOPICS) as f64;
        let rate = self.settings.store.read_rate.max(1.0) * READ_RATE_SHARE;
        Duration::from_secs_f64(calls / rate)
    }

    /// Returns the pause after new records of a topic, so that changes in quick succession are read
    /// together. It is short for the planner, whose next orders wait for them, and long where it
    /// saves calls to the store.
    pub(crate) fn batching_delay(&self, topic: Topic, source: Option<SocketAddr>) -> Duration {
        match (topic, source) {
            (Topic::Endpoints, None) if self.is_planner.get() => PLANNER_BATCHING_DELAY,
            (Topic::Endpoints, None) => STORE_BATCHING_DELAY.max(self.min_store_interval()),
            _ => PEER_BATCHING_DELAY,
        }
    }

    /// Returns the number of entry VMs that are alive, including this one.
    pub(crate) fn entry_vm_count(&self) -> usize {
        self.peers.borrow().live_vm_count(self.now())
    }
}
