//! The other entry VMs: who lives, who takes callers, and what load they have placed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::capacity::Demand;
use super::endpoints::EngineReport;
use super::quarantine::Crash;
use crate::time::Time;

/// Datagrams that may be lost in a row before a peer is taken as gone, and the time beyond that.
const LOST_MOST: u32 = 4;
const LATE_MOST: Duration = Duration::from_millis(300);
/// Time for which a member of the list that was never heard counts as starting.
const START_TIME: Duration = Duration::from_secs(4);
/// Entry VMs that read the store for all others.
const STORE_READERS: usize = 2;
/// Time after which a silent peer's record is of no more use.
const FORGET: Duration = Duration::from_secs(120);

/// An entry VM's record in the members' list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub node: String,
    /// Random number of this start.
    pub run: u64,
    /// Its zone.
    pub zone: String,
    /// Part of a core that it has.
    pub cores: f64,
    /// Address for callers.
    #[serde(rename = "front")]
    pub caller_address: String,
    /// Address for datagrams.
    #[serde(rename = "peer")]
    pub peer_address: SocketAddr,
}

/// Load that an entry VM has placed on one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Identifier of the endpoint, the head for a group.
    pub endpoint: String,
    /// Requests under way.
    pub requests: u16,
    /// Tokens of prompts that no first event has come for.
    #[serde(rename = "unread")]
    pub pending_prompt_tokens: u32,
    /// Milliseconds since it last sent something; the largest value says that nothing came yet.
    #[serde(rename = "quiet_ms")]
    pub since_progress_ms: u16,
}

/// What one entry VM tells the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who says it.
    pub member: Member,
    /// Grows with each datagram of a run.
    #[serde(rename = "count")]
    pub sequence: u64,
    /// Whether it takes callers.
    pub ready: bool,
    /// Version of the configuration in force there.
    #[serde(rename = "config")]
    pub config_version: u64,
    /// Whether the store answers it or the VM that it reads through, so that it may plan.
    #[serde(rename = "store")]
    pub reaches_store: bool,
    /// Whether it reads the store itself, so that others may read through it.
    #[serde(rename = "reads")]
    pub reads_store: bool,
    /// Whether it plans.
    #[serde(rename = "leads")]
    pub is_planner: bool,
    /// Whether a caller has come to it.
    #[serde(rename = "called")]
    pub has_traffic: bool,
    /// Milliseconds until its next datagram.
    #[serde(rename = "every_ms")]
    pub interval_ms: u32,
    /// Offsets up to which it has read the configuration and the endpoints.
    #[serde(rename = "read")]
    pub read_offsets: [u64; 2],
    /// What its callers ask of each model.
    pub demand: BTreeMap<String, Demand>,
    /// Load by endpoint.
    #[serde(rename = "placed")]
    pub loads: Vec<EndpointLoad>,
    /// Endpoints that stopped answering there, with the age of that in milliseconds.
    #[serde(rename = "silent")]
    pub silent_endpoints: Vec<(String, u32)>,
    /// Endpoints that break lately on requests.
    #[serde(rename = "breaks")]
    pub crashes: Vec<Crash>,
}

/// A datagram between entry VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// All that a VM tells each other one, now and then.
    #[serde(rename = "News")]
    Heartbeat(Box<Heartbeat>),
    /// What a VM has placed, to the one that adds up its zone.
    #[serde(rename = "Load")]
    VmLoad {
        /// Name of the VM.
        node: String,
        /// Its load by endpoint.
        #[serde(rename = "placed")]
        loads: Vec<EndpointLoad>,
    },
    /// The sum of a zone, to the VMs that add up the others.
    #[serde(rename = "Zone")]
    ZoneLoad {
        /// The zone.
        zone: String,
        /// Its load by endpoint.
        #[serde(rename = "placed")]
        loads: Vec<EndpointLoad>,
    },
    /// What engines hold, as the planner heard from themselves while the store is away.
    #[serde(rename = "Held")]
    EngineReports(Vec<EngineReport>),
    /// What all VMs but the receiver have placed.
    #[serde(rename = "Others")]
    OtherVmsLoad {
        /// Their load by endpoint.
        #[serde(rename = "placed")]
        loads: Vec<EndpointLoad>,
    },
}

#[derive(Debug)]
struct Peer {
    member: Member,
    listed: Time,
    heard: Option<Time>,
    news: Option<Heartbeat>,
    /// Whether it lived when it was last looked at.
    lived: bool,
}

