//! Calls to the agents on behalf of one command.

use std::io::Write;
use std::time::Duration;

use hemlock_lib::peers::{Settled, Submit};
use hemlock_lib::view::View;
use hemlock_wire::http_client::CallError;
use hemlock_wire::{agent_client, http_client};

use crate::exit::{Exit, Failure};
use crate::output::Format;

/// Time limit for reading the view, or an HTTP resource of an entry VM.
const VIEW_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit for one agent to report the result of a submitted record.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(8);
/// Time limit for an agent to confirm that it received the request to leave.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);

/// The session, the output format and the output streams of a command.
pub(crate) struct Context<'a> {
    pub(crate) session: Session,
    pub(crate) format: Format,
    pub(crate) out: &'a mut dyn Write,
    pub(crate) err: &'a mut dyn Write,
}

/// HTTP calls to a list of agents, which are tried in order.
#[derive(Debug, Clone)]
pub(crate) struct Session {
    agents: Vec<String>,
}

impl Session {
    pub(crate) fn new(agents: Vec<String>) -> Self {
        Self { agents }
    }

    /// Returns the view of the first agent that answers.
    ///
    /// # Errors
    ///
    /// Fails with [`Exit::Unreachable`] if no agent answers.
    pub(crate) fn view(&self) -> Result<View, Failure> {
        let mut failures = Vec::new();
        for agent in &self.agents {
            match fetch_view(agent) {
                Ok(view) => return Ok(view),
                Err(e) => failures.push(format!("{agent} ({e})")),
            }
        }
        let limit_s = VIEW_TIMEOUT.as_secs();
        let cause = format!(
            "no agent answered within {limit_s} s each: tried {}; nothing was changed",
            failures.join(", ")
        );
        Err(Failure::new(Exit::Unreachable, cause))
    }

    /// Submits a record and waits for its result.
    ///
    /// The next agent is tried only if the one before reports that it appended nothing, so that no
    /// record is appended twice.
    pub(crate) fn submit(&self, submit: &Submit) -> Settled {
        for agent in &self.agents {
            let (url, submit) = (agent.clone(), submit.clone());
            let settled = http_client::block_on_new_thread("hemlock", async move || {
                agent_client::submit(&url, &submit, SUBMIT_TIMEOUT).await
            });
            if settled != Settled::NotAppended {
                return settled;
            }
        }
        Settled::NotAppended
    }

    /// Asks the agent of one entry VM to announce that it is leaving.
    ///
    /// # Errors
    ///
    /// Fails with [`Exit::Unknown`] if the connection broke after the request may have been sent, and
    /// with [`Exit::Unreachable`] on other errors.
    pub(crate) fn leave(&self, agent: &str) -> Result<(), Failure> {
        let url = agent.to_owned();
        let result = http_client::block_on_new_thread("hemlock", async move || {
            agent_client::leave(&url, LEAVE_TIMEOUT).await
        });
        result.map_err(|e| {
            let limit_s = LEAVE_TIMEOUT.as_secs();
            let cause = match e {
                CallError::Lost => "it may have received the request; check `hemlock status`",
                _ => "nothing was changed",
            };
            let exit = match e {
                CallError::Lost => Exit::Unknown,
                _ => Exit::Unreachable,
            };
            Failure::new(
                exit,
                format!("the agent at {agent} did not answer within {limit_s} s: {e}; {cause}"),
            )
        })
    }

    /// Returns the body at a URL, or `None` if the server answers with status 404.
    pub(crate) fn get(&self, url: &str) -> Result<Option<Vec<u8>>, CallError> {
        let url = url.to_owned();
        let response = http_client::block_on_new_thread("hemlock", async move || {
            http_client::get(&url, VIEW_TIMEOUT).await
        });
        match response {
            Ok(body) => Ok(Some(body.to_vec())),
            Err(CallError::Status(404)) => Ok(None),
            Err(e) => Err(e),
        }
    }
}

fn fetch_view(agent: &str) -> Result<View, CallError> {
    let url = agent.to_owned();
    http_client::block_on_new_thread("hemlock", async move || {
        agent_client::view(&url, VIEW_TIMEOUT).await
    })
}
