//! Placement of replicas: how many of each version a shard holds, and on which VMs.
//!
//! Each failure domain is packed on its own.

use std::collections::BTreeMap;

use crate::ids::{DomainId, GroupId, VersionId, VmId};
use crate::platform::VmRole;
use crate::table::Table;
use crate::view::{Health, View};

/// Replicas of one version that a shard, or all shards together, should hold.
#[derive(Debug, Clone, PartialEq)]
pub struct WantedReplicas {
    /// The model group.
    pub group: GroupId,
    /// The model version.
    pub version: VersionId,
    /// Number of VMs that one replica spans.
    pub span: u32,
    /// Number of reserve VMs of one replica.
    pub reserve: u32,
    /// Number of replicas.
    pub count: u32,
    /// Value of one serving replica, from the group's weights of downtime and of stranded VMs.
    pub value: f64,
}

/// Replicas of one version that are missing from a failure domain.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MissingReplicas {
    /// Number of VMs that one replica spans.
    pub span: u32,
    /// Maximum number of replicas to form.
    pub count: u32,
    /// Value of one replica.
    pub value: f64,
}

/// Apportions `total` by weight, with the largest remainder method; ties go to the first.
///
/// Returns zeros if the sum of the weights is not positive.
pub fn apportion(total: u32, weights: &[f64]) -> Vec<u32> {
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
    let unassigned = total.saturating_sub(counts.iter().sum::<u32>());
    for i in order.into_iter().take(unassigned as usize) {
        counts[i] += 1;
    }
    counts
}

/// Returns the number of engine VMs of each shard that can be part of a replica.
pub fn capacities(view: &View) -> BTreeMap<DomainId, u32> {
    let mut out: BTreeMap<DomainId, u32> = view.fleets.keys().map(|d| (d.clone(), 0)).collect();
    for status in view.vms.values() {
        let usable = matches!(
            status.health,
            Health::Live | Health::Suspect | Health::Unknown
        );
        if usable && status.listing.role == VmRole::Engine {
            out.entry(status.listing.domain.clone())
                .and_modify(|n| *n += 1);
        }
    }
    out
}

/// Returns the replicas of every version that the table asks for, over all shards.
pub fn totals(table: &Table) -> Vec<WantedReplicas> {
    let mut out = Vec::new();
    for (group, row) in table.groups() {
        let versions: Vec<_> = table
            .versions()
            .filter(|(_, v)| v.group == *group)
            .collect();
        let weights: Vec<f64> = versions.iter().map(|(_, v)| v.weight).collect();
        for ((version, v), count) in versions.iter().zip(apportion(row.replicas, &weights)) {
            out.push(WantedReplicas {
                group: group.clone(),
                version: (*version).clone(),
                span: v.span,
                reserve: row.reserve,
                count,
                value: row.downtime + row.stranded * f64::from(v.span),
            });
        }
    }
    out
}

/// Splits the wanted replicas over the shards by their number of VMs.
///
/// The replicas with the largest span go first, and each goes to the shard with the most VMs left.
/// Every planner that sees the same VMs computes the same split, and the replicas of a shard that
/// is down go to the others.
pub fn split_by_capacity(
    totals: &[WantedReplicas],
    capacities: &BTreeMap<DomainId, u32>,
) -> BTreeMap<DomainId, Vec<WantedReplicas>> {
    let mut left: Vec<(&DomainId, u32)> = capacities.iter().map(|(d, n)| (d, *n)).collect();
    let none: Vec<WantedReplicas> = totals
        .iter()
        .map(|w| WantedReplicas {
            count: 0,
            ..w.clone()
        })
        .collect();
    let mut parts = vec![none; left.len()];
    let mut order: Vec<usize> = (0..totals.len()).collect();
    order.sort_by(|a, b| {
        let (a, b) = (&totals[*a], &totals[*b]);
        b.span.cmp(&a.span).then(b.value.total_cmp(&a.value))
    });
    for i in order {
        let span = totals[i].span;
        for _ in 0..totals[i].count {
            let largest = left.iter_mut().enumerate().rev();
            let largest = largest.max_by_key(|(_, (_, n))| *n);
            let Some((shard, (_, n))) = largest.filter(|(_, (_, n))| span > 0 && *n >= span) else {
                break;
            };
            *n -= span;
            parts[shard][i].count += 1;
        }
    }
    let names = left.into_iter().map(|(domain, _)| domain.clone());
    names.zip(parts).collect()
}

/// Returns how many replicas of each kind a failure domain with `vms` free VMs should form, so that
/// the sum of their values is largest.
pub fn pack(vms: u32, missing_replicas: &[MissingReplicas]) -> Vec<u32> {
    let mut best = vec![(0.0, vec![0; missing_replicas.len()]); vms as usize + 1];
    for (i, missing) in missing_replicas.iter().enumerate() {
        let span = missing.span as usize;
        if span == 0 {
            continue;
        }
        for _ in 0..missing.count.min(vms / missing.span) {
            for size in (span..best.len()).rev() {
                let (value, counts) = &best[size - span];
                let value = value + missing.value;
                if value > best[size].0 {
                    let mut counts = counts.clone();
                    counts[i] += 1;
                    best[size] = (value, counts);
                }
            }
        }
    }
    best.pop().map(|(_, counts)| counts).unwrap_or_default()
}

/// Picks the serving VMs of one replica and up to `reserve` reserve VMs from the free ones; returns
/// `None` if there are fewer than `span` free VMs, or `span` is zero.
pub fn pick_vms(free: &[VmId], span: u32, reserve: u32) -> Option<(Vec<VmId>, Vec<VmId>)> {
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
