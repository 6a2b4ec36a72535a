//! Decides how many engines each model should have.
//!
//! Demand differs from what operators expect, and engines are lost. So each group goes to the model
//! under the highest pressure, until the models are under equal pressure.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::config::{Engine, Model};
use crate::time::Time;

/// Window over which demand is averaged: long enough that a few long prompts do not move engines
/// between models, and shorter than the usual fluctuations of the traffic.
const WINDOW: Duration = Duration::from_secs(8);
/// Duration of one counting interval.
const INTERVAL: Duration = Duration::from_millis(500);
/// Time for which requests must have been counted before the demand is used.
const MIN_COUNTING_TIME: Duration = Duration::from_secs(5);
/// Pressure of an overloaded model per unit of load, far above that of a model that only misses its
/// latency goal.
const OVERLOAD_PRESSURE: f64 = 10.0;
/// Network delay of a first event, in seconds.
const NETWORK_DELAY_S: f64 = 0.02;
/// Fraction of the time that a group is down per member, because it lost that member. Assumes that
/// 28 of 60 engines are lost in 34 s, and that a group is back after 4.5 s.
const DOWN_FRACTION_PER_MEMBER: f64 = 0.06;

/// The demand of callers for a model.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests per second.
    pub rate: f64,
    /// Mean prompt length in tokens.
    #[serde(rename = "prompt")]
    pub prompt_tokens: f64,
    /// Mean answer length in tokens.
    #[serde(rename = "answer")]
    pub answer_tokens: f64,
    /// Mean latency goal of the first event, in seconds.
    #[serde(rename = "goal")]
    pub latency_goal_s: f64,
}

/// Properties of a request that count towards the demand.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestSize {
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Expected answer length in tokens.
    pub answer_tokens: u32,
    /// Latency goal of the first event.
    pub latency_goal: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct RequestSums {
    count: f64,
    prompt_tokens: f64,
    answer_tokens: f64,
    latency_goal_s: f64,
}

/// Measures the demand at one entry VM.
#[derive(Debug, Default)]
pub struct DemandMeter {
    counting_since: Option<Time>,
    intervals: VecDeque<(Time, BTreeMap<Arc<str>, RequestSums>)>,
}

impl DemandMeter {
    /// Counts a request for a model.
    pub fn count(&mut self, now: Time, model: &str, size: &RequestSize) {
        self.counting_since.get_or_insert(now);
        while let Some((start, _)) = self.intervals.front() {
            if now.since(*start) <= WINDOW {
                break;
            }
            self.intervals.pop_front();
        }
        if self
            .intervals
            .back()
            .is_none_or(|(t, _)| now.since(*t) >= INTERVAL)
        {
            self.intervals.push_back((now, BTreeMap::new()));
        }
        let Some((_, sums)) = self.intervals.back_mut() else {
            return;
        };
        let sum = match sums.get_mut(model) {
            Some(sum) => sum,
            None => sums.entry(Arc::from(model)).or_default(),
        };
        sum.count += 1.0;
        sum.prompt_tokens += f64::from(size.prompt_tokens);
        sum.answer_tokens += f64::from(size.answer_tokens);
        sum.latency_goal_s += size.latency_goal.as_secs_f64();
    }

    /// Returns the demand for each model at this entry VM; empty until requests have been
    /// counted for the minimum time.
    pub fn demand(&self, now: Time) -> BTreeMap<Arc<str>, Demand> {
        let Some(counting_since) = self
            .counting_since
            .filter(|t| now.since(*t) >= MIN_COUNTING_TIME)
        else {
            return BTreeMap::new();
        };
        let span = now.since(counting_since).min(WINDOW).as_secs_f64();
        let mut sums: BTreeMap<Arc<str>, RequestSums> = BTreeMap::new();
        let recent = self
            .intervals
            .iter()
            .filter(|(t, _)| now.since(*t) <= WINDOW);
        for (model, interval_sums) in recent.flat_map(|(_, sums)| sums) {
            let sum = sums.entry(model.clone()).or_default();
            sum.count += interval_sums.count;
            sum.prompt_tokens += interval_sums.prompt_tokens;
            sum.answer_tokens += interval_sums.answer_tokens;
            sum.latency_goal_s += interval_sums.latency_goal_s;
        }
        let demand = |s: RequestSums| Demand {
            rate: s.count / span,
            prompt_tokens: s.prompt_tokens / s.count,
            answer_tokens: s.answer_tokens / s.count,
            latency_goal_s: s.latency_goal_s / s.count,
        };
        sums.into_iter()
            .map(|(model, s)| (model, demand(s)))
            .collect()
    }
}

