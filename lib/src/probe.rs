//! Health of endpoint VMs, from own probes and from what other agents report.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::chart::{Chart, State};
use crate::engine::EngineState;
use crate::ids::VmId;
use crate::peers::VmReport;
use crate::platform::VmListing;
use crate::time::Time;
use crate::view::{Health, VmStatus};

/// Time over which the returns of a VM are counted.
const FLAP_WINDOW: Duration = Duration::from_secs(900);
/// Returns within the window from which on a VM is put on probation.
const FLAP_LIMIT: usize = 3;
/// First delay of a probation; each further return doubles it.
const PROBATION_BASE: Duration = Duration::from_secs(30);
/// Largest number of doublings of a probation's delay.
const PROBATION_DOUBLINGS: u32 = 5;
/// Time after which a VM that the list leaves out counts as leaving, or as removed if it is lost.
const UNLISTED_GRACE: Duration = Duration::from_secs(10);
/// The same time if the list leaves out more than half of the VMs, which is more likely a fault of
/// the list.
const SUDDEN_GRACE: Duration = Duration::from_secs(300);

/// How VMs are probed.
#[derive(Debug, Clone, Copy)]
pub struct ProbeConfig {
    /// Time between two probes of a VM by one agent.
    pub interval: Duration,
    /// Silence after which a VM is lost.
    pub lost_after: Duration,
}

#[derive(Debug)]
struct Probed {
    listing: VmListing,
    state: State,
    heard: Time,
    reported: Time,
    last: Option<EngineState>,
    next: Time,
    sent: Time,
    waiting: bool,
    flaps: Vec<Time>,
    until: Time,
    unlisted: Option<Time>,
}

/// Health of every listed VM.
#[derive(Debug)]
pub struct Prober {
    config: ProbeConfig,
    chart: Chart,
    vms: BTreeMap<VmId, Probed>,
    sudden: bool,
}

impl Prober {
    /// Makes a prober that interprets the `vm` chart.
    pub fn new(config: ProbeConfig, chart: Chart) -> Self {
        Self {
            config,
            chart,
            vms: BTreeMap::new(),
            sudden: false,
        }
    }

    /// Takes the platform's list; returns whether it differs from the last one.
    ///
    /// Probes are trusted more than the list: a VM that the list leaves out stays while it answers,
    /// and one that the list names in two failure domains stays in the first that was seen.
    pub fn update_list(&mut self, now: Time, list: &[VmListing]) -> bool {
        let mut domains: BTreeMap<&VmId, &VmListing> = BTreeMap::new();
        let mut unclear = BTreeSet::new();
        for listing in list {
            let other = domains.insert(&listing.vm, listing);
            if other.is_some_and(|l| l.domain != listing.domain) {
                unclear.insert(&listing.vm);
            }
        }
        let listed = |vm: &VmId| domains.contains_key(vm);
        let missing = self.vms.keys().filter(|vm| !listed(vm)).count();
        self.sudden = missing * 2 > self.vms.len();
        for (vm, probed) in &mut self.vms {
            probed.unlisted = match probed.unlisted {
                _ if listed(vm) => None,
                None => Some(now),
                since => since,
            };
        }
        let mut changed = false;
        for listing in domains.values().filter(|l| !unclear.contains(&l.vm)) {
            changed |= self.list_one(now, listing);
        }
        changed
    }

    /// Returns the VMs among `mine` that are due for a probe, and marks them as being probed.
    pub fn start_due(&mut self, now: Time, mine: impl Fn(&VmId) -> bool) -> Vec<VmListing> {
        let every = self.config.interval;
        let due = |(vm, p): &(&VmId, &mut Probed)| !p.waiting && p.next <= now && mine(vm);
        let mut out = Vec::new();
        for (_, probed) in self.vms.iter_mut().filter(due) {
            probed.waiting = true;
            probed.sent = now;
            probed.next = now + every;
            out.push(probed.listing.clone());
        }
        out
    }

    /// Takes the end of an own probe; returns whether health or holding changed.
    ///
    /// The state counts from when the probe was sent, since the VM may have changed on the way.
    pub fn record_probe(&mut self, now: Time, report: &VmReport) -> bool {
        let Some(probed) = self.vms.get_mut(&report.vm) else {
            return false;
        };
        let at = if probed.waiting { probed.sent } else { now };
        probed.waiting = false;
        self.take(now, at, report)
    }

