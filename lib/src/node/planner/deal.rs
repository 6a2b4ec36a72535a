//! Deals free engines out to new groups, by how far each model is below what it should have.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::{
    Action, Conversion, Formed, ModelCount, Round, SHOW_TIME, Stage, Summary, group_name,
    parse_name,
};
use crate::node::config::Model;
use crate::node::endpoints::{Endpoint, Group};
use crate::node::placement;

/// Part of the engines that stays without a group, to replace lost members at once.
const RESERVE: f64 = 0.05;
/// Part of the richest model's share of engines below which a model takes some of them although no more
/// engines serve than before.
const CONVERT: f64 = 0.6;
/// Groups that may end for another model at a time, as a part of those that serve.
const CONVERT_MOST: f64 = 0.15;
/// Time after which engines are no longer kept for a conversion: the end of a group's requests.
const CONVERT_TIME: Duration = Duration::from_millis(3_500);

/// An exchange of groups of one model for groups of another.
#[derive(Debug)]
struct Swap<'a> {
    /// Where.
    domain: Arc<str>,
    /// The groups that end.
    epochs: Vec<u64>,
    /// The model that gains engines, and the one that loses them.
    short: &'a Model,
    rich: &'a Model,
    /// Engines of the groups that form.
    gained: usize,
}

/// Engines to deal out to groups.
#[derive(Debug)]
pub(super) struct Deal<'a> {
    /// Engines that each model should have.
    goals: BTreeMap<Arc<str>, usize>,
    /// Engines without a group, by failure domain.
    pub(super) free: BTreeMap<Arc<str>, Vec<&'a Endpoint>>,
    /// Engines that serve each model or will do so.
    have: BTreeMap<Arc<str>, usize>,
}

impl Deal<'_> {
    /// Returns how many engines a model should have.
    pub(super) fn goal(&self, model: &Model) -> f64 {
        self.goals.get(&model.name).copied().unwrap_or(0) as f64
    }

    /// Returns the part of these that it has.
    fn part(&self, model: &Model) -> f64 {
        let have = self.have.get(&model.name).copied().unwrap_or(0) as f64;
        have / self.goal(model).max(1e-9)
    }
}

