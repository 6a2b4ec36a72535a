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
        let draw = self.own_draw().to_le_bytes();
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
        let compared: Vec<&Candidate> = connected.chain(others).collect();
        let unseen_s = engine.map_or(0.0, |engine| self.unseen_s(eligible, request, engine));
        let scores = compared.iter().map(|c| self.score(c, request, engine));
        let scores: Vec<(bool, u128)> = scores.collect();
        let unseen = unseen_s * 1_000.0 / EQUAL_WITHIN_MS as f64;
        let index = spread(
            &scores,
            unseen,
            rendezvous::score(&draw, &self.seed.to_le_bytes()),
        );
        let best = index.and_then(|index| compared.get(index).copied());
        best.or_else(|| {
            let fallback = shuffled.iter().copied().filter(|_| request.has_started);
            fallback.min_by_key(|c| self.score(c, request, engine))
        })
    }

    /// Returns the sort key by which the best endpoint comes first: one where the request makes no
    /// running stream late, and the shortest time, in units of [`EQUAL_WITHIN_MS`]. Zone and
    /// connection decide between endpoints whose times differ by a few milliseconds only.
    fn score(
        &self,
        candidate: &Candidate,
        request: &RoutingRequest<'_>,
        engine: Option<&Engine>,
    ) -> (bool, u128) {
        let estimate = self.estimate(candidate, request, engine);
        let cost = self.prompt_cost(candidate, &estimate, request, engine);
        let other_zone = u128::from(&*candidate.zone != request.zone);
        let not_connected = u128::from(!request.connected.contains(&candidate.id));
        let time = estimate.first_event.as_millis() / EQUAL_WITHIN_MS;
        (cost.late_streams > 0, time + other_zone + not_connected)
    }
}

/// Returns the index of the endpoint to which a request goes, of those with the given sort keys; `draw`
/// is uniform.
///
/// All entry VMs see the same shortest time, and would send there what comes until the next report.
/// That work, `unseen` on average for each endpoint, is thought to fill the shortest times up to one
/// level, and an endpoint is drawn by what it lacks to that level. Without such work the best one is
/// returned.
fn spread(scores: &[(bool, u128)], unseen: f64, draw: u64) -> Option<usize> {
    let (best, (tier, _)) = scores.iter().enumerate().min_by_key(|(_, score)| **score)?;
    let in_tier = scores.iter().filter(|(other, _)| other == tier);
    let mut times: Vec<f64> = in_tier.map(|(_, time)| *time as f64).collect();
    times.sort_by(f64::total_cmp);
    let work = unseen * times.len() as f64;
    let (mut level, mut sum) = (f64::INFINITY, 0.0);
    for (count, time) in times.iter().enumerate() {
        if level <= *time {
            break;
        }
        sum += time;
        level = (work + sum) / (count + 1) as f64;
    }
    let lack = |(other, time): &(bool, u128)| match other == tier {
        true => (level - *time as f64).max(0.0),
        false => 0.0,
    };
    // The draw is uniform over the sum of what all lack, which is the work.
    let mut left = draw as f64 / u64::MAX as f64 * work;
    let drawn = scores.iter().position(|score| {
        left -= lack(score);
        left < 0.0
    });
    drawn.or(Some(best))
}
