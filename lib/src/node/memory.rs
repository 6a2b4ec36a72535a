//! Admits the bytes that open requests hold: their bodies, answers that are read whole, and what
//! connections buffer ahead.
//!
//! The budget follows from the memory limit of the process. An eighth of it is for what connections
//! buffer. Bodies and answers share the rest, of which a part is kept for small bodies and a part for
//! answers, whose requests have run. Within each part, a holder may grow only while it is small against
//! what is left, so that none shuts the others out.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::time::Time;

/// Memory in MB of a process that is not told its limit.
pub const DEFAULT_LIMIT_MB: f64 = 256.0;
/// Memory in MB that a process takes apart from requests: code, lists, configuration, tasks.
const BASE_MB: f64 = 40.0;
/// Share of the remaining memory that requests may hold; the allocator takes a part of the rest.
const BUDGET_SHARE: f64 = 0.75;
/// Part of the budget for what connections buffer ahead, as a divisor.
const BUFFER_DIVISOR: usize = 8;
/// Size in bytes up to which a body counts as small.
const SMALL_BODY_BYTES: usize = 64 << 10;
/// Bytes that an answer takes for each of its own: it is copied behind its head to be sent.
const ANSWER_FACTOR: usize = 2;
/// Factor on the room left up to which the bodies of one owner may grow. One owner alone has three
/// quarters of the room, two have three sevenths each.
const OWNER_FACTOR: usize = 3;
/// Time for which a body is assumed to be held before the first was.
const INITIAL_HOLD_TIME: Duration = Duration::from_secs(1);
/// Weight of one body in the mean time for which bodies are held.
const HOLD_TIME_WEIGHT: f64 = 0.1;
/// Shortest time after which a refused caller may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Part of the time that a caller waits up to which it can be told to retry, as a divisor.
const RETRY_DIVISOR: u32 = 3;

/// The holder of request bodies that shares memory with others.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Owner {
    /// A client account, by its name.
    Account(Arc<str>),
    /// A caller without an account, by its address; `None` if its connection has ended.
    Address(Option<IpAddr>),
}

/// What takes memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Bodies of requests.
    Bodies,
    /// Answers that are read whole, with the copies that are sent.
    Answers,
}

/// Size class of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Class {
    Small,
    Large,
}

impl Class {
    fn of(bytes: usize) -> Self {
        match bytes <= SMALL_BODY_BYTES {
            true => Self::Small,
            false => Self::Large,
        }
    }
}

/// Bytes of bodies by size class.
#[derive(Debug, Default)]
struct BodyBytes {
    small: usize,
    large: usize,
}

impl BodyBytes {
    fn of(&self, class: Class) -> usize {
        match class {
            Class::Small => self.small,
            Class::Large => self.large,
        }
    }

    fn of_mut(&mut self, class: Class) -> &mut usize {
        match class {
            Class::Small => &mut self.small,
            Class::Large => &mut self.large,
        }
    }
}

/// The memory that open requests hold.
#[derive(Debug)]
pub struct Memory {
    /// Bytes that bodies and answers may hold together.
    shared: usize,
    /// Bytes that connections may buffer ahead.
    buffers: usize,
    bodies: usize,
    answers: usize,
    owners: BTreeMap<Owner, BodyBytes>,
    /// Mean time for which large bodies are held.
    hold_time: Duration,
    /// When the room should be free that callers were told to come back for.
    promised_until: Time,
}

impl Memory {
    /// Creates the memory of a process with a limit of `limit_mb` MB.
    pub fn new(limit_mb: f64) -> Self {
        let budget = (limit_mb - BASE_MB).max(0.0) * BUDGET_SHARE * 1_048_576.0;
        Self::with_budget(budget as usize)
    }

    /// Creates a memory of `budget` bytes.
    pub fn with_budget(budget: usize) -> Self {
        let buffers = budget / BUFFER_DIVISOR;
        Self {
            shared: budget - buffers,
            buffers,
            bodies: 0,
            answers: 0,
            owners: BTreeMap::new(),
            hold_time: INITIAL_HOLD_TIME,
            promised_until: Time::default(),
        }
    }

