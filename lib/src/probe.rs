//! Health of endpoint VMs, from probes of this agent and reports of other agents.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::chart::{Chart, State};
use crate::engine::EngineState;
use crate::ids::VmId;
use crate::peers::VmReport;
use crate::platform::VmListing;
use crate::time::Time;
use crate::view::{Health, VmStatus};

/// Period over which the returns of a lost VM are counted.
const FLAP_WINDOW: Duration = Duration::from_secs(900);
/// Number of returns within the window from which on a VM is put on probation.
const FLAP_LIMIT: usize = 3;
/// Length of the first probation; each further return doubles it.
const PROBATION_BASE: Duration = Duration::from_secs(30);
/// Maximum number of doublings of a probation's length.
const PROBATION_DOUBLINGS: u32 = 5;
/// Time after which a VM that is missing from the list counts as leaving, or is dropped if it is
/// lost.
const UNLISTED_GRACE: Duration = Duration::from_secs(10);
/// Grace period if more than half of the VMs are missing from the list, which is more likely a
/// fault of the list.
const MASS_UNLISTED_GRACE: Duration = Duration::from_secs(300);

/// Timing of probes.
#[derive(Debug, Clone, Copy)]
pub struct ProbeConfig {
    /// Interval between two probes of a VM by one agent.
    pub interval: Duration,
    /// Silence after which a VM is considered lost.
    pub lost_after: Duration,
}

#[derive(Debug)]
struct ProbedVm {
    listing: VmListing,
    state: State,
    /// Time of the last answer, or of the first listing.
    last_answer: Time,
    /// Time of the last answer or missed probe that counts.
    last_report: Time,
    last_state: Option<EngineState>,
    next_probe: Time,
    probe_sent: Time,
    probe_in_flight: bool,
    /// Times within the flap window at which the VM returned after it was lost.
    returns: Vec<Time>,
    probation_until: Time,
    unlisted_since: Option<Time>,
}

/// Health of all listed VMs.
#[derive(Debug)]
pub struct Prober {
    config: ProbeConfig,
    chart: Chart,
    vms: BTreeMap<VmId, ProbedVm>,
    most_unlisted: bool,
}

impl Prober {
    /// Creates a prober without VMs; `chart` is the `vm` state chart.
    pub fn new(config: ProbeConfig, chart: Chart) -> Self {
        Self {
            config,
            chart,
            vms: BTreeMap::new(),
            most_unlisted: false,
        }
    }

    /// Applies the platform's list and returns whether anything changed.
    ///
    /// Probes are trusted more than the list: a VM that is missing from the list stays while it
    /// answers. A VM that is listed in two failure domains stays in the one that was seen first.
    pub fn update_list(&mut self, now: Time, list: &[VmListing]) -> bool {
        let mut domains: BTreeMap<&VmId, &VmListing> = BTreeMap::new();
        let mut conflicting = BTreeSet::new();
        for listing in list {
            let other = domains.insert(&listing.vm, listing);
            if other.is_some_and(|l| l.domain != listing.domain) {
                conflicting.insert(&listing.vm);
            }
        }
        let listed = |vm: &VmId| domains.contains_key(vm);
        let missing = self.vms.keys().filter(|vm| !listed(vm)).count();
        self.most_unlisted = missing * 2 > self.vms.len();
        for (vm, probed) in &mut self.vms {
            probed.unlisted_since = match probed.unlisted_since {
                _ if listed(vm) => None,
                None => Some(now),
                since => since,
            };
        }
        let mut changed = false;
        for listing in domains.values().filter(|l| !conflicting.contains(&l.vm)) {
            changed |= self.update_listed(now, listing);
        }
        changed
    }

    /// Returns the VMs that are due for a probe and for which `mine` is true, and records that they
    /// are being probed.
    pub fn start_due(&mut self, now: Time, mine: impl Fn(&VmId) -> bool) -> Vec<VmListing> {
        let interval = self.config.interval;
        let due = |(vm, p): &(&VmId, &mut ProbedVm)| {
            !p.probe_in_flight && p.next_probe <= now && mine(vm)
        };
        let mut out = Vec::new();
        for (_, probed) in self.vms.iter_mut().filter(due) {
            probed.probe_in_flight = true;
            probed.probe_sent = now;
            probed.next_probe = now + interval;
            out.push(probed.listing.clone());
        }
        out
    }

    /// Applies the result of this agent's probe; returns whether the VM's health or what it holds
    /// changed.
    ///
    /// The result counts as of the time at which the probe was sent, since the VM may have changed
    /// since.
    pub fn record_probe(&mut self, now: Time, report: &VmReport) -> bool {
        let Some(probed) = self.vms.get_mut(&report.vm) else {
            return false;
        };
        let at = if probed.probe_in_flight {
            probed.probe_sent
        } else {
            now
        };
        probed.probe_in_flight = false;
        self.apply(now, at, report)
    }

    /// Applies a report of any agent; returns whether the VM's health or what it holds changed.
    pub fn apply_report(&mut self, now: Time, report: &VmReport) -> bool {
        let at = now - Duration::from_millis(report.age_ms);
        self.apply(now, at, report)
    }

