//! Cost of one routing decision of a gateway, by number of endpoints.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlock_lib::chart::Charts;
use hemlock_lib::claims::Owner;
use hemlock_lib::gateway::{Arrival, Gateway, GatewayConfig, Hint, Input, Output, Target};
use hemlock_lib::ids::{Incarnation, RequestId};
use hemlock_lib::time::Time;

use super::Experiment;
use crate::endpoint_set::{DOMAINS, GROUP, Setup};
use crate::figure::{Figure, Options};

/// Numbers of endpoints.
const ENDPOINT_COUNTS: [usize; 4] = [60, 600, 1_800, 4_500];
/// Number of requests that arrive.
const REQUESTS: u64 = 5_000;
/// Number of requests that are open at a time.
const OPEN_REQUESTS: u64 = 200;
/// Number of runs, of which the fastest is reported.
const RUNS: u32 = 5;

/// The experiment that measures wall time.
pub(super) const TIMED: Experiment = Experiment {
    name: "decision_cost",
    about: "Time of one decision, and of one view, by number of endpoints",
    timed: true,
    run: run_timed,
};

/// The experiment that counts examined endpoints.
pub(super) const COUNTED: Experiment = Experiment {
    name: "decision_count",
    about: "Endpoints that one decision examines, by number of endpoints",
    timed: false,
    run: run_counted,
};

fn run_timed(options: &Options) -> Vec<Figure> {
    let mut figures = Vec::new();
    let mut times = Vec::new();
    for size in ENDPOINT_COUNTS {
        let runs = (0..RUNS).map(|t| measure(size, options.seed + u64::from(t)));
        let fastest = runs.min_by_key(|d| d.arrivals).unwrap_or_default();
        let each = fastest.arrivals.as_secs_f64() / REQUESTS as f64;
        figures.push(Figure::new(
            format!("decision_cost.request.{size}"),
            each * 1e6,
            "us",
        ));
        let view = fastest.view.as_secs_f64() * 1e3;
        figures.push(Figure::new(
            format!("decision_cost.view.{size}"),
            view,
            "ms",
        ));
        times.push(each);
    }
    let growth = times[times.len() - 1] / times[0];
    figures.push(Figure::new("decision_cost.growth", growth, "times"));
    figures
}

fn run_counted(options: &Options) -> Vec<Figure> {
    let count = |size: usize| {
        let cost = measure(size, options.seed);
        cost.examined as f64 / REQUESTS as f64
    };
    let counts: Vec<f64> = ENDPOINT_COUNTS.iter().map(|s| count(*s)).collect();
    let figure = |(size, count): (&usize, &f64)| {
        Figure::new(format!("decision_count.{size}"), *count, "endpoints")
    };
    let mut figures: Vec<Figure> = ENDPOINT_COUNTS.iter().zip(&counts).map(figure).collect();
    let growth = counts[counts.len() - 1] / counts[0];
    figures.push(Figure::new("decision_count.growth", growth, "times"));
    figures
}

#[derive(Debug, Default)]
struct Cost {
    arrivals: Duration,
    view: Duration,
    examined: u64,
}

/// Sends requests to one gateway, with a constant number of them open.
fn measure(size: usize, seed: u64) -> Cost {
    let setup = Setup {
        versions: vec![(size, 1.0)],
        slots: 16,
        gateways: 1,
        accounts: vec![Setup::account("a", 1.0)],
    };
    let charts = Charts::built_in().expect("the built-in charts are valid");
    let mut gateway = Gateway::new(config(seed), &charts);
    let mut out = Vec::new();
    let view = Arc::new(setup.view());
    gateway.step(Time::ZERO, Input::View(view.clone()), &mut out);
    let start = Instant::now();
    gateway.step(Time::ZERO, Input::View(view), &mut out);
    let refreshed = start.elapsed();
    let mut open = std::collections::VecDeque::new();
    let start = Instant::now();
    for id in 0..REQUESTS {
        let now = Time::from_millis(id);
        gateway.step(now, Input::Arrive(arrival(id, now)), &mut out);
        for output in out.drain(..) {
            if let Output::Dispatch {
                request, attempt, ..
            } = output
            {
                open.push_back((request, attempt));
            }
        }
        if open.len() as u64 > OPEN_REQUESTS
            && let Some((request, attempt)) = open.pop_front()
        {
            gateway.step(now, Input::Finished(request, attempt, None), &mut out);
        }
    }
    Cost {
        arrivals: start.elapsed(),
        view: refreshed,
        examined: gateway.examined(),
    }
}

fn arrival(id: u64, now: Time) -> Arrival {
    Arrival {
        request: RequestId::new(id.to_string()),
        key_hash: "a".to_owned(),
        target: Target::Model(GROUP.into()),
        tokens: 500,
        deadline: now + Duration::from_secs(60),
        idempotency_key: None,
        body_fingerprint: String::new(),
        hint: Hint {
            priority: 0,
            prompt: 300,
            prefix: id % 50,
        },
    }
}

fn config(seed: u64) -> GatewayConfig {
    GatewayConfig {
        owner: Owner {
            entry: "entry-0".into(),
            run: Incarnation(1),
        },
        domain: DOMAINS[0].into(),
        queue_limit: 1_000,
        max_key_age: Duration::from_secs(600),
        isolation_timeout: Duration::from_secs(5_000),
        seed,
    }
}
