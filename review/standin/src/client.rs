//! Callers: each sends one request after the other on a kept connection.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Status of a request whose connection ended without a whole answer.
pub const ENDED: u16 = 0;
/// Status of a request whose caller gave up at its deadline.
pub const GAVE_UP: u16 = 1;

/// A request and the status of its answer.
#[derive(Debug, Clone)]
pub struct Try {
    pub sent_ms: u128,
    pub ended_ms: u128,
    pub id: String,
    pub is_kept: bool,
    pub status: u16,
}

/// Number of the next request, of all callers.
static NUMBER: AtomicUsize = AtomicUsize::new(0);

#[derive(Debug, Clone, Default)]
pub struct Callers {
    stop: Arc<AtomicBool>,
    tries: Arc<Mutex<Vec<Try>>>,
}

/// What a caller sends.
#[derive(Debug, Clone)]
pub struct Template {
    pub target: String,
    pub headers: String,
    pub body: usize,
    pub deadline_ms: u64,
    pub pause: Duration,
    /// Time in which a caller sends 64 KiB of a body, as over a link of its own; zero if at once.
    pub send_pace: Duration,
    /// Time in which a caller reads 64 KiB of an answer, as over a link of its own; zero if at once.
    pub read_pace: Duration,
}

impl Callers {
    /// Starts a caller of the VM at this address.
    pub fn start(&self, start: Instant, front: SocketAddr, template: Template) -> JoinHandle<()> {
        let callers = self.clone();
        std::thread::spawn(move || callers.run(start, front, &template))
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    pub fn tries(&self) -> Vec<Try> {
        self.tries.lock().expect("no caller panics").clone()
    }

    fn run(&self, start: Instant, front: SocketAddr, template: &Template) {
        let body = vec![b'x'; template.body];
        let mut conn: Option<TcpStream> = None;
        while !self.stop.load(Ordering::Relaxed) {
            let is_kept = conn.is_some();
            let Some(mut io) = conn.take().or_else(|| TcpStream::connect(front).ok()) else {
                std::thread::sleep(Duration::from_millis(100));
                continue;
            };
            let id = format!("r{}", NUMBER.fetch_add(1, Ordering::Relaxed));
            let sent_ms = start.elapsed().as_millis();
            let status = match exchange(&mut io, &id, template, &body) {
                Ok(status) => status,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    GAVE_UP
                }
                Err(_) => ENDED,
            };
            if status > GAVE_UP {
                conn = Some(io);
            }
            let ended_ms = start.elapsed().as_millis();
            let one = Try {
                sent_ms,
                ended_ms,
                id,
                is_kept,
                status,
            };
            self.tries.lock().expect("no caller panics").push(one);
            std::thread::sleep(template.pause);
        }
    }
}

fn exchange(
    io: &mut TcpStream,
    id: &str,
    template: &Template,
    body: &[u8],
) -> std::io::Result<u16> {
    io.set_nodelay(true)?;
    io.set_read_timeout(Some(Duration::from_millis(template.deadline_ms)))?;
    let Template {
        target,
        headers,
        deadline_ms,
        ..
    } = template;
    let head = format!(
        "POST {target} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {id}\r\nApi-Key: key-1\r\nDeadline-Ms: {deadline_ms}\r\n\
         {headers}Content-Length: {}\r\n\r\n",
        hemlock_platform_standin::fixtures::HOST,
        body.len()
    );
    io.write_all(head.as_bytes())?;
    let started = Instant::now();
    for (number, part) in body.chunks(64 << 10).enumerate() {
        let due = template.send_pace * number as u32;
        std::thread::sleep(due.saturating_sub(started.elapsed()));
        io.write_all(part)?;
    }
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    let head_end = loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break end;
        }
        match io.read(&mut buffer)? {
            0 => return Ok(ENDED),
            n => bytes.extend_from_slice(&buffer[..n]),
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("Content-Length: "));
    let length: usize = length.and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut left = length.saturating_sub(bytes.len() - head_end - 4);
    while left > 0 {
        match io.read(&mut buffer)? {
            0 => return Ok(ENDED),
            n => {
                left = left.saturating_sub(n);
                let pace = template.read_pace.mul_f64(n as f64 / 65_536.0);
                if !pace.is_zero() {
                    std::thread::sleep(pace);
                }
            }
        }
    }
    Ok(head
        .get(9..12)
        .and_then(|s| s.parse().ok())
        .unwrap_or(ENDED))
}
