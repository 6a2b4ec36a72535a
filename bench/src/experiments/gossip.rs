//! Cost and speed of gossip as the number of entry VMs grows, in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use hemlock_lib::gossip::{Gossip, GossipConfig, OutgoingPacket};
use hemlock_lib::ids::{Incarnation, Nonce, Offset};
use hemlock_lib::members::{Member, MemberChange, MemberRecord, Members};
use hemlock_lib::message_auth::{Key, KeyRing};
use hemlock_lib::peers::GossipMessage;
use hemlock_lib::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::Experiment;
use crate::figure::{Figure, Options};

const SIZES: [usize; 4] = [7, 60, 180, 380];
const STEP: Duration = Duration::from_millis(40);
const WARM_UP: Duration = Duration::from_secs(30);
const SPAN: Duration = Duration::from_secs(15);
const DETECTION_BOUND: Duration = Duration::from_secs(40);
/// Bytes of IP and UDP headers of one datagram.
const HEADERS: usize = 28;
const CONFIG: GossipConfig = GossipConfig {
    round_interval: Duration::from_millis(500),
    ack_timeout: Duration::from_millis(200),
    suspicion_timeout: Duration::from_millis(2_000),
    relays: 5,
    heartbeats: 24,
    fanout: 6,
    report_interval: Duration::from_millis(600),
    report_bytes: 1_150,
};

/// The experiment.
pub(super) const EXPERIMENT: Experiment = Experiment {
    name: "gossip",
    about: "Bytes a second, detection time and age of beats by number of entry VMs",
    timed: false,
    run,
};

fn run(options: &Options) -> Vec<Figure> {
    SIZES
        .iter()
        .flat_map(|size| measure(*size, options.seed))
        .collect()
}

fn measure(size: usize, seed: u64) -> Vec<Figure> {
    let figure =
        |what: &str, value, unit| Figure::new(format!("gossip.{what}.{size}"), value, unit);
    let mut net = Net::new(size, seed);
    net.run(WARM_UP);
    let unheard = net.pairs(|g, members, of| g.live_peer(members, of).is_none());
    net.sent = 0;
    net.largest = 0;
    net.run(SPAN);
    let bytes = net.sent as f64 / size as f64 / SPAN.as_secs_f64();
    let age = net.oldest_heartbeat();
    net.crash(size - 1);
    let crashed = net.now;
    let (mut first, mut last) = (None, None);
    while last.is_none() && net.now.since(crashed) < DETECTION_BOUND {
        net.run(STEP);
        let holding = net.holding(size - 1);
        let passed = net.now.since(crashed).as_secs_f64();
        first = first.or((holding < size - 1).then_some(passed));
        last = (holding == 0).then_some(passed);
    }
    net.loss = 0.1;
    net.run(SPAN);
    let wrong = net.pairs(|g, members, of| g.live_peer(members, of).is_none());
    vec![
        figure("bytes_per_s", bytes, "B/s"),
        figure("datagram", net.largest as f64, "B"),
        figure("unheard_pairs", unheard as f64, "pairs"),
        figure("oldest_beat", age, "s"),
        figure("detected_first", first.unwrap_or(f64::NAN), "s"),
        figure("detected_by_all", last.unwrap_or(f64::NAN), "s"),
        figure("wrongly_dead_at_loss", wrong as f64, "pairs"),
    ]
}

struct Net {
    now: Time,
    rng: SmallRng,
    members: Members,
    keys: KeyRing,
    nodes: Vec<Option<Gossip>>,
    transit: BTreeMap<usize, Vec<OutgoingPacket>>,
    sent: usize,
    largest: usize,
    loss: f64,
}

