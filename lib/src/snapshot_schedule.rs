//! Decides which agent restates which stream, and when.
//!
//! The live entry VMs are ranked for each stream by rendezvous hash. The first restates the stream
//! once it is due; each further one waits a while longer, so that a silent one is replaced without
//! any agreement. Two that restate at once cost two records and do no harm.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::folds::FoldedStreams;
use crate::ids::{Nonce, StreamId};
use crate::rendezvous;
use crate::time::Time;

/// Entry VMs that may restate a stream.
const RANKS: usize = 4;
/// Time between two looks at the streams.
const CHECK_EVERY: Duration = Duration::from_millis(200);

/// Time after which a mark that was not read back is forgotten.
const MARK_BOUND: Duration = Duration::from_secs(10);

/// How streams are restated.
#[derive(Debug, Clone, Copy)]
pub struct SnapshotConfig {
    /// Time between two snapshots of a stream.
    pub interval: Duration,
    /// Time that each rank waits for the one before it.
    pub stagger: Duration,
    /// Longest time after an outage that other records wait for the streams to be restated.
    pub hold: Duration,
    /// Age from which a claimed key is dropped.
    pub claim_ttl: Duration,
}

impl SnapshotConfig {
    /// Returns the pace for a log that keeps records for `retention`.
    ///
    /// A fifth of the retention leaves a stream restated within a third of it even when all agents
    /// restart half-way.
    pub fn new(retention: Duration, claim_ttl: Duration) -> Self {
        Self {
            interval: (retention / 5).max(Duration::from_secs(1)),
            stagger: Duration::from_secs(1),
            hold: Duration::from_secs(2),
            claim_ttl,
        }
    }
}

/// Restating by one agent.
#[derive(Debug)]
pub struct SnapshotScheduler {
    config: SnapshotConfig,
    started: Option<Time>,
    next: Time,
    held: Time,
    marks: BTreeMap<Nonce, Time>,
}

impl SnapshotScheduler {
    /// Makes a restater that waits until its agent has read the log.
    pub fn new(config: SnapshotConfig) -> Self {
        Self {
            config,
            started: None,
            next: Time::ZERO,
            held: Time::ZERO,
            marks: BTreeMap::new(),
        }
    }

    /// Returns the streams that `me` is to mark now, among the live entry VMs.
    pub fn due(
        &mut self,
        now: Time,
        folds: &FoldedStreams,
        live: &[&str],
        me: &str,
    ) -> Vec<StreamId> {
        if now < self.next || !folds.is_synced() {
            return Vec::new();
        }
        self.next = now + CHECK_EVERY;
        self.started.get_or_insert(now);
        let due = |s: &&StreamId| self.is_turn(now, folds, s, live, me);
        folds.streams().filter(due).cloned().collect()
    }

    /// Notes a mark that this agent appends, and forgets those that were not read back in time.
    pub fn mark(&mut self, now: Time, nonce: Nonce) {
        self.marks.retain(|_, at| now.since(*at) < MARK_BOUND);
        self.marks.insert(nonce, now);
    }

    /// Returns whether this agent appended the mark, and is to append its snapshot.
    pub fn marked(&mut self, nonce: Nonce) -> bool {
        self.marks.remove(&nonce).is_some()
    }

    /// Holds other records back for a while, since the log is back after an outage.
    pub fn resume(&mut self, now: Time) {
        self.held = now + self.config.hold;
        self.next = now;
    }

    /// Returns whether other records wait until overdue streams are restated.
    pub fn holds(&self, now: Time, folds: &FoldedStreams) -> bool {
        now < self.held && folds.streams().any(|s| self.is_overdue(now, folds, s))
    }

    /// Returns the time before which claimed keys are dropped, in milliseconds.
    pub fn horizon_ms(&self, now: Time) -> u64 {
        (now - self.config.claim_ttl).as_millis()
    }

    fn is_overdue(&self, now: Time, folds: &FoldedStreams, stream: &StreamId) -> bool {
        folds.is_known(stream)
            && !folds.is_empty(stream)
            && now.since(self.base(folds, stream)) >= self.config.interval
    }

    fn is_turn(
        &self,
        now: Time,
        folds: &FoldedStreams,
        stream: &StreamId,
        live: &[&str],
        me: &str,
    ) -> bool {
        if !self.is_overdue(now, folds, stream) {
            return false;
        }
        let marked = folds.last_marker(stream);
        if marked.is_some_and(|at| now.since(at) < self.config.stagger) {
            return false;
        }
        let ranks = rendezvous::owners(stream.as_str().as_bytes(), live.iter().copied(), RANKS);
        let Some(rank) = ranks.iter().position(|e| *e == me) else {
            return false;
        };
        let wait = self.config.interval + self.config.stagger * rank as u32;
        now.since(self.base(folds, stream)) >= wait
    }

    /// Returns when the stream was last restated; half-way through the pace at the start.
    fn base(&self, folds: &FoldedStreams, stream: &StreamId) -> Time {
        let started = self.started.unwrap_or_default() - self.config.interval / 2;
        folds.last_snapshot(stream).unwrap_or(started)
    }
}
