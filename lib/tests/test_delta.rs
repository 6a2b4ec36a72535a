//! Deltas of views: a delta applies only to its base, and yields the later view.

use hemlock_lib::codec;
use hemlock_lib::delta::Delta;
use hemlock_lib::engine::Load;
use hemlock_lib::ids::{Incarnation, Offset, VmId};
use hemlock_lib::platform::{VmListing, VmRole};
use hemlock_lib::view::{Health, View, VmStatus};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SCHEDULES: u64 = 500;
const STEPS: usize = 20;

fn status(vm: &VmId) -> VmStatus {
    VmStatus {
        listing: VmListing {
            vm: vm.clone(),
            address: "http://10.0.0.1".to_owned(),
            domain: "riverside".into(),
            role: VmRole::Engine,
            leaving: false,
        },
        health: Health::Unknown,
        run: Incarnation(1),
        held: None,
        load: Load::default(),
        silent_ms: 0,
    }
}

fn change_randomly(view: &mut View, rng: &mut SmallRng) {
    view.version += 1;
    let vm = VmId::new(format!("vm-{}", rng.random_range(0..6)));
    let shard = ["riverside", "pinehill"][rng.random_range(0..2)];
    match rng.random_range(0..8) {
        0 => drop(view.vms.remove(&vm)),
        1 => drop(view.vms.insert(vm.clone(), status(&vm))),
        2 => view.vms.values_mut().for_each(|s| s.silent_ms += 100),
        3 => view.vms.values_mut().for_each(|s| s.load.queued += 1),
        4 => view.vms.values_mut().for_each(|s| s.health = Health::Live),
        5 => view.table.changed = Some(Offset(view.version)),
        6 => view.fleets.entry(shard.into()).or_default().next.0 += 1,
        _ => view.log_up = !view.log_up,
    }
}

#[test]
fn delta_applied_to_its_base_yields_the_later_view() {
    for seed in 0..SCHEDULES {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut old = View::default();
        let mut new = View::default();
        for step in 0..STEPS {
            change_randomly(&mut new, &mut rng);
            if rng.random_bool(0.5) {
                continue;
            }
            let aged = rng.random_range(0..300);
            let delta = codec::encode(&Delta::between(&old, &new, aged));
            let delta: Delta = codec::decode(&delta).expect("its own encoding");
            let mut wrong = View {
                version: old.version + 1,
                ..View::default()
            };
            assert!(!delta.clone().apply(&mut wrong), "another base is refused");
            assert!(delta.apply(&mut old));
            assert_eq!(old, new, "seed {seed}, step {step}");
        }
    }
}
