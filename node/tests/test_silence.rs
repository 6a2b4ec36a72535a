//! Endpoints that are silent for a while and then go on: no answer ends sooner for that.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use hemlock_platform_standin::caller::{self, Response};
use hemlock_platform_standin::endpoint::{Endpoint, Mode};
use hemlock_platform_standin::proxy::Link;

use crate::cluster::{Cluster, MODEL_HEADERS};
use crate::node_process::request;

/// Events of a stream, which lasts for two seconds or longer.
const EVENT_COUNT: u64 = 200;
/// Time after which all streams have begun.
const BEGIN_TIME: Duration = Duration::from_millis(400);
/// Time for which endpoints are silent, longer than any may be before another one is tried.
const SILENCE: Duration = Duration::from_millis(2_000);
/// Time within which sends end that are not needed any more.
const END_LIMIT: Duration = Duration::from_millis(500);
/// Attempts that the routes allow.
const MAX_ATTEMPTS: usize = 2;

/// A cluster whose streams are long.
fn cluster() -> Cluster {
    let cluster = Cluster::spawn();
    cluster
        .endpoints
        .iter()
        .for_each(|e| e.set_event_count(EVENT_COUNT));
    cluster
}

/// Sends a request with nine seconds of time.
fn send(front: SocketAddr, method: &str, path: &str, id: &str) -> JoinHandle<Response> {
    let headers = match path.starts_with("/stream/") {
        true => MODEL_HEADERS,
        false => "",
    };
    let body = if method == "GET" { "" } else { id };
    let text = request(method, path, id, headers, body).replace("-Ms: 3000", "-Ms: 9000");
    thread::spawn(move || caller::send(front, &text))
}

fn send_stream(cluster: &Cluster, node: usize, id: &str) -> JoinHandle<Response> {
    send(cluster.nodes[node].front, "POST", "/stream/a", id)
}

/// Checks that a stream has all its events once, in their order, and its end.
fn check_whole(cluster: &Cluster, stream: JoinHandle<Response>, id: &str) {
    let response = stream.join().expect("the caller ends");
    let lines: Vec<_> = cluster.nodes.iter().flat_map(|n| n.log_lines(id)).collect();
    let got = response.events();
    let expected: Vec<_> = (1..=EVENT_COUNT).collect();
    assert_eq!(got, expected, "{id}: {} {lines:#?}", response.head);
    assert_eq!((response.status, response.complete), (200, true), "{id}");
}

/// Waits until an endpoint runs the request and returns it.
fn endpoint_of<'a>(cluster: &'a Cluster, id: &str) -> &'a Endpoint {
    cluster.nodes[0].wait_until("the request runs", |_| cluster.run_count(id) > 0);
    let runs = |e: &&Endpoint| e.runs().iter().any(|r| r.request_id == id);
    let mut endpoints = cluster.endpoints.iter();
    endpoints.find(runs).expect("an endpoint runs the request")
}

/// Returns the heads of the groups other than this endpoint.
fn other_heads<'a>(cluster: &'a Cluster, first: &Endpoint) -> Vec<&'a Endpoint> {
    let heads = cluster.group_heads().into_iter();
    heads.filter(|h| h.id() != first.id()).collect()
}

/// Begins a stream, holds back what its endpoint sends for a while, and returns it and that endpoint.
fn silenced_stream<'a>(cluster: &'a Cluster, id: &str) -> (JoinHandle<Response>, &'a Endpoint) {
    let stream = send_stream(cluster, 0, id);
    let first = endpoint_of(cluster, id);
    thread::sleep(BEGIN_TIME);
    cluster.set_endpoint_links(first.id(), Link::CutBack);
    (stream, first)
}

#[test]
fn streams_are_whole_after_all_engines_were_silent() {
    let cluster = cluster();
    let mut streams = Vec::new();
    for number in 0..12 {
        let id = format!("long-{number}");
        streams.push((send_stream(&cluster, number % 3, &id), id));
    }
    thread::sleep(BEGIN_TIME);
    cluster.set_endpoint_links("e", Link::CutBack);
    thread::sleep(SILENCE);
    cluster.set_endpoint_links("e", Link::Open);
    for (stream, id) in streams {
        check_whole(&cluster, stream, &id);
    }
}

#[test]
fn stream_is_whole_after_the_only_group_was_silent() {
    let cluster = cluster();
    for head in cluster.group_heads().into_iter().skip(1) {
        head.set_mode(Mode::Full);
        head.remove_entry();
    }
    thread::sleep(BEGIN_TIME);
    let (stream, first) = silenced_stream(&cluster, "only");
    thread::sleep(SILENCE);
    cluster.set_endpoint_links(first.id(), Link::Open);
    check_whole(&cluster, stream, "only");
}

#[test]
fn stream_goes_on_at_another_endpoint_within_one_answer_if_its_own_stays_silent() {
    let cluster = cluster();
    let (stream, first) = silenced_stream(&cluster, "dead");
    cluster.set_endpoint_links(first.id(), Link::Silent);
    check_whole(&cluster, stream, "dead");
    assert_eq!(cluster.run_count("dead"), 2);
}

