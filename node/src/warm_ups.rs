//! Warm-ups of endpoints: what entries, replies and restarts tell of them, and the members among which
//! the requests to them are divided.

use std::sync::Arc;

use hemlock_lib::node::config::Config;
use hemlock_lib::node::endpoints::Endpoint;
use hemlock_lib::node::warm_up::{ToldWarmUp, WarmUp, WarmUpChange};

use crate::metrics::Counter;
use crate::state::Node;

impl Node {
    /// Records what the entries of all endpoints say of their warm-ups.
    pub(crate) fn note_warm_ups(&self, config: &Config) {
        if config.services.values().all(|s| s.warm_up.is_none()) {
            return;
        }
        let now = self.now();
        let endpoints = self.endpoints.borrow();
        let mut balancer = self.balancer.borrow_mut();
        let warm_ups = balancer.limits_mut().warm_ups_mut();
        for service in config.services.values() {
            if service.warm_up.is_some_and(|w| w.is_odd) && warm_ups.is_new_oddity(&service.name) {
                log::warn!("event=warm_up_odd service={}", service.name);
            }
        }
        for endpoint in endpoints.iter() {
            let Some(warm_up) = warm_up_of(config, endpoint) else {
                continue;
            };
            let version = (endpoint.started_ms, endpoint.sequence);
            let told = endpoint.warm_up;
            let change = warm_ups.record_entry(now, &endpoint.id, version, told, &warm_up);
            self.log_warm_up(&endpoint.id, change, "entry");
        }
    }

    /// Records what an engine says of its warm-up in the reply to a query.
    pub(crate) fn note_told_warm_up(&self, id: &Arc<str>, told: ToldWarmUp) {
        let (ToldWarmUp::Left(left), Some(config)) = (told, self.config()) else {
            return;
        };
        let endpoints = self.endpoints.borrow();
        let Some(endpoint) = endpoints.get(id) else {
            return;
        };
        let Some(warm_up) = warm_up_of(&config, endpoint) else {
            return;
        };
        let mut balancer = self.balancer.borrow_mut();
        let warm_ups = balancer.limits_mut().warm_ups_mut();
        let (now, started_ms) = (self.now(), endpoint.started_ms);
        let change = warm_ups.record_reply(now, &endpoint.id, started_ms, left, &warm_up);
        self.log_warm_up(id, change, "reply");
    }

    /// Sets the members among which the requests to endpoints that warm up are divided. Those that a VM
    /// has only heard from are too few in the first seconds after a start of all.
    pub(crate) fn update_warm_up_vms(&self) {
        let mut balancer = self.balancer.borrow_mut();
        let warm_ups = balancer.limits_mut().warm_ups_mut();
        if !warm_ups.any() || !self.members_read.get() {
            return;
        }
        let now = self.now();
        let peers = self.peers.borrow();
        // One that stops takes no callers, but still sends what it has read.
        let live = peers.heartbeats(now).map(|(h, _)| h.member.node.as_str());
        warm_ups.set_vms(now, peers.names(), live);
    }

    /// Logs and counts a change of what is known of an endpoint's warm-up.
    fn log_warm_up(&self, id: &Arc<str>, change: WarmUpChange, from: &str) {
        let kind = match change {
            WarmUpChange::None => return,
            WarmUpChange::Begun { left, requests } => {
                let left_ms = left.as_millis();
                log::info!(
                    "event=warm_up id={id} left_ms={left_ms} requests={requests} from={from}"
                );
                "begun"
            }
            WarmUpChange::Malformed => {
                log::warn!("event=warm_up_malformed id={id} from={from}");
                "malformed"
            }
        };
        self.metrics.count(Counter::WarmUps, kind);
    }
}

/// Returns the warm-up of an endpoint's service, if it has one.
fn warm_up_of(config: &Config, endpoint: &Endpoint) -> Option<WarmUp> {
    config.services.get(&endpoint.service)?.warm_up
}