impl<'s> Round<'s, '_> {
    /// Returns whether an engine may join a group now.
    fn is_free(&self, endpoint: &Endpoint, stages: &BTreeMap<(Arc<str>, u64), Stage>) -> bool {
        if endpoint.draining || self.is_dead(&endpoint.id) || !self.is_idle(&endpoint.id) {
            return false;
        }
        let Some(seat) = &endpoint.seat else {
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
        let goals = placement::goals(self.scene.engine, total, self.scene.demand);
        let mut free: BTreeMap<Arc<str>, Vec<&Endpoint>> = BTreeMap::new();
        for e in usable.iter().filter(|e| self.is_free(e, stages)) {
            free.entry(e.domain.clone()).or_default().push(e);
        }
        let mut have: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for (key, stage) in stages {
            if matches!(stage, Stage::Forming | Stage::Ready | Stage::Serving)
                && let Some((size, model)) = parse_name(&key.0)
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
                    have: have.get(&m.name).copied().unwrap_or(0),
                    goal: goals.get(&m.name).copied().unwrap_or(0),
                    able: usable.iter().filter(|e| self.is_able(e, m)).count(),
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
            let beyond = (held + model.size) as f64 > deal.goal(model) + model.size as f64 / 2.0;
            if beyond && held > 0 && !surplus {
                continue;
            }
            let places = deal.free.iter().map(|(domain, engines)| {
                let open = engines
                    .iter()
                    .filter(|e| !self.is_kept(e, model, deal) && !self.is_promised(e));
                (domain, open.copied().collect::<Vec<&Endpoint>>())
            });
            let places = places.filter(|(_, e)| e.len() >= model.size.max(1));
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
            if loads > 0 && (surplus || !self.scene.early) || !self.may_load(loads) {
                continue;
            }
            self.seat(deal, &domain, model, &members);
            return true;
        }
        false
    }

    /// Takes engines out of the deal and forms a group of them.
    fn seat(&mut self, deal: &mut Deal<'_>, domain: &str, model: &Model, members: &[&Endpoint]) {
        if let Some(engines) = deal.free.get_mut(domain) {
            engines.retain(|e| !members.iter().any(|m| m.id == e.id));
        }
        *deal.have.entry(model.name.clone()).or_default() += model.size;
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
        waiting * 2 >= last.size && deal.part(last) < 1.0 && deal.part(last) <= deal.part(model)
    }

    /// Forms the groups that engines were freed for, and forgets conversions that take too long.
    fn finish_conversions(&mut self, deal: &mut Deal<'_>) {
        let domains: Vec<Arc<str>> = self.planner.conversions.keys().cloned().collect();
        for domain in domains {
            let conversion = self.planner.conversions[&domain].clone();
            let Some(model) = self.scene.engine.model(&conversion.model) else {
                self.planner.conversions.remove(&domain);
                continue;
            };
            let mut left = conversion.count;
            while left >= model.size.max(1) {
                let free = deal.free.get(&domain).into_iter().flatten().copied();
                let quick: Vec<&Endpoint> = free.filter(|e| !self.needs_load(e, model)).collect();
                if quick.len() < model.size {
                    break;
                }
                let (_, members) = self.pick(&quick, model);
                self.seat(deal, &domain, model, &members);
                left -= model.size;
            }
            if left < model.size || self.now.since(conversion.since) >= CONVERT_TIME {
                self.planner.conversions.remove(&domain);
            } else if let Some(kept) = self.planner.conversions.get_mut(&domain) {
                kept.count = left;
                *deal.have.entry(model.name.clone()).or_default() += left;
            }
        }
    }

    /// Returns whether an engine is to become part of a group that others are being freed for.
    fn is_promised(&self, endpoint: &Endpoint) -> bool {
        let conversion = self.planner.conversions.get(&endpoint.domain);
        let model = conversion.and_then(|c| self.scene.engine.model(&c.model));
        model.is_some_and(|m| !self.needs_load(endpoint, m))
    }

    /// Ends groups of the model that has the most engines for its share where their engines, with
    /// idle ones, make up a group of the model that has the fewest; one failure domain after the
    /// other, until the models are even.
    fn convert(&mut self, deal: &mut Deal<'_>, stages: &BTreeMap<(Arc<str>, u64), Stage>) {
        if self.scene.early {
            return;
        }
        let serving = stages.values().filter(|s| **s == Stage::Serving).count();
        let most = ((serving as f64 * CONVERT_MOST) as usize).max(1);
        while self.planner.retiring.len() < most {
            let Some(swap) = self.best_swap(deal, stages) else {
                return;
            };
            let Swap {
                domain,
                epochs,
                short,
                rich,
                gained,
            } = swap;
            if let Some(have) = deal.have.get_mut(&rich.name) {
                *have = have.saturating_sub(epochs.len() * rich.size);
            }
            *deal.have.entry(short.name.clone()).or_default() += gained;
            self.planner.retiring.extend(epochs);
            let conversion = Conversion {
                model: short.name.clone(),
                count: gained,
                since: self.now,
            };
            self.planner.conversions.insert(domain, conversion);
        }
    }

    /// Returns the exchange that ends the fewest groups, if one makes the models more even.
    fn best_swap(
        &self,
        deal: &Deal<'_>,
        stages: &BTreeMap<(Arc<str>, u64), Stage>,
    ) -> Option<Swap<'s>> {
        let models = || self.scene.engine.models.iter();
        let by_part = |a: &&Model, b: &&Model| deal.part(a).total_cmp(&deal.part(b));
        let short = models().min_by(by_part)?;
        let rich = models().max_by(by_part)?;
        let (low, high) = (deal.part(short), deal.part(rich));
        if short.name == rich.name || low >= 1.0 {
            return None;
        }
        let mut domains: BTreeMap<&Arc<str>, Vec<(usize, u64)>> = BTreeMap::new();
        for (key, group) in &self.groups {
            let serves =
                stages.get(key) == Some(&Stage::Serving) && !self.planner.retiring.contains(&key.1);
            let of_rich = parse_name(&group.name).is_some_and(|(_, m)| *m == *rich.name);
            let quick = self.count_quick(group, short);
            let open = !self.planner.conversions.contains_key(&group.domain);
            if serves && of_rich && quick > 0 && open {
                domains
                    .entry(&group.domain)
                    .or_default()
                    .push((quick, key.1));
            }
        }
        let mut best: Option<(usize, usize, Swap<'_>)> = None;
        for (domain, mut victims) in domains {
            let free = deal.free.get(domain).into_iter().flatten();
            let able = free.filter(|e| !self.needs_load(e, short)).count();
            // Groups whose members can serve the other model without a load go first.
            victims.sort_by_key(|(quick, epoch)| (std::cmp::Reverse(*quick), *epoch));
            let mut found = able;
            let lacks = |(quick, _): &&(usize, u64)| {
                let more = found < short.size;
                found += quick;
                more
            };
            let epochs: Vec<u64> = victims.iter().take_while(lacks).map(|(_, e)| *e).collect();
            let found = able
                + victims
                    .iter()
                    .take(epochs.len())
                    .map(|v| v.0)
                    .sum::<usize>();
            if epochs.is_empty() || found < short.size {
                continue;
            }
            let gained = found / short.size.max(1) * short.size;
            let lost = epochs.len() * rich.size;
            let more = gained > lost;
            if high - lost as f64 / deal.goal(rich).max(1e-9) < low || !more && low > high * CONVERT
            {
                continue;
            }
            let order = (epochs.len(), found - gained);
            if best.as_ref().is_none_or(|(a, b, _)| order < (*a, *b)) {
                let swap = Swap {
                    domain: domain.clone(),
                    epochs,
                    short,
                    rich,
                    gained,
                };
                best = Some((order.0, order.1, swap));
            }
        }
        best.map(|(_, _, swap)| swap)
    }

    /// Returns how many members of a group can serve another model without a load.
    fn count_quick(&self, group: &Group, model: &Model) -> usize {
        let members = group.members.values();
        let listed = members.filter_map(|(id, _)| self.scene.endpoints.get(id));
        listed.filter(|e| !self.needs_load(e, model)).count()
    }

    fn form(&mut self, model: &Model, members: &[&Endpoint]) {
        let epoch = self.planner.next_epoch(self.fence);
        let group = group_name(epoch, model.size, &model.name);
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
    fn pick<'e>(&self, engines: &[&'e Endpoint], model: &Model) -> (u128, Vec<&'e Endpoint>) {
        let mut sorted: Vec<&Endpoint> = engines.to_vec();
        sorted.sort_by_key(|e| (self.delay(e, model), !e.staged.is_empty(), e.id.clone()));
        sorted.truncate(model.size);
        let slowest = sorted.iter().map(|e| self.delay(e, model)).max();
        (slowest.unwrap_or_default().as_millis(), sorted)
    }
}
