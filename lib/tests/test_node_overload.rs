//! Plays load beyond the capacity of a model's groups against the balancers of several entry VMs, and
//! counts what callers get.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::balance::{self, Balancer, Candidate, Choice, Goals, RoutingRequest};
use hemlock_lib::node::breaks::BreakReport;
use hemlock_lib::node::config::Engine;
use hemlock_lib::node::peers::EndpointLoad;
use hemlock_lib::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::node_world::engine;

const GROUPS: usize = 8;
const STARTED_MS: u64 = 1;
const VMS: usize = 4;
const SLOTS: usize = 17;
const TICK: Duration = Duration::from_millis(5);
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);
const PROMPT_TOKENS: u32 = 700;
const ANSWER_TOKENS: u32 = 150;
/// Time to the first event of a request that has a slot, beyond its prefill.
const OVERHEAD: Duration = Duration::from_millis(110);
const GOAL: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_secs(6);
/// Gap after which callers abandon a stream.
const ABANDON_GAP: Duration = Duration::from_secs(2);

/// Requests by outcome.
#[derive(Debug, Default)]
struct Outcomes {
    on_time: usize,
    late: usize,
    /// Refused twice.
    refused: usize,
    /// Sent to a group that did not begin them before their callers left.
    abandoned: usize,
    /// Broken off by a group that resets all requests.
    reset: usize,
}

impl Outcomes {
    fn total(&self) -> usize {
        self.on_time + self.late + self.refused + self.abandoned + self.reset
    }

    fn on_time_share(&self) -> f64 {
        self.on_time as f64 / self.total() as f64
    }

    fn served_share(&self) -> f64 {
        (self.on_time + self.late) as f64 / self.total() as f64
    }
}

/// A request at a group.
#[derive(Debug)]
struct Sent {
    vm: usize,
    called: Time,
    sent: Time,
    /// When the first event and the whole answer are due, once the request has a slot.
    due: Option<(Time, Time)>,
    has_begun: bool,
}

struct World {
    now: Time,
    engine: Engine,
    vms: Vec<Balancer>,
    groups: Vec<Vec<Sent>>,
    /// Number of groups, the first ones, that reset all requests.
    resetting: usize,
    /// Refused requests that return: when, and when they were first sent.
    returning: Vec<(Time, Time)>,
    outcomes: Outcomes,
    rng: SmallRng,
}

fn group_id(index: usize) -> Arc<str> {
    Arc::from(format!("g{index}"))
}

