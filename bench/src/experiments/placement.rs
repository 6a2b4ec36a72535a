//! Group downtime and stranded accelerators of each placement policy, for each fault.

use std::time::Duration;

use hemlock_lib::plan::{RepairPolicy, Rules};
use hemlock_lib::table::{GroupRow, Row, RowKey, VersionRow};

use super::Experiment;
use crate::figure::{Figure, Options};
use crate::planner_simulation::{self, Integrals, PlannerSimulation, Setup};

/// Virtual time from a fault until its VMs are back up.
const REPAIR_TIME: Duration = Duration::from_secs(240);
/// Maximum virtual time after the repair until all replicas must serve again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(3_600);
/// Duration of the log outage, which starts with the fault.
const LOG_OUTAGE: Duration = Duration::from_secs(90);
/// Maximum virtual time until all replicas serve after the start.
const START_LIMIT: Duration = Duration::from_secs(1_800);
const STORE_CAPACITY: u32 = planner_simulation::STORE_CAPACITY as u32;
/// Policies that run unless the options name others. The other policies are rejected alternatives.
const DEFAULT_POLICIES: [&str; 2] = ["afresh", "keep"];

/// The experiment.
pub(super) const EXPERIMENT: Experiment = Experiment {
    name: "placement",
    about: "Group downtime and stranded accelerators by placement policy, 3 domains of 20 VMs",
    timed: false,
    run,
};

/// The experiment in one large failure domain.
pub(super) const LARGE_EXPERIMENT: Experiment = Experiment {
    name: "placement-target",
    about: "The same in one failure domain of 214 VMs, span 16",
    timed: true,
    run: run_large,
};

/// A placement policy.
#[derive(Debug, Clone, Copy)]
struct Policy {
    name: &'static str,
    rules: Rules,
    /// Replicas left out of each failure domain, so that their VMs are spares.
    spare_replicas: u32,
    reserve: u32,
}

const fn policy(
    name: &'static str,
    repair: RepairPolicy,
    reclaim_broken: bool,
    max_loading: u32,
) -> Policy {
    Policy {
        name,
        rules: Rules {
            repair,
            max_loading,
            reclaim_broken,
        },
        spare_replicas: 0,
        reserve: 0,
    }
}

const POLICIES: [Policy; 6] = [
    policy("afresh", RepairPolicy::Rebuild, false, u32::MAX),
    policy("at-once", RepairPolicy::ReplaceLost, true, u32::MAX),
    policy("wait", RepairPolicy::ReplaceLost, false, STORE_CAPACITY),
    policy("keep", RepairPolicy::ReplaceLost, true, STORE_CAPACITY),
    Policy {
        spare_replicas: 1,
        ..policy("spares", RepairPolicy::ReplaceLost, true, STORE_CAPACITY)
    },
    Policy {
        spare_replicas: 1,
        reserve: 1,
        ..policy("reserve", RepairPolicy::ReplaceLost, true, STORE_CAPACITY)
    },
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Vm,
    Rack,
    Domain,
    Version,
}

const FAULTS: [(&str, Fault); 4] = [
    ("vm", Fault::Vm),
    ("rack", Fault::Rack),
    ("domain", Fault::Domain),
    ("version", Fault::Version),
];

/// Sizes of a simulated deployment.
#[derive(Debug, Clone, Copy)]
struct Size {
    domains: usize,
    vms: usize,
    span: u32,
    /// Distance between the indices of the four VMs of one rack.
    stride: usize,
    tick: Duration,
}

const SMALL: Size = Size {
    domains: 3,
    vms: 20,
    span: 4,
    stride: 4,
    tick: Duration::from_millis(500),
};
const LARGE: Size = Size {
    domains: 1,
    vms: 214,
    span: 16,
    stride: 54,
    tick: Duration::from_millis(500),
};

impl Size {
    fn replicas(self, policy: &Policy) -> u32 {
        (self.vms as u32 / self.span - policy.spare_replicas) * self.domains as u32
    }
}

fn run(options: &Options) -> Vec<Figure> {
    figures("placement", SMALL, options)
}

fn run_large(options: &Options) -> Vec<Figure> {
    figures("placement-target", LARGE, options)
}

