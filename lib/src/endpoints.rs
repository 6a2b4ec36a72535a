//! Endpoints that a gateway may use, indexed so that one choice costs the same at any number of
//! endpoints.
//!
//! The index is updated with each view. An endpoint keeps its index, its observed latency and this
//! gateway's open attempts from view to view.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::endpoint_latency::{MovingAverage, Slowness};
use crate::engine::Load;
use crate::gateway::Target;
use crate::ids::{AttemptId, DomainId, ReplicaId, VersionId, VmId};
use crate::platform::VmRole;
use crate::rendezvous;
use crate::time::Time;
use crate::view::{Health, View, VmStatus};

/// Assumed time, in seconds, for which a request occupies a slot, before one was observed.
const INITIAL_HOLD_S: f64 = 2.0;
/// Assumed prefill time, in seconds a token, before one was observed.
const INITIAL_PREFILL_S: f64 = 0.000_1;
/// Time constant, in seconds, with which trust in a reported load decays as the report ages.
const REPORT_DECAY_S: f64 = 0.1;
/// Time for which an endpoint is avoided after its first failure.
const AVOID_TIME: Duration = Duration::from_millis(250);
/// Maximum number of times that the avoidance time doubles.
const MAX_AVOID_DOUBLINGS: u32 = 5;
/// Weight of one view in the moving average of an endpoint's bias.
const BIAS_WEIGHT: f64 = 0.005;
/// Largest ratio of an observed answer to its expected length that one observation counts with.
const MAX_ANSWER_RATIO: f64 = 2.0;
/// Number of mean deviations that are added to the mean answer length.
const DEVIATIONS: f64 = 2.0;
/// Points of each endpoint on the consistent-hashing ring of prompt prefixes.
const RING_POINTS: u64 = 8;
/// Prompt prefixes that an endpoint's cache is assumed to hold.
const CACHED_PREFIXES: usize = 64;
/// Maximum number of starts and ends of this gateway's attempts that are kept for an endpoint whose
/// reports fail to arrive.
const MAX_CHANGES: usize = 1_024;

fn request_count(load: &Load) -> u32 {
    load.running + load.queued
}

/// An endpoint as the view describes it.
#[derive(Debug, Clone)]
pub struct EndpointSpec {
    /// VM that takes the requests; rank 0 of a replica.
    pub vm: VmId,
    /// Base URL of the endpoint.
    pub address: String,
    /// Replica that the endpoint serves; `None` for a plain service.
    pub replica: Option<ReplicaId>,
    /// Model version that the endpoint serves; `None` for a plain service.
    pub version: Option<VersionId>,
    /// Requests that the endpoint runs at a time.
    pub slots: u32,
    /// Whether the endpoint is in the gateway's failure domain.
    pub near: bool,
    /// Load in the last report.
    pub load: Load,
    /// Time at which the reported load was measured.
    pub reported_at: Time,
}

/// An endpoint with this gateway's own observations of it.
#[derive(Debug)]
pub struct Endpoint {
    /// Description from the last view.
    pub spec: EndpointSpec,
    /// Attempts of this gateway that are open at the endpoint.
    pub open: u32,
    /// Prompt tokens of this gateway's attempts that have not returned a first token yet.
    pub pending_prefill: u64,
    /// Requests of other gateways in the last report.
    other_requests: f64,
    /// Moving average of how far `other_requests` lies above the mean of the pool.
    bias: f64,
    slowness: Slowness,
    failures: u32,
    avoided_until: Time,
    changes: VecDeque<(Time, i32)>,
    prefixes: VecDeque<u64>,
    listed: bool,
}

impl Endpoint {
    fn new(spec: EndpointSpec) -> Self {
        Self {
            other_requests: f64::from(request_count(&spec.load)),
            bias: 0.0,
            spec,
            open: 0,
            pending_prefill: 0,
            slowness: Slowness::default(),
            failures: 0,
            avoided_until: Time::ZERO,
            changes: VecDeque::new(),
            prefixes: VecDeque::new(),
            listed: true,
        }
    }

