//! The other entry VMs: which ones are live, accept callers and reach the store, and the load that
//! they have on endpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::breaks::BreakReport;
use super::cache::Position;
use super::capacity::Demand;
use super::endpoints::EngineReport;
use super::own_delay::OwnDelay;
use super::peer_paths::{PathQuery, PathReply};
use super::quarantine::Report;
use super::rate_limits::LimitNews;
use super::reach::PathState;
use crate::time::Time;

/// A peer counts as lost once this many heartbeats in a row are missing and the delay has passed as
/// well.
const MAX_MISSED_HEARTBEATS: u32 = 4;
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_millis(300);
/// Time for which a listed member that has sent no heartbeat yet counts as live, because it may be
/// starting.
const STARTUP_TIME: Duration = Duration::from_secs(4);
/// Time without a heartbeat after which callers are not sent to a VM, unless its heartbeats are further
/// apart than that. Callers keep an address for seconds more.
const ADVISED_SILENCE: Duration = Duration::from_secs(4);
/// Number of entry VMs that read the store on behalf of all others.
const STORE_READERS: usize = 2;
/// Time after which the record of a silent peer is removed.
const RECORD_RETENTION: Duration = Duration::from_secs(120);

/// Record of an entry VM in the member list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the entry VM.
    pub node: String,
    /// Random number that identifies this start of the process.
    pub run: u64,
    /// Zone of the entry VM.
    pub zone: String,
    /// Fraction of a CPU core available to the entry VM.
    pub cores: f64,
    /// Address for callers, as host and port.
    #[serde(rename = "front")]
    pub caller_address: String,
    /// Address for datagrams.
    #[serde(rename = "peer")]
    pub peer_address: SocketAddr,
}

/// Load that entry VMs have on one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Identifier of the endpoint; the head's for a group.
    pub endpoint: String,
    /// Requests in flight to the endpoint.
    pub requests: u16,
    /// Prompt tokens of the requests that still wait for their first event.
    #[serde(rename = "unread")]
    pub pending_prompt_tokens: u32,
    /// Milliseconds since the endpoint last sent something; `u16::MAX` if it has sent nothing yet.
    #[serde(rename = "quiet_ms")]
    pub since_progress_ms: u16,
}

/// State that an entry VM sends to all others at regular intervals.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Member record of the sender.
    pub member: Member,
    /// Sequence number of the datagram within a run.
    #[serde(rename = "count")]
    pub sequence: u64,
    /// Whether the sender accepts callers.
    pub ready: bool,
    /// Version of the configuration that the sender uses.
    #[serde(rename = "config")]
    pub config_version: u64,
    /// Whether the store answers the sender, or the VM through which it reads the store, and the
    /// sender may become the planner: it is not cut off from the endpoints.
    #[serde(rename = "store")]
    pub reaches_store: bool,
    /// Whether the sender reads the store directly, so that others may read through it.
    #[serde(rename = "reads")]
    pub reads_store: bool,
    /// Whether the sender is the planner.
    #[serde(rename = "leads")]
    pub is_planner: bool,
    /// Whether a caller has sent a request to the sender.
    #[serde(rename = "called")]
    pub has_traffic: bool,
    /// Milliseconds until the sender's next heartbeat.
    #[serde(rename = "every_ms")]
    pub interval_ms: u32,
    /// Positions up to which the sender has read the configuration and the endpoint list.
    #[serde(rename = "read")]
    pub read_positions: [Position; 2],
    /// Demand for each model, as measured by the sender.
    pub demand: BTreeMap<String, Demand>,
    /// Load that the sender has on endpoints.
    #[serde(rename = "placed")]
    pub loads: Vec<EndpointLoad>,
    /// Endpoints that stopped answering the sender, with the milliseconds since then.
    #[serde(rename = "silent")]
    pub silent_endpoints: Vec<(String, u32)>,
    /// Reports about requests and parts of prompts that crash endpoints.
    #[serde(rename = "breaks")]
    pub crash_reports: Vec<Report>,
}

