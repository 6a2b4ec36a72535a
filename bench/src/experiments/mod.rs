//! The experiments, one module each.

mod decision_cost;
mod fold;
mod gossip;
mod limits;
mod once;
mod placement;
mod planner;
mod relay;
mod retries;
mod routing;
mod shares;
mod state;
mod state_time;

use crate::figure::{Figure, Options};

/// An experiment.
#[derive(Debug, Clone, Copy)]
pub struct Experiment {
    /// Name on the command line.
    pub name: &'static str,
    /// Description of its figures, for the help text.
    pub about: &'static str,
    /// Whether its figures depend on wall time. Such experiments are not part of `.ci/run`.
    pub timed: bool,
    /// Runs the experiment and returns its figures.
    pub run: fn(&Options) -> Vec<Figure>,
}

/// All experiments.
pub const ALL: &[Experiment] = &[
    decision_cost::COUNTED,
    decision_cost::TIMED,
    fold::EXPERIMENT,
    gossip::EXPERIMENT,
    limits::EXPERIMENT,
    once::EXPERIMENT,
    placement::EXPERIMENT,
    placement::LARGE_EXPERIMENT,
    planner::EXPERIMENT,
    relay::EXPERIMENT,
    retries::EXPERIMENT,
    routing::EXPERIMENT,
    shares::EXPERIMENT,
    state::EXPERIMENT,
    state_time::EXPERIMENT,
];

/// Returns the experiment with this name.
pub fn find(name: &str) -> Option<&'static Experiment> {
    ALL.iter().find(|e| e.name == name)
}
