//! Changes of the list of endpoints in the log, and starts that engines name themselves.

use std::sync::Arc;

use hemlock_lib::node::endpoints::{Change, Endpoint, EntryVersion};

use crate::metrics::Counter;
use crate::state::Node;

impl Node {
    /// Logs a change of the list of endpoints.
    pub(crate) fn log_endpoint_change(&self, id: &str, change: Change) {
        let endpoints = self.endpoints.borrow();
        let version = endpoints.version();
        let name = match change {
            Change::None => return,
            Change::Outdated(entry) => return self.log_ignored_entry(id, entry, "outdated"),
            Change::Unconfirmed(entry) => {
                return self.log_ignored_entry(id, entry, "unconfirmed");
            }
            Change::Listed => "listed",
            Change::Draining => "draining",
            Change::Membership => "seat",
            Change::Gone => "gone",
            Change::Lapsed => "lapsed",
        };
        let Some(endpoint) = endpoints.get(id) else {
            return log::info!("event=endpoint change={name} id={id} list={version}");
        };
        let (start, sequence) = (endpoint.started_ms, endpoint.sequence);
        match &endpoint.membership {
            Some(s) => log::info!(
                "event=endpoint change={name} id={id} group={} epoch={} rank={} state={:?} start={start} \
                 sequence={sequence} list={version}",
                s.group,
                s.epoch,
                s.rank,
                s.state
            ),
            None => log::info!(
                "event=endpoint change={name} id={id} start={start} sequence={sequence} list={version}"
            ),
        }
    }

    /// Logs and counts an entry that was not applied.
    fn log_ignored_entry(&self, id: &str, entry: EntryVersion, cause: &'static str) {
        self.metrics.count(Counter::EntriesIgnored, cause);
        let endpoints = self.endpoints.borrow();
        let known = endpoints.get(id).map(Endpoint::entry_version);
        log::warn!(
            "event=entry_ignored id={id} cause={cause} start={} sequence={} known_start={} known_sequence={}",
            entry.started_ms,
            entry.sequence,
            known.map_or(0, |v| v.started_ms),
            known.map_or(0, |v| v.sequence)
        );
    }

    /// Uses an engine's own word for the start that its entry is of.
    pub(crate) fn note_start(&self, id: &Arc<str>, started_ms: u64) {
        let change = self.endpoints.borrow_mut().confirm(id, started_ms);
        if change != Change::None {
            self.log_endpoint_change(id, change);
            self.refresh_candidates();
        }
    }
}
