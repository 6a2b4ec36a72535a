//! Handle of one open request, through which its task exchanges events and decisions with the event
//! loop.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crossbeam_channel::{Sender, TrySendError};
use futures_util::future::{Either, select};
use hemlock_lib::claims::Answer;
use hemlock_lib::codes::{Code, Ran};
use hemlock_lib::gateway::{Arrival, FailReason, Input};
use hemlock_lib::ids::{AttemptId, RequestId};
use hemlock_lib::stream::DropReason;

use crate::body::Refusal;
use crate::event_loop::{Decision, Event};

/// Maximum number of decisions queued for one request. Only one is outstanding at a time.
const DECISION_QUEUE_LIMIT: usize = 4;

/// Counters of the requests whose response has not been returned or, if it is streamed, not been
/// read to its end; shared by all clones.
#[derive(Debug, Clone, Default)]
pub(crate) struct PendingResponses(Arc<PendingCounts>);

#[derive(Debug, Default)]
struct PendingCounts {
    requests: AtomicUsize,
    /// Requests among them whose body has not been read in full.
    unread_bodies: AtomicUsize,
}

/// Counts one request until it is dropped.
#[derive(Debug)]
pub(crate) struct PendingResponseGuard {
    counts: Arc<PendingCounts>,
    is_body_unread: bool,
}

impl PendingResponses {
    /// Counts a request, whose body is unread, until the returned guard is dropped.
    pub(crate) fn track(&self) -> PendingResponseGuard {
        self.0.requests.fetch_add(1, Ordering::SeqCst);
        self.0.unread_bodies.fetch_add(1, Ordering::SeqCst);
        PendingResponseGuard {
            counts: self.0.clone(),
            is_body_unread: true,
        }
    }

    /// Returns the number of requests that are counted now.
    pub(crate) fn count(&self) -> usize {
        self.0.requests.load(Ordering::SeqCst)
    }

    /// Returns the number of requests whose body has not been read in full.
    pub(crate) fn count_unread_bodies(&self) -> usize {
        self.0.unread_bodies.load(Ordering::SeqCst)
    }
}

impl PendingResponseGuard {
    /// Records that the body of the request was read.
    pub(crate) fn note_body_read(&mut self) {
        if std::mem::take(&mut self.is_body_unread) {
            self.counts.unread_bodies.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

impl Drop for PendingResponseGuard {
    fn drop(&mut self) {
        self.note_body_read();
        self.counts.requests.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Reports the progress of a request's attempts while its [`RequestHandle`] is borrowed.
#[derive(Debug, Clone)]
pub(crate) struct AttemptReporter {
    id: RequestId,
    events: Sender<Event>,
}

/// An open request. Dropping it before the final decision or answer reports that the caller left.
#[derive(Debug)]
pub(crate) struct RequestHandle {
    id: RequestId,
    events: Sender<Event>,
    decisions: async_channel::Receiver<Decision>,
    dispatched: bool,
    ended: bool,
}

impl AttemptReporter {
    /// Reports how many chunks an attempt has delivered. The report is dropped if the event queue
    /// is full.
    pub(crate) fn report_progress(&self, attempt: AttemptId, chunks: u64) {
        let input = Input::Progress(self.id.clone(), attempt, chunks);
        let _ = self.events.try_send(Event::Input(input));
    }

    /// Reports a dropped chunk, to be counted. The report is dropped if the event queue is full.
    pub(crate) fn report_dropped(&self, reason: DropReason) {
        let _ = self.events.try_send(Event::ChunkDropped(reason));
    }
}

impl RequestHandle {
    /// Passes a request to the event loop.
    ///
    /// Fails with [`Code::Overload`] if the event queue is full, and with [`Code::Stopping`] if the
    /// event loop has ended.
    pub(crate) fn start(events: &Sender<Event>, arrival: Arrival) -> Result<Self, Code> {
        let (reply, decisions) = async_channel::bounded(DECISION_QUEUE_LIMIT);
        let id = arrival.request.clone();
        match events.try_send(Event::Arrive(arrival, reply)) {
            Err(TrySendError::Full(_)) => return Err(Code::Overload),
            Err(TrySendError::Disconnected(_)) => return Err(Code::Stopping),
            Ok(()) => {}
        }
        Ok(Self {
            id,
            events: events.clone(),
            decisions,
            dispatched: false,
            ended: false,
        })
    }

    /// Returns the ID of the request.
    pub(crate) fn request_id(&self) -> &RequestId {
        &self.id
    }

    /// Returns a reporter for the attempts of this request.
    pub(crate) fn reporter(&self) -> AttemptReporter {
        AttemptReporter {
            id: self.id.clone(),
            events: self.events.clone(),
        }
    }

    /// Waits for the next decision.
    ///
    /// Returns a refusal if the event loop has ended. Only a request that was never dispatched is
    /// then certain not to have run.
    pub(crate) async fn next_decision(&mut self) -> Decision {
        let decision = self.decisions.recv().await;
        let decision = decision.unwrap_or_else(|_| self.stopped_decision());
        match decision {
            Decision::Dispatch { .. } => self.dispatched = true,
            _ => self.ended = true,
        }
        decision
    }

    /// Runs an attempt until it ends; returns the next decision as an error if that comes first.
    pub(crate) async fn run_attempt<T>(
        &mut self,
        attempt: impl Future<Output = T>,
    ) -> Result<T, Decision> {
        let attempt = pin!(attempt);
        let next = pin!(self.next_decision());
        match select(attempt, next).await {
            Either::Left((outcome, _)) => Ok(outcome),
            Either::Right((decision, _)) => Err(decision),
        }
    }

    /// Reports that an attempt failed.
    pub(crate) fn report_failed(&self, attempt: AttemptId, reason: FailReason) {
        self.send(Input::Failed(self.id.clone(), attempt, reason));
    }

    /// Reports that an attempt delivered the whole answer; `answer` is set if it is to be kept for
    /// an idempotency key.
    pub(crate) fn report_finished(&mut self, attempt: AttemptId, answer: Option<Answer>) {
        self.ended = true;
        self.send(Input::Finished(self.id.clone(), attempt, answer));
    }

    fn stopped_decision(&self) -> Decision {
        let (code, ran) = if self.dispatched {
            (Code::Broken, Ran::Unknown)
        } else {
            (Code::Stopping, Ran::No)
        };
        Decision::Refuse(Refusal {
            ran,
            ..Refusal::from(code)
        })
    }

    fn send(&self, input: Input) {
        let _ = self.events.send(Event::Input(input));
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        if !self.ended {
            self.send(Input::CallerLeft(self.id.clone()));
        }
    }
}
