//! Plays prompts of different sizes against the balancers of several entry VMs, and counts what callers
//! get by size.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::balance::{self, Balancer, Candidate, Choice, Goals, RoutingRequest};
use hemlock_lib::node::config::Engine;
use hemlock_lib::node::forecast::Estimate;
use hemlock_lib::node::peers::EndpointLoad;
use hemlock_lib::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::node_world::engine;

const GROUPS: usize = 5;
const SLOTS: usize = 30;
const VMS: usize = 24;
/// Interval of the reports between entry VMs. Each is applied one interval later, as with totals of
/// zones.
const REPORT_MS: u64 = 100;
/// Time of a request and its events on the network and in the engine, beyond passes.
const OVERHEAD_MS: u64 = 20;

/// A kind of request.
#[derive(Debug, Clone, Copy)]
struct Kind {
    per_s: f64,
    prompt_mean: f64,
    prompt_max: u32,
    events: u32,
    goals: Goals,
}

#[derive(Debug, Clone, Copy)]
struct Outcome {
    kind: usize,
    prompt: u32,
    is_answered: bool,
    first_ms: u64,
    longest_gap_ms: u64,
}

#[derive(Debug)]
struct Sent {
    vm: usize,
    to: Candidate,
    expected: Estimate,
    called_ms: u64,
    unread: u32,
    events_left: u32,
    last_event_ms: u64,
    outcome: Outcome,
}

#[derive(Debug, Default)]
struct Group {
    requests: Vec<Sent>,
    pass_end_ms: f64,
}

struct World {
    now_ms: u64,
    engine: Engine,
    kinds: Vec<Kind>,
    vms: Vec<Balancer>,
    groups: Vec<Group>,
    /// Loads of all VMs as of the report before.
    reported: Vec<Vec<EndpointLoad>>,
    outcomes: Vec<Outcome>,
    rng: SmallRng,
}

fn group_id(index: usize) -> Arc<str> {
    Arc::from(format!("g{index}"))
}

fn time(ms: u64) -> Time {
    Time::from_millis(ms)
}

