//! Daemons that are cut from all endpoints, while callers, the store and the other daemons still
//! reach them.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use hemlock_platform_standin::caller;
use hemlock_platform_standin::endpoint::Mode;
use hemlock_platform_standin::proxy::Link;

use crate::cluster::{
    Cluster, MODEL_HEADERS, STABLE_WINDOW, check_others_serve, check_runs, check_target,
    send_at_rate,
};
use crate::node_process::{NodeProcess, request};

/// Time in which callers count once the stable window has passed.
const OBSERVED: Duration = Duration::from_secs(3);
/// Time by which a refusal may be late, for a machine under load.
const TIMING_TOLERANCE: Duration = Duration::from_millis(200);

/// Cuts the first daemon, and has callers send until its peers have had the time to serve for it.
fn cut_first(cluster: &Cluster, link: Link) {
    cluster.set_link(0, link);
    cluster.send_for("before", STABLE_WINDOW);
}

/// Checks that callers of the daemon that is cut like this are served through its peers.
fn check_served_through_peers(link: Link) {
    let cluster = Cluster::spawn();
    // Connections don't last until the end of the cut.
    cluster
        .endpoints
        .iter()
        .for_each(|e| e.set_connection_limit(8));
    let mut tries = cluster.send_for("warm", Duration::from_millis(500));
    cluster.set_link(0, link);
    tries.extend(cluster.send_for("early", STABLE_WINDOW));
    let observed = cluster.send_for("late", OBSERVED);
    check_target(&observed, &[0]);
    check_others_serve(&observed, &[0]);
    tries.extend(observed);
    check_runs(&cluster, &tries);
}

#[test]
fn callers_of_a_vm_with_silent_links_are_served_through_its_peers() {
    check_served_through_peers(Link::Silent);
}

#[test]
fn callers_of_a_vm_with_reset_links_are_served_through_its_peers() {
    check_served_through_peers(Link::Reset);
}

#[test]
fn callers_of_a_vm_that_can_open_no_connection_are_served_through_its_peers() {
    check_served_through_peers(Link::RefuseNew);
}

#[test]
fn callers_of_a_vm_whose_bytes_reach_no_endpoint_are_served_through_its_peers() {
    check_served_through_peers(Link::CutForth);
}

#[test]
fn callers_of_a_vm_that_hears_no_endpoint_are_served_through_its_peers() {
    check_served_through_peers(Link::CutBack);
}

/// Bytes on old connections hid from the daemon that none of its new ones lived.
#[test]
fn streams_of_a_vm_that_can_open_no_connection_are_served_while_old_ones_go_on() {
    let cluster = Cluster::spawn();
    let engines = cluster.endpoints.iter().filter(|e| e.id().starts_with('e'));
    engines.for_each(|e| e.set_connection_limit(1));
    // Fewer engines than failures at which a daemon doubts its path.
    for head in cluster.group_heads().into_iter().skip(2) {
        head.remove_entry();
    }
    let fronts: Vec<_> = cluster.nodes.iter().map(|n| n.front).collect();
    let plain = |prefix: &str, time| {
        send_at_rate(&fronts, time, |node, number| {
            let id = format!("{prefix}-plain-{node}-{number}");
            let text = request("GET", &format!("/plain/{id}"), &id, "", "");
            (id, text)
        })
    };
    let streams = |prefix: &str, time| {
        send_at_rate(&fronts, time, |node, number| {
            let id = format!("{prefix}-stream-{node}-{number}");
            let text = request("POST", &format!("/stream/{id}"), &id, MODEL_HEADERS, &id);
            (id, text)
        })
    };
    plain("warm", Duration::from_millis(500));
    cluster.set_link(0, Link::RefuseNew);
    let observed = thread::scope(|scope| {
        scope.spawn(|| plain("old", STABLE_WINDOW + OBSERVED));
        streams("early", STABLE_WINDOW);
        streams("late", OBSERVED)
    });
    check_target(&observed, &[0]);
    check_others_serve(&observed, &[0]);
}

/// A stream that its endpoint left unfinished had the only peer with a path avoided for a second.
#[test]
fn peer_whose_endpoint_fails_within_a_stream_goes_on_serving_other_requests() {
    let cluster = Cluster::spawn();
    for head in cluster.group_heads() {
        head.set_mode(Mode::Cut(2));
    }
    cluster.set_link(0, Link::Silent);
    cluster.set_link(1, Link::Silent);
    cluster.send_for("early", STABLE_WINDOW);
    let observed = cluster.send_for("late", OBSERVED);
    let of_cut = observed.iter().filter(|t| t.node < 2);
    let (served, failed): (Vec<_>, Vec<_>) = of_cut
        .filter(|t| !t.id.contains("stream"))
        .partition(|t| t.is_served());
    assert!(
        served.len() >= failed.len() * 9,
        "{} served, {} not",
        served.len(),
        failed.len()
    );
    check_runs(&cluster, &observed);
}

