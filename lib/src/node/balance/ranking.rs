//! Which of the endpoints with room is the best one for a request.

use super::{Balancer, Candidate, RoutingRequest};
use crate::node::config::Engine;
use crate::rendezvous;

/// Number of endpoints with free capacity that are compared for one request, and how many of these
/// may have an idle connection. A new connection costs the endpoint some work, and the caller two
/// network delays.
const MAX_COMPARED: usize = 4;
const MAX_COMPARED_CONNECTED: usize = 2;
/// Difference of expected times in milliseconds up to which endpoints count as equal.
const EQUAL_WITHIN_MS: u128 = 4;

impl Balancer {
    /// Returns the best of the eligible endpoints that have room for a request. One that has started
    /// elsewhere goes on where there is none as well.
    ///
    /// A few random endpoints are compared rather than all, because load data is as old as the last
    /// datagrams, and all entry VMs would choose the same endpoint.
    pub(super) fn best<'a>(
        &self,
        eligible: &[&'a Candidate],
        request: &RoutingRequest<'_>,
        engine: Option<&Engine>,
    ) -> Option<&'a Candidate> {
        let mut shuffled = eligible.to_vec();
        let draw = self.choice_count.to_le_bytes();
        shuffled.sort_by_cached_key(|c| rendezvous::score(&draw, c.id.as_bytes()));
        let compared = self.compared(&shuffled, request, engine);
        let with_room = || compared.iter().copied();
        let is_connected = |c: &&Candidate| request.connected.contains(&c.id);
        let connected = with_room()
            .filter(is_connected)
            .take(MAX_COMPARED_CONNECTED);
        let count = connected.clone().count();
        let others = with_room()
            .filter(|c| !is_connected(c))
            .take(MAX_COMPARED - count);
        let score = |c: &&Candidate| self.score(c, request, engine);
        let best = connected.chain(others).min_by_key(score);
        best.or_else(|| {
            let fallback = shuffled.iter().copied().filter(|_| request.has_started);
            fallback.min_by_key(score)
        })
    }

    /// Returns the sort key by which the endpoint with the shortest expected time comes first. Zone
    /// and connection decide between endpoints whose times differ by a few milliseconds only.
    fn score(
        &self,
        candidate: &Candidate,
        request: &RoutingRequest<'_>,
        engine: Option<&Engine>,
    ) -> u128 {
        let estimate = self.estimate(candidate, request, engine);
        let other_zone = u128::from(&*candidate.zone != request.zone);
        let not_connected = u128::from(!request.connected.contains(&candidate.id));
        estimate.first_event.as_millis() / EQUAL_WITHIN_MS + other_zone + not_connected
    }
}
