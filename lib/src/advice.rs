//! Address advice: the entry VMs that a caller should use, best first.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::DomainId;
use crate::rendezvous;
use crate::view::{EntryStatus, View};

/// How long callers keep an address.
pub const KEEP_FOR: Duration = Duration::from_secs(30);

/// Entry VMs that one answer names at most.
const ADDRESSES: usize = 3;

/// Addresses for a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// Base URLs, best first.
    pub addresses: Vec<String>,
    /// How long to keep them, in seconds.
    pub keep_for: u64,
}

/// Advises a caller: live entry VMs that aren't leaving, near ones first, spread by caller.
pub fn advise(view: &View, caller: &str, near: Option<&DomainId>) -> Advice {
    let open = |e: &&EntryStatus| e.live && !e.member.leaving;
    let mut entries: Vec<&EntryStatus> = view.entries.iter().filter(open).collect();
    entries.sort_by_key(|e| {
        let far = near.is_some_and(|n| e.member.domain != *n);
        let full = e.spare <= 0.0;
        let score = rendezvous::score(caller.as_bytes(), e.member.entry.as_str().as_bytes());
        (full, far, std::cmp::Reverse(score))
    });
    let addresses = entries
        .iter()
        .take(ADDRESSES)
        .map(|e| e.member.gateway.clone())
        .collect();
    Advice {
        addresses,
        keep_for: KEEP_FOR.as_secs(),
    }
}
