//! How many groups of each model a failure domain gets.

use std::sync::Arc;

/// Part of the engines that stays without a group, to replace lost members at once.
const RESERVE: f64 = 0.1;

/// A model's demand for groups.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// The model.
    pub model: Arc<str>,
    /// Engines of one group.
    pub size: usize,
    /// Its part of the engines' work.
    pub share: f64,
}

/// Returns how many groups of each model each domain gets, given the engines of each domain.
///
/// Groups stay within a domain. They are dealt one at a time to the model that is furthest below
/// its share of all engines, so that each prefix of the deal is balanced; a domain keeps a reserve
/// as long as each model has a group somewhere.
pub fn deal(domains: &[usize], demands: &[Demand]) -> Vec<Vec<usize>> {
    let mut free: Vec<usize> = domains.to_vec();
    let mut counts = vec![vec![0; demands.len()]; domains.len()];
    let mut used = vec![0_usize; demands.len()];
    let kept: Vec<usize> = domains
        .iter()
        .map(|n| (*n as f64 * RESERVE).floor() as usize)
        .collect();
    loop {
        let below = |i: &usize| {
            let d = &demands[*i];
            used[*i] as f64 / d.share.max(1e-6)
        };
        let mut order: Vec<usize> = (0..demands.len()).collect();
        order.sort_by(|a, b| below(a).total_cmp(&below(b)).then(a.cmp(b)));
        let mut placed = None;
        for i in order {
            let size = demands[i].size.max(1);
            let first = used[i] == 0;
            let room = |d: &usize| {
                let keep = if first { 0 } else { kept[*d] };
                free[*d] >= size + keep
            };
            let of_model = |d: &usize| counts[*d][i];
            let fit = (0..domains.len())
                .filter(room)
                .min_by_key(|d| (of_model(d), std::cmp::Reverse(free[*d]), *d));
            if let Some(d) = fit {
                placed = Some((d, i, size));
                break;
            }
        }
        let Some((d, i, size)) = placed else {
            return counts;
        };
        counts[d][i] += 1;
        free[d] -= size;
        used[i] += size;
    }
}
