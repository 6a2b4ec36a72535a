//! Connecting to endpoints and peers.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::balance::Candidate;
use hemlock_lib::node::reach::PathFailure;
use hemlock_wire::http1::Conn;
use tokio::task::spawn_local;

use super::{FAILED_CONNECT, Relay, SLOW_CONNECT, SendOutcome};
use crate::metrics::Counter;
use crate::path_watch;
use crate::state::Node;

/// Time for which a request waits for a connection to an endpoint; a live one needs a few network delays
/// for the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of connecting. The first packet is sent again after a second if it is lost.
const MAX_CONNECT_TIME: Duration = Duration::from_millis(1_500);

impl Relay<'_> {
    /// Connects to an endpoint, or to a peer if `endpoint` is `None`, unless the caller disconnects
    /// first. A connection to an endpoint that takes too long is kept for later once it is there.
    pub(super) async fn connect(
        &mut self,
        caller: &mut Conn,
        address: SocketAddr,
        endpoint: Option<&Candidate>,
    ) -> Result<Conn, SendOutcome> {
        let kind = endpoint.map_or("peer", |_| "endpoint");
        self.node.metrics.count(Counter::Connects, kind);
        let mut connect = Box::pin(Conn::connect(address, MAX_CONNECT_TIME));
        let mut timeout = std::pin::pin!(tokio::time::sleep(CONNECT_TIMEOUT));
        loop {
            tokio::select! {
                biased;
                conn = &mut connect => {
                    if let (Err(_), Some(to)) = (&conn, endpoint) {
                        self.node.note_path_failure(&to.id, PathFailure::Connect);
                    }
                    return conn.map_err(|_| SendOutcome::NotRun(FAILED_CONNECT));
                }
                disconnected = self.caller_disconnected(caller) => {
                    if disconnected { return Err(SendOutcome::CallerLeft) }
                }
                () = &mut timeout => {
                    if let Some(to) = endpoint {
                        self.node.note_path_failure(&to.id, PathFailure::Connect);
                        spawn_local(keep_late(self.node.clone(), to.id.clone(), connect));
                    }
                    return Err(SendOutcome::NotRun(SLOW_CONNECT));
                }
            }
        }
    }
}

/// Keeps a connection to an endpoint for other sends once it is established.
async fn keep_late(
    node: Rc<Node>,
    id: Arc<str>,
    connect: Pin<Box<impl Future<Output = io::Result<Conn>>>>,
) {
    match connect.await {
        Ok(conn) => {
            path_watch::confirm_connected(&node, &id);
            node.pool.put(node.now(), &id, conn, None);
        }
        Err(e) => log::debug!("event=connect_failed id={id} cause=\"{e}\""),
    }
}
