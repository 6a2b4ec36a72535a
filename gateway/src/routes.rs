//! The HTTP interface of the gateway, for callers, operators and other gateways.

use std::time::Duration;

use crossbeam_channel::Sender;
use hemlock_lib::codes::{Code, Ran};
use hemlock_lib::gateway::{Arrival, Hint, Target};
use hemlock_lib::hash;
use hemlock_lib::ids::{AccountId, RequestId};
use hemlock_lib::message_auth::KeyRing;
use hemlock_lib::peers::Settled;
use hemlock_wire::clock;
use ntex::http::Method;
use ntex::time::Millis;
use ntex::util::{Bytes, BytesMut};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig, types};
use serde::Deserialize;
use uuid::Uuid;

use crate::body::{self, ChatCall, Refusal};
use crate::engine::{self, AnswerPart, GenerationParams, PART_BUFFER_LIMIT};
use crate::event_loop::Event;
use crate::request::{PendingResponseGuard, PendingResponses, RequestHandle};
use crate::service::{self, ServiceCall};
use crate::slices;

/// Time until the deadline of a request whose caller gives none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
/// Time in which the body of a request must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Wait before the next try, in refusals that do not come from the state machine.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Length of a fingerprint, in hexadecimal digits.
const FINGERPRINT_DIGITS: usize = 32;
/// Work that a call to a plain service is counted as, in tokens.
const SERVICE_TOKENS: u64 = 1;

/// State that all routes share.
#[derive(Debug, Clone)]
pub(crate) struct State {
    pub(crate) events: Sender<Event>,
    /// Largest body of a request, in bytes.
    pub(crate) max_body_bytes: usize,
    pub(crate) pending_responses: PendingResponses,
    /// Keys for messages about slices; `None` if limits are not shared by slices.
    pub(crate) keys: Option<KeyRing>,
}

#[derive(Debug, Deserialize)]
struct AdviceQuery {
    #[serde(default)]
    caller: String,
    near: Option<String>,
}

/// Registers the routes.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config
        .route("/v1/entry", web::to(address_advice))
        .route("/v1/chat/completions", web::to(chat))
        .route("/v1/services/{service}/{path}*", web::to(call_service))
        .route("/v1/keys/{key}", web::to(key_status))
        .route(slices::PATH, web::post().to(slices::serve))
        .route("/v1/requests/{request}", web::get().to(explain))
        .route("/healthz", web::get().to(health))
        .route("/readyz", web::get().to(ready))
        .route("/{path}*", web::to(unknown_path));
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn explain(state: types::State<State>, request: types::Path<String>) -> HttpResponse {
    let (reply, outcome) = async_channel::bounded(1);
    let request = RequestId::new(request.into_inner());
    if state
        .events
        .try_send(Event::Explain(request, reply))
        .is_err()
    {
        return body::refusal_response(&Code::Overload.into(), None);
    }
    match outcome.recv().await {
        Ok(Some(outcome)) => HttpResponse::Ok().json(&outcome),
        _ => body::refusal_response(&Code::UnknownPath.into(), None),
    }
}

async fn ready(state: types::State<State>) -> HttpResponse {
    let (reply, answer) = async_channel::bounded(1);
    let asked = state.events.try_send(Event::IsReady(reply)).is_ok();
    if asked && answer.recv().await.unwrap_or(false) {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("no agent answers\n")
    }
}

async fn unknown_path() -> HttpResponse {
    refuse(Code::UnknownPath)
}

async fn address_advice(
    state: types::State<State>,
    request: HttpRequest,
    query: types::Query<AdviceQuery>,
) -> HttpResponse {
    if request.method() != Method::GET {
        return refuse(Code::WrongMethod);
    }
    let (reply, advice) = async_channel::bounded(1);
    let near = query.near.as_deref().map(Into::into);
    let event = Event::Advise {
        caller: query.caller.clone(),
        near,
        reply,
    };
    if state.events.try_send(event).is_err() {
        return refuse(Code::Overload);
    }
    match advice.recv().await {
        Ok(Some(advice)) => HttpResponse::Ok().json(&advice),
        _ => refuse(Code::Isolated),
    }
}

