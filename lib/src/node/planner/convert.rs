//! Converts engines between models: groups of one model end so that their engines, together with
//! idle ones, can serve another.
//!
//! Engines are not lost evenly. What is left of a large group is idle in its failure domain, while
//! small groups in the same domain have more engines than they need.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::assign::Assignment;
use super::{Conversion, GroupPhase, PlanningRound, parse_group_name};
use crate::node::config::Model;
use crate::node::endpoints::{Endpoint, Group};

/// Below this fraction of the donor's coverage, a model gets engines of the donor even if no more
/// engines serve than before.
const LARGE_IMBALANCE: f64 = 0.6;
/// Upper bound on the groups that end for another model at a time, as a fraction of the serving
/// groups.
const MAX_ENDING_FRACTION: f64 = 0.15;
/// Time after which engines are no longer reserved for a conversion; covers the time in which a
/// group finishes its requests.
const CONVERSION_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Groups of the donor model, in one failure domain, to be replaced by groups of the receiver.
#[derive(Debug)]
struct Exchange {
    /// Epochs of the groups that end.
    epochs: Vec<u64>,
    /// Engines in the groups that are formed.
    gained: usize,
    /// Engines that stay idle.
    idle: usize,
}

/// The two models of a conversion.
#[derive(Debug, Clone, Copy)]
struct ConversionPair<'a> {
    /// Model with the fewest engines relative to its target.
    receiver: &'a Model,
    /// Model with the most engines relative to its target.
    donor: &'a Model,
}

