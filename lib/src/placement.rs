//! Choice of the VMs that form replicas, each failure domain packed on its own.

use std::collections::BTreeMap;

use crate::ids::{DomainId, GroupId, VersionId, VmId};
use crate::table::Table;

/// Replicas of one version that a shard should hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wanted {
    /// The group.
    pub group: GroupId,
    /// The version.
    pub version: VersionId,
    /// VMs that one replica spans.
    pub span: u32,
    /// Reserve VMs of one replica.
    pub reserve: u32,
    /// Replicas wanted.
    pub count: u32,
}

/// Splits `total` into parts as equal as can be; earlier parts get the remainder.
pub fn apportion(total: u32, parts: usize, index: usize) -> u32 {
    let parts = parts.max(1) as u32;
    total / parts + u32::from((index as u32) < total % parts)
}

/// Splits `total` over versions by their weights, by largest remainder; ties go to the first.
pub fn by_weight(total: u32, weights: &[f64]) -> Vec<u32> {
    let sum: f64 = weights.iter().sum();
    if sum <= 0.0 {
        return vec![0; weights.len()];
    }
    let exact: Vec<f64> = weights.iter().map(|w| f64::from(total) * w / sum).collect();
    let mut counts: Vec<u32> = exact.iter().map(|x| x.floor() as u32).collect();
    let mut order: Vec<usize> = (0..weights.len()).collect();
    order.sort_by(|a, b| {
        exact[*b]
            .fract()
            .total_cmp(&exact[*a].fract())
            .then(a.cmp(b))
    });
    let missing = total - counts.iter().sum::<u32>();
    for i in order.into_iter().take(missing as usize) {
        counts[i] += 1;
    }
    counts
}

/// Returns what the shard `shard` should hold, the same for every reader of the table.
pub fn wanted(table: &Table, shards: &[DomainId], shard: &DomainId) -> Vec<Wanted> {
    let Some(index) = shards.iter().position(|s| s == shard) else {
        return Vec::new();
    };
    let mut out = Vec::new();
    for (group, row) in table.groups() {
        let here = apportion(row.replicas, shards.len(), index);
        let versions: Vec<_> = table
            .versions()
            .filter(|(_, v)| v.group == *group)
            .collect();
        let weights: Vec<f64> = versions.iter().map(|(_, v)| v.weight).collect();
        for ((version, v), count) in versions.iter().zip(by_weight(here, &weights)) {
            out.push(Wanted {
                group: group.clone(),
                version: (*version).clone(),
                span: v.span,
                reserve: row.reserve,
                count,
            });
        }
    }
    out
}

/// Picks the VMs of one replica out of the free ones, or `None` if they are too few.
pub fn form(free: &[VmId], span: u32, reserve: u32) -> Option<(Vec<VmId>, Vec<VmId>)> {
    let span = span as usize;
    if span == 0 || free.len() < span {
        return None;
    }
    let vms = free[..span].to_vec();
    let spare = free[span..]
        .iter()
        .take(reserve as usize)
        .cloned()
        .collect();
    Some((vms, spare))
}

/// Counts the replicas of each version among `assigned`.
pub fn count<'a>(assigned: impl Iterator<Item = &'a VersionId>) -> BTreeMap<&'a VersionId, u32> {
    let mut out = BTreeMap::new();
    for version in assigned {
        *out.entry(version).or_insert(0) += 1;
    }
    out
}
