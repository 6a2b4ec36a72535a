//! Stubs of the platform, model engines and plain services, and simulations in virtual time, for
//! tests, benchmarks and the demo.

pub mod agent;
pub mod at_most_once_simulation;
pub mod caller;
pub mod deployments;
pub mod engine;
pub mod invariants;
pub mod log;
pub mod outage_simulation;
pub mod platform;
pub mod ports;
pub mod service;
pub mod timer_thread;
