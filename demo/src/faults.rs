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

const PAUSE: Duration = Duration::from_secs(4);
const OUTAGE: Duration = Duration::from_secs(3);
const DRAIN: Duration = Duration::from_secs(10);

/// What came of the faults that have an outcome of their own.
#[derive(Debug, Clone, Default)]
pub(crate) struct Notes {
    /// Edits of the race that were accepted.
    pub(crate) accepted: u32,
    /// Edits of the race whose author was told of the conflict.
    pub(crate) conflicts: u32,
}

/// Injects the faults one after the other.
pub(crate) fn inject(
    deployment: Deployment,
    platform: &Platform,
    entries: &mut Vec<EntryVm>,
    agents: &[String],
) -> Notes {
    std::thread::sleep(PAUSE);
    let victim = VmId::new(format!("{}-03", deployment.domains()[0]));
    progress(deployment, &format!("VM {victim} lost"));
    platform.engines.kill(&victim);
    std::thread::sleep(PAUSE);
    progress(deployment, "log out");
    platform.log.set_fault(LogFault::Unavailable);
    std::thread::sleep(OUTAGE);
    platform.log.set_fault(LogFault::None);
    progress(deployment, "log back");
    platform.engines.revive(&victim);
    std::thread::sleep(PAUSE);
    if let Some(entry) = entries.pop() {
        progress(
            deployment,
            &format!("entry VM {} leaves", entry.settings.entry),
        );
        entry.leave(DRAIN);
    }
    race(deployment, agents)
}

fn race(deployment: Deployment, agents: &[String]) -> Notes {
    let mut notes = Notes::default();
    let url = agents[0].clone();
    let view = http_client::block_on_new_thread("demo-view", async move || {
        agent_client::view(&url, OUTAGE).await
    });
    let Ok(view) = view else { return notes };
    let key = RowKey::Group(deployment.group().into());
    let Some(entry) = view.table.entry(&key) else {
        return notes;
    };
    let Some(Row::Group(row)) = &entry.row else {
        return notes;
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
            Settled::Accepted { .. } => notes.accepted += 1,
            Settled::ConfigRefused(Refusal::Conflict { .. }) => notes.conflicts += 1,
            _ => {}
        }
    }
    progress(deployment, "two operators edited one row");
    notes
}
