//! A topic of the store as one entry VM keeps it for others, so that most of them need not read the
//! store themselves.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Records kept beside the newest of each key; a reader further behind gets all keys anew.
const KEPT: usize = 4_096;

/// One record of a keyed topic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its key.
    pub key: String,
    /// Its value; `None` ends the key.
    pub value: Option<Bytes>,
}

/// What a reader gets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The records, oldest first.
    pub entries: Vec<Entry>,
    /// Offset from which to read on.
    pub next: u64,
    /// Whether these are the newest records of all keys, not just the new ones.
    #[serde(rename = "whole")]
    pub is_snapshot: bool,
    /// Whether the store does not answer the VM that keeps this.
    #[serde(rename = "away")]
    pub store_down: bool,
}

/// A topic as it is kept.
#[derive(Debug, Default)]
pub struct Cache {
    newest: BTreeMap<String, Bytes>,
    recent: VecDeque<Entry>,
    next: Option<u64>,
}

impl Cache {
    /// Returns the offset from which the topic is read on, if any of it is known.
    pub fn next(&self) -> Option<u64> {
        self.next
    }

    /// Takes what was read.
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
        while self.recent.len() > KEPT {
            self.recent.pop_front();
        }
        self.next = Some(batch.next);
    }

    /// Returns what a reader lacks that has read up to `from`; `None` if it lacks nothing.
    pub fn batch_after(&self, from: Option<u64>, store_down: bool) -> Option<Batch> {
        let next = self.next?;
        let kept = next - self.recent.len() as u64;
        match from {
            Some(from) if from >= next => None,
            Some(from) if from >= kept => Some(Batch {
                entries: self
                    .recent
                    .range((from - kept) as usize..)
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
