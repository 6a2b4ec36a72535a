//! Time to the first token and goodput of six gateways with fifteen simulated endpoints.

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
use crate::endpoint_set::{
    self, DOMAINS, EndpointSet, GROUP, GenerationTimes, Job, JobEvent, Setup,
};
use crate::figure::{Figure, Options};

/// Number of endpoints.
const ENDPOINTS: usize = 15;
/// Slots of an endpoint.
const SLOTS: u32 = 16;
/// Number of gateways.
const GATEWAYS: usize = 6;
/// Generation times of the endpoints.
const GENERATION_TIMES: GenerationTimes = GenerationTimes {
    per_prompt_token: Duration::from_micros(50),
    token_interval: Duration::from_millis(20),
};
/// Tokens of a prompt.
const PROMPT_TOKENS: std::ops::Range<u64> = 200..1_000;
/// Tokens of an answer. Callers always allow the upper limit, about twice the mean.
const ANSWER_TOKENS: std::ops::Range<u64> = 32..224;
/// Number of different shared prompt prefixes.
const PREFIXES: u64 = 40;
/// Tokens of a shared prefix.
const PREFIX_TOKENS: u64 = 150;
/// Share of the requests whose prompt has a shared prefix.
const SHARED_PREFIX_RATE: f64 = 0.5;
/// Time from the arrival within which the complete answer counts as goodput.
const DEADLINE: Duration = Duration::from_secs(12);
/// Virtual time of a run.
const RUN: Duration = Duration::from_secs(60);
/// Time at the start of a run that is not measured.
const WARM_UP: Duration = Duration::from_secs(15);
/// Interval between two ticks of a gateway.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Ticks between two views, unless the load reports have age zero.
const VIEW_TICKS: u64 = 10;
/// Time until the view shows that an endpoint is lost.
const DETECTION: Duration = Duration::from_secs(1);
/// Time until a gateway notices a broken connection.
const BREAK_DETECTION: Duration = Duration::from_millis(20);
/// Offered loads, as shares of the capacity.
const LOADS: [f64; 6] = [0.5, 0.7, 0.9, 1.0, 1.5, 2.0];
/// Ages of the load reports in milliseconds.
const AGES_MS: [u64; 3] = [0, 500, 2_000];

/// The experiment.
pub(super) const EXPERIMENT: Experiment = Experiment {
    name: "routing",
    about: "Time to the first token and goodput by load, age of load reports and fault; a named policy runs all cases",
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

    /// Returns the mean capacity over the measured time, in endpoints.
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
        figures.push(p95_to_omniscient(&figures));
    }
    figures
}

fn policies() -> impl Iterator<Item = (&'static str, Option<Policy>)> {
    let known = Policy::ALL.into_iter().map(|(n, p)| (n, Some(p)));
    known.chain([("omniscient", None)])
}

