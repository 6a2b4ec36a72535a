//! Limits on the requests a second that endpoints announce, each for all entry VMs together.
//!
//! Splitting a limit among all VMs would leave each with less than one request in many seconds, or let
//! them exceed it at once. So each limited endpoint has a few owners among the live VMs, by rendezvous
//! hashing: as many as can save up a request each without exceeding the limit together. Each owner
//! has an equal share, as a token bucket, and the other VMs send nothing. VMs tell each other what
//! endpoints announce. An endpoint that is not heard of gets one more owner after the other, so that
//! one with demand asks it again.
//!
//! The limits of endpoints that warm up, which end by themselves, are those of [`warm_up`](super::warm_up).
//! Where both hold, a request needs room in both.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::warm_up::{Bound, WarmUps};
use crate::rendezvous;
use crate::time::Time;

/// Lowest rate that is kept for an endpoint, so that it is asked whether its limit still holds.
const MIN_RATE: f64 = 0.2;
/// Requests that all owners together may save up and send at once, as a time of the limit in seconds
/// and a number on top. Endpoints tolerate in 4 s half as much again as their limit, and 5 requests.
const SAVED_TIME_S: f64 = 1.6;
const SAVED_EXTRA: f64 = 3.5;
/// Requests that an owner with a small share can save up.
const MIN_BURST: f64 = 1.5;
/// Part of a request beyond the first that must be saved up for one that is not among the most urgent.
const URGENT_RESERVE: f64 = 0.5;
/// Time in seconds of an owner's share that it can save up.
const BURST_TIME_S: f64 = 1.0;
/// Time without an answer of a limited endpoint after which it gets another owner.
const UNHEARD_TIME: Duration = Duration::from_secs(3);
/// Interval at which it gets further ones.
const NEXT_OWNER_INTERVAL: Duration = Duration::from_secs(1);
/// Number of requests at its limit by which an endpoint is expected to be heard.
const UNHEARD_REQUESTS: f64 = 3.0;
/// Time for which a VM counts as cut off after it said so.
const CUT_TIME: Duration = Duration::from_secs(3);
/// Time for which a VM reports what it heard; covers a few lost datagrams.
const REPORT_TIME: Duration = Duration::from_secs(3);
/// Time for which the end of a limit is remembered, so that older reports don't renew it.
const END_RETENTION: Duration = Duration::from_secs(10);

/// Announcement of an endpoint in an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Announced {
    /// No limit.
    Nothing,
    /// A limit in requests a second, finite and above zero.
    Rate(f64),
    /// A value that is no limit.
    Malformed,
}

/// Change that an answer or a report made.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// Nothing, or what is known by now.
    None,
    /// The limit is new or another one, in requests a second.
    Set(f64),
    /// The limit has ended.
    Ended,
    /// The first malformed value of the endpoint; what was known holds on.
    Malformed,
}

/// Limit of an endpoint as heard by an entry VM, for its peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Identifier of the endpoint.
    pub endpoint: Arc<str>,
    /// Start time of the endpoint in Unix milliseconds.
    pub started_ms: u64,
    /// The limit in requests a second; `None` if it has ended.
    pub rate: Option<f64>,
    /// Milliseconds since the answer that announced it.
    pub age_ms: u32,
}

/// Datagram with what an entry VM heard of limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitNews {
    /// Name of the sender.
    pub node: String,
    /// Whether the sender is cut off from the endpoints, so that it can't use its shares.
    pub cut: bool,
    /// Limits that the sender heard itself.
    pub reports: Vec<LimitReport>,
}

#[derive(Debug)]
struct Limit {
    started_ms: u64,
    /// Requests a second; `None` if the limit has ended.
    rate: Option<f64>,
    /// When an answer was last heard, by any VM.
    heard_at: Time,
    /// When this VM last heard one itself.
    own_heard_at: Option<Time>,
    /// Number of VMs that come before this one as owners.
    rank: usize,
    /// Requests that this VM may send, if it is an owner; negative after queries beyond the share.
    tokens: f64,
    filled_at: Time,
}

/// The limits of all endpoints, as far as they are known, and this VM's shares.
#[derive(Debug)]
pub struct RateLimits {
    this_vm: String,
    /// Names of the other entry VMs that may own shares.
    other_vms: BTreeSet<String>,
    /// Other entry VMs that said that they are cut off from the endpoints, and when.
    cut_vms: BTreeMap<String, Time>,
    limits: BTreeMap<Arc<str>, Limit>,
    /// Endpoints with their start times whose malformed values were reported.
    malformed: BTreeSet<(Arc<str>, u64)>,
    warm_ups: WarmUps,
}

impl RateLimits {
    /// Creates an empty state for the entry VM `this_vm`, which knows no others.
    pub fn new(this_vm: &str) -> Self {
        Self {
            this_vm: this_vm.to_owned(),
            other_vms: BTreeSet::new(),
            cut_vms: BTreeMap::new(),
            limits: BTreeMap::new(),
            malformed: BTreeSet::new(),
            warm_ups: WarmUps::new(this_vm, Bound::new(None, None)),
        }
    }

