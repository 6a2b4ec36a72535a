//! Shares of work of model versions and client accounts after a change of their weights.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::chart::Charts;
use hemlock_lib::claims::Owner;
use hemlock_lib::gateway::{Arrival, Gateway, GatewayConfig, Hint, Input, Output, Target};
use hemlock_lib::ids::{AttemptId, Incarnation, RequestId};
use hemlock_lib::time::Time;
use hemlock_lib::view::View;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::Experiment;
use crate::endpoint_set::{
    self, DOMAINS, EndpointSet, GROUP, GenerationTimes, Job, JobEvent, Setup,
};
use crate::figure::{Figure, Options};

/// Number of gateways.
const GATEWAYS: usize = 6;
/// Number of endpoints of each of the two versions.
const ENDPOINTS: usize = 10;
/// Slots of an endpoint.
const SLOTS: u32 = 16;
const GENERATION_TIMES: GenerationTimes = GenerationTimes {
    per_prompt_token: Duration::from_micros(50),
    token_interval: Duration::from_millis(20),
};
/// Tokens of a prompt.
const PROMPT_TOKENS: u64 = 400;
/// Possible numbers of tokens of an answer. One is much larger than the others, so that a share of
/// the work differs from a share of the calls.
const ANSWER_TOKENS: [u64; 4] = [32, 64, 96, 320];
/// Deadline of a request after its arrival.
const DEADLINE: Duration = Duration::from_secs(12);
/// Time from the start until the weights change.
const CHANGE_AFTER: Duration = Duration::from_secs(30);
/// Time after the change over which the shares are measured.
const MEASURED: Duration = Duration::from_secs(10);
/// Interval at which each gateway gets a view.
const VIEW_INTERVAL: Duration = Duration::from_millis(100);
const ACCOUNTS: [&str; 3] = ["a", "b", "c"];

/// The experiment.
pub(super) const EXPERIMENT: Experiment = Experiment {
    name: "shares",
    about: "Error of the shares of work over the ten seconds after a change of the weights",
    timed: false,
    run,
};

fn run(options: &Options) -> Vec<Figure> {
    let versions = Simulation::new(
        options.seed,
        [0.75, 0.25],
        [0.25, 0.75],
        [1.0; 3],
        [1.0; 3],
        0.5,
    );
    let accounts = [[1.0, 2.0, 5.0], [5.0, 2.0, 1.0]];
    let accounts = Simulation::new(
        options.seed,
        [0.5; 2],
        [0.5; 2],
        accounts[0],
        accounts[1],
        2.0,
    );
    let (versions, accounts) = (versions.run(), accounts.run());
    let expected = [0.25, 0.75];
    let names = [0, 1].map(endpoint_set::version);
    let version = max_relative_error(
        &versions.by_version,
        names.iter().map(String::as_str).zip(expected),
    );
    let expected = [5.0 / 8.0, 2.0 / 8.0, 1.0 / 8.0];
    let account = max_relative_error(&accounts.by_account, ACCOUNTS.into_iter().zip(expected));
    vec![
        Figure::new("shares.version_error", version, "of the weight"),
        Figure::new("shares.account_error", account, "of the weight"),
    ]
}

/// Returns the largest relative error of a share, compared with the expected shares.
fn max_relative_error<'a>(
    work: &BTreeMap<String, u64>,
    expected: impl Iterator<Item = (&'a str, f64)>,
) -> f64 {
    let total: u64 = work.values().sum();
    let relative_error = |(name, expected): (&str, f64)| {
        let share = work.get(name).copied().unwrap_or(0) as f64 / total as f64;
        (share / expected - 1.0).abs()
    };
    expected.map(relative_error).fold(0.0, f64::max)
}

struct Simulation {
    rng: SmallRng,
    now: Time,
    load: f64,
    views: [View; 2],
    gateways: Vec<Gateway>,
    endpoints: EndpointSet,
    open: BTreeMap<u64, (usize, AttemptId, Job, &'static str)>,
    by_version: BTreeMap<String, u64>,
    by_account: BTreeMap<String, u64>,
    next: u64,
}

impl Simulation {
    fn new(
        seed: u64,
        before: [f64; 2],
        after: [f64; 2],
        first: [f64; 3],
        second: [f64; 3],
        load: f64,
    ) -> Self {
        let view = |versions: [f64; 2], weights: [f64; 3]| {
            let accounts = ACCOUNTS.iter().zip(weights);
            Setup {
                versions: versions.map(|w| (ENDPOINTS, w)).to_vec(),
                slots: SLOTS,
                gateways: GATEWAYS,
                accounts: accounts.map(|(n, w)| Setup::account(n, w)).collect(),
            }
            .view()
        };
        let mut views = [view(before, first), view(after, second)];
        views[1].table.next.0 += 1;
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now: Time::ZERO,
            load,
            views,
            gateways: (0..GATEWAYS).map(|i| gateway(i, seed)).collect(),
            endpoints: EndpointSet::new(2 * ENDPOINTS, SLOTS, GENERATION_TIMES),
            open: BTreeMap::new(),
            by_version: BTreeMap::new(),
            by_account: BTreeMap::new(),
            next: 0,
        }
    }

