//! Calls to the agents on behalf of one command.

use std::io::Write;
use std::time::Duration;

use hemlock_lib::peers::{Settled, Submit};
use hemlock_lib::view::View;
use hemlock_wire::http_client::CallError;
use hemlock_wire::{agent_client, http_client};

use crate::exit::{Exit, Failure};
use crate::output::Format;

const VIEW_WAIT: Duration = Duration::from_secs(3);
const SUBMIT_WAIT: Duration = Duration::from_secs(8);
const LEAVE_WAIT: Duration = Duration::from_secs(3);

/// What a command works with.
pub(crate) struct Context<'a> {
    pub(crate) session: Session,
    pub(crate) format: Format,
    pub(crate) out: &'a mut dyn Write,
    pub(crate) err: &'a mut dyn Write,
}

/// A command's connection to the agents, which are tried in turn.
#[derive(Debug, Clone)]
pub(crate) struct Session {
    agents: Vec<String>,
}

impl Session {
    pub(crate) fn new(agents: Vec<String>) -> Self {
        Self { agents }
    }

    /// Returns the view of the first agent that answers.
    pub(crate) fn view(&self) -> Result<View, Failure> {
        let mut tried = Vec::new();
        for agent in &self.agents {
            match view_of(agent) {
                Ok(view) => return Ok(view),
                Err(e) => tried.push(format!("{agent} ({e})")),
            }
        }
        let waited = VIEW_WAIT.as_secs();
        let cause = format!(
            "no agent answered within {waited} s each: tried {}; nothing was changed",
            tried.join(", ")
        );
        Err(Failure::new(Exit::Unreachable, cause))
    }

    /// Submits a record and waits until it is settled.
    ///
    /// The next agent is tried only if the last one surely appended nothing.
    pub(crate) fn submit(&self, submit: &Submit) -> Settled {
        for agent in &self.agents {
            let (url, submit) = (agent.clone(), submit.clone());
            let settled = http_client::block_on_new_thread("hemlock", async move || {
                agent_client::submit(&url, &submit, SUBMIT_WAIT).await
            });
            if settled != Settled::NotAppended {
                return settled;
            }
        }
        Settled::NotAppended
    }

    /// Asks the agent of one entry VM to announce that it is leaving.
    pub(crate) fn leave(&self, agent: &str) -> Result<(), Failure> {
        let url = agent.to_owned();
        let left = http_client::block_on_new_thread("hemlock", async move || {
            agent_client::leave(&url, LEAVE_WAIT).await
        });
        left.map_err(|e| {
            let waited = LEAVE_WAIT.as_secs();
            let cause = match e {
                CallError::Lost => {
                    "whether it took the order can't be told; `hemlock status` shows it"
                }
                _ => "nothing was changed",
            };
            let exit = match e {
                CallError::Lost => Exit::Unknown,
                _ => Exit::Unreachable,
            };
            Failure::new(
                exit,
                format!("the agent at {agent} did not answer within {waited} s: {e}; {cause}"),
            )
        })
    }

    /// Returns the body at a URL, or `None` if the peer knows no such thing.
    pub(crate) fn get(&self, url: &str) -> Result<Option<Vec<u8>>, CallError> {
        let url = url.to_owned();
        let got = http_client::block_on_new_thread("hemlock", async move || {
            http_client::get(&url, VIEW_WAIT).await
        });
        match got {
            Ok(body) => Ok(Some(body.to_vec())),
            Err(CallError::Status(404)) => Ok(None),
            Err(e) => Err(e),
        }
    }
}

fn view_of(agent: &str) -> Result<View, CallError> {
    let url = agent.to_owned();
    http_client::block_on_new_thread("hemlock", async move || {
        agent_client::view(&url, VIEW_WAIT).await
    })
}
