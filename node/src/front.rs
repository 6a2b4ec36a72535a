//! Callers' connections: reads requests, finds their routes and accounts, and has them relayed.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hemlock_lib::node::balance;
use hemlock_lib::node::config::{Account, Caller, Config, Route};
use hemlock_lib::node::quarantine;
use hemlock_lib::time::Time;
use hemlock_platform::requests::{self, CallMeta};
use hemlock_platform::store::Topic;
use hemlock_wire::http1::{self, Conn, HttpError, RequestHead};
use rand::Rng;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::metrics::Counter;
use crate::relay;
use crate::state::Node;

/// Wait after a failed accept, which a lack of descriptors causes.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time that a caller's wait counts if it names none.
const NO_DEADLINE: Duration = Duration::from_secs(30);
/// Time for which a stopping node keeps an idle connection: callers ask for addresses anew.
const IDLE_STOP: Duration = Duration::from_secs(3);
/// Time in which the last answer on a connection is read before its end.
const LINGER: Duration = Duration::from_millis(300);
/// Wait before a caller tries another VM, which takes it at once.
pub(crate) const ELSEWHERE_WAIT: Duration = Duration::from_millis(20);
/// Wait before a request that breaks endpoints may come again.
const BREAKING_WAIT: Duration = Duration::from_secs(60);

/// A request that was read in whole.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) head: RequestHead,
    pub(crate) meta: CallMeta,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) account: Option<Arc<Account>>,
    pub(crate) config: Rc<Config>,
    pub(crate) received: Time,
    /// When its answer is of no more use, or the operators want it ended.
    pub(crate) deadline: Time,
    /// Fingerprint by which it is known if it comes again.
    pub(crate) print: u64,
}

/// What becomes of the caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Next {
    /// Another request may come.
    Keep,
    /// The answer is complete; the connection ends.
    Close,
    /// The answer is not complete, or the caller is gone.
    Abort,
}

