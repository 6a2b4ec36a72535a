//! Choice of the endpoint for one attempt: least expected completion time among a few candidates.

use rand::Rng;

use crate::endpoints::{Endpoint, Endpoints, Pool, TargetLatency, Work};
use crate::time::Time;

/// Candidates that one choice compares.
const CANDIDATES: usize = 16;
/// Endpoints that are scanned in turn when no candidate has room.
const SCAN_LIMIT: usize = 64;
/// Requests beyond its slots that an endpoint may get, so that no slot idles between two reports.
const HEADROOM: f64 = 0.25;
/// Weight of the cost of backlog to later requests, relative to its cost to this one.
///
/// The M/G/1 value function of [`Policy::FirstIteration`] gives `ρ/(1-ρ)`; this is its value at a
/// load of three quarters, used at every load.
const BACKLOG_WEIGHT: f64 = 3.0;
/// Scale of the logistic curve that approximates the normal distribution, in standard deviations.
const EXCESS_SCALE: f64 = 0.6;
/// Least standard deviation assumed for the number of requests at an endpoint.
const MIN_DEVIATION: f64 = 0.5;
/// Multiple of the scale from which the mean of the positive part is the mean itself.
const MAX_EXCESS_EXPONENT: f64 = 30.0;
/// Cost of an endpoint outside the gateway's failure domain, in seconds.
const FAR_COST_S: f64 = 0.003;

/// Policy by which endpoints are compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// Least expected completion time among a few candidates.
    #[default]
    Completion,
    /// A random endpoint.
    Random,
    /// Each endpoint in turn.
    RoundRobin,
    /// The shortest queue of all endpoints, by the last reports alone.
    ShortestStale,
    /// The shorter queue of two random endpoints, by the last reports alone.
    TwoChoices,
    /// Least admission cost of the first policy iteration over all endpoints.
    ///
    /// Hyytiä, Righter and Aalto, "State-dependent and Energy-aware Control of Server Farm", ECQT
    /// 2014: value function of an M/G/1 queue with backlog `u`, `λu²/(2(1-ρ))`.
    FirstIteration,
}

impl Policy {
    /// All policies with their names.
    pub const ALL: [(&'static str, Self); 6] = [
        ("completion", Self::Completion),
        ("random", Self::Random),
        ("round-robin", Self::RoundRobin),
        ("shortest-stale", Self::ShortestStale),
        ("two-choices", Self::TwoChoices),
        ("first-iteration", Self::FirstIteration),
    ];
}

/// Inputs of one choice.
#[derive(Debug, Clone, Copy)]
pub struct Selection<'a> {
    /// All endpoints of the gateway.
    pub endpoints: &'a Endpoints,
    /// Pool to choose from.
    pub pool: &'a Pool,
    /// Observed latencies of the target.
    pub latency: TargetLatency,
    /// Expected size of the request.
    pub work: Work,
    /// Number of live gateways that share the endpoints.
    pub gateway_count: usize,
    /// Policy by which endpoints are compared.
    pub policy: Policy,
}

/// Result of a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Index of the endpoint; `None` if no candidate has room.
    pub index: Option<usize>,
    /// Number of endpoints examined.
    pub examined: usize,
}

