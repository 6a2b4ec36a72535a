//! Health of endpoint VMs, from own probes and from what other agents report.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::chart::{Chart, State};
use crate::engine::EngineState;
use crate::ids::VmId;
use crate::peers::VmReport;
use crate::platform::VmListing;
use crate::time::Time;
use crate::view::{Health, VmStatus};

/// How VMs are probed.
#[derive(Debug, Clone, Copy)]
pub struct ProbeConfig {
    /// Time between two probes of a VM by one agent.
    pub every: Duration,
    /// Silence after which a VM is lost.
    pub bound: Duration,
}

#[derive(Debug)]
struct Probed {
    listing: VmListing,
    state: State,
    heard: Time,
    reported: Time,
    last: Option<EngineState>,
    next: Time,
    waiting: bool,
}

/// Health of every listed VM.
#[derive(Debug)]
pub struct Prober {
    config: ProbeConfig,
    chart: Chart,
    vms: BTreeMap<VmId, Probed>,
}

impl Prober {
    /// Makes a prober that interprets the `vm` chart.
    pub fn new(config: ProbeConfig, chart: Chart) -> Self {
        Self {
            config,
            chart,
            vms: BTreeMap::new(),
        }
    }

    /// Takes the platform's list; returns whether it differs from the last one.
    pub fn listed(&mut self, now: Time, list: &[VmListing]) -> bool {
        let mut changed = false;
        let listed: BTreeMap<&VmId, &VmListing> = list.iter().map(|l| (&l.vm, l)).collect();
        self.vms.retain(|vm, _| {
            let kept = listed.contains_key(vm);
            changed |= !kept;
            kept
        });
        for listing in list {
            changed |= self.list_one(now, listing);
        }
        changed
    }

    /// Returns the VMs among `mine` that are due for a probe, and marks them as being probed.
    pub fn due(&mut self, now: Time, mine: impl Fn(&VmId) -> bool) -> Vec<VmListing> {
        let every = self.config.every;
        let due = |(vm, p): &(&VmId, &mut Probed)| !p.waiting && p.next <= now && mine(vm);
        let mut out = Vec::new();
        for (_, probed) in self.vms.iter_mut().filter(due) {
            probed.waiting = true;
            probed.next = now + every;
            out.push(probed.listing.clone());
        }
        out
    }

    /// Takes the end of an own probe; returns whether health or holding changed.
    pub fn probed(&mut self, now: Time, report: &VmReport) -> bool {
        if let Some(probed) = self.vms.get_mut(&report.vm) {
            probed.waiting = false;
        }
        self.reported(now, report)
    }

    /// Takes a report, own or gossiped; returns whether health or holding changed.
    pub fn reported(&mut self, now: Time, report: &VmReport) -> bool {
        let at = now - Duration::from_millis(report.age_ms);
        let Some(probed) = self.vms.get_mut(&report.vm) else {
            return false;
        };
        if at <= probed.reported {
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
        advance(&self.chart, probed, "answer") || changed
    }

    /// Marks VMs that are silent past the bound; returns whether any is newly lost.
    pub fn expire(&mut self, now: Time) -> bool {
        let mut changed = false;
        for probed in self.vms.values_mut() {
            if now.since(probed.heard) > self.config.bound {
                changed |= advance(&self.chart, probed, "expire");
            }
        }
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
                waiting: false,
            };
            self.vms.insert(listing.vm.clone(), probed);
            return true;
        };
        let mut changed = probed.listing != *listing;
        probed.listing = listing.clone();
        if listing.leaving {
            changed |= advance(&self.chart, probed, "leave");
        }
        changed
    }
}

fn advance(chart: &Chart, probed: &mut Probed, event: &str) -> bool {
    let next = chart.event(event).and_then(|e| chart.next(probed.state, e));
    let Some(next) = next else { return false };
    probed.state = next;
    true
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
