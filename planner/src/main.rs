//! `hemlock-planner`: holds leases of shards, forms replicas and sends orders to engines.

use std::process::ExitCode;

use hemlock_wire::daemon;

fn main() -> ExitCode {
    daemon::run(
        "hemlock-planner",
        "Forms replicas and gives orders to engines",
        |started| {
            let planner = hemlock_planner::spawn(&started.settings, started.charts)
                .map_err(|e| format!("can't start the planner: {e}"))?;
            daemon::wait_for_stop();
            planner.stop();
            Ok(())
        },
    )
}
