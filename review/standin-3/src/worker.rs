//! Workers of a plain service: they register themselves in the store, run one request at a time on a
//! connection, and echo its identifier.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hemlock_platform_standin::store::Store;
use rustix::net::sockopt;
use serde_json::json;

use crate::harness::lock;

pub const TOPIC: &str = "keyed.servers";
/// Interval between two heartbeats of a worker.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A request as a worker has read it.
#[derive(Debug, Clone)]
pub struct Request {
    pub target: String,
    pub headers: BTreeMap<String, String>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn id(&self) -> &str {
        self.header("request-id")
    }
}

/// What a worker does with a request.
pub enum Action {
    /// Runs it for this time and answers with status 200.
    Run(Duration),
    /// Begins to run it and crashes, with its connections closed.
    Crash,
    /// Begins to run it and goes dark: nothing is sent or closed any more.
    GoDark,
    /// Runs it and answers with a stream of events, from the one after the last that the caller has.
    Stream(Events),
}

/// The events of a stream.
#[derive(Debug, Clone, Copy)]
pub struct Events {
    pub count: u64,
    /// Difference between the ids of two events in a row.
    pub id_step: u64,
    /// Time before each event.
    pub interval: Duration,
}

/// How a full worker refuses requests.
#[derive(Debug, Clone)]
pub struct Refusal {
    /// Time for which the worker wants nothing from the machine, in seconds.
    pub retry_after_s: u32,
    /// Whether the worker answers before it has read the body, which it reads this much later.
    pub read_on: Option<Duration>,
    /// When requests arrived, and when they were answered.
    pub log: Arc<Mutex<Vec<(Arrival, Instant)>>>,
}

type Decide = dyn Fn(&Worker, &Request) -> Action + Send + Sync;

/// A running worker. Clones share it.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    store: Store,
    is_up: Arc<AtomicBool>,
    /// Whether the worker ended without closing anything.
    is_dark: Arc<AtomicBool>,
    /// How the worker refuses all requests, if it does.
    refusal: Option<Refusal>,
    conns: Arc<Mutex<Vec<TcpStream>>>,
    decide: Arc<Decide>,
    born: u128,
}

