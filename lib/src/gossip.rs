//! Liveness of entry VMs by a protocol like SWIM, whose cost per entry VM does not grow with their
//! number.
//!
//! In each round an entry VM pings one other, in a shuffled order. If no ack arrives, it asks a few
//! others to ping on its behalf; if that fails too, it spreads a suspicion. The suspect refutes the
//! suspicion with a higher incarnation, or is declared dead after the suspicion timeout. Status
//! updates are piggybacked on pings and acks, each a number of times that grows with the logarithm
//! of the number of members.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::{IteratorRandom, SliceRandom};

use crate::ids::EntryId;
use crate::members::Members;
use crate::peers::{Heartbeat, Liveness, Packet, PacketKind, StatusUpdate};
use crate::time::Time;

/// Number of rounds after which one dead entry VM is pinged too, so that a partition heals.
const DEAD_PING_ROUNDS: u32 = 4;
/// Number of heartbeats in the ack to an entry VM that asks for many.
const BOOTSTRAP_HEARTBEATS: usize = 56;
/// Number of transmissions of a status update per doubling of the number of members.
const TRANSMIT_FACTOR: u32 = 3;
/// Maximum number of status updates that one packet carries besides the one that its recipient has
/// to refute.
const UPDATES_PER_PACKET: usize = 10;
/// A packet that is older than the newest one of its sender by more than this time, in
/// milliseconds, is refused as replayed.
const REPLAY_WINDOW_MS: u64 = 2_000;

/// Timing and traffic of gossip.
#[derive(Debug, Clone, Copy)]
pub struct GossipConfig {
    /// Interval between two rounds.
    pub round_interval: Duration,
    /// Time without an ack after which others are asked to ping the target.
    pub ack_timeout: Duration,
    /// Time after which an unrefuted suspicion among up to ten members makes its target dead; it
    /// grows with the logarithm of the number of members.
    pub suspicion_timeout: Duration,
    /// Number of entry VMs that are asked to ping an unresponsive target.
    pub relays: usize,
    /// Maximum number of heartbeats in one packet.
    pub heartbeats: usize,
    /// Number of entry VMs to which a datagram of probe reports is sent.
    pub fanout: usize,
    /// Interval between two batches of probe reports.
    pub report_interval: Duration,
    /// Maximum size of the probe reports in one datagram, in bytes.
    pub report_bytes: usize,
}

/// A packet to send.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingPacket {
    /// UDP address of the recipient.
    pub to: String,
    /// The packet.
    pub packet: Packet,
}

/// Another entry VM as gossip knows it.
#[derive(Debug)]
pub struct Peer {
    /// Name of the entry VM.
    pub entry: EntryId,
    /// Last heartbeat of the entry VM that was received.
    pub heartbeat: Heartbeat,
    address: String,
    status: Liveness,
    incarnation: u32,
    /// Time of the last change of status, or of the end of a pause of this process.
    since: Time,
    /// Stamp of the newest packet received from the entry VM.
    stamp: u64,
    /// Number of times that the last heartbeat was passed on.
    passed_on: u32,
}

#[derive(Debug)]
struct PendingPing {
    target: u64,
    seq: u32,
    sent: Time,
    relayed: bool,
}

#[derive(Debug)]
struct QueuedUpdate {
    update: StatusUpdate,
    sent: u32,
}

/// State of one entry VM's gossip.
#[derive(Debug)]
pub struct Gossip {
    config: GossipConfig,
    me: EntryId,
    /// Member number of this entry VM, once the log shows it.
    number: Option<u64>,
    incarnation: u32,
    heartbeat: Heartbeat,
    peers: BTreeMap<u64, Peer>,
    /// Member numbers that are still to be pinged in the current cycle.
    ping_order: Vec<u64>,
    pending_ping: Option<PendingPing>,
    /// Pings sent on behalf of others in this round, by sequence number: the member that asked and
    /// the sequence number of its own ping.
    relayed_pings: BTreeMap<u32, (u64, u32)>,
    update_queue: Vec<QueuedUpdate>,
    seq: u32,
    rounds: u32,
    stamp: u64,
    next_round: Time,
    last_tick: Time,
    last_received: Option<Time>,
    /// Number of packets that were refused as replayed.
    pub replays: u64,
}

