//! Submitted records on their way to the log: grouped, and settled by reading them back.
//!
//! One append is in flight at a time; what is submitted meanwhile goes with the next one. A record
//! whose reply is lost is never appended again: its nonce is awaited among the records read, and if
//! it doesn't appear before its deadline the outcome is unknown. An append without any end is given
//! up as lost, so that it never blocks those behind it for ever.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde_bytes::ByteBuf;

use crate::ids::{Nonce, StreamId};
use crate::peers::Settled;
use crate::platform::AppendCall;
use crate::time::Time;

/// Records that one append carries at most.
const BATCH_RECORDS: usize = 256;
/// Bytes of records after which an append takes no more.
const BATCH_BYTES: usize = 256 << 10;
/// Time after which an append without an end is held lost.
const FLIGHT_BOUND: Duration = Duration::from_secs(3);

/// Names a submission within one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Names an append within one process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AppendId(pub u64);

/// Says how an append ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The log took the records.
    Appended,
    /// The log surely did not take them.
    Refused,
    /// The reply is lost.
    Lost,
}

/// A record to append.
#[derive(Debug)]
pub struct Submission {
    /// Names it to the submitter.
    pub ticket: Ticket,
    /// Tells its record apart.
    pub nonce: Nonce,
    /// The stream.
    pub stream: StreamId,
    /// The encoded record.
    pub record: Vec<u8>,
    /// When the submitter stops waiting.
    pub deadline: Time,
}

#[derive(Debug)]
struct Flight {
    id: AppendId,
    sent: Time,
    records: Vec<(Ticket, Nonce)>,
}

/// Records on their way to the log.
#[derive(Debug, Default)]
pub struct Appender {
    urgent: VecDeque<Submission>,
    queue: VecDeque<Submission>,
    flight: Option<Flight>,
    last: AppendId,
    waiting: BTreeMap<Nonce, (Ticket, Time)>,
}

impl Appender {
    /// Queues a record.
    pub fn submit(&mut self, submission: Submission) {
        self.queue.push_back(submission);
    }

    /// Queues a record that restates a stream, which goes before all others.
    pub fn submit_urgent(&mut self, submission: Submission) {
        self.urgent.push_back(submission);
    }

    /// Returns the next append, unless one is in flight or nothing is queued.
    ///
    /// While `held`, only records that restate a stream go.
    pub fn flush(&mut self, now: Time, held: bool) -> Option<(AppendId, AppendCall)> {
        if self.flight.is_some() {
            return None;
        }
        let queue = match (self.urgent.is_empty(), held) {
            (false, _) => &mut self.urgent,
            (true, false) => &mut self.queue,
            (true, true) => return None,
        };
        let batch = take_batch(queue)?;
        self.last.0 += 1;
        let stream = batch[0].stream.clone();
        let mut flight = Flight {
            id: self.last,
            sent: now,
            records: Vec::with_capacity(batch.len()),
        };
        let mut records = Vec::with_capacity(batch.len());
        for s in batch {
            self.waiting.insert(s.nonce, (s.ticket, s.deadline));
            flight.records.push((s.ticket, s.nonce));
            records.push(ByteBuf::from(s.record));
        }
        self.flight = Some(flight);
        Some((self.last, AppendCall { stream, records }))
    }

    /// Takes the end of an append; returns the submissions that it settles.
    ///
    /// The end of an append that was given up already is ignored.
    pub fn ended(&mut self, id: AppendId, end: AppendOutcome) -> Vec<(Ticket, Settled)> {
        let Some(flight) = self.flight.take_if(|f| f.id == id) else {
            return Vec::new();
        };
        match end {
            AppendOutcome::Appended | AppendOutcome::Lost => Vec::new(),
            AppendOutcome::Refused => {
                let known = flight
                    .records
                    .into_iter()
                    .filter(|(_, nonce)| self.waiting.remove(nonce).is_some());
                known.map(|(t, _)| (t, Settled::NotAppended)).collect()
            }
        }
    }

    /// Returns the submission that a record read back from the log settles, if it is ours.
    pub fn read_back(&mut self, nonce: Nonce) -> Option<Ticket> {
        self.waiting.remove(&nonce).map(|(ticket, _)| ticket)
    }

    /// Gives up an append without an end, and returns the submissions whose deadline has passed.
    pub fn expire(&mut self, now: Time) -> Vec<(Ticket, Settled)> {
        self.flight.take_if(|f| now.since(f.sent) >= FLIGHT_BOUND);
        let mut out = Vec::new();
        for queue in [&mut self.urgent, &mut self.queue] {
            queue.retain(|s| {
                let due = s.deadline <= now;
                if due {
                    out.push((s.ticket, Settled::NotAppended));
                }
                !due
            });
        }
        self.waiting.retain(|_, (ticket, deadline)| {
            let due = *deadline <= now;
            if due {
                out.push((*ticket, Settled::Unknown));
            }
            !due
        });
        out
    }
}

/// Takes the records of the first one's stream, in order, up to the size of one append.
fn take_batch(queue: &mut VecDeque<Submission>) -> Option<Vec<Submission>> {
    let stream = queue.front()?.stream.clone();
    let (mut batch, mut rest) = (Vec::new(), VecDeque::new());
    let mut bytes = 0;
    for s in queue.drain(..) {
        let fits = batch.len() < BATCH_RECORDS && bytes < BATCH_BYTES;
        if s.stream == stream && fits {
            bytes += s.record.len();
            batch.push(s);
        } else {
            rest.push_back(s);
        }
    }
    *queue = rest;
    Some(batch)
}
