//! Keeps which zones the operators have evacuated, as the records of the configuration's topic say.

use std::net::SocketAddr;

use hemlock_lib::node::cache::{Entry, Position, Update};
use hemlock_lib::node::evacuation::Change;
use hemlock_platform::evacuations;
use hemlock_platform::store::Topic;

use crate::metrics::Counter;
use crate::state::Node;

/// Odd keys that are remembered, so that each is logged once.
const MAX_ODD_KEYS: usize = 64;

/// Applies the records of a read up to the position `next`. `from` is the peer that sent them;
/// `None` is the store.
pub(crate) fn apply(
    node: &Node,
    next: Position,
    update: Update,
    entries: &[Entry],
    from: Option<SocketAddr>,
) {
    let mut records = Vec::new();
    for entry in entries {
        let decoded = evacuations::decode(&entry.key, entry.value.as_ref());
        let Some((record, oddity)) = decoded else {
            continue;
        };
        if let Some(oddity) = oddity {
            log_odd(node, &entry.key, &oddity);
        }
        records.extend(record);
    }
    let mut kept = node.evacuations.borrow_mut();
    let changes = kept.apply(node.now(), next, update, records);
    if changes.is_empty() {
        return;
    }
    let (zones, count) = (kept.zones(), kept.count());
    let feed = node.feed(Topic::Config);
    for (zone, change) in &changes {
        let listed = node.endpoints.borrow();
        let endpoints = listed.iter().filter(|e| e.zone == *zone).count();
        log::warn!(
            "event=evacuation zone={zone} change={} from={from:?} next={} era={} \
             endpoints={endpoints} zones={count}",
            change.label(),
            next.offset,
            next.era
        );
        node.metrics
            .count(Counter::EvacuationChanges, change.label());
        // Peers that read through this VM get what holds rather than what the store came back with.
        if let Change::Kept | Change::Ignored = change {
            let entry = evacuations::entry(zone, kept.value(zone).cloned());
            feed.cache.borrow_mut().keep(&entry);
        }
    }
    drop(kept);
    node.set_evacuated(&zones);
}

/// Logs an odd record, unless it was logged before.
fn log_odd(node: &Node, key: &str, cause: &dyn std::fmt::Display) {
    let mut known = node.odd_evacuations.borrow_mut();
    if known.len() < MAX_ODD_KEYS && known.insert(key.to_owned()) {
        log::warn!("event=evacuation_odd key={key:?} cause=\"{cause}\"");
    }
}

/// Logs each evacuated zone once of which no endpoint is listed.
pub(crate) fn log_empty(node: &Node) {
    if !node.endpoints_listed.get() {
        return;
    }
    let endpoints = node.endpoints.borrow();
    let has_endpoints = |zone: &str| endpoints.iter().any(|e| &*e.zone == zone);
    for zone in node.evacuations.borrow_mut().newly_empty(has_endpoints) {
        log::warn!(
            "event=evacuation_empty zone={zone} cause=\"no endpoint of the zone is listed\""
        );
    }
}
