//! Runs the tests of this crate in one program.

mod test_caller;
mod test_server;
