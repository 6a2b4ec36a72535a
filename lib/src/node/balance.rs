//! Sends requests to endpoints, and refuses requests that no endpoint can serve in time.
//!
//! Requests differ widely in tokens, and endpoints may stop answering without closing their
//! connections. So a request goes to the endpoint with the shortest expected time to the first
//! event, given the load that this entry VM and its peers have there.

mod eligibility;
mod load;
mod prompt_cost;
mod ranking;
mod room;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use self::eligibility::Shortage;
use self::load::Load;
use self::prompt_cost::ModelPrompts;
pub use self::prompt_cost::{Goals, PromptCost};
use super::breaks::Breaks;
use super::config::Engine;
use super::forecast::{CurrentLoad, Estimate, Forecast};
use super::peers::EndpointLoad;
use super::rate_limits::RateLimits;
use crate::rendezvous;
use crate::time::Time;

/// Time for which a silent endpoint gets no requests, beyond the time after which the head of a
/// group with a lost member gives up. A new incarnation of the endpoint ends this.
const SILENCE_MARGIN: Duration = Duration::from_secs(1);
/// Time without an event on any stream of a group after which it counts as silent. Assumes that a
/// pass with full prefill chunks takes at most 270 ms.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(450);
/// Time without an event on any stream of a group after which its members are probed. A probe is
/// harmless, so this is shorter than [`SILENCE_TIMEOUT`].
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time without a byte from an endpoint with requests in flight after which this VM checks whether
/// it reaches endpoints.
const QUIET_TIMEOUT: Duration = Duration::from_millis(400);
/// Failures in a row after which a plain endpoint is avoided.
const AVOID_AFTER_FAILURES: u32 = 3;
/// Upper bound on the delay before a refused caller retries, as a fraction of its remaining time
/// (callers are assumed to accept a third), and the fraction of that bound at which the random
/// delays start. Long delays are of use because a lost group is back only after 3 to 5 s, and
/// because an answer that misses its latency goal counts as late however long the delay was.
const MAX_RETRY_DELAY_FRACTION: f64 = 1.0 / 3.0;
const RETRY_SPREAD_START: f64 = 0.5;
/// Time after the start of a VM in which it is expected to read its first configuration and list, and
/// the shortest and longest delay of callers that it refuses before.
const STARTUP_TIME: Duration = Duration::from_secs(1);
const STARTUP_RETRY_DELAYS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(400));
/// Share of its latency goal that a request may wait for others while most groups have no free slot;
/// it needs the rest itself.
const QUEUE_SHARE: f64 = 0.5;

/// An endpoint that takes requests: a plain endpoint, or the head of a group.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Identifier of the endpoint.
    pub id: Arc<str>,
    /// Start time of the endpoint and epoch of its group. The state of an earlier incarnation is
    /// reset.
    pub incarnation: (u64, u64),
    /// Address as host and port.
    pub address: String,
    /// Zone of the endpoint.
    pub zone: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
    /// Model that the group serves; `None` for a plain endpoint.
    pub model: Option<Arc<str>>,
    /// Requests that the endpoint runs at the same time.
    pub slots: usize,
    /// Factor on the processing times of the engine.
    pub time_factor: f64,
}

/// Properties of a request that decide where it goes.
#[derive(Debug, Clone, Copy)]
pub struct RoutingRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Name of the model.
    pub model: Option<&'a str>,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Zone of this entry VM.
    pub zone: &'a str,
    /// Expected answer length in tokens.
    pub answer_tokens: u32,
    /// Longest time to the first event that is of use to the caller.
    pub first_event_limit: Duration,
    /// Longest time that the request may wait for others while most groups have no free slot.
    pub queue_limit: Duration,
    /// What the caller expects of the events of its stream.
    pub goals: Goals,
    /// Time left until the caller's deadline for the whole answer.
    pub time_left: Duration,
    /// Longest possible answer in tokens and the time in which it must be sure to end, if this
    /// entry VM is stopping.
    pub shutdown_limit: Option<(u32, Duration)>,
    /// Endpoints to which an idle connection is open.
    pub connected: &'a BTreeSet<Arc<str>>,
    /// Whether the request has started at another endpoint, so that a refusal would waste that
    /// work.
    pub has_started: bool,
    /// Whether no other kind of request to the service is worth more, so that this one may use what
    /// is reserved of a limited endpoint.
    pub is_urgent: bool,
}

/// Decision about a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// The request goes to this endpoint, with these expected times.
    Send(Candidate, Estimate),
    /// All endpoints are at capacity; the caller may retry after this time.
    Full(Duration),
    /// All endpoints that could serve the request have announced limits, of which this VM has no
    /// share left; the caller may retry after this time.
    Limited(Duration),
    /// No endpoint serves the request now; the caller may retry after this time.
    Unavailable(Duration),
}

