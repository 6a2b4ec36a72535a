//! What the behaviour of an endpoint says about it: silence, broken connections, and requests to be
//! left alone.

use std::io::ErrorKind;
use std::time::Duration;

use hemlock_lib::node::balance::{Candidate, SILENCE_TIMEOUT};
use hemlock_lib::node::config::RequestKind;
use hemlock_lib::node::quarantine::EndpointRun;
use hemlock_lib::node::reach::PathFailure;
use hemlock_lib::time::Time;
use hemlock_wire::http1::HttpError;

use super::pass_on::PEER_BROKE_OFF;
use super::{
    FIRST_EVENT_SLACK, MAX_EXTENSIONS, MIN_BEGUN_EVENTS, Relay, SendOutcome, SilenceTimer, Upstream,
};
use crate::metrics::Counter;

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

    /// Returns the cause for which to give up an endpoint that has sent nothing for this request,
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

    /// Records that a connection broke while the request was open on it.
    pub(super) fn connection_broken(
        &mut self,
        upstream: Upstream<'_>,
        error: &HttpError,
    ) -> SendOutcome {
        let Upstream::Endpoint(to) = upstream else {
            let cause = match error {
                HttpError::Broken(e) if e.kind() == ErrorKind::UnexpectedEof => PEER_BROKE_OFF,
                _ => "peer_broken",
            };
            return SendOutcome::PeerLost(cause);
        };
        self.record_crash(to, error);
        match error {
            HttpError::Malformed(_) | HttpError::HeadTooLarge => {
                SendOutcome::MayHaveRun("malformed")
            }
            HttpError::Closed | HttpError::Broken(_) => {
                self.note_broken(to);
                // If the path is lost, idle connections have broken at the same time.
                for id in self.node.pool.remove_closed(self.node.now()) {
                    self.node.note_path_failure(&id, PathFailure::Broken);
                }
                SendOutcome::MayHaveRun("broken")
            }
        }
    }

    /// Records that the connection to an endpoint broke. A new one that has brought nothing counts as
    /// not established, since a middlebox may open connections and then reset them.
    pub(super) fn note_broken(&mut self, to: &Candidate) {
        self.node.note_path_failure(&to.id, PathFailure::Broken);
        if let Some(is_broken) = self.new_conn.take() {
            is_broken.set(true);
            self.node.note_path_failure(&to.id, PathFailure::Connect);
            if to.model.is_some() {
                self.note_break(to);
            }
        }
    }

    /// Records that a group broke off a request before it sent a byte.
    fn note_break(&self, to: &Candidate) {
        let now = self.node.now();
        // If no endpoint was heard lately, it may be this VM that is cut off.
        if !self.node.reach.borrow().hears_others(now) {
            return;
        }
        let mut balancer = self.node.balancer.borrow_mut();
        let (started_ms, _) = to.incarnation;
        if balancer.breaks_mut().record_break(now, &to.id, started_ms) {
            log::warn!(
                "event=breaks_all id={} request={}",
                to.id,
                self.request_id()
            );
            self.node.metrics.count(Counter::BreaksAll, "group");
            self.node.send_now.notify_one();
        }
    }

    /// Records in the quarantine that an endpoint has broken off its answer. Peers are told once it is
    /// clear that this VM has not lost its path.
    ///
    /// A connection that was open while this VM was cut off says nothing about its endpoint.
    pub(super) fn record_crash(&self, to: &Candidate, cause: &dyn std::fmt::Display) {
        let now = self.node.now();
        let sent_at = self.current_estimate.map_or(now, |(_, sent)| sent);
        if self.node.reach.borrow().was_cut_since(sent_at) {
            log::info!(
                "event=broken_by_cut request={} id={} cause=\"{cause}\"",
                self.request_id(),
                to.id
            );
            return;
        }
        let count = self.node.quarantine.borrow_mut().record_crash(
            now,
            &self.request.suspects,
            EndpointRun::new(&to.id, to.incarnation.0),
            self.delivered.of_endpoint >= MIN_BEGUN_EVENTS,
        );
        if count > 1 {
            log::warn!(
                "event=breaks request={} id={} endpoints={count}",
                self.request_id(),
                to.id
            );
        }
        let parts = &self.request.meta.shared_parts;
        let parts: Vec<String> = parts.iter().map(|p| format!("{p:x}")).collect();
        log::info!(
            "event=crash request={} id={} events={} parts={} cause=\"{cause}\"",
            self.request_id(),
            to.id,
            self.delivered.events,
            parts.join(",")
        );
    }

    /// Sends nothing to an endpoint for the time that it asked for.
    pub(super) fn hold_off(&self, to: &Candidate, time: Duration) {
        let now = self.node.now();
        log::info!(
            "event=held_off id={} request={} ms={}",
            to.id,
            self.request_id(),
            time.as_millis()
        );
        let mut balancer = self.node.balancer.borrow_mut();
        balancer.hold_off(now, to, time);
    }
}
