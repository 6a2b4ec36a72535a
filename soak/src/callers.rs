//! Callers: they ask for addresses, keep connections open, and note what they get.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use hemlock_platform_standin::caller::{self, Response};
use hemlock_platform_standin::fixtures;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(15);
/// Time for which a caller keeps the addresses that it was told.
const ADVICE: Duration = Duration::from_secs(1);
/// Part of the requests that go over an open connection, if there is one.
const KEPT: f64 = 0.8;

/// What a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It may run more than once.
    Idempotent,
    /// It may run once.
    Once,
    /// A stream that another endpoint may go on with.
    Stream,
}

/// One request and what came of it.
#[derive(Debug, Clone)]
pub struct Seen {
    pub id: String,
    pub kind: Kind,
    pub sent: Instant,
    pub done: Instant,
    pub got: Response,
}

/// Running callers.
#[derive(Debug)]
pub struct Callers {
    stop: Arc<AtomicBool>,
    seen: Arc<Mutex<Vec<Seen>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts `count` callers of the entry VMs that answer at `directories`.
    pub fn spawn(count: usize, directories: &[SocketAddr], seed: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let seen = Arc::new(Mutex::new(Vec::new()));
        let spawn = |i: usize| {
            let (stop, seen) = (stop.clone(), seen.clone());
            let mut caller = Caller {
                name: i,
                rng: SmallRng::seed_from_u64(seed ^ (i as u64) << 32),
                directories: directories.to_vec(),
                advice: (Instant::now(), Vec::new()),
                open: Vec::new(),
                count: 0,
            };
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    if let Some(one) = caller.call() {
                        seen.lock()
                            .unwrap_or_else(PoisonError::into_inner)
                            .push(one);
                    }
                    thread::sleep(PAUSE);
                }
            })
        };
        let threads = (0..count).map(spawn).collect();
        Self {
            stop,
            seen,
            threads,
        }
    }

    /// Ends them and returns what they saw.
    pub fn finish(self) -> Vec<Seen> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            if thread.join().is_err() {
                eprintln!("a caller panicked");
            }
        }
        self.seen
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

struct Caller {
    name: usize,
    rng: SmallRng,
    directories: Vec<SocketAddr>,
    advice: (Instant, Vec<SocketAddr>),
    open: Vec<(SocketAddr, TcpStream)>,
    count: u64,
}

impl Caller {
    /// Sends one request; `None` if no entry VM takes the connection.
    fn call(&mut self) -> Option<Seen> {
        let kept = !self.open.is_empty() && self.rng.random_bool(KEPT);
        let (front, mut io) = if kept {
            let at = self.rng.random_range(0..self.open.len());
            self.open.swap_remove(at)
        } else {
            let front = self.choose()?;
            (front, TcpStream::connect(front).ok()?)
        };
        self.count += 1;
        let id = format!("c{}-{}", self.name, self.count);
        let (kind, text) = self.request(&id);
        let sent = Instant::now();
        let got = caller::exchange(&mut io, &text);
        let closes = got
            .header("connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"));
        if got.complete && !closes {
            self.open.push((front, io));
        }
        Some(Seen {
            id,
            kind,
            sent,
            done: Instant::now(),
            got,
        })
    }

    fn choose(&mut self) -> Option<SocketAddr> {
        if self.advice.1.is_empty() || self.advice.0.elapsed() > ADVICE {
            let at = self.rng.random_range(0..self.directories.len());
            let told = fixtures::resolve_addresses(self.directories[at], "z1");
            if !told.is_empty() {
                self.advice = (Instant::now(), told);
            }
        }
        let known = &self.advice.1;
        (!known.is_empty()).then(|| known[self.rng.random_range(0..known.len())])
    }

    fn request(&mut self, id: &str) -> (Kind, String) {
        match self.rng.random_range(0..3) {
            0 => (
                Kind::Idempotent,
                fixtures::request("GET", "/plain/a", id, "", ""),
            ),
            1 => (
                Kind::Once,
                fixtures::request("POST", "/once/a", id, "", "pay"),
            ),
            _ => {
                let headers = fixtures::stream_headers("m", 200, 150);
                (
                    Kind::Stream,
                    fixtures::request("POST", "/stream/a", id, &headers, "tell"),
                )
            }
        }
    }
}
