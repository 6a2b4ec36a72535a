//! Datagrams between entry VMs: readiness, load, silent endpoints and requests that crash
//! endpoints.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hemlock_lib::node::breaks::BreakReport;
use hemlock_lib::node::endpoints::EngineReport;
use hemlock_lib::node::heartbeat_pace::{self, HeartbeatPace};
use hemlock_lib::node::peers::{Heartbeat, Message};
use hemlock_lib::node::rate_limits::LimitNews;
use hemlock_lib::node::reach::PathState;
use hemlock_lib::node::source::{self, MAX_LAG};
use hemlock_lib::time::Time;
use hemlock_platform::store::Topic;
use rand::Rng;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

use crate::load_exchange;
use crate::metrics::Counter;
use crate::path_watch;
use crate::state::Node;
use crate::store_watch;

/// Topics whose positions are reported.
const TOPICS: [Topic; 2] = [Topic::Config, Topic::Endpoints];
/// Maximum number of engine reports in one datagram, of some 100 bytes each.
const MAX_REPORTS: usize = 80;
/// Maximum size of a datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;
/// Time for which heartbeats repeat a crash of an endpoint that this VM saw, since datagrams may be
/// lost.
const CRASH_REPEAT_TIME: Duration = Duration::from_secs(2);
/// Minimum interval between two log lines on the datagrams.
const TRAFFIC_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Binds the UDP socket for datagrams between entry VMs.
pub(crate) fn bind(node: Rc<Node>) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(node.settings.listen.peer)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

/// Sends and receives datagrams until the process ends.
pub(crate) async fn run(node: Rc<Node>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    spawn_local(send_heartbeats(node.clone(), socket.clone()));
    spawn_local(load_exchange::run(node.clone(), socket.clone()));
    spawn_local(path_watch::run(node.clone(), socket.clone()));
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => handle_datagram(&node, &socket, &buffer[..length], from),
            Err(e) => {
                // If a peer does not listen, the error of an earlier send is reported here.
                log::debug!("event=datagram_failed cause=\"{e}\"");
            }
        }
    }
}

/// Sends this VM's heartbeat to all peers, at the interval or as soon as there is something urgent.
async fn send_heartbeats(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut sequence = 0;
    let mut traffic = Traffic::default();
    let mut pace = HeartbeatPace::default();
    pace.record_sent(node.now(), false);
    loop {
        sequence += 1;
        traffic.log_if_due(&node);
        let interval = heartbeat_pace::interval(node.entry_vm_count());
        let message = Message::Heartbeat(Box::new(own_heartbeat(&node, sequence, interval)));
        let addresses = node.peers.borrow().addresses();
        send_to(&node, &socket, &message, addresses.iter().copied()).await;
        send_limits(&node, &socket, &addresses).await;
        send_breaks(&node, &socket, &addresses).await;
        let reports: Vec<EngineReport> = node.engine_reports.borrow().values().cloned().collect();
        // Repeated with each heartbeat, since datagrams may be lost; in parts that fit into one.
        for part in reports.chunks(MAX_REPORTS) {
            let message = Message::EngineReports(part.to_vec());
            send_to(&node, &socket, &message, addresses.iter().copied()).await;
        }
        wait_for_next(&node, &mut pace).await;
    }
}

/// Waits until the next heartbeat is due, and records it.
async fn wait_for_next(node: &Node, pace: &mut HeartbeatPace) {
    let mut due = pace.regular_at(node.now(), node.entry_vm_count());
    loop {
        let time_left = due.since(node.now());
        let urgent = tokio::time::timeout(time_left, node.send_now.notified());
        if urgent.await.is_err() {
            break;
        }
        let now = node.now();
        let entry_vms = node.entry_vm_count();
        due = due.min(match node.announces_config.get() {
            true => pace.announcement_at(now, entry_vms),
            false => pace.urgent_at(now, entry_vms),
        });
    }
    node.announces_config.set(false);
    let now = node.now();
    let is_early = now < pace.regular_at(now, node.entry_vm_count());
    if is_early {
        node.metrics.count(Counter::EarlyHeartbeats, "all");
    }
    pace.record_sent(now, is_early);
}

/// Totals of the datagrams between VMs at the last look, for the log.
#[derive(Debug, Default)]
struct Traffic {
    at: Time,
    early: u64,
    totals: [u64; 4],
}