/// The endpoints that take requests, with the load on them.
#[derive(Debug)]
pub struct Balancer {
    /// Time for which a silent endpoint gets no requests.
    silence_duration: Duration,
    candidates: BTreeMap<Arc<str>, Candidate>,
    /// Zones that the operators have evacuated.
    evacuated: BTreeSet<Arc<str>>,
    loads: BTreeMap<Arc<str>, Load>,
    /// When the total load of the other entry VMs arrived; `None` while it is not known.
    total_arrived: Option<Time>,
    /// Start times of endpoints that asked for no requests, and until when.
    held_off: BTreeMap<Arc<str>, (u64, Time)>,
    limits: RateLimits,
    breaks: Breaks,
    forecast: Forecast,
    prompts: ModelPrompts,
    /// Models of which most groups have a queue of prompts, and since when.
    long_prompts: BTreeMap<Arc<str>, Time>,
    /// Whether this is so for some time of the model of the current choice.
    is_prompt_bound: bool,
    /// Number by which the draws of this entry VM differ from those of others.
    seed: u64,
    /// Whether there are no other entry VMs, from whose draws those of this one must differ.
    is_alone: bool,
    choice_count: u64,
}

impl Balancer {
    /// Creates a balancer without endpoints for the entry VM `this_vm`. The head of a group with a
    /// lost member gives up after `stall`.
    pub fn new(this_vm: &str, stall: Duration) -> Self {
        Self {
            silence_duration: stall + SILENCE_MARGIN,
            candidates: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            loads: BTreeMap::new(),
            total_arrived: None,
            held_off: BTreeMap::new(),
            limits: RateLimits::new(this_vm),
            breaks: Breaks::default(),
            forecast: Forecast::default(),
            prompts: ModelPrompts::default(),
            long_prompts: BTreeMap::new(),
            is_prompt_bound: false,
            seed: rendezvous::score(b"spread", this_vm.as_bytes()),
            is_alone: false,
            choice_count: 0,
        }
    }

    /// Replaces the endpoints that take requests, and resets the failure state of those that
    /// restarted or joined another group.
    pub fn set_candidates(&mut self, candidates: impl IntoIterator<Item = Candidate>) {
        let new_candidates: BTreeMap<Arc<str>, Candidate> = candidates
            .into_iter()
            .map(|updated| (updated.id.clone(), updated))
            .collect();
        for (id, updated) in &new_candidates {
            let previous = self.candidates.get(id);
            if previous.is_some_and(|previous| previous.incarnation != updated.incarnation)
                && let Some(load) = self.loads.get_mut(id)
            {
                load.silent_since = None;
                load.peer_silent_since = None;
                load.last_peer_progress = None;
                load.failures = 0;
                load.avoided_since = None;
                load.slowness = 0.0;
            }
        }
        self.loads
            .retain(|id, load| new_candidates.contains_key(id) || load.requests > 0);
        for id in new_candidates.keys() {
            self.loads.entry(id.clone()).or_default();
        }
        self.candidates = new_candidates;
    }

    /// Sets whether there are no other entry VMs.
    pub fn set_alone(&mut self, is_alone: bool) {
        self.is_alone = is_alone;
    }

    /// Replaces the zones to whose endpoints nothing new is sent.
    pub fn set_evacuated(&mut self, zones: BTreeSet<Arc<str>>) {
        self.evacuated = zones;
    }

    /// Returns the limits that endpoints have announced.
    pub fn limits(&self) -> &RateLimits {
        &self.limits
    }

    /// Returns the limits that endpoints have announced, to record what is heard of them.
    pub fn limits_mut(&mut self) -> &mut RateLimits {
        &mut self.limits
    }

    /// Returns the groups that broke off requests.
    pub fn breaks(&self) -> &Breaks {
        &self.breaks
    }

    /// Returns the groups that broke off requests, to record what is heard of them.
    pub fn breaks_mut(&mut self) -> &mut Breaks {
        &mut self.breaks
    }

    /// Returns the endpoint with the given identifier, if it takes requests.
    pub fn candidate(&self, id: &str) -> Option<&Candidate> {
        self.candidates.get(id)
    }

    /// Iterates over the endpoints that take requests.
    pub fn candidates(&self) -> impl Iterator<Item = &Candidate> {
        self.candidates.values()
    }