/// A datagram between entry VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The state of the sender, sent to every other VM at regular intervals.
    #[serde(rename = "News")]
    Heartbeat(Box<Heartbeat>),
    /// The load of one VM, sent to the representative of its zone.
    #[serde(rename = "Load")]
    VmLoad {
        /// Name of the sender.
        node: String,
        /// Load of the sender on endpoints.
        #[serde(rename = "placed")]
        loads: Vec<EndpointLoad>,
    },
    /// The total load of a zone, sent to the representatives of the other zones.
    #[serde(rename = "Zone")]
    ZoneLoad {
        /// Name of the zone.
        zone: String,
        /// Total load of the zone on endpoints.
        #[serde(rename = "placed")]
        loads: Vec<EndpointLoad>,
    },
    /// Reports of engines that the planner queried while the store does not answer.
    #[serde(rename = "Held")]
    EngineReports(Vec<EngineReport>),
    /// The total load of all VMs but the receiver.
    #[serde(rename = "Others")]
    OtherVmsLoad {
        /// Total load on endpoints.
        #[serde(rename = "placed")]
        loads: Vec<EndpointLoad>,
    },
    /// Asks whether the receiver reaches endpoints. Builds without this kind of datagram ignore it.
    PathQuery(PathQuery),
    /// The reply to a path query.
    PathReply(PathReply),
    /// Limits of endpoints that the sender heard. Builds without this kind of datagram ignore it.
    Limits(LimitNews),
    /// Groups that break off the sender's requests. Builds without this kind of datagram ignore it.
    Breaks(Vec<BreakReport>),
}

impl Message {
    /// Returns what the datagram carries, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::VmLoad { .. } => "vm_load",
            Self::ZoneLoad { .. } => "zone_load",
            Self::EngineReports(_) => "engine_reports",
            Self::OtherVmsLoad { .. } => "other_vms_load",
            Self::PathQuery(_) => "path_query",
            Self::PathReply(_) => "path_reply",
            Self::Limits(_) => "limits",
            Self::Breaks(_) => "breaks",
        }
    }
}

#[derive(Debug)]
struct Peer {
    member: Member,
    listed_since: Time,
    last_heard: Option<Time>,
    heartbeat: Option<Heartbeat>,
    /// Whether the peer was live when losses were last checked.
    was_live: bool,
}

/// The other entry VMs, as known from the member list and from heartbeats.
#[derive(Debug, Default)]
pub struct Peers {
    peers: BTreeMap<String, Peer>,
    /// Names of all peers that were listed or heard and not removed from the list since, however long
    /// they have been silent.
    names: BTreeSet<String>,
    /// What this VM missed by itself while it was not run.
    own_delay: OwnDelay,
}

impl Peers {
    /// Creates a record without peers for a VM that is late by `own_delay`.
    pub fn new(own_delay: OwnDelay) -> Self {
        Self {
            peers: BTreeMap::new(),
            names: BTreeSet::new(),
            own_delay,
        }
    }

    /// Adds or replaces a record of the member list. A peer that sends heartbeats is known better
    /// from these, since the list may be older.
    pub fn add_member(&mut self, now: Time, member: Member) {
        self.names.insert(member.node.clone());
        let old = self.peers.get(&member.node);
        if old.is_some_and(|p| {
            p.member == member || p.last_heard.is_some() && p.is_live(now, &self.own_delay)
        }) {
            return;
        }
        let peer = Peer {
            member: member.clone(),
            listed_since: now,
            last_heard: None,
            heartbeat: None,
            was_live: false,
        };
        self.peers.insert(member.node, peer);
    }

    /// Removes a record of the member list.
    pub fn remove_member(&mut self, node: &str) {
        self.peers.remove(node);
        self.names.remove(node);
    }

    /// Records a heartbeat; returns false, and ignores it, if a newer one of the same run is known.
    pub fn record_heartbeat(&mut self, now: Time, heartbeat: Heartbeat) -> bool {
        let node = heartbeat.member.node.clone();
        if !self.names.contains(&node) {
            self.names.insert(node.clone());
        }
        let peer = self.peers.entry(node).or_insert_with(|| Peer {
            member: heartbeat.member.clone(),
            listed_since: now,
            last_heard: None,
            heartbeat: None,
            was_live: false,
        });
        let previous = peer
            .heartbeat
            .as_ref()
            .map(|previous| (previous.member.run, previous.sequence));
        if previous.is_some_and(|(run, sequence)| {
            run == heartbeat.member.run && sequence >= heartbeat.sequence
        }) {
            return false;
        }
        peer.member = heartbeat.member.clone();
        peer.last_heard = Some(now);
        peer.heartbeat = Some(heartbeat);
        true
    }

