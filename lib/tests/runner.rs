//! Runs the tests of this crate in one program.

mod test_chart;
mod test_fleet;
mod test_model;
mod test_once;
mod test_planner;
mod test_settings;
mod test_suspicion;
mod world;
