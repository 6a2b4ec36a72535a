//! The daemon of an entry VM on a hosted platform: sockets and tasks around the decisions of
//! [`hemlock_lib::node`], all on one thread.
//!
//! A request comes in at `front`, is sent on by `relay` over connections of `pool`, and meets what
//! `follow` has read from the store, `gossip` has heard from the other entry VMs and `duty` has
//! formed if this VM plans.

mod feed;
mod front;
mod info_server;
mod leadership;
mod load_exchange;
mod metrics;
mod peer_datagrams;
mod pool;
mod relay;
mod signals;
mod state;
mod store_watch;

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use hemlock_lib::node::settings::NodeSettings;
use hemlock_wire::stdout_log::{self, Log};
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::{LocalSet, spawn_local};

use crate::metrics::Counter;
use crate::state::Node;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Time between two batches of log lines.
const LOG_EVERY: Duration = Duration::from_millis(100);
/// Time between two looks at what only time changes.
const TICK: Duration = Duration::from_millis(100);

/// Lists the names of all metrics, for the page that describes them.
pub fn metric_names() -> Vec<String> {
    metrics::names()
}

/// Runs the daemon until it is told to stop.
pub fn run(path: PathBuf, settings: NodeSettings) -> Result<(), String> {
    let log =
        stdout_log::open(&settings.log.level).map_err(|e| format!("can't start the log: {e}"))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()
        .map_err(|e| format!("can't start the runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, serve_all(path, settings, Rc::new(log)))
}

async fn serve_all(path: PathBuf, settings: NodeSettings, log: Rc<Log>) -> Result<(), String> {
    let listen = settings.listen.clone();
    let node = Node::new(settings);
    log::info!(
        "event=started node={} zone={} run={} front={} store={}",
        node.me.node,
        node.me.zone,
        node.me.run,
        listen.front,
        node.settings.store.address
    );
    let gossip = peer_datagrams::bind(node.clone()).map_err(|e| fault("peer", &e))?;
    let front = bind(listen.front).map_err(|e| fault("front", &e))?;
    let ready = bind(listen.ready).map_err(|e| fault("ready", &e))?;
    let directory = bind(listen.directory).map_err(|e| fault("directory", &e))?;
    spawn_local(info_server::accept(
        node.clone(),
        ready,
        info_server::Role::Ready,
    ));
    spawn_local(info_server::accept(
        node.clone(),
        directory,
        info_server::Role::Directory,
    ));
    match bind(listen.metrics) {
        Ok(metrics) => {
            spawn_local(info_server::accept(
                node.clone(),
                metrics,
                info_server::Role::Metrics,
            ));
        }
        Err(e) => log::warn!("event=metrics_unavailable cause=\"{e}\""),
    }
    spawn_local(front::accept(node.clone(), front));
    let feed = bind(listen.peer).map_err(|e| fault("peer", &e))?;
    spawn_local(feed::accept(node.clone(), feed));
    spawn_local(store_watch::config(node.clone()));
    spawn_local(store_watch::endpoints(node.clone()));
    spawn_local(store_watch::members(node.clone()));
    spawn_local(peer_datagrams::run(node.clone(), gossip));
    spawn_local(leadership::run(node.clone()));
    spawn_local(tick(node.clone()));
    spawn_local(write_log(node.clone(), log.clone()));
    signals::wait(&node, &path, &log).await?;
    log::info!("event=stopped open={}", node.open.get());
    let dropped = log.flush_batch();
    if dropped > 0 {
        log::warn!("event=log_dropped lines={dropped}");
    }
    tokio::time::sleep(LOG_EVERY).await;
    Ok(())
}

fn fault(what: &str, error: &std::io::Error) -> String {
    format!("can't listen for {what}: {error}")
}

fn bind(address: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn write_log(node: Rc<Node>, log: Rc<Log>) {
    loop {
        tokio::time::sleep(LOG_EVERY).await;
        let dropped = log.flush_batch();
        if dropped > 0 {
            node.metrics.add(Counter::LogDropped, "full", dropped);
            log::warn!("event=log_dropped lines={dropped}");
        }
    }
}

async fn tick(node: Rc<Node>) {
    loop {
        tokio::time::sleep(TICK).await;
        node.tick();
    }
}
