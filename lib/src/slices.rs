//! Slices of a client account's limits, leased to gateways by the account's allocator, which is one
//! of the gateways.
//!
//! All gateways request their slices of an account from the same allocator, found by rendezvous
//! hashing among the live entry VMs, and repeat the request several times a second. An allocator
//! grants slices only while a majority of all entry VMs sends it requests. A gateway that changes
//! to another allocator first waits until its last request no longer supports the old one, so that
//! no two allocators grant at a time. A new allocator renews the slices that gateways report, and
//! divides the limits anew once every slice of its predecessor has expired. A gateway whose slice
//! has expired keeps a safe share, which allocators never grant.
//!
//! Clocks need not agree: each side measures durations on its own clock, a gateway from before it
//! sends a request and an allocator from after it has received it. Clocks that differ in rate by up
//! to [`DRIFT_PERCENT`] are allowed for.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{AccountId, EntryId, Incarnation};
use crate::rendezvous;
use crate::table::AccountRow;
use crate::time::Time;

/// Time between two slice requests of a gateway.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a request supports an allocator.
pub const SUPPORT_TIME: Duration = Duration::from_millis(1_500);
/// Time for which a granted slice is valid.
pub const SLICE_TIME: Duration = Duration::from_millis(2_000);
/// Difference in the rate of two clocks that is allowed for, in percent.
pub const DRIFT_PERCENT: u32 = 10;
/// Part of the limits that allocators leave to the safe shares, in percent.
const SAFE_PERCENT: u64 = 3;
/// Factor of growth in the number of entry VMs for which safe shares still fit in their part of the
/// limits.
const SAFE_GROWTH: u64 = 2;
/// Margin over the observed demand that a gateway requests, in percent.
const SPARE_PERCENT: u64 = 25;

/// Part of a client account's limits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amount {
    /// Thousandths of a request a second.
    pub requests: u64,
    /// Tokens a second.
    pub tokens: u64,
    /// Requests open at a time.
    pub open: u64,
}

impl Amount {
    /// Returns the whole limits of a client account.
    pub fn of(row: &AccountRow) -> Self {
        Self {
            requests: (row.requests * 1_000.0) as u64,
            tokens: row.tokens as u64,
            open: u64::from(row.concurrency),
        }
    }

    /// Returns the sum, field by field.
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, u64::saturating_add)
    }

    /// Returns the smaller value of each field.
    pub fn min_each(self, other: Self) -> Self {
        self.zip(other, u64::min)
    }

    /// Returns the larger value of each field.
    pub fn max_each(self, other: Self) -> Self {
        self.zip(other, u64::max)
    }

    /// Returns the difference, at least zero, field by field.
    pub fn minus(self, other: Self) -> Self {
        self.zip(other, u64::saturating_sub)
    }

    /// Returns the safe share of each of `members` gateways.
    pub fn safe_share(self, members: usize) -> Self {
        let parts = 100 * SAFE_GROWTH * members.max(1) as u64;
        self.map(|v| v * SAFE_PERCENT / parts)
    }

    /// Returns the even part of each of `parts` gateways, with at least one open request unless the
    /// limit is zero.
    pub fn even_part(self, parts: usize) -> Self {
        let part = self.map(|v| v / parts.max(1) as u64);
        Self {
            open: part.open.max(self.open.min(1)),
            ..part
        }
    }

    /// Returns the part that an allocator divides: all but the part reserved for the safe shares.
    pub fn divisible(self) -> Self {
        self.map(|v| v - v * SAFE_PERCENT / 100)
    }

    fn zip(self, other: Self, by: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            requests: by(self.requests, other.requests),
            tokens: by(self.tokens, other.tokens),
            open: by(self.open, other.open),
        }
    }

    fn map(self, by: impl Fn(u64) -> u64) -> Self {
        Self {
            requests: by(self.requests),
            tokens: by(self.tokens),
            open: by(self.open),
        }
    }
}

