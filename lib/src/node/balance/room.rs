//! Which endpoints have room for a request, so that it ends while that is of use to its caller.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::{Balancer, Candidate, RoutingRequest};
use crate::node::config::Engine;
use crate::node::under_way::{self, ReportedLoad};
use crate::rendezvous;
use crate::time::Time;

/// Upper bound on the requests at an endpoint per slot. Assumes endpoints that queue up to twice
/// their slots.
const MAX_REQUESTS_PER_SLOT: usize = 3;
/// Factor on the expected time within which an answer is sure to end. Streams of loaded groups take
/// up to half as long again as expected.
const CERTAIN_FACTOR: f64 = 1.5;
/// Prompts that may wait at most groups of a model, as the time to read them, and for how long there may
/// be more. A wave of callers after a restart is read in half a second.
const MAX_PROMPT_QUEUE: Duration = Duration::from_millis(100);
const PROMPT_QUEUE_TIME: Duration = Duration::from_millis(500);
/// Groups that are drawn while some are close to full; the better one for the request gets it.
const DRAWN_GROUPS: u8 = 2;
/// A request is refused if its answer is expected to take more than this multiple of the remaining
/// time. The factor is generous, since callers' estimates of the answer length are often far off.
const MAX_OVERRUN: u32 = 2;

impl Balancer {
    /// Works out the load that the other entry VMs have by now on the groups that a request may go to.
    pub(super) fn expect_loads(
        &self,
        now: Time,
        eligible: &[&Candidate],
        request: &RoutingRequest<'_>,
        engine: Option<&Engine>,
    ) {
        let (Some(engine), Some(arrived)) = (engine, self.total_arrived) else {
            return;
        };
        let reported = |candidate: &Candidate| {
            let current = self.current_load(candidate);
            let load = self.load(&candidate.id);
            ReportedLoad {
                own_requests: load.map_or(0, |l| l.requests),
                other_requests: load.map_or(0, |l| l.peer_requests),
                other_prompt_tokens: load.map_or(0, |l| l.peer_pending_prompt_tokens),
                slots: candidate.slots,
                hold_s: self.forecast.hold_s(engine, request.model, &current),
                prefill_rate: engine.prefill_rate.max(1.0) / candidate.time_factor.max(0.01),
            }
        };
        for candidate in eligible {
            if let Some(load) = self.load(&candidate.id) {
                load.peers_now.set(None);
            }
        }
        let reported: Vec<ReportedLoad> = eligible.iter().map(|c| reported(c)).collect();
        let mean_prompt = self.forecast.mean_prompt(request.model);
        let expected = under_way::expected_loads(&reported, now.since(arrived), mean_prompt);
        for (candidate, peers_now) in eligible.iter().zip(expected) {
            if let Some(load) = self.load(&candidate.id) {
                load.peers_now.set(Some(peers_now));
            }
        }
    }

    /// Returns the endpoints with room that are compared for a request.
    ///
    /// While groups are close to full, a place that looks free is gone before a request arrives, since
    /// all entry VMs see it at the same time. Each of them then draws groups by the requests that all
    /// of them together may send there until the next reports.
    pub(super) fn compared<'a>(
        &self,
        candidates: &[&'a Candidate],
        request: &RoutingRequest<'_>,
        engine: Option<&Engine>,
    ) -> Vec<&'a Candidate> {
        let is_saturated = engine.is_some()
            && (self.is_prompt_bound || self.is_saturated(candidates, request, engine));
        let all = candidates.iter().copied();
        let mut with_room: Vec<&Candidate> = all
            .filter(|c| self.has_room(c, request, engine, is_saturated))
            .collect();
        let has_place = |candidate: &&Candidate| {
            let estimate = self.estimate(candidate, request, engine);
            estimate.has_place && estimate.queue_time <= request.queue_limit
        };
        if engine.is_none() || with_room.iter().all(has_place) {
            return with_room;
        }
        let shares: Vec<f64> = with_room.iter().map(|c| self.others_send(c)).collect();
        if shares.iter().sum::<f64>() > 0.0 {
            let draw = self.own_draw().to_le_bytes();
            let draws = (0..DRAWN_GROUPS).map(|index| rendezvous::score(&[index], &draw));
            let drawn = draws.filter_map(|draw| draw_by_weight(&shares, draw));
            let drawn: BTreeSet<usize> = drawn.collect();
            with_room = drawn.into_iter().map(|i| with_room[i]).collect();
        }
        with_room
    }

    /// Returns the requests that other entry VMs are expected to have sent to a group since they
    /// reported their load; zero where there are no others.
    fn others_send(&self, candidate: &Candidate) -> f64 {
        let load = self.load(&candidate.id);
        let peers_now = load.and_then(|load| load.peers_now.get());
        peers_now.map_or(0.0, |peers_now| peers_now.sent)
    }

    /// Returns whether an endpoint has room for a request; `is_saturated` says whether most groups of
    /// its model have none.
    fn has_room(
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
    fn is_saturated(
        &self,
        groups: &[&Candidate],
        request: &RoutingRequest<'_>,
        engine: Option<&Engine>,
    ) -> bool {
        let is_queueing = |group: &&&Candidate| self.estimate(group, request, engine).is_queueing;
        groups.iter().filter(is_queueing).count() * 2 > groups.len()
    }

    /// Records whether more than half of the groups have a queue of prompts, and returns whether they
    /// have had one for some time. One long prompt or a short burst is read before anyone is refused for
    /// it.
    pub(super) fn note_prompts(
        &mut self,
        now: Time,
        request: &RoutingRequest<'_>,
        engine: Option<&Engine>,
    ) -> bool {
        let (Some(engine), Some(model)) = (engine, request.model) else {
            return false;
        };
        let is_long = |candidate: &&Candidate| {
            let load = self.load(&candidate.id);
            let read_s = load.map_or(0.0, |load| load.expected().1) * candidate.time_factor
                / engine.prefill_rate.max(1.0);
            read_s > MAX_PROMPT_QUEUE.as_secs_f64()
        };
        let serving = self.serving(request, Some(engine));
        let serving = serving.filter(|c| !self.evacuated.contains(&c.zone));
        let (long, count) = serving.fold((0, 0), |(long, count), candidate| {
            (long + usize::from(is_long(&candidate)), count + 1)
        });
        if long * 2 <= count {
            self.long_prompts.remove(model);
            return false;
        }
        let since = *self.long_prompts.entry(Arc::from(model)).or_insert(now);
        now.since(since) >= PROMPT_QUEUE_TIME
    }
}

/// Draws an index with a probability that is proportional to its weight. Each `draw` is independent of
/// the last one.
fn draw_by_weight(weights: &[f64], draw: u64) -> Option<usize> {
    let hash = rendezvous::score(b"place", &draw.to_le_bytes());
    let mut remaining = hash as f64 / u64::MAX as f64 * weights.iter().sum::<f64>();
    weights.iter().position(|weight| {
        remaining -= weight;
        remaining <= 0.0 && *weight > 0.0
    })
}
