//! The gateway's state machine: admission, queueing, routing, retries and at-most-once claims.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use uuid::Uuid;

use crate::accounts::{Account, Accounts};
use crate::at_most_once::{self, ClaimUpdate, PendingUpdates};
use crate::chart::{Chart, Charts, State};
use crate::claims::{Answer, Binding, ClaimId, Owner};
use crate::codes::{Code, Ran};
use crate::dispatch::{DispatchedAttempt, Dispatcher};
use crate::endpoints::Work;
use crate::fair_queue::QueuedRequest;
use crate::ids::{
    AccountId, AttemptId, DomainId, EntryId, GroupId, Incarnation, Offset, ReplicaId, RequestId,
    ServiceId, VmId,
};
use crate::limits::{Refused, Usage};
use crate::peers::{Settled, Suspicion};
use crate::rendezvous;
use crate::retry::RetryBudget;
use crate::router::Policy;
use crate::slices::{
    Amount, EntryMembership, SliceAllocator, SliceClient, SliceReply, SliceRequest,
};
use crate::suspicion::{SuspectRequests, Verdict};
use crate::time::Time;
use crate::view::{EntryStatus, View};

/// Wait before a retry that a refusal states if there is no better estimate.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Longest time that a request may stay open after the gateway that admitted it became unreachable.
const MAX_OPEN_TIME: Duration = Duration::from_secs(30);

/// Configuration of a gateway.
#[derive(Debug, Clone)]
pub struct GatewayConfig {
    /// Entry VM and run of the gateway.
    pub owner: Owner,
    /// Failure domain of the gateway.
    pub domain: DomainId,
    /// Maximum number of requests that the gateway queues.
    pub queue_limit: usize,
    /// Maximum age of an idempotency key. A key may lie in the future by this time or 60 s,
    /// whichever is less.
    pub max_key_age: Duration,
    /// Time without contact with the log and with peers after which new requests are refused.
    pub isolation_timeout: Duration,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Target of a request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// A model group.
    Model(GroupId),
    /// A plain service.
    Service(ServiceId),
}

/// A request as it arrives.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Identifier of the request.
    pub request: RequestId,
    /// SHA-256 of the account's key in lower-case hexadecimal.
    pub key_hash: String,
    /// Target of the request.
    pub target: Target,
    /// Tokens of the prompt and of the expected answer.
    pub tokens: u64,
    /// Time after which the caller has no use for the answer.
    pub deadline: Time,
    /// Idempotency key, for a request that must run at most once.
    pub idempotency_key: Option<Uuid>,
    /// Fingerprint of the target and the body.
    pub body_fingerprint: String,
    /// Optional facts for ordering and placement.
    pub hint: Hint,
}

/// Optional facts about a request, for ordering it in its queue and choosing an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Hint {
    /// Priority among the requests of the account; a larger one goes first.
    pub priority: i32,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Hash of the prompt's prefix; zero if unknown.
    pub prefix: u64,
}

impl Arrival {
    pub(crate) fn work(&self) -> Work {
        Work {
            tokens: self.tokens,
            prompt: self.hint.prompt,
            prefix: self.hint.prefix,
        }
    }
}

fn refusal(code: Code) -> Refused {
    let retry_after = DEFAULT_RETRY_AFTER;
    Refused { code, retry_after }
}

/// Reason why an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FailReason {
    /// The endpoint could not be reached; the request did not run.
    Connect,
    /// The endpoint refused the request before running it.
    Refused,
    /// The connection broke after the request was sent.
    Broken,
    /// The next chunk did not arrive in time.
    Stalled,
    /// The endpoint reported a failure.
    Failed,
    /// The endpoint's output violates the protocol.
    Malformed,
}

impl FailReason {
    /// Returns whether the request is known not to have run.
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
            Self::Failed => "failed",
            Self::Malformed => "malformed",
        }
    }
}

/// Input of the gateway's state machine.
#[derive(Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The agent published a new view.
    View(Arc<View>),
    /// Neither the agent of this entry VM nor that of a peer has answered for a while.
    ViewLost,
    /// A request arrived.
    Arrive(Arrival),
    /// The result of a claim arrived.
    Claimed(RequestId, Settled),
    /// The result of a claim update (release, answer or closure) arrived.
    ClaimUpdated(ClaimId, Settled),
    /// An attempt has returned this many chunks of its answer.
    Progress(RequestId, AttemptId, u64),
    /// An attempt failed.
    Failed(RequestId, AttemptId, FailReason),
    /// An attempt returned the complete answer, which is given here if it is to be stored with the
    /// claim.
    Finished(RequestId, AttemptId, Option<Answer>),
    /// The caller disconnected.
    CallerLeft(RequestId),
    /// The gateway leaves the address advice but still accepts requests.
    Leave,
    /// The gateway refuses new requests from now on.
    Stop,
}

