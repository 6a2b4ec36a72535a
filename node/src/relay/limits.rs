//! Limits within which a request is sent, from what its caller and its route ask for.

use std::time::Duration;

use hemlock_lib::node::balance;
use hemlock_lib::node::config::Engine;
use hemlock_lib::node::holding;
use hemlock_lib::time::Time;

use super::Relay;
use crate::front::Request;

/// Shortest gap between events after which callers abandon a stream.
const MIN_ABANDON_GAP: Duration = Duration::from_secs(2);
/// Share of the gap after which callers abandon a stream that the expected first event may take;
/// the rest allows for errors of the estimate.
const FIRST_EVENT_SHARE: f64 = 0.7;
/// Share of the gap after which callers abandon a stream that the expected first event may take if
/// the caller retries after a refusal, and will not retry again.
const RETRY_FIRST_EVENT_SHARE: f64 = 0.9;
/// Share of the route's timeout below which a caller's deadline shows that this is a retry after a
/// refusal.
const RETRY_DEADLINE_SHARE: f64 = 0.9;

impl Relay<'_> {
    /// Returns the priority to send to the endpoint. A retried stream is late already, and doesn't
    /// precede others, which would be late then too.
    pub(super) fn endpoint_priority(&self) -> Option<u8> {
        let own_priority = self.request.account.as_ref().and_then(|a| a.priority);
        let priority = own_priority.unwrap_or(self.request.route.priority);
        Some(priority)
    }

    /// Returns whether no route to the service has a higher priority than the request. Only looked up
    /// while endpoints have limits.
    pub(super) fn is_most_urgent(&self, service: &str) -> bool {
        if !self.node.balancer.borrow().limits().any() {
            return true;
        }
        let own = self.request.account.as_ref().and_then(|a| a.priority);
        let own = own.unwrap_or(self.request.route.priority);
        let routes = self.request.config.routes();
        let of_service = routes.filter(|r| r.services.iter().any(|(name, _)| **name == *service));
        of_service
            .map(|r| r.priority)
            .all(|priority| own <= priority)
    }

    /// Returns whether the caller sends this stream again after a refusal: its deadline is then
    /// shorter.
    pub(super) fn is_retry_after_refusal(&self) -> bool {
        let Request { route, meta, .. } = self.request;
        let is_short = |wait: Duration| wait < route.timeout.mul_f64(RETRY_DEADLINE_SHARE);
        route.request_kind.is_stream() && meta.max_wait.is_some_and(is_short)
    }

    /// Returns the number of tokens that the answer is expected to need still.
    pub(super) fn tokens_left(&self) -> u32 {
        let steps_per_pass = self.engine().map_or(1, |e| e.steps_per_pass);
        self.request
            .meta
            .answer_tokens
            .saturating_sub(self.delivered.events * steps_per_pass)
    }

    /// Returns the engine settings of the service, if its endpoints are engines.
    pub(super) fn engine(&self) -> Option<&Engine> {
        let service = self.service.as_ref()?;
        self.request.config.services.get(service)?.engine.as_ref()
    }

    /// Returns the longest expected time to the first event with which a send is of use. Callers
    /// abandon a stream after a gap of 2 s, four times the latency goal or eight times the target
    /// pause between events, whichever is longest.
    pub(super) fn first_event_limit(&self, now: Time) -> Duration {
        let route = &self.request.route;
        let time_left = self.request.deadline.since(now);
        if !route.request_kind.is_stream() {
            return time_left;
        }
        let gap = MIN_ABANDON_GAP
            .max(route.latency_goal * 4)
            .max(route.event_gap_goal * 8);
        let elapsed = self
            .delivered
            .last_event_at
            .map_or_else(|| self.elapsed(), |t| now.since(t));
        let share = match self.is_retry_after_refusal() {
            true => RETRY_FIRST_EVENT_SHARE,
            false => FIRST_EVENT_SHARE,
        };
        gap.mul_f64(share).saturating_sub(elapsed).min(time_left)
    }

    /// Returns the longest time that the request may wait for others while most groups have no free
    /// slot. A stream that has begun waits as long as it must.
    pub(super) fn queue_limit(&self) -> Duration {
        let route = &self.request.route;
        let has_begun = self.sends.may_have_run() || self.delivered.last_event.is_some();
        if has_begun || !route.request_kind.is_stream() {
            return Duration::MAX;
        }
        balance::queue_limit(route.latency_goal)
    }

    /// Returns whether another endpoint may continue the request if this one sends nothing.
    pub(super) fn may_switch_endpoint(&self) -> bool {
        let route = &self.request.route;
        holding::may_switch(
            route.request_kind.may_retry(),
            self.sends.possible_runs(),
            self.is_counted,
            route.max_attempts,
        )
    }
}
