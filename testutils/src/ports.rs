//! Free ports for the listeners of tests.

use std::net::{TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port of the range that tests use. The range lies below the ephemeral ports, since an
/// outgoing connection could be given a port after [`free_port`] checked it and before the test binds
/// it.
const FIRST_PORT: u16 = 12_000;
/// Ports in the range.
const PORT_COUNT: u16 = 20_000;

static NEXT_INDEX: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback port that is free now for both TCP and UDP.
pub fn free_port() -> u16 {
    // Concurrent test processes start at different ports of the range.
    let start_index = std::process::id().wrapping_mul(97) % u32::from(PORT_COUNT);
    loop {
        let index = u32::from(NEXT_INDEX.fetch_add(1, Ordering::Relaxed));
        let port = FIRST_PORT + ((start_index + index) % u32::from(PORT_COUNT)) as u16;
        let tcp = TcpListener::bind(("127.0.0.1", port));
        if tcp.is_ok() && UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}
