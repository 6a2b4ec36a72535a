//! Queues of all targets, and the dispatch of queued requests to endpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::accounts::Accounts;
use crate::admission::{self, DequeueRate};
use crate::endpoints::{self, Endpoint, Endpoints, Pool, TargetPools, Work};
use crate::fair_queue::{FairQueue, QueuedRequest};
use crate::gateway::Target;
use crate::ids::{AccountId, AttemptId, DomainId, ReplicaId, RequestId, VersionId, VmId};
use crate::router::{Choice, Policy, Selection};
use crate::time::Time;
use crate::version_share::VersionShare;
use crate::view::View;

/// An attempt that was just dispatched to an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchedAttempt {
    /// Request that the attempt is for.
    pub request: RequestId,
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// VM of the endpoint.
    pub vm: VmId,
    /// Base URL of the endpoint.
    pub address: String,
    /// Replica that the endpoint serves; `None` for a plain service.
    pub replica: Option<ReplicaId>,
}

#[derive(Debug, Default)]
struct TargetQueue {
    requests: FairQueue,
    dequeue_rate: DequeueRate,
    version_share: VersionShare,
}

/// Request queues of one gateway and the endpoints that they feed.
#[derive(Debug)]
pub struct Dispatcher {
    domain: DomainId,
    max_queued: usize,
    policy: Policy,
    rng: SmallRng,
    endpoints: Endpoints,
    queues: BTreeMap<Target, TargetQueue>,
    version_weights: BTreeMap<VersionId, f64>,
    gateway_count: usize,
    choice_count: usize,
    attempts: u64,
    examined: u64,
}

impl Dispatcher {
    /// Creates a dispatcher without endpoints that queues at most `max_queued` requests over all
    /// targets.
    pub fn new(domain: DomainId, max_queued: usize, seed: u64) -> Self {
        Self {
            domain,
            max_queued,
            policy: Policy::default(),
            rng: SmallRng::seed_from_u64(seed),
            endpoints: Endpoints::default(),
            queues: BTreeMap::new(),
            version_weights: BTreeMap::new(),
            gateway_count: 1,
            choice_count: 0,
            attempts: 0,
            examined: 0,
        }
    }

    /// Sets the policy by which endpoints are compared.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Updates endpoints, version weights and the number of gateways from a view.
    ///
    /// The VMs in `avoided` get no requests, unless a target has no others.
    pub fn refresh(&mut self, now: Time, view: &View, avoided: &BTreeSet<VmId>) {
        let specs = || endpoints::usable_endpoints(now, view, &self.domain);
        let available: BTreeSet<Target> = specs()
            .filter(|(_, spec)| !avoided.contains(&spec.vm))
            .map(|(target, _)| target)
            .collect();
        let usable = specs().filter(|(t, s)| !avoided.contains(&s.vm) || !available.contains(t));
        self.endpoints.refresh(usable);
        let versions = view.table.versions();
        self.version_weights = versions.map(|(id, row)| (id.clone(), row.weight)).collect();
        self.gateway_count = view.entries.iter().filter(|e| e.live).count().max(1);
    }

    /// Updates the weights of client accounts in all queues.
    pub fn set_account_weights(&mut self, accounts: &Accounts) {
        for queue in self.queues.values_mut() {
            let weight = |id: &AccountId| accounts.get(id).map(|a| a.row.weight);
            queue.requests.set_weights(weight);
        }
    }

    /// Returns the number of queued requests, over all targets.
    pub fn queued_requests(&self) -> usize {
        self.queues.values().map(|q| q.requests.len()).sum()
    }

    /// Returns the number of endpoints examined so far, over all choices.
    pub fn examined(&self) -> u64 {
        self.examined
    }

    /// Returns whether any endpoint serves this target.
    pub fn serves(&self, target: &Target) -> bool {
        self.endpoints.pools(target).is_some()
    }

