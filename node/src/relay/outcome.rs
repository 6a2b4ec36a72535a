//! Outcomes of sends and of requests: logs, metrics and the final response.

use std::time::Duration;

use hemlock_lib::node::balance::Candidate;
use hemlock_lib::node::forecast::Estimate;
use hemlock_lib::node::passing::Runs;
use hemlock_wire::http1::Conn;

use super::exchange::{Exchange, Phase, Receiver};
use super::pass_on::{PEER_FAILED, PEER_SLOW};
use super::{Relay, SendOutcome, held};
use crate::front::{self, ConnectionAction};
use crate::metrics::{Counter, Latency};

/// Cause of a send that was cancelled since one that was held went on.
const OVERTAKEN: &str = "overtaken";

/// Returns whether a send that failed for `cause` left a connection on which the answer could still
/// have come.
fn is_given_up(cause: &str) -> bool {
    matches!(
        cause,
        "silent" | "stuck" | "peer_silent" | "peer_lost" | PEER_SLOW
    )
}

/// Returns what the outcome of a send says of the runs of the request.
fn runs_of(receiver: &Receiver, outcome: &SendOutcome) -> Runs {
    match (receiver, outcome) {
        (_, SendOutcome::NotRun(_) | SendOutcome::Refused(_)) => Runs::None,
        (
            Receiver::Endpoint(_),
            SendOutcome::Answered { .. }
            | SendOutcome::MayHaveRun(_)
            | SendOutcome::PeerLost(_)
            | SendOutcome::Silent(_)
            | SendOutcome::CallerLeft
            | SendOutcome::DeadlinePassed,
        ) => Runs::MayBeOne,
        (Receiver::Peer(_, runs), SendOutcome::MayHaveRun(PEER_FAILED)) => {
            Runs::FailedAfter(runs.max - runs.own)
        }
        (Receiver::Peer(_, runs), SendOutcome::Answered { .. } | SendOutcome::MayHaveRun(_)) => {
            Runs::Forwarded(runs.max)
        }
        (
            Receiver::Peer(_, runs),
            SendOutcome::PeerLost(_)
            | SendOutcome::Silent(_)
            | SendOutcome::CallerLeft
            | SendOutcome::DeadlinePassed,
        ) => Runs::UpTo(runs.max),
    }
}

