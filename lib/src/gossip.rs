//! Liveness of entry VMs, spread by gossip at a constant cost to each.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use crate::ids::{EntryId, Incarnation};
use crate::peers::Beat;
use crate::time::Time;

/// How liveness is spread.
#[derive(Debug, Clone, Copy)]
pub struct GossipConfig {
    /// Time between two rounds.
    pub every: Duration,
    /// Entry VMs that one round reaches.
    pub fanout: usize,
    /// Entry VMs that one datagram tells of.
    pub beats: usize,
    /// Time without a new beat after which an entry VM is held dead.
    pub bound: Duration,
}

#[derive(Debug)]
struct Heard {
    beat: Beat,
    at: Time,
}

/// What one entry VM knows of the others' liveness.
#[derive(Debug)]
pub struct Gossip {
    config: GossipConfig,
    me: EntryId,
    heard: BTreeMap<EntryId, Heard>,
    next: Time,
}

impl Gossip {
    /// Makes the gossip state of the entry VM `me` in its run `run`.
    pub fn new(config: GossipConfig, me: EntryId, run: Incarnation) -> Self {
        let beat = Beat {
            entry: me.clone(),
            run,
            count: 0,
            spare: 1.0,
            config: 0,
        };
        let heard = BTreeMap::from([(
            me.clone(),
            Heard {
                beat,
                at: Time::ZERO,
            },
        )]);
        Self {
            config,
            me,
            heard,
            next: Time::ZERO,
        }
    }

    /// Returns whether a round is due, and starts it by a new beat of its own.
    pub fn round(&mut self, now: Time, spare: f64, config: u64) -> bool {
        if now < self.next {
            return false;
        }
        self.next = now + self.config.every;
        if let Some(own) = self.heard.get_mut(&self.me) {
            own.beat.count += 1;
            own.beat.spare = spare;
            own.beat.config = config;
            own.at = now;
        }
        true
    }

    /// Picks the entry VMs that this round reaches.
    pub fn targets(&self, members: &[EntryId], rng: &mut SmallRng) -> Vec<EntryId> {
        let others: Vec<&EntryId> = members.iter().filter(|m| **m != self.me).collect();
        others
            .choose_multiple(rng, self.config.fanout)
            .map(|m| (*m).clone())
            .collect()
    }

    /// Picks the beats that one datagram carries: its own and a random choice of the others'.
    pub fn beats(&self, rng: &mut impl Rng) -> Vec<Beat> {
        let others: Vec<&Heard> = self
            .heard
            .values()
            .filter(|h| h.beat.entry != self.me)
            .collect();
        let picked = others.choose_multiple(rng, self.config.beats.saturating_sub(1));
        let own = self.heard.get(&self.me);
        own.into_iter()
            .chain(picked.copied())
            .map(|h| h.beat.clone())
            .collect()
    }

    /// Takes a beat; only one newer than the last counts as a sign of life.
    pub fn take(&mut self, now: Time, beat: Beat) {
        if beat.entry == self.me {
            return;
        }
        let known = self
            .heard
            .get(&beat.entry)
            .map(|h| (h.beat.run, h.beat.count));
        if known.is_none_or(|k| k < (beat.run, beat.count)) {
            self.heard
                .insert(beat.entry.clone(), Heard { beat, at: now });
        }
    }

    /// Returns the last beat of an entry VM that is held alive.
    pub fn live(&self, now: Time, entry: &EntryId) -> Option<&Beat> {
        let heard = self.heard.get(entry)?;
        (now.since(heard.at) <= self.config.bound).then_some(&heard.beat)
    }

    /// Returns whether any other entry VM is held alive.
    pub fn peers_up(&self, now: Time) -> bool {
        self.heard
            .keys()
            .any(|e| *e != self.me && self.live(now, e).is_some())
    }
}
