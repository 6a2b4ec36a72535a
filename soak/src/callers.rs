//! Callers, which resolve addresses, reuse connections, and record the responses they get.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use hemlock_platform_standin::caller::{self, Response};
use hemlock_platform_standin::fixtures;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::deployment::{EVENTS_PER_STREAM, STRIDE};

/// Pause between two requests of a caller.
const REQUEST_PAUSE: Duration = Duration::from_millis(15);
/// Interval between two requests of a steady caller.
const STEADY_INTERVAL: Duration = Duration::from_millis(60);
/// Longest time in milliseconds for which a caller that leaves waits for its response.
const MAX_STAY_MS: u64 = 250;
/// Interval between two streams of a caller that leaves them, and longest time in milliseconds for
/// which it stays, where streams are long.
const LONG_LEAVING_INTERVAL: Duration = Duration::from_secs(1);
const MAX_LONG_STAY_MS: u64 = 2_500;
/// Deadline of requests where streams are long.
const LONG_DEADLINE: Duration = Duration::from_secs(9);
/// Longest answers in tokens: where streams are short, and the range where they are long.
const SHORT_ANSWER: u32 = EVENTS_PER_STREAM * STRIDE;
const LONG_ANSWERS: RangeInclusive<u32> = 60..=375;
/// Time for which a caller caches the addresses that a directory returned.
const ADDRESS_TTL: Duration = Duration::from_secs(1);
/// One caller in this many uses entry VMs to their end: it caches addresses for
/// [`LONG_ADDRESS_TTL`], and its requests but streams are so short that a stopping VM takes them.
const LATE_CALLERS: usize = 3;
/// Time for which a late caller caches addresses.
const LONG_ADDRESS_TTL: Duration = Duration::from_secs(6);
/// Share of the requests that are sent over an open connection, if there is one.
const REUSE_SHARE: f64 = 0.8;

/// Part of a prompt that crashes engines while requests with it are sent.
pub const CRASHING_PART: &str = "bad0";
/// Part of a prompt that all streams share, and one that those without the crashing part share.
const SHARED_PARTS: [&str; 2] = ["a1", "c0de"];
/// Start of the identifiers of requests with the crashing part.
pub const CRASHING_PREFIX: &str = "crash-";
/// Interval between two requests with the crashing part.
const CRASHING_INTERVAL: Duration = Duration::from_millis(150);

/// Sends requests with the crashing part to the entry VMs in turn, no two of them alike, until `stop`
/// is set.
pub fn spawn_crashing(fronts: Vec<SocketAddr>, stop: Arc<AtomicBool>) {
    thread::spawn(move || {
        let parts = |number| fixtures::prompt_parts(SHARED_PARTS[0], CRASHING_PART, number);
        for (number, front) in (0..).zip(fronts.iter().cycle()) {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let headers = fixtures::stream_headers("m", 200, 150) + &parts(number);
            let id = format!("{CRASHING_PREFIX}{number}");
            let body = format!("tell {number}");
            let text = fixtures::request("POST", "/stream/a", &id, &headers, &body);
            let front = *front;
            thread::spawn(move || caller::send(front, &text));
            thread::sleep(CRASHING_INTERVAL);
        }
    });
}

/// Lengths and deadlines of the requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Workload {
    /// Streams last a third of a second, and requests have three.
    Short,
    /// Streams last half a second to three, and requests have far more time.
    Long,
}

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    NonIdempotent,
    /// The request gets a stream, which another endpoint can resume.
    Stream,
}

/// A request and the response that its caller got.
#[derive(Debug, Clone)]
pub struct ObservedRequest {
    pub id: String,
    pub kind: RequestKind,
    /// Number of events of the response, if it is a stream.
    pub events: u64,
    /// Address of the entry VM.
    pub front: SocketAddr,
    pub sent_at: Instant,
    pub done_at: Instant,
    pub response: Response,
}

/// A request whose caller closed its connection without waiting for the response.
#[derive(Debug, Clone)]
pub struct LeftRequest {
    pub id: String,
    pub left_at: Instant,
}

/// Running callers.
#[derive(Debug)]
pub struct Callers {
    stop: Arc<AtomicBool>,
    observed: Arc<Mutex<Vec<ObservedRequest>>>,
    left: Arc<Mutex<Vec<LeftRequest>>>,
    threads: Vec<JoinHandle<()>>,
    workload: Workload,
}