impl Relay<'_> {
    /// Logs that the request is sent to an endpoint; `cause` is that of the failure of the last
    /// send.
    pub(super) fn log_send(&self, to: &Candidate, estimate: Estimate, cause: &str) {
        self.node.metrics.count(Counter::Placed, estimate.place());
        log::info!(
            "event=sent request={} service={} id={} attempt={} after={cause} prompt={} answer={} running={} \
             unread={} slowness={:.2} first_ms={} place={} delays_ms={} late_streams={} left_ms={} from={:?} config={} via=direct{}",
            self.request_id(),
            to.service,
            to.id,
            self.sends.tried.len() + 1,
            self.request.meta.prompt_tokens,
            self.request.meta.answer_tokens,
            estimate.running,
            estimate.pending_prompt_tokens,
            estimate.slowness,
            estimate.first_event.as_millis(),
            estimate.place(),
            estimate.cost.delay.as_millis(),
            estimate.cost.late_streams,
            self.request.deadline.since(self.node.now()).as_millis(),
            self.delivered.last_event,
            self.request.config.version,
            self.for_peer()
        );
    }

    /// Logs and counts a send that failed.
    pub(super) fn log_failed(&self, to: &Candidate, cause: &'static str, may_have_run: bool) {
        log::info!(
            "event=send_failed request={} id={} cause={cause} may_have_run={may_have_run} events={} \
             open={} quiet_ms={} left_ms={}",
            self.request_id(),
            to.id,
            self.delivered.events,
            is_given_up(cause),
            self.node.now().since(self.heard_at).as_millis(),
            self.left_ms()
        );
        self.node.metrics.count(Counter::SendsFailed, cause);
    }

    /// Records that a send to an endpoint did not run the request.
    pub(super) fn note_not_run(&mut self, to: &Candidate, reason: &'static str) {
        self.log_failed(to, reason, false);
        let mut balancer = self.node.balancer.borrow_mut();
        balancer.record_failure(self.node.now(), &to.id);
    }

    /// Records the outcome of a send that has ended.
    pub(super) fn settle(&mut self, receiver: &Receiver, outcome: &SendOutcome) {
        self.count_runs(runs_of(receiver, outcome));
        match receiver {
            Receiver::Endpoint(to) => match *outcome {
                SendOutcome::NotRun(reason) => self.note_not_run(to, reason),
                SendOutcome::MayHaveRun(reason) => {
                    self.log_failed(to, reason, true);
                    let mut balancer = self.node.balancer.borrow_mut();
                    balancer.record_failure(self.node.now(), &to.id);
                }
                _ => {}
            },
            Receiver::Peer(peer, _) => self.note_peer_outcome(peer, outcome),
        }
    }

    /// Counts the possible runs of the current send, once.
    fn count_runs(&mut self, runs: Runs) {
        if runs != Runs::None && !std::mem::replace(&mut self.is_counted, true) {
            self.sends.record(runs);
        }
    }

    /// Holds the current send, whose endpoint or peer is silent.
    pub(super) fn hold(&mut self, mut send: Box<Exchange>) {
        let now = self.node.now();
        let is_first = !send.is_counted;
        let receiver = send.receiver.clone();
        self.count_runs(runs_of(&receiver, &SendOutcome::Silent(send.held_for)));
        send.is_counted = true;
        send.moving_since = None;
        log::info!(
            "event=held request={} id={} cause={} events={} quiet_ms={} left_ms={}{}",
            self.request_id(),
            send.name(),
            send.held_for,
            self.delivered.events,
            now.since(send.heard_at).as_millis(),
            self.left_ms(),
            self.for_peer()
        );
        self.node.metrics.count(Counter::SendsHeld, send.held_for);
        match &receiver {
            Receiver::Endpoint(to) if is_first => {
                let mut balancer = self.node.balancer.borrow_mut();
                balancer.record_failure(now, &to.id);
            }
            Receiver::Endpoint(_) => {}
            Receiver::Peer(..) if send.held_for == PEER_SLOW => {}
            Receiver::Peer(peer, _) => {
                self.node.peer_loads.borrow_mut().avoid(now, &peer.node);
                self.node.peer_pool.drop_endpoint(&peer.node);
            }
        }
        self.held.push(*send);
    }

    /// Records that a send ended while it was held.
    pub(super) fn note_held_end(&mut self, mut send: Exchange) {
        let cause = send.ended_by.unwrap_or(send.held_for);
        held::log_end(self.node, self.request, &send, cause);
        self.leaving.append(&mut send.leaving);
        if let (Receiver::Peer(peer, _), Phase::Arrived(head)) = (&send.receiver, &send.phase) {
            self.read_report(head, peer);
        }
        self.failed_at = Some(self.node.now());
        self.failed_by = cause;
    }

    /// Records that the current send was cancelled, since one that was held goes on.
    pub(super) fn settle_cancelled(&mut self) {
        let Some(receiver) = self.open_send.take() else {
            return;
        };
        self.count_runs(runs_of(&receiver, &SendOutcome::Silent(OVERTAKEN)));
        match &receiver {
            Receiver::Endpoint(to) => self.log_failed(to, OVERTAKEN, true),
            Receiver::Peer(..) => self.node.metrics.count(Counter::PassedOn, OVERTAKEN),
        }
    }

    /// Logs and counts a send that goes on after it was held.
    pub(super) fn log_resumed(&self, send: &Exchange) {
        let now = self.node.now();
        log::info!(
            "event=resumed request={} id={} quiet_ms={} held={}{}",
            self.request_id(),
            send.name(),
            now.since(send.heard_at).as_millis(),
            self.held.len(),
            self.for_peer()
        );
        let counter = Counter::SendsResumed;
        self.node.metrics.count(counter, send.held_for);
    }

    /// Returns the figures of a request that ends without its answer, for the log.
    fn end_figures(&self) -> String {
        let in_force = self.node.config().map_or(0, |c| c.version);
        format!(
            " id={} after={} open={} left_ms={} config={} in_force={in_force}",
            self.endpoint_id(),
            self.failed_by,
            is_given_up(self.failed_by),
            self.left_ms(),
            self.request.config.version
        )
    }

    /// Returns the milliseconds until the deadline.
    fn left_ms(&self) -> u128 {
        self.request.deadline.since(self.node.now()).as_millis()
    }

    /// Counts a request that ends without its answer although the endpoint that had it last may still
    /// have been at work on it.
    fn count_given_up(&self, cause: &'static str) {
        if is_given_up(self.failed_by) && self.left_ms() > 0 {
            self.node.metrics.count(Counter::GivenUp, cause);
        }
    }

    /// Returns the time since the arrival of the request.
    pub(super) fn elapsed(&self) -> Duration {
        self.node.now().since(self.request.received)
    }

    /// Logs and counts a request whose response was forwarded.
    pub(super) fn answered(&self, status: u16, next: ConnectionAction) -> ConnectionAction {
        log::info!(
            "event=answered request={} id={} status={status} ms={} first_ms={:?} events={} pause_ms={} \
             attempts={} via={}{}",
            self.request_id(),
            self.endpoint_id(),
            self.elapsed().as_millis(),
            self.delivered.first_event_after.map(|t| t.as_millis()),
            self.delivered.events,
            self.delivered.longest_gap.as_millis(),
            self.sends.tried.len(),
            self.via(),
            self.for_peer()
        );
        if status < 300 {
            let mut quarantine = self.node.quarantine.borrow_mut();
            quarantine.record_success(self.node.now(), &self.request.suspects);
        }
        if self.request.passed.is_some() {
            self.node.metrics.count(Counter::TakenOver, "answered");
            return next;
        }
        self.node.metrics.count(
            Counter::Answered,
            if status < 300 { "success" } else { "failure" },
        );
        self.node
            .metrics
            .record(Latency::Whole, "answered", self.elapsed());
        next
    }

    /// Logs and counts a request whose caller disconnected.
    pub(super) fn caller_left(&self) -> ConnectionAction {
        log::info!(
            "event=left request={} id={} ms={} events={} attempts={} via={}{}",
            self.request_id(),
            self.endpoint_id(),
            self.elapsed().as_millis(),
            self.delivered.events,
            self.sends.tried.len(),
            self.via(),
            self.for_peer()
        );
        if self.request.passed.is_some() {
            self.node.metrics.count(Counter::TakenOver, "left");
            return ConnectionAction::Abort;
        }
        let was_sent = self.has_been_sent() || !self.peers_tried.is_empty();
        let kind = if was_sent { "caller" } else { "unsent" };
        self.node.metrics.count(Counter::Left, kind);
        self.node
            .metrics
            .record(Latency::Whole, "left", self.elapsed());
        ConnectionAction::Abort
    }

    /// Returns the identifier of the endpoint that has the request, or had it last.
    fn endpoint_id(&self) -> &str {
        self.endpoint.as_ref().map_or("", |(id, _)| id)
    }

    /// Ends a request that is not sent to any more endpoints. Refuses it with 503 if it did not
    /// run, fails it with 502 if it may have run, and cuts off a stream that has begun.
    pub(super) async fn give_up(
        &mut self,
        conn: &mut Conn,
        cause: &'static str,
        retry_after: Duration,
    ) -> ConnectionAction {
        if self.request.passed.is_some() {
            return self.hand_back(conn, cause, retry_after).await;
        }
        if self.delivered.head {
            log::info!(
                "event=broken_off request={} cause={cause} ms={} events={} attempts={}{}",
                self.request_id(),
                self.elapsed().as_millis(),
                self.delivered.events,
                self.sends.tried.len(),
                self.end_figures()
            );
            self.node.metrics.count(Counter::BrokenOff, cause);
            self.count_given_up(cause);
            return ConnectionAction::Abort;
        }
        // A resumable stream could be sent again, but this attempt of the caller may have run.
        if !self.sends.may_have_run() {
            self.note_pipelined(conn);
            return front::refuse(
                self.node,
                conn,
                self.request_id(),
                cause,
                retry_after,
                self.keep_alive,
            )
            .await;
        }
        self.fail(conn, 502, cause).await
    }

    /// Ends a request whose deadline has passed: with 504 if it may have run.
    pub(super) async fn deadline_passed(&mut self, conn: &mut Conn) -> ConnectionAction {
        let is_passed = self.request.passed.is_some();
        if is_passed || self.delivered.head || !self.sends.may_have_run() {
            return self.give_up(conn, "overdue", Duration::ZERO).await;
        }
        self.fail(conn, 504, "overdue").await
    }

    /// Answers a request that may have run with an error status.
    async fn fail(
        &mut self,
        conn: &mut Conn,
        status: u16,
        cause: &'static str,
    ) -> ConnectionAction {
        self.note_pipelined(conn);
        log::info!(
            "event=failed request={} status={status} cause={cause} ms={} attempts={}{}",
            self.request_id(),
            self.elapsed().as_millis(),
            self.sends.tried.len(),
            self.end_figures()
        );
        self.node.metrics.count(Counter::Failed, cause);
        self.count_given_up(cause);
        self.node
            .metrics
            .record(Latency::Whole, "failed", self.elapsed());
        front::respond(conn, status, self.request_id(), None, self.keep_alive).await
    }
}
