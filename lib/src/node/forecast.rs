//! Expected times of a request at an endpoint.
//!
//! Answers load that is uneven in tokens: what is under way at a group, the model's pace and what was
//! seen of its requests so far tell when a new one would begin and end.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::config::Engine;

/// Weight of one request in what is known of a model.
const LEARN: f64 = 0.05;
/// Tokens of an answer until one was asked for (the mean of the users' services).
const ANSWER_FIRST: f64 = 100.0;
/// Time from the end of reading to the first event beyond the passes, in seconds, until one was seen:
/// 110 ms on the users' engines.
const LEAD_FIRST: f64 = 0.11;
/// Largest error in seconds that one request counts for, since some wait for other reasons.
const ERROR_MOST: f64 = 0.2;
/// Time to the first event that each request of a plain endpoint adds.
const PLAIN_WAIT: Duration = Duration::from_millis(10);
/// Passes until the first event: the rest of the one under way, and the one that writes it.
const FIRST_PASSES: f64 = 1.5;

/// What is under way at an endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) struct Busy {
    /// Requests.
    pub running: usize,
    /// Tokens of prompts that no first event has come for.
    pub pending_prompt_tokens: u32,
    /// Observed over expected time between events.
    pub slowness: f64,
    /// Requests that it runs at a time.
    pub slots: usize,
    /// Factor on its engine's times.
    pub time_factor: f64,
}

/// What a choice was made from, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Expected time to the first event.
    pub first_event: Duration,
    /// Expected time to the end of the answer.
    pub whole_answer: Duration,
    /// Requests under way there.
    pub running: usize,
    /// Tokens of prompts there that no first event has come for.
    pub pending_prompt_tokens: u32,
    /// Observed over expected time between events.
    pub slowness: f64,
}

#[derive(Debug, Clone, Copy)]
struct Habit {
    /// Mean tokens of an answer.
    answer: f64,
    /// Time to a first event that the engine's figures don't tell, in seconds.
    lead: f64,
}

impl Default for Habit {
    fn default() -> Self {
        Self {
            answer: ANSWER_FIRST,
            lead: LEAD_FIRST,
        }
    }
}

/// What was seen of each model's requests.
#[derive(Debug, Default)]
pub(super) struct Forecast {
    habits: BTreeMap<Arc<str>, Habit>,
}

impl Forecast {
    fn habit(&self, model: Option<&str>) -> Habit {
        let known = model.and_then(|m| self.habits.get(m));
        known.copied().unwrap_or_default()
    }

    fn learn(&mut self, model: &Arc<str>) -> &mut Habit {
        self.habits.entry(model.clone()).or_default()
    }

    /// Takes the length of an answer that is asked for.
    pub(super) fn asked(&mut self, model: &Arc<str>, answer: u32) {
        let habit = self.learn(model);
        habit.answer += (f64::from(answer) - habit.answer) * LEARN;
    }

    /// Takes the time to a first event of a request that found a free slot.
    pub(super) fn began(&mut self, model: &Arc<str>, expected: Duration, observed: Duration) {
        let error = observed.as_secs_f64() - expected.as_secs_f64();
        let habit = self.learn(model);
        habit.lead = (habit.lead + error.clamp(-ERROR_MOST, ERROR_MOST) * LEARN).max(0.0);
    }

    /// Returns the expected times of a request with so many tokens of prompt and answer.
    pub(super) fn estimate(
        &self,
        engine: Option<&Engine>,
        model: Option<&str>,
        busy: &Busy,
        (prompt, answer): (u32, u32),
    ) -> Estimate {
        let Busy {
            running,
            pending_prompt_tokens,
            slowness,
            slots,
            time_factor,
        } = *busy;
        let slots = slots.max(1);
        let (first_event, whole_answer) = match engine {
            None => {
                let first_event = PLAIN_WAIT * running as u32 / slots as u32;
                (first_event, first_event)
            }
            Some(engine) => {
                let habit = self.habit(model);
                let read = f64::from(pending_prompt_tokens + prompt) / engine.prefill_rate.max(1.0);
                let batch = running.min(slots) as f64;
                let step = engine.step_time.as_secs_f64()
                    + engine.step_time_per_request.as_secs_f64() * batch;
                let step = step * slowness * time_factor;
                // A slot frees when one of the batch ends: an answer's steps over the slots.
                let over = (running + 1).saturating_sub(slots) as f64;
                let wait = over * step * habit.answer / slots as f64;
                let pass = step * f64::from(engine.steps_per_pass) * FIRST_PASSES;
                let first_event = habit.lead + read * time_factor + pass + wait;
                let whole_answer = first_event + step * f64::from(answer);
                (
                    Duration::from_secs_f64(first_event),
                    Duration::from_secs_f64(whole_answer),
                )
            }
        };
        Estimate {
            first_event,
            whole_answer,
            running,
            pending_prompt_tokens,
            slowness,
        }
    }
}
