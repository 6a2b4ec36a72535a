//! Shares the memory for answers that are read whole between the requests.

/// Memory for answers that are read whole before any of them is forwarded.
///
/// An answer may grow only while it is smaller than what is left. A few answers without end so leave
/// room for all others, and many share the memory evenly.
#[derive(Debug)]
pub struct AnswerMemory {
    bytes_left: usize,
}

impl AnswerMemory {
    /// Creates a memory of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self { bytes_left: bytes }
    }

    /// Takes `more` bytes for an answer that holds `held`; returns whether there was room for them.
    pub fn try_take(&mut self, held: usize, more: usize) -> bool {
        let has_room = held.saturating_add(more) <= self.bytes_left;
        if has_room {
            self.bytes_left -= more;
        }
        has_room
    }

    /// Gives back all bytes that an answer held.
    pub fn give_back(&mut self, held: usize) {
        self.bytes_left += held;
    }
}
