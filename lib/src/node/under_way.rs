//! What happened at groups since the other entry VMs reported their load there.
//!
//! Each entry VM chooses on reports that are up to some hundred milliseconds old. Meanwhile requests
//! of the others ended, and new ones are under way, mostly to the groups that looked emptiest to all of
//! them. This module works out the load that each group has by now, and the doubt in it.

use std::time::Duration;

/// Mean age that the others' requests have when the total of all entry VMs arrives: half an interval
/// of 100 ms at each of the two VMs that add them up.
const ARRIVAL_AGE: Duration = Duration::from_millis(100);
/// Age beyond which a report says nothing new of what is under way. Totals are given up at this age.
const MAX_AGE: Duration = Duration::from_millis(500);

/// Least part of its slots that a group is expected to get in the age of a report.
const MIN_SENT_SHARE: f64 = 0.01;
/// Seconds of prompts that may wait at a group that others fill up. Longer ones would take up most of
/// the latency goal of a chat.
const PROMPT_QUEUE_S: f64 = 0.1;
/// Requests per slot up to which groups are filled, and halvings in which that level is found.
const MAX_LEVEL: f64 = 4.0;
const LEVEL_STEPS: u32 = 16;

/// Load on a group as reported.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReportedLoad {
    /// Requests of this entry VM, which are known exactly.
    pub own_requests: usize,
    /// Requests of the other entry VMs.
    pub other_requests: usize,
    /// Prompt tokens of the other entry VMs that still waited for their first event.
    pub other_prompt_tokens: u32,
    /// Requests that the group runs at the same time.
    pub slots: usize,
    /// Seconds for which a request holds a slot there.
    pub hold_s: f64,
    /// Prompt tokens that the group processes per second.
    pub prefill_rate: f64,
}

/// Load that the other entry VMs are expected to have on a group now.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ExpectedLoad {
    /// Requests of the other entry VMs.
    pub requests: f64,
    /// Their prompt tokens that still wait for their first event.
    pub prompt_tokens: f64,
    /// Standard deviation of the requests.
    pub doubt: f64,
    /// Part of these that was sent since the report.
    pub sent: f64,
}

/// Returns the load that the other entry VMs have on each group of a model, by reports that arrived
/// `since_arrival` ago. A prompt has `mean_prompt` tokens.
///
/// In the age of a report a part of the reported requests ends, and as many new ones come. These go to
/// the groups with the most room, so that they fill these up to one level.
pub fn expected_loads(
    groups: &[ReportedLoad],
    since_arrival: Duration,
    mean_prompt: f64,
) -> Vec<ExpectedLoad> {
    let age_s = (since_arrival + ARRIVAL_AGE).min(MAX_AGE).as_secs_f64();
    let ended = |group: &ReportedLoad| {
        let share = 1.0 - (-age_s / group.hold_s.max(1e-3)).exp();
        let running = (group.own_requests + group.other_requests).max(1);
        let in_slots = group.slots.min(running) as f64 / running as f64;
        group.other_requests as f64 * in_slots * share
    };
    let ended: Vec<f64> = groups.iter().map(ended).collect();
    let fills: Vec<Fill> = groups
        .iter()
        .zip(&ended)
        .map(|(group, ended)| {
            let slots = group.slots.max(1) as f64;
            let running = (group.own_requests + group.other_requests) as f64 - ended;
            let unread = f64::from(group.other_prompt_tokens);
            let read =
                (group.prefill_rate * (age_s + PROMPT_QUEUE_S) - unread) / mean_prompt.max(1.0);
            Fill {
                share: running / slots,
                slots,
                most: read.max(slots * MIN_SENT_SHARE),
            }
        })
        .collect();
    let level = fill_level(&fills, ended.iter().sum());
    let states = groups.iter().zip(&ended).zip(&fills);
    let expected = states.map(|((group, ended), fill)| {
        let sent = fill.up_to(level);
        let prompt_tokens =
            f64::from(group.other_prompt_tokens) + sent * mean_prompt - group.prefill_rate * age_s;
        ExpectedLoad {
            requests: group.other_requests as f64 - ended + sent,
            prompt_tokens: prompt_tokens.max(0.0),
            doubt: (ended + sent).sqrt(),
            sent,
        }
    });
    expected.collect()
}

/// Room of a group.
#[derive(Debug, Clone, Copy)]
struct Fill {
    /// Filled share of its slots.
    share: f64,
    slots: f64,
    /// Most requests that it gets in the age of a report, since it reads no more prompts.
    most: f64,
}

impl Fill {
    /// Returns the requests that fill the group up to `level`.
    fn up_to(&self, level: f64) -> f64 {
        ((level - self.share) * self.slots).clamp(0.0, self.most)
    }
}

/// Returns the level up to which `requests` fill groups; the highest one if these hold less.
fn fill_level(fills: &[Fill], requests: f64) -> f64 {
    let (mut low, mut high) = (0.0, MAX_LEVEL);
    for _ in 0..LEVEL_STEPS {
        let level = f64::midpoint(low, high);
        let filled: f64 = fills.iter().map(|fill| fill.up_to(level)).sum();
        match filled < requests {
            true => low = level,
            false => high = level,
        }
    }
    high
}
