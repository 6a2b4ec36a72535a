//! The gateway's state machine: admission, queueing, routing, retries and at-most-once claims.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use uuid::Uuid;

use crate::chart::{Chart, Charts, State};
use crate::claims::{Answer, Binding, ClaimId, Owner};
use crate::codes::{Code, Ran};
use crate::ids::{
    AccountId, AttemptId, DomainId, GroupId, Incarnation, ReplicaId, RequestId, ServiceId, VmId,
};
use crate::limits::Usage;
use crate::once::{self, Change, Unsettled};
use crate::peers::{Settled, Suspicion};
use crate::platform::VmRole;
use crate::rendezvous;
use crate::retry::Budget;
use crate::router::{self, Candidate, Dispatched};
use crate::suspicion::{Suspects, Verdict};
use crate::time::Time;
use crate::view::{Health, View};

/// Wait before a caller tries again.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(500);

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
    /// Fingerprint of the target and the body.
    pub body: String,
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
    /// The endpoint replied that it failed.
    Failed,
    /// The endpoint's output breaks the protocol.
    Malformed,
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
            Self::Failed => "failed",
            Self::Malformed => "malformed",
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
    /// A release, an answer or a closure was settled.
    Settled(ClaimId, Settled),
    /// An attempt failed.
    Failed(RequestId, AttemptId, FailReason),
    /// An attempt gave the whole answer; it is kept if the work was claimed.
    Finished(RequestId, AttemptId, Option<Answer>),
    /// The caller left.
    Left(RequestId),
    /// The operator or a signal asks this gateway to leave the address advice; it serves on.
    Leave,
    /// The gateway refuses new requests from now on.
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
        /// Whether it ran, by what became of its attempts.
        ran: Ran,
        /// Wait before the next try.
        after: Duration,
    },
    /// Give the answer that was kept for this idempotency key.
    Replay(RequestId, Answer),
    /// Ask the agent to append a claim, whose end is awaited as [`Input::Claimed`].
    Claim(RequestId, Change, Binding),
    /// Ask the agent to append a change of a claim, whose end is awaited as [`Input::Settled`].
    Settle(Change),
    /// Tell the agent of requests under suspicion of crashing endpoints.
    Suspect(Suspicion),
    /// Count a retry.
    Retry(RequestId, FailReason),
}

/// An attempt under way.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) id: AttemptId,
    pub(crate) vm: VmId,
    pub(crate) run: Incarnation,
    /// Whether it runs alone, under suspicion.
    pub(crate) alone: bool,
}

/// A request without its final answer.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) arrival: Arrival,
    pub(crate) account: AccountId,
    pub(crate) print: u64,
    pub(crate) state: State,
    pub(crate) attempt: Option<Attempt>,
    pub(crate) attempts: u32,
    /// The VM of the last attempt.
    pub(crate) last: Option<VmId>,
    /// The claim that this request made, unless it is known not to stand.
    pub(crate) claim: Option<ClaimId>,
    /// Whether an ended attempt ran.
    pub(crate) ran: Ran,
}