impl Traffic {
    /// Logs what was sent and received since the last look if heartbeats were sent early.
    fn log_if_due(&mut self, node: &Node) {
        let now = node.now();
        if now.since(self.at) < TRAFFIC_LOG_INTERVAL {
            return;
        }
        let total = |counter| node.metrics.total(counter);
        let early = total(Counter::EarlyHeartbeats);
        let totals = [
            total(Counter::DatagramsSent),
            total(Counter::DatagramBytes),
            total(Counter::DatagramsReceived),
            total(Counter::CrashReports),
        ];
        if early > self.early {
            let [sent, bytes, received, reports] =
                std::array::from_fn(|i| totals[i] - self.totals[i]);
            log::info!(
                "event=datagrams ms={} early={} sent={sent} bytes={bytes} received={received} \
                 reports={reports}",
                now.since(self.at).as_millis(),
                early - self.early
            );
        }
        (self.at, self.early, self.totals) = (now, early, totals);
    }
}

/// Tells peers what this VM heard of limits of endpoints, as long as any holds.
async fn send_limits(node: &Node, socket: &UdpSocket, addresses: &[SocketAddr]) {
    let now = node.now();
    let reports = node.balancer.borrow().limits().reports(now);
    if reports.is_empty() && !node.balancer.borrow().limits().any() {
        return;
    }
    let mut parts = reports.chunks(MAX_REPORTS);
    let first = parts.next().unwrap_or_default();
    for part in std::iter::once(first).chain(parts) {
        let message = Message::Limits(LimitNews {
            node: node.identity.node.clone(),
            cut: node.path_state(now) == PathState::Cut,
            reports: part.to_vec(),
        });
        send_to(node, socket, &message, addresses.iter().copied()).await;
    }
}

/// Tells peers which groups break off this VM's requests.
async fn send_breaks(node: &Node, socket: &UdpSocket, addresses: &[SocketAddr]) {
    let reports = node.balancer.borrow().breaks().reports(node.now());
    for part in reports.chunks(MAX_REPORTS) {
        let message = Message::Breaks(part.to_vec());
        send_to(node, socket, &message, addresses.iter().copied()).await;
    }
}

/// Applies what a peer told of groups that break off its requests.
fn apply_breaks(node: &Node, now: Time, reports: &[BreakReport]) {
    let endpoints = node.endpoints.borrow();
    let mut balancer = node.balancer.borrow_mut();
    for report in reports {
        if let Some(endpoint) = endpoints.get(&report.endpoint) {
            balancer
                .breaks_mut()
                .record_report(now, &endpoint.id, report);
        }
    }
}

/// Applies what a peer heard of limits of endpoints.
fn apply_limits(node: &Node, now: Time, news: &LimitNews) {
    if news.node == node.identity.node {
        return;
    }
    let mut balancer = node.balancer.borrow_mut();
    let limits = balancer.limits_mut();
    limits.set_cut(now, &news.node, news.cut);
    let listed = node.endpoints.borrow();
    for report in news
        .reports
        .iter()
        .filter(|r| listed.get(&r.endpoint).is_some())
    {
        let change = limits.record_report(now, report);
        node.log_limit(&report.endpoint, change, &news.node);
    }
}

/// Sends a message to each address. Failures are only logged.
pub(crate) async fn send_to(
    node: &Node,
    socket: &UdpSocket,
    message: &Message,
    addresses: impl IntoIterator<Item = SocketAddr>,
) {
    let bytes = match rmp_serde::to_vec(message) {
        Ok(bytes) => bytes,
        Err(e) => return log::error!("event=datagram_failed cause=\"{e}\""),
    };
    let mut count = 0;
    for address in addresses {
        count += 1;
        if let Err(e) = socket.send_to(&bytes, address).await {
            log::debug!("event=datagram_failed to={address} cause=\"{e}\"");
        }
    }
    let kind = message.kind();
    node.metrics.add(Counter::DatagramsSent, kind, count);
    let total = count * bytes.len() as u64;
    node.metrics.add(Counter::DatagramBytes, kind, total);
}

/// Returns this VM's heartbeat with the given sequence number.
fn own_heartbeat(node: &Node, sequence: u64, interval: Duration) -> Heartbeat {
    let now = node.now();
    node.confirm_crashes(now);
    let balancer = node.balancer.borrow();
    let silent = balancer.silent_endpoints(now).into_iter();
    let demand = node.demand_meter.borrow().demand(now);
    Heartbeat {
        member: node.identity.clone(),
        sequence,
        ready: node.is_ready(),
        config_version: node.config().map_or(0, |c| c.version),
        reaches_store: may_plan(node, now),
        reads_store: node.reads_store(),
        is_planner: node.is_planner.get(),
        has_traffic: node.has_traffic.get(),
        interval_ms: interval.as_millis() as u32,
        read_positions: TOPICS.map(|t| node.feed(t).next_position()),
        demand: demand
            .into_iter()
            .map(|(m, d)| (m.to_string(), d))
            .collect(),
        loads: balancer.own_loads(now),
        silent_endpoints: silent
            .map(|(id, age)| (id.to_string(), age.as_millis() as u32))
            .collect(),
        crash_reports: node.quarantine.borrow_mut().reports(now, CRASH_REPEAT_TIME),
    }
}

