//! Fixture: a member of the fleet that reads the store for the others of its zone, and sends them the
//! topics at a rate that a test chooses.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hemlock_lib::node::cache::{Batch, Entry, Position};
use hemlock_lib::node::peers::{Heartbeat, Member, Message};
use hemlock_platform_standin::server::free_address;
use serde_json::Value;

use crate::fake_peer::{self, INTERVAL};

/// Time for which a read is held when there is nothing new.
const LONG_POLL: Duration = Duration::from_millis(400);
/// Interval between two parts of a reply.
const PART_INTERVAL: Duration = Duration::from_millis(50);

/// The topics of a source, and how it sends them.
#[derive(Debug, Default)]
struct State {
    /// Configurations, oldest first; the position in the topic is their number.
    configs: Vec<Bytes>,
    /// Versions and positions that the heartbeats name beyond those of the topics.
    announced_ahead: u64,
    /// Bytes of a reply that are sent in a second; `None` sends them at once.
    rate: Option<usize>,
    /// Targets of the reads so far.
    reads: Vec<String>,
}

/// A running source, which is stopped when this is dropped.
pub struct FakeSource {
    state: Arc<Mutex<State>>,
    is_stopped: Arc<AtomicBool>,
    member: Member,
}

impl FakeSource {
    /// Starts a source with its first configuration.
    pub fn spawn(config: &Value) -> Self {
        let address = free_address();
        let listener = TcpListener::bind(address).expect("the port is free");
        let member = Member {
            node: "source".to_owned(),
            run: 7,
            zone: "z1".to_owned(),
            cores: 4.0,
            caller_address: address.to_string(),
            peer_address: address,
        };
        let source = Self {
            state: Arc::default(),
            is_stopped: Arc::default(),
            member,
        };
        source.publish(config);
        let state = source.state.clone();
        std::thread::spawn(move || {
            for io in listener.incoming().map_while(Result::ok) {
                let state = state.clone();
                std::thread::spawn(move || serve(io, &state));
            }
        });
        source
    }

    /// Sends heartbeats to a daemon, which reads through this source from then on.
    pub fn announce_to(&self, to: SocketAddr) {
        let socket = UdpSocket::bind(self.member.peer_address).expect("the port is free");
        let (state, is_stopped) = (self.state.clone(), self.is_stopped.clone());
        let member = self.member.clone();
        std::thread::spawn(move || {
            for sequence in 1.. {
                if is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                let state = lock(&state);
                let ahead = state.announced_ahead;
                let next = |count: usize| Position::from(count as u64 + ahead);
                let heartbeat = Heartbeat {
                    reads_store: true,
                    config_version: state.configs.len() as u64 + ahead,
                    read_positions: [next(state.configs.len()), next(0)],
                    ..*fake_peer::heartbeat(&member, sequence)
                };
                drop(state);
                fake_peer::send(&socket, to, &Message::Heartbeat(Box::new(heartbeat)));
                std::thread::sleep(INTERVAL);
            }
        });
    }

    /// Appends a configuration.
    pub fn publish(&self, config: &Value) {
        lock(&self.state).configs.push(config.to_string().into());
    }

    /// Sets the bytes of a reply that are sent in a second.
    pub fn set_rate(&self, rate: usize) {
        lock(&self.state).rate = Some(rate);
    }

    /// Has the heartbeats name versions and positions that this source does not send.
    pub fn set_announced_ahead(&self, records: u64) {
        lock(&self.state).announced_ahead = records;
    }

    /// Returns the number of reads of a topic from the given position.
    pub fn reads(&self, target: &str) -> usize {
        let state = lock(&self.state);
        state.reads.iter().filter(|t| *t == target).count()
    }
}

impl Drop for FakeSource {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves reads on a connection until it is closed.
fn serve(mut io: TcpStream, state: &Mutex<State>) {
    loop {
        let head = fake_peer::read_until(&mut io, "\r\n\r\n");
        let Some(target) = head.split(' ').nth(1) else {
            return;
        };
        lock(state).reads.push(target.to_owned());
        let (topic, from) = target.rsplit_once('/').unwrap_or_default();
        let from = from.parse().ok();
        let is_new = batch(&lock(state), topic, from).is_some();
        if !is_new {
            std::thread::sleep(LONG_POLL);
        }
        let (reply, rate) = {
            let state = lock(state);
            let empty = || Batch {
                entries: Vec::new(),
                next: Position::from(from.unwrap_or(0)),
                is_snapshot: false,
                store_down: false,
            };
            let batch = batch(&state, topic, from).unwrap_or_else(empty);
            let reply = rmp_serde::to_vec(&Some(batch)).expect("the reply is encoded");
            (reply, state.rate)
        };
        if send_reply(&mut io, &reply, rate).is_err() {
            return;
        }
    }
}

/// Returns the records of a topic after the position `from`, or all if it is `None`.
fn batch(state: &State, topic: &str, from: Option<u64>) -> Option<Batch> {
    let newest = match topic {
        "/config" => &*state.configs,
        _ => &[],
    };
    if from.is_some_and(|from| from >= newest.len() as u64) {
        return None;
    }
    let entry = |value: &Bytes| Entry {
        key: "config".to_owned(),
        value: Some(value.clone()),
    };
    Some(Batch {
        entries: newest.last().map(entry).into_iter().collect(),
        next: Position::from(newest.len() as u64),
        is_snapshot: from.is_none(),
        store_down: false,
    })
}

fn send_reply(io: &mut TcpStream, reply: &[u8], rate: Option<usize>) -> std::io::Result<()> {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", reply.len());
    io.write_all(head.as_bytes())?;
    let Some(rate) = rate else {
        return io.write_all(reply);
    };
    let part_bytes = (rate as f64 * PART_INTERVAL.as_secs_f64()).ceil() as usize;
    for part in reply.chunks(part_bytes) {
        io.write_all(part)?;
        std::thread::sleep(PART_INTERVAL);
    }
    Ok(())
}
