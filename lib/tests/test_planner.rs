//! Planners under pauses, partitions, lost replies, repeated and reordered orders.

use hemlock_lib::ids::VmId;
use rand::Rng;

use crate::planner_simulation::{Simulation, set_rows, version};

const SCHEDULES: u64 = 10_000;
const THREADS: u64 = 4;
const STEPS: u32 = 70;

const CALM_STEPS: u32 = 240;

fn disturb(world: &mut Simulation) {
    let vms: Vec<VmId> = world.engines.keys().cloned().collect();
    let vm = vms[world.rng.random_range(0..vms.len())].clone();
    let node = world.rng.random_range(0..world.nodes.len());
    match world.rng.random_range(0..40) {
        0..3 => {
            let ms = world.rng.random_range(200..6_000);
            world.pause(node, ms);
        }
        3..5 => world.nodes[node].partitioned = true,
        5..8 => world.nodes.iter_mut().for_each(|n| n.partitioned = false),
        8 => world.log_up = false,
        9..12 => world.log_up = true,
        12 | 13 => world.kill(&vm),
        14..17 => world.engines.values_mut().for_each(|e| e.down = false),
        17 => {
            world.unlisted.insert(vm);
        }
        18 => world.unlisted.extend(vms),
        19..22 => world.unlisted.clear(),
        23 => world.restart(node),
        22 => {
            let (old, new) = if world.rng.random_bool(0.5) {
                (1.0, 0.0)
            } else {
                (0.0, 1.0)
            };
            set_rows(
                &mut world.table,
                vec![version("v1", old, 2), version("v2", new, 2)],
            );
        }
        _ => {}
    }
}

fn run(seed: u64) -> Result<(), String> {
    let fenced = seed.is_multiple_of(2);
    let reserve = u32::from(seed.is_multiple_of(3));
    let mut world = Simulation::new(seed, fenced, 7, 3, reserve);
    let fail = |seed, world: &Simulation, what| format!("seed {seed} at {} ms: {what}", world.now);
    for _ in 0..12 {
        world.step(200);
    }
    world.inject_faults = true;
    for _ in 0..STEPS {
        disturb(&mut world);
        let ms = world.rng.random_range(50..400);
        world.step(ms);
        world.check().map_err(|w| fail(seed, &world, w))?;
    }
    if !seed.is_multiple_of(10) {
        return Ok(());
    }
    world.heal();
    for _ in 0..CALM_STEPS {
        world.step(250);
        world.check().map_err(|w| fail(seed, &world, w))?;
        if (0..3).all(|i| world.serving(i) == 3) {
            return Ok(());
        }
    }
    let detail = format!("{:?}\n{:?}", world.agreed, world.engines);
    Err(fail(
        seed,
        &world,
        format!("not all replicas serve in the end: {detail}"),
    ))
}

/// No VM is in two replicas, no replica serves without a VM, no old holder undoes a new one, and
/// all replicas serve once the faults end.
#[test]
fn schedules_keep_the_invariants() {
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
