//! Non-idempotent work under seeded faults.

use hemlock_lib::chart::Charts;
use hemlock_testutils::at_most_once_simulation::{self, Outcome};

use super::Experiment;
use crate::figure::{Figure, Options};

/// Simulated runs with different faults, multiplied by `--repeats`.
const SIMULATIONS: u64 = 4_000;

/// The experiment.
pub(super) const EXPERIMENT: Experiment = Experiment {
    name: "once",
    about: "Duplicate runs, wrong answers and false refusals of non-idempotent work under faults",
    timed: false,
    run,
};

fn run(options: &Options) -> Vec<Figure> {
    let charts = Charts::built_in().expect("the built-in charts are valid");
    let mut total = Outcome::default();
    let first_seed = options.seed * 1_000_000;
    for seed in first_seed..first_seed + SIMULATIONS * u64::from(options.repeats) {
        total.add(&at_most_once_simulation::run(seed, &charts));
    }
    let mut figures: Vec<Figure> = [
        ("schedules", SIMULATIONS * u64::from(options.repeats)),
        ("duplicates", total.duplicate_runs),
        ("wrong", total.wrong_answers),
        ("untrue", total.false_not_run),
        ("repeated", total.repeated_answers),
        ("hung", total.hung),
        ("sends", total.sends),
        ("ran", total.executed_jobs),
        ("answered", total.answered),
        ("replayed", total.replayed),
    ]
    .into_iter()
    .map(|(name, count)| Figure::new(format!("once.{name}"), count as f64, ""))
    .collect();
    for (code, count) in &total.refused {
        let name = format!("once.refused.{}", code.number());
        figures.push(Figure::new(name, *count as f64, ""));
    }
    figures
}