/// Output of the gateway's state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Start an attempt.
    Dispatch {
        /// Request that the output is about.
        request: RequestId,
        /// Identifier of the new attempt.
        attempt: AttemptId,
        /// VM of the endpoint.
        vm: VmId,
        /// Base URL of the endpoint.
        address: String,
        /// Replica that the endpoint serves; `None` for a plain service.
        replica: Option<ReplicaId>,
    },
    /// Refuse a request for good.
    Refuse {
        /// Request that the output is about.
        request: RequestId,
        /// Result code of the refusal.
        code: Code,
        /// Whether the request ran, judged by its attempts.
        ran: Ran,
        /// Wait before a retry.
        retry_after: Duration,
    },
    /// Answer a request with the stored answer of its idempotency key.
    Replay(RequestId, Answer),
    /// Ask the agent to append a claim; its result returns as [`Input::Claimed`].
    Claim(RequestId, ClaimUpdate, Binding),
    /// Ask the agent to append a claim update; its result returns as [`Input::ClaimUpdated`].
    UpdateClaim(ClaimUpdate),
    /// Tell the agent of a request that is suspected of crashing an endpoint.
    Suspect(Suspicion),
    /// Count a retry and its reason.
    Retry(RequestId, FailReason),
}

/// An attempt that has not ended.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) id: AttemptId,
    pub(crate) vm: VmId,
    pub(crate) run: Incarnation,
    /// Whether the attempt is an isolated trial of a suspected request.
    pub(crate) alone: bool,
}

/// An open request.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) arrival: Arrival,
    pub(crate) account: AccountId,
    pub(crate) weight: f64,
    pub(crate) fingerprint: u64,
    pub(crate) state: State,
    pub(crate) attempt: Option<Attempt>,
    pub(crate) attempts: u32,
    /// Claim that the request made, unless it is known not to hold.
    pub(crate) claim: Option<ClaimId>,
    /// Whether the request ran in an attempt that has ended.
    pub(crate) ran: Ran,
}

/// State machine of the gateway of one entry VM.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) config: GatewayConfig,
    pub(crate) chart: Chart,
    pub(crate) now: Time,
    pub(crate) view: Option<Arc<View>>,
    /// Time of the last view whose agent had contact with the log or with peers.
    pub(crate) last_contact: Time,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) accounts: Accounts,
    /// Table version, as the offset of its next record, that `accounts` was built from.
    pub(crate) indexed_at: Option<Offset>,
    pub(crate) usage: BTreeMap<AccountId, Usage>,
    pub(crate) membership: EntryMembership,
    pub(crate) slices: Option<(SliceClient, SliceAllocator)>,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) pending_updates: PendingUpdates,
    pub(crate) claim_count: u64,
    pub(crate) suspects: SuspectRequests,
    /// Open requests by idempotency key.
    pub(crate) open_keys: BTreeMap<Uuid, RequestId>,
    pub(crate) deadlines: BTreeSet<(Time, RequestId)>,
    /// Suspected requests that wait for a replica without other requests.
    pub(crate) held_back: Vec<RequestId>,
    /// Suspected requests that run alone: their VM, and the start of the trial.
    pub(crate) trials: BTreeMap<RequestId, (VmId, Time)>,
    /// VMs that failed recently, and the end of their avoidance.
    pub(crate) avoided: BTreeMap<VmId, Time>,
    pub(crate) leaving: bool,
    pub(crate) stopping: bool,
}

