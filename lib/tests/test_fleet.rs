//! Fold of a shard: leases, fencing tokens and assignments.

use hemlock_lib::fleet::{Fleet, FleetChange, FleetRecord, FleetRefusal};
use hemlock_lib::ids::{Fence, Incarnation, Nonce, Offset, VmId};

fn fold(fleet: &mut Fleet, change: FleetChange) -> Result<(), FleetRefusal> {
    let offset = fleet.next;
    fleet.fold(
        offset,
        &FleetRecord {
            nonce: Nonce(offset.0),
            change,
        },
    )
}

fn lease(holder: &str, supersedes: Option<u64>) -> FleetChange {
    FleetChange::Lease {
        holder: holder.into(),
        run: Incarnation(1),
        supersedes: supersedes.map(Offset),
        length_ms: 3_000,
    }
}

fn assign(fence: u64, vms: &[&str]) -> FleetChange {
    FleetChange::Assign {
        fence: Fence(fence),
        base: Offset(0),
        form: 1,
        group: "listwriter".into(),
        version: "v1".into(),
        span: 2,
        vms: vms.iter().map(VmId::new).collect(),
        reserve: Vec::new(),
    }
}

#[test]
fn renewal_supersedes_a_claim_made_without_reading_it() {
    let mut fleet = Fleet::default();
    fold(&mut fleet, lease("a", None)).expect("the first claim");
    fold(&mut fleet, lease("a", Some(0))).expect("a renewal");
    assert_eq!(
        fold(&mut fleet, lease("b", Some(0))),
        Err(FleetRefusal::Superseded)
    );
    assert_eq!(fleet.lease.as_ref().map(|l| l.fence), Some(Fence(1)));
}

#[test]
fn assignment_of_an_old_holder_is_fenced() {
    let mut fleet = Fleet::default();
    fold(&mut fleet, lease("a", None)).expect("the first claim");
    fold(&mut fleet, lease("b", Some(0))).expect("a takeover");
    assert_eq!(
        fold(&mut fleet, assign(1, &["x", "y"])),
        Err(FleetRefusal::Fenced)
    );
    fold(&mut fleet, assign(2, &["x", "y"])).expect("the new holder assigns");
}

#[test]
fn vm_is_assigned_to_one_replica_only() {
    let mut fleet = Fleet::default();
    fold(&mut fleet, lease("a", None)).expect("the first claim");
    fold(&mut fleet, assign(1, &["x", "y"])).expect("free VMs");
    let base = fleet.planned;
    let assign = |fence, vms: &[&str]| match assign(fence, vms) {
        FleetChange::Assign {
            fence,
            form,
            group,
            version,
            span,
            vms,
            reserve,
            ..
        } => FleetChange::Assign {
            fence,
            base,
            form,
            group,
            version,
            span,
            vms,
            reserve,
        },
        other => other,
    };
    let cases: [(&[&str], FleetRefusal); 3] = [
        (&["y", "z"], FleetRefusal::VmTaken),
        (&["z", "z"], FleetRefusal::VmTaken),
        (&["z"], FleetRefusal::WrongSpan),
    ];
    for (vms, refusal) in cases {
        assert_eq!(fold(&mut fleet, assign(1, vms)), Err(refusal), "{vms:?}");
    }
}
