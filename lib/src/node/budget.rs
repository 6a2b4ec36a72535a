//! Retry budget of each service, which all entry VMs together keep without a message.
//!
//! Each VM earns retries by itself, whatever the others do or know: by each request of a caller, and by
//! its part of the time. What is earned expires after one window, so that a window holds retries that
//! were earned in it or in the window before, by processes that may have ended since. So half of what the bound
//! allows is earned in each. A process that starts has earned nothing, and may have forgotten what the one
//! before it used.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::time::Time;

/// Fraction of what the bound allows that is earned: half, as a window holds the retries of two, less
/// some that arrive later than they were sent.
const EARNED_FRACTION: f64 = 0.475;
/// Duration of one counting interval.
const INTERVAL: Duration = Duration::from_millis(500);
/// Part of a retry that may be missing by rounding.
const ROUNDING: f64 = 1e-6;

/// Upper bound on retries over all entry VMs in a sliding window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition, regardless of the number of requests.
    pub extra: f64,
    /// Duration of the sliding window.
    pub window: Duration,
}

/// Requests and retries of this entry VM to one service in the window, and the retries that are left.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Requests of callers.
    pub requests: u32,
    /// Retries that were sent.
    pub retries: u32,
    /// Retries that are earned and left.
    pub left: f64,
}

#[derive(Debug)]
struct Interval {
    start: Time,
    requests: u32,
    retries: u32,
    /// Retries that were earned and are left.
    left: f64,
}

/// Requests and retries of one service, by interval.
#[derive(Debug)]
struct Counts {
    intervals: VecDeque<Interval>,
    /// Time up to which the part of the time was earned.
    earned_until: Time,
}

impl Counts {
    fn new(earned_until: Time) -> Self {
        Self {
            intervals: VecDeque::new(),
            earned_until,
        }
    }

    /// Earns `rate` retries a second up to now, and returns the present interval.
    fn advance(&mut self, now: Time, window: Duration, rate: f64) -> &mut Interval {
        while let Some(first) = self.intervals.front() {
            if now.since(first.start) <= window {
                break;
            }
            self.intervals.pop_front();
        }
        // What was earned before has expired.
        self.earned_until = self.earned_until.max(now - window);
        while self.earned_until < now {
            let time = self.earned_until;
            let until = now.min(time + INTERVAL);
            self.interval(time).left += rate * until.since(time).as_secs_f64();
            self.earned_until = until;
        }
        self.interval(now)
    }

    /// Returns the interval at a time that is no earlier than any before.
    fn interval(&mut self, now: Time) -> &mut Interval {
        let is_current = |i: &Interval| now.since(i.start) < INTERVAL;
        if !self.intervals.back().is_some_and(is_current) {
            self.intervals.push_back(Interval {
                start: now,
                requests: 0,
                retries: 0,
                left: 0.0,
            });
        }
        let last = self.intervals.len() - 1;
        &mut self.intervals[last]
    }

    /// Uses one retry, of the oldest that are left.
    fn use_one(&mut self) {
        let mut missing = 1.0;
        for interval in &mut self.intervals {
            let used = interval.left.min(missing);
            interval.left -= used;
            missing -= used;
        }
        if let Some(last) = self.intervals.back_mut() {
            last.retries += 1;
        }
    }

    fn usage(&self, now: Time, window: Duration) -> Usage {
        let recent = |i: &&Interval| now.since(i.start) <= window;
        let add = |sum: Usage, i: &Interval| Usage {
            requests: sum.requests + i.requests,
            retries: sum.retries + i.retries,
            left: sum.left + i.left,
        };
        let intervals = self.intervals.iter().filter(recent);
        intervals.fold(Usage::default(), add)
    }
}

/// Largest bound on the number of entry VMs within a window.
#[derive(Debug, Default)]
struct LargestCount {
    /// Numbers, and when each was seen last.
    seen: Vec<(usize, Time)>,
}

impl LargestCount {
    fn record(&mut self, now: Time, window: Duration, count: usize) {
        self.seen
            .retain(|(seen, at)| *seen > count && now.since(*at) <= window);
        self.seen.push((count, now));
    }

    fn get(&self) -> Option<usize> {
        self.seen.iter().map(|(count, _)| *count).max()
    }
}

/// This entry VM's part of the retry budget of each service.
#[derive(Debug)]
pub struct RetryBudget {
    allowance: Allowance,
    /// When this process started.
    started: Time,
    entry_vms: LargestCount,
    counts: BTreeMap<Arc<str>, Counts>,
}

impl RetryBudget {
    /// Creates an unused budget for a process that starts now.
    pub fn new(now: Time, allowance: Allowance) -> Self {
        Self {
            allowance,
            started: now,
            entry_vms: LargestCount::default(),
            counts: BTreeMap::new(),
        }
    }

    /// Records an upper bound on the number of entry VMs, including this one. Must be called more often than
    /// once in a window, as a VM that leaves may have used its part.
    pub fn record_entry_vms(&mut self, now: Time, count: usize) {
        self.entry_vms.record(now, self.allowance.window, count);
    }

    /// Returns the largest number that was recorded in the window, by which the extra retries are divided;
    /// `None` while the list of entry VMs is not known.
    pub fn entry_vms(&self) -> Option<usize> {
        self.entry_vms.get()
    }

    /// Counts a caller's request to the service.
    pub fn record_request(&mut self, now: Time, service: &Arc<str>) {
        let earned = self.allowance.ratio * EARNED_FRACTION;
        let window = self.allowance.window;
        let rate = self.extra_rate();
        let interval = self.counts_of(service).advance(now, window, rate);
        interval.requests += 1;
        interval.left += earned;
    }

    /// Uses one retry and returns true if this VM may send it.
    pub fn try_retry(&mut self, now: Time, service: &Arc<str>) -> bool {
        let window = self.allowance.window;
        let rate = self.extra_rate();
        let counts = self.counts_of(service);
        counts.advance(now, window, rate);
        let is_allowed = counts.usage(now, window).left >= 1.0 - ROUNDING;
        if is_allowed {
            counts.use_one();
        }
        is_allowed
    }

    /// Returns what this VM has sent to the service in the window, and what it may send, as of the last
    /// request or retry.
    pub fn usage(&self, now: Time, service: &str) -> Usage {
        let counts = self.counts.get(service);
        let usage = counts.map(|c| c.usage(now, self.allowance.window));
        usage.unwrap_or_default()
    }

    /// Returns the largest part that this VM has used of what it could retry at a service.
    pub fn used_part(&self, now: Time) -> f64 {
        let usages = self.counts.keys().map(|service| self.usage(now, service));
        let part = |u: Usage| f64::from(u.retries) / (f64::from(u.retries) + u.left).max(1.0);
        usages.map(part).fold(0.0, f64::max)
    }

    fn counts_of(&mut self, service: &Arc<str>) -> &mut Counts {
        let new = || Counts::new(self.started);
        self.counts.entry(service.clone()).or_insert_with(new)
    }

    /// Returns the retries of each service that this VM earns in a second, as its part of those that do
    /// not depend on requests.
    fn extra_rate(&self) -> f64 {
        let Allowance { extra, window, .. } = self.allowance;
        let count = self.entry_vms().map_or(f64::INFINITY, |count| count as f64);
        extra * EARNED_FRACTION / (count * window.as_secs_f64())
    }
}
