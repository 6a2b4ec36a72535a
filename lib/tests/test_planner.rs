//! Planners under pauses, partitions, lost replies, and repeated and reordered orders.

use hemlock_lib::ids::VmId;
use rand::Rng;

use crate::planner_simulation::{Simulation, set_rows, version};

const SCHEDULES: u64 = 10_000;
const THREADS: u64 = 4;
const STEPS: u32 = 70;

/// Steps without faults after which all replicas must serve.
const RECOVERY_STEPS: u32 = 240;

fn inject_fault(sim: &mut Simulation) {
    let vms: Vec<VmId> = sim.engines.keys().cloned().collect();
    let vm = vms[sim.rng.random_range(0..vms.len())].clone();
    let node = sim.rng.random_range(0..sim.nodes.len());
    match sim.rng.random_range(0..40) {
        0..3 => {
            let ms = sim.rng.random_range(200..6_000);
            sim.pause(node, ms);
        }
        3..5 => sim.nodes[node].partitioned = true,
        5..8 => sim.nodes.iter_mut().for_each(|n| n.partitioned = false),
        8 => sim.log_up = false,
        9..12 => sim.log_up = true,
        12 | 13 => sim.kill(&vm),
        14..17 => sim.engines.values_mut().for_each(|e| e.down = false),
        17 => {
            sim.unlisted.insert(vm);
        }
        18 => sim.unlisted.extend(vms),
        19..22 => sim.unlisted.clear(),
        23 => sim.restart(node),
        22 => {
            let (old, new) = if sim.rng.random_bool(0.5) {
                (1.0, 0.0)
            } else {
                (0.0, 1.0)
            };
            set_rows(
                &mut sim.table,
                vec![version("v1", old, 2), version("v2", new, 2)],
            );
        }
        _ => {}
    }
}

fn run(seed: u64) -> Result<(), String> {
    let fenced = seed.is_multiple_of(2);
    let reserve = u32::from(seed.is_multiple_of(3));
    let mut sim = Simulation::new(seed, fenced, 7, 3, reserve);
    let fail = |seed, sim: &Simulation, what| format!("seed {seed} at {} ms: {what}", sim.now);
    for _ in 0..12 {
        sim.step(200);
    }
    sim.inject_faults = true;
    for _ in 0..STEPS {
        inject_fault(&mut sim);
        let ms = sim.rng.random_range(50..400);
        sim.step(ms);
        sim.check().map_err(|w| fail(seed, &sim, w))?;
    }
    if !seed.is_multiple_of(10) {
        return Ok(());
    }
    sim.heal();
    for _ in 0..RECOVERY_STEPS {
        sim.step(250);
        sim.check().map_err(|w| fail(seed, &sim, w))?;
        if (0..3).all(|i| sim.serving(i) == 3) {
            return Ok(());
        }
    }
    let detail = format!("{:?}\n{:?}", sim.agreed, sim.engines);
    Err(fail(
        seed,
        &sim,
        format!("not all replicas serve in the end: {detail}"),
    ))
}

/// No VM is in two replicas, no replica serves without one of its VMs, no old lease holder
/// overrides a new one, and all replicas serve once the faults end.
#[test]
fn invariants_hold_and_replicas_recover_under_random_faults() {
    let seeds = |t| (0..SCHEDULES).filter(move |s| s % THREADS == t);
    let first_error = |t| seeds(t).find_map(|seed| run(seed).err());
    let errors: Vec<String> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|t| scope.spawn(move || first_error(t)))
            .collect();
        threads
            .into_iter()
            .filter_map(|t| t.join().expect("a schedule broke an engine's check"))
            .collect()
    });
    assert!(errors.is_empty(), "{}", errors.join("\n"));
}
