//! The work that the datagrams of other VMs make: callers must not notice it.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use hemlock_lib::node::peers::{Member, Message};
use hemlock_lib::node::quarantine::{EndpointRun, Event, Report, Suspect};
use hemlock_platform_standin::caller;

use crate::fake_peer::{heartbeat, send};
use crate::node_process::{NodeProcess, request};

/// Number of other VMs.
const PEERS: u64 = 80;
/// Interval between two heartbeats of each VM of a fleet of this size.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(972);
/// Reports of crashes in each heartbeat.
const REPORTS: u64 = 100;
/// Requests whose crashes the VM knows of.
const KNOWN_REQUESTS: u64 = 4_000;
/// Time for which datagrams come.
const TEST_TIME: Duration = Duration::from_secs(4);
/// Interval between two requests of callers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a caller that leaves must not be served any more.
const LATEST: Duration = Duration::from_millis(500);

/// Other VMs, which share a socket and send heartbeats until this is dropped.
struct Fleet {
    is_stopped: Arc<AtomicBool>,
    sender: Option<JoinHandle<()>>,
}

impl Fleet {
    /// Starts VMs that send their heartbeats to `to`, three times as often as calm ones.
    fn spawn(to: SocketAddr) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
        let address = socket.local_addr().expect("the socket has an address");
        let is_stopped = Arc::<AtomicBool>::default();
        let stopped = is_stopped.clone();
        let sender = std::thread::spawn(move || {
            for number in 0_u64.. {
                if stopped.load(Ordering::Relaxed) {
                    return;
                }
                let member = Member {
                    node: format!("peer-{}", number % PEERS),
                    run: 7,
                    zone: "z1".to_owned(),
                    cores: 0.12,
                    caller_address: address.to_string(),
                    peer_address: address,
                };
                let mut news = heartbeat(&member, number + 1);
                news.ready = false;
                news.reaches_store = false;
                news.interval_ms = HEARTBEAT_INTERVAL.as_millis() as u32;
                news.crash_reports = crash_reports(number);
                send(&socket, to, &Message::Heartbeat(news));
                std::thread::sleep(HEARTBEAT_INTERVAL / PEERS as u32 / 3);
            }
        });
        Self {
            is_stopped,
            sender: Some(sender),
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        if let Some(sender) = self.sender.take() {
            let _ = sender.join();
        }
    }
}

/// Returns the reports of one heartbeat: of requests that crashed an endpoint each.
fn crash_reports(number: u64) -> Vec<Report> {
    let numbers = (number * REPORTS..).take(REPORTS as usize);
    let report = |n: u64| {
        let request = (n % KNOWN_REQUESTS).to_be_bytes();
        let suspect = Suspect::request("/stream/a", "acme", &request);
        (suspect, Event::Crashed(EndpointRun::new("e", n % 8)))
    };
    numbers.map(report).collect()
}

/// Sends requests at a fixed rate and returns the time that each took.
fn response_times(node: &NodeProcess) -> Vec<Duration> {
    let start = Instant::now();
    let mut callers = Vec::new();
    while start.elapsed() < TEST_TIME {
        let (front, number) = (node.front, callers.len());
        callers.push(std::thread::spawn(move || {
            let text = request("GET", "/plain/a", &format!("r{number}"), "", "");
            let sent = Instant::now();
            caller::send(front, &text);
            sent.elapsed()
        }));
        std::thread::sleep(REQUEST_INTERVAL);
    }
    let join = |caller: JoinHandle<Duration>| caller.join().expect("the caller ends");
    callers.into_iter().map(join).collect()
}

#[test]
fn requests_are_sent_in_time_while_other_vms_report_many_crashes() {
    let (node, _plain) = NodeProcess::with_plain_endpoints();
    let fleet = Fleet::spawn(node.peer);
    std::thread::sleep(HEARTBEAT_INTERVAL);
    let times = response_times(&node);
    drop(fleet);
    let late = times.iter().filter(|t| **t > LATEST).count();
    assert_eq!(late, 0, "late requests, of {times:?}");
}
