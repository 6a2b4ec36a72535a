//! Warm-up of endpoints, a limit on the requests a second of all entry VMs together that ends by
//! itself.
//!
//! An endpoint that warms up crashes at a rate well above its own, and nobody counts for all VMs. So a
//! number of requests in each [`WINDOW`] is divided among the VMs: rendezvous hashing ranks them for
//! each endpoint, and the first ones get a request more than the others, or the only one. A VM counts
//! its own sends, also those before it knew of the warm-up. What it gains by a change of the members it
//! uses only when those who had it before have stopped.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::rate_limits;
use crate::time::Time;

/// Span in which no more than the bound of one second is sent. A send is counted when its endpoint is
/// chosen; connecting to that takes up to 0.3 s more.
const WINDOW: Duration = Duration::from_millis(1_300);
/// Part of the bound that is divided. The rest covers VMs that disagree on the members for a moment,
/// or have not heard of the warm-up, and queries.
const DIVIDED_SHARE: f64 = 0.85;
/// Time after the start of a VM in which it sends nothing to endpoints that warm up, since others may
/// still use its share.
const START_DELAY: Duration = Duration::from_millis(1_500);
/// Share of the known VMs that must be live for the requests of the others to pass to them: a loss of one
/// zone in three leaves more.
const MIN_LIVE_SHARE: f64 = 0.6;
/// Longest time left that is believed.
const MAX_TIME: Duration = Duration::from_secs(60);
/// Highest rate of a service that is believed, in requests a second.
const MAX_RATE: f64 = 1e6;
/// Highest factor and number of requests of a bound that are believed.
const MAX_EXCESS: f64 = 100.0;
const MAX_SLACK: f64 = 1e6;
/// Rate in requests a second and time for services that name a warm-up without a valid one.
const DEFAULT_RATE: f64 = 10.0;
const DEFAULT_TIME: Duration = Duration::from_secs(5);

/// What an endpoint says of its warm-up.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ToldWarmUp {
    /// Nothing.
    #[default]
    Nothing,
    /// The time that is left; zero says that the endpoint is warm.
    Left(Duration),
    /// A value that is no time.
    Malformed,
}

/// Value of a service's configuration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Configured {
    /// The configuration has none.
    Missing,
    /// A finite number.
    Number(f64),
    /// The value is no number.
    Malformed,
}

/// Warm-up of the endpoints of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUp {
    /// Time for which an endpoint warms up after a start.
    pub time: Duration,
    /// Requests a second that it takes meanwhile, finite and above zero.
    pub rate: f64,
    /// Whether a value was replaced by a default.
    pub is_odd: bool,
}

impl WarmUp {
    /// Reads the time in seconds and the rate in requests a second of a service's warm-up; `None` if the
    /// service has none, or its endpoints are merely slow meanwhile and have a rate of zero. A value that
    /// makes no sense, and a missing rate beside a time, gives a default.
    pub fn read(time_s: Configured, rate: Configured) -> Option<Self> {
        let has_time = !matches!(time_s, Configured::Missing | Configured::Number(0.0));
        match rate {
            Configured::Number(0.0) => return None,
            Configured::Missing if !has_time => return None,
            Configured::Missing | Configured::Number(_) | Configured::Malformed => {}
        }
        let (time, odd_time) = match time_s {
            Configured::Missing => (Duration::ZERO, false),
            Configured::Number(s) if (0.0..=MAX_TIME.as_secs_f64()).contains(&s) => {
                (Duration::from_secs_f64(s), false)
            }
            Configured::Number(s) if s > 0.0 => (MAX_TIME, true),
            Configured::Number(_) | Configured::Malformed => (DEFAULT_TIME, true),
        };
        let (rate, odd_rate) = match rate {
            Configured::Number(r) if r > 0.0 && r <= MAX_RATE => (r, false),
            Configured::Number(r) if r > 0.0 => (MAX_RATE, true),
            Configured::Missing | Configured::Number(_) | Configured::Malformed => {
                (DEFAULT_RATE, true)
            }
        };
        Some(Self {
            time,
            rate,
            is_odd: odd_time || odd_rate,
        })
    }
}

/// Bound on the requests of all VMs in one second, from the rate of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Factor on the rate.
    excess: f64,
    /// Number of requests beyond that.
    slack: f64,
}

