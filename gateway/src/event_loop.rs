//! The thread that runs the gateway's state machine.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use hemlock_lib::advice::{self, Advice};
use hemlock_lib::at_most_once::ClaimUpdate;
use hemlock_lib::claims::{Answer, Binding, ClaimId};
use hemlock_lib::codes::{Code, Ran};
use hemlock_lib::gateway::{Arrival, Gateway, Input, Output};
use hemlock_lib::ids::{AccountId, AttemptId, DomainId, ReplicaId, RequestId};
use hemlock_lib::message_auth::KeyRing;
use hemlock_lib::outcomes::Outcome;
use hemlock_lib::peers::{Settled, Submit, Suspicion};
use hemlock_lib::slices::{REQUEST_INTERVAL, SliceReply, SliceRequest};
use hemlock_lib::stream::DropReason;
use hemlock_lib::view::View;
use hemlock_wire::metrics::Metrics;
use hemlock_wire::{agent_client, clock};
use uuid::Uuid;

use crate::body::Refusal;
use crate::metrics::Gauges;
use crate::slices;

const TICK: Duration = Duration::from_millis(10);
/// Ticks between two reports of spare capacity to the agent.
const SPARE_TICKS: u32 = 50;
/// Ticks between two asks for slices of account limits.
const SLICE_TICKS: u32 = (REQUEST_INTERVAL.as_millis() / TICK.as_millis()) as u32;
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
    Refuse(Refusal),
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
    /// A caller asks for the state of a key.
    KeyStatus {
        key: Uuid,
        key_hash: String,
        reply: async_channel::Sender<KeyStatus>,
    },
    /// A chunk of an answer was dropped.
    Dropped(DropReason),
    /// What became of a request.
    Explain(RequestId, async_channel::Sender<Option<Outcome>>),
    /// Whether this gateway has a view to work from.
    Ready(async_channel::Sender<bool>),
    /// Another gateway asks for slices of account limits.
    Slices(SliceRequest, async_channel::Sender<Option<SliceReply>>),
    /// A home replied to an ask for slices.
    SliceReply(SliceReply),
    /// How many requests and unsettled claims are open.
    CountOpen(Sender<usize>),
    /// Stop.
    Stop,
}

/// A call to the agent.
#[derive(Debug)]
pub(crate) enum Call {
    Claim(RequestId, Submit),
    Settle(ClaimId, Submit),
    Suspect(Suspicion),
    KeyStatus(Uuid, async_channel::Sender<Settled>),
    Spare(f64),
    Slices(String, SliceRequest, KeyRing),
}

/// What a gateway knows of a key before it asks the agent.
#[derive(Debug)]
pub(crate) struct KeyStatus {
    /// The account that asks, if its key is known.
    pub(crate) account: Option<AccountId>,
    /// What the agent says.
    pub(crate) settled: async_channel::Receiver<Settled>,
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
    keep_for: Duration,
}

