//! The race between the next step with a request and its sends that are held.

use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::holding::{self, Standing};
use hemlock_lib::node::reach::PathState;
use hemlock_lib::time::Time;
use hemlock_wire::http1::Conn;

use super::exchange::Exchange;
use super::held::{self, HeldEvent};
use super::{Relay, SendOutcome};

/// How a step with a request ended.
#[derive(Debug)]
pub(super) enum StepEnd {
    /// A send had this outcome.
    Outcome(SendOutcome),
    /// Nobody takes the request, for this cause; the caller may retry after this time.
    NoPlace(&'static str, Duration),
    /// The deadline passed, and nothing is being sent.
    Overdue,
    /// Another step follows.
    Again,
}

/// How a race between a step and the sends that are held ended.
pub(super) enum Raced {
    /// The step ended.
    Step(StepEnd),
    /// The step was cancelled, since this send goes on.
    Resume(Box<Exchange>),
}

impl Relay<'_> {
    /// Does the next step with the request, or goes on with a send that was held, unless a send that
    /// is held goes on first.
    pub(super) async fn race(
        &mut self,
        caller: &mut Conn,
        service: &Arc<str>,
        resumed: Option<Box<Exchange>>,
    ) -> Raced {
        let (node, request, signals) = (self.node, self.request, self.signals.clone());
        signals.is_committed.set(false);
        signals.is_listening.set(false);
        self.held_count = self.held.len();
        let mut held = std::mem::take(&mut self.held);
        let event = {
            let mut step = std::pin::pin!(self.step(caller, service, resumed));
            let event = tokio::select! {
                biased;
                end = &mut step => Ok(end),
                event = held::watch(node, request, &mut held, &signals) => Err(event),
            };
            match event {
                // A write to the caller may be under way, so that the step must not be cancelled.
                Err(HeldEvent::Committed) => {
                    held::drop_all(node, request, &mut held);
                    Ok(step.await)
                }
                event => event,
            }
        };
        if signals.is_committed.get() {
            held::drop_all(node, request, &mut held);
        }
        let resumed = match event {
            Err(HeldEvent::GoesOn(index)) => Some(Box::new(held.remove(index))),
            Ok(_) | Err(HeldEvent::Ended | HeldEvent::Committed) => None,
        };
        held.append(&mut self.held);
        for send in held.extract_if(.., |h| h.ended_by.is_some()) {
            self.note_held_end(send);
        }
        self.held = held;
        self.held_count = self.held.len();
        match (event, resumed) {
            (Ok(end), _) => Raced::Step(end),
            (Err(_), Some(send)) => {
                self.settle_cancelled();
                self.log_resumed(&send);
                Raced::Resume(send)
            }
            (Err(_), None) => Raced::Step(StepEnd::Again),
        }
    }

    /// Leaves the request to the sends that are held for a while.
    pub(super) async fn listen(&self, caller: &mut Conn) -> StepEnd {
        self.signals.is_listening.set(true);
        let begun = self.node.now();
        loop {
            let now = self.node.now();
            let time_left = self.request.deadline.since(now);
            if time_left.is_zero() {
                return StepEnd::Overdue;
            }
            let wait_left = holding::RETRY_INTERVAL.saturating_sub(now.since(begun));
            if wait_left.is_zero() {
                return StepEnd::Again;
            }
            tokio::select! {
                disconnected = self.caller_disconnected(caller) => {
                    if disconnected { return StepEnd::Outcome(SendOutcome::CallerLeft) }
                }
                () = tokio::time::sleep(wait_left.min(time_left)) => {}
            }
        }
    }

    /// Returns what decides whether the request may be sent again.
    pub(super) fn standing(&self, now: Time) -> Standing {
        let is_for_peer = self.request.passed.is_some();
        Standing {
            held: self.held_count,
            is_cut_peer: is_for_peer && self.node.path_state(now) == PathState::Cut,
            has_failed: self.failed_at.is_some(),
            may_retry: self.request.route.request_kind.may_retry(),
            possible_runs: self.sends.possible_runs,
            max_attempts: self.max_attempts(),
        }
    }
}