    /// Returns the warm-ups of endpoints.
    pub fn warm_ups(&self) -> &WarmUps {
        &self.warm_ups
    }

    /// Returns the warm-ups of endpoints, to record what is heard of them.
    pub fn warm_ups_mut(&mut self) -> &mut WarmUps {
        &mut self.warm_ups
    }

    /// Records whether another entry VM is cut off from the endpoints, so that it uses no share.
    pub fn set_cut(&mut self, now: Time, vm: &str, is_cut: bool) {
        match is_cut {
            true => self.cut_vms.insert(vm.to_owned(), now),
            false => self.cut_vms.remove(vm),
        };
    }

    /// Sets which other entry VMs are live and accept callers, so that they may own shares.
    pub fn set_other_vms<'a>(&mut self, now: Time, live: impl IntoIterator<Item = &'a str>) {
        self.cut_vms.retain(|_, at| now.since(*at) < CUT_TIME);
        let others = live
            .into_iter()
            .filter(|vm| !self.cut_vms.contains_key(*vm));
        let others: BTreeSet<&str> = others.collect();
        if others
            .iter()
            .copied()
            .eq(self.other_vms.iter().map(String::as_str))
        {
            return;
        }
        let others: BTreeSet<String> = others.into_iter().map(str::to_owned).collect();
        // What was saved up so far belongs to the old shares.
        self.fill_all(now);
        self.other_vms = others;
        for (id, limit) in &mut self.limits {
            limit.rank = rank(id, &self.this_vm, &self.other_vms);
        }
    }

    /// Keeps only the limits of endpoints that are listed.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.limits.retain(|id, _| is_listed(id));
        self.malformed.retain(|(id, _)| is_listed(id));
        self.warm_ups.retain(is_listed);
    }

    /// Returns whether any limit that was announced holds.
    pub fn any(&self) -> bool {
        self.limits.values().any(|l| l.rate.is_some())
    }

    /// Counts the endpoints whose limits hold.
    pub fn count(&self) -> usize {
        self.limits.values().filter(|l| l.rate.is_some()).count()
    }

    /// Records what an answer to this VM announces.
    pub fn record_answer(
        &mut self,
        now: Time,
        id: &Arc<str>,
        started_ms: u64,
        announced: Announced,
    ) -> LimitChange {
        let rate = match announced {
            Announced::Nothing => None,
            Announced::Rate(rate) => Some(rate.max(MIN_RATE)),
            Announced::Malformed => {
                self.confirm(now, id, started_ms);
                return match self.malformed.insert((id.clone(), started_ms)) {
                    true => LimitChange::Malformed,
                    false => LimitChange::None,
                };
            }
        };
        let change = self.record(now, id, started_ms, rate, now);
        if let Some(limit) = self.limits.get_mut(id) {
            limit.own_heard_at = Some(now);
        }
        change
    }

    /// Records that an endpoint was heard, and that what is known of it holds on.
    fn confirm(&mut self, now: Time, id: &str, started_ms: u64) {
        self.fill(now, id);
        if let Some(limit) = self.limits.get_mut(id)
            && limit.started_ms == started_ms
        {
            (limit.heard_at, limit.own_heard_at) = (now, Some(now));
        }
    }

    /// Records what a peer heard. A report that is older than what is known changes nothing.
    pub fn record_report(&mut self, now: Time, report: &LimitReport) -> LimitChange {
        let rate = report.rate.filter(|r| r.is_finite() && *r > 0.0);
        if report.rate.is_some() && rate.is_none() {
            return LimitChange::None;
        }
        let heard_at = now - Duration::from_millis(u64::from(report.age_ms));
        let rate = rate.map(|r| r.max(MIN_RATE));
        self.record(now, &report.endpoint, report.started_ms, rate, heard_at)
    }

    fn record(
        &mut self,
        now: Time,
        id: &Arc<str>,
        started_ms: u64,
        rate: Option<f64>,
        heard_at: Time,
    ) -> LimitChange {
        self.limits
            .retain(|_, l| l.rate.is_some() || now.since(l.heard_at) < END_RETENTION);
        let known = self.limits.get(id);
        if known.is_some_and(|l| (l.started_ms, l.heard_at) > (started_ms, heard_at)) {
            return LimitChange::None;
        }
        let known_rate = known
            .filter(|l| l.started_ms == started_ms)
            .and_then(|l| l.rate);
        if known.is_none() && rate.is_none() {
            return LimitChange::None;
        }
        self.fill(now, id);
        let rank = rank(id, &self.this_vm, &self.other_vms);
        let limit = self.limits.entry(id.clone()).or_insert(Limit {
            started_ms,
            rate,
            heard_at,
            own_heard_at: None,
            rank,
            tokens: 0.0,
            filled_at: now,
        });
        if known_rate.is_none() {
            (limit.tokens, limit.filled_at) = (0.0, now);
        }
        (limit.started_ms, limit.rate, limit.heard_at) = (started_ms, rate, heard_at);
        match (known_rate, rate) {
            (Some(_), None) => LimitChange::Ended,
            (known, Some(rate)) if known != Some(rate) => LimitChange::Set(rate),
            _ => LimitChange::None,
        }
    }

    /// Lists what this VM heard itself lately.
    pub fn reports(&self, now: Time) -> Vec<LimitReport> {
        let report = |(id, limit): (&Arc<str>, &Limit)| {
            let age = now.since(limit.own_heard_at?);
            let is_newest = limit.own_heard_at == Some(limit.heard_at);
            (is_newest && age < REPORT_TIME).then(|| LimitReport {
                endpoint: id.clone(),
                started_ms: limit.started_ms,
                rate: limit.rate,
                age_ms: age.as_millis() as u32,
            })
        };
        self.limits.iter().filter_map(report).collect()
    }

    /// Returns whether a request may be sent to an endpoint now, by what it announced and by its warm-up.
    /// An urgent one may also use what is reserved of an announced limit.
    pub fn may_send(&self, now: Time, id: &str, started_ms: u64, is_urgent: bool) -> bool {
        if !self.warm_ups.may_send(now, id, started_ms) {
            return false;
        }
        let Some((limit, _)) = self.in_force(id, started_ms) else {
            return true;
        };
        let needed = match is_urgent {
            true => 1.0,
            false => 1.0 + URGENT_RESERVE,
        };
        self.tokens(now, limit) >= needed
    }

    /// Counts a request or a query that is sent to an endpoint.
    pub fn record_send(&mut self, now: Time, id: &str) {
        self.warm_ups.record_send(now, id);
        self.fill(now, id);
        if let Some(limit) = self.limits.get_mut(id) {
            limit.tokens = (limit.tokens - 1.0).max(-MIN_BURST);
        }
    }

    /// Takes back the count of a request that did not reach the endpoint.
    pub fn record_not_sent(&mut self, now: Time, id: &str) {
        self.warm_ups.record_not_sent(id);
        self.fill(now, id);
        if let Some(limit) = self.limits.get_mut(id) {
            limit.tokens += 1.0;
        }
    }

    /// Returns the limit of this start of an endpoint, with its rate, if one holds.
    fn in_force(&self, id: &str, started_ms: u64) -> Option<(&Limit, f64)> {
        let limit = self.limits.get(id)?;
        let rate = limit.rate.filter(|_| limit.started_ms == started_ms)?;
        Some((limit, rate))
    }

    /// Returns the requests that this VM may send now.
    fn tokens(&self, now: Time, limit: &Limit) -> f64 {
        let share = self.share(now, limit);
        let burst = (share * BURST_TIME_S).max(MIN_BURST);
        let saved = limit.tokens + share * now.since(limit.filled_at).as_secs_f64();
        match share > 0.0 {
            true => saved.min(burst),
            false => limit.tokens.min(0.0),
        }
    }

    /// Returns this VM's share of a limit, in requests a second; zero if it is no owner.
    fn share(&self, now: Time, limit: &Limit) -> f64 {
        let Some(rate) = limit.rate else {
            return 0.0;
        };
        let vms = self.other_vms.len() + 1;
        let saved = rate * SAVED_TIME_S + SAVED_EXTRA;
        let owners = ((saved / MIN_BURST) as usize).clamp(1, vms);
        let share = rate / owners as f64;
        let expected = Duration::from_secs_f64(UNHEARD_REQUESTS / rate);
        let unheard = now.since(limit.heard_at);
        let overdue = unheard.checked_sub(expected.max(UNHEARD_TIME));
        let more = overdue.map_or(0, |t| {
            1 + (t.as_millis() / NEXT_OWNER_INTERVAL.as_millis()) as usize
        });
        match limit.rank < owners + more {
            true => share,
            false => 0.0,
        }
    }

    fn fill(&mut self, now: Time, id: &str) {
        let Some(tokens) = self.limits.get(id).map(|l| self.tokens(now, l)) else {
            return;
        };
        if let Some(limit) = self.limits.get_mut(id) {
            (limit.tokens, limit.filled_at) = (tokens, now);
        }
    }

    fn fill_all(&mut self, now: Time) {
        let ids: Vec<Arc<str>> = self.limits.keys().cloned().collect();
        ids.iter().for_each(|id| self.fill(now, id));
    }
}

/// Returns the number of VMs that come before `this_vm` as owners of an endpoint's limit.
pub(super) fn rank(id: &str, this_vm: &str, others: &BTreeSet<String>) -> usize {
    let score = |vm: &str| {
        (
            rendezvous::score(id.as_bytes(), vm.as_bytes()),
            vm.to_owned(),
        )
    };
    let own = score(this_vm);
    others.iter().filter(|vm| score(vm) > own).count()
}
