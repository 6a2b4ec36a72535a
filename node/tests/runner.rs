//! Compiles all integration tests of this crate into one binary.

mod cluster;
mod fake_peer;
mod fake_source;
mod node_process;
mod test_crashing_part;
mod test_cut;
mod test_cut_heads;
mod test_endless;
mod test_first_list;
mod test_late_config;
mod test_left_callers;
mod test_limits;
mod test_odd_entries;
mod test_pages;
mod test_passing_on;
mod test_peer_traffic;
mod test_refusals;
mod test_relay;
mod test_restored_store;
mod test_soak;
mod test_stop;
mod test_stop_edges;
mod test_stop_end;
mod test_streams;
mod test_vanished_entries;
mod test_versions;
