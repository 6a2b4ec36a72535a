//! Agents with an in-memory log and lossy datagrams, in virtual time.

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
const NETWORK_DELAY: Duration = Duration::from_millis(5);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of the IP and UDP headers of a datagram, in bytes.
const UDP_HEADER: usize = 28;

#[derive(Default)]
struct Stream {
    /// Offset of the first record that has not expired.
    kept: u64,
    records: Vec<(Time, ByteBuf)>,
}

struct Node {
    agent: Option<Agent>,
    paused_until: Time,
    extra_delay: Duration,
    incarnation: u64,
    keys: KeyRing,
    view: Option<Arc<View>>,
    /// Read that waits for a record, and the time until which it waits.
    waiting_read: Option<(Time, ReadCall)>,
    sent_bytes: usize,
}

enum Event {
    Tick,
    Input(Input),
    RetryRead,
}

/// Simulation of agents, their log and the network between them.
struct Simulation {
    now: Time,
    rng: SmallRng,
    charts: Charts,
    nodes: Vec<Node>,
    /// Events by time and sequence number, each with the node and its incarnation.
    events: BTreeMap<(Time, u64), (usize, u64, Event)>,
    seq: u64,
    streams: BTreeMap<StreamId, Stream>,
    log_down: bool,
    /// Share of messages that are lost.
    loss: f64,
    retention: Duration,
    settled: BTreeMap<Ticket, (Time, Settled)>,
    tickets: u64,
    appends: u64,
    /// Size of the largest datagram that was sent, in bytes.
    largest_datagram: usize,
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

impl Simulation {
    fn new(seed: u64, agents: usize, retention: Duration) -> Self {
        let node = |_| Node {
            agent: None,
            paused_until: Time::ZERO,
            extra_delay: Duration::ZERO,
            incarnation: 0,
            keys: KeyRing::new(vec![key(1)]),
            view: None,
            waiting_read: None,
            sent_bytes: 0,
        };
        let mut sim = Self {
            now: Time::from_millis(1_000_000_000),
            rng: SmallRng::seed_from_u64(seed),
            charts: Charts::built_in().expect("built-in charts"),
            nodes: (0..agents).map(node).collect(),
            events: BTreeMap::new(),
            seq: 0,
            streams: BTreeMap::new(),
            log_down: false,
            loss: 0.0,
            retention,
            settled: BTreeMap::new(),
            tickets: 0,
            appends: 0,
            largest_datagram: 0,
            vms: 3,
        };
        for i in 0..agents {
            sim.start(i);
        }
        sim
    }

    /// Starts an agent, or replaces the one that runs.
    fn start(&mut self, i: usize) {
        self.nodes[i].incarnation += 1;
        let run = self.nodes[i].incarnation;
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
        self.nodes[i].waiting_read = None;
        self.push(i, TICK, Event::Tick);
    }

