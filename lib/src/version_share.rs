//! Distribution of a group's work among its versions, by weight and without a shared counter.
//!
//! Each gateway distributes its own requests by the weights, so that their sum follows the weights
//! too. The virtual time of a version grows by work over weight, and the version with the smallest
//! virtual time is next.

use std::collections::BTreeMap;

use crate::ids::VersionId;

/// Largest lag of a version that is made up for, in tokens divided by the weight.
const CATCH_UP_TOKENS: f64 = 4_096.0;

/// Virtual times of the versions of one group.
#[derive(Debug, Default)]
pub struct VersionShare {
    virtual_times: BTreeMap<VersionId, f64>,
}

impl VersionShare {
    /// Returns the versions, the next one first.
    ///
    /// Versions of weight zero are left out, unless all versions have weight zero.
    pub fn order<'a>(
        &mut self,
        versions: impl Iterator<Item = (&'a VersionId, f64)>,
    ) -> Vec<&'a VersionId> {
        let versions: Vec<(&VersionId, f64)> = versions.collect();
        let any_weight = versions.iter().any(|v| v.1 > 0.0);
        let mut candidates: Vec<&(&VersionId, f64)> = versions
            .iter()
            .filter(|v| v.1 > 0.0 || !any_weight)
            .collect();
        self.bound_lag(&candidates);
        let virtual_time = |v: &VersionId| self.virtual_times.get(v).copied().unwrap_or(0.0);
        candidates.sort_by(|a, b| virtual_time(a.0).total_cmp(&virtual_time(b.0)));
        candidates.into_iter().map(|v| v.0).collect()
    }

    /// Records work sent to a version of this weight.
    pub fn record_work(&mut self, version: &VersionId, weight: f64, tokens: u64) {
        let virtual_time = self.virtual_times.entry(version.clone()).or_default();
        *virtual_time += tokens as f64 / weight.max(f64::MIN_POSITIVE);
    }

    fn bound_lag(&mut self, versions: &[&(&VersionId, f64)]) {
        let known = |v: &&(&VersionId, f64)| self.virtual_times.get(v.0).copied();
        let largest = versions.iter().filter_map(known).fold(0.0, f64::max);
        for (version, weight) in versions {
            let floor = largest - CATCH_UP_TOKENS / weight.max(f64::MIN_POSITIVE);
            let virtual_time = self
                .virtual_times
                .entry((*version).clone())
                .or_insert(largest);
            *virtual_time = virtual_time.max(floor);
        }
        let listed = |v: &VersionId| versions.iter().any(|(known, _)| *known == v);
        self.virtual_times.retain(|v, _| listed(v));
    }
}