/// Returns the cases of a policy: all combinations if policies were named, otherwise those with
/// bounds and the ones to compare them with.
fn cases(policy: Option<Policy>, options: &Options) -> Vec<Case> {
    let all_cases = !options.policies.is_empty();
    let is_default_policy = policy == Some(Policy::Completion);
    let mut cases = Vec::new();
    for (_, fault) in Fault::ALL {
        for age_ms in AGES_MS {
            for load in LOADS {
                let has_bounds = age_ms == 500 && (fault == Fault::None || load == 0.9);
                let is_comparison = fault == Fault::None && age_ms == 500 && load == 0.9;
                if all_cases || is_comparison || (is_default_policy && has_bounds) {
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
    let mut total = Counts::default();
    for repeat in 0..u64::from(options.repeats) {
        let mut simulation = Simulation::new(case, options.seed + repeat);
        simulation.run();
        total.add(&simulation.counts);
    }
    let fault = Fault::ALL.iter().find(|f| f.1 == case.fault);
    let prefix = format!(
        "routing.{name}.{}.{}ms.{}",
        fault.map_or("none", |f| f.0),
        case.age_ms,
        case.load
    );
    for (p, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
        let value = total.first_token_us.value_at_quantile(quantile) as f64 / 1e6;
        figures.push(Figure::new(format!("{prefix}.first_{p}"), value, "s"));
    }
    let seconds = (RUN - WARM_UP).as_secs_f64() * f64::from(options.repeats);
    let capacity =
        case.fault.capacity() * f64::from(SLOTS) * midpoint(ANSWER_TOKENS) / mean_slot_time_s();
    let goodput = total.useful_tokens as f64 / seconds / capacity;
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

fn p95_to_omniscient(figures: &[Figure]) -> Figure {
    let p95 = |policy: &str| {
        let name = format!("routing.{policy}.none.500ms.0.9.first_p95");
        let figure = figures.iter().find(|f| f.name == name);
        figure.map_or(f64::NAN, |f| f.value)
    };
    let value = p95("completion") / p95("omniscient");
    Figure::new("routing.p95_to_omniscient", value, "times")
}

#[derive(Debug)]
struct Counts {
    first_token_us: Histogram<u64>,
    useful_tokens: u64,
    arrived: u64,
    refused: u64,
    late: u64,
}

impl Default for Counts {
    fn default() -> Self {
        Self {
            first_token_us: Histogram::new(3).expect("three significant digits are valid"),
            useful_tokens: 0,
            arrived: 0,
            refused: 0,
            late: 0,
        }
    }
}

impl Counts {
    fn add(&mut self, other: &Self) {
        self.first_token_us
            .add(&other.first_token_us)
            .expect("the histograms resize automatically");
        self.useful_tokens += other.useful_tokens;
        self.arrived += other.arrived;
        self.refused += other.refused;
        self.late += other.late;
    }
}

#[derive(Debug, Clone)]
struct OpenRequest {
    job: Job,
    at: Time,
    gateway: usize,
    attempt: AttemptId,
    has_first_token: bool,
}

#[derive(Debug)]
struct Simulation {
    case: Case,
    rng: SmallRng,
    now: Time,
    base: View,
    gateways: Vec<Gateway>,
    endpoints: EndpointSet,
    load_history: VecDeque<(Time, Vec<Load>)>,
    open: BTreeMap<u64, OpenRequest>,
    central_queue: VecDeque<u64>,
    pending_failures: VecDeque<(Time, u64, AttemptId, FailReason)>,
    counts: Counts,
    next: u64,
}

impl Simulation {
    fn new(case: Case, seed: u64) -> Self {
        let setup = Setup {
            versions: vec![(ENDPOINTS, 1.0)],
            slots: SLOTS,
            gateways: GATEWAYS,
            accounts: vec![Setup::account("a", 1.0), Setup::account("b", 1.0)],
        };
        let mut endpoints = EndpointSet::new(ENDPOINTS, SLOTS, GENERATION_TIMES);
        if case.fault == Fault::Slow {
            endpoints.set_slowdown(0, 4);
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
            load_history: VecDeque::new(),
            open: BTreeMap::new(),
            central_queue: VecDeque::new(),
            pending_failures: VecDeque::new(),
            counts: Counts::default(),
            next: 0,
        }
    }

    fn run(&mut self) {
        let end = Time::ZERO + RUN;
        let slots = self.case.fault.capacity() * f64::from(SLOTS);
        let rate = self.case.load * slots / mean_slot_time_s();
        let mut tick = Time::ZERO;
        let mut ticks = 0;
        let mut arrival = Time::ZERO;
        while self.now < end {
            let job = self.endpoints.next_at().unwrap_or(end);
            let next_failure = self.pending_failures.front().map_or(end, |f| f.0);
            self.now = job.min(next_failure).min(tick).min(arrival);
            if self.now == tick {
                self.tick(ticks);
                ticks += 1;
                tick = tick + TICK_INTERVAL;
            } else if self.now == arrival {
                self.arrive();
                let gap = -self.rng.random::<f64>().max(1e-12).ln() / rate;
                arrival = arrival + Duration::from_secs_f64(gap);
            } else if self.now == next_failure {
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
                let failure = (
                    self.now + BREAK_DETECTION,
                    job.id,
                    attempt,
                    FailReason::Broken,
                );
                self.pending_failures.push_back(failure);
            }
        }
        let age = Duration::from_millis(self.case.age_ms);
        let every = if self.case.age_ms == 0 { 1 } else { VIEW_TICKS };
        if ticks.is_multiple_of(every) {
            let loads = (0..ENDPOINTS).map(|e| self.endpoints.load(e)).collect();
            self.load_history.push_back((self.now, loads));
            while self.load_history.len() > 1 && self.load_history[1].0 <= self.now - age {
                self.load_history.pop_front();
            }
            self.publish();
        }
        for gateway in 0..GATEWAYS {
            self.step(gateway, Input::Tick);
        }
    }

    fn publish(&mut self) {
        let mut view = self.base.clone();
        let Some((at, loads)) = self.load_history.front() else {
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
        let shared = self.rng.random_bool(SHARED_PREFIX_RATE);
        let prefix = if shared {
            self.rng.random_range(1..=PREFIXES)
        } else {
            0
        };
        let job = Job {
            id: self.next,
            prompt_tokens: self.rng.random_range(PROMPT_TOKENS),
            answer_tokens: self.rng.random_range(ANSWER_TOKENS),
            prefix,
            prefix_tokens: PREFIX_TOKENS,
        };
        let gateway = self.rng.random_range(0..GATEWAYS);
        let open = OpenRequest {
            job,
            at: self.now,
            gateway,
            attempt: AttemptId(0),
            has_first_token: false,
        };
        self.open.insert(job.id, open);
        self.counts.arrived += u64::from(self.measured());
        if self.case.policy.is_none() {
            self.central_queue.push_back(job.id);
            return self.dispatch_central_queue();
        }
        let account = if self.rng.random_bool(0.5) { "a" } else { "b" };
        let arrival = Arrival {
            request: RequestId::new(job.id.to_string()),
            key_hash: account.to_owned(),
            target: Target::Model(GROUP.into()),
            tokens: job.prompt_tokens + ANSWER_TOKENS.end,
            deadline: self.now + DEADLINE,
            idempotency_key: None,
            body_fingerprint: String::new(),
            hint: Hint {
                priority: 0,
                prompt: job.prompt_tokens,
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
                    self.counts.refused += u64::from(self.measured());
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
            let failure = (self.now + BREAK_DETECTION, id, attempt, FailReason::Connect);
            self.pending_failures.push_back(failure);
        } else {
            self.endpoints.start(self.now, endpoint, open.job);
        }
    }

    fn fail(&mut self) {
        if let Some((_, id, attempt, reason)) = self.pending_failures.pop_front()
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
        let elapsed = self.now.since(open.at);
        if event == JobEvent::FirstToken {
            if !open.has_first_token && measured {
                let _ = self
                    .counts
                    .first_token_us
                    .record(elapsed.as_micros() as u64);
            }
            open.has_first_token = true;
            return self.step(gateway, Input::Progress(request, attempt, 1));
        }
        self.open.remove(&job.id);
        if measured && elapsed <= DEADLINE {
            self.counts.useful_tokens += job.answer_tokens;
        }
        self.counts.late += u64::from(measured && elapsed > DEADLINE);
        if self.case.policy.is_none() {
            return self.dispatch_central_queue();
        }
        let progress = Input::Progress(request.clone(), attempt, job.answer_tokens);
        self.step(gateway, progress);
        self.step(gateway, Input::Finished(request, attempt, None));
    }

    /// Starts queued requests in order of arrival, each at the endpoint that would generate its first
    /// token soonest. This policy knows the true state of all endpoints.
    fn dispatch_central_queue(&mut self) {
        while let Some(id) = self.central_queue.front().copied() {
            let job = self.open[&id].job;
            let first =
                |e: usize| Some((self.endpoints.time_to_first_token(self.now, e, &job)?, e));
            let Some((_, endpoint)) = (0..ENDPOINTS).filter_map(first).min() else {
                return;
            };
            self.central_queue.pop_front();
            self.endpoints.start(self.now, endpoint, job);
        }
    }

    fn measured(&self) -> bool {
        self.now >= Time::ZERO + WARM_UP
    }
}

fn midpoint(range: std::ops::Range<u64>) -> f64 {
    (range.start + range.end) as f64 / 2.0
}

/// Returns the mean time in seconds that a request occupies a slot, without waiting.
fn mean_slot_time_s() -> f64 {
    midpoint(PROMPT_TOKENS) * GENERATION_TIMES.per_prompt_token.as_secs_f64()
        + midpoint(ANSWER_TOKENS) * GENERATION_TIMES.token_interval.as_secs_f64()
}

fn number(request: &RequestId) -> u64 {
    let number = request.as_str().parse();
    number.expect("request identifiers are numbers")
}

fn gateway(index: usize, seed: u64, policy: Option<Policy>) -> Gateway {
    let charts = Charts::built_in().expect("the built-in charts are valid");
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
