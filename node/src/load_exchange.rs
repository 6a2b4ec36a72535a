//! Exchange of the load that each entry VM has on endpoints, aggregated by one VM of each zone.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hemlock_lib::node::peers::{EndpointLoad, Heartbeat, Message};
use hemlock_lib::time::Time;
use tokio::net::UdpSocket;

use crate::metrics::{Counter, Latency};
use crate::peer_datagrams::send_to;
use crate::state::Node;

/// Interval between two reports of load, within a zone and between zones. It is about a tenth of
/// the time that a request takes.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum age of the total load of all other VMs; when it is older, the loads in their heartbeats
/// are used instead.
const MAX_TOTAL_AGE: Duration = Duration::from_millis(400);

/// Delay of a report beyond its interval from which the process counts as not having been run.
const STANDSTILL_TIME: Duration = Duration::from_millis(500);

/// Reports this VM's load to the representative of its zone, or adds up the zone's load if this VM
/// is the representative, until the process ends.
pub(crate) async fn run(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut due = node.now() + REPORT_INTERVAL;
    node.own_delay.record_set(node.now(), REPORT_INTERVAL);
    loop {
        tokio::time::sleep(due.since(node.now())).await;
        let now = node.now();
        note_delay(&node, node.own_delay.record_fired(now));
        // Set before the work, so that a standstill within it is measured too.
        node.own_delay.record_set(now, REPORT_INTERVAL);
        due = now + REPORT_INTERVAL;
        if !node.has_traffic.get() && !node.peers.borrow().any_has_traffic(node.now()) {
            continue;
        }
        let now = node.now();
        let loads = node.balancer.borrow().own_loads(now);
        let (own_zone, other_zones): (Vec<_>, Vec<_>) = {
            let peers = node.peers.borrow();
            let representatives = peers.zone_representatives(now, &node.identity, node.is_ready());
            let representatives = representatives
                .into_iter()
                .map(|m| (m.node.clone(), m.zone.clone(), m.peer_address));
            representatives.partition(|(_, zone, _)| *zone == node.identity.zone)
        };
        match own_zone.first() {
            Some((name, ..)) if *name == node.identity.node => {
                aggregate(&node, &socket, now, &loads, other_zones.iter().map(|o| o.2)).await;
            }
            Some((.., address)) => {
                let message = Message::VmLoad {
                    node: node.identity.node.clone(),
                    loads,
                };
                send_to(&node, &socket, &message, [*address]).await;
            }
            None => {}
        }
    }
}

/// Records by how much this process was late, and logs a delay in which it handled nothing that
/// arrived.
fn note_delay(node: &Node, delay: Duration) {
    node.metrics.record(Latency::TimerDelay, "all", delay);
    if delay >= STANDSTILL_TIME {
        log::warn!("event=stood_still ms={}", delay.as_millis());
        node.metrics.count(Counter::Standstills, "process");
    }
}

/// Sends the total load of this zone to the representatives of the other zones, and the load of all
/// other VMs to each VM of this zone.
async fn aggregate(
    node: &Node,
    socket: &UdpSocket,
    now: Time,
    own_loads: &[EndpointLoad],
    other_representatives: impl Iterator<Item = SocketAddr>,
) {
    let reporters = node.load_totals.borrow_mut().reporters(now);
    let message = Message::ZoneLoad {
        zone: node.identity.zone.clone(),
        loads: node.load_totals.borrow().zone_total(now, own_loads),
    };
    send_to(node, socket, &message, other_representatives).await;
    for name in reporters {
        let Some(address) = node.peers.borrow().address(&name) else {
            continue;
        };
        let loads = node
            .load_totals
            .borrow()
            .total_except(now, Some(&name), own_loads);
        send_to(node, socket, &Message::OtherVmsLoad { loads }, [address]).await;
    }
    let loads = node.load_totals.borrow().total_except(now, None, own_loads);
    set_other_loads(node, now, loads);
}

/// Sets the load of all other VMs, and applies it to the balancer.
pub(crate) fn set_other_loads(node: &Node, now: Time, loads: Vec<EndpointLoad>) {
    *node.other_loads.borrow_mut() = Some((now, loads));
    update_balancer(node, now);
}

/// Applies the load of the other VMs to the balancer: their total if it is recent, and otherwise
/// the load that each of them reported in its heartbeat.
pub(crate) fn update_balancer(node: &Node, now: Time) {
    let peers = node.peers.borrow();
    let heartbeats: Vec<(&Heartbeat, Time)> = peers.heartbeats(now).collect();
    let silent = heartbeats.iter().flat_map(|(h, received)| {
        let since = |age: u32| *received - Duration::from_millis(u64::from(age));
        h.silent_endpoints
            .iter()
            .map(move |(id, age)| (id.as_str(), since(*age)))
    });
    let live_vms = peers.live_vm_count(now);
    let mut balancer = node.balancer.borrow_mut();
    if balancer.limits().any() {
        let live = peers.ready(now).map(|m| m.node.as_str());
        let others = live.filter(|name| *name != node.identity.node);
        balancer.limits_mut().set_other_vms(now, others);
    }
    let others = node.other_loads.borrow();
    match &*others {
        Some((received, loads)) if now.since(*received) < MAX_TOTAL_AGE => {
            balancer.set_peer_loads(loads.iter().map(|l| (l, *received)), silent);
            balancer.set_total_arrival((live_vms > 1).then_some(*received));
        }
        _ => {
            let heartbeats = heartbeats.iter();
            let loads = heartbeats.flat_map(|(h, received)| h.loads.iter().map(|l| (l, *received)));
            balancer.set_peer_loads(loads, silent);
            balancer.set_total_arrival(None);
        }
    }
}