impl Gossip {
    /// Creates the gossip state of the entry VM `me`.
    pub fn new(config: GossipConfig, me: EntryId) -> Self {
        Self {
            config,
            me,
            number: None,
            incarnation: 0,
            heartbeat: Heartbeat::default(),
            peers: BTreeMap::new(),
            ping_order: Vec::new(),
            pending_ping: None,
            relayed_pings: BTreeMap::new(),
            update_queue: Vec::new(),
            seq: 0,
            rounds: 0,
            stamp: 0,
            next_round: Time::ZERO,
            last_tick: Time::ZERO,
            last_received: None,
            replays: 0,
        }
    }

    /// Adds and removes peers according to the members that the log announces.
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
                passed_on: 0,
            });
        }
        let known = &self.peers;
        self.ping_order.retain(|n| known.contains_key(n));
    }

    /// Sets the spare share of capacity, from 0 to 1, and the offset in the `config` stream that
    /// this entry VM's heartbeats announce.
    pub fn set_heartbeat(&mut self, spare: f64, config: u64) {
        self.heartbeat.spare = (spare.clamp(0.0, 1.0) * 100.0) as u8;
        if self.heartbeat.config != config {
            self.heartbeat.config = config;
            self.heartbeat.count += 1;
        }
    }

    /// Starts a round when it is due, asks others to ping an unresponsive target, and ends
    /// suspicions that have timed out.
    pub fn tick(&mut self, now: Time, rng: &mut SmallRng, out: &mut Vec<OutgoingPacket>) {
        let paused = now.since(self.last_tick) > self.config.round_interval;
        self.last_tick = now;
        if self.number.is_none() {
            return;
        }
        if paused {
            self.recover_from_pause(now);
        }
        self.ask_relays(now, rng, out);
        self.end_suspicions(now);
        if now >= self.next_round {
            self.next_round = now + self.config.round_interval;
            self.start_round(now, rng, out);
        }
    }

    /// Handles a packet whose authenticity was verified.
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
        self.last_received = Some(now);
        self.discover(now, packet.from);
        for update in &packet.updates {
            self.apply_update(now, *update);
        }
        for heartbeat in &packet.beats {
            self.apply_heartbeat(now, *heartbeat);
        }
        match packet.kind {
            PacketKind::Ping => self.send_ack(now, packet, rng, out),
            PacketKind::Ack => self.handle_ack(now, packet, rng, out),
            PacketKind::Relay => self.relay_ping(now, packet, rng, out),
        }
    }

    /// Returns another entry VM, or `None` if it is unknown or not considered alive.
    pub fn live_peer(&self, members: &Members, entry: &EntryId) -> Option<&Peer> {
        let peer = self.peers.get(&members.number(entry)?)?;
        peer.status.is_live().then_some(peer)
    }

    /// Iterates over the other entry VMs that are considered alive.
    pub fn live_peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|p| p.status.is_live())
    }

    /// Iterates over the entry VMs that have not been alive for at least `silence`.
    pub fn silent_peers(&self, now: Time, silence: Duration) -> impl Iterator<Item = &Peer> {
        let is_silent = move |p: &&Peer| !p.status.is_live() && now.since(p.since) >= silence;
        self.peers.values().filter(is_silent)
    }

    /// Returns whether more than half of the members, including this one, are considered alive.
    pub fn sees_majority(&self) -> bool {
        2 * (self.live_peers().count() + 1) > self.peers.len() + 1
    }

    /// Returns whether a packet of any other entry VM arrived within two rounds and the suspicion
    /// timeout.
    pub fn peers_up(&self, now: Time) -> bool {
        let bound = self.config.round_interval * 2 + self.config.suspicion_timeout;
        self.last_received.is_some_and(|at| now.since(at) <= bound)
    }

    /// Picks random live entry VMs and returns the addresses to send a datagram of probe reports
    /// to.
    pub fn report_targets(&self, rng: &mut SmallRng) -> Vec<String> {
        self.live_peers()
            .choose_multiple(rng, self.config.fanout)
            .into_iter()
            .map(|p| p.address.clone())
            .collect()
    }

    /// Discards the conclusions about others that only a pause of this process would justify.
    fn recover_from_pause(&mut self, now: Time) {
        self.pending_ping = None;
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
        self.relayed_pings.clear();
        if let Some(missed) = self.pending_ping.take() {
            self.suspect(now, missed.target);
            let seq = self.next_seq();
            self.send(now, missed.target, PacketKind::Ping, (seq, 0), rng, out);
        }
        if self.rounds.is_multiple_of(DEAD_PING_ROUNDS) {
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
        self.pending_ping = Some(PendingPing {
            target,
            seq,
            sent: now,
            relayed: false,
        });
        self.send(now, target, PacketKind::Ping, (seq, 0), rng, out);
    }

    fn next_target(&mut self, rng: &mut SmallRng) -> Option<u64> {
        loop {
            if self.ping_order.is_empty() {
                self.ping_order = self.peers.keys().copied().collect();
                self.ping_order.shuffle(rng);
                self.ping_order
                    .retain(|n| self.peers[n].status != Liveness::Dead);
            }
            let number = self.ping_order.pop()?;
            if self.peers[&number].status != Liveness::Dead {
                return Some(number);
            }
        }
    }

    fn ask_relays(&mut self, now: Time, rng: &mut SmallRng, out: &mut Vec<OutgoingPacket>) {
        let ack = self.config.ack_timeout;
        let Some(pending_ping) = &mut self.pending_ping else {
            return;
        };
        if pending_ping.relayed || now.since(pending_ping.sent) < ack {
            return;
        }
        pending_ping.relayed = true;
        let (target, seq) = (pending_ping.target, pending_ping.seq);
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
            self.apply_update(
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
        self.apply_update(now, update);
    }

    /// Marks an entry VM of unknown status as alive.
    fn discover(&mut self, now: Time, member: u64) {
        if self.peers.get(&member).map(|p| p.status) == Some(Liveness::Unknown) {
            let update = StatusUpdate {
                member,
                status: Liveness::Alive,
                incarnation: 0,
            };
            self.apply_update(now, update);
        }
    }

    fn apply_update(&mut self, now: Time, update: StatusUpdate) {
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
        self.queue_update(update);
    }

    fn refute(&mut self, update: StatusUpdate) {
        if update.status == Liveness::Alive || update.incarnation < self.incarnation {
            return;
        }
        self.incarnation = update.incarnation + 1;
        self.queue_update(StatusUpdate {
            member: update.member,
            status: Liveness::Alive,
            incarnation: self.incarnation,
        });
    }

    fn queue_update(&mut self, update: StatusUpdate) {
        self.update_queue
            .retain(|n| n.update.member != update.member);
        self.update_queue.push(QueuedUpdate { update, sent: 0 });
    }

    fn apply_heartbeat(&mut self, now: Time, heartbeat: Heartbeat) {
        let Some(peer) = self.peers.get_mut(&heartbeat.member) else {
            return;
        };
        if heartbeat.count > peer.heartbeat.count {
            peer.heartbeat = heartbeat;
            peer.passed_on = 0;
            self.discover(now, heartbeat.member);
        }
    }

    fn send_ack(
        &mut self,
        now: Time,
        packet: &Packet,
        rng: &mut SmallRng,
        out: &mut Vec<OutgoingPacket>,
    ) {
        self.send(now, packet.from, PacketKind::Ack, (packet.seq, 0), rng, out);
        if let Some(outgoing) = out.last_mut().filter(|_| packet.asks) {
            outgoing.packet.beats = self.pick_heartbeats(BOOTSTRAP_HEARTBEATS, rng);
        }
    }

    fn handle_ack(
        &mut self,
        now: Time,
        packet: &Packet,
        rng: &mut SmallRng,
        out: &mut Vec<OutgoingPacket>,
    ) {
        self.pending_ping.take_if(|p| p.seq == packet.seq);
        if let Some((asker, seq)) = self.relayed_pings.remove(&packet.seq) {
            self.send(now, asker, PacketKind::Ack, (seq, 0), rng, out);
        }
    }

    fn relay_ping(
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
        self.relayed_pings.insert(seq, (packet.from, packet.seq));
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
        let (address, refutable) = (peer.address.clone(), refutable_update(to, peer));
        self.stamp = self.stamp.max(now.as_millis());
        let mut updates: Vec<StatusUpdate> = refutable.into_iter().collect();
        updates.extend(self.pick_updates());
        let packet = Packet {
            from,
            stamp: self.stamp,
            kind,
            seq,
            target,
            asks: self.wants_heartbeats(),
            updates,
            beats: self.pick_heartbeats(self.config.heartbeats, rng),
        };
        out.push(OutgoingPacket {
            to: address,
            packet,
        });
    }

    /// Returns whether to ask for many heartbeats: in the first 64 rounds, while fewer than half of
    /// the other entry VMs are known to be alive.
    fn wants_heartbeats(&self) -> bool {
        2 * self.live_peers().count() < self.peers.len() && self.rounds < 64
    }

    /// Picks the updates that were sent least often, and drops those that were sent often enough.
    fn pick_updates(&mut self) -> Vec<StatusUpdate> {
        let members = self.peers.len() as u32 + 1;
        let enough = TRANSMIT_FACTOR * (u32::BITS - members.leading_zeros());
        self.update_queue.sort_by_key(|n| n.sent);
        let mut out = Vec::new();
        for queued in self.update_queue.iter_mut().take(UPDATES_PER_PACKET) {
            queued.sent += 1;
            out.push(queued.update);
        }
        self.update_queue.retain(|n| n.sent < enough);
        out
    }

    /// Returns the interval between two heartbeats of this entry VM.
    pub fn heartbeat_interval(&self) -> Duration {
        self.config.round_interval * self.heartbeat_rounds()
    }

    /// Returns the number of rounds between two heartbeats, which grows with the number of members
    /// to bound the traffic.
    fn heartbeat_rounds(&self) -> u32 {
        (self.peers.len() / self.config.heartbeats.max(1)).max(1) as u32
    }

    /// Picks this entry VM's heartbeat and those of live others that were passed on least often.
    fn pick_heartbeats(&mut self, count: usize, rng: &mut impl Rng) -> Vec<Heartbeat> {
        let known = |p: &&mut Peer| p.status.is_live() && p.heartbeat.count > 0;
        let mut peers: Vec<(u32, u32, &mut Peer)> = self
            .peers
            .values_mut()
            .filter(known)
            .map(|p| (p.passed_on, rng.random(), p))
            .collect();
        peers.sort_unstable_by_key(|(passed_on, tie, _)| (*passed_on, *tie));
        let mut heartbeats = vec![self.heartbeat];
        for (_, _, peer) in peers.into_iter().take(count.saturating_sub(1)) {
            peer.passed_on += 1;
            heartbeats.push(peer.heartbeat);
        }
        heartbeats
    }
}

/// Returns the update that `peer` has to refute, if it is suspected or dead.
fn refutable_update(member: u64, peer: &Peer) -> Option<StatusUpdate> {
    let refutable = matches!(peer.status, Liveness::Suspect | Liveness::Dead);
    refutable.then_some(StatusUpdate {
        member,
        status: peer.status,
        incarnation: peer.incarnation,
    })
}
