//! Stub of the platform's append-only log.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hemlock_lib::codec;
use hemlock_lib::ids::{Offset, StreamId};
use hemlock_lib::platform::{AppendCall, AppendReply, ReadCall, ReadReply, StreamPart};
use hemlock_wire::notify::{self, Notifier};
use ntex::util::Bytes;
use ntex::web::HttpResponse;
use serde_bytes::ByteBuf;

/// How the log fails calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFault {
    /// Every call is answered.
    #[default]
    None,
    /// Every append and read is refused with status 503.
    Unavailable,
    /// Records are appended, but the call fails with status 504.
    ReplyLost,
}

#[derive(Debug, Default)]
struct Stream {
    kept: u64,
    records: Vec<ByteBuf>,
}

impl Stream {
    fn end(&self) -> u64 {
        self.kept + self.records.len() as u64
    }
}

#[derive(Debug, Default)]
struct Inner {
    streams: BTreeMap<StreamId, Stream>,
    fault: LogFault,
    append_count: u64,
}

/// State of the log stub, shared by its HTTP handlers and the test.
#[derive(Debug, Clone, Default)]
pub struct Log {
    inner: Arc<Mutex<Inner>>,
    changed: Arc<Notifier>,
}

impl Log {
    /// Sets how the log fails calls from now on.
    pub fn set_fault(&self, fault: LogFault) {
        self.lock().fault = fault;
        self.changed.notify();
    }

    /// Returns the number of append calls that were carried out.
    pub fn append_count(&self) -> u64 {
        self.lock().append_count
    }

    /// Drops the records of a stream before the offset `kept`.
    pub fn trim(&self, stream: &StreamId, kept: Offset) {
        let mut inner = self.lock();
        let stream = inner.streams.entry(stream.clone()).or_default();
        let drop = kept
            .0
            .saturating_sub(stream.kept)
            .min(stream.records.len() as u64);
        stream.records.drain(..drop as usize);
        stream.kept += drop;
    }

    /// Returns the records of a stream that were not trimmed, with their offsets.
    pub fn records(&self, stream: &StreamId) -> Vec<(Offset, Vec<u8>)> {
        let inner = self.lock();
        let Some(stream) = inner.streams.get(stream) else {
            return Vec::new();
        };
        let numbered = stream.records.iter().zip(stream.kept..);
        numbered
            .map(|(record, offset)| (Offset(offset), record.to_vec()))
            .collect()
    }

    /// Appends records to a stream and returns the offset of the first one.
    pub fn append(&self, call: &AppendCall) -> AppendReply {
        let mut inner = self.lock();
        inner.append_count += 1;
        let stream = inner.streams.entry(call.stream.clone()).or_default();
        let first = Offset(stream.end());
        stream.records.extend(call.records.iter().cloned());
        drop(inner);
        self.changed.notify();
        AppendReply { first }
    }

    pub(crate) async fn serve_append(&self, body: &Bytes) -> HttpResponse {
        let fault = self.lock().fault;
        if fault == LogFault::Unavailable {
            return HttpResponse::ServiceUnavailable().finish();
        }
        let Ok(call) = codec::decode::<AppendCall>(body) else {
            return HttpResponse::BadRequest().finish();
        };
        let reply = self.append(&call);
        if fault == LogFault::ReplyLost {
            return HttpResponse::GatewayTimeout().finish();
        }
        HttpResponse::Ok().body(codec::encode(&reply))
    }

    pub(crate) async fn serve_read(&self, body: &Bytes) -> HttpResponse {
        let Ok(call) = codec::decode::<ReadCall>(body) else {
            return HttpResponse::BadRequest().finish();
        };
        let changed = self.changed.next_change();
        let mut reply = self.read(&call);
        let empty = |r: &ReadReply| r.parts.iter().all(|p| p.records.is_empty());
        if reply.as_ref().is_some_and(empty) {
            notify::wait(changed, Duration::from_millis(call.wait_ms)).await;
            reply = self.read(&call);
        }
        match reply {
            Some(reply) => HttpResponse::Ok().body(codec::encode(&reply)),
            None => HttpResponse::ServiceUnavailable().finish(),
        }
    }

    fn read(&self, call: &ReadCall) -> Option<ReadReply> {
        let inner = self.lock();
        if inner.fault == LogFault::Unavailable {
            return None;
        }
        let none = Stream::default();
        let part = |(id, from): &(StreamId, Offset)| {
            let stream = inner.streams.get(id).unwrap_or(&none);
            let first = from.0.max(stream.kept);
            let skip = (first - stream.kept) as usize;
            let records = stream.records.iter().skip(skip).take(call.limit as usize);
            StreamPart {
                stream: id.clone(),
                kept: Offset(stream.kept),
                end: Offset(stream.end()),
                records: (first..).map(Offset).zip(records.cloned()).collect(),
            }
        };
        Some(ReadReply {
            parts: call.wants.iter().map(part).collect(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
