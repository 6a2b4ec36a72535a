//! How many engines each model should have.
//!
//! Answers demand that differs from what the operators expected, and engines that are lost: each
//! model gets groups until it is no harder pressed than the others.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::config::{Engine, Model};
use crate::time::Time;

/// Time over which demand is averaged: long enough that a few long prompts don't move engines between
/// models, shorter than a swing of the traffic.
const WINDOW: Duration = Duration::from_secs(8);
/// Width of one counted slice of time.
const SLICE: Duration = Duration::from_millis(500);
/// Time of counting before a demand is believed.
const LEAST_TIME: Duration = Duration::from_secs(5);
/// Pressure of an overloaded model, far above that of one that only misses its goal.
const OVERLOAD: f64 = 10.0;
/// Network delays of a first event.
const NETWORK: f64 = 0.02;
/// Part of the time that a group is away for each of its members, since one of them was lost: on the
/// users' days 28 of 60 engines are lost in 34 s, and a group is back after 4.5 s.
const OUT_PART: f64 = 0.06;

/// What callers ask of a model.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests a second.
    pub rate: f64,
    /// Mean tokens of a prompt.
    #[serde(rename = "prompt")]
    pub prompt_tokens: f64,
    /// Mean tokens of an answer.
    #[serde(rename = "answer")]
    pub answer_tokens: f64,
    /// Mean goal of the first event, in seconds.
    #[serde(rename = "goal")]
    pub latency_goal_s: f64,
}

/// One request, as it counts for the demand.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestSize {
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Tokens expected of its answer.
    pub answer_tokens: u32,
    /// Goal of its first event.
    pub latency_goal: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Sum {
    count: f64,
    prompt: f64,
    answer: f64,
    goal: f64,
}

/// Measures the demand that one entry VM sees.
#[derive(Debug, Default)]
pub struct DemandMeter {
    since: Option<Time>,
    slices: VecDeque<(Time, BTreeMap<Arc<str>, Sum>)>,
}

impl DemandMeter {
    /// Counts a request for a model.
    pub fn count(&mut self, now: Time, model: &str, size: &RequestSize) {
        self.since.get_or_insert(now);
        while let Some((start, _)) = self.slices.front() {
            if now.since(*start) <= WINDOW {
                break;
            }
            self.slices.pop_front();
        }
        if self
            .slices
            .back()
            .is_none_or(|(t, _)| now.since(*t) >= SLICE)
        {
            self.slices.push_back((now, BTreeMap::new()));
        }
        let Some((_, sums)) = self.slices.back_mut() else {
            return;
        };
        let sum = match sums.get_mut(model) {
            Some(sum) => sum,
            None => sums.entry(Arc::from(model)).or_default(),
        };
        sum.count += 1.0;
        sum.prompt += f64::from(size.prompt_tokens);
        sum.answer += f64::from(size.answer_tokens);
        sum.goal += size.latency_goal.as_secs_f64();
    }

    /// Returns the demand by model that this entry VM sees; empty until enough was seen.
    pub fn demand(&self, now: Time) -> BTreeMap<Arc<str>, Demand> {
        let Some(since) = self.since.filter(|t| now.since(*t) >= LEAST_TIME) else {
            return BTreeMap::new();
        };
        let span = now.since(since).min(WINDOW).as_secs_f64();
        let mut sums: BTreeMap<Arc<str>, Sum> = BTreeMap::new();
        let recent = self.slices.iter().filter(|(t, _)| now.since(*t) <= WINDOW);
        for (model, part) in recent.flat_map(|(_, sums)| sums) {
            let sum = sums.entry(model.clone()).or_default();
            sum.count += part.count;
            sum.prompt += part.prompt;
            sum.answer += part.answer;
            sum.goal += part.goal;
        }
        let demand = |s: Sum| Demand {
            rate: s.count / span,
            prompt_tokens: s.prompt / s.count,
            answer_tokens: s.answer / s.count,
            latency_goal_s: s.goal / s.count,
        };
        sums.into_iter()
            .map(|(model, s)| (model, demand(s)))
            .collect()
    }
}

