//! Ports for the listeners of tests. Concurrent tests, also those of other processes, never get the
//! same one, even while nothing listens on it.

use std::net::{TcpListener, UdpSocket};
use std::ops::Range;
use std::sync::{Mutex, PoisonError};

/// Ports from which tests reserve blocks. They lie below the ephemeral ports, since an outgoing
/// connection could take a port before the test listens on it.
const BLOCK_PORTS: Range<u16> = 6_000..32_000;
/// Number of ports in a block, whose last one is its guard.
const BLOCK_SIZE: u16 = 100;

/// Consecutive ports that no other test uses until this is dropped, also while the daemon that
/// listens on one of them is down.
#[derive(Debug)]
pub struct PortBlock {
    /// First port of the block.
    pub base: u16,
    /// Listens on the last port of the block, which keeps it from other test processes.
    _guard: TcpListener,
}

impl PortBlock {
    /// Reserves a block whose first `count` ports, 99 at most, are free.
    ///
    /// # Panics
    ///
    /// Panics if there is no such block.
    pub fn reserve(count: u16) -> Self {
        let mut blocks = BLOCK_PORTS.step_by(usize::from(BLOCK_SIZE));
        let reserved = blocks.find_map(|base| {
            let guard = TcpListener::bind(("127.0.0.1", base + BLOCK_SIZE - 1)).ok()?;
            (base..base + count).all(is_free).then_some(Self {
                base,
                _guard: guard,
            })
        });
        reserved.expect("a block of ports is free")
    }
}

/// Single ports out of reserved blocks; none is handed out twice.
#[derive(Debug, Default)]
pub struct PortPool {
    blocks: Vec<PortBlock>,
    /// Ports of the last block that were handed out or found taken.
    used: u16,
}

impl PortPool {
    /// Returns a port that is free for both TCP and UDP.
    ///
    /// # Panics
    ///
    /// Panics if there is none.
    pub fn take(&mut self) -> u16 {
        loop {
            let block = match self.blocks.last() {
                Some(block) if self.used < BLOCK_SIZE - 1 => block,
                _ => {
                    self.used = 0;
                    self.blocks.push(PortBlock::reserve(1));
                    continue;
                }
            };
            let port = block.base + self.used;
            self.used += 1;
            if is_free(port) {
                return port;
            }
        }
    }
}

/// Returns a loopback port that is free for both TCP and UDP, and that no other test gets while this
/// process lives.
pub fn free_port() -> u16 {
    static POOL: Mutex<PortPool> = Mutex::new(PortPool {
        blocks: Vec::new(),
        used: 0,
    });
    // A test that panicked here has left the pool as it was or one port further.
    POOL.lock().unwrap_or_else(PoisonError::into_inner).take()
}

fn is_free(port: u16) -> bool {
    let tcp = TcpListener::bind(("127.0.0.1", port));
    tcp.is_ok() && UdpSocket::bind(("127.0.0.1", port)).is_ok()
}
