//! Reads the bodies of answers that are forwarded only when they are complete.

use std::rc::Rc;

use bytes::BytesMut;
use hemlock_wire::http1::{Conn, Framing, HttpError, PIECE_OVERHEAD_BYTES};

use super::MAX_BODY_BYTES;
use crate::state::Node;

/// What was read of a body, with the memory that it takes, which is given back when this is dropped.
#[derive(Debug)]
pub(super) struct AnswerBody {
    node: Rc<Node>,
    bytes: BytesMut,
    held: usize,
    /// Bytes of overhead of the pieces that were read.
    overhead: usize,
}

impl AnswerBody {
    pub(super) fn new(node: &Rc<Node>) -> Self {
        Self {
            node: node.clone(),
            bytes: BytesMut::new(),
            held: 0,
            overhead: 0,
        }
    }

    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Frees the bytes, but holds their memory on for a copy.
    pub(super) fn free_bytes(&mut self) {
        self.bytes = BytesMut::new();
    }

    /// Reads the body to its end, from where the last call was dropped; returns `false` if it is larger
    /// than [`MAX_BODY_BYTES`], with an overhead for each piece, or than the memory allows at present.
    pub(super) async fn read(
        &mut self,
        conn: &mut Conn,
        framing: &mut Framing,
    ) -> Result<bool, HttpError> {
        let max_bytes = MAX_BODY_BYTES as u64;
        if matches!(framing, Framing::Length(length) if *length > max_bytes) {
            return Ok(false);
        }
        while let Some(piece) = conn.read_body_piece(framing).await? {
            self.overhead += PIECE_OVERHEAD_BYTES;
            let has_room = self.held + piece.len() + self.overhead <= MAX_BODY_BYTES
                && self
                    .node
                    .memory
                    .borrow_mut()
                    .try_hold_answer(self.held, piece.len());
            if !has_room {
                return Ok(false);
            }
            self.held += piece.len();
            self.bytes.extend_from_slice(&piece);
        }
        Ok(true)
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.node.memory.borrow_mut().free_answer(self.held);
    }
}