#[test]
fn stream_is_whole_if_others_refuse_it_while_its_endpoint_is_silent() {
    let cluster = cluster();
    for head in cluster.group_heads() {
        head.set_event_count(EVENT_COUNT);
    }
    let (stream, first) = silenced_stream(&cluster, "refused");
    let others = other_heads(&cluster, first);
    others.iter().for_each(|h| h.set_mode(Mode::Full));
    thread::sleep(SILENCE);
    cluster.set_endpoint_links(first.id(), Link::Open);
    check_whole(&cluster, stream, "refused");
}

#[test]
fn second_run_ends_at_once_when_the_first_goes_on() {
    let cluster = cluster();
    let (stream, first) = silenced_stream(&cluster, "both");
    let others = other_heads(&cluster, first);
    others.iter().for_each(|h| h.set_mode(Mode::Mute));
    thread::sleep(SILENCE);
    let second_runs = cluster.run_count("both") - 1;
    assert!(second_runs > 0, "no other endpoint was tried");
    cluster.set_endpoint_links(first.id(), Link::Open);
    let opened_at = Instant::now();
    let abandoned = || others.iter().map(|h| h.abandoned_requests()).sum::<usize>();
    cluster.nodes[0].wait_until("the second run ends", |_| abandoned() >= second_runs);
    assert!(opened_at.elapsed() < END_LIMIT, "{:?}", opened_at.elapsed());
    check_whole(&cluster, stream, "both");
}

#[test]
fn all_sends_of_a_request_end_when_its_caller_leaves() {
    let cluster = cluster();
    let mut io = TcpStream::connect(cluster.nodes[0].front).expect("a connection opens");
    let text = request("POST", "/stream/a", "left", MODEL_HEADERS, "left");
    let text = text.replace("-Ms: 3000", "-Ms: 9000");
    io.write_all(text.as_bytes()).expect("the request is sent");
    let mut bytes = [0; 12];
    io.read_exact(&mut bytes).expect("the stream begins");
    let first = endpoint_of(&cluster, "left");
    let others = other_heads(&cluster, first);
    others.iter().for_each(|h| h.set_mode(Mode::Mute));
    cluster.set_endpoint_links(first.id(), Link::CutBack);
    cluster.nodes[0].wait_until("another endpoint runs it", |_| {
        cluster.run_count("left") > 1
    });
    let open = cluster.run_count("left");
    let left_at = Instant::now();
    drop(io);
    let ended = || {
        let endpoints = cluster.endpoints.iter();
        endpoints.map(Endpoint::abandoned_requests).sum::<usize>()
    };
    cluster.nodes[0].wait_until("all sends end", |_| ended() >= open);
    assert!(left_at.elapsed() < END_LIMIT, "{:?}", left_at.elapsed());
    thread::sleep(END_LIMIT);
    assert_eq!(cluster.run_count("left"), open);
}

#[test]
fn request_runs_no_more_often_than_its_attempts_while_all_endpoints_are_silent() {
    let cluster = cluster();
    cluster
        .endpoints
        .iter()
        .for_each(|e| e.set_mode(Mode::Mute));
    let calls = [("POST", "stream"), ("GET", "plain"), ("POST", "once")];
    let send = |(method, kind): (&str, &str)| {
        let front = cluster.nodes[0].front;
        let call = send(front, method, &format!("/{kind}/a"), kind);
        (kind.to_owned(), call)
    };
    for (kind, call) in calls.map(send) {
        let status = call.join().expect("the caller ends").status;
        let limit = if kind == "once" { 1 } else { MAX_ATTEMPTS };
        let runs = cluster.run_count(&kind);
        assert!((1..=limit).contains(&runs), "{kind} ran {runs} times");
        assert_eq!(status, 504, "{kind}");
    }
}

#[test]
fn answers_that_are_held_back_beyond_the_silence_limit_arrive() {
    let cluster = Cluster::spawn();
    // The first send is silent for half of the timeout of its route, 10 s, before another is made.
    let others = cluster.endpoints.iter().filter(|e| e.id().starts_with('p'));
    for other in others.skip(1) {
        other.remove_entry();
    }
    thread::sleep(BEGIN_TIME);
    cluster.set_endpoint_links("p", Link::CutBack);
    let front = cluster.nodes[0].front;
    let calls: Vec<_> = (0..3)
        .map(|n| format!("held-{n}"))
        .map(|id| (send(front, "GET", "/plain/a", &id), id))
        .collect();
    thread::sleep(Duration::from_millis(6_000));
    cluster.set_endpoint_links("p", Link::Open);
    for (call, id) in calls {
        let response = call.join().expect("the caller ends");
        let lines = cluster.nodes[0].log_lines(&id);
        assert_eq!(response.status, 200, "{id}: {lines:#?}");
        assert!(response.complete, "{id}");
        assert_eq!(cluster.run_count(&id), 1, "{id}");
    }
}