impl<'s> PlanningRound<'s, '_> {
    /// Forms the groups that engines were freed for, and drops conversions that take too long.
    pub(super) fn finish_conversions(&mut self, assignment: &mut Assignment<'_>) {
        let domains: Vec<Arc<str>> = self.planner.conversions.keys().cloned().collect();
        for domain in domains {
            let conversion = self.planner.conversions[&domain].clone();
            let is_evacuated = self.is_domain_evacuated(&domain);
            // Targets change, and the model may have enough without this.
            let is_superseded = |m: &Model| assignment.coverage(m) >= 1.0;
            let model = self.input.engine.model(&conversion.model);
            let Some(model) = model.filter(|m| !is_evacuated && !is_superseded(m)) else {
                self.planner.conversions.remove(&domain);
                self.keep_donors(&domain);
                continue;
            };
            let mut left = conversion.count;
            while left >= model.group_size.max(1) {
                let free = assignment.free.get(&domain).into_iter().flatten().copied();
                let without_load: Vec<&Endpoint> =
                    free.filter(|e| !self.needs_load(e, model)).collect();
                if without_load.len() < model.group_size {
                    break;
                }
                let (_, members) = self.pick_members(&without_load, model);
                self.assign_group(assignment, &domain, model, &members);
                left -= model.group_size;
            }
            if left < model.group_size || self.now.since(conversion.since) >= CONVERSION_TIMEOUT {
                self.planner.conversions.remove(&domain);
            } else if let Some(remaining) = self.planner.conversions.get_mut(&domain) {
                remaining.count = left;
                *assignment.assigned.entry(model.name.clone()).or_default() += left;
            }
        }
    }

    /// Lets groups of a failure domain that were to end for another model go on. One that is closing
    /// already is opened again.
    fn keep_donors(&mut self, domain: &str) {
        let of_domain = self.groups.iter().filter(|(_, g)| &*g.domain == domain);
        for ((_, epoch), _) in of_domain {
            self.planner.retiring.remove(epoch);
        }
    }

    /// Returns whether the engine is reserved for a group that other engines are being freed for.
    pub(super) fn is_reserved_for_conversion(&self, endpoint: &Endpoint) -> bool {
        let conversion = self.planner.conversions.get(&endpoint.domain);
        let model = conversion.and_then(|c| self.input.engine.model(&c.model));
        model.is_some_and(|m| !self.needs_load(endpoint, m))
    }

    /// Ends groups of the donor model where their engines, together with idle ones, make up a group
    /// of the receiver; one failure domain at a time, until the models are balanced.
    pub(super) fn convert(
        &mut self,
        assignment: &mut Assignment<'_>,
        phases: &BTreeMap<(Arc<str>, u64), GroupPhase>,
    ) {
        if self.input.before_traffic {
            return;
        }
        let is_evacuated = |key| self.groups.get(key).is_some_and(|g| self.is_evacuated(g));
        let serving = phases
            .iter()
            .filter(|(key, phase)| **phase == GroupPhase::Serving && !is_evacuated(key))
            .count();
        let max_ending = ((serving as f64 * MAX_ENDING_FRACTION) as usize).max(1);
        while self.planner.retiring.len() < max_ending {
            let Some(pair) = self.conversion_pair(assignment) else {
                return;
            };
            let groups = self.donor_groups(&pair, phases);
            let exchanges = groups.into_iter().filter_map(|(domain, groups)| {
                let exchange = self.best_exchange(assignment, &pair, &domain, groups)?;
                Some((domain, exchange))
            });
            let Some((domain, exchange)) =
                exchanges.min_by_key(|(_, exchange)| (exchange.epochs.len(), exchange.idle))
            else {
                return;
            };
            let ConversionPair { receiver, donor } = pair;
            if let Some(assigned) = assignment.assigned.get_mut(&donor.name) {
                *assigned = assigned.saturating_sub(exchange.epochs.len() * donor.group_size);
            }
            *assignment
                .assigned
                .entry(receiver.name.clone())
                .or_default() += exchange.gained;
            self.planner.retiring.extend(exchange.epochs);
            let conversion = Conversion {
                model: receiver.name.clone(),
                count: exchange.gained,
                since: self.now,
            };
            self.planner.conversions.insert(domain, conversion);
        }
    }

    /// Returns the models to convert engines between, or `None` if no model is below its target.
    fn conversion_pair(&self, assignment: &Assignment<'_>) -> Option<ConversionPair<'s>> {
        let models = || self.input.engine.models.iter();
        let by_coverage =
            |a: &&Model, b: &&Model| assignment.coverage(a).total_cmp(&assignment.coverage(b));
        let receiver = models().min_by(by_coverage)?;
        let donor = models().max_by(by_coverage)?;
        (receiver.name != donor.name && assignment.coverage(receiver) < 1.0)
            .then_some(ConversionPair { receiver, donor })
    }

    /// Lists the groups of the donor model that may end, by failure domain, each as the number of
    /// its members that need no load for the receiver, and its epoch.
    fn donor_groups(
        &self,
        pair: &ConversionPair<'_>,
        phases: &BTreeMap<(Arc<str>, u64), GroupPhase>,
    ) -> BTreeMap<Arc<str>, Vec<(usize, u64)>> {
        let mut domains: BTreeMap<Arc<str>, Vec<(usize, u64)>> = BTreeMap::new();
        for (key, group) in &self.groups {
            let is_serving = phases.get(key) == Some(&GroupPhase::Serving)
                && !self.planner.retiring.contains(&key.1)
                && !self.is_evacuated(group);
            let is_donor =
                parse_group_name(&group.name).is_some_and(|(_, m)| *m == *pair.donor.name);
            let without_load = self.count_without_load(group, pair.receiver);
            let is_unreserved = !self.planner.conversions.contains_key(&group.domain);
            if is_serving && is_donor && without_load > 0 && is_unreserved {
                let groups = domains.entry(group.domain.clone()).or_default();
                groups.push((without_load, key.1));
            }
        }
        domains
    }

    /// Returns the exchange in one failure domain that ends the fewest groups, or `None` if it is
    /// not worthwhile: the donor must stay ahead, and either more engines serve than before or the
    /// models are far apart.
    fn best_exchange(
        &self,
        assignment: &Assignment<'_>,
        ConversionPair { receiver, donor }: &ConversionPair<'_>,
        domain: &str,
        mut groups: Vec<(usize, u64)>,
    ) -> Option<Exchange> {
        let free = assignment.free.get(domain).into_iter().flatten();
        let mut available = free.filter(|e| !self.needs_load(e, receiver)).count();
        // Groups with the most members that need no load come first.
        groups.sort_by_key(|(without_load, epoch)| (std::cmp::Reverse(*without_load), *epoch));
        let mut epochs = Vec::new();
        for (without_load, epoch) in groups {
            if available >= receiver.group_size {
                break;
            }
            available += without_load;
            epochs.push(epoch);
        }
        if epochs.is_empty() || available < receiver.group_size {
            return None;
        }
        let gained = available / receiver.group_size.max(1) * receiver.group_size;
        let removed = epochs.len() * donor.group_size;
        let (low, high) = (assignment.coverage(receiver), assignment.coverage(donor));
        let stays_ahead = high - removed as f64 / assignment.target(donor).max(1e-9) >= low;
        let is_worthwhile = gained > removed || low <= high * LARGE_IMBALANCE;
        (stays_ahead && is_worthwhile).then_some(Exchange {
            epochs,
            gained,
            idle: available - gained,
        })
    }

    /// Returns the number of members of the group that need no load to serve the model.
    fn count_without_load(&self, group: &Group, model: &Model) -> usize {
        let members = group.members.values();
        let listed = members.filter_map(|(id, _)| self.input.endpoints.get(id));
        listed.filter(|e| !self.needs_load(e, model)).count()
    }
}
