//! Contract of the engines' orders and state, of the list of VMs and of the weight store.

use std::time::Duration;

use hemlock_lib::engine::{Action, EngineState, HeldReplica, Order, OrderReply};
use hemlock_lib::fleet::Form;
use hemlock_lib::ids::{Fence, Incarnation, OrderId, ReplicaId, ReplicaSeq, VmId};
use hemlock_lib::platform::VmListing;
use hemlock_testutils::engine::EngineConfig;
use hemlock_testutils::platform::{Platform, VmSpec};
use hemlock_wire::{clock, http_client};

const WAIT: Duration = Duration::from_secs(2);
const DEADLINE_MS: u64 = 60_000;

fn platform(check_fencing_tokens: bool) -> Platform {
    let spec = |vm: &str| VmSpec {
        vm: vm.into(),
        domain: "riverside".into(),
        service: None,
    };
    let engine_config = EngineConfig {
        load_time: Duration::ZERO,
        max_concurrent_loads: 1,
        check_fencing_tokens,
        ..EngineConfig::default()
    };
    Platform::spawn("127.0.0.1:0", &[spec("x"), spec("y")], engine_config).expect("a free port")
}

/// What an order differs in from the usual one.
#[derive(Debug, Clone, Copy)]
struct Case {
    replica: u64,
    fence: u64,
    seq: u64,
    late: bool,
    load: bool,
}

const USUAL: Case = Case {
    replica: 1,
    fence: 5,
    seq: 10,
    late: false,
    load: true,
};

fn order(case: Case) -> Order {
    let now = clock::now().as_millis();
    let fence = Fence(case.fence);
    Order {
        order: OrderId(case.seq),
        replica: ReplicaId {
            shard: "riverside".into(),
            seq: ReplicaSeq(case.replica),
        },
        fence,
        form: Form { fence, seq: 1 },
        seq: case.seq,
        deadline_ms: if case.late {
            now - 1
        } else {
            now + DEADLINE_MS
        },
        action: if case.load {
            Action::Load {
                version: "v1".into(),
                rank: 0,
                vms: vec!["x".into()],
                slots: 1,
            }
        } else {
            Action::Unload
        },
    }
}

fn give(platform: &Platform, case: Case) -> Option<OrderReply> {
    let url = format!("{}/x/v1/orders", platform.vms_url().replace("/vms", "/vm"));
    let body = serde_json::to_vec(&order(case)).expect("an encodable order");
    let reply = http_client::block_on_new_thread("order", async move || {
        http_client::post(&url, body, WAIT).await
    });
    serde_json::from_slice(&reply.ok()?).ok()
}

fn read<T: serde::de::DeserializeOwned>(url: String) -> Option<T> {
    let reply =
        http_client::block_on_new_thread("read", async move || http_client::get(&url, WAIT).await);
    serde_json::from_slice(&reply.ok()?).ok()
}

fn state(platform: &Platform) -> Option<EngineState> {
    read(format!(
        "{}/x/v1/state",
        platform.vms_url().replace("/vms", "/vm")
    ))
}

fn held(platform: &Platform) -> Option<HeldReplica> {
    state(platform).and_then(|s| s.held)
}

/// After the usual order, each other one is taken or refused, and leaves the VM with a replica.
#[test]
fn orders_are_taken_or_refused() {
    let cases = [
        ("repeated", USUAL, true, true, Some(1)),
        (
            "older sequence number",
            Case {
                seq: 9,
                replica: 2,
                ..USUAL
            },
            false,
            true,
            Some(1),
        ),
        (
            "older fence",
            Case {
                fence: 4,
                seq: 99,
                replica: 2,
                ..USUAL
            },
            false,
            true,
            Some(1),
        ),
        (
            "newer fence",
            Case {
                fence: 6,
                seq: 1,
                replica: 2,
                ..USUAL
            },
            true,
            true,
            Some(2),
        ),
        (
            "late",
            Case {
                late: true,
                seq: 11,
                replica: 2,
                ..USUAL
            },
            false,
            false,
            Some(1),
        ),
        (
            "unload",
            Case {
                load: false,
                seq: 11,
                ..USUAL
            },
            true,
            true,
            None,
        ),
        (
            "unload of another replica",
            Case {
                load: false,
                seq: 11,
                replica: 2,
                ..USUAL
            },
            true,
            true,
            Some(1),
        ),
    ];
    for fenced in [true, false] {
        for (name, case, taken_fenced, taken_unfenced, replica) in cases {
            let platform = platform(fenced);
            assert!(
                matches!(give(&platform, USUAL), Some(OrderReply::Taken(_))),
                "{name}"
            );
            let taken = if fenced { taken_fenced } else { taken_unfenced };
            let reply = give(&platform, case).expect("a reply");
            assert_eq!(
                matches!(reply, OrderReply::Taken(_)),
                taken,
                "{name}, fenced {fenced}"
            );
            let replica = if fenced || !case.load || case.late {
                replica
            } else {
                Some(case.replica)
            };
            let holds = held(&platform).map(|h| h.replica.seq.0);
            assert_eq!(holds, replica, "{name}, fenced {fenced}");
            platform.stop();
        }
    }
}

/// State is read back as ordered, a lost VM answers nothing, and a new run holds nothing.
#[test]
fn state_follows_orders_and_runs() {
    let platform = platform(true);
    assert_eq!(held(&platform), None);
    give(&platform, USUAL);
    let holds = held(&platform).expect("it was told to load");
    let fence = Fence(5);
    assert_eq!(
        (holds.fence, holds.form, holds.rank),
        (fence, Form { fence, seq: 1 }, 0)
    );
    platform.engines.kill(&VmId::new("x"));
    assert!(state(&platform).is_none() && give(&platform, USUAL).is_none());
    platform.engines.revive(&VmId::new("x"));
    let state = state(&platform).expect("it answers again");
    assert_eq!((state.run, state.held), (Incarnation(2), None));
    platform.stop();
}

/// The list names each VM with its address, and leaves out one that was removed.
#[test]
fn the_list_names_vms() {
    let platform = platform(true);
    let names =
        |list: Vec<VmListing>| -> Vec<String> { list.iter().map(|l| l.vm.to_string()).collect() };
    assert_eq!(names(read(platform.vms_url()).expect("a list")), ["x", "y"]);
    platform.unlist(&VmId::new("x"));
    assert_eq!(names(read(platform.vms_url()).expect("a list")), ["y"]);
    platform.stop();
}