    /// Takes a report, own or gossiped; returns whether health or holding changed.
    pub fn apply_report(&mut self, now: Time, report: &VmReport) -> bool {
        let at = now - Duration::from_millis(report.age_ms);
        self.take(now, at, report)
    }

    fn take(&mut self, now: Time, at: Time, report: &VmReport) -> bool {
        let Some(probed) = self.vms.get_mut(&report.vm) else {
            return false;
        };
        let run = |s: &Option<EngineState>| s.as_ref().map(|s| s.run);
        let is_old_run = report.state.is_some() && run(&report.state) < run(&probed.last);
        if at <= probed.reported || is_old_run {
            return false;
        }
        probed.reported = at;
        if !report.answered {
            return advance(&self.chart, probed, "silence");
        }
        probed.heard = at;
        let held = |s: &Option<EngineState>| s.as_ref().map(|s| (s.run, s.held.clone()));
        let changed = held(&probed.last) != held(&report.state);
        probed.last = report.state.clone();
        let event = returned(&self.chart, probed, now);
        advance(&self.chart, probed, event) || changed
    }

    /// Marks VMs that are silent past the bound, ends probations and drops VMs that left the list;
    /// returns whether anything changed.
    pub fn expire(&mut self, now: Time) -> bool {
        let (chart, bound) = (&self.chart, self.config.lost_after);
        let grace = if self.sudden {
            SUDDEN_GRACE
        } else {
            UNLISTED_GRACE
        };
        let sudden = self.sudden;
        let mut changed = false;
        self.vms.retain(|_, probed| {
            if now.since(probed.heard) > bound {
                changed |= advance(chart, probed, "expire");
            } else if now >= probed.until {
                changed |= advance(chart, probed, "settle");
            }
            let gone = probed.unlisted.is_some_and(|at| now.since(at) >= grace);
            if gone && !sudden {
                changed |= advance(chart, probed, "leave");
            }
            let dropped = gone && chart.state_name(probed.state) == "lost";
            changed |= dropped;
            !dropped
        });
        changed
    }

    /// Returns the reports of what was heard since `since`, for gossip.
    pub fn reports(&self, now: Time, since: Time) -> Vec<VmReport> {
        let fresh = self.vms.iter().filter(|(_, p)| p.reported > since);
        fresh
            .map(|(vm, p)| VmReport {
                vm: vm.clone(),
                answered: p.heard == p.reported,
                state: p.last.clone(),
                age_ms: now.since(p.reported).as_millis() as u64,
            })
            .collect()
    }

    /// Returns the health of all VMs.
    pub fn statuses(&self, now: Time) -> BTreeMap<VmId, VmStatus> {
        self.vms
            .iter()
            .map(|(vm, p)| (vm.clone(), self.status(now, p)))
            .collect()
    }

    fn status(&self, now: Time, probed: &Probed) -> VmStatus {
        let last = probed.last.as_ref();
        VmStatus {
            listing: probed.listing.clone(),
            health: health(self.chart.state_name(probed.state)),
            run: last.map(|s| s.run).unwrap_or_default(),
            held: last.and_then(|s| s.held.clone()),
            load: last.map(|s| s.load).unwrap_or_default(),
            silent_ms: now.since(probed.heard).as_millis() as u64,
        }
    }

    fn list_one(&mut self, now: Time, listing: &VmListing) -> bool {
        let Some(probed) = self.vms.get_mut(&listing.vm) else {
            let probed = Probed {
                listing: listing.clone(),
                state: self.chart.start(),
                heard: now,
                reported: Time::ZERO,
                last: None,
                next: now,
                sent: now,
                waiting: false,
                flaps: Vec::new(),
                until: Time::ZERO,
                unlisted: None,
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

fn advance(chart: &Chart, probed: &mut Probed, event: &str) -> bool {
    let next = chart.event(event).and_then(|e| chart.next(probed.state, e));
    let Some(next) = next else { return false };
    probed.state = next;
    true
}

/// Returns the event of an answer: a VM that was lost and returned too often is put on probation,
/// for longer each time.
fn returned(chart: &Chart, probed: &mut Probed, now: Time) -> &'static str {
    if chart.state_name(probed.state) != "lost" {
        return "answer";
    }
    probed.flaps.retain(|at| now.since(*at) < FLAP_WINDOW);
    probed.flaps.push(now);
    let Some(over) = probed.flaps.len().checked_sub(FLAP_LIMIT) else {
        return "answer";
    };
    let doublings = (over as u32).min(PROBATION_DOUBLINGS);
    probed.until = now + PROBATION_BASE * (1 << doublings);
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
