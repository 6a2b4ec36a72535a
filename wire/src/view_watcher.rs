//! Watches the view that an agent serves, and falls back to the agents of other entry VMs when it
//! does not answer.

use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::codec;
use hemlock_lib::delta::{ViewReply, ViewUpdate};
use hemlock_lib::view::View;

use crate::http_client;

/// Time in milliseconds for which an agent holds a request until there is a newer view.
const LONG_POLL_MS: u64 = 1_000;
/// Timeout of a request for a view, longer than [`LONG_POLL_MS`].
const VIEW_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause in milliseconds before another try when no agent answered.
const RETRY_PAUSE_MS: u32 = 200;

/// Starts a thread that calls `on_view` with each new view, and with `None` when no agent answers.
///
/// The thread ends when `on_view` returns `false`.
///
/// # Errors
///
/// Fails if the thread can't be started.
pub fn spawn(
    name: &str,
    agent: String,
    mut on_view: impl FnMut(Option<Arc<View>>) -> bool + Send + 'static,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    let name = name.to_owned();
    std::thread::Builder::new()
        .name(name.clone())
        .spawn(move || {
            let system = ntex::rt::System::new(&name, ntex::rt::DefaultRuntime);
            system.block_on(async move {
                let mut last = None;
                loop {
                    let next = next_view(&agent, last.as_ref()).await;
                    if next.is_none() {
                        ntex::time::sleep(ntex::time::Millis(RETRY_PAUSE_MS)).await;
                    }
                    if !on_view(next.as_ref().map(|n| Arc::clone(&n.view))) {
                        return;
                    }
                    last = next.or(last);
                }
            });
        })
}

/// A view, and the run of the agent that served it. Versions are comparable only within one run.
#[derive(Debug)]
struct ReceivedView {
    agent_run: u64,
    view: Arc<View>,
}

/// Returns the next view of `agent`, or else of the first live peer in the last view whose agent
/// answers.
async fn next_view(agent: &str, last: Option<&ReceivedView>) -> Option<ReceivedView> {
    if let Some(view) = fetch_view(agent, last).await {
        return Some(view);
    }
    let peers = last.map(|l| l.view.entries.as_slice()).unwrap_or_default();
    for peer in peers.iter().filter(|e| e.member.agent != agent && e.live) {
        if let Some(view) = fetch_view(&peer.member.agent, None).await {
            return Some(view);
        }
    }
    None
}

/// Polls `agent` for a view newer than `last`, as a whole or as a delta to `last`.
async fn fetch_view(agent: &str, last: Option<&ReceivedView>) -> Option<ReceivedView> {
    let (run, after) = last.map_or((0, 0), |l| (l.agent_run, l.view.version));
    let url = format!("{agent}/v1/change?run={run}&after={after}&wait_ms={LONG_POLL_MS}");
    let body = http_client::get(&url, VIEW_TIMEOUT).await.ok()?;
    let change: ViewReply = codec::decode(&body).ok()?;
    let view = match change.news {
        ViewUpdate::Whole(view) => *view,
        ViewUpdate::Delta(delta) => {
            let mut view = View::clone(&last?.view);
            delta.apply(&mut view).then_some(view)?
        }
    };
    Some(ReceivedView {
        agent_run: change.run,
        view: Arc::new(view),
    })
}
