//! Watches whether this VM reaches endpoints. While something speaks against it, endpoints are
//! probed and peers are asked whether they reach them; otherwise nothing is sent.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::peer_paths::{PathQuery, PathReply};
use hemlock_lib::node::peers::{Member, Message};
use hemlock_lib::node::reach::{
    FailedEndpoints, PathChange, PathState, ProbeKind, ProbeOutcome, Target,
};
use hemlock_lib::time::Time;
use hemlock_platform::engines::{self, ReportOutcome};
use hemlock_wire::http1::Conn;
use rand::seq::IteratorRandom;
use tokio::net::UdpSocket;
use tokio::task::{JoinSet, spawn_local};

use crate::metrics::Counter;
use crate::peer_datagrams::send_to;
use crate::state::Node;

/// Interval between two decisions while something speaks against the path.
const STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of connecting to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which a connection counts as open. A middlebox may accept it first and close it if it
/// can't open one to the endpoint.
const CLOSE_WAIT: Duration = Duration::from_millis(20);
/// Time within which probes on behalf of a peer must end to be part of the reply.
const REPLY_TIME: Duration = Duration::from_millis(200);
/// Peers that are asked at a time, in this VM's zone and in the others.
const PEERS_PER_QUERY: usize = 2;

/// Decides whether this VM reaches endpoints, until the process ends.
pub(crate) async fn run(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut number = 0;
    loop {
        let changed = node.path_evidence.notified();
        let is_calm = node.reach.borrow().is_calm();
        if is_calm {
            changed.await;
        } else {
            let _ = tokio::time::timeout(STEP_INTERVAL, changed).await;
        }
        let now = node.now();
        update(&node, now);
        let probes = with_targets(&node, |targets| {
            node.reach.borrow_mut().next_probes(now, targets)
        });
        for (id, kind) in probes {
            spawn_local(probe(node.clone(), id, kind));
        }
        let query = node.reach.borrow_mut().next_query(now);
        if let Some(failed) = query {
            number += 1;
            send_query(&node, &socket, now, number, &failed).await;
        }
    }
}

fn update(node: &Node, now: Time) {
    let peers = node.peers_with_path(now).len();
    let endpoints = node.endpoints.borrow();
    let listed = endpoints
        .iter()
        .filter(|e| !e.draining && !endpoints.is_evacuated(e))
        .count();
    drop(endpoints);
    let change = node.reach.borrow_mut().update(now, listed, peers);
    let may_reach = with_targets(node, |targets| {
        !node.reach.borrow().every_service_fails(targets)
    });
    node.peer_paths.borrow_mut().set_may_reach(may_reach);
    let Some(change) = change else { return };
    let PathChange {
        before,
        state,
        after,
        unreachable,
        silent,
        asked,
        reached,
        peers,
    } = change;
    log::warn!(
        "event=path state={} before={} after_ms={} unreachable={unreachable} silent={silent} \
         asked={asked} reached={reached} peers={peers} listed={listed}",
        state.label(),
        before.label(),
        after.as_millis()
    );
    node.metrics.count(Counter::PathChanges, state.label());
    if state == PathState::Cut {
        node.balancer.borrow_mut().clear_silent();
        let since = node.reach.borrow().crashes_doubted_since();
        let retracted = node.quarantine.borrow_mut().retract_crashes(since);
        log::info!("event=crashes_retracted reports={retracted}");
    }
    if state == PathState::Cut || before == PathState::Cut {
        node.send_now.notify_one();
    }
}

