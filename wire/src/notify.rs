//! Wakes tasks of any thread when something changed.

use std::sync::{Mutex, PoisonError};

use async_channel::{Receiver, Sender};

/// Tasks that wait for the next change.
#[derive(Debug, Default)]
pub struct Notifier {
    waiters: Mutex<Vec<Sender<()>>>,
}

impl Notifier {
    /// Returns a receiver that ends at the next change.
    ///
    /// Take it before looking at the state that may change, so that no change is missed.
    pub fn next_change(&self) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut waiters = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
        waiters.retain(|w| !w.is_closed());
        waiters.push(sender);
        receiver
    }

    /// Wakes all that wait.
    pub fn notify(&self) {
        self.waiters
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }
}

/// Waits until `changed` ends or `wait` has passed; returns whether it ended.
pub async fn wait(changed: Receiver<()>, wait: std::time::Duration) -> bool {
    let millis = ntex::time::Millis(wait.as_millis() as u32);
    ntex::time::timeout(millis, changed.recv()).await.is_ok()
}