/// What the list and the datagrams say of the other entry VMs.
#[derive(Debug, Default)]
pub struct Peers {
    known: BTreeMap<String, Peer>,
}

impl Peers {
    /// Takes a record of the members' list.
    pub fn add_member(&mut self, now: Time, member: Member) {
        let old = self.known.get(&member.node);
        if old.is_some_and(|p| p.member.run == member.run && p.member == member) {
            return;
        }
        let peer = Peer {
            member: member.clone(),
            listed: now,
            heard: None,
            news: None,
            lived: false,
        };
        self.known.insert(member.node, peer);
    }

    /// Takes the end of a record.
    pub fn remove_member(&mut self, node: &str) {
        self.known.remove(node);
    }

    /// Takes a datagram; returns whether it is newer than the last one of that peer.
    pub fn record_heartbeat(&mut self, now: Time, news: Heartbeat) -> bool {
        let node = news.member.node.clone();
        let peer = self.known.entry(node).or_insert_with(|| Peer {
            member: news.member.clone(),
            listed: now,
            heard: None,
            news: None,
            lived: false,
        });
        let run = peer.news.as_ref().map(|n| (n.member.run, n.sequence));
        if run.is_some_and(|(run, count)| run == news.member.run && count >= news.sequence) {
            return false;
        }
        peer.member = news.member.clone();
        peer.heard = Some(now);
        peer.news = Some(news);
        true
    }

    /// Returns the peers that fell silent since the last call, and forgets those silent for long.
    pub fn newly_lost(&mut self, now: Time) -> Vec<String> {
        let mut fallen = Vec::new();
        for (node, peer) in &mut self.known {
            let lives = peer.lives(now);
            if peer.lived && !lives {
                fallen.push(node.clone());
            }
            peer.lived = lives;
        }
        let last = |p: &Peer| p.heard.unwrap_or(p.listed);
        self.known.retain(|_, p| now.since(last(p)) < FORGET);
        fallen
    }

    /// Returns whether this VM may go on to plan while the store is away: no peer plans, and it is
    /// not cut off from all of them.
    pub fn may_keep_planning(&self, now: Time) -> bool {
        let mut heard = self.heartbeats(now).peekable();
        (self.known.is_empty() || heard.peek().is_some()) && !heard.any(|(n, _)| n.is_planner)
    }

    /// Returns whether the store answers a peer.
    pub fn any_reaches_store(&self, now: Time) -> bool {
        self.heartbeats(now).any(|(n, _)| n.reaches_store)
    }

    /// Returns whether a peer reads the store itself.
    pub fn reads_store(&self, now: Time, node: &str) -> bool {
        self.heartbeats(now)
            .any(|(n, _)| n.member.node == node && n.reads_store)
    }

    /// Returns whether the store answers one peer, or the one that it reads it through.
    pub fn reaches_store(&self, now: Time, node: &str) -> bool {
        self.heartbeats(now)
            .any(|(n, _)| n.member.node == node && n.reaches_store)
    }

    /// Returns whether a caller has come to a peer.
    pub fn any_has_traffic(&self, now: Time) -> bool {
        self.heartbeats(now).any(|(n, _)| n.has_traffic)
    }

    /// Returns whether this entry VM is the one that should ask to plan: no live peer plans, and
    /// none that the store answers comes before it by name.
    pub fn should_plan(&self, now: Time, me: &Member) -> bool {
        let mut news = self.heartbeats(now).map(|(n, _)| n);
        let before = |n: &Heartbeat| rank(&n.member) < rank(me);
        !news.any(|n| n.is_planner || n.reaches_store && n.ready && before(n))
    }

