//! Experiments on the decisions of hemlocklb: seeded, in virtual time where they count, and as ratios
//! within one run where they take wall time.

pub mod bounds;
pub mod endpoint_set;
pub mod experiments;
pub mod figure;
pub mod planner_simulation;