/// Adds up what several entry VMs see.
pub fn combined_demand<'a>(
    seen: impl IntoIterator<Item = (&'a str, &'a Demand)>,
) -> BTreeMap<Arc<str>, Demand> {
    let mut total: BTreeMap<Arc<str>, Demand> = BTreeMap::new();
    for (model, d) in seen.into_iter().filter(|(_, d)| d.rate > 0.0) {
        let sum = total.entry(Arc::from(model)).or_default();
        let rate = sum.rate + d.rate;
        let mean = |a: f64, b: f64| (a * sum.rate + b * d.rate) / rate;
        *sum = Demand {
            rate,
            prompt_tokens: mean(sum.prompt_tokens, d.prompt_tokens),
            answer_tokens: mean(sum.answer_tokens, d.answer_tokens),
            latency_goal_s: mean(sum.latency_goal_s, d.latency_goal_s),
        };
    }
    total
}

/// Returns how hard a model is pressed with so many groups: the expected time to a first event over
/// its goal, which grows when prompts take turns, and the batch over the slots, which tells how soon
/// a lost group would make requests wait.
pub fn pressure(engine: &Engine, model: &Model, demand: &Demand, groups: usize) -> f64 {
    if groups == 0 {
        return f64::INFINITY;
    }
    let there = groups as f64 / (1.0 + OUT_PART * model.group_size as f64);
    let rate = demand.rate / there;
    let slots = engine.slots.max(1) as f64;
    let read = rate * demand.prompt_tokens / engine.prefill_rate.max(1.0) * model.time_factor;
    let step = |batch: f64| {
        (engine.step_time.as_secs_f64() + engine.step_time_per_request.as_secs_f64() * batch)
            * model.time_factor
    };
    // Time that a group's requests need of each second, with all slots in use.
    let load = read + rate * demand.answer_tokens * step(slots) / slots;
    if load >= 1.0 {
        return OVERLOAD * load;
    }
    // The batch and the time of a step depend on each other; a few rounds are close enough.
    let mut batch = 1.0;
    for _ in 0..6 {
        batch = (rate * demand.answer_tokens * step(batch) / (1.0 - read)).min(slots);
    }
    let over = batch / slots;
    let pass = step(batch) * f64::from(engine.steps_per_pass) / (1.0 - read);
    let own = demand.prompt_tokens / engine.prefill_rate.max(1.0) * model.time_factor;
    (1.5 * pass + own + NETWORK) / demand.latency_goal_s.max(0.001) + over
}

/// Returns the engines that each model should have of `total`: halfway between the shares that the
/// operators expect and what the demand asks for, so that a lull or a burst of one model doesn't
/// take the engines of another.
pub fn engine_targets(
    engine: &Engine,
    total: usize,
    demand: &BTreeMap<Arc<str>, Demand>,
) -> BTreeMap<Arc<str>, usize> {
    let expected = share_out(engine, total, &BTreeMap::new());
    let asked = share_out(engine, total, demand);
    let mean = |(model, engines): (Arc<str>, usize)| {
        let other = asked.get(&model).copied().unwrap_or(engines);
        (model, (engines + other) / 2)
    };
    expected.into_iter().map(mean).collect()
}

/// Deals `total` engines out to groups, each to the model that is pressed hardest.
fn share_out(
    engine: &Engine,
    total: usize,
    demand: &BTreeMap<Arc<str>, Demand>,
) -> BTreeMap<Arc<str>, usize> {
    let known = engine.models.iter().all(|m| demand.contains_key(&m.name));
    let shares: f64 = engine.models.iter().map(|m| m.share).sum();
    let mut groups: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
    let mut left = total;
    loop {
        let urgency = |m: &Model| {
            let have = groups.get(&m.name).copied().unwrap_or(0);
            match demand.get(&m.name) {
                Some(d) if known => pressure(engine, m, d, have),
                _ => m.share / shares.max(1e-9) / (have * m.group_size).max(1) as f64,
            }
        };
        let fitting = engine.models.iter().filter(|m| m.group_size <= left);
        let next = fitting.max_by(|a, b| urgency(a).total_cmp(&urgency(b)));
        let Some(model) = next else { break };
        *groups.entry(&model.name).or_default() += 1;
        left -= model.group_size.max(1);
    }
    let engines = |m: &Model| groups.get(&m.name).copied().unwrap_or(0) * m.group_size;
    engine
        .models
        .iter()
        .map(|m| (m.name.clone(), engines(m)))
        .collect()
}
