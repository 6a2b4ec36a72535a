//! Slices of a client account's limits, leased to gateways by the account's home gateway.
//!
//! Every gateway asks one home for each account, found by rendezvous among the live entry VMs, and
//! asks again several times a second. A home grants only while a majority of all entry VMs asks it;
//! a gateway that turns to another home first waits until its last ask of the old one has lapsed,
//! so that no two homes grant at a time. A new home extends the slices that gateways report, and
//! divides afresh once every slice of its predecessor has lapsed. A gateway whose slice has lapsed
//! keeps a safe share, which homes never give away.
//!
//! Clocks need not agree: each side measures spans on its own clock, a gateway from before it asks
//! and a home from after it has heard. Clocks that differ in rate by up to [`DRIFT_PERCENT`] are
//! allowed for.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{AccountId, EntryId, Incarnation};
use crate::rendezvous;
use crate::table::AccountRow;
use crate::time::Time;

/// Time between two asks of a gateway.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which an ask supports a home.
pub const SUPPORT_TIME: Duration = Duration::from_millis(1_500);
/// Length of a slice.
pub const SLICE_TIME: Duration = Duration::from_millis(2_000);
/// Difference in the rate of two clocks that is allowed for, in percent.
pub const DRIFT_PERCENT: u32 = 10;
/// Share of the limits that homes leave to the safe shares, in percent.
const SAFE_PERCENT: u64 = 3;
/// Growth of the number of entry VMs that an old safe share allows for.
const SAFE_GROWTH: u64 = 2;
/// Demand above the observed one that a gateway asks for, in percent.
const SPARE_PERCENT: u64 = 25;

/// Part of an account's limits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amount {
    /// Thousandths of a request a second.
    pub requests: u64,
    /// Tokens a second.
    pub tokens: u64,
    /// Open requests.
    pub open: u64,
}

impl Amount {
    /// Returns the limits of an account.
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

    /// Returns the smaller one, field by field.
    pub fn min_each(self, other: Self) -> Self {
        self.zip(other, u64::min)
    }

    /// Returns the larger one, field by field.
    pub fn max_each(self, other: Self) -> Self {
        self.zip(other, u64::max)
    }

    /// Returns what is left without `other`, field by field.
    pub fn minus(self, other: Self) -> Self {
        self.zip(other, u64::saturating_sub)
    }

    /// Returns the safe share of one of `members` gateways.
    pub fn safe_share(self, members: usize) -> Self {
        let parts = 100 * SAFE_GROWTH * members.max(1) as u64;
        self.map(|v| v * SAFE_PERCENT / parts)
    }

    /// Returns an even part of one of `parts` gateways, at least one open request.
    pub fn even_part(self, parts: usize) -> Self {
        let part = self.map(|v| v / parts.max(1) as u64);
        Self {
            open: part.open.max(self.open.min(1)),
            ..part
        }
    }

    /// Returns what a home divides: all but what the safe shares may come to.
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

/// Proof that a gateway has heard a home: the home's run and its time then.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyStamp {
    /// The home's run.
    pub run: Incarnation,
    /// The home's time when it replied.
    pub at: Time,
}

/// What a gateway asks for one account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountRequest {
    /// The account.
    pub account: AccountId,
    /// The slice that the gateway holds.
    pub held: Amount,
    /// Requests that are open, under this slice or an earlier one.
    pub open: u64,
    /// Number of the ask that the slice answered.
    pub used: u64,
    /// Its demand.
    pub wants: Amount,
}

/// A gateway's ask.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceRequest {
    /// The gateway's entry VM.
    pub from: EntryId,
    /// The home's entry VM.
    pub to: EntryId,
    /// Its run.
    pub run: Incarnation,
    /// Number of the ask; grows.
    pub seq: u64,
    /// Hash of the entry VMs that the gateway knows.
    pub members: u64,
    /// Proof that it has heard the home.
    pub token: Option<ReplyStamp>,
    /// The accounts.
    pub accounts: Vec<AccountRequest>,
}

