//! Bounded queue of one target that serves client accounts by weight, in tokens of work.
//!
//! Start-time fair queueing: an account's virtual time grows by work over weight, and the account
//! furthest behind is next. Within an account the larger priority goes first, then the older.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::endpoints::Work;
use crate::ids::{AccountId, RequestId};
use crate::time::Time;

type Position = (Reverse<i32>, i64);

/// A request in the queue.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedRequest {
    /// The request.
    pub request: RequestId,
    /// Its account.
    pub account: AccountId,
    /// The account's weight.
    pub weight: f64,
    /// Larger goes first within the account.
    pub priority: i32,
    /// Its work.
    pub work: Work,
    /// When its answer is of no more use.
    pub deadline: Time,
    /// When it must be sent at the latest to be answered by its deadline.
    pub latest_dispatch: Time,
}

#[derive(Debug, Default)]
struct Flow {
    weight: f64,
    virtual_time: f64,
    work: u64,
    queued: BTreeMap<Position, QueuedRequest>,
}

/// The queue of one target.
#[derive(Debug, Default)]
pub struct FairQueue {
    flows: BTreeMap<AccountId, Flow>,
    idle_times: BTreeMap<AccountId, f64>,
    positions: BTreeMap<RequestId, (AccountId, Position)>,
    latest_dispatch: BTreeSet<(Time, RequestId)>,
    virtual_time: f64,
    work: u64,
    next_seq: i64,
}

impl FairQueue {
    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the work that waits, in tokens.
    pub fn work(&self) -> u64 {
        self.work
    }

    /// Adds a request behind those of its account and priority.
    pub fn push(&mut self, queued: QueuedRequest) {
        self.next_seq += 1;
        let position = (Reverse(queued.priority), self.next_seq);
        self.insert(position, queued);
    }

    /// Adds a request before all of its account, since it has waited already.
    pub fn push_front(&mut self, queued: QueuedRequest) {
        self.next_seq += 1;
        let position = (Reverse(i32::MAX), -self.next_seq);
        self.insert(position, queued);
    }

    /// Takes new weights of accounts; those without one keep theirs.
    pub fn set_weights(&mut self, weight: impl Fn(&AccountId) -> Option<f64>) {
        for (account, flow) in &mut self.flows {
            flow.weight = weight(account).unwrap_or(flow.weight);
        }
    }

    /// Returns the request that is next.
    pub fn head(&self) -> Option<&QueuedRequest> {
        let flow = self
            .flows
            .values()
            .min_by(|a, b| a.virtual_time.total_cmp(&b.virtual_time));
        flow?.queued.values().next()
    }

    /// Takes out the request that is next and counts its work for its account.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        let head = self.head()?.clone();
        if let Some(flow) = self.flows.get_mut(&head.account) {
            self.virtual_time = flow.virtual_time;
            flow.virtual_time += head.work.tokens as f64 / flow.weight.max(f64::MIN_POSITIVE);
        }
        self.remove(&head.request)
    }

    /// Takes out a request, wherever it stands.
    pub fn remove(&mut self, request: &RequestId) -> Option<QueuedRequest> {
        let (account, position) = self.positions.remove(request)?;
        let flow = self.flows.get_mut(&account)?;
        let queued = flow.queued.remove(&position)?;
        flow.work -= queued.work.tokens;
        self.work -= queued.work.tokens;
        self.latest_dispatch
            .remove(&(queued.latest_dispatch, queued.request.clone()));
        if flow.queued.is_empty() {
            self.idle_times.insert(account.clone(), flow.virtual_time);
            self.flows.remove(&account);
            let now = self.virtual_time;
            self.idle_times.retain(|_, time| *time > now);
        }
        Some(queued)
    }

    /// Takes out the request that costs the least fairness: the last one of the account that has
    /// the most work waiting for its weight.
    pub fn shed(&mut self) -> Option<QueuedRequest> {
        let excess = |f: &Flow| f.work as f64 / f.weight.max(f64::MIN_POSITIVE);
        let flow = self
            .flows
            .values()
            .max_by(|a, b| excess(a).total_cmp(&excess(b)))?;
        let request = flow.queued.values().next_back()?.request.clone();
        self.remove(&request)
    }

    /// Returns the next request that had to be sent before `time`.
    pub fn first_overdue(&self, time: Time) -> Option<&RequestId> {
        let first = self.latest_dispatch.first()?;
        (first.0 < time).then_some(&first.1)
    }

    /// Returns the work in tokens that is served before a new request of this account ends its wait.
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
        let started = self
            .idle_times
            .remove(&account)
            .unwrap_or(0.0)
            .max(self.virtual_time);
        let flow = self.flows.entry(account.clone()).or_insert_with(|| Flow {
            virtual_time: started,
            ..Flow::default()
        });
        flow.weight = queued.weight;
        flow.work += queued.work.tokens;
        self.work += queued.work.tokens;
        self.positions
            .insert(queued.request.clone(), (account, position));
        self.latest_dispatch
            .insert((queued.latest_dispatch, queued.request.clone()));
        flow.queued.insert(position, queued);
    }
}
