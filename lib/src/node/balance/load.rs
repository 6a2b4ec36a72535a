//! Load on an endpoint, and signs of its failures.

use std::cell::Cell;
use std::time::Duration;

use crate::node::under_way::ExpectedLoad;
use crate::time::Time;

/// Time for which a failing plain endpoint is avoided.
const AVOID_DURATION: Duration = Duration::from_millis(1_500);

#[derive(Debug, Default)]
pub(super) struct Load {
    pub(super) requests: usize,
    pub(super) pending_prompt_tokens: u32,
    pub(super) peer_requests: usize,
    pub(super) peer_pending_prompt_tokens: u32,
    /// Load that the peers are expected to have by now, as of the last choice.
    pub(super) peers_now: Cell<Option<ExpectedLoad>>,
    pub(super) silent_since: Option<Time>,
    pub(super) peer_silent_since: Option<Time>,
    pub(super) last_own_progress: Option<Time>,
    pub(super) last_peer_progress: Option<Time>,
    pub(super) failures: u32,
    pub(super) avoided_since: Option<Time>,
    /// Moving average of the observed divided by the expected time between events; zero before the
    /// first observation.
    pub(super) slowness: f64,
}

impl Load {
    pub(super) fn last_progress(&self) -> Option<Time> {
        self.last_own_progress.max(self.last_peer_progress)
    }

    pub(super) fn running(&self) -> usize {
        self.requests + self.peer_requests
    }

    /// Returns the requests and the prompt tokens in flight, and the doubt in the requests.
    pub(super) fn expected(&self) -> (f64, f64, f64) {
        let own = (self.requests as f64, f64::from(self.pending_prompt_tokens));
        let peers = self.peers_now.get().unwrap_or(ExpectedLoad {
            requests: self.peer_requests as f64,
            prompt_tokens: f64::from(self.peer_pending_prompt_tokens),
            doubt: 0.0,
            sent: 0.0,
        });
        (
            own.0 + peers.requests,
            own.1 + peers.prompt_tokens,
            peers.doubt,
        )
    }

    pub(super) fn is_silent(&self, now: Time, silence_duration: Duration) -> bool {
        let recent = |t: Option<Time>| t.is_some_and(|t| now.since(t) < silence_duration);
        recent(self.silent_since) || recent(self.peer_silent_since)
    }

    pub(super) fn is_avoided(&self, now: Time) -> bool {
        self.avoided_since
            .is_some_and(|t| now.since(t) < AVOID_DURATION)
    }
}