impl Gateway {
    /// Creates a gateway that has received no view yet.
    pub fn new(config: GatewayConfig, charts: &Charts) -> Self {
        Self {
            now: Time::ZERO,
            dispatcher: Dispatcher::new(config.domain.clone(), config.queue_limit, config.seed),
            chart: charts.request.clone(),
            view: None,
            last_contact: Time::ZERO,
            requests: BTreeMap::new(),
            accounts: Accounts::default(),
            indexed_at: None,
            usage: BTreeMap::new(),
            membership: EntryMembership::default(),
            slices: None,
            retry_budget: RetryBudget::default(),
            pending_updates: PendingUpdates::default(),
            claim_count: 0,
            suspects: SuspectRequests::default(),
            open_keys: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            held_back: Vec::new(),
            trials: BTreeMap::new(),
            avoided: BTreeMap::new(),
            leaving: false,
            stopping: false,
            config,
        }
    }

    /// Handles one input at the time `now` and appends the resulting outputs to `out`.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.now = now;
        match input {
            Input::Tick => self.tick(now, out),
            Input::ViewLost => {}
            Input::View(view) => self.update_view(now, view),
            Input::Arrive(arrival) => self.arrive(now, arrival, out),
            Input::Claimed(request, settled) => self.claimed(now, &request, settled, out),
            Input::ClaimUpdated(claim, settled) => {
                self.pending_updates.record_result(now, claim, &settled);
            }
            Input::Progress(_, attempt, chunks) => self.dispatcher.progress(now, attempt, chunks),
            Input::Failed(request, attempt, reason) => {
                self.failed(now, &request, attempt, reason, out);
            }
            Input::Finished(request, attempt, answer) => {
                self.finished(now, &request, attempt, answer, out);
            }
            Input::CallerLeft(request) => self.caller_left(now, &request, out),
            Input::Leave => self.leaving = true,
            Input::Stop => self.stopping = true,
        }
        self.dispatch_queued(now, out);
        self.dispatch_trials(now, out);
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of claim updates that the log is not known to hold yet.
    pub fn pending_claim_updates(&self) -> usize {
        self.pending_updates.len()
    }

    /// Returns the free part of the queue, from 0 to 1; zero while leaving or stopping.
    pub fn spare_capacity(&self) -> f64 {
        if self.stopping || self.leaving {
            return 0.0;
        }
        1.0 - self.dispatcher.queued_requests() as f64 / self.config.queue_limit.max(1) as f64
    }

    /// Returns the entry VM and run under which this gateway makes claims.
    pub fn owner(&self) -> &Owner {
        &self.config.owner
    }

    /// Returns the latest view.
    pub fn view(&self) -> Option<&Arc<View>> {
        self.view.as_ref()
    }

