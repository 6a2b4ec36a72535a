//! The thread that runs the gateway's state machine.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use hemlock_lib::advice::{self, Advice};
use hemlock_lib::claims::{Answer, ClaimChange, Owner};
use hemlock_lib::codes::Code;
use hemlock_lib::gateway::{Arrival, Gateway, Input, Output};
use hemlock_lib::ids::{AttemptId, DomainId, ReplicaId, RequestId};
use hemlock_lib::peers::Submit;
use hemlock_lib::seal::KeyRing;
use hemlock_lib::slices::{ASK_EVERY, SliceAsk, SliceReply};
use hemlock_lib::stream::DropReason;
use hemlock_lib::view::View;
use hemlock_wire::metrics::Metrics;
use hemlock_wire::{agent, clock};
use uuid::Uuid;

use crate::gauges::Gauges;
use crate::slices;

const TICK: Duration = Duration::from_millis(10);
/// Ticks between two reports of spare capacity to the agent.
const SPARE_TICKS: u32 = 50;
/// Ticks between two asks for slices of account limits.
const SLICE_TICKS: u32 = (ASK_EVERY.as_millis() / TICK.as_millis()) as u32;
const CLAIM_WAIT: Duration = Duration::from_secs(3);
const SPARE_WAIT: Duration = Duration::from_secs(1);

/// What becomes of a request, told to the task that serves its caller.
#[derive(Debug)]
pub(crate) enum Decision {
    /// Make this attempt.
    Dispatch {
        attempt: AttemptId,
        address: String,
        replica: Option<ReplicaId>,
    },
    /// Refuse.
    Refuse { code: Code, after: Duration },
    /// Give the answer that was kept.
    Replay(Answer),
}

/// What the other threads tell the state machine's.
#[derive(Debug)]
pub(crate) enum Event {
    /// An input of the state machine.
    Input(Input),
    /// A request, and where its decisions are awaited.
    Arrive(Arrival, async_channel::Sender<Decision>),
    /// A caller asks for addresses.
    Advise {
        caller: String,
        near: Option<DomainId>,
        reply: async_channel::Sender<Option<Advice>>,
    },
    /// A chunk of an answer was dropped.
    Dropped(DropReason),
    /// Whether this gateway has a view to work from.
    Ready(async_channel::Sender<bool>),
    /// Another gateway asks for slices of account limits.
    Slices(SliceAsk, async_channel::Sender<Option<SliceReply>>),
    /// A home replied to an ask for slices.
    SliceReply(SliceReply),
    /// How many requests are open.
    CountOpen(Sender<usize>),
    /// Stop.
    Stop,
}

/// A call to the agent.
#[derive(Debug)]
pub(crate) enum Call {
    Claim {
        request: RequestId,
        key: Uuid,
        change: ClaimChange,
        owner: Owner,
    },
    Spare(f64),
    Slices(String, SliceAsk, KeyRing),
}

/// The state machine with its outlets.
#[derive(Debug)]
pub(crate) struct Mind {
    gateway: Gateway,
    calls: async_channel::Sender<Call>,
    gauges: Gauges,
    keys: Option<KeyRing>,
    waiting: BTreeMap<RequestId, async_channel::Sender<Decision>>,
    out: Vec<Output>,
    ticks: u32,
}

impl Mind {
    pub(crate) fn new(
        gateway: Gateway,
        calls: async_channel::Sender<Call>,
        metrics: Metrics,
    ) -> Self {
        Self {
            gateway,
            calls,
            gauges: Gauges::new(metrics),
            keys: None,
            waiting: BTreeMap::new(),
            out: Vec::new(),
            ticks: 0,
        }
    }

    /// Shares account limits with other gateways, if there are keys to seal the messages.
    pub(crate) fn with_keys(mut self, keys: Option<KeyRing>) -> Self {
        if keys.is_some() {
            self.gateway = self.gateway.with_slices();
        }
        self.keys = keys;
        self
    }

