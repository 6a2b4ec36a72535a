//! The wall clock of a process.

use std::time::{SystemTime, UNIX_EPOCH};

use hemlock_lib::time::Time;

/// Returns the present time since the Unix epoch.
pub fn now() -> Time {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Time(since.as_micros() as u64)
}
