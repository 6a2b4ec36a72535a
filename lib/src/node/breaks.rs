//! Groups of engines that break off requests before they send a byte.
//!
//! Such a group has no load, so that its expected times are the shortest, and it would draw the
//! requests of all entry VMs. One VM sends each group only a few requests a second, so the VMs tell
//! each other. While all avoid a group, requests beyond the capacity of the others are refused, so that
//! their callers may come back; they would be broken off at the group. A group that breaks off only what is beyond its limits works off its
//! queue meanwhile.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Time;

/// Time for which this VM avoids a group after one request was broken off, which may have other
/// reasons.
const FIRST_AVOID_TIME: Duration = Duration::from_millis(250);
/// Requests in a row that a group breaks off before all VMs avoid it.
const MAX_BREAKS: u32 = 2;
/// Time for which all VMs avoid it, which doubles each time that it breaks off the first requests after
/// that.
const AVOID_TIME: Duration = Duration::from_secs(1);
/// Upper bound on these doublings.
const MAX_DOUBLINGS: u32 = 2;

/// Tells that a group breaks off requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BreakReport {
    /// Identifier of the group's head.
    pub endpoint: String,
    /// Start time of the head in Unix milliseconds.
    pub started_ms: u64,
    /// Milliseconds for which it is still to be avoided.
    pub left_ms: u32,
}

#[derive(Debug, Clone, Copy)]
struct Break {
    started_ms: u64,
    /// Requests in a row that were broken off here.
    in_row: u32,
    /// Times that others were told since it last answered.
    told: u32,
    avoided_until: Time,
    /// Until when others are told.
    told_until: Time,
}

/// The groups that broke off requests lately, here and at other entry VMs.
#[derive(Debug, Default)]
pub struct Breaks {
    groups: BTreeMap<Arc<str>, Break>,
}

impl Breaks {
    fn entry(&mut self, id: &Arc<str>, started_ms: u64) -> &mut Break {
        let new = Break {
            started_ms,
            in_row: 0,
            told: 0,
            avoided_until: Time::ZERO,
            told_until: Time::ZERO,
        };
        let entry = self.groups.entry(id.clone()).or_insert(new);
        if entry.started_ms != started_ms {
            *entry = new;
        }
        entry
    }

    /// Records that a group broke off a request on a new connection before it sent a byte. Returns
    /// whether other VMs are to be told.
    pub fn record_break(&mut self, now: Time, id: &Arc<str>, started_ms: u64) -> bool {
        let group = self.entry(id, started_ms);
        group.in_row += 1;
        if group.in_row < MAX_BREAKS {
            group.avoided_until = group.avoided_until.max(now + FIRST_AVOID_TIME);
            return false;
        }
        // Requests that were on their way when others were told say nothing new.
        if now < group.told_until {
            return false;
        }
        let time = AVOID_TIME * 2_u32.pow(group.told.min(MAX_DOUBLINGS));
        group.told += 1;
        group.told_until = now + time;
        group.avoided_until = group.avoided_until.max(group.told_until);
        true
    }

    /// Records that a group has begun to answer a request, which ends what this VM holds against it.
    pub fn record_answer(&mut self, id: &str) {
        self.groups.remove(id);
    }

    /// Records what another VM has told.
    pub fn record_report(&mut self, now: Time, id: &Arc<str>, report: &BreakReport) {
        let left = Duration::from_millis(u64::from(report.left_ms));
        let group = self.entry(id, report.started_ms);
        group.avoided_until = group.avoided_until.max(now + left);
    }

    /// Returns what to tell other VMs, with each heartbeat, as datagrams may be lost.
    pub fn reports(&self, now: Time) -> Vec<BreakReport> {
        let told = self.groups.iter().filter(|(_, g)| now < g.told_until);
        let report = |(id, group): (&Arc<str>, &Break)| BreakReport {
            endpoint: id.to_string(),
            started_ms: group.started_ms,
            left_ms: group.told_until.since(now).as_millis() as u32,
        };
        told.map(report).collect()
    }

    /// Returns whether a group is avoided.
    pub fn is_avoided(&self, now: Time, id: &str, started_ms: u64) -> bool {
        let group = self.groups.get(id);
        group.is_some_and(|g| g.started_ms == started_ms && now < g.avoided_until)
    }

    /// Forgets groups whose heads are not listed.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.groups.retain(|id, _| is_listed(id));
    }
}
