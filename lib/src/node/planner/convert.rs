//! Conversions: groups of one model end so that their engines, with idle ones, serve another.
//!
//! Answers engines that are lost unevenly: what is left of a large group waits idle in its domain while
//! small groups beside it have more engines than they need.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::assign::Deal;
use super::{Conversion, Round, Stage, parse_group_name};
use crate::node::config::Model;
use crate::node::endpoints::{Endpoint, Group};

/// Part of the richest model's share of engines below which a model takes some of them although no more
/// engines serve than before.
const FAR_APART: f64 = 0.6;
/// Groups that may end for another model at a time, as a part of those that serve.
const ENDING_PART: f64 = 0.15;
/// Time after which engines are no longer kept for a conversion: the end of a group's requests.
const KEEP_TIME: Duration = Duration::from_millis(3_500);

/// An exchange of groups of one model for groups of another, in one domain.
#[derive(Debug)]
struct Swap {
    /// The groups that end.
    epochs: Vec<u64>,
    /// Engines of the groups that form.
    gained: usize,
    /// Engines that stay idle.
    idle: usize,
}

/// The models between which engines are exchanged.
#[derive(Debug, Clone, Copy)]
struct Sides<'a> {
    /// The one that has the fewest engines for its share.
    short: &'a Model,
    /// The one that has the most.
    rich: &'a Model,
}

