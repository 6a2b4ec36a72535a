//! Calls to plain services, passed through.

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

const TIMEOUT: Duration = Duration::from_secs(10);
/// Largest answer of a plain service in bytes.
const ANSWER_LIMIT: usize = 4 << 20;

/// A call to pass through.
#[derive(Debug)]
pub(crate) struct Pass {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) kind: String,
    pub(crate) body: Bytes,
    pub(crate) once: bool,
}

/// The final answer to a call.
#[derive(Debug)]
pub(crate) enum Final {
    Answer { answer: Answer, replayed: bool },
    Refusal(Refusal),
}

/// Passes a call through and returns the answer.
///
/// A call that must run at most once runs on when its caller leaves, so that its answer is kept.
pub(crate) async fn answer(request_handle: RequestHandle, pass: Pass) -> HttpResponse {
    let request = request_handle.request_id().clone();
    let last = if pass.once {
        let (sender, last) = async_channel::bounded(1);
        ntex::rt::spawn(async move {
            let last = run(request_handle, pass).await;
            let _ = sender.try_send(last);
        });
        let last = last.recv().await;
        last.unwrap_or_else(|_| Final::Refusal(Refusal::from(Code::Broken)))
    } else {
        run(request_handle, pass).await
    };
    match last {
        Final::Answer { answer, replayed } => respond(&answer, replayed),
        Final::Refusal(refusal) => body::refusal(&refusal, Some(&request)),
    }
}

async fn run(mut request_handle: RequestHandle, pass: Pass) -> Final {
    loop {
        let (attempt, address) = match request_handle.next_decision().await {
            Decision::Refuse(refusal) => return Final::Refusal(refusal),
            Decision::Replay(answer) => {
                return Final::Answer {
                    answer,
                    replayed: true,
                };
            }
            Decision::Dispatch {
                attempt, address, ..
            } => (attempt, address),
        };
        match request_handle
            .run_attempt(attempt_once(&address, &pass))
            .await
        {
            Ok(Ok(answer)) => {
                request_handle.report_finished(attempt, pass.once.then(|| answer.clone()));
                return Final::Answer {
                    answer,
                    replayed: false,
                };
            }
            Ok(Err(reason)) => request_handle.report_failed(attempt, reason),
            Err(Decision::Refuse(refusal)) => return Final::Refusal(refusal),
            Err(_) => return Final::Refusal(Refusal::from(Code::Broken)),
        }
    }
}

async fn attempt_once(address: &str, pass: &Pass) -> Result<Answer, FailReason> {
    let client = if pass.once {
        http_client::new_client().await
    } else {
        http_client::shared_client().await
    };
    let request = client.request(pass.method.clone(), format!("{address}/{}", pass.path));
    let request = request
        .content_type(&pass.kind)
        .timeout(Millis(TIMEOUT.as_millis() as u32));
    let reply = request.send_body(pass.body.clone()).await;
    let reply = reply.map_err(|e| match CallError::from(e) {
        CallError::Connect => FailReason::Connect,
        _ => FailReason::Broken,
    })?;
    let status = reply.status().as_u16();
    let kind = reply
        .header("content-type")
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default();
    let kind = kind.to_owned();
    let wait = Millis(TIMEOUT.as_millis() as u32);
    let bytes = reply.body().limit(ANSWER_LIMIT).timeout(wait).await;
    let bytes = bytes.map_err(|_| FailReason::Broken)?;
    Ok(Answer {
        status,
        kind,
        body: ByteBuf::from(bytes.to_vec()),
    })
}

fn respond(answer: &Answer, replayed: bool) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    response.header("x-result-code", Code::Ok.number().to_string());
    response.header("x-replayed", if replayed { "yes" } else { "no" });
    response
        .content_type(&answer.kind)
        .body(Bytes::copy_from_slice(&answer.body))
}