    /// Returns the wait before a retry if a new request would miss its deadline; `None` if it can
    /// be met.
    pub fn retry_after_if_late(
        &self,
        now: Time,
        target: &Target,
        account: &AccountId,
        weight: f64,
        work: Work,
        deadline: Time,
    ) -> Option<Duration> {
        let service = self.endpoints.latency(target).service_time(work);
        let service = service.unwrap_or_default();
        let queue = self.queues.get(target);
        let wait = queue.and_then(|q| {
            q.dequeue_rate
                .expected_wait(q.requests.work_ahead(account, weight))
        });
        admission::retry_after_if_late(now, deadline, wait.unwrap_or_default(), service)
    }

    /// Returns the expected wait until half of a full queue is served, from 0.5 s to 30 s.
    pub fn retry_after_if_full(&self, target: &Target) -> Duration {
        let queue = self.queues.get(target);
        let wait = queue.and_then(|q| q.dequeue_rate.expected_wait(q.requests.work() / 2));
        wait.unwrap_or_default()
            .clamp(Duration::from_millis(500), Duration::from_secs(30))
    }

    /// Queues a request; if the queues are full, returns a request that was shed instead.
    pub fn enqueue(&mut self, target: &Target, mut queued: QueuedRequest) -> Option<RequestId> {
        queued.latest_dispatch = self.latest_dispatch(target, &queued);
        let full = self.queued_requests() >= self.max_queued;
        let queue = self.queues.entry(target.clone()).or_default();
        queue.requests.push(queued);
        full.then(|| queue.requests.shed().map(|q| q.request))?
    }

    /// Queues a request ahead of all others of its account.
    pub fn enqueue_front(&mut self, target: &Target, mut queued: QueuedRequest) {
        queued.latest_dispatch = self.latest_dispatch(target, &queued);
        let queue = self.queues.entry(target.clone()).or_default();
        queue.requests.push_front(queued);
    }

    /// Removes a request from its queue.
    pub fn remove(&mut self, target: &Target, request: &RequestId) {
        if let Some(queue) = self.queues.get_mut(target) {
            queue.requests.remove(request);
        }
    }

    /// Removes and returns the requests that can't be answered by their deadline any more.
    pub fn remove_overdue(&mut self, now: Time) -> Vec<RequestId> {
        let mut overdue = Vec::new();
        for queue in self.queues.values_mut() {
            while let Some(request) = queue.requests.first_overdue(now).cloned() {
                queue.requests.remove(&request);
                overdue.push(request);
            }
        }
        overdue
    }

    /// Dispatches as many queued requests as the endpoints have room for.
    pub fn dispatch_queued(&mut self, now: Time) -> Vec<DispatchedAttempt> {
        let mut sent = Vec::new();
        let mut queues = std::mem::take(&mut self.queues);
        for (target, queue) in &mut queues {
            while let Some(dispatched) = self.dispatch_next(now, target, queue) {
                sent.push(dispatched);
            }
            if queue.requests.is_empty() {
                queue.dequeue_rate.reset();
            }
        }
        self.queues = queues;
        sent
    }

    /// Returns an attempt, on an endpoint of the target that runs nothing else, for a request that
    /// must run alone.
    ///
    /// `running_trials` returns the number of such requests that a VM already runs, or `None` if
    /// the VM must not be used; the endpoint may run these and nothing else.
    pub fn dispatch_alone(
        &mut self,
        now: Time,
        view: &View,
        target: &Target,
        request: &RequestId,
        running_trials: impl Fn(&VmId) -> Option<u32>,
    ) -> Option<DispatchedAttempt> {
        let mut specs = endpoints::usable_endpoints(now, view, &self.domain);
        let (_, spec) = specs.find(|(t, s)| {
            let trials = running_trials(&s.vm).filter(|_| t == target);
            trials.is_some_and(|n| n > 0 || s.load.running + s.load.queued == 0)
        })?;
        self.attempts += 1;
        Some(DispatchedAttempt {
            request: request.clone(),
            attempt: AttemptId(self.attempts),
            vm: spec.vm,
            address: spec.address,
            replica: spec.replica,
        })
    }