    /// Returns the number of requests expected at the endpoint now.
    ///
    /// This gateway's own open requests are known. Those of other gateways drift from the reported
    /// number towards their usual one as the report ages; `mean` is the mean of the pool.
    pub fn expected_requests(&self, now: Time, mean: f64) -> f64 {
        let age = now.since(self.spec.reported_at).as_secs_f64();
        let trust = (-age / REPORT_DECAY_S).exp();
        let average = mean + self.bias;
        f64::from(self.open) + (average + trust * (self.other_requests - average)).max(0.0)
    }

    /// Returns the standard deviation of the expected number of requests, caused by starts and ends
    /// at other gateways since the report; `hold` is the time in seconds for which a request
    /// occupies a slot.
    pub fn requests_deviation(&self, now: Time, mean: f64, hold: f64) -> f64 {
        let age = now.since(self.spec.reported_at).as_secs_f64();
        let turnover = 1.0 - (-age / hold.max(1e-3)).exp();
        (2.0 * mean * turnover).sqrt()
    }

    /// Returns the number of requests of other gateways in the last report.
    pub fn other_requests(&self) -> f64 {
        self.other_requests
    }

    /// Returns the number of requests in the last report.
    pub fn reported_load(&self) -> u32 {
        request_count(&self.spec.load)
    }

    /// Returns the expected ratio of the endpoint's latency to its pool's.
    pub fn slowness(&self, now: Time) -> f64 {
        self.slowness.factor(now)
    }

    /// Returns whether the endpoint failed recently. Without this pause, an endpoint that fails
    /// faster than others answer would attract all requests.
    pub fn is_avoided(&self, now: Time) -> bool {
        now < self.avoided_until
    }

    /// Returns whether the endpoint's prompt cache is assumed to hold this prefix.
    pub fn has_prefix(&self, prefix: u64) -> bool {
        prefix != 0 && self.prefixes.contains(&prefix)
    }

    fn record_change(&mut self, now: Time, by: i32) {
        self.changes.push_back((now, by));
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }

    fn update_spec(&mut self, spec: EndpointSpec) {
        let reported_at = spec.reported_at.max(self.spec.reported_at);
        let load = if spec.reported_at >= self.spec.reported_at {
            spec.load
        } else {
            self.spec.load
        };
        self.spec = EndpointSpec {
            load,
            reported_at,
            ..spec
        };
        while self.changes.front().is_some_and(|c| c.0 <= reported_at) {
            self.changes.pop_front();
        }
        let since: i64 = self.changes.iter().map(|c| i64::from(c.1)).sum();
        let own = (i64::from(self.open) - since).max(0);
        let all = i64::from(request_count(&self.spec.load));
        self.other_requests = (all - own).max(0) as f64;
        self.listed = true;
    }

    fn record_prefix(&mut self, prefix: u64) {
        if prefix == 0 {
            return;
        }
        self.prefixes.retain(|p| *p != prefix);
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > CACHED_PREFIXES {
            self.prefixes.pop_front();
        }
    }
}

/// Endpoints of one version of a group, or of one plain service.
#[derive(Debug, Default)]
pub struct Pool {
    /// Indexes of all endpoints of the pool.
    pub all: Vec<usize>,
    /// Indexes of the endpoints in the gateway's failure domain.
    pub near: Vec<usize>,
    /// Mean number of requests of other gateways at an endpoint, by the last reports.
    pub mean_other_requests: f64,
    ring: Vec<(u64, usize)>,
}

impl Pool {
    /// Returns the index of the endpoint that owns this prompt prefix on the ring.
    pub fn owner(&self, prefix: u64) -> Option<usize> {
        let at = self.ring.partition_point(|p| p.0 < prefix);
        let point = self.ring.get(at).or(self.ring.first());
        point.map(|p| p.1)
    }

    fn add(&mut self, index: usize, spec: &EndpointSpec) {
        self.all.push(index);
        if spec.near {
            self.near.push(index);
        }
        let vm = spec.vm.as_str().as_bytes();
        let point = |i: u64| (rendezvous::score(&i.to_le_bytes(), vm), index);
        self.ring.extend((0..RING_POINTS).map(point));
    }
}

