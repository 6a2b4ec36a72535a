//! Submitted records on their way to the log: grouped, and settled by reading them back.
//!
//! One append is in flight at a time; what is submitted meanwhile goes with the next one. A record
//! whose reply is lost is never appended again: its nonce is awaited among the records read, and if
//! it doesn't appear before its deadline the outcome is unknown.

use std::collections::{BTreeMap, VecDeque};

use serde_bytes::ByteBuf;

use crate::ids::{Nonce, StreamId};
use crate::peers::Settled;
use crate::platform::AppendCall;
use crate::time::Time;

/// Records that one append carries at most.
const BATCH_RECORDS: usize = 256;

/// Names a submission within one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Says how an append ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendEnd {
    /// The log took the records.
    Taken,
    /// The log surely did not take them.
    Refused,
    /// The reply is lost.
    Lost,
}

#[derive(Debug)]
struct Submission {
    ticket: Ticket,
    nonce: Nonce,
    stream: StreamId,
    record: Vec<u8>,
    deadline: Time,
}

/// Records on their way to the log.
#[derive(Debug, Default)]
pub struct Appender {
    queue: VecDeque<Submission>,
    flight: Vec<Submission>,
    waiting: BTreeMap<Nonce, (Ticket, Time)>,
}

impl Appender {
    /// Queues a record.
    pub fn submit(
        &mut self,
        ticket: Ticket,
        nonce: Nonce,
        stream: StreamId,
        record: Vec<u8>,
        deadline: Time,
    ) {
        self.queue.push_back(Submission {
            ticket,
            nonce,
            stream,
            record,
            deadline,
        });
    }

    /// Returns the next append, unless one is in flight or nothing is queued.
    pub fn flush(&mut self) -> Option<AppendCall> {
        if !self.flight.is_empty() {
            return None;
        }
        let stream = self.queue.front()?.stream.clone();
        let mut rest = VecDeque::new();
        while let Some(s) = self.queue.pop_front() {
            if s.stream == stream && self.flight.len() < BATCH_RECORDS {
                self.flight.push(s);
            } else {
                rest.push_back(s);
            }
        }
        self.queue = rest;
        for s in &self.flight {
            self.waiting.insert(s.nonce, (s.ticket, s.deadline));
        }
        let records = self
            .flight
            .iter()
            .map(|s| ByteBuf::from(s.record.clone()))
            .collect();
        Some(AppendCall { stream, records })
    }

    /// Takes the end of the append in flight; returns the submissions that it settles.
    pub fn ended(&mut self, end: AppendEnd) -> Vec<(Ticket, Settled)> {
        let flight = std::mem::take(&mut self.flight);
        match end {
            AppendEnd::Taken | AppendEnd::Lost => Vec::new(),
            AppendEnd::Refused => {
                let known = flight
                    .iter()
                    .filter(|s| self.waiting.remove(&s.nonce).is_some());
                known.map(|s| (s.ticket, Settled::NotAppended)).collect()
            }
        }
    }

    /// Returns the submission that a record read back from the log settles, if it is ours.
    pub fn read_back(&mut self, nonce: Nonce) -> Option<Ticket> {
        self.waiting.remove(&nonce).map(|(ticket, _)| ticket)
    }

    /// Returns the submissions whose deadline has passed.
    pub fn expire(&mut self, now: Time) -> Vec<(Ticket, Settled)> {
        let mut out = Vec::new();
        self.queue.retain(|s| {
            let due = s.deadline <= now;
            if due {
                out.push((s.ticket, Settled::NotAppended));
            }
            !due
        });
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
