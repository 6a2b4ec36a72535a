//! The event loop of the gateway: feeds events to the state machine and carries out its outputs.

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
use crate::metrics::GatewayMetrics;
use crate::slices;

/// Time between two ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Ticks between two reports of the spare capacity, to the agent and as a metric.
const SPARE_REPORT_TICKS: u32 = 50;
/// Ticks between two requests for slices of client account limits.
const SLICE_REQUEST_TICKS: u32 = (REQUEST_INTERVAL.as_millis() / TICK_INTERVAL.as_millis()) as u32;
/// Time that the agent has to settle a claim or a change of one.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Time that the agent has to accept a report of spare capacity or of a suspicion.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// A decision of the state machine on a request, sent to the task that serves the caller.
#[derive(Debug)]
pub(crate) enum Decision {
    /// Send the request to the endpoint at `address`; `replica` is set for models only.
    Dispatch {
        attempt: AttemptId,
        address: String,
        replica: Option<ReplicaId>,
    },
    /// Refuse the request.
    Refuse(Refusal),
    /// Return the answer that was kept for the idempotency key.
    Replay(Answer),
}

/// A message from another thread to the event loop.
#[derive(Debug)]
pub(crate) enum Event {
    /// An input that is passed to the state machine as it is.
    Input(Input),
    /// A request arrived; decisions on it go to the sender.
    Arrive(Arrival, async_channel::Sender<Decision>),
    /// A caller asks which entry VMs to use.
    Advise {
        caller: String,
        near: Option<DomainId>,
        reply: async_channel::Sender<Option<Advice>>,
    },
    /// A caller asks for the state of the work under an idempotency key.
    KeyStatus {
        key: Uuid,
        /// SHA-256 of the caller's API key, in hexadecimal.
        api_key_hash: String,
        reply: async_channel::Sender<KeyStatus>,
    },
    /// A chunk of an answer was dropped and is to be counted.
    ChunkDropped(DropReason),
    /// An operator asks for the outcome of a request; `None` means that it is not remembered.
    Explain(RequestId, async_channel::Sender<Option<Outcome>>),
    /// A readiness probe asks whether this gateway has a view.
    IsReady(async_channel::Sender<bool>),
    /// Another gateway requests slices of client account limits.
    SlicesRequested(SliceRequest, async_channel::Sender<Option<SliceReply>>),
    /// The allocator of a client account replied to a request for slices.
    SliceReply(SliceReply),
    /// A graceful stop asks for the number of open requests and pending claim updates.
    CountOpen(Sender<usize>),
    /// Ends the event loop.
    Stop,
}

/// An outgoing call: to the agent or, for slices, to another gateway.
#[derive(Debug)]
pub(crate) enum Call {
    /// Submit the claim of a request.
    Claim(RequestId, Submit),
    /// Submit a change of a claim.
    UpdateClaim(ClaimId, Submit),
    /// Report a request that is suspected of crashing endpoints.
    ReportSuspicion(Suspicion),
    /// Ask for the state of the work under an idempotency key.
    KeyStatus(Uuid, async_channel::Sender<Settled>),
    /// Report the spare share of this gateway's capacity, from 0 to 1.
    Spare(f64),
    /// Request slices from the gateway at this base URL.
    Slices(String, SliceRequest, KeyRing),
}

/// Reply to [`Event::KeyStatus`].
#[derive(Debug)]
pub(crate) struct KeyStatus {
    /// The client account that asks; `None` if its API key is unknown.
    pub(crate) account: Option<AccountId>,
    /// Receives the agent's reply; ends without one if the call was dropped.
    pub(crate) settled: async_channel::Receiver<Settled>,
}

/// The state machine, with the channels and metrics to which its outputs go.
#[derive(Debug)]
pub(crate) struct EventLoop {
    gateway: Gateway,
    calls: async_channel::Sender<Call>,
    metrics: GatewayMetrics,
    /// Keys for messages about slices; `None` if limits are not shared by slices.
    keys: Option<KeyRing>,
    /// Senders of decisions to the tasks of open requests.
    decision_senders: BTreeMap<RequestId, async_channel::Sender<Decision>>,
    outputs: Vec<Output>,
    tick_count: u32,
    /// Time for which callers keep the addresses that they are advised to use.
    keep_for: Duration,
}