/// Two of three daemons are cut: the one with a path serves for both.
#[test]
fn callers_of_two_cut_vms_are_served_through_the_third() {
    let cluster = Cluster::spawn();
    cluster.set_link(1, Link::Reset);
    cut_first(&cluster, Link::Silent);
    let tries = cluster.send_for("late", OBSERVED);
    check_target(&tries, &[0, 1]);
    check_runs(&cluster, &tries);
}

#[test]
fn callers_of_a_cut_vm_are_served_after_one_of_its_peers_was_killed() {
    let mut cluster = Cluster::spawn();
    cut_first(&cluster, Link::Reset);
    cluster.nodes[2].kill();
    let mut tries = cluster.send_for("late", OBSERVED);
    check_runs(&cluster, &tries);
    tries.retain(|t| t.node != 2);
    check_target(&tries, &[0]);
}

/// Each connection that the cut resets looks like a crash of its endpoint to the daemon, and all of
/// these requests are the same one.
#[test]
fn requests_reset_by_a_cut_are_not_refused_as_crashing() {
    let cluster = Cluster::spawn();
    let fronts: Vec<_> = cluster.nodes.iter().map(|n| n.front).collect();
    let send = |prefix: &str, time| {
        send_at_rate(&fronts, time, |node, number| {
            let id = format!("{prefix}-plain-{node}-{number}");
            let text = request("GET", "/plain/same", &id, "", "");
            (id, text)
        })
    };
    send("warm", Duration::from_millis(500));
    cluster.set_link(0, Link::Reset);
    send("early", STABLE_WINDOW);
    let tries = send("late", OBSERVED);
    check_others_serve(&tries, &[0]);
    check_target(&tries, &[0]);
}

#[test]
fn at_most_once_requests_run_once_while_cuts_come_and_go() {
    let cluster = Cluster::spawn();
    let tries = thread::scope(|scope| {
        scope.spawn(|| {
            let cuts = [Link::Silent, Link::Reset, Link::CutBack, Link::RefuseNew];
            for (number, link) in cuts.into_iter().cycle().take(6).enumerate() {
                cluster.set_link(number % 2, link);
                thread::sleep(Duration::from_millis(900));
                cluster.set_link(number % 2, Link::Open);
            }
        });
        cluster.send_for("mixed", Duration::from_secs(6))
    });
    check_runs(&cluster, &tries);
}

/// Headers of a run without those that differ between any two requests.
fn comparable(cluster: &Cluster, id: &str) -> (BTreeMap<String, String>, String, Vec<u8>) {
    let mut runs = cluster.endpoints.iter().flat_map(|e| e.runs());
    let run = runs.find(|r| r.request_id == id);
    let run = run.unwrap_or_else(|| panic!("{id} ran nowhere"));
    let mut headers = run.headers;
    for varying in ["request-id", "deadline-ms", "expect-instance"] {
        assert!(headers.remove(varying).is_some(), "{varying}");
    }
    (headers, run.target, run.body)
}

#[test]
fn request_for_a_cut_vm_arrives_at_the_endpoint_as_a_direct_one() {
    let cluster = Cluster::spawn();
    cut_first(&cluster, Link::Reset);
    let own = "Tenant: forged\r\nX-Own: kept\r\nConnection: x-hop\r\nX-Hop: 1\r\n";
    let parts = "Prompt-Prefix: a1:40,c0de:60,7:100\r\nLast-Event-Id: 2\r\n";
    let stream = format!("{own}{MODEL_HEADERS}{parts}");
    for (path, headers) in [("/once/a?b=c", own), ("/stream/a?b=c", &stream)] {
        let send = |node: usize, id: &str| {
            let response = cluster.nodes[node].send("POST", path, id, headers, "the body");
            assert_eq!(response.status, 200, "{id}: {response:?}");
            comparable(&cluster, id)
        };
        let passed_on = send(0, &format!("passed-on{}", path.len()));
        assert_eq!(passed_on.0["tenant"], "acme");
        assert_eq!(passed_on, send(1, &format!("direct{}", path.len())));
    }
}

