//! Versions of the configuration that take effect while requests are in hand.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use hemlock_platform_standin::caller;
use hemlock_platform_standin::endpoint::Endpoint;
use hemlock_platform_standin::fixtures;
use hemlock_platform_standin::proxy::Link;
use serde_json::{Value, json};

use crate::cluster::{Cluster, MODEL_HEADERS, send_at_rate};
use crate::node_process::{config, request, route};

/// Events of streams that last for some two seconds.
const LONG_STREAM: u64 = 200;
/// Interval between two versions in a series.
const VERSION_INTERVAL: Duration = Duration::from_millis(120);
/// Interval between two pieces of a body.
const PIECE_INTERVAL: Duration = Duration::from_millis(70);
/// Time for which callers send requests.
const SERIES_TIME: Duration = Duration::from_secs(4);

/// Writes a configuration and waits until each daemon has it.
fn apply(cluster: &Cluster, config: &Value) {
    let store = &cluster.nodes[0].store;
    fixtures::publish_config(store, config);
    let line = format!("event=config version={} ", config["version"]);
    for node in &cluster.nodes {
        node.wait_until("the version is in force", |n| {
            !n.log_lines(&line).is_empty()
        });
    }
}

/// Cuts the first daemon while it has a stream in hand whose route or key `change` has dropped, and
/// checks that the stream goes on through a peer.
fn check_goes_on_after(change: impl Fn(&mut Value)) {
    let cluster = Cluster::spawn();
    for endpoint in &cluster.endpoints {
        endpoint.set_event_count(LONG_STREAM);
    }
    let front = cluster.nodes[0].front;
    let stream = thread::spawn(move || {
        let text = request("POST", "/stream/a", "long", MODEL_HEADERS, "prompt");
        caller::send(front, &text.replace("-Ms: 3000", "-Ms: 9000"))
    });
    thread::sleep(Duration::from_millis(300));
    let mut changed = config(2);
    change(&mut changed);
    apply(&cluster, &changed);
    cluster.set_link(0, Link::Reset);
    // Other requests show the daemon that it is cut.
    let fronts: Vec<_> = cluster.nodes.iter().map(|n| n.front).collect();
    send_at_rate(&fronts, Duration::from_secs(3), |node, number| {
        let id = format!("beside-{node}-{number}");
        let text = request("GET", &format!("/plain/{id}"), &id, "", "");
        (id, text.replace("key-1", "key-2"))
    });
    let response = stream.join().expect("the caller ends");
    let logs = cluster.nodes.iter().map(|n| n.log_lines("=long "));
    let log: Vec<_> = logs.collect();
    assert_eq!(
        response.events(),
        (1..=LONG_STREAM).collect::<Vec<_>>(),
        "{log:#?}"
    );
    assert!(response.complete, "{log:#?}");
    let of_plain = cluster.endpoints.iter().filter(|e| e.id().starts_with('p'));
    let mut runs = of_plain.flat_map(|e| e.runs());
    assert!(!runs.any(|r| r.request_id == "long"), "{log:#?}");
}

#[test]
fn stream_in_hand_goes_on_through_a_peer_whose_configuration_has_dropped_its_route() {
    check_goes_on_after(|config| {
        let routes = config["routes"].as_array_mut().expect("routes");
        routes.retain(|r| r["pathPrefix"] != "/stream/");
    });
}

#[test]
fn stream_in_hand_goes_on_through_a_peer_whose_configuration_has_dropped_its_key() {
    check_goes_on_after(|config| config["tenants"][0]["apiKeys"] = json!(["key-2"]));
}

#[test]
fn stream_in_hand_goes_on_through_a_peer_whose_configuration_has_moved_its_route() {
    check_goes_on_after(|config| config["routes"][2]["service"] = json!("plain"));
}

/// Returns the configuration of a series, in which odd and even versions differ in all that may
/// change without an effect on what is requested.
fn varied(version: u64) -> Value {
    let mut config = config(version);
    let odd = version % 2 == 1;
    let pick = |a: u64, b: u64| if odd { a } else { b };
    for route in config["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = pick(2_500, 9_000).into();
        route["latencyGoalMs"] = pick(300, 700).into();
        route["maxAttempts"] = pick(2, 3).into();
        route["priority"] = pick(0, 5).into();
    }
    let split = json!([{"service": "plain", "weight": pick(1, 3)},
        {"service": "spare", "weight": pick(0, 1)}]);
    let plain = config["routes"][0].as_object_mut().expect("a route");
    plain.remove("service");
    plain.insert("backends".to_owned(), split);
    let services = config["services"].as_array_mut().expect("services");
    services.push(json!({"name": "spare", "maxConns": 50}));
    if odd {
        let routes = config["routes"].as_array_mut().expect("routes");
        routes.push(route("/plain/now-and-then/", "idempotent", "extra"));
        config["services"]
            .as_array_mut()
            .expect("services")
            .push(json!({"name": "extra", "maxConns": 50}));
        config["tenants"][0]["apiKeys"] = json!(["key-1"]);
    }
    config["limits"] = json!({"maxHeaderBytes": pick(8_192, 16_384),
        "maxBodyBytes": pick(65_536, 131_072), "headerTimeoutMs": pick(1_500, 3_000),
        "idleTimeoutMs": pick(2_000, 6_000)});
    config
}

/// A request that reaches a daemon in pieces.
#[derive(Debug, Clone, Copy)]
enum Form {
    Whole,
    Chunks,
    Pieces,
    SplitHead,
    Expect,
    Two,
    Stream,
}