    /// Replaces the default policy by which endpoints are compared.
    #[must_use]
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.dispatcher.set_policy(policy);
        self
    }

    /// Divides account limits among gateways by leased slices. Without this, each gateway gets an
    /// even part of a limit.
    #[must_use]
    pub fn with_slices(mut self) -> Self {
        let Owner { entry, run } = self.config.owner.clone();
        let client = SliceClient::new(entry.clone(), run);
        self.slices = Some((client, SliceAllocator::new(entry, run, MAX_OPEN_TIME)));
        self
    }

    /// Returns the number of endpoints examined so far, over all choices.
    pub fn examined(&self) -> u64 {
        self.dispatcher.examined()
    }

    /// Returns the slice requests to send now, each with the base URL of the allocating gateway.
    pub fn slice_requests(&mut self, now: Time) -> Vec<(String, SliceRequest)> {
        let (Some((client, _)), Some(view)) = (&mut self.slices, &self.view) else {
            return Vec::new();
        };
        for account in self.accounts.iter() {
            let new = || Usage::new(now, Amount::default());
            self.usage.entry(account.id.clone()).or_insert_with(new);
        }
        let demands = self.usage.iter_mut().map(|(id, u)| u.demand(now, id));
        let requests = client.requests(now, &self.membership, demands);
        let address = |allocator: &EntryId| {
            let found = view.entries.iter().find(|e| e.member.entry == *allocator)?;
            Some(found.member.gateway.clone())
        };
        requests
            .into_iter()
            .filter_map(|(allocator, request)| Some((address(&allocator)?, request)))
            .collect()
    }

    /// Answers a slice request of another gateway; `None` if limits aren't shared by slices.
    pub fn answer_slice_request(
        &mut self,
        now: Time,
        request: &SliceRequest,
    ) -> Option<SliceReply> {
        let (_, allocator) = self.slices.as_mut()?;
        let accounts = &self.accounts;
        let limit = |id: &AccountId| accounts.get(id).map(|a| Amount::of(&a.row));
        Some(allocator.answer(now, request, limit))
    }

    /// Applies the reply to a slice request.
    pub fn apply_slice_reply(&mut self, reply: &SliceReply) {
        if let Some((client, _)) = &mut self.slices {
            client.apply_reply(reply);
        }
    }

    fn update_view(&mut self, now: Time, view: Arc<View>) {
        if view.log_up || view.peers_up {
            self.last_contact = now;
        }
        self.suspects.merge(now, &view);
        self.refresh(now, &view);
        if self.indexed_at != Some(view.table.next) {
            self.accounts = Accounts::index(&view.table);
            self.indexed_at = Some(view.table.next);
            self.dispatcher.set_account_weights(&self.accounts);
        }
        self.update_membership(&view);
        self.view = Some(view);
    }

    fn update_membership(&mut self, view: &View) {
        let mut entries: Vec<&EntryStatus> = view.entries.iter().collect();
        entries.sort_by(|a, b| a.member.entry.cmp(&b.member.entry));
        let name = |e: &&EntryStatus| e.member.entry.clone();
        let usable = |e: &&&EntryStatus| e.live && !e.member.leaving;
        self.membership = EntryMembership {
            all: entries.iter().map(name).collect(),
            live: entries.iter().filter(usable).map(name).collect(),
        };
        if let Some((_, allocator)) = &mut self.slices {
            allocator.refresh(&self.membership);
        }
    }

    /// Returns the part of an account's limits that this gateway may use now.
    fn amount(&self, now: Time, account: &Account) -> Amount {
        let limit = Amount::of(&account.row);
        let members = self.membership.all.len();
        match &self.slices {
            _ if members <= 1 => limit,
            Some((client, _)) => client.amount(now, &account.id, limit, members),
            None => limit.even_part(members),
        }
    }

    fn arrive(&mut self, now: Time, arrival: Arrival, out: &mut Vec<Output>) {
        match self.admit(now, &arrival) {
            Err(Refused { code, retry_after }) => {
                let request = arrival.request;
                out.push(Output::Refuse {
                    request,
                    code,
                    ran: code.ran(),
                    retry_after,
                });
            }
            Ok((account, weight)) => self.open_request(arrival, account, weight, out),
        }
    }

    fn open_request(
        &mut self,
        arrival: Arrival,
        account: AccountId,
        weight: f64,
        out: &mut Vec<Output>,
    ) {
        self.retry_budget.record_first_attempt();
        let id = arrival.request.clone();
        let idempotency_key = arrival.idempotency_key;
        self.deadlines.insert((arrival.deadline, id.clone()));
        let request = Request {
            fingerprint: fingerprint(&account, &arrival.body_fingerprint),
            arrival,
            account,
            weight,
            state: self.chart.start(),
            attempt: None,
            attempts: 0,
            claim: None,
            ran: Ran::No,
        };
        self.requests.insert(id.clone(), request);
        match idempotency_key {
            None => self.enqueue(&id, out),
            Some(key) => self.claim(&id, key, out),
        }
    }

    fn admit(&mut self, now: Time, arrival: &Arrival) -> Result<(AccountId, f64), Refused> {
        if self.stopping {
            return Err(refusal(Code::Stopping));
        }
        let Some(view) = self.view.clone() else {
            return Err(refusal(Code::Isolated));
        };
        if now.since(self.last_contact) > self.config.isolation_timeout {
            return Err(refusal(Code::Isolated));
        }
        let Some(account) = self.accounts.find(&arrival.key_hash).cloned() else {
            return Err(refusal(Code::UnknownAccount));
        };
        let known = match &arrival.target {
            Target::Model(group) => view.table.group(group).is_some(),
            Target::Service(service) => view.table.service(service).is_some(),
        };
        if !known {
            return Err(refusal(Code::UnknownModel));
        }
        let (id, weight) = (account.id.clone(), account.row.weight);
        if let Some(key) = &arrival.idempotency_key {
            at_most_once::check_key(now, key, self.config.max_key_age).map_err(refusal)?;
            self.check_not_open(key, &id, &arrival.body_fingerprint)
                .map_err(refusal)?;
        }
        if self.is_refused(now, &view, fingerprint(&id, &arrival.body_fingerprint)) {
            return Err(Refused {
                code: Code::Suspect,
                retry_after: self.retry_after(Code::Suspect),
            });
        }
        let late = self.dispatcher.retry_after_if_late(
            now,
            &arrival.target,
            &id,
            weight,
            arrival.work(),
            arrival.deadline,
        );
        if let Some(retry_after) = late {
            let code = Code::DeadlineUnmet;
            return Err(Refused { code, retry_after });
        }
        let amount = self.amount(now, &account);
        let new = || Usage::new(now, amount);
        let usage = self.usage.entry(id.clone()).or_insert_with(new);
        usage.admit(now, amount, arrival.tokens)?;
        Ok((id, weight))
    }

    pub(crate) fn enqueue(&mut self, id: &RequestId, out: &mut Vec<Output>) {
        if self.hold_if_suspected(id) {
            return;
        }
        let Some((target, queued)) = self.queue_entry(id) else {
            return;
        };
        let shed = self.dispatcher.enqueue(&target, queued);
        if let Some(shed) = shed {
            let retry_after = self.dispatcher.retry_after_if_full(&target);
            self.refuse_after(self.now, &shed, Code::Overload, retry_after, out);
        }
    }

    pub(crate) fn enqueue_front(&mut self, id: &RequestId) {
        if self.hold_if_suspected(id) {
            return;
        }
        if let Some((target, queued)) = self.queue_entry(id) {
            self.dispatcher.enqueue_front(&target, queued);
        }
    }

    fn queue_entry(&self, id: &RequestId) -> Option<(Target, QueuedRequest)> {
        let request = self.requests.get(id)?;
        let arrival = &request.arrival;
        let queued = QueuedRequest {
            request: id.clone(),
            account: request.account.clone(),
            weight: request.weight,
            priority: arrival.hint.priority,
            work: arrival.work(),
            deadline: arrival.deadline,
            latest_dispatch: arrival.deadline,
        };
        Some((arrival.target.clone(), queued))
    }

    fn dispatch_queued(&mut self, now: Time, out: &mut Vec<Output>) {
        for id in self.dispatcher.remove_overdue(now) {
            let request = self.requests.get(&id);
            let served = request.is_some_and(|r| self.dispatcher.serves(&r.arrival.target));
            let code = if served {
                Code::DeadlineUnmet
            } else {
                Code::NoReplica
            };
            self.refuse(now, &id, code, out);
        }
        for dispatched in self.dispatcher.dispatch_queued(now) {
            self.dispatch(now, dispatched, out);
        }
    }

    fn dispatch(&mut self, now: Time, dispatched: DispatchedAttempt, out: &mut Vec<Output>) {
        let id = &dispatched.request;
        let verdict = self.verdict(now, id);
        if verdict != Verdict::Clear {
            self.dispatcher.end(now, dispatched.attempt, false);
            return self.apply_verdict(now, id, verdict, out);
        }
        self.start_attempt(dispatched, false, out);
    }

    pub(crate) fn start_attempt(
        &mut self,
        dispatched: DispatchedAttempt,
        alone: bool,
        out: &mut Vec<Output>,
    ) {
        self.advance(&dispatched.request, "dispatch");
        let status = self.view.as_ref().and_then(|v| v.vms.get(&dispatched.vm));
        let run = status.map_or(Incarnation(0), |s| s.run);
        let Some(request) = self.requests.get_mut(&dispatched.request) else {
            return;
        };
        request.attempts += 1;
        request.attempt = Some(Attempt {
            id: dispatched.attempt,
            vm: dispatched.vm.clone(),
            run,
            alone,
        });
        out.push(Output::Dispatch {
            request: dispatched.request,
            attempt: dispatched.attempt,
            vm: dispatched.vm,
            address: dispatched.address,
            replica: dispatched.replica,
        });
    }

    /// Returns whether the gateway run that made a claim may still finish it.
    ///
    /// Gossip tells whether an entry VM lives, not which run of its gateway does; only an earlier
    /// run of this gateway itself is known to be gone.
    pub(crate) fn is_live(&self, owner: &Owner) -> bool {
        let own = &self.config.owner;
        if owner.entry == own.entry {
            return owner.run == own.run;
        }
        let Some(view) = &self.view else { return false };
        view.entries
            .iter()
            .any(|e| e.live && e.member.entry == owner.entry)
    }
}

/// Returns the fingerprint by which requests are suspected of crashing endpoints.
pub(crate) fn fingerprint(account: &AccountId, body: &str) -> u64 {
    rendezvous::score(account.as_str().as_bytes(), body.as_bytes())
}