#[test]
fn endpoint_gets_the_time_that_is_left_of_a_request_for_a_cut_vm() {
    let cluster = Cluster::spawn();
    cut_first(&cluster, Link::Silent);
    let tries = cluster.send_for("late", Duration::from_secs(1));
    let runs: Vec<_> = cluster.endpoints.iter().flat_map(|e| e.runs()).collect();
    let served = tries.iter().filter(|t| t.node == 0 && t.is_served());
    let mut checked = 0;
    for t in served {
        // The last run is the one that answered.
        let run = runs.iter().filter(|r| r.request_id == t.id);
        let run = run
            .max_by_key(|r| r.started_at)
            .expect("a served request ran");
        let deadline: u64 = run.headers["deadline-ms"].parse().expect("a number");
        let left = Duration::from_secs(3).saturating_sub(run.started_at - t.sent_at);
        let given = Duration::from_millis(deadline);
        assert!(given <= left + TIMING_TOLERANCE, "{given:?}, {left:?}");
        assert!(given + TIMING_TOLERANCE >= left, "{given:?}, {left:?}");
        checked += 1;
    }
    assert!(checked > 0, "no request at the cut daemon was served");
}

/// Sends a stream of `events` events over two seconds to the first daemon, and cuts it meanwhile.
fn check_stream_goes_on(link: Link) {
    let cluster = Cluster::spawn();
    let events: u64 = 200;
    cluster
        .endpoints
        .iter()
        .for_each(|e| e.set_event_count(events));
    let front = cluster.nodes[0].front;
    let stream = thread::spawn(move || {
        let text = request("POST", "/stream/a", "long", MODEL_HEADERS, "prompt");
        caller::send(front, &text.replace("-Ms: 3000", "-Ms: 9000"))
    });
    thread::sleep(Duration::from_millis(400));
    cluster.set_link(0, link);
    cluster.send_for("beside", Duration::from_secs(3));
    let response = stream.join().expect("the caller ends");
    let got = response.events();
    assert_eq!(got, (1..=events).collect::<Vec<_>>(), "{}", response.head);
    assert_eq!((response.status, response.complete), (200, true));
}

#[test]
fn stream_broken_by_a_cut_goes_on_through_a_peer_within_one_answer() {
    check_stream_goes_on(Link::Reset);
}

#[test]
fn stream_silenced_by_a_cut_goes_on_through_a_peer_within_one_answer() {
    check_stream_goes_on(Link::Silent);
}

/// The connection of the stream lives on, and nothing is lost if it is left alone.
#[test]
fn stream_on_a_living_connection_goes_on_while_new_connections_are_refused() {
    check_stream_goes_on(Link::RefuseNew);
}

#[test]
fn caller_of_a_cut_vm_that_leaves_has_its_stream_cancelled_at_the_endpoint() {
    let cluster = Cluster::spawn();
    cut_first(&cluster, Link::Reset);
    cluster
        .endpoints
        .iter()
        .for_each(|e| e.set_event_count(500));
    let abandoned = || {
        cluster
            .endpoints
            .iter()
            .map(|e| e.abandoned_requests())
            .sum::<usize>()
    };
    let before = abandoned();
    let mut io = TcpStream::connect(cluster.nodes[0].front).unwrap();
    let text = request("POST", "/stream/a", "left", MODEL_HEADERS, "prompt");
    io.write_all(text.as_bytes()).unwrap();
    let mut bytes = [0; 12];
    io.read_exact(&mut bytes).unwrap();
    assert_eq!(&bytes, b"HTTP/1.1 200");
    drop(io);
    let left_at = Instant::now();
    cluster.nodes[0].wait_until("the endpoint sees the disconnect", |_| abandoned() > before);
    let limit = Duration::from_millis(500) + TIMING_TOLERANCE;
    assert!(left_at.elapsed() < limit, "{:?}", left_at.elapsed());
}

/// Once it is known that no VM has a path, requests don't wait for their deadlines.
#[test]
fn without_any_path_requests_are_refused_at_once() {
    let cluster = Cluster::spawn();
    for node in 0..3 {
        cluster.set_link(node, Link::Silent);
    }
    cluster.send_for("before", STABLE_WINDOW);
    let tries = cluster.send_for("late", Duration::from_secs(1));
    let limit = Duration::from_millis(100) + TIMING_TOLERANCE;
    let at_once = tries
        .iter()
        .filter(|t| t.response.status == 503 && t.time < limit);
    let (at_once, all) = (at_once.count(), tries.len());
    assert!(
        at_once * 10 >= all * 9,
        "{at_once} of {all} refused at once"
    );
    check_runs(&cluster, &tries);
}

/// Returns the number of times that any daemon found itself cut.
fn cuts_found(nodes: &[NodeProcess]) -> usize {
    let found = nodes
        .iter()
        .map(|n| n.log_lines("event=path state=cut").len());
    found.sum()
}

