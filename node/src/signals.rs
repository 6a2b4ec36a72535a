//! Signals: graceful stop on SIGTERM and SIGINT, reload of the log level on SIGHUP.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use hemlock_lib::graceful_stop::Phase;
use hemlock_lib::node::settings::NodeSettings;
use hemlock_wire::stdout_log::Log;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::spawn_local;

use crate::state::Node;

/// Interval between two checks whether a stopping node may end.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Waits for the signal to stop, and then until no connection is open or the grace period is over.
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
    node.stop.begin(node.now(), node.settings.bounds.grace());
    node.send_now.notify_one();
    log::info!("event=stopping open={}", node.stop.open_requests());
    spawn_local(leave_planners(node.clone()));
    while node.stop.advance(node.now()) != Phase::Finished {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    Ok(())
}

/// Gives up the planner's lease, so that another node can plan at once.
async fn leave_planners(node: Rc<Node>) {
    if let Err(e) = node.store.leave_planners(&node.planner_name()).await {
        log::warn!("event=leave_failed cause=\"{e}\"");
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
