//! What the behaviour of an endpoint says about it: silence, broken connections, and requests to be
//! left alone.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use hemlock_lib::node::balance::{Candidate, SILENCE_TIMEOUT};
use hemlock_lib::node::config::RequestKind;
use hemlock_lib::node::quarantine::EndpointRun;
use hemlock_lib::node::reach::PathFailure;
use hemlock_lib::time::Time;
use hemlock_wire::http1::HttpError;

use super::exchange::{Exchange, Receiver};
use super::pass_on::PEER_BROKE_OFF;
use super::{
    FIRST_EVENT_SLACK, MAX_EXTENSIONS, MIN_BEGUN_EVENTS, Relay, SendOutcome, SilenceTimer,
};
use crate::front::Request;
use crate::metrics::Counter;
use crate::state::Node;

impl Relay<'_> {
    /// Returns for how long the endpoint may send nothing before another one is tried.
    pub(super) fn silence_timeout(&self, awaits_first_event: bool) -> Duration {
        let route = &self.request.route;
        match (route.request_kind, awaits_first_event) {
            (RequestKind::Idempotent, _) => route.timeout / 2,
            (_, true) => {
                let expected = self
                    .current_estimate
                    .map(|(e, _)| e.first_event.mul_f64(FIRST_EVENT_SLACK));
                (route.latency_goal * 2)
                    .max(SILENCE_TIMEOUT)
                    .max(expected.unwrap_or_default())
            }
            (_, false) => (route.event_gap_goal * 3 / 2).max(SILENCE_TIMEOUT),
        }
    }

    /// Returns the time until the silence of the endpoint must be checked.
    pub(super) fn silence_wait(
        &self,
        now: Time,
        since: Time,
        awaits_first_event: bool,
    ) -> Duration {
        if !self.may_switch_endpoint() {
            return Duration::from_secs(60);
        }
        let timeout = self.silence_timeout(awaits_first_event);
        timeout
            .saturating_sub(now.since(since))
            .max(Duration::from_millis(1))
    }

    /// Returns the cause for which to hold a send to an endpoint that has sent nothing for this request,
    /// if the timeout has passed. An endpoint that answers other requests meanwhile is only slow,
    /// and gets up to [`MAX_EXTENSIONS`] extensions.
    pub(super) fn check_silence(
        &self,
        now: Time,
        silence: &mut SilenceTimer,
        to: &Candidate,
        awaits_first_event: bool,
    ) -> Option<&'static str> {
        if !self.may_switch_endpoint()
            || now.since(silence.since) < self.silence_timeout(awaits_first_event)
        {
            return None;
        }
        if self.request.route.request_kind == RequestKind::Idempotent {
            return Some("silent");
        }
        let mut balancer = self.node.balancer.borrow_mut();
        let progress = balancer.last_progress(&to.id).unwrap_or_default();
        if now.since(progress) < SILENCE_TIMEOUT {
            if silence.extensions >= MAX_EXTENSIONS {
                return Some("stuck");
            }
            silence.since = now;
            silence.extensions += 1;
            return None;
        }
        // If no other endpoint was heard since, the silence may be this VM's.
        let is_marked = self.node.reach.borrow().may_judge(now, progress);
        if is_marked {
            balancer.mark_silent(now, &to.id);
        }
        log::warn!(
            "event=silent id={} request={} progress_age_ms={} marked={is_marked}",
            to.id,
            self.request_id(),
            now.since(progress).as_millis()
        );
        self.node.metrics.count(Counter::Silent, "endpoint");
        self.node.send_now.notify_one();
        self.node.endpoints_changed.notify_one();
        Some("silent")
    }
}

impl Exchange {
    /// Records that a connection broke while the request was open on it.
    pub(super) fn connection_broken(
        &mut self,
        node: &Rc<Node>,
        request: &Request,
        error: &HttpError,
    ) -> SendOutcome {
        if let Receiver::Peer(..) = self.receiver {
            let cause = match error {
                HttpError::Broken(e) if e.kind() == ErrorKind::UnexpectedEof => PEER_BROKE_OFF,
                _ => "peer_broken",
            };
            return SendOutcome::PeerLost(cause);
        }
        self.record_crash(node, request, error);
        match error {
            HttpError::Malformed(_) | HttpError::HeadTooLarge => {
                SendOutcome::MayHaveRun("malformed")
            }
            HttpError::Closed | HttpError::Broken(_) => {
                self.note_broken(node, request);
                // If the path is lost, idle connections have broken at the same time.
                for id in node.pool.remove_closed(node.now()) {
                    node.note_path_failure(&id, PathFailure::Broken);
                }
                SendOutcome::MayHaveRun("broken")
            }
        }
    }

    /// Records that the connection to an endpoint broke. A new one that has brought nothing counts as
    /// not established, since a middlebox may open connections and then reset them.
    pub(super) fn note_broken(&mut self, node: &Rc<Node>, request: &Request) {
        let Receiver::Endpoint(to) = &self.receiver else {
            return;
        };
        node.note_path_failure(&to.id, PathFailure::Broken);
        if let Some(is_broken) = self.new_conn.take() {
            is_broken.set(true);
            node.note_path_failure(&to.id, PathFailure::Connect);
            if to.model.is_some() {
                note_break(node, request, to);
            }
        }
    }

    /// Records in the quarantine that an endpoint has broken off its answer. Peers are told once it is
    /// clear that this VM has not lost its path.
    ///
    /// A connection that was open while this VM was cut off says nothing about its endpoint.
    pub(super) fn record_crash(
        &self,
        node: &Rc<Node>,
        request: &Request,
        cause: &dyn std::fmt::Display,
    ) {
        let Receiver::Endpoint(to) = &self.receiver else {
            return;
        };
        let now = node.now();
        let request_id = &request.meta.request_id;
        let sent_at = self.estimate.map_or(now, |(_, sent)| sent);
        if node.reach.borrow().was_cut_since(sent_at) {
            log::info!(
                "event=broken_by_cut request={request_id} id={} cause=\"{cause}\"",
                to.id
            );
            return;
        }
        let count = node.quarantine.borrow_mut().record_crash(
            now,
            &request.suspects,
            EndpointRun::new(&to.id, to.incarnation.0),
            self.of_endpoint >= MIN_BEGUN_EVENTS,
        );
        if count > 1 {
            log::warn!(
                "event=breaks request={request_id} id={} endpoints={count}",
                to.id
            );
        }
        let parts = &request.meta.shared_parts;
        let parts: Vec<String> = parts.iter().map(|p| format!("{p:x}")).collect();
        log::info!(
            "event=crash request={request_id} id={} events={} parts={} cause=\"{cause}\"",
            to.id,
            self.events_before + self.of_endpoint,
            parts.join(",")
        );
    }
}

/// Records that a group broke off a request before it sent a byte.
fn note_break(node: &Rc<Node>, request: &Request, to: &Candidate) {
    let now = node.now();
    // If no endpoint was heard lately, it may be this VM that is cut off.
    if !node.reach.borrow().hears_others(now) {
        return;
    }
    let mut balancer = node.balancer.borrow_mut();
    let (started_ms, _) = to.incarnation;
    if balancer.breaks_mut().record_break(now, &to.id, started_ms) {
        log::warn!(
            "event=breaks_all id={} request={}",
            to.id,
            request.meta.request_id
        );
        node.metrics.count(Counter::BreaksAll, "group");
        node.send_now.notify_one();
    }
}
