//! Runs the tests of this crate in one program.

mod site;
mod test_callers;
mod test_engines;
mod test_services;
mod test_stop;
