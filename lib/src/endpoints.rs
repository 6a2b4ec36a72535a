//! The endpoints that a gateway may use, indexed so that one choice costs the same at any number.
//!
//! The index is brought up to date with each view. An endpoint keeps its place, its pace and the
//! gateway's own open attempts from view to view.

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

/// Time that a request is taken to hold its slot before one was observed, in seconds.
const FIRST_HOLD_S: f64 = 2.0;
/// Prefill pace that is assumed before one was observed, in seconds a token.
const FIRST_PREFILL_S: f64 = 0.000_1;
/// Age at which a report says little about the requests of other gateways, in seconds.
const REPORT_LIFE_S: f64 = 0.1;
/// Time for which an endpoint is avoided after it failed once.
const AVOID: Duration = Duration::from_millis(250);
/// Times that this doubles at most.
const AVOID_DOUBLINGS: u32 = 5;
/// Weight of one view in the usual load of an endpoint.
const BIAS_WEIGHT: f64 = 0.005;
/// Largest part of an expected answer that one observation may claim.
const FILL_CAP: f64 = 2.0;
/// Mean deviations that are added to the mean length of an answer.
const SPREADS: f64 = 2.0;
/// Points of each endpoint on the ring of prompt prefixes.
const RING_POINTS: u64 = 8;
/// Prefixes that an endpoint's cache is taken to hold.
const CACHED_PREFIXES: usize = 64;
/// Own starts and ends that are remembered for an endpoint whose reports don't come.
const CHANGES: usize = 1_024;

fn load_requests(load: &Load) -> u32 {
    load.running + load.queued
}

/// An endpoint as the view describes it.
#[derive(Debug, Clone)]
pub struct EndpointSpec {
    /// The VM that takes the calls.
    pub vm: VmId,
    /// Its base URL.
    pub address: String,
    /// The replica, for models.
    pub replica: Option<ReplicaId>,
    /// The version, for models.
    pub version: Option<VersionId>,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it shares the gateway's failure domain.
    pub near: bool,
    /// Its load as reported.
    pub load: Load,
    /// When the load was as reported.
    pub reported: Time,
}

/// An endpoint with what this gateway knows about it.
#[derive(Debug)]
pub struct Endpoint {
    /// As the view describes it.
    pub spec: EndpointSpec,
    /// Own open attempts.
    pub open: u32,
    /// Prompt tokens of own attempts that have no first token yet.
    pub prefill: u64,
    /// Requests of other gateways in the last report.
    others: f64,
    /// How far these usually lie above the mean of the pool.
    bias: f64,
    slowness: Slowness,
    failures: u32,
    avoided: Time,
    changes: VecDeque<(Time, i32)>,
    prefixes: VecDeque<u64>,
    listed: bool,
}

impl Endpoint {
    fn new(spec: EndpointSpec) -> Self {
        Self {
            others: f64::from(load_requests(&spec.load)),
            bias: 0.0,
            spec,
            open: 0,
            prefill: 0,
            slowness: Slowness::default(),
            failures: 0,
            avoided: Time::ZERO,
            changes: VecDeque::new(),
            prefixes: VecDeque::new(),
            listed: true,
        }
    }

    /// Returns the requests expected at the endpoint: its own open ones, which are known, and those
    /// of others, which drift from the report towards their usual number as the report ages.
    pub fn requests(&self, now: Time, mean: f64) -> f64 {
        let age = now.since(self.spec.reported).as_secs_f64();
        let trust = (-age / REPORT_LIFE_S).exp();
        let usual = mean + self.bias;
        f64::from(self.open) + (usual + trust * (self.others - usual)).max(0.0)
    }

    /// Returns the standard deviation of the requests expected, from the starts and ends at other
    /// gateways since the report.
    pub fn uncertainty(&self, now: Time, mean: f64, hold: f64) -> f64 {
        let age = now.since(self.spec.reported).as_secs_f64();
        let turned = 1.0 - (-age / hold.max(1e-3)).exp();
        (2.0 * mean * turned).sqrt()
    }

    /// Returns the requests of other gateways in the last report.
    pub fn others(&self) -> f64 {
        self.others
    }

    /// Returns the requests in the last report alone.
    pub fn reported(&self) -> u32 {
        load_requests(&self.spec.load)
    }

