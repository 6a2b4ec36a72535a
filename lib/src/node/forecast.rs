//! Estimates the latency of a request at an endpoint.
//!
//! Requests differ widely in tokens, so their number alone says little. The estimate is based on
//! the load of the group, the speed of the model and what was observed of the model's earlier
//! requests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::balance::PromptCost;
use super::config::Engine;
use crate::router::expected_excess;

/// Weight of one request in the averages of a model.
const AVERAGE_WEIGHT: f64 = 0.05;
/// Mean answer length in tokens that is assumed before the first request.
const INITIAL_ANSWER_TOKENS: f64 = 100.0;
/// Mean prompt length in tokens that is assumed before the first request.
const INITIAL_PROMPT_TOKENS: f64 = 500.0;
/// Time to the first event beyond prefill and passes that is assumed before the first observation,
/// in seconds. Assumes engines that add 110 ms.
const INITIAL_OVERHEAD_S: f64 = 0.11;
/// Upper bound in seconds on the error of one observation, since some requests wait for other
/// reasons.
const MAX_ERROR_S: f64 = 0.2;
/// Time to the first event that each request in flight adds at a plain endpoint.
const PLAIN_TIME_PER_REQUEST: Duration = Duration::from_millis(10);
/// Passes until the first event: on average half of the one under way, and the one that produces
/// the event.
const PASSES_TO_FIRST_EVENT: f64 = 1.5;

/// Load of an endpoint and its speed.
#[derive(Debug, Clone, Copy)]
pub(super) struct CurrentLoad {
    /// Requests in flight at the endpoint.
    pub running: f64,
    /// Standard deviation of these, because of what others sent since they reported their load.
    pub doubt: f64,
    /// Prompt tokens of the requests that still wait for their first event.
    pub pending_prompt_tokens: f64,
    /// Observed divided by expected time between events.
    pub slowness: f64,
    /// Requests that the endpoint runs at the same time.
    pub slots: usize,
    /// Factor on the processing times of the engine.
    pub time_factor: f64,
}

/// Expected times of a request at an endpoint, with the load that they are based on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Expected time to the first event.
    pub first_event: Duration,
    /// Part of this in which the request waits for others: for a slot, and for their prompts.
    pub queue_time: Duration,
    /// Expected time to the end of the answer.
    pub whole_answer: Duration,
    /// Requests in flight at the endpoint.
    pub running: usize,
    /// Whether requests wait for a slot there.
    pub is_queueing: bool,
    /// Whether a slot is free there, also if more requests than expected are under way.
    pub has_place: bool,
    /// Prompt tokens of the requests there that still wait for their first event.
    pub pending_prompt_tokens: u32,
    /// Observed divided by expected time between events.
    pub slowness: f64,
    /// What the request costs the others there.
    pub cost: PromptCost,
}

