//! Runs the tests of this crate in one program.

mod harness;
mod test_callers;
mod test_engines;
mod test_services;
mod test_stop;
