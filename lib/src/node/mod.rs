//! Decision logic of `hemlock-node`, the daemon that runs on each entry VM of a hosted platform.
//!
//! The modules follow the path of a request: [`config`] finds its route and client account,
//! [`endpoints`] lists the endpoints, [`balance`] sends or refuses it by the latencies that
//! [`forecast`] estimates, the limits that endpoints announce ([`rate_limits`]), the zones that operators
//! have evacuated ([`evacuation`]) and the groups that break off requests ([`breaks`]), [`budget`] and [`quarantine`] limit its retries, and [`events`]
//! keeps its event stream free of gaps and duplicates. [`planner`] forms the engine groups that
//! [`capacity`] asks for while this VM holds the [`lease`], [`peers`] tracks the other entry VMs, which hear
//! from this one as often as [`heartbeat_pace`] says, and [`load_totals`] adds up the load that they have on endpoints. [`reach`]
//! tells whether this VM itself is cut off from the endpoints, and [`peer_paths`] which peers are not;
//! [`passing`] has one of these send a request, by the configuration that [`replaced_configs`] finds for it.
//! [`holding`] decides what follows when the endpoint of a request is silent, and [`own_delay`] knows for
//! how long this VM was not run, which is left out when others are judged by their silence.
//! [`under_way`] works out what the other entry VMs sent since they reported their load, and
//! [`memory`] bounds the bytes that open requests hold.

pub mod balance;
pub mod breaks;
pub mod budget;
pub mod cache;
pub mod capacity;
pub mod config;
pub mod endpoints;
pub mod evacuation;
pub mod events;
pub mod forecast;
mod healing;
pub mod heartbeat_pace;
pub mod holding;
pub mod lease;
pub mod load_totals;
pub mod memory;
pub mod own_delay;
pub mod passing;
mod path_evidence;
pub mod peer_paths;
pub mod peers;
pub mod planner;
pub mod quarantine;
pub mod rate_limits;
pub mod reach;
pub mod replaced_configs;
pub mod settings;
pub mod source;
pub mod under_way;
pub mod warm_up;
