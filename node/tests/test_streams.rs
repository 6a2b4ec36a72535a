use std::io::{Read, Write};
use std::net::TcpStream;

use hemlock_platform_standin::caller::Response;
use hemlock_platform_standin::endpoint::{Endpoint, Mode};

use crate::node_process::{NodeProcess, request};

const MODEL_HEADERS: &str = "Model: m\r\nToken-Count: 100,40\r\n";

fn send(node: &NodeProcess, id: &str) -> Response {
    node.send("POST", "/stream/a", id, MODEL_HEADERS, "prompt")
}

/// Returns the engines that were told to open a group, of which they are the heads.
fn group_heads(engines: &[Endpoint]) -> Vec<&Endpoint> {
    let opened = |e: &&Endpoint| e.orders().iter().any(|o| o["operation"] == "open");
    engines.iter().filter(opened).collect()
}

#[test]
fn stream_arrives_complete_and_in_order() {
    let (node, _engines) = NodeProcess::with_engines();
    let response = send(&node, "r1");
    assert_eq!(
        (response.status, response.complete),
        (200, true),
        "{response:?}"
    );
    assert_eq!(response.events(), (1..=8).collect::<Vec<_>>());
}

#[test]
fn stream_cut_within_an_event_continues_at_another_endpoint() {
    let (node, engines) = NodeProcess::with_engines();
    let heads = group_heads(&engines);
    heads[0].set_mode(Mode::Cut(3));
    for i in 0..4 {
        let response = send(&node, &format!("r{i}"));
        assert_eq!(
            (response.status, response.complete),
            (200, true),
            "{response:?}"
        );
        assert_eq!(response.events(), (1..=8).collect::<Vec<_>>());
    }
    assert!(!node.log_lines("event=send_failed").is_empty());
}

#[test]
fn stream_of_a_silent_group_continues_at_another_endpoint() {
    let (node, engines) = NodeProcess::with_engines();
    let heads = group_heads(&engines);
    heads[0].set_mode(Mode::Stall(2));
    for i in 0..4 {
        let response = send(&node, &format!("r{i}"));
        assert_eq!(
            (response.status, response.complete),
            (200, true),
            "{response:?}"
        );
        assert_eq!(response.events(), (1..=8).collect::<Vec<_>>());
    }
    assert!(!node.log_lines("event=silent").is_empty());
}

/// A stream that no endpoint can continue must not look complete to its caller.
#[test]
fn stream_that_cannot_continue_ends_as_truncated() {
    let (node, engines) = NodeProcess::with_engines();
    engines.iter().for_each(|e| e.set_mode(Mode::Cut(3)));
    let response = send(&node, "r1");
    assert!(!response.complete, "{response:?}");
    assert_eq!(response.events(), vec![1, 2, 3]);
}

#[test]
fn error_of_the_endpoint_that_continues_a_stream_is_not_part_of_it() {
    let (node, engines) = NodeProcess::with_engines();
    for ends_with_connection in [false, true] {
        for status in [200, 400, 404, 408, 421, 429, 500, 503] {
            for engine in &engines {
                engine.set_mode(Mode::CutAndFail(3, status));
                engine.set_ends_with_connection(ends_with_connection);
            }
            let id = format!("r{status}-{ends_with_connection}");
            let response = send(&node, &id);
            assert_eq!(
                (response.status, response.complete),
                (200, false),
                "{response:?}"
            );
            assert_eq!(response.events(), vec![1, 2, 3], "{response:?}");
            assert!(!response.body.contains("error"), "{response:?}");
        }
    }
}

#[test]
fn caller_can_resume_a_stream_after_its_last_event() {
    let (node, engines) = NodeProcess::with_engines();
    let headers = format!("{MODEL_HEADERS}Last-Event-Id: 5\r\n");
    let response = node.send("POST", "/stream/a", "r1", &headers, "prompt");
    assert_eq!(response.events(), vec![6, 7, 8], "{response:?}");
    let runs: Vec<_> = engines.iter().flat_map(|e| e.runs()).collect();
    assert_eq!(runs[0].headers["last-event-id"], "5");
}

#[test]
fn stream_is_cancelled_at_the_engine_when_its_caller_disconnects() {
    let (node, engines) = NodeProcess::with_engines();
    engines.iter().for_each(|e| e.set_event_count(500));
    let mut io = TcpStream::connect(node.front).unwrap();
    let text = request("POST", "/stream/a", "r1", MODEL_HEADERS, "prompt");
    io.write_all(text.as_bytes()).unwrap();
    let mut byte = [0; 1];
    io.read_exact(&mut byte).unwrap();
    drop(io);
    node.wait_until("the engine sees the disconnect", |_| {
        engines.iter().any(|e| e.abandoned_requests() == 1)
    });
}

/// Every member of a group has joined it before the head is told to open it.
#[test]
fn group_opens_only_after_all_members_joined() {
    let (_node, engines) = NodeProcess::with_engines();
    for head in group_heads(&engines) {
        let orders = head.orders();
        let open = orders.iter().find(|o| o["operation"] == "open").unwrap();
        let joins = engines.iter().flat_map(|e| e.orders());
        let members = joins.filter(|o| o["operation"] == "join" && o["group"] == open["group"]);
        assert_eq!(members.count(), 2);
    }
}