impl EventLoop {
    pub(crate) fn new(
        gateway: Gateway,
        calls: async_channel::Sender<Call>,
        metrics: Metrics,
        keep_for: Duration,
    ) -> Self {
        Self {
            gateway,
            calls,
            metrics: GatewayMetrics::new(metrics),
            keys: None,
            decision_senders: BTreeMap::new(),
            outputs: Vec::new(),
            tick_count: 0,
            keep_for,
        }
    }

    /// Shares client account limits with other gateways by slices, if there are keys to sign the
    /// messages.
    pub(crate) fn with_slice_keys(mut self, keys: Option<KeyRing>) -> Self {
        if keys.is_some() {
            self.gateway = self.gateway.with_slices();
        }
        self.keys = keys;
        self
    }

    /// Handles events until [`Event::Stop`] arrives or all senders are gone.
    pub(crate) fn run(mut self, event_receiver: &Receiver<Event>) {
        let mut tick = Instant::now();
        loop {
            match event_receiver.recv_deadline(tick) {
                Ok(Event::Input(input)) => self.step(input),
                Ok(Event::Arrive(arrival, reply)) => {
                    self.decision_senders.insert(arrival.request.clone(), reply);
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
                    api_key_hash,
                    reply,
                }) => self.key_status(key, &api_key_hash, &reply),
                Ok(Event::ChunkDropped(reason)) => self.metrics.count_dropped(reason),
                Ok(Event::Explain(request, reply)) => {
                    let _ = reply.try_send(self.metrics.outcome(&request));
                }
                Ok(Event::IsReady(reply)) => {
                    let _ = reply.try_send(self.gateway.view().is_some());
                }
                Ok(Event::SlicesRequested(request, reply)) => {
                    let answer = self.gateway.answer_slice_request(clock::now(), &request);
                    let _ = reply.try_send(answer);
                }
                Ok(Event::SliceReply(reply)) => self.gateway.apply_slice_reply(&reply),
                Ok(Event::CountOpen(reply)) => {
                    let _ = reply
                        .send(self.gateway.open_requests() + self.gateway.pending_claim_updates());
                }
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {
                    tick = Instant::now() + TICK_INTERVAL;
                    self.tick();
                }
            }
        }
    }

    /// Returns the address advice for a caller, or `None` while there is no view.
    fn advise(&self, caller: &str, near: Option<&DomainId>) -> Option<Advice> {
        let view = self.gateway.view().map(Arc::as_ref);
        let mut advice = view.map(|v: &View| advice::advise(v, caller, near))?;
        advice.keep_for = self.keep_for.as_secs();
        Some(advice)
    }

    /// Returns the base URLs of other entry VMs, best first, if `code` means that this one should
    /// not be asked again; otherwise returns an empty list.
    fn other_addresses(&self, code: Code, request: &RequestId) -> Vec<String> {
        if !matches!(code, Code::Isolated | Code::Stopping) {
            return Vec::new();
        }
        let own_address = self.gateway.view().and_then(|v| {
            let own_entry = &self.gateway.owner().entry;
            let entry = v.entries.iter().find(|e| e.member.entry == *own_entry)?;
            Some(entry.member.gateway.clone())
        });
        let advice = self.advise(request.as_str(), None);
        let addresses = advice.map(|a| a.addresses).unwrap_or_default();
        let other = |a: &String| Some(a) != own_address.as_ref();
        addresses.into_iter().filter(other).collect()
    }

    /// Replies with the client account of an API key, and asks the agent for the state of the
    /// idempotency key.
    fn key_status(&self, key: Uuid, api_key_hash: &str, reply: &async_channel::Sender<KeyStatus>) {
        let accounts = self.gateway.view().map(|v| v.table.accounts());
        let account = accounts
            .into_iter()
            .flatten()
            .find(|(_, row)| row.key_hash == api_key_hash)
            .map(|(id, _)| id.clone());
        let (sender, settled) = async_channel::bounded(1);
        let _ = self.calls.try_send(Call::KeyStatus(key, sender));
        let _ = reply.try_send(KeyStatus { account, settled });
    }

    fn tick(&mut self) {
        self.step(Input::Tick);
        self.tick_count += 1;
        if let Some(keys) = &self.keys
            && self.tick_count.is_multiple_of(SLICE_REQUEST_TICKS)
        {
            slices::request_slices(&mut self.gateway, clock::now(), keys, &self.calls);
        }
        if self.tick_count.is_multiple_of(SPARE_REPORT_TICKS) {
            let _ = self
                .calls
                .try_send(Call::Spare(self.gateway.spare_capacity()));
            self.metrics
                .report_gauges(self.gateway.open_requests(), self.gateway.spare_capacity());
        }
    }

    fn step(&mut self, input: Input) {
        if let Input::CallerLeft(request) | Input::Finished(request, ..) = &input {
            self.decision_senders.remove(request);
        }
        self.metrics.observe_input(&input);
        let mut outputs = std::mem::take(&mut self.outputs);
        self.gateway.step(clock::now(), input, &mut outputs);
        for output in outputs.drain(..) {
            self.execute(output);
        }
        self.outputs = outputs;
    }

    fn execute(&mut self, output: Output) {
        self.metrics.observe_output(&output);
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
                if let Some(decision_sender) = self.decision_senders.get(&request) {
                    let _ = decision_sender.try_send(decision);
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
            Output::Replay(request, answer) => self.send_final(&request, Decision::Replay(answer)),
            Output::Claim(request, update, binding) => {
                let submit = self.claim_submission(update, Some(binding));
                let _ = self.calls.send_blocking(Call::Claim(request, submit));
            }
            Output::UpdateClaim(update) => {
                let claim = update.claim;
                let submit = self.claim_submission(update, None);
                let _ = self.calls.send_blocking(Call::UpdateClaim(claim, submit));
            }
            Output::Suspect(suspicion) => {
                log::warn!(
                    "event=suspect print={:016x} vm={} alone={}",
                    suspicion.print,
                    suspicion.vm,
                    suspicion.alone
                );
                let _ = self.calls.send_blocking(Call::ReportSuspicion(suspicion));
            }
            Output::Retry(request, reason) => {
                log::info!("event=retry request={request} reason={}", reason.name());
            }
        }
    }

    /// Returns the record that makes or changes a claim of this gateway.
    fn claim_submission(&self, update: ClaimUpdate, binding: Option<Binding>) -> Submit {
        Submit::Claim {
            key: update.key,
            owner: self.gateway.owner().clone(),
            claim: update.claim,
            binding,
            change: update.change,
        }
    }

    fn refuse(&mut self, request: &RequestId, code: Code, ran: Ran, retry_after: Duration) {
        let refusal = Refusal {
            code,
            ran,
            retry_after: Some(retry_after),
            other_addresses: self.other_addresses(code, request),
        };
        self.send_final(request, Decision::Refuse(refusal));
    }

    /// Sends the last decision on a request.
    fn send_final(&mut self, request: &RequestId, decision: Decision) {
        if let Some(decision_sender) = self.decision_senders.remove(request) {
            let _ = decision_sender.try_send(decision);
        }
    }
}

