//! A proxy on loopback that delays, holds up or resets what passes.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Time between two looks at a link that holds bytes up.
const LOOK: Duration = Duration::from_millis(10);
/// Time after which an idle read looks at the link again.
const READ_WAIT: Duration = Duration::from_millis(100);

/// What happens to the bytes of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// They pass.
    Open,
    /// They pass later.
    Delay(Duration),
    /// Those to the server are held up.
    CutForth,
    /// Those from the server are held up.
    CutBack,
    /// All are held up.
    Silent,
    /// Connections are reset.
    Reset,
}

/// A running proxy before one server.
#[derive(Debug, Clone)]
pub struct Proxy {
    address: SocketAddr,
    link: Arc<Mutex<Link>>,
}

impl Proxy {
    /// Listens on loopback and passes connections on to `target`.
    pub fn spawn(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let link = Arc::new(Mutex::new(Link::Open));
        let shared = link.clone();
        thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                let link = shared.clone();
                thread::spawn(move || join(client, target, &link));
            }
        });
        Ok(Self { address, link })
    }

    /// Returns its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what happens to the bytes.
    pub fn set(&self, link: Link) {
        *self.link.lock().unwrap_or_else(PoisonError::into_inner) = link;
    }
}

fn state(link: &Mutex<Link>) -> Link {
    *link.lock().unwrap_or_else(PoisonError::into_inner)
}

fn join(client: TcpStream, target: SocketAddr, link: &Arc<Mutex<Link>>) {
    if state(link) == Link::Reset {
        return;
    }
    let Ok(server) = TcpStream::connect(target) else {
        return;
    };
    let (Ok(from_client), Ok(from_server)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let other = link.clone();
    let forth = thread::spawn(move || copy(from_client, server, &other, Link::CutForth));
    copy(from_server, client, link, Link::CutBack);
    let _ = forth.join();
}

/// Copies one direction until it ends; `cut` is the state that holds it up.
fn copy(mut from: TcpStream, mut to: TcpStream, link: &Mutex<Link>, cut: Link) {
    let _ = from.set_read_timeout(Some(READ_WAIT));
    let mut piece = [0; 8 << 10];
    loop {
        let read = match from.read(&mut piece) {
            Ok(0) => break,
            Ok(n) => n,
            Err(e)
                if matches!(
                    e.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) =>
            {
                if state(link) == Link::Reset {
                    break;
                }
                continue;
            }
            Err(_) => break,
        };
        if let Link::Delay(time) = state(link) {
            thread::sleep(time);
        }
        while [cut, Link::Silent].contains(&state(link)) {
            thread::sleep(LOOK);
        }
        if state(link) == Link::Reset || to.write_all(&piece[..read]).is_err() {
            break;
        }
    }
    // The other direction ends with this one, as a reset would do it.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
