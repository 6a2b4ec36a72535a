//! Requests under suspicion of crashing the endpoints that run them.
//!
//! Each request that runs at an endpoint when this breaks off comes under suspicion. A suspect runs
//! next alone, on a replica that the other requests avoid: an innocent one gets through, and one
//! that crashes a second endpoint is refused everywhere for a while.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::{EntryId, Incarnation, VmId};
use crate::peers::Suspicion;
use crate::rendezvous;
use crate::time::Time;
use crate::view::{Health, View};

/// Suspicions that one datagram carries at most.
const NEWEST: usize = 24;
/// Suspicions that one entry VM holds at most.
const HELD: usize = 1_024;
/// Time that a suspicion lasts, and with it a refusal.
pub const SUSPECT_LIFE: Duration = Duration::from_secs(300);
/// Time after a crash in which its suspects don't run, so that the suspicion reaches every gateway.
pub const TRIAL_DELAY: Duration = Duration::from_millis(600);
/// Crashes in one failure domain that lie closer together count as one.
const COMMON_CAUSE: Duration = Duration::from_secs(1);
/// Time that a suspect has a replica to itself before the next suspect joins it.
pub const TRIAL_TIME: Duration = Duration::from_secs(1);
/// Replicas on which the suspects of one gateway run.
const TRIAL_VMS: usize = 2;
/// One in this many VMs runs suspects, so that the other requests keep their capacity.
const TRIAL_PART: usize = 4;
/// Time after a crash for which ordinary requests avoid the replica where suspects run.
const TRIAL_WINDOW: Duration = Duration::from_secs(15);

type Key = (u64, VmId, Incarnation);

/// The suspicions that one agent has heard, spread by gossip.
#[derive(Debug, Default)]
pub struct SuspicionSet {
    heard: BTreeMap<Key, (Suspicion, Time)>,
}

impl SuspicionSet {
    /// Takes suspicions and returns whether one of them is news.
    pub fn merge(&mut self, now: Time, suspicions: &[Suspicion]) -> bool {
        self.heard
            .retain(|_, (_, at)| now.since(*at) < SUSPECT_LIFE);
        let mut news = false;
        for s in suspicions {
            let at = now - Duration::from_millis(s.age_ms);
            if now.since(at) >= SUSPECT_LIFE {
                continue;
            }
            let key = (s.print, s.vm.clone(), s.run);
            let known = self.heard.get(&key);
            let fresh = known.is_none_or(|(k, _)| s.alone && !k.alone);
            if fresh && (known.is_some() || self.heard.len() < HELD) {
                self.heard.insert(key, (s.clone(), at));
                news = true;
            }
        }
        news
    }

    /// Returns the newest suspicions with their present age.
    pub fn newest(&self, now: Time) -> Vec<Suspicion> {
        let mut all: Vec<&(Suspicion, Time)> = self.heard.values().collect();
        all.sort_by_key(|(s, at)| (Reverse(*at), s.print));
        let aged = |(s, at): &(Suspicion, Time)| Suspicion {
            age_ms: now.since(*at).as_millis() as u64,
            ..s.clone()
        };
        all.into_iter().take(NEWEST).map(aged).collect()
    }
}

/// What a gateway makes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Clear,
    /// It was running when an endpoint broke off; it runs alone, and not before this time.
    Suspect(Time),
    /// Another gateway is about to run it alone.
    TrialElsewhere,
    /// It crashed endpoints; it is refused until this time.
    Refused(Time),
}

#[derive(Debug)]
struct Crash {
    seen: Suspicion,
    at: Time,
}

/// The suspicions that one gateway knows.
#[derive(Debug, Default)]
pub struct SuspectRequests {
    crashes: BTreeMap<Key, Crash>,
    /// Prints that ran to their end alone, and when.
    cleared: BTreeMap<u64, Time>,
}

impl SuspectRequests {
    /// Records that a request was running at `vm` when this broke off.
    pub fn record_crash(&mut self, now: Time, seen: Suspicion) {
        self.expire(now);
        if self.crashes.len() < HELD {
            let key = (seen.print, seen.vm.clone(), seen.run);
            self.crashes.insert(key, Crash { seen, at: now });
        }
    }

    /// Records that a request ran to its end.
    pub fn record_success(&mut self, now: Time, print: u64) {
        if self.crashes.values().any(|c| c.seen.print == print) {
            self.cleared.insert(print, now);
        }
    }

