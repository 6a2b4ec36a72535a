//! Connections of callers: reads requests, determines their routes and client accounts, and relays
//! them.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::balance;
use hemlock_lib::node::config::{Account, Caller, Config, Route};
use hemlock_lib::node::passing::{self, PassedRequest};
use hemlock_lib::node::quarantine::{Suspect, Suspects};
use hemlock_lib::time::Time;
use hemlock_platform::requests::{self, RequestMeta};
use hemlock_wire::http1::{self, Conn, Framing, HttpError, RequestHead};
use rand::Rng;

use crate::body::{self, Body, BodyError};
use crate::connections::{self, HeadRead};
use crate::metrics::Counter;
use crate::relay;
use crate::state::Node;
use crate::stop::CountGuard;

/// Time that a caller is assumed to wait if its request has no deadline.
const DEFAULT_WAIT: Duration = Duration::from_secs(30);
/// Time for which a stopping node keeps an idle connection; in this time callers ask for addresses
/// again.
const STOPPING_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// `Retry-After` of a request that another VM will accept at once.
pub(crate) const RETRY_ELSEWHERE_AFTER: Duration = Duration::from_millis(20);
/// `Retry-After` of a request for whose head there is no memory.
const HEAD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` of a request that is quarantined, or has a quarantined part.
pub(crate) const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(60);

/// A request that was read in full, with what is known of it.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) head: RequestHead,
    pub(crate) meta: RequestMeta,
    pub(crate) body: Body,
    pub(crate) route: Arc<Route>,
    pub(crate) account: Option<Arc<Account>>,
    pub(crate) config: Rc<Config>,
    pub(crate) received: Time,
    /// When the caller stops waiting or the timeout of the route ends, whichever is earlier.
    pub(crate) deadline: Time,
    /// The suspects of the request if it crashes endpoints.
    pub(crate) suspects: Suspects,
    /// The message of the peer that passed the request on.
    pub(crate) passed: Option<PassedRequest>,
}

/// What to do with a caller's connection after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionAction {
    /// Keep it open for another request.
    KeepOpen,
    /// Close it in an orderly way, since the response is complete.
    Close,
    /// Close it at once, since the response is incomplete or the caller has disconnected.
    Abort,
}

/// Handles the requests on one connection.
pub(crate) async fn serve(node: Rc<Node>, mut conn: Conn) {
    let mut is_new = true;
    while wait_for_request(&node, &mut conn, is_new).await {
        is_new = false;
        let _open = CountGuard::request(&node);
        let limits = node.config().map(|c| c.limits).unwrap_or_default();
        let read =
            connections::read_head(&node, &mut conn, limits.head_bytes, limits.head_timeout).await;
        let action = match read {
            HeadRead::Head(mut head) => {
                // Only entry VMs speak to each other by these headers.
                head.headers.remove_prefixed(passing::HEADER_PREFIX);
                handle_request(&node, &mut conn, head).await
            }
            HeadRead::Stopping => {
                let after = RETRY_ELSEWHERE_AFTER;
                refuse(&node, &mut conn, "", "stopping", after, false).await
            }
            HeadRead::NoMemory => {
                refuse(&node, &mut conn, "", "memory", HEAD_RETRY_AFTER, false).await
            }
            HeadRead::TimedOut => respond(&mut conn, 408, "", None, false).await,
            HeadRead::Failed(HttpError::HeadTooLarge) => {
                respond(&mut conn, 431, "", None, false).await
            }
            HeadRead::Failed(HttpError::Malformed(cause)) => {
                log::info!("event=malformed cause=\"{cause}\"");
                respond(&mut conn, 400, "", None, false).await
            }
            HeadRead::Failed(_) => ConnectionAction::Abort,
        };
        match action {
            ConnectionAction::KeepOpen => {}
            ConnectionAction::Close => return connections::linger(&mut conn).await,
            ConnectionAction::Abort => return,
        }
    }
}

/// Waits for the first bytes of a request; returns `false` if the connection should be closed
/// instead.
async fn wait_for_request(node: &Node, conn: &mut Conn, is_new: bool) -> bool {
    let limits = node.config().map(|c| c.limits).unwrap_or_default();
    let idle_timeout = match node.stop.is_stopping() {
        true => STOPPING_IDLE_TIMEOUT.min(limits.idle_timeout),
        false => limits.idle_timeout,
    };
    let stopping = async {
        node.stop.stopping().await;
        tokio::time::sleep(STOPPING_IDLE_TIMEOUT).await;
    };
    tokio::select! {
        biased;
        arrived = connections::wait_for_request(node, conn, idle_timeout, is_new) => arrived,
        () = stopping => false,
    }
}

/// Reads the body of a request, checks the request, and relays or refuses it.
async fn handle_request(node: &Rc<Node>, conn: &mut Conn, head: RequestHead) -> ConnectionAction {
    let received = node.now();
    let meta = requests::read_request_meta(&head.headers);
    let wait = meta.max_wait.unwrap_or(DEFAULT_WAIT);
    let config = node.config();
    let limits = config.as_ref().map(|c| c.limits).unwrap_or_default();
    let route = config
        .as_ref()
        .and_then(|c| c.route(&meta.host, &head.target).cloned());
    let caller = match (&config, &route) {
        (Some(config), Some(route)) => Some(config.caller(route, meta.api_key.as_deref())),
        _ => None,
    };
    let owner = body::owner(caller.as_ref(), conn);
    let mut framing = head.body_framing;
    let read = match Body::admit(node, owner, &framing, limits.body_bytes) {
        Ok(body) => {
            if meta.expects_continue && conn.write(http1::CONTINUE).await.is_err() {
                return ConnectionAction::Abort;
            }
            tokio::select! {
                biased;
                body = body.read(conn, &mut framing, limits.body_bytes) => Some(body),
                () = node.stop.rest_overdue() => None,
                () = tokio::time::sleep(wait) => return ConnectionAction::Abort,
            }
        }
        Err(BodyError::NoMemory { needed }) if meta.expects_continue => {
            // The caller does not send the body.
            let after = memory_retry_after(node, needed, wait);
            return refuse(node, conn, &meta.request_id, "memory", after, false).await;
        }
        Err(e) => Some(Err(e)),
    };
    let body = match read {
        Some(Ok(body)) => body,
        Some(Err(BodyError::TooLarge)) => {
            reject(conn, 413).await;
            return ConnectionAction::Abort;
        }
        Some(Err(BodyError::NoMemory { needed })) => {
            let after = memory_retry_after(node, needed, wait);
            let keep_alive = head.keep_alive && !node.stop.is_stopping();
            let id = &meta.request_id;
            let action = refuse(node, conn, id, "memory", after, keep_alive).await;
            return discard_body(node, conn, framing, limits.body_bytes, wait, action).await;
        }
        Some(Err(BodyError::Failed(HttpError::Malformed(cause)))) => {
            log::info!(
                "event=malformed request={} cause=\"{cause}\"",
                meta.request_id
            );
            reject(conn, 400).await;
            return ConnectionAction::Abort;
        }
        Some(Err(BodyError::Failed(_))) => return ConnectionAction::Abort,
        None => {
            let id = &meta.request_id;
            return refuse(node, conn, id, "stopping", RETRY_ELSEWHERE_AFTER, false).await;
        }
    };
    let id = meta.request_id.clone();
    let keep_alive = head.keep_alive && (!node.stop.is_stopping() || conn.has_buffered_bytes());
    let Some(config) = config else {
        let after = startup_retry_after(node, wait);
        return refuse(node, conn, &id, "no_config", after, keep_alive).await;
    };
    let (Some(route), Some(caller)) = (route, caller) else {
        return deny(node, conn, &id, 404, &config, wait, keep_alive).await;
    };
    let account = match caller {
        Caller::Account(account) => Some(account),
        Caller::Anonymous => None,
        Caller::Unknown => return deny(node, conn, &id, 401, &config, wait, keep_alive).await,
    };
    if !node.endpoints_listed.get() {
        let after = startup_retry_after(node, wait);
        return refuse(node, conn, &id, "no_list", after, keep_alive).await;
    }
    let deadline = received + wait.min(route.timeout);
    let now = node.now();
    let may_outlast_node = node
        .stop
        .time_left(now)
        .is_some_and(|left| deadline.since(now) > left);
    if may_outlast_node && !route.request_kind.is_stream() {
        return refuse(
            node,
            conn,
            &id,
            "stopping",
            RETRY_ELSEWHERE_AFTER,
            keep_alive,
        )
        .await;
    }
    let suspects = suspects(&head, account.as_deref(), &meta, &body);
    if node.is_quarantined(received, &id, &suspects) {
        return refuse(
            node,
            conn,
            &id,
            "breaks_endpoints",
            QUARANTINE_RETRY_AFTER,
            keep_alive,
        )
        .await;
    }
    let request = Request {
        deadline,
        head,
        meta,
        body,
        route,
        account,
        config,
        received,
        suspects,
        passed: None,
    };
    relay::relay(node, conn, &request, keep_alive).await
}

/// Returns the time after which a caller that waits for `wait` may retry, when there was no memory for
/// `needed` bytes of its request.
fn memory_retry_after(node: &Node, needed: usize, wait: Duration) -> Duration {
    let mut memory = node.memory.borrow_mut();
    memory.retry_after(node.now(), needed, wait)
}

/// Reads the rest of a body that is not kept, since most callers read an answer only once they have
/// sent their whole request. `action` is what follows the answer.
async fn discard_body(
    node: &Node,
    conn: &mut Conn,
    mut framing: Framing,
    limit: usize,
    wait: Duration,
    action: ConnectionAction,
) -> ConnectionAction {
    let mut bytes_left = limit;
    let discard = async {
        while let Some(piece) = conn.read_body_piece(&mut framing).await? {
            match bytes_left.checked_sub(piece.len()) {
                Some(left) => bytes_left = left,
                None => return Ok(false),
            }
        }
        Ok::<_, HttpError>(true)
    };
    tokio::select! {
        biased;
        discarded = discard => match discarded {
            Ok(true) => action,
            Ok(false) | Err(_) => ConnectionAction::Abort,
        },
        () = node.stop.rest_overdue() => ConnectionAction::Abort,
        () = tokio::time::sleep(wait) => ConnectionAction::Abort,
    }
}

/// Returns the suspects of a request if it crashes endpoints.
pub(crate) fn suspects(
    head: &RequestHead,
    account: Option<&Account>,
    meta: &RequestMeta,
    body: &[u8],
) -> Suspects {
    let account_name = account.map_or("", |a| &*a.name);
    let parts = meta.shared_parts.iter();
    Suspects {
        request: Suspect::request(&head.target, account_name, body),
        parts: parts.map(|p| Suspect::part(*p)).collect(),
    }
}

/// Denies a request that the configuration in force does not allow. If there is a newer one, or may be
/// while the store is unreachable, that may allow it, so the request is refused instead.
async fn deny(
    node: &Rc<Node>,
    conn: &mut Conn,
    id: &str,
    status: u16,
    config: &Config,
    wait: Duration,
    keep_alive: bool,
) -> ConnectionAction {
    if node.may_be_outdated(config) {
        return refuse(
            node,
            conn,
            id,
            "config_may_be_old",
            jittered_retry_after(wait),
            keep_alive,
        )
        .await;
    }
    log::info!(
        "event=denied request={id} status={status} config={}",
        config.version
    );
    node.metrics
        .count(Counter::Denied, if status == 401 { "key" } else { "route" });
    respond(conn, status, id, None, keep_alive).await
}

/// Returns the time after which a caller that waits for `wait` may retry, with jitter.
pub(crate) fn jittered_retry_after(wait: Duration) -> Duration {
    balance::retry_after(wait, rand::rng().random_range(0.0..1.0))
}

/// Returns the time after which a caller may retry that comes before this VM can serve anything: at once
/// if another VM is ready.
fn startup_retry_after(node: &Node, wait: Duration) -> Duration {
    let now = node.now();
    if node.peers.borrow().ready(now).next().is_some() {
        return RETRY_ELSEWHERE_AFTER;
    }
    let draw = rand::rng().random_range(0.0..1.0);
    balance::startup_retry_after(now.since(node.started), wait, draw)
}

/// Refuses a request that has not run, with status 503, and tells the caller when to retry.
pub(crate) async fn refuse(
    node: &Rc<Node>,
    conn: &mut Conn,
    id: &str,
    cause: &'static str,
    retry_after: Duration,
    keep_alive: bool,
) -> ConnectionAction {
    log::info!(
        "event=refused request={id} cause={cause} after_ms={} list={}",
        retry_after.as_millis(),
        node.endpoints.borrow().version()
    );
    node.metrics.count(Counter::Refused, cause);
    respond(conn, 503, id, Some(retry_after), keep_alive).await
}

/// Sends a response without a body that this node generates itself.
pub(crate) async fn respond(
    conn: &mut Conn,
    status: u16,
    id: &str,
    retry_after: Option<Duration>,
    keep_alive: bool,
) -> ConnectionAction {
    let mut out = requests::encode_local_response(status, id, retry_after);
    http1::put_header(&mut out, "Content-Length", b"0");
    if !keep_alive {
        http1::put_header(&mut out, "Connection", b"close");
    }
    out.extend_from_slice(b"\r\n");
    match (conn.write(&out).await, keep_alive) {
        (Err(_), _) => ConnectionAction::Abort,
        (Ok(()), true) => ConnectionAction::KeepOpen,
        (Ok(()), false) => ConnectionAction::Close,
    }
}

/// Answers a request that can't be read, and closes the connection.
async fn reject(conn: &mut Conn, status: u16) {
    let _ = respond(conn, status, "", None, false).await;
    connections::linger(conn).await;
}
