//! Client of the agent's HTTP interface.

use std::time::Duration;

use hemlock_lib::codec;
use hemlock_lib::folds::StreamState;
use hemlock_lib::peers::{Settled, Submit, Suspicion};
use hemlock_lib::view::View;

use crate::http_client::{self, CallError};

/// Time added to the wait that the agent was given, before its reply is considered lost.
const REPLY_GRACE: Duration = Duration::from_millis(500);

/// Asks the agent at the URL `agent` to append a record, and waits up to `wait` until it is
/// settled.
///
/// Returns [`Settled::NotAppended`] if the record was certainly not appended, and
/// [`Settled::Unknown`] if no usable reply came.
pub async fn submit(agent: &str, submit: &Submit, wait: Duration) -> Settled {
    let url = format!("{agent}/v1/submit?wait_ms={}", wait.as_millis());
    match http_client::post(&url, codec::encode(submit), wait + REPLY_GRACE).await {
        Ok(body) => codec::decode(&body).unwrap_or(Settled::Unknown),
        Err(CallError::Connect | CallError::Status(_)) => Settled::NotAppended,
        Err(CallError::Lost) => Settled::Unknown,
    }
}

/// Fetches the current view of the agent at the URL `agent`.
///
/// # Errors
///
/// Fails with [`CallError::Lost`] also if the reply can't be decoded.
pub async fn view(agent: &str, timeout: Duration) -> Result<View, CallError> {
    let body = http_client::get(&format!("{agent}/v1/view"), timeout).await?;
    codec::decode(&body).map_err(|_| CallError::Lost)
}

/// Fetches the folded state of every stream that the agent at the URL `agent` holds.
///
/// # Errors
///
/// Fails with [`CallError::Lost`] also if the reply can't be decoded.
pub async fn states(agent: &str, timeout: Duration) -> Result<Vec<StreamState>, CallError> {
    let body = http_client::get(&format!("{agent}/v1/states"), timeout).await?;
    codec::decode(&body).map_err(|_| CallError::Lost)
}

/// Reports the spare share of the gateway's capacity, from 0 to 1, to the agent at the URL `agent`.
///
/// # Errors
///
/// See [`CallError`].
pub async fn report_spare(agent: &str, spare: f64, timeout: Duration) -> Result<(), CallError> {
    http_client::post(&format!("{agent}/v1/spare"), codec::encode(&spare), timeout)
        .await
        .map(drop)
}

/// Reports requests that are suspected of crashing endpoints to the agent at the URL `agent`.
///
/// # Errors
///
/// See [`CallError`].
pub async fn report_suspicions(
    agent: &str,
    suspicions: &[Suspicion],
    timeout: Duration,
) -> Result<(), CallError> {
    let body = codec::encode(&suspicions);
    http_client::post(&format!("{agent}/v1/suspicions"), body, timeout)
        .await
        .map(drop)
}

/// Asks the agent at the URL `agent` to announce that its entry VM is leaving.
///
/// # Errors
///
/// See [`CallError`].
pub async fn leave(agent: &str, timeout: Duration) -> Result<(), CallError> {
    http_client::post(&format!("{agent}/v1/leave"), Vec::new(), timeout)
        .await
        .map(drop)
}
