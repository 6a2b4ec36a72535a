//! Plays a press against the balancers of many entry VMs whose reports of load are as old as in a large
//! deployment, and counts by class and size which callers get an answer in time.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::balance::{self, Balancer, Candidate, Choice, Goals, RoutingRequest};
use hemlock_lib::node::config::Engine;
use hemlock_lib::node::peers::EndpointLoad;
use hemlock_lib::time::Time;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::node_world::engine;

const VMS: usize = 73;
const GROUPS: usize = 24;
const SLOTS: usize = 30;
const TICK: Duration = Duration::from_millis(5);
/// Interval of the reports, and the time that a report takes to become part of a total.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
const REPORT_DELAY: Duration = Duration::from_millis(100);
/// Time to the first event beyond prefill and queue.
const OVERHEAD: Duration = Duration::from_millis(60);
const DEADLINE: Duration = Duration::from_secs(6);
/// Gap after which callers abandon a stream.
const ABANDON_GAP: Duration = Duration::from_secs(2);

/// Requests of one kind.
#[derive(Debug, Clone, Copy)]
struct Class {
    /// Part of the requests.
    share: f64,
    prompt_tokens: u32,
    answer_tokens: u32,
    goal: Duration,
    /// Rank of the class at groups; 0 is first.
    rank: u8,
}

const SHORT: Class = Class {
    share: 0.9,
    prompt_tokens: 400,
    answer_tokens: 60,
    goal: Duration::from_millis(300),
    rank: 0,
};
const LONG: Class = Class {
    share: 0.1,
    prompt_tokens: 2_400,
    answer_tokens: 60,
    goal: Duration::from_millis(500),
    rank: 1,
};

/// Requests of a class by outcome.
#[derive(Debug, Default, Clone, Copy)]
struct Outcomes {
    on_time: usize,
    late: usize,
    refused: usize,
    abandoned: usize,
}

impl Outcomes {
    fn on_time_share(&self) -> f64 {
        let total = self.on_time + self.late + self.refused + self.abandoned;
        self.on_time as f64 / total.max(1) as f64
    }
}

/// A request at a group.
#[derive(Debug)]
struct Sent {
    vm: usize,
    class: usize,
    called: Time,
    sent: Time,
    has_slot: bool,
    unread: f64,
    answer_tokens: u32,
    first: Option<Time>,
    end: Option<Time>,
    has_begun: bool,
}

struct World {
    now: Time,
    engine: Engine,
    classes: Vec<Class>,
    vms: Vec<Balancer>,
    groups: Vec<Vec<Sent>>,
    /// Reports under way: when they arrive, and the load of each entry VM.
    reports: Vec<(Time, Vec<Vec<EndpointLoad>>)>,
    /// Refused requests that return: when, when they were first sent, and their class.
    returning: Vec<(Time, Time, usize)>,
    outcomes: Vec<Outcomes>,
    rng: SmallRng,
}

fn group_id(index: usize) -> Arc<str> {
    Arc::from(format!("g{index:02}"))
}

fn candidates() -> impl Iterator<Item = Candidate> {
    (0..GROUPS).map(|index| Candidate {
        id: group_id(index),
        incarnation: (1, 1),
        address: "10.0.0.1:80".to_owned(),
        zone: Arc::from("z1"),
        service: Arc::from("models"),
        model: Some(Arc::from("m")),
        slots: SLOTS,
        time_factor: 1.0,
    })
}

fn new_vm(index: usize) -> Balancer {
    let mut balancer = Balancer::new(&format!("entry-{index}"), Duration::from_secs(5));
    balancer.set_candidates(candidates());
    balancer
}