    /// Decides where a request goes, excluding the endpoints in `tried`. `engine` is `None` for
    /// plain services.
    pub fn choose(
        &mut self,
        now: Time,
        request: &RoutingRequest<'_>,
        engine: Option<&Engine>,
        tried: &[Arc<str>],
    ) -> Choice {
        self.choice_count = self.choice_count.wrapping_add(1);
        // Callers may name any number of models that there are not.
        if let Some(model) = request.model.and_then(|m| engine?.model(m))
            && tried.is_empty()
        {
            self.prompts.record(now, &model.name, request);
            let size = (request.prompt_tokens, request.answer_tokens);
            self.forecast.record_size(&model.name, size);
        }
        self.is_prompt_bound = self.note_prompts(now, request, engine);
        let eligible = match self.eligible(now, request, engine, tried) {
            Ok(eligible) => eligible,
            Err(Shortage::Unavailable) => {
                return Choice::Unavailable(self.return_delay(now, request, engine));
            }
            Err(Shortage::Limited) => {
                return Choice::Limited(self.return_delay(now, request, engine));
            }
        };
        self.expect_loads(now, &eligible, request, engine);
        match self.best(&eligible, request, engine) {
            Some(candidate) => {
                let candidate = candidate.clone();
                let mut estimate = self.estimate(&candidate, request, engine);
                estimate.cost = self.prompt_cost(&candidate, &estimate, request, engine);
                self.limits.record_send(now, &candidate.id);
                Choice::Send(candidate, estimate)
            }
            None => Choice::Full(self.return_delay(now, request, engine)),
        }
    }

    /// Returns after which time the caller of a refused request should retry.
    fn return_delay(
        &self,
        now: Time,
        request: &RoutingRequest<'_>,
        engine: Option<&Engine>,
    ) -> Duration {
        let serving = self.serving(request, engine);
        let serving = serving.filter(|c| !self.evacuated.contains(&c.zone));
        let hold = serving.map(|c| self.hold_time(now, c)).min();
        hold.unwrap_or_default().max(self.retry_after(request))
    }

    /// Records that an endpoint wants no requests from this entry VM for `time`. A restart of the
    /// endpoint ends this.
    pub fn hold_off(&mut self, now: Time, candidate: &Candidate, time: Duration) {
        self.held_off.retain(|_, (_, until)| *until > now);
        let (started_ms, _) = candidate.incarnation;
        let held = self.held_off.entry(candidate.id.clone());
        let (known_start, until) = held.or_insert((started_ms, now));
        if *known_start != started_ms {
            (*known_start, *until) = (started_ms, now);
        }
        *until = (*until).max(now + time);
    }

    /// Returns the expected times of a request at an endpoint.
    fn estimate(
        &self,
        candidate: &Candidate,
        request: &RoutingRequest<'_>,
        engine: Option<&Engine>,
    ) -> Estimate {
        let current_load = self.current_load(candidate);
        let size = (request.prompt_tokens, request.answer_tokens);
        self.forecast
            .estimate(engine, request.model, &current_load, size)
    }

    fn current_load(&self, candidate: &Candidate) -> CurrentLoad {
        let load = self.load(&candidate.id);
        let (running, pending_prompt_tokens, doubt) = load.map_or((0.0, 0.0, 0.0), Load::expected);
        CurrentLoad {
            running,
            doubt,
            pending_prompt_tokens,
            slowness: load.map_or(1.0, |load| load.slowness.max(1.0)),
            slots: candidate.slots,
            time_factor: candidate.time_factor,
        }
    }

    /// Returns the number of the current choice, which differs between entry VMs that started together.
    fn own_draw(&self) -> u64 {
        match self.is_alone {
            true => self.choice_count,
            false => self.choice_count.wrapping_add(self.seed),
        }
    }

    fn load(&self, id: &str) -> Option<&Load> {
        self.loads.get(id)
    }

    fn retry_after(&self, request: &RoutingRequest<'_>) -> Duration {
        let draw = self.own_draw().wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 48;
        retry_after(request.time_left, draw as f64 / 65_536.0)
    }

    /// Records that a request was sent to an endpoint.
    pub fn record_send(&mut self, now: Time, id: &Arc<str>, prompt_tokens: u32) {
        let load = self.loads.entry(id.clone()).or_default();
        if load.requests == 0 {
            load.last_own_progress = Some(now);
        }
        load.requests += 1;
        load.pending_prompt_tokens += prompt_tokens;
    }

    /// Records the time from sending a request to its first event, which corrects the estimates for
    /// the model.
    pub fn record_first_event_time(
        &mut self,
        to: &Candidate,
        expected: &Estimate,
        observed: Duration,
    ) {
        if let Some(model) = &to.model
            && expected.has_place
        {
            self.forecast
                .record_first_event_time(model, expected.first_event, observed);
        }
    }

