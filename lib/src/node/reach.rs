//! Decides whether this VM reaches endpoints, from what it hears of them itself and from what its
//! peers report.

use std::sync::Arc;

use crate::time::Time;

/// Whether this VM reaches endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PathState {
    /// Endpoints answer this VM, or nothing shows that they do not.
    #[default]
    Direct,
    /// Several endpoints do not answer this VM, and it is not known whether they answer peers.
    Doubtful,
    /// Endpoints that do not answer this VM answer its peers.
    Cut,
}

/// How an endpoint failed to answer this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathFailure {
    /// A connection could not be opened.
    Connect,
    /// A request got no byte for some time.
    Quiet,
    /// A connection broke.
    Broken,
}

/// Evidence of whether this VM reaches endpoints.
#[derive(Debug, Default)]
pub struct Reach {
    state: PathState,
}

impl Reach {
    /// Records that bytes arrived from an endpoint.
    pub fn record_heard(&mut self, _now: Time, _endpoint: &Arc<str>) {}

    /// Records that a connection to an endpoint was opened.
    pub fn record_connected(&mut self, _now: Time, _endpoint: &Arc<str>) {}

    /// Records that an endpoint failed to answer.
    pub fn record_failure(&mut self, _now: Time, _endpoint: &Arc<str>, _failure: PathFailure) {}

    /// Returns whether this VM reaches endpoints.
    pub fn state(&self, _now: Time) -> PathState {
        self.state
    }
}