/// A home's reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceReply {
    /// The home's entry VM.
    pub from: EntryId,
    /// Run of the gateway that asked.
    pub to: Incarnation,
    /// Number of the ask.
    pub seq: u64,
    /// To be sent with the next ask.
    pub token: ReplyStamp,
    /// The slices granted.
    pub grants: Vec<(AccountId, Amount)>,
}

/// The entry VMs as one gateway knows them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EntryMembership {
    /// All entry VMs, in order.
    pub all: Vec<EntryId>,
    /// Those that are live.
    pub live: Vec<EntryId>,
}

impl EntryMembership {
    /// Returns the home of an account.
    pub fn allocator(&self, account: &AccountId) -> Option<&EntryId> {
        let score =
            |e: &&EntryId| rendezvous::score(account.as_str().as_bytes(), e.as_str().as_bytes());
        self.live.iter().max_by_key(score)
    }

    /// Returns the hash of all entry VMs.
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
    /// Returns what the holder may use at most, whichever replies it got.
    ///
    /// Open requests outlive their slice, so they are reserved for `longest` more.
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
    supported_at: BTreeMap<EntryId, Time>,
    active_since: Option<Time>,
    supported_until: Time,
    gateways: BTreeMap<EntryId, GatewayState>,
}

/// The home's part of one gateway: divides the limits of the accounts that it is the home of.
#[derive(Debug)]
pub struct SliceAllocator {
    entry: EntryId,
    run: Incarnation,
    max_open_time: Duration,
    membership: EntryMembership,
    allocations: BTreeMap<AccountId, Allocation>,
}

impl SliceAllocator {
    /// Makes a home that grants nothing yet; `longest` bounds how long a request stays open.
    pub fn new(entry: EntryId, run: Incarnation, max_open_time: Duration) -> Self {
        Self {
            entry,
            run,
            max_open_time,
            membership: EntryMembership::default(),
            allocations: BTreeMap::new(),
        }
    }

    /// Takes the entry VMs as they are known now.
    pub fn refresh(&mut self, membership: &EntryMembership) {
        if self.membership.all != membership.all {
            for allocation in self.allocations.values_mut() {
                allocation.supported_at.clear();
                allocation.active_since = None;
            }
        }
        self.membership.clone_from(membership);
    }

    /// Answers an ask; `limit` returns the limits of an account.
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
        let since = self.supported_at.entry(from.clone()).or_default();
        *since = replied_at.max(*since);
        let mut since: Vec<Time> = self.supported_at.values().copied().collect();
        since.sort_unstable_by_key(|t| std::cmp::Reverse(*t));
        let majority = since.get(membership.majority() - 1);
        self.supported_until = majority.map_or(Time::ZERO, |t| *t + SUPPORT_TIME);
        match (now < self.supported_until, self.active_since) {
            (false, _) => self.active_since = None,
            (true, None) => self.active_since = Some(now),
            (true, Some(_)) => {}
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "each is a different thing that is known here"
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
        let old = gateway.run > request.run;
        if old || gateway.grants.iter().any(|g| g.seq >= request.seq) {
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

/// Returns the max-min fair part of `limit` for demand `own` among `wants`, with an even part of
/// what nobody wants.
fn fair_part(limit: u64, own: u64, wants: impl Iterator<Item = u64>) -> u64 {
    let mut wants: Vec<u64> = wants.collect();
    wants.sort_unstable();
    let mut left = limit;
    for (i, want) in wants.iter().enumerate() {
        let rest = (wants.len() - i) as u64;
        let level = left / rest;
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

/// Demand of an account at one gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// The account.
    pub account: AccountId,
    /// What it would use now.
    pub wants: Amount,
    /// Requests that it has open.
    pub open: u64,
}

/// The user's part of one gateway: asks for slices and says what may be used.
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
    /// Makes a user that holds nothing.
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

    /// Returns the asks to send now, with the home that each is for.
    ///
    /// There are none until an ask of this gateway's former run can support no home any more.
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

    /// Takes a reply; one that is older than the reply in use, or comes too late, counts for nothing.
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

    /// Returns what the gateway may use of an account with these limits.
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
