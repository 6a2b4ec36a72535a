//! Runs the tests of this crate in one program.

mod test_engine;
mod test_invariants;
mod test_ports;