/// Calls `f` with the endpoints that may be probed: those of evacuated zones may be shut down.
fn with_targets<T>(node: &Node, f: impl FnOnce(&[Target<'_>]) -> T) -> T {
    let endpoints = node.endpoints.borrow();
    let listed = endpoints.iter();
    let listed = listed.filter(|e| !e.draining && !endpoints.is_evacuated(e));
    let targets: Vec<Target<'_>> = listed
        .map(|e| Target {
            id: &e.id,
            service: &e.service,
            is_engine: !e.domain.is_empty(),
        })
        .collect();
    f(&targets)
}

/// Probes an endpoint and records the outcome. A connection to an endpoint that takes requests is
/// kept for them.
async fn probe(node: Rc<Node>, id: Arc<str>, kind: ProbeKind) {
    let endpoint = node
        .endpoints
        .borrow()
        .get(&id)
        .map(|e| (e.address.clone(), !e.domain.is_empty()));
    let Some((address, is_engine)) = endpoint else {
        return;
    };
    let Ok(socket_address) = address.parse::<SocketAddr>() else {
        return;
    };
    node.metrics.count(Counter::Connects, "probe");
    let conn = Conn::connect(socket_address, CONNECT_TIMEOUT).await;
    let (outcome, conn) = match conn {
        Err(_) => (ProbeOutcome::Unreachable, None),
        Ok(conn) if kind == ProbeKind::Answer && is_engine => {
            query(&node, conn, &id, socket_address).await
        }
        Ok(mut conn) => {
            tokio::time::sleep(CLOSE_WAIT).await;
            match conn.is_idle() {
                true => (ProbeOutcome::Connected, Some(conn)),
                false => (ProbeOutcome::Unreachable, None),
            }
        }
    };
    log::info!("event=path_probe id={id} outcome={}", outcome.label());
    node.metrics.count(Counter::PathProbes, outcome.label());
    let now = node.now();
    node.reach.borrow_mut().record_probe(now, &id, outcome);
    let takes_requests = node.balancer.borrow().candidate(&id).is_some();
    if let Some(conn) = conn.filter(|_| takes_requests) {
        node.pool.put(now, &id, conn, None);
    }
    node.path_evidence.notify_one();
}

/// Queries an engine on a new connection; returns the connection if it can be used again.
async fn query(
    node: &Node,
    mut conn: Conn,
    id: &Arc<str>,
    address: SocketAddr,
) -> (ProbeOutcome, Option<Conn>) {
    let query = engines::query_report(&mut conn, id, address).await;
    node.note_queried(id, query.limit);
    node.note_told_warm_up(id, query.warm_up);
    match query.outcome {
        ReportOutcome::NoReply if !conn.is_idle() => (ProbeOutcome::Unreachable, None),
        ReportOutcome::NoReply => (ProbeOutcome::Silent, None),
        ReportOutcome::Invalid | ReportOutcome::Received(_) => (ProbeOutcome::Answered, Some(conn)),
    }
}

/// Counts a connection to an endpoint as opened once it has lasted for a moment; returns the flag to
/// set if it breaks before.
pub(crate) fn confirm_connected(node: &Rc<Node>, id: &Arc<str>) -> Rc<Cell<bool>> {
    let is_broken = Rc::new(Cell::new(false));
    let (node, id, flag) = (node.clone(), id.clone(), is_broken.clone());
    spawn_local(async move {
        tokio::time::sleep(CLOSE_WAIT).await;
        if !flag.get() {
            node.note_connected(&id);
        }
    });
    is_broken
}

async fn send_query(
    node: &Node,
    socket: &UdpSocket,
    now: Time,
    number: u64,
    failed: &FailedEndpoints,
) {
    let names = |ids: &[Arc<str>]| ids.iter().map(|id| id.to_string()).collect();
    let message = Message::PathQuery(PathQuery {
        node: node.identity.node.clone(),
        run: node.identity.run,
        number,
        unreachable: names(&failed.unreachable),
        silent: names(&failed.silent),
    });
    let addresses = choose_peers(node, now);
    node.metrics
        .add(Counter::PathQueries, "sent", addresses.len() as u64);
    send_to(node, socket, &message, addresses).await;
}

/// Chooses some peers of this VM's zone and some of others, since a zone may be cut off as a whole.
fn choose_peers(node: &Node, now: Time) -> Vec<SocketAddr> {
    let peers = node.peers.borrow();
    let ready = peers.ready(now).filter(|m| m.node != node.identity.node);
    let (near, far): (Vec<&Member>, Vec<&Member>) =
        ready.partition(|m| m.zone == node.identity.zone);
    let mut rng = rand::rng();
    let mut chosen = near.into_iter().choose_multiple(&mut rng, PEERS_PER_QUERY);
    chosen.extend(far.into_iter().choose_multiple(&mut rng, PEERS_PER_QUERY));
    let mut addresses: Vec<SocketAddr> = chosen.iter().map(|m| m.peer_address).collect();
    // Those with a path are asked again, before their last replies are too old.
    let known = node.peers_with_path(now);
    for peer in known.iter().choose_multiple(&mut rng, PEERS_PER_QUERY) {
        let address = peers.address(&peer.node);
        addresses.extend(address.filter(|a| !addresses.contains(a)));
    }
    addresses
}

/// Answers the query of a peer, after probes of the endpoints for which there is no fresh evidence.
pub(crate) async fn answer_query(
    node: Rc<Node>,
    socket: Rc<UdpSocket>,
    query: PathQuery,
    from: SocketAddr,
) {
    node.metrics.count(Counter::PathQueries, "received");
    let now = node.now();
    let probes = with_targets(&node, |targets| {
        node.reach.borrow_mut().probes_for(now, &query, targets)
    });
    let mut running = JoinSet::new();
    for (id, kind) in probes {
        running.spawn_local(probe(node.clone(), id, kind));
    }
    let ended = async { while running.join_next().await.is_some() {} };
    // Those that last longer go on, for the next query.
    if tokio::time::timeout(REPLY_TIME, ended).await.is_err() {
        running.detach_all();
    }
    let now = node.now();
    let (connected, answered) = node.reach.borrow().evidence_for(now, &query);
    let message = Message::PathReply(PathReply {
        node: node.identity.node.clone(),
        run: node.identity.run,
        number: query.number,
        connected,
        answered,
        has_path: node.reach.borrow().has_path(now),
        stopping: node.stop.is_stopping(),
        open_requests: node.stop.open_requests().min(u32::MAX as usize) as u32,
        cores: node.identity.cores,
        address: node.identity.peer_address,
    });
    send_to(&node, &socket, &message, [from]).await;
}