    /// Lists the VMs that read the store for others, one of each zone: that of this VM's zone first.
    pub fn zone_representatives<'a>(
        &'a self,
        now: Time,
        me: &'a Member,
        ready: bool,
    ) -> Vec<&'a Member> {
        let own = ready.then_some(me);
        let others = self.ready(now).filter(|m| m.node != me.node);
        let mut first: BTreeMap<&str, &Member> = BTreeMap::new();
        for member in others.chain(own) {
            let best = first.entry(&member.zone).or_insert(member);
            if rank(member) < rank(best) {
                *best = member;
            }
        }
        let mut readers: Vec<&Member> = first.into_values().collect();
        readers.sort_by_key(|m| (m.zone != me.zone, &m.node));
        readers
    }

    /// Returns the peer at which this VM reads what the store holds, or `None` to read the store.
    ///
    /// The first VM of a zone serves the others of it; two of these VMs read the store, so that one that
    /// lags is noticed, and serve the rest. Who serves others reads the store itself or from a VM that
    /// does: two that have lost it must not read from each other. `avoided` have failed lately.
    pub fn source(
        &self,
        now: Time,
        me: &Member,
        ready: bool,
        avoided: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let readers = self.zone_representatives(now, me, ready);
        let serves = readers.first().is_none_or(|m| m.node == me.node);
        let candidates = if serves { ranked(readers, me) } else { readers };
        let useful = |m: &&Member| {
            let own = m.node == me.node;
            own || self.reads_store(now, &m.node) || !serves && self.reaches_store(now, &m.node)
        };
        let open = |m: &&Member| !avoided.contains(&m.peer_address);
        let mut found = candidates.into_iter().filter(|m| open(m) && useful(m));
        // Where those that serve others have lost the store, any VM that reads it serves.
        let any = || {
            let mut ready = self.ready(now);
            ready.find(|m| open(m) && self.reads_store(now, &m.node))
        };
        let first = found.next().or_else(any)?;
        (first.node != me.node).then_some(first.peer_address)
    }

    /// Returns whether this VM is one of those that read the store for others.
    pub fn should_read_store(&self, now: Time, me: &Member, ready: bool) -> bool {
        let readers = self.zone_representatives(now, me, ready);
        let serves = readers.first().is_none_or(|m| m.node == me.node);
        serves
            && ranked(readers, me)
                .first()
                .is_none_or(|m| m.node == me.node)
    }

    /// Returns where one peer takes datagrams.
    pub fn address(&self, node: &str) -> Option<SocketAddr> {
        self.known.get(node).map(|p| p.member.peer_address)
    }

    /// Returns where to send datagrams.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.known.values().map(|p| p.member.peer_address).collect()
    }

    /// Returns the number of entry VMs that live, with this one.
    pub fn live_vm_count(&self, now: Time) -> usize {
        1 + self.known.values().filter(|p| p.lives(now)).count()
    }

    /// Lists the members that live and take callers.
    pub fn ready(&self, now: Time) -> impl Iterator<Item = &Member> {
        let ready = |p: &&Peer| p.news.as_ref().is_some_and(|n| n.ready);
        let live = self.known.values().filter(move |p| p.lives(now));
        live.filter(ready).map(|p| &p.member)
    }

    /// Lists the latest news of the peers that live, with the times of their arrival.
    pub fn heartbeats(&self, now: Time) -> impl Iterator<Item = (&Heartbeat, Time)> {
        let live = self.known.values().filter(move |p| p.lives(now));
        live.filter_map(|p| Some((p.news.as_ref()?, p.heard?)))
    }
}

impl Peer {
    fn lives(&self, now: Time) -> bool {
        match self.heard {
            Some(heard) => {
                let every = self.news.as_ref().map_or(0, |n| n.interval_ms);
                let every = Duration::from_millis(u64::from(every));
                now.since(heard) < every * LOST_MOST + LATE_MOST
            }
            None => now.since(self.listed) < START_TIME,
        }
    }
}

/// Orders the first VMs of all zones as sources for one of them, with itself in its place.
fn ranked<'a>(mut readers: Vec<&'a Member>, me: &Member) -> Vec<&'a Member> {
    readers.sort_by_key(|m| rank(m));
    let place = readers.iter().position(|m| m.node == me.node);
    let Some(place) = place else { return readers };
    let own = readers.remove(place);
    let at = if place < STORE_READERS {
        0
    } else {
        STORE_READERS.min(readers.len())
    };
    readers.insert(at, own);
    readers
}

/// Orders VMs for duties that one of them has: the largest first.
fn rank(member: &Member) -> (u64, &str) {
    let size = (member.cores * 1_000.0) as u64;
    (u64::MAX - size, &member.node)
}

/// Returns the addresses for a caller: all entry VMs that take callers, those of its zone first.
pub fn addresses_for_caller<'a>(
    zone: &str,
    members: impl IntoIterator<Item = &'a Member>,
    most: usize,
) -> Vec<Arc<str>> {
    let mut members: Vec<&Member> = members.into_iter().collect();
    members.sort_by_key(|m| (m.zone != zone, &m.node));
    let fronts = members.into_iter().take(most);
    fronts
        .map(|m| Arc::from(m.caller_address.as_str()))
        .collect()
}
