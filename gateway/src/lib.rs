//! The gateway daemon: threads and sockets around [`hemlock_lib::gateway::Gateway`].

mod body;
mod drive;
mod gauges;
mod mind;
mod model;
mod routes;
mod service;
mod slices;

use std::io;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam_channel::Sender;
use hemlock_lib::chart::Charts;
use hemlock_lib::claims::Owner;
use hemlock_lib::gateway::{Gateway, GatewayConfig, Input};
use hemlock_lib::ids::Incarnation;
use hemlock_lib::seal::KeyRing;
use hemlock_lib::settings::Settings;
use hemlock_wire::metrics::Metrics;
use hemlock_wire::server::{self, Server};
use hemlock_wire::{clock, follower};

use crate::mind::Event;

/// Events that wait for the state machine at most.
const RING: usize = 4_096;
/// Age up to which an idempotency key is good.
const KEY_LIFE: Duration = Duration::from_secs(600);
/// Time without log and peers after which new work is refused.
const ISOLATION: Duration = Duration::from_secs(5);
/// Time between two looks at the open requests of a stopping gateway.
const STOP_CHECK: Duration = Duration::from_millis(100);

/// A running gateway.
#[derive(Debug)]
pub struct GatewayHandle {
    events: Sender<Event>,
    server: Server,
    threads: Vec<JoinHandle<()>>,
}

impl GatewayHandle {
    /// Refuses new work, waits up to `limit` until no request is open, and stops.
    pub fn drain(self, limit: Duration) {
        let _ = self.events.send(Event::Input(Input::Stop));
        let end = std::time::Instant::now() + limit;
        while self.open() > 0 && std::time::Instant::now() < end {
            std::thread::sleep(STOP_CHECK);
        }
        self.stop();
    }

    /// Stops at once.
    pub fn stop(self) {
        let _ = self.events.send(Event::Stop);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.server.stop(false);
    }

    fn open(&self) -> usize {
        let (reply, open) = crossbeam_channel::bounded(1);
        let _ = self.events.send(Event::CountOpen(reply));
        open.recv().unwrap_or(0)
    }
}

/// Starts a gateway that takes an even part of the account limits, and returns once its address is
/// bound.
pub fn spawn(settings: &Settings, charts: &Charts) -> io::Result<GatewayHandle> {
    start(settings, charts, None)
}

/// Starts a gateway that shares the account limits with the others by slices, and returns once its
/// address is bound.
pub fn spawn_sharing(
    settings: &Settings,
    charts: &Charts,
    keys: KeyRing,
) -> io::Result<GatewayHandle> {
    start(settings, charts, Some(keys))
}

fn start(settings: &Settings, charts: &Charts, keys: Option<KeyRing>) -> io::Result<GatewayHandle> {
    let listener = server::bind(&settings.gateway.listen)?;
    let (events, ring) = crossbeam_channel::bounded(RING);
    let (calls, call_ring) = async_channel::bounded(RING);
    let gateway = Gateway::new(config(settings), charts);
    let metrics = Metrics::open(settings.metrics.statsd.as_deref(), &settings.entry)?;
    let views = events.clone();
    let on_view = move |view: Option<_>| {
        let input = view.map_or(Input::ViewLost, Input::View);
        views.send(Event::Input(input)).is_ok()
    };
    let agent = settings.agent.advertise.clone();
    let mind_keys = keys.clone();
    let threads = vec![
        follower::spawn("gateway-view", agent.clone(), on_view)?,
        mind::spawn_calls(agent, call_ring, events.clone())?,
        std::thread::Builder::new()
            .name("gateway-mind".to_owned())
            .spawn(move || {
                let mind = mind::Mind::new(gateway, calls, metrics).with_keys(mind_keys);
                mind.run(&ring);
            })?,
    ];
    let state = routes::State {
        events: events.clone(),
        limit: settings.gateway.body_limit,
        keys,
    };
    let workers = settings.gateway.workers;
    let server = server::spawn("gateway-http", listener, workers, state, routes::configure)?;
    log::info!(
        "event=gateway_started entry={} listen={}",
        settings.entry,
        server.address()
    );
    Ok(GatewayHandle {
        events,
        server,
        threads,
    })
}

fn config(settings: &Settings) -> GatewayConfig {
    let run = Incarnation(clock::now().as_millis());
    GatewayConfig {
        owner: Owner {
            entry: settings.entry.clone(),
            run,
        },
        domain: settings.domain.clone(),
        queue: settings.gateway.queue,
        key_life: KEY_LIFE,
        isolation: ISOLATION,
        seed: run.0,
    }
}
