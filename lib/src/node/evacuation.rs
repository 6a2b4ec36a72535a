//! Which zones the operators have evacuated: nothing new is sent to endpoints there.
//!
//! An evacuation holds until its record is removed. The records have no versions, so that a store
//! which comes back from an older copy may lack the record of an evacuation that holds, or list one
//! that was removed. What this VM has read before is newer than such a copy, and goes first until
//! the operators write again.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::cache::{Position, Update};
use crate::time::Time;

/// Time after a return of the store from an older copy for which the copy's records count less than
/// what was read before. Operators need it to write again what the store has lost.
const RESTORE_TIME: Duration = Duration::from_secs(30);
/// Time for which an evacuation that has ended is remembered. An older copy of the store may list it
/// again.
const ENDED_RETENTION: Duration = Duration::from_secs(30);

/// The record of a zone that was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneRecord {
    /// Name of the zone.
    pub zone: Arc<str>,
    /// Value of the record; `None` removes it.
    pub value: Option<Bytes>,
}

/// Kind of a change of a zone's evacuation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The zone is evacuated from now on.
    Begun,
    /// The evacuation has ended.
    Ended,
    /// The evacuation goes on, though the older copy from which the store came back lacks its record.
    Kept,
    /// The evacuation stays ended, though the older copy from which the store came back lists it.
    Ignored,
}

impl Change {
    /// Returns the name of the change in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Begun => "begun",
            Self::Ended => "ended",
            Self::Kept => "kept",
            Self::Ignored => "ignored",
        }
    }
}

/// An evacuation that holds.
#[derive(Debug)]
struct Evacuation {
    /// Value of the zone's record.
    value: Bytes,
    /// When the record was last read.
    read_at: Time,
    /// Whether it is known that endpoints of the zone are listed, or that there are none.
    is_checked: bool,
}

/// The zones that the operators have evacuated.
#[derive(Debug, Default)]
pub struct Evacuations {
    standing: BTreeMap<Arc<str>, Evacuation>,
    /// Zones whose evacuation has ended, and when.
    ended: BTreeMap<Arc<str>, Time>,
    /// Position up to which the records are known.
    position: Position,
    /// When the store came back from an older copy.
    restored_at: Option<Time>,
}

impl Evacuations {
    /// Returns the evacuated zones.
    pub fn zones(&self) -> BTreeSet<Arc<str>> {
        self.standing.keys().cloned().collect()
    }

    /// Returns the number of evacuated zones.
    pub fn count(&self) -> usize {
        self.standing.len()
    }

    /// Applies the zones' records of a read up to the position `next`, and returns what has changed.
    /// A read that ends before an earlier one, from another source, changes nothing.
    pub fn apply(
        &mut self,
        now: Time,
        next: Position,
        update: Update,
        records: Vec<ZoneRecord>,
    ) -> Vec<(Arc<str>, Change)> {
        if next < self.position {
            return Vec::new();
        }
        self.position = next;
        self.ended.retain(|_, at| now.since(*at) < ENDED_RETENTION);
        match update {
            Update::Changes => self.apply_changes(now, records),
            Update::Snapshot => self.replace(now, records),
            Update::Restored => {
                self.restored_at = Some(now);
                self.replace(now, records)
            }
        }
    }

    fn apply_changes(&mut self, now: Time, records: Vec<ZoneRecord>) -> Vec<(Arc<str>, Change)> {
        let changes = records.into_iter().filter_map(|record| {
            let change = match record.value {
                Some(value) => self.begin(now, &record.zone, value),
                None => self.end(now, &record.zone),
            };
            change.map(|change| (record.zone, change))
        });
        changes.collect()
    }

    /// Replaces the evacuations by all records of the store.
    fn replace(&mut self, now: Time, records: Vec<ZoneRecord>) -> Vec<(Arc<str>, Change)> {
        // What was read since the store came back counts as much as its records.
        let restored_at = self.restored_at.filter(|t| now.since(*t) < RESTORE_TIME);
        let goes_first = |read_at: Time| restored_at.is_some_and(|t| read_at < t);
        let mut changes = Vec::new();
        let mut listed = BTreeSet::new();
        for ZoneRecord { zone, value } in records {
            let Some(value) = value else { continue };
            listed.insert(zone.clone());
            let ended_at = self.ended.get(&zone).copied();
            let change = match ended_at.is_some_and(goes_first) {
                true => Some(Change::Ignored),
                false => self.begin(now, &zone, value),
            };
            changes.extend(change.map(|change| (zone, change)));
        }
        let unlisted = self
            .standing
            .iter()
            .filter(|(zone, _)| !listed.contains(*zone));
        let unlisted: Vec<_> = unlisted
            .map(|(zone, e)| (zone.clone(), e.read_at))
            .collect();
        for (zone, read_at) in unlisted {
            let change = match goes_first(read_at) {
                true => Some(Change::Kept),
                false => self.end(now, &zone),
            };
            changes.extend(change.map(|change| (zone, change)));
        }
        changes
    }

    fn begin(&mut self, now: Time, zone: &Arc<str>, value: Bytes) -> Option<Change> {
        self.ended.remove(zone);
        let is_checked = self.standing.get(zone).map(|e| e.is_checked);
        let evacuation = Evacuation {
            value,
            read_at: now,
            is_checked: is_checked.unwrap_or(false),
        };
        self.standing.insert(zone.clone(), evacuation);
        is_checked.is_none().then_some(Change::Begun)
    }

    fn end(&mut self, now: Time, zone: &Arc<str>) -> Option<Change> {
        self.standing.remove(zone)?;
        self.ended.insert(zone.clone(), now);
        Some(Change::Ended)
    }

    /// Returns the value of the record of an evacuated zone.
    pub fn value(&self, zone: &str) -> Option<&Bytes> {
        self.standing.get(zone).map(|e| &e.value)
    }

    /// Returns the evacuated zones that are found to have no endpoints, each once. `has_endpoints` tells
    /// whether an endpoint of the zone is listed.
    pub fn newly_empty(&mut self, has_endpoints: impl Fn(&str) -> bool) -> Vec<Arc<str>> {
        let unchecked = self.standing.iter_mut().filter(|(_, e)| !e.is_checked);
        let empty = unchecked.filter_map(|(zone, evacuation)| {
            evacuation.is_checked = true;
            (!has_endpoints(zone)).then(|| zone.clone())
        });
        empty.collect()
    }
}
