//! Test binary with all integration tests of this crate.

mod fake_agent;
mod test_apply;
mod test_check;
mod test_commands;
mod test_drain;
mod test_explain;
mod test_pages;
