//! Retries in a brown-out, endpoints lost to one crashing request, and requests that a loss hits.

use std::time::Duration;

use hemlock_lib::chart::Charts;
use hemlock_lib::codes::Code;
use hemlock_testutils::outage_simulation::{self, Config, Outcome};

use super::Experiment;
use crate::figure::{Figure, Options};

/// Runs of each case; `--repeats` runs more of them.
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
    let charts = Charts::built_in().expect("the built-in charts are sound");
    let mut figures = Vec::new();
    for attempt_failure_rate in [0.1, 0.3, 0.5, 0.9] {
        let config = Config {
            attempt_failure_rate,
            ..config()
        };
        let all = runs(options, &config, &charts);
        let name = format!("retries.brown_out.{attempt_failure_rate}");
        figures.push(worst(&name, "share", &all, Outcome::retry_share));
        figures.push(mean(&name, "answered", &all, answered));
    }
    let culprit = Config {
        crashing_request: true,
        ..config()
    };
    let all = runs(options, &culprit, &charts);
    let name = "retries.culprit";
    figures.push(worst(name, "endpoints", &all, |o| o.crashes as f64));
    figures.push(mean(name, "sends", &all, |o| {
        o.crashing_request_sends as f64
    }));
    figures.push(worst(name, "innocent_refused", &all, suspected));
    figures.push(mean(name, "answered", &all, answered));
    figures.push(worst(name, "recovery_ms", &all, |o| o.recovery_ms as f64));
    for simultaneous_losses in [1, 2, 4] {
        let config = Config {
            simultaneous_losses,
            ..config()
        };
        let all = runs(options, &config, &charts);
        let name = format!("retries.losses.{simultaneous_losses}");
        figures.push(worst(&name, "innocent_refused", &all, suspected));
        figures.push(mean(&name, "answered", &all, answered));
        figures.push(worst(&name, "recovery_ms", &all, |o| o.recovery_ms as f64));
    }
    figures
}

fn runs(options: &Options, config: &Config, charts: &Charts) -> Vec<Outcome> {
    let first = options.seed * 1_000;
    (first..first + RUNS * u64::from(options.repeats))
        .map(|seed| outage_simulation::run(seed, config, charts))
        .collect()
}

fn answered(outcome: &Outcome) -> f64 {
    outcome.answered as f64 / outcome.requests.max(1) as f64
}

fn suspected(outcome: &Outcome) -> f64 {
    outcome.refusals(Code::Suspect) as f64
}

fn worst(name: &str, what: &str, all: &[Outcome], value: impl Fn(&Outcome) -> f64) -> Figure {
    let max = all.iter().map(value).fold(0.0, f64::max);
    Figure::new(format!("{name}.{what}"), max, "worst run")
}

fn mean(name: &str, what: &str, all: &[Outcome], value: impl Fn(&Outcome) -> f64) -> Figure {
    let sum: f64 = all.iter().map(value).sum();
    Figure::new(format!("{name}.{what}"), sum / all.len() as f64, "mean")
}