fn figures(name: &str, size: Size, options: &Options) -> Vec<Figure> {
    let mut out = Vec::new();
    let selected = |p: &&Policy| match options.policies.is_empty() {
        true => DEFAULT_POLICIES.contains(&p.name),
        false => options.selects(p.name),
    };
    for policy in POLICIES.iter().filter(selected) {
        let (first, all) = start(size, policy);
        let figure = |quantity: &str, value, unit| {
            Figure::new(format!("{name}.{}.{quantity}", policy.name), value, unit)
        };
        out.push(figure("start.first", first, "s"));
        out.push(figure("start.all", all, "s"));
        for (fault_name, fault) in FAULTS {
            if fault == Fault::Domain && size.domains == 1 {
                continue;
            }
            for (log, outage) in [("", false), ("-log-out", true)] {
                let integrals = measure_fault(size, policy, fault, outage);
                let part = format!("{fault_name}{log}");
                out.push(figure(
                    &format!("{part}.downtime"),
                    integrals.downtime,
                    "replica s",
                ));
                out.push(figure(
                    &format!("{part}.stranded"),
                    integrals.stranded,
                    "VM s",
                ));
            }
        }
    }
    out.extend(ratios(name, &out));
    out
}

/// Returns the downtime of the policy `keep` as a share of that of `afresh`, for each fault.
fn ratios(name: &str, figures: &[Figure]) -> Vec<Figure> {
    let find = |policy: &str, fault: &str| {
        let wanted = format!("{name}.{policy}.{fault}.downtime");
        figures.iter().find(|f| f.name == wanted).map(|f| f.value)
    };
    let ratio = |(fault, _): &(&str, Fault)| {
        let share = find("keep", fault)? / find("afresh", fault)?;
        Some(Figure::new(
            format!("{name}.share.{fault}"),
            share,
            "of afresh",
        ))
    };
    FAULTS.iter().filter_map(ratio).collect()
}

fn version(name: &str, weight: f64, span: u32) -> (RowKey, Row) {
    let row = VersionRow {
        group: "listwriter".into(),
        weight,
        span,
    };
    (RowKey::Version(name.into()), Row::Version(row))
}

fn simulation(size: Size, policy: &Policy) -> PlannerSimulation {
    let replicas = size.replicas(policy);
    let group = GroupRow {
        replicas,
        minimum: replicas * 3 / 5,
        downtime: 1.0,
        stranded: 1.0,
        reserve: policy.reserve,
        slots: 8,
    };
    let setup = Setup {
        domains: size.domains,
        vms: size.vms,
        rules: policy.rules,
        store_capacity: planner_simulation::STORE_CAPACITY,
        tick: size.tick,
    };
    let rows = vec![
        (RowKey::Group("listwriter".into()), Row::Group(group)),
        version("v1", 1.0, size.span),
    ];
    PlannerSimulation::new(setup, rows)
}

/// Returns the virtual time in seconds until the first replica and until all replicas serve.
fn start(size: Size, policy: &Policy) -> (f64, f64) {
    let mut simulation = simulation(size, policy);
    let wanted = size.replicas(policy) as usize;
    let first = simulation.run(START_LIMIT, |s| s.serving() > 0);
    let rest = simulation.run(START_LIMIT, |s| s.serving() >= wanted);
    let seconds = |t: Option<Duration>| t.map_or(f64::INFINITY, |t| t.as_secs_f64());
    (seconds(first), seconds(first) + seconds(rest))
}

/// Returns the integrals from a fault until all replicas serve again.
fn measure_fault(size: Size, policy: &Policy, fault: Fault, outage: bool) -> Integrals {
    let mut simulation = simulation(size, policy);
    let wanted = size.replicas(policy) as usize;
    simulation.run(START_LIMIT, |s| s.serving() >= wanted);
    simulation.run(Duration::from_secs(10), |_| false);
    simulation.integrals = Integrals::default();
    simulation.set_log_up(!outage);
    let set_fault = |down: bool, simulation: &mut PlannerSimulation| match fault {
        Fault::Vm => simulation.set_down(0, 1..2, down),
        Fault::Rack => simulation.set_down(0, (0..size.vms).step_by(size.stride).take(4), down),
        Fault::Domain => simulation.set_down(0, 0..size.vms, down),
        Fault::Version => {}
    };
    set_fault(true, &mut simulation);
    if fault == Fault::Version {
        let rows = vec![version("v1", 0.0, size.span), version("v2", 1.0, size.span)];
        simulation.set_rows(rows);
    }
    simulation.run(LOG_OUTAGE, |_| false);
    simulation.set_log_up(true);
    simulation.run(REPAIR_TIME - LOG_OUTAGE, |_| false);
    set_fault(false, &mut simulation);
    let done = |s: &PlannerSimulation| match fault {
        Fault::Version => s.serving_version("v2") >= wanted,
        _ => s.serving() >= wanted,
    };
    simulation.run(RECOVERY_LIMIT, done);
    simulation.integrals
}
