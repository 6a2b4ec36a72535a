//! Maintains existing groups: opens complete ones, ends damaged ones and probes silent ones.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::{
    Action, FormedGroup, GroupPhase, LIST_DELAY, LOST_PROBE_INTERVAL, Output, POLL_DURATION,
    PlanningRound, group_name,
};
use crate::node::endpoints::{Group, MemberState};

/// Join orders that are sent again per member before the group is given up.
const MAX_RESENDS_PER_MEMBER: u32 = 3;
/// Time after which a group that is to end is dissolved even if its head has not finished its
/// requests.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Shortest time between two probes of one engine.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two queries for the state of an engine; its reports are about 200 ms old.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two queries for an engine whose load onto the host is due. Loads take longer than
/// expected where many run.
const LOAD_POLL_INTERVAL: Duration = Duration::from_secs(1);

impl PlanningRound<'_, '_> {
    /// Probes engines: members of groups that entry VMs find silent, to learn which one is lost;
    /// lost engines, to learn whether they are back; and, while the list is frozen, engines that
    /// have recently been sent orders or whose weights are due.
    pub(super) fn probe(&mut self) {
        let is_silent = |g: &Group| {
            g.head()
                .is_some_and(|(id, _)| self.input.silent.contains(id))
        };
        let silent_members: BTreeSet<Arc<str>> = self
            .groups
            .values()
            .filter(|g| is_silent(g))
            .flat_map(|g| g.members.values().map(|(id, _)| id.clone()))
            .collect();
        let (now, list_frozen, engine) = (self.now, self.input.list_frozen, self.input.engine);
        for (id, state) in &mut self.planner.engine_states {
            let recently_ordered = state
                .last_order
                .is_some_and(|t| now.since(t) < POLL_DURATION);
            let interval = if silent_members.contains(id) {
                // An engine that answered is slow rather than lost, and is probed less often.
                state.probe_backoff.max(PROBE_INTERVAL)
            } else {
                // The backoff of one silent period does not apply to the next.
                state.probe_backoff = Duration::ZERO;
                let has_due_load = state.staging.as_ref().is_some_and(|(model, since)| {
                    let load_time = engine.model(model).map(|m| m.load_time);
                    now.since(*since) >= load_time.unwrap_or_default()
                });
                match state.lost {
                    true => LOST_PROBE_INTERVAL,
                    false if list_frozen && recently_ordered => POLL_INTERVAL,
                    false if list_frozen && has_due_load => LOAD_POLL_INTERVAL,
                    false => continue,
                }
            };
            if state.probe_pending || state.last_probe.is_some_and(|t| now.since(t) < interval) {
                continue;
            }
            let endpoint = self.input.endpoints.get(id);
            let Some(endpoint) = endpoint.filter(|e| !self.input.endpoints.is_evacuated(e)) else {
                continue;
            };
            state.last_probe = Some(now);
            state.probe_pending = true;
            self.out.push(Output::Probe {
                endpoint: id.clone(),
                address: endpoint.address.clone(),
            });
        }
    }

