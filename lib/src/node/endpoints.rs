//! The endpoints that the platform lists, and the groups that their engines form.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Time;

/// Time after the store's return in which lapsed entries come back (stated by the platform).
const RETURN_TIME: Duration = Duration::from_secs(2);
/// Entries that end at once, and their part of the list, from which they may have lapsed: more than
/// a failure domain holds.
const MANY: usize = 3;
const MANY_PART: usize = 4;
/// Part of the time in which requests may still reach an endpoint that has ended, for which such
/// entries stay in use.
const DOUBT_PART: f64 = 0.75;

/// Where an engine stands in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// Loading or starting the model.
    Joining,
    /// Ready; the head may be opened.
    Ready,
    /// The head takes requests.
    Open,
    /// The head finishes its requests.
    Closing,
    /// The head gave up after a member failed.
    Broken,
}

/// An engine's membership in a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Name of the group.
    pub group: Arc<str>,
    /// Epoch of its member list.
    pub epoch: u64,
    /// Rank; zero is the head.
    pub rank: usize,
    /// State.
    pub state: MemberState,
}

/// What an engine says that it holds, when it is asked itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Its identifier.
    pub id: Arc<str>,
    /// Unix millisecond of its start.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// Models on its host.
    pub staged: Vec<Arc<str>>,
    /// Model that it holds.
    pub model: Option<Arc<str>>,
    /// Its place in a group.
    #[serde(rename = "seat")]
    pub membership: Option<Membership>,
}

/// One listed endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Its identifier.
    pub id: Arc<str>,
    /// Unix millisecond of its start; another one means that it holds nothing of before.
    pub started_ms: u64,
    /// Its service.
    pub service: Arc<str>,
    /// Address as host and port.
    pub address: String,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its failure domain; empty for plain services.
    pub domain: Arc<str>,
    /// Whether it is about to stop.
    pub draining: bool,
    /// Requests that it runs at a time.
    pub slots: usize,
    /// Models on its host.
    pub staged: Vec<Arc<str>>,
    /// Model that it holds.
    pub model: Option<Arc<str>>,
    /// Its place in a group.
    pub membership: Option<Membership>,
}

/// A group of engines, pieced together from what its members say.
#[derive(Debug, Clone, PartialEq)]
pub struct Group {
    /// Its name.
    pub name: Arc<str>,
    /// Epoch of its member list.
    pub epoch: u64,
    /// Members by rank, with their states.
    pub members: BTreeMap<usize, (Arc<str>, MemberState)>,
    /// The model that the head holds.
    pub model: Option<Arc<str>>,
    /// Service of its members.
    pub service: Arc<str>,
    /// Failure domain of its members.
    pub domain: Arc<str>,
    /// Whether a member is about to stop.
    pub draining: bool,
}

impl Group {
    /// Returns the head's identifier and state, if it is listed.
    pub fn head(&self) -> Option<(&Arc<str>, MemberState)> {
        self.members.get(&0).map(|(id, state)| (id, *state))
    }

    /// Returns whether ranks 0 to `size` - 1 are all listed.
    pub fn is_complete(&self, size: usize) -> bool {
        size > 0 && (0..size).all(|rank| self.members.contains_key(&rank))
    }
}

/// What a change of the list meant, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing that matters.
    None,
    /// A new endpoint, or a new start of a known one.
    Listed,
    /// It began to drain.
    Draining,
    /// Its place in a group changed.
    Membership,
    /// It is gone.
    Gone,
    /// It lapsed while the store was away; it stays in use for a moment.
    Lapsed,
}

/// Whether entries that end may have lapsed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum StoreState {
    /// No: the store has answered all along.
    #[default]
    Steady,
    /// Yes: it does not answer.
    Away,
    /// For a while: it answers again since then.
    Back(Time),
}

/// All listed endpoints.
#[derive(Debug)]
pub struct Endpoints {
    /// Time in which requests may still reach an endpoint that has ended.
    drain: Duration,
    listed: BTreeMap<Arc<str>, Endpoint>,
    /// Entries that lapsed around an outage of the store.
    lapsed: BTreeMap<Arc<str>, Time>,
    store: StoreState,
    version: u64,
}

impl Endpoints {
    /// Makes an empty list; requests may reach an endpoint that has ended for `drain`.
    pub fn new(drain: Duration) -> Self {
        Self {
            drain,
            listed: BTreeMap::new(),
            lapsed: BTreeMap::new(),
            store: StoreState::default(),
            version: 0,
        }
    }

