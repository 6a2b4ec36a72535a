//! Runs the tests of this crate in one program.

mod test_daemon;
mod test_http_client;
mod test_logger;
mod test_metrics;
mod test_server;
