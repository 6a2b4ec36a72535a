//! One caller's answer, assembled from the chunks of one or more attempts.

use crate::engine::Chunk;

/// Action that a chunk leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChunkAction {
    /// The text is sent to the caller.
    Deliver(String),
    /// The answer is complete.
    Done,
    /// The chunk is dropped and counted.
    Drop(DropReason),
}

/// Reason why a chunk is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// The chunk belongs to another attempt.
    Foreign,
    /// The chunk was delivered already.
    Repeated,
    /// Chunks before this one are missing; the attempt is broken.
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

/// An answer that is being assembled.
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

    /// Continues after the last delivered chunk with another attempt.
    pub fn resume(&mut self, attempt: impl Into<String>) {
        self.attempt = attempt.into();
    }

    /// Returns the number of chunks delivered so far.
    pub fn delivered(&self) -> u64 {
        self.next_seq
    }

    /// Handles a chunk that arrived from an endpoint.
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