/// Accepts callers for good.
pub(crate) async fn accept(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((io, _)) => match Conn::new(io) {
                Ok(conn) => {
                    spawn_local(serve(node.clone(), conn));
                }
                Err(e) => log::debug!("event=accept_failed cause=\"{e}\""),
            },
            Err(e) => {
                log::warn!("event=accept_failed cause=\"{e}\"");
                node.metrics.count(Counter::AcceptsFailed, "front");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(node: Rc<Node>, mut conn: Conn) {
    loop {
        if !conn.has_buffered_bytes() && !wait_for_request(&node, &mut conn).await {
            return;
        }
        let limits = node.config().map(|c| c.limits).unwrap_or_default();
        let read = conn.read_request_head(limits.head_bytes);
        let head = match tokio::time::timeout(limits.head_timeout, read).await {
            Ok(Ok(head)) => head,
            Ok(Err(HttpError::HeadTooLarge)) => return reject(&mut conn, 431).await,
            Ok(Err(HttpError::Malformed(cause))) => {
                log::info!("event=malformed cause=\"{cause}\"");
                return reject(&mut conn, 400).await;
            }
            Ok(Err(_)) => return,
            Err(_) => return reject(&mut conn, 408).await,
        };
        node.open_requests.set(node.open_requests.get() + 1);
        let next = handle(&node, &mut conn, head).await;
        node.open_requests.set(node.open_requests.get() - 1);
        match next {
            Next::Keep => {}
            Next::Close => return linger(&mut conn).await,
            Next::Abort => return,
        }
    }
}

/// Waits for the first byte of a request; false says that the connection is over.
async fn wait_for_request(node: &Node, conn: &mut Conn) -> bool {
    let idle = node
        .config()
        .map(|c| c.limits)
        .unwrap_or_default()
        .idle_timeout;
    let idle = match node.stopping_since.get() {
        Some(_) => IDLE_STOP.min(idle),
        None => idle,
    };
    let stopped = async {
        if node.stopping_since.get().is_none() {
            node.stop_requested.notified().await;
        }
        tokio::time::sleep(IDLE_STOP).await;
    };
    tokio::select! {
        read = tokio::time::timeout(idle, conn.fill()) => matches!(read, Ok(Ok(1..))),
        () = stopped => false,
    }
}

async fn handle(node: &Rc<Node>, conn: &mut Conn, head: RequestHead) -> Next {
    let received = node.now();
    let meta = requests::read_call(&head.headers);
    let wait = meta.deadline.unwrap_or(NO_DEADLINE);
    let config = node.config();
    let limits = config.as_ref().map(|c| c.limits).unwrap_or_default();
    if meta.expects_leave && conn.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
        return Next::Abort;
    }
    let mut framing = head.body_framing;
    let read = conn.read_body(&mut framing, limits.body_bytes);
    let body = match tokio::time::timeout(wait, read).await {
        Ok(Ok(Some(body))) => body,
        Ok(Ok(None)) => {
            reject(conn, 413).await;
            return Next::Abort;
        }
        Ok(Err(HttpError::Malformed(cause))) => {
            log::info!(
                "event=malformed request={} cause=\"{cause}\"",
                meta.request_id
            );
            reject(conn, 400).await;
            return Next::Abort;
        }
        Ok(Err(_)) | Err(_) => return Next::Abort,
    };
    let id = meta.request_id.clone();
    let keep = head.keep_alive && node.stopping_since.get().is_none();
    let Some(config) = config else {
        return refuse(node, conn, &id, "no_config", come_back(wait), keep).await;
    };
    let Some(route) = config.route(&meta.host, &head.target).cloned() else {
        return deny(node, conn, &id, 404, &config, wait, keep).await;
    };
    let account = match config.caller(&route, meta.key.as_deref()) {
        Caller::Account(account) => Some(account),
        Caller::Anonymous => None,
        Caller::Unknown => return deny(node, conn, &id, 401, &config, wait, keep).await,
    };
    let most = wait.min(route.timeout);
    let outlasts = node
        .time_until_exit(received)
        .is_some_and(|left| most > left);
    if outlasts && !route.request_kind.is_stream() {
        return refuse(node, conn, &id, "stopping", ELSEWHERE_WAIT, keep).await;
    }
    let name = account.as_ref().map_or("", |a| &*a.name);
    let print = quarantine::fingerprint(&head.target, name, &body);
    if node.quarantine.borrow().is_quarantined(received, print) {
        return refuse(node, conn, &id, "breaks_endpoints", BREAKING_WAIT, keep).await;
    }
    let request = Request {
        deadline: received + wait.min(route.timeout),
        head,
        meta,
        body,
        route,
        account,
        config,
        received,
        print,
    };
    relay::relay(node, conn, &request, keep).await
}

/// Says that no configuration in force allows a request; without the store, this VM can't know.
async fn deny(
    node: &Rc<Node>,
    conn: &mut Conn,
    id: &str,
    status: u16,
    config: &Config,
    wait: Duration,
    keep: bool,
) -> Next {
    if !node.feed(Topic::Config).store_up.get() {
        return refuse(node, conn, id, "config_may_be_old", come_back(wait), keep).await;
    }
    log::info!(
        "event=denied request={id} status={status} config={}",
        config.version
    );
    node.metrics
        .count(Counter::Denied, if status == 401 { "key" } else { "route" });
    answer(conn, status, id, None, keep).await
}

/// Returns when a caller that waits for so long may come back.
pub(crate) fn come_back(wait: Duration) -> Duration {
    balance::retry_after(wait, rand::rng().random_range(0.0..1.0))
}

/// Refuses a request that has not run, and says when it may come again.
pub(crate) async fn refuse(
    node: &Rc<Node>,
    conn: &mut Conn,
    id: &str,
    cause: &'static str,
    after: Duration,
    keep: bool,
) -> Next {
    log::info!(
        "event=refused request={id} cause={cause} after_ms={} list={}",
        after.as_millis(),
        node.endpoints.borrow().version()
    );
    node.metrics.count(Counter::Refused, cause);
    answer(conn, 503, id, Some(after), keep).await
}

/// Sends an answer of the system's own, without a body.
pub(crate) async fn answer(
    conn: &mut Conn,
    status: u16,
    id: &str,
    after: Option<Duration>,
    keep: bool,
) -> Next {
    let mut out = requests::encode_own(status, id, after);
    http1::put_header(&mut out, "Content-Length", b"0");
    if !keep {
        http1::put_header(&mut out, "Connection", b"close");
    }
    out.extend_from_slice(b"\r\n");
    match (conn.write(&out).await, keep) {
        (Err(_), _) => Next::Abort,
        (Ok(()), true) => Next::Keep,
        (Ok(()), false) => Next::Close,
    }
}

/// Answers a request that can't be read, and ends the connection.
async fn reject(conn: &mut Conn, status: u16) {
    let _ = answer(conn, status, "", None, false).await;
    linger(conn).await;
}

/// Ends a connection so that its last answer is read before it goes.
async fn linger(conn: &mut Conn) {
    if conn.shutdown_write().await.is_err() {
        return;
    }
    let drain = async { while matches!(conn.fill().await, Ok(1..)) {} };
    let _ = tokio::time::timeout(LINGER, drain).await;
}