/// Latencies of a target as this gateway observed them over all its endpoints.
#[derive(Debug, Clone, Copy, Default)]
pub struct TargetLatency {
    hold: MovingAverage,
    first_token: MovingAverage,
    token_gap: MovingAverage,
    prefill: MovingAverage,
    answer_ratio: MovingAverage,
    ratio_deviation: MovingAverage,
}

impl TargetLatency {
    /// Returns the time for which a request occupies a slot, in seconds.
    pub fn hold(&self) -> f64 {
        self.hold.get().unwrap_or(INITIAL_HOLD_S)
    }

    /// Returns the prefill time of one prompt token, in seconds.
    pub fn prefill(&self) -> f64 {
        self.prefill.get().unwrap_or(INITIAL_PREFILL_S)
    }

    /// Records the length of an answer as a ratio to its expected length.
    fn observe_answer(&mut self, now: Time, open_attempt: &OpenAttempt) {
        let (Some(first_token), Some(token_gap)) = (open_attempt.first_token, self.token_gap.get())
        else {
            return;
        };
        let decode = now.since(first_token).as_secs_f64();
        let answer_ratio =
            (decode / (token_gap * open_attempt.answer as f64).max(1e-9)).min(MAX_ANSWER_RATIO);
        let average = self.answer_ratio.get().unwrap_or(answer_ratio);
        self.ratio_deviation.observe((answer_ratio - average).abs());
        self.answer_ratio.observe(answer_ratio);
    }

    /// Returns the time within which most requests of this size are answered, or `None` before the
    /// first complete answer.
    pub fn service_time(&self, work: Work) -> Option<Duration> {
        let answer_ratio =
            self.answer_ratio.get()? + DEVIATIONS * self.ratio_deviation.get().unwrap_or(0.0);
        let expected_decode = work.answer() as f64 * self.token_gap.get()?;
        let seconds = self.first_token.get()? + answer_ratio * expected_decode;
        Some(Duration::from_secs_f64(seconds))
    }
}

/// Pools of one target, by model version.
#[derive(Debug, Default)]
pub struct TargetPools {
    /// Pools by version; a plain service has one pool, without a version.
    pub versions: BTreeMap<Option<VersionId>, Pool>,
}

/// An attempt that has not ended.
#[derive(Debug, Clone)]
pub struct OpenAttempt {
    /// Index of the attempt's endpoint.
    pub index: usize,
    /// Target of the request.
    pub target: Target,
    answer: u64,
    prompt: u64,
    started: Time,
    first_token: Option<Time>,
}

/// All endpoints, with the pools of each target.
#[derive(Debug, Default)]
pub struct Endpoints {
    entries: Vec<Option<Endpoint>>,
    indexes: BTreeMap<VmId, usize>,
    pools: BTreeMap<Target, TargetPools>,
    latencies: BTreeMap<Target, TargetLatency>,
    open: BTreeMap<AttemptId, OpenAttempt>,
}

impl Endpoints {
    /// Replaces the endpoints that may be used; all others get no new requests.
    pub fn refresh(&mut self, specs: impl Iterator<Item = (Target, EndpointSpec)>) {
        self.pools.clear();
        for endpoint in self.entries.iter_mut().flatten() {
            endpoint.listed = false;
        }
        for (target, spec) in specs {
            let version = spec.version.clone();
            let pools = self.pools.entry(target).or_default();
            let pool = pools.versions.entry(version).or_default();
            let index = index_for(&mut self.entries, &mut self.indexes, &spec.vm);
            pool.add(index, &spec);
            match &mut self.entries[index] {
                Some(endpoint) => endpoint.update_spec(spec),
                empty => *empty = Some(Endpoint::new(spec)),
            }
        }
        for pools in self.pools.values_mut() {
            for pool in pools.versions.values_mut() {
                pool.ring.sort_unstable();
                let endpoints = pool.all.iter().filter_map(|p| self.entries[*p].as_ref());
                let other_requests: f64 = endpoints.map(Endpoint::other_requests).sum();
                pool.mean_other_requests = other_requests / pool.all.len() as f64;
                for index in &pool.all {
                    if let Some(endpoint) = self.entries[*index].as_mut() {
                        let above =
                            endpoint.other_requests - pool.mean_other_requests - endpoint.bias;
                        endpoint.bias += BIAS_WEIGHT * above;
                    }
                }
            }
        }
        self.drop_unlisted();
    }

