//! The gateway's state machine: admission, queueing, routing, retries and at-most-once claims.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use uuid::Uuid;

use crate::accounts::{Account, Accounts};
use crate::chart::{Chart, Charts, State};
use crate::claims::{Answer, ClaimChange, Owner};
use crate::codes::Code;
use crate::dispatch::{Dispatcher, Sent};
use crate::endpoints::Work;
use crate::fair_queue::Queued;
use crate::ids::{
    AccountId, AttemptId, DomainId, EntryId, GroupId, Offset, ReplicaId, RequestId, ServiceId, VmId,
};
use crate::limits::{Refused, Usage};
use crate::peers::Settled;
use crate::router::Policy;
use crate::slices::{Amount, Electorate, SliceAsk, SliceHome, SliceReply, SliceUser};
use crate::time::Time;
use crate::view::{EntryStatus, View};

/// Attempts of one request at most.
const ATTEMPTS: u32 = 4;
/// Share of first tries that retries may add.
const RETRY_SHARE: f64 = 0.1;
/// Retries that an idle gateway has in hand.
const RETRY_RESERVE: f64 = 10.0;
/// Wait before a caller tries again.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Longest time that a request stays open after the gateway that admitted it fell silent.
const LONGEST_OPEN: Duration = Duration::from_secs(30);

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
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
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
    /// What helps to place and order it.
    pub hint: Hint,
}

/// What a caller or its prompt says that helps to place and order a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Hint {
    /// Larger goes first among the requests of the account.
    pub priority: i32,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Hash of the prompt's prefix; zero if unknown.
    pub prefix: u64,
}

impl Arrival {
    fn work(&self) -> Work {
        Work {
            tokens: self.tokens,
            prompt: self.hint.prompt,
            prefix: self.hint.prefix,
        }
    }
}

fn refused(code: Code) -> Refused {
    let after = RETRY_AFTER;
    Refused { code, after }
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
    /// An attempt has given this many pieces of its answer.
    Progress(RequestId, AttemptId, u64),
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
    weight: f64,
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
    now: Time,
    view: Option<Arc<View>>,
    in_touch: Time,
    requests: BTreeMap<RequestId, Request>,
    dispatcher: Dispatcher,
    accounts: Accounts,
    indexed: Option<Offset>,
    usage: BTreeMap<AccountId, Usage>,
    electorate: Electorate,
    slices: Option<(SliceUser, SliceHome)>,
    retries: f64,
    stopping: bool,
}

impl Gateway {
    /// Makes a gateway that has seen no view yet.
    pub fn new(config: GatewayConfig, charts: &Charts) -> Self {
        Self {
            now: Time::ZERO,
            dispatcher: Dispatcher::new(config.domain.clone(), config.queue, config.seed),
            chart: charts.request.clone(),
            view: None,
            in_touch: Time::ZERO,
            requests: BTreeMap::new(),
            accounts: Accounts::default(),
            indexed: None,
            usage: BTreeMap::new(),
            electorate: Electorate::default(),
            slices: None,
            retries: RETRY_RESERVE,
            stopping: false,
            config,
        }
    }

    /// Takes one input at the time `now` and appends what is to be done to `out`.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.now = now;
        match input {
            Input::Tick | Input::ViewLost => {}
            Input::View(view) => self.take_view(now, view),
            Input::Arrive(arrival) => self.arrive(now, arrival, out),
            Input::Claimed(request, settled) => self.claimed(&request, settled, out),
            Input::Progress(_, attempt, chunks) => self.dispatcher.progress(now, attempt, chunks),
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
        1.0 - self.dispatcher.waiting() as f64 / self.config.queue.max(1) as f64
    }

    /// Returns the name under which it claims work.
    pub fn owner(&self) -> &Owner {
        &self.config.owner
    }

    /// Returns the view in use.
    pub fn view(&self) -> Option<&Arc<View>> {
        self.view.as_ref()
    }

