//! Calls to the agent on behalf of one command.

use std::time::Duration;

use hemlock_lib::peers::{Settled, Submit};
use hemlock_lib::view::View;
use hemlock_wire::{agent, caller};

use crate::exit::{Exit, Failure};

const VIEW_WAIT: Duration = Duration::from_secs(3);
const SUBMIT_WAIT: Duration = Duration::from_secs(8);

/// A command's connection to one agent.
#[derive(Debug, Clone)]
pub(crate) struct Session {
    agent: String,
}

impl Session {
    pub(crate) fn new(agent: impl Into<String>) -> Self {
        Self {
            agent: agent.into(),
        }
    }

    /// Returns the agent's present view.
    pub(crate) fn view(&self) -> Result<View, Failure> {
        let url = self.agent.clone();
        let view = caller::block_on("hemlock", async move || agent::view(&url, VIEW_WAIT).await);
        view.map_err(|e| {
            let waited = VIEW_WAIT.as_secs();
            let cause = format!(
                "the agent at {} did not answer within {waited} s: {e}; nothing was done",
                self.agent
            );
            Failure::new(Exit::Unreachable, cause)
        })
    }

    /// Submits a record and waits until it is settled.
    pub(crate) fn submit(&self, submit: Submit) -> Settled {
        let url = self.agent.clone();
        caller::block_on("hemlock", async move || {
            agent::submit(&url, &submit, SUBMIT_WAIT).await
        })
    }
}
