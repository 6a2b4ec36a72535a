//! The HTTP interface of the agent, for the other daemons and for operators.

use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Sender;
use hemlock_lib::agent::Input;
use hemlock_lib::codec;
use hemlock_lib::peers::{Settled, Submit, Suspicion};
use ntex::util::Bytes;
use ntex::web::error::QueryPayloadError;
use ntex::web::{self, HttpResponse, ServiceConfig, types};
use serde::Deserialize;

use crate::event_loop::Event;
use crate::view_history::ViewHistory;

/// Longest time that a request may wait for a view or a settled record, in milliseconds.
const MAX_WAIT_MS: u64 = 10_000;

/// State that all routes share.
#[derive(Debug, Clone)]
pub(crate) struct State {
    pub(crate) events: Sender<Event>,
    pub(crate) views: Arc<ViewHistory>,
}

#[derive(Debug, Deserialize)]
struct ViewQuery {
    #[serde(default)]
    run: u64,
    #[serde(default)]
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Debug, Deserialize)]
struct SubmitQuery {
    wait_ms: u64,
}

/// Registers the routes.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config
        .route("/v1/view", web::get().to(view))
        .route("/v1/submit", web::post().to(submit))
        .route("/v1/change", web::get().to(change))
        .route("/v1/states", web::get().to(states))
        .route("/v1/spare", web::post().to(spare))
        .route("/v1/suspicions", web::post().to(suspicions))
        .route("/v1/leave", web::post().to(leave))
        .route("/healthz", web::get().to(health))
        .route("/readyz", web::get().to(ready));
}

async fn view(state: types::State<State>, query: types::Query<ViewQuery>) -> HttpResponse {
    let wait = Duration::from_millis(query.wait_ms.min(MAX_WAIT_MS));
    encoded_response(state.views.encoded_view(query.after, wait).await)
}

async fn change(state: types::State<State>, query: types::Query<ViewQuery>) -> HttpResponse {
    let wait = Duration::from_millis(query.wait_ms.min(MAX_WAIT_MS));
    encoded_response(
        state
            .views
            .encoded_change(query.run, query.after, wait)
            .await,
    )
}

/// Returns a response with the encoded view, or 503 if there is none.
fn encoded_response(bytes: Option<Vec<u8>>) -> HttpResponse {
    match bytes {
        Some(bytes) => HttpResponse::Ok().body(bytes),
        None => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn submit(
    state: types::State<State>,
    query: Result<types::Query<SubmitQuery>, QueryPayloadError>,
    body: Bytes,
) -> HttpResponse {
    // The query is checked only after the body has been read. A server that closes a connection
    // with the body unread may reset it, and the caller would lose the reply.
    let Ok(query) = query else {
        return HttpResponse::BadRequest().finish();
    };
    let Ok(submit) = codec::decode::<Submit>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let (reply, settled) = async_channel::bounded(1);
    let wait = Duration::from_millis(query.wait_ms.min(MAX_WAIT_MS));
    if state
        .events
        .try_send(Event::Submit {
            submit,
            wait,
            reply,
        })
        .is_err()
    {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let settled = settled.recv().await.unwrap_or(Settled::Unknown);
    HttpResponse::Ok().body(codec::encode(&settled))
}

async fn states(state: types::State<State>) -> HttpResponse {
    let (reply, states) = async_channel::bounded(1);
    if state.events.try_send(Event::States(reply)).is_err() {
        return HttpResponse::ServiceUnavailable().finish();
    }
    match states.recv().await {
        Ok(states) => HttpResponse::Ok().body(codec::encode(&states)),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn spare(state: types::State<State>, body: Bytes) -> HttpResponse {
    let Ok(spare) = codec::decode::<f64>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let _ = state
        .events
        .try_send(Event::Input(Input::SpareCapacity(spare)));
    HttpResponse::NoContent().finish()
}

async fn suspicions(state: types::State<State>, body: Bytes) -> HttpResponse {
    let Ok(suspicions) = codec::decode::<Vec<Suspicion>>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let _ = state
        .events
        .try_send(Event::Input(Input::Suspect(suspicions)));
    HttpResponse::NoContent().finish()
}

async fn leave(state: types::State<State>) -> HttpResponse {
    let _ = state.events.try_send(Event::Input(Input::Leave));
    HttpResponse::NoContent().finish()
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn ready(state: types::State<State>) -> HttpResponse {
    if state.views.is_ready() {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("neither the log nor a peer answers\n")
    }
}
