//! Cost of planning by number of VMs: wall time of a planner's step, and appends to the log without
//! any change, which are lease renewals.

use std::time::{Duration, Instant};

use hemlock_lib::plan::{RepairPolicy, Rules};
use hemlock_lib::plan_inputs::PlanInputs;
use hemlock_lib::table::{GroupRow, Row, RowKey, VersionRow};

use super::Experiment;
use crate::figure::{Figure, Options};
use crate::planner_simulation::{PlannerSimulation, Setup};

/// Number of failure domains, VMs in each, and VMs that a replica spans.
const SIZES: [(usize, usize, u32); 4] = [(3, 20, 4), (6, 80, 16), (9, 134, 16), (21, 214, 16)];
/// Virtual time after which the simulation stops waiting until all replicas serve.
const START_LIMIT: Duration = Duration::from_secs(300);
/// Virtual time without changes over which lease renewals are counted.
const IDLE_PERIOD: Duration = Duration::from_secs(30);
/// Virtual time of one step.
const TICK: Duration = Duration::from_millis(500);
/// Steps whose wall time is averaged.
const TIMED_STEPS: u32 = 40;

/// The experiment.
pub(super) const EXPERIMENT: Experiment = Experiment {
    name: "planner",
    about: "Time of a planner's step with every shard held, and lease renewals, by size",
    timed: true,
    run,
};

fn run(_: &Options) -> Vec<Figure> {
    SIZES.into_iter().flat_map(measure).collect()
}

fn measure((domains, vms, span): (usize, usize, u32)) -> Vec<Figure> {
    let replicas = (vms as u32 / span) * domains as u32;
    let setup = Setup {
        domains,
        vms,
        rules: Rules {
            repair: RepairPolicy::ReplaceLost,
            max_loading: u32::MAX,
            reclaim_broken: true,
        },
        store_capacity: domains * vms,
        tick: TICK,
    };
    let group = GroupRow {
        replicas,
        minimum: 0,
        downtime: 1.0,
        stranded: 1.0,
        reserve: 0,
        slots: 8,
    };
    let version = VersionRow {
        group: "listwriter".into(),
        weight: 1.0,
        span,
    };
    let rows = vec![
        (RowKey::Group("listwriter".into()), Row::Group(group)),
        (RowKey::Version("v1".into()), Row::Version(version)),
    ];
    let mut simulation = PlannerSimulation::new(setup, rows);
    simulation.run(START_LIMIT, |s| s.serving() >= replicas as usize);
    let appends_before = simulation.appends;
    simulation.run(IDLE_PERIOD, |_| false);
    let renewals = (simulation.appends - appends_before) as f64 / IDLE_PERIOD.as_secs_f64();
    simulation.planning_time = Duration::ZERO;
    let started = Instant::now();
    simulation.run(TICK * TIMED_STEPS, |_| false);
    let harness_step = started.elapsed().as_secs_f64() * 1e6 / f64::from(TIMED_STEPS);
    let step = simulation.planning_time.as_secs_f64() * 1e6 / f64::from(TIMED_STEPS);
    let view = simulation.view();
    let started = Instant::now();
    for _ in 0..TIMED_STEPS {
        std::hint::black_box(PlanInputs::new(&view));
    }
    let plan_inputs = started.elapsed().as_secs_f64() * 1e6 / f64::from(TIMED_STEPS);
    let vm_count = domains * vms;
    let figure = |quantity: &str, value, unit| {
        Figure::new(format!("planner.{quantity}.{vm_count}"), value, unit)
    };
    vec![
        figure("step", step, "us"),
        figure("step-per-shard", step / domains as f64, "us"),
        figure("digest", plan_inputs, "us"),
        figure("harness-step", harness_step, "us"),
        figure("renewals", renewals, "1/s"),
    ]
}
