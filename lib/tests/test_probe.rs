//! Health of endpoint VMs from probes, reports and the platform's list.

use std::time::Duration;

use hemlock_lib::chart::Charts;
use hemlock_lib::engine::{EngineState, Load};
use hemlock_lib::ids::{Incarnation, VmId};
use hemlock_lib::peers::VmReport;
use hemlock_lib::platform::{VmListing, VmRole};
use hemlock_lib::probe::{ProbeConfig, Prober};
use hemlock_lib::time::Time;
use hemlock_lib::view::Health;

fn at(ms: u64) -> Time {
    Time::from_millis(1_000_000 + ms)
}

fn listing(vm: &str, domain: &str) -> VmListing {
    VmListing {
        vm: vm.into(),
        address: String::new(),
        domain: domain.into(),
        role: VmRole::Engine,
        leaving: false,
    }
}

fn list(vms: &[&str]) -> Vec<VmListing> {
    vms.iter().map(|vm| listing(vm, "riverside")).collect()
}

fn prober(vms: &[&str]) -> Prober {
    let charts = Charts::built_in().expect("the built-in charts are valid");
    let config = ProbeConfig {
        interval: Duration::from_millis(300),
        lost_after: Duration::from_millis(2_000),
    };
    let mut prober = Prober::new(config, charts.vm);
    prober.update_list(at(0), &list(vms));
    prober
}

fn report(vm: &str, run: Option<u64>, age_ms: u64) -> VmReport {
    let state = run.map(|run| EngineState {
        vm: vm.into(),
        run: Incarnation(run),
        held: None,
        load: Load::default(),
    });
    VmReport {
        vm: vm.into(),
        answered: run.is_some(),
        state,
        age_ms,
    }
}

fn health(prober: &Prober, ms: u64, vm: &str) -> Option<Health> {
    let vm = VmId::new(vm);
    prober.statuses(at(ms)).get(&vm).map(|s| s.health)
}

fn run_of(prober: &Prober, vm: &str) -> Incarnation {
    prober.statuses(at(0))[&VmId::new(vm)].run
}

#[test]
fn one_missed_probe_makes_a_vm_suspect_at_once() {
    let mut p = prober(&["x"]);
    p.apply_report(at(10), &report("x", Some(1), 0));
    assert_eq!(health(&p, 10, "x"), Some(Health::Live));
    assert!(p.apply_report(at(20), &report("x", None, 0)));
    assert_eq!(health(&p, 20, "x"), Some(Health::Suspect));
    p.apply_report(at(30), &report("x", Some(1), 0));
    assert_eq!(health(&p, 30, "x"), Some(Health::Live));
}

#[test]
fn reports_that_are_older_or_of_an_earlier_incarnation_are_ignored() {
    let mut p = prober(&["x"]);
    p.apply_report(at(100), &report("x", Some(2), 0));
    assert!(!p.apply_report(at(110), &report("x", None, 50)), "older");
    assert!(
        !p.apply_report(at(120), &report("x", Some(1), 0)),
        "an earlier run"
    );
    assert_eq!(health(&p, 120, "x"), Some(Health::Live));
    assert_eq!(run_of(&p, "x"), Incarnation(2));
}

/// The answer to a slow probe counts as of the time at which the probe was sent.
#[test]
fn probe_result_counts_from_the_time_of_sending() {
    let mut p = prober(&["x"]);
    assert_eq!(p.start_due(at(100), |_| true).len(), 1);
    p.apply_report(at(500), &report("x", Some(2), 0));
    assert!(!p.record_probe(at(900), &report("x", Some(2), 0)));
    let silent = p.statuses(at(900))[&VmId::new("x")].silent_ms;
    assert_eq!(silent, 400);
}

#[test]
fn silent_leaving_vm_becomes_and_stays_lost() {
    let mut p = prober(&["x"]);
    p.apply_report(at(10), &report("x", Some(1), 0));
    let mut leaving = list(&["x"]);
    leaving[0].leaving = true;
    p.update_list(at(20), &leaving);
    assert_eq!(health(&p, 20, "x"), Some(Health::Leaving));
    p.apply_report(at(30), &report("x", None, 0));
    p.update_list(at(40), &leaving);
    assert_eq!(health(&p, 40, "x"), Some(Health::Lost));
}

/// From the third return on a VM is put on probation, each time for twice as long as before.
#[test]
fn probation_of_a_flapping_vm_doubles_each_time() {
    let mut p = prober(&["x"]);
    let mut ms = 10;
    let mut delays = Vec::new();
    for _ in 0..5 {
        p.apply_report(at(ms), &report("x", Some(1), 0));
        ms += 2_100;
        p.expire(at(ms));
        assert_eq!(health(&p, ms, "x"), Some(Health::Lost));
        p.apply_report(at(ms), &report("x", Some(1), 0));
        let start = ms;
        while health(&p, ms, "x") == Some(Health::Probation) {
            ms += 1_000;
            p.apply_report(at(ms), &report("x", Some(1), 0));
            p.expire(at(ms));
        }
        delays.push((ms - start) / 1_000);
        ms += 100;
    }
    assert_eq!(delays, [0, 0, 30, 60, 120]);
}

#[test]
fn vm_missing_from_the_list_is_kept_while_it_answers() {
    let mut p = prober(&["x", "y", "z"]);
    let answer = |p: &mut Prober, ms| {
        for vm in ["x", "y", "z"] {
            p.apply_report(at(ms), &report(vm, Some(1), 0));
        }
        p.expire(at(ms));
    };
    answer(&mut p, 10);
    p.update_list(at(20), &list(&["x"]));
    answer(&mut p, 11_000);
    assert_eq!(
        health(&p, 11_000, "y"),
        Some(Health::Live),
        "most are left out"
    );
    p.update_list(at(11_100), &list(&["x", "y"]));
    answer(&mut p, 20_000);
    assert_eq!(
        health(&p, 20_000, "z"),
        Some(Health::Leaving),
        "one is left out"
    );
    p.update_list(at(20_100), &list(&["x", "y", "z"]));
    assert_eq!(health(&p, 20_100, "z"), Some(Health::Live), "listed again");
    p.update_list(at(20_200), &list(&["x", "y"]));
    p.expire(at(31_000));
    assert_eq!(health(&p, 31_000, "z"), None, "left out and silent");
}

#[test]
fn vm_stays_in_the_failure_domain_seen_first() {
    let mut p = prober(&["x"]);
    let both = [
        listing("x", "pinehill"),
        listing("y", "pinehill"),
        listing("y", "riverside"),
    ];
    p.update_list(at(10), &both);
    let statuses = p.statuses(at(10));
    assert_eq!(
        statuses[&VmId::new("x")].listing.domain.as_str(),
        "riverside"
    );
    assert!(
        !statuses.contains_key(&VmId::new("y")),
        "two domains at once"
    );
}
