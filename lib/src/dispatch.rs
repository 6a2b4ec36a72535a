//! Queues of all targets and the choice of where their next requests go.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::accounts::Accounts;
use crate::admission::{self, QueuePace};
use crate::endpoints::{self, Endpoint, Endpoints, Pool, TargetPools, Work};
use crate::fair_queue::{FairQueue, Queued};
use crate::gateway::Target;
use crate::ids::{AccountId, AttemptId, DomainId, ReplicaId, RequestId, VersionId, VmId};
use crate::router::{Choice, Policy, Selection};
use crate::time::Time;
use crate::version_share::VersionShare;
use crate::view::View;

/// A request on its way to an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Sent {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The VM that takes it.
    pub vm: VmId,
    /// Its base URL.
    pub address: String,
    /// The replica, for models.
    pub replica: Option<ReplicaId>,
}

#[derive(Debug, Default)]
struct Lane {
    queue: FairQueue,
    pace: QueuePace,
    share: VersionShare,
}

/// The queues of one gateway with the endpoints that they feed.
#[derive(Debug)]
pub struct Dispatcher {
    domain: DomainId,
    limit: usize,
    policy: Policy,
    rng: SmallRng,
    endpoints: Endpoints,
    lanes: BTreeMap<Target, Lane>,
    weights: BTreeMap<VersionId, f64>,
    gateway_count: usize,
    choice_count: usize,
    attempts: u64,
    examined: u64,
}

impl Dispatcher {
    /// Makes a dispatcher without endpoints that queues `limit` requests at most.
    pub fn new(domain: DomainId, limit: usize, seed: u64) -> Self {
        Self {
            domain,
            limit,
            policy: Policy::default(),
            rng: SmallRng::seed_from_u64(seed),
            endpoints: Endpoints::default(),
            lanes: BTreeMap::new(),
            weights: BTreeMap::new(),
            gateway_count: 1,
            choice_count: 0,
            attempts: 0,
            examined: 0,
        }
    }

    /// Compares endpoints by another policy.
    pub fn use_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Takes the endpoints, weights and gateways of a new view.
    ///
    /// The VMs in `avoided` get no work, unless they are all that a target has.
    pub fn refresh(&mut self, now: Time, view: &View, avoided: &BTreeSet<VmId>) {
        let specs = || endpoints::usable_endpoints(now, view, &self.domain);
        let good: BTreeSet<Target> = specs()
            .filter(|(_, spec)| !avoided.contains(&spec.vm))
            .map(|(target, _)| target)
            .collect();
        let usable = specs().filter(|(t, s)| !avoided.contains(&s.vm) || !good.contains(t));
        self.endpoints.refresh(usable);
        let versions = view.table.versions();
        self.weights = versions.map(|(id, row)| (id.clone(), row.weight)).collect();
        self.gateway_count = view.entries.iter().filter(|e| e.live).count().max(1);
    }

    /// Takes new weights of accounts.
    pub fn reweigh(&mut self, accounts: &Accounts) {
        for lane in self.lanes.values_mut() {
            let weight = |id: &AccountId| accounts.get(id).map(|a| a.row.weight);
            lane.queue.reweigh(weight);
        }
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.lanes.values().map(|l| l.queue.len()).sum()
    }

    /// Returns the number of endpoints that all choices looked at.
    pub fn examined(&self) -> u64 {
        self.examined
    }

    /// Returns whether any endpoint takes work for this target.
    pub fn serves(&self, target: &Target) -> bool {
        self.endpoints.pools(target).is_some()
    }

    /// Returns the wait before the next try if new work can't be done by its deadline.
    pub fn too_late(
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
        let lane = self.lanes.get(target);
        let wait = lane.and_then(|l| l.pace.wait(l.queue.ahead(account, weight)));
        admission::late(now, deadline, wait.unwrap_or_default(), service)
    }

    /// Returns the wait before a queue that is full has room again.
    pub fn full_for(&self, target: &Target) -> Duration {
        let lane = self.lanes.get(target);
        let wait = lane.and_then(|l| l.pace.wait(l.queue.work() / 2));
        wait.unwrap_or_default()
            .clamp(Duration::from_millis(500), Duration::from_secs(30))
    }

    /// Queues a request; returns one to refuse if there are too many.
    pub fn enter(&mut self, target: &Target, mut queued: Queued) -> Option<RequestId> {
        queued.latest = self.latest(target, &queued);
        let full = self.waiting() >= self.limit;
        let lane = self.lanes.entry(target.clone()).or_default();
        lane.queue.push(queued);
        full.then(|| lane.queue.shed().map(|q| q.request))?
    }

    /// Queues a request before the others of its account.
    pub fn enter_front(&mut self, target: &Target, mut queued: Queued) {
        queued.latest = self.latest(target, &queued);
        let lane = self.lanes.entry(target.clone()).or_default();
        lane.queue.push_front(queued);
    }

