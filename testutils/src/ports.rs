//! Ports for listeners of tests.

use std::net::{TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port that tests take, and how many: below those that the system hands out to outgoing
/// connections, which would take one that is free only for a moment.
const FIRST_PORT: u16 = 12_000;
const PORTS: u16 = 20_000;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// Returns a port of loopback that is free now, for connections and for datagrams.
pub fn free_port() -> u16 {
    // Processes that run at the same time begin at places of their own.
    let start = std::process::id().wrapping_mul(97) % u32::from(PORTS);
    loop {
        let next = u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = FIRST_PORT + ((start + next) % u32::from(PORTS)) as u16;
        let tcp = TcpListener::bind(("127.0.0.1", port));
        if tcp.is_ok() && UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}
