use std::time::Duration;

use hemlock_lib::node::load_totals::LoadTotals;
use hemlock_lib::node::peers::EndpointLoad;
use hemlock_lib::time::Time;

fn at(ms: u64) -> Time {
    Time::from_millis(10_000 + ms)
}

fn load(endpoint: &str, requests: u16, since_progress_ms: u16) -> EndpointLoad {
    EndpointLoad {
        endpoint: endpoint.to_owned(),
        requests,
        pending_prompt_tokens: u32::from(requests) * 100,
        since_progress_ms,
    }
}

fn requests(loads: &[EndpointLoad], endpoint: &str) -> u16 {
    let found = loads.iter().find(|p| p.endpoint == endpoint);
    found.map_or(0, |p| p.requests)
}

#[test]
fn each_vm_gets_the_load_of_all_others() {
    let mut totals = LoadTotals::default();
    totals.set_vm_load(at(0), "b".to_owned(), vec![load("g0", 3, 20)]);
    totals.set_vm_load(
        at(0),
        "c".to_owned(),
        vec![load("g0", 4, 50), load("g1", 1, 0)],
    );
    totals.set_zone_load(at(0), "z2".to_owned(), vec![load("g0", 10, 5)]);
    let own = [load("g1", 7, 0)];
    assert_eq!(requests(&totals.zone_total(at(50), &own), "g0"), 7);
    assert_eq!(requests(&totals.zone_total(at(50), &own), "g1"), 8);
    let without_b = totals.total_except(at(50), Some("b"), &own);
    assert_eq!(requests(&without_b, "g0"), 14);
    assert_eq!(requests(&without_b, "g1"), 8);
    let without_own = totals.total_except(at(50), None, &own);
    assert_eq!(requests(&without_own, "g0"), 17);
    assert_eq!(requests(&without_own, "g1"), 1);
}

#[test]
fn the_latest_progress_seen_by_any_vm_counts() {
    let mut totals = LoadTotals::default();
    totals.set_vm_load(at(0), "b".to_owned(), vec![load("g0", 1, 300)]);
    totals.set_vm_load(at(40), "c".to_owned(), vec![load("g0", 1, 10)]);
    assert_eq!(
        totals.total_except(at(60), None, &[])[0].since_progress_ms,
        30
    );
}

#[test]
fn old_loads_no_longer_count() {
    let mut totals = LoadTotals::default();
    totals.set_vm_load(at(0), "b".to_owned(), vec![load("g0", 3, 0)]);
    totals.set_zone_load(at(0), "z2".to_owned(), vec![load("g0", 5, 0)]);
    totals.set_vm_load(at(300), "c".to_owned(), vec![load("g0", 1, 0)]);
    assert_eq!(totals.reporters(at(300)), ["b", "c"]);
    assert_eq!(
        totals.reporters(at(300) + Duration::from_millis(200)),
        ["c"]
    );
    assert_eq!(requests(&totals.total_except(at(500), None, &[]), "g0"), 1);
}
