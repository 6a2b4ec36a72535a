//! Engines that are silent for all daemons for a while, beside plain endpoints that go on answering.

use std::thread;
use std::time::{Duration, Instant};

use hemlock_platform_standin::caller;
use hemlock_platform_standin::proxy::Link;

use crate::cluster::{Cluster, MODEL_HEADERS, Try};
use crate::node_process::{NodeProcess, request};

/// Time for which no byte of an engine arrives.
const SILENCE: Duration = Duration::from_secs(2);
/// Time from the beginning of the silence in which callers send requests.
const OBSERVED: Duration = Duration::from_millis(3_500);

/// Intervals between two plain requests and between two streams at each daemon.
#[derive(Debug, Clone, Copy)]
struct Rates {
    plain: [Duration; 3],
    stream: [Duration; 3],
}

/// Sends requests to all daemons, from before the silence of all engines until after it.
fn send_beside_silence(cluster: &Cluster, rates: Rates) -> Vec<Try> {
    let begin = Instant::now();
    let kinds = [("plain", rates.plain), ("stream", rates.stream)];
    thread::scope(|scope| {
        let mut senders = Vec::new();
        for (kind, intervals) in kinds {
            for (node, interval) in intervals.into_iter().enumerate() {
                let front = cluster.nodes[node].front;
                senders.push(scope.spawn(move || {
                    let mut tries = Vec::new();
                    for number in 0.. {
                        let due = begin + interval * number;
                        if due >= begin + OBSERVED {
                            break;
                        }
                        thread::sleep(due.saturating_duration_since(Instant::now()));
                        let id = format!("{kind}-{node}-{number}");
                        let text = match kind {
                            "plain" => request("GET", &format!("/plain/{id}"), &id, "", ""),
                            _ => request("POST", &format!("/stream/{id}"), &id, MODEL_HEADERS, &id),
                        };
                        tries.push(thread::spawn(move || {
                            let sent_at = Instant::now();
                            let response = caller::send(front, &text);
                            let time = sent_at.elapsed();
                            Try {
                                node,
                                id,
                                sent_at,
                                time,
                                response,
                            }
                        }));
                    }
                    tries
                }));
            }
        }
        thread::sleep(Duration::from_millis(500));
        cluster.set_endpoint_links("e", Link::CutBack);
        thread::sleep(SILENCE);
        cluster.set_endpoint_links("e", Link::Open);
        let tries = senders
            .into_iter()
            .flat_map(|s| s.join().expect("a sender ends"));
        tries.map(|t| t.join().expect("a caller ends")).collect()
    })
}

/// Returns the lines with `text` of all daemons.
fn lines(nodes: &[NodeProcess], text: &str) -> Vec<String> {
    nodes.iter().flat_map(|n| n.log_lines(text)).collect()
}

fn check_nothing_refused_for_the_path(rates: Rates) {
    let cluster = Cluster::spawn();
    let tries = send_beside_silence(&cluster, rates);
    let refused = lines(&cluster.nodes, "cause=no_path");
    let path = lines(&cluster.nodes, "event=path state=");
    let plain = tries.iter().filter(|t| t.id.starts_with("plain"));
    let failed = plain.filter(|t| !t.is_served());
    let not_served: Vec<_> = failed.map(|t| (&t.id, t.time, &t.response.head)).collect();
    assert!(
        refused.is_empty() && not_served.is_empty(),
        "{} lines with no_path, {refused:#?}; plain requests not served: {not_served:#?}; {path:#?}",
        refused.len()
    );
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn no_vm_takes_itself_for_cut_off_while_plain_endpoints_answer() {
    check_nothing_refused_for_the_path(Rates {
        plain: [ms(40); 3],
        stream: [ms(40); 3],
    });
}

/// All daemons doubted their paths, and refused the plain requests too that would have been answered.
#[test]
fn few_plain_requests_beside_silent_engines_are_served() {
    check_nothing_refused_for_the_path(Rates {
        plain: [ms(1_500), ms(1_400), ms(1_600)],
        stream: [ms(20); 3],
    });
}

#[test]
fn streams_are_not_refused_as_no_path_by_daemons_without_other_requests() {
    check_nothing_refused_for_the_path(Rates {
        plain: [ms(40), ms(60_000), ms(60_000)],
        stream: [ms(40); 3],
    });
}

/// No daemon has a request that an endpoint could answer.
#[test]
fn streams_are_not_refused_as_no_path_while_no_daemon_has_other_requests() {
    check_nothing_refused_for_the_path(Rates {
        plain: [ms(60_000); 3],
        stream: [ms(40); 3],
    });
}