    /// Returns how many times slower than its pool the endpoint is expected to be.
    pub fn slowness(&self, now: Time) -> f64 {
        self.slowness.factor(now)
    }

    /// Returns whether the endpoint failed a moment ago, so that it would draw all work by failing
    /// sooner than others answer.
    pub fn is_avoided(&self, now: Time) -> bool {
        now < self.avoided
    }

    /// Returns whether the endpoint's prompt cache is taken to hold this prefix.
    pub fn has_prefix(&self, prefix: u64) -> bool {
        prefix != 0 && self.prefixes.contains(&prefix)
    }

    fn change(&mut self, now: Time, by: i32) {
        self.changes.push_back((now, by));
        if self.changes.len() > CHANGES {
            self.changes.pop_front();
        }
    }

    fn describe(&mut self, spec: EndpointSpec) {
        let reported = spec.reported.max(self.spec.reported);
        let load = if spec.reported >= self.spec.reported {
            spec.load
        } else {
            self.spec.load
        };
        self.spec = EndpointSpec {
            load,
            reported,
            ..spec
        };
        while self.changes.front().is_some_and(|c| c.0 <= reported) {
            self.changes.pop_front();
        }
        let since: i64 = self.changes.iter().map(|c| i64::from(c.1)).sum();
        let own = (i64::from(self.open) - since).max(0);
        let all = i64::from(load_requests(&self.spec.load));
        self.others = (all - own).max(0) as f64;
        self.listed = true;
    }

