//! Requests suspected of crashing the endpoints that run them.
//!
//! Each request that runs at an endpoint when the connection to the endpoint breaks is suspected. A
//! suspect next runs alone, on a replica that other requests avoid: a harmless one completes, and
//! one that crashes a second endpoint is refused everywhere for `SUSPICION_TTL`.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::{EntryId, Incarnation, VmId};
use crate::peers::Suspicion;
use crate::rendezvous;
use crate::time::Time;
use crate::view::{Health, View};

/// Maximum number of suspicions that an agent passes on.
const MAX_GOSSIPED: usize = 24;
/// Maximum number of suspicions that one entry VM keeps.
const MAX_KEPT: usize = 1_024;
/// Time after which a suspicion, and with it a refusal, ends.
pub const SUSPICION_TTL: Duration = Duration::from_secs(300);
/// Time after a crash during which its suspects do not run, so that the suspicion reaches every
/// gateway.
pub const TRIAL_DELAY: Duration = Duration::from_millis(600);
/// Crashes in one failure domain within this time of each other count as one.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_secs(1);
/// Time for which a suspect has a replica to itself before the next suspect may join it.
pub const TRIAL_TIME: Duration = Duration::from_secs(1);
/// Number of replicas on which the suspects of one gateway run.
const TRIAL_VMS: usize = 2;
/// At most one in this many VMs runs suspects, so that other requests keep the rest of the
/// capacity.
const TRIAL_VM_DIVISOR: usize = 4;
/// Time after a crash during which other requests avoid the replicas that run suspects.
const TRIAL_WINDOW: Duration = Duration::from_secs(15);

type Key = (u64, VmId, Incarnation);

/// Suspicions that one agent has received, which it spreads by gossip.
#[derive(Debug, Default)]
pub struct SuspicionSet {
    by_key: BTreeMap<Key, (Suspicion, Time)>,
}

impl SuspicionSet {
    /// Adds suspicions, and returns whether any of them is new or more specific.
    pub fn merge(&mut self, now: Time, suspicions: &[Suspicion]) -> bool {
        self.by_key
            .retain(|_, (_, at)| now.since(*at) < SUSPICION_TTL);
        let mut any_new = false;
        for s in suspicions {
            let at = now - Duration::from_millis(s.age_ms);
            if now.since(at) >= SUSPICION_TTL {
                continue;
            }
            let key = (s.print, s.vm.clone(), s.run);
            let known = self.by_key.get(&key);
            let is_new = known.is_none_or(|(k, _)| s.alone && !k.alone);
            if is_new && (known.is_some() || self.by_key.len() < MAX_KEPT) {
                self.by_key.insert(key, (s.clone(), at));
                any_new = true;
            }
        }
        any_new
    }

    /// Returns the newest suspicions with their current age.
    pub fn newest(&self, now: Time) -> Vec<Suspicion> {
        let mut all: Vec<&(Suspicion, Time)> = self.by_key.values().collect();
        all.sort_by_key(|(s, at)| (Reverse(*at), s.print));
        let aged = |(s, at): &(Suspicion, Time)| Suspicion {
            age_ms: now.since(*at).as_millis() as u64,
            ..s.clone()
        };
        all.into_iter().take(MAX_GOSSIPED).map(aged).collect()
    }
}

/// Decision of a gateway on whether a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request is not suspected.
    Clear,
    /// The request was running when the connection to an endpoint broke; it may run alone, and not
    /// before this time.
    Suspect(Time),
    /// Another gateway runs the request alone, or is about to.
    TrialElsewhere,
    /// The request crashed endpoints and is refused until this time.
    Refused(Time),
}

#[derive(Debug)]
struct Crash {
    seen: Suspicion,
    at: Time,
}

/// Suspicions that one gateway has observed or received from its agent.
#[derive(Debug, Default)]
pub struct SuspectRequests {
    crashes: BTreeMap<Key, Crash>,
    /// Fingerprints of suspects that have run to their end, with the time of the latest such end.
    cleared: BTreeMap<u64, Time>,
}

impl SuspectRequests {
    /// Records that a request was running at an endpoint when the connection to the endpoint broke.
    pub fn record_crash(&mut self, now: Time, seen: Suspicion) {
        self.expire(now);
        if self.crashes.len() < MAX_KEPT {
            let key = (seen.print, seen.vm.clone(), seen.run);
            self.crashes.insert(key, Crash { seen, at: now });
        }
    }

    /// Records that the request with this fingerprint ran to its end.
    pub fn record_success(&mut self, now: Time, fingerprint: u64) {
        if self.crashes.values().any(|c| c.seen.print == fingerprint) {
            self.cleared.insert(fingerprint, now);
        }
    }

