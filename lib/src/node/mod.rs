//! Decisions of `hemlock-node`, the one daemon of an entry VM on a hosted platform.
//!
//! The order of the modules is the way of a request: [`config`] finds its route and account,
//! [`endpoints`] says which endpoints exist, [`balance`] places or refuses it by the times that
//! [`forecast`] expects, [`budget`] and [`quarantine`] bound its repeats, [`events`] keeps its stream
//! whole. [`planner`] forms the groups of engines that [`capacity`] asks for, [`peers`] knows the
//! other entry VMs, and [`load_totals`] adds up the load that they have placed.

pub mod balance;
pub mod budget;
pub mod cache;
pub mod capacity;
pub mod config;
pub mod endpoints;
pub mod events;
pub mod forecast;
pub mod load_totals;
pub mod peers;
pub mod planner;
pub mod quarantine;
pub mod settings;
