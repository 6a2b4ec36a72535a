//! The gateway's state machine: admission, queueing, routing, retries and at-most-once claims.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use uuid::Uuid;

use crate::chart::{Chart, Charts, State};
use crate::claims::{Answer, ClaimChange, Owner};
use crate::codes::Code;
use crate::ids::{AccountId, AttemptId, DomainId, GroupId, ReplicaId, RequestId, ServiceId, VmId};
use crate::limits::Usage;
use crate::peers::Settled;
use crate::platform::VmRole;
use crate::router::{self, Candidate, Dispatched};
use crate::time::Time;
use crate::view::{Health, View};

/// Attempts of one request at most.
const ATTEMPTS: u32 = 4;
/// Share of first tries that retries may add.
const RETRY_SHARE: f64 = 0.1;
/// Retries that an idle gateway has in hand.
const RETRY_RESERVE: f64 = 10.0;
/// Wait before a caller tries again.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// What a gateway is told when it starts.
#[derive(Debug, Clone)]
pub struct GatewayConfig {
    /// Itself.
    pub owner: Owner,
    /// Its failure domain.
    pub domain: DomainId,
    /// Requests that it queues at most.
    pub queue: usize,
    /// Age up to which an idempotency key is good, and how far it may lie ahead.
    pub key_life: Duration,
    /// Time without log and peers after which new work is refused.
    pub isolation: Duration,
    /// Seed of the random choices.
    pub seed: u64,
}

/// What a request is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// A model group.
    Model(GroupId),
    /// A plain service.
    Service(ServiceId),
}

/// A request as it comes in.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Names the request.
    pub request: RequestId,
    /// SHA-256 of the account's key in lower-case hexadecimal.
    pub key_hash: String,
    /// What it is for.
    pub target: Target,
    /// Expected work in tokens.
    pub tokens: u64,
    /// When its answer is of no more use.
    pub deadline: Time,
    /// Idempotency key of work that must run at most once.
    pub once: Option<Uuid>,
}

/// Says why an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FailReason {
    /// The endpoint was not reached; nothing ran.
    Connect,
    /// The endpoint refused before running it.
    Refused,
    /// The connection broke after the request was sent.
    Broken,
    /// No chunk came in time.
    Stalled,
}

impl FailReason {
    /// Returns whether the attempt surely did not run.
    pub fn not_run(self) -> bool {
        matches!(self, Self::Connect | Self::Refused)
    }

    /// Returns the name used in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Refused => "refused",
            Self::Broken => "broken",
            Self::Stalled => "stalled",
        }
    }
}

/// What happens to a gateway.
#[derive(Debug)]
pub enum Input {
    /// Time passes.
    Tick,
    /// The agent serves a new view.
    View(Arc<View>),
    /// The agent of this entry VM has not answered for a while, nor has a peer's.
    ViewLost,
    /// A request came in.
    Arrive(Arrival),
    /// The claim of a request was settled.
    Claimed(RequestId, Settled),
    /// An attempt failed.
    Failed(RequestId, AttemptId, FailReason),
    /// An attempt gave the whole answer; it is kept if the work was claimed.
    Finished(RequestId, AttemptId, Option<Answer>),
    /// The caller left.
    Left(RequestId),
    /// The operator or a signal asks this gateway to stop.
    Stop,
}

/// What a gateway does.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Start an attempt.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// The VM that takes it.
        vm: VmId,
        /// Its base URL.
        address: String,
        /// The replica, for models.
        replica: Option<ReplicaId>,
    },
    /// Refuse a request, and say when it may be sent again.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        code: Code,
        /// Wait before the next try.
        after: Duration,
    },
    /// Give the answer that was kept for this idempotency key.
    Replay(RequestId, Answer),
    /// Ask the agent to append a change of a claim; the reply matters for `Claim` alone.
    Claim(RequestId, Uuid, ClaimChange),
    /// Count a retry.
    Retry(RequestId, FailReason),
}

#[derive(Debug)]
struct Request {
    arrival: Arrival,
    account: AccountId,
    state: State,
    attempt: Option<(AttemptId, VmId)>,
    attempts: u32,
    claimed: bool,
}

