//! The gateway's HTTP interface for callers.

use std::time::Duration;

use crossbeam_channel::Sender;
use hemlock_lib::codes::Code;
use hemlock_lib::gateway::{Arrival, Hint, Target};
use hemlock_lib::hash;
use hemlock_lib::ids::RequestId;
use hemlock_lib::seal::KeyRing;
use hemlock_wire::clock;
use ntex::http::Method;
use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig, types};
use serde::Deserialize;
use uuid::Uuid;

use crate::body::{self, ChatCall};
use crate::drive::Driven;
use crate::mind::Event;
use crate::model::{self, PIECES, Part, Question};
use crate::service::{self, Pass};
use crate::slices;

/// Time that a request has when its caller names no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
/// Work of a call to a plain service, in tokens.
const SERVICE_TOKENS: u64 = 1;

/// What the routes share.
#[derive(Debug, Clone)]
pub(crate) struct State {
    pub(crate) events: Sender<Event>,
    pub(crate) limit: usize,
    pub(crate) keys: Option<KeyRing>,
}

#[derive(Debug, Deserialize)]
struct AdviceQuery {
    #[serde(default)]
    caller: String,
    near: Option<String>,
}

/// Adds the routes.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config
        .route("/v1/entry", web::get().to(entry))
        .route("/v1/chat/completions", web::post().to(chat))
        .route("/v1/services/{service}/{path}*", web::to(pass))
        .route(slices::PATH, web::post().to(slices::answer))
        .route("/healthz", web::get().to(health))
        .route("/readyz", web::get().to(ready));
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn ready(state: types::State<State>) -> HttpResponse {
    let (reply, answer) = async_channel::bounded(1);
    let asked = state.events.try_send(Event::Ready(reply)).is_ok();
    if asked && answer.recv().await.unwrap_or(false) {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("no agent answers\n")
    }
}

async fn entry(state: types::State<State>, query: types::Query<AdviceQuery>) -> HttpResponse {
    let (reply, advice) = async_channel::bounded(1);
    let near = query.near.as_deref().map(Into::into);
    let event = Event::Advise {
        caller: query.caller.clone(),
        near,
        reply,
    };
    if state.events.try_send(event).is_err() {
        return body::refusal(Code::Overload, None, None);
    }
    match advice.recv().await {
        Ok(Some(advice)) => HttpResponse::Ok().json(&advice),
        _ => body::refusal(Code::Isolated, None, None),
    }
}

async fn chat(state: types::State<State>, request: HttpRequest, payload: Bytes) -> HttpResponse {
    if payload.len() > state.limit {
        return body::refusal(Code::BodyTooLarge, None, None);
    }
    let Ok(call) = serde_json::from_slice::<ChatCall>(&payload) else {
        return body::refusal(Code::BadBody, None, None);
    };
    let target = Target::Model(call.model.as_str().into());
    let arrival = match arrival(&request, target, call.tokens(), None) {
        Ok(arrival) => Arrival {
            hint: call.hint(number(&request, "x-priority").ok().flatten().unwrap_or(0)),
            ..arrival
        },
        Err(code) => return body::refusal(code, None, None),
    };
    let driven = match Driven::start(&state.events, arrival) {
        Ok(driven) => driven,
        Err(code) => return body::refusal(code, None, Some(Duration::from_secs(1))),
    };
    let id = driven.request().clone();
    let question = Question {
        prompt: call.prompt(),
        max_tokens: call.max_tokens(),
        priority: number(&request, "x-priority").ok().flatten().unwrap_or(0),
    };
    let (sender, parts) = async_channel::bounded(PIECES);
    ntex::rt::spawn(model::answer(driven, question, sender));
    if call.stream {
        streamed(id, call.model, parts).await
    } else {
        whole(id, call, parts).await
    }
}

async fn whole(
    id: RequestId,
    call: ChatCall,
    parts: async_channel::Receiver<Part>,
) -> HttpResponse {
    let mut text = String::new();
    let mut tokens = 0;
    while let Ok(part) = parts.recv().await {
        match part {
            Part::Text(piece) => {
                text.push_str(&piece);
                tokens += 1;
            }
            Part::Done => return body::whole(&id, &call.model, &text, tokens),
            Part::Refused(code, after) => return body::refusal(code, Some(&id), Some(after)),
        }
    }
    body::refusal(Code::Broken, Some(&id), None)
}

