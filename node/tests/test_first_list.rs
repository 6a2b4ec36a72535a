//! Daemons between their start and their first list of endpoints.

use hemlock_platform_standin::endpoint::Endpoint;
use hemlock_platform_standin::store::{Mode, Store};

use crate::node_process::{NodeProcess, config};

#[test]
fn vm_that_has_a_configuration_and_no_list_does_not_refuse_as_if_nobody_served() {
    let store = Store::spawn();
    let _endpoint = Endpoint::spawn(&store, "p1", "plain", None);
    store.set_mode(Mode::HideEndpoints);
    let node = NodeProcess::spawn(store.clone(), "entry-1");
    node.configure(&config(1));
    node.wait_until("the configuration is in force", |n| {
        !n.log_lines("event=config version=1 ").is_empty()
    });
    let response = node.send("GET", "/plain/a", "r1", "", "");
    assert_eq!((response.status, response.complete), (503, true));
    assert_eq!(node.ready_status(), 503);
    node.wait_until("the refusal is logged", |n| {
        !n.log_lines("event=refused request=r1 cause=no_list")
            .is_empty()
    });
    assert_eq!(node.send("GET", "/none/a", "r2", "", "").status, 404);
}
