//! `hemlock-gateway`: accepts requests, routes them to endpoints and streams the answers.

use std::process::ExitCode;
use std::time::Duration;

use hemlock_wire::daemon;

fn main() -> ExitCode {
    daemon::run(
        "hemlock-gateway",
        "Takes requests and routes them to endpoints",
        |started| {
            let gateway = hemlock_gateway::spawn(&started.settings, &started.charts, started.keys)
                .map_err(|e| format!("can't listen on {}: {e}", started.settings.gateway.listen))?;
            daemon::wait_for_stop();
            let settings = &started.settings.gateway;
            let keep_for = Duration::from_secs(settings.keep_for_s);
            gateway.stop_gracefully(keep_for, Duration::from_secs(settings.drain_s));
            Ok(())
        },
    )
}
