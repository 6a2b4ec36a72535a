//! An entry VM's copy of a store topic, from which other entry VMs read instead of calling the
//! store.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Recent records kept in addition to the newest record of each key. A reader that is further
/// behind gets a snapshot.
const MAX_RECENT_RECORDS: usize = 4_096;

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
    /// Records after the reader's offset, oldest first, or the newest record of each key.
    pub entries: Vec<Entry>,
    /// Offset at which the next read starts.
    pub next: u64,
    /// Whether the batch holds the newest record of every key rather than only the records after
    /// the reader's offset.
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
    next: Option<u64>,
}

impl Cache {
    /// Returns the offset at which the next read of the topic starts, or `None` if nothing was read
    /// yet.
    pub fn next(&self) -> Option<u64> {
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

    /// Returns the records that a reader at offset `from` does not have yet; `None` if it is up to
    /// date or nothing was read yet.
    pub fn batch_after(&self, from: Option<u64>, store_down: bool) -> Option<Batch> {
        let next = self.next?;
        let first_recent = next - self.recent.len() as u64;
        match from {
            Some(from) if from >= next => None,
            Some(from) if from >= first_recent => Some(Batch {
                entries: self
                    .recent
                    .range((from - first_recent) as usize..)
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
