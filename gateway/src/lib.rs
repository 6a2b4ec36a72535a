//! The gateway daemon: threads and sockets around [`hemlock_lib::gateway::Gateway`].

mod body;
mod engine;
mod event_loop;
mod metrics;
mod request;
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
use hemlock_lib::graceful_stop::{GracefulStop, Phase};
use hemlock_lib::ids::Incarnation;
use hemlock_lib::message_auth::KeyRing;
use hemlock_lib::settings::Settings;
use hemlock_wire::metrics::Metrics;
use hemlock_wire::server::{self, Server};
use hemlock_wire::{agent_client, clock, http_client, view_watcher};

use crate::event_loop::Event;
use crate::request::UnreadAnswers;

/// Events that wait for the state machine at most.
const RING: usize = 4_096;
/// Age up to which an idempotency key is good.
const KEY_LIFE: Duration = Duration::from_secs(600);
/// Time without log and peers after which new work is refused.
const ISOLATION: Duration = Duration::from_secs(5);
/// Time between two looks at the open requests of a stopping gateway.
const STOP_CHECK: Duration = Duration::from_millis(50);
/// Time between two log lines of a stopping gateway.
const STOP_REPORT: Duration = Duration::from_secs(5);
/// Time in which the last bytes of the last answer leave.
const FLUSH: Duration = Duration::from_millis(200);
/// Time that the agent has to announce that this entry VM is leaving.
const LEAVE_WAIT: Duration = Duration::from_secs(2);

/// A running gateway.
#[derive(Debug)]
pub struct GatewayHandle {
    events: Sender<Event>,
    agent: String,
    unread: UnreadAnswers,
    server: Server,
    threads: Vec<JoinHandle<()>>,
}

impl GatewayHandle {
    /// Refuses new work, waits up to `limit` until no request is open, and stops.
    pub fn drain(self, limit: Duration) {
        self.run_down(GracefulStop::new(clock::now(), Duration::ZERO, limit));
    }

    /// Leaves the address advice, serves on for `keep_for`, and then drains.
    ///
    /// Callers that keep this address learn another one meanwhile, so that none is refused.
    pub fn retire(self, keep_for: Duration, limit: Duration) {
        let _ = self.events.send(Event::Input(Input::Leave));
        let agent = self.agent.clone();
        let left = http_client::block_on_new_thread("gateway-leave", async move || {
            agent_client::leave(&agent, LEAVE_WAIT).await
        });
        if let Err(e) = left {
            log::warn!("event=leave_failed cause=\"{e}\"");
        }
        self.run_down(GracefulStop::new(clock::now(), keep_for, limit));
    }

    fn run_down(self, stopping: GracefulStop) {
        let mut last = Phase::Leaving;
        let mut reported = None;
        loop {
            let now = clock::now();
            let open = self.open();
            let phase = stopping.phase(now, open);
            if phase != Phase::Leaving && last == Phase::Leaving {
                let _ = self.events.send(Event::Input(Input::Stop));
                log::info!("event=stopping phase={} open={open}", phase.name());
                last = Phase::Draining;
                continue;
            }
            let due = reported.is_none_or(|at| now.since(at) >= STOP_REPORT);
            if due || phase != last {
                reported = Some(now);
                let left = stopping.deadline().since(now).as_secs();
                log::info!(
                    "event=stopping phase={} open={open} left_s={left}",
                    phase.name()
                );
            }
            last = phase;
            if phase == Phase::Finished {
                break;
            }
            std::thread::sleep(STOP_CHECK);
        }
        std::thread::sleep(FLUSH);
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
        open.recv().unwrap_or(0) + self.unread.count()
    }
}

/// Starts a gateway and returns once its address is bound.
///
/// `keys` authenticate the slices of account limits, if the settings share them that way.
pub fn spawn(settings: &Settings, charts: &Charts, keys: KeyRing) -> io::Result<GatewayHandle> {
    let keys = settings.gateway.slices.then_some(keys);
    let listener = server::bind(&settings.gateway.listen)?;
    let (events, ring) = crossbeam_channel::bounded(RING);
    let (calls, call_ring) = async_channel::bounded(RING);
    let gateway = Gateway::new(config(settings), charts);
    let metrics = Metrics::open(settings.metrics.statsd.as_deref(), &settings.entry)?;
    let slice_keys = keys.clone();
    let views = events.clone();
    let on_view = move |view: Option<_>| {
        let input = view.map_or(Input::ViewLost, Input::View);
        views.send(Event::Input(input)).is_ok()
    };
    let agent = settings.agent.advertise.clone();
    let keep_for = Duration::from_secs(settings.gateway.keep_for_s);
    let threads = vec![
        view_watcher::spawn("gateway-view", agent.clone(), on_view)?,
        event_loop::spawn_calls(agent.clone(), call_ring, events.clone())?,
        std::thread::Builder::new()
            .name("gateway-loop".to_owned())
            .spawn(move || {
                let event_loop = event_loop::EventLoop::new(gateway, calls, metrics, keep_for);
                event_loop.with_slice_keys(slice_keys).run(&ring);
            })?,
    ];
    let unread = UnreadAnswers::default();
    let state = routes::State {
        events: events.clone(),
        limit: settings.gateway.body_limit,
        unread: unread.clone(),
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
        agent,
        unread,
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
        queue_limit: settings.gateway.queue,
        max_key_age: KEY_LIFE,
        isolation_timeout: ISOLATION,
        seed: run.0,
    }
}
