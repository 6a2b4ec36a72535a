//! Downtime of groups and stranded accelerators, computed from successive views.

use hemlock_lib::engine::{HeldReplica, Load};
use hemlock_lib::fleet::{Fleet, FleetChange, FleetRecord, Form};
use hemlock_lib::ids::{Fence, Incarnation, Nonce, Offset, ReplicaId, ReplicaSeq, VmId};
use hemlock_lib::platform::{VmListing, VmRole};
use hemlock_lib::shortage::Shortages;
use hemlock_lib::table::{ConfigRecord, Edit, GroupRow, Row, RowKey};
use hemlock_lib::time::Time;
use hemlock_lib::view::{Health, View, VmStatus};

/// Returns a view with one replica of two VMs, and one free VM.
fn view(replicas: u32) -> View {
    let mut view = View::default();
    let group = GroupRow {
        replicas,
        minimum: 0,
        downtime: 1.0,
        stranded: 1.0,
        reserve: 0,
        slots: 1,
    };
    let edit = Edit {
        key: RowKey::Group("g".into()),
        base: None,
        row: Some(Row::Group(group)),
    };
    let record = ConfigRecord {
        nonce: Nonce(0),
        author: "a".to_owned(),
        at_ms: 0,
        edits: vec![edit],
    };
    view.table.fold(Offset(0), &record).expect("a free row");
    let mut fleet = Fleet::default();
    let lease = FleetChange::Lease {
        holder: "e".into(),
        run: Incarnation(1),
        supersedes: None,
        length_ms: 1,
    };
    let assign = FleetChange::Assign {
        fence: Fence(1),
        base: Offset(0),
        form: 1,
        group: "g".into(),
        version: "v".into(),
        span: 2,
        vms: vec!["a".into(), "b".into()],
        reserve: Vec::new(),
    };
    for change in [lease, assign] {
        let nonce = Nonce(fleet.next.0);
        let record = FleetRecord { nonce, change };
        fleet.fold(fleet.next, &record).expect("a valid record");
    }
    view.fleets.insert("d".into(), fleet);
    for (rank, name) in ["a", "b", "c"].into_iter().enumerate() {
        view.vms.insert(name.into(), status(name, rank as u32));
    }
    view
}

fn status(name: &str, rank: u32) -> VmStatus {
    let replica = ReplicaId {
        shard: "d".into(),
        seq: ReplicaSeq(2),
    };
    let held = HeldReplica {
        replica,
        fence: Fence(1),
        form: Form {
            fence: Fence(1),
            seq: 1,
        },
        version: "v".into(),
        rank,
        ready: true,
    };
    VmStatus {
        listing: VmListing {
            vm: VmId::new(name),
            address: String::new(),
            domain: "d".into(),
            role: VmRole::Engine,
            leaving: false,
        },
        health: Health::Live,
        run: Incarnation(1),
        held: (rank < 2).then_some(held),
        load: Load::default(),
        silent_ms: 0,
    }
}

fn lose(view: &mut View, vm: &str) {
    view.vms.get_mut(vm).expect("the VM exists").health = Health::Lost;
}

#[test]
fn replicas_and_accelerators_of_a_view_are_counted() {
    let serving = view(1);
    let mut broken = view(1);
    lose(&mut broken, "b");
    // Wanted and serving replicas, stranded accelerators, and surplus accelerators.
    let cases = [
        (serving, 1, 1, 0, 1),
        (view(2), 2, 1, 1, 0),
        (broken, 1, 0, 2, 0),
    ];
    for (view, wanted, up, stranded, surplus) in cases {
        let mut shortages = Shortages::default();
        shortages.observe(Time::ZERO, &view);
        let (_, found) = shortages.iter().next().expect("one group");
        let counts = (
            found.wanted,
            found.serving,
            found.stranded,
            shortages.surplus_accelerators(),
        );
        assert_eq!(counts, (wanted, up, stranded, surplus));
    }
}

#[test]
fn downtime_accumulates_while_a_wanted_replica_does_not_serve() {
    let mut broken = view(1);
    lose(&mut broken, "a");
    let mut shortages = Shortages::default();
    let views = [
        (0, view(1)),
        (1_000, broken.clone()),
        (1_500, broken),
        (2_500, view(1)),
        (9_000, view(1)),
    ];
    for (at, view) in views {
        shortages.observe(Time::from_millis(at), &view);
    }
    let (_, found) = shortages.iter().next().expect("one group");
    assert_eq!(found.downtime_ms, 1_500);
}