/// The gateway of one entry VM.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) config: GatewayConfig,
    pub(crate) chart: Chart,
    pub(crate) rng: SmallRng,
    pub(crate) view: Option<Arc<View>>,
    pub(crate) in_touch: Time,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) queue: VecDeque<RequestId>,
    pub(crate) usage: BTreeMap<AccountId, Usage>,
    pub(crate) dispatched: Dispatched,
    pub(crate) retries: Budget,
    pub(crate) unsettled: Unsettled,
    pub(crate) suspects: Suspects,
    /// Open requests by idempotency key.
    pub(crate) keys: BTreeMap<Uuid, RequestId>,
    pub(crate) deadlines: BTreeSet<(Time, RequestId)>,
    /// Suspects that run alone: where, and since when.
    pub(crate) trials: BTreeMap<RequestId, (VmId, Time)>,
    /// VMs that broke off or were not reached, and until when they are avoided.
    pub(crate) avoided: BTreeMap<VmId, Time>,
    pub(crate) leaving: bool,
    pub(crate) next: u64,
    pub(crate) stopping: bool,
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
            retries: Budget::default(),
            unsettled: Unsettled::default(),
            suspects: Suspects::default(),
            keys: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            trials: BTreeMap::new(),
            avoided: BTreeMap::new(),
            leaving: false,
            next: 0,
            stopping: false,
            config,
        }
    }

    /// Takes one input at the time `now` and appends what is to be done to `out`.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::ViewLost => {}
            Input::View(view) => self.take_view(now, view),
            Input::Arrive(arrival) => self.arrive(now, arrival, out),
            Input::Claimed(request, settled) => self.claimed(now, &request, settled, out),
            Input::Settled(claim, settled) => self.unsettled.settled(now, claim, &settled),
            Input::Failed(request, attempt, reason) => {
                self.failed(now, &request, attempt, reason, out);
            }
            Input::Finished(request, attempt, answer) => {
                self.finished(now, &request, attempt, answer, out);
            }
            Input::Left(request) => self.left(now, &request, out),
            Input::Leave => self.leaving = true,
            Input::Stop => self.stopping = true,
        }
        self.drain_queue(now, out);
    }

    /// Returns the number of requests that have no final answer yet.
    pub fn open(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of changes of claims that the log is not known to hold yet.
    pub fn unsettled(&self) -> usize {
        self.unsettled.len()
    }

    /// Returns the spare share of the queue, from 0 to 1; zero while stopping.
    pub fn spare(&self) -> f64 {
        if self.stopping || self.leaving {
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
        self.suspects.take(now, &view);
        self.view = Some(view);
    }

    fn arrive(&mut self, now: Time, arrival: Arrival, out: &mut Vec<Output>) {
        match self.admit(now, &arrival) {
            Err(code) => {
                let request = arrival.request;
                let after = self.wait_after(code);
                out.push(Output::Refuse {
                    request,
                    code,
                    ran: code.ran(),
                    after,
                });
            }
            Ok(account) => self.open_request(arrival, account, out),
        }
    }

    fn open_request(&mut self, arrival: Arrival, account: AccountId, out: &mut Vec<Output>) {
        self.retries.first_try();
        let id = arrival.request.clone();
        let once = arrival.once;
        self.deadlines.insert((arrival.deadline, id.clone()));
        let request = Request {
            print: print(&account, &arrival.body),
            arrival,
            account,
            state: self.chart.start(),
            attempt: None,
            attempts: 0,
            last: None,
            claim: None,
            ran: Ran::No,
        };
        self.requests.insert(id.clone(), request);
        match once {
            None => self.queue.push_back(id),
            Some(key) => self.claim(&id, key, out),
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
        if let Some(key) = &arrival.once {
            once::check_key(now, key, self.config.key_life)?;
            self.check_open(key, id, &arrival.body)?;
        }
        let print = print(id, &arrival.body);
        let verdict = self
            .suspects
            .verdict(now, &view, &self.config.owner.entry, print);
        if matches!(verdict, Verdict::Convicted(_) | Verdict::Elsewhere) {
            return Err(Code::Suspect);
        }
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

    fn drain_queue(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(view) = self.view.clone() else {
            return;
        };
        let mut kept = VecDeque::new();
        while let Some(id) = self.queue.pop_front() {
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            let (target, print) = (request.arrival.target.clone(), request.print);
            let mut candidates = self.candidates(&view, &target);
            let me = &self.config.owner.entry;
            match self.suspects.verdict(now, &view, me, print) {
                Verdict::Convicted(_) | Verdict::Elsewhere => {
                    self.refuse(now, &id, Code::Suspect, out);
                    continue;
                }
                Verdict::Suspect(from) => {
                    match self.trial_candidate(now, from, &candidates) {
                        Some(candidate) => self.dispatch(now, &view, &id, candidate, true, out),
                        None => kept.push_back(id),
                    }
                    continue;
                }
                Verdict::Clear => self.suspects.spare(now, &mut candidates),
            }
            self.avoid(now, &id, &mut candidates);
            let chosen = router::choose(&candidates, &self.dispatched, &mut self.rng);
            match chosen {
                Some(candidate) => self.dispatch(now, &view, &id, candidate, false, out),
                None => kept.push_back(id),
            }
        }
        self.queue = kept;
    }

    fn dispatch(
        &mut self,
        now: Time,
        view: &View,
        id: &RequestId,
        to: &Candidate,
        alone: bool,
        out: &mut Vec<Output>,
    ) {
        let Some(status) = view.vms.get(&to.vm) else {
            return;
        };
        self.next += 1;
        let attempt = AttemptId(self.next);
        self.advance(id, "dispatch");
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.attempts += 1;
        request.last = Some(to.vm.clone());
        request.attempt = Some(Attempt {
            id: attempt,
            vm: to.vm.clone(),
            run: status.run,
            alone,
        });
        self.dispatched.start(&to.vm, request.arrival.tokens);
        if alone {
            self.trials.insert(id.clone(), (to.vm.clone(), now));
        }
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

    /// Returns whether the gateway that holds a claim may still answer it.
    ///
    /// Gossip tells whether an entry VM lives, not in which run its gateway is; only an earlier run
    /// of this gateway itself is known to be gone.
    pub(crate) fn is_live(&self, owner: &Owner) -> bool {
        let me = &self.config.owner;
        if owner.entry == me.entry {
            return owner.run == me.run;
        }
        let Some(view) = &self.view else { return false };
        view.entries
            .iter()
            .any(|e| e.live && e.member.entry == owner.entry)
    }
}

/// Returns the fingerprint under which a request comes under suspicion.
pub(crate) fn print(account: &AccountId, body: &str) -> u64 {
    rendezvous::score(account.as_str().as_bytes(), body.as_bytes())
}
