//! Refuses requests that have crashed several endpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use crate::time::Time;

/// Number of endpoints that a request may crash before it is refused; the service rules allow
/// three.
const MAX_CRASHES: usize = 3;
/// Time for which crashes are remembered; longer than a crashed endpoint takes to restart.
const CRASH_RETENTION: Duration = Duration::from_secs(60);
/// Upper bound on the requests that are remembered.
const MAX_TRACKED_REQUESTS: usize = 4_096;

/// Returns the fingerprint of a request. A request that is sent again has the same path, client
/// account and body, and so the same fingerprint.
pub fn fingerprint(path: &str, account: &str, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    for part in [path.as_bytes(), account.as_bytes(), body] {
        hash.update(&(part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.digest()
}

/// A crash as sent to other entry VMs: the fingerprint of the request, and a hash of the endpoint's
/// id and start time, or [`SUCCEEDED`].
pub type Crash = (u64, u64);

/// Takes the place of the endpoint hash when the request has succeeded, which shows that it did not
/// cause the crashes.
const SUCCEEDED: u64 = 0;

/// Requests that were running at endpoints when these crashed.
#[derive(Debug, Default)]
pub struct Quarantine {
    crashes: BTreeMap<u64, (Time, BTreeSet<u64>)>,
    own_crashes: Vec<(Time, Crash)>,
}

impl Quarantine {
    /// Records that an endpoint crashed while it ran a request, and returns the number of endpoints
    /// that crashed with this request. With `is_own`, the crash is sent on to other entry VMs.
    pub fn record_crash(&mut self, now: Time, crash: Crash, is_own: bool) -> usize {
        self.crashes
            .retain(|_, (last_crash, _)| now.since(*last_crash) < CRASH_RETENTION);
        if crash.1 == SUCCEEDED {
            self.crashes.remove(&crash.0);
            return 0;
        }
        if self.crashes.len() >= MAX_TRACKED_REQUESTS && !self.crashes.contains_key(&crash.0) {
            return 0;
        }
        let entry = self.crashes.entry(crash.0);
        let (last_crash, endpoints) = entry.or_insert_with(|| (now, BTreeSet::new()));
        *last_crash = now;
        if endpoints.insert(crash.1) && is_own {
            self.own_crashes.push((now, crash));
        }
        endpoints.len()
    }

    /// Records that a request succeeded, which clears its crashes here and at the other entry VMs.
    pub fn record_success(&mut self, now: Time, request: u64) {
        if self.crashes.remove(&request).is_some() {
            self.own_crashes.retain(|(_, crash)| crash.0 != request);
            self.own_crashes.push((now, (request, SUCCEEDED)));
        }
    }

    /// Returns whether a request is to be refused.
    pub fn is_quarantined(&self, now: Time, request: u64) -> bool {
        let entry = self.crashes.get(&request);
        entry.is_some_and(|(last_crash, endpoints)| {
            endpoints.len() >= MAX_CRASHES && now.since(*last_crash) < CRASH_RETENTION
        })
    }

    /// Returns this VM's own crashes that are younger than `age`. Heartbeats repeat them, since
    /// datagrams may be lost.
    pub fn recent_crashes(&mut self, now: Time, age: Duration) -> Vec<Crash> {
        self.own_crashes
            .retain(|(recorded, _)| now.since(*recorded) < age);
        self.own_crashes.iter().map(|(_, crash)| *crash).collect()
    }
}
