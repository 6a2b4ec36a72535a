//! Queue of one target that serves client accounts in proportion to their weights, in tokens of
//! work.
//!
//! Start-time fair queueing: the virtual time of an account grows by work over weight, and the
//! account with the smallest virtual time is served next. Within an account the larger priority
//! goes first, then the older request.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::endpoints::Work;
use crate::ids::{AccountId, RequestId};
use crate::time::Time;

type Position = (Reverse<i32>, i64);

/// A queued request.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedRequest {
    /// Identifier of the request.
    pub request: RequestId,
    /// Client account of the request.
    pub account: AccountId,
    /// Weight of the client account.
    pub weight: f64,
    /// Priority within the account; a larger one goes first.
    pub priority: i32,
    /// Expected size of the request.
    pub work: Work,
    /// Time after which the caller has no use for the answer.
    pub deadline: Time,
    /// Latest time to dispatch the request so that it is answered by its deadline.
    pub latest_dispatch: Time,
}

#[derive(Debug, Default)]
struct Flow {
    weight: f64,
    virtual_time: f64,
    work: u64,
    queued: BTreeMap<Position, QueuedRequest>,
}

/// Fair queue of one target.
#[derive(Debug, Default)]
pub struct FairQueue {
    flows: BTreeMap<AccountId, Flow>,
    /// Virtual times of accounts without queued requests that lie ahead of the queue's, so that an
    /// account can't gain by leaving its queue empty for a moment.
    idle_virtual_times: BTreeMap<AccountId, f64>,
    positions: BTreeMap<RequestId, (AccountId, Position)>,
    by_latest_dispatch: BTreeSet<(Time, RequestId)>,
    virtual_time: f64,
    work: u64,
    next_seq: i64,
}

impl FairQueue {
    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the queued work, in tokens.
    pub fn work(&self) -> u64 {
        self.work
    }

    /// Adds a request behind those of the same account and priority.
    pub fn push(&mut self, queued: QueuedRequest) {
        self.next_seq += 1;
        let position = (Reverse(queued.priority), self.next_seq);
        self.insert(position, queued);
    }

    /// Adds a request ahead of all others of its account, since it has waited already.
    pub fn push_front(&mut self, queued: QueuedRequest) {
        self.next_seq += 1;
        let position = (Reverse(i32::MAX), -self.next_seq);
        self.insert(position, queued);
    }

    /// Updates the weights of queued accounts; an account for which `weight` returns `None` keeps
    /// its own.
    pub fn set_weights(&mut self, weight: impl Fn(&AccountId) -> Option<f64>) {
        for (account, flow) in &mut self.flows {
            flow.weight = weight(account).unwrap_or(flow.weight);
        }
    }

    /// Returns the request that is served next.
    pub fn head(&self) -> Option<&QueuedRequest> {
        let flow = self
            .flows
            .values()
            .min_by(|a, b| a.virtual_time.total_cmp(&b.virtual_time));
        flow?.queued.values().next()
    }

    /// Removes and returns the request that is served next, and charges its work to its account.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        let head = self.head()?.clone();
        if let Some(flow) = self.flows.get_mut(&head.account) {
            self.virtual_time = flow.virtual_time;
            flow.virtual_time += head.work.tokens as f64 / flow.weight.max(f64::MIN_POSITIVE);
        }
        self.remove(&head.request)
    }

    /// Removes a request from any position.
    pub fn remove(&mut self, request: &RequestId) -> Option<QueuedRequest> {
        let (account, position) = self.positions.remove(request)?;
        let flow = self.flows.get_mut(&account)?;
        let queued = flow.queued.remove(&position)?;
        flow.work -= queued.work.tokens;
        self.work -= queued.work.tokens;
        self.by_latest_dispatch
            .remove(&(queued.latest_dispatch, queued.request.clone()));
        if flow.queued.is_empty() {
            self.idle_virtual_times
                .insert(account.clone(), flow.virtual_time);
            self.flows.remove(&account);
            let now = self.virtual_time;
            self.idle_virtual_times.retain(|_, time| *time > now);
        }
        Some(queued)
    }

    /// Removes and returns the request whose loss is least unfair: the last one of the account with
    /// the most queued work for its weight.
    pub fn shed(&mut self) -> Option<QueuedRequest> {
        let excess = |f: &Flow| f.work as f64 / f.weight.max(f64::MIN_POSITIVE);
        let flow = self
            .flows
            .values()
            .max_by(|a, b| excess(a).total_cmp(&excess(b)))?;
        let request = flow.queued.values().next_back()?.request.clone();
        self.remove(&request)
    }

    /// Returns the request whose latest dispatch time passed first, if any lies before `time`.
    pub fn first_overdue(&self, time: Time) -> Option<&RequestId> {
        let first = self.by_latest_dispatch.first()?;
        (first.0 < time).then_some(&first.1)
    }

    /// Returns the work, in tokens, that is served before a new request of this account.
    pub fn work_ahead(&self, account: &AccountId, weight: f64) -> u64 {
        let own = self.flows.get(account).map_or(0, |f| f.work);
        let weights: f64 = self.flows.values().map(|f| f.weight).sum();
        let others = match self.flows.contains_key(account) {
            true => weights - weight,
            false => weights,
        };
        let fair = own as f64 * (1.0 + others / weight.max(f64::MIN_POSITIVE));
        (fair as u64).min(self.work)
    }

    fn insert(&mut self, position: Position, queued: QueuedRequest) {
        let account = queued.account.clone();
        let start = self
            .idle_virtual_times
            .remove(&account)
            .unwrap_or(0.0)
            .max(self.virtual_time);
        let flow = self.flows.entry(account.clone()).or_insert_with(|| Flow {
            virtual_time: start,
            ..Flow::default()
        });
        flow.weight = queued.weight;
        flow.work += queued.work.tokens;
        self.work += queued.work.tokens;
        self.positions
            .insert(queued.request.clone(), (account, position));
        self.by_latest_dispatch
            .insert((queued.latest_dispatch, queued.request.clone()));
        flow.queued.insert(position, queued);
    }
}
