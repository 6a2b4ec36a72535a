//! What a prompt costs the other requests of a group.
//!
//! An engine reads prompts between the passes of its running requests, in the order in which they
//! came. A long prompt so delays the next event of each stream there, and the first event of each
//! request behind it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::{Balancer, Candidate, RoutingRequest};
use crate::node::config::Engine;
use crate::node::forecast::Estimate;
use crate::time::Time;

/// Time for which the goals of a request count as those of its model. A model that an entry VM is
/// asked for once in some seconds is not forgotten in between.
const GOALS_AGE: Duration = Duration::from_secs(60);
/// Upper bound on the different goals that are remembered for one model.
const MAX_GOALS: usize = 8;
/// Share of its latency goal within which a request that yields is expected to begin. The rest covers
/// what was sent to the group and is not reported yet.
const YIELD_SHARE: f64 = 0.5;
/// Upper bound in seconds on the delay by one prompt, which keeps sums of times in range.
const MAX_DELAY_S: f64 = 1e6;

/// What the caller of a stream expects of its events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Goals {
    /// Target time to the first event.
    pub first_event: Duration,
    /// Target for the longest gap between two events.
    pub event_gap: Duration,
}

/// What a request costs the others at a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PromptCost {
    /// Time by which its prompt delays the requests behind it.
    pub delay: Duration,
    /// Streams that get their next event later than their callers expect since the prompt is read
    /// before it, and would get it in time otherwise.
    pub late_streams: usize,
    /// Whether the request went where others wait, to leave other groups to callers in more haste.
    pub yields: bool,
}

/// The goals of the requests for each model.
#[derive(Debug, Default)]
pub(super) struct ModelGoals {
    models: BTreeMap<Arc<str>, Vec<(Goals, Time)>>,
}

impl ModelGoals {
    /// Records the goals of a request for a model.
    pub(super) fn record(&mut self, now: Time, model: &Arc<str>, goals: Goals) {
        let known = self.models.entry(model.clone()).or_default();
        known.retain(|(other, seen)| *other != goals && now.since(*seen) < GOALS_AGE);
        if known.len() >= MAX_GOALS {
            known.remove(0);
        }
        known.push((goals, now));
    }

    /// Returns the strictest goals of the requests for a model.
    fn strictest(&self, model: Option<&str>) -> Option<Goals> {
        let known = self.models.get(model?)?;
        Some(Goals {
            first_event: known.iter().map(|(goals, _)| goals.first_event).min()?,
            event_gap: known.iter().map(|(goals, _)| goals.event_gap).min()?,
        })
    }
}

impl Balancer {
    /// Returns what a request costs the others at a group, where it is expected to meet `estimate`.
    pub(super) fn prompt_cost(
        &self,
        group: &Candidate,
        estimate: &Estimate,
        request: &RoutingRequest<'_>,
        engine: Option<&Engine>,
    ) -> PromptCost {
        let (Some(engine), Some(strictest)) = (engine, self.goals.strictest(request.model)) else {
            return PromptCost::default();
        };
        let limit = yield_limit(request, strictest);
        let prefill = prefill_s(engine, f64::from(request.prompt_tokens)) * group.time_factor;
        PromptCost {
            delay: Duration::from_secs_f64(prefill.clamp(0.0, MAX_DELAY_S)),
            late_streams: late_streams(engine, group, estimate, request, strictest),
            yields: limit.is_some_and(|limit| estimate.first_event <= limit),
        }
    }

    /// Returns the time by which an endpoint is ranked for a request; the shortest is the best.
    ///
    /// This is the expected time to the first event. For a request that yields it is the time that is
    /// left of its limit, so that the group that has most to read goes first among those that can
    /// begin it early enough.
    pub(super) fn ranked_time(
        &self,
        estimate: &Estimate,
        request: &RoutingRequest<'_>,
    ) -> Duration {
        let strictest = self.goals.strictest(request.model);
        match strictest.and_then(|strictest| yield_limit(request, strictest)) {
            Some(limit) if estimate.first_event <= limit => limit - estimate.first_event,
            Some(_) | None => estimate.first_event,
        }
    }
}

/// Returns the time within which a request that yields is expected to begin; `None` if it does not yield.
///
/// A request yields if other callers of the model expect a first event earlier than its own caller
/// does. It then goes where others wait, as long as its own goal allows that, and the groups with
/// little to read stay free for callers in more haste.
fn yield_limit(request: &RoutingRequest<'_>, strictest: Goals) -> Option<Duration> {
    let goal = request.goals.first_event;
    let yields = request.may_yield && strictest.first_event < goal;
    yields.then(|| goal.mul_f64(YIELD_SHARE))
}

/// Returns the number of streams at a group whose next event becomes late because the prompt of a
/// request is read before it.
fn late_streams(
    engine: &Engine,
    group: &Candidate,
    estimate: &Estimate,
    request: &RoutingRequest<'_>,
    strictest: Goals,
) -> usize {
    let streams = estimate.running.min(group.slots);
    let steps = f64::from(engine.steps_per_pass);
    let step = engine.step_time.as_secs_f64()
        + engine.step_time_per_request.as_secs_f64() * streams as f64;
    let decode = step * steps * estimate.slowness;
    let most = engine
        .prefill_chunk
        .map_or(f64::INFINITY, |chunk| f64::from(chunk) * steps);
    let is_late = |unread: f64| {
        let pass = decode + prefill_s(engine, unread.min(most));
        pass * group.time_factor > strictest.event_gap.as_secs_f64()
    };
    let unread = f64::from(estimate.pending_prompt_tokens);
    match is_late(unread + f64::from(request.prompt_tokens)) && !is_late(unread) {
        true => streams,
        false => 0,
    }
}

/// Returns the time in seconds in which a group whose model has a time factor of 1 reads `tokens`.
fn prefill_s(engine: &Engine, tokens: f64) -> f64 {
    tokens / engine.prefill_rate.max(1.0)
}
