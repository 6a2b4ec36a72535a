//! Decides whether this VM reaches endpoints, from what it hears of them itself and from what its
//! peers report.
//!
//! A VM that has lost its path to all endpoints can't tell this from endpoints that have failed by
//! its own evidence alone. So failures of several endpoints without any success only make the path
//! doubtful. The VM counts as cut off once peers reach the endpoints that it does not.
//!
//! Two kinds of evidence are kept apart, since a cut may show in one of them only: new connections
//! may fail while old ones live on, and a middlebox may accept connections to endpoints from which
//! no byte arrives.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::healing::Healing;
pub use super::path_evidence::{PathFailure, PathState, ProbeKind, ProbeOutcome, Target};
use super::peer_paths::{PathQuery, PathReply};
use crate::time::Time;

/// Endpoints that must fail without a success before the path is in doubt, or all that are listed
/// if there are fewer.
pub(super) const MIN_FAILED: usize = 3;
/// Time for which a failure counts as evidence.
const FAILURE_RETENTION: Duration = Duration::from_secs(3);
/// Time for which a success shows that an endpoint is reached. It is shorter than the time after
/// which a VM that was cut off at the same moment can ask.
const SUCCESS_RETENTION: Duration = Duration::from_millis(250);
/// Time without a byte from any endpoint after which an endpoint that has not answered, or whose
/// connection broke, is a reason to check the path.
const QUIET_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after a successful probe within which silence is no reason to probe again: an endpoint may
/// take long for a request while no other one has any.
const REFUTATION_TIME: Duration = Duration::from_secs(1);
/// Time for which the first probes may refute that endpoints are silent. A probe that is answered
/// takes a few network delays.
const PROBE_TIME: Duration = Duration::from_millis(120);
/// Time for which probes of endpoints that are silent here and answer peers must fail, before this
/// VM counts as cut off; longer than [`DOUBT_INTERVAL`] and the timeout of a probe.
const RETEST_TIME: Duration = Duration::from_millis(260);
/// Maximum number of probes that start at the same time.
const MAX_PROBES: usize = 3;
/// Intervals between probes: while the path is in doubt, when it has been for [`LONG_DOUBT`], while
/// it is cut, and after a probe has succeeded.
const DOUBT_INTERVAL: Duration = Duration::from_millis(150);
const LONG_DOUBT_INTERVAL: Duration = Duration::from_millis(1_000);
const CUT_INTERVAL: Duration = Duration::from_millis(300);
const HEALING_INTERVAL: Duration = Duration::from_millis(150);
const LONG_DOUBT: Duration = Duration::from_secs(3);
/// Intervals between queries to peers while the path is in doubt and while it is cut.
const DOUBT_QUERY_INTERVAL: Duration = Duration::from_millis(100);
const CUT_QUERY_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum number of endpoints in one query.
const MAX_ASKED: usize = 6;
/// Time after which a broken connection is put down to its endpoint, if the path is not in doubt by
/// then.
const JUDGEMENT_TIME: Duration = Duration::from_millis(500);
/// Maximum number of probes because of peers' queries in a window.
const MAX_PEER_PROBES: usize = 10;
const PEER_PROBE_WINDOW: Duration = Duration::from_secs(1);
/// Time for which the answers of peers about an endpoint are used.
const ANSWER_RETENTION: Duration = Duration::from_millis(1_500);
/// Time without a peer that has a path after which this VM tries endpoints itself again.
const ALONE_TIME: Duration = Duration::from_secs(2);
/// Time for which probes must succeed before a cut counts as healed; it doubles with each cut that
/// follows within [`RELAPSE_TIME`] of the end of the last one.
const MIN_HOLD: Duration = Duration::from_secs(1);
const MAX_HOLD: Duration = Duration::from_secs(8);
const RELAPSE_TIME: Duration = Duration::from_secs(15);
/// Factor on the hold time if probes can only show that connections open, not that bytes arrive.
const TRIAL_FACTOR: u32 = 3;

