//! Adds up the load that entry VMs have placed, zone by zone.
//!
//! Answers load from many entry VMs at once: each would choose by what it heard of all the others, and
//! telling each other costs the square of their number. Every VM reports to one VM of its zone, which
//! tells the sum to those of the other zones, and to each of its own what all but itself have placed.

use std::collections::BTreeMap;
use std::time::Duration;

use super::peers::Placed;
use crate::time::Time;

/// Time after which a report or a sum is no longer counted: a few of the times between two.
const FRESH: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct Part {
    heard: Time,
    placed: Vec<Placed>,
}

/// What the VM of a zone that adds up has heard.
#[derive(Debug, Default)]
pub struct LoadTotals {
    /// By entry VM of this zone.
    reports: BTreeMap<String, Part>,
    /// By other zone.
    zones: BTreeMap<String, Part>,
}

impl LoadTotals {
    /// Takes what an entry VM of this zone has placed.
    pub fn set_vm_load(&mut self, now: Time, node: String, placed: Vec<Placed>) {
        self.reports.insert(node, Part { heard: now, placed });
    }

    /// Takes the sum of another zone.
    pub fn set_zone_load(&mut self, now: Time, zone: String, placed: Vec<Placed>) {
        self.zones.insert(zone, Part { heard: now, placed });
    }

    /// Forgets what is too old, and returns the entry VMs of this zone that still report.
    pub fn reporters(&mut self, now: Time) -> Vec<String> {
        let fresh = |p: &Part| now.since(p.heard) < FRESH;
        self.reports.retain(|_, p| fresh(p));
        self.zones.retain(|_, p| fresh(p));
        self.reports.keys().cloned().collect()
    }

    /// Returns the sum of this zone, with what its own VM has placed.
    pub fn zone_total(&self, now: Time, own: &[Placed]) -> Vec<Placed> {
        let reports = self.reports.values().map(|p| (p.heard, &*p.placed));
        add_up(now, reports.chain([(now, own)]))
    }

    /// Returns what all entry VMs but one have placed; `own` is what this one has, unless it asks.
    pub fn total_except(&self, now: Time, node: Option<&str>, own: &[Placed]) -> Vec<Placed> {
        let others = self
            .reports
            .iter()
            .filter(|(n, _)| Some(n.as_str()) != node);
        let zones = self.zones.values().chain(others.map(|(_, p)| p));
        let own = node.map(|_| (now, own));
        add_up(now, zones.map(|p| (p.heard, &*p.placed)).chain(own))
    }
}

/// Adds up placed load by endpoint; the time since it was heard counts as quiet.
fn add_up<'a>(now: Time, parts: impl Iterator<Item = (Time, &'a [Placed])>) -> Vec<Placed> {
    let mut sums: BTreeMap<&str, Placed> = BTreeMap::new();
    for (heard, placed) in parts {
        let age = now.since(heard).as_millis().min(u128::from(u16::MAX)) as u16;
        for p in placed {
            let quiet_ms = p.quiet_ms.saturating_add(age);
            let sum = sums.entry(&p.endpoint).or_insert_with(|| Placed {
                endpoint: p.endpoint.clone(),
                requests: 0,
                unread: 0,
                quiet_ms,
            });
            sum.requests = sum.requests.saturating_add(p.requests);
            sum.unread = sum.unread.saturating_add(p.unread);
            sum.quiet_ms = sum.quiet_ms.min(quiet_ms);
        }
    }
    sums.into_values().collect()
}
