//! Requests whose endpoints are silent: their sends are held open while other endpoints are tried,
//! and the first one that goes on answers.

use std::time::Duration;

/// Interval at which a request with held sends looks for another endpoint after none was found.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// The sends of a request that has no endpoint that goes on.
#[derive(Debug, Clone, Copy)]
pub struct Standing {
    /// Number of sends that are held open.
    pub held: usize,
    /// Whether the request came from a peer, which may find another way, and this VM is cut off from
    /// the endpoints.
    pub is_cut_peer: bool,
    /// Whether a send has failed with which the request may have run.
    pub has_failed: bool,
    /// Whether the request may run more than once.
    pub may_retry: bool,
    /// Number of sends with which the request may have run.
    pub possible_runs: u32,
    /// Upper bound on `possible_runs`.
    pub max_attempts: u32,
}

/// What to do with a request that has no endpoint that goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Look for another endpoint.
    Try,
    /// Listen to the held sends for [`RETRY_INTERVAL`].
    Listen,
    /// End the request without its answer.
    End,
}

impl Standing {
    /// Decides whether the request may be sent again.
    pub fn next(&self) -> Next {
        let is_used_up = !self.may_retry || self.possible_runs >= self.max_attempts;
        match self.has_failed && is_used_up {
            true => self.after_refusal(),
            false => Next::Try,
        }
    }

    /// Decides what follows when no other endpoint or peer takes the request at present.
    pub fn after_refusal(&self) -> Next {
        match (self.held, self.is_cut_peer) {
            (0, _) | (_, true) => Next::End,
            (_, false) => Next::Listen,
        }
    }
}

/// Returns whether another endpoint may get the request while one send is under way. A send that was
/// held before is counted in `possible_runs` already.
pub fn may_switch(
    may_retry: bool,
    possible_runs: u32,
    is_counted: bool,
    max_attempts: u32,
) -> bool {
    may_retry && possible_runs + u32::from(!is_counted) < max_attempts
}
