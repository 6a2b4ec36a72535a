//! Plans of one shard: change and orders for each state of the VMs.

use std::collections::{BTreeMap, BTreeSet};

use hemlock_lib::engine::HeldReplica;
use hemlock_lib::fleet::{Fleet, FleetChange, FleetRecord, Form};
use hemlock_lib::ids::{DomainId, Fence, Incarnation, Nonce, Offset, ReplicaId, ReplicaSeq, VmId};
use hemlock_lib::placement::{self, MissingReplicas};
use hemlock_lib::plan::{Plan, PlanContext};
use hemlock_lib::plan_inputs::PlanInputs;
use hemlock_lib::platform::{VmListing, VmRole};
use hemlock_lib::table::Table;
use hemlock_lib::view::{Health, View, VmStatus};

use crate::planner_simulation::{group, rules, set_rows, version};

const FENCE: Fence = Fence(1);

/// A shard with three replicas of two VMs, `a0 a1`, `b0 b1` and `c0 c1`, and free VMs.
struct Shard {
    fleet: Fleet,
    view: View,
}

fn domain() -> DomainId {
    "riverside".into()
}

fn listing(vm: &str) -> VmListing {
    VmListing {
        vm: vm.into(),
        address: String::new(),
        domain: domain(),
        role: VmRole::Engine,
        leaving: false,
    }
}

impl Shard {
    fn new(minimum: u32, free: &[&str], reserve: &[&str]) -> Self {
        let mut table = Table::default();
        set_rows(
            &mut table,
            vec![group(3, minimum, 0), version("v1", 1.0, 2)],
        );
        let mut shard = Self {
            fleet: Fleet::default(),
            view: View {
                table,
                log_up: true,
                ..View::default()
            },
        };
        shard.fold(FleetChange::Lease {
            holder: "entry-0".into(),
            run: Incarnation(1),
            supersedes: None,
            length_ms: 3_000,
        });
        for (i, pair) in [["a0", "a1"], ["b0", "b1"], ["c0", "c1"]]
            .iter()
            .enumerate()
        {
            let base = shard.fleet.planned;
            shard.fold(FleetChange::Assign {
                fence: FENCE,
                base,
                form: 1,
                group: "listwriter".into(),
                version: "v1".into(),
                span: 2,
                vms: pair.iter().map(VmId::new).collect(),
                reserve: reserve.iter().filter(|_| i == 0).map(VmId::new).collect(),
            });
            for (rank, vm) in pair.iter().enumerate() {
                shard.hold(vm, i as u64 + 2, rank as u32);
            }
        }
        for vm in free.iter().chain(reserve) {
            shard.set(vm, Health::Live, None);
        }
        shard
    }

    fn fold(&mut self, change: FleetChange) {
        let offset = self.fleet.next;
        let nonce = Nonce(offset.0);
        let folded = self.fleet.fold(offset, &FleetRecord { nonce, change });
        folded.expect("a valid record");
    }

    fn hold(&mut self, vm: &str, replica: u64, rank: u32) {
        let held = HeldReplica {
            replica: ReplicaId {
                shard: domain(),
                seq: ReplicaSeq(replica),
            },
            fence: FENCE,
            form: Form {
                fence: FENCE,
                seq: 1,
            },
            version: "v1".into(),
            rank,
            ready: true,
        };
        self.set(vm, Health::Live, Some(held));
    }

    fn set(&mut self, vm: &str, health: Health, held: Option<HeldReplica>) {
        let status = VmStatus {
            listing: listing(vm),
            health,
            run: Incarnation(1),
            held,
            load: Default::default(),
            silent_ms: 0,
        };
        self.view.vms.insert(vm.into(), status);
    }

    fn health(&mut self, vm: &str, health: Health) {
        self.view.vms.get_mut(vm).expect("a listed VM").health = health;
    }

    fn drain(&mut self, replica: u64) {
        let base = self.fleet.planned;
        self.fold(FleetChange::Drain {
            fence: FENCE,
            base,
            replica: ReplicaSeq(replica),
        });
    }

    fn plan(&self) -> Plan {
        let view = View {
            fleets: BTreeMap::from([(domain(), self.fleet.clone())]),
            ..self.view.clone()
        };
        let context = PlanContext {
            view: &view,
            shard: &domain(),
            fleet: &self.fleet,
            fence: FENCE,
            seq: 9,
            rules: rules(),
            drained: &BTreeSet::new(),
            pending_load_vms: &BTreeSet::new(),
            local_formations: &BTreeMap::new(),
            list_trusted: view.vms.len() > 3,
            plan_inputs: &PlanInputs::new(&view),
        };
        context.plan()
    }

