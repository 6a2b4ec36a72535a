//! Adds up the load that entry VMs have placed, zone by zone.
//!
//! Answers load from many entry VMs at once: each would choose by what it heard of all the others, and
//! telling each other costs the square of their number. Every VM reports to one VM of its zone, which
//! tells the sum to those of the other zones, and to each of its own what all but itself have placed.

use std::collections::BTreeMap;
use std::time::Duration;

use super::peers::EndpointLoad;
use crate::time::Time;

/// Time after which a report or a sum is no longer counted: a few of the times between two.
const FRESH: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct Part {
    heard: Time,
    placed: Vec<EndpointLoad>,
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
    pub fn set_vm_load(&mut self, now: Time, node: String, placed: Vec<EndpointLoad>) {
        self.reports.insert(node, Part { heard: now, placed });
    }

    /// Takes the sum of another zone.
    pub fn set_zone_load(&mut self, now: Time, zone: String, placed: Vec<EndpointLoad>) {
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
    pub fn zone_total(&self, now: Time, own: &[EndpointLoad]) -> Vec<EndpointLoad> {
        let reports = self.reports.values().map(|p| (p.heard, &*p.placed));
        add_up(now, reports.chain([(now, own)]))
    }

    /// Returns what all entry VMs but one have placed; `own` is what this one has, unless it asks.
    pub fn total_except(
        &self,
        now: Time,
        node: Option<&str>,
        own: &[EndpointLoad],
    ) -> Vec<EndpointLoad> {
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
fn add_up<'a>(
    now: Time,
    parts: impl Iterator<Item = (Time, &'a [EndpointLoad])>,
) -> Vec<EndpointLoad> {
    let mut sums: BTreeMap<&str, EndpointLoad> = BTreeMap::new();
    for (heard, placed) in parts {
        let age = now.since(heard).as_millis().min(u128::from(u16::MAX)) as u16;
        for p in placed {
            let since_progress_ms = p.since_progress_ms.saturating_add(age);
            let sum = sums.entry(&p.endpoint).or_insert_with(|| EndpointLoad {
                endpoint: p.endpoint.clone(),
                requests: 0,
                pending_prompt_tokens: 0,
                since_progress_ms,
            });
            sum.requests = sum.requests.saturating_add(p.requests);
            sum.pending_prompt_tokens = sum
                .pending_prompt_tokens
                .saturating_add(p.pending_prompt_tokens);
            sum.since_progress_ms = sum.since_progress_ms.min(since_progress_ms);
        }
    }
    sums.into_values().collect()
}
