//! Logic of hemlocklb, without I/O, clocks and threads.
//!
//! Each daemon is a state machine with a `step` function that takes the current time, an input and
//! a list to which it appends outputs: [`agent::Agent`], [`planner::Planner`] and
//! [`gateway::Gateway`]. State on which all entry VMs must agree is folded from the platform's log:
//! [`table`], [`members`], [`fleet`] and [`claims`].

pub mod accounts;
pub mod admission;
pub mod advice;
pub mod agent;
pub mod appender;
pub mod at_most_once;
mod attempts;
pub mod chart;
pub mod check;
pub mod claims;
pub mod codec;
pub mod codes;
pub mod declaration;
pub mod delta;
pub mod dispatch;
pub mod endpoint_latency;
pub mod endpoints;
pub mod engine;
pub mod fair_queue;
pub mod fleet;
pub mod folds;
pub mod gateway;
pub mod gossip;
pub mod graceful_stop;
pub mod hash;
pub mod ids;
pub mod lease;
pub mod limits;
pub mod log_limiter;
pub mod members;
pub mod message_auth;
pub mod nearest;
pub mod node;
pub mod outcomes;
pub mod peers;
pub mod placement;
pub mod plan;
pub mod plan_inputs;
pub mod planner;
pub mod platform;
pub mod probe;
pub mod rendezvous;
pub mod retry;
pub mod router;
pub mod settings;
pub mod shortage;
pub mod slices;
pub mod snapshot;
pub mod snapshot_schedule;
pub mod stream;
pub mod suspicion;
pub mod table;
pub mod time;
pub mod version_share;
pub mod view;
pub mod yaml;
