//! Requests that break the endpoints that run them are refused for a while.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use crate::time::Time;

/// Endpoints that a request may break before it is refused; the users allow three.
const BREAKS: usize = 3;
/// Time that breaks are remembered; longer than a crashed endpoint needs to come back.
const MEMORY: Duration = Duration::from_secs(60);
/// Requests that are remembered at most.
const HELD: usize = 4_096;

/// Returns the fingerprint of a request: it comes again with the same path, account and body.
pub fn fingerprint(path: &str, account: &str, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    for part in [path.as_bytes(), account.as_bytes(), body] {
        hash.update(&(part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.digest()
}

/// A break to tell other entry VMs of: the request's fingerprint, and a hash of the endpoint's id
/// and start, or [`CLEARED`].
pub type Crash = (u64, u64);

/// Says that a request ran to a good end, so that something else broke the endpoints.
const CLEARED: u64 = 0;

/// Requests that broke endpoints.
#[derive(Debug, Default)]
pub struct Quarantine {
    breaks: BTreeMap<u64, (Time, BTreeSet<u64>)>,
    news: Vec<(Time, Crash)>,
}

impl Quarantine {
    /// Takes the news that an endpoint broke while it ran a request; returns how many it broke.
    pub fn record_crash(&mut self, now: Time, seen: Crash, own: bool) -> usize {
        self.breaks.retain(|_, (at, _)| now.since(*at) < MEMORY);
        if seen.1 == CLEARED {
            self.breaks.remove(&seen.0);
            return 0;
        }
        if self.breaks.len() >= HELD && !self.breaks.contains_key(&seen.0) {
            return 0;
        }
        let entry = self.breaks.entry(seen.0);
        let (at, endpoints) = entry.or_insert_with(|| (now, BTreeSet::new()));
        *at = now;
        if endpoints.insert(seen.1) && own {
            self.news.push((now, seen));
        }
        endpoints.len()
    }

    /// Takes the good end of a request: one that breaks endpoints has none.
    pub fn record_success(&mut self, now: Time, request: u64) {
        if self.breaks.remove(&request).is_some() {
            self.news.retain(|(_, b)| b.0 != request);
            self.news.push((now, (request, CLEARED)));
        }
    }

    /// Returns whether a request is refused now.
    pub fn is_quarantined(&self, now: Time, request: u64) -> bool {
        let found = self.breaks.get(&request);
        found.is_some_and(|(at, e)| e.len() >= BREAKS && now.since(*at) < MEMORY)
    }

    /// Returns own breaks younger than `age`, which datagrams repeat against losses.
    pub fn recent_crashes(&mut self, now: Time, age: Duration) -> Vec<Crash> {
        self.news.retain(|(at, _)| now.since(*at) < age);
        self.news.iter().map(|(_, b)| *b).collect()
    }
}
