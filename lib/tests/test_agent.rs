//! Agents against a small log and lossy datagrams, in virtual time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::agent::{Agent, AgentConfig, Input, Output};
use hemlock_lib::appender::{AppendOutcome, Ticket};
use hemlock_lib::chart::Charts;
use hemlock_lib::codec;
use hemlock_lib::gossip::GossipConfig;
use hemlock_lib::ids::{EntryId, Incarnation, Offset, StreamId};
use hemlock_lib::members::Member;
use hemlock_lib::message_auth::{Key, KeyRing};
use hemlock_lib::peers::{Settled, Submit};
use hemlock_lib::platform::{AppendCall, ReadCall, ReadReply, StreamPart, VmListing, VmRole};
use hemlock_lib::probe::ProbeConfig;
use hemlock_lib::snapshot_schedule::SnapshotConfig;
use hemlock_lib::table::{ConfigRecord, Edit, GroupRow, Refusal, Row, RowKey};
use hemlock_lib::time::Time;
use hemlock_lib::view::{Health, View};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_bytes::ByteBuf;

const AGENTS: usize = 7;
const TICK: Duration = Duration::from_millis(20);
const HOP: Duration = Duration::from_millis(5);
const CALL_BOUND: Duration = Duration::from_secs(2);
const UDP_HEADER: usize = 28;

#[derive(Default)]
struct Stream {
    kept: u64,
    records: Vec<(Time, ByteBuf)>,
}

struct Node {
    agent: Option<Agent>,
    paused: Time,
    slow: Duration,
    runs: u64,
    keys: KeyRing,
    view: Option<Arc<View>>,
    parked: Option<(Time, ReadCall)>,
    sent: usize,
}

enum Event {
    Tick,
    Input(Input),
    Wake,
}

/// Agents, their log and the network between them.
struct World {
    now: Time,
    rng: SmallRng,
    charts: Charts,
    nodes: Vec<Node>,
    events: BTreeMap<(Time, u64), (usize, u64, Event)>,
    seq: u64,
    streams: BTreeMap<StreamId, Stream>,
    log_out: bool,
    loss: f64,
    retention: Duration,
    settled: BTreeMap<Ticket, (Time, Settled)>,
    tickets: u64,
    appends: u64,
    datagram: usize,
    vms: usize,
}

fn key(id: u32) -> Key {
    Key {
        id,
        secret: vec![id as u8; 32],
    }
}

fn name(i: usize) -> String {
    format!("entry-{i}")
}

impl World {
    fn new(seed: u64, agents: usize, retention: Duration) -> Self {
        let node = |_| Node {
            agent: None,
            paused: Time::ZERO,
            slow: Duration::ZERO,
            runs: 0,
            keys: KeyRing::new(vec![key(1)]),
            view: None,
            parked: None,
            sent: 0,
        };
        let mut world = Self {
            now: Time::from_millis(1_000_000_000),
            rng: SmallRng::seed_from_u64(seed),
            charts: Charts::built_in().expect("built-in charts"),
            nodes: (0..agents).map(node).collect(),
            events: BTreeMap::new(),
            seq: 0,
            streams: BTreeMap::new(),
            log_out: false,
            loss: 0.0,
            retention,
            settled: BTreeMap::new(),
            tickets: 0,
            appends: 0,
            datagram: 0,
            vms: 3,
        };
        for i in 0..agents {
            world.start(i);
        }
        world
    }

    /// Starts an agent, or replaces the one that runs.
    fn start(&mut self, i: usize) {
        self.nodes[i].runs += 1;
        let run = self.nodes[i].runs;
        let member = Member {
            entry: name(i).as_str().into(),
            domain: "riverside".into(),
            gateway: format!("gateway-{i}"),
            agent: i.to_string(),
            gossip: i.to_string(),
            incarnation: Incarnation(run),
            leaving: false,
        };
        let config = AgentConfig {
            member,
            domains: vec!["riverside".into()],
            claim_partitions: 1,
            probe: ProbeConfig {
                interval: Duration::from_millis(300),
                lost_after: Duration::from_millis(2_000),
            },
            gossip: GossipConfig {
                round_interval: Duration::from_millis(500),
                ack_timeout: Duration::from_millis(200),
                suspicion_timeout: Duration::from_millis(2_000),
                relays: 5,
                heartbeats: 24,
                fanout: 6,
                report_interval: Duration::from_millis(600),
                report_bytes: 1_150,
            },
            snapshots: SnapshotConfig::new(self.retention, Duration::from_secs(3_600)),
            remove_after: Duration::from_secs(20),
            bootstrap_agents: vec![((i + 1) % self.nodes.len()).to_string()],
            keys: self.nodes[i].keys.clone(),
            seed: self.rng.random(),
        };
        self.nodes[i].agent = Some(Agent::new(config, &self.charts));
        self.nodes[i].view = None;
        self.nodes[i].parked = None;
        self.push(i, TICK, Event::Tick);
    }

