//! Shares the load that entry VMs have placed, by way of the VM of each zone that adds it up.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hemlock_lib::node::peers::{EndpointLoad, Heartbeat, Message};
use hemlock_lib::time::Time;
use tokio::net::UdpSocket;

use crate::peer_datagrams::send_to;
use crate::state::Node;

/// Time between two reports of placed load within a zone and between zones: a request lasts ten
/// times as long.
const LOAD_EVERY: Duration = Duration::from_millis(100);
/// Time for which the sum of all others counts; after it, their own news do.
const LOAD_FRESH: Duration = Duration::from_millis(400);

/// Reports the placed load to the VM that adds up this zone, or adds up as that VM, for good.
pub(crate) async fn share(node: Rc<Node>, socket: Rc<UdpSocket>) {
    loop {
        tokio::time::sleep(LOAD_EVERY).await;
        if !node.has_traffic.get() && !node.peers.borrow().any_has_traffic(node.now()) {
            continue;
        }
        let now = node.now();
        let loads = node.balancer.borrow().own_loads(now);
        let (own, others): (Vec<_>, Vec<_>) = {
            let peers = node.peers.borrow();
            let adders = peers.zone_representatives(now, &node.identity, node.is_ready());
            let adders = adders
                .into_iter()
                .map(|m| (m.node.clone(), m.zone.clone(), m.peer_address));
            adders.partition(|(_, zone, _)| *zone == node.identity.zone)
        };
        match own.first() {
            Some((name, ..)) if *name == node.identity.node => {
                add_up(&node, &socket, now, &loads, others.iter().map(|o| o.2)).await;
            }
            Some((.., address)) => {
                let node = node.identity.node.clone();
                send_to(&socket, &Message::VmLoad { node, loads }, [*address]).await;
            }
            None => {}
        }
    }
}

/// Tells the sum of this zone to the others, and each VM of it what all but itself have placed.
async fn add_up(
    node: &Node,
    socket: &UdpSocket,
    now: Time,
    own: &[EndpointLoad],
    others: impl Iterator<Item = SocketAddr>,
) {
    let reporters = node.load_totals.borrow_mut().reporters(now);
    let sum = Message::ZoneLoad {
        zone: node.identity.zone.clone(),
        loads: node.load_totals.borrow().zone_total(now, own),
    };
    send_to(socket, &sum, others).await;
    for name in reporters {
        let Some(address) = node.peers.borrow().address(&name) else {
            continue;
        };
        let loads = node
            .load_totals
            .borrow()
            .total_except(now, Some(&name), own);
        send_to(socket, &Message::OtherVmsLoad { loads }, [address]).await;
    }
    let loads = node.load_totals.borrow().total_except(now, None, own);
    take_others(node, now, loads);
}

pub(crate) fn take_others(node: &Node, now: Time, loads: Vec<EndpointLoad>) {
    *node.loads_of_others.borrow_mut() = Some((now, loads));
    apply(node, now);
}

/// Counts what the others have placed: their sum if it is fresh, and else what each of them tells.
pub(crate) fn apply(node: &Node, now: Time) {
    let peers = node.peers.borrow();
    let all: Vec<(&Heartbeat, Time)> = peers.heartbeats(now).collect();
    let silent = all.iter().flat_map(|(n, heard)| {
        let since = |age: u32| *heard - Duration::from_millis(u64::from(age));
        n.silent_endpoints
            .iter()
            .map(move |(id, age)| (id.as_str(), since(*age)))
    });
    let mut balancer = node.balancer.borrow_mut();
    let others = node.loads_of_others.borrow();
    match &*others {
        Some((heard, loads)) if now.since(*heard) < LOAD_FRESH => {
            balancer.set_peer_loads(loads.iter().map(|p| (p, *heard)), silent);
        }
        _ => {
            let news = all.iter();
            let loads = news.flat_map(|(n, heard)| n.loads.iter().map(|p| (p, *heard)));
            balancer.set_peer_loads(loads, silent);
        }
    }
}
