//! `hemlock-agent`: follows the log, watches endpoints and peers, and serves the view.

use std::process::ExitCode;

use hemlock_wire::daemon;

fn main() -> ExitCode {
    daemon::run(
        "hemlock-agent",
        "Follows the log and watches endpoints and peers",
        |started| {
            let agent = hemlock_agent::spawn(&started.settings, &started.charts, started.keys)
                .map_err(|e| format!("can't start the agent: {e}"))?;
            daemon::wait_for_stop();
            agent.stop();
            Ok(())
        },
    )
}
