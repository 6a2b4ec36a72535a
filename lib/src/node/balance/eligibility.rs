//! Which endpoints may get a request of this entry VM now.

use std::sync::Arc;
use std::time::Duration;

use super::{Balancer, Candidate, RoutingRequest};
use crate::node::config::Engine;
use crate::time::Time;

/// Reason for which an endpoint gets no request of this entry VM now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Exclusion {
    /// The operators have evacuated the endpoint's zone.
    Evacuated,
    /// The request was sent there already.
    Tried,
    /// The endpoint does not answer.
    Silent,
    /// The endpoint asked for no requests.
    HeldOff,
    /// The endpoint breaks off requests.
    BreaksOff,
    /// This VM has no share left of the endpoint's limit.
    Limited,
}

/// Reason for which no endpoint is eligible for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Shortage {
    /// None serves it now.
    Unavailable,
    /// All that could serve it have announced limits, of which this VM has no share left.
    Limited,
}

impl Balancer {
    /// Iterates over the endpoints that serve requests of this kind.
    pub(super) fn serving<'a>(
        &'a self,
        request: &RoutingRequest<'a>,
        engine: Option<&'a Engine>,
    ) -> impl Iterator<Item = &'a Candidate> {
        let (service, model) = (request.service, request.model);
        let serves = move |candidate: &&Candidate| {
            &*candidate.service == service
                && (engine.is_none() || candidate.model.as_deref() == model)
        };
        self.candidates.values().filter(serves)
    }

    /// Returns why this VM may not send a request to an endpoint now; `None` if it may.
    pub(super) fn exclusion(
        &self,
        now: Time,
        candidate: &Candidate,
        request: &RoutingRequest<'_>,
        tried: &[Arc<str>],
    ) -> Option<Exclusion> {
        let id = &candidate.id;
        let (started_ms, _) = candidate.incarnation;
        let is_urgent = request.is_urgent || request.has_started;
        if self.evacuated.contains(&candidate.zone) {
            Some(Exclusion::Evacuated)
        } else if tried.contains(id) {
            Some(Exclusion::Tried)
        } else if self.is_silent(now, id) {
            Some(Exclusion::Silent)
        } else if !self.hold_time(now, candidate).is_zero() {
            Some(Exclusion::HeldOff)
        } else if self.breaks.is_avoided(now, id, started_ms) {
            Some(Exclusion::BreaksOff)
        } else if !self.limits.may_send(now, id, started_ms, is_urgent) {
            Some(Exclusion::Limited)
        } else {
            None
        }
    }

    /// Lists the endpoints that may get a request now; the list is empty if those that answer want none
    /// for a while.
    pub(super) fn eligible<'a>(
        &'a self,
        now: Time,
        request: &RoutingRequest<'a>,
        engine: Option<&'a Engine>,
        tried: &[Arc<str>],
    ) -> Result<Vec<&'a Candidate>, Shortage> {
        let serving = self.serving(request, engine);
        let is_out = |why: &Option<Exclusion>| {
            use Exclusion::{Evacuated, Silent, Tried};
            matches!(why, Some(Evacuated | Tried | Silent))
        };
        let mut responsive: Vec<(&Candidate, Option<Exclusion>)> = serving
            .map(|c| (c, self.exclusion(now, c, request, tried)))
            .filter(|(_, why)| !is_out(why))
            .collect();
        let is_failing = |(candidate, _): &(&Candidate, Option<Exclusion>)| {
            self.load(&candidate.id)
                .is_some_and(|load| load.is_avoided(now))
        };
        if engine.is_none() && !responsive.iter().all(is_failing) {
            responsive.retain(|entry| !is_failing(entry));
        }
        if responsive.is_empty() {
            return Err(Shortage::Unavailable);
        }
        let is_held = |why: &Option<Exclusion>| {
            matches!(why, Some(Exclusion::HeldOff | Exclusion::BreaksOff))
        };
        responsive.retain(|(_, why)| !is_held(why));
        let is_limited = |(_, why): &(&Candidate, Option<Exclusion>)| why.is_some();
        if !responsive.is_empty() && responsive.iter().all(is_limited) {
            return Err(Shortage::Limited);
        }
        responsive.retain(|entry| !is_limited(entry));
        Ok(responsive.into_iter().map(|(c, _)| c).collect())
    }

    /// Returns whether a service, or a model of its engines, has endpoints that serve requests, all of
    /// them in evacuated zones.
    pub fn is_evacuated(&self, service: &str, model: Option<&str>) -> bool {
        let serves = |c: &&Candidate| {
            &*c.service == service && (c.model.is_none() || c.model.as_deref() == model)
        };
        let mut serving = self.candidates.values().filter(serves).peekable();
        serving.peek().is_some() && serving.all(|c| self.evacuated.contains(&c.zone))
    }

    /// Returns for how long an endpoint still wants no requests; zero if it takes them.
    pub(super) fn hold_time(&self, now: Time, candidate: &Candidate) -> Duration {
        match self.held_off.get(&candidate.id) {
            Some((started_ms, until)) if *started_ms == candidate.incarnation.0 => until.since(now),
            Some(_) | None => Duration::ZERO,
        }
    }
}
