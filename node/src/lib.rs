//! The daemon of an entry VM on a hosted platform. It does the network I/O, on one thread, for the
//! decisions that [`hemlock_lib::node`] makes.
//!
//! `connections` accepts and `front` reads the requests of callers, whose bodies `body` holds, and `relay` forwards them to
//! endpoints over connections of `pool`. Which endpoint is chosen depends on what `store_watch` has
//! read from the store, directly or through another VM's `feed`, and on what `peer_datagrams` and
//! `load_exchange` have received from the other entry VMs. `path_watch` notices when this VM is cut
//! off from the endpoints; then it passes requests on to another one, where `peer_requests` takes
//! them. `leadership` forms the groups of engines while this VM is the one that plans. `stop` says
//! when the process may end.

mod body;
mod connections;
mod endpoint_changes;
mod evacuations;
mod feed;
mod front;
mod info_server;
mod leadership;
mod load_exchange;
mod metrics;
mod path_watch;
mod peer_datagrams;
mod peer_requests;
mod pool;
mod relay;
mod signals;
mod state;
mod stop;
mod store_watch;
mod warm_ups;

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use hemlock_lib::node::settings::NodeSettings;
use hemlock_wire::stdout_log::{self, Log};
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::{LocalSet, spawn_local};

use crate::metrics::Counter;
use crate::state::Node;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Interval between two batches of log lines.
const LOG_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which expired endpoints, peers and idle connections are removed.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the names of all metrics, which a test compares with their documentation.
pub fn metric_names() -> Vec<String> {
    metrics::names()
}

/// Runs the daemon with the settings that were read from `path`, until it is told to stop.
///
/// # Errors
///
/// Fails if the log, the runtime, a listener or the signal handlers can't be set up.
pub fn run(path: PathBuf, settings: NodeSettings) -> Result<(), String> {
    let log =
        stdout_log::open(&settings.log.level).map_err(|e| format!("can't start the log: {e}"))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()
        .map_err(|e| format!("can't start the runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, run_tasks(path, settings, Rc::new(log)))
}

/// Starts all tasks and waits for the end of the daemon.
async fn run_tasks(path: PathBuf, settings: NodeSettings, log: Rc<Log>) -> Result<(), String> {
    let listen = settings.listen.clone();
    let node = Node::new(settings);
    log::info!(
        "event=started node={} zone={} run={} front={} store={}",
        node.identity.node,
        node.identity.zone,
        node.identity.run,
        listen.front,
        node.settings.store.address
    );
    let peer_socket = peer_datagrams::bind(node.clone()).map_err(|e| listen_error("peer", &e))?;
    let front = bind(listen.front).map_err(|e| listen_error("front", &e))?;
    let ready = bind(listen.ready).map_err(|e| listen_error("ready", &e))?;
    let directory = bind(listen.directory).map_err(|e| listen_error("directory", &e))?;
    spawn_local(info_server::run(
        node.clone(),
        ready,
        info_server::Role::Ready,
    ));
    spawn_local(info_server::run(
        node.clone(),
        directory,
        info_server::Role::Directory,
    ));
    match bind(listen.metrics) {
        Ok(metrics) => {
            spawn_local(info_server::run(
                node.clone(),
                metrics,
                info_server::Role::Metrics,
            ));
        }
        Err(e) => log::warn!("event=metrics_unavailable cause=\"{e}\""),
    }
    spawn_local(connections::accept(
        node.clone(),
        front,
        "front",
        front::serve,
    ));
    let peer_listener = bind(listen.peer).map_err(|e| listen_error("peer", &e))?;
    spawn_local(connections::accept(
        node.clone(),
        peer_listener,
        "feed",
        feed::serve,
    ));
    spawn_local(store_watch::watch_config(node.clone()));
    spawn_local(store_watch::watch_endpoints(node.clone()));
    spawn_local(store_watch::watch_members(node.clone()));
    spawn_local(peer_datagrams::run(node.clone(), peer_socket));
    spawn_local(leadership::run(node.clone()));
    spawn_local(tick(node.clone()));
    spawn_local(write_log(node.clone(), log.clone()));
    signals::run_until_stopped(&node, &path, &log).await?;
    log::info!("event=stopped open={}", node.stop.open_requests());
    let dropped = log.flush_batch();
    if dropped > 0 {
        log::warn!("event=log_dropped lines={dropped}");
    }
    tokio::time::sleep(LOG_INTERVAL).await;
    Ok(())
}

fn listen_error(setting: &str, error: &std::io::Error) -> String {
    format!("can't listen on the address of listen.{setting}: {error}")
}

/// Binds a TCP listener that may reuse the address of an earlier run.
fn bind(address: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Passes log lines on to the writing thread at each interval, and reports dropped ones.
async fn write_log(node: Rc<Node>, log: Rc<Log>) {
    loop {
        tokio::time::sleep(LOG_INTERVAL).await;
        let dropped = log.flush_batch();
        if dropped > 0 {
            node.metrics.add(Counter::LogDropped, "full", dropped);
            log::warn!("event=log_dropped lines={dropped}");
        }
    }
}

async fn tick(node: Rc<Node>) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        node.tick();
    }
}
