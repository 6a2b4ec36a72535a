//! Size of the folded shard state as the number of VMs grows.

use hemlock_lib::codec;
use hemlock_lib::fleet::{Fleet, FleetChange, FleetRecord};
use hemlock_lib::ids::{Fence, Incarnation, Nonce, Offset, VmId};

use super::Experiment;
use crate::figure::{Figure, Options};

/// Numbers of VMs in the shard.
const VM_COUNTS: [u32; 4] = [60, 480, 1_200, 4_496];
/// VMs that one replica spans.
const VMS_PER_REPLICA: u32 = 16;

/// The experiment.
pub(super) const EXPERIMENT: Experiment = Experiment {
    name: "fold",
    about: "Bytes of folded shard state by number of VMs",
    timed: false,
    run,
};

fn run(_: &Options) -> Vec<Figure> {
    VM_COUNTS
        .iter()
        .map(|size| Figure::new(format!("fold.bytes.{size}"), state_bytes(*size), "B"))
        .collect()
}

fn state_bytes(vm_count: u32) -> f64 {
    let mut fleet = Fleet::default();
    let mut offset = 0;
    let mut fold = |change| {
        let record = FleetRecord {
            nonce: Nonce(offset),
            change,
        };
        fleet
            .fold(Offset(offset), &record)
            .expect("each record is valid");
        offset += 1;
    };
    fold(FleetChange::Lease {
        holder: "entry-0".into(),
        run: Incarnation(1),
        supersedes: None,
        length_ms: 3_000,
    });
    for replica in 0..vm_count / VMS_PER_REPLICA {
        let vms = (0..VMS_PER_REPLICA)
            .map(|i| VmId::new(format!("domain-{:05}", replica * VMS_PER_REPLICA + i)));
        fold(FleetChange::Assign {
            fence: Fence(1),
            base: Offset(if replica == 0 {
                0
            } else {
                u64::from(replica) + 1
            }),
            form: 1,
            group: "listwriter".into(),
            version: "listwriter-v1".into(),
            span: VMS_PER_REPLICA,
            vms: vms.collect(),
            reserve: Vec::new(),
        });
    }
    codec::encode(&fleet).len() as f64
}
