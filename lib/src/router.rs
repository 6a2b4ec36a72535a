//! Choice of the endpoint for one attempt: least expected completion among a few candidates.

use std::collections::BTreeMap;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::ids::VmId;

/// Candidates that one choice compares.
const CANDIDATES: usize = 3;

/// An endpoint that may take an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The VM that takes the call.
    pub vm: VmId,
    /// Reported work in tokens.
    pub reported: u64,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it shares the gateway's failure domain.
    pub near: bool,
}

/// Work that a gateway has sent to endpoints and not seen end.
#[derive(Debug, Default)]
pub struct Dispatched {
    open: BTreeMap<VmId, (u32, u64)>,
}

impl Dispatched {
    /// Counts an attempt.
    pub fn start(&mut self, vm: &VmId, tokens: u64) {
        let open = self.open.entry(vm.clone()).or_default();
        open.0 += 1;
        open.1 += tokens;
    }

    /// Takes an attempt's end.
    pub fn end(&mut self, vm: &VmId, tokens: u64) {
        if let Some(open) = self.open.get_mut(vm) {
            open.0 = open.0.saturating_sub(1);
            open.1 = open.1.saturating_sub(tokens);
        }
    }

    /// Returns the open requests at a VM.
    pub fn requests(&self, vm: &VmId) -> u32 {
        self.open.get(vm).map_or(0, |o| o.0)
    }

    /// Returns the open work at a VM in tokens.
    pub fn tokens(&self, vm: &VmId) -> u64 {
        self.open.get(vm).map_or(0, |o| o.1)
    }
}

/// Picks the candidate with the least expected work, or `None` if all are full.
pub fn choose<'a>(
    candidates: &'a [Candidate],
    dispatched: &Dispatched,
    rng: &mut impl Rng,
) -> Option<&'a Candidate> {
    let has_room = |c: &&Candidate| dispatched.requests(&c.vm) < c.slots;
    let open: Vec<&Candidate> = candidates.iter().filter(has_room).collect();
    let picked = open.choose_multiple(rng, CANDIDATES);
    picked
        .copied()
        .min_by_key(|c| (c.reported.max(dispatched.tokens(&c.vm)), !c.near))
}