    fn apply(&mut self, now: Time, at: Time, report: &VmReport) -> bool {
        let Some(probed) = self.vms.get_mut(&report.vm) else {
            return false;
        };
        let run = |s: &Option<EngineState>| s.as_ref().map(|s| s.run);
        let is_old_run = report.state.is_some() && run(&report.state) < run(&probed.last_state);
        if at <= probed.last_report || is_old_run {
            return false;
        }
        probed.last_report = at;
        if !report.answered {
            return advance(&self.chart, probed, "silence");
        }
        probed.last_answer = at;
        let held = |s: &Option<EngineState>| s.as_ref().map(|s| (s.run, s.held.clone()));
        let changed = held(&probed.last_state) != held(&report.state);
        probed.last_state = report.state.clone();
        let event = answer_event(&self.chart, probed, now);
        advance(&self.chart, probed, event) || changed
    }

    /// Declares VMs lost that were silent for too long, ends probations, and drops lost VMs that
    /// are missing from the list; returns whether anything changed.
    pub fn expire(&mut self, now: Time) -> bool {
        let (chart, lost_after) = (&self.chart, self.config.lost_after);
        let grace = if self.most_unlisted {
            MASS_UNLISTED_GRACE
        } else {
            UNLISTED_GRACE
        };
        let most_unlisted = self.most_unlisted;
        let mut changed = false;
        self.vms.retain(|_, probed| {
            if now.since(probed.last_answer) > lost_after {
                changed |= advance(chart, probed, "expire");
            } else if now >= probed.probation_until {
                changed |= advance(chart, probed, "settle");
            }
            let gone = probed
                .unlisted_since
                .is_some_and(|at| now.since(at) >= grace);
            if gone && !most_unlisted {
                changed |= advance(chart, probed, "leave");
            }
            let dropped = gone && chart.state_name(probed.state) == "lost";
            changed |= dropped;
            !dropped
        });
        changed
    }

    /// Returns reports, for gossip, of the VMs whose state was reported after `since`.
    pub fn reports(&self, now: Time, since: Time) -> Vec<VmReport> {
        let fresh = self.vms.iter().filter(|(_, p)| p.last_report > since);
        fresh
            .map(|(vm, p)| VmReport {
                vm: vm.clone(),
                answered: p.last_answer == p.last_report,
                state: p.last_state.clone(),
                age_ms: now.since(p.last_report).as_millis() as u64,
            })
            .collect()
    }

    /// Returns the status of all VMs.
    pub fn statuses(&self, now: Time) -> BTreeMap<VmId, VmStatus> {
        self.vms
            .iter()
            .map(|(vm, p)| (vm.clone(), self.status(now, p)))
            .collect()
    }

    fn status(&self, now: Time, probed: &ProbedVm) -> VmStatus {
        let last = probed.last_state.as_ref();
        VmStatus {
            listing: probed.listing.clone(),
            health: health(self.chart.state_name(probed.state)),
            run: last.map(|s| s.run).unwrap_or_default(),
            held: last.and_then(|s| s.held.clone()),
            load: last.map(|s| s.load).unwrap_or_default(),
            silent_ms: now.since(probed.last_answer).as_millis() as u64,
        }
    }

    fn update_listed(&mut self, now: Time, listing: &VmListing) -> bool {
        let Some(probed) = self.vms.get_mut(&listing.vm) else {
            let probed = ProbedVm {
                listing: listing.clone(),
                state: self.chart.start(),
                last_answer: now,
                last_report: Time::ZERO,
                last_state: None,
                next_probe: now,
                probe_sent: now,
                probe_in_flight: false,
                returns: Vec::new(),
                probation_until: Time::ZERO,
                unlisted_since: None,
            };
            self.vms.insert(listing.vm.clone(), probed);
            return true;
        };
        let listing = VmListing {
            domain: probed.listing.domain.clone(),
            ..listing.clone()
        };
        let changed = probed.listing != listing;
        probed.listing = listing.clone();
        let event = if listing.leaving { "leave" } else { "stay" };
        changed | advance(&self.chart, probed, event)
    }
}

fn advance(chart: &Chart, probed: &mut ProbedVm, event: &str) -> bool {
    let next = chart.event(event).and_then(|e| chart.next(probed.state, e));
    let Some(next) = next else { return false };
    probed.state = next;
    true
}

/// Returns the chart event for an answer, and starts a probation if the VM was lost and returned
/// too often; each probation is longer than the one before.
fn answer_event(chart: &Chart, probed: &mut ProbedVm, now: Time) -> &'static str {
    if chart.state_name(probed.state) != "lost" {
        return "answer";
    }
    probed.returns.retain(|at| now.since(*at) < FLAP_WINDOW);
    probed.returns.push(now);
    let Some(over) = probed.returns.len().checked_sub(FLAP_LIMIT) else {
        return "answer";
    };
    let doublings = (over as u32).min(PROBATION_DOUBLINGS);
    probed.probation_until = now + PROBATION_BASE * (1 << doublings);
    "flap"
}

fn health(state: &str) -> Health {
    match state {
        "live" => Health::Live,
        "suspect" => Health::Suspect,
        "lost" => Health::Lost,
        "leaving" => Health::Leaving,
        "probation" => Health::Probation,
        _ => Health::Unknown,
    }
}