    /// Returns the bytes that requests may hold at most, with what connections buffer ahead.
    pub fn budget(&self) -> usize {
        self.shared + self.buffers
    }

    /// Returns the bytes that all connections together may buffer ahead.
    pub fn buffer_bound(&self) -> usize {
        self.buffers
    }

    /// Returns the bytes that are held.
    pub fn held(&self, kind: Kind) -> usize {
        match kind {
            Kind::Bodies => self.bodies,
            Kind::Answers => self.answers,
        }
    }

    /// Holds `more` bytes for a body that holds `held`; returns whether there was room for them.
    pub fn try_hold_body(&mut self, owner: &Owner, held: usize, more: usize) -> bool {
        if more == 0 {
            return true;
        }
        let (before, class) = (Class::of(held), Class::of(held + more));
        let moved = if before == class { 0 } else { held };
        let room = self.room(class);
        let of_owner = self.owners.get(owner).map_or(0, |b| b.of(class));
        let total = of_owner.saturating_add(moved).saturating_add(more);
        if more > room || total > room.saturating_mul(OWNER_FACTOR) {
            return false;
        }
        let bytes = self.owners.entry(owner.clone()).or_default();
        *bytes.of_mut(before) -= moved;
        *bytes.of_mut(class) += moved + more;
        self.bodies += more;
        true
    }

    /// Frees the bytes of a body that has held them since `since`.
    pub fn free_body(&mut self, now: Time, since: Time, owner: &Owner, held: usize) {
        if held == 0 {
            return;
        }
        let class = Class::of(held);
        self.bodies -= held;
        if let Some(bytes) = self.owners.get_mut(owner) {
            *bytes.of_mut(class) -= held;
            if bytes.small + bytes.large == 0 {
                self.owners.remove(owner);
            }
        }
        if class == Class::Large {
            let observed = now.since(since).mul_f64(HOLD_TIME_WEIGHT);
            self.hold_time = self.hold_time.mul_f64(1.0 - HOLD_TIME_WEIGHT) + observed;
        }
    }

    /// Holds `more` bytes for an answer of which `held` were read; returns whether there was room for
    /// them.
    pub fn try_hold_answer(&mut self, held: usize, more: usize) -> bool {
        let left = self.shared.saturating_sub(self.bodies + self.answers);
        let has_room = held.saturating_add(more).saturating_mul(ANSWER_FACTOR) <= left;
        if has_room {
            self.answers += more * ANSWER_FACTOR;
        }
        has_room
    }

    /// Frees all bytes that an answer held.
    pub fn free_answer(&mut self, held: usize) {
        self.answers -= held * ANSWER_FACTOR;
    }

    /// Returns whether a connection that has buffered `own` bytes of the `total` of all connections
    /// may read on.
    pub fn may_buffer(&self, own: usize, total: usize) -> bool {
        own <= self.buffers.saturating_sub(total)
    }

    /// Returns the time after which the caller of a body of `needed` bytes, which waits for `wait`, may
    /// retry. Bodies end at the pace of those before; each refused caller is told to come when there
    /// should be room for it after those that were told before.
    pub fn retry_after(&mut self, now: Time, needed: usize, wait: Duration) -> Duration {
        let limit = (wait / RETRY_DIVISOR).max(MIN_RETRY_AFTER);
        let share = needed as f64 / self.bodies.max(1) as f64;
        let free_after = self.hold_time.mul_f64(share.min(1.0));
        let free_at = (self.promised_until.max(now) + free_after).min(now + limit);
        self.promised_until = free_at;
        free_at.since(now).clamp(MIN_RETRY_AFTER, limit)
    }

    /// Returns the bytes that bodies of a class may still take. Large ones leave a quarter to the
    /// others, and small ones an eighth to answers.
    fn room(&self, class: Class) -> usize {
        let bound = match class {
            Class::Small => self.shared - self.shared / 8,
            Class::Large => self.shared - self.shared / 4,
        };
        bound.saturating_sub(self.bodies + self.answers)
    }
}
