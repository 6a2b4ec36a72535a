//! What a prompt costs the other requests of a group.
//!
//! An engine reads prompts between the passes of its running requests, in the order in which they
//! came. A long prompt so delays the next event of each stream there, and the first event of each
//! request behind it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::{Candidate, RoutingRequest};
use crate::node::config::Engine;
use crate::node::forecast::Estimate;
use crate::time::Time;

/// Time for which the goals of a request count as those of its model. A model that an entry VM is
/// asked for once in some seconds is not forgotten in between.
const GOALS_AGE: Duration = Duration::from_secs(60);
/// Upper bound on the different goals that are remembered for one model.
const MAX_GOALS: usize = 8;
/// Share of its latency goal within which a request that yields is expected to begin. The rest covers
/// what has been sent there and is not reported yet.
const YIELD_SHARE: f64 = 0.5;

/// What the caller of a stream expects of its events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Goals {
    /// Target time to the first event.
    pub first_event: Duration,
    /// Target for the longest gap between two events.
    pub event_gap: Duration,
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
    pub(super) fn strictest(&self, model: Option<&str>) -> Option<Goals> {
        let known = self.models.get(model?)?;
        Some(Goals {
            first_event: known.iter().map(|(goals, _)| goals.first_event).min()?,
            event_gap: known.iter().map(|(goals, _)| goals.event_gap).min()?,
        })
    }
}

/// Returns the number of streams at a group whose next event is late because the prompt of a request is
/// read before it.
pub(super) fn late_streams(
    engine: &Engine,
    group: &Candidate,
    estimate: &Estimate,
    prompt_tokens: u32,
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
        let prefill = unread.min(most) / engine.prefill_rate.max(1.0);
        (decode + prefill) * group.time_factor > strictest.event_gap.as_secs_f64()
    };
    let unread = f64::from(estimate.pending_prompt_tokens);
    match is_late(unread + f64::from(prompt_tokens)) && !is_late(unread) {
        true => streams,
        false => 0,
    }
}

/// Returns the time within which a request that yields is expected to begin; `None` if it does not yield.
///
/// A request yields if callers of the same model expect a first event earlier than its own caller
/// does. It then goes where others wait already, as long as its own goal allows that, and the groups
/// with little to read stay free for those in more haste.
pub(super) fn yield_limit(request: &RoutingRequest<'_>, strictest: Goals) -> Option<Duration> {
    let goal = request.goals.first_event;
    (strictest.first_event < goal).then(|| goal.mul_f64(YIELD_SHARE))
}
