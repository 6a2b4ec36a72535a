//! Liveness of entry VMs at a cost that doesn't grow with their number.
//!
//! Each round an entry VM pings one other, in a shuffled order. Without an ack it asks a few others
//! to ping in its place, and failing that spreads a suspicion. The suspect refutes it with a higher
//! incarnation, or is held dead once the suspicion has stood for its time. Changes of status travel
//! on the pings and acks, each a number of times that grows with the logarithm of the members.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::{IteratorRandom, SliceRandom};

use crate::ids::EntryId;
use crate::members::Members;
use crate::peers::{Heartbeat, Liveness, Packet, PacketKind, StatusUpdate};
use crate::time::Time;

/// Rounds after which one entry VM that is held dead is pinged too, so that a partition heals.
const DEAD_ROUNDS: u32 = 4;
/// Beats in the ack to an entry VM that has heard of few others.
const FULL_BEATS: usize = 56;
/// Transmissions of an update for each doubling of the members.
const TRANSMIT_FACTOR: u32 = 3;
/// Updates in one packet.
const UPDATES: usize = 10;
/// Age of a packet, against the newest of its sender, from which it is held replayed.
const REPLAY_WINDOW_MS: u64 = 2_000;

/// How liveness is spread.
#[derive(Debug, Clone, Copy)]
pub struct GossipConfig {
    /// Time between two rounds.
    pub round_interval: Duration,
    /// Time without an ack after which others are asked to ping.
    pub ack_timeout: Duration,
    /// Time a suspicion stands among ten members before its target is held dead.
    pub suspicion_timeout: Duration,
    /// Others that are asked to ping.
    pub relays: usize,
    /// Beats in one packet.
    pub heartbeats: usize,
    /// Entry VMs that a datagram of probe reports goes to.
    pub fanout: usize,
    /// Time between two datagrams of probe reports.
    pub report_interval: Duration,
    /// Bytes of probe reports in one datagram.
    pub report_bytes: usize,
}

/// A packet on its way.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingPacket {
    /// UDP address.
    pub to: String,
    /// The packet.
    pub packet: Packet,
}

/// An entry VM as gossip knows it.
#[derive(Debug)]
pub struct Peer {
    /// Its name.
    pub entry: EntryId,
    /// Its last heartbeat.
    pub heartbeat: Heartbeat,
    address: String,
    status: Liveness,
    incarnation: u32,
    since: Time,
    stamp: u64,
    told: u32,
}

#[derive(Debug)]
struct Probing {
    target: u64,
    seq: u32,
    sent: Time,
    relayed: bool,
}

#[derive(Debug)]
struct News {
    update: StatusUpdate,
    sent: u32,
}

/// What one entry VM knows of the others' liveness.
#[derive(Debug)]
pub struct Gossip {
    config: GossipConfig,
    me: EntryId,
    number: Option<u64>,
    incarnation: u32,
    heartbeat: Heartbeat,
    peers: BTreeMap<u64, Peer>,
    order: Vec<u64>,
    probing: Option<Probing>,
    relays: BTreeMap<u32, (u64, u32)>,
    news: Vec<News>,
    seq: u32,
    rounds: u32,
    stamp: u64,
    next: Time,
    last: Time,
    heard: Option<Time>,
    /// Packets refused as replayed.
    pub replays: u64,
}

impl Gossip {
    /// Makes the gossip state of the entry VM `me`.
    pub fn new(config: GossipConfig, me: EntryId) -> Self {
        Self {
            config,
            me,
            number: None,
            incarnation: 0,
            heartbeat: Heartbeat::default(),
            peers: BTreeMap::new(),
            order: Vec::new(),
            probing: None,
            relays: BTreeMap::new(),
            news: Vec::new(),
            seq: 0,
            rounds: 0,
            stamp: 0,
            next: Time::ZERO,
            last: Time::ZERO,
            heard: None,
            replays: 0,
        }
    }

    /// Follows the members that the log announces.
    pub fn update_members(&mut self, now: Time, members: &Members) {
        self.number = members.number(&self.me);
        self.heartbeat.member = self.number.unwrap_or_default();
        let current = |n: &u64, p: &Peer| members.number(&p.entry) == Some(*n);
        self.peers.retain(|number, peer| current(number, peer));
        for member in members.iter().filter(|m| m.entry != self.me) {
            let Some(number) = members.number(&member.entry) else {
                continue;
            };
            self.peers.entry(number).or_insert_with(|| Peer {
                entry: member.entry.clone(),
                heartbeat: Heartbeat::default(),
                address: member.gossip.clone(),
                status: Liveness::Unknown,
                incarnation: 0,
                since: now,
                stamp: 0,
                told: 0,
            });
        }
        let known = &self.peers;
        self.order.retain(|n| known.contains_key(n));
    }

