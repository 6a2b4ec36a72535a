//! Sockets, HTTP, logs and metrics of the daemons; decisions live in `hemlock-lib`.

pub mod agent_client;
pub mod clock;
pub mod daemon;
pub mod http1;
pub mod http_client;
pub mod logger;
pub mod metrics;
pub mod notify;
pub mod server;
pub mod stdout_log;
pub mod view_watcher;