/// A change of the state, with the figures that decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PathChange {
    /// State before the change.
    pub before: PathState,
    /// State after the change.
    pub state: PathState,
    /// Time spent in the state before the change.
    pub after: Duration,
    /// Endpoints to which connections failed.
    pub unreachable: usize,
    /// Endpoints that sent no byte, or whose connections broke.
    pub silent: usize,
    /// Failed endpoints that peers were asked about, and those that a peer reaches.
    pub asked: usize,
    /// Failed endpoints that a peer reaches.
    pub reached: usize,
    /// Peers that have a path.
    pub peers: usize,
}

/// Endpoints that peers are asked about.
#[derive(Debug, Default)]
pub struct FailedEndpoints {
    /// Endpoints to which connections failed.
    pub unreachable: Vec<Arc<str>>,
    /// Endpoints that sent no byte, or whose connections broke.
    pub silent: Vec<Arc<str>>,
}

/// Evidence of whether this VM reaches endpoints.
#[derive(Debug, Default)]
pub struct Reach {
    state: PathState,
    /// When the state last changed.
    since: Time,
    last_update: Time,
    /// When the path was last in doubt after it was not.
    doubted_since: Time,
    /// When this VM was last cut off, unless it is now.
    cut_until: Option<Time>,
    /// When connections to endpoints last broke.
    broken: BTreeMap<Arc<str>, Time>,
    /// When bytes last arrived from any endpoint.
    last_heard: Option<Time>,
    heard: BTreeMap<Arc<str>, Time>,
    connected: BTreeMap<Arc<str>, Time>,
    /// Endpoints to which connections failed since one to any endpoint was opened.
    unreachable: BTreeMap<Arc<str>, Time>,
    /// Endpoints that failed to send bytes since any endpoint last did.
    silent: BTreeMap<Arc<str>, Time>,
    /// Since when there is a silent endpoint.
    silent_since: Option<Time>,
    probed_endpoints: BTreeMap<Arc<str>, Time>,
    probed_services: BTreeMap<Arc<str>, Time>,
    last_probe: Option<Time>,
    /// When a probe last succeeded.
    refuted_at: Option<Time>,
    last_query: Option<Time>,
    /// Endpoints that peers were asked about.
    asked: BTreeMap<Arc<str>, Time>,
    /// Endpoints that a peer reaches.
    reached: BTreeMap<Arc<str>, Time>,
    /// Since when peers reach most endpoints that have failed.
    confirmed_since: Option<Time>,
    /// When a peer last had a path.
    last_peer: Option<Time>,
    /// Whether connections are opened while this VM is cut off, and only bytes are missing.
    lacks_bytes: bool,
    healing: Healing,
    /// Connections that were opened while this VM lacks bytes. They show little, but are all that
    /// probes of plain endpoints can show.
    trial: Healing,
    /// Start of a window, and probes made in it because of peers' queries.
    peer_probes: (Time, usize),
    hold: Duration,
    healed_at: Option<Time>,
}

impl Reach {
    /// Records that bytes arrived from an endpoint.
    pub fn record_heard(&mut self, now: Time, endpoint: &Arc<str>) {
        self.last_heard = Some(now);
        match self.heard.get_mut(endpoint) {
            Some(heard) => *heard = now,
            None => {
                self.heard.insert(endpoint.clone(), now);
            }
        }
        if !self.silent.is_empty() {
            self.silent.clear();
            self.silent_since = None;
        }
    }

    /// Records that a connection to an endpoint was opened.
    pub fn record_connected(&mut self, now: Time, endpoint: &Arc<str>) {
        self.connected.insert(endpoint.clone(), now);
        self.unreachable.clear();
    }