    fn run(mut self) -> Self {
        let end = Time::ZERO + CHANGE_AFTER + MEASURED;
        let mean_answer = ANSWER_TOKENS.iter().sum::<u64>() as f64 / ANSWER_TOKENS.len() as f64;
        let mean_duration_s = mean_answer * GENERATION_TIMES.token_interval.as_secs_f64()
            + PROMPT_TOKENS as f64 * GENERATION_TIMES.per_prompt_token.as_secs_f64();
        let rate = self.load * 2.0 * ENDPOINTS as f64 * f64::from(SLOTS) / mean_duration_s;
        let (mut next_view, mut next_arrival) = (Time::ZERO, Time::ZERO);
        while self.now < end {
            let job = self.endpoints.next_at().unwrap_or(end);
            self.now = job.min(next_view).min(next_arrival);
            if self.now == next_view {
                self.publish();
                next_view = next_view + VIEW_INTERVAL;
            } else if self.now == next_arrival {
                self.arrive();
                let gap = -self.rng.random::<f64>().max(1e-12).ln() / rate;
                next_arrival = next_arrival + Duration::from_secs_f64(gap);
            } else if let Some((_, event, job)) = self.endpoints.pop() {
                self.job_event(event, job);
            }
        }
        self
    }

    fn publish(&mut self) {
        let changed = self.now >= Time::ZERO + CHANGE_AFTER;
        let mut view = self.views[usize::from(changed)].clone();
        for index in 0..2 * ENDPOINTS {
            if let Some(status) = view.vms.get_mut(&endpoint_set::vm(index)) {
                status.load = self.endpoints.load(index);
            }
        }
        let view = Arc::new(view);
        for gateway in 0..GATEWAYS {
            self.step(gateway, Input::View(view.clone()));
        }
    }

    fn arrive(&mut self) {
        self.next += 1;
        let job = Job {
            id: self.next,
            prompt_tokens: PROMPT_TOKENS,
            answer_tokens: ANSWER_TOKENS[self.rng.random_range(0..ANSWER_TOKENS.len())],
            prefix: 0,
            prefix_tokens: 0,
        };
        let gateway = self.rng.random_range(0..GATEWAYS);
        let account = ACCOUNTS[self.rng.random_range(0..ACCOUNTS.len())];
        self.open
            .insert(job.id, (gateway, AttemptId(0), job, account));
        let arrival = Arrival {
            request: RequestId::new(job.id.to_string()),
            key_hash: account.to_owned(),
            target: Target::Model(GROUP.into()),
            tokens: job.prompt_tokens + job.answer_tokens,
            deadline: self.now + DEADLINE,
            idempotency_key: None,
            body_fingerprint: String::new(),
            hint: Hint {
                prompt: job.prompt_tokens,
                ..Hint::default()
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
                    self.open.remove(&number(request.as_str()));
                }
                _ => {}
            }
        }
    }

    fn dispatch(&mut self, request: &RequestId, attempt: AttemptId, vm: &str) {
        let endpoint = number(vm.rsplit('-').next().unwrap_or_default()) as usize;
        let Some(open) = self.open.get_mut(&number(request.as_str())) else {
            return;
        };
        open.1 = attempt;
        self.endpoints.start(self.now, endpoint, open.2);
        if self.now >= Time::ZERO + CHANGE_AFTER {
            let work = open.2.prompt_tokens + open.2.answer_tokens;
            let version = endpoint_set::version(endpoint / ENDPOINTS);
            *self.by_version.entry(version).or_default() += work;
            *self.by_account.entry(open.3.to_owned()).or_default() += work;
        }
    }

    fn job_event(&mut self, event: JobEvent, job: Job) {
        let Some((gateway, attempt, ..)) = self.open.get(&job.id).copied() else {
            return;
        };
        let request = RequestId::new(job.id.to_string());
        if event == JobEvent::FirstToken {
            return self.step(gateway, Input::Progress(request, attempt, 1));
        }
        self.open.remove(&job.id);
        self.step(
            gateway,
            Input::Progress(request.clone(), attempt, job.answer_tokens),
        );
        self.step(gateway, Input::Finished(request, attempt, None));
    }
}

fn number(text: &str) -> u64 {
    text.parse().expect("the name is or ends in a number")
}

fn gateway(index: usize, seed: u64) -> Gateway {
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
    Gateway::new(config, &charts)
}