/// Returns whether this VM may become the planner.
fn may_plan(node: &Node, now: Time) -> bool {
    let is_backing_off = node.lease_backoff_until.get().is_some_and(|t| t > now);
    node.store_up() && !is_backing_off && node.path_state(now) != PathState::Cut
}

/// Reads the configuration from a peer if peers have had a newer one for longer than [`MAX_LAG`]:
/// the store may have lost it, or this VM's source may be slow. A transfer from the source that has
/// begun gets more time.
fn follow_newer_config(node: &Rc<Node>, now: Time, newer: u64) {
    let version = node.config().map_or(0, |c| c.version);
    if newer <= version {
        return;
    }
    let since = node.config_behind_since.get().unwrap_or(now);
    node.config_behind_since.set(Some(since));
    let feed = node.feed(Topic::Config);
    let is_due = match feed.transfer.get() {
        Some(transfer) => transfer.is_long(now),
        None => now.since(since) >= MAX_LAG,
    };
    if !is_due || node.config_read.get() {
        return;
    }
    // All VMs hear of a newer configuration by the same heartbeat, and spread over those that have it.
    let draw = rand::rng().random_range(0.0..1.0);
    let peers = node.peers.borrow();
    let zone = &node.identity.zone;
    let Some(peer) = peers.config_source(now, version, zone, feed.source.get(), draw) else {
        return;
    };
    // The next attempt waits again.
    node.config_behind_since.set(None);
    log::info!(
        "event=config_behind version={version} peer={} newer={newer}",
        peer.node
    );
    let address = peer.peer_address;
    node.config_read.set(true);
    spawn_local(store_watch::read_config_from_peer(node.clone(), address));
}

/// Handles a received datagram.
fn handle_datagram(node: &Rc<Node>, socket: &Rc<UdpSocket>, bytes: &[u8], from: SocketAddr) {
    let now = node.now();
    let message: Message = match rmp_serde::from_slice(bytes) {
        Ok(message) => message,
        Err(e) => {
            log::debug!("event=datagram_refused from={from} cause=\"{e}\"");
            node.metrics.count(Counter::DatagramsRefused, "malformed");
            return;
        }
    };
    let kind = message.kind();
    node.metrics.count(Counter::DatagramsReceived, kind);
    let heartbeat: Heartbeat = match message {
        Message::Heartbeat(heartbeat) => *heartbeat,
        Message::VmLoad { node: name, loads } => {
            return node.load_totals.borrow_mut().set_vm_load(now, name, loads);
        }
        Message::ZoneLoad { zone, loads } => {
            return node
                .load_totals
                .borrow_mut()
                .set_zone_load(now, zone, loads);
        }
        Message::OtherVmsLoad { loads } => {
            return load_exchange::set_other_loads(node, now, loads);
        }
        Message::EngineReports(list) => return list.iter().for_each(|r| node.apply_report(r)),
        Message::PathQuery(query) => {
            let answer = path_watch::answer_query(node.clone(), socket.clone(), query, from);
            spawn_local(answer);
            return;
        }
        Message::PathReply(reply) => {
            node.reach.borrow_mut().record_reply(now, &reply);
            node.peer_paths.borrow_mut().record_reply(now, reply);
            return node.path_evidence.notify_one();
        }
        Message::Limits(news) => return apply_limits(node, now, &news),
        Message::Breaks(reports) => return apply_breaks(node, now, &reports),
    };
    if heartbeat.member.node == node.identity.node {
        return;
    }
    let reports = heartbeat.crash_reports.len() as u64;
    node.metrics.add(Counter::CrashReports, "received", reports);
    for report in &heartbeat.crash_reports {
        node.quarantine.borrow_mut().record_report(now, *report);
    }
    for (topic, position) in TOPICS.into_iter().zip(heartbeat.read_positions) {
        node.feed(topic).compare_with_peer(now, position);
    }
    let is_known = node
        .peers
        .borrow()
        .heartbeats(now)
        .any(|(h, _)| h.member.node == heartbeat.member.node);
    let (name, run) = (heartbeat.member.node.clone(), heartbeat.member.run);
    let config_version = heartbeat.config_version;
    let up = TOPICS.map(|t| node.feed(t).store_up.get());
    if heartbeat.reads_store && source::looks_at_once(up) && !node.is_planner.get() {
        node.store_found.notify_waiters();
    }
    if !node.peers.borrow_mut().record_heartbeat(now, heartbeat) {
        return;
    }
    if !is_known {
        log::info!("event=peer_regained node={name} run={run}");
    }
    follow_newer_config(node, now, config_version);
    load_exchange::update_balancer(node, now);
}
