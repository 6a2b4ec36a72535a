//! The part of relaying that differs for requests that a peer passed on: limits that hold across both
//! VMs, signs that this VM is at work, and reports on what was sent.

use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::passing::{self, Origin, PeerReport};
use hemlock_lib::time::Time;
use hemlock_wire::http1::{self, Conn};
use rand::Rng;

use super::{MAX_PIPELINED_BYTES, Relay};
use crate::front::ConnectionAction;
use crate::metrics::Counter;
use crate::peer_requests;

impl Relay<'_> {
    /// Returns the service for the request: the one that a peer chose, if the route still leads there,
    /// and otherwise one by the weights of the route.
    pub(super) fn choose_service(&self) -> Option<Arc<str>> {
        let route = &self.request.route;
        if let Some(passed) = &self.request.passed
            && let Some((service, _)) = route.services.iter().find(|s| s.0 == passed.service)
        {
            return Some(service.clone());
        }
        let draw = rand::rng().random_range(0.0..1.0);
        route.service(draw).cloned()
    }

    /// Returns the number of sends with which the request may run.
    pub(super) fn max_attempts(&self) -> u32 {
        let own_limit = self.request.route.max_attempts;
        let passed = self.request.passed.as_ref();
        passed.map_or(own_limit, |p| own_limit.min(p.max_runs))
    }

    /// Returns the time until this VM exits, or the one whose caller sent the request.
    pub(super) fn time_until_exit(&self, now: Time) -> Option<Duration> {
        let passed = self.request.passed.as_ref();
        let peer_exit = passed.and_then(|p| p.exit_ms).map(Duration::from_millis);
        let own_exit = self.node.stop.time_left(now);
        own_exit.into_iter().chain(peer_exit).min()
    }

    /// Returns the endpoints that must not get the request.
    pub(super) fn excluded_endpoints(&self) -> Vec<Arc<str>> {
        let passed = self.request.passed.as_ref();
        let leaving = passed.into_iter().flat_map(|p| &p.leaving);
        self.sends.tried.iter().chain(leaving).cloned().collect()
    }

    /// Returns the field that names the peer that passed the request on, for the log.
    pub(super) fn for_peer(&self) -> String {
        let passed = self.request.passed.as_ref();
        passed.map_or_else(String::new, |p| format!(" for={}", p.from))
    }

    /// Appends the report on a response of an endpoint, if it goes to a peer.
    pub(super) fn put_report(&self, out: &mut Vec<u8>) {
        if self.request.passed.is_none() {
            return;
        }
        if let Some((id, started_ms)) = self.endpoint.clone() {
            let report = self.report(Origin::Endpoint { id, started_ms });
            peer_requests::put_report(out, &report);
        }
    }

    fn report(&self, origin: Origin) -> PeerReport {
        PeerReport {
            origin,
            sends: self.sends.clone(),
            leaving: self.leaving.clone(),
        }
    }

    /// Ends a request that a peer passed on and that is not sent to any more endpoints.
    pub(super) async fn hand_back(
        &self,
        conn: &mut Conn,
        cause: &'static str,
        retry_after: Duration,
    ) -> ConnectionAction {
        let passed = self.request.passed.as_ref();
        let before = passed.map_or(0, |p| p.sends.possible_runs());
        let may_have_run = self.sends.possible_runs() > before;
        log::info!(
            "event=handed_back request={} cause={cause} may_have_run={may_have_run} ms={} attempts={}{}",
            self.request_id(),
            self.elapsed().as_millis(),
            self.sends.tried.len(),
            self.for_peer()
        );
        self.node.metrics.count(Counter::TakenOver, cause);
        if self.delivered.head {
            return ConnectionAction::Abort;
        }
        let origin = passing::refusal(cause, may_have_run, retry_after);
        let report = self.report(origin);
        peer_requests::respond(conn, self.request_id(), &report, self.keep_alive).await
    }

    /// Waits until the caller sends something or disconnects; returns whether it disconnected. A
    /// caller that is a peer sees meanwhile that this VM is at work.
    ///
    /// Reads nothing more once more than [`MAX_PIPELINED_BYTES`] are buffered.
    pub(super) async fn caller_disconnected(&self, caller: &mut Conn) -> bool {
        if caller.is_full(MAX_PIPELINED_BYTES) {
            caller.closed().await;
            return true;
        }
        if self.request.passed.is_none() || self.delivered.head {
            return !matches!(caller.fill().await, Ok(1..));
        }
        loop {
            let wait = self.sign_due.get().since(self.node.now());
            tokio::select! {
                biased;
                read = caller.fill() => return !matches!(read, Ok(1..)),
                () = tokio::time::sleep(wait) => {}
            }
            self.sign_due.set(self.node.now() + passing::SIGN_INTERVAL);
            if caller.write(http1::PROCESSING).await.is_err() {
                return true;
            }
        }
    }
}
