//! Follows the view that an agent serves, and turns to a peer's agent when its own is silent.

use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::codec;
use hemlock_lib::delta::{ViewReply, ViewUpdate};
use hemlock_lib::view::View;

use crate::http_client;

/// How long an agent holds a request for the next view, in milliseconds.
const VIEW_WAIT_MS: u64 = 1_000;
/// Time after which a request for a view is given up.
const VIEW_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause after no agent answered.
const RETRY_MS: u32 = 200;

/// Starts a thread that calls `on_view` with each new view, and with `None` when no agent answers.
///
/// The thread ends when `on_view` returns `false`.
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
                    let next = next(&agent, last.as_ref()).await;
                    if next.is_none() {
                        ntex::time::sleep(ntex::time::Millis(RETRY_MS)).await;
                    }
                    if !on_view(next.as_ref().map(|f| Arc::clone(&f.view))) {
                        return;
                    }
                    last = next.or(last);
                }
            });
        })
}

/// A view with the agent run that it came from.
#[derive(Debug)]
struct Followed {
    run: u64,
    view: Arc<View>,
}

async fn next(agent: &str, last: Option<&Followed>) -> Option<Followed> {
    if let Some(view) = fetch(agent, last).await {
        return Some(view);
    }
    let peers = last.map(|f| f.view.entries.as_slice()).unwrap_or_default();
    for peer in peers.iter().filter(|e| e.member.agent != agent && e.live) {
        if let Some(view) = fetch(&peer.member.agent, None).await {
            return Some(view);
        }
    }
    None
}

async fn fetch(agent: &str, last: Option<&Followed>) -> Option<Followed> {
    let (run, after) = last.map_or((0, 0), |f| (f.run, f.view.version));
    let url = format!("{agent}/v1/change?run={run}&after={after}&wait_ms={VIEW_WAIT_MS}");
    let body = http_client::get(&url, VIEW_TIMEOUT).await.ok()?;
    let change: ViewReply = codec::decode(&body).ok()?;
    let view = match change.news {
        ViewUpdate::Whole(view) => *view,
        ViewUpdate::Delta(delta) => {
            let mut view = View::clone(&last?.view);
            delta.apply(&mut view).then_some(view)?
        }
    };
    Some(Followed {
        run: change.run,
        view: Arc::new(view),
    })
}