    /// Returns the VMs that serve a target.
    pub fn serving_vms(now: Time, view: &View, domain: &DomainId, target: &Target) -> Vec<VmId> {
        let specs = endpoints::usable_endpoints(now, view, domain);
        specs
            .filter(|(t, _)| t == target)
            .map(|(_, spec)| spec.vm)
            .collect()
    }

    /// Records that an attempt has returned `chunks` chunks of its answer.
    pub fn progress(&mut self, now: Time, attempt: AttemptId, chunks: u64) {
        self.endpoints.progress(now, attempt, chunks);
    }

    /// Records the failure of an attempt, before its end.
    pub fn fail(&mut self, now: Time, attempt: AttemptId) {
        self.endpoints.fail(now, attempt);
    }

    /// Records the end of an attempt; `complete` tells whether it returned the complete answer.
    pub fn end(&mut self, now: Time, attempt: AttemptId, complete: bool) {
        self.endpoints.end(now, attempt, complete);
    }

    fn latest_dispatch(&self, target: &Target, queued: &QueuedRequest) -> Time {
        let service = self.endpoints.latency(target).service_time(queued.work);
        queued.deadline - service.unwrap_or_default()
    }

    fn dispatch_next(
        &mut self,
        now: Time,
        target: &Target,
        queue: &mut TargetQueue,
    ) -> Option<DispatchedAttempt> {
        let work = queue.requests.head()?.work;
        let index = self.choose_endpoint(now, target, &mut queue.version_share, work)?;
        let queued = queue.requests.pop()?;
        if !queue.requests.is_empty() {
            queue.dequeue_rate.record_dequeued(now, work.tokens);
        }
        self.attempts += 1;
        let attempt = AttemptId(self.attempts);
        self.endpoints.start(now, attempt, index, target, work);
        let endpoint = self.endpoints.at(index)?;
        if let Some(version) = &endpoint.spec.version {
            let weight = self.version_weights.get(version).copied().unwrap_or(0.0);
            queue
                .version_share
                .record_work(version, weight, work.tokens);
        }
        Some(dispatched_attempt(queued.request, attempt, endpoint))
    }

    fn choose_endpoint(
        &mut self,
        now: Time,
        target: &Target,
        share: &mut VersionShare,
        work: Work,
    ) -> Option<usize> {
        self.choice_count += 1;
        let (endpoints, choice_count) = (&self.endpoints, self.choice_count);
        let mut selection = Selection {
            endpoints,
            pool: &Pool::default(),
            latency: endpoints.latency(target),
            work,
            gateway_count: self.gateway_count,
            policy: self.policy,
        };
        for pool in due_pools(endpoints.pools(target)?, share, &self.version_weights) {
            selection.pool = pool;
            let Choice { index, examined } = selection.choose(now, choice_count, &mut self.rng);
            self.examined += examined as u64;
            if index.is_some() {
                return index;
            }
        }
        None
    }
}

fn due_pools<'a>(
    pools: &'a TargetPools,
    share: &mut VersionShare,
    version_weights: &BTreeMap<VersionId, f64>,
) -> Vec<&'a Pool> {
    if pools.versions.len() == 1 {
        return pools.versions.values().collect();
    }
    let versions = pools.versions.keys().flatten();
    let weighted = versions.map(|v| (v, version_weights.get(v).copied().unwrap_or(0.0)));
    let order = share.order(weighted);
    let pool = |v: &VersionId| pools.versions.get(&Some(v.clone()));
    order.into_iter().filter_map(pool).collect()
}

fn dispatched_attempt(
    request: RequestId,
    attempt: AttemptId,
    endpoint: &Endpoint,
) -> DispatchedAttempt {
    DispatchedAttempt {
        request,
        attempt,
        vm: endpoint.spec.vm.clone(),
        address: endpoint.spec.address.clone(),
        replica: endpoint.spec.replica.clone(),
    }
}
