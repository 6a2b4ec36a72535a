//! Runs the tests of this crate in one program.

mod daemons;
mod test_processes;
