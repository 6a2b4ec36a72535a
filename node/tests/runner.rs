//! Runs the tests of this crate in one program.

mod node_process;
mod test_pages;
mod test_refusals;
mod test_relay;
mod test_soak;
mod test_stop;
mod test_streams;
