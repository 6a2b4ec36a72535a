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

use crate::metrics::Gauges;
use crate::ready::Ready;

const RING: usize = 1_024;
const TICK: Duration = Duration::from_millis(100);
const SUBMIT_WAIT: Duration = Duration::from_millis(1_500);
const ORDER_WAIT: Duration = Duration::from_secs(1);
const ORDER_RETRY: Duration = Duration::from_millis(800);
const COURTESY: Duration = Duration::from_millis(1_000);
const DRAIN_LIMIT: Duration = Duration::from_secs(600);

#[derive(Debug)]
enum Event {
    Input(Input),
    Idle,
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
    /// Stops the planner; its leases lapse.
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

/// Starts a planner.
pub fn spawn(settings: &Settings, charts: Charts) -> io::Result<PlannerHandle> {
    let (events, ring) = crossbeam_channel::bounded(RING);
    let (calls, call_ring) = async_channel::bounded(RING);
    let planner = Planner::new(config(settings), charts);
    let metrics = Metrics::open(settings.metrics.statsd.as_deref(), &settings.entry)?;
    let ready = Ready::default();
    let server = ready::serve(settings.planner.listen.as_deref(), ready.clone())?;
    let gauges = Gauges::new(metrics, settings.entry.clone());
    let views = events.clone();
    let on_view = move |view: Option<_>| {
        ready.set(view.is_some());
        let event = view.map_or(Event::Idle, |v| Event::Input(Input::View(v)));
        views.send(event).is_ok()
    };
    let url = settings.agent.advertise.clone();
    let threads = vec![
        view_watcher::spawn("planner-view", url.clone(), on_view)?,
        spawn_calls(url, call_ring, events.clone())?,
        std::thread::Builder::new()
            .name("planner-mind".to_owned())
            .spawn(move || run(planner, gauges, &ring, &calls))?,
    ];
    log::info!("event=planner_started entry={}", settings.entry);
    Ok(PlannerHandle {
        events,
        threads,
        server,
    })
}

fn config(settings: &Settings) -> PlannerConfig {
    PlannerConfig {
        entry: settings.entry.clone(),
        run: Incarnation(clock::now().as_millis()),
        lease: LeaseConfig {
            length: settings.lease_length(),
            drift: Duration::from_millis(settings.planner.drift_ms),
            preference_delay: COURTESY,
            grace: if settings.planner.fenced {
                Duration::ZERO
            } else {
                Duration::from_millis(settings.planner.order_ms + settings.planner.drift_ms)
            },
        },
        order_deadline: Duration::from_millis(settings.planner.order_ms),
        order_retry: ORDER_RETRY,
        fenced: settings.planner.fenced,
        drain_limit: DRAIN_LIMIT,
        rules: Rules {
            repair: RepairPolicy::ReplaceLost,
            max_loading: settings.planner.loads,
            reclaim_broken: true,
        },
    }
}

fn run(
    mut planner: Planner,
    gauges: Gauges,
    ring: &Receiver<Event>,
    calls: &async_channel::Sender<Output>,
) {
    let mut tick = Instant::now();
    let mut out = Vec::new();
    loop {
        let input = match ring.recv_deadline(tick) {
            Ok(Event::Input(input)) => input,
            Ok(Event::Idle) => continue,
            Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            Err(RecvTimeoutError::Timeout) => {
                tick = Instant::now() + TICK;
                Input::Tick
            }
        };
        gauges.count_input(&input);
        planner.step(clock::now(), input, &mut out);
        for output in out.drain(..) {
            gauges.count(&output);
            log::debug!("event=planner_output output={output:?}");
            let _ = calls.send_blocking(output);
        }
    }
}

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
                        let input = make(&agent, output).await;
                        let _ = events.send(Event::Input(input));
                    });
                }
            });
        })
}

async fn make(agent: &str, output: Output) -> Input {
    match output {
        Output::Submit(ticket, submit) => Input::Settled(
            ticket,
            agent_client::submit(agent, &submit, SUBMIT_WAIT).await,
        ),
        Output::Order { vm, address, order } => {
            let body = serde_json::to_vec(&order).expect("orders are made of encodable fields");
            let reply = http_client::post(&format!("{address}/v1/orders"), body, ORDER_WAIT).await;
            let reply = reply
                .ok()
                .and_then(|b| serde_json::from_slice::<OrderReply>(&b).ok());
            Input::OrderReplied(vm, reply)
        }
    }
}