impl Bound {
    /// Creates a bound. Without a valid factor or number, the rate itself is the bound.
    pub fn new(excess: Option<f64>, slack: Option<f64>) -> Self {
        let valid = |value: Option<f64>, range: std::ops::RangeInclusive<f64>| {
            let lowest = *range.start();
            value.filter(|v| range.contains(v)).unwrap_or(lowest)
        };
        Self {
            excess: valid(excess, 1.0..=MAX_EXCESS),
            slack: valid(slack, 0.0..=MAX_SLACK),
        }
    }

    /// Returns the requests that all VMs together send in a [`WINDOW`].
    fn divided(&self, rate: f64) -> usize {
        let allowed = rate * self.excess + self.slack;
        ((allowed * DIVIDED_SHARE) as usize).max(1)
    }
}

/// Change that an entry or a reply made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WarmUpChange {
    /// Nothing, or what is known.
    None,
    /// A warm-up began, as far as this VM knows.
    Begun {
        /// Time that is left.
        left: Duration,
        /// Requests of all VMs together in each window.
        requests: usize,
    },
    /// The first malformed value of this start of the endpoint, which counts as just started.
    Malformed,
}

/// What is known of the warm-up of one start of an endpoint.
#[derive(Debug)]
struct Warming {
    started_ms: u64,
    /// Number of the newest entry that said something, and what it said.
    told: Option<(u64, ToldWarmUp)>,
    told_until: Time,
    /// End of a warm-up that nobody announced.
    assumed_until: Time,
    /// Requests that all VMs together may send in a window.
    requests: usize,
    /// Requests that this VM may send in a window.
    share: usize,
    /// Larger share, and the time from which it holds.
    gain: Option<(Time, usize)>,
}

impl Warming {
    fn new(started_ms: u64) -> Self {
        Self {
            started_ms,
            told: None,
            told_until: Time::default(),
            assumed_until: Time::default(),
            requests: 0,
            share: 0,
            gain: None,
        }
    }

    /// Returns whether an entry is older than the newest one, or that one again.
    fn is_outdated(&self, sequence: u64, told: ToldWarmUp) -> bool {
        self.told.is_some_and(|(newest, before)| {
            (newest, before) == (sequence, told) || newest > sequence
        })
    }

    fn until(&self) -> Time {
        self.told_until.max(self.assumed_until)
    }

    fn share(&self, now: Time) -> usize {
        match self.gain {
            Some((from, share)) if now >= from => share,
            Some(_) | None => self.share,
        }
    }
}

/// The warm-ups of all endpoints, as far as they are known, and this VM's shares.
#[derive(Debug)]
pub struct WarmUps {
    this_vm: String,
    bound: Bound,
    /// Names of the other entry VMs among which requests are divided.
    other_vms: BTreeSet<String>,
    /// When this VM may send at the earliest; `None` until it has heard of the members.
    ready_at: Option<Time>,
    warming: BTreeMap<Arc<str>, Warming>,
    /// Times of this VM's sends within the last window, for each endpoint whose service has a warm-up.
    sends: BTreeMap<Arc<str>, VecDeque<Time>>,
    odd_services: BTreeSet<Arc<str>>,
}

impl WarmUps {
    /// Creates an empty state for the entry VM `this_vm`.
    pub fn new(this_vm: &str, bound: Bound) -> Self {
        Self {
            this_vm: this_vm.to_owned(),
            bound,
            other_vms: BTreeSet::new(),
            ready_at: None,
            warming: BTreeMap::new(),
            sends: BTreeMap::new(),
            odd_services: BTreeSet::new(),
        }
    }

    /// Sets the bound of the deployment.
    pub fn set_bound(&mut self, bound: Bound) {
        self.bound = bound;
    }

