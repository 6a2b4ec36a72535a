//! An entry VM's copy of a store topic, from which other entry VMs read instead of calling the
//! store.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Recent records kept in addition to the newest record of each key. A reader that is further
/// behind gets a snapshot.
const MAX_RECENT_RECORDS: usize = 4_096;

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
    /// Records after the reader's position, oldest first, or the newest record of each key.
    pub entries: Vec<Entry>,
    /// Position at which the next read starts.
    pub next: Position,
    /// Whether the batch holds the newest record of every key rather than only the records after
    /// the reader's position.
    #[serde(rename = "whole")]
    pub is_snapshot: bool,
    /// Whether the store does not answer the VM that sent the batch.
    #[serde(rename = "away")]
    pub store_down: bool,
}

/// A copy of one topic.
#[derive(Debug, Default)]
pub struct Cache {
    newest: BTreeMap<String, Bytes>,
    recent: VecDeque<Entry>,
    next: Option<Position>,
}

impl Cache {
    /// Returns the position at which the next read of the topic starts, or `None` if nothing was read
    /// yet.
    pub fn next(&self) -> Option<Position> {
        self.next
    }

    /// Applies records that were read from the store or a peer.
    pub fn apply(&mut self, batch: &Batch) {
        if batch.is_snapshot {
            self.newest.clear();
            self.recent.clear();
        }
        for entry in &batch.entries {
            match &entry.value {
                Some(value) => self.newest.insert(entry.key.clone(), value.clone()),
                None => self.newest.remove(&entry.key),
            };
            if !batch.is_snapshot {
                self.recent.push_back(entry.clone());
            }
        }
        while self.recent.len() > MAX_RECENT_RECORDS {
            self.recent.pop_front();
        }
        self.next = Some(batch.next);
    }

    /// Puts the newest record of a key in place of an older one, which the store came back with.
    /// Snapshots contain it; readers that are up to date don't get it.
    pub fn keep(&mut self, entry: &Entry) {
        if let Some(value) = &entry.value {
            self.newest.insert(entry.key.clone(), value.clone());
        }
    }

    /// Returns the records that a reader at the position `from` does not have yet; `None` if it is
    /// up to date or nothing was read yet. A reader of an older era gets a snapshot.
    pub fn batch_after(&self, from: Option<Position>, store_down: bool) -> Option<Batch> {
        let next = self.next?;
        let first_recent = next.offset - self.recent.len() as u64;
        match from {
            Some(from) if from >= next => None,
            Some(from) if from.era == next.era && from.offset >= first_recent => Some(Batch {
                entries: self
                    .recent
                    .range((from.offset - first_recent) as usize..)
                    .cloned()
                    .collect(),
                next,
                is_snapshot: false,
                store_down,
            }),
            _ => {
                let entry = |(key, value): (&String, &Bytes)| Entry {
                    key: key.clone(),
                    value: Some(value.clone()),
                };
                Some(Batch {
                    entries: self.newest.iter().map(entry).collect(),
                    next,
                    is_snapshot: true,
                    store_down,
                })
            }
        }
    }
}
