//! An engine, and the state that it shows.

use std::sync::Arc;

use hemlock_lib::node::endpoints::Membership;

use super::{MODEL, REPORT_LAG};

/// The state of an engine that its entry and its report show.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Shown {
    pub(super) membership: Option<Membership>,
    pub(super) model: Option<Arc<str>>,
    pub(super) orders: u64,
}

#[derive(Debug)]
pub(super) struct SimulatedEngine {
    pub(super) id: Arc<str>,
    pub(super) domain: Arc<str>,
    pub(super) started_ms: u64,
    pub(super) sequence: u64,
    pub(super) shown: Shown,
    /// Earlier states since the start, with the times at which they were replaced.
    pub(super) history: Vec<(u64, Shown)>,
    /// Member list of the group.
    pub(super) members: Vec<Arc<str>>,
    pub(super) staged: bool,
    pub(super) has_served: bool,
    pub(super) highest_fence: u64,
    pub(super) highest_epoch: u64,
    /// When the join, opening or closing in progress is done.
    pub(super) changes_at: Option<u64>,
    pub(super) is_opening: bool,
    pub(super) staged_at: Option<u64>,
    pub(super) missing_since: Option<u64>,
    /// Until when the engine is down.
    pub(super) down_until: Option<u64>,
    pub(super) cut_until: u64,
    pub(super) next_write: u64,
}

impl SimulatedEngine {
    /// Creates an engine that starts at a time by its own clock and holds nothing.
    pub(super) fn new(id: &Arc<str>, domain: &Arc<str>, started_ms: u64, next_write: u64) -> Self {
        Self {
            id: id.clone(),
            domain: domain.clone(),
            started_ms,
            sequence: 0,
            shown: Shown {
                membership: None,
                model: None,
                orders: 0,
            },
            history: Vec::new(),
            members: Vec::new(),
            staged: false,
            has_served: false,
            highest_fence: 0,
            highest_epoch: 0,
            changes_at: None,
            is_opening: false,
            staged_at: None,
            missing_since: None,
            down_until: None,
            cut_until: 0,
            next_write,
        }
    }
}

pub(super) fn staged(e: &SimulatedEngine) -> Vec<Arc<str>> {
    match e.staged {
        true => vec![Arc::from(MODEL)],
        false => Vec::new(),
    }
}

/// Replaces the state that an engine shows.
pub(super) fn show(e: &mut SimulatedEngine, now: u64, shown: Shown) {
    if shown != e.shown {
        let before = std::mem::replace(&mut e.shown, shown);
        e.history.retain(|(until, _)| until + REPORT_LAG >= now);
        e.history.push((now, before));
    }
}