    /// Sets the names of the other entry VMs, all that are known and those that are live. While too many
    /// are not heard, the silence may be this VM's, and requests are divided among all.
    pub fn set_vms<'a>(
        &mut self,
        now: Time,
        known: impl IntoIterator<Item = &'a str>,
        live: impl IntoIterator<Item = &'a str>,
    ) {
        self.ready_at.get_or_insert(now + START_DELAY);
        let mut known: Vec<&str> = known.into_iter().collect();
        let mut live: Vec<&str> = live.into_iter().collect();
        known.sort_unstable();
        live.sort_unstable();
        let is_heard = (live.len() + 1) as f64 >= (known.len() + 1) as f64 * MIN_LIVE_SHARE;
        let others = if is_heard { live } else { known };
        let before = self.other_vms.iter().map(String::as_str);
        if others.iter().copied().eq(before) {
            return;
        }
        self.other_vms = others.into_iter().map(str::to_owned).collect();
        let (this_vm, others) = (&self.this_vm, &self.other_vms);
        for (id, warming) in &mut self.warming {
            if warming.until() <= now {
                continue;
            }
            let before = warming.share(now);
            let (share, _) = share(id, this_vm, others, warming.requests);
            let gain = match (share > before, warming.gain) {
                (false, _) => None,
                // A gain that was expected already is not put off again.
                (true, Some((from, expected))) if expected == share && from > now => {
                    Some((from, share))
                }
                (true, _) => Some((now + WINDOW, share)),
            };
            (warming.share, warming.gain) = (before.min(share), gain);
        }
    }

    /// Keeps only what concerns endpoints that are listed.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.warming.retain(|id, _| is_listed(id));
        self.sends.retain(|id, _| is_listed(id));
    }

    /// Returns whether any service has a warm-up.
    pub fn any(&self) -> bool {
        !self.sends.is_empty()
    }

    /// Counts the endpoints that warm up.
    pub fn count(&self, now: Time) -> usize {
        self.warming.values().filter(|w| w.until() > now).count()
    }

    /// Returns whether the odd values of a service are new, to be logged.
    pub fn is_new_oddity(&mut self, service: &Arc<str>) -> bool {
        self.odd_services.insert(service.clone())
    }

    /// Records what an endpoint's entry with the given sequence number says. An entry that says nothing
    /// is that of an endpoint that has just started, when this VM first sees it.
    pub fn record_entry(
        &mut self,
        now: Time,
        id: &Arc<str>,
        (started_ms, sequence): (u64, u64),
        told: ToldWarmUp,
        warm_up: &WarmUp,
    ) -> WarmUpChange {
        if !self.sends.contains_key(id) {
            self.sends.insert(id.clone(), VecDeque::new());
        }
        let is_warm = told == ToldWarmUp::Left(Duration::ZERO);
        let known = self.warming.get(id);
        let is_same = known.is_some_and(|w| w.started_ms == started_ms);
        match known {
            None if is_warm => return WarmUpChange::None,
            Some(w) if w.started_ms > started_ms => return WarmUpChange::None,
            Some(w) if is_same && w.is_outdated(sequence, told) => return WarmUpChange::None,
            Some(_) | None => {}
        }
        let was_malformed =
            is_same && known.is_some_and(|w| matches!(w.told, Some((_, ToldWarmUp::Malformed))));
        let before = self.until(now, id, started_ms);
        let warming = self.entry(id, started_ms, warm_up);
        warming.told = Some((sequence, told));
        match told {
            ToldWarmUp::Left(left) => warming.told_until = now + left.min(MAX_TIME),
            ToldWarmUp::Nothing | ToldWarmUp::Malformed if !is_same => {
                warming.assumed_until = now + warm_up.time;
            }
            ToldWarmUp::Nothing | ToldWarmUp::Malformed => {}
        }
        let change = self.begun(now, id, started_ms, before);
        match told == ToldWarmUp::Malformed && !was_malformed {
            true => WarmUpChange::Malformed,
            false => change,
        }
    }

    /// Records the time left that an endpoint named in a reply to this VM. It makes a warm-up longer, not
    /// shorter.
    pub fn record_reply(
        &mut self,
        now: Time,
        id: &Arc<str>,
        started_ms: u64,
        left: Duration,
        warm_up: &WarmUp,
    ) -> WarmUpChange {
        let known = self.warming.get(id);
        if left.is_zero() || known.is_some_and(|w| w.started_ms > started_ms) {
            return WarmUpChange::None;
        }
        let before = self.until(now, id, started_ms);
        let warming = self.entry(id, started_ms, warm_up);
        warming.told_until = warming.told_until.max(now + left.min(MAX_TIME));
        self.begun(now, id, started_ms, before)
    }

    /// Assumes that an endpoint warms up from now on, which nobody has announced: it may be idle since
    /// long, or have started while its entry could not be read.
    pub fn assume(
        &mut self,
        now: Time,
        id: &Arc<str>,
        started_ms: u64,
        warm_up: &WarmUp,
    ) -> WarmUpChange {
        if self
            .warming
            .get(id)
            .is_some_and(|w| w.started_ms > started_ms)
        {
            return WarmUpChange::None;
        }
        let before = self.until(now, id, started_ms);
        self.entry(id, started_ms, warm_up).assumed_until = now + warm_up.time;
        self.begun(now, id, started_ms, before)
    }

    /// Returns whether a request may be sent to an endpoint now.
    pub fn may_send(&self, now: Time, id: &str, started_ms: u64) -> bool {
        let Some(warming) = self.in_force(now, id, started_ms) else {
            return true;
        };
        // Shares mean nothing before the members were read.
        if self.ready_at.is_none_or(|t| now < t) {
            return false;
        }
        let recent = |t: &&Time| now.since(**t) < WINDOW;
        let sent = self
            .sends
            .get(id)
            .map_or(0, |s| s.iter().filter(recent).count());
        sent < warming.share(now)
    }

    /// Counts a request or a query that is sent to an endpoint.
    pub fn record_send(&mut self, now: Time, id: &str) {
        if let Some(sends) = self.sends.get_mut(id) {
            while sends.front().is_some_and(|t| now.since(*t) >= WINDOW) {
                sends.pop_front();
            }
            sends.push_back(now);
        }
    }

    /// Takes back the count of a request that did not reach the endpoint.
    pub fn record_not_sent(&mut self, id: &str) {
        if let Some(sends) = self.sends.get_mut(id) {
            sends.pop_back();
        }
    }

    fn in_force(&self, now: Time, id: &str, started_ms: u64) -> Option<&Warming> {
        let warming = self.warming.get(id)?;
        (warming.started_ms == started_ms && warming.until() > now).then_some(warming)
    }

    /// Returns the end of a warm-up that is in force.
    fn until(&self, now: Time, id: &str, started_ms: u64) -> Option<Time> {
        self.in_force(now, id, started_ms).map(Warming::until)
    }

    /// Returns what is known of a start of an endpoint.
    fn entry(&mut self, id: &Arc<str>, started_ms: u64, warm_up: &WarmUp) -> &mut Warming {
        let requests = self.bound.divided(warm_up.rate);
        let known = self.warming.entry(id.clone());
        let warming = known.or_insert_with(|| Warming::new(started_ms));
        if warming.started_ms != started_ms {
            *warming = Warming::new(started_ms);
        }
        warming.requests = requests;
        warming
    }

    /// Sets this VM's share of a warm-up that was not in force `before`.
    fn begun(
        &mut self,
        now: Time,
        id: &Arc<str>,
        started_ms: u64,
        before: Option<Time>,
    ) -> WarmUpChange {
        let Some(until) = self.until(now, id, started_ms) else {
            return WarmUpChange::None;
        };
        let (this_vm, others) = (&self.this_vm, &self.other_vms);
        let Some(warming) = self.warming.get_mut(id).filter(|_| before.is_none()) else {
            return WarmUpChange::None;
        };
        let (share, rank) = share(id, this_vm, others, warming.requests);
        // The VMs take turns in the first window, since they hear of the warm-up at once.
        let owners = warming.requests.min(others.len() + 1);
        let turn = WINDOW.mul_f64(rank as f64 / owners as f64);
        let from = (now + turn).max(self.ready_at.unwrap_or(now + START_DELAY));
        (warming.share, warming.gain) = (0, (share > 0).then_some((from, share)));
        WarmUpChange::Begun {
            left: until.since(now),
            requests: warming.requests,
        }
    }
}

/// Returns this VM's share of the requests to an endpoint, and its rank.
fn share(id: &str, this_vm: &str, others: &BTreeSet<String>, requests: usize) -> (usize, usize) {
    let rank = rate_limits::rank(id, this_vm, others);
    let vms = others.len() + 1;
    (requests / vms + usize::from(rank < requests % vms), rank)
}