    /// Records that an endpoint failed to answer.
    pub fn record_failure(&mut self, now: Time, endpoint: &Arc<str>, failure: PathFailure) {
        if failure == PathFailure::Broken {
            self.broken.insert(endpoint.clone(), now);
        }
        if failure == PathFailure::Connect {
            self.unreachable.insert(endpoint.clone(), now);
        } else if failure == PathFailure::Broken || self.is_quiet(now) {
            self.silent.insert(endpoint.clone(), now);
            self.silent_since.get_or_insert(now);
        }
    }

    /// Records the outcome of a probe. Only probes show that a cut has healed, since old connections
    /// may live on in it.
    pub fn record_probe(&mut self, now: Time, endpoint: &Arc<str>, outcome: ProbeOutcome) {
        match outcome {
            ProbeOutcome::Unreachable => self.record_failure(now, endpoint, PathFailure::Connect),
            ProbeOutcome::Connected => self.record_connected(now, endpoint),
            ProbeOutcome::Answered => {
                self.record_connected(now, endpoint);
                self.record_heard(now, endpoint);
            }
            ProbeOutcome::Silent => {
                self.record_connected(now, endpoint);
                self.record_failure(now, endpoint, PathFailure::Quiet);
            }
        }
        if matches!(outcome, ProbeOutcome::Answered | ProbeOutcome::Connected) {
            self.refuted_at = Some(now);
        }
        if self.state != PathState::Cut {
            return;
        }
        match outcome {
            ProbeOutcome::Unreachable | ProbeOutcome::Silent => {
                self.healing.record(now, endpoint, false);
                self.trial = Healing::default();
            }
            ProbeOutcome::Connected if self.lacks_bytes => self.trial.record(now, endpoint, true),
            ProbeOutcome::Connected | ProbeOutcome::Answered => {
                self.healing.record(now, endpoint, true);
            }
        }
    }

    /// Records what a peer replied to a query.
    pub fn record_reply(&mut self, now: Time, reply: &PathReply) {
        let reached = reply.connected.iter().chain(&reply.answered);
        for endpoint in reached {
            if let Some((id, _)) = self.asked.get_key_value(endpoint.as_str()) {
                self.reached.insert(id.clone(), now);
            }
        }
    }

    /// Returns whether this VM reaches endpoints. A cut that was not confirmed for a while, because
    /// the process was suspended, is doubtful.
    pub fn state(&self, now: Time) -> PathState {
        match self.state {
            PathState::Cut if now.since(self.last_update) >= ALONE_TIME => PathState::Doubtful,
            state => state,
        }
    }

    /// Returns whether nothing speaks against the path, so that there is nothing to check.
    pub fn is_calm(&self) -> bool {
        self.state == PathState::Direct && self.unreachable.is_empty() && self.silent.is_empty()
    }

    /// Returns whether the silence of an endpoint since `time` is its own fault: this VM is not cut
    /// off, and bytes have arrived from another endpoint meanwhile and just now.
    pub fn may_judge(&self, now: Time, time: Time) -> bool {
        self.hears_others(now) && self.last_heard.is_some_and(|heard| heard > time)
    }

    /// Returns whether this VM is not cut off and has just heard from an endpoint, so that one that
    /// leaves a probe unanswered may be lost.
    pub fn hears_others(&self, now: Time) -> bool {
        let is_heard = self
            .last_heard
            .is_some_and(|t| now.since(t) < SUCCESS_RETENTION);
        is_heard && self.state(now) != PathState::Cut
    }

    /// Returns whether bytes have arrived from any endpoint after `time`.
    pub fn has_heard_since(&self, time: Time) -> bool {
        self.last_heard.is_some_and(|heard| heard > time)
    }

    /// Returns the number of endpoints that failed lately, in any way.
    pub fn failing_endpoints(&self, now: Time) -> usize {
        let broken = self.broken.iter();
        let broken = broken.filter(|(_, at)| now.since(**at) < JUDGEMENT_TIME);
        let mut failing: BTreeSet<&Arc<str>> = broken.map(|(id, _)| id).collect();
        failing.extend(self.unreachable.keys());
        failing.extend(self.silent.keys());
        failing.len()
    }

