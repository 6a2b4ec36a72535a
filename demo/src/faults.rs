//! Faults injected while a deployment is under load.

use std::time::Duration;

use hemlock_lib::ids::VmId;
use hemlock_lib::peers::{Settled, Submit};
use hemlock_lib::table::{Refusal, Row, RowKey};
use hemlock_testutils::deployments::{self, Deployment};
use hemlock_testutils::log::LogFault;
use hemlock_testutils::platform::Platform;
use hemlock_wire::{agent_client, http_client};

use crate::run::{EntryVm, progress, submit};

/// Time between two faults.
const FAULT_INTERVAL: Duration = Duration::from_secs(4);
/// Duration of the log outage, and time limit for reading the view before the conflicting edits.
const LOG_OUTAGE: Duration = Duration::from_secs(3);
/// Time limit for the requests of a leaving entry VM to end.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Results of the conflicting edits.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConflictResults {
    /// Number of edits that were accepted.
    pub(crate) accepted: u32,
    /// Number of edits that were refused because of a conflict.
    pub(crate) conflicts: u32,
}

/// Injects the faults one after another and returns the results of the conflicting edits.
///
/// The faults are a lost VM, a log outage, an entry VM that leaves and two edits of one row.
pub(crate) fn inject(
    deployment: Deployment,
    platform: &Platform,
    entries: &mut Vec<EntryVm>,
    agents: &[String],
) -> ConflictResults {
    std::thread::sleep(FAULT_INTERVAL);
    let lost_vm = VmId::new(format!("{}-03", deployment.domains()[0]));
    progress(deployment, &format!("VM {lost_vm} lost"));
    platform.engines.kill(&lost_vm);
    std::thread::sleep(FAULT_INTERVAL);
    progress(deployment, "log unavailable");
    platform.log.set_fault(LogFault::Unavailable);
    std::thread::sleep(LOG_OUTAGE);
    platform.log.set_fault(LogFault::None);
    progress(deployment, "log available again");
    platform.engines.revive(&lost_vm);
    std::thread::sleep(FAULT_INTERVAL);
    if let Some(entry) = entries.pop() {
        progress(
            deployment,
            &format!("entry VM {} leaves", entry.settings.entry),
        );
        entry.leave(DRAIN_TIMEOUT);
    }
    submit_conflicting_edits(deployment, agents)
}

/// Submits two edits of one row that are based on the same version: only one may be accepted.
fn submit_conflicting_edits(deployment: Deployment, agents: &[String]) -> ConflictResults {
    let mut results = ConflictResults::default();
    let url = agents[0].clone();
    let view = http_client::block_on_new_thread("demo-view", async move || {
        agent_client::view(&url, LOG_OUTAGE).await
    });
    let Ok(view) = view else { return results };
    let key = RowKey::Group(deployment.group().into());
    let Some(entry) = view.table.entry(&key) else {
        return results;
    };
    let Some(Row::Group(row)) = &entry.row else {
        return results;
    };
    for (i, agent) in agents.iter().take(2).enumerate() {
        let mut row = row.clone();
        row.slots += 1 + i as u32;
        let edits = vec![deployments::update_edit(
            key.clone(),
            entry.version,
            Row::Group(row),
        )];
        match submit(
            agent,
            Submit::Config {
                author: format!("operator-{i}"),
                edits,
            },
        ) {
            Settled::Accepted { .. } => results.accepted += 1,
            Settled::ConfigRefused(Refusal::Conflict { .. }) => results.conflicts += 1,
            _ => {}
        }
    }
    progress(deployment, "two operators edited one row");
    results
}
