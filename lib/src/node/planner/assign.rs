//! Deals free engines out to new groups, by how far each model is below what it should have.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{
    Action, Formed, ModelCount, Round, SHOW_TIME, Stage, Summary, group_name, parse_group_name,
};
use crate::node::capacity;
use crate::node::config::Model;
use crate::node::endpoints::Endpoint;

/// Part of the engines that stays without a group, to replace lost members at once.
const RESERVE: f64 = 0.05;
/// Engines to deal out to groups.
#[derive(Debug)]
pub(super) struct Deal<'a> {
    /// Engines that each model should have.
    goals: BTreeMap<Arc<str>, usize>,
    /// Engines without a group, by failure domain.
    pub(super) free: BTreeMap<Arc<str>, Vec<&'a Endpoint>>,
    /// Engines that serve each model or will do so.
    pub(super) have: BTreeMap<Arc<str>, usize>,
}

impl Deal<'_> {
    /// Returns how many engines a model should have.
    pub(super) fn goal(&self, model: &Model) -> f64 {
        self.goals.get(&model.name).copied().unwrap_or(0) as f64
    }

    /// Returns the part of these that it has.
    pub(super) fn part(&self, model: &Model) -> f64 {
        let have = self.have.get(&model.name).copied().unwrap_or(0) as f64;
        have / self.goal(model).max(1e-9)
    }
}

impl Round<'_, '_> {
    /// Returns whether an engine may join a group now.
    fn is_free(&self, endpoint: &Endpoint, stages: &BTreeMap<(Arc<str>, u64), Stage>) -> bool {
        if endpoint.draining || self.is_dead(&endpoint.id) || !self.is_idle(&endpoint.id) {
            return false;
        }
        let Some(seat) = &endpoint.membership else {
            return true;
        };
        let key = (seat.group.clone(), seat.epoch);
        stages.get(&key) == Some(&Stage::Over)
    }

    /// Forms groups from free engines, the model furthest below its share first.
    pub(super) fn fill(&mut self, stages: &BTreeMap<(Arc<str>, u64), Stage>) {
        let engines: Vec<&Endpoint> = self.scene.endpoints.iter().collect();
        let usable = |e: &&&Endpoint| {
            &*e.service == self.scene.service && !e.draining && !self.is_dead(&e.id)
        };
        let usable: Vec<&Endpoint> = engines.iter().filter(usable).copied().collect();
        let total = (usable.len() as f64 * (1.0 - RESERVE)).ceil() as usize;
        let goals = capacity::engine_targets(self.scene.engine, total, self.scene.demand);
        let mut free: BTreeMap<Arc<str>, Vec<&Endpoint>> = BTreeMap::new();
        for e in usable.iter().filter(|e| self.is_free(e, stages)) {
            free.entry(e.domain.clone()).or_default().push(e);
        }
        let mut have: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for (key, stage) in stages {
            if matches!(stage, Stage::Forming | Stage::Ready | Stage::Serving)
                && let Some((size, model)) = parse_group_name(&key.0)
            {
                *have.entry(Arc::from(model)).or_default() += size;
            }
        }
        for (epoch, formed) in &self.planner.formed {
            let shown = stages.keys().any(|(_, e)| e == epoch);
            if !shown && !formed.given_up && self.now.since(formed.since) < SHOW_TIME {
                *have.entry(formed.model.clone()).or_default() += formed.members.len();
            }
        }
        let count = |wanted: &[Stage]| stages.values().filter(|s| wanted.contains(s)).count();
        self.planner.summary = Summary {
            usable: usable.len(),
            free: free.values().map(Vec::len).sum(),
            loading: self.loading(),
            serving: count(&[Stage::Serving]),
            forming: count(&[Stage::Forming, Stage::Ready]),
            ending: count(&[Stage::Leaving, Stage::Damaged]),
            models: self
                .scene
                .engine
                .models
                .iter()
                .map(|m| ModelCount {
                    model: m.name.clone(),
                    assigned: have.get(&m.name).copied().unwrap_or(0),
                    target: goals.get(&m.name).copied().unwrap_or(0),
                    warm: usable.iter().filter(|e| self.is_able(e, m)).count(),
                })
                .collect(),
        };
        let mut deal = Deal { goals, free, have };
        self.finish_conversions(&mut deal);
        while self.form_one(&mut deal, false) {}
        while self.form_one(&mut deal, true) {}
        self.convert(&mut deal, stages);
        self.stage_others(&usable, &deal);
    }