    /// Takes a request out of its queue.
    pub fn leave(&mut self, target: &Target, request: &RequestId) {
        if let Some(lane) = self.lanes.get_mut(target) {
            lane.queue.remove(request);
        }
    }

    /// Takes out the requests that can't be answered in time any more.
    pub fn overdue(&mut self, now: Time) -> Vec<RequestId> {
        let mut overdue = Vec::new();
        for lane in self.lanes.values_mut() {
            while let Some(request) = lane.queue.due(now).cloned() {
                lane.queue.remove(&request);
                overdue.push(request);
            }
        }
        overdue
    }

    /// Sends as many waiting requests as the endpoints have room for.
    pub fn drain(&mut self, now: Time) -> Vec<Sent> {
        let mut sent = Vec::new();
        let mut lanes = std::mem::take(&mut self.lanes);
        for (target, lane) in &mut lanes {
            while let Some(one) = self.send_one(now, target, lane) {
                sent.push(one);
            }
            if lane.queue.is_empty() {
                lane.pace.emptied();
            }
        }
        self.lanes = lanes;
        sent
    }

    /// Returns an attempt on an endpoint of the target that runs nothing but `trials` requests, for
    /// a request that must run alone.
    pub fn send_alone(
        &mut self,
        now: Time,
        view: &View,
        target: &Target,
        request: &RequestId,
        spared: impl Fn(&VmId) -> Option<u32>,
    ) -> Option<Sent> {
        let mut specs = endpoints::usable_endpoints(now, view, &self.domain);
        let (_, spec) = specs.find(|(t, s)| {
            let trials = spared(&s.vm).filter(|_| t == target);
            trials.is_some_and(|n| n > 0 || s.load.running + s.load.queued == 0)
        })?;
        self.attempts += 1;
        Some(Sent {
            request: request.clone(),
            attempt: AttemptId(self.attempts),
            vm: spec.vm,
            address: spec.address,
            replica: spec.replica,
        })
    }

    /// Returns the VMs that serve a target.
    pub fn vms(now: Time, view: &View, domain: &DomainId, target: &Target) -> Vec<VmId> {
        let specs = endpoints::usable_endpoints(now, view, domain);
        specs
            .filter(|(t, _)| t == target)
            .map(|(_, spec)| spec.vm)
            .collect()
    }

    /// Takes the news that an attempt has given `chunks` pieces of its answer.
    pub fn progress(&mut self, now: Time, attempt: AttemptId, chunks: u64) {
        self.endpoints.progress(now, attempt, chunks);
    }

    /// Takes the failure of an attempt, before its end.
    pub fn fail(&mut self, now: Time, attempt: AttemptId) {
        self.endpoints.fail(now, attempt);
    }

    /// Counts the end of an attempt; `whole` says that it gave the whole answer.
    pub fn end(&mut self, now: Time, attempt: AttemptId, whole: bool) {
        self.endpoints.end(now, attempt, whole);
    }

    fn latest(&self, target: &Target, queued: &Queued) -> Time {
        let service = self.endpoints.latency(target).service_time(queued.work);
        queued.deadline - service.unwrap_or_default()
    }

    fn send_one(&mut self, now: Time, target: &Target, lane: &mut Lane) -> Option<Sent> {
        let work = lane.queue.head()?.work;
        let index = self.choose_endpoint(now, target, &mut lane.share, work)?;
        let queued = lane.queue.pop()?;
        if !lane.queue.is_empty() {
            lane.pace.handed(now, work.tokens);
        }
        self.attempts += 1;
        let attempt = AttemptId(self.attempts);
        self.endpoints.start(now, attempt, index, target, work);
        let endpoint = self.endpoints.at(index)?;
        if let Some(version) = &endpoint.spec.version {
            let weight = self.weights.get(version).copied().unwrap_or(0.0);
            lane.share.sent(version, weight, work.tokens);
        }
        Some(sent(queued.request, attempt, endpoint))
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
        for pool in due_pools(endpoints.pools(target)?, share, &self.weights) {
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
    weights: &BTreeMap<VersionId, f64>,
) -> Vec<&'a Pool> {
    if pools.versions.len() == 1 {
        return pools.versions.values().collect();
    }
    let versions = pools.versions.keys().flatten();
    let weighed = versions.map(|v| (v, weights.get(v).copied().unwrap_or(0.0)));
    let order = share.order(weighed);
    let pool = |v: &VersionId| pools.versions.get(&Some(v.clone()));
    order.into_iter().filter_map(pool).collect()
}

fn sent(request: RequestId, attempt: AttemptId, endpoint: &Endpoint) -> Sent {
    Sent {
        request,
        attempt,
        vm: endpoint.spec.vm.clone(),
        address: endpoint.spec.address.clone(),
        replica: endpoint.spec.replica.clone(),
    }
}