    fn push(&mut self, node: usize, after: Duration, event: Event) {
        self.seq += 1;
        let run = self.nodes[node].runs;
        self.events
            .insert((self.now + after, self.seq), (node, run, event));
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.events.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let (node, run, event) = entry.remove();
            self.now = self.now.max(at);
            if run != self.nodes[node].runs {
                continue;
            }
            let paused = self.nodes[node].paused;
            if paused > self.now {
                self.push(node, paused.since(self.now), event);
                continue;
            }
            self.happen(node, event);
        }
        self.now = end;
        self.expire_records();
    }

    fn run_until(&mut self, bound: Duration, done: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !done(self) {
            assert!(self.now.since(start) < bound, "not done within {bound:?}");
            self.run(TICK);
        }
        self.now.since(start)
    }

    fn happen(&mut self, node: usize, event: Event) {
        match event {
            Event::Tick => {
                self.push(node, TICK, Event::Tick);
                self.input(node, Input::Tick);
            }
            Event::Input(input) => self.input(node, input),
            Event::Wake => {
                if let Some((until, call)) = self.nodes[node].parked.take() {
                    self.read(node, call, until);
                }
            }
        }
    }

    fn input(&mut self, node: usize, input: Input) {
        let Some(agent) = &mut self.nodes[node].agent else {
            return;
        };
        let mut out = Vec::new();
        agent.step(self.now, input, &mut out);
        for output in out {
            self.carry_out(node, output);
        }
    }

    fn carry_out(&mut self, node: usize, output: Output) {
        let hop = HOP + self.nodes[node].slow;
        let reply = match output {
            Output::Read(call) => {
                let until = self.now + Duration::from_millis(u64::from(call.wait_ms as u32));
                return self.read(node, call, until);
            }
            Output::Append(id, call) => {
                let (end, after) = self.append(&call);
                self.push(node, hop + after, Event::Input(Input::Appended(id, end)));
                return;
            }
            Output::Fetch(url) => {
                let peer = url.parse::<usize>().ok().and_then(|i| self.nodes.get(i));
                let agent = peer.and_then(|n| n.agent.as_ref());
                Input::Fetched(agent.map(|a| a.folds().export()))
            }
            Output::List => Input::Listed(Some(listings(self.vms))),
            Output::Probe(listing) => Input::Probed {
                vm: listing.vm,
                answered: true,
                state: None,
            },
            Output::Send { to, bytes } => {
                self.nodes[node].sent += bytes.len() + UDP_HEADER;
                self.datagram = self.datagram.max(bytes.len());
                let to: usize = to.parse().expect("addresses are indices");
                if !self.rng.random_bool(self.loss) {
                    let after = hop + self.nodes[to].slow;
                    self.push(to, after, Event::Input(Input::Datagram(bytes)));
                }
                return;
            }
            Output::Settle(ticket, settled) => {
                self.settled.insert(ticket, (self.now, settled));
                return;
            }
            Output::Publish(view) => {
                self.check_monotone(node, &view);
                self.nodes[node].view = Some(view);
                return;
            }
        };
        self.push(node, hop, Event::Input(reply));
    }

    fn read(&mut self, node: usize, call: ReadCall, until: Time) {
        let hop = HOP + self.nodes[node].slow;
        if self.log_out || self.rng.random_bool(self.loss) {
            return self.push(node, hop * 10, Event::Input(Input::Read(None)));
        }
        let none = Stream::default();
        let part = |(id, from): &(StreamId, Offset)| {
            let stream = self.streams.get(id).unwrap_or(&none);
            let first = from.0.max(stream.kept);
            let records = stream.records.iter().skip((first - stream.kept) as usize);
            StreamPart {
                stream: id.clone(),
                kept: Offset(stream.kept),
                end: Offset(stream.kept + stream.records.len() as u64),
                records: (first..)
                    .map(Offset)
                    .zip(records.map(|(_, r)| r.clone()))
                    .collect(),
            }
        };
        let parts: Vec<StreamPart> = call.wants.iter().map(part).collect();
        let news = parts.iter().zip(&call.wants);
        if news
            .into_iter()
            .any(|(p, w)| !p.records.is_empty() || p.kept > w.1)
            || self.now >= until
        {
            let reply = Input::Read(Some(ReadReply { parts }));
            return self.push(node, hop, Event::Input(reply));
        }
        self.nodes[node].parked = Some((until, call));
        self.push(node, until.since(self.now), Event::Wake);
    }

    fn append(&mut self, call: &AppendCall) -> (AppendOutcome, Duration) {
        if self.log_out {
            return (AppendOutcome::Refused, Duration::ZERO);
        }
        let lost = self.rng.random_bool(self.loss);
        if lost && self.rng.random_bool(0.5) {
            return (AppendOutcome::Lost, CALL_BOUND);
        }
        self.appends += 1;
        let stream = self.streams.entry(call.stream.clone()).or_default();
        let now = self.now;
        stream
            .records
            .extend(call.records.iter().map(|r| (now, r.clone())));
        for node in 0..self.nodes.len() {
            self.push(node, HOP, Event::Wake);
        }
        match lost {
            true => (AppendOutcome::Lost, CALL_BOUND),
            false => (AppendOutcome::Appended, HOP),
        }
    }

    fn expire_records(&mut self) {
        let limit = self.now - self.retention;
        for stream in self.streams.values_mut() {
            let old = stream.records.iter().take_while(|(at, _)| *at < limit);
            let old = old.count();
            stream.records.drain(..old);
            stream.kept += old as u64;
        }
    }

    fn submit(&mut self, node: usize, author: &str, key: &RowKey, replicas: u32) -> Ticket {
        let agent = self.nodes[node].agent.as_ref().expect("the agent runs");
        let base = agent.folds().table.entry(key).map(|e| e.version);
        let row = Some(group(replicas));
        let edits = vec![Edit {
            key: key.clone(),
            base,
            row,
        }];
        self.submit_edits(node, author, edits)
    }

    fn submit_edits(&mut self, node: usize, author: &str, edits: Vec<Edit>) -> Ticket {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let submit = Submit::Config {
            author: author.to_owned(),
            edits,
        };
        let deadline = self.now + Duration::from_secs(5);
        let input = Input::Submit {
            ticket,
            submit,
            deadline,
        };
        self.input(node, input);
        ticket
    }

    fn in_force(&self, offset: Offset) -> bool {
        let agents = self.nodes.iter().filter_map(|n| n.agent.as_ref());
        agents.into_iter().all(|a| a.folds().table.next > offset)
    }

    fn confirmed(&self, by: usize, offset: Offset) -> bool {
        let view = self.nodes[by].view.as_ref();
        view.is_some_and(|v| v.entries.iter().all(|e| e.config > offset.0))
    }

    fn holds_live(&self, by: usize, who: usize) -> bool {
        let view = self.nodes[by].view.as_ref().expect("a view");
        let who: EntryId = name(who).as_str().into();
        view.entries.iter().any(|e| e.member.entry == who && e.live)
    }

    fn all_live(&self) -> bool {
        let all = 0..self.nodes.len();
        all.clone().all(|by| {
            self.nodes[by].view.is_some() && all.clone().all(|who| self.holds_live(by, who))
        })
    }

    fn accepted(&self, ticket: Ticket) -> Option<Offset> {
        match self.settled.get(&ticket) {
            Some((_, Settled::Accepted { offset })) => Some(*offset),
            _ => None,
        }
    }

    /// No row of a view ever goes back to an earlier version.
    fn check_monotone(&self, node: usize, view: &View) {
        let Some(old) = &self.nodes[node].view else {
            return;
        };
        for (key, entry, _) in old.table.rows() {
            let new = view.table.entry(key).map(|e| e.version);
            assert!(new >= Some(entry.version), "{key} reverted on {node}");
        }
    }

    fn authors(&self) -> Vec<String> {
        let stream = self.streams.get(&StreamId::new("config"));
        let records = stream.into_iter().flat_map(|s| &s.records);
        let author = |r: &ByteBuf| codec::decode::<ConfigRecord>(r).ok().map(|c| c.author);
        records.filter_map(|(_, r)| author(r)).collect()
    }
}