    /// Returns a number that grows with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns an endpoint by its identifier.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.listed.get(id)
    }

    /// Lists all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.listed.values()
    }

    /// Takes an entry.
    pub fn put(&mut self, endpoint: Endpoint) -> Change {
        self.lapsed.remove(&endpoint.id);
        let old = self.listed.get(&endpoint.id);
        let change = match old {
            None => Change::Listed,
            Some(old) if old.started_ms != endpoint.started_ms => Change::Listed,
            Some(old) if endpoint.draining && !old.draining => Change::Draining,
            Some(old) if old.membership != endpoint.membership => Change::Membership,
            Some(old) if *old == endpoint => return Change::None,
            Some(_) => Change::None,
        };
        self.version += 1;
        self.listed.insert(endpoint.id.clone(), endpoint);
        change
    }

    /// Takes what a listed engine says of itself, for a list that is not written.
    pub fn observe(&mut self, held: &EngineReport) -> Change {
        let Some(known) = self.listed.get(&held.id) else {
            return Change::None;
        };
        let fresh = Endpoint {
            started_ms: held.started_ms,
            staged: held.staged.clone(),
            model: held.model.clone(),
            membership: held.membership.clone(),
            ..known.clone()
        };
        if fresh == *known {
            return Change::None;
        }
        let change = match known.started_ms == held.started_ms {
            true => Change::Membership,
            false => Change::Listed,
        };
        self.version += 1;
        self.listed.insert(held.id.clone(), fresh);
        change
    }

    /// Takes the end of entries.
    ///
    /// While the store is away and shortly after, an entry may only have lapsed, and so may many
    /// that end at once. These stay in use until they would be back.
    pub fn remove<'a>(
        &mut self,
        now: Time,
        ids: impl IntoIterator<Item = &'a str>,
    ) -> Vec<(Arc<str>, Change)> {
        let key = |id: &str| self.listed.get_key_value(id).map(|(k, _)| k.clone());
        let ended: Vec<Arc<str>> = ids.into_iter().filter_map(key).collect();
        let many = ended.len() >= MANY && ended.len() * MANY_PART > self.listed.len();
        let until = match self.store {
            StoreState::Away => Some(Time(u64::MAX)),
            StoreState::Back(since) if now < since + RETURN_TIME => Some(since + RETURN_TIME),
            _ if many => Some(now + self.drain.mul_f64(DOUBT_PART)),
            StoreState::Back(_) | StoreState::Steady => None,
        };
        let mut changes = Vec::new();
        for id in ended {
            match until {
                Some(until) => {
                    self.lapsed.insert(id.clone(), until);
                    changes.push((id, Change::Lapsed));
                }
                None => {
                    self.version += 1;
                    self.listed.remove(&id);
                    changes.push((id, Change::Gone));
                }
            }
        }
        changes
    }

    /// Takes the news that the store does not answer.
    pub fn store_lost(&mut self) {
        self.store = StoreState::Away;
        for until in self.lapsed.values_mut() {
            *until = Time(u64::MAX);
        }
    }

    /// Takes the news that the store answers again after an outage.
    pub fn store_returned(&mut self, now: Time) {
        self.store = StoreState::Back(now);
        for until in self.lapsed.values_mut() {
            *until = now + RETURN_TIME;
        }
    }

    /// Removes entries that lapsed and did not come back; returns them.
    pub fn expire(&mut self, now: Time) -> Vec<Arc<str>> {
        let due = |(_, until): &(&Arc<str>, &Time)| **until <= now;
        let gone: Vec<Arc<str>> = self
            .lapsed
            .iter()
            .filter(due)
            .map(|e| e.0.clone())
            .collect();
        for id in &gone {
            self.lapsed.remove(id);
            self.listed.remove(id);
            self.version += 1;
        }
        gone
    }

    /// Replaces the whole list, as read anew; returns the identifiers that are no longer listed.
    pub fn replace(&mut self, now: Time, fresh: Vec<Endpoint>) -> Vec<(Arc<str>, Change)> {
        let old: Vec<Arc<str>> = self.listed.keys().cloned().collect();
        let known: BTreeSet<&str> = fresh.iter().map(|e| &*e.id).collect();
        let ended = old.iter().map(|id| &**id).filter(|id| !known.contains(id));
        let mut changes = self.remove(now, ended);
        for endpoint in fresh {
            let id = endpoint.id.clone();
            changes.push((id, self.put(endpoint)));
        }
        changes
    }

    /// Pieces the groups together, by name and epoch.
    pub fn groups(&self) -> BTreeMap<(Arc<str>, u64), Group> {
        let mut groups: BTreeMap<(Arc<str>, u64), Group> = BTreeMap::new();
        for endpoint in self.listed.values() {
            let Some(seat) = &endpoint.membership else {
                continue;
            };
            let key = (seat.group.clone(), seat.epoch);
            let group = groups.entry(key).or_insert_with(|| Group {
                name: seat.group.clone(),
                epoch: seat.epoch,
                members: BTreeMap::new(),
                model: None,
                service: endpoint.service.clone(),
                domain: endpoint.domain.clone(),
                draining: false,
            });
            group
                .members
                .insert(seat.rank, (endpoint.id.clone(), seat.state));
            group.draining |= endpoint.draining;
            if endpoint.model.is_some() {
                group.model.clone_from(&endpoint.model);
            }
        }
        groups
    }
}
