//! An entry VM's copy of a store topic, from which other entry VMs read instead of calling the
//! store.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Deleted keys that are remembered for readers that are behind. One that may have missed more gets a
/// snapshot.
const MAX_DELETED_KEYS: usize = 4_096;

/// Number of low bits of an encoded position that hold the offset.
const OFFSET_BITS: u32 = 40;

/// Position in a topic of the store. Positions are ordered by era, and then by offset.
///
/// A position is encoded as one number, so that those of the first era are plain offsets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "u64", into = "u64")]
pub struct Position {
    /// Number of times that the store came back from an older copy. Each time it lost its last
    /// records and assigned their offsets again, so offsets of different eras don't compare.
    pub era: u64,
    /// Offset of the next record within the era.
    pub offset: u64,
}

impl From<u64> for Position {
    fn from(encoded: u64) -> Self {
        Self {
            era: encoded >> OFFSET_BITS,
            offset: encoded & ((1 << OFFSET_BITS) - 1),
        }
    }
}

impl From<Position> for u64 {
    fn from(position: Position) -> Self {
        (position.era << OFFSET_BITS) + position.offset
    }
}

/// One record of a keyed topic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Key of the record.
    pub key: String,
    /// Value of the record; `None` deletes the key.
    pub value: Option<Bytes>,
}

/// Records sent to a reader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The newest record of each key that changed after the reader's position, oldest first, or that
    /// of every key.
    pub entries: Vec<Entry>,
    /// Position at which the next read starts.
    pub next: Position,
    /// Whether the batch holds the newest record of every key rather than only of those that changed
    /// after the reader's position.
    #[serde(rename = "whole")]
    pub is_snapshot: bool,
    /// Whether the store does not answer the VM that sent the batch.
    #[serde(rename = "away")]
    pub store_down: bool,
}

/// How records that were read relate to what was read before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Update {
    /// The records follow what was read.
    Changes,
    /// The records are the whole topic.
    Snapshot,
    /// The records are the whole topic of a store that came back from an older copy since.
    Restored,
}

/// The newest record of a key.
#[derive(Debug)]
struct Newest {
    /// Value of the record; `None` if it deleted the key.
    value: Option<Bytes>,
    /// Upper bound on the record's offset.
    offset: u64,
    /// Number of the record in the order of arrival.
    arrival: u64,
}

/// The part of a topic that a reader lacks. Readers that lack the same part get the same records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Missing {
    revision: u64,
    /// Arrival of the oldest record that the reader lacks; `None` if it gets a snapshot.
    first: Option<u64>,
}

impl Missing {
    /// Returns whether no change of the topic lies between the two.
    pub fn is_as_recent_as(&self, other: &Self) -> bool {
        self.revision == other.revision
    }
}

/// A copy of one topic, compacted: only the newest record of each key is kept, however many were
/// read.
#[derive(Debug, Default)]
pub struct Cache {
    records: BTreeMap<String, Newest>,
    next: Option<Position>,
    /// Offset from which on all changes are known.
    complete_from: u64,
    /// Number of keys of `records` that are deleted.
    deleted: usize,
    arrivals: u64,
    /// Number of changes of this copy.
    revision: u64,
}

impl Cache {
    /// Returns the position at which the next read of the topic starts, or `None` if nothing was read
    /// yet.
    pub fn next(&self) -> Option<Position> {
        self.next
    }

    /// Applies records that were read from the store or a peer.
    pub fn apply(&mut self, batch: &Batch) {
        self.revision += 1;
        if batch.is_snapshot {
            self.records.clear();
            self.deleted = 0;
            self.complete_from = batch.next.offset;
        }
        let before = self.next.map_or(0, |p| p.offset);
        let last = batch.next.offset.saturating_sub(1);
        // The records of a peer's batch may have gaps between their offsets.
        let has_all =
            !batch.is_snapshot && before + batch.entries.len() as u64 == batch.next.offset;
        for (i, entry) in batch.entries.iter().enumerate() {
            let offset = if has_all { before + i as u64 } else { last };
            self.insert(entry, offset);
        }
        if self.deleted > MAX_DELETED_KEYS {
            self.forget_deleted();
        }
        self.next = Some(batch.next);
    }

    fn insert(&mut self, entry: &Entry, offset: u64) {
        self.arrivals += 1;
        let newest = Newest {
            value: entry.value.clone(),
            offset,
            arrival: self.arrivals,
        };
        let old = self.records.insert(entry.key.clone(), newest);
        self.deleted += usize::from(entry.value.is_none());
        self.deleted -= usize::from(old.is_some_and(|old| old.value.is_none()));
    }

    /// Forgets all deleted keys. Readers that may have missed one get a snapshot.
    fn forget_deleted(&mut self) {
        for newest in self.records.values().filter(|r| r.value.is_none()) {
            self.complete_from = self.complete_from.max(newest.offset + 1);
        }
        self.records.retain(|_, newest| newest.value.is_some());
        self.deleted = 0;
    }

    /// Puts the newest record of a key, or its deletion, in place of an older one, which the store came
    /// back with. Snapshots contain it; readers that are up to date don't get it.
    pub fn keep(&mut self, entry: &Entry) {
        self.revision += 1;
        match self.records.get_mut(&entry.key) {
            Some(newest) => {
                self.deleted -= usize::from(newest.value.is_none());
                self.deleted += usize::from(entry.value.is_none());
                newest.value.clone_from(&entry.value);
            }
            None if entry.value.is_some() => self.insert(entry, 0),
            None => {}
        }
    }

    /// Returns the part that a reader at the position `from` lacks; `None` if it is up to date or nothing was
    /// read yet. A reader of an older era lacks everything.
    pub fn missing(&self, from: Option<Position>) -> Option<Missing> {
        let next = self.next?;
        let first = match from {
            Some(from) if from >= next => return None,
            Some(from) if from.era == next.era && from.offset >= self.complete_from => {
                let newer = self.records.values().filter(|r| r.offset >= from.offset);
                // Without any, the records since were none of a key.
                Some(newer.map(|r| r.arrival).min().unwrap_or(u64::MAX))
            }
            _ => None,
        };
        Some(Missing {
            revision: self.revision,
            first,
        })
    }

    /// Returns the records that [`Cache::missing`] stands for: the newest of each key that has changed
    /// since, oldest first.
    pub fn batch(&self, missing: Missing, store_down: bool) -> Batch {
        let is_missing = |newest: &Newest| match missing.first {
            Some(first) => newest.arrival >= first,
            None => newest.value.is_some(),
        };
        let mut records: Vec<_> = self.records.iter().filter(|r| is_missing(r.1)).collect();
        records.sort_by_key(|(_, newest)| newest.arrival);
        let entry = |(key, newest): (&String, &Newest)| Entry {
            key: key.clone(),
            value: newest.value.clone(),
        };
        Batch {
            entries: records.into_iter().map(entry).collect(),
            next: self.next.unwrap_or_default(),
            is_snapshot: missing.first.is_none(),
            store_down,
        }
    }

    /// Returns the records that a reader at the position `from` does not have yet; `None` if it is
    /// up to date or nothing was read yet.
    pub fn batch_after(&self, from: Option<Position>, store_down: bool) -> Option<Batch> {
        let missing = self.missing(from)?;
        Some(self.batch(missing, store_down))
    }
}
