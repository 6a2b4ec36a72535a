//! The planner's lease, as a VM holds it, and what may be ordered under it.
//!
//! The store grants the lease and counts its generations. The VM that holds it plans until it lapses by
//! the VM's own clock, which goes on while the process is stopped.

use std::time::Duration;

use super::planner::fencing_token;
use crate::time::Time;

/// Time before the end of the lease from which no more orders are sent.
const LEASE_MARGIN: Duration = Duration::from_millis(300);
/// Time after the lease was last held within which planning continues without it, if the store is
/// unreachable: VMs notice that within a second, and tell each other within another.
const CONTINUE_LIMIT: Duration = Duration::from_secs(4);

/// Answer of the store to a request for the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Era of the store that counts the generations.
    pub era: u64,
    /// Generation of the lease, which the store increases with each change of its holder.
    pub generation: u64,
    /// Whether the VM holds the lease.
    pub is_held: bool,
}

/// The lease of this VM.
#[derive(Debug, Default)]
pub struct Lease {
    era: u64,
    generation: u64,
    /// Until when orders may be sent, if the lease is held.
    expires: Option<Time>,
    /// When the lease was last held, unless the store has since refused it; it may have ended
    /// because the store is unreachable.
    last_held: Option<Time>,
    /// Whether planning continues without the store.
    without_store: bool,
}

impl Lease {
    /// Returns the fencing token of the orders.
    pub fn fence(&self) -> u64 {
        fencing_token(self.era, self.generation)
    }

    /// Returns the generation by which to ask the store for the lease in an era of it. The store does
    /// not know a generation of an earlier era.
    pub fn known_generation(&self, era: u64) -> u64 {
        match self.era == era {
            true => self.generation,
            false => 0,
        }
    }

    /// Returns whether the lease is held and has not lapsed.
    pub fn is_held(&self, now: Time) -> bool {
        self.expires.is_some_and(|t| t > now)
    }

    /// Returns whether an order that was decided on under a fencing token may be sent. A process may have been
    /// stopped since it decided, so this is asked right before each order.
    pub fn may_order(&self, now: Time, fence: u64) -> bool {
        self.is_held(now) && self.fence() == fence
    }

    /// Returns whether planning continues without the store.
    pub fn is_alone(&self) -> bool {
        self.without_store
    }

    /// Applies the store's answer to a request that was sent at `asked_at`, for a lease of `length`.
    pub fn apply(&mut self, asked_at: Time, length: Duration, grant: Grant) {
        (self.era, self.generation) = (grant.era, grant.generation);
        // The store counts the lease from the arrival of the request, which is later.
        self.expires = grant.is_held.then(|| asked_at + length - LEASE_MARGIN);
        if !grant.is_held {
            self.last_held = None;
        }
    }

    /// Gives the lease up, until the store grants it again.
    pub fn give_up(&mut self) {
        (self.expires, self.last_held) = (None, None);
    }

    /// Continues to plan while no VM reaches the store, when no other VM can take over. This is safe
    /// since engines refuse older fencing tokens once another planner has used a newer one.
    /// `may_continue` says whether that is so. Returns whether planning continues from now on, if that
    /// has changed.
    pub fn continue_alone(
        &mut self,
        now: Time,
        length: Duration,
        may_continue: bool,
    ) -> Option<bool> {
        if self.is_held(now) {
            self.last_held = Some(now);
        } else if self.without_store {
            // The process was stopped for longer than the lease, and others may reach the store again.
            self.give_up();
        }
        let was_held_recently = self
            .last_held
            .is_some_and(|t| now.since(t) < CONTINUE_LIMIT);
        let continues = may_continue && was_held_recently;
        let has_changed = continues != self.without_store;
        self.without_store = continues;
        if continues {
            self.expires = Some(now + length);
            self.last_held = Some(now);
        } else if has_changed {
            // From now on the store decides again which VM is the planner.
            self.expires = None;
        }
        has_changed.then_some(continues)
    }
}