/// Tells the owner of an idempotency key the state of the work under it.
async fn key_status(
    state: types::State<State>,
    request: HttpRequest,
    key: types::Path<String>,
) -> HttpResponse {
    if request.method() != Method::GET {
        return refuse(Code::WrongMethod);
    }
    let Ok(key) = Uuid::parse_str(&key) else {
        return refuse(Code::KeyMalformed);
    };
    let (reply, status) = async_channel::bounded(1);
    let event = Event::KeyStatus {
        key,
        api_key_hash: api_key_hash(&request),
        reply,
    };
    if state.events.try_send(event).is_err() {
        return refuse(Code::Overload);
    }
    let Ok(status) = status.recv().await else {
        return refuse(Code::Stopping);
    };
    let Some(account) = status.account else {
        return refuse(Code::UnknownAccount);
    };
    let settled = status.settled.recv().await.unwrap_or(Settled::Unknown);
    key_status_response(key, &account, settled)
}

/// Returns the response to a status request for `key`, given the agent's reply `settled`.
fn key_status_response(key: Uuid, account: &AccountId, settled: Settled) -> HttpResponse {
    let (state, ran) = match settled {
        Settled::ClaimTaken {
            binding: Some(b), ..
        } if b.account != *account => return refuse(Code::KeyReused),
        Settled::ClaimTaken {
            answer: Some(_), ..
        } => ("answered", Ran::Yes),
        Settled::ClaimTaken {
            closed: Some(true), ..
        } => ("answered", Ran::Yes),
        Settled::ClaimTaken {
            closed: Some(false),
            ..
        } => ("may_have_run", Ran::Unknown),
        Settled::ClaimTaken { .. } => ("claimed", Ran::Unknown),
        Settled::ClaimFree => ("free", Ran::No),
        _ => return refuse(Code::ClaimUnavailable),
    };
    let body = serde_json::json!({"key": key, "state": state, "ran": ran.as_str()});
    HttpResponse::Ok().json(&body)
}

async fn chat(
    state: types::State<State>,
    request: HttpRequest,
    payload: types::Payload,
) -> HttpResponse {
    if request.method() != Method::POST {
        return refuse(Code::WrongMethod);
    }
    let mut pending_guard = state.pending_responses.track();
    let payload = match read_body(payload, state.max_body_bytes).await {
        Ok(payload) => payload,
        Err(code) => return refuse(code),
    };
    pending_guard.note_body_read();
    let Ok(call) = serde_json::from_slice::<ChatCall>(&payload) else {
        return refuse(Code::BadBody);
    };
    let claim_key = match idempotency_key(&request) {
        Ok(claim_key) => claim_key,
        Err(code) => return refuse(code),
    };
    let target = Target::Model(call.model.as_str().into());
    let fingerprint = fingerprint(&request, &payload);
    let priority = header_number(&request, "x-priority")
        .ok()
        .flatten()
        .unwrap_or(0);
    let arrival = match new_arrival(
        &request,
        target,
        call.expected_tokens(),
        claim_key,
        fingerprint,
    ) {
        Ok(arrival) => Arrival {
            hint: call.hint(priority),
            ..arrival
        },
        Err(code) => return refuse(code),
    };
    let request_handle = match RequestHandle::start(&state.events, arrival) {
        Ok(request_handle) => request_handle,
        Err(code) => return refuse(code),
    };
    let id = request_handle.request_id().clone();
    let params = GenerationParams {
        prompt: call.prompt(),
        max_tokens: call.max_tokens(),
        priority,
        at_most_once: claim_key.is_some(),
    };
    let (sender, parts) = async_channel::bounded(PART_BUFFER_LIMIT);
    ntex::rt::spawn(engine::answer(request_handle, params, sender));
    if call.stream {
        streamed_response(id, call.model, parts, pending_guard).await
    } else {
        whole_response(id, call, parts).await
    }
}

