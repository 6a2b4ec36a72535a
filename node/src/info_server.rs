//! Readiness, addresses for callers, and metrics.

use std::rc::Rc;
use std::time::Duration;

use hemlock_lib::node::peers;
use hemlock_platform::directory;
use hemlock_wire::http1::{self, Conn};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::metrics::Gauge;
use crate::state::Node;

/// Largest head of such a call.
const HEAD_LIMIT: usize = 8 << 10;
/// Time that a connection may lie idle.
const IDLE: Duration = Duration::from_secs(20);
/// Wait after a failed accept, which a lack of descriptors causes.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time that callers keep addresses: a new or lost VM is known to all within it.
const KEEP_S: f64 = 2.0;

/// What a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    Ready,
    Directory,
    Metrics,
}

/// Accepts connections for good.
pub(crate) async fn accept(node: Rc<Node>, listener: TcpListener, role: Role) {
    loop {
        match listener.accept().await {
            Ok((io, _)) => {
                if let Ok(conn) = Conn::new(io) {
                    spawn_local(answer(node.clone(), conn, role));
                }
            }
            Err(e) => {
                log::warn!("event=accept_failed role={role:?} cause=\"{e}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn answer(node: Rc<Node>, mut conn: Conn, role: Role) {
    loop {
        let head = tokio::time::timeout(IDLE, conn.read_request_head(HEAD_LIMIT)).await;
        let Ok(Ok(mut head)) = head else { return };
        if !matches!(
            conn.read_body(&mut head.body_framing, HEAD_LIMIT).await,
            Ok(Some(_))
        ) {
            return;
        }
        let (status, kind, body) = match role {
            Role::Ready => ready(&node, &head.target),
            Role::Directory => addresses(&node, &head.target),
            Role::Metrics => (200, "text/plain; version=0.0.4", metrics(&node)),
        };
        let mut out = Vec::with_capacity(256 + body.len());
        http1::put_status_line(&mut out, status, http1::reason_phrase(status));
        http1::put_header(&mut out, "Content-Type", kind.as_bytes());
        http1::put_header(
            &mut out,
            "Content-Length",
            body.len().to_string().as_bytes(),
        );
        if !head.keep_alive {
            http1::put_header(&mut out, "Connection", b"close");
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(body.as_bytes());
        if conn.write(&out).await.is_err() || !head.keep_alive {
            return;
        }
    }
}

fn ready(node: &Node, target: &str) -> (u16, &'static str, String) {
    let path = target.split('?').next().unwrap_or_default();
    match (path == directory::READY_PATH, node.is_ready()) {
        (false, _) => (404, "text/plain", String::new()),
        (true, true) => (200, "text/plain", "ready\n".to_owned()),
        (true, false) => (503, "text/plain", "not ready\n".to_owned()),
    }
}

fn addresses(node: &Node, target: &str) -> (u16, &'static str, String) {
    let Some(zone) = directory::zone_of(target) else {
        return (404, "text/plain", String::new());
    };
    let now = node.now();
    let peers = node.peers.borrow();
    let me = node.is_ready().then_some(&node.identity);
    let known = peers.ready(now).filter(|m| m.node != node.identity.node);
    let found = peers::addresses_for_caller(&zone, known.chain(me), directory::MOST_ADDRESSES);
    if found.is_empty() {
        return (503, "text/plain", String::new());
    }
    let most = node.settings.bounds.advice_s;
    (
        200,
        "application/json",
        directory::encode(&found, KEEP_S.min(most)),
    )
}

fn metrics(node: &Node) -> String {
    let now = node.now();
    let gauges = [
        (Gauge::OpenRequests, node.open_requests.get() as f64),
        (Gauge::Ready, f64::from(u8::from(node.is_ready()))),
        (Gauge::StoreUp, f64::from(u8::from(node.store_up()))),
        (Gauge::Leads, f64::from(u8::from(node.is_planner.get()))),
        (
            Gauge::Machines,
            node.peers.borrow().live_vm_count(now) as f64,
        ),
        (
            Gauge::ServingEndpoints,
            node.balancer.borrow().candidates().count() as f64,
        ),
        (
            Gauge::ConfigVersion,
            node.config().map_or(0.0, |c| c.version as f64),
        ),
    ];
    node.metrics.render(&gauges)
}
