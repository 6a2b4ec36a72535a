//! Runs one deployment from its start to its report.

use std::io;
use std::time::{Duration, Instant};

use hemlock_agent::AgentHandle;
use hemlock_gateway::GatewayHandle;
use hemlock_lib::chart::Charts;
use hemlock_lib::peers::{Settled, Submit};
use hemlock_lib::settings::Settings;
use hemlock_planner::PlannerHandle;
use hemlock_testutils::deployments::{self, Deployment};
use hemlock_testutils::engine::EngineConfig;
use hemlock_testutils::platform::Platform;
use hemlock_wire::{agent_client, http_client};

use crate::report::Report;
use crate::{faults, load, monitor};

/// Number of entry VMs of a deployment.
const ENTRIES: usize = 6;
/// Time limit for all wanted replicas to serve after the start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Minimum duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(24);
/// Time limit for an agent to report the result of a submitted record.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Daemons of one entry VM, as threads of this process.
#[derive(Debug)]
pub(crate) struct EntryVm {
    pub(crate) settings: Settings,
    agent: AgentHandle,
    planner: PlannerHandle,
    gateway: GatewayHandle,
}

impl EntryVm {
    fn spawn(settings: Settings, charts: &Charts) -> io::Result<Self> {
        let agent = hemlock_agent::spawn(&settings, charts, deployments::test_keys())?;
        let planner = hemlock_planner::spawn(&settings, charts.clone())?;
        let gateway = hemlock_gateway::spawn(&settings, charts, deployments::test_keys())?;
        Ok(Self {
            settings,
            agent,
            planner,
            gateway,
        })
    }

    /// Stops gracefully: announces the leave, waits at most `limit` for open requests and stops the
    /// daemons.
    pub(crate) fn leave(self, limit: Duration) {
        self.agent.leave();
        self.planner.stop();
        self.gateway.drain(limit);
        self.agent.stop();
    }
}

/// Runs a deployment under load and faults.
///
/// Its gateways and agents listen on ports from `port` on. With `hold`, the deployment keeps
/// running after the return.
///
/// # Errors
///
/// Fails if a daemon can't be started or the table is not accepted.
pub(crate) fn run(deployment: Deployment, port: u16, hold: bool) -> io::Result<Report> {
    let charts = Charts::built_in().map_err(|e| io::Error::other(e.to_string()))?;
    let platform = Platform::spawn("127.0.0.1:0", &deployment.vms(), EngineConfig::default())?;
    let (log, vms) = (platform.log_url(), platform.vms_url());
    let settings = |i| deployment.parsed_settings(i, port, &log, &vms);
    let mut entries = Vec::new();
    for i in 0..ENTRIES {
        entries.push(EntryVm::spawn(settings(i), &charts)?);
    }
    progress(deployment, "entry VMs started");
    let agents: Vec<String> = entries
        .iter()
        .map(|e| e.settings.agent.advertise.clone())
        .collect();
    let edits = deployment.table_edits();
    let settled = submit(
        &agents[0],
        Submit::Config {
            author: "demo".to_owned(),
            edits,
        },
    );
    if !matches!(settled, Settled::Accepted { .. }) {
        return Err(io::Error::other(format!(
            "the table was not accepted: {settled:?}"
        )));
    }
    progress(deployment, "table accepted");
    let monitor = monitor::Monitor::spawn(agents[0].clone(), deployment.group())?;
    wait_serving(deployment, &monitor);
    monitor.reset();
    let load = load::Load::spawn(deployment, format!("http://127.0.0.1:{port}"))?;
    let started = Instant::now();
    let conflict = faults::inject(deployment, &platform, &mut entries, &agents);
    std::thread::sleep(LOAD_DURATION.saturating_sub(started.elapsed()));
    let load = load.finish();
    let monitor = monitor.finish();
    progress(deployment, "load ended");
    let report = Report::new(deployment, &load, &monitor, &platform, conflict);
    if hold {
        for entry in entries {
            std::mem::forget(entry);
        }
        std::mem::forget(platform);
        return Ok(report);
    }
    for entry in entries {
        entry.gateway.stop();
        entry.planner.stop();
        entry.agent.stop();
    }
    platform.stop();
    Ok(report)
}

/// Prints the addresses of the deployments and waits for a signal to stop.
pub(crate) fn print_addresses_and_wait(reports: &[Report]) {
    for (report, port) in reports.iter().zip(crate::ENTRY_PORTS) {
        println!(
            "{}: gateway http://127.0.0.1:{port}",
            report.deployment.name()
        );
        println!("  agent http://127.0.0.1:{}", port + 1);
        println!(
            "  account key {}",
            report.deployment.account_key("account-01")
        );
    }
    hemlock_wire::daemon::wait_for_stop();
}

/// Submits a record through an agent.
pub(crate) fn submit(agent: &str, submit: Submit) -> Settled {
    let agent = agent.to_owned();
    http_client::block_on_new_thread("demo-submit", async move || {
        agent_client::submit(&agent, &submit, SUBMIT_TIMEOUT).await
    })
}

/// Prints one line of progress.
pub(crate) fn progress(deployment: Deployment, message: &str) {
    eprintln!("{:>12}: {message}", deployment.name());
}

/// Waits until all wanted replicas serve, for at most [`START_TIMEOUT`].
fn wait_serving(deployment: Deployment, monitor: &monitor::Monitor) {
    let end = Instant::now() + START_TIMEOUT;
    while Instant::now() < end {
        let (serving, wanted) = monitor.serving();
        if wanted > 0 && serving >= wanted {
            break;
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    let (serving, wanted) = monitor.serving();
    progress(
        deployment,
        &format!("{serving} of {wanted} replicas serving"),
    );
}
