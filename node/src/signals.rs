//! Signals: a graceful stop on SIGTERM, settings read anew on SIGHUP.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use hemlock_lib::node::settings::NodeSettings;
use hemlock_lib::time::Time;
use hemlock_wire::stdout_log::Log;
use tokio::signal::unix::{SignalKind, signal};

use crate::state::Node;

/// Time between two looks at the open requests of a stopping node.
const CHECK: Duration = Duration::from_millis(50);
/// Shortest time that a stopping node goes on serving: callers keep addresses for up to three
/// times what they are told, and learn a new one meanwhile.
const SERVE_ON: Duration = Duration::from_millis(5_500);
/// Time before the kill by which the process has ended.
const MARGIN: Duration = Duration::from_millis(500);
/// Time after the signal in which all requests are taken; later ones must end before the process does.
/// The users count answers that are cut off for requests of 3 s after it.
const TAKE_ALL: Duration = Duration::from_millis(2_500);

impl Node {
    /// Returns the time in which what comes now must have ended, for a node that has been stopping for
    /// long.
    pub(crate) fn must_end(&self, now: Time) -> Option<Duration> {
        let spent = now.since(self.stopping.get()?);
        (spent >= TAKE_ALL).then(|| self.grace().saturating_sub(spent))
    }

    /// Returns the time from the signal to the process's end at the latest.
    fn grace(&self) -> Duration {
        self.settings.bounds.grace().saturating_sub(MARGIN)
    }
}

/// Waits for the signal to stop, and then until the open requests have ended.
pub(crate) async fn wait(node: &Rc<Node>, path: &Path, log: &Log) -> Result<(), String> {
    let cause = |e| format!("can't wait for signals: {e}");
    let mut term = signal(SignalKind::terminate()).map_err(cause)?;
    let mut int = signal(SignalKind::interrupt()).map_err(cause)?;
    let mut hup = signal(SignalKind::hangup()).map_err(cause)?;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => reload(path, log),
        }
    }
    let started = node.now();
    node.stopping.set(Some(started));
    node.stop.notify_waiters();
    node.urgent.notify_one();
    log::info!("event=stopping open={}", node.open.get());
    if let Err(e) = node.store.leave(&node.planner_name()).await {
        log::warn!("event=leave_failed cause=\"{e}\"");
    }
    let grace = node.grace();
    loop {
        let spent = node.now().since(started);
        if spent >= grace || spent >= SERVE_ON && node.open.get() == 0 {
            return Ok(());
        }
        tokio::time::sleep(CHECK).await;
    }
}

fn reload(path: &Path, log: &Log) {
    match NodeSettings::open(path) {
        Ok(settings) => match log.set_level(&settings.log.level) {
            Ok(()) => log::info!("event=reloaded level={}", settings.log.level),
            Err(e) => log::error!("event=reload_refused cause=\"{e}\""),
        },
        Err(e) => log::error!("event=reload_refused cause=\"{e}\""),
    }
}
