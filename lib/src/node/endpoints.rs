//! The endpoints that the platform lists, and the groups that their engines form.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::warm_up::ToldWarmUp;
use crate::time::Time;

/// Time after an outage of the store within which the platform is assumed to list lapsed entries
/// again.
const RELIST_TIME: Duration = Duration::from_secs(2);
/// Time after which the store has dropped an entry whose endpoint is silent: three intervals of its heartbeat,
/// 1.2 s each, and time to read of it.
const ENTRY_LIFETIME: Duration = Duration::from_secs(5);
/// Time for which an entry that ended is remembered. The store may come back from a copy that is
/// some seconds old, and then lists such entries again.
const ENDED_RETENTION: Duration = Duration::from_secs(30);
/// Entries that end together may merely have lapsed if there are at least [`MASS_END_MIN`] of them
/// and they are more than one in [`MASS_END_INVERSE_FRACTION`] of the list. The loss of one failure
/// domain ends fewer.
const MASS_END_MIN: usize = 3;
const MASS_END_INVERSE_FRACTION: usize = 4;
/// Fraction of the drain time for which endpoints stay in use that may live though their entries are gone.
/// Requests may still reach an ended endpoint during the drain time.
const DOUBT_FRACTION: f64 = 0.75;

/// State of an engine in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The engine is loading or starting the model.
    Joining,
    /// The engine is ready. If it is the head, it can be opened.
    Ready,
    /// The engine is the head and takes requests.
    Open,
    /// The engine is the head and finishes its requests without taking new ones.
    Closing,
    /// The engine is the head and gave up because a member failed.
    Broken,
}

/// An engine's membership in a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Name of the group.
    pub group: Arc<str>,
    /// Epoch of the group's member list.
    pub epoch: u64,
    /// Rank of the engine in the group; zero is the head.
    pub rank: usize,
    /// State of the engine in the group.
    pub state: MemberState,
}

/// The state that an engine reports when it is queried directly.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Identifier of the engine.
    pub id: Arc<str>,
    /// Start time of the engine in Unix milliseconds.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// Models whose weights are on the host.
    pub staged: Vec<Arc<str>>,
    /// Model that the engine has loaded.
    pub model: Option<Arc<str>>,
    /// Membership of the engine in a group.
    #[serde(rename = "seat")]
    pub membership: Option<Membership>,
}

/// An endpoint of the platform's list.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Identifier of the endpoint.
    pub id: Arc<str>,
    /// Start time in Unix milliseconds. A different time means that the endpoint restarted and lost
    /// its state.
    pub started_ms: u64,
    /// Number that the endpoint increases from entry to entry since its start.
    pub sequence: u64,
    /// Name of the service.
    pub service: Arc<str>,
    /// Address as host and port.
    pub address: String,
    /// Zone of the endpoint.
    pub zone: Arc<str>,
    /// Failure domain of the endpoint; empty for plain services.
    pub domain: Arc<str>,
    /// Whether the endpoint is about to stop.
    pub draining: bool,
    /// Requests that the endpoint runs at the same time.
    pub slots: usize,
    /// Models whose weights are on the host.
    pub staged: Vec<Arc<str>>,
    /// Model that the endpoint has loaded.
    pub model: Option<Arc<str>>,
    /// Membership of the endpoint in a group.
    pub membership: Option<Membership>,
    /// What the endpoint says of its warm-up.
    pub warm_up: ToldWarmUp,
}

/// A group of engines, assembled from its members' entries.
#[derive(Debug, Clone, PartialEq)]
pub struct Group {
    /// Name of the group.
    pub name: Arc<str>,
    /// Epoch of the group's member list.
    pub epoch: u64,
    /// Identifiers and states of the listed members by rank.
    pub members: BTreeMap<usize, (Arc<str>, MemberState)>,
    /// Model that the group serves, once a member has loaded it.
    pub model: Option<Arc<str>>,
    /// Name of the members' service.
    pub service: Arc<str>,
    /// Failure domain of the members.
    pub domain: Arc<str>,
    /// Whether a member is about to stop.
    pub draining: bool,
}

impl Group {
    /// Returns the identifier and state of the head, if it is listed.
    pub fn head(&self) -> Option<(&Arc<str>, MemberState)> {
        self.members.get(&0).map(|(id, state)| (id, *state))
    }

    /// Returns whether all ranks from 0 to `size` - 1 are listed.
    pub fn is_complete(&self, size: usize) -> bool {
        size > 0 && (0..size).all(|rank| self.members.contains_key(&rank))
    }
}

