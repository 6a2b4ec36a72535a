//! Client of the agent's HTTP interface.

use std::time::Duration;

use hemlock_lib::codec;
use hemlock_lib::folds::StreamState;
use hemlock_lib::peers::{Settled, Submit, Suspicion};
use hemlock_lib::view::View;

use crate::http_client::{self, CallError};

/// Time beyond the agent's own deadline after which its reply is given up.
const GRACE: Duration = Duration::from_millis(500);

/// Asks the agent at `agent` to append a record, and waits up to `wait` until it is settled.
pub async fn submit(agent: &str, submit: &Submit, wait: Duration) -> Settled {
    let url = format!("{agent}/v1/submit?wait_ms={}", wait.as_millis());
    match http_client::post(&url, codec::encode(submit), wait + GRACE).await {
        Ok(body) => codec::decode(&body).unwrap_or(Settled::Unknown),
        Err(CallError::Connect | CallError::Status(_)) => Settled::NotAppended,
        Err(CallError::Lost) => Settled::Unknown,
    }
}

/// Returns the present view of the agent at `agent`.
pub async fn view(agent: &str, wait: Duration) -> Result<View, CallError> {
    let body = http_client::get(&format!("{agent}/v1/view"), wait).await?;
    codec::decode(&body).map_err(|_| CallError::Lost)
}

/// Returns the folded states of all streams that the agent at `agent` holds.
pub async fn states(agent: &str, wait: Duration) -> Result<Vec<StreamState>, CallError> {
    let body = http_client::get(&format!("{agent}/v1/states"), wait).await?;
    codec::decode(&body).map_err(|_| CallError::Lost)
}

/// Tells the agent at `agent` the spare share of its gateway's capacity.
pub async fn report_spare(agent: &str, spare: f64, wait: Duration) -> Result<(), CallError> {
    http_client::post(&format!("{agent}/v1/spare"), codec::encode(&spare), wait)
        .await
        .map(drop)
}

/// Tells the agent at `agent` of requests under suspicion of crashing endpoints.
pub async fn report_suspicions(
    agent: &str,
    suspicions: &[Suspicion],
    wait: Duration,
) -> Result<(), CallError> {
    let body = codec::encode(&suspicions);
    http_client::post(&format!("{agent}/v1/suspicions"), body, wait)
        .await
        .map(drop)
}

/// Asks the agent at `agent` to announce that its entry VM is leaving.
pub async fn leave(agent: &str, wait: Duration) -> Result<(), CallError> {
    http_client::post(&format!("{agent}/v1/leave"), Vec::new(), wait)
        .await
        .map(drop)
}
