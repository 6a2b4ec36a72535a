//! HTTP servers of readiness, of addresses for callers, and of metrics.

use std::rc::Rc;
use std::time::Duration;

use hemlock_lib::node::memory::Kind;
use hemlock_lib::node::peers;
use hemlock_lib::node::reach::PathState;
use hemlock_platform::directory;
use hemlock_wire::http1::{self, Conn};
use tokio::net::TcpListener;

use crate::connections::{self, HeadRead};
use crate::metrics::Gauge;
use crate::state::Node;

/// Maximum size in bytes of the head of a request, and of its body.
const MAX_REQUEST_BYTES: usize = 8 << 10;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time in seconds for which callers may keep addresses; a new or lost VM becomes known to all
/// within it.
const ADDRESSES_TTL_S: f64 = 2.0;

/// What a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    Ready,
    Directory,
    Metrics,
}

impl Role {
    fn label(self) -> &'static str {
        match self {
            Self::Ready => "Ready",
            Self::Directory => "Directory",
            Self::Metrics => "Metrics",
        }
    }
}

/// Accepts connections and answers their requests until the node is closing.
pub(crate) async fn run(node: Rc<Node>, listener: TcpListener, role: Role) {
    let serve = |node, conn| serve(node, conn, role);
    connections::accept(node, listener, role.label(), serve).await;
}

/// Handles the requests on one connection.
async fn serve(node: Rc<Node>, mut conn: Conn, role: Role) {
    let mut is_new = true;
    while connections::wait_for_request(&node, &mut conn, IDLE_TIMEOUT, is_new).await {
        is_new = false;
        let read = connections::read_head(&node, &mut conn, MAX_REQUEST_BYTES, IDLE_TIMEOUT).await;
        let mut head = match read {
            HeadRead::Head(head) => head,
            HeadRead::Stopping => return connections::refuse_unread(&mut conn).await,
            HeadRead::Failed(_) | HeadRead::TimedOut | HeadRead::NoMemory => return,
        };
        let body = tokio::select! {
            biased;
            body = conn.read_body(&mut head.body_framing, MAX_REQUEST_BYTES) => Some(body),
            () = node.stop.rest_overdue() => None,
        };
        match body {
            Some(Ok(Some(_))) => {}
            Some(_) => return,
            None => return connections::refuse_unread(&mut conn).await,
        }
        let (status, content_type, body) = match role {
            Role::Ready => readiness(&node, &head.target),
            Role::Directory => addresses(&node, &head.target),
            Role::Metrics => (200, "text/plain; version=0.0.4", metrics(&node)),
        };
        let mut out = Vec::with_capacity(256 + body.len());
        http1::put_status_line(&mut out, status, http1::reason_phrase(status));
        http1::put_header(&mut out, "Content-Type", content_type.as_bytes());
        http1::put_header(
            &mut out,
            "Content-Length",
            body.len().to_string().as_bytes(),
        );
        let keep_alive = head.keep_alive && !node.stop.is_closing();
        if !keep_alive {
            http1::put_header(&mut out, "Connection", b"close");
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(body.as_bytes());
        if conn.write(&out).await.is_err() {
            return;
        }
        if !keep_alive {
            return connections::linger(&mut conn).await;
        }
    }
}

/// Returns the status, content type and body of the readiness check.
fn readiness(node: &Node, target: &str) -> (u16, &'static str, String) {
    let path = target.split('?').next().unwrap_or_default();
    match (path == directory::READY_PATH, node.is_ready()) {
        (false, _) => (404, "text/plain", String::new()),
        (true, true) => (200, "text/plain", "ready\n".to_owned()),
        (true, false) => (503, "text/plain", "not ready\n".to_owned()),
    }
}

/// Returns the status, content type and body of a request for addresses.
fn addresses(node: &Node, target: &str) -> (u16, &'static str, String) {
    let Some(zone) = directory::parse_resolve_zone(target) else {
        return (404, "text/plain", String::new());
    };
    let now = node.now();
    let peers = node.peers.borrow();
    let this_node = node.is_ready().then_some(&node.identity);
    let advised_peers = peers.advised(now).filter(|m| m.node != node.identity.node);
    let found = peers::addresses_for_caller(
        &zone,
        advised_peers.chain(this_node),
        directory::MAX_ADDRESSES,
    );
    if found.is_empty() {
        return (503, "text/plain", String::new());
    }
    let max_ttl_s = node.settings.bounds.advice_s;
    (
        200,
        "application/json",
        directory::encode(&found, ADDRESSES_TTL_S.min(max_ttl_s)),
    )
}

/// Returns all metrics as text.
fn metrics(node: &Node) -> String {
    let now = node.now();
    let held = |kind| node.memory.borrow().held(kind) as f64;
    let gauges = [
        (Gauge::OpenRequests, node.stop.open_requests() as f64),
        (Gauge::Ready, f64::from(u8::from(node.is_ready()))),
        (Gauge::StoreUp, f64::from(u8::from(node.store_up()))),
        (Gauge::IsPlanner, f64::from(u8::from(node.is_planner.get()))),
        (
            Gauge::EntryVms,
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
        (Gauge::MemoryBudget, node.memory.borrow().budget() as f64),
        (Gauge::BodyBytes, held(Kind::Bodies)),
        (Gauge::AnswerBytes, held(Kind::Answers)),
        (Gauge::BufferedBytes, node.received.bytes() as f64),
        (Gauge::StoreEra, node.store_era.get() as f64),
        (Gauge::PathUp, path_value(node.path_state(now))),
        (Gauge::PeersWithPath, node.peers_with_path(now).len() as f64),
        (Gauge::IdleEngines, node.idle_engines.get() as f64),
        (
            Gauge::RetryShareUsed,
            node.retry_budget.borrow().used_part(now),
        ),
        (
            Gauge::LimitedEndpoints,
            node.balancer.borrow().limits().count() as f64,
        ),
        (
            Gauge::WarmingEndpoints,
            node.balancer.borrow().limits().warm_ups().count(now) as f64,
        ),
        (
            Gauge::EvacuatedZones,
            node.evacuations.borrow().count() as f64,
        ),
    ];
    node.metrics.render(&gauges)
}

fn path_value(state: PathState) -> f64 {
    match state {
        PathState::Direct => 1.0,
        PathState::Doubtful => 0.5,
        PathState::Cut => 0.0,
    }
}