impl World {
    fn new(seed: u64) -> Self {
        let candidate = |index: usize| Candidate {
            id: group_id(index),
            incarnation: (STARTED_MS, 1),
            address: "10.0.0.1:80".to_owned(),
            zone: Arc::from("z1"),
            service: Arc::from("models"),
            model: Some(Arc::from("m")),
            slots: SLOTS,
            time_factor: 1.0,
        };
        let balancer = |i: usize| {
            let mut balancer = Balancer::new(&format!("entry-{i}"), Duration::from_secs(5));
            balancer.set_candidates((0..GROUPS).map(candidate));
            balancer
        };
        Self {
            now: Time::from_millis(1),
            engine: engine(&[("m", 2, 1.0)]),
            vms: (0..VMS).map(balancer).collect(),
            groups: (0..GROUPS).map(|_| Vec::new()).collect(),
            resetting: 0,
            returning: Vec::new(),
            outcomes: Outcomes::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Requests per second that all groups together can answer.
    fn capacity(&self) -> f64 {
        let answer = self.step().as_secs_f64() * f64::from(ANSWER_TOKENS);
        (GROUPS * SLOTS) as f64 / (answer + self.first_event_time().as_secs_f64())
    }

    fn step(&self) -> Duration {
        self.engine.step_time + self.engine.step_time_per_request * SLOTS as u32
    }

    fn first_event_time(&self) -> Duration {
        let prefill = Duration::from_secs_f64(f64::from(PROMPT_TOKENS) / self.engine.prefill_rate);
        OVERHEAD + prefill + self.step() * self.engine.steps_per_pass
    }

    /// Plays traffic of `load` times the capacity.
    fn play(&mut self, load: f64, span: Duration) {
        let arrivals = load * self.capacity() * TICK.as_secs_f64();
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            self.advance_groups();
            if self
                .now
                .0
                .is_multiple_of(EXCHANGE_INTERVAL.as_millis() as u64)
            {
                self.exchange_loads();
            }
            let due = self.now;
            let returned: Vec<_> = self.returning.extract_if(.., |(t, _)| *t <= due).collect();
            for (_, called) in returned {
                self.request(called, true);
            }
            let count = arrivals.floor() as usize;
            let one_more = self.rng.random_bool(arrivals.fract());
            for _ in 0..count + usize::from(one_more) {
                self.request(self.now, false);
            }
        }
    }

    fn exchange_loads(&mut self) {
        let now = self.now;
        let all: Vec<Vec<EndpointLoad>> = self.vms.iter().map(|v| v.own_loads(now)).collect();
        let reports = self.vms.iter().map(|v| v.breaks().reports(now));
        let reports: Vec<Vec<BreakReport>> = reports.collect();
        for (i, vm) in self.vms.iter_mut().enumerate() {
            let others = all.iter().enumerate().filter(|(other, _)| *other != i);
            let loads = others.flat_map(|(_, loads)| loads.iter().map(|l| (l, now)));
            vm.set_peer_loads(loads, std::iter::empty());
            let others = reports.iter().enumerate().filter(|(other, _)| *other != i);
            for report in others.flat_map(|(_, reports)| reports) {
                let id = Arc::from(report.endpoint.as_str());
                vm.breaks_mut().record_report(now, &id, report);
            }
        }
    }

    fn request(&mut self, called: Time, is_retry: bool) {
        let vm = self.rng.random_range(0..VMS);
        let elapsed = self.now.since(called);
        let connected = BTreeSet::new();
        let request = RoutingRequest {
            service: "models",
            model: Some("m"),
            prompt_tokens: PROMPT_TOKENS,
            answer_tokens: ANSWER_TOKENS,
            zone: "z1",
            first_event_limit: ABANDON_GAP.mul_f64(0.7),
            queue_limit: balance::queue_limit(GOAL),
            goals: Goals {
                first_event: GOAL,
                event_gap: GOAL,
            },
            time_left: DEADLINE.saturating_sub(elapsed),
            shutdown_limit: None,
            connected: &connected,
            has_started: false,
            is_urgent: true,
        };
        match self.vms[vm].choose(self.now, &request, Some(&self.engine), &[]) {
            Choice::Send(to, _) => {
                self.vms[vm].record_send(self.now, &to.id, PROMPT_TOKENS);
                let index = (0..GROUPS)
                    .find(|i| group_id(*i) == to.id)
                    .expect("a group");
                if index < self.resetting {
                    return self.reset(vm, &to.id);
                }
                self.groups[index].push(Sent {
                    vm,
                    called,
                    sent: self.now,
                    due: None,
                    has_begun: false,
                });
            }
            Choice::Full(after) if !is_retry => self.returning.push((self.now + after, called)),
            _ => self.outcomes.refused += 1,
        }
    }

    /// Breaks off a request that a group has just got from `vm`.
    fn reset(&mut self, vm: usize, id: &Arc<str>) {
        self.vms[vm].record_end(id, PROMPT_TOKENS, true);
        let breaks = self.vms[vm].breaks_mut();
        breaks.record_break(self.now, id, STARTED_MS);
        self.outcomes.reset += 1;
    }

    /// Gives free slots to waiting requests in turn, and ends what is due.
    fn advance_groups(&mut self) {
        let (now, first_event, step) = (self.now, self.first_event_time(), self.step());
        for (index, requests) in self.groups.iter_mut().enumerate() {
            let id = group_id(index);
            for sent in requests.iter_mut() {
                if !sent.has_begun && sent.due.is_some_and(|(first, _)| first <= now) {
                    sent.has_begun = true;
                    self.vms[sent.vm].record_first_event(now, &id, PROMPT_TOKENS);
                    match now.since(sent.called) <= GOAL {
                        true => self.outcomes.on_time += 1,
                        false => self.outcomes.late += 1,
                    }
                }
            }
            let is_over = |sent: &mut Sent| match sent.due {
                Some((_, end)) => end <= now,
                None => now.since(sent.sent) >= ABANDON_GAP,
            };
            for sent in requests.extract_if(.., is_over) {
                self.vms[sent.vm].record_end(&id, PROMPT_TOKENS, !sent.has_begun);
                self.outcomes.abandoned += usize::from(!sent.has_begun);
            }
            let free = SLOTS - requests.iter().filter(|s| s.due.is_some()).count();
            let mut waiting: Vec<&mut Sent> =
                requests.iter_mut().filter(|s| s.due.is_none()).collect();
            waiting.sort_by_key(|s| s.sent);
            for sent in waiting.into_iter().take(free) {
                let first = now + first_event;
                sent.due = Some((first, first + step * ANSWER_TOKENS));
            }
        }
    }
}

/// Groups that have a quarter more work than they can do answer four fifths of the requests, at
/// least half of these in time, and the others are refused at once.
#[test]
fn half_of_the_answers_are_in_time_under_overload() {
    for seed in 0..4 {
        let mut world = World::new(seed);
        world.play(0.7, Duration::from_secs(3));
        world.outcomes = Outcomes::default();
        world.play(1.25, Duration::from_secs(15));
        let outcomes = &world.outcomes;
        assert!(outcomes.on_time_share() >= 0.4, "seed {seed}: {outcomes:?}");
        assert!(outcomes.served_share() >= 0.8, "seed {seed}: {outcomes:?}");
        assert_eq!(outcomes.abandoned, 0, "seed {seed}");
    }
}

/// Short of overload, no request is refused twice, and hardly any is late.
#[test]
fn load_within_capacity_is_served_in_time() {
    for (seed, load) in (0..4).flat_map(|seed| [(seed, 0.8), (seed, 0.9)]) {
        let mut world = World::new(seed);
        world.play(load, Duration::from_secs(15));
        let outcomes = &world.outcomes;
        assert!(
            outcomes.on_time_share() >= 0.97,
            "seed {seed}, load {load}: {outcomes:?}"
        );
        assert_eq!(
            outcomes.refused + outcomes.abandoned,
            0,
            "seed {seed}, load {load}"
        );
    }
}

/// A burst of some seconds is over when those that it had refused come back.
#[test]
fn callers_refused_in_a_short_burst_are_served_after_it() {
    for seed in 0..4 {
        let mut world = World::new(seed);
        world.play(0.7, Duration::from_secs(3));
        world.outcomes = Outcomes::default();
        world.play(1.5, Duration::from_secs(2));
        world.play(0.6, Duration::from_secs(6));
        let outcomes = &world.outcomes;
        assert!(outcomes.served_share() >= 0.95, "seed {seed}: {outcomes:?}");
    }
}

/// Groups that reset all requests have no load and would draw those of all VMs.
#[test]
fn groups_that_reset_all_requests_get_few() {
    for seed in 0..4 {
        let mut world = World::new(seed);
        world.play(0.6, Duration::from_secs(3));
        world.outcomes = Outcomes::default();
        world.resetting = 2;
        world.play(0.6, Duration::from_millis(4_500));
        let outcomes = &world.outcomes;
        assert!(outcomes.served_share() >= 0.9, "seed {seed}: {outcomes:?}");
        world.resetting = 0;
        world.play(0.6, Duration::from_secs(6));
        world.outcomes = Outcomes::default();
        world.play(0.9, Duration::from_secs(6));
        let outcomes = &world.outcomes;
        assert!(
            outcomes.served_share() >= 0.95,
            "after, seed {seed}: {outcomes:?}"
        );
    }
}
