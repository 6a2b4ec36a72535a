//! Reads the bodies of answers that are forwarded only when they are complete.

use std::cell::RefCell;

use bytes::BytesMut;
use hemlock_lib::node::memory::Memory;
use hemlock_wire::http1::{Conn, Framing, HttpError, PIECE_OVERHEAD_BYTES};

use super::MAX_BODY_BYTES;

/// A body with the memory that it takes, which is given back when this is dropped.
#[derive(Debug)]
pub(super) struct AnswerBody<'a> {
    memory: &'a RefCell<Memory>,
    bytes: BytesMut,
    held: usize,
}

impl AnswerBody<'_> {
    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Frees the bytes, but holds their memory on for a copy.
    pub(super) fn free_bytes(&mut self) {
        self.bytes = BytesMut::new();
    }
}

impl Drop for AnswerBody<'_> {
    fn drop(&mut self) {
        self.memory.borrow_mut().free_answer(self.held);
    }
}

/// Reads a whole body; `None` means that it is larger than [`MAX_BODY_BYTES`], with an overhead for
/// each piece, or than the memory allows at present.
pub(super) async fn read<'a>(
    memory: &'a RefCell<Memory>,
    conn: &mut Conn,
    framing: &mut Framing,
) -> Result<Option<AnswerBody<'a>>, HttpError> {
    let max_bytes = MAX_BODY_BYTES as u64;
    if matches!(framing, Framing::Length(length) if *length > max_bytes) {
        return Ok(None);
    }
    let mut body = AnswerBody {
        memory,
        bytes: BytesMut::new(),
        held: 0,
    };
    let mut overhead = 0;
    while let Some(piece) = conn.read_body_piece(framing).await? {
        overhead += PIECE_OVERHEAD_BYTES;
        let has_room = body.held + piece.len() + overhead <= MAX_BODY_BYTES
            && memory.borrow_mut().try_hold_answer(body.held, piece.len());
        if !has_room {
            return Ok(None);
        }
        body.held += piece.len();
        body.bytes.extend_from_slice(&piece);
    }
    Ok(Some(body))
}
