//! Whole events of a stream, so that another endpoint can go on after the last one sent.

use bytes::{Bytes, BytesMut};

/// A whole event with its number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its number, if it carries one.
    pub id: Option<u64>,
    /// Its bytes with the blank line at its end.
    pub bytes: Bytes,
}

/// Cuts the bytes of a stream into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Takes the next bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let from = self.searched.saturating_sub(3);
        let end = event_end(&self.buffer[from..]).map(|end| from + end);
        let Some(end) = end else {
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

    /// Returns the bytes of the event that is not whole yet.
    pub fn partial(&self) -> &[u8] {
        &self.buffer
    }
}

/// What to do with an event, by the number of the last one that the caller has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventPosition {
    /// It is the next one.
    Next,
    /// The caller has it.
    AlreadySent,
    /// One before it is missing.
    Gap,
}

/// Compares an event's number with the last one that the caller has.
pub fn event_position(last: Option<u64>, id: Option<u64>) -> EventPosition {
    match (last, id) {
        (Some(last), Some(id)) if id <= last => EventPosition::AlreadySent,
        (Some(last), Some(id)) if id > last + 1 => EventPosition::Gap,
        _ => EventPosition::Next,
    }
}

fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line = 0;
    for (i, b) in bytes.iter().enumerate() {
        if *b != b'\n' {
            continue;
        }
        let text = &bytes[line..i];
        if (text.is_empty() || text == b"\r") && i > 0 && line > 0 {
            return Some(i + 1);
        }
        line = i + 1;
    }
    None
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|b| *b == b'\n');
    let mut ids = lines.filter_map(|l| l.strip_prefix(b"id:"));
    let text = std::str::from_utf8(ids.next()?).ok()?;
    text.trim().parse().ok()
}
