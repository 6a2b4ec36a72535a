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
pub const SUPPORT: Duration = Duration::from_millis(1_500);
/// Length of a slice.
pub const SLICE: Duration = Duration::from_millis(2_000);
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
    pub fn least(self, other: Self) -> Self {
        self.zip(other, u64::min)
    }

    /// Returns the larger one, field by field.
    pub fn most(self, other: Self) -> Self {
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
    pub fn divided(self) -> Self {
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
    pub fn home(&self, account: &AccountId) -> Option<&EntryId> {
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
struct Given {
    seq: u64,
    amount: Amount,
    until: Time,
}

#[derive(Debug, Default)]
struct Holder {
    run: Incarnation,
    given: Vec<Given>,
    wants: Amount,
    asked: Time,
}

impl Holder {
    /// Returns what the holder may use at most, whichever replies it got.
    ///
    /// Open requests outlive their slice, so they are reserved for `longest` more.
    fn reserved(&self, now: Time, longest: Duration) -> Amount {
        self.given.iter().fold(Amount::default(), |sum, given| {
            let rates = now < given.until;
            let open = now < given.until + longest;
            let amount = Amount {
                requests: if rates { given.amount.requests } else { 0 },
                tokens: if rates { given.amount.tokens } else { 0 },
                open: if open { given.amount.open } else { 0 },
            };
            sum.most(amount)
        })
    }
}

#[derive(Debug, Default)]
struct Ledger {
    support: BTreeMap<EntryId, Time>,
    active: Option<Time>,
    lapse: Time,
    holders: BTreeMap<EntryId, Holder>,
}

/// The home's part of one gateway: divides the limits of the accounts that it is the home of.
#[derive(Debug)]
pub struct SliceAllocator {
    entry: EntryId,
    run: Incarnation,
    longest: Duration,
    electorate: EntryMembership,
    ledgers: BTreeMap<AccountId, Ledger>,
}

impl SliceAllocator {
    /// Makes a home that grants nothing yet; `longest` bounds how long a request stays open.
    pub fn new(entry: EntryId, run: Incarnation, longest: Duration) -> Self {
        Self {
            entry,
            run,
            longest,
            electorate: EntryMembership::default(),
            ledgers: BTreeMap::new(),
        }
    }

    /// Takes the entry VMs as they are known now.
    pub fn refresh(&mut self, electorate: &EntryMembership) {
        if self.electorate.all != electorate.all {
            for ledger in self.ledgers.values_mut() {
                ledger.support.clear();
                ledger.active = None;
            }
        }
        self.electorate.clone_from(electorate);
    }

    /// Answers an ask; `limit` returns the limits of an account.
    pub fn answer(
        &mut self,
        now: Time,
        ask: &SliceRequest,
        limit: impl Fn(&AccountId) -> Option<Amount>,
    ) -> SliceReply {
        let token = ReplyStamp {
            run: self.run,
            at: now,
        };
        let mut reply = SliceReply {
            from: self.entry.clone(),
            to: ask.run,
            seq: ask.seq,
            token,
            grants: Vec::new(),
        };
        let known = self.electorate.all.contains(&ask.from);
        let heard = ask.token.filter(|t| t.run == self.run);
        let Some(heard) = heard.filter(|_| known && ask.members == self.electorate.hash()) else {
            return reply;
        };
        for asked in &ask.accounts {
            let Some(limit) = limit(&asked.account) else {
                continue;
            };
            let ledger = self.ledgers.entry(asked.account.clone()).or_default();
            ledger.support(now, &ask.from, heard.at, &self.electorate);
            let longest = self.longest;
            let granted = ledger.grant(now, ask, asked, heard.at, limit, longest, &self.electorate);
            if let Some(amount) = granted {
                reply.grants.push((asked.account.clone(), amount));
            }
        }
        reply
    }
}

impl Ledger {
    fn support(&mut self, now: Time, from: &EntryId, heard: Time, electorate: &EntryMembership) {
        if now >= self.lapse {
            self.active = None;
        }
        let since = self.support.entry(from.clone()).or_default();
        *since = heard.max(*since);
        let mut since: Vec<Time> = self.support.values().copied().collect();
        since.sort_unstable_by_key(|t| std::cmp::Reverse(*t));
        let majority = since.get(electorate.majority() - 1);
        self.lapse = majority.map_or(Time::ZERO, |t| *t + SUPPORT);
        match (now < self.lapse, self.active) {
            (false, _) => self.active = None,
            (true, None) => self.active = Some(now),
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
        ask: &SliceRequest,
        asked: &AccountRequest,
        heard: Time,
        limit: Amount,
        longest: Duration,
        electorate: &EntryMembership,
    ) -> Option<Amount> {
        let active = self.active?;
        if heard < active {
            return None;
        }
        let holder = self.holders.entry(ask.from.clone()).or_default();
        if holder.run < ask.run {
            *holder = Holder {
                run: ask.run,
                ..Holder::default()
            };
        }
        let old = holder.run > ask.run;
        if old || holder.given.iter().any(|g| g.seq >= ask.seq) {
            return None;
        }
        let length = with_drift(SLICE);
        holder
            .given
            .retain(|g| g.seq >= asked.used && now < g.until + longest);
        holder.wants = asked.wants;
        holder.asked = now;
        let everyone = electorate.all.iter();
        let all_known = everyone
            .map(|e| self.holders.get(e))
            .all(|h| h.is_some_and(|h| h.asked >= active));
        let divided = self.divide(now, &ask.from, limit.divided(), longest);
        let amount = Amount {
            open: if all_known || now >= active + length + longest {
                divided.open
            } else {
                asked.held.open
            },
            ..if now >= active + length {
                divided
            } else {
                asked.held
            }
        };
        let holder = self.holders.get_mut(&ask.from)?;
        let reserved = Amount {
            open: amount.open.max(asked.open),
            ..amount
        };
        holder.given.push(Given {
            seq: ask.seq,
            amount: reserved,
            until: now + length,
        });
        Some(amount)
    }

    fn divide(&self, now: Time, to: &EntryId, limit: Amount, longest: Duration) -> Amount {
        let others = self.holders.iter().filter(|(e, _)| *e != to);
        let reserved = others.fold(Amount::default(), |sum, (_, h)| {
            sum.plus(h.reserved(now, longest))
        });
        let recent = |h: &&Holder| now < h.asked + SLICE;
        let wants: Vec<Amount> = self
            .holders
            .values()
            .filter(recent)
            .map(|h| h.wants)
            .collect();
        let own = self.holders.get(to).map_or(Amount::default(), |h| h.wants);
        let fair = Amount {
            requests: fair_part(
                limit.requests,
                own.requests,
                wants.iter().map(|w| w.requests),
            ),
            tokens: fair_part(limit.tokens, own.tokens, wants.iter().map(|w| w.tokens)),
            open: fair_part(limit.open, own.open, wants.iter().map(|w| w.open)),
        };
        fair.least(limit.minus(reserved))
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
    home: Option<EntryId>,
    asked: Time,
    amount: Amount,
    until: Time,
    used: u64,
}

#[derive(Debug)]
struct Sent {
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
    tokens: BTreeMap<EntryId, ReplyStamp>,
    sent: VecDeque<Sent>,
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
            tokens: BTreeMap::new(),
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
        electorate: &EntryMembership,
        demands: impl Iterator<Item = Demand>,
    ) -> Vec<(EntryId, SliceRequest)> {
        let started = *self.started.get_or_insert(now);
        if now < started + with_drift(SUPPORT) {
            return Vec::new();
        }
        let mut asks: BTreeMap<EntryId, Vec<AccountRequest>> = BTreeMap::new();
        for demand in demands {
            let Some(home) = electorate.home(&demand.account) else {
                continue;
            };
            let slice = self.slices.entry(demand.account.clone()).or_default();
            let moved = slice.home.as_ref() != Some(home);
            if moved && slice.home.is_some() && now < slice.asked + with_drift(SUPPORT) {
                continue;
            }
            slice.home = Some(home.clone());
            slice.asked = now;
            let spare = |v: u64| v + v * SPARE_PERCENT / 100;
            let ask = AccountRequest {
                account: demand.account,
                held: slice.held(now),
                open: demand.open,
                used: slice.used,
                wants: demand.wants.map(spare),
            };
            asks.entry(home.clone()).or_default().push(ask);
        }
        let members = electorate.hash();
        asks.into_iter()
            .map(|(home, accounts)| {
                let ask = self.ask(now, &home, members, accounts);
                (home, ask)
            })
            .collect()
    }

    /// Takes a reply; one that is older than the reply in use, or comes too late, counts for nothing.
    pub fn take(&mut self, reply: &SliceReply) {
        let asked = |s: &&Sent| s.seq == reply.seq && reply.to == self.run;
        let Some(sent) = self.sent.iter().find(asked) else {
            return;
        };
        self.tokens.insert(reply.from.clone(), reply.token);
        for (account, amount) in &reply.grants {
            let Some(slice) = self.slices.get_mut(account) else {
                continue;
            };
            if slice.home.as_ref() == Some(&reply.from) && slice.used < reply.seq {
                slice.amount = *amount;
                slice.until = sent.at + SLICE;
                slice.used = reply.seq;
            }
        }
    }

    /// Returns what the gateway may use of an account with these limits.
    pub fn amount(&self, now: Time, account: &AccountId, limit: Amount, members: usize) -> Amount {
        let slice = self.slices.get(account).filter(|s| now < s.until);
        let held = slice.map_or(Amount::default(), |s| s.amount);
        held.plus(limit.safe_share(members)).least(limit)
    }

    fn ask(
        &mut self,
        now: Time,
        home: &EntryId,
        members: u64,
        accounts: Vec<AccountRequest>,
    ) -> SliceRequest {
        self.seq += 1;
        self.sent.retain(|s| now < s.at + SLICE);
        self.sent.push_back(Sent {
            seq: self.seq,
            at: now,
        });
        SliceRequest {
            from: self.entry.clone(),
            to: home.clone(),
            run: self.run,
            seq: self.seq,
            members,
            token: self.tokens.get(home).copied(),
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
