//! Decides when an entry VM sends its heartbeat to all others.

use std::time::Duration;

use crate::time::Time;

/// Minimum interval between two regular heartbeats.
const MIN_INTERVAL: Duration = Duration::from_millis(200);
/// Heartbeat interval per entry VM, which applies once its product with the number of entry VMs
/// exceeds [`MIN_INTERVAL`].
const INTERVAL_PER_VM: Duration = Duration::from_millis(12);
/// Minimum interval between any two heartbeats.
const MIN_GAP: Duration = Duration::from_millis(20);
/// Minimum time after a heartbeat until one that announces a configuration: changes in quick succession
/// are announced together.
const ANNOUNCEMENT_GAP: Duration = Duration::from_millis(100);
/// Early heartbeats in each interval, so that the number that a VM receives in a second does not
/// grow with the number of VMs, also if all of them have urgent news all the time.
const EARLY_PER_INTERVAL: u32 = 2;

/// Returns the interval between two regular heartbeats. It grows with the number of entry VMs,
/// so that the number of heartbeats that a VM receives in a second does not.
pub fn interval(entry_vms: usize) -> Duration {
    MIN_INTERVAL.max(INTERVAL_PER_VM * entry_vms as u32)
}

/// The heartbeats that this VM has sent.
#[derive(Debug, Default)]
pub struct HeartbeatPace {
    sent_at: Option<Time>,
    early_at: Option<Time>,
}

impl HeartbeatPace {
    /// Records that a heartbeat was sent, and whether that was before the regular time.
    pub fn record_sent(&mut self, now: Time, is_early: bool) {
        self.sent_at = Some(now);
        if is_early {
            self.early_at = Some(now);
        }
    }

    /// Returns when the next regular heartbeat is due.
    pub fn regular_at(&self, now: Time, entry_vms: usize) -> Time {
        self.sent_at.map_or(now, |at| at + interval(entry_vms))
    }

    /// Returns when the next heartbeat may be sent that announces a new configuration, no later than the
    /// regular one. Only the first VMs that have it announce it, so that these are few.
    pub fn announcement_at(&self, now: Time, entry_vms: usize) -> Time {
        let after_last = self.sent_at.map_or(now, |at| at + ANNOUNCEMENT_GAP);
        after_last
            .max(now)
            .min(self.regular_at(now, entry_vms).max(now))
    }

    /// Returns when the next heartbeat may be sent if there is something urgent, no later than the
    /// regular one.
    pub fn urgent_at(&self, now: Time, entry_vms: usize) -> Time {
        let after_last = self.sent_at.map_or(now, |at| at + MIN_GAP);
        let spacing = interval(entry_vms) / EARLY_PER_INTERVAL;
        let after_early = self.early_at.map_or(now, |at| at + spacing);
        let earliest = after_last.max(after_early).max(now);
        earliest.min(self.regular_at(now, entry_vms))
    }
}