impl Estimate {
    /// Returns whether a slot is free for the request, for logs and metrics.
    pub fn place(&self) -> &'static str {
        match (self.has_place, self.is_queueing) {
            (true, _) => "free",
            (false, false) => "doubtful",
            (false, true) => "waits",
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct ModelAverages {
    /// Mean answer length in tokens.
    answer_tokens: f64,
    /// Mean prompt length in tokens.
    prompt_tokens: f64,
    /// Time to the first event that the engine's performance figures do not explain, in seconds.
    overhead_s: f64,
}

impl Default for ModelAverages {
    fn default() -> Self {
        Self {
            answer_tokens: INITIAL_ANSWER_TOKENS,
            prompt_tokens: INITIAL_PROMPT_TOKENS,
            overhead_s: INITIAL_OVERHEAD_S,
        }
    }
}

/// Averages of each model's requests.
#[derive(Debug, Default)]
pub(super) struct Forecast {
    models: BTreeMap<Arc<str>, ModelAverages>,
}

impl Forecast {
    fn averages(&self, model: Option<&str>) -> ModelAverages {
        let entry = model.and_then(|m| self.models.get(m));
        entry.copied().unwrap_or_default()
    }

    fn averages_mut(&mut self, model: &Arc<str>) -> &mut ModelAverages {
        self.models.entry(model.clone()).or_default()
    }

    /// Records the prompt length and the expected answer length of a request.
    pub(super) fn record_size(
        &mut self,
        model: &Arc<str>,
        (prompt_tokens, answer_tokens): (u32, u32),
    ) {
        let averages = self.averages_mut(model);
        averages.answer_tokens +=
            (f64::from(answer_tokens) - averages.answer_tokens) * AVERAGE_WEIGHT;
        averages.prompt_tokens +=
            (f64::from(prompt_tokens) - averages.prompt_tokens) * AVERAGE_WEIGHT;
    }

    /// Returns the mean prompt length of a model's requests in tokens.
    pub(super) fn mean_prompt(&self, model: Option<&str>) -> f64 {
        self.averages(model).prompt_tokens
    }

    /// Returns for how many seconds a mean request of a model holds a slot.
    pub(super) fn hold_s(&self, engine: &Engine, model: Option<&str>, load: &CurrentLoad) -> f64 {
        let averages = self.averages(model);
        let prefill = averages.prompt_tokens / engine.prefill_rate.max(1.0) * load.time_factor;
        prefill + step_s(engine, load) * averages.answer_tokens
    }

    /// Records the time to the first event of a request that found a free slot.
    pub(super) fn record_first_event_time(
        &mut self,
        model: &Arc<str>,
        expected: Duration,
        observed: Duration,
    ) {
        let error = observed.as_secs_f64() - expected.as_secs_f64();
        let averages = self.averages_mut(model);
        averages.overhead_s = (averages.overhead_s
            + error.clamp(-MAX_ERROR_S, MAX_ERROR_S) * AVERAGE_WEIGHT)
            .max(0.0);
    }

    /// Returns the expected times of a request with the given prompt and answer lengths in tokens.
    pub(super) fn estimate(
        &self,
        engine: Option<&Engine>,
        model: Option<&str>,
        load: &CurrentLoad,
        (prompt_tokens, answer_tokens): (u32, u32),
    ) -> Estimate {
        let CurrentLoad {
            running,
            doubt,
            pending_prompt_tokens,
            slots,
            time_factor,
            slowness,
        } = *load;
        let slots = slots.max(1);
        let room = slots as f64 - running;
        let has_place = room >= 1.0 + doubt;
        let (first_event, queue_time, whole_answer) = match engine {
            None => {
                let batches = running / slots as f64;
                let first_event = PLAIN_TIME_PER_REQUEST.mul_f64(batches);
                (first_event, Duration::ZERO, first_event)
            }
            Some(engine) => {
                let averages = self.averages(model);
                let prefill = |tokens: f64| tokens / engine.prefill_rate.max(1.0) * time_factor;
                let step = step_s(engine, load);
                // A slot becomes free each time a request of the batch ends: every `step * answer /
                // slots` on average.
                let queued = match doubt > 0.0 {
                    true => expected_excess(1.0 - room, doubt),
                    false => (1.0 - room).max(0.0),
                };
                let slot_time = queued * step * averages.answer_tokens / slots as f64;
                let queue_time = slot_time + prefill(pending_prompt_tokens);
                let pass_time = step * f64::from(engine.steps_per_pass) * PASSES_TO_FIRST_EVENT;
                let first_event = averages.overhead_s
                    + prefill(f64::from(prompt_tokens))
                    + pass_time
                    + queue_time;
                let whole_answer = first_event + step * f64::from(answer_tokens);
                (
                    Duration::from_secs_f64(first_event),
                    Duration::from_secs_f64(queue_time),
                    Duration::from_secs_f64(whole_answer),
                )
            }
        };
        Estimate {
            first_event,
            queue_time,
            whole_answer,
            running: running.round() as usize,
            is_queueing: running > slots as f64,
            has_place,
            pending_prompt_tokens: pending_prompt_tokens as u32,
            slowness,
            cost: PromptCost::default(),
        }
    }
}

/// Returns the seconds that an engine takes for one decoding step.
fn step_s(engine: &Engine, load: &CurrentLoad) -> f64 {
    let batch = load.running.min(load.slots.max(1) as f64);
    let step = engine.step_time.as_secs_f64() + engine.step_time_per_request.as_secs_f64() * batch;
    step * load.slowness * load.time_factor
}
