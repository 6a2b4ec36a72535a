//! The platform's store: the list of engines with its log of changes, and the planner's lease.

use std::collections::BTreeMap;
use std::sync::Arc;

use hemlock_lib::node::endpoints::Endpoint;
use hemlock_lib::node::lease::Grant;

use super::{ENTRY_LIFETIME, LEASE};

/// A change of the list of engines.
#[derive(Debug)]
pub(super) enum Record {
    Entry(Box<Endpoint>),
    Removed,
    /// Another writer has put what can't be read in place of an entry.
    Odd,
}

/// The platform's store: the list of engines with its log of changes, and the planner's lease.
#[derive(Debug, Default)]
pub(super) struct Store {
    pub(super) entries: BTreeMap<Arc<str>, (Endpoint, u64)>,
    pub(super) log: Vec<(Arc<str>, Record)>,
    pub(super) down_since: u64,
    pub(super) down_until: u64,
    pub(super) generation: u64,
    /// VMs that ask for the lease, with the times of their last requests.
    pub(super) candidates: BTreeMap<usize, u64>,
    pub(super) holder: Option<usize>,
}

impl Store {
    pub(super) fn fail(&mut self, now: u64, span: u64) {
        if self.down_until <= now {
            (self.down_since, self.down_until) = (now, now + span);
        }
    }

    pub(super) fn write(&mut self, now: u64, entry: Endpoint) {
        let known = self.entries.get(&entry.id).map(|(e, _)| e);
        let same = known.is_some_and(|known| {
            let numbered = Endpoint {
                sequence: known.sequence,
                ..entry.clone()
            };
            numbered == *known
        });
        if !same {
            self.log
                .push((entry.id.clone(), Record::Entry(Box::new(entry.clone()))));
        }
        self.entries.insert(entry.id.clone(), (entry, now));
    }

    /// Has another writer replace an entry by something that can't be read. The next heartbeat of the engine
    /// adds a record, since it differs from that.
    pub(super) fn spoil(&mut self, id: &Arc<str>) {
        if self.entries.remove(id).is_some() {
            self.log.push((id.clone(), Record::Odd));
        }
    }

    pub(super) fn remove_silent(&mut self, now: u64) {
        let silent = |(_, at): &(Endpoint, u64)| now >= at + ENTRY_LIFETIME;
        let entries = self.entries.iter().filter(|(_, held)| silent(held));
        let ids: Vec<Arc<str>> = entries.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.entries.remove(&id);
            self.log.push((id, Record::Removed));
        }
    }

    /// Answers a request for the lease, after those who were silent for too long have lost it.
    pub(super) fn grant(&mut self, now: u64, vm: usize) -> Grant {
        let before = self.candidates.len();
        self.candidates.retain(|_, at| now - *at < LEASE);
        let has_lost = self.candidates.len() < before;
        let is_new = self.candidates.insert(vm, now).is_none();
        self.generation += u64::from(has_lost) + u64::from(is_new);
        self.deal();
        Grant {
            era: 0,
            generation: self.generation,
            is_held: self.holder == Some(vm),
        }
    }

    pub(super) fn leave(&mut self, vm: usize) {
        if self.candidates.remove(&vm).is_some() {
            self.generation += 1;
        }
        self.deal();
    }

    pub(super) fn deal(&mut self) {
        let candidates = &self.candidates;
        if self.holder.is_none_or(|h| !candidates.contains_key(&h)) {
            self.holder = candidates.keys().next().copied();
        }
    }
}