impl Worker {
    pub fn start(
        store: &Store,
        id: &str,
        service: &str,
        decide: Arc<Decide>,
        refusal: Option<Refusal>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        if refusal.is_some() {
            // A small window, so that a writer is blocked while the worker does not read.
            sockopt::set_socket_recv_buffer_size(&listener, 16 << 10)?;
        }
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let worker = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            service: service.to_owned(),
            store: store.clone(),
            is_up: Arc::new(AtomicBool::new(true)),
            is_dark: Arc::default(),
            refusal,
            conns: Arc::default(),
            decide,
            born: born.as_millis(),
        };
        let accepting = worker.clone();
        thread::spawn(move || accepting.accept(&listener));
        let beating = worker.clone();
        thread::spawn(move || beating.beat());
        Ok(worker)
    }

    /// Writes the entry at each heartbeat. The entry changes only in its number.
    fn beat(&self) {
        let mut sequence = 0;
        while self.is_up() {
            sequence += 1;
            if sequence == 1 {
                self.publish(sequence);
            }
            thread::sleep(HEARTBEAT);
        }
    }

    fn publish(&self, sequence: u64) {
        let entry = json!({
            "service": self.service, "address": self.address.to_string(), "zone": "z1",
            "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
            "sequence": sequence, "born": self.born as u64,
        });
        self.store
            .put(TOPIC, &self.id, entry.to_string().as_bytes());
    }

    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::SeqCst)
    }

    fn accept(&self, listener: &TcpListener) {
        while self.is_up() {
            match listener.accept() {
                Ok((io, _)) => {
                    let _ = io.set_nonblocking(false);
                    let _ = io.set_nodelay(true);
                    if let Ok(copy) = io.try_clone() {
                        lock(&self.conns).push(copy);
                    }
                    let serving = self.clone();
                    thread::spawn(move || serving.serve(io));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
        self.stay_dark();
    }

    /// Waits for the end of the process if the worker is dark, so that its sockets stay open.
    fn stay_dark(&self) {
        while self.is_dark.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_secs(1));
        }
    }

    /// Ends all connections and the listener, as the end of a process does. The store drops the entry
    /// after three heartbeats of silence.
    pub fn crash(&self) {
        if !self.is_up.swap(false, Ordering::SeqCst) {
            return;
        }
        for io in lock(&self.conns).drain(..) {
            let _ = io.shutdown(Shutdown::Both);
        }
        self.expire_entry();
    }

    /// Ends without a word, as a machine without power does.
    pub fn go_dark(&self) {
        self.is_dark.store(true, Ordering::SeqCst);
        if self.is_up.swap(false, Ordering::SeqCst) {
            self.expire_entry();
        }
    }

    fn expire_entry(&self) {
        let (store, id) = (self.store.clone(), self.id.clone());
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            store.put(TOPIC, &id, b"");
        });
    }

    /// Refuses a request, and reads its body before or some time after the answer. Returns whether the
    /// connection goes on.
    fn refuse(
        &self,
        io: &mut TcpStream,
        buffer: &mut Vec<u8>,
        refusal: &Refusal,
        request: &Request,
        length: usize,
    ) -> bool {
        let arrival = Arrival {
            id: request.id().to_owned(),
            worker: self.id.clone(),
            at: Instant::now(),
        };
        if refusal.read_on.is_none() && !read_body(io, buffer, length) {
            return false;
        }
        let text = format!(
            "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {}\r\nNot-Run: 1\r\n\
             Retry-After: {}\r\nContent-Length: 0\r\n\r\n",
            request.id(),
            refusal.retry_after_s
        );
        lock(&refusal.log).push((arrival, Instant::now()));
        if io.write_all(text.as_bytes()).is_err() {
            return false;
        }
        match refusal.read_on {
            None => true,
            Some(time) => {
                thread::sleep(time);
                read_body(io, buffer, length)
            }
        }
    }

    /// Writes the events of a stream, in chunks. Returns whether the connection goes on.
    fn stream(&self, io: &mut TcpStream, request: &Request, events: Events) -> bool {
        let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Stamp: stamp\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            request.id()
        );
        if io.write_all(head.as_bytes()).is_err() {
            return false;
        }
        let ids = (1..=events.count).map(|number| number * events.id_step);
        for id in ids.filter(|id| *id > last) {
            thread::sleep(events.interval);
            let event = format!("id: {id}\ndata: {} of {}\n\n", id, request.id());
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if !self.is_up() || io.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        io.write_all(b"0\r\n\r\n").is_ok()
    }

    fn serve(&self, mut io: TcpStream) {
        let mut buffer = Vec::new();
        while self.is_up() {
            let Some((request, length)) = read_head(&mut io, &mut buffer) else {
                return self.stay_dark();
            };
            if let Some(refusal) = &self.refusal {
                match self.refuse(&mut io, &mut buffer, refusal, &request, length) {
                    true => continue,
                    false => return,
                }
            }
            if !read_body(&mut io, &mut buffer, length) {
                return self.stay_dark();
            }
            if !self.is_up() {
                return self.stay_dark();
            }
            let answer = |status: &str, more: &str, body: &str| {
                format!(
                    "HTTP/1.1 {status}\r\nRequest-Id: {}\r\nInstance-Id: {}\r\n{more}\
                     Content-Length: {}\r\n\r\n{body}",
                    request.id(),
                    self.id,
                    body.len()
                )
            };
            if request.header("expect-instance") != self.id {
                let text = answer("421 Misdirected Request", "Not-Run: 1\r\n", "");
                if io.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            match (self.decide)(self, &request) {
                Action::Run(time) => {
                    thread::sleep(time);
                    if !self.is_up() {
                        return self.stay_dark();
                    }
                    let body = format!("{} ran {}", self.id, request.id());
                    let text = answer("200 OK", "Server-Stamp: stamp\r\n", &body);
                    if io.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
                Action::Stream(events) => {
                    if !self.stream(&mut io, &request, events) {
                        return;
                    }
                }
                Action::Crash => return self.crash(),
                Action::GoDark => {
                    self.go_dark();
                    return self.stay_dark();
                }
            }
        }
        self.stay_dark();
    }
}

/// Reads the head of a request, and returns it with the length of the body.
fn read_head(io: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(Request, usize)> {
    let mut bytes = [0; 4 << 10];
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break end;
        }
        match io.read(&mut bytes) {
            Ok(0) | Err(_) => return None,
            Ok(n) => buffer.extend_from_slice(&bytes[..n]),
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let target = first.nth(1)?.to_owned();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()))
        .collect();
    let length: usize = match headers.get("content-length") {
        Some(text) => text.parse().ok()?,
        None => 0,
    };
    Some((Request { target, headers }, length))
}

/// Reads a body and discards it; returns whether it came in full.
fn read_body(io: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> bool {
    let mut bytes = vec![0; 256 << 10];
    let have = buffer.len().min(length);
    buffer.drain(..have);
    let mut missing = length - have;
    while missing > 0 {
        let most = missing.min(bytes.len());
        match io.read(&mut bytes[..most]) {
            Ok(0) | Err(_) => return false,
            Ok(n) => missing -= n,
        }
    }
    true
}

/// When and where requests reached workers.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub id: String,
    pub worker: String,
    pub at: Instant,
}
