//! Change notification across threads: wakes all tasks that wait for a change.

use std::sync::{Mutex, PoisonError};

use async_channel::{Receiver, Sender};

/// Wakes the tasks that wait for the next change.
#[derive(Debug, Default)]
pub struct Notifier {
    waiters: Mutex<Vec<Sender<()>>>,
}

impl Notifier {
    /// Returns a receiver that is closed at the next change.
    ///
    /// Call this before reading the state that may change, so that no change is missed.
    pub fn next_change(&self) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut waiters = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
        waiters.retain(|w| !w.is_closed());
        waiters.push(sender);
        receiver
    }

    /// Announces a change: wakes all tasks that wait for one.
    pub fn notify(&self) {
        self.waiters
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }
}

/// Waits until `changed` is closed, for at most `max_wait`; returns whether it was closed in time.
pub async fn wait(changed: Receiver<()>, max_wait: std::time::Duration) -> bool {
    let millis = ntex::time::Millis(max_wait.as_millis() as u32);
    ntex::time::timeout(millis, changed.recv()).await.is_ok()
}