    /// Returns the peers that have fallen silent since the last call, and removes those that have
    /// been silent for too long.
    pub fn newly_lost(&mut self, now: Time) -> Vec<String> {
        let mut lost = Vec::new();
        for (node, peer) in &mut self.peers {
            let is_live = peer.is_live(now, &self.own_delay);
            if peer.was_live && !is_live {
                lost.push(node.clone());
            }
            peer.was_live = is_live;
        }
        let last_sign = |p: &Peer| p.last_heard.unwrap_or(p.listed_since);
        self.peers
            .retain(|_, p| now.since(last_sign(p)) < RECORD_RETENTION);
        lost
    }

    /// Returns whether this VM may continue as the planner while the store does not answer: no peer
    /// is the planner, and this VM still hears from a peer unless it knows of none.
    pub fn may_keep_planning(&self, now: Time) -> bool {
        let mut heartbeats = self.heartbeats(now).peekable();
        (self.peers.is_empty() || heartbeats.peek().is_some())
            && !heartbeats.any(|(heartbeat, _)| heartbeat.is_planner)
    }

    /// Returns whether any peer reaches the store. One that reads it may say that it does not reach
    /// it, because it can't be the planner.
    pub fn any_reaches_store(&self, now: Time) -> bool {
        self.heartbeats(now)
            .any(|(heartbeat, _)| heartbeat.reaches_store || heartbeat.reads_store)
    }

    /// Returns whether any peer reads the store directly.
    pub fn any_reads_store(&self, now: Time) -> bool {
        self.heartbeats(now)
            .any(|(heartbeat, _)| heartbeat.reads_store)
    }

    /// Returns whether the given peer reads the store directly.
    pub fn reads_store(&self, now: Time, node: &str) -> bool {
        self.heartbeats(now)
            .any(|(heartbeat, _)| heartbeat.member.node == node && heartbeat.reads_store)
    }

    /// Returns whether the given peer reaches the store, directly or through another VM.
    pub fn reaches_store(&self, now: Time, node: &str) -> bool {
        self.heartbeats(now)
            .any(|(heartbeat, _)| heartbeat.member.node == node && heartbeat.reaches_store)
    }

    /// Returns whether any peer has received a caller's request.
    pub fn any_has_traffic(&self, now: Time) -> bool {
        self.heartbeats(now)
            .any(|(heartbeat, _)| heartbeat.has_traffic)
    }

    /// Returns whether this VM should ask for the planner's lease, or for its renewal if it holds it. A
    /// VM that is cut off from the engines leaves it to others.
    pub fn should_hold_lease(
        &self,
        now: Time,
        this_vm: &Member,
        holds: bool,
        path: PathState,
    ) -> bool {
        path != PathState::Cut && (holds || self.should_plan(now, this_vm))
    }

    /// Returns whether this VM should ask to become the planner: no live peer is the planner, and
    /// none that is ready and reaches the store ranks before this VM.
    pub fn should_plan(&self, now: Time, this_vm: &Member) -> bool {
        let mut heartbeats = self.heartbeats(now).map(|(heartbeat, _)| heartbeat);
        let ranks_before = |heartbeat: &Heartbeat| rank(&heartbeat.member) < rank(this_vm);
        !heartbeats.any(|heartbeat| {
            heartbeat.is_planner
                || heartbeat.reaches_store && heartbeat.ready && ranks_before(heartbeat)
        })
    }

