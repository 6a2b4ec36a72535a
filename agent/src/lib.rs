//! The agent daemon: threads and sockets around [`hemlock_lib::agent::Agent`].

mod event_loop;
mod io_threads;
mod metrics;
mod routes;
mod view_history;

use std::io;
use std::net::UdpSocket;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender};
use hemlock_lib::agent::{Agent, AgentConfig, Input};
use hemlock_lib::chart::Charts;
use hemlock_lib::gossip::GossipConfig;
use hemlock_lib::ids::Incarnation;
use hemlock_lib::members::Member;
use hemlock_lib::message_auth::KeyRing;
use hemlock_lib::probe::ProbeConfig;
use hemlock_lib::settings::Settings;
use hemlock_lib::snapshot_schedule::SnapshotConfig;
use hemlock_wire::clock;
use hemlock_wire::metrics::Metrics;
use hemlock_wire::server::{self, Server};

use crate::event_loop::Event;
use crate::view_history::Board;

/// Events that wait for the state machine at most.
const RING: usize = 4_096;
/// Largest datagram in bytes.
const DATAGRAM: usize = 64 << 10;

const PROBE: ProbeConfig = ProbeConfig {
    interval: Duration::from_millis(300),
    lost_after: Duration::from_millis(2_000),
};
const GOSSIP: GossipConfig = GossipConfig {
    round_interval: Duration::from_millis(500),
    ack_timeout: Duration::from_millis(200),
    suspicion_timeout: Duration::from_millis(2_000),
    relays: 5,
    heartbeats: 24,
    fanout: 6,
    report_interval: Duration::from_millis(600),
    report_bytes: 1_150,
};
/// Silence after which an entry VM that never announced its leave is removed.
const SILENCE: Duration = Duration::from_secs(120);
/// Age from which a claimed key is dropped: the time a key is good for, twice, and clock error.
const CLAIM_LIFE: Duration = Duration::from_secs(3 * 3_600);

/// A running agent.
#[derive(Debug)]
pub struct AgentHandle {
    events: Sender<Event>,
    server: Server,
    threads: Vec<JoinHandle<()>>,
}

impl AgentHandle {
    /// Announces that this entry VM is leaving.
    pub fn leave(&self) {
        let _ = self.events.send(Event::Input(Input::Leave));
    }

    /// Stops the agent.
    pub fn stop(self) {
        let _ = self.events.send(Event::Stop);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.server.stop(false);
    }
}

/// Starts an agent and returns once its addresses are bound.
pub fn spawn(settings: &Settings, charts: &Charts, keys: KeyRing) -> io::Result<AgentHandle> {
    let listener = server::bind(&settings.agent.listen).map_err(named(&settings.agent.listen))?;
    let gossip = &settings.agent.gossip;
    let socket = Arc::new(UdpSocket::bind(gossip).map_err(named(gossip))?);
    socket.set_read_timeout(Some(Duration::from_millis(200)))?;
    let (events, ring) = crossbeam_channel::bounded(RING);
    let config = config(settings, keys);
    let board = Arc::new(Board::new(config.seed));
    let agent = Agent::new(config, charts);
    let (calls, call_ring) = async_channel::bounded(RING);
    let metrics = Metrics::open(settings.metrics.statsd.as_deref(), &settings.entry)?;
    let threads = vec![
        io_threads::spawn_calls(settings.platform.clone(), call_ring, events.clone())?,
        io_threads::spawn_datagrams(Arc::clone(&socket), events.clone())?,
        spawn_mind(agent, ring, calls, socket, Arc::clone(&board), metrics)?,
    ];
    let state = routes::State {
        events: events.clone(),
        board,
    };
    let server = server::spawn("agent-http", listener, 1, state, routes::configure)?;
    log::info!(
        "event=agent_started entry={} listen={}",
        settings.entry,
        server.address()
    );
    Ok(AgentHandle {
        events,
        server,
        threads,
    })
}

fn spawn_mind(
    agent: Agent,
    ring: Receiver<Event>,
    calls: async_channel::Sender<io_threads::Call>,
    socket: Arc<UdpSocket>,
    board: Arc<Board>,
    metrics: Metrics,
) -> io::Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name("agent-mind".to_owned())
        .spawn(move || event_loop::Mind::new(agent, calls, socket, board, metrics).run(&ring))
}

fn config(settings: &Settings, keys: KeyRing) -> AgentConfig {
    let run = Incarnation(clock::now().as_millis());
    let member = Member {
        entry: settings.entry.clone(),
        domain: settings.domain.clone(),
        gateway: settings.gateway.advertise.clone(),
        agent: settings.agent.advertise.clone(),
        gossip: settings.agent.gossip.clone(),
        incarnation: run,
        leaving: false,
    };
    AgentConfig {
        member,
        domains: settings.domains.clone(),
        claim_partitions: settings.agent.partitions,
        probe: PROBE,
        gossip: GOSSIP,
        snapshots: SnapshotConfig::new(Duration::from_secs(settings.agent.retention_s), CLAIM_LIFE),
        remove_after: SILENCE,
        bootstrap_agents: settings.agent.peers.clone(),
        keys,
        seed: run.0 ^ hemlock_lib::rendezvous::score(settings.entry.as_str().as_bytes(), b"seed"),
    }
}

fn named(address: &str) -> impl Fn(io::Error) -> io::Error {
    move |e| io::Error::new(e.kind(), format!("can't listen on {address}: {e}"))
}