    /// Returns a description of the plan's change and of the VMs that get orders.
    fn summary(&self) -> String {
        let plan = self.plan();
        let change = match &plan.change {
            None => "nothing".to_owned(),
            Some(FleetChange::Replace {
                replica, rank, vm, ..
            }) => {
                format!("replace {replica} rank {rank} by {vm}")
            }
            Some(FleetChange::Drain { replica, .. }) => format!("drain {replica}"),
            Some(FleetChange::Free { replica, held, .. }) => {
                let held: Vec<&str> = held.iter().map(VmId::as_str).collect();
                format!("free {replica} holding [{}]", held.join(" "))
            }
            Some(FleetChange::FreeVm { vm, .. }) => format!("free {vm}"),
            Some(FleetChange::Assign { version, vms, .. }) => {
                let vms: Vec<&str> = vms.iter().map(VmId::as_str).collect();
                format!("assign {version} [{}]", vms.join(" "))
            }
            Some(FleetChange::Reserve {
                replica, vm, add, ..
            }) => {
                format!("reserve {vm} of {replica}: {add}")
            }
            Some(FleetChange::Lease { .. }) => "lease".to_owned(),
        };
        let ordered: Vec<&str> = plan.orders.iter().map(|w| w.vm.as_str()).collect();
        format!("{change}; orders [{}]", ordered.join(" "))
    }
}

