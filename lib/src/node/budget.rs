//! Budget of repeated sends to a service, shared by all entry VMs.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::time::Time;

/// Part of the allowance that is used, so that stale counts and other machines' bursts fit in.
const USED_PART: f64 = 0.7;
/// Width of one counted slice of time.
const SLICE: Duration = Duration::from_millis(500);

/// What the users allow over all entry VMs in a sliding window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct Counts {
    /// Start of the slice, requests, repeats.
    slices: VecDeque<(Time, u32, u32)>,
}

impl Counts {
    fn add(&mut self, now: Time, window: Duration, requests: u32, repeats: u32) {
        while let Some((start, ..)) = self.slices.front() {
            if now.since(*start) <= window + SLICE {
                break;
            }
            self.slices.pop_front();
        }
        match self.slices.back_mut() {
            Some(last) if now.since(last.0) < SLICE => {
                last.1 += requests;
                last.2 += repeats;
            }
            _ => self.slices.push_back((now, requests, repeats)),
        }
    }

    fn sums(&self, now: Time, window: Duration) -> (u32, u32) {
        let recent = |s: &&(Time, u32, u32)| now.since(s.0) <= window + SLICE;
        let add = |(a, b): (u32, u32), s: &(Time, u32, u32)| (a + s.1, b + s.2);
        self.slices.iter().filter(recent).fold((0, 0), add)
    }
}

/// One entry VM's part of the budget, by service.
#[derive(Debug)]
pub struct RetryBudget {
    allowance: Allowance,
    counts: BTreeMap<Arc<str>, Counts>,
}

impl RetryBudget {
    /// Makes an unused budget.
    pub fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            counts: BTreeMap::new(),
        }
    }

    /// Counts a request of a caller for the service.
    pub fn record_request(&mut self, now: Time, service: &Arc<str>) {
        let window = self.allowance.window;
        let counts = self.counts.entry(service.clone()).or_default();
        counts.add(now, window, 1, 0);
    }

    /// Takes one repeat if this machine's part allows it; `machines` share the budget.
    pub fn try_retry(&mut self, now: Time, service: &Arc<str>, machines: usize) -> bool {
        let Allowance {
            ratio,
            extra,
            window,
        } = self.allowance;
        let counts = self.counts.entry(service.clone()).or_default();
        let (requests, repeats) = counts.sums(now, window);
        let part = f64::from(requests) * ratio + extra / machines.max(1) as f64;
        if f64::from(repeats + 1) > part * USED_PART {
            return false;
        }
        counts.add(now, window, 0, 1);
        true
    }
}