/// Kind of a change to the list, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing changed that is worth a log line.
    None,
    /// An endpoint was added or restarted.
    Listed,
    /// An endpoint began to drain.
    Draining,
    /// The membership of an endpoint in a group changed.
    Membership,
    /// An endpoint was removed.
    Gone,
    /// An entry may have lapsed because of the store, or was replaced by another writer; the endpoint stays in
    /// use for a while.
    Lapsed,
    /// An entry of this version was not applied, since it is older than what is known of the endpoint.
    Outdated(EntryVersion),
    /// An entry of this version was not applied yet: it is of an earlier life of the endpoint, or the
    /// endpoint's clock went back when it restarted.
    Unconfirmed(EntryVersion),
}

/// Availability of the store, which decides whether entries that end may have lapsed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum StoreAvailability {
    /// The store answers, and entries that end are removed.
    #[default]
    Available,
    /// The store does not answer, and entries that end may have lapsed.
    Unavailable,
    /// The store answers again since this time; entries may have lapsed until shortly after.
    Recovered(Time),
}

/// The version of an entry, as the endpoint itself counts it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryVersion {
    /// Start time of the endpoint in Unix milliseconds.
    pub started_ms: u64,
    /// Number of the entry since that start.
    pub sequence: u64,
}

/// Age of an entry by its version, compared with what is known of the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EntryAge {
    /// The entry is newer, or as new.
    Current,
    /// The entry is of the same start and older.
    Outdated,
    /// The entry is of another start that may be earlier or later.
    Unknown,
}

/// An endpoint that ended.
#[derive(Debug, Clone, Copy)]
struct Ended {
    at: Time,
    version: EntryVersion,
    draining: bool,
}

impl Endpoint {
    /// Returns the start time and sequence, by which an entry is older than another one of the same
    /// endpoint, wherever the store keeps them.
    pub fn entry_version(&self) -> EntryVersion {
        EntryVersion {
            started_ms: self.started_ms,
            sequence: self.sequence,
        }
    }
}

/// The endpoints that the platform lists.
#[derive(Debug)]
pub struct Endpoints {
    /// Time for which requests may still reach an endpoint after its end.
    drain: Duration,
    listed: BTreeMap<Arc<str>, Endpoint>,
    /// Entries that may have lapsed, with the times at which they are removed unless they are
    /// listed again.
    lapsed: BTreeMap<Arc<str>, Time>,
    /// Endpoints that said themselves that they are about to stop, with their start times.
    leaving: BTreeMap<Arc<str>, u64>,
    /// Endpoints that ended lately.
    ended: BTreeMap<Arc<str>, Ended>,
    /// Entries that are, or may be, older than what is known, with the times since which the store has listed
    /// them.
    held: BTreeMap<Arc<str>, (Time, Endpoint)>,
    /// Later start times by the endpoint's clock that turned out to be of an earlier life.
    superseded: BTreeMap<Arc<str>, u64>,
    store: StoreAvailability,
    /// When the store came back from an older copy.
    restored_at: Option<Time>,
    /// Zones that the operators have evacuated.
    evacuated: BTreeSet<Arc<str>>,
    version: u64,
}

impl Endpoints {
    /// Creates an empty list. Requests may reach an endpoint for `drain` after its end.
    pub fn new(drain: Duration) -> Self {
        Self {
            drain,
            listed: BTreeMap::new(),
            lapsed: BTreeMap::new(),
            leaving: BTreeMap::new(),
            ended: BTreeMap::new(),
            held: BTreeMap::new(),
            superseded: BTreeMap::new(),
            store: StoreAvailability::default(),
            restored_at: None,
            evacuated: BTreeSet::new(),
            version: 0,
        }
    }

    /// Returns a version number that increases with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Replaces the evacuated zones, to whose endpoints no requests and no orders go.
    pub fn set_evacuated(&mut self, zones: BTreeSet<Arc<str>>) {
        self.version += 1;
        self.evacuated = zones;
    }

    /// Returns whether an endpoint is in an evacuated zone.
    pub fn is_evacuated(&self, endpoint: &Endpoint) -> bool {
        self.evacuated.contains(&endpoint.zone)
    }

