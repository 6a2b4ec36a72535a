//! Faults of the world, drawn at random.

use std::sync::Arc;

use rand::Rng;

use super::vm::Vm;
use super::{DOMAINS, Event, Faults, World};

#[derive(Debug, Clone, Copy)]
enum Fault {
    Added,
    Cut,
    Outage,
    OutageAtJoin,
    /// An engine is cut from the store as it takes a join, the planner freezes once it has missed the engine's
    /// entry, and its successor stops shortly before it wakes.
    FreezeAfterJoin,
    Freeze,
    Stop,
    Crash,
    Odd,
}

/// Fault that begins as the next join is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AtJoin {
    Nothing,
    Outage,
    Freeze,
}

impl World {
    pub(super) fn cause_fault(&mut self) {
        let Faults {
            late_entries,
            outages,
            freezes,
            restarts,
            odd_entries,
            ..
        } = self.faults;
        let kinds = [
            (true, Fault::Added),
            (late_entries, Fault::Cut),
            (late_entries, Fault::Cut),
            (outages, Fault::Outage),
            (outages, Fault::OutageAtJoin),
            (outages, Fault::OutageAtJoin),
            (freezes, Fault::Freeze),
            (freezes, Fault::FreezeAfterJoin),
            (freezes, Fault::FreezeAfterJoin),
            (freezes, Fault::Stop),
            (restarts, Fault::Crash),
            (restarts, Fault::Crash),
            (odd_entries, Fault::Odd),
        ];
        let kinds: Vec<Fault> = kinds.into_iter().filter(|k| k.0).map(|k| k.1).collect();
        let ids: Vec<Arc<str>> = self.engines.keys().cloned().collect();
        let id = ids[self.rng.random_range(0..ids.len())].clone();
        let now = self.now;
        match kinds[self.rng.random_range(0..kinds.len())] {
            Fault::Added if self.engines.len() < 16 => {
                let domain = DOMAINS[self.rng.random_range(0..DOMAINS.len())];
                self.add(self.engines.len(), domain);
            }
            Fault::Added => {}
            Fault::Cut => {
                let span = self.rng.random_range(300..5_000);
                self.engines.get_mut(&id).unwrap().cut_until = now + span;
            }
            Fault::Outage => {
                let span = self.rng.random_range(1_000..6_000);
                self.store.fail(now, span);
            }
            Fault::Odd => self.store.spoil(&id),
            Fault::OutageAtJoin => self.at_join = AtJoin::Outage,
            Fault::FreezeAfterJoin => self.at_join = AtJoin::Freeze,
            Fault::Freeze => {
                let span = self.rng.random_range(500..5_000);
                self.freeze_planner(span);
            }
            Fault::Stop => {
                let vm = self.rng.random_range(0..self.vms.len());
                self.stop(vm);
            }
            Fault::Crash => {
                let down = self.rng.random_range(100..4_500);
                let e = self.engines.get_mut(&id).unwrap();
                e.down_until.get_or_insert(now + down);
            }
        }
    }

    pub(super) fn freeze_planner(&mut self, span: u64) {
        if let Some(vm) = self.planning_vm() {
            self.vms[vm].frozen_until = self.now + span;
        }
    }

    /// Returns the VM that plans and is not frozen.
    pub(super) fn planning_vm(&self) -> Option<usize> {
        let plans = |vm: &Vm| vm.is_planner && vm.frozen_until <= self.now;
        (0..self.vms.len()).find(|i| plans(&self.vms[*i]))
    }

    /// Stops a VM as planned, and starts it again.
    pub(super) fn stop(&mut self, vm: usize) {
        self.store.leave(vm);
        self.events.retain(|(_, e)| e.vm() != Some(vm));
        self.vms[vm] = Vm::new(self.now);
        self.vms[vm].stopped_until = self.now + 1_500;
    }

    /// Causes the fault that waits for the next join.
    pub(super) fn disturb_join(&mut self, id: &str) {
        let now = self.now;
        match std::mem::replace(&mut self.at_join, AtJoin::Nothing) {
            AtJoin::Nothing => {}
            AtJoin::Outage => {
                let span = self.rng.random_range(4_000..8_000);
                self.store.fail(now, span);
            }
            AtJoin::Freeze => {
                let e = self.engines.get_mut(id).unwrap();
                e.cut_until = now + self.rng.random_range(3_700..5_500);
                let freeze = self.rng.random_range(3_000..4_000);
                self.send(freeze, Event::FreezePlanner(4_000));
                let stop = freeze + self.rng.random_range(2_800..3_900);
                self.send(stop, Event::StopPlanner);
            }
        }
    }
}
