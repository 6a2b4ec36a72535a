//! Network I/O, logging and metrics of the daemons; the decisions are made in `hemlock-lib`, which
//! does no I/O.

pub mod agent_client;
pub mod clock;
pub mod compression;
pub mod daemon;
pub mod http1;
pub mod http_client;
pub mod logger;
pub mod metrics;
pub mod notify;
pub mod server;
pub mod stdout_log;
pub mod timeout;
pub mod view_watcher;
