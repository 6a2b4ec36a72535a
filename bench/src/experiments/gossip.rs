//! Bandwidth and detection time of gossip by number of entry VMs, in virtual time.

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

/// Numbers of entry VMs.
const NODE_COUNTS: [usize; 4] = [7, 60, 180, 380];
/// Virtual time of one step, which is also the delay of every packet.
const STEP: Duration = Duration::from_millis(40);
/// Virtual time before the first measurement.
const WARM_UP: Duration = Duration::from_secs(30);
/// Virtual time of a measurement.
const MEASURED: Duration = Duration::from_secs(15);
/// Virtual time after which the simulation stops waiting for the detection of a crash.
const DETECTION_LIMIT: Duration = Duration::from_secs(40);
/// Bytes of the IPv4 and UDP headers of one datagram.
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
    about: "Bytes a second, detection time and age of heartbeats by number of entry VMs",
    timed: false,
    run,
};

fn run(options: &Options) -> Vec<Figure> {
    NODE_COUNTS
        .iter()
        .flat_map(|size| measure(*size, options.seed))
        .collect()
}

fn measure(size: usize, seed: u64) -> Vec<Figure> {
    let figure =
        |quantity: &str, value, unit| Figure::new(format!("gossip.{quantity}.{size}"), value, unit);
    let mut simulation = Simulation::new(size, seed);
    simulation.run(WARM_UP);
    let unheard = simulation.count_pairs(|g, members, of| g.live_peer(members, of).is_none());
    simulation.sent_bytes = 0;
    simulation.max_datagram_bytes = 0;
    simulation.run(MEASURED);
    let bytes = simulation.sent_bytes as f64 / size as f64 / MEASURED.as_secs_f64();
    let lag_s = simulation.max_heartbeat_lag_s();
    simulation.crash(size - 1);
    let crashed = simulation.now;
    let (mut first_detection_s, mut last_detection_s) = (None, None);
    while last_detection_s.is_none() && simulation.now.since(crashed) < DETECTION_LIMIT {
        simulation.run(STEP);
        let live_count = simulation.live_count(size - 1);
        let elapsed_s = simulation.now.since(crashed).as_secs_f64();
        first_detection_s = first_detection_s.or((live_count < size - 1).then_some(elapsed_s));
        last_detection_s = (live_count == 0).then_some(elapsed_s);
    }
    simulation.loss_rate = 0.1;
    simulation.run(MEASURED);
    let wrongly_dead = simulation.count_pairs(|g, members, of| g.live_peer(members, of).is_none());
    vec![
        figure("bytes_per_s", bytes, "B/s"),
        figure("datagram", simulation.max_datagram_bytes as f64, "B"),
        figure("unheard_pairs", unheard as f64, "pairs"),
        figure("oldest_beat", lag_s, "s"),
        figure("detected_first", first_detection_s.unwrap_or(f64::NAN), "s"),
        figure("detected_by_all", last_detection_s.unwrap_or(f64::NAN), "s"),
        figure("wrongly_dead_at_loss", wrongly_dead as f64, "pairs"),
    ]
}

struct Simulation {
    now: Time,
    rng: SmallRng,
    members: Members,
    keys: KeyRing,
    nodes: Vec<Option<Gossip>>,
    in_flight: BTreeMap<usize, Vec<OutgoingPacket>>,
    sent_bytes: usize,
    max_datagram_bytes: usize,
    loss_rate: f64,
}

impl Simulation {
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
            in_flight: BTreeMap::new(),
            sent_bytes: 0,
            max_datagram_bytes: 0,
            loss_rate: 0.0,
        }
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        for (to, packets) in std::mem::take(&mut self.in_flight) {
            for outgoing in packets {
                self.with_node(to, |gossip, now, rng, out| {
                    gossip.receive(now, &outgoing.packet, rng, out);
                });
            }
        }
        for i in 0..self.nodes.len() {
            self.with_node(i, |gossip, now, rng, out| gossip.tick(now, rng, out));
        }
    }

    fn with_node(
        &mut self,
        i: usize,
        call: impl FnOnce(&mut Gossip, Time, &mut SmallRng, &mut Vec<OutgoingPacket>),
    ) {
        let Some(gossip) = &mut self.nodes[i] else {
            return;
        };
        let mut out = Vec::new();
        call(gossip, self.now, &mut self.rng, &mut out);
        for outgoing in out {
            let message = GossipMessage::Packet(outgoing.packet.clone());
            let bytes = self.keys.sign(&message).len();
            self.sent_bytes += bytes + HEADERS;
            self.max_datagram_bytes = self.max_datagram_bytes.max(bytes);
            if !self.rng.random_bool(self.loss_rate) {
                let to = outgoing
                    .to
                    .parse()
                    .expect("gossip addresses are node indices");
                self.in_flight.entry(to).or_default().push(outgoing);
            }
        }
    }

    fn crash(&mut self, i: usize) {
        self.nodes[i] = None;
    }

    /// Returns the number of running nodes that consider node `i` alive.
    fn live_count(&self, i: usize) -> usize {
        let entry = format!("entry-{i:03}").as_str().into();
        let nodes = self.nodes.iter().flatten();
        nodes
            .filter(|g| g.live_peer(&self.members, &entry).is_some())
            .count()
    }

    /// Returns the number of ordered pairs of running nodes for which `predicate` holds.
    fn count_pairs(
        &self,
        predicate: impl Fn(&Gossip, &Members, &hemlock_lib::ids::EntryId) -> bool,
    ) -> usize {
        let running = |i: &usize| self.nodes[*i].is_some();
        let mut count = 0;
        for observer in (0..self.nodes.len()).filter(running) {
            for of in (0..self.nodes.len())
                .filter(running)
                .filter(|of| *of != observer)
            {
                let entry = format!("entry-{of:03}").as_str().into();
                let gossip = self.nodes[observer].as_ref().expect("the node is running");
                count += usize::from(predicate(gossip, &self.members, &entry));
            }
        }
        count
    }

    /// Returns the largest difference, in seconds, between the heartbeats that two nodes have received
    /// of the same member.
    fn max_heartbeat_lag_s(&self) -> f64 {
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
