//! The engine stubs' handling of orders and state, and the platform stub's list of VMs.

use std::time::Duration;

use hemlock_lib::engine::{Action, EngineState, HeldReplica, Order, OrderReply};
use hemlock_lib::fleet::Form;
use hemlock_lib::ids::{Fence, Incarnation, OrderId, ReplicaId, ReplicaSeq, VmId};
use hemlock_lib::platform::VmListing;
use hemlock_testutils::engine::EngineConfig;
use hemlock_testutils::platform::{Platform, VmSpec};
use hemlock_wire::{clock, http_client};

const HTTP_TIMEOUT: Duration = Duration::from_secs(2);
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
    Platform::spawn("127.0.0.1:0", &[spec("x"), spec("y")], engine_config)
        .expect("the platform stub binds a free port")
}

/// Properties in which the orders of the cases differ from each other.
#[derive(Debug, Clone, Copy)]
struct OrderCase {
    replica: u64,
    fence: u64,
    seq: u64,
    late: bool,
    load: bool,
}

const DEFAULT_ORDER: OrderCase = OrderCase {
    replica: 1,
    fence: 5,
    seq: 10,
    late: false,
    load: true,
};

fn order(case: OrderCase) -> Order {
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

fn send_order(platform: &Platform, case: OrderCase) -> Option<OrderReply> {
    let url = format!("{}/x/v1/orders", platform.vms_url().replace("/vms", "/vm"));
    let body = serde_json::to_vec(&order(case)).expect("orders are encodable");
    let reply = http_client::block_on_new_thread("order", async move || {
        http_client::post(&url, body, HTTP_TIMEOUT).await
    });
    serde_json::from_slice(&reply.ok()?).ok()
}

fn get_json<T: serde::de::DeserializeOwned>(url: String) -> Option<T> {
    let reply = http_client::block_on_new_thread("read", async move || {
        http_client::get(&url, HTTP_TIMEOUT).await
    });
    serde_json::from_slice(&reply.ok()?).ok()
}

fn state(platform: &Platform) -> Option<EngineState> {
    get_json(format!(
        "{}/x/v1/state",
        platform.vms_url().replace("/vms", "/vm")
    ))
}

fn held(platform: &Platform) -> Option<HeldReplica> {
    state(platform).and_then(|s| s.held)
}

/// Late and stale orders must be refused, or an engine would drop a newer assignment. Without checks
/// of fencing tokens, only late orders are refused. Each case follows the default order.
#[test]
fn late_and_stale_orders_are_refused() {
    let cases = [
        ("repeated", DEFAULT_ORDER, true, true, Some(1)),
        (
            "older sequence number",
            OrderCase {
                seq: 9,
                replica: 2,
                ..DEFAULT_ORDER
            },
            false,
            true,
            Some(1),
        ),
        (
            "older fence",
            OrderCase {
                fence: 4,
                seq: 99,
                replica: 2,
                ..DEFAULT_ORDER
            },
            false,
            true,
            Some(1),
        ),
        (
            "newer fence",
            OrderCase {
                fence: 6,
                seq: 1,
                replica: 2,
                ..DEFAULT_ORDER
            },
            true,
            true,
            Some(2),
        ),
        (
            "late",
            OrderCase {
                late: true,
                seq: 11,
                replica: 2,
                ..DEFAULT_ORDER
            },
            false,
            false,
            Some(1),
        ),
        (
            "unload",
            OrderCase {
                load: false,
                seq: 11,
                ..DEFAULT_ORDER
            },
            true,
            true,
            None,
        ),
        (
            "unload of another replica",
            OrderCase {
                load: false,
                seq: 11,
                replica: 2,
                ..DEFAULT_ORDER
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
                matches!(
                    send_order(&platform, DEFAULT_ORDER),
                    Some(OrderReply::Taken(_))
                ),
                "{name}"
            );
            let taken = if fenced { taken_fenced } else { taken_unfenced };
            let reply = send_order(&platform, case).expect("the engine replies");
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
            let held_replica = held(&platform).map(|h| h.replica.seq.0);
            assert_eq!(held_replica, replica, "{name}, fenced {fenced}");
            platform.stop();
        }
    }
}

/// An engine's state must show what was loaded. A VM that is down must not respond, and after its
/// return it must report a new run without a model.
#[test]
fn state_shows_loaded_replica_and_run() {
    let platform = platform(true);
    assert_eq!(held(&platform), None);
    send_order(&platform, DEFAULT_ORDER);
    let held_replica = held(&platform).expect("the engine accepted an order to load");
    let fence = Fence(5);
    assert_eq!(
        (held_replica.fence, held_replica.form, held_replica.rank),
        (fence, Form { fence, seq: 1 }, 0)
    );
    platform.engines.kill(&VmId::new("x"));
    assert!(state(&platform).is_none() && send_order(&platform, DEFAULT_ORDER).is_none());
    platform.engines.revive(&VmId::new("x"));
    let state = state(&platform).expect("the VM is back up");
    assert_eq!((state.run, state.held), (Incarnation(2), None));
    platform.stop();
}

/// The list of VMs must contain every VM except removed ones.
#[test]
fn list_omits_removed_vms() {
    let platform = platform(true);
    let names =
        |list: Vec<VmListing>| -> Vec<String> { list.iter().map(|l| l.vm.to_string()).collect() };
    assert_eq!(
        names(get_json(platform.vms_url()).expect("the platform stub serves the list")),
        ["x", "y"]
    );
    platform.remove_from_list(&VmId::new("x"));
    assert_eq!(
        names(get_json(platform.vms_url()).expect("the platform stub serves the list")),
        ["y"]
    );
    platform.stop();
}
