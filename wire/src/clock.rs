//! Wall clock and monotonic clock.

use std::time::{SystemTime, UNIX_EPOCH};

use hemlock_lib::time::Time;

/// Returns the wall-clock time since the Unix epoch, with a resolution of 1 µs.
pub fn now() -> Time {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Time(since.as_micros() as u64)
}

/// Returns the monotonic time since the machine was booted, which includes time spent suspended and
/// is not affected by changes of the wall clock.
pub fn since_boot() -> Time {
    let since = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Time(since.tv_sec as u64 * 1_000_000 + since.tv_nsec as u64 / 1_000)
}