    fn cache(&mut self, prefix: u64) {
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

/// The endpoints of one version of a group, or of one plain service.
#[derive(Debug, Default)]
pub struct Pool {
    /// Places of all its endpoints.
    pub all: Vec<usize>,
    /// Places of those in the gateway's failure domain.
    pub near: Vec<usize>,
    /// Mean number of requests of other gateways at an endpoint, by the last reports.
    pub mean: f64,
    ring: Vec<(u64, usize)>,
}

impl Pool {
    /// Returns the place of the endpoint that owns this prompt prefix.
    pub fn owner(&self, prefix: u64) -> Option<usize> {
        let at = self.ring.partition_point(|p| p.0 < prefix);
        let point = self.ring.get(at).or(self.ring.first());
        point.map(|p| p.1)
    }

    fn add(&mut self, place: usize, spec: &EndpointSpec) {
        self.all.push(place);
        if spec.near {
            self.near.push(place);
        }
        let vm = spec.vm.as_str().as_bytes();
        let point = |i: u64| (rendezvous::score(&i.to_le_bytes(), vm), place);
        self.ring.extend((0..RING_POINTS).map(point));
    }
}

/// Pace of all endpoints of a target as this gateway observed it.
#[derive(Debug, Clone, Copy, Default)]
pub struct TargetPace {
    hold: MovingAverage,
    first: MovingAverage,
    gap: MovingAverage,
    prefill: MovingAverage,
    fill: MovingAverage,
    spread: MovingAverage,
}

impl TargetPace {
    /// Returns the time that a request holds a slot, in seconds.
    pub fn hold(&self) -> f64 {
        self.hold.get().unwrap_or(FIRST_HOLD_S)
    }

    /// Returns the time that one prompt token takes, in seconds.
    pub fn prefill(&self) -> f64 {
        self.prefill.get().unwrap_or(FIRST_PREFILL_S)
    }

    /// Takes the part of the expected answer that an attempt gave.
    fn observe_fill(&mut self, now: Time, attempted: &Attempted) {
        let (Some(first), Some(gap)) = (attempted.first, self.gap.get()) else {
            return;
        };
        let decode = now.since(first).as_secs_f64();
        let fill = (decode / (gap * attempted.answer as f64).max(1e-9)).min(FILL_CAP);
        let usual = self.fill.get().unwrap_or(fill);
        self.spread.observe((fill - usual).abs());
        self.fill.observe(fill);
    }

    /// Returns the time within which most work of this size is done, or `None` before the first
    /// answer.
    pub fn service(&self, work: Work) -> Option<Duration> {
        let fill = self.fill.get()? + SPREADS * self.spread.get().unwrap_or(0.0);
        let whole = work.answer() as f64 * self.gap.get()?;
        let seconds = self.first.get()? + fill * whole;
        Some(Duration::from_secs_f64(seconds))
    }
}

/// The endpoints of one target, by version.
#[derive(Debug, Default)]
pub struct TargetPools {
    /// One pool for each version; a plain service has one without a version.
    pub versions: BTreeMap<Option<VersionId>, Pool>,
}

/// An attempt under way.
#[derive(Debug, Clone)]
pub struct Attempted {
    /// Place of its endpoint.
    pub place: usize,
    /// What it is for.
    pub target: Target,
    answer: u64,
    prompt: u64,
    started: Time,
    first: Option<Time>,
}

/// All endpoints, by target.
#[derive(Debug, Default)]
pub struct Endpoints {
    slots: Vec<Option<Endpoint>>,
    places: BTreeMap<VmId, usize>,
    pools: BTreeMap<Target, TargetPools>,
    paces: BTreeMap<Target, TargetPace>,
    open: BTreeMap<AttemptId, Attempted>,
}

impl Endpoints {
    /// Takes the endpoints that may be used from now on; all others get nothing new.
    pub fn refresh(&mut self, specs: impl Iterator<Item = (Target, EndpointSpec)>) {
        self.pools.clear();
        for endpoint in self.slots.iter_mut().flatten() {
            endpoint.listed = false;
        }
        for (target, spec) in specs {
            let version = spec.version.clone();
            let pools = self.pools.entry(target).or_default();
            let pool = pools.versions.entry(version).or_default();
            let place = place(&mut self.slots, &mut self.places, &spec.vm);
            pool.add(place, &spec);
            match &mut self.slots[place] {
                Some(endpoint) => endpoint.describe(spec),
                empty => *empty = Some(Endpoint::new(spec)),
            }
        }
        for pools in self.pools.values_mut() {
            for pool in pools.versions.values_mut() {
                pool.ring.sort_unstable();
                let places = pool.all.iter().filter_map(|p| self.slots[*p].as_ref());
                let others: f64 = places.map(Endpoint::others).sum();
                pool.mean = others / pool.all.len() as f64;
                for place in &pool.all {
                    if let Some(endpoint) = self.slots[*place].as_mut() {
                        let above = endpoint.others - pool.mean - endpoint.bias;
                        endpoint.bias += BIAS_WEIGHT * above;
                    }
                }
            }
        }
        self.drop_unlisted();
    }

    /// Returns the endpoint at a place.
    pub fn at(&self, place: usize) -> Option<&Endpoint> {
        self.slots.get(place)?.as_ref()
    }

    /// Returns the pools of a target.
    pub fn pools(&self, target: &Target) -> Option<&TargetPools> {
        self.pools.get(target)
    }

    /// Returns the pace of a target.
    pub fn pace(&self, target: &Target) -> TargetPace {
        self.paces.get(target).copied().unwrap_or_default()
    }

    /// Counts an attempt that is sent to the endpoint at `place`.
    pub fn start(
        &mut self,
        now: Time,
        attempt: AttemptId,
        place: usize,
        target: &Target,
        work: Work,
    ) {
        let Some(endpoint) = self.slots.get_mut(place).and_then(Option::as_mut) else {
            return;
        };
        let cached = endpoint.has_prefix(work.prefix);
        let prompt = if cached { 0 } else { work.prompt };
        endpoint.open += 1;
        endpoint.prefill += prompt;
        endpoint.change(now, 1);
        endpoint.cache(work.prefix);
        let attempted = Attempted {
            place,
            target: target.clone(),
            answer: work.answer(),
            prompt,
            started: now,
            first: None,
        };
        self.open.insert(attempt, attempted);
    }

    /// Takes the news that an attempt has given `chunks` pieces of its answer.
    pub fn progress(&mut self, now: Time, attempt: AttemptId, chunks: u64) {
        let Some(attempted) = self.open.get_mut(&attempt) else {
            return;
        };
        let Some(endpoint) = self.slots[attempted.place].as_mut() else {
            return;
        };
        let pace = self.paces.entry(attempted.target.clone()).or_default();
        match attempted.first {
            None => {
                attempted.first = Some(now);
                endpoint.prefill = endpoint.prefill.saturating_sub(attempted.prompt);
                let taken = now.since(attempted.started).as_secs_f64();
                pace.first.observe(taken);
                if attempted.prompt > 0 {
                    pace.prefill.observe(taken / attempted.prompt as f64);
                }
            }
            Some(first) if chunks > 1 => {
                let gap = now.since(first).as_secs_f64() / (chunks - 1) as f64;
                let usual = pace.gap.get().unwrap_or(gap);
                endpoint.slowness.observe(now, gap, usual);
                pace.gap.observe(gap.min(usual * 2.0));
            }
            Some(_) => {}
        }
    }

    /// Takes the failure of an attempt: its endpoint is avoided for a while that doubles each time.
    pub fn fail(&mut self, now: Time, attempt: AttemptId) {
        let place = self.open.get(&attempt).map(|a| a.place);
        if let Some(endpoint) = place.and_then(|p| self.slots[p].as_mut()) {
            endpoint.avoided = now + AVOID * 2_u32.pow(endpoint.failures.min(AVOID_DOUBLINGS));
            endpoint.failures += 1;
        }
    }

    /// Counts the end of an attempt; `whole` says that it gave the whole answer.
    pub fn end(&mut self, now: Time, attempt: AttemptId, whole: bool) {
        let Some(attempted) = self.open.remove(&attempt) else {
            return;
        };
        let Some(endpoint) = self.slots[attempted.place].as_mut() else {
            return;
        };
        endpoint.open = endpoint.open.saturating_sub(1);
        endpoint.change(now, -1);
        if attempted.first.is_none() {
            endpoint.prefill = endpoint.prefill.saturating_sub(attempted.prompt);
        }
        if whole {
            endpoint.failures = 0;
            let pace = self.paces.entry(attempted.target.clone()).or_default();
            let taken = now.since(attempted.started).as_secs_f64();
            let usual = pace.hold.get().unwrap_or(taken);
            pace.hold.observe(taken.min(usual * 2.0));
            pace.observe_fill(now, &attempted);
        }
        self.drop_idle(attempted.place);
    }

    fn drop_unlisted(&mut self) {
        for place in 0..self.slots.len() {
            self.drop_idle(place);
        }
    }

    fn drop_idle(&mut self, place: usize) {
        let idle = |e: &Endpoint| !e.listed && e.open == 0;
        if let Some(gone) = self.slots[place].take_if(|e| idle(e)) {
            self.places.remove(&gone.spec.vm);
        }
    }
}

/// Work of one attempt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// Expected work in tokens, prompt and answer.
    pub tokens: u64,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Hash of the prompt's prefix; zero if unknown.
    pub prefix: u64,
}

impl Work {
    /// Returns the tokens of the answer, at least one.
    pub fn answer(self) -> u64 {
        self.tokens.saturating_sub(self.prompt).max(1)
    }
}

fn place(
    slots: &mut Vec<Option<Endpoint>>,
    places: &mut BTreeMap<VmId, usize>,
    vm: &VmId,
) -> usize {
    if let Some(place) = places.get(vm) {
        return *place;
    }
    let free = match places.len() < slots.len() {
        true => slots.iter().position(Option::is_none),
        false => None,
    };
    let place = free.unwrap_or_else(|| {
        slots.push(None);
        slots.len() - 1
    });
    places.insert(vm.clone(), place);
    place
}

/// Lists the endpoints that may take new work: serving replicas and live VMs of plain services.
pub fn specs<'a>(
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
        let mut spec = spec(now, status, slots, domain)?;
        spec.replica = Some(id);
        spec.version = Some(assignment.version.clone());
        Some((Target::Model(assignment.group.clone()), spec))
    });
    let services = view.vms.values().filter_map(move |status| {
        let VmRole::Service(service) = &status.listing.role else {
            return None;
        };
        let slots = view.table.service(service)?.slots;
        let spec = spec(now, status, slots, domain)?;
        Some((Target::Service(service.clone()), spec))
    });
    replicas.chain(services)
}

fn spec(now: Time, status: &VmStatus, slots: u32, domain: &DomainId) -> Option<EndpointSpec> {
    let answers = matches!(status.health, Health::Live | Health::Probation);
    if !answers || status.listing.leaving {
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
        reported: now - age,
    })
}
