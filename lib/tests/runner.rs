//! Runs the tests of this crate in one program.

mod node_world;
mod test_agent;
mod test_appender;
mod test_chart;
mod test_check;
mod test_delta;
mod test_fleet;
mod test_folds;
mod test_gateway_policy;
mod test_gossip;
mod test_lease;
mod test_model;
mod test_node_planner;
mod test_once;
mod test_outcomes;
mod test_plan;
mod test_planner;
mod test_probe;
mod test_repeats;
mod test_settings;
mod test_shortage;
mod test_slices;
mod test_suspicion;
mod world;
