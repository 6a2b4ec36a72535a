//! One caller's answer, put together from the chunks of one or more attempts.

use crate::engine::Chunk;

/// What becomes of a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Piece {
    /// The text goes to the caller.
    Deliver(String),
    /// The answer is complete.
    Done,
    /// The chunk is dropped and counted.
    Drop(DropReason),
}

/// Says why a chunk was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// It answers another attempt.
    Foreign,
    /// It was delivered already.
    Repeated,
    /// It lies ahead of the next one; the attempt is broken.
    Gap,
}

impl DropReason {
    /// Returns the name used in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Foreign => "foreign",
            Self::Repeated => "repeated",
            Self::Gap => "gap",
        }
    }
}

/// An answer in the making.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answering {
    attempt: String,
    next: u64,
}

impl Answering {
    /// Starts an answer with its first attempt.
    pub fn new(attempt: impl Into<String>) -> Self {
        Self {
            attempt: attempt.into(),
            next: 0,
        }
    }

    /// Goes on with another attempt from the last chunk delivered.
    pub fn resume(&mut self, attempt: impl Into<String>) {
        self.attempt = attempt.into();
    }

    /// Returns the number of chunks delivered.
    pub fn delivered(&self) -> u64 {
        self.next
    }

    /// Takes a chunk that came from an endpoint.
    pub fn take(&mut self, chunk: Chunk) -> Piece {
        if chunk.attempt != self.attempt {
            return Piece::Drop(DropReason::Foreign);
        }
        if chunk.seq < self.next {
            return Piece::Drop(DropReason::Repeated);
        }
        if chunk.seq > self.next {
            return Piece::Drop(DropReason::Gap);
        }
        if chunk.done {
            return Piece::Done;
        }
        self.next += 1;
        Piece::Deliver(chunk.text)
    }
}
