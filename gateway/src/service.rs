//! Calls to plain services, which are passed through.

use std::time::Duration;

use hemlock_lib::claims::Answer;
use hemlock_lib::codes::Code;
use hemlock_lib::gateway::FailReason;
use hemlock_wire::http_client::{self, CallError};
use ntex::http::{Method, StatusCode};
use ntex::time::Millis;
use ntex::util::Bytes;
use ntex::web::HttpResponse;
use serde_bytes::ByteBuf;

use crate::body::{self, Refusal};
use crate::event_loop::Decision;
use crate::request::RequestHandle;

/// Time that a plain service has to send the head of its reply, and again to send the body.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest body of an answer of a plain service, in bytes.
const ANSWER_LIMIT_BYTES: usize = 4 << 20;

/// A call to a plain service.
#[derive(Debug)]
pub(crate) struct ServiceCall {
    pub(crate) method: Method,
    /// Path without its leading slash, and the query if there is one.
    pub(crate) path: String,
    pub(crate) media_type: String,
    pub(crate) body: Bytes,
    pub(crate) at_most_once: bool,
}

/// What the caller of a plain service gets.
#[derive(Debug)]
pub(crate) enum CallResult {
    Answer { answer: Answer, replayed: bool },
    Refusal(Refusal),
}

/// Passes a call through and returns the answer.
///
/// A call that must run at most once runs on when its caller leaves, so that its answer is kept for
/// the idempotency key.
pub(crate) async fn answer(request_handle: RequestHandle, call: ServiceCall) -> HttpResponse {
    let request = request_handle.request_id().clone();
    let result = if call.at_most_once {
        let (sender, result) = async_channel::bounded(1);
        ntex::rt::spawn(async move {
            let result = run_attempts(request_handle, call).await;
            let _ = sender.try_send(result);
        });
        let result = result.recv().await;
        result.unwrap_or_else(|_| CallResult::Refusal(Refusal::from(Code::Broken)))
    } else {
        run_attempts(request_handle, call).await
    };
    match result {
        CallResult::Answer { answer, replayed } => answer_response(&answer, replayed),
        CallResult::Refusal(refusal) => body::refusal_response(&refusal, Some(&request)),
    }
}

/// Makes attempts until there is an answer or a refusal.
async fn run_attempts(mut request_handle: RequestHandle, call: ServiceCall) -> CallResult {
    loop {
        let (attempt, address) = match request_handle.next_decision().await {
            Decision::Refuse(refusal) => return CallResult::Refusal(refusal),
            Decision::Replay(answer) => {
                return CallResult::Answer {
                    answer,
                    replayed: true,
                };
            }
            Decision::Dispatch {
                attempt, address, ..
            } => (attempt, address),
        };
        match request_handle.run_attempt(send_call(&address, &call)).await {
            Ok(Ok(answer)) => {
                request_handle.report_finished(attempt, call.at_most_once.then(|| answer.clone()));
                return CallResult::Answer {
                    answer,
                    replayed: false,
                };
            }
            Ok(Err(reason)) => request_handle.report_failed(attempt, reason),
            Err(Decision::Refuse(refusal)) => return CallResult::Refusal(refusal),
            Err(_) => return CallResult::Refusal(Refusal::from(Code::Broken)),
        }
    }
}

/// Sends the call to the endpoint at `address` once.
async fn send_call(address: &str, call: &ServiceCall) -> Result<Answer, FailReason> {
    let client = if call.at_most_once {
        http_client::new_client().await
    } else {
        http_client::shared_client().await
    };
    let request = client.request(call.method.clone(), format!("{address}/{}", call.path));
    let request = request
        .content_type(&call.media_type)
        .timeout(Millis(CALL_TIMEOUT.as_millis() as u32));
    let reply = request.send_body(call.body.clone()).await;
    let reply = reply.map_err(|e| match CallError::from(e) {
        CallError::Connect => FailReason::Connect,
        _ => FailReason::Broken,
    })?;
    let status = reply.status().as_u16();
    // Other codes are none of RFC 9110, or an interim one, and tell nothing of the call.
    if !(200..600).contains(&status) {
        return Err(FailReason::Broken);
    }
    let kind = reply
        .header("content-type")
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default();
    let kind = kind.to_owned();
    let wait = Millis(CALL_TIMEOUT.as_millis() as u32);
    let bytes = reply.body().limit(ANSWER_LIMIT_BYTES).timeout(wait).await;
    let bytes = bytes.map_err(|_| FailReason::Broken)?;
    Ok(Answer {
        status,
        kind,
        body: ByteBuf::from(bytes.to_vec()),
    })
}

fn answer_response(answer: &Answer, replayed: bool) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    response.header("x-result-code", Code::Ok.number().to_string());
    response.header("x-replayed", if replayed { "yes" } else { "no" });
    response
        .content_type(&answer.kind)
        .body(Bytes::copy_from_slice(&answer.body))
}