impl Net {
    fn new(size: usize, seed: u64) -> Self {
        let members = members(size);
        let node = |i: usize| {
            let mut gossip = Gossip::new(CONFIG, format!("entry-{i:03}").as_str().into());
            gossip.update_members(Time::ZERO, &members);
            Some(gossip)
        };
        Self {
            now: Time::from_millis(1_000_000),
            rng: SmallRng::seed_from_u64(seed),
            nodes: (0..size).map(node).collect(),
            members,
            keys: KeyRing::new(vec![Key {
                id: 1,
                secret: vec![7; 32],
            }]),
            transit: BTreeMap::new(),
            sent: 0,
            largest: 0,
            loss: 0.0,
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        for (to, packets) in std::mem::take(&mut self.transit) {
            for outgoing in packets {
                self.visit(to, |gossip, now, rng, out| {
                    gossip.receive(now, &outgoing.packet, rng, out);
                });
            }
        }
        for i in 0..self.nodes.len() {
            self.visit(i, |gossip, now, rng, out| gossip.tick(now, rng, out));
        }
    }

    fn visit(
        &mut self,
        i: usize,
        visit: impl FnOnce(&mut Gossip, Time, &mut SmallRng, &mut Vec<OutgoingPacket>),
    ) {
        let Some(gossip) = &mut self.nodes[i] else {
            return;
        };
        let mut out = Vec::new();
        visit(gossip, self.now, &mut self.rng, &mut out);
        for outgoing in out {
            let message = GossipMessage::Packet(outgoing.packet.clone());
            let bytes = self.keys.sign(&message).len();
            self.sent += bytes + HEADERS;
            self.largest = self.largest.max(bytes);
            if !self.rng.random_bool(self.loss) {
                let to = outgoing.to.parse().expect("addresses are indices");
                self.transit.entry(to).or_default().push(outgoing);
            }
        }
    }

    fn crash(&mut self, i: usize) {
        self.nodes[i] = None;
    }

    /// Counts the running nodes that hold node `i` alive.
    fn holding(&self, i: usize) -> usize {
        let entry = format!("entry-{i:03}").as_str().into();
        let nodes = self.nodes.iter().flatten();
        nodes
            .filter(|g| g.live_peer(&self.members, &entry).is_some())
            .count()
    }

    /// Counts pairs of running nodes for which `wanted` holds.
    fn pairs(
        &self,
        wanted: impl Fn(&Gossip, &Members, &hemlock_lib::ids::EntryId) -> bool,
    ) -> usize {
        let running = |i: &usize| self.nodes[*i].is_some();
        let mut pairs = 0;
        for by in (0..self.nodes.len()).filter(running) {
            for of in (0..self.nodes.len()).filter(running).filter(|of| *of != by) {
                let entry = format!("entry-{of:03}").as_str().into();
                let gossip = self.nodes[by].as_ref().expect("it runs");
                pairs += usize::from(wanted(gossip, &self.members, &entry));
            }
        }
        pairs
    }

    /// Returns how far, in seconds, the oldest beat that any node holds lies behind the newest one
    /// of the same member that any other node holds.
    fn oldest_heartbeat(&self) -> f64 {
        let nodes = || self.nodes.iter().flatten();
        let mut newest = BTreeMap::new();
        for peer in nodes().flat_map(Gossip::live_peers) {
            let count: &mut u32 = newest.entry(&peer.entry).or_default();
            *count = peer.heartbeat.count.max(*count);
        }
        let peers = nodes().flat_map(Gossip::live_peers);
        let behind = peers.map(|p| newest[&p.entry] - p.heartbeat.count).max();
        let time = nodes()
            .map(Gossip::heartbeat_interval)
            .max()
            .unwrap_or_default();
        time.as_secs_f64() * f64::from(behind.unwrap_or(0))
    }
}

fn members(size: usize) -> Members {
    let mut members = Members::default();
    for i in 0..size {
        let member = Member {
            entry: format!("entry-{i:03}").as_str().into(),
            domain: "riverside".into(),
            gateway: format!("http://10.0.{}.{}:8100", i / 256, i % 256),
            agent: format!("http://10.0.{}.{}:8101", i / 256, i % 256),
            gossip: i.to_string(),
            incarnation: Incarnation(1),
            leaving: false,
        };
        let change = MemberChange::Join(member);
        let nonce = Nonce(i as u64);
        members.fold(Offset(i as u64), &MemberRecord { nonce, change });
    }
    members
}