    /// Returns the endpoint with the given identifier.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.listed.get(id)
    }

    /// Iterates over all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.listed.values()
    }

    /// Adds or replaces an entry, unless it is older than what is known of its endpoint.
    ///
    /// The store may execute a write seconds late, behind newer ones. Of two entries of the same start,
    /// the sequence tells which one is newer. An entry whose start time is earlier than the known one is
    /// either late too, or of an endpoint whose clock went back when it restarted.
    ///
    /// Such an entry is held: the store drops it if its endpoint is silent, and replaces it if the endpoint
    /// writes something else, but a heartbeat that says the same adds no record. [`Self::settle`] applies what is
    /// still held then, and [`Self::confirm`] an entry of the start that the endpoint itself names.
    pub fn put(&mut self, now: Time, endpoint: Endpoint) -> Change {
        let version = endpoint.entry_version();
        let age = self.age(&endpoint);
        let change = match age {
            EntryAge::Current => return self.apply(endpoint),
            EntryAge::Outdated => Change::Outdated(version),
            EntryAge::Unknown => Change::Unconfirmed(version),
        };
        // Reading an entry again changes nothing, and an endpoint that writes on lives.
        let goes_on = |held: EntryVersion| match age {
            EntryAge::Unknown => {
                held.started_ms == version.started_ms && held.sequence <= version.sequence
            }
            EntryAge::Current | EntryAge::Outdated => held == version,
        };
        let held = self.held.get(&endpoint.id);
        let held = held.filter(|(_, e)| goes_on(e.entry_version()));
        let since = held.map_or(now, |(since, _)| *since);
        self.held.insert(endpoint.id.clone(), (since, endpoint));
        change
    }

    fn age(&self, entry: &Endpoint) -> EntryAge {
        let listed = self.listed.get(&entry.id).map(Endpoint::entry_version);
        let ended = self.ended.get(&entry.id).map(|e| e.version);
        let Some(known) = listed.or(ended) else {
            return EntryAge::Current;
        };
        if entry.started_ms == known.started_ms {
            // Endpoints that don't count their entries have sequence 0.
            let is_repeated = listed.is_none() && entry.sequence == known.sequence;
            return match entry.sequence < known.sequence || is_repeated && entry.sequence > 0 {
                true => EntryAge::Outdated,
                false => EntryAge::Current,
            };
        }
        let is_superseded = self.superseded.get(&entry.id) == Some(&entry.started_ms);
        match entry.started_ms > known.started_ms && !is_superseded {
            true => EntryAge::Current,
            false => EntryAge::Unknown,
        }
    }

    /// Lists an entry in place of the known one.
    fn apply(&mut self, mut endpoint: Endpoint) -> Change {
        let old = self.listed.get(&endpoint.id);
        let ended = self.ended.remove(&endpoint.id);
        // An endpoint that drains does so until it stops.
        let drained = |started_ms, draining| draining && started_ms == endpoint.started_ms;
        let was_draining = old.is_some_and(|e| drained(e.started_ms, e.draining))
            || ended.is_some_and(|e| drained(e.version.started_ms, e.draining))
            || self.leaving.get(&endpoint.id) == Some(&endpoint.started_ms);
        endpoint.draining |= was_draining;
        self.lapsed.remove(&endpoint.id);
        self.held.remove(&endpoint.id);
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

    /// Applies the held entry of an endpoint that names its start itself, if it is of that start and not of
    /// the known one.
    pub fn confirm(&mut self, id: &str, started_ms: u64) -> Change {
        let is_known = self.listed.get(id).map(|e| e.started_ms) == Some(started_ms);
        let is_confirmed = |(_, e): &&(Time, Endpoint)| e.started_ms == started_ms && !is_known;
        match self.held.get(id).filter(is_confirmed).cloned() {
            Some((_, endpoint)) => self.supersede(endpoint),
            None => Change::None,
        }
    }

    /// Applies the held entries that the store still lists after the time in which it drops those of silent
    /// endpoints, and returns the change of each.
    pub fn settle(&mut self, now: Time) -> Vec<(Arc<str>, Change)> {
        // The store drops and replaces nothing while it takes no writes.
        let answers_since = match self.store {
            StoreAvailability::Available => Time::ZERO,
            StoreAvailability::Recovered(since) => since,
            StoreAvailability::Unavailable => return Vec::new(),
        };
        let is_due =
            |(since, _): &(Time, Endpoint)| now >= (*since).max(answers_since) + ENTRY_LIFETIME;
        let entries = self.held.values().filter(|entry| is_due(entry));
        let due: Vec<Endpoint> = entries.map(|(_, e)| e.clone()).collect();
        let apply = |e: Endpoint| (e.id.clone(), self.supersede(e));
        due.into_iter().map(apply).collect()
    }

    /// Lists a held entry. If its start is another one than the known one, entries of that are late from now
    /// on, whatever the endpoint's clock said.
    fn supersede(&mut self, endpoint: Endpoint) -> Change {
        let listed = self.listed.get(&endpoint.id).map(|e| e.started_ms);
        let ended = self.ended.get(&endpoint.id).map(|e| e.version.started_ms);
        let known = listed.or(ended);
        if let Some(started_ms) = known.filter(|s| *s != endpoint.started_ms) {
            self.superseded.insert(endpoint.id.clone(), started_ms);
        }
        self.apply(endpoint)
    }

    /// Updates a listed endpoint from its own report. This is used while the store does not update
    /// the list.
    pub fn observe(&mut self, report: &EngineReport) -> Change {
        let Some(known) = self.listed.get(&report.id) else {
            return Change::None;
        };
        let is_restarted = known.started_ms != report.started_ms;
        let (sequence, warm_up) = match is_restarted {
            // A report says nothing of the warm-up, and the entry is that of the earlier start.
            true => (0, ToldWarmUp::Nothing),
            false => (known.sequence, known.warm_up),
        };
        let updated = Endpoint {
            started_ms: report.started_ms,
            sequence,
            warm_up,
            staged: report.staged.clone(),
            model: report.model.clone(),
            membership: report.membership.clone(),
            ..known.clone()
        };
        if updated == *known {
            return Change::None;
        }
        let change = match is_restarted {
            true => Change::Listed,
            false => Change::Membership,
        };
        if report.started_ms < known.started_ms {
            // The engine's clock went back at its restart.
            let started_ms = known.started_ms;
            self.superseded.insert(report.id.clone(), started_ms);
        } else if self.superseded.get(&report.id) == Some(&report.started_ms) {
            self.superseded.remove(&report.id);
        }
        self.version += 1;
        self.listed.insert(report.id.clone(), updated);
        change
    }

    /// Records that an endpoint which started at the given time says that it is about to stop.
    pub fn mark_leaving(&mut self, id: &Arc<str>, started_ms: u64) -> Change {
        let Some(known) = self.listed.get_mut(id) else {
            return Change::None;
        };
        if known.draining || known.started_ms != started_ms {
            return Change::None;
        }
        known.draining = true;
        self.leaving.insert(id.clone(), started_ms);
        self.version += 1;
        Change::Draining
    }

    /// Records that the store holds something under the identifier of an endpoint that is no entry, so that
    /// another writer has replaced the endpoint's own. What is known stays in use for a while, in which a live
    /// endpoint writes its entry again.
    pub fn doubt(&mut self, now: Time, id: &str) -> Change {
        self.held.remove(id);
        let Some((id, _)) = self.listed.get_key_value(id) else {
            return Change::None;
        };
        if self.lapsed.contains_key(id) {
            return Change::None;
        }
        let until = match self.store {
            StoreAvailability::Unavailable => Time(u64::MAX),
            StoreAvailability::Recovered(_) | StoreAvailability::Available => {
                now + self.doubt_time()
            }
        };
        self.lapsed.insert(id.clone(), until);
        Change::Lapsed
    }

    /// Returns the time for which an endpoint may stay in use whose entry is gone but which may live.
    fn doubt_time(&self) -> Duration {
        self.drain.mul_f64(DOUBT_FRACTION)
    }

    /// Removes entries that have ended, and returns the change of each.
    ///
    /// During an outage of the store and shortly after it, an entry may merely have lapsed, and so
    /// may many that end together. These stay in use until the time by which they would be listed
    /// again.
    pub fn remove<'a>(
        &mut self,
        now: Time,
        ids: impl IntoIterator<Item = &'a str>,
    ) -> Vec<(Arc<str>, Change)> {
        let mut ended_ids: Vec<Arc<str>> = Vec::new();
        for id in ids {
            self.held.remove(id);
            let listed = self.listed.get_key_value(id);
            ended_ids.extend(listed.map(|(id, _)| id.clone()));
        }
        let is_mass_end = ended_ids.len() >= MASS_END_MIN
            && ended_ids.len() * MASS_END_INVERSE_FRACTION > self.listed.len();
        let until = match self.store {
            StoreAvailability::Unavailable => Some(Time(u64::MAX)),
            StoreAvailability::Recovered(since) if now < since + RELIST_TIME => {
                Some(since + RELIST_TIME)
            }
            _ if is_mass_end => Some(now + self.doubt_time()),
            StoreAvailability::Recovered(_) | StoreAvailability::Available => None,
        };
        let mut changes = Vec::new();
        for id in ended_ids {
            match until {
                Some(until) => {
                    self.lapsed.insert(id.clone(), until);
                    changes.push((id, Change::Lapsed));
                }
                None => {
                    self.end(now, &id);
                    changes.push((id, Change::Gone));
                }
            }
        }
        changes
    }

    fn end(&mut self, now: Time, id: &Arc<str>) {
        self.version += 1;
        self.leaving.remove(id);
        if let Some(endpoint) = self.listed.remove(id) {
            let ended = Ended {
                at: now,
                version: endpoint.entry_version(),
                draining: endpoint.draining,
            };
            self.ended.insert(id.clone(), ended);
        }
    }

    /// Records that the store does not answer.
    pub fn store_lost(&mut self) {
        self.store = StoreAvailability::Unavailable;
        for until in self.lapsed.values_mut() {
            *until = Time(u64::MAX);
        }
    }

    /// Records that the store answers again after an outage.
    pub fn store_returned(&mut self, now: Time) {
        self.store = StoreAvailability::Recovered(now);
        for until in self.lapsed.values_mut() {
            *until = now + RELIST_TIME;
        }
    }

    /// Removes lapsed entries that were not listed again in time, and returns their identifiers.
    pub fn expire(&mut self, now: Time) -> Vec<Arc<str>> {
        let is_due = |(_, until): &(&Arc<str>, &Time)| **until <= now;
        let expired: Vec<Arc<str>> = self
            .lapsed
            .iter()
            .filter(is_due)
            .map(|e| e.0.clone())
            .collect();
        for id in &expired {
            self.lapsed.remove(id);
            self.end(now, id);
        }
        self.ended
            .retain(|_, ended| now.since(ended.at) < ENDED_RETENTION);
        let (listed, ended) = (&self.listed, &self.ended);
        self.superseded
            .retain(|id, _| listed.contains_key(id) || ended.contains_key(id));
        expired
    }

    /// Replaces the list by that of a store that came back from an older copy, and returns the
    /// change of each entry that ended or is in the new list.
    ///
    /// An entry of the copy that is older than the known one is ignored: an endpoint that drains does
    /// not become available, and one that has gone is not listed again. Endpoints that the copy does
    /// not have yet stay until the time by which they would be listed again.
    pub fn restore(&mut self, now: Time, copy: Vec<Endpoint>) -> Vec<(Arc<str>, Change)> {
        self.store_returned(now);
        self.restored_at = Some(now);
        self.replace(now, copy)
    }

    /// Returns whether the store came back from an older copy so recently that entries may still be
    /// older than their endpoints' states.
    pub fn is_settling(&self, now: Time) -> bool {
        self.restored_at.is_some_and(|t| now < t + RELIST_TIME)
    }

    /// Replaces the list with a fresh one, and returns the change of each entry that ended or is in
    /// the new list.
    pub fn replace(&mut self, now: Time, new_entries: Vec<Endpoint>) -> Vec<(Arc<str>, Change)> {
        let old_ids: Vec<Arc<str>> = self.listed.keys().cloned().collect();
        let listed_ids: BTreeSet<&str> = new_entries.iter().map(|e| &*e.id).collect();
        let ended_ids = old_ids
            .iter()
            .map(|id| &**id)
            .filter(|id| !listed_ids.contains(id));
        let mut changes = self.remove(now, ended_ids);
        for endpoint in new_entries {
            let id = endpoint.id.clone();
            changes.push((id, self.put(now, endpoint)));
        }
        changes
    }

    /// Assembles the groups, by name and epoch.
    pub fn groups(&self) -> BTreeMap<(Arc<str>, u64), Group> {
        let mut groups: BTreeMap<(Arc<str>, u64), Group> = BTreeMap::new();
        for endpoint in self.listed.values() {
            let Some(membership) = &endpoint.membership else {
                continue;
            };
            let key = (membership.group.clone(), membership.epoch);
            let group = groups.entry(key).or_insert_with(|| Group {
                name: membership.group.clone(),
                epoch: membership.epoch,
                members: BTreeMap::new(),
                model: None,
                service: endpoint.service.clone(),
                domain: endpoint.domain.clone(),
                draining: false,
            });
            group
                .members
                .insert(membership.rank, (endpoint.id.clone(), membership.state));
            group.draining |= endpoint.draining;
            if endpoint.model.is_some() {
                group.model.clone_from(&endpoint.model);
            }
        }
        groups
    }
}
