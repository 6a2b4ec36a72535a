//! Bodies of requests, with the memory that they hold from before they are read until their requests
//! have ended.

use std::ops::Deref;
use std::rc::Rc;

use hemlock_lib::node::config::Caller;
use hemlock_lib::node::memory::Owner;
use hemlock_lib::time::Time;
use hemlock_wire::http1::{Conn, Framing, HttpError};

use crate::metrics::Counter;
use crate::state::Node;

/// Memory in bytes that a body of unknown length takes at least, which doubles as it grows.
const MIN_BODY_BYTES: usize = 4 << 10;

/// Why a body was not read in full.
#[derive(Debug)]
pub(crate) enum BodyError {
    /// It is larger than the configuration allows.
    TooLarge,
    /// There is no memory for it at present. `needed` bytes would be.
    NoMemory { needed: usize },
    /// The connection broke, or the body is malformed.
    Failed(HttpError),
}

/// The body of a request. Its memory is free again when this is dropped.
#[derive(Debug)]
pub(crate) struct Body {
    node: Rc<Node>,
    owner: Owner,
    bytes: Vec<u8>,
    held: usize,
    since: Time,
}

impl Body {
    /// Holds the memory for a body, before any of it is read; that of a chunked one is held as it
    /// grows.
    pub(crate) fn admit(
        node: &Rc<Node>,
        owner: Owner,
        framing: &Framing,
        limit: usize,
    ) -> Result<Self, BodyError> {
        let mut body = Self {
            node: node.clone(),
            owner,
            bytes: Vec::new(),
            held: 0,
            since: node.now(),
        };
        if let Framing::Length(length) = framing {
            let length = usize::try_from(*length).unwrap_or(usize::MAX);
            if length > limit {
                return Err(BodyError::TooLarge);
            }
            body.grow(length)?;
        }
        Ok(body)
    }

    /// Reads the body, of `limit` bytes at most.
    pub(crate) async fn read(
        mut self,
        conn: &mut Conn,
        framing: &mut Framing,
        limit: usize,
    ) -> Result<Self, BodyError> {
        let failed = BodyError::Failed;
        while let Some(piece) = conn.read_body_piece(framing).await.map_err(failed)? {
            let length = self.bytes.len() + piece.len();
            if length > limit {
                return Err(BodyError::TooLarge);
            }
            if length > self.held {
                let capacity = length.max(self.held * 2).max(MIN_BODY_BYTES);
                self.grow(capacity.min(limit))?;
            }
            self.bytes.extend_from_slice(&piece);
        }
        Ok(self)
    }

    /// Holds memory for a capacity of `bytes`.
    fn grow(&mut self, bytes: usize) -> Result<(), BodyError> {
        let more = bytes - self.held;
        let mut memory = self.node.memory.borrow_mut();
        if !memory.try_hold_body(&self.owner, self.held, more) {
            self.node.metrics.count(Counter::MemoryRefused, "body");
            return Err(BodyError::NoMemory { needed: bytes });
        }
        self.held = bytes;
        self.bytes.reserve_exact(bytes - self.bytes.len());
        Ok(())
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        let now = self.node.now();
        let mut memory = self.node.memory.borrow_mut();
        memory.free_body(now, self.since, &self.owner, self.held);
    }
}

impl Deref for Body {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns who holds the memory of a request: its client account, or its caller's address.
pub(crate) fn owner(caller: Option<&Caller>, conn: &Conn) -> Owner {
    match caller {
        Some(Caller::Account(account)) => Owner::Account(account.name.clone()),
        Some(Caller::Anonymous | Caller::Unknown) | None => Owner::Address(conn.peer_address()),
    }
}