const FORMS: [Form; 7] = [
    Form::Whole,
    Form::Chunks,
    Form::Pieces,
    Form::SplitHead,
    Form::Expect,
    Form::Two,
    Form::Stream,
];

/// Returns the head and the parts of a request, which are sent one after the other.
fn parts(form: Form, id: &str) -> Vec<String> {
    let body = "x".repeat(600);
    let text = |headers: &str| request("POST", &format!("/once/{id}"), id, headers, &body);
    let whole = text("");
    let (head, _) = whole.split_once("\r\n\r\n").expect("a head");
    let chunked = head.replace("Content-Length: 600", "Transfer-Encoding: chunked");
    match form {
        Form::Whole => vec![whole],
        Form::Chunks => {
            let chunk = format!("c8;a=b\r\n{}\r\n", "x".repeat(200));
            vec![
                format!("{chunked}\r\n\r\n"),
                chunk.clone(),
                chunk.clone(),
                chunk,
                "0\r\nX-Trailer: y\r\n\r\n".to_owned(),
            ]
        }
        Form::Pieces => {
            let mut list = vec![format!("{head}\r\n\r\n")];
            list.extend((0..4).map(|_| "x".repeat(150)));
            list
        }
        Form::SplitHead => {
            let (a, b) = whole.split_at(40);
            vec![a.to_owned(), b.to_owned()]
        }
        Form::Expect => vec![format!("{head}\r\nExpect: 100-continue\r\n\r\n"), body],
        Form::Two => vec![whole.clone() + &whole.replace(id, &format!("{id}-2"))],
        Form::Stream => vec![request(
            "POST",
            &format!("/stream/{id}"),
            id,
            MODEL_HEADERS,
            &body,
        )],
    }
}

/// Takes the first complete response from `text`: its status and its body.
fn take_response(text: &mut String) -> Option<(u16, String)> {
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let status: u16 = head.get(9..12)?.parse().ok()?;
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("Content-Length: "));
    let end = match length {
        Some(length) => length.parse().ok()?,
        None if status < 200 => 0,
        None => rest.find("\r\n0\r\n\r\n")? + 7,
    };
    let body = rest.get(..end)?.to_owned();
    *text = rest[end..].to_owned();
    if status < 200 {
        return take_response(text);
    }
    Some((status, body))
}

/// Reads responses until there are `count`, or the connection ends.
fn read_responses(io: &mut TcpStream, count: usize) -> Vec<(u16, String)> {
    let _ = io.set_read_timeout(Some(Duration::from_secs(12)));
    let (mut text, mut responses) = (String::new(), Vec::new());
    let mut buffer = [0; 4096];
    while responses.len() < count {
        if let Some(response) = take_response(&mut text) {
            responses.push(response);
            continue;
        }
        match io.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(n) => text.push_str(&String::from_utf8_lossy(&buffer[..n])),
        }
    }
    responses
}

/// Sends requests of one form one after the other, each on a connection that is kept if it can be,
/// until `ended`. Returns what went wrong.
fn send_form(front: SocketAddr, form: Form, name: &str, ended: &AtomicBool) -> Vec<String> {
    let mut faults = Vec::new();
    let mut kept: Option<TcpStream> = None;
    for number in 0.. {
        if ended.load(Ordering::Relaxed) {
            break;
        }
        let id = format!("{name}-{form:?}-{number}");
        let mut io = match kept.take() {
            Some(io) if number % 3 != 0 => io,
            _ => TcpStream::connect(front).expect("the daemon listens"),
        };
        for (i, part) in parts(form, &id).iter().enumerate() {
            if i > 0 {
                thread::sleep(PIECE_INTERVAL);
            }
            if io.write_all(part.as_bytes()).is_err() {
                faults.push(format!("{id}: not sent"));
            }
        }
        let count = if matches!(form, Form::Two) { 2 } else { 1 };
        let responses = read_responses(&mut io, count);
        let is_right = |(status, body): &(u16, String)| match form {
            Form::Stream => *status == 200 && body.matches("id: ").count() == 8,
            _ => *status == 200 && body.contains(&format!(" to {id}")),
        };
        if responses.len() != count || !responses.iter().all(is_right) {
            faults.push(format!("{id}: {responses:?}"));
        }
        kept = Some(io);
    }
    faults
}

#[test]
fn requests_in_pieces_are_answered_whole_while_versions_come_in_quick_series() {
    let cluster = Cluster::spawn();
    let store = &cluster.nodes[0].store;
    let _spare = Endpoint::spawn(store, "s1", "spare", None);
    apply(&cluster, &varied(2));
    let ended = AtomicBool::new(false);
    let faults: Vec<String> = thread::scope(|scope| {
        let mut callers = Vec::new();
        for (n, node) in cluster.nodes.iter().enumerate() {
            for form in FORMS {
                let (front, ended) = (node.front, &ended);
                callers.push(scope.spawn(move || send_form(front, form, &format!("n{n}"), ended)));
            }
        }
        let begin = Instant::now();
        for version in 3.. {
            if begin.elapsed() >= SERIES_TIME {
                break;
            }
            fixtures::publish_config(store, &varied(version));
            thread::sleep(VERSION_INTERVAL);
        }
        ended.store(true, Ordering::Relaxed);
        let joined = callers
            .into_iter()
            .flat_map(|c| c.join().expect("a caller ends"));
        joined.collect()
    });
    assert!(faults.is_empty(), "{} faults: {faults:#?}", faults.len());
}
