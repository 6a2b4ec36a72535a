//! Test binary with all integration tests of this crate.

mod daemons;
mod test_processes;
