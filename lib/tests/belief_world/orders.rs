//! Orders on their way to engines, and how these carry them out.

use std::sync::Arc;

use hemlock_lib::node::endpoints::{EngineReport, MemberState, Membership};
use hemlock_lib::node::planner::{Action, Order, Reply};
use rand::Rng;

use super::engine::show;
use super::vm::may_order;
use super::{
    Broken, CLOSE_TIME, Event, JoinCheck, LATE, MAX_CHECKS, OPEN_TIME, REJOIN_TIME, REPLY_TIMEOUT,
    ROUND_TRIP, SentOrder, World,
};

impl World {
    /// Sends a join if the engine's report and the lease allow it.
    pub(super) fn check_join(
        &mut self,
        vm: usize,
        check: JoinCheck,
        report: Option<(EngineReport, u64)>,
    ) {
        let JoinCheck { order, attempt } = check;
        let (Action::Join { group, epoch, .. }, Some(expected)) = (&order.action, &order.expected)
        else {
            return;
        };
        let not_sent = |order: Order, reply| Event::Reply(vm, Box::new(order), reply);
        let Some((report, orders)) = report else {
            return self.send(0, not_sent(order, Reply::Lost));
        };
        let state = &mut self.vms[vm];
        state.endpoints.confirm(&order.endpoint, report.started_ms);
        let membership = report.membership.as_ref();
        let allowed = expected.check(membership, orders, group, *epoch);
        if state.is_outage {
            state.endpoints.observe(&report);
        }
        if !may_order(state, self.now, order.fence) {
            return self.send(0, not_sent(order, Reply::Conflict));
        }
        match allowed {
            Ok(orders) => self.send_order(vm, order, Some(orders)),
            Err(Reply::Conflict) if attempt + 1 < MAX_CHECKS => {
                self.asked += u64::from(self.has_traffic);
                let attempt = attempt + 1;
                self.send(250, Event::Ask(vm, JoinCheck { order, attempt }));
            }
            Err(reply) => self.send(0, not_sent(order, reply)),
        }
    }

    pub(super) fn send_order(&mut self, from: usize, order: Order, precondition: Option<u64>) {
        let is_late = self.faults.late_orders && self.rng.random_bool(0.1);
        let sent = SentOrder {
            from,
            order: order.clone(),
            precondition,
            wants_reply: !is_late,
        };
        if is_late {
            let delay = self.rng.random_range(LATE);
            self.send(delay, Event::Order(sent));
            let lost = Event::Reply(from, Box::new(order), Reply::Lost);
            self.send(REPLY_TIMEOUT, lost);
        } else {
            self.send(ROUND_TRIP / 2, Event::Order(sent));
        }
    }

    pub(super) fn receive_order(&mut self, sent: SentOrder) {
        let reply = self.carry_out(&sent.order, sent.precondition);
        if sent.wants_reply {
            let after = match reply {
                Reply::Lost => REPLY_TIMEOUT,
                _ => ROUND_TRIP / 2,
            };
            let reply = Event::Reply(sent.from, Box::new(sent.order), reply);
            self.send(after, reply);
        }
    }

    pub(super) fn carry_out(&mut self, order: &Order, precondition: Option<u64>) -> Reply {
        let now = self.now;
        let Some(e) = self.engines.get(&order.endpoint) else {
            return Reply::Lost;
        };
        if e.down_until.is_some() {
            return Reply::Lost;
        }
        if order.fence < e.highest_fence {
            return Reply::Outdated;
        }
        if precondition.is_some_and(|n| n != e.shown.orders) {
            return Reply::Conflict;
        }
        let held = e.shown.membership.clone();
        let holds = |group: &Arc<str>, epoch: u64| {
            held.as_ref()
                .is_some_and(|m| m.group == *group && m.epoch == epoch)
        };
        if let Action::Join {
            group,
            epoch,
            members,
            ..
        } = &order.action
        {
            let same = holds(group, *epoch);
            if *epoch < e.highest_epoch || same && *members != e.members {
                return Reply::Outdated;
            }
            if !same {
                self.check_two(&order.endpoint, group);
                self.disturb_join(&order.endpoint);
                self.joins += u64::from(self.has_traffic);
            }
        }
        let before_traffic = !self.has_traffic;
        let e = self.engines.get_mut(&order.endpoint).unwrap();
        e.highest_fence = order.fence;
        let mut shown = e.shown.clone();
        match &order.action {
            Action::Join {
                group,
                epoch,
                members,
                ..
            } => {
                if holds(group, *epoch) {
                    return Reply::Done;
                }
                let Some(rank) = members.iter().position(|m| *m == e.id) else {
                    return Reply::Conflict;
                };
                let wait = match (e.has_served, e.staged, before_traffic) {
                    (true, ..) => REJOIN_TIME,
                    (false, true, _) => 400,
                    (false, false, true) => 200,
                    (false, false, false) => 2_000,
                };
                e.highest_epoch = *epoch;
                e.members.clone_from(members);
                e.changes_at = Some(now + wait);
                (e.is_opening, e.has_served, e.staged) = (false, true, true);
                e.missing_since = None;
                shown.model = None;
                shown.membership = Some(Membership {
                    group: group.clone(),
                    epoch: *epoch,
                    rank,
                    state: MemberState::Joining,
                });
            }
            Action::Open { group, epoch } => {
                let state = held.as_ref().map(|m| (m.rank, m.state));
                if !holds(group, *epoch) || state != Some((0, MemberState::Ready)) {
                    return Reply::Conflict;
                }
                if e.is_opening {
                    return Reply::Done;
                }
                (e.is_opening, e.changes_at) = (true, Some(now + OPEN_TIME));
            }
            Action::Close { group, epoch } => match &mut shown.membership {
                Some(m) if holds(group, *epoch) && m.state == MemberState::Open => {
                    m.state = MemberState::Closing;
                    e.changes_at = Some(now + CLOSE_TIME);
                }
                _ => return Reply::Conflict,
            },
            Action::Leave { group, epoch } => {
                if !holds(group, *epoch) {
                    return Reply::Done;
                }
                (e.changes_at, e.is_opening) = (None, false);
                (shown.membership, shown.model) = (None, None);
            }
            Action::Stage { .. } => {
                e.staged_at = Some(now + if before_traffic { 200 } else { 2_000 });
            }
        }
        shown.orders += 1;
        show(e, now, shown);
        self.publish(&order.endpoint);
        match order.action {
            Action::Leave { .. } => Reply::Done,
            _ => Reply::Begun,
        }
    }

    /// Checks that the head of the group of an engine that takes a join doesn't serve.
    pub(super) fn check_two(&mut self, id: &Arc<str>, group: &str) {
        let e = &self.engines[id];
        let Some(own) = &e.shown.membership else {
            return;
        };
        let Some(head) = e.members.first().and_then(|h| self.engines.get(h)) else {
            return;
        };
        let of_head = head.shown.membership.as_ref();
        let state = of_head.filter(|m| m.group == own.group && m.epoch == own.epoch);
        let state = state.map(|m| m.state);
        let may_serve = matches!(state, Some(MemberState::Open | MemberState::Closing));
        if may_serve && head.down_until.is_none() {
            let text = format!(
                "{} ms: {id} of {} takes a join of {group}, its head {} is {state:?}",
                self.now, own.group, head.id
            );
            self.broken.insert(Broken::Two(text));
        }
    }
}
