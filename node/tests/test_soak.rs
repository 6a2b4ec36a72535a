use std::path::PathBuf;
use std::time::Duration;

use hemlock_soak::{FaultSet, Soak};

/// Short runs with a fixed seed; longer ones are started by hand with `hemlock-soak`.
fn check_short_run(fault_set: FaultSet) {
    check_run(fault_set, 4, Duration::from_secs(6));
}

fn check_run(fault_set: FaultSet, callers: usize, fault_period: Duration) {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let soak = Soak {
        program: PathBuf::from(env!("CARGO_BIN_EXE_hemlock-node")),
        older: None,
        nodes: 3,
        callers,
        fault_period,
        seed: 1,
        fault_set,
        dir: dir.path().to_owned(),
    };
    let outcome = soak.run().expect("the soak run starts");
    assert!(outcome.broken.is_empty(), "{outcome:#?}");
    assert!(outcome.served > 0, "{outcome:#?}");
}

#[test]
fn short_soak_run_keeps_all_guarantees() {
    check_short_run(FaultSet::All);
}

#[test]
fn short_soak_run_with_limits_and_callers_that_leave_keeps_all_guarantees() {
    check_short_run(FaultSet::Limits);
}

#[test]
fn short_soak_run_with_cut_vms_keeps_all_guarantees() {
    check_short_run(FaultSet::Cuts);
}

#[test]
fn short_soak_run_with_sound_endpoints_that_pause_loses_no_answer() {
    check_run(FaultSet::Pauses, 10, Duration::from_secs(8));
}

#[test]
fn short_soak_run_with_cold_endpoints_keeps_all_guarantees() {
    check_short_run(FaultSet::WarmUps);
}

#[test]
fn short_soak_run_with_evacuated_zones_keeps_all_guarantees() {
    check_run(FaultSet::Evacuations, 4, Duration::from_secs(12));
}
