//! Decides which agent snapshots which stream, and when.
//!
//! The live entry VMs are ranked for each stream by rendezvous hashing. The first one snapshots the
//! stream once it is due; each further one waits longer, so that a silent one is replaced without
//! coordination. If two agents snapshot a stream at once, the two additional records do no harm.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::folds::FoldedStreams;
use crate::ids::{Nonce, StreamId};
use crate::rendezvous;
use crate::time::Time;

/// Number of entry VMs that may snapshot a stream.
const CANDIDATES: usize = 4;
/// Interval between two checks of the streams.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a marker that was not read back is forgotten.
const MARKER_TIMEOUT: Duration = Duration::from_secs(10);

/// Timing of snapshots.
#[derive(Debug, Clone, Copy)]
pub struct SnapshotConfig {
    /// Interval between two snapshots of a stream.
    pub interval: Duration,
    /// Time that each rank waits longer than the one before it.
    pub stagger: Duration,
    /// Maximum time after an outage for which other records wait until the streams are snapshotted.
    pub hold: Duration,
    /// Age from which on a claimed key is dropped.
    pub claim_ttl: Duration,
}

impl SnapshotConfig {
    /// Returns the timing for a log that keeps records for `retention`.
    ///
    /// With an interval of a fifth of the retention, a stream is snapshotted within a third of the
    /// retention even if all agents restart half-way through the interval.
    pub fn new(retention: Duration, claim_ttl: Duration) -> Self {
        Self {
            interval: (retention / 5).max(Duration::from_secs(1)),
            stagger: Duration::from_secs(1),
            hold: Duration::from_secs(2),
            claim_ttl,
        }
    }
}

/// Scheduler of the snapshots that one agent writes.
#[derive(Debug)]
pub struct SnapshotScheduler {
    config: SnapshotConfig,
    started_at: Option<Time>,
    next_check: Time,
    hold_until: Time,
    pending_markers: BTreeMap<Nonce, Time>,
}

impl SnapshotScheduler {
    /// Creates a scheduler that starts once the agent has read the log.
    pub fn new(config: SnapshotConfig) -> Self {
        Self {
            config,
            started_at: None,
            next_check: Time::ZERO,
            hold_until: Time::ZERO,
            pending_markers: BTreeMap::new(),
        }
    }

    /// Returns the streams to which `me`, one of the live entry VMs, is to append a marker now.
    pub fn due(
        &mut self,
        now: Time,
        folds: &FoldedStreams,
        live: &[&str],
        me: &str,
    ) -> Vec<StreamId> {
        if now < self.next_check || !folds.is_synced() {
            return Vec::new();
        }
        self.next_check = now + CHECK_INTERVAL;
        self.started_at.get_or_insert(now);
        let due = |s: &&StreamId| self.is_due(now, folds, s, live, me);
        folds.streams().filter(due).cloned().collect()
    }

    /// Records a marker that this agent appends, and forgets those that were not read back in time.
    pub fn record_marker(&mut self, now: Time, nonce: Nonce) {
        self.pending_markers
            .retain(|_, at| now.since(*at) < MARKER_TIMEOUT);
        self.pending_markers.insert(nonce, now);
    }

    /// Returns whether this agent appended the marker, so that it is to append the snapshot.
    pub fn confirm_marker(&mut self, nonce: Nonce) -> bool {
        self.pending_markers.remove(&nonce).is_some()
    }

    /// Starts the time after an outage of the log in which other records wait for snapshots.
    pub fn hold_after_outage(&mut self, now: Time) {
        self.hold_until = now + self.config.hold;
        self.next_check = now;
    }

    /// Returns whether other records wait until overdue streams are snapshotted.
    pub fn holds_back(&self, now: Time, folds: &FoldedStreams) -> bool {
        now < self.hold_until && folds.streams().any(|s| self.is_overdue(now, folds, s))
    }

    /// Returns the time before which claimed keys are dropped, in milliseconds since the Unix
    /// epoch.
    pub fn horizon_ms(&self, now: Time) -> u64 {
        (now - self.config.claim_ttl).as_millis()
    }

    fn is_overdue(&self, now: Time, folds: &FoldedStreams, stream: &StreamId) -> bool {
        folds.is_known(stream)
            && !folds.is_empty(stream)
            && now.since(self.last_snapshot(folds, stream)) >= self.config.interval
    }

    fn is_due(
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
        let last_marker = folds.last_marker(stream);
        if last_marker.is_some_and(|at| now.since(at) < self.config.stagger) {
            return false;
        }
        let ranks =
            rendezvous::owners(stream.as_str().as_bytes(), live.iter().copied(), CANDIDATES);
        let Some(rank) = ranks.iter().position(|e| *e == me) else {
            return false;
        };
        let wait = self.config.interval + self.config.stagger * rank as u32;
        now.since(self.last_snapshot(folds, stream)) >= wait
    }

    /// Returns when the stream was last snapshotted. Until a snapshot is seen, this is half an
    /// interval before the agent started.
    fn last_snapshot(&self, folds: &FoldedStreams, stream: &StreamId) -> Time {
        let started = self.started_at.unwrap_or_default() - self.config.interval / 2;
        folds.last_snapshot(stream).unwrap_or(started)
    }
}
