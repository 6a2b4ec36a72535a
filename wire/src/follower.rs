//! Follows the view that an agent serves, and turns to a peer's agent when its own is silent.

use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::codec;
use hemlock_lib::view::View;

use crate::caller;

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
                let mut last: Option<Arc<View>> = None;
                loop {
                    let view = next(&agent, last.as_deref()).await;
                    if view.is_none() {
                        ntex::time::sleep(ntex::time::Millis(RETRY_MS)).await;
                    }
                    if !on_view(view.clone()) {
                        return;
                    }
                    last = view.or(last);
                }
            });
        })
}

async fn next(agent: &str, last: Option<&View>) -> Option<Arc<View>> {
    let after = last.map_or(0, |v| v.version);
    if let Some(view) = fetch(agent, after).await {
        return Some(view);
    }
    let peers = last.map(|v| v.entries.as_slice()).unwrap_or_default();
    for peer in peers.iter().filter(|e| e.member.agent != agent && e.live) {
        if let Some(view) = fetch(&peer.member.agent, 0).await {
            return Some(view);
        }
    }
    None
}

async fn fetch(agent: &str, after: u64) -> Option<Arc<View>> {
    let url = format!("{agent}/v1/view?after={after}&wait_ms={VIEW_WAIT_MS}");
    let body = caller::get(&url, VIEW_TIMEOUT).await.ok()?;
    codec::decode(&body).ok().map(Arc::new)
}