/// Proof that a gateway has received a reply of an allocator: the allocator's run and the time of
/// the reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyStamp {
    /// Run of the allocator.
    pub run: Incarnation,
    /// Time of the reply on the allocator's clock.
    pub at: Time,
}

/// Part of a slice request that is about one account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountRequest {
    /// Client account.
    pub account: AccountId,
    /// Slice that the gateway holds.
    pub held: Amount,
    /// Number of open requests that were admitted under this slice or an earlier one.
    pub open: u64,
    /// Number of the request that was answered with the held slice.
    pub used: u64,
    /// Demand of the account at the gateway.
    pub wants: Amount,
}

/// Request of a gateway for slices.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceRequest {
    /// Entry VM of the gateway.
    pub from: EntryId,
    /// Entry VM of the allocator.
    pub to: EntryId,
    /// Run of the gateway.
    pub run: Incarnation,
    /// Number of the request; a later one has a larger number.
    pub seq: u64,
    /// Hash of the entry VMs that the gateway knows.
    pub members: u64,
    /// Proof that the gateway has received a reply of the allocator.
    pub token: Option<ReplyStamp>,
    /// Accounts for which slices are requested.
    pub accounts: Vec<AccountRequest>,
}

/// Reply of an allocator to a slice request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceReply {
    /// Entry VM of the allocator.
    pub from: EntryId,
    /// Run of the gateway that sent the request.
    pub to: Incarnation,
    /// Number of the request.
    pub seq: u64,
    /// Stamp that the gateway sends with its next request.
    pub token: ReplyStamp,
    /// Slices that are granted, by account.
    pub grants: Vec<(AccountId, Amount)>,
}

/// Entry VMs as one gateway knows them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EntryMembership {
    /// All entry VMs, in order of their names.
    pub all: Vec<EntryId>,
    /// Entry VMs that are live and not leaving.
    pub live: Vec<EntryId>,
}

impl EntryMembership {
    /// Returns the allocator of an account, or `None` if no entry VM is live.
    pub fn allocator(&self, account: &AccountId) -> Option<&EntryId> {
        let score =
            |e: &&EntryId| rendezvous::score(account.as_str().as_bytes(), e.as_str().as_bytes());
        self.live.iter().max_by_key(score)
    }

    /// Returns a hash of all entry VMs.
    pub fn hash(&self) -> u64 {
        let fold =
            |hash: u64, e: &EntryId| rendezvous::score(&hash.to_le_bytes(), e.as_str().as_bytes());
        self.all.iter().fold(0, fold)
    }

    fn majority(&self) -> usize {
        self.all.len() / 2 + 1
    }
}

fn with_drift(span: Duration) -> Duration {
    span + span * DRIFT_PERCENT / 100
}

#[derive(Debug)]
struct Grant {
    seq: u64,
    amount: Amount,
    until: Time,
}

#[derive(Debug, Default)]
struct GatewayState {
    run: Incarnation,
    grants: Vec<Grant>,
    wants: Amount,
    last_request: Time,
}

impl GatewayState {
    /// Returns the most that the gateway may use, whichever of its replies arrived.
    ///
    /// Open requests outlive their slice, so they stay reserved for `max_open_time` longer.
    fn reserved(&self, now: Time, max_open_time: Duration) -> Amount {
        self.grants.iter().fold(Amount::default(), |sum, grant| {
            let rates = now < grant.until;
            let open = now < grant.until + max_open_time;
            let amount = Amount {
                requests: if rates { grant.amount.requests } else { 0 },
                tokens: if rates { grant.amount.tokens } else { 0 },
                open: if open { grant.amount.open } else { 0 },
            };
            sum.max_each(amount)
        })
    }
}