fn listings(count: usize) -> Vec<VmListing> {
    let listing = |i| VmListing {
        vm: format!("portal-app-{i}").as_str().into(),
        address: format!("http://10.0.0.{i}"),
        domain: "riverside".into(),
        role: VmRole::Service("portal-app".into()),
        leaving: false,
    };
    (0..count).map(listing).collect()
}

fn group(replicas: u32) -> Row {
    Row::Group(GroupRow {
        replicas,
        minimum: 0,
        downtime: 1.0,
        stranded: 1.0,
        reserve: 0,
        slots: 8,
    })
}

fn row_key(name: &str) -> RowKey {
    RowKey::Group(name.into())
}

fn day() -> Duration {
    Duration::from_secs(24 * 3_600)
}

fn started(seed: u64) -> World {
    let mut world = World::new(seed, AGENTS, day());
    world.run_until(Duration::from_secs(15), World::all_live);
    world
}

fn accept(world: &mut World, node: usize, replicas: u32) -> Offset {
    for _ in 0..8 {
        let ticket = world.submit(node, "operator", &row_key("listwriter"), replicas);
        world.run_until(Duration::from_secs(6), |w| w.settled.contains_key(&ticket));
        if let Some(offset) = world.accepted(ticket) {
            return offset;
        }
        world.run(Duration::from_secs(1));
    }
    panic!("no change was accepted: {:?}", world.settled);
}

