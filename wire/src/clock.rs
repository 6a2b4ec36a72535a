//! The clocks of a process.

use std::time::{SystemTime, UNIX_EPOCH};

use hemlock_lib::time::Time;

/// Returns the present time since the Unix epoch.
pub fn now() -> Time {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Time(since.as_micros() as u64)
}

/// Returns the time since the machine's start, which no one sets and which counts a suspension.
pub fn since_boot() -> Time {
    let since = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Time(since.tv_sec as u64 * 1_000_000 + since.tv_nsec as u64 / 1_000)
}