impl World {
    fn new(kinds: &[Kind], seed: u64) -> Self {
        let candidate = |index: usize| Candidate {
            id: group_id(index),
            incarnation: (1, 1),
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
        let engine = Engine {
            slots: SLOTS,
            step_time: Duration::from_micros(5_950),
            step_time_per_request: Duration::from_micros(45),
            prefill_rate: 50_700.0,
            prefill_chunk: Some(2_048),
            steps_per_pass: 7,
            ..engine(&[("m", 16, 1.0)])
        };
        Self {
            now_ms: 1,
            engine,
            kinds: kinds.to_vec(),
            vms: (0..VMS).map(balancer).collect(),
            groups: (0..GROUPS).map(|_| Group::default()).collect(),
            reported: vec![Vec::new(); VMS],
            outcomes: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn play(&mut self, load: f64, span: Duration) {
        let end = self.now_ms + span.as_millis() as u64;
        while self.now_ms < end {
            self.now_ms += 1;
            for index in 0..GROUPS {
                self.advance(index);
            }
            if self.now_ms.is_multiple_of(REPORT_MS) {
                self.exchange_loads();
            }
            for kind in 0..self.kinds.len() {
                if self
                    .rng
                    .random_bool(load * self.kinds[kind].per_s / 1_000.0)
                {
                    self.request(kind);
                }
            }
        }
    }

    fn exchange_loads(&mut self) {
        let now = time(self.now_ms);
        for (i, vm) in self.vms.iter_mut().enumerate() {
            let others = self.reported.iter().enumerate().filter(|(o, _)| *o != i);
            let loads = others.flat_map(|(_, loads)| loads.iter().map(|l| (l, now)));
            vm.set_peer_loads(loads, std::iter::empty());
        }
        self.reported = self.vms.iter().map(|v| v.own_loads(now)).collect();
    }

    fn request(&mut self, kind: usize) {
        let Kind {
            prompt_mean,
            prompt_max,
            events,
            goals,
            ..
        } = self.kinds[kind];
        // Exponential up to the longest, so that few prompts are long.
        let draw = -self.rng.random::<f64>().max(1e-9).ln();
        let prompt = ((prompt_mean * draw) as u32).clamp(50, prompt_max);
        let vm = self.rng.random_range(0..VMS);
        let connected = BTreeSet::new();
        let request = RoutingRequest {
            service: "models",
            model: Some("m"),
            prompt_tokens: prompt,
            answer_tokens: events * self.engine.steps_per_pass,
            zone: "z1",
            first_event_limit: Duration::from_millis(1_400).max(goals.first_event * 3),
            queue_limit: balance::queue_limit(goals.first_event),
            goals,
            time_left: Duration::from_secs(8),
            shutdown_limit: None,
            connected: &connected,
            has_started: false,
            is_urgent: true,
        };
        let now = time(self.now_ms);
        let outcome = Outcome {
            kind,
            prompt,
            is_answered: false,
            first_ms: 0,
            longest_gap_ms: 0,
        };
        match self.vms[vm].choose(now, &request, Some(&self.engine), &[]) {
            Choice::Send(to, expected) => {
                self.vms[vm].record_send(now, &to.id, prompt);
                let index = (0..GROUPS).find(|i| group_id(*i) == to.id);
                self.groups[index.expect("a group")].requests.push(Sent {
                    vm,
                    to,
                    expected,
                    called_ms: self.now_ms,
                    unread: prompt,
                    events_left: events,
                    last_event_ms: 0,
                    outcome,
                });
            }
            _ => self.outcomes.push(outcome),
        }
    }

    /// Ends the pass of a group that is over, and begins the next.
    fn advance(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let group = &mut self.groups[index];
        if group.pass_end_ms > now_ms as f64 || group.requests.is_empty() {
            group.pass_end_ms = group.pass_end_ms.max(now_ms as f64);
            return;
        }
        let id = group_id(index);
        // Requests that were read to the end, or wrote, in the pass that is over have an event now.
        for sent in group.requests.iter_mut().filter(|s| s.unread == 0) {
            let vm = &mut self.vms[sent.vm];
            let at = now_ms + OVERHEAD_MS;
            if sent.last_event_ms == 0 {
                vm.record_first_event(time(now_ms), &id, sent.outcome.prompt);
                sent.outcome.is_answered = true;
                sent.outcome.first_ms = at - sent.called_ms;
                let observed = Duration::from_millis(sent.outcome.first_ms);
                vm.record_first_event_time(&sent.to, &sent.expected, observed);
            } else {
                let gap = at - sent.last_event_ms;
                let gap_time = Duration::from_millis(gap);
                vm.record_event_gap(&id, gap_time, &self.engine);
                sent.outcome.longest_gap_ms = sent.outcome.longest_gap_ms.max(gap);
            }
            sent.last_event_ms = at;
            sent.events_left -= 1;
        }
        for sent in group.requests.extract_if(.., |s| s.events_left == 0) {
            self.vms[sent.vm].record_end(&id, sent.outcome.prompt, false);
            self.outcomes.push(sent.outcome);
        }
        let with_slot = group.requests.iter_mut().take(SLOTS);
        let writers = with_slot.filter(|s| s.unread == 0).count();
        let steps = if writers > 0 {
            self.engine.steps_per_pass
        } else {
            1
        };
        let mut left = self.engine.prefill_chunk.unwrap_or(u32::MAX) * steps;
        let mut read = 0;
        for sent in group.requests.iter_mut().take(SLOTS) {
            let part = sent.unread.min(left);
            sent.unread -= part;
            left -= part;
            read += part;
        }
        let step = self.engine.step_time + self.engine.step_time_per_request * writers as u32;
        let decode = step.as_secs_f64() * f64::from(steps);
        let prefill = f64::from(read) / self.engine.prefill_rate;
        group.pass_end_ms += (decode + prefill) * 1_000.0;
    }

    /// Returns the share of the requests of a kind that were answered in time, of those whose prompts
    /// are among the given part of its prompts by size.
    fn in_time(&self, kind: usize, part: std::ops::Range<f64>) -> f64 {
        let mut all: Vec<&Outcome> = self.outcomes.iter().filter(|o| o.kind == kind).collect();
        all.sort_by_key(|o| o.prompt);
        let index = |share: f64| (share * all.len() as f64) as usize;
        let those = &all[index(part.start)..index(part.end)];
        let goals = self.kinds[kind].goals;
        let is_in_time = |o: &&&Outcome| {
            o.is_answered
                && u128::from(o.first_ms) <= goals.first_event.as_millis()
                && u128::from(o.longest_gap_ms) <= goals.event_gap.as_millis()
        };
        those.iter().filter(is_in_time).count() as f64 / those.len().max(1) as f64
    }
}

const fn goals(first_event_ms: u64, event_gap_ms: u64) -> Goals {
    Goals {
        first_event: Duration::from_millis(first_event_ms),
        event_gap: Duration::from_millis(event_gap_ms),
    }
}

/// Scores of essays and summaries of transcripts on one model.
const MIX: [Kind; 2] = [
    Kind {
        per_s: 24.0,
        prompt_mean: 1_460.0,
        prompt_max: 4_070,
        events: 25,
        goals: goals(300, 300),
    },
    Kind {
        per_s: 16.0,
        prompt_mean: 2_000.0,
        prompt_max: 5_920,
        events: 3,
        goals: goals(800, 300),
    },
];

#[test]
fn trial() {
    for load in [1.0, 1.4, 1.8, 2.2] {
        let mut line = format!("load {load}:");
        for kind in 0..2 {
            let (mut all, mut small, mut large) = (0.0, 0.0, 0.0);
            for seed in 0..4 {
                let mut world = World::new(&MIX, seed);
                world.play(load, Duration::from_secs(20));
                all += world.in_time(kind, 0.0..1.0) / 4.0;
                small += world.in_time(kind, 0.0..0.5) / 4.0;
                large += world.in_time(kind, 0.9..1.0) / 4.0;
            }
            line += &format!(" kind {kind}: all {all:.3} small {small:.3} large {large:.3};");
        }
        println!("{line}");
    }
}
