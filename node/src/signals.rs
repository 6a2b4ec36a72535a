//! Signals: graceful stop on SIGTERM and SIGINT, reload of the log level on SIGHUP.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use hemlock_lib::node::settings::NodeSettings;
use hemlock_lib::time::Time;
use hemlock_wire::stdout_log::Log;
use tokio::signal::unix::{SignalKind, signal};

use crate::state::Node;

/// Interval between two checks of the open requests while the node is stopping.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time for which a stopping node continues to serve. Callers keep addresses for up to
/// three times as long as they are told to, and learn a new one in this time.
const MIN_SERVING_TIME: Duration = Duration::from_millis(5_500);
/// Time before SIGKILL by which the process must have ended.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Time after the signal within which all requests are accepted; later ones are accepted only if
/// they end before the process does. A request that arrives within 3 s of the signal must not be
/// cut off.
const ACCEPT_ALL_TIME: Duration = Duration::from_millis(2_500);

impl Node {
    /// Returns the time until the process ends at the latest, if the node has been stopping for
    /// longer than [`ACCEPT_ALL_TIME`]: a request that arrives now must end within it.
    pub(crate) fn time_until_exit(&self, now: Time) -> Option<Duration> {
        let elapsed = now.since(self.stopping_since.get()?);
        (elapsed >= ACCEPT_ALL_TIME).then(|| self.grace().saturating_sub(elapsed))
    }

    /// Returns the maximum time from the signal to the end of the process.
    fn grace(&self) -> Duration {
        self.settings.bounds.grace().saturating_sub(EXIT_MARGIN)
    }
}

/// Waits for the signal to stop, and then until the open requests have ended or the grace period is
/// over.
///
/// # Errors
///
/// Fails if the signal handlers can't be installed.
pub(crate) async fn run_until_stopped(
    node: &Rc<Node>,
    path: &Path,
    log: &Log,
) -> Result<(), String> {
    let signal_error = |e| format!("can't wait for signals: {e}");
    let mut sigterm = signal(SignalKind::terminate()).map_err(signal_error)?;
    let mut sigint = signal(SignalKind::interrupt()).map_err(signal_error)?;
    let mut sighup = signal(SignalKind::hangup()).map_err(signal_error)?;
    loop {
        tokio::select! {
            _ = sigterm.recv() => break,
            _ = sigint.recv() => break,
            _ = sighup.recv() => reload(path, log),
        }
    }
    let started = node.now();
    node.stopping_since.set(Some(started));
    node.stop_requested.notify_waiters();
    node.send_now.notify_one();
    log::info!("event=stopping open={}", node.open_requests.get());
    if let Err(e) = node.store.leave_planners(&node.planner_name()).await {
        log::warn!("event=leave_failed cause=\"{e}\"");
    }
    let grace = node.grace();
    loop {
        let elapsed = node.now().since(started);
        if elapsed >= grace || elapsed >= MIN_SERVING_TIME && node.open_requests.get() == 0 {
            return Ok(());
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Rereads the settings and applies their log level.
fn reload(path: &Path, log: &Log) {
    match NodeSettings::open(path) {
        Ok(settings) => match log.set_level(&settings.log.level) {
            Ok(()) => log::info!("event=reloaded level={}", settings.log.level),
            Err(e) => log::error!("event=reload_refused cause=\"{e}\""),
        },
        Err(e) => log::error!("event=reload_refused cause=\"{e}\""),
    }
}
