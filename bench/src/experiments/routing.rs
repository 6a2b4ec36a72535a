//! First token and goodput of six gateways before a small fake of fifteen endpoints.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use hemlock_lib::chart::Charts;
use hemlock_lib::claims::Owner;
use hemlock_lib::engine::Load;
use hemlock_lib::gateway::{
    Arrival, FailReason, Gateway, GatewayConfig, Hint, Input, Output, Target,
};
use hemlock_lib::ids::{AttemptId, Incarnation, RequestId};
use hemlock_lib::router::Policy;
use hemlock_lib::time::Time;
use hemlock_lib::view::{Health, View};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::Experiment;
use crate::endpoint_set::{self, DOMAINS, EndpointSet, GROUP, Job, JobEvent, Pace, Setup};
use crate::figure::{Figure, Options};

/// Endpoints.
const ENDPOINTS: usize = 15;
/// Slots of an endpoint.
const SLOTS: u32 = 16;
/// Gateways.
const GATEWAYS: usize = 6;
/// Pace of the endpoints.
const PACE: Pace = Pace {
    prefill: Duration::from_micros(50),
    gap: Duration::from_millis(20),
};
/// Tokens of a prompt.
const PROMPT: std::ops::Range<u64> = 200..1_000;
/// Tokens of an answer at most; callers allow twice as many.
const ANSWER: std::ops::Range<u64> = 32..224;
/// Prompt prefixes that requests share, and their tokens.
const PREFIXES: u64 = 40;
const SHARED_TOKENS: u64 = 150;
/// Share of the requests that have such a prefix.
const SHARED: f64 = 0.5;
/// Time within which the whole answer is of use.
const DEADLINE: Duration = Duration::from_secs(12);
/// Length of a run, and the part of it that is not measured.
const RUN: Duration = Duration::from_secs(60);
const WARM_UP: Duration = Duration::from_secs(15);
/// Time between two steps of gateways that only let time pass.
const TICK: Duration = Duration::from_millis(10);
/// Ticks between two views.
const VIEW_TICKS: u64 = 10;
/// Time until an endpoint that is lost drops out of the view.
const DETECTION: Duration = Duration::from_secs(1);
/// Time until a broken connection is noticed.
const BREAK: Duration = Duration::from_millis(20);
/// Load that a sweep is run at, as a share of capacity.
const LOADS: [f64; 6] = [0.5, 0.7, 0.9, 1.0, 1.5, 2.0];
/// Age of the reports in milliseconds.
const AGES_MS: [u64; 3] = [0, 500, 2_000];

/// The experiment.
pub(super) const EXPERIMENT: Experiment = Experiment {
    name: "routing",
    about: "First token and goodput by load, age of the reports and fault; a policy named runs the whole grid",
    timed: false,
    run,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    Slow,
    Lost,
}