    fn push(&mut self, node: usize, after: Duration, event: Event) {
        self.seq += 1;
        let run = self.nodes[node].incarnation;
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
            if run != self.nodes[node].incarnation {
                continue;
            }
            let paused_until = self.nodes[node].paused_until;
            if paused_until > self.now {
                self.push(node, paused_until.since(self.now), event);
                continue;
            }
            self.handle_event(node, event);
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

    fn handle_event(&mut self, node: usize, event: Event) {
        match event {
            Event::Tick => {
                self.push(node, TICK, Event::Tick);
                self.input(node, Input::Tick);
            }
            Event::Input(input) => self.input(node, input),
            Event::RetryRead => {
                if let Some((until, call)) = self.nodes[node].waiting_read.take() {
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
            self.execute(node, output);
        }
    }

    fn execute(&mut self, node: usize, output: Output) {
        let delay = NETWORK_DELAY + self.nodes[node].extra_delay;
        let reply = match output {
            Output::Read(call) => {
                let until = self.now + Duration::from_millis(u64::from(call.wait_ms as u32));
                return self.read(node, call, until);
            }
            Output::Append(id, call) => {
                let (end, after) = self.append(&call);
                self.push(node, delay + after, Event::Input(Input::Appended(id, end)));
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
                self.nodes[node].sent_bytes += bytes.len() + UDP_HEADER;
                self.largest_datagram = self.largest_datagram.max(bytes.len());
                let to: usize = to.parse().expect("addresses are indices");
                if !self.rng.random_bool(self.loss) {
                    let after = delay + self.nodes[to].extra_delay;
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
        self.push(node, delay, Event::Input(reply));
    }

    fn read(&mut self, node: usize, call: ReadCall, until: Time) {
        let delay = NETWORK_DELAY + self.nodes[node].extra_delay;
        if self.log_down || self.rng.random_bool(self.loss) {
            return self.push(node, delay * 10, Event::Input(Input::Read(None)));
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
            .any(|(p, want)| !p.records.is_empty() || p.kept > want.1)
            || self.now >= until
        {
            let reply = Input::Read(Some(ReadReply { parts }));
            return self.push(node, delay, Event::Input(reply));
        }
        self.nodes[node].waiting_read = Some((until, call));
        self.push(node, until.since(self.now), Event::RetryRead);
    }

    fn append(&mut self, call: &AppendCall) -> (AppendOutcome, Duration) {
        if self.log_down {
            return (AppendOutcome::Refused, Duration::ZERO);
        }
        let lost = self.rng.random_bool(self.loss);
        if lost && self.rng.random_bool(0.5) {
            return (AppendOutcome::Lost, CALL_TIMEOUT);
        }
        self.appends += 1;
        let stream = self.streams.entry(call.stream.clone()).or_default();
        let now = self.now;
        stream
            .records
            .extend(call.records.iter().map(|r| (now, r.clone())));
        for node in 0..self.nodes.len() {
            self.push(node, NETWORK_DELAY, Event::RetryRead);
        }
        match lost {
            true => (AppendOutcome::Lost, CALL_TIMEOUT),
            false => (AppendOutcome::Appended, NETWORK_DELAY),
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

    fn all_folded(&self, offset: Offset) -> bool {
        let agents = self.nodes.iter().filter_map(|n| n.agent.as_ref());
        agents.into_iter().all(|a| a.folds().table.next > offset)
    }

    fn confirmed(&self, by: usize, offset: Offset) -> bool {
        let view = self.nodes[by].view.as_ref();
        view.is_some_and(|v| v.entries.iter().all(|e| e.config > offset.0))
    }

    fn considers_live(&self, by: usize, who: usize) -> bool {
        let view = self.nodes[by].view.as_ref().expect("a view");
        let who: EntryId = name(who).as_str().into();
        view.entries.iter().any(|e| e.member.entry == who && e.live)
    }

    fn all_live(&self) -> bool {
        let all = 0..self.nodes.len();
        all.clone().all(|by| {
            self.nodes[by].view.is_some() && all.clone().all(|who| self.considers_live(by, who))
        })
    }

    fn accepted(&self, ticket: Ticket) -> Option<Offset> {
        match self.settled.get(&ticket) {
            Some((_, Settled::Accepted { offset })) => Some(*offset),
            _ => None,
        }
    }

    /// Checks that no row of a node's view goes back to an earlier version.
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

fn started(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, AGENTS, day());
    sim.run_until(Duration::from_secs(15), Simulation::all_live);
    sim
}

fn accept(sim: &mut Simulation, node: usize, replicas: u32) -> Offset {
    for _ in 0..8 {
        let ticket = sim.submit(node, "operator", &row_key("listwriter"), replicas);
        sim.run_until(Duration::from_secs(6), |s| s.settled.contains_key(&ticket));
        if let Some(offset) = sim.accepted(ticket) {
            return offset;
        }
        sim.run(Duration::from_secs(1));
    }
    panic!("no change was accepted: {:?}", sim.settled);
}

#[test]
fn change_is_folded_by_all_and_confirmed_in_time() {
    let two_s = Duration::from_secs(2);
    let twelve_s = Duration::from_secs(12);
    for seed in 0..20 {
        let mut sim = started(seed);
        let offset = accept(&mut sim, 0, 3);
        sim.run_until(two_s, |s| s.all_folded(offset));
        sim.run_until(twelve_s, |s| s.confirmed(0, offset));

        sim.loss = 0.1;
        sim.nodes[3].extra_delay = Duration::from_millis(400);
        let offset = accept(&mut sim, 1, 4);
        sim.run_until(twelve_s, |s| s.all_folded(offset));

        sim.log_down = true;
        sim.run(Duration::from_secs(30));
        let ticket = sim.submit(2, "operator", &row_key("listwriter"), 5);
        sim.run(TICK);
        assert_eq!(sim.settled[&ticket].1, Settled::NotAppended);
        sim.log_down = false;
        let start = sim.now;
        let offset = accept(&mut sim, 2, 5);
        sim.run_until(twelve_s, |s| s.all_folded(offset));
        assert!(sim.now.since(start) < twelve_s);
    }
}

#[test]
fn changes_never_revert_and_records_reported_not_appended_are_not_in_the_log() {
    for seed in 0..60 {
        let mut sim = Simulation::new(seed, 5, Duration::from_secs(20));
        sim.run(Duration::from_secs(3));
        let mut tickets = BTreeMap::new();
        for step in 0..40 {
            let node = sim.rng.random_range(0..5);
            let author = format!("operator-{step}");
            let key = row_key(["a", "b"][step % 2]);
            match sim.rng.random_range(0..10) {
                0 => sim.log_down = !sim.log_down,
                1 => sim.loss = [0.0, 0.1, 0.3][step % 3],
                2 => sim.nodes[node].paused_until = sim.now + Duration::from_secs(3),
                3 if step % 4 == 0 => sim.start(node),
                _ => {
                    tickets.insert(sim.submit(node, &author, &key, 1 + step as u32), author);
                }
            }
            let span = sim.rng.random_range(50..1_500);
            sim.run(Duration::from_millis(span));
            let authors = sim.authors();
            for (ticket, author) in &tickets {
                if matches!(sim.settled.get(ticket), Some((_, Settled::NotAppended))) {
                    assert!(
                        !authors.contains(author),
                        "seed {seed}: {author} was appended"
                    );
                }
            }
        }
        sim.log_down = false;
        sim.loss = 0.0;
        sim.run(Duration::from_secs(40));
        let tables: Vec<_> = sim.nodes.iter().filter_map(|n| n.agent.as_ref()).collect();
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
fn snapshots_keep_the_state_beyond_the_retention() {
    let mut sim = Simulation::new(5, 3, Duration::from_secs(20));
    sim.run(Duration::from_secs(3));
    let offset = accept(&mut sim, 0, 3);
    for second in 0..60 {
        sim.run(Duration::from_secs(1));
        if second % 20 == 10 {
            sim.nodes[second / 20].agent = None;
        }
        if second % 20 == 15 {
            sim.start(second / 20);
        }
        for stream in sim.streams.values() {
            assert!(!stream.records.is_empty(), "a stream expired as a whole");
        }
    }
    assert!(sim.streams[&StreamId::new("config")].kept > offset.0);
    sim.start(1);
    sim.run(Duration::from_secs(1));
    let fresh = sim.nodes[1].agent.as_ref().expect("it runs").folds();
    assert!(fresh.is_synced() && fresh.alarms.gaps == 0);
    assert_eq!(fresh.table.groups().count(), 1);
}

#[test]
fn agent_that_starts_in_an_outage_fetches_the_state_of_a_peer() {
    let mut sim = started(6);
    let offset = accept(&mut sim, 0, 3);
    sim.run_until(Duration::from_secs(2), |s| s.all_folded(offset));
    sim.log_down = true;
    sim.run(Duration::from_secs(5));
    sim.start(4);
    sim.run(Duration::from_secs(5));
    let view = sim.nodes[4].view.as_ref().expect("a view from its peer");
    assert_eq!(view.table.groups().count(), 1);
    assert!(!view.log_up);
}

#[test]
fn refused_edit_reports_author_time_and_row_of_the_accepted_one() {
    let mut sim = started(7);
    accept(&mut sim, 0, 3);
    sim.run(Duration::from_secs(1));
    let key = row_key("listwriter");
    let first = sim.submit(1, "ada", &key, 4);
    let second = sim.submit(2, "grace", &key, 5);
    sim.run(Duration::from_secs(1));
    let offset = sim.accepted(first).expect("the first wins");
    let Settled::ConfigRefused(Refusal::Conflict { entry, .. }) = &sim.settled[&second].1 else {
        panic!("the second loses: {:?}", sim.settled[&second]);
    };
    let entry = entry.as_ref().expect("the row exists");
    assert_eq!((entry.author.as_str(), entry.version), ("ada", offset));
    assert!(entry.at_ms > 0 && entry.row == Some(group(4)));
}

#[test]
fn crashed_paused_and_leaving_members_are_reported_and_crashed_ones_removed() {
    for seed in 0..10 {
        let mut sim = started(100 + seed);
        sim.nodes[2].agent = None;
        sim.run_until(Duration::from_secs(8), |s| !s.considers_live(0, 2));
        sim.nodes[3].paused_until = sim.now + Duration::from_secs(12);
        sim.run_until(Duration::from_secs(8), |s| !s.considers_live(0, 3));
        sim.run(Duration::from_secs(8));
        sim.run_until(Duration::from_secs(10), |s| s.considers_live(0, 3));
        sim.input(4, Input::Leave);
        sim.run(Duration::from_secs(1));
        let leaving = |s: &Simulation, i| {
            let view = s.nodes[0].view.as_ref().expect("a view");
            let status = view
                .entries
                .iter()
                .find(|e| e.member.entry.as_str() == name(i));
            status.map(|s| (s.live, s.member.leaving))
        };
        assert_eq!(leaving(&sim, 4), Some((true, true)), "it leaves but lives");
        sim.run_until(Duration::from_secs(40), |s| leaving(s, 2).is_none());
        assert_eq!(leaving(&sim, 3), Some((true, false)));
    }
}

#[test]
fn packet_loss_alone_removes_no_member() {
    for seed in 0..10 {
        let mut sim = started(200 + seed);
        sim.loss = 0.1;
        sim.run(Duration::from_secs(60));
        sim.loss = 0.0;
        sim.run(Duration::from_secs(6));
        assert!(sim.all_live(), "seed {seed}");
    }
}

#[test]
fn key_rotation_drops_no_live_peer() {
    let rings = [vec![key(1), key(2)], vec![key(2), key(1)], vec![key(2)]];
    for seed in 0..5 {
        let mut sim = started(300 + seed);
        for ring in &rings {
            for i in 0..AGENTS {
                sim.nodes[i].keys = KeyRing::new(ring.clone());
                sim.start(i);
                let refused = |s: &Simulation| {
                    let agents = s.nodes.iter().filter_map(|n| n.agent.as_ref());
                    agents.map(Agent::datagrams_refused).sum::<u64>()
                };
                sim.run_until(Duration::from_secs(15), Simulation::all_live);
                assert_eq!(refused(&sim), 0, "seed {seed}, step {i}");
            }
        }
    }
}

#[test]
fn report_datagrams_are_bounded() {
    let mut sim = Simulation::new(9, AGENTS, day());
    sim.vms = 500;
    sim.run(Duration::from_secs(5));
    assert!(
        sim.largest_datagram > 1_000 && sim.largest_datagram <= 1_200,
        "{}",
        sim.largest_datagram
    );
    let view = sim.nodes[0].view.as_ref().expect("a view");
    assert!(view.vms.values().all(|v| v.health == Health::Live));
}

#[test]
fn liveness_datagrams_are_small_and_few() {
    let mut sim = Simulation::new(8, AGENTS, day());
    sim.vms = 0;
    sim.run_until(Duration::from_secs(15), Simulation::all_live);
    sim.nodes.iter_mut().for_each(|n| n.sent_bytes = 0);
    let (start, span) = (sim.appends, 60);
    sim.run(Duration::from_secs(span));
    let most = sim.nodes.iter().map(|n| n.sent_bytes).max();
    assert!(
        most < Some(2_000 * span as usize),
        "{most:?} bytes in {span} s"
    );
    assert!(sim.largest_datagram <= 1_200, "{}", sim.largest_datagram);
    assert_eq!(sim.appends, start, "an idle system appends nothing");
}