async fn streamed(
    id: RequestId,
    model: String,
    parts: async_channel::Receiver<Part>,
) -> HttpResponse {
    let first = match parts.recv().await {
        Ok(Part::Refused(code, after)) => return body::refusal(code, Some(&id), Some(after)),
        Ok(part) => part,
        Err(_) => return body::refusal(Code::Broken, Some(&id), None),
    };
    let start = (Some(first), parts, false);
    let events = futures_util::stream::unfold(start, move |(first, parts, ended)| {
        let (id, model) = (id.clone(), model.clone());
        async move {
            if ended {
                return None;
            }
            let part = match first {
                Some(part) => Some(part),
                None => parts.recv().await.ok(),
            };
            let (bytes, ended) = event(&id, &model, part);
            Some((Ok::<_, std::io::Error>(bytes), (None, parts, ended)))
        }
    });
    let mut response = HttpResponse::Ok();
    response.header("x-result-code", Code::Ok.number().to_string());
    response
        .content_type("text/event-stream")
        .streaming(Box::pin(events))
}

fn event(id: &RequestId, model: &str, part: Option<Part>) -> (Bytes, bool) {
    match part {
        Some(Part::Text(text)) => (body::chunk(id, model, Some(&text)), false),
        Some(Part::Done) => {
            let mut bytes = body::chunk(id, model, None).to_vec();
            bytes.extend_from_slice(&body::end());
            (Bytes::from(bytes), true)
        }
        Some(Part::Refused(code, _)) => (error_event(id, code), true),
        None => (error_event(id, Code::Broken), true),
    }
}

fn error_event(id: &RequestId, code: Code) -> Bytes {
    Bytes::from(format!(
        "event: error\ndata: {}\n\n",
        body::error_body(code, Some(id))
    ))
}

async fn pass(
    state: types::State<State>,
    request: HttpRequest,
    path: types::Path<(String, String)>,
    payload: Bytes,
) -> HttpResponse {
    if payload.len() > state.limit {
        return body::refusal(Code::BodyTooLarge, None, None);
    }
    let (service, path) = path.into_inner();
    let once = match idempotency(&request) {
        Ok(once) => once,
        Err(code) => return body::refusal(code, None, None),
    };
    let target = Target::Service(service.as_str().into());
    let arrival = match arrival(&request, target, SERVICE_TOKENS, once) {
        Ok(arrival) => arrival,
        Err(code) => return body::refusal(code, None, None),
    };
    let driven = match Driven::start(&state.events, arrival) {
        Ok(driven) => driven,
        Err(code) => return body::refusal(code, None, Some(Duration::from_secs(1))),
    };
    let pass = Pass {
        method: request.method().clone(),
        path,
        kind: text(&request, "content-type")
            .unwrap_or_default()
            .to_owned(),
        body: payload,
        once: once.is_some(),
    };
    service::answer(driven, pass).await
}

fn idempotency(request: &HttpRequest) -> Result<Option<Uuid>, Code> {
    let key = match text(request, "idempotency-key") {
        Some(key) => Some(Uuid::parse_str(key).map_err(|_| Code::KeyMalformed)?),
        None => None,
    };
    let safe = matches!(*request.method(), Method::GET | Method::HEAD);
    let declared = text(request, "x-idempotent") == Some("yes");
    if key.is_none() && !safe && !declared {
        return Err(Code::KeyMissing);
    }
    Ok(key)
}

fn arrival(
    request: &HttpRequest,
    target: Target,
    tokens: u64,
    once: Option<Uuid>,
) -> Result<Arrival, Code> {
    let key = text(request, "authorization").and_then(|v| v.strip_prefix("Bearer "));
    let deadline = number::<u64>(request, "x-deadline-ms")?.map(Duration::from_millis);
    Ok(Arrival {
        request: RequestId::new(Uuid::now_v7().to_string()),
        key_hash: hash::sha256_hex(key.unwrap_or_default().as_bytes()),
        target,
        tokens,
        deadline: clock::now() + deadline.unwrap_or(DEFAULT_DEADLINE),
        once,
        hint: Hint::default(),
    })
}

fn text<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name).and_then(|v| v.to_str().ok())
}

fn number<T: std::str::FromStr>(request: &HttpRequest, name: &str) -> Result<Option<T>, Code> {
    text(request, name)
        .map(|v| v.parse().map_err(|_| Code::BadHeader))
        .transpose()
}
