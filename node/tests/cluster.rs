//! Fixture: daemons on one store, whose links to all endpoints can be cut one daemon at a time.

use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use hemlock_platform_standin::caller::{self, Response};
use hemlock_platform_standin::client_processes::ClientProcesses;
use hemlock_platform_standin::endpoint::Endpoint;
use hemlock_platform_standin::fixtures;
use hemlock_platform_standin::proxy::{Link, Proxy};
use hemlock_platform_standin::store::Store;

use crate::node_process::{NodeProcess, config, request};

/// Interval between two requests of the callers of one daemon.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
/// Time after the beginning of a cut from which callers must be served.
pub const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Events of a stream.
const EVENT_COUNT: u64 = 8;
/// Headers of a request for a stream.
pub const MODEL_HEADERS: &str = "Model: m\r\nToken-Count: 100,40\r\n";

const NAMES: [&str; 3] = ["entry-1", "entry-2", "entry-3"];

/// Three daemons before three plain endpoints and six engines, each behind a proxy.
pub struct Cluster {
    pub nodes: Vec<NodeProcess>,
    pub endpoints: Vec<Endpoint>,
    /// Proxies of the endpoints, in their order.
    pub proxies: Vec<Proxy>,
    links: ClientProcesses,
}

impl Cluster {
    /// Starts the daemons and waits until they serve at least two groups of engines.
    pub fn spawn() -> Self {
        Self::spawn_with("")
    }

    /// As [`Self::spawn`], with further lines of settings.
    pub fn spawn_with(settings: &str) -> Self {
        let (store, links) = (Store::spawn(), ClientProcesses::default());
        let plain = ["p1", "p2", "p3"].map(|id| (id, "plain", None));
        let engines = ["e1", "e2", "e3", "e4", "e5", "e6"].map(|id| (id, "models", Some("d1")));
        let (mut endpoints, mut proxies) = (Vec::new(), Vec::new());
        for (id, service, domain) in plain.into_iter().chain(engines) {
            let endpoint = Endpoint::spawn(&store, id, service, domain);
            let proxy = Proxy::spawn_for(endpoint.address(), &links).expect("the proxy starts");
            endpoint.publish_entry_at(proxy.address());
            endpoint.set_event_count(EVENT_COUNT);
            endpoints.push(endpoint);
            proxies.push(proxy);
        }
        let mut configuration = config(1);
        for route in configuration["routes"].as_array_mut().expect("routes") {
            route["timeoutMs"] = 10_000.into();
        }
        fixtures::publish_config(&store, &configuration);
        let nodes: Vec<_> = NAMES
            .iter()
            .map(|name| {
                let node = NodeProcess::spawn_with(store.clone(), name, settings);
                links.register(name, node.pid());
                node
            })
            .collect();
        for node in &nodes {
            node.wait_until("plain endpoints and two groups serve", |n| {
                n.log_lines("event=serving").len() >= 5
            });
            node.wait_until("the node is ready", |n| n.ready_status() == 200);
        }
        Self {
            nodes,
            endpoints,
            proxies,
            links,
        }
    }

    /// Sets the link between one daemon and all endpoints.
    pub fn set_link(&self, node: usize, link: Link) {
        self.links.set_link(NAMES[node], link);
    }

    /// Sets the link between all daemons and the endpoints whose identifiers have this prefix.
    pub fn set_endpoint_links(&self, prefix: &str, link: Link) {
        let all = self.endpoints.iter().zip(&self.proxies);
        for (_, proxy) in all.filter(|(e, _)| e.id().starts_with(prefix)) {
            proxy.set_link(link);
        }
    }

    /// Returns the number of times that a request ran at all endpoints together.
    pub fn run_count(&self, request_id: &str) -> usize {
        let runs = self.endpoints.iter().flat_map(|e| e.runs());
        runs.filter(|r| r.request_id == request_id).count()
    }

    /// Returns the endpoints of the groups that serve, which are the heads.
    pub fn group_heads(&self) -> Vec<&Endpoint> {
        let opened = |e: &&Endpoint| e.orders().iter().any(|o| o["operation"] == "open");
        self.endpoints.iter().filter(opened).collect()
    }

    /// Returns the members that the head of a group was told.
    pub fn group_members(&self, head: &str) -> Vec<String> {
        let orders = self.endpoints.iter().flat_map(|e| e.orders());
        let mut joins = orders.filter(|o| o["operation"] == "join" && o["members"][0] == head);
        let last = joins.next_back().expect("the head has joined");
        let members = last["members"].as_array().expect("members").clone();
        let ids = members.iter().filter_map(|m| m.as_str());
        ids.map(str::to_owned).collect()
    }

    /// Sends plain, at-most-once and stream requests to all daemons for `time`, at a fixed rate,
    /// and waits for their responses. Identifiers start with `prefix`.
    pub fn send_for(&self, prefix: &str, time: Duration) -> Vec<Try> {
        let fronts: Vec<_> = self.nodes.iter().map(|n| n.front).collect();
        send_at_rate(&fronts, time, |node, number| {
            different_request(prefix, node, number)
        })
    }
}