    /// Returns the endpoint at an index.
    pub fn at(&self, index: usize) -> Option<&Endpoint> {
        self.entries.get(index)?.as_ref()
    }

    /// Returns the pools of a target, or `None` if nothing serves it.
    pub fn pools(&self, target: &Target) -> Option<&TargetPools> {
        self.pools.get(target)
    }

    /// Returns the observed latencies of a target.
    pub fn latency(&self, target: &Target) -> TargetLatency {
        self.latencies.get(target).copied().unwrap_or_default()
    }

    /// Records an attempt that is dispatched to the endpoint at `index`.
    pub fn start(
        &mut self,
        now: Time,
        attempt: AttemptId,
        index: usize,
        target: &Target,
        work: Work,
    ) {
        let Some(endpoint) = self.entries.get_mut(index).and_then(Option::as_mut) else {
            return;
        };
        let cached = endpoint.has_prefix(work.prefix);
        let prompt = if cached { 0 } else { work.prompt };
        endpoint.open += 1;
        endpoint.pending_prefill += prompt;
        endpoint.record_change(now, 1);
        endpoint.record_prefix(work.prefix);
        let open_attempt = OpenAttempt {
            index,
            target: target.clone(),
            answer: work.answer(),
            prompt,
            started: now,
            first_token: None,
        };
        self.open.insert(attempt, open_attempt);
    }

    /// Records that an attempt has returned `chunks` chunks of its answer.
    pub fn progress(&mut self, now: Time, attempt: AttemptId, chunks: u64) {
        let Some(open_attempt) = self.open.get_mut(&attempt) else {
            return;
        };
        let Some(endpoint) = self.entries[open_attempt.index].as_mut() else {
            return;
        };
        let latency = self
            .latencies
            .entry(open_attempt.target.clone())
            .or_default();
        match open_attempt.first_token {
            None => {
                open_attempt.first_token = Some(now);
                endpoint.pending_prefill =
                    endpoint.pending_prefill.saturating_sub(open_attempt.prompt);
                let elapsed = now.since(open_attempt.started).as_secs_f64();
                latency.first_token.observe(elapsed);
                if open_attempt.prompt > 0 {
                    latency
                        .prefill
                        .observe(elapsed / open_attempt.prompt as f64);
                }
            }
            Some(first_token) if chunks > 1 => {
                let token_gap = now.since(first_token).as_secs_f64() / (chunks - 1) as f64;
                let average = latency.token_gap.get().unwrap_or(token_gap);
                endpoint.slowness.observe(now, token_gap, average);
                latency.token_gap.observe(token_gap.min(average * 2.0));
            }
            Some(_) => {}
        }
    }

    /// Records a failed attempt: its endpoint is avoided for a time that doubles with each failure.
    pub fn fail(&mut self, now: Time, attempt: AttemptId) {
        let index = self.open.get(&attempt).map(|a| a.index);
        if let Some(endpoint) = index.and_then(|p| self.entries[p].as_mut()) {
            endpoint.avoided_until =
                now + AVOID_TIME * 2_u32.pow(endpoint.failures.min(MAX_AVOID_DOUBLINGS));
            endpoint.failures += 1;
        }
    }