    /// Sends join orders again that showed no effect, which is harmless with the same epoch and
    /// members.
    pub(super) fn resend_joins(&mut self) {
        let unopened: Vec<(u64, FormedGroup)> = self
            .planner
            .formed
            .iter()
            .filter(|(_, f)| !f.given_up && !f.opened)
            .map(|(epoch, f)| (*epoch, f.clone()))
            .collect();
        for (epoch, formed) in unopened {
            let mut members = formed.members.iter();
            if members.any(|id| self.is_endpoint_evacuated(id)) {
                if let Some(state) = self.planner.formed.get_mut(&epoch) {
                    state.given_up = true;
                }
                continue;
            }
            let has_not_joined = |id: &&Arc<str>| {
                let membership = self
                    .input
                    .endpoints
                    .get(id)
                    .and_then(|e| e.membership.as_ref());
                membership.is_none_or(|s| s.epoch != epoch)
            };
            let not_joined: Vec<Arc<str>> = formed
                .members
                .iter()
                .filter(has_not_joined)
                .cloned()
                .collect();
            let resends_exhausted =
                formed.resends as usize >= MAX_RESENDS_PER_MEMBER as usize * formed.members.len();
            for id in not_joined {
                let lost = self.is_lost(&id) || self.input.endpoints.get(&id).is_none();
                let idle = self.is_idle(&id);
                let is_member_elsewhere = self.is_member_of_live_group(&id);
                let Some(state) = self.planner.formed.get_mut(&epoch) else {
                    continue;
                };
                if lost || resends_exhausted && idle {
                    state.given_up = true;
                    break;
                }
                if !idle {
                    continue;
                }
                state.resends += 1;
                // An earlier order may have been carried out late, after the engine had left.
                if is_member_elsewhere {
                    continue;
                }
                let action = Action::Join {
                    group: group_name(epoch, formed.members.len(), &formed.model),
                    epoch,
                    model: formed.model.clone(),
                    members: formed.members.clone(),
                };
                self.send_order(&id, action);
            }
        }
    }

    /// Returns whether an engine is in an evacuated zone.
    fn is_endpoint_evacuated(&self, id: &str) -> bool {
        let endpoints = self.input.endpoints;
        endpoints.get(id).is_some_and(|e| endpoints.is_evacuated(e))
    }

    /// Returns whether a member of a group is in an evacuated zone.
    pub(super) fn is_evacuated(&self, group: &Group) -> bool {
        let mut members = group.members.values();
        members.any(|(id, _)| self.is_endpoint_evacuated(id))
    }

    /// Returns whether engines of a failure domain are in an evacuated zone.
    pub(super) fn is_domain_evacuated(&self, domain: &str) -> bool {
        let endpoints = self.input.endpoints;
        let mut of_domain = endpoints.iter().filter(|e| &*e.domain == domain);
        of_domain.any(|e| endpoints.is_evacuated(e))
    }

    /// Returns whether an engine is listed as the member of a group that has not ended.
    fn is_member_of_live_group(&self, id: &str) -> bool {
        let endpoint = self.input.endpoints.get(id);
        let Some(membership) = endpoint.and_then(|e| e.membership.as_ref()) else {
            return false;
        };
        let key = (membership.group.clone(), membership.epoch);
        self.groups.get(&key).is_some_and(|g| !self.is_disbanded(g))
    }

    /// Returns whether the head has given a group up. It can't take that back, so that this holds however old
    /// the entry is.
    fn is_disbanded(&self, group: &Group) -> bool {
        matches!(group.head(), Some((_, MemberState::Broken)))
    }

    /// Returns whether this planner gave a group up in this term before it opened it.
    fn is_given_up(&self, group: &Group) -> bool {
        let formed = self.planner.formed.get(&group.epoch);
        formed.is_some_and(|f| f.given_up && !f.opened)
    }

    /// Determines the phase of each group, sends the orders that it calls for, and returns the
    /// phases.
    pub(super) fn update_groups(&mut self) -> BTreeMap<(Arc<str>, u64), GroupPhase> {
        let keys: Vec<_> = self.groups.keys().cloned().collect();
        let mut phases = BTreeMap::new();
        for key in keys {
            let group = self.groups[&key].clone();
            let phase = self.phase(&group);
            if matches!(phase, GroupPhase::Ready | GroupPhase::Serving) {
                self.planner.unhealthy_since.remove(&key);
            }
            // Groups of an evacuated zone stay as they are, so that they serve again at once.
            if !self.is_evacuated(&group) {
                self.send_orders_for(&key, &group, phase);
            }
            phases.insert(key, phase);
        }
        self.planner
            .unhealthy_since
            .retain(|k, _| phases.contains_key(k));
        phases
    }

