use std::time::Duration;

use hemlock_lib::node::load_totals::LoadTotals;
use hemlock_lib::node::peers::EndpointLoad;
use hemlock_lib::time::Time;

fn at(ms: u64) -> Time {
    Time::from_millis(10_000 + ms)
}

fn placed(endpoint: &str, requests: u16, since_progress_ms: u16) -> EndpointLoad {
    EndpointLoad {
        endpoint: endpoint.to_owned(),
        requests,
        pending_prompt_tokens: u32::from(requests) * 100,
        since_progress_ms,
    }
}

fn requests(placed: &[EndpointLoad], endpoint: &str) -> u16 {
    let found = placed.iter().find(|p| p.endpoint == endpoint);
    found.map_or(0, |p| p.requests)
}

#[test]
fn each_vm_hears_what_all_others_have_placed() {
    let mut tally = LoadTotals::default();
    tally.set_vm_load(at(0), "b".to_owned(), vec![placed("g0", 3, 20)]);
    tally.set_vm_load(
        at(0),
        "c".to_owned(),
        vec![placed("g0", 4, 50), placed("g1", 1, 0)],
    );
    tally.set_zone_load(at(0), "z2".to_owned(), vec![placed("g0", 10, 5)]);
    let own = [placed("g1", 7, 0)];
    assert_eq!(requests(&tally.zone_total(at(50), &own), "g0"), 7);
    assert_eq!(requests(&tally.zone_total(at(50), &own), "g1"), 8);
    let of_b = tally.total_except(at(50), Some("b"), &own);
    assert_eq!(requests(&of_b, "g0"), 14);
    assert_eq!(requests(&of_b, "g1"), 8);
    let own_view = tally.total_except(at(50), None, &own);
    assert_eq!(requests(&own_view, "g0"), 17);
    assert_eq!(requests(&own_view, "g1"), 1);
}

#[test]
fn the_last_answer_of_any_vm_counts() {
    let mut tally = LoadTotals::default();
    tally.set_vm_load(at(0), "b".to_owned(), vec![placed("g0", 1, 300)]);
    tally.set_vm_load(at(40), "c".to_owned(), vec![placed("g0", 1, 10)]);
    assert_eq!(
        tally.total_except(at(60), None, &[])[0].since_progress_ms,
        30
    );
}

#[test]
fn what_is_old_no_longer_counts() {
    let mut tally = LoadTotals::default();
    tally.set_vm_load(at(0), "b".to_owned(), vec![placed("g0", 3, 0)]);
    tally.set_zone_load(at(0), "z2".to_owned(), vec![placed("g0", 5, 0)]);
    tally.set_vm_load(at(300), "c".to_owned(), vec![placed("g0", 1, 0)]);
    assert_eq!(tally.reporters(at(300)), ["b", "c"]);
    assert_eq!(tally.reporters(at(300) + Duration::from_millis(200)), ["c"]);
    assert_eq!(requests(&tally.total_except(at(500), None, &[]), "g0"), 1);
}