impl World {
    fn new(seed: u64, classes: &[Class]) -> Self {
        Self {
            now: Time::from_millis(1_000),
            engine: Engine {
                slots: SLOTS,
                ..engine(&[("m", 2, 1.0)])
            },
            classes: classes.to_vec(),
            vms: (0..VMS).map(new_vm).collect(),
            groups: (0..GROUPS).map(|_| Vec::new()).collect(),
            reports: Vec::new(),
            returning: Vec::new(),
            outcomes: vec![Outcomes::default(); classes.len()],
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn step(&self) -> Duration {
        self.engine.step_time + self.engine.step_time_per_request * SLOTS as u32
    }

    /// Requests per second that all groups together can answer, by their slots and by their prefill.
    fn capacity(&self) -> f64 {
        let mean = |of: fn(&Class) -> u32| {
            let weighed = self.classes.iter().map(|c| f64::from(of(c)) * c.share);
            weighed.sum::<f64>() / self.classes.iter().map(|c| c.share).sum::<f64>()
        };
        let answer = self.step().as_secs_f64() * mean(|c| c.answer_tokens);
        let prefill = mean(|c| c.prompt_tokens) / self.engine.prefill_rate;
        let by_slots = SLOTS as f64 / (answer + prefill + OVERHEAD.as_secs_f64());
        GROUPS as f64 * by_slots.min(1.0 / prefill)
    }

    /// Plays traffic of `load` times the capacity.
    fn play(&mut self, load: f64, span: Duration) {
        let arrivals = load * self.capacity() * TICK.as_secs_f64();
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            self.advance_groups();
            self.exchange_loads();
            let due = self.now;
            let returned = self.returning.extract_if(.., |(at, ..)| *at <= due);
            for (_, called, class) in returned.collect::<Vec<_>>() {
                self.request(called, class, true);
            }
            let one_more = self.rng.random_bool(arrivals.fract());
            for _ in 0..arrivals.floor() as usize + usize::from(one_more) {
                let classes: Vec<usize> = (0..self.classes.len()).collect();
                let share = |class: &usize| self.classes[*class].share;
                let class = classes.choose_weighted(&mut self.rng, share);
                self.request(self.now, *class.expect("a class"), false);
            }
        }
    }

    fn exchange_loads(&mut self) {
        let now = self.now;
        let interval = REPORT_INTERVAL.as_millis() as u64;
        if now.0.is_multiple_of(Time::from_millis(interval).0) {
            let loads = self.vms.iter().map(|vm| vm.own_loads(now)).collect();
            self.reports.push((now + REPORT_DELAY, loads));
        }
        let arrived = self.reports.extract_if(.., |(at, _)| *at <= now);
        for (_, all) in arrived.collect::<Vec<_>>() {
            for (i, vm) in self.vms.iter_mut().enumerate() {
                let others = all.iter().enumerate().filter(|(other, _)| *other != i);
                let loads = others.flat_map(|(_, loads)| loads.iter().map(|l| (l, now)));
                vm.set_peer_loads(loads, std::iter::empty());
                vm.set_total_arrival(Some(now));
            }
        }
    }

    fn request(&mut self, called: Time, class: usize, is_retry: bool) {
        let vm = self.rng.random_range(0..VMS);
        self.request_at(vm, called, class, is_retry);
    }

    fn request_at(&mut self, vm: usize, called: Time, class: usize, is_retry: bool) {
        let Class {
            prompt_tokens,
            answer_tokens,
            goal,
            ..
        } = self.classes[class];
        let connected = BTreeSet::new();
        let request = RoutingRequest {
            service: "models",
            model: Some("m"),
            prompt_tokens,
            answer_tokens,
            zone: "z1",
            first_event_limit: ABANDON_GAP.mul_f64(0.7),
            queue_limit: balance::queue_limit(goal),
            goals: Goals {
                first_event: Duration::from_millis(300),
                event_gap: Duration::from_millis(300),
            },
            time_left: DEADLINE.saturating_sub(self.now.since(called)),
            shutdown_limit: None,
            connected: &connected,
            has_started: false,
            is_urgent: true,
        };
        match self.vms[vm].choose(self.now, &request, Some(&self.engine), &[]) {
            Choice::Send(to, _) => {
                self.vms[vm].record_send(self.now, &to.id, prompt_tokens);
                let index = (0..GROUPS).find(|i| group_id(*i) == to.id);
                self.groups[index.expect("a group")].push(Sent {
                    vm,
                    class,
                    called,
                    sent: self.now,
                    has_slot: false,
                    unread: f64::from(prompt_tokens),
                    answer_tokens: (f64::from(answer_tokens) * self.rng.random_range(0.2..1.8))
                        as u32,
                    first: None,
                    end: None,
                    has_begun: false,
                });
            }
            Choice::Full(after) if !is_retry => {
                self.returning.push((self.now + after, called, class));
            }
            _ => self.outcomes[class].refused += 1,
        }
    }

    /// Gives free slots to waiting requests by rank, reads their prompts in turn, and ends what is due.
    fn advance_groups(&mut self) {
        let (now, step) = (self.now, self.step());
        for (index, requests) in self.groups.iter_mut().enumerate() {
            let id = group_id(index);
            let is_over = |sent: &mut Sent| match sent.end {
                Some(end) => end <= now,
                None => now.since(sent.sent) >= ABANDON_GAP,
            };
            for sent in requests.extract_if(.., is_over) {
                let prompt = self.classes[sent.class].prompt_tokens;
                self.vms[sent.vm].record_end(&id, prompt, !sent.has_begun);
                self.outcomes[sent.class].abandoned += usize::from(!sent.has_begun);
            }
            let free = SLOTS - requests.iter().filter(|s| s.has_slot).count();
            requests.sort_by_key(|s| (!s.has_slot, self.classes[s.class].rank, s.sent));
            let waiting = requests.iter_mut().filter(|s| !s.has_slot);
            waiting.take(free).for_each(|sent| sent.has_slot = true);
            let mut budget = self.engine.prefill_rate * TICK.as_secs_f64();
            for sent in requests.iter_mut().filter(|s| s.has_slot) {
                let class = self.classes[sent.class];
                let read = sent.unread.min(budget);
                sent.unread -= read;
                budget -= read;
                if sent.unread <= 0.0 && sent.first.is_none() {
                    sent.first = Some(now + OVERHEAD);
                    sent.end = Some(now + OVERHEAD + step * sent.answer_tokens);
                }
                if !sent.has_begun && sent.first.is_some_and(|first| first <= now) {
                    sent.has_begun = true;
                    self.vms[sent.vm].record_first_event(now, &id, class.prompt_tokens);
                    match now.since(sent.called) <= class.goal {
                        true => self.outcomes[sent.class].on_time += 1,
                        false => self.outcomes[sent.class].late += 1,
                    }
                }
            }
        }
    }

    fn reset_outcomes(&mut self) {
        self.outcomes.fill(Outcomes::default());
    }
}

/// Plays a second of half and then six of `load`, and returns the shares of each class in time.
fn shares_in_time(seed: u64, load: f64) -> Vec<f64> {
    let mut world = World::new(seed, &[SHORT, LONG]);
    world.play(0.5, Duration::from_secs(2));
    world.reset_outcomes();
    world.play(load, Duration::from_secs(6));
    world.outcomes.iter().map(Outcomes::on_time_share).collect()
}

/// Entry VMs that choose on reports 100 to 200 ms old all fill the groups that looked emptiest. Short of
/// the capacity hardly a caller of either class waits for others.
#[test]
fn vms_with_old_reports_do_not_fill_the_same_groups() {
    for seed in 0..3 {
        let shares = shares_in_time(seed, 0.8);
        assert!(shares[0] >= 0.96, "seed {seed}: {shares:?}");
        assert!(shares[1] >= 0.92, "seed {seed}: {shares:?}");
    }
}

/// Close to the capacity, most places that look free are gone when a request arrives. Four fifths of the
/// callers still get an answer in time.
#[test]
fn most_callers_are_in_time_while_groups_are_almost_full() {
    for seed in 0..3 {
        let shares = shares_in_time(seed, 0.95);
        assert!(shares[0] >= 0.8, "seed {seed}: {shares:?}");
        assert!(shares[1] >= 0.7, "seed {seed}: {shares:?}");
    }
}

/// Entry VMs that start together know of no load and draw alike if their draws begin alike. Their first
/// requests must not all reach the same few groups.
#[test]
fn first_requests_of_vms_that_start_together_are_spread() {
    let mut world = World::new(0, &[SHORT]);
    for vm in 0..VMS {
        world.request_at(vm, world.now, 0, false);
    }
    let most = world.groups.iter().map(Vec::len).max();
    assert!(most <= Some(4 * VMS / GROUPS), "{most:?}");
}