/// A request of a caller that tries only once, and its response.
#[derive(Debug)]
pub struct Try {
    pub node: usize,
    pub id: String,
    pub sent_at: Instant,
    pub time: Duration,
    pub response: Response,
}

impl Try {
    /// Returns whether the response is the whole one of an endpoint.
    pub fn is_served(&self) -> bool {
        let response = &self.response;
        let whole = match self.id.contains("stream") {
            true => response.events() == (1..=EVENT_COUNT).collect::<Vec<_>>(),
            false => response.body.ends_with(&format!(" to {}", self.id)),
        };
        response.status == 200
            && response.complete
            && whole
            && fixtures::is_endpoint_response(response, &self.id)
    }

    /// Returns whether the request may run once at most.
    pub fn is_at_most_once(&self) -> bool {
        self.id.contains("once")
    }
}

/// Returns the identifier and the text of a request; no two are alike.
fn different_request(prefix: &str, node: usize, number: u32) -> (String, String) {
    let (kind, method, headers) = match number % 3 {
        0 => ("plain", "GET", ""),
        1 => ("once", "POST", ""),
        _ => ("stream", "POST", MODEL_HEADERS),
    };
    let id = format!("{prefix}-{kind}-{node}-{number}");
    let body = if method == "GET" { "" } else { &id };
    let text = request(method, &format!("/{kind}/{id}"), &id, headers, body);
    (id, text)
}

/// Sends a request to each of `fronts` at a fixed rate for `time`, and waits for the responses.
pub fn send_at_rate(
    fronts: &[SocketAddr],
    time: Duration,
    request: impl Fn(usize, u32) -> (String, String),
) -> Vec<Try> {
    let begin = Instant::now();
    let mut tries: Vec<JoinHandle<Try>> = Vec::new();
    for number in 0.. {
        let due = begin + REQUEST_INTERVAL * number;
        if due >= begin + time {
            break;
        }
        thread::sleep(due.saturating_duration_since(Instant::now()));
        for (node, front) in fronts.iter().copied().enumerate() {
            let (id, text) = request(node, number);
            tries.push(thread::spawn(move || {
                let sent_at = Instant::now();
                let response = caller::send(front, &text);
                Try {
                    node,
                    id,
                    sent_at,
                    time: sent_at.elapsed(),
                    response,
                }
            }));
        }
    }
    let join = |t: JoinHandle<Try>| t.join().expect("a caller ends");
    tries.into_iter().map(join).collect()
}

/// Checks that daemons that are not cut serve nine tenths of their requests or more.
pub fn check_others_serve(tries: &[Try], cut: &[usize]) {
    let of_others = || tries.iter().filter(|t| !cut.contains(&t.node));
    let (served, all) = (
        of_others().filter(|t| t.is_served()).count(),
        of_others().count(),
    );
    assert!(
        served * 10 >= all * 9,
        "{served} of {all} served by daemons that are not cut"
    );
}

/// Checks the target for first tries: those at the cut daemons are served at least two thirds as
/// often as those at the others, or at most 10 and 1 in 50 of all fail there.
pub fn check_target(tries: &[Try], cut: &[usize]) {
    let count = |of_cut: bool| {
        let of_these = || tries.iter().filter(|t| cut.contains(&t.node) == of_cut);
        (
            of_these().filter(|t| t.is_served()).count(),
            of_these().count(),
        )
    };
    let ((cut_served, cut_all), (served, all)) = (count(true), count(false));
    let as_often = cut_served * all * 3 >= served * cut_all * 2;
    let few_failed = cut_all - cut_served <= 10 + (cut_all + all) / 50;
    let failed = tries
        .iter()
        .filter(|t| cut.contains(&t.node) && !t.is_served());
    let heads: Vec<_> = failed
        .take(8)
        .map(|t| (&t.id, t.time, t.response.status, &t.response.head))
        .collect();
    assert!(
        all > 0 && served > 0 && (as_often || few_failed),
        "first tries served: {cut_served} of {cut_all} at the cut daemons, {served} of {all} at \
         the others; failed: {heads:#?}"
    );
}

/// Checks that at-most-once requests ran once at most, and not at all if they were refused.
pub fn check_runs(cluster: &Cluster, tries: &[Try]) {
    for t in tries.iter().filter(|t| t.is_at_most_once()) {
        let runs = cluster.run_count(&t.id);
        let refused = matches!(t.response.status, 408 | 421 | 429 | 503);
        assert!(runs <= 1, "{} ran {runs} times", t.id);
        assert!(!refused || runs == 0, "{} was refused but ran", t.id);
        assert!(
            !t.is_served() || runs == 1,
            "{} was served but not run",
            t.id
        );
    }
}
