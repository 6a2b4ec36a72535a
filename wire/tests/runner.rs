//! Compiles all integration tests of this crate into one binary.

mod test_compression;
mod test_daemon;
mod test_http1;
mod test_http_client;
mod test_logger;
mod test_metrics;
mod test_server;