    /// Returns whether endpoints of every service have failed, as many of each as put the path in
    /// doubt. The other services may be reached, and only requests show whether plain endpoints
    /// answer.
    pub fn every_service_fails(&self, targets: &[Target<'_>]) -> bool {
        let mut counts: BTreeMap<&Arc<str>, (usize, usize)> = BTreeMap::new();
        for target in targets {
            let (failed, listed) = counts.entry(target.service).or_default();
            *failed += usize::from(self.has_failed(target.id));
            *listed += 1;
        }
        let mut counts = counts.into_values();
        counts.all(|(failed, listed)| failed >= MIN_FAILED.min(listed))
    }

    /// Returns whether this VM was cut off at any moment from `time` on.
    pub fn was_cut_since(&self, time: Time) -> bool {
        self.state == PathState::Cut || self.cut_until.is_some_and(|t| t >= time)
    }

    /// Returns the time up to which broken connections may be put down to endpoints. A cut breaks
    /// those to several at the same time, and nothing is heard afterwards.
    pub fn crashes_confirmed_until(&self, now: Time) -> Time {
        if self.state != PathState::Direct {
            return self.since - JUDGEMENT_TIME;
        }
        let latest = now - JUDGEMENT_TIME;
        let recently = self.broken.values().filter(|at| **at > latest);
        match self.last_heard {
            Some(heard) if recently.count() < MIN_FAILED => heard.max(latest),
            Some(_) | None => latest,
        }
    }

    /// Returns the time from which broken connections are not put down to endpoints, while this VM is
    /// cut off.
    pub fn crashes_doubted_since(&self) -> Time {
        self.doubted_since - JUDGEMENT_TIME
    }

    /// Returns whether a connection to the endpoint was opened just now.
    pub fn has_connected(&self, now: Time, endpoint: &str) -> bool {
        let connected = self.connected.get(endpoint);
        connected.is_some_and(|t| now.since(*t) < SUCCESS_RETENTION)
    }

    /// Returns whether bytes arrived from the endpoint just now.
    pub fn has_heard(&self, now: Time, endpoint: &str) -> bool {
        let heard = self.heard.get(endpoint);
        heard.is_some_and(|t| now.since(*t) < SUCCESS_RETENTION)
    }

    /// Returns whether any endpoint was reached just now.
    pub fn has_path(&self, now: Time) -> bool {
        let is_recent = |t: &Time| now.since(*t) < SUCCESS_RETENTION;
        let is_heard = self.last_heard.as_ref().is_some_and(is_recent);
        let is_connected = || self.connected.values().any(is_recent);
        let is_sound = self.state == PathState::Direct && self.unreachable.len() <= 1;
        is_sound && (is_heard || is_connected())
    }

    /// Decides anew whether this VM reaches endpoints; returns the change, if there is one.
    /// `listed` is the number of listed endpoints, and `peers` that of peers that have a path.
    pub fn update(&mut self, now: Time, listed: usize, peers: usize) -> Option<PathChange> {
        self.last_update = now;
        self.forget_old(now);
        if peers > 0 {
            self.last_peer = Some(now);
        }
        let needed = MIN_FAILED.min(listed).max(1);
        let silent_since = self.silent_since;
        let is_checked = silent_since.is_some_and(|t| now.since(t) >= PROBE_TIME);
        let is_unreachable = self.unreachable.len() >= needed;
        let is_failing = is_unreachable || is_checked && self.failed_count() >= needed;
        let (asked, reached) = self.peer_evidence();
        let is_confirmed = asked >= needed && reached * 2 >= asked && peers > 0;
        // Endpoints that were only just asked about have no answers yet.
        let confirmed_since = self.confirmed_since.or(is_confirmed.then_some(now));
        self.confirmed_since = confirmed_since;
        // Silent endpoints may have gone on since they were probed last.
        let is_certain =
            is_unreachable || confirmed_since.is_some_and(|t| now.since(t) >= RETEST_TIME);
        let state = match self.state {
            PathState::Direct if is_failing => PathState::Doubtful,
            PathState::Direct => PathState::Direct,
            PathState::Doubtful if !is_failing => PathState::Direct,
            PathState::Doubtful if is_confirmed && is_certain => PathState::Cut,
            PathState::Doubtful => PathState::Doubtful,
            PathState::Cut if self.is_healed(now, listed) => PathState::Direct,
            PathState::Cut if self.last_peer.is_none_or(|t| now.since(t) >= ALONE_TIME) => {
                PathState::Doubtful
            }
            PathState::Cut => PathState::Cut,
        };
        if state == PathState::Cut && self.lacks_bytes && self.unreachable.len() >= needed.min(2) {
            self.lacks_bytes = false;
            self.healing = Healing::default();
        }
        if state == self.state {
            return None;
        }
        let change = PathChange {
            before: self.state,
            state,
            after: now.since(self.since),
            unreachable: self.unreachable.len(),
            silent: self.silent.len(),
            asked,
            reached,
            peers,
        };
        self.enter(now, state, needed);
        Some(change)
    }

    fn enter(&mut self, now: Time, state: PathState, needed: usize) {
        match (self.state, state) {
            (_, PathState::Cut) => {
                let is_relapse = self.healed_at.is_some_and(|t| now.since(t) < RELAPSE_TIME);
                self.hold = if is_relapse {
                    (self.hold * 2).min(MAX_HOLD)
                } else {
                    MIN_HOLD
                };
                self.lacks_bytes = self.unreachable.len() < needed.min(2);
                self.healing = Healing::default();
                self.trial = Healing::default();
            }
            (PathState::Cut, PathState::Direct) => {
                self.healed_at = Some(now);
                self.unreachable.clear();
                self.silent.clear();
                self.silent_since = None;
            }
            (PathState::Direct | PathState::Doubtful | PathState::Cut, _) => {}
        }
        if self.state == PathState::Cut {
            self.cut_until = Some(now);
        }
        if self.state == PathState::Direct {
            self.doubted_since = now;
        }
        self.asked.clear();
        self.reached.clear();
        self.confirmed_since = None;
        self.last_query = None;
        self.state = state;
        self.since = now;
    }

    fn forget_old(&mut self, now: Time) {
        self.unreachable
            .retain(|_, at| now.since(*at) < FAILURE_RETENTION);
        self.silent
            .retain(|_, at| now.since(*at) < FAILURE_RETENTION);
        if self.silent.is_empty() {
            self.silent_since = None;
        }
        self.asked.retain(|_, at| now.since(*at) < ANSWER_RETENTION);
        let asked = &self.asked;
        self.reached
            .retain(|id, at| asked.contains_key(id) && now.since(*at) < ANSWER_RETENTION);
    }

    /// Returns the number of endpoints that failed, in either way.
    fn failed_count(&self) -> usize {
        let silent = self.silent.keys();
        let only_silent = silent.filter(|id| !self.unreachable.contains_key(*id));
        self.unreachable.len() + only_silent.count()
    }

    fn is_quiet(&self, now: Time) -> bool {
        self.last_heard
            .is_none_or(|t| now.since(t) >= QUIET_TIMEOUT)
    }

    /// Returns the number of failed endpoints that peers were asked about, and of those that a peer
    /// reaches.
    fn peer_evidence(&self) -> (usize, usize) {
        let asked = self.asked.keys().filter(|id| self.has_failed(id)).count();
        let reached = self.reached.keys().filter(|id| self.has_failed(id)).count();
        (asked, reached)
    }

    fn has_failed(&self, id: &str) -> bool {
        self.unreachable.contains_key(id) || self.silent.contains_key(id)
    }

    fn is_healed(&self, now: Time, listed: usize) -> bool {
        self.healing.lasts(now, listed, self.hold)
            || self.trial.lasts(now, listed, self.hold * TRIAL_FACTOR)
    }

    /// Chooses the endpoints to probe now, of different services where possible. None are probed
    /// while nothing speaks against the path.
    pub fn next_probes(&mut self, now: Time, targets: &[Target<'_>]) -> Vec<(Arc<str>, ProbeKind)> {
        let Some((interval, count)) = self.probe_rate(now, targets.len()) else {
            return Vec::new();
        };
        if self.last_probe.is_some_and(|t| now.since(t) < interval) {
            return Vec::new();
        }
        self.last_probe = Some(now);
        let needs_bytes = match self.state {
            PathState::Cut => self.lacks_bytes,
            PathState::Direct | PathState::Doubtful => !self.silent.is_empty(),
        };
        let mut chosen = Vec::new();
        for _ in 0..count {
            let Some(target) = self.next_target(targets, needs_bytes) else {
                break;
            };
            self.probed_endpoints.insert(target.id.clone(), now);
            self.probed_services.insert(target.service.clone(), now);
            let kind = match needs_bytes || self.state == PathState::Cut {
                true => ProbeKind::Answer,
                false => ProbeKind::Connect,
            };
            if !chosen.contains(&(target.id.clone(), kind)) {
                chosen.push((target.id.clone(), kind));
            }
        }
        chosen
    }

    /// Returns the interval between probes and how many may start at once, unless none are needed.
    fn probe_rate(&self, now: Time, listed: usize) -> Option<(Duration, usize)> {
        let missing = MIN_FAILED.min(listed).saturating_sub(self.failed_count());
        match self.state {
            PathState::Direct if self.is_suspect(now) => {
                // One answer is enough to show that a single endpoint is slow.
                let is_first = self
                    .last_probe
                    .is_none_or(|t| now.since(t) >= REFUTATION_TIME);
                let is_slow = is_first && self.unreachable.is_empty();
                let most = if is_slow { 1 } else { MAX_PROBES };
                Some((DOUBT_INTERVAL, missing.clamp(1, most)))
            }
            PathState::Direct => None,
            PathState::Doubtful if now.since(self.since) < LONG_DOUBT => Some((DOUBT_INTERVAL, 2)),
            PathState::Doubtful => Some((LONG_DOUBT_INTERVAL, 1)),
            PathState::Cut if self.healing.since.is_some() => Some((HEALING_INTERVAL, 1)),
            PathState::Cut => Some((CUT_INTERVAL, 1)),
        }
    }

    /// Returns whether failures call for a check of the path. Those of one endpoint do not while
    /// others are heard.
    fn is_suspect(&self, now: Time) -> bool {
        let is_refuted = self
            .refuted_at
            .is_some_and(|t| now.since(t) < REFUTATION_TIME);
        self.unreachable.len() >= 2 || self.is_quiet(now) && !is_refuted && !self.is_calm()
    }

    /// Returns the target of the service and with the identifier that were probed the longest ago.
    /// Endpoints that have just failed come last, unless they are tested again, and those whose
    /// probes can't show that bytes arrive come late if that is in question.
    fn next_target<'a>(&self, targets: &[Target<'a>], needs_bytes: bool) -> Option<Target<'a>> {
        let tests_again = self.state == PathState::Cut || self.confirmed_since.is_some();
        let key = |t: &&Target<'_>| {
            (
                self.has_failed(t.id) && !tests_again,
                needs_bytes && !t.is_engine,
                self.probed_services.get(t.service).copied(),
                self.probed_endpoints.get(t.id).copied(),
                crate::rendezvous::score(t.id.as_bytes(), &self.since.0.to_le_bytes()),
            )
        };
        targets.iter().min_by_key(key).copied()
    }

    /// Returns the endpoints to ask peers about now, or `None` if no query is due. A VM that is cut
    /// off asks about no endpoints, to learn which peers have a path.
    pub fn next_query(&mut self, now: Time) -> Option<FailedEndpoints> {
        let interval = match self.state {
            PathState::Direct => return None,
            PathState::Doubtful if now.since(self.since) < LONG_DOUBT => DOUBT_QUERY_INTERVAL,
            PathState::Doubtful => LONG_DOUBT_INTERVAL,
            PathState::Cut => CUT_QUERY_INTERVAL,
        };
        if self.last_query.is_some_and(|t| now.since(t) < interval) {
            return None;
        }
        self.last_query = Some(now);
        if self.state == PathState::Cut {
            return Some(FailedEndpoints::default());
        }
        let mut unreachable = newest(&self.unreachable);
        unreachable.truncate(MAX_ASKED);
        let mut silent = newest(&self.silent);
        silent.retain(|id| !unreachable.contains(id));
        silent.truncate(MAX_ASKED - unreachable.len());
        for id in unreachable.iter().chain(&silent) {
            self.asked.insert(id.clone(), now);
        }
        Some(FailedEndpoints {
            unreachable,
            silent,
        })
    }

    /// Chooses the endpoints to probe before a query of a peer is answered: those of the query, and
    /// any endpoint if none was reached just now.
    pub fn probes_for(
        &mut self,
        now: Time,
        query: &PathQuery,
        targets: &[Target<'_>],
    ) -> Vec<(Arc<str>, ProbeKind)> {
        if self.state != PathState::Direct {
            return Vec::new();
        }
        let find = |id: &String| targets.iter().find(|t| **t.id == **id);
        let unreachable = query.unreachable.iter().filter_map(find);
        let to_connect = unreachable
            .filter(|t| !self.has_connected(now, t.id) && !self.unreachable.contains_key(t.id));
        let silent = query.silent.iter().filter_map(find);
        let to_answer = silent.filter(|t| t.is_engine && !self.has_heard(now, t.id));
        let mut probes: Vec<(Arc<str>, ProbeKind)> = to_connect
            .map(|t| (t.id.clone(), ProbeKind::Connect))
            .chain(to_answer.map(|t| (t.id.clone(), ProbeKind::Answer)))
            .collect();
        if probes.is_empty()
            && !self.has_path(now)
            && let Some(target) = self.next_target(targets, false)
        {
            self.probed_endpoints.insert(target.id.clone(), now);
            self.probed_services.insert(target.service.clone(), now);
            probes.push((target.id.clone(), ProbeKind::Connect));
        }
        if now.since(self.peer_probes.0) >= PEER_PROBE_WINDOW {
            self.peer_probes = (now, 0);
        }
        probes.truncate(MAX_PEER_PROBES - self.peer_probes.1);
        self.peer_probes.1 += probes.len();
        probes
    }

    /// Returns the endpoints of a peer's query that this VM reaches: those to which it could open
    /// connections, and those that sent bytes.
    pub fn evidence_for(&self, now: Time, query: &PathQuery) -> (Vec<String>, Vec<String>) {
        let unreachable = query.unreachable.iter();
        let silent = query.silent.iter();
        (
            unreachable
                .filter(|id| self.has_connected(now, id))
                .cloned()
                .collect(),
            silent
                .filter(|id| self.has_heard(now, id))
                .cloned()
                .collect(),
        )
    }

    /// Removes what is known of endpoints that are not listed any more.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.heard.retain(|id, _| is_listed(id));
        self.connected.retain(|id, _| is_listed(id));
        self.unreachable.retain(|id, _| is_listed(id));
        self.silent.retain(|id, _| is_listed(id));
        self.broken.retain(|id, _| is_listed(id));
        self.probed_endpoints.retain(|id, _| is_listed(id));
        self.healing.outcomes.retain(|id, _| is_listed(id));
    }
}

/// Returns the endpoints that have failed, the last one first.
fn newest(failed: &BTreeMap<Arc<str>, Time>) -> Vec<Arc<str>> {
    let mut ids: Vec<(Time, &Arc<str>)> = failed.iter().map(|(id, at)| (*at, id)).collect();
    ids.sort_by(|a, b| b.cmp(a));
    ids.into_iter().map(|(_, id)| id.clone()).collect()
}
