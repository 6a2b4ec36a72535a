//! The task that carries one request from its arrival to its final answer.

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

/// Decisions that wait for a task at most; each request has one outstanding.
const DECISIONS: usize = 4;

/// Counts the answers that callers have not read to their end.
#[derive(Debug, Clone, Default)]
pub(crate) struct Unread(Arc<AtomicUsize>);

/// One answer that its caller has not read to its end.
#[derive(Debug)]
pub(crate) struct Reading(Unread);

impl Unread {
    /// Counts an answer until the returned value is dropped.
    pub(crate) fn start(&self) -> Reading {
        self.0.fetch_add(1, Ordering::SeqCst);
        Reading(self.clone())
    }

    /// Returns the number of such answers.
    pub(crate) fn count(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

impl Drop for Reading {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Tells the state machine how an attempt goes on, while its task is busy with it.
#[derive(Debug, Clone)]
pub(crate) struct Reporter {
    request: RequestId,
    events: Sender<Event>,
}

/// A request under way; dropping it before its end tells the state machine that the caller left.
#[derive(Debug)]
pub(crate) struct Driven {
    request: RequestId,
    events: Sender<Event>,
    decisions: async_channel::Receiver<Decision>,
    started: bool,
    ended: bool,
}

impl Reporter {
    /// Tells how many pieces an attempt has given; this may be lost when the ring is full.
    pub(crate) fn progress(&self, attempt: AttemptId, pieces: u64) {
        let input = Input::Progress(self.request.clone(), attempt, pieces);
        let _ = self.events.try_send(Event::Input(input));
    }

    /// Tells that a chunk was dropped, so that it is counted.
    pub(crate) fn dropped(&self, reason: DropReason) {
        let _ = self.events.try_send(Event::ChunkDropped(reason));
    }
}

impl Driven {
    /// Hands the request to the state machine; fails if that has stopped or is swamped.
    pub(crate) fn start(events: &Sender<Event>, arrival: Arrival) -> Result<Self, Code> {
        let (reply, decisions) = async_channel::bounded(DECISIONS);
        let request = arrival.request.clone();
        match events.try_send(Event::Arrive(arrival, reply)) {
            Err(TrySendError::Full(_)) => return Err(Code::Overload),
            Err(TrySendError::Disconnected(_)) => return Err(Code::Stopping),
            Ok(()) => {}
        }
        Ok(Self {
            request,
            events: events.clone(),
            decisions,
            started: false,
            ended: false,
        })
    }

    /// Returns the request's name.
    pub(crate) fn request(&self) -> &RequestId {
        &self.request
    }

    /// Returns what tells the state machine of an attempt's progress.
    pub(crate) fn reporter(&self) -> Reporter {
        Reporter {
            request: self.request.clone(),
            events: self.events.clone(),
        }
    }

    /// Waits for the next decision.
    ///
    /// A state machine that has stopped refuses; it surely did not run what was never dispatched.
    pub(crate) async fn next(&mut self) -> Decision {
        let decision = self.decisions.recv().await;
        let decision = decision.unwrap_or_else(|_| self.stopped());
        match decision {
            Decision::Dispatch { .. } => self.started = true,
            _ => self.ended = true,
        }
        decision
    }

    /// Runs an attempt until it ends or the request gets its final answer.
    pub(crate) async fn during<T>(
        &mut self,
        attempt: impl Future<Output = T>,
    ) -> Result<T, Decision> {
        let attempt = pin!(attempt);
        let next = pin!(self.next());
        match select(attempt, next).await {
            Either::Left((end, _)) => Ok(end),
            Either::Right((decision, _)) => Err(decision),
        }
    }

    /// Tells that an attempt failed.
    pub(crate) fn failed(&self, attempt: AttemptId, reason: FailReason) {
        self.tell(Input::Failed(self.request.clone(), attempt, reason));
    }

    /// Tells that an attempt gave the whole answer.
    pub(crate) fn finished(&mut self, attempt: AttemptId, answer: Option<Answer>) {
        self.ended = true;
        self.tell(Input::Finished(self.request.clone(), attempt, answer));
    }

    fn stopped(&self) -> Decision {
        let (code, ran) = if self.started {
            (Code::Broken, Ran::Unknown)
        } else {
            (Code::Stopping, Ran::No)
        };
        Decision::Refuse(Refusal {
            ran,
            ..Refusal::from(code)
        })
    }

    fn tell(&self, input: Input) {
        let _ = self.events.send(Event::Input(input));
    }
}

impl Drop for Driven {
    fn drop(&mut self) {
        if !self.ended {
            self.tell(Input::CallerLeft(self.request.clone()));
        }
    }
}
