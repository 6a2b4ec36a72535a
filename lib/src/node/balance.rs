//! Places requests on endpoints and refuses those that none can serve in time.
//!
//! Answers load that is uneven in tokens and endpoints that stop answering without saying so: the
//! endpoint with the least expected time to the first event takes the next request, from what this
//! gateway and its peers have placed there.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::config::Engine;
use super::forecast::{Busy, Estimate, Forecast};
use super::peers::EndpointLoad;
use crate::time::Time;

/// Time beyond the bound on a replica's stall for which a silent endpoint gets no requests, unless its
/// group changes.
const SILENT_MARGIN: Duration = Duration::from_secs(1);
/// Pause of all streams of a group after which it counts as silent: a pass with full chunks of prompts
/// takes 270 ms at most in the users' services.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(450);
/// Pause of all streams of a group after which its members are probed, which harms none.
const SUSPECT_PAUSE: Duration = Duration::from_millis(250);
/// Requests at an endpoint for each of its slots at most; the users' endpoints queue twice their
/// slots.
const QUEUE_FACTOR: usize = 3;
/// Factor on an expected time within which an answer surely ends: streams of loaded groups take up to
/// half as long again as expected.
const SURE: f64 = 1.5;
/// Endpoints with room that are compared for one request, and how many of them at most have an idle
/// connection: a new one costs the endpoint a moment, and the caller two network delays.
const CHOICES: usize = 4;
const WARM_CHOICES: usize = 2;
/// Difference of expected times in milliseconds within which endpoints count as alike.
const ALIKE_MS: u128 = 4;
/// Failures in a row after which a plain endpoint is avoided.
const FAILS: u32 = 3;
/// Time for which it is avoided.
const AVOID_TIME: Duration = Duration::from_millis(1_500);
/// Part of a caller's time left that it waits at most before it comes back (the users' callers honour a
/// third), and the part of that from which returns are spread: a lost group is back after 3 to 5 s, and
/// late is late.
const RETRY_PART: f64 = 1.0 / 3.0;
const RETRY_SPREAD: f64 = 0.5;

/// An endpoint that takes requests now: a plain one, or the head of a group.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Its identifier.
    pub id: Arc<str>,
    /// Its start and the epoch of its group; what is known of an older one doesn't hold.
    pub incarnation: (u64, u64),
    /// Its address.
    pub address: String,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// The model of its group.
    pub model: Option<Arc<str>>,
    /// Requests that it runs at a time.
    pub slots: usize,
    /// Factor on its engine's times.
    pub time_factor: f64,
}

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub struct RoutingRequest<'a> {
    /// Its service.
    pub service: &'a str,
    /// Its model.
    pub model: Option<&'a str>,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Zone of this gateway.
    pub zone: &'a str,
    /// Tokens that are expected of its answer.
    pub answer_tokens: u32,
    /// Longest time to the first event that is of use to the caller.
    pub first_event_limit: Duration,
    /// What is left of the caller's wait for the whole answer.
    pub time_left: Duration,
    /// The most tokens of the answer and the time in which it must surely end, if this gateway stops.
    pub shutdown_limit: Option<(u32, Duration)>,
    /// Endpoints to which a connection is open and idle.
    pub connected: &'a BTreeSet<Arc<str>>,
    /// Whether it has begun elsewhere, so that a refusal would waste what was done.
    pub has_started: bool,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// To this endpoint.
    Send(Candidate, Estimate),
    /// All endpoints are full; the caller may come back after this time.
    Full(Duration),
    /// No endpoint serves it now; the caller may come back after this time.
    Unavailable(Duration),
}

#[derive(Debug, Default)]
struct Load {
    requests: usize,
    unread: u32,
    peers: usize,
    peers_unread: u32,
    silent: Option<Time>,
    peers_silent: Option<Time>,
    progress: Option<Time>,
    peers_progress: Option<Time>,
    fails: u32,
    avoided: Option<Time>,
    /// Observed over expected time between events; zero before the first one.
    slowness: f64,
}

/// The endpoints that take requests, with the load on them.
#[derive(Debug)]
pub struct Balancer {
    /// Time for which a silent endpoint gets no requests.
    silence: Duration,
    candidates: BTreeMap<Arc<str>, Candidate>,
    loads: BTreeMap<Arc<str>, Load>,
    forecast: Forecast,
    turn: u64,
}

