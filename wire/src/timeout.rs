//! Time limits by which others are judged.

use std::pin::pin;
use std::time::Duration;

use hemlock_lib::node::own_delay;
use tokio::time::Instant;

/// The time limit has passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed;

/// Waits for `future` for up to `limit`. If this process was not run when the time was up, the wait
/// goes on, for up to `limit` once more, so that what arrived meanwhile is read first.
///
/// A process that was stopped finds that timers have fired before it reads its sockets.
///
/// # Errors
///
/// Fails with [`Elapsed`] if the time is up.
pub async fn timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Result<T, Elapsed> {
    let mut future = pin!(future);
    let (mut wait, mut granted) = (limit, Duration::ZERO);
    loop {
        let due = Instant::now() + wait;
        if let Ok(output) = tokio::time::timeout(wait, future.as_mut()).await {
            return Ok(output);
        }
        let delay = Instant::now().saturating_duration_since(due);
        let extension = own_delay::extension(limit, granted, delay);
        let Some(extension) = extension else {
            return Err(Elapsed);
        };
        granted += extension;
        wait = extension;
    }
}