    /// Adds the suspicions of the agent's view.
    pub fn merge(&mut self, now: Time, view: &View) {
        self.expire(now);
        for s in &view.suspicions {
            let key = (s.print, s.vm.clone(), s.run);
            let at = now - Duration::from_millis(s.age_ms);
            let known = self.crashes.get(&key);
            if known.is_none_or(|k| s.alone && !k.seen.alone) && self.crashes.len() < MAX_KEPT {
                let seen = s.clone();
                self.crashes.insert(key, Crash { seen, at });
            }
        }
    }

    /// Decides on the request with this fingerprint at the gateway of the entry VM `me`.
    pub fn verdict(&self, now: Time, view: &View, me: &EntryId, fingerprint: u64) -> Verdict {
        if self.crashes.is_empty() {
            return Verdict::Clear;
        }
        let since = self
            .cleared
            .get(&fingerprint)
            .copied()
            .unwrap_or(Time::ZERO);
        let concerns_request =
            |c: &&Crash| c.seen.print == fingerprint && c.at >= since && is_down(view, now, c);
        let crashes: Vec<&Crash> = self.crashes.values().filter(concerns_request).collect();
        let Some(last) = crashes.iter().map(|c| c.at).max() else {
            return Verdict::Clear;
        };
        if crashes.iter().any(|c| c.seen.alone) || are_separate(view, &crashes) {
            return Verdict::Refused(last + SUSPICION_TTL);
        }
        let origin = crashes.iter().map(|c| &c.seen.origin).min();
        if origin != Some(me) && now.since(last) < TRIAL_WINDOW {
            return Verdict::TrialElsewhere;
        }
        Verdict::Suspect(last + TRIAL_DELAY)
    }

    /// Returns the VMs on which the suspects of `origin`'s gateway run; all gateways compute the
    /// same.
    pub fn trial_vms<'a>(origin: &EntryId, all: &'a [VmId]) -> Vec<&'a VmId> {
        let mut vms: Vec<&VmId> = all.iter().collect();
        keep_highest_scores(&mut vms, b"trial", (all.len() / TRIAL_VM_DIVISOR).max(1));
        keep_highest_scores(&mut vms, origin.as_str().as_bytes(), TRIAL_VMS);
        vms
    }

    /// Returns whether any request is suspected.
    pub fn has_any(&self) -> bool {
        !self.crashes.is_empty()
    }

    /// Returns the VMs that are in use for suspects, which other requests avoid.
    pub fn trial_vms_in_use(&self, now: Time, all: &[VmId]) -> BTreeSet<VmId> {
        let in_trial = |c: &&Crash| now.since(c.at) < TRIAL_WINDOW && !self.is_cleared(c);
        let crashes = self.crashes.values().filter(in_trial);
        let origins: BTreeSet<&EntryId> = crashes.map(|c| &c.seen.origin).collect();
        let trial_vms = origins.into_iter().flat_map(|o| Self::trial_vms(o, all));
        trial_vms.cloned().collect()
    }

    fn is_cleared(&self, crash: &Crash) -> bool {
        let cleared = self.cleared.get(&crash.seen.print);
        cleared.is_some_and(|at| *at >= crash.at)
    }

    fn expire(&mut self, now: Time) {
        self.crashes.retain(|_, c| now.since(c.at) < SUSPICION_TTL);
        self.cleared.retain(|_, at| now.since(*at) < SUSPICION_TTL);
    }
}

fn keep_highest_scores(vms: &mut Vec<&VmId>, key: &[u8], count: usize) {
    vms.sort_by_key(|vm| Reverse(rendezvous::score(key, vm.as_str().as_bytes())));
    vms.truncate(count);
}

/// Returns whether the endpoint went down, or may have because no later probe result is known yet.
fn is_down(view: &View, now: Time, crash: &Crash) -> bool {
    let Some(status) = view.vms.get(&crash.seen.vm) else {
        return true;
    };
    let last_answer = now - Duration::from_millis(status.silent_ms);
    let same = status.run == crash.seen.run && status.health == Health::Live;
    !(same && last_answer > crash.at + TRIAL_DELAY / 2)
}

/// Returns whether any two crashes have no common cause, such as the loss of a failure domain.
fn are_separate(view: &View, crashes: &[&Crash]) -> bool {
    let domain = |c: &Crash| view.vms.get(&c.seen.vm).map(|s| s.listing.domain.clone());
    crashes.iter().enumerate().any(|(i, a)| {
        crashes[i + 1..].iter().any(|b| {
            let apart = a.at.since(b.at).max(b.at.since(a.at)) >= COMMON_CAUSE_WINDOW;
            apart || domain(a) != domain(b)
        })
    })
}
