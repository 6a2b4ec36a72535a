//! The last views, where the HTTP threads find them.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hemlock_lib::codec;
use hemlock_lib::delta::{Delta, ViewReply, ViewUpdate};
use hemlock_lib::view::View;
use hemlock_wire::notify::{self, Notifier};

/// Views that a delta may start from.
const BASES: usize = 8;

#[derive(Debug, Clone)]
struct Published {
    at: Instant,
    view: Arc<View>,
}

/// The last published views.
#[derive(Debug)]
pub(crate) struct Board {
    run: u64,
    views: Mutex<VecDeque<Published>>,
    notifier: Notifier,
}

impl Board {
    /// Makes an empty board of the agent run `run`.
    pub(crate) fn new(run: u64) -> Self {
        Self {
            run,
            views: Mutex::default(),
            notifier: Notifier::default(),
        }
    }

    /// Publishes a view.
    pub(crate) fn publish(&self, view: Arc<View>) {
        let mut views = self.lock();
        views.truncate(BASES - 1);
        views.push_front(Published {
            at: Instant::now(),
            view,
        });
        drop(views);
        self.notifier.notify();
    }

    /// Returns whether the last view came from a reachable log or peer.
    pub(crate) fn ready(&self) -> bool {
        let last = self.lock().front().cloned();
        last.is_some_and(|p| p.view.log_up || p.view.peers_up)
    }

    /// Returns the encoded view, once there is one that is newer than `after`.
    pub(crate) async fn after(&self, after: u64, wait: Duration) -> Option<Vec<u8>> {
        let last = self.last(after, wait).await?;
        Some(codec::encode(&*last.view))
    }

    /// Returns the encoded change since the view `after` of the agent run `run`.
    pub(crate) async fn change(&self, run: u64, after: u64, wait: Duration) -> Option<Vec<u8>> {
        let after = if run == self.run { after } else { 0 };
        let last = self.last(after, wait).await?;
        let base = self
            .lock()
            .iter()
            .find(|p| p.view.version == after)
            .cloned();
        let news = match base {
            None => ViewUpdate::Whole(Box::new(View::clone(&last.view))),
            Some(base) => {
                let aged = last.at.duration_since(base.at).as_millis() as u64;
                ViewUpdate::Delta(Box::new(Delta::between(&base.view, &last.view, aged)))
            }
        };
        let run = self.run;
        Some(codec::encode(&ViewReply { run, news }))
    }

    /// Returns the last view once it is newer than `after`, or as it is after `wait`.
    async fn last(&self, after: u64, wait: Duration) -> Option<Published> {
        let changed = self.notifier.next_change();
        let last = self.lock().front().cloned();
        if last.as_ref().is_some_and(|p| p.view.version != after) {
            return last;
        }
        notify::wait(changed, wait).await;
        self.lock().front().cloned()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, VecDeque<Published>> {
        self.views.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