    /// Forms one group, of the model furthest below its share; a surplus group is one beyond that
    /// share, of engines that would serve nothing otherwise, and without a load.
    fn form_one(&mut self, deal: &mut Deal<'_>, surplus: bool) -> bool {
        let engine = self.scene.engine;
        let mut models: Vec<&Model> = engine.models.iter().collect();
        models.sort_by(|a, b| deal.part(a).total_cmp(&deal.part(b)));
        for model in models {
            let held = deal.have.get(&model.name).copied().unwrap_or(0);
            let beyond =
                (held + model.group_size) as f64 > deal.goal(model) + model.group_size as f64 / 2.0;
            if beyond && held > 0 && !surplus {
                continue;
            }
            let places = deal.free.iter().map(|(domain, engines)| {
                let open = engines
                    .iter()
                    .filter(|e| !self.is_kept(e, model, deal) && !self.is_promised(e));
                (domain, open.copied().collect::<Vec<&Endpoint>>())
            });
            let places = places.filter(|(_, e)| e.len() >= model.group_size.max(1));
            let best = places
                .map(|(domain, engines)| {
                    (self.pick(&engines, model), domain.clone(), engines.len())
                })
                .min_by_key(|((cost, _), _, count)| (*cost, std::cmp::Reverse(*count)));
            let Some(((_, members), domain, _)) = best else {
                continue;
            };
            let loads = members.iter().filter(|e| self.needs_load(e, model)).count();
            // Members would wait for one that loads; it loads before it becomes one.
            if loads > 0 && (surplus || !self.scene.before_traffic) || !self.may_load(loads) {
                continue;
            }
            self.seat(deal, &domain, model, &members);
            return true;
        }
        false
    }

    /// Takes engines out of the deal and forms a group of them.
    pub(super) fn seat(
        &mut self,
        deal: &mut Deal<'_>,
        domain: &str,
        model: &Model,
        members: &[&Endpoint],
    ) {
        if let Some(engines) = deal.free.get_mut(domain) {
            engines.retain(|e| !members.iter().any(|m| m.id == e.id));
        }
        *deal.have.entry(model.name.clone()).or_default() += model.group_size;
        self.form(model, members);
    }

    /// Returns whether an engine is kept for the model of its last group: it would have to load that
    /// again after a change, that model is at least as short of engines, and half of a group of it is
    /// idle in the domain.
    fn is_kept(&self, endpoint: &Endpoint, model: &Model, deal: &Deal<'_>) -> bool {
        let mind = self.planner.minds.get(&endpoint.id);
        let Some(last) = mind.and_then(|m| m.last.as_ref()) else {
            return false;
        };
        if *last == model.name || endpoint.staged.contains(last) {
            return false;
        }
        let Some(last) = self.scene.engine.model(last) else {
            return false;
        };
        let idle = deal.free.get(&endpoint.domain).into_iter().flatten();
        let waiting = idle.filter(|e| !self.needs_load(e, last)).count();
        waiting * 2 >= last.group_size
            && deal.part(last) < 1.0
            && deal.part(last) <= deal.part(model)
    }

    fn form(&mut self, model: &Model, members: &[&Endpoint]) {
        let epoch = self.planner.next_epoch(self.fence);
        let group = group_name(epoch, model.group_size, &model.name);
        let ids: Vec<Arc<str>> = members.iter().map(|e| e.id.clone()).collect();
        self.planner.formed.insert(
            epoch,
            Formed {
                model: model.name.clone(),
                members: ids.clone(),
                since: self.now,
                resends: 0,
                opened: false,
                given_up: false,
            },
        );
        for id in &ids {
            self.order(
                id,
                Action::Join {
                    group: group.clone(),
                    epoch,
                    model: model.name.clone(),
                    members: ids.clone(),
                },
            );
        }
    }

    /// Picks the members of a group from a domain's free engines, and the time until it is ready in
    /// milliseconds.
    pub(super) fn pick<'e>(
        &self,
        engines: &[&'e Endpoint],
        model: &Model,
    ) -> (u128, Vec<&'e Endpoint>) {
        let mut sorted: Vec<&Endpoint> = engines.to_vec();
        sorted.sort_by_key(|e| (self.delay(e, model), !e.staged.is_empty(), e.id.clone()));
        sorted.truncate(model.group_size);
        let slowest = sorted.iter().map(|e| self.delay(e, model)).max();
        (slowest.unwrap_or_default().as_millis(), sorted)
    }
}