async fn whole_response(
    id: RequestId,
    call: ChatCall,
    parts: async_channel::Receiver<AnswerPart>,
) -> HttpResponse {
    let mut text = String::new();
    let mut tokens = 0;
    while let Ok(part) = parts.recv().await {
        match part {
            AnswerPart::Text(piece, count) => {
                text.push_str(&piece);
                tokens += count;
            }
            AnswerPart::Done => return body::completion(&id, &call.model, &text, tokens),
            AnswerPart::Refused(refusal) => return body::refusal_response(&refusal, Some(&id)),
        }
    }
    body::refusal_response(&broken_refusal(), Some(&id))
}

async fn streamed_response(
    id: RequestId,
    model: String,
    parts: async_channel::Receiver<AnswerPart>,
    pending_guard: PendingResponseGuard,
) -> HttpResponse {
    let first = match parts.recv().await {
        Ok(AnswerPart::Refused(refusal)) => return body::refusal_response(&refusal, Some(&id)),
        Ok(part) => part,
        Err(_) => return body::refusal_response(&broken_refusal(), Some(&id)),
    };
    let start = (Some(first), parts, false, pending_guard);
    let events =
        futures_util::stream::unfold(start, move |(first, parts, ended, pending_guard)| {
            let (id, model) = (id.clone(), model.clone());
            async move {
                if ended {
                    return None;
                }
                let part = match first {
                    Some(part) => Some(part),
                    None => parts.recv().await.ok(),
                };
                let (bytes, ended) = part_event(&id, &model, part);
                Some((
                    Ok::<_, std::io::Error>(bytes),
                    (None, parts, ended, pending_guard),
                ))
            }
        });
    let mut response = HttpResponse::Ok();
    response.header("x-result-code", Code::Ok.number().to_string());
    response
        .content_type("text/event-stream")
        .streaming(Box::pin(events))
}

/// Returns the event for a part, and whether it ends the answer.
fn part_event(id: &RequestId, model: &str, part: Option<AnswerPart>) -> (Bytes, bool) {
    match part {
        Some(AnswerPart::Text(text, _)) => (body::chunk_event(id, model, Some(&text)), false),
        Some(AnswerPart::Done) => {
            let mut bytes = body::chunk_event(id, model, None).to_vec();
            bytes.extend_from_slice(&body::end_event());
            (Bytes::from(bytes), true)
        }
        Some(AnswerPart::Refused(refusal)) => (body::error_event(&refusal, id), true),
        None => (body::error_event(&broken_refusal(), id), true),
    }
}

/// Returns the refusal of a request whose task ended without a final answer.
fn broken_refusal() -> Refusal {
    Refusal::from(Code::Broken)
}

/// Returns the response that refuses a request for a reason found outside the state machine.
fn refuse(code: Code) -> HttpResponse {
    let refusal = Refusal {
        retry_after: Some(RETRY_AFTER),
        ..Refusal::from(code)
    };
    body::refusal_response(&refusal, None)
}

/// Reads a body of at most `max_body_bytes`.
///
/// Fails with [`Code::BodyTooLarge`] if it is larger, and with [`Code::BodyTimeout`] if it is cut
/// off or not complete within [`BODY_TIMEOUT`].
async fn read_body(mut payload: types::Payload, max_body_bytes: usize) -> Result<Bytes, Code> {
    let wait = Millis(BODY_TIMEOUT.as_millis() as u32);
    let read = async {
        let mut body = BytesMut::new();
        while let Some(bytes) = payload.recv().await {
            let bytes = bytes.map_err(|_| Code::BodyTimeout)?;
            if body.len() + bytes.len() > max_body_bytes {
                return Err(Code::BodyTooLarge);
            }
            body.extend_from_slice(&bytes);
        }
        Ok(body.freeze())
    };
    let read = ntex::time::timeout(wait, read).await;
    read.unwrap_or(Err(Code::BodyTimeout))
}