/// Checks that endpoints that fall silent for all daemons are not taken for a cut.
fn check_no_cut(cluster: &Cluster, silent_prefixes: &[&str], silence: Duration) {
    cluster.send_for("before", Duration::from_millis(500));
    let set = |link| {
        silent_prefixes
            .iter()
            .for_each(|p| cluster.set_endpoint_links(p, link));
    };
    set(Link::Silent);
    cluster.send_for("silent", silence);
    set(Link::Open);
    cluster.send_for("after", Duration::from_secs(1));
    let path_lines = cluster.nodes.iter().map(|n| n.log_lines("event=path"));
    let path_lines: Vec<_> = path_lines.collect();
    assert_eq!(cuts_found(&cluster.nodes), 0, "{path_lines:?}");
}

#[test]
fn silence_of_one_endpoint_is_no_cut() {
    check_no_cut(&Cluster::spawn(), &["p1"], Duration::from_millis(1_500));
}

#[test]
fn silence_of_one_group_is_no_cut() {
    let cluster = Cluster::spawn();
    let heads: Vec<_> = cluster
        .group_heads()
        .iter()
        .map(|h| h.id().to_owned())
        .collect();
    let members = cluster.group_members(&heads[0]);
    let members: Vec<&str> = members.iter().map(String::as_str).collect();
    check_no_cut(&cluster, &members, Duration::from_millis(1_500));
}

#[test]
fn silence_of_one_service_is_no_cut() {
    check_no_cut(&Cluster::spawn(), &["p"], Duration::from_millis(1_000));
    check_no_cut(&Cluster::spawn(), &["e"], Duration::from_millis(1_500));
}

/// With its peers gone, a daemon that still passed requests on would serve none of them.
#[test]
fn requests_go_direct_again_after_a_cut_has_healed() {
    let mut cluster = Cluster::spawn();
    cut_first(&cluster, Link::Silent);
    cluster.set_link(0, Link::Open);
    cluster.send_for("healed", Duration::from_secs(4));
    for peer in &mut cluster.nodes[1..] {
        peer.kill();
    }
    let mut tries = cluster.send_for("alone", Duration::from_secs(1));
    tries.retain(|t| t.node == 0);
    let served = tries.iter().filter(|t| t.is_served()).count();
    assert!(
        served * 10 >= tries.len() * 9,
        "{served} of {}",
        tries.len()
    );
}

/// One cut is found once and healed once.
fn check_no_flapping(link: Link) {
    let cluster = Cluster::spawn();
    cut_first(&cluster, link);
    cluster.send_for("cut", Duration::from_secs(4));
    let changes = |state: &str| {
        let text = format!("event=path state={state}");
        cluster.nodes[0].log_lines(&text).len()
    };
    assert_eq!(
        changes("cut"),
        1,
        "{:?}",
        cluster.nodes[0].log_lines("event=path")
    );
    cluster.set_link(0, Link::Open);
    cluster.send_for("healed", Duration::from_secs(4));
    let states = cluster.nodes[0].log_lines("event=path");
    assert_eq!(changes("cut"), 1, "{states:?}");
    assert!(
        states.last().is_some_and(|l| l.contains("state=direct")),
        "{states:?}"
    );
}

#[test]
fn path_does_not_flap_in_a_cut_with_resets() {
    check_no_flapping(Link::Reset);
}

#[test]
fn path_does_not_flap_while_new_connections_are_refused() {
    check_no_flapping(Link::RefuseNew);
}

#[test]
fn path_does_not_flap_while_connections_open_but_no_byte_arrives() {
    check_no_flapping(Link::Silent);
}

/// A stranger that names an account, or knows a key, but is no VM of the fleet.
#[test]
fn stranger_at_the_peer_listener_gets_nothing_run() {
    let cluster = Cluster::spawn();
    let send = |address: SocketAddr, number: usize, headers: &str| {
        let text = request(
            "POST",
            "/once/a",
            &format!("stranger-{number}"),
            headers,
            "x",
        );
        caller::send(address, &text)
    };
    let accounts = [
        "Tenant",
        "Account",
        "Client-Account",
        "Hemlock-Account",
        "X-Account",
    ];
    for (number, name) in accounts.iter().enumerate() {
        for node in &cluster.nodes {
            let response = send(node.peer, number, &format!("{name}: acme\r\n"));
            assert!(!matches!(response.status, 200..=299), "{response:?}");
            let keyless = request("POST", "/once/a", &format!("stranger-{number}"), "", "x")
                .replace("Api-Key: key-1", &format!("{name}: acme"));
            let response = caller::send(node.peer, &keyless);
            assert!(!matches!(response.status, 200..=299), "{response:?}");
        }
        assert_eq!(cluster.run_count(&format!("stranger-{number}")), 0);
    }
}