/// The gateway of one entry VM.
#[derive(Debug)]
pub struct Gateway {
    config: GatewayConfig,
    chart: Chart,
    rng: SmallRng,
    view: Option<Arc<View>>,
    in_touch: Time,
    requests: BTreeMap<RequestId, Request>,
    queue: VecDeque<RequestId>,
    usage: BTreeMap<AccountId, Usage>,
    dispatched: Dispatched,
    retries: f64,
    next: u64,
    stopping: bool,
}

impl Gateway {
    /// Makes a gateway that has seen no view yet.
    pub fn new(config: GatewayConfig, charts: &Charts) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(config.seed),
            chart: charts.request.clone(),
            view: None,
            in_touch: Time::ZERO,
            requests: BTreeMap::new(),
            queue: VecDeque::new(),
            usage: BTreeMap::new(),
            dispatched: Dispatched::default(),
            retries: RETRY_RESERVE,
            next: 0,
            stopping: false,
            config,
        }
    }

    /// Takes one input at the time `now` and appends what is to be done to `out`.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick | Input::ViewLost => {}
            Input::View(view) => self.take_view(now, view),
            Input::Arrive(arrival) => self.arrive(now, arrival, out),
            Input::Claimed(request, settled) => self.claimed(&request, settled, out),
            Input::Failed(request, attempt, reason) => {
                self.failed(now, &request, attempt, reason, out);
            }
            Input::Finished(request, attempt, answer) => {
                self.finished(&request, attempt, answer, out);
            }
            Input::Left(request) => self.left(&request, out),
            Input::Stop => self.stopping = true,
        }
        self.drain_queue(now, out);
    }

    /// Returns the number of requests that have no final answer yet.
    pub fn open(&self) -> usize {
        self.requests.len()
    }

    /// Returns the spare share of the queue, from 0 to 1; zero while stopping.
    pub fn spare(&self) -> f64 {
        if self.stopping {
            return 0.0;
        }
        1.0 - self.queue.len() as f64 / self.config.queue.max(1) as f64
    }

    /// Returns the name under which it claims work.
    pub fn owner(&self) -> &Owner {
        &self.config.owner
    }

    /// Returns the view in use.
    pub fn view(&self) -> Option<&Arc<View>> {
        self.view.as_ref()
    }

    fn take_view(&mut self, now: Time, view: Arc<View>) {
        if view.log_up || view.peers_up {
            self.in_touch = now;
        }
        self.view = Some(view);
    }

    fn arrive(&mut self, now: Time, arrival: Arrival, out: &mut Vec<Output>) {
        match self.admit(now, &arrival) {
            Err(code) => {
                let request = arrival.request;
                out.push(Output::Refuse {
                    request,
                    code,
                    after: RETRY_AFTER,
                });
            }
            Ok(account) => {
                self.retries = (self.retries + RETRY_SHARE).min(RETRY_RESERVE);
                let id = arrival.request.clone();
                let state = self.chart.start();
                let once = arrival.once;
                let request = Request {
                    arrival,
                    account,
                    state,
                    attempt: None,
                    attempts: 0,
                    claimed: false,
                };
                self.requests.insert(id.clone(), request);
                match once {
                    None => self.queue.push_back(id),
                    Some(key) => {
                        self.advance(&id, "claim");
                        out.push(Output::Claim(id, key, ClaimChange::Claim));
                    }
                }
            }
        }
    }

    fn admit(&mut self, now: Time, arrival: &Arrival) -> Result<AccountId, Code> {
        if self.stopping {
            return Err(Code::Stopping);
        }
        let Some(view) = self.view.clone() else {
            return Err(Code::Isolated);
        };
        if now.since(self.in_touch) > self.config.isolation {
            return Err(Code::Isolated);
        }
        let account = view
            .table
            .accounts()
            .find(|(_, row)| row.key_hash == arrival.key_hash);
        let Some((id, row)) = account else {
            return Err(Code::UnknownAccount);
        };
        let known = match &arrival.target {
            Target::Model(group) => view.table.group(group).is_some(),
            Target::Service(service) => view.table.service(service).is_some(),
        };
        if !known {
            return Err(Code::UnknownModel);
        }
        self.check_key(now, arrival)?;
        if self.queue.len() >= self.config.queue {
            return Err(Code::Overload);
        }
        let gateways = view.entries.iter().filter(|e| e.live).count().max(1);
        let share = 1.0 / gateways as f64;
        let usage = self
            .usage
            .entry(id.clone())
            .or_insert_with(|| Usage::new(now, row, share));
        usage.admit(now, row, share, arrival.tokens as f64)?;
        Ok(id.clone())
    }

    fn check_key(&self, now: Time, arrival: &Arrival) -> Result<(), Code> {
        let Some(key) = arrival.once else {
            return Ok(());
        };
        let Some(stamp) = key.get_timestamp().filter(|_| key.get_version_num() == 7) else {
            return Err(Code::KeyMalformed);
        };
        let (s, ns) = stamp.to_unix();
        let made = Time(s * 1_000_000 + u64::from(ns / 1_000));
        let life = self.config.key_life;
        if now.since(made) > life || made.since(now) > life {
            return Err(Code::KeyExpired);
        }
        Ok(())
    }

    fn claimed(&mut self, id: &RequestId, settled: Settled, out: &mut Vec<Output>) {
        if !self.requests.contains_key(id) {
            return;
        }
        let code = match settled {
            Settled::Accepted { .. } => {
                self.advance(id, "claimed");
                if let Some(request) = self.requests.get_mut(id) {
                    request.claimed = true;
                }
                self.queue.push_back(id.clone());
                return;
            }
            Settled::ClaimTaken {
                answer: Some(answer),
                ..
            } => {
                self.advance(id, "refuse");
                self.forget(id);
                out.push(Output::Replay(id.clone(), answer));
                return;
            }
            Settled::ClaimTaken {
                answer: None,
                owner,
            } if self.is_live(&owner) => Code::InProgress,
            Settled::ClaimTaken { .. } | Settled::ClaimExpired => Code::MayHaveRun,
            Settled::Unknown => Code::ClaimUnknown,
            _ => Code::ClaimUnavailable,
        };
        self.refuse(id, code, out);
    }

    fn failed(
        &mut self,
        now: Time,
        id: &RequestId,
        attempt: AttemptId,
        reason: FailReason,
        out: &mut Vec<Output>,
    ) {
        if !self.end_attempt(id, attempt) {
            return;
        }
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let once = request.arrival.once.is_some();
        if once && !reason.not_run() {
            return self.refuse(id, Code::MayHaveRun, out);
        }
        if now >= request.arrival.deadline {
            return self.refuse(id, Code::TimedOut, out);
        }
        if request.attempts >= ATTEMPTS || self.retries < 1.0 {
            return self.refuse(id, Code::RetryBudget, out);
        }
        self.retries -= 1.0;
        out.push(Output::Retry(id.clone(), reason));
        self.advance(id, "failed");
        self.queue.push_front(id.clone());
    }

    fn finished(
        &mut self,
        id: &RequestId,
        attempt: AttemptId,
        answer: Option<Answer>,
        out: &mut Vec<Output>,
    ) {
        if !self.end_attempt(id, attempt) {
            return;
        }
        self.advance(id, "finish");
        let Some(request) = self.forget(id) else {
            return;
        };
        if let (Some(key), Some(answer)) = (request.arrival.once, answer) {
            out.push(Output::Claim(id.clone(), key, ClaimChange::Finish(answer)));
        }
    }

    fn left(&mut self, id: &RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let running = request.attempt.clone();
        if let Some((attempt, _)) = &running {
            self.end_attempt(id, *attempt);
        }
        self.advance(id, "cancel");
        self.queue.retain(|q| q != id);
        let Some(request) = self.forget(id) else {
            return;
        };
        if request.claimed && running.is_none() {
            let key = request.arrival.once;
            out.extend(key.map(|k| Output::Claim(id.clone(), k, ClaimChange::Release)));
        }
    }

    fn drain_queue(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(view) = self.view.clone() else {
            return;
        };
        let mut kept = VecDeque::new();
        while let Some(id) = self.queue.pop_front() {
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            if now >= request.arrival.deadline {
                self.refuse(&id, Code::DeadlineUnmet, out);
                continue;
            }
            let target = request.arrival.target.clone();
            let candidates = self.candidates(&view, &target);
            let chosen = router::choose(&candidates, &self.dispatched, &mut self.rng);
            match chosen {
                Some(candidate) => self.dispatch(&view, &id, candidate, out),
                None => kept.push_back(id),
            }
        }
        self.queue = kept;
    }

    fn dispatch(&mut self, view: &View, id: &RequestId, to: &Candidate, out: &mut Vec<Output>) {
        self.next += 1;
        let attempt = AttemptId(self.next);
        self.advance(id, "dispatch");
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.attempts += 1;
        request.attempt = Some((attempt, to.vm.clone()));
        self.dispatched.start(&to.vm, request.arrival.tokens);
        let Some(status) = view.vms.get(&to.vm) else {
            return;
        };
        out.push(Output::Dispatch {
            request: id.clone(),
            attempt,
            vm: to.vm.clone(),
            address: status.listing.address.clone(),
            replica: status.held.as_ref().map(|h| h.replica.clone()),
        });
    }

    fn candidates(&self, view: &View, target: &Target) -> Vec<Candidate> {
        match target {
            Target::Model(group) => {
                let slots = view.table.group(group).map_or(1, |g| g.slots);
                view.replicas()
                    .filter(|(_, a)| a.group == *group && !a.draining)
                    .filter_map(|(id, a)| {
                        let ranks = view.ranks(&id, a)?;
                        self.candidate(view, ranks.first()?, slots)
                    })
                    .collect()
            }
            Target::Service(service) => {
                let slots = view.table.service(service).map_or(1, |s| s.slots);
                let role = VmRole::Service(service.clone());
                let vms = view.vms.values().filter(|s| s.listing.role == role);
                vms.filter_map(|s| self.candidate(view, &s.listing.vm, slots))
                    .collect()
            }
        }
    }

    fn candidate(&self, view: &View, vm: &VmId, slots: u32) -> Option<Candidate> {
        let status = view.vms.get(vm).filter(|s| s.health == Health::Live)?;
        Some(Candidate {
            vm: vm.clone(),
            reported: status.load.tokens,
            age_ms: status.load.age_ms + status.silent_ms,
            slots,
            near: status.listing.domain == self.config.domain,
        })
    }

    fn refuse(&mut self, id: &RequestId, code: Code, out: &mut Vec<Output>) {
        self.advance(id, "refuse");
        let Some(request) = self.forget(id) else {
            return;
        };
        if request.claimed && code != Code::MayHaveRun {
            let key = request.arrival.once;
            out.extend(key.map(|k| Output::Claim(id.clone(), k, ClaimChange::Release)));
        }
        out.push(Output::Refuse {
            request: id.clone(),
            code,
            after: RETRY_AFTER,
        });
    }

    fn end_attempt(&mut self, id: &RequestId, attempt: AttemptId) -> bool {
        let Some(request) = self.requests.get_mut(id) else {
            return false;
        };
        match request.attempt.take() {
            Some((current, vm)) if current == attempt => {
                self.dispatched.end(&vm, request.arrival.tokens);
                true
            }
            other => {
                request.attempt = other;
                false
            }
        }
    }

    fn forget(&mut self, id: &RequestId) -> Option<Request> {
        let request = self.requests.remove(id)?;
        if let Some(usage) = self.usage.get_mut(&request.account) {
            usage.ended();
        }
        Some(request)
    }

    fn advance(&mut self, id: &RequestId, event: &str) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let next = self
            .chart
            .event(event)
            .and_then(|e| self.chart.next(request.state, e));
        request.state = next.unwrap_or(request.state);
    }

    fn is_live(&self, owner: &Owner) -> bool {
        let Some(view) = &self.view else { return false };
        view.entries
            .iter()
            .any(|e| e.live && e.member.entry == owner.entry && e.member.incarnation == owner.run)
    }
}