    /// Runs until told to stop.
    pub(crate) fn run(mut self, ring: &Receiver<Event>) {
        let mut tick = Instant::now();
        loop {
            match ring.recv_deadline(tick) {
                Ok(Event::Input(input)) => self.step(input),
                Ok(Event::Arrive(arrival, reply)) => {
                    self.waiting.insert(arrival.request.clone(), reply);
                    self.step(Input::Arrive(arrival));
                }
                Ok(Event::Advise {
                    caller,
                    near,
                    reply,
                }) => {
                    let view = self.gateway.view().map(Arc::as_ref);
                    let advice = view.map(|v: &View| advice::advise(v, &caller, near.as_ref()));
                    let _ = reply.try_send(advice);
                }
                Ok(Event::Dropped(reason)) => self.gauges.count_dropped(reason),
                Ok(Event::Ready(reply)) => {
                    let _ = reply.try_send(self.gateway.view().is_some());
                }
                Ok(Event::Slices(ask, reply)) => {
                    let answer = self.gateway.answer_slices(clock::now(), &ask);
                    let _ = reply.try_send(answer);
                }
                Ok(Event::SliceReply(reply)) => self.gateway.take_slices(&reply),
                Ok(Event::CountOpen(reply)) => drop(reply.send(self.gateway.open())),
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {
                    tick = Instant::now() + TICK;
                    self.tick();
                }
            }
        }
    }

    fn tick(&mut self) {
        self.step(Input::Tick);
        self.ticks += 1;
        if let Some(keys) = &self.keys
            && self.ticks.is_multiple_of(SLICE_TICKS)
        {
            slices::ask(&mut self.gateway, clock::now(), keys, &self.calls);
        }
        if self.ticks.is_multiple_of(SPARE_TICKS) {
            let _ = self.calls.try_send(Call::Spare(self.gateway.spare()));
            self.gauges
                .report(self.gateway.open(), self.gateway.spare());
        }
    }

    fn step(&mut self, input: Input) {
        if let Input::Left(request) | Input::Finished(request, ..) = &input {
            self.waiting.remove(request);
        }
        self.gauges.count_input(&input);
        let mut out = std::mem::take(&mut self.out);
        self.gateway.step(clock::now(), input, &mut out);
        for output in out.drain(..) {
            self.carry_out(output);
        }
        self.out = out;
    }

    fn carry_out(&mut self, output: Output) {
        self.gauges.count(&output);
        match output {
            Output::Dispatch {
                request,
                attempt,
                vm,
                address,
                replica,
            } => {
                log::debug!("event=dispatch request={request} attempt={attempt} vm={vm}");
                let decision = Decision::Dispatch {
                    attempt,
                    address,
                    replica,
                };
                if let Some(task) = self.waiting.get(&request) {
                    let _ = task.try_send(decision);
                }
            }
            Output::Refuse {
                request,
                code,
                after,
            } => {
                log::info!("event=refuse request={request} code={}", code.number());
                self.last(&request, Decision::Refuse { code, after });
            }
            Output::Replay(request, answer) => self.last(&request, Decision::Replay(answer)),
            Output::Claim(request, key, change) => {
                let owner = self.gateway.owner().clone();
                let _ = self.calls.send_blocking(Call::Claim {
                    request,
                    key,
                    change,
                    owner,
                });
            }
            Output::Retry(request, reason) => {
                log::info!("event=retry request={request} reason={}", reason.name());
            }
        }
    }

    fn last(&mut self, request: &RequestId, decision: Decision) {
        if let Some(task) = self.waiting.remove(request) {
            let _ = task.try_send(decision);
        }
    }
}

/// Starts the thread that calls the agent.
pub(crate) fn spawn_calls(
    agent: String,
    calls: async_channel::Receiver<Call>,
    events: Sender<Event>,
) -> io::Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name("gateway-calls".to_owned())
        .spawn(move || {
            let system = ntex::rt::System::new("gateway-calls", ntex::rt::DefaultRuntime);
            system.block_on(async move {
                while let Ok(call) = calls.recv().await {
                    let (agent, events) = (agent.clone(), events.clone());
                    ntex::rt::spawn(async move { make(&agent, call, &events).await });
                }
            });
        })
}

async fn make(agent: &str, call: Call, events: &Sender<Event>) {
    match call {
        Call::Claim {
            request,
            key,
            change,
            owner,
        } => {
            let claiming = change == ClaimChange::Claim;
            let submit = Submit::Claim { key, owner, change };
            let settled = agent::submit(agent, &submit, CLAIM_WAIT).await;
            if claiming {
                let _ = events.send(Event::Input(Input::Claimed(request, settled)));
            }
        }
        Call::Slices(address, ask, keys) => slices::send(&address, &ask, &keys, events).await,
        Call::Spare(spare) => drop(agent::spare(agent, spare, SPARE_WAIT).await),
    }
}
