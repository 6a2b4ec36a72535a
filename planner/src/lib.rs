//! The planner daemon: threads and sockets around [`hemlock_lib::planner::Planner`].

mod metrics;
mod ready;

use std::io;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use hemlock_lib::chart::Charts;
use hemlock_lib::engine::OrderReply;
use hemlock_lib::ids::Incarnation;
use hemlock_lib::lease::LeaseConfig;
use hemlock_lib::plan::{RepairPolicy, Rules};
use hemlock_lib::planner::{Input, Output, Planner, PlannerConfig};
use hemlock_lib::settings::Settings;
use hemlock_wire::metrics::Metrics;
use hemlock_wire::server::Server;
use hemlock_wire::{agent_client, clock, http_client, view_watcher};

use crate::metrics::PlannerMetrics;
use crate::ready::Ready;

/// Maximum number of queued events, and of queued outgoing calls.
const QUEUE_LIMIT: usize = 1_024;
/// Time between two ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time that the agent has to settle a submitted record.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time that an engine has to reply to an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an order that shows no effect is sent again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(800);
/// Additional silence of a lease holder that a planner waits for if another planner is preferred
/// for the shard.
const PREFERENCE_DELAY: Duration = Duration::from_millis(1_000);
/// Longest time that the requests of a draining replica may take.
const DRAIN_LIMIT: Duration = Duration::from_secs(600);

/// A message from another thread to the event loop.
#[derive(Debug)]
enum Event {
    /// An input that is passed to the state machine as it is.
    Input(Input),
    /// Has no effect. Failure to send it tells the sender that the event loop has ended.
    NoOp,
    /// Ends the event loop.
    Stop,
}

/// A running planner.
#[derive(Debug)]
pub struct PlannerHandle {
    events: Sender<Event>,
    threads: Vec<JoinHandle<()>>,
    server: Option<Server>,
}

impl PlannerHandle {
    /// Stops the planner. Its leases are not released; they expire.
    pub fn stop(self) {
        let _ = self.events.send(Event::Stop);
        for thread in self.threads {
            let _ = thread.join();
        }
        if let Some(server) = self.server {
            server.stop(false);
        }
    }
}

/// Starts a planner and, if the settings give an address for it, the server of its health checks.
///
/// # Errors
///
/// Fails if that address can't be bound, the metrics can't be opened or a thread can't be started.
pub fn spawn(settings: &Settings, charts: Charts) -> io::Result<PlannerHandle> {
    let (events, event_receiver) = crossbeam_channel::bounded(QUEUE_LIMIT);
    let (calls, call_receiver) = async_channel::bounded(QUEUE_LIMIT);
    let planner = Planner::new(planner_config(settings), charts);
    let metrics = Metrics::open(settings.metrics.statsd.as_deref(), &settings.entry)?;
    let ready = Ready::default();
    let server = ready::serve(settings.planner.listen.as_deref(), ready.clone())?;
    let planner_metrics = PlannerMetrics::new(metrics, settings.entry.clone());
    let view_events = events.clone();
    let on_view = move |view: Option<_>| {
        ready.set(view.is_some());
        let event = view.map_or(Event::NoOp, |v| Event::Input(Input::View(v)));
        view_events.send(event).is_ok()
    };
    let agent = settings.agent.advertise.clone();
    let threads = vec![
        view_watcher::spawn("planner-view", agent.clone(), on_view)?,
        spawn_calls(agent, call_receiver, events.clone())?,
        std::thread::Builder::new()
            .name("planner-loop".to_owned())
            .spawn(move || run_event_loop(planner, planner_metrics, &event_receiver, &calls))?,
    ];
    log::info!("event=planner_started entry={}", settings.entry);
    Ok(PlannerHandle {
        events,
        threads,
        server,
    })
}

fn planner_config(settings: &Settings) -> PlannerConfig {
    PlannerConfig {
        entry: settings.entry.clone(),
        run: Incarnation(clock::now().as_millis()),
        lease: LeaseConfig {
            length: settings.lease_length(),
            drift: Duration::from_millis(settings.planner.drift_ms),
            preference_delay: PREFERENCE_DELAY,
            // An engine that ignores fencing tokens may carry out an order of the previous holder
            // until the order expires.
            grace: if settings.planner.fenced {
                Duration::ZERO
            } else {
                Duration::from_millis(settings.planner.order_ms + settings.planner.drift_ms)
            },
        },
        order_deadline: Duration::from_millis(settings.planner.order_ms),
        order_retry: ORDER_RETRY_INTERVAL,
        fenced: settings.planner.fenced,
        drain_limit: DRAIN_LIMIT,
        rules: Rules {
            repair: RepairPolicy::ReplaceLost,
            max_loading: settings.planner.loads,
            reclaim_broken: true,
        },
    }
}

/// Handles events until [`Event::Stop`] arrives or all senders are gone.
fn run_event_loop(
    mut planner: Planner,
    planner_metrics: PlannerMetrics,
    event_receiver: &Receiver<Event>,
    calls: &async_channel::Sender<Output>,
) {
    let mut tick = Instant::now();
    let mut outputs = Vec::new();
    loop {
        let input = match event_receiver.recv_deadline(tick) {
            Ok(Event::Input(input)) => input,
            Ok(Event::NoOp) => continue,
            Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            Err(RecvTimeoutError::Timeout) => {
                tick = Instant::now() + TICK_INTERVAL;
                Input::Tick
            }
        };
        planner_metrics.observe_input(&input);
        planner.step(clock::now(), input, &mut outputs);
        for output in outputs.drain(..) {
            planner_metrics.observe_output(&output);
            log::debug!("event=planner_output output={output:?}");
            let _ = calls.send_blocking(output);
        }
    }
}

/// Starts the thread that makes the outgoing calls and returns their results as events.
fn spawn_calls(
    agent: String,
    calls: async_channel::Receiver<Output>,
    events: Sender<Event>,
) -> io::Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name("planner-calls".to_owned())
        .spawn(move || {
            let system = ntex::rt::System::new("planner-calls", ntex::rt::DefaultRuntime);
            system.block_on(async move {
                while let Ok(output) = calls.recv().await {
                    let (agent, events) = (agent.clone(), events.clone());
                    ntex::rt::spawn(async move {
                        let input = perform_call(&agent, output).await;
                        let _ = events.send(Event::Input(input));
                    });
                }
            });
        })
}

/// Performs an output of the state machine and returns the result as an input.
async fn perform_call(agent: &str, output: Output) -> Input {
    match output {
        Output::Submit(ticket, submit) => Input::Settled(
            ticket,
            agent_client::submit(agent, &submit, SUBMIT_TIMEOUT).await,
        ),
        Output::Order { vm, address, order } => {
            let body = serde_json::to_vec(&order).expect("orders are made of encodable fields");
            let reply =
                http_client::post(&format!("{address}/v1/orders"), body, ORDER_TIMEOUT).await;
            let reply = reply
                .ok()
                .and_then(|b| serde_json::from_slice::<OrderReply>(&b).ok());
            Input::OrderReplied(vm, reply)
        }
    }
}