    /// Takes the suspicions that the agent has heard.
    pub fn merge(&mut self, now: Time, view: &View) {
        self.expire(now);
        for s in &view.suspicions {
            let key = (s.print, s.vm.clone(), s.run);
            let at = now - Duration::from_millis(s.age_ms);
            let known = self.crashes.get(&key);
            if known.is_none_or(|k| s.alone && !k.seen.alone) && self.crashes.len() < HELD {
                let seen = s.clone();
                self.crashes.insert(key, Crash { seen, at });
            }
        }
    }

    /// Judges a request of the gateway on the entry VM `me`.
    pub fn verdict(&self, now: Time, view: &View, me: &EntryId, print: u64) -> Verdict {
        if self.crashes.is_empty() {
            return Verdict::Clear;
        }
        let since = self.cleared.get(&print).copied().unwrap_or(Time::ZERO);
        let mine = |c: &&Crash| c.seen.print == print && c.at >= since && is_down(view, now, c);
        let crashes: Vec<&Crash> = self.crashes.values().filter(mine).collect();
        let Some(last) = crashes.iter().map(|c| c.at).max() else {
            return Verdict::Clear;
        };
        if crashes.iter().any(|c| c.seen.alone) || are_separate(view, &crashes) {
            return Verdict::Refused(last + SUSPECT_LIFE);
        }
        let origin = crashes.iter().map(|c| &c.seen.origin).min();
        if origin != Some(me) && now.since(last) < TRIAL_WINDOW {
            return Verdict::TrialElsewhere;
        }
        Verdict::Suspect(last + TRIAL_DELAY)
    }

    /// Returns the VMs on which the suspects of `origin` run: the same in each gateway.
    pub fn trial_vms<'a>(origin: &EntryId, all: &'a [VmId]) -> Vec<&'a VmId> {
        let mut vms: Vec<&VmId> = all.iter().collect();
        keep_best(&mut vms, b"trial", (all.len() / TRIAL_PART).max(1));
        keep_best(&mut vms, origin.as_str().as_bytes(), TRIAL_VMS);
        vms
    }

    /// Returns whether any request is under suspicion.
    pub fn has_any(&self) -> bool {
        !self.crashes.is_empty()
    }

    /// Returns the VMs that other requests leave to suspects.
    pub fn trial_vms_in_use(&self, now: Time, all: &[VmId]) -> BTreeSet<VmId> {
        let open = |c: &&Crash| now.since(c.at) < TRIAL_WINDOW && !self.is_cleared(c);
        let crashes = self.crashes.values().filter(open);
        let origins: BTreeSet<&EntryId> = crashes.map(|c| &c.seen.origin).collect();
        let tried = origins.into_iter().flat_map(|o| Self::trial_vms(o, all));
        tried.cloned().collect()
    }

    fn is_cleared(&self, crash: &Crash) -> bool {
        let cleared = self.cleared.get(&crash.seen.print);
        cleared.is_some_and(|at| *at >= crash.at)
    }

    fn expire(&mut self, now: Time) {
        self.crashes.retain(|_, c| now.since(c.at) < SUSPECT_LIFE);
        self.cleared.retain(|_, at| now.since(*at) < SUSPECT_LIFE);
    }
}

fn keep_best(vms: &mut Vec<&VmId>, key: &[u8], count: usize) {
    vms.sort_by_key(|vm| Reverse(rendezvous::score(key, vm.as_str().as_bytes())));
    vms.truncate(count);
}

/// Returns whether the endpoint really went down, or may have: its probers have not been heard yet.
fn is_down(view: &View, now: Time, crash: &Crash) -> bool {
    let Some(status) = view.vms.get(&crash.seen.vm) else {
        return true;
    };
    let heard = now - Duration::from_millis(status.silent_ms);
    let same = status.run == crash.seen.run && status.health == Health::Live;
    !(same && heard > crash.at + TRIAL_DELAY / 2)
}

/// Returns whether two crashes have no common cause, such as the loss of a failure domain.
fn are_separate(view: &View, crashes: &[&Crash]) -> bool {
    let domain = |c: &Crash| view.vms.get(&c.seen.vm).map(|s| s.listing.domain.clone());
    crashes.iter().enumerate().any(|(i, a)| {
        crashes[i + 1..].iter().any(|b| {
            let apart = a.at.since(b.at).max(b.at.since(a.at)) >= COMMON_CAUSE;
            apart || domain(a) != domain(b)
        })
    })
}