impl<'s> Round<'s, '_> {
    /// Forms the groups that engines were freed for, and forgets conversions that take too long.
    pub(super) fn finish_conversions(&mut self, deal: &mut Deal<'_>) {
        let domains: Vec<Arc<str>> = self.planner.conversions.keys().cloned().collect();
        for domain in domains {
            let conversion = self.planner.conversions[&domain].clone();
            let Some(model) = self.scene.engine.model(&conversion.model) else {
                self.planner.conversions.remove(&domain);
                continue;
            };
            let mut left = conversion.count;
            while left >= model.group_size.max(1) {
                let free = deal.free.get(&domain).into_iter().flatten().copied();
                let quick: Vec<&Endpoint> = free.filter(|e| !self.needs_load(e, model)).collect();
                if quick.len() < model.group_size {
                    break;
                }
                let (_, members) = self.pick(&quick, model);
                self.seat(deal, &domain, model, &members);
                left -= model.group_size;
            }
            if left < model.group_size || self.now.since(conversion.since) >= KEEP_TIME {
                self.planner.conversions.remove(&domain);
            } else if let Some(kept) = self.planner.conversions.get_mut(&domain) {
                kept.count = left;
                *deal.have.entry(model.name.clone()).or_default() += left;
            }
        }
    }

    /// Returns whether an engine is to become part of a group that others are being freed for.
    pub(super) fn is_promised(&self, endpoint: &Endpoint) -> bool {
        let conversion = self.planner.conversions.get(&endpoint.domain);
        let model = conversion.and_then(|c| self.scene.engine.model(&c.model));
        model.is_some_and(|m| !self.needs_load(endpoint, m))
    }

    /// Ends groups of the model that has the most engines for its share where their engines, with
    /// idle ones, make up a group of the model that has the fewest; one failure domain after the
    /// other, until the models are even.
    pub(super) fn convert(
        &mut self,
        deal: &mut Deal<'_>,
        stages: &BTreeMap<(Arc<str>, u64), Stage>,
    ) {
        if self.scene.before_traffic {
            return;
        }
        let serving = stages.values().filter(|s| **s == Stage::Serving).count();
        let most = ((serving as f64 * ENDING_PART) as usize).max(1);
        while self.planner.retiring.len() < most {
            let Some(sides) = self.sides(deal) else {
                return;
            };
            let groups = self.exchangeable(&sides, stages);
            let swaps = groups.into_iter().filter_map(|(domain, groups)| {
                let swap = self.swap(deal, &sides, &domain, groups)?;
                Some((domain, swap))
            });
            let Some((domain, swap)) = swaps.min_by_key(|(_, s)| (s.epochs.len(), s.idle)) else {
                return;
            };
            let Sides { short, rich } = sides;
            if let Some(have) = deal.have.get_mut(&rich.name) {
                *have = have.saturating_sub(swap.epochs.len() * rich.group_size);
            }
            *deal.have.entry(short.name.clone()).or_default() += swap.gained;
            self.planner.retiring.extend(swap.epochs);
            let conversion = Conversion {
                model: short.name.clone(),
                count: swap.gained,
                since: self.now,
            };
            self.planner.conversions.insert(domain, conversion);
        }
    }

    /// Returns the models to exchange engines between, if one lacks some.
    fn sides(&self, deal: &Deal<'_>) -> Option<Sides<'s>> {
        let models = || self.scene.engine.models.iter();
        let by_part = |a: &&Model, b: &&Model| deal.part(a).total_cmp(&deal.part(b));
        let short = models().min_by(by_part)?;
        let rich = models().max_by(by_part)?;
        (short.name != rich.name && deal.part(short) < 1.0).then_some(Sides { short, rich })
    }

    /// Lists the groups of the rich model that may end, by domain: the members that serve the other one
    /// without a load, and the epoch.
    fn exchangeable(
        &self,
        sides: &Sides<'_>,
        stages: &BTreeMap<(Arc<str>, u64), Stage>,
    ) -> BTreeMap<Arc<str>, Vec<(usize, u64)>> {
        let mut domains: BTreeMap<Arc<str>, Vec<(usize, u64)>> = BTreeMap::new();
        for (key, group) in &self.groups {
            let serves =
                stages.get(key) == Some(&Stage::Serving) && !self.planner.retiring.contains(&key.1);
            let of_rich =
                parse_group_name(&group.name).is_some_and(|(_, m)| *m == *sides.rich.name);
            let quick = self.count_quick(group, sides.short);
            let open = !self.planner.conversions.contains_key(&group.domain);
            if serves && of_rich && quick > 0 && open {
                let groups = domains.entry(group.domain.clone()).or_default();
                groups.push((quick, key.1));
            }
        }
        domains
    }

    /// Returns the exchange in one domain that ends the fewest groups, if it is worth it: the rich model
    /// stays ahead, and more engines serve than before or the models are far apart.
    fn swap(
        &self,
        deal: &Deal<'_>,
        Sides { short, rich }: &Sides<'_>,
        domain: &str,
        mut groups: Vec<(usize, u64)>,
    ) -> Option<Swap> {
        let free = deal.free.get(domain).into_iter().flatten();
        let mut found = free.filter(|e| !self.needs_load(e, short)).count();
        // Groups whose members can serve the other model without a load go first.
        groups.sort_by_key(|(quick, epoch)| (std::cmp::Reverse(*quick), *epoch));
        let mut epochs = Vec::new();
        for (quick, epoch) in groups {
            if found >= short.group_size {
                break;
            }
            found += quick;
            epochs.push(epoch);
        }
        if epochs.is_empty() || found < short.group_size {
            return None;
        }
        let gained = found / short.group_size.max(1) * short.group_size;
        let lost = epochs.len() * rich.group_size;
        let (low, high) = (deal.part(short), deal.part(rich));
        let stays_ahead = high - lost as f64 / deal.goal(rich).max(1e-9) >= low;
        let worth = gained > lost || low <= high * FAR_APART;
        (stays_ahead && worth).then_some(Swap {
            epochs,
            gained,
            idle: found - gained,
        })
    }

    /// Returns how many members of a group can serve another model without a load.
    fn count_quick(&self, group: &Group, model: &Model) -> usize {
        let members = group.members.values();
        let listed = members.filter_map(|(id, _)| self.scene.endpoints.get(id));
        listed.filter(|e| !self.needs_load(e, model)).count()
    }
}
