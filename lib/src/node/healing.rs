//! Probes that show that a VM which was cut off reaches endpoints again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::reach::MIN_FAILED;
use crate::time::Time;

/// Outcomes of probes since the first success in a cut.
#[derive(Debug, Default)]
pub(super) struct Healing {
    /// When the first of the probes succeeded.
    pub(super) since: Option<Time>,
    /// Whether the last probe of each endpoint succeeded.
    pub(super) outcomes: BTreeMap<Arc<str>, bool>,
}

impl Healing {
    /// Records the outcome of a probe; begins anew if more endpoints fail than succeed.
    pub(super) fn record(&mut self, now: Time, endpoint: &Arc<str>, success: bool) {
        self.outcomes.insert(endpoint.clone(), success);
        let succeeded = self.succeeded();
        if succeeded == 0 || self.outcomes.len() > 2 * succeeded {
            *self = Self::default();
            return;
        }
        self.since.get_or_insert(now);
    }

    /// Returns whether most probes have succeeded for the given time, at enough endpoints.
    pub(super) fn lasts(&self, now: Time, listed: usize, time: Duration) -> bool {
        let tried = self.outcomes.len();
        let is_most = self.succeeded() * 2 > tried || listed < MIN_FAILED;
        let is_long = self.since.is_some_and(|since| now.since(since) >= time);
        is_long && is_most && tried >= MIN_FAILED.min(listed)
    }

    fn succeeded(&self) -> usize {
        self.outcomes.values().filter(|success| **success).count()
    }
}