    fn phase(&mut self, group: &Group) -> GroupPhase {
        let key = (group.name.clone(), group.epoch);
        let lost = group.members.values().any(|(id, _)| self.is_lost(id));
        if self.planner.preparing.contains(&group.epoch) {
            let since = *self.planner.unhealthy_since.entry(key).or_insert(self.now);
            let warmups = self.input.engine.models.iter().map(|m| m.warmup_time);
            let limit = warmups.max().unwrap_or_default() + LIST_DELAY * 2;
            return match !lost && self.now.since(since) < limit {
                true => GroupPhase::Preparing,
                false => GroupPhase::Damaged,
            };
        }
        let size = self.group_size(group);
        if self.is_disbanded(group) {
            return GroupPhase::Disbanded;
        }
        let formed_since = self.planner.formed.get(&group.epoch).map(|f| f.since);
        // Its members leave before they join others: should another planner have opened it, they end it
        // in its own name.
        if lost || self.is_given_up(group) {
            return GroupPhase::Damaged;
        }
        if !group.is_complete(size) {
            let first_seen = *self.planner.unhealthy_since.entry(key).or_insert(self.now);
            let not_opened = group
                .members
                .values()
                .all(|(_, s)| *s <= MemberState::Ready);
            let since = formed_since.unwrap_or(first_seen);
            if not_opened && self.now.since(since) < LIST_DELAY * 2 {
                return GroupPhase::Forming;
            }
            // An engine that stops without draining goes on for a while after its entry has ended.
            return match group.head() {
                Some((_, MemberState::Open | MemberState::Closing)) | None => GroupPhase::Ending,
                Some(_) => GroupPhase::Damaged,
            };
        }
        if group.draining || self.planner.retiring.contains(&group.epoch) {
            return GroupPhase::Ending;
        }
        let joining = group
            .members
            .values()
            .any(|(_, s)| *s == MemberState::Joining);
        match group.head() {
            _ if joining => GroupPhase::Forming,
            Some((_, MemberState::Ready)) => GroupPhase::Ready,
            Some((_, MemberState::Open)) => GroupPhase::Serving,
            // If a close order is no longer wanted, the head becomes ready when it has finished,
            // and the group is opened again.
            _ => GroupPhase::Ending,
        }
    }

    fn send_orders_for(&mut self, key: &(Arc<str>, u64), group: &Group, phase: GroupPhase) {
        let (name, epoch) = key.clone();
        let head = group.head().map(|(id, s)| (id.clone(), s));
        match (phase, head) {
            (GroupPhase::Ready, Some((head, _))) if self.is_idle(&head) => {
                if let Some(formed) = self.planner.formed.get_mut(&epoch) {
                    formed.opened = true;
                }
                self.send_order(&head, Action::Open { group: name, epoch });
            }
            (GroupPhase::Ending, head) => {
                let since = *self
                    .planner
                    .unhealthy_since
                    .entry(key.clone())
                    .or_insert(self.now);
                let timed_out = self.now.since(since) >= CLOSE_TIMEOUT;
                match head {
                    Some((head, MemberState::Open)) if !timed_out && self.is_idle(&head) => {
                        self.send_order(&head, Action::Close { group: name, epoch });
                    }
                    Some((_, MemberState::Open | MemberState::Closing)) | None if !timed_out => {}
                    _ => self.dissolve(key, group),
                }
            }
            (GroupPhase::Damaged, _) => self.dissolve(key, group),
            _ => {}
        }
    }

    /// Orders all members to leave. A lost head may still be open but unreachable; it serves
    /// nothing without its members, and gives up after a while.
    fn dissolve(&mut self, key: &(Arc<str>, u64), group: &Group) {
        for (id, _) in group.members.values() {
            if !self.is_lost(id) && self.is_idle(id) {
                let (group, epoch) = key.clone();
                self.send_order(id, Action::Leave { group, epoch });
            }
        }
    }
}
