//! What prompts cost the other requests of a group.
//!
//! An engine reads prompts between the passes of its running requests, in the order in which they
//! came. A long prompt so delays the next event of each stream there, and the first event of each
//! request behind it. Most prompts are read before the report that would show them arrives, so that
//! those of other entry VMs are estimated too.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::{Balancer, Candidate, Load, RoutingRequest};
use crate::node::config::Engine;
use crate::node::forecast::{CurrentLoad, Estimate};
use crate::time::Time;

/// Time for which the goals of a request count as those of its model. A model that an entry VM is
/// asked for once in some seconds is not forgotten in between.
const GOALS_AGE: Duration = Duration::from_secs(60);
/// Upper bound on the different goals that are remembered for one model.
const MAX_GOALS: usize = 8;
/// Weight of one request in the average lengths of a model's prompts and answers.
const AVERAGE_WEIGHT: f64 = 0.05;
/// Time in which a request of another entry VM is not yet in the loads that this one knows. Assumes
/// reports each 100 ms that go through the representatives of up to two zones.
const REPORT_AGE_S: f64 = 0.2;
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
}

/// Sizes and goals of a model's requests.
#[derive(Debug, Default)]
struct Prompts {
    /// Different goals, with the times at which they were last seen.
    goals: Vec<(Goals, Time)>,
    /// Mean prompt length in tokens.
    prompt_tokens: f64,
    /// Mean answer length in tokens.
    answer_tokens: f64,
}

/// Sizes and goals of the requests for each model.
#[derive(Debug, Default)]
pub(super) struct ModelPrompts {
    models: BTreeMap<Arc<str>, Prompts>,
}

impl ModelPrompts {
    /// Records the size and the goals of a request for a model.
    pub(super) fn record(&mut self, now: Time, model: &Arc<str>, request: &RoutingRequest<'_>) {
        let known = self.models.entry(model.clone()).or_default();
        let is_first = known.goals.is_empty();
        let average = |mean: &mut f64, tokens: u32| {
            let weight = if is_first { 1.0 } else { AVERAGE_WEIGHT };
            *mean += (f64::from(tokens) - *mean) * weight;
        };
        average(&mut known.prompt_tokens, request.prompt_tokens);
        average(&mut known.answer_tokens, request.answer_tokens);
        let is_kept =
            |(goals, seen): &(Goals, Time)| *goals != request.goals && now.since(*seen) < GOALS_AGE;
        known.goals.retain(is_kept);
        if known.goals.len() >= MAX_GOALS {
            known.goals.remove(0);
        }
        known.goals.push((request.goals, now));
    }

    fn get(&self, model: Option<&str>) -> Option<&Prompts> {
        self.models.get(model?)
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
        let (Some(engine), Some(prompts)) = (engine, self.prompts.get(request.model)) else {
            return PromptCost::default();
        };
        let gap_goals = prompts.goals.iter().map(|(goals, _)| goals.event_gap);
        let gap_goal = gap_goals.min().unwrap_or(Duration::MAX);
        let prefill = prefill_s(engine, f64::from(request.prompt_tokens)) * group.time_factor;
        PromptCost {
            delay: Duration::from_secs_f64(prefill.clamp(0.0, MAX_DELAY_S)),
            late_streams: late_streams(engine, group, estimate, request.prompt_tokens, gap_goal),
        }
    }

    /// Returns the time in seconds in which an average group of a model reads what other entry VMs
    /// have sent there and not reported yet.
    ///
    /// By Little's law, as many requests come as are in flight, in each time that one takes.
    pub(super) fn unseen_s(
        &self,
        groups: &[&Candidate],
        request: &RoutingRequest<'_>,
        engine: &Engine,
    ) -> f64 {
        let (Some(group), Some(prompts)) = (groups.first(), self.prompts.get(request.model)) else {
            return 0.0;
        };
        let average_of = |count: fn(&Load) -> usize| {
            let counts = groups.iter().map(|g| self.load(&g.id).map_or(0, count));
            counts.sum::<usize>() as f64 / groups.len() as f64
        };
        let average = average_of(Load::running);
        let of_others = average_of(|load| load.peer_requests);
        let load = CurrentLoad {
            running: average,
            doubt: 0.0,
            pending_prompt_tokens: 0.0,
            slowness: 1.0,
            slots: group.slots,
            time_factor: group.time_factor,
        };
        let size = (prompts.prompt_tokens as u32, prompts.answer_tokens as u32);
        let estimate = self
            .forecast
            .estimate(Some(engine), request.model, &load, size);
        let per_s = of_others / estimate.whole_answer.as_secs_f64().max(REPORT_AGE_S);
        per_s * REPORT_AGE_S * prefill_s(engine, prompts.prompt_tokens) * group.time_factor
    }
}

/// Returns the number of streams at a group whose next event becomes late because the prompt of a
/// request is read before it.
fn late_streams(
    engine: &Engine,
    group: &Candidate,
    estimate: &Estimate,
    prompt_tokens: u32,
    gap_goal: Duration,
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
        pass * group.time_factor > gap_goal.as_secs_f64()
    };
    let unread = f64::from(estimate.pending_prompt_tokens);
    match is_late(unread + f64::from(prompt_tokens)) && !is_late(unread) {
        true => streams,
        false => 0,
    }
}

/// Returns the time in seconds in which a group whose model has a time factor of 1 reads `tokens`.
fn prefill_s(engine: &Engine, tokens: f64) -> f64 {
    tokens / engine.prefill_rate.max(1.0)
}
