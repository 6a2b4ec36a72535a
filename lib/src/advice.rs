//! Address advice: the entry VMs that a caller should use, best first.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::DomainId;
use crate::rendezvous;
use crate::view::{EntryStatus, View};

/// Time for which callers keep an address before they ask again.
pub const ADDRESS_LIFETIME: Duration = Duration::from_secs(30);

/// Maximum number of entry VMs that one answer lists.
const MAX_ADDRESSES: usize = 3;

/// Spare capacity, as a share of the queue from 0 to 1, below which entry VMs rank alike.
const MIN_SPARE: f64 = 0.01;

/// Entry VM addresses for one caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// Base URLs of entry VMs, best first.
    pub addresses: Vec<String>,
    /// Time for which the caller should keep the addresses, in seconds.
    pub keep_for: u64,
}

/// Ranks the entry VMs for a caller: only live ones that aren't leaving, those with spare capacity
/// first, then those in the failure domain `near`.
///
/// Weighted rendezvous hashing orders the rest: of two entry VMs, each comes first for a part of
/// the callers in proportion to its spare capacity, and a caller keeps its order while nothing
/// changes.
pub fn advise(view: &View, caller: &str, near: Option<&DomainId>) -> Advice {
    let is_advised = |e: &&EntryStatus| e.live && !e.member.leaving;
    let mut ranked: Vec<(bool, bool, f64, &EntryStatus)> = view
        .entries
        .iter()
        .filter(is_advised)
        .map(|e| {
            let far = near.is_some_and(|n| e.member.domain != *n);
            (e.spare <= 0.0, far, rendezvous_rank(caller, e), e)
        })
        .collect();
    ranked.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)));
    let addresses = ranked
        .iter()
        .take(MAX_ADDRESSES)
        .map(|r| r.3.member.gateway.clone())
        .collect();
    Advice {
        addresses,
        keep_for: ADDRESS_LIFETIME.as_secs(),
    }
}

/// Returns a sample, fixed for each pair of caller and entry VM, of an exponential distribution
/// whose rate is the spare capacity of the entry VM. The smallest sample ranks first.
fn rendezvous_rank(caller: &str, entry: &EntryStatus) -> f64 {
    let name = entry.member.entry.as_str().as_bytes();
    let score = rendezvous::score(caller.as_bytes(), name);
    let uniform = (score as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -uniform.ln() / entry.spare.max(MIN_SPARE)
}
