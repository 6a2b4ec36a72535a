//! Datagrams between entry VMs: readiness, load, silent endpoints and requests that break them.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hemlock_lib::node::endpoints::EngineReport;
use hemlock_lib::node::peers::{Heartbeat, Message};
use hemlock_platform::store::Topic;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

use crate::load_exchange;
use crate::metrics::Counter;
use crate::state::Node;

/// Topics whose offsets are told.
const TOPICS: [Topic; 2] = [Topic::Config, Topic::Endpoints];
/// Shortest time between two datagrams to one peer, unless one is urgent, and the time for each
/// peer when there are many.
const EVERY: Duration = Duration::from_millis(200);
const EVERY_PEER: Duration = Duration::from_millis(12);
/// Engines told of in one datagram, of some 100 bytes each.
const HELD_MOST: usize = 80;
/// Largest datagram.
const DATAGRAM: usize = 16 << 10;
/// Time for which own breaks are repeated against losses.
const BREAK_NEWS: Duration = Duration::from_secs(2);
/// Shortest time between two datagrams.
const SHORTEST: Duration = Duration::from_millis(20);

/// Binds the address for datagrams.
pub(crate) fn bind(node: Rc<Node>) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(node.settings.listen.peer)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

/// Sends and takes datagrams for good.
pub(crate) async fn run(node: Rc<Node>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    spawn_local(send(node.clone(), socket.clone()));
    spawn_local(load_exchange::share(node.clone(), socket.clone()));
    let mut buffer = vec![0; DATAGRAM];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => take(&node, &buffer[..length], from),
            Err(e) => {
                // A peer without a listener shows as an error of the next call.
                log::debug!("event=datagram_failed cause=\"{e}\"");
            }
        }
    }
}

async fn send(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut count = 0;
    loop {
        count += 1;
        let every = every(node.entry_vm_count());
        let news = Message::Heartbeat(Box::new(news(&node, count, every)));
        let addresses = node.peers.borrow().addresses();
        send_to(&socket, &news, addresses.iter().copied()).await;
        let held: Vec<EngineReport> = node.engine_reports.borrow().values().cloned().collect();
        // Repeated with the news, since datagrams are lost; in parts that fit one.
        for part in held.chunks(HELD_MOST) {
            let message = Message::EngineReports(part.to_vec());
            send_to(&socket, &message, addresses.iter().copied()).await;
        }
        tokio::time::sleep(SHORTEST).await;
        let urgent = node.send_now.notified();
        let _ = tokio::time::timeout(every - SHORTEST, urgent).await;
    }
}

pub(crate) async fn send_to(
    socket: &UdpSocket,
    message: &Message,
    addresses: impl IntoIterator<Item = SocketAddr>,
) {
    let bytes = match rmp_serde::to_vec(message) {
        Ok(bytes) => bytes,
        Err(e) => return log::error!("event=datagram_failed cause=\"{e}\""),
    };
    for address in addresses {
        if let Err(e) = socket.send_to(&bytes, address).await {
            log::debug!("event=datagram_failed to={address} cause=\"{e}\"");
        }
    }
}

/// Returns the time between two datagrams to each peer: it grows with their number, so that a VM
/// takes as many a second.
fn every(machines: usize) -> Duration {
    EVERY.max(EVERY_PEER * machines as u32)
}

fn news(node: &Node, sequence: u64, every: Duration) -> Heartbeat {
    let now = node.now();
    let balancer = node.balancer.borrow();
    let silent = balancer.silent_endpoints(now).into_iter();
    let demand = node.demand_meter.borrow().demand(now);
    Heartbeat {
        member: node.identity.clone(),
        sequence,
        ready: node.is_ready(),
        config_version: node.config().map_or(0, |c| c.version),
        reaches_store: node.store_up() && node.lease_backoff_until.get().is_none_or(|t| t <= now),
        reads_store: node.reads_store(),
        is_planner: node.is_planner.get(),
        has_traffic: node.has_traffic.get(),
        interval_ms: every.as_millis() as u32,
        read_offsets: TOPICS.map(|t| node.feed(t).next_offset()),
        demand: demand
            .into_iter()
            .map(|(m, d)| (m.to_string(), d))
            .collect(),
        loads: balancer.own_loads(now),
        silent_endpoints: silent
            .map(|(id, age)| (id.to_string(), age.as_millis() as u32))
            .collect(),
        crashes: node.quarantine.borrow_mut().recent_crashes(now, BREAK_NEWS),
    }
}

fn take(node: &Node, bytes: &[u8], from: SocketAddr) {
    let now = node.now();
    let news: Heartbeat = match rmp_serde::from_slice(bytes) {
        Ok(Message::Heartbeat(news)) => *news,
        Ok(Message::VmLoad { node: name, loads }) => {
            return node.load_totals.borrow_mut().set_vm_load(now, name, loads);
        }
        Ok(Message::ZoneLoad { zone, loads }) => {
            return node
                .load_totals
                .borrow_mut()
                .set_zone_load(now, zone, loads);
        }
        Ok(Message::OtherVmsLoad { loads }) => return load_exchange::take_others(node, now, loads),
        Ok(Message::EngineReports(held)) => {
            return held.iter().for_each(|h| node.apply_engine_report(h));
        }
        Err(e) => {
            log::debug!("event=datagram_refused from={from} cause=\"{e}\"");
            node.metrics.count(Counter::DatagramsRefused, "malformed");
            return;
        }
    };
    if news.member.node == node.identity.node {
        return;
    }
    for seen in &news.crashes {
        node.quarantine.borrow_mut().record_crash(now, *seen, false);
    }
    for (topic, read) in TOPICS.into_iter().zip(news.read_offsets) {
        node.feed(topic).compare_with_peer(now, read);
    }
    let known = node
        .peers
        .borrow()
        .heartbeats(now)
        .any(|(n, _)| n.member.node == news.member.node);
    let (name, run) = (news.member.node.clone(), news.member.run);
    if news.reads_store && !node.store_up() && !node.is_planner.get() {
        node.store_found.notify_waiters();
    }
    if !node.peers.borrow_mut().record_heartbeat(now, news) {
        return;
    }
    if !known {
        log::info!("event=peer_regained node={name} run={run}");
    }
    load_exchange::apply(node, now);
}