impl Mind {
    pub(crate) fn new(
        gateway: Gateway,
        calls: async_channel::Sender<Call>,
        metrics: Metrics,
        keep_for: Duration,
    ) -> Self {
        Self {
            gateway,
            calls,
            gauges: Gauges::new(metrics),
            keys: None,
            waiting: BTreeMap::new(),
            out: Vec::new(),
            ticks: 0,
            keep_for,
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
                    let _ = reply.try_send(self.advise(&caller, near.as_ref()));
                }
                Ok(Event::KeyStatus {
                    key,
                    key_hash,
                    reply,
                }) => self.key_status(key, &key_hash, &reply),
                Ok(Event::Dropped(reason)) => self.gauges.count_dropped(reason),
                Ok(Event::Explain(request, reply)) => {
                    let _ = reply.try_send(self.gauges.outcome(&request));
                }
                Ok(Event::Ready(reply)) => {
                    let _ = reply.try_send(self.gateway.view().is_some());
                }
                Ok(Event::Slices(ask, reply)) => {
                    let answer = self.gateway.answer_slice_request(clock::now(), &ask);
                    let _ = reply.try_send(answer);
                }
                Ok(Event::SliceReply(reply)) => self.gateway.apply_slice_reply(&reply),
                Ok(Event::CountOpen(reply)) => {
                    let _ = reply
                        .send(self.gateway.open_requests() + self.gateway.pending_claim_updates());
                }
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {
                    tick = Instant::now() + TICK;
                    self.tick();
                }
            }
        }
    }

    fn advise(&self, caller: &str, near: Option<&DomainId>) -> Option<Advice> {
        let view = self.gateway.view().map(Arc::as_ref);
        let mut advice = view.map(|v: &View| advice::advise(v, caller, near))?;
        advice.keep_for = self.keep_for.as_secs();
        Some(advice)
    }

    /// Returns the other entry VMs, best first, when `code` says not to ask this one again.
    fn elsewhere(&self, code: Code, request: &RequestId) -> Vec<String> {
        if !matches!(code, Code::Isolated | Code::Stopping) {
            return Vec::new();
        }
        let own = self.gateway.view().and_then(|v| {
            let me = &self.gateway.owner().entry;
            let entry = v.entries.iter().find(|e| e.member.entry == *me)?;
            Some(entry.member.gateway.clone())
        });
        let advice = self.advise(request.as_str(), None);
        let addresses = advice.map(|a| a.addresses).unwrap_or_default();
        let other = |a: &String| Some(a) != own.as_ref();
        addresses.into_iter().filter(other).collect()
    }

    fn key_status(&self, key: Uuid, key_hash: &str, reply: &async_channel::Sender<KeyStatus>) {
        let accounts = self.gateway.view().map(|v| v.table.accounts());
        let account = accounts
            .into_iter()
            .flatten()
            .find(|(_, row)| row.key_hash == key_hash)
            .map(|(id, _)| id.clone());
        let (sender, settled) = async_channel::bounded(1);
        let _ = self.calls.try_send(Call::KeyStatus(key, sender));
        let _ = reply.try_send(KeyStatus { account, settled });
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
            let _ = self
                .calls
                .try_send(Call::Spare(self.gateway.spare_capacity()));
            self.gauges
                .report(self.gateway.open_requests(), self.gateway.spare_capacity());
        }
    }

    fn step(&mut self, input: Input) {
        if let Input::CallerLeft(request) | Input::Finished(request, ..) = &input {
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
                ran,
                retry_after,
            } => {
                log::info!(
                    "event=refuse request={request} code={} ran={}",
                    code.number(),
                    ran.as_str()
                );
                self.refuse(&request, code, ran, retry_after);
            }
            Output::Replay(request, answer) => self.last(&request, Decision::Replay(answer)),
            Output::Claim(request, change, binding) => {
                let submit = self.submit(change, Some(binding));
                let _ = self.calls.send_blocking(Call::Claim(request, submit));
            }
            Output::UpdateClaim(change) => {
                let claim = change.claim;
                let submit = self.submit(change, None);
                let _ = self.calls.send_blocking(Call::Settle(claim, submit));
            }
            Output::Suspect(suspicion) => {
                log::warn!(
                    "event=suspect print={:016x} vm={} alone={}",
                    suspicion.print,
                    suspicion.vm,
                    suspicion.alone
                );
                let _ = self.calls.send_blocking(Call::Suspect(suspicion));
            }
            Output::Retry(request, reason) => {
                log::info!("event=retry request={request} reason={}", reason.name());
            }
        }
    }

    fn submit(&self, change: ClaimUpdate, binding: Option<Binding>) -> Submit {
        Submit::Claim {
            key: change.key,
            owner: self.gateway.owner().clone(),
            claim: change.claim,
            binding,
            change: change.change,
        }
    }

    fn refuse(&mut self, request: &RequestId, code: Code, ran: Ran, after: Duration) {
        let refusal = Refusal {
            code,
            ran,
            after: Some(after),
            elsewhere: self.elsewhere(code, request),
        };
        self.last(request, Decision::Refuse(refusal));
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
        Call::Claim(request, submit) => {
            let settled = agent_client::submit(agent, &submit, CLAIM_WAIT).await;
            let _ = events.send(Event::Input(Input::Claimed(request, settled)));
        }
        Call::Settle(claim, submit) => {
            let settled = agent_client::submit(agent, &submit, CLAIM_WAIT).await;
            let _ = events.send(Event::Input(Input::ClaimUpdated(claim, settled)));
        }
        Call::Suspect(suspicion) => {
            let _ = agent_client::report_suspicions(agent, &[suspicion], SPARE_WAIT).await;
        }
        Call::KeyStatus(key, reply) => {
            let submit = Submit::ClaimStatus { key };
            let _ = reply.try_send(agent_client::submit(agent, &submit, CLAIM_WAIT).await);
        }
        Call::Slices(address, ask, keys) => slices::send(&address, &ask, &keys, events).await,
        Call::Spare(spare) => drop(agent_client::report_spare(agent, spare, SPARE_WAIT).await),
    }
}
