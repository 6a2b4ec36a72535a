//! Group downtime and stranded accelerators of each way of placing, for each fault.

use std::time::Duration;

use hemlock_lib::plan::{RepairPolicy, Rules};
use hemlock_lib::table::{GroupRow, Row, RowKey, VersionRow};

use super::Experiment;
use crate::figure::{Figure, Options};
use crate::planner_simulation::{self, PlannerSimulation, Setup, Sums};

/// Time after a fault until the VMs are back.
const REPAIR: Duration = Duration::from_secs(240);
/// Time after the repair within which all must serve again.
const HORIZON: Duration = Duration::from_secs(3_600);
/// Length of the log outage, which starts with the fault.
const OUTAGE: Duration = Duration::from_secs(90);
const START_LIMIT: Duration = Duration::from_secs(1_800);
const STORE: u32 = planner_simulation::STORE as u32;
/// Policies that run unless others are named; the rest was measured and rejected.
const USUAL: [&str; 2] = ["afresh", "keep"];

/// The experiment.
pub(super) const EXPERIMENT: Experiment = Experiment {
    name: "placement",
    about: "Group downtime and stranded accelerators by way of placing, at the sizes of today",
    timed: false,
    run,
};

/// The experiment at the target's size.
pub(super) const TARGET: Experiment = Experiment {
    name: "placement-target",
    about: "The same in one failure domain of the target: 214 VMs, span 16",
    timed: true,
    run: run_target,
};

/// A way of placing.
#[derive(Debug, Clone, Copy)]
struct Policy {
    name: &'static str,
    rules: Rules,
    /// Replicas given up so that their VMs are spares.
    given: u32,
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
        given: 0,
        reserve: 0,
    }
}

const POLICIES: [Policy; 6] = [
    policy("afresh", RepairPolicy::Rebuild, false, u32::MAX),
    policy("at-once", RepairPolicy::ReplaceLost, true, u32::MAX),
    policy("wait", RepairPolicy::ReplaceLost, false, STORE),
    policy("keep", RepairPolicy::ReplaceLost, true, STORE),
    Policy {
        given: 1,
        ..policy("spares", RepairPolicy::ReplaceLost, true, STORE)
    },
    Policy {
        given: 1,
        reserve: 1,
        ..policy("reserve", RepairPolicy::ReplaceLost, true, STORE)
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

/// Sizes of a deployment.
#[derive(Debug, Clone, Copy)]
struct Size {
    domains: usize,
    vms: usize,
    span: u32,
    /// Distance between the VMs of one rack.
    stride: usize,
    tick: Duration,
}

const TODAY: Size = Size {
    domains: 3,
    vms: 20,
    span: 4,
    stride: 4,
    tick: Duration::from_millis(500),
};
const LATER: Size = Size {
    domains: 1,
    vms: 214,
    span: 16,
    stride: 54,
    tick: Duration::from_millis(500),
};

impl Size {
    fn replicas(self, policy: &Policy) -> u32 {
        (self.vms as u32 / self.span - policy.given) * self.domains as u32
    }
}

fn run(options: &Options) -> Vec<Figure> {
    figures("placement", TODAY, options)
}

fn run_target(options: &Options) -> Vec<Figure> {
    figures("placement-target", LATER, options)
}

fn figures(name: &str, size: Size, options: &Options) -> Vec<Figure> {
    let mut out = Vec::new();
    let wants = |p: &&Policy| match options.policies.is_empty() {
        true => USUAL.contains(&p.name),
        false => options.selects(p.name),
    };
    for policy in POLICIES.iter().filter(wants) {
        let (first, all) = start(size, policy);
        let figure = |what: &str, value, unit| {
            Figure::new(format!("{name}.{}.{what}", policy.name), value, unit)
        };
        out.push(figure("start.first", first, "s"));
        out.push(figure("start.all", all, "s"));
        for (fault_name, fault) in FAULTS {
            if fault == Fault::Domain && size.domains == 1 {
                continue;
            }
            for (log, outage) in [("", false), ("-log-out", true)] {
                let sums = disturb(size, policy, fault, outage);
                let part = format!("{fault_name}{log}");
                out.push(figure(
                    &format!("{part}.downtime"),
                    sums.downtime,
                    "replica s",
                ));
                out.push(figure(&format!("{part}.stranded"), sums.stranded, "VM s"));
            }
        }
    }
    out.extend(ratios(name, &out));
    out
}

/// Returns the downtime of the usual policy as a share of that of loading all afresh.
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

fn shards(size: Size, policy: &Policy) -> PlannerSimulation {
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
        store: planner_simulation::STORE,
        tick: size.tick,
    };
    let rows = vec![
        (RowKey::Group("listwriter".into()), Row::Group(group)),
        version("v1", 1.0, size.span),
    ];
    PlannerSimulation::new(setup, rows)
}

/// Returns the seconds until the first replica and until all replicas serve.
fn start(size: Size, policy: &Policy) -> (f64, f64) {
    let mut shards = shards(size, policy);
    let wanted = size.replicas(policy) as usize;
    let first = shards.run(START_LIMIT, |s| s.serving() > 0);
    let rest = shards.run(START_LIMIT, |s| s.serving() >= wanted);
    let seconds = |t: Option<Duration>| t.map_or(f64::INFINITY, |t| t.as_secs_f64());
    (seconds(first), seconds(first) + seconds(rest))
}

fn disturb(size: Size, policy: &Policy, fault: Fault, outage: bool) -> Sums {
    let mut shards = shards(size, policy);
    let wanted = size.replicas(policy) as usize;
    shards.run(START_LIMIT, |s| s.serving() >= wanted);
    shards.run(Duration::from_secs(10), |_| false);
    shards.sums = Sums::default();
    shards.set_log(!outage);
    let hit = |down: bool, shards: &mut PlannerSimulation| match fault {
        Fault::Vm => shards.set_down(0, 1..2, down),
        Fault::Rack => shards.set_down(0, (0..size.vms).step_by(size.stride).take(4), down),
        Fault::Domain => shards.set_down(0, 0..size.vms, down),
        Fault::Version => {}
    };
    hit(true, &mut shards);
    if fault == Fault::Version {
        let rows = vec![version("v1", 0.0, size.span), version("v2", 1.0, size.span)];
        shards.set_rows(rows);
    }
    shards.run(OUTAGE, |_| false);
    shards.set_log(true);
    shards.run(REPAIR - OUTAGE, |_| false);
    hit(false, &mut shards);
    let done = |s: &PlannerSimulation| match fault {
        Fault::Version => s.serving_version("v2") >= wanted,
        _ => s.serving() >= wanted,
    };
    shards.run(HORIZON, done);
    shards.sums
}