    /// Records the first event of a request.
    pub fn record_first_event(&mut self, now: Time, id: &str, prompt_tokens: u32) {
        if let Some(load) = self.loads.get_mut(id) {
            load.pending_prompt_tokens = load.pending_prompt_tokens.saturating_sub(prompt_tokens);
        }
        self.breaks.record_answer(id);
        self.record_progress(now, id);
    }

    /// Records that an endpoint sent something, which shows that it is not silent.
    pub fn record_progress(&mut self, now: Time, id: &str) {
        if let Some(load) = self.loads.get_mut(id) {
            load.last_own_progress = Some(now);
            load.silent_since = None;
            load.peer_silent_since = None;
            load.failures = 0;
        }
    }

    /// Records the time between two events of a stream, from which slow groups are recognised.
    pub fn record_event_gap(&mut self, id: &str, gap: Duration, engine: &Engine) {
        let Some(candidate) = self.candidates.get(id) else {
            return;
        };
        let Some(load) = self.loads.get_mut(id) else {
            return;
        };
        let batch = load.running().min(candidate.slots) as f64;
        let step =
            engine.step_time.as_secs_f64() + engine.step_time_per_request.as_secs_f64() * batch;
        let expected = step * f64::from(engine.steps_per_pass) * candidate.time_factor;
        let ratio = (gap.as_secs_f64() / expected.max(1e-6)).min(MAX_SLOWNESS);
        load.slowness = match load.slowness {
            0.0 => ratio,
            average => average + (ratio - average) * SLOWNESS_WEIGHT,
        };
    }

    /// Returns when an endpoint last sent something to this entry VM or a peer.
    pub fn last_progress(&self, id: &str) -> Option<Time> {
        self.loads.get(id).and_then(Load::last_progress)
    }

    /// Records the end of a request; `no_event` says that the endpoint sent no event for it.
    pub fn record_end(&mut self, id: &str, prompt_tokens: u32, no_event: bool) {
        if let Some(load) = self.loads.get_mut(id) {
            load.requests = load.requests.saturating_sub(1);
            if no_event {
                load.pending_prompt_tokens =
                    load.pending_prompt_tokens.saturating_sub(prompt_tokens);
            }
        }
    }

    /// Records that an endpoint stopped answering.
    pub fn mark_silent(&mut self, now: Time, id: &Arc<str>) {
        self.loads.entry(id.clone()).or_default().silent_since = Some(now);
    }

    /// Forgets which endpoints this entry VM has marked as silent, since it did not reach any.
    pub fn clear_silent(&mut self) {
        for load in self.loads.values_mut() {
            load.silent_since = None;
        }
    }

    /// Records a failure of an endpoint: a connection reset, a malformed answer or a refusal.
    pub fn record_failure(&mut self, now: Time, id: &Arc<str>) {
        let load = self.loads.entry(id.clone()).or_default();
        load.failures += 1;
        if load.failures >= AVOID_AFTER_FAILURES {
            load.avoided_since = Some(now);
            load.failures = 0;
        }
    }

    /// Returns whether an endpoint counts as silent, here or at a peer.
    pub fn is_silent(&self, now: Time, id: &str) -> bool {
        self.load(id)
            .is_some_and(|load| load.is_silent(now, self.silence_duration))
    }

    /// Iterates over the endpoints with requests in flight that have sent nothing to any entry VM
    /// for some time.
    pub fn suspects(&self, now: Time) -> impl Iterator<Item = &Arc<str>> {
        let is_quiet = move |load: &Load| {
            let progress = load.last_progress();
            load.running() > 0 && progress.is_some_and(|t| now.since(t) >= SUSPECT_TIMEOUT)
        };
        let quiet = self.loads.iter().filter(move |(_, load)| is_quiet(load));
        quiet.map(|(id, _)| id)
    }

    /// Lists the endpoints that have sent this entry VM nothing for some time, though it has requests
    /// in flight there.
    pub fn quiet_endpoints(&self, now: Time) -> Vec<Arc<str>> {
        let is_quiet = |load: &Load| {
            let progress = load.last_own_progress;
            load.requests > 0 && progress.is_some_and(|t| now.since(t) >= QUIET_TIMEOUT)
        };
        let quiet = self.loads.iter().filter(|(_, load)| is_quiet(load));
        quiet.map(|(id, _)| id.clone()).collect()
    }

