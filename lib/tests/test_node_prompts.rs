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
    fn candidate(index: usize) -> Candidate {
        Candidate {
            id: group_id(index),
            incarnation: (1, 1),
            address: "10.0.0.1:80".to_owned(),
            zone: Arc::from("z1"),
            service: Arc::from("models"),
            model: Some(Arc::from("m")),
            slots: SLOTS,
            time_factor: 1.0,
        }
    }

    fn new(kinds: &[Kind], seed: u64) -> Self {
        let balancer = |i: usize| {
            let mut balancer = Balancer::new(&format!("entry-{i}"), Duration::from_secs(5));
            balancer.set_candidates((0..GROUPS).map(Self::candidate));
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

/// Scores of essays, and summaries of transcripts for more patient callers.
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

/// Quotes from drawings and checks of drawings, whose callers wait equally long.
const EQUAL_GOALS: [Kind; 2] = [
    Kind {
        per_s: 36.0,
        prompt_mean: 1_460.0,
        prompt_max: 4_070,
        events: 30,
        goals: goals(400, 300),
    },
    Kind {
        per_s: 20.0,
        prompt_mean: 2_000.0,
        prompt_max: 5_920,
        events: 5,
        goals: goals(400, 300),
    },
];

/// Shares of the answers in time of one kind: of all, of the smaller half of the prompts and of the
/// largest tenth.
#[derive(Debug)]
struct InTime {
    all: f64,
    small: f64,
    largest: f64,
}

/// Returns what callers of each kind get on average over some plays.
fn play(kinds: &[Kind; 2], load: f64) -> [InTime; 2] {
    const SEEDS: u64 = 6;
    let worlds: Vec<World> = (0..SEEDS)
        .map(|seed| {
            let mut world = World::new(kinds, seed);
            world.play(load, Duration::from_secs(20));
            world
        })
        .collect();
    let mean = |kind: usize, part: std::ops::Range<f64>| {
        let shares = worlds.iter().map(|w| w.in_time(kind, part.clone()));
        shares.sum::<f64>() / SEEDS as f64
    };
    [0, 1].map(|kind| InTime {
        all: mean(kind, 0.0..1.0),
        small: mean(kind, 0.0..0.5),
        largest: mean(kind, 0.9..1.0),
    })
}

/// Groups read prompts of up to 6,000 tokens for patient callers beside shorter ones for callers that
/// wait for 300 ms. Few prompts are in any report before they are read, and entry VMs that saw the
/// same group as the emptiest one sent long and short prompts there together.
#[test]
fn long_and_short_prompts_meet_their_goals_on_the_same_groups() {
    let [short, long] = play(&MIX, 1.0);
    assert!(short.all >= 0.96 && short.small >= 0.97, "{short:?}");
    assert!(short.largest >= 0.92, "{short:?}");
    assert!(long.all >= 0.99 && long.largest >= 0.98, "{long:?}");
    let [short, long] = play(&MIX, 1.4);
    assert!(short.all >= 0.87 && short.small >= 0.9, "{short:?}");
    assert!(short.largest >= 0.79, "{short:?}");
    assert!(long.all >= 0.98 && long.largest >= 0.97, "{long:?}");
}

/// The same holds if the callers of both kinds wait equally long, so that long prompts have less time
/// to spare than short ones.
#[test]
fn long_prompts_are_not_worse_off_than_short_ones_with_the_same_goal() {
    let [short, long] = play(&EQUAL_GOALS, 1.0);
    assert!(short.all >= 0.92 && long.all >= 0.96, "{short:?} {long:?}");
    assert!(short.largest >= 0.9, "{short:?}");
    assert!(long.largest >= 0.935, "{long:?}");
}

fn balancer(vm: usize) -> Balancer {
    let candidate = |index: usize| Candidate {
        slots: 17,
        ..World::candidate(index)
    };
    let mut balancer = Balancer::new(&format!("entry-{vm}"), Duration::from_secs(5));
    balancer.set_candidates((0..GROUPS).map(candidate));
    balancer
}

fn load(index: usize, requests: u16, pending_prompt_tokens: u32) -> EndpointLoad {
    EndpointLoad {
        endpoint: group_id(index).to_string(),
        requests,
        pending_prompt_tokens,
        since_progress_ms: 10,
    }
}

fn choose(balancer: &mut Balancer, prompt_tokens: u32, connected: &BTreeSet<Arc<str>>) -> Arc<str> {
    let request = RoutingRequest {
        service: "models",
        model: Some("m"),
        prompt_tokens,
        answer_tokens: 150,
        zone: "z1",
        first_event_limit: Duration::from_secs(2),
        queue_limit: Duration::MAX,
        goals: goals(400, 300),
        time_left: Duration::from_secs(8),
        shutdown_limit: None,
        connected,
        has_started: false,
        is_urgent: true,
    };
    let engine = engine(&[("m", 2, 1.0)]);
    match balancer.choose(time(1_000), &request, Some(&engine), &[]) {
        Choice::Send(to, _) => to.id,
        other => panic!("not sent: {other:?}"),
    }
}

/// All entry VMs know the same loads, and none knows what the others send until the next reports. A
/// group that is the best one by a little was sent all requests of that time.
#[test]
fn entry_vms_that_know_the_same_loads_use_several_groups() {
    let loads: Vec<EndpointLoad> = (0..GROUPS)
        .map(|i| load(i, 12, if i == 2 { 0 } else { 700 }))
        .collect();
    let mut counts = std::collections::BTreeMap::new();
    for vm in 0..200 {
        let mut balancer = balancer(vm);
        balancer.set_peer_loads(loads.iter().map(|l| (l, time(990))), std::iter::empty());
        *counts
            .entry(choose(&mut balancer, 1_500, &BTreeSet::new()))
            .or_insert(0) += 1;
    }
    // Four groups are compared for one request.
    assert!(counts.len() >= 4, "{counts:?}");
    let best = counts[&group_id(2)];
    assert!(best < 120, "{counts:?}");
    assert!(counts.values().all(|n| *n <= best), "{counts:?}");
}

/// One more prompt in the next pass of a group can keep all its streams waiting for longer than their
/// callers do. It goes to another group, even if its own caller waits longer there.
#[test]
fn prompt_goes_where_it_makes_no_running_stream_late() {
    let nearly_late = load(0, 10, 10_000);
    let queue = load(1, 20, 2_000);
    let others = (2..GROUPS).map(|i| load(i, 12, 9_900));
    let loads: Vec<EndpointLoad> = [nearly_late, queue].into_iter().chain(others).collect();
    // Both are compared, as the only ones with an idle connection, and two of the others.
    let connected = BTreeSet::from([group_id(0), group_id(1)]);
    for vm in 0..20 {
        let mut balancer = balancer(vm);
        balancer.set_peer_loads(loads.iter().map(|l| (l, time(990))), std::iter::empty());
        assert_eq!(choose(&mut balancer, 2_400, &connected), group_id(1));
    }
    // A short prompt makes none of them late.
    let mut balancer = balancer(0);
    balancer.set_peer_loads(loads.iter().map(|l| (l, time(990))), std::iter::empty());
    let short: BTreeSet<Arc<str>> = (0..40)
        .map(|_| choose(&mut balancer, 100, &connected))
        .collect();
    assert!(short.contains(&group_id(0)), "{short:?}");
}