impl Balancer {
    /// Makes one without endpoints; a replica with a lost member gives up after `stall`.
    pub fn new(stall: Duration) -> Self {
        Self {
            silence: stall + SILENT_MARGIN,
            candidates: BTreeMap::new(),
            loads: BTreeMap::new(),
            forecast: Forecast::default(),
            turn: 0,
        }
    }

    /// Takes the endpoints that may be sent requests from now on.
    pub fn set_candidates(&mut self, candidates: impl IntoIterator<Item = Candidate>) {
        let fresh: BTreeMap<Arc<str>, Candidate> =
            candidates.into_iter().map(|c| (c.id.clone(), c)).collect();
        for (id, new) in &fresh {
            let old = self.candidates.get(id);
            if old.is_some_and(|o| o.incarnation != new.incarnation)
                && let Some(load) = self.loads.get_mut(id)
            {
                load.silent = None;
                load.peers_silent = None;
                load.peers_progress = None;
                load.fails = 0;
                load.avoided = None;
                load.slowness = 0.0;
            }
        }
        self.loads
            .retain(|id, l| fresh.contains_key(id) || l.requests > 0);
        self.candidates = fresh;
    }

    /// Returns an endpoint that takes requests.
    pub fn candidate(&self, id: &str) -> Option<&Candidate> {
        self.candidates.get(id)
    }

    /// Lists all endpoints that take requests.
    pub fn candidates(&self) -> impl Iterator<Item = &Candidate> {
        self.candidates.values()
    }

    /// Chooses where a request goes; `tried` have had it already.
    pub fn choose(
        &mut self,
        now: Time,
        ask: &RoutingRequest<'_>,
        engine: Option<&Engine>,
        tried: &[Arc<str>],
    ) -> Choice {
        self.turn = self.turn.wrapping_add(1);
        let turn = self.turn;
        if let Some(model) = ask.model.filter(|_| engine.is_some())
            && tried.is_empty()
        {
            self.forecast.asked(&Arc::from(model), ask.answer_tokens);
        }
        let fits = |c: &&Candidate| {
            &*c.service == ask.service
                && (engine.is_none() || c.model.as_deref() == ask.model)
                && !tried.contains(&c.id)
        };
        let silent = |c: &&Candidate| {
            self.load(&c.id)
                .is_some_and(|l| l.is_silent(now, self.silence))
        };
        let all: Vec<&Candidate> = self.candidates.values().filter(fits).collect();
        let good = all.iter().filter(|c| !silent(c)).copied();
        let avoided = |c: &&Candidate| self.load(&c.id).is_some_and(|l| l.is_avoided(now));
        let mut good: Vec<&Candidate> = good.collect();
        if engine.is_none() && good.iter().any(|c| !avoided(c)) {
            good.retain(|c| !avoided(c));
        }
        if good.is_empty() {
            return Choice::Unavailable(self.retry_after(ask));
        }
        // A few at random are compared: what is known of the load is as old as the last datagrams, and
        // all gateways would send to the one that looked best then.
        let mix = |c: &Candidate| crate::rendezvous::score(&turn.to_le_bytes(), c.id.as_bytes());
        good.sort_by_cached_key(|c| mix(c));
        let score = |c: &&Candidate| {
            let e = self.estimate(c, ask, engine);
            let far = u128::from(&*c.zone != ask.zone);
            let cold = u128::from(!ask.connected.contains(&c.id));
            // Zones and connections decide between endpoints that are alike within a few milliseconds.
            e.first_event.as_millis() / ALIKE_MS + far + cold
        };
        let ends = |c: &Candidate| {
            ask.shutdown_limit.is_none_or(|(answer_tokens, within)| {
                let most = RoutingRequest {
                    answer_tokens,
                    ..*ask
                };
                self.estimate(c, &most, engine).whole_answer.mul_f64(SURE) <= within
            })
        };
        let room = |c: &&Candidate| {
            let e = self.estimate(c, ask, engine);
            ends(c)
                && e.first_event <= ask.first_event_limit
                && e.whole_answer <= ask.time_left * HOPELESS
                && e.running < c.slots.max(1) * QUEUE_FACTOR
        };
        let is_warm = |c: &&Candidate| ask.connected.contains(&c.id);
        let open = || good.iter().copied().filter(room);
        let warm = open().filter(is_warm).take(WARM_CHOICES);
        let count = warm.clone().count();
        let others = open().filter(|c| !is_warm(c)).take(CHOICES - count);
        let best = warm.chain(others).min_by_key(score);
        let best = best.or_else(|| {
            let all = good.iter().copied().filter(|_| ask.has_started);
            all.min_by_key(score)
        });
        match best {
            Some(c) => Choice::Send(c.clone(), self.estimate(c, ask, engine)),
            None => Choice::Full(self.retry_after(ask)),
        }
    }

