//! The last views that the event loop published, shared with the threads of the HTTP server.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hemlock_lib::codec;
use hemlock_lib::delta::{Delta, ViewReply, ViewUpdate};
use hemlock_lib::view::View;
use hemlock_wire::notify::{self, Notifier};

/// Number of last views kept. A delta can start from any of them.
const CAPACITY: usize = 8;

#[derive(Debug, Clone)]
struct PublishedView {
    published_at: Instant,
    view: Arc<View>,
}

/// The last published views, newest first.
#[derive(Debug)]
pub(crate) struct ViewHistory {
    run: u64,
    views: Mutex<VecDeque<PublishedView>>,
    notifier: Notifier,
}

impl ViewHistory {
    /// Makes an empty history for the agent run `run`.
    pub(crate) fn new(run: u64) -> Self {
        Self {
            run,
            views: Mutex::default(),
            notifier: Notifier::default(),
        }
    }

    /// Publishes a view and wakes the tasks that wait for one.
    pub(crate) fn publish(&self, view: Arc<View>) {
        let mut views = self.lock();
        views.truncate(CAPACITY - 1);
        views.push_front(PublishedView {
            published_at: Instant::now(),
            view,
        });
        drop(views);
        self.notifier.notify();
    }

    /// Returns whether the log or a peer is reachable according to the last view.
    pub(crate) fn is_ready(&self) -> bool {
        let last = self.lock().front().cloned();
        last.is_some_and(|p| p.view.log_up || p.view.peers_up)
    }

    /// Returns the encoded last view, once its version differs from `after` or `wait` has passed.
    ///
    /// Returns `None` if no view has been published.
    pub(crate) async fn encoded_view(&self, after: u64, wait: Duration) -> Option<Vec<u8>> {
        let last = self.wait_for_view(after, wait).await?;
        Some(codec::encode(&*last.view))
    }

    /// Returns the encoded reply that leads from the view `after` of the agent run `run` to the
    /// last view, once its version differs or `wait` has passed.
    ///
    /// The reply holds a delta if the view `after` is of this run and still kept; otherwise it holds
    /// the whole view. Returns `None` if no view has been published.
    pub(crate) async fn encoded_change(
        &self,
        run: u64,
        after: u64,
        wait: Duration,
    ) -> Option<Vec<u8>> {
        let after = if run == self.run { after } else { 0 };
        let last = self.wait_for_view(after, wait).await?;
        let base = self
            .lock()
            .iter()
            .find(|p| p.view.version == after)
            .cloned();
        let news = match base {
            None => ViewUpdate::Whole(Box::new(View::clone(&last.view))),
            Some(base) => {
                let elapsed_ms = last
                    .published_at
                    .duration_since(base.published_at)
                    .as_millis() as u64;
                ViewUpdate::Delta(Box::new(Delta::between(&base.view, &last.view, elapsed_ms)))
            }
        };
        let run = self.run;
        Some(codec::encode(&ViewReply { run, news }))
    }

    /// Returns the last view once its version differs from `after`, or as it is after `wait`.
    async fn wait_for_view(&self, after: u64, wait: Duration) -> Option<PublishedView> {
        let changed = self.notifier.next_change();
        let last = self.lock().front().cloned();
        if last.as_ref().is_some_and(|p| p.view.version != after) {
            return last;
        }
        notify::wait(changed, wait).await;
        self.lock().front().cloned()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, VecDeque<PublishedView>> {
        self.views.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
