//! Retries during a brown-out, endpoints lost to one crashing request, and requests interrupted by
//! the loss of their endpoint.

use std::time::Duration;

use hemlock_lib::chart::Charts;
use hemlock_lib::codes::Code;
use hemlock_testutils::outage_simulation::{self, Config, Outcome};

use super::Experiment;
use crate::figure::{Figure, Options};

/// Simulated runs of each case, multiplied by `--repeats`.
const RUNS: u64 = 10;

/// The experiment.
pub(super) const EXPERIMENT: Experiment = Experiment {
    name: "retries",
    about: "Share of retries in a brown-out; endpoints lost to a crashing request",
    timed: false,
    run,
};

fn config() -> Config {
    Config {
        gateways: 6,
        replicas: 12,
        requests_per_s: 50.0,
        load_duration: Duration::from_secs(40),
        attempt_failure_rate: 0.0,
        crashing_request: false,
        simultaneous_losses: 0,
    }
}

fn run(options: &Options) -> Vec<Figure> {
    let charts = Charts::built_in().expect("the built-in charts are valid");
    let mut figures = Vec::new();
    for attempt_failure_rate in [0.1, 0.3, 0.5, 0.9] {
        let config = Config {
            attempt_failure_rate,
            ..config()
        };
        let outcomes = runs(options, &config, &charts);
        let name = format!("retries.brown_out.{attempt_failure_rate}");
        figures.push(worst(&name, "share", &outcomes, Outcome::retry_share));
        figures.push(mean(&name, "answered", &outcomes, answered_share));
    }
    let crashing_request = Config {
        crashing_request: true,
        ..config()
    };
    let outcomes = runs(options, &crashing_request, &charts);
    let name = "retries.culprit";
    figures.push(worst(name, "endpoints", &outcomes, |o| o.crashes as f64));
    figures.push(mean(name, "sends", &outcomes, |o| {
        o.crashing_request_sends as f64
    }));
    figures.push(worst(name, "innocent_refused", &outcomes, suspect_refusals));
    figures.push(mean(name, "answered", &outcomes, answered_share));
    figures.push(worst(name, "recovery_ms", &outcomes, |o| {
        o.recovery_ms as f64
    }));
    for simultaneous_losses in [1, 2, 4] {
        let config = Config {
            simultaneous_losses,
            ..config()
        };
        let outcomes = runs(options, &config, &charts);
        let name = format!("retries.losses.{simultaneous_losses}");
        figures.push(worst(
            &name,
            "innocent_refused",
            &outcomes,
            suspect_refusals,
        ));
        figures.push(mean(&name, "answered", &outcomes, answered_share));
        figures.push(worst(&name, "recovery_ms", &outcomes, |o| {
            o.recovery_ms as f64
        }));
    }
    figures
}

fn runs(options: &Options, config: &Config, charts: &Charts) -> Vec<Outcome> {
    let first_seed = options.seed * 1_000;
    (first_seed..first_seed + RUNS * u64::from(options.repeats))
        .map(|seed| outage_simulation::run(seed, config, charts))
        .collect()
}

fn answered_share(outcome: &Outcome) -> f64 {
    outcome.answered as f64 / outcome.requests.max(1) as f64
}

fn suspect_refusals(outcome: &Outcome) -> f64 {
    outcome.refusals(Code::Suspect) as f64
}

fn worst(
    name: &str,
    quantity: &str,
    outcomes: &[Outcome],
    value: impl Fn(&Outcome) -> f64,
) -> Figure {
    let max = outcomes.iter().map(value).fold(0.0, f64::max);
    Figure::new(format!("{name}.{quantity}"), max, "worst run")
}

fn mean(
    name: &str,
    quantity: &str,
    outcomes: &[Outcome],
    value: impl Fn(&Outcome) -> f64,
) -> Figure {
    let sum: f64 = outcomes.iter().map(value).sum();
    Figure::new(
        format!("{name}.{quantity}"),
        sum / outcomes.len() as f64,
        "mean",
    )
}