#[test]
fn plan_fits_each_state_of_the_vms() {
    let mut cases: Vec<(&str, String)> = Vec::new();
    let mut case = |name, shard: &Shard| cases.push((name, shard.summary()));
    case("all serve", &Shard::new(1, &["f0"], &[]));

    let mut s = Shard::new(1, &["f0"], &["r0"]);
    s.health("a1", Health::Lost);
    case("lost with reserve", &s);
    s.health("r0", Health::Lost);
    case("lost with a free VM", &s);
    s.health("f0", Health::Probation);
    case("lost with nothing left", &s);
    s.health("b0", Health::Lost);
    case("two broken", &s);

    let mut s = Shard::new(1, &[], &[]);
    s.health("a1", Health::Suspect);
    case("suspect", &s);

    let mut s = Shard::new(1, &[], &[]);
    s.drain(2);
    case("draining, requests still run", &s);
    s.set("a0", Health::Unknown, None);
    s.set("a1", Health::Live, None);
    case("draining, one not probed yet", &s);
    s.health("a0", Health::Lost);
    case("draining, one lost", &s);
    s.set("a0", Health::Live, None);
    case("draining, both confirmed", &s);

    let mut s = Shard::new(1, &[], &[]);
    s.view.vms.retain(|vm, _| vm.as_str() == "a0");
    case("the list leaves out most", &s);

    let mut s = Shard::new(1, &[], &[]);
    s.hold("f0", 2, 1);
    case("a VM holds a rank that it does not have", &s);

    for (minimum, name) in [(1, "new version"), (3, "new version at the minimum")] {
        let mut s = Shard::new(minimum, &[], &[]);
        let rows = vec![version("v1", 0.0, 2), version("v2", 1.0, 2)];
        set_rows(&mut s.view.table, rows);
        case(name, &s);
        s.set("f0", Health::Live, None);
        s.set("f1", Health::Live, None);
        case("the same with free VMs", &s);
    }

    let mut s = Shard::new(1, &["f0"], &["r0"]);
    set_rows(&mut s.view.table, vec![group(4, 1, 0)]);
    case("one more wanted, a reserve VM is needed", &s);
    let mut s = Shard::new(1, &["f0"], &[]);
    set_rows(&mut s.view.table, vec![group(3, 1, 1)]);
    case("reserve wanted", &s);

    let mut s = Shard::new(3, &[], &[]);
    s.health("c1", Health::Leaving);
    case("leaving", &s);
    let text: Vec<String> = cases.iter().map(|(n, s)| format!("{n}: {s}")).collect();
    insta::assert_snapshot!(text.join("\n"), @r"
    all serve: nothing; orders []
    lost with reserve: replace 2 rank 1 by r0; orders []
    lost with a free VM: replace 2 rank 1 by f0; orders []
    lost with nothing left: nothing; orders []
    two broken: drain 3; orders []
    suspect: nothing; orders []
    draining, requests still run: nothing; orders []
    draining, one not probed yet: nothing; orders []
    draining, one lost: free 2 holding [a0]; orders []
    draining, both confirmed: free 2 holding []; orders []
    the list leaves out most: nothing; orders []
    a VM holds a rank that it does not have: nothing; orders [f0]
    new version: drain 4; orders []
    the same with free VMs: assign v2 [f0 f1]; orders []
    new version at the minimum: nothing; orders []
    the same with free VMs: assign v2 [f0 f1]; orders []
    one more wanted, a reserve VM is needed: reserve r0 of 2: false; orders []
    reserve wanted: reserve f0 of 2: true; orders []
    leaving: drain 4; orders []
    ");
}

/// Returns the value of the best packing, by an exhaustive search.
fn exhaustive(vms: u32, missing: &[MissingReplicas]) -> f64 {
    let Some((need, rest)) = missing.split_first() else {
        return 0.0;
    };
    let most = need.count.min(vms / need.span);
    let value = |n: u32| f64::from(n) * need.value + exhaustive(vms - n * need.span, rest);
    (0..=most).map(value).fold(0.0, f64::max)
}

/// The packing of a failure domain has the maximum value, for all small sizes.
#[test]
fn packing_is_optimal() {
    let spans = [[1, 2, 4], [2, 3, 5], [4, 6, 16], [3, 3, 7]];
    let values = [[1.0, 2.0, 4.0], [3.0, 3.5, 6.0], [7.0, 1.0, 2.0]];
    for (vms, span) in (0..30).flat_map(|v| spans.iter().map(move |s| (v, s))) {
        for (value, count) in values.iter().flat_map(|v| (0..5).map(move |c| (v, c))) {
            let missing_kind = |i: usize| MissingReplicas {
                span: span[i],
                count,
                value: value[i],
            };
            let missing = [missing_kind(0), missing_kind(1), missing_kind(2)];
            let counts = placement::pack(vms, &missing);
            let used: u32 = counts.iter().zip(&missing).map(|(n, w)| n * w.span).sum();
            let got: f64 = counts
                .iter()
                .zip(&missing)
                .map(|(n, w)| f64::from(*n) * w.value)
                .sum();
            assert!(used <= vms && counts.iter().all(|n| *n <= count));
            let best = exhaustive(vms, &missing);
            assert!(
                (got - best).abs() < 1e-9,
                "{vms} VMs, {missing:?}: {got} of {best}"
            );
        }
    }
}

/// The replicas of a shard without VMs go to the others, and no shard gets more than its VMs can
/// form.
#[test]
fn wanted_replicas_are_split_by_capacity() {
    let mut table = Table::default();
    set_rows(&mut table, vec![group(12, 1, 0), version("v1", 1.0, 4)]);
    let cases: [([u32; 3], [u32; 3]); 4] = [
        ([20, 20, 20], [4, 4, 4]),
        ([20, 20, 0], [5, 5, 0]),
        ([30, 30, 0], [6, 6, 0]),
        ([3, 40, 20], [0, 9, 3]),
    ];
    for (vms, counts) in cases {
        let names = ["a", "b", "c"].map(DomainId::new);
        let capacities: BTreeMap<DomainId, u32> = names.iter().cloned().zip(vms).collect();
        let split = placement::split_by_capacity(&placement::totals(&table), &capacities);
        let count = |d: &DomainId| split[d][0].count;
        let got: Vec<u32> = names.iter().map(count).collect();
        assert_eq!(got, counts, "{vms:?}");
    }
}

/// A change that was made before another change was accepted is ignored.
#[test]
fn change_from_an_outdated_state_is_refused() {
    let mut s = Shard::new(1, &[], &[]);
    let old = s.fleet.planned;
    s.drain(2);
    let change = FleetChange::Drain {
        fence: FENCE,
        base: old,
        replica: ReplicaSeq(3),
    };
    let offset = Offset(s.fleet.next.0);
    let nonce = Nonce(0);
    assert!(
        s.fleet
            .fold(offset, &FleetRecord { nonce, change })
            .is_err()
    );
    assert!(!s.fleet.replicas[&ReplicaSeq(3)].draining);
}

/// A replica serves only if all its VMs report the newest formation that any of them reports.
#[test]
fn replica_with_mixed_formations_does_not_serve() {
    let mut s = Shard::new(1, &[], &["r0"]);
    let id = ReplicaId {
        shard: domain(),
        seq: ReplicaSeq(2),
    };
    let assignment = s.fleet.replicas[&ReplicaSeq(2)].clone();
    let ranks = |s: &Shard| {
        let vms = s.view.vms_by_rank(&id, &assignment)?;
        Some(
            vms.iter()
                .map(|vm| vm.as_str())
                .collect::<Vec<_>>()
                .join(" "),
        )
    };
    assert_eq!(ranks(&s).as_deref(), Some("a0 a1"));
    let join_new_formation = |s: &mut Shard, vm: &str, rank| {
        s.hold(vm, 2, rank);
        let held = s.view.vms.get_mut(vm).and_then(|v| v.held.as_mut());
        held.expect("it holds a part").form.seq = 2;
    };
    join_new_formation(&mut s, "r0", 1);
    assert_eq!(ranks(&s), None, "rank 0 is still in the old formation");
    join_new_formation(&mut s, "a0", 0);
    assert_eq!(ranks(&s).as_deref(), Some("a0 r0"));
    s.health("r0", Health::Suspect);
    assert_eq!(ranks(&s), None, "the old rank 1 does not take over");
}
