use std::io::{Read, Write};
use std::net::TcpStream;

use hemlock_platform_standin::caller::Got;
use hemlock_platform_standin::worker::{Mode, Worker};

use crate::node_process::{NodeProcess, request};

const MODEL: &str = "Model: m\r\nToken-Count: 100,40\r\n";

fn send(node: &NodeProcess, id: &str) -> Got {
    node.send("POST", "/stream/a", id, MODEL, "prompt")
}

fn heads(engines: &[Worker]) -> Vec<&Worker> {
    let opened = |w: &&Worker| w.orders().iter().any(|o| o["operation"] == "open");
    engines.iter().filter(opened).collect()
}

#[test]
fn a_stream_comes_whole_and_in_order() {
    let (node, _engines) = NodeProcess::with_engines();
    let got = send(&node, "r1");
    assert_eq!((got.status, got.complete), (200, true), "{got:?}");
    assert_eq!(got.events(), (1..=8).collect::<Vec<_>>());
}

#[test]
fn a_stream_cut_within_an_event_goes_on_elsewhere() {
    let (node, engines) = NodeProcess::with_engines();
    let heads = heads(&engines);
    heads[0].set_mode(Mode::Cut(3));
    for i in 0..4 {
        let got = send(&node, &format!("r{i}"));
        assert_eq!((got.status, got.complete), (200, true), "{got:?}");
        assert_eq!(got.events(), (1..=8).collect::<Vec<_>>());
    }
    assert!(!node.lines("event=send_failed").is_empty());
}

#[test]
fn a_silent_group_is_left_and_its_stream_goes_on_elsewhere() {
    let (node, engines) = NodeProcess::with_engines();
    let heads = heads(&engines);
    heads[0].set_mode(Mode::Stall(2));
    for i in 0..4 {
        let got = send(&node, &format!("r{i}"));
        assert_eq!((got.status, got.complete), (200, true), "{got:?}");
        assert_eq!(got.events(), (1..=8).collect::<Vec<_>>());
    }
    assert!(!node.lines("event=silent").is_empty());
}

/// A stream that nobody can go on with must not look complete.
#[test]
fn a_stream_that_stays_broken_ends_visibly() {
    let (node, engines) = NodeProcess::with_engines();
    engines.iter().for_each(|w| w.set_mode(Mode::Cut(3)));
    let got = send(&node, "r1");
    assert!(!got.complete, "{got:?}");
    assert_eq!(got.events(), vec![1, 2, 3]);
}

#[test]
fn a_caller_resumes_after_its_last_event() {
    let (node, engines) = NodeProcess::with_engines();
    let headers = format!("{MODEL}Last-Event-Id: 5\r\n");
    let got = node.send("POST", "/stream/a", "r1", &headers, "prompt");
    assert_eq!(got.events(), vec![6, 7, 8], "{got:?}");
    let runs: Vec<_> = engines.iter().flat_map(|w| w.runs()).collect();
    assert_eq!(runs[0].headers["last-event-id"], "5");
}

#[test]
fn a_caller_that_leaves_midway_ends_the_stream_at_the_engine() {
    let (node, engines) = NodeProcess::with_engines();
    engines.iter().for_each(|w| w.set_events(500));
    let mut io = TcpStream::connect(node.front).unwrap();
    let text = request("POST", "/stream/a", "r1", MODEL, "prompt");
    io.write_all(text.as_bytes()).unwrap();
    let mut byte = [0; 1];
    io.read_exact(&mut byte).unwrap();
    drop(io);
    node.wait("the engine stops", |_| {
        engines.iter().any(|w| w.left() == 1)
    });
}

/// Each member is ready under the group's name and epoch before its head is told to open.
#[test]
fn groups_are_whole_before_they_open() {
    let (_site, engines) = NodeProcess::with_engines();
    for head in heads(&engines) {
        let orders = head.orders();
        let open = orders.iter().find(|o| o["operation"] == "open").unwrap();
        let joins = engines.iter().flat_map(|w| w.orders());
        let members = joins.filter(|o| o["operation"] == "join" && o["group"] == open["group"]);
        assert_eq!(members.count(), 2);
    }
}