    /// Lists the representative of each zone, that of this VM's zone first.
    ///
    /// A representative is the VM that reads the store for the others of its zone and adds up their
    /// load. `ready` says whether this VM accepts callers and is eligible itself.
    pub fn zone_representatives<'a>(
        &'a self,
        now: Time,
        this_vm: &'a Member,
        ready: bool,
    ) -> Vec<&'a Member> {
        let own_record = ready.then_some(this_vm);
        let others = self.ready(now).filter(|m| m.node != this_vm.node);
        let mut first: BTreeMap<&str, &Member> = BTreeMap::new();
        for member in others.chain(own_record) {
            let best = first.entry(&member.zone).or_insert(member);
            if rank(member) < rank(best) {
                *best = member;
            }
        }
        let mut representatives: Vec<&Member> = first.into_values().collect();
        representatives.sort_by_key(|m| (m.zone != this_vm.zone, &m.node));
        representatives
    }

    /// Returns the peer through which this VM reads the store's topics, or `None` to read the store
    /// directly.
    ///
    /// The representative of a zone serves the other VMs of the zone. Two of the representatives
    /// read the store, so that a lagging one is noticed, and serve the other representatives. A VM
    /// that serves others must read the store directly or through a VM that does, since two VMs
    /// that have lost the store must not read from each other. `avoided` are the addresses of peers
    /// that failed recently.
    pub fn source(
        &self,
        now: Time,
        this_vm: &Member,
        ready: bool,
        avoided: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let representatives = self.zone_representatives(now, this_vm, ready);
        let is_representative = representatives
            .first()
            .is_none_or(|m| m.node == this_vm.node);
        let candidates = if is_representative {
            order_sources(representatives, this_vm)
        } else {
            representatives
        };
        let can_serve = |m: &&Member| {
            let is_this_vm = m.node == this_vm.node;
            is_this_vm
                || self.reads_store(now, &m.node)
                || !is_representative && self.reaches_store(now, &m.node)
        };
        let is_allowed = |m: &&Member| !avoided.contains(&m.peer_address);
        let mut usable = candidates
            .into_iter()
            .filter(|m| is_allowed(m) && can_serve(m));
        // If the representatives have lost the store, any VM that reads it can be the source.
        let any_reader = || {
            let mut ready = self.ready(now);
            ready.find(|m| is_allowed(m) && self.reads_store(now, &m.node))
        };
        let first = usable.next().or_else(any_reader)?;
        (first.node != this_vm.node).then_some(first.peer_address)
    }

    /// Returns whether any peer has a newer configuration than `version`.
    pub fn any_newer_config(&self, now: Time, version: u64) -> bool {
        self.heartbeats(now)
            .any(|(heartbeat, _)| heartbeat.config_version > version)
    }

    /// Returns whether no peer is known to have this version of the configuration or a newer one, so that
    /// this VM tells the others at once: the heartbeats of many VMs are seconds apart.
    pub fn should_announce(&self, now: Time, version: u64) -> bool {
        !self
            .heartbeats(now)
            .any(|(heartbeat, _)| heartbeat.config_version >= version)
    }

    /// Returns a peer with a newer configuration than `version`, of `zone` if there is one there, and
    /// not the one at the address `excluded`. `draw` is uniform between 0 and 1 and chooses among
    /// them.
    pub fn config_source(
        &self,
        now: Time,
        version: u64,
        zone: &str,
        excluded: Option<SocketAddr>,
        draw: f64,
    ) -> Option<&Member> {
        let newer = self.heartbeats(now).map(|(heartbeat, _)| heartbeat);
        let newer = newer.filter(|h| h.config_version > version);
        let mut newer: Vec<&Member> = newer.map(|h| &h.member).collect();
        newer.retain(|m| Some(m.peer_address) != excluded);
        if newer.iter().any(|m| m.zone == zone) {
            newer.retain(|m| m.zone == zone);
        }
        let index = (draw * newer.len() as f64) as usize;
        newer.get(index).copied()
    }

    /// Returns whether this VM is one of those that read the store on behalf of others.
    pub fn should_read_store(&self, now: Time, this_vm: &Member, ready: bool) -> bool {
        let representatives = self.zone_representatives(now, this_vm, ready);
        let is_representative = representatives
            .first()
            .is_none_or(|m| m.node == this_vm.node);
        is_representative
            && order_sources(representatives, this_vm)
                .first()
                .is_none_or(|m| m.node == this_vm.node)
    }

    /// Returns the address for datagrams of the given peer.
    pub fn address(&self, node: &str) -> Option<SocketAddr> {
        self.peers.get(node).map(|p| p.member.peer_address)
    }

    /// Returns the addresses for datagrams of all peers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.values().map(|p| p.member.peer_address).collect()
    }

    /// Iterates over the names of all peers that are listed or were heard.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.peers.keys().map(String::as_str)
    }

    /// Returns an upper bound on the entry VMs that may serve callers, including this one: those that are
    /// listed or were heard, and as many more as this VM does not hear. It may be cut off from these, and
    /// would not learn of VMs that are added meanwhile.
    pub fn vm_count_bound(&self, now: Time) -> usize {
        let silent = self.names.len() - self.live(now).count();
        1 + self.names.len() + silent
    }

    /// Returns the number of live entry VMs, including this one.
    pub fn live_vm_count(&self, now: Time) -> usize {
        1 + self.live(now).count()
    }

    /// Iterates over the live members that accept callers.
    pub fn ready(&self, now: Time) -> impl Iterator<Item = &Member> {
        let ready = |p: &&Peer| {
            p.heartbeat
                .as_ref()
                .is_some_and(|heartbeat| heartbeat.ready)
        };
        self.live(now).filter(ready).map(|p| &p.member)
    }

    /// Iterates over the members to which callers may be sent: those that accept callers and were
    /// heard lately. With many VMs heartbeats are seconds apart, and a VM is gone long before it counts
    /// as lost. While most of them are not heard, the silence may be this VM's, and all are returned.
    pub fn advised(&self, now: Time) -> impl Iterator<Item = &Member> {
        let was_heard = |p: &&Peer| p.was_heard_lately(now, &self.own_delay);
        let heard = self.live(now).filter(was_heard).count();
        let may_judge = heard * 2 > self.live(now).count();
        let is_advised = move |m: &&Member| {
            let peer = self.peers.get(&m.node);
            !may_judge || peer.is_some_and(|p| p.was_heard_lately(now, &self.own_delay))
        };
        self.ready(now).filter(is_advised)
    }

    /// Iterates over the latest heartbeats of live peers, with their arrival times.
    pub fn heartbeats(&self, now: Time) -> impl Iterator<Item = (&Heartbeat, Time)> {
        self.live(now)
            .filter_map(|p| Some((p.heartbeat.as_ref()?, p.last_heard?)))
    }

    fn live(&self, now: Time) -> impl Iterator<Item = &Peer> {
        let peers = self.peers.values();
        peers.filter(move |p| p.is_live(now, &self.own_delay))
    }
}