#[derive(Debug, Default)]
struct Allocation {
    /// Time of the latest reply that each gateway has proved to have received.
    supported_at: BTreeMap<EntryId, Time>,
    /// Time since which a majority has supported this allocator without a break.
    active_since: Option<Time>,
    /// Time at which the support of the majority expires.
    supported_until: Time,
    gateways: BTreeMap<EntryId, GatewayState>,
}

/// The allocator in each gateway: divides the limits of the accounts that are allocated here.
#[derive(Debug)]
pub struct SliceAllocator {
    entry: EntryId,
    run: Incarnation,
    max_open_time: Duration,
    membership: EntryMembership,
    allocations: BTreeMap<AccountId, Allocation>,
}

impl SliceAllocator {
    /// Creates an allocator that has granted nothing; `max_open_time` bounds how long a request
    /// stays open.
    pub fn new(entry: EntryId, run: Incarnation, max_open_time: Duration) -> Self {
        Self {
            entry,
            run,
            max_open_time,
            membership: EntryMembership::default(),
            allocations: BTreeMap::new(),
        }
    }

    /// Updates the known entry VMs. If the set of all entry VMs changed, grants stop until a
    /// majority supports this allocator again.
    pub fn refresh(&mut self, membership: &EntryMembership) {
        if self.membership.all != membership.all {
            for allocation in self.allocations.values_mut() {
                allocation.supported_at.clear();
                allocation.active_since = None;
            }
        }
        self.membership.clone_from(membership);
    }

    /// Answers a request; `limit` returns the limits of an account.
    pub fn answer(
        &mut self,
        now: Time,
        request: &SliceRequest,
        limit: impl Fn(&AccountId) -> Option<Amount>,
    ) -> SliceReply {
        let token = ReplyStamp {
            run: self.run,
            at: now,
        };
        let mut reply = SliceReply {
            from: self.entry.clone(),
            to: request.run,
            seq: request.seq,
            token,
            grants: Vec::new(),
        };
        let known = self.membership.all.contains(&request.from);
        let stamp = request.token.filter(|t| t.run == self.run);
        let Some(stamp) = stamp.filter(|_| known && request.members == self.membership.hash())
        else {
            return reply;
        };
        for account_request in &request.accounts {
            let Some(limit) = limit(&account_request.account) else {
                continue;
            };
            let allocation = self
                .allocations
                .entry(account_request.account.clone())
                .or_default();
            allocation.record_support(now, &request.from, stamp.at, &self.membership);
            let max_open_time = self.max_open_time;
            let granted = allocation.grant(
                now,
                request,
                account_request,
                stamp.at,
                limit,
                max_open_time,
                &self.membership,
            );
            if let Some(amount) = granted {
                reply.grants.push((account_request.account.clone(), amount));
            }
        }
        reply
    }
}