    /// Returns the expected times of a request on an endpoint.
    fn estimate(
        &self,
        c: &Candidate,
        ask: &RoutingRequest<'_>,
        engine: Option<&Engine>,
    ) -> Estimate {
        let load = self.load(&c.id);
        let busy = Busy {
            running: load.map_or(0, Load::running),
            pending_prompt_tokens: load.map_or(0, |l| l.unread + l.peers_unread),
            slowness: load.map_or(1.0, |l| l.slowness.max(1.0)),
            slots: c.slots,
            time_factor: c.time_factor,
        };
        let size = (ask.prompt_tokens, ask.answer_tokens);
        self.forecast.estimate(engine, ask.model, &busy, size)
    }

    fn load(&self, id: &str) -> Option<&Load> {
        self.loads.get(id)
    }

    fn retry_after(&self, ask: &RoutingRequest<'_>) -> Duration {
        let spread = self.turn.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 48;
        retry_after(ask.time_left, spread as f64 / 65_536.0)
    }

    /// Counts a request that is sent to an endpoint.
    pub fn record_send(&mut self, now: Time, id: &Arc<str>, prompt: u32) {
        let load = self.loads.entry(id.clone()).or_default();
        if load.requests == 0 {
            load.progress = Some(now);
        }
        load.requests += 1;
        load.unread += prompt;
    }

    /// Takes the time from a request's send to its first event.
    pub fn record_first_event_time(
        &mut self,
        to: &Candidate,
        expected: &Estimate,
        observed: Duration,
    ) {
        if let Some(model) = &to.model
            && expected.running < to.slots
        {
            self.forecast.began(model, expected.first_event, observed);
        }
    }

    /// Takes the first event of a request.
    pub fn record_first_event(&mut self, now: Time, id: &str, prompt: u32) {
        if let Some(load) = self.loads.get_mut(id) {
            load.unread = load.unread.saturating_sub(prompt);
        }
        self.record_progress(now, id);
    }

    /// Takes the news that an endpoint sent something.
    pub fn record_progress(&mut self, now: Time, id: &str) {
        if let Some(load) = self.loads.get_mut(id) {
            load.progress = Some(now);
            load.silent = None;
            load.peers_silent = None;
            load.fails = 0;
        }
    }

    /// Takes the time between two events of a stream, to learn which groups are slow.
    pub fn record_event_gap(&mut self, id: &str, pause: Duration, engine: &Engine) {
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
        let ratio = (pause.as_secs_f64() / expected.max(1e-6)).min(SLOWEST);
        load.slowness = match load.slowness {
            0.0 => ratio,
            known => known + (ratio - known) * LEARN,
        };
    }

    /// Returns when an endpoint last sent something, to this gateway or a peer.
    pub fn last_progress(&self, id: &str) -> Option<Time> {
        self.loads.get(id).and_then(Load::last_progress)
    }

    /// Counts the end of a request; `unread` tells that no event came.
    pub fn record_end(&mut self, id: &str, prompt: u32, unread: bool) {
        if let Some(load) = self.loads.get_mut(id) {
            load.requests = load.requests.saturating_sub(1);
            if unread {
                load.unread = load.unread.saturating_sub(prompt);
            }
        }
    }

    /// Takes the news that an endpoint stopped answering.
    pub fn mark_silent(&mut self, now: Time, id: &Arc<str>) {
        self.loads.entry(id.clone()).or_default().silent = Some(now);
    }

    /// Takes a failure of an endpoint: a reset, a broken answer or a refusal.
    pub fn record_failure(&mut self, now: Time, id: &Arc<str>) {
        let load = self.loads.entry(id.clone()).or_default();
        load.fails += 1;
        if load.fails >= FAILS {
            load.avoided = Some(now);
            load.fails = 0;
        }
    }

    /// Returns whether an endpoint counts as silent.
    pub fn is_silent(&self, now: Time, id: &str) -> bool {
        self.load(id)
            .is_some_and(|l| l.is_silent(now, self.silence))
    }

