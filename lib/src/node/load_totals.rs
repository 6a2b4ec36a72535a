//! Adds up the load that entry VMs have on endpoints, zone by zone.
//!
//! To balance well, each entry VM needs the load of all others, but sending it to each of them
//! costs messages quadratic in their number. Instead, every VM reports to one VM of its zone, the
//! zone's representative. This one sends the zone's total to the representatives of the other
//! zones, and to each VM of its own zone the total of all VMs but the receiver.

use std::collections::BTreeMap;
use std::time::Duration;

use super::peers::EndpointLoad;
use crate::time::Time;

/// Time after which a report or total no longer counts; covers a few lost messages.
const MAX_AGE: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct ReceivedLoads {
    received: Time,
    loads: Vec<EndpointLoad>,
}

/// Loads received by the representative of a zone.
#[derive(Debug, Default)]
pub struct LoadTotals {
    /// Reports by entry VM of this zone.
    vm_loads: BTreeMap<String, ReceivedLoads>,
    /// Totals by other zone.
    zone_loads: BTreeMap<String, ReceivedLoads>,
}

impl LoadTotals {
    /// Sets the load of an entry VM of this zone.
    pub fn set_vm_load(&mut self, now: Time, node: String, loads: Vec<EndpointLoad>) {
        self.vm_loads.insert(
            node,
            ReceivedLoads {
                received: now,
                loads,
            },
        );
    }

    /// Sets the total of another zone.
    pub fn set_zone_load(&mut self, now: Time, zone: String, loads: Vec<EndpointLoad>) {
        self.zone_loads.insert(
            zone,
            ReceivedLoads {
                received: now,
                loads,
            },
        );
    }

    /// Removes loads that are too old, and returns the entry VMs of this zone that still report.
    pub fn reporters(&mut self, now: Time) -> Vec<String> {
        let fresh = |received: &ReceivedLoads| now.since(received.received) < MAX_AGE;
        self.vm_loads.retain(|_, received| fresh(received));
        self.zone_loads.retain(|_, received| fresh(received));
        self.vm_loads.keys().cloned().collect()
    }

    /// Returns the total of this zone, including this VM's own load.
    pub fn zone_total(&self, now: Time, own: &[EndpointLoad]) -> Vec<EndpointLoad> {
        let vm_loads = self
            .vm_loads
            .values()
            .map(|received| (received.received, &*received.loads));
        add_up(now, vm_loads.chain([(now, own)]))
    }

    /// Returns the total of all entry VMs except `node`, or except this VM if `node` is `None`;
    /// `own` is this VM's load.
    pub fn total_except(
        &self,
        now: Time,
        node: Option<&str>,
        own: &[EndpointLoad],
    ) -> Vec<EndpointLoad> {
        let other_vms = self
            .vm_loads
            .iter()
            .filter(|(n, _)| Some(n.as_str()) != node);
        let zone_loads = self
            .zone_loads
            .values()
            .chain(other_vms.map(|(_, received)| received));
        let own = node.map(|_| (now, own));
        add_up(
            now,
            zone_loads
                .map(|received| (received.received, &*received.loads))
                .chain(own),
        )
    }
}

/// Adds up loads by endpoint. The age of a report is added to the time since the endpoint made
/// progress.
fn add_up<'a>(
    now: Time,
    received_loads: impl Iterator<Item = (Time, &'a [EndpointLoad])>,
) -> Vec<EndpointLoad> {
    let mut totals: BTreeMap<&str, EndpointLoad> = BTreeMap::new();
    for (received, loads) in received_loads {
        let age = now.since(received).as_millis().min(u128::from(u16::MAX)) as u16;
        for load in loads {
            let since_progress_ms = load.since_progress_ms.saturating_add(age);
            let total = totals
                .entry(&load.endpoint)
                .or_insert_with(|| EndpointLoad {
                    endpoint: load.endpoint.clone(),
                    requests: 0,
                    pending_prompt_tokens: 0,
                    since_progress_ms,
                });
            total.requests = total.requests.saturating_add(load.requests);
            total.pending_prompt_tokens = total
                .pending_prompt_tokens
                .saturating_add(load.pending_prompt_tokens);
            total.since_progress_ms = total.since_progress_ms.min(since_progress_ms);
        }
    }
    totals.into_values().collect()
}
