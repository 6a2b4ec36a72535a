//! The task that carries one request from its arrival to its final answer.

use crossbeam_channel::{Sender, TrySendError};
use hemlock_lib::codes::Code;
use hemlock_lib::gateway::{Arrival, FailReason, Input};
use hemlock_lib::ids::{AttemptId, RequestId};
use hemlock_lib::stream::DropReason;

use crate::mind::{Decision, Event};

/// Decisions that wait for a task at most; each request has one outstanding.
const DECISIONS: usize = 4;

/// A request under way; dropping it before its end tells the state machine that the caller left.
#[derive(Debug)]
pub(crate) struct Driven {
    request: RequestId,
    events: Sender<Event>,
    decisions: async_channel::Receiver<Decision>,
    ended: bool,
}

impl Driven {
    /// Hands the request to the state machine; refuses if that has stopped or is swamped.
    pub(crate) fn start(events: &Sender<Event>, arrival: Arrival) -> Result<Self, Code> {
        let (reply, decisions) = async_channel::bounded(DECISIONS);
        let request = arrival.request.clone();
        events
            .try_send(Event::Arrive(arrival, reply))
            .map_err(|e| match e {
                TrySendError::Full(_) => Code::Overload,
                TrySendError::Disconnected(_) => Code::Stopping,
            })?;
        Ok(Self {
            request,
            events: events.clone(),
            decisions,
            ended: false,
        })
    }

    /// Returns the request's name.
    pub(crate) fn request(&self) -> &RequestId {
        &self.request
    }

    /// Waits for the next decision; `None` when the state machine has stopped.
    pub(crate) async fn next(&mut self) -> Option<Decision> {
        let decision = self.decisions.recv().await.ok();
        let last = !matches!(decision, Some(Decision::Dispatch { .. }));
        self.ended |= last;
        decision
    }

    /// Tells how many pieces an attempt has given; this may be lost when the ring is full.
    pub(crate) fn progress(&self, attempt: AttemptId, pieces: u64) {
        let input = Input::Progress(self.request.clone(), attempt, pieces);
        let _ = self.events.try_send(Event::Input(input));
    }

    /// Tells that an attempt failed.
    pub(crate) fn failed(&self, attempt: AttemptId, reason: FailReason) {
        self.tell(Input::Failed(self.request.clone(), attempt, reason));
    }

    /// Tells that an attempt gave the whole answer.
    pub(crate) fn finished(
        &mut self,
        attempt: AttemptId,
        answer: Option<hemlock_lib::claims::Answer>,
    ) {
        self.ended = true;
        self.tell(Input::Finished(self.request.clone(), attempt, answer));
    }

    /// Tells that a chunk was dropped, so that it is counted.
    pub(crate) fn dropped(&self, reason: DropReason) {
        let _ = self.events.try_send(Event::Dropped(reason));
    }

    fn tell(&self, input: Input) {
        let _ = self.events.send(Event::Input(input));
    }
}

impl Drop for Driven {
    fn drop(&mut self) {
        if !self.ended {
            self.tell(Input::Left(self.request.clone()));
        }
    }
}
