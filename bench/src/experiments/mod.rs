//! The experiments, one file each.

mod decision_cost;
mod fold;
mod gossip;
mod limits;
mod placement;
mod planner;
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
    /// What it measures.
    pub about: &'static str,
    /// Whether its figures depend on wall time, which keeps it out of `.ci/run`.
    pub timed: bool,
    /// Runs it.
    pub run: fn(&Options) -> Vec<Figure>,
}

/// All experiments.
pub const ALL: &[Experiment] = &[
    decision_cost::COUNTED,
    decision_cost::TIMED,
    fold::EXPERIMENT,
    gossip::EXPERIMENT,
    limits::EXPERIMENT,
    placement::EXPERIMENT,
    placement::TARGET,
    planner::EXPERIMENT,
    routing::EXPERIMENT,
    shares::EXPERIMENT,
    state::EXPERIMENT,
    state_time::EXPERIMENT,
];

/// Returns the experiment with this name.
pub fn find(name: &str) -> Option<&'static Experiment> {
    ALL.iter().find(|e| e.name == name)
}
