//! Batches submitted records into appends to the log, and settles them by reading them back.
//!
//! One append is in flight at a time; records that are submitted meanwhile go with the next one. A
//! record whose reply is lost is never appended again: its nonce is awaited among the records read,
//! and if it does not appear before the deadline, the outcome is unknown. An append that never ends
//! is given up as lost, so that it cannot block later ones.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde_bytes::ByteBuf;

use crate::ids::{Nonce, StreamId};
use crate::peers::Settled;
use crate::platform::AppendCall;
use crate::time::Time;

/// Maximum number of records in one append.
const MAX_BATCH_RECORDS: usize = 256;
/// Size in bytes from which on a batch takes no further record.
const BATCH_BYTES_LIMIT: usize = 256 << 10;
/// Time after which an append that has not ended is considered lost.
const APPEND_TIMEOUT: Duration = Duration::from_secs(3);

/// Identifies a submission within one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Identifies an append within one process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AppendId(pub u64);

/// How an append ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The log acknowledged the records.
    Appended,
    /// The log did not append the records.
    Refused,
    /// The reply was lost, so the log may have appended the records or not.
    Lost,
}

/// A record to append.
#[derive(Debug)]
pub struct Submission {
    /// Identifies the submission to its submitter.
    pub ticket: Ticket,
    /// Nonce of the record, by which it is recognised when it is read back.
    pub nonce: Nonce,
    /// Stream to append to.
    pub stream: StreamId,
    /// The encoded record.
    pub record: Vec<u8>,
    /// Time at which the submitter stops waiting.
    pub deadline: Time,
}

#[derive(Debug)]
struct InFlightAppend {
    id: AppendId,
    sent: Time,
    records: Vec<(Ticket, Nonce)>,
}

/// Records that wait for their append, or for being read back.
#[derive(Debug, Default)]
pub struct Appender {
    snapshot_queue: VecDeque<Submission>,
    queue: VecDeque<Submission>,
    in_flight: Option<InFlightAppend>,
    last_id: AppendId,
    unconfirmed: BTreeMap<Nonce, (Ticket, Time)>,
}

impl Appender {
    /// Queues a record.
    pub fn submit(&mut self, submission: Submission) {
        self.queue.push_back(submission);
    }

    /// Queues a record of a snapshot, which goes before all others.
    pub fn submit_snapshot(&mut self, submission: Submission) {
        self.snapshot_queue.push_back(submission);
    }

    /// Returns the next append, unless one is in flight or nothing is queued.
    ///
    /// While `hold_back` is set, only records of snapshots are appended.
    pub fn flush(&mut self, now: Time, hold_back: bool) -> Option<(AppendId, AppendCall)> {
        if self.in_flight.is_some() {
            return None;
        }
        let queue = match (self.snapshot_queue.is_empty(), hold_back) {
            (false, _) => &mut self.snapshot_queue,
            (true, false) => &mut self.queue,
            (true, true) => return None,
        };
        let batch = take_batch(queue)?;
        self.last_id.0 += 1;
        let stream = batch[0].stream.clone();
        let mut flight = InFlightAppend {
            id: self.last_id,
            sent: now,
            records: Vec::with_capacity(batch.len()),
        };
        let mut records = Vec::with_capacity(batch.len());
        for s in batch {
            self.unconfirmed.insert(s.nonce, (s.ticket, s.deadline));
            flight.records.push((s.ticket, s.nonce));
            records.push(ByteBuf::from(s.record));
        }
        self.in_flight = Some(flight);
        Some((self.last_id, AppendCall { stream, records }))
    }

    /// Handles the end of an append and returns the submissions that it settles.
    ///
    /// The end of an append that was already given up is ignored.
    pub fn handle_outcome(
        &mut self,
        id: AppendId,
        outcome: AppendOutcome,
    ) -> Vec<(Ticket, Settled)> {
        let Some(flight) = self.in_flight.take_if(|f| f.id == id) else {
            return Vec::new();
        };
        match outcome {
            AppendOutcome::Appended | AppendOutcome::Lost => Vec::new(),
            AppendOutcome::Refused => {
                let known = flight
                    .records
                    .into_iter()
                    .filter(|(_, nonce)| self.unconfirmed.remove(nonce).is_some());
                known.map(|(t, _)| (t, Settled::NotAppended)).collect()
            }
        }
    }

    /// Returns the submission that a record read back from the log settles, or `None` if this
    /// process did not submit the record.
    pub fn read_back(&mut self, nonce: Nonce) -> Option<Ticket> {
        self.unconfirmed.remove(&nonce).map(|(ticket, _)| ticket)
    }

    /// Gives up an append that takes too long, and settles the submissions whose deadline has
    /// passed.
    pub fn expire(&mut self, now: Time) -> Vec<(Ticket, Settled)> {
        self.in_flight
            .take_if(|f| now.since(f.sent) >= APPEND_TIMEOUT);
        let mut out = Vec::new();
        for queue in [&mut self.snapshot_queue, &mut self.queue] {
            queue.retain(|s| {
                let due = s.deadline <= now;
                if due {
                    out.push((s.ticket, Settled::NotAppended));
                }
                !due
            });
        }
        self.unconfirmed.retain(|_, (ticket, deadline)| {
            let due = *deadline <= now;
            if due {
                out.push((*ticket, Settled::Unknown));
            }
            !due
        });
        out
    }
}

/// Removes from the queue the records of the first record's stream, in order, up to the size of one
/// append.
fn take_batch(queue: &mut VecDeque<Submission>) -> Option<Vec<Submission>> {
    let stream = queue.front()?.stream.clone();
    let (mut batch, mut rest) = (Vec::new(), VecDeque::new());
    let mut bytes = 0;
    for s in queue.drain(..) {
        let fits = batch.len() < MAX_BATCH_RECORDS && bytes < BATCH_BYTES_LIMIT;
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