/// Combines the demand measured at several entry VMs: rates are added, and the means are weighted
/// by rate.
pub fn combined_demand<'a>(
    measured: impl IntoIterator<Item = (&'a str, &'a Demand)>,
) -> BTreeMap<Arc<str>, Demand> {
    let mut total: BTreeMap<Arc<str>, Demand> = BTreeMap::new();
    for (model, vm_demand) in measured
        .into_iter()
        .filter(|(_, vm_demand)| vm_demand.rate > 0.0)
    {
        let sum = total.entry(Arc::from(model)).or_default();
        let rate = sum.rate + vm_demand.rate;
        let weighted_mean = |a: f64, b: f64| (a * sum.rate + b * vm_demand.rate) / rate;
        *sum = Demand {
            rate,
            prompt_tokens: weighted_mean(sum.prompt_tokens, vm_demand.prompt_tokens),
            answer_tokens: weighted_mean(sum.answer_tokens, vm_demand.answer_tokens),
            latency_goal_s: weighted_mean(sum.latency_goal_s, vm_demand.latency_goal_s),
        };
    }
    total
}

/// Returns the pressure on a model with the given number of groups.
///
/// It is the expected time to the first event divided by its goal, which grows as prompts queue for
/// prefill, plus the batch size divided by the slots, which shows how soon a lost group would make
/// requests wait. It is infinite without groups.
pub fn pressure(engine: &Engine, model: &Model, demand: &Demand, groups: usize) -> f64 {
    if groups == 0 {
        return f64::INFINITY;
    }
    let available_groups =
        groups as f64 / (1.0 + DOWN_FRACTION_PER_MEMBER * model.group_size as f64);
    let rate = demand.rate / available_groups;
    let slots = engine.slots.max(1) as f64;
    let prefill_load =
        rate * demand.prompt_tokens / engine.prefill_rate.max(1.0) * model.time_factor;
    let step = |batch: f64| {
        (engine.step_time.as_secs_f64() + engine.step_time_per_request.as_secs_f64() * batch)
            * model.time_factor
    };
    // Fraction of its time that a group needs for its requests when all slots are in use.
    let load = prefill_load + rate * demand.answer_tokens * step(slots) / slots;
    if load >= 1.0 {
        return OVERLOAD_PRESSURE * load;
    }
    // Batch size and step time depend on each other; a few iterations are accurate enough.
    let mut batch = 1.0;
    for _ in 0..6 {
        batch = (rate * demand.answer_tokens * step(batch) / (1.0 - prefill_load)).min(slots);
    }
    let slots_used = batch / slots;
    let pass_time = step(batch) * f64::from(engine.steps_per_pass) / (1.0 - prefill_load);
    let own_prefill = demand.prompt_tokens / engine.prefill_rate.max(1.0) * model.time_factor;
    (1.5 * pass_time + own_prefill + NETWORK_DELAY_S) / demand.latency_goal_s.max(0.001)
        + slots_used
}

/// Returns how many of the `total` engines each model should have.
///
/// The result is halfway between the shares that operators expect and those that the demand asks
/// for, so that a lull or burst of one model does not take the engines of another.
pub fn engine_targets(
    engine: &Engine,
    total: usize,
    demand: &BTreeMap<Arc<str>, Demand>,
) -> BTreeMap<Arc<str>, usize> {
    let expected = distribute(engine, total, &BTreeMap::new());
    let demanded = distribute(engine, total, demand);
    let halfway = |(model, engines): (Arc<str>, usize)| {
        let demanded_engines = demanded.get(&model).copied().unwrap_or(engines);
        (model, (engines + demanded_engines) / 2)
    };
    expected.into_iter().map(halfway).collect()
}

/// Distributes `total` engines group by group, each to the model under the highest pressure.
/// Without demand for all models, the expected shares decide.
fn distribute(
    engine: &Engine,
    total: usize,
    demand: &BTreeMap<Arc<str>, Demand>,
) -> BTreeMap<Arc<str>, usize> {
    let has_demand = engine.models.iter().all(|m| demand.contains_key(&m.name));
    let shares: f64 = engine.models.iter().map(|m| m.share).sum();
    let mut groups: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
    let mut engines_left = total;
    loop {
        let pressure_of = |m: &Model| {
            let current_groups = groups.get(&m.name).copied().unwrap_or(0);
            match demand.get(&m.name) {
                Some(d) if has_demand => pressure(engine, m, d, current_groups),
                _ => m.share / shares.max(1e-9) / (current_groups * m.group_size).max(1) as f64,
            }
        };
        let fitting_models = engine
            .models
            .iter()
            .filter(|m| m.group_size <= engines_left);
        let next = fitting_models.max_by(|a, b| pressure_of(a).total_cmp(&pressure_of(b)));
        let Some(model) = next else { break };
        *groups.entry(&model.name).or_default() += 1;
        engines_left -= model.group_size.max(1);
    }
    let engines = |m: &Model| groups.get(&m.name).copied().unwrap_or(0) * m.group_size;
    engine
        .models
        .iter()
        .map(|m| (m.name.clone(), engines(m)))
        .collect()
}
