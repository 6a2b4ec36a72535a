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
use crate::request::PendingResponses;

/// Maximum number of queued events, and of queued outgoing calls.
const QUEUE_LIMIT: usize = 4_096;
/// Maximum age of an accepted idempotency key, and maximum time by which it may lie in the future.
const MAX_KEY_AGE: Duration = Duration::from_secs(600);
/// Time without contact to the log and to peers after which new requests are refused.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two checks of a stopping gateway for open requests.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two log lines of a stopping gateway whose phase does not change.
const STOP_LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Time left for the last bytes of the last answer to be sent before the server stops.
const FLUSH_DELAY: Duration = Duration::from_millis(200);
/// Time that requests which were read in part have to be refused before the server stops; longer
/// than the time in which a body must arrive.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(11);
/// Time that the agent has to accept the announcement that this entry VM is leaving.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// A running gateway.
#[derive(Debug)]
pub struct GatewayHandle {
    events: Sender<Event>,
    agent: String,
    pending_responses: PendingResponses,
    server: Server,
    threads: Vec<JoinHandle<()>>,
}

impl GatewayHandle {
    /// Refuses new requests, waits up to `limit` until no request is open, and stops.
    pub fn drain(self, limit: Duration) {
        self.finish_stop(GracefulStop::new(clock::now(), Duration::ZERO, limit));
    }

    /// Withdraws from the address advice, serves all requests for another `keep_for`, and then
    /// drains for up to `limit`.
    ///
    /// Callers keep an address for `keep_for`, so they have learnt another one before requests are
    /// refused.
    pub fn stop_gracefully(self, keep_for: Duration, limit: Duration) {
        let _ = self.events.send(Event::Input(Input::Leave));
        let agent = self.agent.clone();
        let result = http_client::block_on_new_thread("gateway-leave", async move || {
            agent_client::leave(&agent, LEAVE_TIMEOUT).await
        });
        if let Err(e) = result {
            log::warn!("event=leave_failed cause=\"{e}\"");
        }
        self.finish_stop(GracefulStop::new(clock::now(), keep_for, limit));
    }

    /// Waits until the stop is finished, logging its phases, and then stops.
    fn finish_stop(self, graceful_stop: GracefulStop) {
        let mut last_phase = Phase::Leaving;
        let mut last_logged = None;
        loop {
            let now = clock::now();
            let open = self.count_open();
            let phase = graceful_stop.phase(now, open);
            if phase != Phase::Leaving && last_phase == Phase::Leaving {
                let _ = self.events.send(Event::Input(Input::Stop));
                log::info!("event=stopping phase={} open={open}", phase.name());
                last_phase = Phase::Draining;
                continue;
            }
            let log_due = last_logged.is_none_or(|at| now.since(at) >= STOP_LOG_INTERVAL);
            if log_due || phase != last_phase {
                last_logged = Some(now);
                let left = graceful_stop.deadline().since(now).as_secs();
                log::info!(
                    "event=stopping phase={} open={open} left_s={left}",
                    phase.name()
                );
            }
            last_phase = phase;
            if phase == Phase::Finished {
                break;
            }
            std::thread::sleep(STOP_CHECK_INTERVAL);
        }
        self.server.pause();
        let _ = self.events.send(Event::Stop);
        // Without the event loop, a request whose rest arrives now is refused.
        let since = clock::now();
        while self.pending_responses.count_unread_bodies() > 0
            && clock::now().since(since) < REFUSAL_TIMEOUT
        {
            std::thread::sleep(STOP_CHECK_INTERVAL);
        }
        std::thread::sleep(FLUSH_DELAY);
        self.stop();
    }

    /// Stops at once; open requests are cut off.
    pub fn stop(self) {
        let _ = self.events.send(Event::Stop);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.server.stop(false);
    }

    /// Returns the number of open requests, pending claim updates and pending responses.
    fn count_open(&self) -> usize {
        let (reply, open_count) = crossbeam_channel::bounded(1);
        let _ = self.events.send(Event::CountOpen(reply));
        open_count.recv().unwrap_or(0) + self.pending_responses.count()
    }
}

/// Starts a gateway and returns once its address is bound.
///
/// `keys` authenticate the messages about slices of client account limits; they are unused if the
/// settings do not share limits by slices.
///
/// # Errors
///
/// Fails if the address can't be bound, the metrics can't be opened or a thread can't be started.
pub fn spawn(settings: &Settings, charts: &Charts, keys: KeyRing) -> io::Result<GatewayHandle> {
    let keys = settings.gateway.slices.then_some(keys);
    let listener = server::bind(&settings.gateway.listen)?;
    let (events, event_receiver) = crossbeam_channel::bounded(QUEUE_LIMIT);
    let (calls, call_receiver) = async_channel::bounded(QUEUE_LIMIT);
    let gateway = Gateway::new(gateway_config(settings), charts);
    let metrics = Metrics::open(settings.metrics.statsd.as_deref(), &settings.entry)?;
    let slice_keys = keys.clone();
    let view_events = events.clone();
    let on_view = move |view: Option<_>| {
        let input = view.map_or(Input::ViewLost, Input::View);
        view_events.send(Event::Input(input)).is_ok()
    };
    let agent = settings.agent.advertise.clone();
    let keep_for = Duration::from_secs(settings.gateway.keep_for_s);
    let threads = vec![
        view_watcher::spawn("gateway-view", agent.clone(), on_view)?,
        event_loop::spawn_calls(agent.clone(), call_receiver, events.clone())?,
        std::thread::Builder::new()
            .name("gateway-loop".to_owned())
            .spawn(move || {
                let event_loop = event_loop::EventLoop::new(gateway, calls, metrics, keep_for);
                event_loop.with_slice_keys(slice_keys).run(&event_receiver);
            })?,
    ];
    let pending_responses = PendingResponses::default();
    let state = routes::State {
        events: events.clone(),
        max_body_bytes: settings.gateway.body_limit,
        pending_responses: pending_responses.clone(),
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
        pending_responses,
        server,
        threads,
    })
}

fn gateway_config(settings: &Settings) -> GatewayConfig {
    let run = Incarnation(clock::now().as_millis());
    GatewayConfig {
        owner: Owner {
            entry: settings.entry.clone(),
            run,
        },
        domain: settings.domain.clone(),
        queue_limit: settings.gateway.queue,
        max_key_age: MAX_KEY_AGE,
        isolation_timeout: ISOLATION_TIMEOUT,
        seed: run.0,
    }
}
