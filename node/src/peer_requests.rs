//! Requests that peers without a path to the endpoints pass on to this VM.

use std::rc::Rc;
use std::time::Duration;

use hemlock_lib::node::config::Caller;
use hemlock_lib::node::passing::{self, Origin, PassedRequest, PeerReport, Sends};
use hemlock_lib::node::reach::PathState;
use hemlock_lib::time::Time;
use hemlock_platform::requests;
use hemlock_wire::http1::{self, Conn, RequestHead};

use crate::front::{self, ConnectionAction, Request};
use crate::metrics::Counter;
use crate::relay;
use crate::state::Node;
use crate::stop::CountGuard;

/// Time in which a peer sends the body of a request after it was accepted.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns whether a message to the peer listener is a request that is passed on.
pub(crate) fn is_passed_on(head: &RequestHead) -> bool {
    head.target.starts_with(passing::TARGET_PREFIX)
        && head.headers.get(passing::REQUEST_HEADER).is_some()
}

/// Handles a request that a peer passed on. Anyone else is denied before anything is read.
pub(crate) async fn handle(
    node: &Rc<Node>,
    conn: &mut Conn,
    mut head: RequestHead,
) -> ConnectionAction {
    let passed = match read_message(node, &head) {
        Ok(passed) => passed,
        Err(cause) => {
            log::warn!("event=stranger_denied cause=\"{cause}\"");
            node.metrics.count(Counter::StrangersDenied, "peer");
            let mut out = requests::encode_local_response(403, "", None);
            out.extend_from_slice(b"Content-Length: 0\r\nConnection: close\r\n\r\n");
            let _ = conn.write(&out).await;
            return ConnectionAction::Close;
        }
    };
    head.target.drain(..passing::TARGET_PREFIX.len());
    head.headers.remove_prefixed(passing::HEADER_PREFIX);
    let _open = CountGuard::request(node);
    take_over(node, conn, head, passed).await
}

/// Reads the message of a peer. Fails unless it has the secret of this VM.
fn read_message(node: &Node, head: &RequestHead) -> Result<PassedRequest, String> {
    let text = head
        .headers
        .get(passing::REQUEST_HEADER)
        .unwrap_or_default();
    let passed: PassedRequest = passing::decode(text).map_err(|e| e.to_string())?;
    match node.own_secret.matches(&passed.secret) {
        true => Ok(passed),
        false => Err("the secret is not that of this VM".to_owned()),
    }
}

/// Accepts the request, reads its body and relays it, or refuses it.
async fn take_over(
    node: &Rc<Node>,
    conn: &mut Conn,
    head: RequestHead,
    passed: PassedRequest,
) -> ConnectionAction {
    let now = node.now();
    let meta = requests::read_request_meta(&head.headers);
    let id = meta.request_id.clone();
    log::info!(
        "event=taken_over request={id} for={} sends={} left_ms={}",
        passed.from,
        passed.sends.reached,
        passed.left_ms
    );
    let config = match check_ability(node, now, &passed) {
        Ok(config) => config,
        Err(cause) => {
            let sends = passed.sends;
            decline(node, conn, &id, cause, sends, false).await;
            // The peer has not sent the body, which would follow on this connection.
            return ConnectionAction::Close;
        }
    };
    if conn.write(http1::CONTINUE).await.is_err() {
        return ConnectionAction::Abort;
    }
    let mut framing = head.body_framing;
    let read = conn.read_body(&mut framing, config.limits.body_bytes);
    let Ok(Ok(Some(body))) = tokio::time::timeout(BODY_TIMEOUT, read).await else {
        log::info!("event=body_missing request={id} for={}", passed.from);
        node.metrics.count(Counter::TakenOver, "body_missing");
        return ConnectionAction::Abort;
    };
    let route = config.route(&meta.host, &head.target).cloned();
    let caller = route
        .as_ref()
        .map(|r| config.caller(r, meta.api_key.as_deref()));
    let (Some(route), Some(account)) = (route, caller.and_then(account_of)) else {
        return decline(node, conn, &id, "denied", passed.sends, true).await;
    };
    let suspects = front::suspects(&head, account.as_deref(), &meta, &body);
    if node.is_quarantined(now, &id, &suspects) {
        return decline(node, conn, &id, "breaks_endpoints", passed.sends, true).await;
    }
    let request = Request {
        deadline: now + Duration::from_millis(passed.left_ms),
        received: now - Duration::from_millis(passed.age_ms),
        head,
        meta,
        body,
        route,
        account,
        config,
        suspects,
        passed: Some(passed),
    };
    let keep_alive = !node.stop.is_stopping();
    relay::relay(node, conn, &request, keep_alive).await
}

fn account_of(
    caller: Caller,
) -> Option<Option<std::sync::Arc<hemlock_lib::node::config::Account>>> {
    match caller {
        Caller::Account(account) => Some(Some(account)),
        Caller::Anonymous => Some(None),
        Caller::Unknown => None,
    }
}

/// Returns the configuration for a request of a peer if this VM can relay it, and otherwise the cause.
fn check_ability(
    node: &Node,
    now: Time,
    passed: &PassedRequest,
) -> Result<Rc<hemlock_lib::node::config::Config>, &'static str> {
    if node.stop.is_stopping() {
        return Err("stopping");
    }
    if node.path_state(now) == PathState::Cut {
        return Err("no_path");
    }
    let config = node.config().filter(|_| node.endpoints_listed.get());
    let config = config.ok_or("no_config")?;
    // The caller's VM has shown that it knows the newer configuration.
    if config.version < passed.config {
        return Err("older_config");
    }
    let arrival = now - Duration::from_millis(passed.age_ms);
    let replaced = node.replaced_configs.borrow();
    Ok(replaced
        .at(arrival, passed.config)
        .cloned()
        .unwrap_or(config))
}

/// Tells the peer that the request was not run.
async fn decline(
    node: &Node,
    conn: &mut Conn,
    id: &str,
    cause: &'static str,
    sends: Sends,
    keep_alive: bool,
) -> ConnectionAction {
    log::info!("event=handed_back request={id} cause={cause} may_have_run=false");
    node.metrics.count(Counter::TakenOver, cause);
    let report = PeerReport {
        origin: passing::refusal(cause, false, front::QUARANTINE_RETRY_AFTER),
        sends,
        leaving: Vec::new(),
    };
    respond(conn, id, &report, keep_alive).await
}

/// Sends a response of this VM itself to a peer.
pub(crate) async fn respond(
    conn: &mut Conn,
    id: &str,
    report: &PeerReport,
    keep_alive: bool,
) -> ConnectionAction {
    let status = match report.origin {
        Origin::Failed { .. } => 502,
        Origin::Endpoint { .. } | Origin::Elsewhere { .. } | Origin::Refused { .. } => 503,
    };
    let mut out = requests::encode_local_response(status, id, None);
    put_report(&mut out, report);
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

/// Appends the header with a report to the head of a response.
pub(crate) fn put_report(out: &mut Vec<u8>, report: &PeerReport) {
    match passing::encode(report) {
        Ok(text) => http1::put_header(out, passing::REPORT_HEADER, text.as_bytes()),
        // A response without a report is taken for one that may have run.
        Err(e) => log::error!("event=report_failed cause=\"{e}\""),
    }
}