impl Peer {
    fn is_live(&self, now: Time, own_delay: &OwnDelay) -> bool {
        let (since, limit) = match self.last_heard {
            Some(last_heard) => (
                last_heard,
                self.interval() * MAX_MISSED_HEARTBEATS + MAX_HEARTBEAT_DELAY,
            ),
            None => (self.listed_since, STARTUP_TIME),
        };
        own_delay.is_within(since, now, limit)
    }

    fn was_heard_lately(&self, now: Time, own_delay: &OwnDelay) -> bool {
        let limit = ADVISED_SILENCE.max(self.interval() + MAX_HEARTBEAT_DELAY);
        self.last_heard
            .is_some_and(|t| own_delay.is_within(t, now, limit))
    }

    /// Returns the time between two heartbeats of the peer.
    fn interval(&self) -> Duration {
        let interval_ms = self.heartbeat.as_ref().map_or(0, |h| h.interval_ms);
        Duration::from_millis(u64::from(interval_ms))
    }
}

/// Orders the representatives of all zones as sources for one of them. `this_vm` moves to the front
/// if it is one of the store readers, and behind these otherwise.
fn order_sources<'a>(mut sources: Vec<&'a Member>, this_vm: &Member) -> Vec<&'a Member> {
    sources.sort_by_key(|m| rank(m));
    let pos = sources.iter().position(|m| m.node == this_vm.node);
    let Some(pos) = pos else { return sources };
    let own_record = sources.remove(pos);
    let new_index = if pos < STORE_READERS {
        0
    } else {
        STORE_READERS.min(sources.len())
    };
    sources.insert(new_index, own_record);
    sources
}

/// Returns the sort key by which one VM is selected for a task: the VM with the most CPU comes
/// first, and equal ones are ordered by name.
fn rank(member: &Member) -> (u64, &str) {
    let size = (member.cores * 1_000.0) as u64;
    (u64::MAX - size, &member.node)
}

/// Returns at most `max_count` addresses of entry VMs for a caller in `zone`, those of its zone
/// first.
pub fn addresses_for_caller<'a>(
    zone: &str,
    members: impl IntoIterator<Item = &'a Member>,
    max_count: usize,
) -> Vec<Arc<str>> {
    let mut members: Vec<&Member> = members.into_iter().collect();
    members.sort_by_key(|m| (m.zone != zone, &m.node));
    let nearest = members.into_iter().take(max_count);
    nearest
        .map(|m| Arc::from(m.caller_address.as_str()))
        .collect()
}
