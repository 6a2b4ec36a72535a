//! `hemlock-gateway`: takes requests from callers, routes them and streams the answers.

use std::process::ExitCode;
use std::time::Duration;

use hemlock_wire::daemon;

/// Time that open requests have to end after SIGTERM.
const DRAIN: Duration = Duration::from_secs(90);

fn main() -> ExitCode {
    daemon::run(
        "hemlock-gateway",
        "Takes requests and routes them to endpoints",
        |started| {
            let gateway =
                hemlock_gateway::spawn_sharing(&started.settings, &started.charts, started.keys)
                    .map_err(|e| {
                        format!("can't listen on {}: {e}", started.settings.gateway.listen)
                    })?;
            daemon::wait_for_stop();
            gateway.drain(DRAIN);
            Ok(())
        },
    )
}