    /// Sets what its own beats say.
    pub fn set_heartbeat(&mut self, spare: f64, config: u64) {
        self.heartbeat.spare = (spare.clamp(0.0, 1.0) * 100.0) as u8;
        if self.heartbeat.config != config {
            self.heartbeat.config = config;
            self.heartbeat.count += 1;
        }
    }

    /// Lets time pass: starts rounds, asks relays, and ends suspicions.
    pub fn tick(&mut self, now: Time, rng: &mut SmallRng, out: &mut Vec<OutgoingPacket>) {
        let paused = now.since(self.last) > self.config.round_interval;
        self.last = now;
        if self.number.is_none() {
            return;
        }
        if paused {
            self.recover(now);
        }
        self.ask_relays(now, rng, out);
        self.end_suspicions(now);
        if now >= self.next {
            self.next = now + self.config.round_interval;
            self.start_round(now, rng, out);
        }
    }

    /// Takes a packet whose authenticity was checked.
    pub fn receive(
        &mut self,
        now: Time,
        packet: &Packet,
        rng: &mut SmallRng,
        out: &mut Vec<OutgoingPacket>,
    ) {
        let Some(peer) = self.peers.get_mut(&packet.from) else {
            return;
        };
        if packet.stamp + REPLAY_WINDOW_MS < peer.stamp {
            self.replays += 1;
            return;
        }
        peer.stamp = peer.stamp.max(packet.stamp);
        self.heard = Some(now);
        self.discover(now, packet.from);
        for update in &packet.updates {
            self.take_update(now, *update);
        }
        for heartbeat in &packet.beats {
            self.apply_heartbeat(now, *heartbeat);
        }
        match packet.kind {
            PacketKind::Ping => self.ack(now, packet, rng, out),
            PacketKind::Ack => self.acked(now, packet, rng, out),
            PacketKind::Relay => self.relay(now, packet, rng, out),
        }
    }

    /// Returns an entry VM that is held alive, other than this one.
    pub fn live_peer(&self, members: &Members, entry: &EntryId) -> Option<&Peer> {
        let peer = self.peers.get(&members.number(entry)?)?;
        peer.status.is_live().then_some(peer)
    }

