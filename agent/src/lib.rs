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
use crate::view_history::ViewHistory;

/// Maximum number of queued events, and of queued outgoing calls.
const QUEUE_LIMIT: usize = 4_096;
/// Largest datagram that is received, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Timing of the probes of endpoint VMs.
const PROBE: ProbeConfig = ProbeConfig {
    interval: Duration::from_millis(300),
    lost_after: Duration::from_millis(2_000),
};
/// Timing, fan-out and message sizes of gossip.
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
/// Silence after which an entry VM that did not announce its leave is removed.
const REMOVE_AFTER: Duration = Duration::from_secs(120);
/// Age from which the claim on an idempotency key is dropped. It covers twice the time for which
/// gateways accept a key, and clock error.
const CLAIM_TTL: Duration = Duration::from_secs(3 * 3_600);

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

    /// Stops the agent without announcing that its entry VM leaves.
    pub fn stop(self) {
        let _ = self.events.send(Event::Stop);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.server.stop(false);
    }
}

/// Starts an agent and returns once its addresses are bound.
///
/// # Errors
///
/// Fails if an address can't be bound (the error names it), the metrics can't be opened or a thread
/// can't be started.
pub fn spawn(settings: &Settings, charts: &Charts, keys: KeyRing) -> io::Result<AgentHandle> {
    let listener =
        server::bind(&settings.agent.listen).map_err(with_address(&settings.agent.listen))?;
    let gossip = &settings.agent.gossip;
    let socket = Arc::new(UdpSocket::bind(gossip).map_err(with_address(gossip))?);
    // The receiving thread checks after each time-out whether the event loop has ended.
    socket.set_read_timeout(Some(Duration::from_millis(200)))?;
    let (events, event_receiver) = crossbeam_channel::bounded(QUEUE_LIMIT);
    let config = agent_config(settings, keys);
    let views = Arc::new(ViewHistory::new(config.seed));
    let agent = Agent::new(config, charts);
    let (calls, call_receiver) = async_channel::bounded(QUEUE_LIMIT);
    let metrics = Metrics::open(settings.metrics.statsd.as_deref(), &settings.entry)?;
    let threads = vec![
        io_threads::spawn_calls(settings.platform.clone(), call_receiver, events.clone())?,
        io_threads::spawn_datagrams(Arc::clone(&socket), events.clone())?,
        spawn_event_loop(
            agent,
            event_receiver,
            calls,
            socket,
            Arc::clone(&views),
            metrics,
        )?,
    ];
    let state = routes::State {
        events: events.clone(),
        views,
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

fn spawn_event_loop(
    agent: Agent,
    queue: Receiver<Event>,
    calls: async_channel::Sender<io_threads::Call>,
    socket: Arc<UdpSocket>,
    views: Arc<ViewHistory>,
    metrics: Metrics,
) -> io::Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name("agent-loop".to_owned())
        .spawn(move || event_loop::EventLoop::new(agent, calls, socket, views, metrics).run(&queue))
}

/// Returns the configuration of the agent, in a new run.
fn agent_config(settings: &Settings, keys: KeyRing) -> AgentConfig {
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
        snapshots: SnapshotConfig::new(Duration::from_secs(settings.agent.retention_s), CLAIM_TTL),
        remove_after: REMOVE_AFTER,
        bootstrap_agents: settings.agent.peers.clone(),
        keys,
        seed: run.0 ^ hemlock_lib::rendezvous::score(settings.entry.as_str().as_bytes(), b"seed"),
    }
}

/// Returns a function that adds `address` to the error of binding it.
fn with_address(address: &str) -> impl Fn(io::Error) -> io::Error {
    move |e| io::Error::new(e.kind(), format!("can't listen on {address}: {e}"))
}
