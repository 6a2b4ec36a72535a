//! When an entry VM gives up the source from which it reads a topic: a transfer that stalls, or a
//! source that stays behind the other VMs; and when it looks again for a store that it has lost.
//!
//! A transfer that makes progress is kept, however long it takes. To give it up sends the same bytes
//! again over links that are full already.

use std::time::Duration;

use super::cache::Position;
use super::peers::{Member, Peers};
use crate::time::Time;

/// Time for which a peer may be ahead of this VM before the source of this VM counts as stale.
pub const MAX_LAG: Duration = Duration::from_millis(700);
/// Time in which a transfer must bring [`MIN_PROGRESS_BYTES`].
pub const PROGRESS_INTERVAL: Duration = Duration::from_millis(400);
/// Bytes per [`PROGRESS_INTERVAL`] below which a transfer has stalled: a third of what each of 40
/// readers gets of a link of 20 Mbit/s.
pub const MIN_PROGRESS_BYTES: usize = 8 << 10;
/// Time after which another VM is asked as well for what a transfer is to bring.
pub const MAX_TRANSFER_TIME: Duration = Duration::from_secs(1);

/// Mean interval between the attempts of all VMs together to reach a store that the store readers
/// have lost.
const SEARCH_INTERVAL: Duration = Duration::from_millis(50);

/// Returns whether a VM looks for the store at once when it hears of a peer that reads it. `up` tells for
/// each topic whether this VM can read it; one may be lost alone.
pub fn looks_at_once(up: [bool; 2]) -> bool {
    up != [true; 2]
}

/// Returns the pause between two attempts to reach a store that this VM can't read. It is zero for a VM
/// that is starting, for the VMs that read the store for others, and while any peer reads it. The rest try
/// rarely, but together often enough to find a store that only those VMs have lost.
pub fn search_pause(
    now: Time,
    peers: &Peers,
    this_vm: &Member,
    is_ready: bool,
    is_starting: bool,
) -> Duration {
    let is_found = peers.any_reads_store(now);
    match is_starting || is_found || peers.should_read_store(now, this_vm, is_ready) {
        true => Duration::ZERO,
        false => SEARCH_INTERVAL * peers.live_vm_count(now) as u32,
    }
}

/// A reply that is being received.
#[derive(Debug, Clone, Copy)]
pub struct Transfer {
    started: Time,
    /// Start of the present interval.
    interval_start: Time,
    /// Bytes received in the present interval.
    interval_bytes: usize,
}

impl Transfer {
    /// Begins when the head of the reply has arrived.
    pub fn new(now: Time) -> Self {
        Self {
            started: now,
            interval_start: now,
            interval_bytes: 0,
        }
    }

    /// Records that bytes of the reply have arrived.
    pub fn record(&mut self, now: Time, bytes: usize) {
        self.interval_bytes += bytes;
        if self.interval_bytes >= MIN_PROGRESS_BYTES {
            (self.interval_start, self.interval_bytes) = (now, 0);
        }
    }

    /// Returns how long the transfer may go on before it has stalled; zero if it has.
    pub fn time_left(&self, now: Time) -> Duration {
        PROGRESS_INTERVAL.saturating_sub(now.since(self.interval_start))
    }

    /// Returns whether the transfer takes so long that another VM is to be asked as well.
    pub fn is_long(&self, now: Time) -> bool {
        now.since(self.started) >= MAX_TRANSFER_TIME
    }
}

/// How far this VM is behind the others in a topic.
#[derive(Debug, Default)]
pub struct Lag {
    /// Position that a peer has read, and since when this VM is behind it.
    behind: Option<(Position, Time)>,
}

impl Lag {
    /// Compares the next position of a peer with that of this VM; returns whether this VM has been
    /// behind for so long that its source counts as stale. The time then starts anew.
    pub fn record_peer(&mut self, now: Time, own: Position, peer: Position) -> bool {
        if peer <= own {
            return false;
        }
        let (_, since) = *self.behind.get_or_insert((peer, now));
        let is_stale = now.since(since) >= MAX_LAG;
        if is_stale {
            self.behind = None;
        }
        is_stale
    }

    /// Records that this VM has read the topic up to a position.
    pub fn record_read(&mut self, own: Position) {
        if self.behind.is_some_and(|(target, _)| own >= target) {
            self.behind = None;
        }
    }
}
