//! A TCP proxy on loopback that delays, blocks or resets the connections through it.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Interval at which a blocked direction checks whether the link passes bytes again.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time after which a read without data checks whether connections are to be reset.
const READ_TIMEOUT: Duration = Duration::from_millis(100);

/// What happens to the bytes that pass the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Bytes pass without delay.
    Open,
    /// Bytes pass after a delay, which is added to each read.
    Delay(Duration),
    /// Bytes to the server are blocked.
    CutForth,
    /// Bytes from the server are blocked.
    CutBack,
    /// Bytes in both directions are blocked.
    Silent,
    /// Connections are closed at once, open and new ones alike.
    Reset,
}

/// A running proxy in front of one server.
#[derive(Debug, Clone)]
pub struct Proxy {
    address: SocketAddr,
    link: Arc<Mutex<Link>>,
}

impl Proxy {
    /// Starts a proxy that listens on loopback and forwards connections to `target`.
    pub fn spawn(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let link = Arc::new(Mutex::new(Link::Open));
        let shared = link.clone();
        thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                let link = shared.clone();
                thread::spawn(move || forward_connection(client, target, &link));
            }
        });
        Ok(Self { address, link })
    }

    /// Returns the address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what happens to the bytes of open and new connections.
    pub fn set_link(&self, link: Link) {
        *self.link.lock().unwrap_or_else(PoisonError::into_inner) = link;
    }
}

fn current_link(link: &Mutex<Link>) -> Link {
    *link.lock().unwrap_or_else(PoisonError::into_inner)
}

fn forward_connection(client: TcpStream, target: SocketAddr, link: &Arc<Mutex<Link>>) {
    if current_link(link) == Link::Reset {
        return;
    }
    let Ok(server) = TcpStream::connect(target) else {
        return;
    };
    let (Ok(from_client), Ok(from_server)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let to_server_link = link.clone();
    let to_server =
        thread::spawn(move || copy_direction(from_client, server, &to_server_link, Link::CutForth));
    copy_direction(from_server, client, link, Link::CutBack);
    let _ = to_server.join();
}

/// Copies one direction until it ends; `blocking` is the state that blocks only this direction.
fn copy_direction(mut from: TcpStream, mut to: TcpStream, link: &Mutex<Link>, blocking: Link) {
    let _ = from.set_read_timeout(Some(READ_TIMEOUT));
    let mut buffer = [0; 8 << 10];
    loop {
        let read = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(n) => n,
            Err(e)
                if matches!(
                    e.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) =>
            {
                if current_link(link) == Link::Reset {
                    break;
                }
                continue;
            }
            Err(_) => break,
        };
        if let Link::Delay(delay) = current_link(link) {
            thread::sleep(delay);
        }
        while [blocking, Link::Silent].contains(&current_link(link)) {
            thread::sleep(POLL_INTERVAL);
        }
        if current_link(link) == Link::Reset || to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    // Close the other direction too, as a reset would.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