    /// Lists the endpoints that this entry VM has marked as silent, with the time since then.
    pub fn silent_endpoints(&self, now: Time) -> Vec<(Arc<str>, Duration)> {
        let with_age = |(id, load): (&Arc<str>, &Load)| {
            let since = load
                .silent_since
                .filter(|t| now.since(*t) < self.silence_duration)?;
            Some((id.clone(), now.since(since)))
        };
        self.loads.iter().filter_map(with_age).collect()
    }

    /// Lists the load that this entry VM has on endpoints.
    pub fn own_loads(&self, now: Time) -> Vec<EndpointLoad> {
        let with_requests = self.loads.iter().filter(|(_, load)| load.requests > 0);
        with_requests
            .map(|(id, load)| EndpointLoad {
                endpoint: id.to_string(),
                requests: load.requests.min(usize::from(u16::MAX)) as u16,
                pending_prompt_tokens: load.pending_prompt_tokens,
                since_progress_ms: load.last_own_progress.map_or(u16::MAX, |t| {
                    now.since(t).as_millis().min(u128::from(u16::MAX)) as u16
                }),
            })
            .collect()
    }

    /// Sets when the total load of the other entry VMs arrived; `None` if there are no others, or only
    /// their heartbeats tell their load.
    pub fn set_total_arrival(&mut self, arrived: Option<Time>) {
        self.total_arrived = arrived;
    }

    /// Replaces the load and the silent endpoints reported by all peers, with the times at which
    /// the reports arrived and the endpoints fell silent.
    pub fn set_peer_loads<'a>(
        &mut self,
        peer_loads: impl Iterator<Item = (&'a EndpointLoad, Time)>,
        silent_endpoints: impl Iterator<Item = (&'a str, Time)>,
    ) {
        for load in self.loads.values_mut() {
            (load.peer_requests, load.peer_pending_prompt_tokens) = (0, 0);
            load.peers_now.set(None);
            load.peer_silent_since = None;
        }
        for (reported, received) in peer_loads {
            let Some((id, _)) = self.candidates.get_key_value(reported.endpoint.as_str()) else {
                continue;
            };
            let load = self.loads.entry(id.clone()).or_default();
            load.peer_requests += usize::from(reported.requests);
            load.peer_pending_prompt_tokens += reported.pending_prompt_tokens;
            let progress = received - Duration::from_millis(u64::from(reported.since_progress_ms));
            if reported.since_progress_ms < u16::MAX {
                load.last_peer_progress = load.last_peer_progress.max(Some(progress));
            }
        }
        for (id, since) in silent_endpoints {
            let Some((id, _)) = self.candidates.get_key_value(id) else {
                continue;
            };
            let load = self.loads.entry(id.clone()).or_default();
            load.peer_silent_since = load.peer_silent_since.max(Some(since));
        }
        for load in self.loads.values_mut() {
            let progress = load.last_progress();
            // Progress after the endpoint fell silent shows that it is not silent any more.
            let is_refuted =
                |since: &Time| progress.is_some_and(|progress| progress + SILENCE_TIMEOUT > *since);
            load.silent_since = load.silent_since.filter(|t| !is_refuted(t));
            load.peer_silent_since = load.peer_silent_since.filter(|t| !is_refuted(t));
        }
    }
}

/// Returns the delay after which a refused caller should retry, given its remaining time; `draw` is
/// uniform between 0 and 1 and spreads the retries.
pub fn retry_after(time_left: Duration, draw: f64) -> Duration {
    let fraction = RETRY_SPREAD_START + (1.0 - RETRY_SPREAD_START) * draw;
    time_left.mul_f64(MAX_RETRY_DELAY_FRACTION * fraction)
}

/// Returns the delay after which a caller should retry that was refused by a VM `since_start` after its
/// start, before it could serve anything. Most VMs serve a moment later. `draw` is uniform between 0
/// and 1.
pub fn startup_retry_after(since_start: Duration, time_left: Duration, draw: f64) -> Duration {
    let usual = retry_after(time_left, draw);
    if since_start >= STARTUP_TIME {
        return usual;
    }
    let (shortest, longest) = STARTUP_RETRY_DELAYS;
    usual.min(shortest + (longest - shortest).mul_f64(draw))
}

/// Returns the longest time that a request may wait for others while most groups have no free slot. It
/// is the same for one that returns after a refusal: a longer one would let those that are late
/// already make the others late, a shorter one would refuse it again.
pub fn queue_limit(latency_goal: Duration) -> Duration {
    latency_goal.mul_f64(QUEUE_SHARE)
}

/// Weight of one observation in a group's slowness; a group yields about 20 observations per
/// second.
const SLOWNESS_WEIGHT: f64 = 0.1;
/// Upper bound on the slowness of a single observation.
const MAX_SLOWNESS: f64 = 20.0;
