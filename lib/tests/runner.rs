//! Runs the tests of this crate in one program.

mod test_chart;
mod test_fleet;
mod test_lease;
mod test_model;
mod test_plan;
mod test_planner;
mod test_probe;
mod test_settings;
mod world;
