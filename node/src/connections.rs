//! Connections that other processes open to this node: accepting, waiting for requests, closing.

use std::rc::Rc;
use std::time::Duration;

use hemlock_wire::http1::{Conn, HttpError, RequestHead};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::front::{self, ConnectionAction};
use crate::metrics::Counter;
use crate::state::Node;
use crate::stop::CountGuard;

/// Pause after a failed accept, which usually means a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time for which a closing node waits for the first bytes on a connection that it has just
/// accepted.
const FIRST_BYTES_TIMEOUT: Duration = Duration::from_millis(100);
/// Time that the other side has to read the last response before its connection is closed.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of reading the head of a request.
#[derive(Debug)]
pub(crate) enum HeadRead {
    Head(RequestHead),
    Failed(HttpError),
    /// The head took too long.
    TimedOut,
    /// There is no memory for more of the head at present.
    NoMemory,
    /// The rest of the head did not arrive before the end of the node.
    Stopping,
}

/// Accepts connections and serves each in a task of its own, until the node is closing. Those that
/// wait to be accepted by then are still served.
pub(crate) async fn accept<R>(
    node: Rc<Node>,
    listener: TcpListener,
    role: &'static str,
    serve: impl Fn(Rc<Node>, Conn) -> R,
) where
    R: Future<Output = ()> + 'static,
{
    let _listening = CountGuard::socket(&node);
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = node.stop.closing() => return,
        };
        match accepted.and_then(|(io, _)| Conn::new(io)) {
            Ok(mut conn) => {
                conn.count_in(&node.received);
                let guard = CountGuard::socket(&node);
                let served = serve(node.clone(), conn);
                spawn_local(async move {
                    served.await;
                    drop(guard);
                });
            }
            Err(e) => {
                log::warn!("event=accept_failed role={role} cause=\"{e}\"");
                node.metrics.count(Counter::AcceptsFailed, role);
                if node.stop.is_closing() {
                    return;
                }
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Waits for the first bytes of the next request on a connection; `is_new` says whether it is the
/// first one. Returns `false` if the connection should be closed instead. Nothing was read then.
pub(crate) async fn wait_for_request(
    node: &Node,
    conn: &mut Conn,
    idle_timeout: Duration,
    is_new: bool,
) -> bool {
    if conn.has_buffered_bytes() {
        return true;
    }
    let closing = async {
        node.stop.closing().await;
        if is_new {
            tokio::time::sleep(FIRST_BYTES_TIMEOUT).await;
        }
    };
    tokio::select! {
        biased;
        read = conn.fill() => matches!(read, Ok(1..)),
        () = closing => false,
        () = tokio::time::sleep(idle_timeout) => false,
    }
}

/// Reads the head of a request whose first bytes have arrived.
pub(crate) async fn read_head(
    node: &Node,
    conn: &mut Conn,
    limit: usize,
    timeout: Duration,
) -> HeadRead {
    tokio::select! {
        biased;
        read = receive_head(node, conn, limit) => read.unwrap_or_else(HeadRead::Failed),
        () = node.stop.rest_overdue() => HeadRead::Stopping,
        () = tokio::time::sleep(timeout) => HeadRead::TimedOut,
    }
}

async fn receive_head(node: &Node, conn: &mut Conn, limit: usize) -> Result<HeadRead, HttpError> {
    loop {
        if let Some(head) = conn.take_request_head(limit)? {
            return Ok(HeadRead::Head(head));
        }
        let (own, total) = (conn.buffered_len(), node.received.bytes());
        if !node.memory.borrow().may_buffer(own, total) {
            node.metrics.count(Counter::MemoryRefused, "head");
            return Ok(HeadRead::NoMemory);
        }
        conn.fill_head(limit).await?;
    }
}

/// Refuses a request whose rest did not arrive before the end of the node, and closes the
/// connection.
pub(crate) async fn refuse_unread(conn: &mut Conn) {
    let retry_after = Some(front::RETRY_ELSEWHERE_AFTER);
    if front::respond(conn, 503, "", retry_after, false).await == ConnectionAction::Close {
        linger(conn).await;
    }
}

/// Closes a connection in such a way that the other side can still read the last response: a close
/// with unread bytes would reset the connection.
pub(crate) async fn linger(conn: &mut Conn) {
    if conn.shutdown_write().await.is_err() {
        return;
    }
    let _ = tokio::time::timeout(LINGER_TIMEOUT, conn.discard_all()).await;
}