#[test]
fn change_is_in_force_and_confirmed_in_time() {
    let two_s = Duration::from_secs(2);
    let twelve_s = Duration::from_secs(12);
    for seed in 0..20 {
        let mut world = started(seed);
        let offset = accept(&mut world, 0, 3);
        world.run_until(two_s, |w| w.in_force(offset));
        world.run_until(twelve_s, |w| w.confirmed(0, offset));

        world.loss = 0.1;
        world.nodes[3].slow = Duration::from_millis(400);
        let offset = accept(&mut world, 1, 4);
        world.run_until(twelve_s, |w| w.in_force(offset));

        world.log_out = true;
        world.run(Duration::from_secs(30));
        let ticket = world.submit(2, "operator", &row_key("listwriter"), 5);
        world.run(TICK);
        assert_eq!(world.settled[&ticket].1, Settled::NotAppended);
        world.log_out = false;
        let start = world.now;
        let offset = accept(&mut world, 2, 5);
        world.run_until(twelve_s, |w| w.in_force(offset));
        assert!(world.now.since(start) < twelve_s);
    }
}

#[test]
fn changes_never_revert_and_refusals_are_true() {
    for seed in 0..60 {
        let mut world = World::new(seed, 5, Duration::from_secs(20));
        world.run(Duration::from_secs(3));
        let mut tickets = BTreeMap::new();
        for step in 0..40 {
            let node = world.rng.random_range(0..5);
            let author = format!("operator-{step}");
            let key = row_key(["a", "b"][step % 2]);
            match world.rng.random_range(0..10) {
                0 => world.log_out = !world.log_out,
                1 => world.loss = [0.0, 0.1, 0.3][step % 3],
                2 => world.nodes[node].paused = world.now + Duration::from_secs(3),
                3 if step % 4 == 0 => world.start(node),
                _ => {
                    tickets.insert(world.submit(node, &author, &key, 1 + step as u32), author);
                }
            }
            let span = world.rng.random_range(50..1_500);
            world.run(Duration::from_millis(span));
            let authors = world.authors();
            for (ticket, author) in &tickets {
                if matches!(world.settled.get(ticket), Some((_, Settled::NotAppended))) {
                    assert!(
                        !authors.contains(author),
                        "seed {seed}: {author} was appended"
                    );
                }
            }
        }
        world.log_out = false;
        world.loss = 0.0;
        world.run(Duration::from_secs(40));
        let tables: Vec<_> = world
            .nodes
            .iter()
            .filter_map(|n| n.agent.as_ref())
            .collect();
        for agent in &tables {
            assert!(
                agent.folds().is_synced(),
                "seed {seed}: an agent has no state"
            );
            assert_eq!(agent.folds().table, tables[0].folds().table, "seed {seed}");
            assert_eq!(agent.folds().alarms.divergences, 0);
        }
    }
}

#[test]
fn streams_outlive_the_retention() {
    let mut world = World::new(5, 3, Duration::from_secs(20));
    world.run(Duration::from_secs(3));
    let offset = accept(&mut world, 0, 3);
    for second in 0..60 {
        world.run(Duration::from_secs(1));
        if second % 20 == 10 {
            world.nodes[second / 20].agent = None;
        }
        if second % 20 == 15 {
            world.start(second / 20);
        }
        for stream in world.streams.values() {
            assert!(!stream.records.is_empty(), "a stream expired as a whole");
        }
    }
    assert!(world.streams[&StreamId::new("config")].kept > offset.0);
    world.start(1);
    world.run(Duration::from_secs(1));
    let fresh = world.nodes[1].agent.as_ref().expect("it runs").folds();
    assert!(fresh.is_synced() && fresh.alarms.gaps == 0);
    assert_eq!(fresh.table.groups().count(), 1);
}