    /// Compares endpoints by another policy than the default one.
    #[must_use]
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.dispatcher.use_policy(policy);
        self
    }

    /// Shares account limits with the other gateways by leased slices; without this, each gateway
    /// takes an even part.
    #[must_use]
    pub fn with_slices(mut self) -> Self {
        let Owner { entry, run } = self.config.owner.clone();
        let user = SliceUser::new(entry.clone(), run);
        self.slices = Some((user, SliceHome::new(entry, run, LONGEST_OPEN)));
        self
    }

    /// Returns the number of endpoints that all choices looked at.
    pub fn examined(&self) -> u64 {
        self.dispatcher.examined()
    }

    /// Returns the asks for slices to send now, with the base URL of the gateway that each is for.
    pub fn slice_asks(&mut self, now: Time) -> Vec<(String, SliceAsk)> {
        let (Some((user, _)), Some(view)) = (&mut self.slices, &self.view) else {
            return Vec::new();
        };
        for account in self.accounts.iter() {
            let new = || Usage::new(now, Amount::default());
            self.usage.entry(account.id.clone()).or_insert_with(new);
        }
        let demands = self.usage.iter_mut().map(|(id, u)| u.demand(now, id));
        let asks = user.asks(now, &self.electorate, demands);
        let address = |home: &EntryId| {
            let found = view.entries.iter().find(|e| e.member.entry == *home)?;
            Some(found.member.gateway.clone())
        };
        asks.into_iter()
            .filter_map(|(home, ask)| Some((address(&home)?, ask)))
            .collect()
    }

    /// Answers another gateway's ask for slices; `None` if limits are not shared by slices.
    pub fn answer_slices(&mut self, now: Time, ask: &SliceAsk) -> Option<SliceReply> {
        let (_, home) = self.slices.as_mut()?;
        let accounts = &self.accounts;
        let limit = |id: &AccountId| accounts.get(id).map(|a| Amount::of(&a.row));
        Some(home.answer(now, ask, limit))
    }

    /// Takes the reply to an ask for slices.
    pub fn take_slices(&mut self, reply: &SliceReply) {
        if let Some((user, _)) = &mut self.slices {
            user.take(reply);
        }
    }

    fn take_view(&mut self, now: Time, view: Arc<View>) {
        if view.log_up || view.peers_up {
            self.in_touch = now;
        }
        self.dispatcher.refresh(now, &view);
        if self.indexed != Some(view.table.next) {
            self.accounts = Accounts::index(&view.table);
            self.indexed = Some(view.table.next);
            self.dispatcher.reweigh(&self.accounts);
        }
        self.take_electorate(&view);
        self.view = Some(view);
    }

    fn take_electorate(&mut self, view: &View) {
        let mut entries: Vec<&EntryStatus> = view.entries.iter().collect();
        entries.sort_by(|a, b| a.member.entry.cmp(&b.member.entry));
        let name = |e: &&EntryStatus| e.member.entry.clone();
        let usable = |e: &&&EntryStatus| e.live && !e.member.leaving;
        self.electorate = Electorate {
            all: entries.iter().map(name).collect(),
            live: entries.iter().filter(usable).map(name).collect(),
        };
        if let Some((_, home)) = &mut self.slices {
            home.refresh(&self.electorate);
        }
    }

    /// Returns what this gateway may use of an account's limits now.
    fn amount(&self, now: Time, account: &Account) -> Amount {
        let limit = Amount::of(&account.row);
        let members = self.electorate.all.len();
        match &self.slices {
            _ if members <= 1 => limit,
            Some((user, _)) => user.amount(now, &account.id, limit, members),
            None => limit.even_part(self.electorate.live.len()),
        }
    }

    fn arrive(&mut self, now: Time, arrival: Arrival, out: &mut Vec<Output>) {
        match self.admit(now, &arrival) {
            Err(Refused { code, after }) => {
                let request = arrival.request;
                out.push(Output::Refuse {
                    request,
                    code,
                    after,
                });
            }
            Ok((account, weight)) => {
                self.retries = (self.retries + RETRY_SHARE).min(RETRY_RESERVE);
                let id = arrival.request.clone();
                let state = self.chart.start();
                let once = arrival.once;
                let request = Request {
                    arrival,
                    account,
                    weight,
                    state,
                    attempt: None,
                    attempts: 0,
                    claimed: false,
                };
                self.requests.insert(id.clone(), request);
                match once {
                    None => self.enqueue(&id, out),
                    Some(key) => {
                        self.advance(&id, "claim");
                        out.push(Output::Claim(id, key, ClaimChange::Claim));
                    }
                }
            }
        }
    }

    fn admit(&mut self, now: Time, arrival: &Arrival) -> Result<(AccountId, f64), Refused> {
        if self.stopping {
            return Err(refused(Code::Stopping));
        }
        let Some(view) = self.view.clone() else {
            return Err(refused(Code::Isolated));
        };
        if now.since(self.in_touch) > self.config.isolation {
            return Err(refused(Code::Isolated));
        }
        let Some(account) = self.accounts.find(&arrival.key_hash).cloned() else {
            return Err(refused(Code::UnknownAccount));
        };
        let known = match &arrival.target {
            Target::Model(group) => view.table.group(group).is_some(),
            Target::Service(service) => view.table.service(service).is_some(),
        };
        if !known {
            return Err(refused(Code::UnknownModel));
        }
        self.check_key(now, arrival).map_err(refused)?;
        let (id, weight) = (account.id.clone(), account.row.weight);
        let late = self.dispatcher.too_late(
            now,
            &arrival.target,
            &id,
            weight,
            arrival.work(),
            arrival.deadline,
        );
        if let Some(after) = late {
            let code = Code::DeadlineUnmet;
            return Err(Refused { code, after });
        }
        let amount = self.amount(now, &account);
        let new = || Usage::new(now, amount);
        let usage = self.usage.entry(id.clone()).or_insert_with(new);
        usage.admit(now, amount, arrival.tokens)?;
        Ok((id, weight))
    }

    fn enqueue(&mut self, id: &RequestId, out: &mut Vec<Output>) {
        let Some((target, queued)) = self.queued(id) else {
            return;
        };
        let shed = self.dispatcher.enter(&target, queued);
        if let Some(shed) = shed {
            let after = self.dispatcher.full_for(&target);
            self.refuse_after(&shed, Code::Overload, after, out);
        }
    }

    fn enqueue_front(&mut self, id: &RequestId) {
        if let Some((target, queued)) = self.queued(id) {
            self.dispatcher.enter_front(&target, queued);
        }
    }

    fn queued(&self, id: &RequestId) -> Option<(Target, Queued)> {
        let request = self.requests.get(id)?;
        let arrival = &request.arrival;
        let queued = Queued {
            request: id.clone(),
            account: request.account.clone(),
            weight: request.weight,
            priority: arrival.hint.priority,
            work: arrival.work(),
            deadline: arrival.deadline,
            latest: arrival.deadline,
        };
        Some((arrival.target.clone(), queued))
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
                self.enqueue(id, out);
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
        self.dispatcher.fail(now, attempt);
        if !self.end_attempt(id, attempt, false) {
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
        self.enqueue_front(id);
    }

    fn finished(
        &mut self,
        id: &RequestId,
        attempt: AttemptId,
        answer: Option<Answer>,
        out: &mut Vec<Output>,
    ) {
        if !self.end_attempt(id, attempt, true) {
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
        let target = request.arrival.target.clone();
        let running = request.attempt.clone();
        if let Some((attempt, _)) = &running {
            self.end_attempt(id, *attempt, false);
        }
        self.advance(id, "cancel");
        self.dispatcher.leave(&target, id);
        let Some(request) = self.forget(id) else {
            return;
        };
        if request.claimed && running.is_none() {
            let key = request.arrival.once;
            out.extend(key.map(|k| Output::Claim(id.clone(), k, ClaimChange::Release)));
        }
    }

    fn drain_queue(&mut self, now: Time, out: &mut Vec<Output>) {
        for id in self.dispatcher.overdue(now) {
            let request = self.requests.get(&id);
            let served = request.is_some_and(|r| self.dispatcher.serves(&r.arrival.target));
            let code = if served {
                Code::DeadlineUnmet
            } else {
                Code::NoReplica
            };
            self.refuse(&id, code, out);
        }
        for sent in self.dispatcher.drain(now) {
            self.dispatch(sent, out);
        }
    }

    fn dispatch(&mut self, sent: Sent, out: &mut Vec<Output>) {
        self.advance(&sent.request, "dispatch");
        let Some(request) = self.requests.get_mut(&sent.request) else {
            return;
        };
        request.attempts += 1;
        request.attempt = Some((sent.attempt, sent.vm.clone()));
        out.push(Output::Dispatch {
            request: sent.request,
            attempt: sent.attempt,
            vm: sent.vm,
            address: sent.address,
            replica: sent.replica,
        });
    }

    fn refuse(&mut self, id: &RequestId, code: Code, out: &mut Vec<Output>) {
        self.refuse_after(id, code, RETRY_AFTER, out);
    }

    fn refuse_after(&mut self, id: &RequestId, code: Code, after: Duration, out: &mut Vec<Output>) {
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
            after,
        });
    }

    fn end_attempt(&mut self, id: &RequestId, attempt: AttemptId, whole: bool) -> bool {
        let Some(request) = self.requests.get_mut(id) else {
            return false;
        };
        match request.attempt.take() {
            Some((current, _)) if current == attempt => {
                self.dispatcher.end(self.now, attempt, whole);
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