impl Fault {
    const ALL: [(&'static str, Self); 3] = [
        ("none", Self::None),
        ("slow", Self::Slow),
        ("lost", Self::Lost),
    ];

    /// Returns the endpoints' worth of capacity over the measured time.
    fn capacity(self) -> f64 {
        let measured = (RUN - WARM_UP).as_secs_f64();
        let left = (RUN / 2).as_secs_f64() / measured;
        let all = ENDPOINTS as f64;
        match self {
            Self::None => all,
            Self::Slow => all - 0.75,
            Self::Lost => all - left,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Case {
    policy: Option<Policy>,
    load: f64,
    age_ms: u64,
    fault: Fault,
}

fn run(options: &Options) -> Vec<Figure> {
    let mut figures = Vec::new();
    for (name, policy) in policies() {
        for case in cases(policy, options) {
            if options.selects(name) {
                measure(name, case, options, &mut figures);
            }
        }
    }
    if options.policies.is_empty() {
        figures.push(ratio(&figures));
    }
    figures
}

fn policies() -> impl Iterator<Item = (&'static str, Option<Policy>)> {
    let known = Policy::ALL.into_iter().map(|(n, p)| (n, Some(p)));
    known.chain([("omniscient", None)])
}

/// Lists the cases of a policy: the whole grid if it was named, else the few that have bounds.
fn cases(policy: Option<Policy>, options: &Options) -> Vec<Case> {
    let whole = !options.policies.is_empty();
    let default = policy == Some(Policy::Completion);
    let mut cases = Vec::new();
    for (_, fault) in Fault::ALL {
        for age_ms in AGES_MS {
            for load in LOADS {
                let main = age_ms == 500 && (fault == Fault::None || load == 0.9);
                let beside = fault == Fault::None && age_ms == 500 && load == 0.9;
                if whole || beside || (default && main) {
                    cases.push(Case {
                        policy,
                        load,
                        age_ms,
                        fault,
                    });
                }
            }
        }
    }
    cases
}

fn measure(name: &str, case: Case, options: &Options, figures: &mut Vec<Figure>) {
    let mut total = Tally::default();
    for repeat in 0..u64::from(options.repeats) {
        let mut world = World::new(case, options.seed + repeat);
        world.run();
        total.add(&world.tally);
    }
    let fault = Fault::ALL.iter().find(|f| f.1 == case.fault);
    let prefix = format!(
        "routing.{name}.{}.{}ms.{}",
        fault.map_or("none", |f| f.0),
        case.age_ms,
        case.load
    );
    for (p, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
        let value = total.first.value_at_quantile(quantile) as f64 / 1e6;
        figures.push(Figure::new(format!("{prefix}.first_{p}"), value, "s"));
    }
    let seconds = (RUN - WARM_UP).as_secs_f64() * f64::from(options.repeats);
    let capacity = case.fault.capacity() * f64::from(SLOTS) * mean(ANSWER) / hold();
    let goodput = total.useful as f64 / seconds / capacity;
    figures.push(Figure::new(
        format!("{prefix}.goodput"),
        goodput,
        "of capacity",
    ));
    let refused = total.refused as f64 / total.arrived.max(1) as f64;
    figures.push(Figure::new(
        format!("{prefix}.refused"),
        refused,
        "of requests",
    ));
    let late = total.late as f64 / total.arrived.max(1) as f64;
    figures.push(Figure::new(format!("{prefix}.late"), late, "of requests"));
}

fn ratio(figures: &[Figure]) -> Figure {
    let p95 = |policy: &str| {
        let name = format!("routing.{policy}.none.500ms.0.9.first_p95");
        let figure = figures.iter().find(|f| f.name == name);
        figure.map_or(f64::NAN, |f| f.value)
    };
    let value = p95("completion") / p95("omniscient");
    Figure::new("routing.p95_to_omniscient", value, "times")
}

#[derive(Debug)]
struct Tally {
    first: Histogram<u64>,
    useful: u64,
    arrived: u64,
    refused: u64,
    late: u64,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            first: Histogram::new(3).expect("three digits are allowed"),
            useful: 0,
            arrived: 0,
            refused: 0,
            late: 0,
        }
    }
}

impl Tally {
    fn add(&mut self, other: &Self) {
        self.first
            .add(&other.first)
            .expect("both histograms resize themselves");
        self.useful += other.useful;
        self.arrived += other.arrived;
        self.refused += other.refused;
        self.late += other.late;
    }
}

#[derive(Debug, Clone)]
struct Open {
    job: Job,
    at: Time,
    gateway: usize,
    attempt: AttemptId,
    first: bool,
}

#[derive(Debug)]
struct World {
    case: Case,
    rng: SmallRng,
    now: Time,
    base: View,
    gateways: Vec<Gateway>,
    endpoints: EndpointSet,
    loads: VecDeque<(Time, Vec<Load>)>,
    open: BTreeMap<u64, Open>,
    central: VecDeque<u64>,
    failing: VecDeque<(Time, u64, AttemptId, FailReason)>,
    tally: Tally,
    next: u64,
}

impl World {
    fn new(case: Case, seed: u64) -> Self {
        let setup = Setup {
            versions: vec![(ENDPOINTS, 1.0)],
            slots: SLOTS,
            gateways: GATEWAYS,
            accounts: vec![Setup::account("a", 1.0), Setup::account("b", 1.0)],
        };
        let mut endpoints = EndpointSet::new(ENDPOINTS, SLOTS, PACE);
        if case.fault == Fault::Slow {
            endpoints.slow(0, 4);
        }
        Self {
            case,
            rng: SmallRng::seed_from_u64(seed),
            now: Time::ZERO,
            base: setup.view(),
            gateways: (0..GATEWAYS)
                .map(|i| gateway(i, seed, case.policy))
                .collect(),
            endpoints,
            loads: VecDeque::new(),
            open: BTreeMap::new(),
            central: VecDeque::new(),
            failing: VecDeque::new(),
            tally: Tally::default(),
            next: 0,
        }
    }

    fn run(&mut self) {
        let end = Time::ZERO + RUN;
        let slots = self.case.fault.capacity() * f64::from(SLOTS);
        let rate = self.case.load * slots / hold();
        let mut tick = Time::ZERO;
        let mut ticks = 0;
        let mut arrival = Time::ZERO;
        while self.now < end {
            let job = self.endpoints.next_at().unwrap_or(end);
            let failing = self.failing.front().map_or(end, |f| f.0);
            self.now = job.min(failing).min(tick).min(arrival);
            if self.now == tick {
                self.tick(ticks);
                ticks += 1;
                tick = tick + TICK;
            } else if self.now == arrival {
                self.arrive();
                let gap = -self.rng.random::<f64>().max(1e-12).ln() / rate;
                arrival = arrival + Duration::from_secs_f64(gap);
            } else if self.now == failing {
                self.fail();
            } else if let Some((endpoint, event, job)) = self.endpoints.pop() {
                self.job_event(endpoint, event, job);
            }
        }
    }

    fn tick(&mut self, ticks: u64) {
        if self.case.fault == Fault::Lost && self.now == Time::ZERO + RUN / 2 {
            for job in self.endpoints.kill(1) {
                let attempt = self.open[&job.id].attempt;
                let failing = (self.now + BREAK, job.id, attempt, FailReason::Broken);
                self.failing.push_back(failing);
            }
        }
        let age = Duration::from_millis(self.case.age_ms);
        let every = if self.case.age_ms == 0 { 1 } else { VIEW_TICKS };
        if ticks.is_multiple_of(every) {
            let loads = (0..ENDPOINTS).map(|e| self.endpoints.load(e)).collect();
            self.loads.push_back((self.now, loads));
            while self.loads.len() > 1 && self.loads[1].0 <= self.now - age {
                self.loads.pop_front();
            }
            self.publish();
        }
        for gateway in 0..GATEWAYS {
            self.step(gateway, Input::Tick);
        }
    }

    fn publish(&mut self) {
        let mut view = self.base.clone();
        let Some((at, loads)) = self.loads.front() else {
            return;
        };
        for (index, load) in loads.iter().enumerate() {
            let lost = Time::ZERO + RUN / 2 + DETECTION;
            let down = self.endpoints.is_down(index) && self.now >= lost;
            if let Some(status) = view.vms.get_mut(&endpoint_set::vm(index)) {
                status.load = Load {
                    age_ms: self.now.since(*at).as_millis() as u64,
                    ..*load
                };
                status.health = if down { Health::Lost } else { Health::Live };
            }
        }
        let view = Arc::new(view);
        for gateway in 0..GATEWAYS {
            self.step(gateway, Input::View(view.clone()));
        }
    }

    fn arrive(&mut self) {
        self.next += 1;
        let shared = self.rng.random_bool(SHARED);
        let prefix = if shared {
            self.rng.random_range(1..=PREFIXES)
        } else {
            0
        };
        let job = Job {
            id: self.next,
            prompt: self.rng.random_range(PROMPT),
            answer: self.rng.random_range(ANSWER),
            prefix,
            shared: SHARED_TOKENS,
        };
        let gateway = self.rng.random_range(0..GATEWAYS);
        let open = Open {
            job,
            at: self.now,
            gateway,
            attempt: AttemptId(0),
            first: false,
        };
        self.open.insert(job.id, open);
        self.tally.arrived += u64::from(self.measured());
        if self.case.policy.is_none() {
            self.central.push_back(job.id);
            return self.drain_central();
        }
        let account = if self.rng.random_bool(0.5) { "a" } else { "b" };
        let arrival = Arrival {
            request: RequestId::new(job.id.to_string()),
            key_hash: account.to_owned(),
            target: Target::Model(GROUP.into()),
            tokens: job.prompt + ANSWER.end,
            deadline: self.now + DEADLINE,
            idempotency_key: None,
            body_fingerprint: String::new(),
            hint: Hint {
                priority: 0,
                prompt: job.prompt,
                prefix,
            },
        };
        self.step(gateway, Input::Arrive(arrival));
    }

    fn step(&mut self, gateway: usize, input: Input) {
        let mut out = Vec::new();
        self.gateways[gateway].step(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Dispatch {
                    request,
                    attempt,
                    vm,
                    ..
                } => self.dispatch(&request, attempt, vm.as_str()),
                Output::Refuse { request, .. } => {
                    self.open.remove(&number(&request));
                    self.tally.refused += u64::from(self.measured());
                }
                _ => {}
            }
        }
    }

    fn dispatch(&mut self, request: &RequestId, attempt: AttemptId, vm: &str) {
        let id = number(request);
        let endpoint = vm.rsplit('-').next().and_then(|n| n.parse().ok());
        let endpoint: usize = endpoint.expect("the name ends in a number");
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.attempt = attempt;
        if self.endpoints.is_down(endpoint) {
            let failing = (self.now + BREAK, id, attempt, FailReason::Connect);
            self.failing.push_back(failing);
        } else {
            self.endpoints.start(self.now, endpoint, open.job);
        }
    }

    fn fail(&mut self) {
        if let Some((_, id, attempt, reason)) = self.failing.pop_front()
            && let Some(open) = self.open.get(&id)
        {
            let input = Input::Failed(RequestId::new(id.to_string()), attempt, reason);
            self.step(open.gateway, input);
        }
    }

    fn job_event(&mut self, _: usize, event: JobEvent, job: Job) {
        let measured = self.measured();
        let Some(open) = self.open.get_mut(&job.id) else {
            return;
        };
        let (gateway, attempt) = (open.gateway, open.attempt);
        let request = RequestId::new(job.id.to_string());
        let taken = self.now.since(open.at);
        if event == JobEvent::First {
            if !open.first && measured {
                let _ = self.tally.first.record(taken.as_micros() as u64);
            }
            open.first = true;
            return self.step(gateway, Input::Progress(request, attempt, 1));
        }
        self.open.remove(&job.id);
        if measured && taken <= DEADLINE {
            self.tally.useful += job.answer;
        }
        self.tally.late += u64::from(measured && taken > DEADLINE);
        if self.case.policy.is_none() {
            return self.drain_central();
        }
        let progress = Input::Progress(request.clone(), attempt, job.answer);
        self.step(gateway, progress);
        self.step(gateway, Input::Finished(request, attempt, None));
    }

    /// Gives the oldest request to the endpoint that truly has its first token soonest.
    fn drain_central(&mut self) {
        while let Some(id) = self.central.front().copied() {
            let job = self.open[&id].job;
            let first = |e: usize| Some((self.endpoints.true_first(self.now, e, &job)?, e));
            let Some((_, endpoint)) = (0..ENDPOINTS).filter_map(first).min() else {
                return;
            };
            self.central.pop_front();
            self.endpoints.start(self.now, endpoint, job);
        }
    }

    fn measured(&self) -> bool {
        self.now >= Time::ZERO + WARM_UP
    }
}

fn mean(range: std::ops::Range<u64>) -> f64 {
    (range.start + range.end) as f64 / 2.0
}

/// Returns the mean time that a request holds a slot without any wait, in seconds.
fn hold() -> f64 {
    mean(PROMPT) * PACE.prefill.as_secs_f64() + mean(ANSWER) * PACE.gap.as_secs_f64()
}

fn number(request: &RequestId) -> u64 {
    let number = request.as_str().parse();
    number.expect("requests are named by numbers here")
}

fn gateway(index: usize, seed: u64, policy: Option<Policy>) -> Gateway {
    let charts = Charts::built_in().expect("the built-in charts are checked by a test");
    let config = GatewayConfig {
        owner: Owner {
            entry: format!("entry-{index}").as_str().into(),
            run: Incarnation(1),
        },
        domain: DOMAINS[index % DOMAINS.len()].into(),
        queue_limit: 1_000,
        max_key_age: Duration::from_secs(600),
        isolation_timeout: Duration::from_secs(5),
        seed: seed * 100 + index as u64,
    };
    Gateway::new(config, &charts).with_policy(policy.unwrap_or_default())
}
