//! Splits a stream into complete events, so that another endpoint can continue after the last one
//! sent to the caller.

use bytes::{Bytes, BytesMut};

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Number of the event, if it has one.
    pub id: Option<u64>,
    /// Bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
}

/// Splits the bytes of a stream into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Appends bytes received from the endpoint.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or `None` if more bytes are needed.
    pub fn next_event(&mut self) -> Option<Event> {
        let Some(end) = self.find_end() else {
            self.searched = self.buffer.len();
            return None;
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        Some(Event {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Returns whether a complete event is there.
    pub fn has_event(&self) -> bool {
        self.find_end().is_some()
    }

    fn find_end(&self) -> Option<usize> {
        let search_start = self.searched.saturating_sub(3);
        event_end(&self.buffer[search_start..]).map(|end| search_start + end)
    }

    /// Returns the bytes of the last event, which is still incomplete.
    pub fn partial(&self) -> &[u8] {
        &self.buffer
    }
}

/// Position of an event relative to the last one that the caller has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventPosition {
    /// The event is the next one, as far as the numbers tell.
    Next,
    /// The caller has the event already.
    AlreadySent,
    /// At least one event before this one is missing.
    Gap,
}

/// Returns whether an event may be the first one of an endpoint that continues a stream after the event
/// `last`. Such an event has a number; without one, it may be the text of an error.
pub fn may_continue(last: Option<u64>, id: Option<u64>) -> bool {
    last.is_none() || id.is_some()
}

/// Compares the number of an event with that of the last one that the caller has.
pub fn event_position(last: Option<u64>, id: Option<u64>) -> EventPosition {
    match (last, id) {
        (Some(last), Some(id)) if id <= last => EventPosition::AlreadySent,
        (Some(last), Some(id)) if id > last + 1 => EventPosition::Gap,
        _ => EventPosition::Next,
    }
}

fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (i, b) in bytes.iter().enumerate() {
        if *b != b'\n' {
            continue;
        }
        let line_bytes = &bytes[line_start..i];
        if (line_bytes.is_empty() || line_bytes == b"\r") && i > 0 && line_start > 0 {
            return Some(i + 1);
        }
        line_start = i + 1;
    }
    None
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|b| *b == b'\n');
    let mut ids = lines.filter_map(|l| l.strip_prefix(b"id:"));
    let number = std::str::from_utf8(ids.next()?).ok()?;
    number.trim().parse().ok()
}