/// Returns a hash of the method, path and body. It tells whether a request with a known idempotency
/// key is the same one sent again.
fn fingerprint(request: &HttpRequest, body: &[u8]) -> String {
    let head = format!("{} {}\n", request.method(), request.path());
    let mut hash = hash::sha256_hex(&[head.as_bytes(), body].concat());
    hash.truncate(FINGERPRINT_DIGITS);
    hash
}

async fn call_service(
    state: types::State<State>,
    request: HttpRequest,
    path: types::Path<(String, String)>,
    payload: types::Payload,
) -> HttpResponse {
    let mut pending_guard = state.pending_responses.track();
    let payload = match read_body(payload, state.max_body_bytes).await {
        Ok(payload) => payload,
        Err(code) => return refuse(code),
    };
    pending_guard.note_body_read();
    let (service, path) = path.into_inner();
    let claim_key = match service_idempotency_key(&request) {
        Ok(claim_key) => claim_key,
        Err(code) => return refuse(code),
    };
    let target = Target::Service(service.as_str().into());
    let fingerprint = fingerprint(&request, &payload);
    let arrival = match new_arrival(&request, target, SERVICE_TOKENS, claim_key, fingerprint) {
        Ok(arrival) => arrival,
        Err(code) => return refuse(code),
    };
    let request_handle = match RequestHandle::start(&state.events, arrival) {
        Ok(request_handle) => request_handle,
        Err(code) => return refuse(code),
    };
    let query = request.query_string();
    let path = if query.is_empty() {
        path
    } else {
        format!("{path}?{query}")
    };
    let call = ServiceCall {
        method: request.method().clone(),
        path,
        media_type: header_text(&request, "content-type")
            .unwrap_or_default()
            .to_owned(),
        body: payload,
        at_most_once: claim_key.is_some(),
    };
    service::answer(request_handle, call).await
}

fn idempotency_key(request: &HttpRequest) -> Result<Option<Uuid>, Code> {
    let key = match request.headers().get("idempotency-key") {
        Some(key) => key.to_str().map_err(|_| Code::KeyMalformed)?,
        None => return Ok(None),
    };
    let key = Uuid::parse_str(key).map_err(|_| Code::KeyMalformed)?;
    Ok(Some(key))
}

/// Returns the idempotency key of a call to a plain service.
///
/// A call needs a key unless its method is GET or HEAD or the caller declares it idempotent.
fn service_idempotency_key(request: &HttpRequest) -> Result<Option<Uuid>, Code> {
    let key = idempotency_key(request)?;
    let safe = matches!(*request.method(), Method::GET | Method::HEAD);
    let declared = header_text(request, "x-idempotent") == Some("yes");
    if key.is_none() && !safe && !declared {
        return Err(Code::KeyMissing);
    }
    Ok(key)
}

/// Returns the SHA-256 of the API key, in hexadecimal.
fn api_key_hash(request: &HttpRequest) -> String {
    let key = header_text(request, "authorization").and_then(|v| v.strip_prefix("Bearer "));
    hash::sha256_hex(key.unwrap_or_default().as_bytes())
}

fn new_arrival(
    request: &HttpRequest,
    target: Target,
    tokens: u64,
    idempotency_key: Option<Uuid>,
    body_fingerprint: String,
) -> Result<Arrival, Code> {
    let deadline = header_number::<u64>(request, "x-deadline-ms")?.map(Duration::from_millis);
    Ok(Arrival {
        request: RequestId::new(Uuid::now_v7().to_string()),
        key_hash: api_key_hash(request),
        target,
        tokens,
        deadline: clock::now() + deadline.unwrap_or(DEFAULT_DEADLINE),
        idempotency_key,
        body_fingerprint,
        hint: Hint::default(),
    })
}

fn header_text<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name).and_then(|v| v.to_str().ok())
}

fn header_number<T: std::str::FromStr>(
    request: &HttpRequest,
    name: &str,
) -> Result<Option<T>, Code> {
    header_text(request, name)
        .map(|v| v.parse().map_err(|_| Code::BadHeader))
        .transpose()
}