#[test]
fn start_in_an_outage_takes_the_state_of_a_peer() {
    let mut world = started(6);
    let offset = accept(&mut world, 0, 3);
    world.run_until(Duration::from_secs(2), |w| w.in_force(offset));
    world.log_out = true;
    world.run(Duration::from_secs(5));
    world.start(4);
    world.run(Duration::from_secs(5));
    let view = world.nodes[4].view.as_ref().expect("a view from its peer");
    assert_eq!(view.table.groups().count(), 1);
    assert!(!view.log_up);
}

#[test]
fn racing_edit_is_told_who_when_and_to_what() {
    let mut world = started(7);
    accept(&mut world, 0, 3);
    world.run(Duration::from_secs(1));
    let key = row_key("listwriter");
    let first = world.submit(1, "ada", &key, 4);
    let second = world.submit(2, "grace", &key, 5);
    world.run(Duration::from_secs(1));
    let offset = world.accepted(first).expect("the first wins");
    let Settled::ConfigRefused(Refusal::Conflict { entry, .. }) = &world.settled[&second].1 else {
        panic!("the second loses: {:?}", world.settled[&second]);
    };
    let entry = entry.as_ref().expect("the row exists");
    assert_eq!((entry.author.as_str(), entry.version), ("ada", offset));
    assert!(entry.at_ms > 0 && entry.row == Some(group(4)));
}

#[test]
fn crash_pause_leave_and_removal() {
    for seed in 0..10 {
        let mut world = started(100 + seed);
        world.nodes[2].agent = None;
        world.run_until(Duration::from_secs(8), |w| !w.holds_live(0, 2));
        world.nodes[3].paused = world.now + Duration::from_secs(12);
        world.run_until(Duration::from_secs(8), |w| !w.holds_live(0, 3));
        world.run(Duration::from_secs(8));
        world.run_until(Duration::from_secs(10), |w| w.holds_live(0, 3));
        world.input(4, Input::Leave);
        world.run(Duration::from_secs(1));
        let leaving = |w: &World, i| {
            let view = w.nodes[0].view.as_ref().expect("a view");
            let status = view
                .entries
                .iter()
                .find(|e| e.member.entry.as_str() == name(i));
            status.map(|s| (s.live, s.member.leaving))
        };
        assert_eq!(
            leaving(&world, 4),
            Some((true, true)),
            "it leaves but lives"
        );
        world.run_until(Duration::from_secs(40), |w| leaving(w, 2).is_none());
        assert_eq!(leaving(&world, 3), Some((true, false)));
    }
}

#[test]
fn loss_alone_removes_nobody() {
    for seed in 0..10 {
        let mut world = started(200 + seed);
        world.loss = 0.1;
        world.run(Duration::from_secs(60));
        world.loss = 0.0;
        world.run(Duration::from_secs(6));
        assert!(world.all_live(), "seed {seed}");
    }
}

#[test]
fn key_rotation_drops_no_live_peer() {
    let rings = [vec![key(1), key(2)], vec![key(2), key(1)], vec![key(2)]];
    for seed in 0..5 {
        let mut world = started(300 + seed);
        for ring in &rings {
            for i in 0..AGENTS {
                world.nodes[i].keys = KeyRing::new(ring.clone());
                world.start(i);
                let refused = |w: &World| {
                    let agents = w.nodes.iter().filter_map(|n| n.agent.as_ref());
                    agents.map(Agent::datagrams_refused).sum::<u64>()
                };
                world.run_until(Duration::from_secs(15), World::all_live);
                assert_eq!(refused(&world), 0, "seed {seed}, step {i}");
            }
        }
    }
}

#[test]
fn report_datagrams_are_bounded() {
    let mut world = World::new(9, AGENTS, day());
    world.vms = 500;
    world.run(Duration::from_secs(5));
    assert!(
        world.datagram > 1_000 && world.datagram <= 1_200,
        "{}",
        world.datagram
    );
    let view = world.nodes[0].view.as_ref().expect("a view");
    assert!(view.vms.values().all(|v| v.health == Health::Live));
}

#[test]
fn liveness_datagrams_are_small_and_few() {
    let mut world = World::new(8, AGENTS, day());
    world.vms = 0;
    world.run_until(Duration::from_secs(15), World::all_live);
    world.nodes.iter_mut().for_each(|n| n.sent = 0);
    let (start, span) = (world.appends, 60);
    world.run(Duration::from_secs(span));
    let most = world.nodes.iter().map(|n| n.sent).max();
    assert!(
        most < Some(2_000 * span as usize),
        "{most:?} bytes in {span} s"
    );
    assert!(world.datagram <= 1_200, "{}", world.datagram);
    assert_eq!(world.appends, start, "an idle system appends nothing");
}
