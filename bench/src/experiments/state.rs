//! Size of views, deltas and folded streams as the deployment grows, and appends for snapshots.

use hemlock_lib::codec;
use hemlock_lib::delta::Delta;
use hemlock_lib::engine::{HeldReplica, Load};
use hemlock_lib::fleet::{Fleet, FleetChange, FleetRecord, Form};
use hemlock_lib::folds::FoldedStreams;
use hemlock_lib::ids::{DomainId, Fence, Incarnation, Nonce, Offset, ReplicaId, ReplicaSeq, VmId};
use hemlock_lib::members::Member;
use hemlock_lib::platform::{VmListing, VmRole};
use hemlock_lib::table::{AccountRow, ConfigRecord, Edit, Row, RowKey, Table};
use hemlock_lib::view::{EntryStatus, Health, View, VmStatus};

use super::Experiment;
use crate::figure::{Figure, Options};

/// Number of entry VMs, endpoint VMs and shards.
pub(super) const SIZES: [(usize, usize, usize); 4] =
    [(7, 60, 3), (60, 720, 6), (180, 2_160, 12), (380, 4_500, 21)];
/// VMs that one replica spans.
const VMS_PER_REPLICA: usize = 4;
const ACCOUNTS: usize = 100;
/// Snapshots of each stream in a day. The log keeps records for a day, and five snapshots are written
/// in that time, with two appends each.
const SNAPSHOTS_PER_DAY: f64 = 5.0;
const DAY_S: f64 = 86_400.0;
/// Partitions of the claim streams.
const CLAIM_PARTITIONS: u32 = 4;

/// The experiment.
pub(super) const EXPERIMENT: Experiment = Experiment {
    name: "state",
    about: "Bytes of views, deltas and folded streams, and appends for snapshots, by size",
    timed: false,
    run,
};

fn run(_: &Options) -> Vec<Figure> {
    SIZES.iter().flat_map(|size| measure(*size)).collect()
}

fn measure((entries, vms, shards): (usize, usize, usize)) -> Vec<Figure> {
    let figure =
        |quantity: &str, value, unit| Figure::new(format!("state.{quantity}.{vms}"), value, unit);
    let view = view(entries, vms, shards);
    let mut next = view.clone();
    next.version += 1;
    if let Some(status) = next.vms.values_mut().next() {
        status.health = Health::Lost;
    }
    let delta = Delta::between(&view, &next, 0);
    let domains: Vec<DomainId> = (0..shards).map(domain).collect();
    let streams = FoldedStreams::new(&domains, CLAIM_PARTITIONS)
        .next_offsets()
        .len() as f64;
    let bytes = |value: &dyn Fn() -> Vec<u8>| value().len() as f64;
    vec![
        figure("view", bytes(&|| codec::encode(&view)), "B"),
        figure("delta", bytes(&|| codec::encode(&delta)), "B"),
        figure("table", bytes(&|| codec::encode(&view.table)), "B"),
        figure("fleets", bytes(&|| codec::encode(&view.fleets)), "B"),
        figure(
            "restate_appends",
            2.0 * streams * SNAPSHOTS_PER_DAY / DAY_S,
            "1/s",
        ),
    ]
}

fn domain(i: usize) -> DomainId {
    DomainId::new(format!("domain-{i:02}"))
}

/// Returns the view of a deployment in which all replicas serve.
pub(super) fn view(entries: usize, vms: usize, shards: usize) -> View {
    let mut view = View {
        version: 1,
        table: table(),
        entries: (0..entries).map(entry).collect(),
        ..View::default()
    };
    for shard in 0..shards {
        let names: Vec<VmId> = (shard..vms)
            .step_by(shards)
            .map(|i| VmId::new(format!("domain-{shard:02}-{i:04}")))
            .collect();
        let fleet = fleet(&names);
        for (seq, assignment) in &fleet.replicas {
            for (rank, vm) in assignment.vms.iter().enumerate() {
                view.vms.insert(vm.clone(), status(shard, *seq, rank, vm));
            }
        }
        view.fleets.insert(domain(shard), fleet);
    }
    view
}

fn table() -> Table {
    let mut table = Table::default();
    let edit = |i: usize| Edit {
        key: RowKey::Account(format!("account-{i:03}").as_str().into()),
        base: None,
        row: Some(Row::Account(AccountRow {
            key_hash: format!("{i:064x}"),
            weight: 1.0,
            requests: 100.0,
            tokens: 1_000.0,
            concurrency: 10,
        })),
    };
    let record = ConfigRecord {
        nonce: Nonce(1),
        author: "operator".to_owned(),
        at_ms: 0,
        edits: (0..ACCOUNTS).map(edit).collect(),
    };
    table.fold(Offset(0), &record).expect("an empty table");
    table
}

fn entry(i: usize) -> EntryStatus {
    let address = |port| format!("http://10.0.{}.{}:{port}", i / 256, i % 256);
    EntryStatus {
        member: Member {
            entry: format!("entry-{i:03}").as_str().into(),
            domain: domain(i % 21),
            gateway: address(8_100),
            agent: address(8_101),
            gossip: address(8_102),
            incarnation: Incarnation(1),
            leaving: false,
        },
        live: true,
        spare: 0.5,
        config: 1,
    }
}

fn fleet(names: &[VmId]) -> Fleet {
    let mut fleet = Fleet::default();
    let lease = FleetChange::Lease {
        holder: "entry-000".into(),
        run: Incarnation(1),
        supersedes: None,
        length_ms: 3_000,
    };
    let mut fold = |offset: u64, change: &dyn Fn(Offset) -> FleetChange| {
        let change = change(fleet.planned);
        let nonce = Nonce(offset);
        let folded = fleet.fold(Offset(offset), &FleetRecord { nonce, change });
        folded.expect("each record is valid");
    };
    fold(0, &|_| lease.clone());
    for (offset, vms) in (1..).zip(names.chunks_exact(VMS_PER_REPLICA)) {
        fold(offset, &|base| FleetChange::Assign {
            fence: Fence(1),
            base,
            form: 1,
            group: "listwriter".into(),
            version: "listwriter-v1".into(),
            span: VMS_PER_REPLICA as u32,
            vms: vms.to_vec(),
            reserve: Vec::new(),
        });
    }
    fleet
}

fn status(shard: usize, seq: ReplicaSeq, rank: usize, vm: &VmId) -> VmStatus {
    VmStatus {
        listing: VmListing {
            vm: vm.clone(),
            address: "http://10.1.2.3:9000".to_owned(),
            domain: domain(shard),
            role: VmRole::Engine,
            leaving: false,
        },
        health: Health::Live,
        run: Incarnation(1),
        held: Some(HeldReplica {
            replica: ReplicaId {
                shard: domain(shard),
                seq,
            },
            fence: Fence(1),
            form: Form::default(),
            version: "listwriter-v1".into(),
            rank: rank as u32,
            ready: true,
        }),
        load: Load::default(),
        silent_ms: 100,
    }
}
