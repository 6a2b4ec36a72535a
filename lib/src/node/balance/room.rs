//! Which endpoints have room for a request, so that it ends while that is of use to its caller.

use super::{Balancer, Candidate, RoutingRequest};
use crate::node::config::Engine;

/// Upper bound on the requests at an endpoint per slot. Assumes endpoints that queue up to twice
/// their slots.
const MAX_REQUESTS_PER_SLOT: usize = 3;
/// Factor on the expected time within which an answer is sure to end. Streams of loaded groups take
/// up to half as long again as expected.
const CERTAIN_FACTOR: f64 = 1.5;
/// A request is refused if its answer is expected to take more than this multiple of the remaining
/// time. The factor is generous, since callers' estimates of the answer length are often far off.
const MAX_OVERRUN: u32 = 2;

impl Balancer {
    /// Returns whether an endpoint has room for a request; `is_saturated` says whether most groups of
    /// its model have none.
    pub(super) fn has_room(
        &self,
        candidate: &Candidate,
        request: &RoutingRequest<'_>,
        engine: Option<&Engine>,
        is_saturated: bool,
    ) -> bool {
        let estimate = self.estimate(candidate, request, engine);
        self.ends_before_shutdown(candidate, request, engine)
            && estimate.first_event <= request.first_event_limit
            && (!is_saturated || estimate.queue_time <= request.queue_limit)
            && estimate.whole_answer <= request.time_left * MAX_OVERRUN
            && estimate.running < candidate.slots.max(1).saturating_mul(MAX_REQUESTS_PER_SLOT)
    }

    /// Returns whether the answer is sure to end before this entry VM does, if that is stopping.
    fn ends_before_shutdown(
        &self,
        candidate: &Candidate,
        request: &RoutingRequest<'_>,
        engine: Option<&Engine>,
    ) -> bool {
        let Some((answer_tokens, within)) = request.shutdown_limit else {
            return true;
        };
        let longest = RoutingRequest {
            answer_tokens,
            ..*request
        };
        let estimate = self.estimate(candidate, &longest, engine);
        estimate.whole_answer.mul_f64(CERTAIN_FACTOR) <= within
    }

    /// Returns whether requests wait for a slot at more than half of the groups.
    ///
    /// Groups then have more work than they can do. Requests that wait their turn miss their latency
    /// goal one like the other, while short queues let the groups do as much work in time.
    pub(super) fn is_saturated(&self, groups: &[&Candidate]) -> bool {
        let is_queueing = |group: &&&Candidate| {
            self.load(&group.id)
                .is_some_and(|load| load.running() > group.slots)
        };
        groups.iter().filter(is_queueing).count() * 2 > groups.len()
    }
}
