//! Tends to the groups that there are: opens whole ones, ends damaged ones, probes silent ones.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::{Action, DEAD_EVERY, FLUX_TIME, Formed, Output, Round, SHOW_TIME, Stage, group_name};
use crate::node::endpoints::{Group, MemberState};

/// Joins sent again before their group is given up, for each member.
const RESENDS: u32 = 3;
/// Longest time that a head may finish its requests before a draining member ends.
const CLOSE_TIME: Duration = Duration::from_millis(2_500);
/// Time between two probes of one engine.
const PROBE_EVERY: Duration = Duration::from_millis(50);
/// Time between two calls for what an engine holds; its reports are some 200 ms old.
const FLUX_EVERY: Duration = Duration::from_millis(250);

impl Round<'_, '_> {
    /// Probes engines: members of groups that gateways find silent, to learn which one is lost; those
    /// that were lost, to learn whether they are back; and, while the list is not written, those that
    /// have orders to carry out.
    pub(super) fn probe(&mut self) {
        let heads = |g: &Group| {
            g.head()
                .is_some_and(|(id, _)| self.scene.silent.contains(id))
        };
        let silent: BTreeSet<Arc<str>> = self
            .groups
            .values()
            .filter(|g| heads(g))
            .flat_map(|g| g.members.values().map(|(id, _)| id.clone()))
            .collect();
        let (now, blind) = (self.now, self.scene.list_frozen);
        for (id, mind) in &mut self.planner.minds {
            let in_flux = mind.ordered.is_some_and(|t| now.since(t) < FLUX_TIME);
            let every = if silent.contains(id) {
                // An engine that answered is slow rather than lost, and is asked again later.
                mind.patience.max(PROBE_EVERY)
            } else {
                // What was learned of a group while it was silent says nothing of its next silence.
                mind.patience = Duration::ZERO;
                match (mind.dead, blind && in_flux) {
                    (true, _) => DEAD_EVERY,
                    (false, true) => FLUX_EVERY,
                    (false, false) => continue,
                }
            };
            if mind.probing || mind.probed.is_some_and(|t| now.since(t) < every) {
                continue;
            }
            let Some(endpoint) = self.scene.endpoints.get(id) else {
                continue;
            };
            mind.probed = Some(now);
            mind.probing = true;
            self.out.push(Output::Probe {
                endpoint: id.clone(),
                address: endpoint.address.clone(),
            });
        }
    }

    /// Sends joins again that showed no effect; the same epoch and members make that harmless.
    pub(super) fn resend_joins(&mut self) {
        let open: Vec<(u64, Formed)> = self
            .planner
            .formed
            .iter()
            .filter(|(_, f)| !f.given_up && !f.opened)
            .map(|(epoch, f)| (*epoch, f.clone()))
            .collect();
        for (epoch, formed) in open {
            let lacks = |id: &&Arc<str>| {
                let seat = self
                    .scene
                    .endpoints
                    .get(id)
                    .and_then(|e| e.membership.as_ref());
                seat.is_none_or(|s| s.epoch != epoch)
            };
            let lacking: Vec<Arc<str>> = formed.members.iter().filter(lacks).cloned().collect();
            let spent = formed.resends as usize >= RESENDS as usize * formed.members.len();
            for id in lacking {
                let lost = self.is_dead(&id) || self.scene.endpoints.get(&id).is_none();
                let idle = self.is_idle(&id);
                let Some(state) = self.planner.formed.get_mut(&epoch) else {
                    continue;
                };
                if lost || spent && idle {
                    state.given_up = true;
                    break;
                }
                if !idle {
                    continue;
                }
                state.resends += 1;
                let action = Action::Join {
                    group: group_name(epoch, formed.members.len(), &formed.model),
                    epoch,
                    model: formed.model.clone(),
                    members: formed.members.clone(),
                };
                self.order(&id, action);
            }
        }
    }

    /// Tends to each group and returns where it stands.
    pub(super) fn tend(&mut self) -> BTreeMap<(Arc<str>, u64), Stage> {
        let keys: Vec<_> = self.groups.keys().cloned().collect();
        let mut stages = BTreeMap::new();
        for key in keys {
            let group = self.groups[&key].clone();
            let stage = self.stage(&group);
            self.act(&key, &group, stage);
            stages.insert(key, stage);
        }
        self.planner.seen.retain(|k, _| stages.contains_key(k));
        stages
    }

    fn stage(&mut self, group: &Group) -> Stage {
        let key = (group.name.clone(), group.epoch);
        let size = self.size(group);
        let formed = self.planner.formed.get(&group.epoch).cloned();
        if let Some((_, MemberState::Broken)) = group.head() {
            return Stage::Over;
        }
        if formed.as_ref().is_some_and(|f| f.given_up && !f.opened) {
            return Stage::Over;
        }
        let dead = group.members.values().any(|(id, _)| self.is_dead(id));
        if dead {
            return Stage::Damaged;
        }
        if !group.is_complete(size) {
            let since = formed.as_ref().map(|f| f.since);
            let first = *self.planner.seen.entry(key).or_insert(self.now);
            let started = group
                .members
                .values()
                .all(|(_, s)| *s <= MemberState::Ready);
            let since = since.unwrap_or(first);
            if started && self.now.since(since) < SHOW_TIME * 2 {
                return Stage::Forming;
            }
            return Stage::Damaged;
        }
        if group.draining || self.planner.retiring.contains(&group.epoch) {
            return Stage::Leaving;
        }
        let joining = group
            .members
            .values()
            .any(|(_, s)| *s == MemberState::Joining);
        match group.head() {
            _ if joining => Stage::Forming,
            Some((_, MemberState::Ready)) => Stage::Ready,
            Some((_, MemberState::Open)) => Stage::Serving,
            // A close that is not ours any more ends in ready, and the group opens again.
            _ => Stage::Leaving,
        }
    }

    fn act(&mut self, key: &(Arc<str>, u64), group: &Group, stage: Stage) {
        let (name, epoch) = key.clone();
        let head = group.head().map(|(id, s)| (id.clone(), s));
        match (stage, head) {
            (Stage::Ready, Some((head, _))) if self.is_idle(&head) => {
                if let Some(formed) = self.planner.formed.get_mut(&epoch) {
                    formed.opened = true;
                }
                self.order(&head, Action::Open { group: name, epoch });
            }
            (Stage::Leaving, Some((head, state))) => {
                let since = *self.planner.seen.entry(key.clone()).or_insert(self.now);
                let late = self.now.since(since) >= CLOSE_TIME;
                match state {
                    MemberState::Open if !late && self.is_idle(&head) => {
                        self.order(&head, Action::Close { group: name, epoch });
                    }
                    MemberState::Open | MemberState::Closing if !late => {}
                    _ => self.dissolve(key, group),
                }
            }
            (Stage::Damaged, _) => self.dissolve(key, group),
            _ => {}
        }
    }

    /// Tells all members to leave. A head that is lost may still be open, out of reach; it serves
    /// nothing without its members and gives up after a while.
    fn dissolve(&mut self, key: &(Arc<str>, u64), group: &Group) {
        for (id, _) in group.members.values() {
            if !self.is_dead(id) && self.is_idle(id) {
                let (group, epoch) = key.clone();
                self.order(id, Action::Leave { group, epoch });
            }
        }
    }
}