    /// Lists the entry VMs that are held alive, other than this one.
    pub fn live_peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|p| p.status.is_live())
    }

    /// Lists the entry VMs that have not been alive for `silence`.
    pub fn silent(&self, now: Time, silence: Duration) -> impl Iterator<Item = &Peer> {
        let silent = move |p: &&Peer| !p.status.is_live() && now.since(p.since) >= silence;
        self.peers.values().filter(silent)
    }

    /// Returns whether more than half of the members, this one with them, are held alive.
    pub fn sees_majority(&self) -> bool {
        2 * (self.live_peers().count() + 1) > self.peers.len() + 1
    }

    /// Returns whether a packet of any other entry VM came lately.
    pub fn peers_up(&self, now: Time) -> bool {
        let bound = self.config.round_interval * 2 + self.config.suspicion_timeout;
        self.heard.is_some_and(|at| now.since(at) <= bound)
    }

    /// Picks the addresses that a datagram of probe reports goes to.
    pub fn report_targets(&self, rng: &mut SmallRng) -> Vec<String> {
        self.live_peers()
            .choose_multiple(rng, self.config.fanout)
            .into_iter()
            .map(|p| p.address.clone())
            .collect()
    }

    /// Drops what its own pause would make it believe of the others.
    fn recover(&mut self, now: Time) {
        self.probing = None;
        let suspects = self.peers.values_mut();
        for peer in suspects.filter(|p| p.status == Liveness::Suspect) {
            peer.since = now;
        }
    }

    fn start_round(&mut self, now: Time, rng: &mut SmallRng, out: &mut Vec<OutgoingPacket>) {
        self.rounds = self.rounds.wrapping_add(1);
        if self.rounds.is_multiple_of(self.heartbeat_rounds()) {
            self.heartbeat.count += 1;
        }
        self.relays.clear();
        if let Some(missed) = self.probing.take() {
            self.suspect(now, missed.target);
            let seq = self.next_seq();
            self.send(now, missed.target, PacketKind::Ping, (seq, 0), rng, out);
        }
        if self.rounds.is_multiple_of(DEAD_ROUNDS) {
            let dead = self.peers.iter().filter(|(_, p)| !p.status.is_live());
            if let Some(number) = dead.map(|(n, _)| *n).choose(rng) {
                let seq = self.next_seq();
                self.send(now, number, PacketKind::Ping, (seq, 0), rng, out);
            }
        }
        let Some(target) = self.next_target(rng) else {
            return;
        };
        let seq = self.next_seq();
        self.probing = Some(Probing {
            target,
            seq,
            sent: now,
            relayed: false,
        });
        self.send(now, target, PacketKind::Ping, (seq, 0), rng, out);
    }

    fn next_target(&mut self, rng: &mut SmallRng) -> Option<u64> {
        loop {
            if self.order.is_empty() {
                self.order = self.peers.keys().copied().collect();
                self.order.shuffle(rng);
                self.order
                    .retain(|n| self.peers[n].status != Liveness::Dead);
            }
            let number = self.order.pop()?;
            if self.peers[&number].status != Liveness::Dead {
                return Some(number);
            }
        }
    }

    fn ask_relays(&mut self, now: Time, rng: &mut SmallRng, out: &mut Vec<OutgoingPacket>) {
        let ack = self.config.ack_timeout;
        let Some(probing) = &mut self.probing else {
            return;
        };
        if probing.relayed || now.since(probing.sent) < ack {
            return;
        }
        probing.relayed = true;
        let (target, seq) = (probing.target, probing.seq);
        let others = self.peers.iter();
        let relays = others
            .filter(|(n, p)| **n != target && p.status == Liveness::Alive)
            .map(|(n, _)| *n)
            .choose_multiple(rng, self.config.relays);
        for relay in relays {
            self.send(now, relay, PacketKind::Relay, (seq, target), rng, out);
        }
    }

    fn end_suspicions(&mut self, now: Time) {
        let time = self.suspicion_time();
        let ended = |p: &Peer| p.status == Liveness::Suspect && now.since(p.since) >= time;
        let ended: Vec<(u64, u32)> = self
            .peers
            .iter()
            .filter(|(_, p)| ended(p))
            .map(|(n, p)| (*n, p.incarnation))
            .collect();
        for (member, incarnation) in ended {
            self.take_update(
                now,
                StatusUpdate {
                    member,
                    status: Liveness::Dead,
                    incarnation,
                },
            );
        }
    }

    fn suspicion_time(&self) -> Duration {
        let members = (self.peers.len() + 1) as f64;
        self.config
            .suspicion_timeout
            .mul_f64(members.log10().max(1.0))
    }

    fn suspect(&mut self, now: Time, member: u64) {
        let Some(peer) = self.peers.get(&member) else {
            return;
        };
        if peer.status != Liveness::Alive {
            return;
        }
        let update = StatusUpdate {
            member,
            status: Liveness::Suspect,
            incarnation: peer.incarnation,
        };
        self.take_update(now, update);
    }

    /// Holds an entry VM alive that was never heard of before.
    fn discover(&mut self, now: Time, member: u64) {
        if self.peers.get(&member).map(|p| p.status) == Some(Liveness::Unknown) {
            let update = StatusUpdate {
                member,
                status: Liveness::Alive,
                incarnation: 0,
            };
            self.take_update(now, update);
        }
    }

    fn take_update(&mut self, now: Time, update: StatusUpdate) {
        if Some(update.member) == self.number {
            self.refute(update);
            return;
        }
        let Some(peer) = self.peers.get_mut(&update.member) else {
            return;
        };
        let old = (peer.incarnation, peer.status);
        if update.status == Liveness::Unknown || (update.incarnation, update.status) <= old {
            return;
        }
        peer.incarnation = update.incarnation;
        if peer.status != update.status {
            peer.status = update.status;
            peer.since = now;
        }
        self.spread(update);
    }

    fn refute(&mut self, update: StatusUpdate) {
        if update.status == Liveness::Alive || update.incarnation < self.incarnation {
            return;
        }
        self.incarnation = update.incarnation + 1;
        self.spread(StatusUpdate {
            member: update.member,
            status: Liveness::Alive,
            incarnation: self.incarnation,
        });
    }

    fn spread(&mut self, update: StatusUpdate) {
        self.news.retain(|n| n.update.member != update.member);
        self.news.push(News { update, sent: 0 });
    }

    fn apply_heartbeat(&mut self, now: Time, heartbeat: Heartbeat) {
        let Some(peer) = self.peers.get_mut(&heartbeat.member) else {
            return;
        };
        if heartbeat.count > peer.heartbeat.count {
            peer.heartbeat = heartbeat;
            peer.told = 0;
            self.discover(now, heartbeat.member);
        }
    }

    fn ack(
        &mut self,
        now: Time,
        packet: &Packet,
        rng: &mut SmallRng,
        out: &mut Vec<OutgoingPacket>,
    ) {
        self.send(now, packet.from, PacketKind::Ack, (packet.seq, 0), rng, out);
        if let Some(outgoing) = out.last_mut().filter(|_| packet.asks) {
            outgoing.packet.beats = self.pick_heartbeats(FULL_BEATS, rng);
        }
    }

    fn acked(
        &mut self,
        now: Time,
        packet: &Packet,
        rng: &mut SmallRng,
        out: &mut Vec<OutgoingPacket>,
    ) {
        self.probing.take_if(|p| p.seq == packet.seq);
        if let Some((asker, seq)) = self.relays.remove(&packet.seq) {
            self.send(now, asker, PacketKind::Ack, (seq, 0), rng, out);
        }
    }

    fn relay(
        &mut self,
        now: Time,
        packet: &Packet,
        rng: &mut SmallRng,
        out: &mut Vec<OutgoingPacket>,
    ) {
        if !self.peers.contains_key(&packet.target) {
            return;
        }
        let seq = self.next_seq();
        self.relays.insert(seq, (packet.from, packet.seq));
        self.send(now, packet.target, PacketKind::Ping, (seq, 0), rng, out);
    }

    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    fn send(
        &mut self,
        now: Time,
        to: u64,
        kind: PacketKind,
        (seq, target): (u32, u64),
        rng: &mut SmallRng,
        out: &mut Vec<OutgoingPacket>,
    ) {
        let (Some(from), Some(peer)) = (self.number, self.peers.get(&to)) else {
            return;
        };
        let (address, accused) = (peer.address.clone(), accusation(to, peer));
        self.stamp = self.stamp.max(now.as_millis());
        let mut updates: Vec<StatusUpdate> = accused.into_iter().collect();
        updates.extend(self.pick_news());
        let packet = Packet {
            from,
            stamp: self.stamp,
            kind,
            seq,
            target,
            asks: self.asks(),
            updates,
            beats: self.pick_heartbeats(self.config.heartbeats, rng),
        };
        out.push(OutgoingPacket {
            to: address,
            packet,
        });
    }

    /// Returns whether it has heard of so few others that it asks for many beats.
    fn asks(&self) -> bool {
        2 * self.live_peers().count() < self.peers.len() && self.rounds < 64
    }

    /// Takes the updates that were sent least often, and forgets those that were sent enough.
    fn pick_news(&mut self) -> Vec<StatusUpdate> {
        let members = self.peers.len() as u32 + 1;
        let enough = TRANSMIT_FACTOR * (u32::BITS - members.leading_zeros());
        self.news.sort_by_key(|n| n.sent);
        let mut out = Vec::new();
        for news in self.news.iter_mut().take(UPDATES) {
            news.sent += 1;
            out.push(news.update);
        }
        self.news.retain(|n| n.sent < enough);
        out
    }

    /// Returns the time between two of its own beats.
    pub fn heartbeat_interval(&self) -> Duration {
        self.config.round_interval * self.heartbeat_rounds()
    }

    /// Returns the rounds between two beats, which grow with the members to bound their traffic.
    fn heartbeat_rounds(&self) -> u32 {
        (self.peers.len() / self.config.heartbeats.max(1)).max(1) as u32
    }

    /// Picks its own beat and those of the live others that it told least often.
    fn pick_heartbeats(&mut self, count: usize, rng: &mut impl Rng) -> Vec<Heartbeat> {
        let known = |p: &&mut Peer| p.status.is_live() && p.heartbeat.count > 0;
        let mut peers: Vec<(u32, u32, &mut Peer)> = self
            .peers
            .values_mut()
            .filter(known)
            .map(|p| (p.told, rng.random(), p))
            .collect();
        peers.sort_unstable_by_key(|(told, tie, _)| (*told, *tie));
        let mut heartbeats = vec![self.heartbeat];
        for (_, _, peer) in peers.into_iter().take(count.saturating_sub(1)) {
            peer.told += 1;
            heartbeats.push(peer.heartbeat);
        }
        heartbeats
    }
}

/// Returns what `peer` has to refute.
fn accusation(member: u64, peer: &Peer) -> Option<StatusUpdate> {
    let accused = matches!(peer.status, Liveness::Suspect | Liveness::Dead);
    accused.then_some(StatusUpdate {
        member,
        status: peer.status,
        incarnation: peer.incarnation,
    })
}