    /// Records the end of an attempt; `complete` tells whether it returned the complete answer.
    pub fn end(&mut self, now: Time, attempt: AttemptId, complete: bool) {
        let Some(open_attempt) = self.open.remove(&attempt) else {
            return;
        };
        let Some(endpoint) = self.entries[open_attempt.index].as_mut() else {
            return;
        };
        endpoint.open = endpoint.open.saturating_sub(1);
        endpoint.record_change(now, -1);
        if open_attempt.first_token.is_none() {
            endpoint.pending_prefill = endpoint.pending_prefill.saturating_sub(open_attempt.prompt);
        }
        if complete {
            endpoint.failures = 0;
            let latency = self
                .latencies
                .entry(open_attempt.target.clone())
                .or_default();
            let elapsed = now.since(open_attempt.started).as_secs_f64();
            let average = latency.hold.get().unwrap_or(elapsed);
            latency.hold.observe(elapsed.min(average * 2.0));
            latency.observe_answer(now, &open_attempt);
        }
        self.drop_idle(open_attempt.index);
    }

    fn drop_unlisted(&mut self) {
        for index in 0..self.entries.len() {
            self.drop_idle(index);
        }
    }

    fn drop_idle(&mut self, index: usize) {
        let idle = |e: &Endpoint| !e.listed && e.open == 0;
        if let Some(removed) = self.entries[index].take_if(|e| idle(e)) {
            self.indexes.remove(&removed.spec.vm);
        }
    }
}

/// Expected size of one request, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// Tokens of the prompt and of the expected answer.
    pub tokens: u64,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Hash of the prompt's prefix; zero if unknown.
    pub prefix: u64,
}

impl Work {
    /// Returns the tokens of the expected answer, at least one.
    pub fn answer(self) -> u64 {
        self.tokens.saturating_sub(self.prompt).max(1)
    }
}

fn index_for(
    entries: &mut Vec<Option<Endpoint>>,
    indexes: &mut BTreeMap<VmId, usize>,
    vm: &VmId,
) -> usize {
    if let Some(index) = indexes.get(vm) {
        return *index;
    }
    let free = match indexes.len() < entries.len() {
        true => entries.iter().position(Option::is_none),
        false => None,
    };
    let index = free.unwrap_or_else(|| {
        entries.push(None);
        entries.len() - 1
    });
    indexes.insert(vm.clone(), index);
    index
}

/// Lists the endpoints that may take new requests: replicas that serve, and live VMs of plain
/// services.
pub fn usable_endpoints<'a>(
    now: Time,
    view: &'a View,
    domain: &'a DomainId,
) -> impl Iterator<Item = (Target, EndpointSpec)> + 'a {
    let replicas = view.replicas().filter_map(move |(id, assignment)| {
        let ranks = view
            .vms_by_rank(&id, assignment)
            .filter(|_| !assignment.draining)?;
        let leaving = |vm: &VmId| view.vms.get(vm).is_none_or(|s| s.health == Health::Leaving);
        if ranks.iter().any(|vm| leaving(vm)) {
            return None;
        }
        let status = view.vms.get(ranks.first().copied()?)?;
        let slots = view.table.group(&assignment.group).map_or(1, |g| g.slots);
        let mut spec = endpoint_spec(now, status, slots, domain)?;
        spec.replica = Some(id);
        spec.version = Some(assignment.version.clone());
        Some((Target::Model(assignment.group.clone()), spec))
    });
    let services = view.vms.values().filter_map(move |status| {
        let VmRole::Service(service) = &status.listing.role else {
            return None;
        };
        let slots = view.table.service(service)?.slots;
        let spec = endpoint_spec(now, status, slots, domain)?;
        Some((Target::Service(service.clone()), spec))
    });
    replicas.chain(services)
}

fn endpoint_spec(
    now: Time,
    status: &VmStatus,
    slots: u32,
    domain: &DomainId,
) -> Option<EndpointSpec> {
    let is_healthy = matches!(status.health, Health::Live | Health::Probation);
    if !is_healthy || status.listing.leaving {
        return None;
    }
    let age = Duration::from_millis(status.load.age_ms + status.silent_ms);
    Some(EndpointSpec {
        vm: status.listing.vm.clone(),
        address: status.listing.address.clone(),
        replica: None,
        version: None,
        slots,
        near: status.listing.domain == *domain,
        load: status.load,
        reported_at: now - age,
    })
}
