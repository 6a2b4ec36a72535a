//! Fixture: a member of the fleet that says that it reaches all endpoints, and whose answers to the
//! requests that are passed on to it a test chooses.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hemlock_lib::node::cache::Position;
use hemlock_lib::node::passing::{SecretRecord, TARGET_PREFIX};
use hemlock_lib::node::peer_paths::PathReply;
use hemlock_lib::node::peers::{Heartbeat, Member, Message};

use crate::node_process::NodeProcess;

/// Interval between two heartbeats.
pub const INTERVAL: Duration = Duration::from_millis(50);

/// How a peer answers a request that is passed on to it.
#[derive(Debug, Clone)]
pub enum Answer {
    /// The peer closes the connection, as a build that knows no such requests.
    Close,
    /// The peer sends nothing.
    Mute,
    /// The peer accepts the request, reads it and sends these bytes, and closes the connection.
    Accept(String),
    /// The peer accepts the request and then sends nothing.
    AcceptAndMute,
    /// The peer accepts the request and then reads nothing for this time.
    AcceptUnread(Duration),
}

/// A running peer, which is stopped when this is dropped.
pub struct FakePeer {
    is_stopped: Arc<AtomicBool>,
    answer: Arc<Mutex<Answer>>,
    accepted: Arc<AtomicUsize>,
    heads: Arc<Mutex<Vec<String>>>,
}

impl FakePeer {
    /// Starts a peer of `node`, whose secret is in the store.
    pub fn spawn(node: &NodeProcess, name: &str, answer: Answer) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let socket = UdpSocket::bind(address).expect("the port is free for datagrams");
        let secret = SecretRecord {
            node: name.to_owned(),
            run: 7,
            secret: "5".repeat(32),
            address,
        };
        let bytes = rmp_serde::to_vec(&secret).expect("the record is encoded");
        node.store
            .put("keyed.entries", &format!("secret/{name}"), &bytes);
        let member = Member {
            node: name.to_owned(),
            run: 7,
            zone: "z1".to_owned(),
            cores: 0.01,
            caller_address: address.to_string(),
            peer_address: address,
        };
        let bytes = rmp_serde::to_vec(&member).expect("the record is encoded");
        node.store.put("keyed.entries", name, &bytes);
        let peer = Self {
            is_stopped: Arc::default(),
            answer: Arc::new(Mutex::new(answer)),
            accepted: Arc::default(),
            heads: Arc::default(),
        };
        peer.send_datagrams(socket, member, node.peer);
        let (answer, accepted, heads) = (
            peer.answer.clone(),
            peer.accepted.clone(),
            peer.heads.clone(),
        );
        std::thread::spawn(move || {
            for io in listener.incoming().map_while(Result::ok) {
                let answer = answer
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .clone();
                let (accepted, heads) = (accepted.clone(), heads.clone());
                std::thread::spawn(move || serve(io, &answer, &accepted, &heads));
            }
        });
        peer
    }

    /// Returns the number of requests whose bodies the peer was sent.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Returns the heads of the requests that were passed on.
    pub fn heads(&self) -> Vec<String> {
        let heads = self.heads.lock().unwrap_or_else(PoisonError::into_inner);
        heads.clone()
    }

    fn send_datagrams(&self, socket: UdpSocket, member: Member, to: SocketAddr) {
        let is_stopped = self.is_stopped.clone();
        socket
            .set_read_timeout(Some(INTERVAL))
            .expect("the timeout is set");
        std::thread::spawn(move || {
            let mut buffer = vec![0; 16 << 10];
            for sequence in 1.. {
                if is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                send(
                    &socket,
                    to,
                    &Message::Heartbeat(heartbeat(&member, sequence)),
                );
                let reply = |number, connected, answered| {
                    Message::PathReply(PathReply {
                        node: member.node.clone(),
                        run: member.run,
                        number,
                        connected,
                        answered,
                        has_path: true,
                        stopping: false,
                        open_requests: 0,
                        cores: member.cores,
                        address: member.peer_address,
                    })
                };
                send(&socket, to, &reply(0, Vec::new(), Vec::new()));
                let Ok((length, from)) = socket.recv_from(&mut buffer) else {
                    continue;
                };
                if let Ok(Message::PathQuery(query)) = rmp_serde::from_slice(&buffer[..length]) {
                    let reply = reply(query.number, query.unreachable, query.silent);
                    send(&socket, from, &reply);
                }
            }
        });
    }
}

impl Drop for FakePeer {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}

/// Sends a datagram.
pub fn send(socket: &UdpSocket, to: SocketAddr, message: &Message) {
    let bytes = rmp_serde::to_vec(message).expect("the datagram is encoded");
    let _ = socket.send_to(&bytes, to);
}

/// Returns a heartbeat of a ready member that reads through another one.
pub fn heartbeat(member: &Member, sequence: u64) -> Box<Heartbeat> {
    Box::new(Heartbeat {
        member: member.clone(),
        sequence,
        ready: true,
        config_version: 1,
        reaches_store: true,
        reads_store: false,
        is_planner: false,
        has_traffic: false,
        interval_ms: 200,
        read_positions: [Position::default(); 2],
        demand: BTreeMap::new(),
        loads: Vec::new(),
        silent_endpoints: Vec::new(),
        crash_reports: Vec::new(),
    })
}

/// Serves a connection. Reads of topics are not answered.
fn serve(mut io: TcpStream, answer: &Answer, accepted: &AtomicUsize, heads: &Mutex<Vec<String>>) {
    let head = read_until(&mut io, "\r\n\r\n");
    if !head.contains(TARGET_PREFIX) {
        return;
    }
    heads
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(head);
    match answer {
        Answer::Close => return,
        Answer::Mute => {}
        Answer::Accept(_) | Answer::AcceptAndMute => {
            let _ = io.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
            if !read_until(&mut io, "0\r\n\r\n").is_empty() {
                accepted.fetch_add(1, Ordering::Relaxed);
            }
        }
        Answer::AcceptUnread(time) => {
            let _ = io.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
            std::thread::sleep(*time);
            return;
        }
    }
    if let Answer::Accept(text) = answer {
        let _ = io.write_all(text.as_bytes());
        return;
    }
    // Returns once the caller closes the connection.
    let _ = io.read(&mut [0; 1]);
}

/// Reads until `end`; returns nothing if the connection ends before.
pub fn read_until(io: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let mut byte = [0];
    while !text.ends_with(end) {
        match io.read(&mut byte) {
            Ok(1) => text.push(char::from(byte[0])),
            _ => return String::new(),
        }
    }
    text
}
