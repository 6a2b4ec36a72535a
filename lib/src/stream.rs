//! One caller's answer, put together from the chunks of one or more attempts.

use crate::engine::Chunk;

/// What becomes of a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChunkAction {
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
pub struct AnswerStream {
    attempt: String,
    next_seq: u64,
}

impl AnswerStream {
    /// Starts an answer with its first attempt.
    pub fn new(attempt: impl Into<String>) -> Self {
        Self {
            attempt: attempt.into(),
            next_seq: 0,
        }
    }

    /// Goes on with another attempt from the last chunk delivered.
    pub fn resume(&mut self, attempt: impl Into<String>) {
        self.attempt = attempt.into();
    }

    /// Returns the number of chunks delivered.
    pub fn delivered(&self) -> u64 {
        self.next_seq
    }

    /// Takes a chunk that came from an endpoint.
    pub fn accept(&mut self, chunk: Chunk) -> ChunkAction {
        if chunk.attempt != self.attempt {
            return ChunkAction::Drop(DropReason::Foreign);
        }
        if chunk.seq < self.next_seq {
            return ChunkAction::Drop(DropReason::Repeated);
        }
        if chunk.seq > self.next_seq {
            return ChunkAction::Drop(DropReason::Gap);
        }
        if chunk.done {
            return ChunkAction::Done;
        }
        self.next_seq += 1;
        ChunkAction::Deliver(chunk.text)
    }
}