    /// Lists the endpoints with requests that have sent nobody anything for a while.
    pub fn suspects(&self, now: Time) -> impl Iterator<Item = &Arc<str>> {
        let quiet = move |l: &Load| {
            let progress = l.last_progress();
            l.running() > 0 && progress.is_some_and(|t| now.since(t) >= SUSPECT_PAUSE)
        };
        let found = self.loads.iter().filter(move |(_, l)| quiet(l));
        found.map(|(id, _)| id)
    }

    /// Lists the endpoints that this gateway finds silent, with the age of that.
    pub fn silent_endpoints(&self, now: Time) -> Vec<(Arc<str>, Duration)> {
        let silent = |(id, l): (&Arc<str>, &Load)| {
            let since = l.silent.filter(|t| now.since(*t) < self.silence)?;
            Some((id.clone(), now.since(since)))
        };
        self.loads.iter().filter_map(silent).collect()
    }

    /// Lists the load that this gateway has placed.
    pub fn own_loads(&self, now: Time) -> Vec<EndpointLoad> {
        let own = self.loads.iter().filter(|(_, l)| l.requests > 0);
        own.map(|(id, l)| EndpointLoad {
            endpoint: id.to_string(),
            requests: l.requests.min(usize::from(u16::MAX)) as u16,
            pending_prompt_tokens: l.unread,
            since_progress_ms: l.progress.map_or(u16::MAX, |t| {
                now.since(t).as_millis().min(u128::from(u16::MAX)) as u16
            }),
        })
        .collect()
    }

    /// Takes the load and the silent endpoints of all peers, with the times at which they were heard
    /// and fell silent.
    pub fn set_peer_loads<'a>(
        &mut self,
        placed: impl Iterator<Item = (&'a EndpointLoad, Time)>,
        silent: impl Iterator<Item = (&'a str, Time)>,
    ) {
        for load in self.loads.values_mut() {
            (load.peers, load.peers_unread) = (0, 0);
            load.peers_silent = None;
        }
        for (p, heard) in placed {
            let Some((id, _)) = self.candidates.get_key_value(p.endpoint.as_str()) else {
                continue;
            };
            let load = self.loads.entry(id.clone()).or_default();
            load.peers += usize::from(p.requests);
            load.peers_unread += p.pending_prompt_tokens;
            let progress = heard - Duration::from_millis(u64::from(p.since_progress_ms));
            if p.since_progress_ms < u16::MAX {
                load.peers_progress = load.peers_progress.max(Some(progress));
            }
        }
        for (id, since) in silent {
            let Some((id, _)) = self.candidates.get_key_value(id) else {
                continue;
            };
            let load = self.loads.entry(id.clone()).or_default();
            load.peers_silent = load.peers_silent.max(Some(since));
        }
        for load in self.loads.values_mut() {
            let progress = load.last_progress();
            // What came after the doubt settles it.
            let settled = |since: &Time| progress.is_some_and(|p| p + SILENCE_TIMEOUT > *since);
            load.silent = load.silent.filter(|t| !settled(t));
            load.peers_silent = load.peers_silent.filter(|t| !settled(t));
        }
    }
}

/// Returns after which time a refused caller with so much time left should come back; `draw` is uniform
/// from 0 to 1.
pub fn retry_after(left: Duration, draw: f64) -> Duration {
    let part = RETRY_SPREAD + (1.0 - RETRY_SPREAD) * draw;
    left.mul_f64(RETRY_PART * part)
}

/// Weight of one pause in what is known of a group's slowness; a group shows some twenty a second.
const LEARN: f64 = 0.1;
/// Slowness that a single pause counts for at most.
const SLOWEST: f64 = 20.0;
/// Times that an answer may be expected to take of what is left before it counts as hopeless;
/// callers' estimates of its length are often far off.
const HOPELESS: u32 = 2;

impl Load {
    fn last_progress(&self) -> Option<Time> {
        self.progress.max(self.peers_progress)
    }

    fn running(&self) -> usize {
        self.requests + self.peers
    }

    fn is_silent(&self, now: Time, silence: Duration) -> bool {
        let recent = |t: Option<Time>| t.is_some_and(|t| now.since(t) < silence);
        recent(self.silent) || recent(self.peers_silent)
    }

    fn is_avoided(&self, now: Time) -> bool {
        self.avoided.is_some_and(|t| now.since(t) < AVOID_TIME)
    }
}