impl Selection<'_> {
    /// Chooses an endpoint; `choice_count` counts the choices so far.
    pub fn choose(&self, now: Time, choice_count: usize, rng: &mut impl Rng) -> Choice {
        let all = &self.pool.all;
        if all.is_empty() {
            return Choice {
                index: None,
                examined: 0,
            };
        }
        match self.policy {
            Policy::Completion => self.least_completion(now, rng),
            Policy::Random => self.first_with_room(now, rng.random_range(0..all.len())),
            Policy::RoundRobin => self.first_with_room(now, choice_count % all.len()),
            Policy::ShortestStale => {
                self.cheapest(now, all.iter().copied(), |e| f64::from(e.reported_load()))
            }
            Policy::TwoChoices => {
                let picked = [(); 2].map(|()| all[rng.random_range(0..all.len())]);
                self.cheapest(now, picked.into_iter(), |e| f64::from(e.reported_load()))
            }
            Policy::FirstIteration => {
                let (rho, hold) = (self.utilization(now), self.latency.hold());
                self.cheapest(now, all.iter().copied(), |e| {
                    admission_cost(
                        e.expected_requests(now, self.pool.mean_other_requests),
                        e.spec.slots,
                        rho,
                        hold,
                    )
                })
            }
        }
    }

    fn least_completion(&self, now: Time, rng: &mut impl Rng) -> Choice {
        let cost = |e: &Endpoint| self.completion_cost(now, e);
        let (all, near) = (&self.pool.all, &self.pool.near);
        let owner = self.pool.owner(self.work.prefix);
        let owner = owner.filter(|_| self.work.prefix != 0);
        let start = rng.random_range(0..all.len());
        if all.len() <= CANDIDATES {
            let rotation = (0..all.len()).map(|i| all[(start + i) % all.len()]);
            return self.cheapest(now, rotation, cost);
        }
        let near_count = near.len().min(CANDIDATES / 2);
        let mut picked = [0; CANDIDATES];
        for (i, index) in picked.iter_mut().enumerate() {
            let source = if i < near_count { near } else { all };
            *index = source[rng.random_range(0..source.len())];
        }
        let choice = self.cheapest(now, picked.into_iter().chain(owner), cost);
        if choice.index.is_some() {
            return choice;
        }
        let scan = (0..all.len().min(SCAN_LIMIT)).map(|i| all[(start + i) % all.len()]);
        let scanned = self.cheapest(now, scan, cost);
        Choice {
            examined: choice.examined + scanned.examined,
            ..scanned
        }
    }

    fn cheapest(
        &self,
        now: Time,
        indexes: impl Iterator<Item = usize>,
        cost: impl Fn(&Endpoint) -> f64,
    ) -> Choice {
        let mut best: Option<(f64, usize)> = None;
        let mut examined = 0;
        for index in indexes {
            examined += 1;
            let Some(endpoint) = self.endpoints.at(index).filter(|e| self.has_room(now, e)) else {
                continue;
            };
            let cost = cost(endpoint);
            if best.is_none_or(|b| cost < b.0) {
                best = Some((cost, index));
            }
        }
        Choice {
            index: best.map(|b| b.1),
            examined,
        }
    }

    fn first_with_room(&self, now: Time, start: usize) -> Choice {
        let all = &self.pool.all;
        let rotation = (0..all.len()).map(|i| all[(start + i) % all.len()]);
        let with_room = |p: &usize| self.endpoints.at(*p).is_some_and(|e| self.has_room(now, e));
        let mut examined = 0;
        let index = rotation.inspect(|_| examined += 1).find(with_room);
        Choice { index, examined }
    }

    /// Returns whether an endpoint takes another request: a slot is expected to be free, or this
    /// gateway uses less than its even share of the slots.
    fn has_room(&self, now: Time, endpoint: &Endpoint) -> bool {
        if endpoint.is_avoided(now) {
            return false;
        }
        let slots = endpoint.spec.slots;
        let expected = match self.policy {
            Policy::Completion => endpoint.expected_requests(now, self.pool.mean_other_requests),
            _ => f64::from(endpoint.open),
        };
        let share = slots / (self.gateway_count.max(1) as u32);
        expected < f64::from(slots) + HEADROOM || endpoint.open < share.min(slots)
    }

    fn completion_cost(&self, now: Time, endpoint: &Endpoint) -> f64 {
        let requests = endpoint.expected_requests(now, self.pool.mean_other_requests);
        let slots = f64::from(endpoint.spec.slots.max(1));
        let hold = self.latency.hold();
        let deviation = endpoint.requests_deviation(now, self.pool.mean_other_requests, hold);
        let wait = expected_excess(requests + 1.0 - slots, deviation) * hold / slots;
        let prompt = match endpoint.has_prefix(self.work.prefix) {
            true => 0,
            false => self.work.prompt,
        };
        let prefill = (endpoint.pending_prefill + prompt) as f64 * self.latency.prefill();
        let later_cost = requests / slots * BACKLOG_WEIGHT * hold;
        let far_cost = if endpoint.spec.near { 0.0 } else { FAR_COST_S };
        (wait + prefill + later_cost + hold) * endpoint.slowness(now) + far_cost
    }

    fn utilization(&self, now: Time) -> f64 {
        let endpoints = self.pool.all.iter().filter_map(|p| self.endpoints.at(*p));
        let (requests, slots) = endpoints.fold((0.0, 0), |sum, e| {
            let requests = e.expected_requests(now, self.pool.mean_other_requests);
            (sum.0 + requests, sum.1 + e.spec.slots.max(1))
        });
        (requests / f64::from(slots.max(1))).clamp(0.01, 0.99)
    }
}

/// Returns an approximation of the mean of the positive part of a normal variable.
pub(crate) fn expected_excess(mean: f64, deviation: f64) -> f64 {
    let scale = EXCESS_SCALE * deviation.max(MIN_DEVIATION);
    // The exponential would be infinite far beyond, where the mean itself is exact.
    if mean > scale * MAX_EXCESS_EXPONENT {
        return mean;
    }
    scale * (mean / scale).exp().ln_1p()
}

fn admission_cost(requests: f64, slots: u32, rho: f64, hold: f64) -> f64 {
    let work = hold / f64::from(slots.max(1));
    let backlog = requests * work;
    let after = backlog + work;
    let rate = rho / work;
    let value = |u: f64| rate * u * u / (2.0 * (1.0 - rho));
    after + value(after) - value(backlog)
}