impl Callers {
    /// Starts `count` callers of the entry VMs whose directories have the given addresses.
    ///
    /// With `drops_closed`, they drop open connections that the entry VM has closed. Callers that are
    /// refused at once open more than they use again in time.
    pub fn spawn(
        count: usize,
        directories: &[SocketAddr],
        seed: u64,
        workload: Workload,
        drops_closed: bool,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let observed = Arc::new(Mutex::new(Vec::new()));
        let spawn = |i: usize| {
            let (stop, observed) = (stop.clone(), observed.clone());
            let mut caller = Caller {
                index: i,
                workload,
                drops_closed,
                rng: SmallRng::seed_from_u64(seed ^ (i as u64) << 32),
                directories: directories.to_vec(),
                addresses: (Instant::now(), Vec::new()),
                idle: Vec::new(),
                count: 0,
            };
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    if let Some(request) = caller.call() {
                        observed
                            .lock()
                            .unwrap_or_else(PoisonError::into_inner)
                            .push(request);
                    }
                    thread::sleep(REQUEST_PAUSE);
                }
            })
        };
        let threads = (0..count).map(spawn).collect();
        Self {
            stop,
            observed,
            left: Arc::default(),
            threads,
            workload,
        }
    }

    /// Starts a caller of each entry VM that leaves soon after each of its requests.
    pub fn spawn_leaving(&mut self, fronts: &[SocketAddr], seed: u64) {
        for (index, front) in fronts.iter().copied().enumerate() {
            let (stop, left) = (self.stop.clone(), self.left.clone());
            let workload = self.workload;
            let mut rng = SmallRng::seed_from_u64(seed ^ (index as u64) << 24);
            self.threads.push(thread::spawn(move || {
                for number in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    let id = format!("left{index}-{number}");
                    let (kind, max_stay, interval) = match workload {
                        Workload::Short => ((number % 3) as i32, MAX_STAY_MS, STEADY_INTERVAL),
                        Workload::Long => (2, MAX_LONG_STAY_MS, LONG_LEAVING_INTERVAL),
                    };
                    let text = Draft {
                        kind,
                        answer: workload.longest_answer(),
                        workload,
                    }
                    .build(&id, &id, number);
                    let stay = Duration::from_millis(rng.random_range(0..max_stay));
                    if let Some(request) = send_and_leave(front, id, &text, stay) {
                        left.lock()
                            .unwrap_or_else(PoisonError::into_inner)
                            .push(request);
                    }
                    thread::sleep(interval);
                }
            }));
        }
    }

    /// Starts a caller of each entry VM that sends at a fixed rate over new connections, however long
    /// the responses take.
    pub fn spawn_steady(&mut self, fronts: &[SocketAddr]) {
        for (index, front) in fronts.iter().copied().enumerate() {
            let (stop, observed) = (self.stop.clone(), self.observed.clone());
            self.threads.push(thread::spawn(move || {
                let mut sent = Vec::new();
                for number in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    let observed = observed.clone();
                    sent.push(thread::spawn(move || {
                        let id = format!("steady{index}-{number}");
                        let request = send_once(front, &id, number);
                        observed
                            .lock()
                            .unwrap_or_else(PoisonError::into_inner)
                            .push(request);
                    }));
                    thread::sleep(STEADY_INTERVAL);
                }
                for thread in sent {
                    if thread.join().is_err() {
                        eprintln!("a steady caller panicked");
                    }
                }
            }));
        }
    }

    /// Stops the callers; returns their requests, and those whose callers left.
    pub fn finish(self) -> (Vec<ObservedRequest>, Vec<LeftRequest>) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            if thread.join().is_err() {
                eprintln!("a caller panicked");
            }
        }
        let observed = self.observed.lock();
        let left = self.left.lock();
        (
            observed.unwrap_or_else(PoisonError::into_inner).clone(),
            left.unwrap_or_else(PoisonError::into_inner).clone(),
        )
    }
}

/// Sends a request over a new connection and closes it after `stay`, whether or not there is a
/// response. Returns `None` if the connection fails.
fn send_and_leave(
    front: SocketAddr,
    id: String,
    text: &str,
    stay: Duration,
) -> Option<LeftRequest> {
    let mut io = TcpStream::connect(front).ok()?;
    io.write_all(text.as_bytes()).ok()?;
    thread::sleep(stay);
    drop(io);
    Some(LeftRequest {
        id,
        left_at: Instant::now(),
    })
}

/// Sends a request over a new connection. The number chooses its kind; no two have the same path.
fn send_once(front: SocketAddr, id: &str, number: u64) -> ObservedRequest {
    let draft = Draft {
        kind: (number % 3) as i32,
        answer: SHORT_ANSWER,
        workload: Workload::Short,
    };
    let text = draft.build(id, id, number);
    let sent_at = Instant::now();
    let response = caller::send(front, &text);
    ObservedRequest {
        id: id.to_owned(),
        kind: draft.kind(),
        events: draft.events(),
        front,
        sent_at,
        done_at: Instant::now(),
        response,
    }
}

