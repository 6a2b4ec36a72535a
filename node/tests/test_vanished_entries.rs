//! Endpoints whose entries end or say that they drain, while they go on with what they have in hand.

use std::thread;
use std::time::Duration;

use hemlock_platform_standin::caller;
use hemlock_platform_standin::endpoint::Endpoint;

use crate::cluster::{Cluster, MODEL_HEADERS};
use crate::node_process::request;

/// Events of streams that last for some one and a half seconds.
const EVENTS: u64 = 120;

/// Time for which a new group is given to become complete.
const FORMING_TIME: Duration = Duration::from_secs(3);

/// Has streams at all groups in hand while `leave` is done to the member of a group with this rank, and
/// checks that they go on where they are.
fn check_streams_go_on(rank: usize, leave: impl Fn(&Endpoint)) {
    let cluster = Cluster::spawn();
    thread::sleep(FORMING_TIME);
    for endpoint in &cluster.endpoints {
        endpoint.set_event_count(EVENTS);
    }
    let fronts: Vec<_> = cluster.nodes.iter().map(|n| n.front).collect();
    let streams: Vec<_> = (0..9)
        .map(|number| {
            let front = fronts[number % fronts.len()];
            thread::spawn(move || {
                let id = format!("s{number}");
                let text = request("POST", "/stream/a", &id, MODEL_HEADERS, "prompt");
                caller::send(front, &text)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    let head = cluster.group_heads()[0].id().to_owned();
    let member = cluster.group_members(&head).swap_remove(rank);
    let of_member = cluster.endpoints.iter().find(|e| e.id() == member);
    leave(of_member.expect("the member is known"));
    let responses: Vec<_> = streams
        .into_iter()
        .map(|s| s.join().expect("the caller ends"))
        .collect();
    let sent_twice: Vec<_> = (0..9)
        .map(|number| format!("s{number}"))
        .filter(|id| cluster.run_count(id) != 1)
        .collect();
    let of_head = cluster.endpoints.iter().find(|e| e.id() == head);
    let runs = of_head.expect("the head is known").runs();
    assert!(runs.iter().any(|r| r.request_id.starts_with('s')));
    let events = (1..=EVENTS).collect::<Vec<_>>();
    let whole = |r: &caller::Response| r.complete && r.events() == events;
    assert!(responses.iter().all(whole), "not whole");
    let logs = cluster
        .nodes
        .iter()
        .flat_map(|n| n.log_lines("event=order "));
    let orders: Vec<_> = logs.filter(|l| !l.contains("=phase")).collect();
    assert!(
        sent_twice.is_empty(),
        "{member} leaves, moved: {sent_twice:?}, {orders:#?}"
    );
}

#[test]
fn streams_in_hand_of_an_old_group_go_on_when_a_member_drains() {
    check_streams_go_on(1, Endpoint::drain);
}

#[test]
fn streams_in_hand_go_on_when_the_entry_of_a_member_vanishes() {
    check_streams_go_on(1, Endpoint::remove_entry);
}

#[test]
fn streams_in_hand_go_on_when_the_entry_of_their_head_vanishes() {
    check_streams_go_on(0, Endpoint::remove_entry);
}
