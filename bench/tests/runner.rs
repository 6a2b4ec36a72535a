//! Runs the tests of this crate in one program.

mod test_bounds;
mod test_policy;