/// Starts the thread that makes the outgoing calls and returns their results as events.
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
                    ntex::rt::spawn(async move { perform_call(&agent, call, &events).await });
                }
            });
        })
}

/// Performs a call and returns its result, if any, as an event or to the waiting task.
async fn perform_call(agent: &str, call: Call, events: &Sender<Event>) {
    match call {
        Call::Claim(request, submit) => {
            let settled = agent_client::submit(agent, &submit, CLAIM_TIMEOUT).await;
            let _ = events.send(Event::Input(Input::Claimed(request, settled)));
        }
        Call::UpdateClaim(claim, submit) => {
            let settled = agent_client::submit(agent, &submit, CLAIM_TIMEOUT).await;
            let _ = events.send(Event::Input(Input::ClaimUpdated(claim, settled)));
        }
        Call::ReportSuspicion(suspicion) => {
            let _ = agent_client::report_suspicions(agent, &[suspicion], REPORT_TIMEOUT).await;
        }
        Call::KeyStatus(key, reply) => {
            let submit = Submit::ClaimStatus { key };
            let _ = reply.try_send(agent_client::submit(agent, &submit, CLAIM_TIMEOUT).await);
        }
        Call::Slices(url, request, keys) => slices::send(&url, &request, &keys, events).await,
        Call::Spare(spare) => drop(agent_client::report_spare(agent, spare, REPORT_TIMEOUT).await),
    }
}