impl Allocation {
    fn record_support(
        &mut self,
        now: Time,
        from: &EntryId,
        replied_at: Time,
        membership: &EntryMembership,
    ) {
        if now >= self.supported_until {
            self.active_since = None;
        }
        let latest = self.supported_at.entry(from.clone()).or_default();
        *latest = replied_at.max(*latest);
        let mut support_times: Vec<Time> = self.supported_at.values().copied().collect();
        support_times.sort_unstable_by_key(|t| std::cmp::Reverse(*t));
        let majority = support_times.get(membership.majority() - 1);
        self.supported_until = majority.map_or(Time::ZERO, |t| *t + SUPPORT_TIME);
        match (now < self.supported_until, self.active_since) {
            (false, _) => self.active_since = None,
            (true, None) => self.active_since = Some(now),
            (true, Some(_)) => {}
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "each argument is a separate input of the grant"
    )]
    fn grant(
        &mut self,
        now: Time,
        request: &SliceRequest,
        account_request: &AccountRequest,
        replied_at: Time,
        limit: Amount,
        max_open_time: Duration,
        membership: &EntryMembership,
    ) -> Option<Amount> {
        let active_since = self.active_since?;
        if replied_at < active_since {
            return None;
        }
        let gateway = self.gateways.entry(request.from.clone()).or_default();
        if gateway.run < request.run {
            *gateway = GatewayState {
                run: request.run,
                ..GatewayState::default()
            };
        }
        let outdated = gateway.run > request.run;
        if outdated || gateway.grants.iter().any(|g| g.seq >= request.seq) {
            return None;
        }
        let length = with_drift(SLICE_TIME);
        gateway
            .grants
            .retain(|g| g.seq >= account_request.used && now < g.until + max_open_time);
        gateway.wants = account_request.wants;
        gateway.last_request = now;
        let everyone = membership.all.iter();
        let all_known = everyone
            .map(|e| self.gateways.get(e))
            .all(|h| h.is_some_and(|h| h.last_request >= active_since));
        let divided = self.divide(now, &request.from, limit.divisible(), max_open_time);
        let amount = Amount {
            open: if all_known || now >= active_since + length + max_open_time {
                divided.open
            } else {
                account_request.held.open
            },
            ..if now >= active_since + length {
                divided
            } else {
                account_request.held
            }
        };
        let gateway = self.gateways.get_mut(&request.from)?;
        let reserved = Amount {
            open: amount.open.max(account_request.open),
            ..amount
        };
        gateway.grants.push(Grant {
            seq: request.seq,
            amount: reserved,
            until: now + length,
        });
        Some(amount)
    }

    fn divide(&self, now: Time, to: &EntryId, limit: Amount, max_open_time: Duration) -> Amount {
        let others = self.gateways.iter().filter(|(e, _)| *e != to);
        let reserved = others.fold(Amount::default(), |sum, (_, h)| {
            sum.plus(h.reserved(now, max_open_time))
        });
        let recent = |h: &&GatewayState| now < h.last_request + SLICE_TIME;
        let wants: Vec<Amount> = self
            .gateways
            .values()
            .filter(recent)
            .map(|h| h.wants)
            .collect();
        let own = self.gateways.get(to).map_or(Amount::default(), |h| h.wants);
        let fair = Amount {
            requests: fair_part(
                limit.requests,
                own.requests,
                wants.iter().map(|w| w.requests),
            ),
            tokens: fair_part(limit.tokens, own.tokens, wants.iter().map(|w| w.tokens)),
            open: fair_part(limit.open, own.open, wants.iter().map(|w| w.open)),
        };
        fair.min_each(limit.minus(reserved))
    }
}

/// Returns the max-min fair part of `limit` for the demand `own`, which is among `wants`, plus an
/// even part of what remains after all demands.
fn fair_part(limit: u64, own: u64, wants: impl Iterator<Item = u64>) -> u64 {
    let mut wants: Vec<u64> = wants.collect();
    wants.sort_unstable();
    let mut left = limit;
    for (i, want) in wants.iter().enumerate() {
        let remaining = (wants.len() - i) as u64;
        let level = left / remaining;
        if *want > level {
            return own.min(level);
        }
        left -= want;
    }
    own + left / wants.len().max(1) as u64
}

#[derive(Debug, Default)]
struct Slice {
    allocator: Option<EntryId>,
    last_request: Time,
    amount: Amount,
    until: Time,
    reply_seq: u64,
}

#[derive(Debug)]
struct SentRequest {
    seq: u64,
    at: Time,
}

/// Demand of a client account at one gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// Client account.
    pub account: AccountId,
    /// Amount that the account would use now without a limit.
    pub wants: Amount,
    /// Requests that the account has open.
    pub open: u64,
}

/// The client in each gateway: requests slices and tells how much of a limit may be used.
#[derive(Debug)]
pub struct SliceClient {
    entry: EntryId,
    run: Incarnation,
    started: Option<Time>,
    seq: u64,
    stamps: BTreeMap<EntryId, ReplyStamp>,
    sent: VecDeque<SentRequest>,
    slices: BTreeMap<AccountId, Slice>,
}

