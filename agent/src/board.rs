//! The last view, where the HTTP threads find it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hemlock_lib::codec;
use hemlock_lib::view::View;
use hemlock_wire::notify::Notifier;

/// The last published view with its encoding.
#[derive(Debug, Default)]
pub(crate) struct Board {
    last: Mutex<(u64, Arc<Vec<u8>>)>,
    ready: AtomicBool,
    notifier: Notifier,
}

impl Board {
    /// Publishes a view.
    pub(crate) fn publish(&self, view: &View) {
        let bytes = Arc::new(codec::encode(view));
        let informed = view.log_up || view.peers_up;
        self.ready.store(informed, Ordering::Relaxed);
        *self.lock() = (view.version, bytes);
        self.notifier.notify();
    }

    /// Returns whether the last view came from a reachable log or peer.
    pub(crate) fn ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Returns the encoded view once it is newer than `after`, or the last one after `wait`.
    pub(crate) async fn after(&self, after: u64, wait: Duration) -> Arc<Vec<u8>> {
        let changed = self.notifier.next();
        let (version, bytes) = self.lock().clone();
        if version != after {
            return bytes;
        }
        crate::wait_change(changed, wait).await;
        self.lock().1.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, (u64, Arc<Vec<u8>>)> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
