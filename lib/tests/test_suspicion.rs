//! Requests that crash endpoints, lost endpoints, and brown-outs, under load.

use std::time::Duration;

use hemlock_lib::chart::Charts;
use hemlock_lib::codes::Code;
use hemlock_testutils::outage_simulation::{self, Config, Outcome};

const SEEDS: u64 = 12;

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

fn run(config: &Config) -> Vec<Outcome> {
    let charts = Charts::built_in().expect("the charts are valid");
    (0..SEEDS)
        .map(|seed| outage_simulation::run(seed, config, &charts))
        .collect()
}

/// A request that crashes endpoints crashes two at most, however often and wherever it is sent, and
/// no other request is refused because of it.
#[test]
fn crashing_request_crashes_two_endpoints_at_most() {
    let config = Config {
        crashing_request: true,
        ..config()
    };
    for (seed, outcome) in run(&config).iter().enumerate() {
        assert!(
            outcome.crashing_request_sends >= 3,
            "seed {seed}: {outcome:?}"
        );
        assert_eq!(outcome.crashes, 2, "seed {seed}: {outcome:?}");
        assert_eq!(
            outcome.refusals(Code::Suspect),
            0,
            "seed {seed}: {outcome:?}"
        );
        assert_eq!(
            outcome.answered, outcome.requests,
            "seed {seed}: {outcome:?}"
        );
    }
}

/// When a failure domain is lost, no request is refused as the cause.
#[test]
fn lost_endpoints_cause_no_refusals() {
    for simultaneous_losses in [1, 2, 4] {
        let config = Config {
            simultaneous_losses,
            ..config()
        };
        for (seed, outcome) in run(&config).iter().enumerate() {
            assert_eq!(
                outcome.answered, outcome.requests,
                "seed {seed}: {outcome:?}"
            );
            assert_eq!(outcome.hung, 0, "seed {seed}");
        }
    }
}

/// Retries stay below a tenth of the first attempts while half of all attempts fail.
#[test]
fn retries_stay_within_the_budget_in_a_brown_out() {
    let config = Config {
        attempt_failure_rate: 0.5,
        ..config()
    };
    for (seed, outcome) in run(&config).iter().enumerate() {
        assert!(outcome.retry_share() < 0.1, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.hung, 0, "seed {seed}: {outcome:?}");
        let given_up = outcome.refusals(Code::RetryBudget);
        assert!(given_up > 0, "seed {seed}: the budget was never spent");
    }
}
