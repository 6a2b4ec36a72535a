//! Runs the tests of this crate in one program.
