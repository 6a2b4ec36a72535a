//! The graceful stop of the daemon.
//!
//! All tasks run on one thread, so no request can arrive between a check here and its effect.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hemlock_lib::graceful_stop::{GracefulStop, Phase};
use hemlock_lib::time::Time;
use tokio::sync::Notify;

use crate::state::Node;

/// Time for which a stopping node accepts requests. Callers keep addresses for up to three times as
/// long as they are told to, and nearly all learn a new one in this time.
const SERVING_TIME: Duration = Duration::from_millis(5_500);
/// Minimum time between the end of accepting requests and the end of the process.
const MIN_CLOSING_TIME: Duration = Duration::from_millis(1_500);
/// Time before SIGKILL by which the process must have ended.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Time before the end of the process by which a response must be complete, so that it can be sent.
const RESPONSE_MARGIN: Duration = Duration::from_millis(200);
/// Time after the signal within which all requests are accepted; later ones are accepted only if
/// they end before the process does. A request that arrives within 3 s of the signal must not be
/// cut off.
const ACCEPT_ALL_TIME: Duration = Duration::from_millis(2_500);
/// Time for which the rest of a request that was read in part is awaited once the node is closing.
const REST_TIMEOUT: Duration = Duration::from_millis(500);

/// Progress of the stop, and what it waits for.
#[derive(Debug, Default)]
pub(crate) struct Stop {
    /// When the signal arrived, and the times that follow from it.
    signal: Cell<Option<(Time, GracefulStop)>>,
    /// Whether the node has decided to end: listeners and idle connections are closed, and nothing
    /// is read but the rest of requests.
    closing: Cell<bool>,
    /// Wakes tasks when the signal arrives and when the node starts to close.
    changed: Notify,
    /// Listeners, and connections that were accepted and are not closed.
    sockets: Cell<usize>,
    /// Requests of which a byte was read and whose connection is not free again or closed.
    requests: Cell<usize>,
}

/// Counts a socket or a request until it is dropped.
#[derive(Debug)]
pub(crate) struct CountGuard {
    node: Rc<Node>,
    count: fn(&Stop) -> &Cell<usize>,
}

impl CountGuard {
    fn new(node: &Rc<Node>, count: fn(&Stop) -> &Cell<usize>) -> Self {
        let cell = count(&node.stop);
        cell.set(cell.get() + 1);
        Self {
            node: node.clone(),
            count,
        }
    }

    /// Counts a listener or a connection.
    pub(crate) fn socket(node: &Rc<Node>) -> Self {
        Self::new(node, |stop| &stop.sockets)
    }

    /// Counts an open request.
    pub(crate) fn request(node: &Rc<Node>) -> Self {
        Self::new(node, |stop| &stop.requests)
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        let cell = (self.count)(&self.node.stop);
        cell.set(cell.get() - 1);
    }
}

impl Stop {
    /// Starts the stop, of which the platform allows `grace` before SIGKILL.
    pub(crate) fn begin(&self, now: Time, grace: Duration) {
        let total = grace.saturating_sub(EXIT_MARGIN);
        let serving_time = SERVING_TIME.min(total.saturating_sub(MIN_CLOSING_TIME));
        let schedule = GracefulStop::new(now, serving_time, total - serving_time);
        self.signal.set(Some((now, schedule)));
        self.changed.notify_waiters();
    }

    /// Returns the phase of the stop at `now`, and starts to close when it is time. The process may
    /// end once the phase is [`Phase::Finished`].
    pub(crate) fn advance(&self, now: Time) -> Phase {
        let Some((_, schedule)) = self.signal.get() else {
            return Phase::Leaving;
        };
        let phase = schedule.phase(now, self.sockets.get());
        if phase != Phase::Leaving && !self.closing.replace(true) {
            log::info!(
                "event=closing open={} sockets={}",
                self.requests.get(),
                self.sockets.get()
            );
            self.changed.notify_waiters();
            return Phase::Draining;
        }
        phase
    }

    /// Returns the number of open requests.
    pub(crate) fn open_requests(&self) -> usize {
        self.requests.get()
    }

    /// Returns whether the signal has arrived.
    pub(crate) fn is_stopping(&self) -> bool {
        self.signal.get().is_some()
    }

    /// Returns whether the node has decided to end.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Returns the time in which a request that arrives now must end, if the signal arrived more
    /// than [`ACCEPT_ALL_TIME`] ago.
    pub(crate) fn time_left(&self, now: Time) -> Option<Duration> {
        let (since, schedule) = self.signal.get()?;
        let time_left = schedule.deadline().since(now);
        (now.since(since) >= ACCEPT_ALL_TIME).then(|| time_left.saturating_sub(RESPONSE_MARGIN))
    }

    /// Waits until the signal has arrived.
    pub(crate) async fn stopping(&self) {
        self.wait_until(Self::is_stopping).await;
    }

    /// Waits until the node has decided to end.
    pub(crate) async fn closing(&self) {
        self.wait_until(Self::is_closing).await;
    }

    /// Waits until the rest of a request is no longer awaited.
    pub(crate) async fn rest_overdue(&self) {
        self.closing().await;
        tokio::time::sleep(REST_TIMEOUT).await;
    }

    async fn wait_until(&self, is_reached: impl Fn(&Self) -> bool) {
        loop {
            let changed = self.changed.notified();
            if is_reached(self) {
                return;
            }
            changed.await;
        }
    }
}