/// Returns whether the other side has not closed a connection on which nothing is due.
fn is_open(io: &TcpStream) -> bool {
    let peeked = io
        .set_nonblocking(true)
        .and_then(|()| io.peek(&mut [0; 1]))
        .map_err(|e| e.kind());
    peeked == Err(ErrorKind::WouldBlock) && io.set_nonblocking(false).is_ok()
}

struct Caller {
    index: usize,
    workload: Workload,
    /// Whether open connections that the entry VM has closed are dropped.
    drops_closed: bool,
    rng: SmallRng,
    directories: Vec<SocketAddr>,
    /// Addresses that a directory returned last, and when.
    addresses: (Instant, Vec<SocketAddr>),
    /// Open connections without a request, with the addresses of their entry VMs.
    idle: Vec<(SocketAddr, TcpStream)>,
    /// Number of requests sent so far.
    count: u64,
}

impl Caller {
    /// Sends one request. Returns `None` if no connection to an entry VM can be established.
    fn call(&mut self) -> Option<ObservedRequest> {
        if self.drops_closed {
            self.idle.retain(|(_, io)| is_open(io));
        }
        let reuse = !self.idle.is_empty() && self.rng.random_bool(REUSE_SHARE);
        let (address, mut io) = if reuse {
            let position = self.rng.random_range(0..self.idle.len());
            self.idle.swap_remove(position)
        } else {
            let address = self.choose_address()?;
            (address, TcpStream::connect(address).ok()?)
        };
        self.count += 1;
        let id = format!("c{}-{}", self.index, self.count);
        let kind = self.rng.random_range(0..3_i32);
        let workload = self.workload;
        let answer = match workload {
            Workload::Short => SHORT_ANSWER,
            Workload::Long => self.rng.random_range(LONG_ANSWERS),
        };
        let draft = Draft {
            kind,
            answer,
            workload,
        };
        let mut text = draft.build(&id, "a", self.count);
        if self.is_late() && draft.kind() != RequestKind::Stream {
            text = text.replace("-Ms: 3000", "-Ms: 500");
        }
        let sent_at = Instant::now();
        let response = caller::exchange(&mut io, &text);
        let closes = response
            .header("connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"));
        if response.complete && !closes {
            self.idle.push((address, io));
        }
        Some(ObservedRequest {
            id,
            kind: draft.kind(),
            events: draft.events(),
            front: address,
            sent_at,
            done_at: Instant::now(),
            response,
        })
    }

    fn is_late(&self) -> bool {
        self.index.is_multiple_of(LATE_CALLERS)
    }

    fn choose_address(&mut self) -> Option<SocketAddr> {
        let ttl = match self.is_late() {
            true => LONG_ADDRESS_TTL,
            false => ADDRESS_TTL,
        };
        if self.addresses.1.is_empty() || self.addresses.0.elapsed() > ttl {
            let position = self.rng.random_range(0..self.directories.len());
            let resolved = fixtures::resolve_addresses(self.directories[position], "z1");
            if !resolved.is_empty() {
                self.addresses = (Instant::now(), resolved);
            }
        }
        let cached = &self.addresses.1;
        (!cached.is_empty()).then(|| cached[self.rng.random_range(0..cached.len())])
    }
}

impl Workload {
    fn longest_answer(self) -> u32 {
        match self {
            Self::Short => SHORT_ANSWER,
            Self::Long => *LONG_ANSWERS.end(),
        }
    }
}

/// A request of the kind that a number chooses, before it has an identifier.
#[derive(Debug, Clone, Copy)]
struct Draft {
    kind: i32,
    /// Longest answer of a stream, in tokens.
    answer: u32,
    workload: Workload,
}

impl Draft {
    fn kind(self) -> RequestKind {
        match self.kind {
            0 => RequestKind::Idempotent,
            1 => RequestKind::NonIdempotent,
            _ => RequestKind::Stream,
        }
    }

    fn events(self) -> u64 {
        u64::from(self.answer / STRIDE)
    }

    /// Returns the request, with a part of its prompt that no other request with the same start of its
    /// identifier has.
    fn build(self, id: &str, page: &str, part: u64) -> String {
        let text = match self.kind() {
            RequestKind::Idempotent => {
                fixtures::request("GET", &format!("/plain/{page}"), id, "", "")
            }
            RequestKind::NonIdempotent => {
                fixtures::request("POST", &format!("/once/{page}"), id, "", "pay")
            }
            RequestKind::Stream => {
                let headers = fixtures::stream_headers("m", 200, self.answer)
                    + &fixtures::prompt_parts(SHARED_PARTS[0], SHARED_PARTS[1], part);
                fixtures::request("POST", &format!("/stream/{page}"), id, &headers, "tell")
            }
        };
        match self.workload {
            Workload::Short => text,
            Workload::Long => fixtures::with_deadline(&text, LONG_DEADLINE),
        }
    }
}