impl SliceClient {
    /// Creates a client that holds no slices.
    pub fn new(entry: EntryId, run: Incarnation) -> Self {
        Self {
            entry,
            run,
            started: None,
            seq: 0,
            stamps: BTreeMap::new(),
            sent: VecDeque::new(),
            slices: BTreeMap::new(),
        }
    }

    /// Returns the requests to send now, each with its allocator.
    ///
    /// There are none until no request of an earlier run of this gateway can support an allocator
    /// any more.
    pub fn requests(
        &mut self,
        now: Time,
        membership: &EntryMembership,
        demands: impl Iterator<Item = Demand>,
    ) -> Vec<(EntryId, SliceRequest)> {
        let started = *self.started.get_or_insert(now);
        if now < started + with_drift(SUPPORT_TIME) {
            return Vec::new();
        }
        let mut requests: BTreeMap<EntryId, Vec<AccountRequest>> = BTreeMap::new();
        for demand in demands {
            let Some(allocator) = membership.allocator(&demand.account) else {
                continue;
            };
            let slice = self.slices.entry(demand.account.clone()).or_default();
            let moved = slice.allocator.as_ref() != Some(allocator);
            if moved
                && slice.allocator.is_some()
                && now < slice.last_request + with_drift(SUPPORT_TIME)
            {
                continue;
            }
            slice.allocator = Some(allocator.clone());
            slice.last_request = now;
            let spare = |v: u64| v + v * SPARE_PERCENT / 100;
            let request = AccountRequest {
                account: demand.account,
                held: slice.held(now),
                open: demand.open,
                used: slice.reply_seq,
                wants: demand.wants.map(spare),
            };
            requests.entry(allocator.clone()).or_default().push(request);
        }
        let members = membership.hash();
        requests
            .into_iter()
            .map(|(allocator, accounts)| {
                let request = self.request(now, &allocator, members, accounts);
                (allocator, request)
            })
            .collect()
    }

    /// Applies a reply; a reply that is older than the one in use, or that arrives too late, is
    /// ignored.
    pub fn apply_reply(&mut self, reply: &SliceReply) {
        let answered = |s: &&SentRequest| s.seq == reply.seq && reply.to == self.run;
        let Some(sent) = self.sent.iter().find(answered) else {
            return;
        };
        self.stamps.insert(reply.from.clone(), reply.token);
        for (account, amount) in &reply.grants {
            let Some(slice) = self.slices.get_mut(account) else {
                continue;
            };
            if slice.allocator.as_ref() == Some(&reply.from) && slice.reply_seq < reply.seq {
                slice.amount = *amount;
                slice.until = sent.at + SLICE_TIME;
                slice.reply_seq = reply.seq;
            }
        }
    }

    /// Returns the part of an account's limits that the gateway may use now.
    pub fn amount(&self, now: Time, account: &AccountId, limit: Amount, members: usize) -> Amount {
        let slice = self.slices.get(account).filter(|s| now < s.until);
        let held = slice.map_or(Amount::default(), |s| s.amount);
        held.plus(limit.safe_share(members)).min_each(limit)
    }

    fn request(
        &mut self,
        now: Time,
        allocator: &EntryId,
        members: u64,
        accounts: Vec<AccountRequest>,
    ) -> SliceRequest {
        self.seq += 1;
        self.sent.retain(|s| now < s.at + SLICE_TIME);
        self.sent.push_back(SentRequest {
            seq: self.seq,
            at: now,
        });
        SliceRequest {
            from: self.entry.clone(),
            to: allocator.clone(),
            run: self.run,
            seq: self.seq,
            members,
            token: self.stamps.get(allocator).copied(),
            accounts,
        }
    }
}

impl Slice {
    fn held(&self, now: Time) -> Amount {
        match now < self.until {
            true => self.amount,
            false => Amount::default(),
        }
    }
}
