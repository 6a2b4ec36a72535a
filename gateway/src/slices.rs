//! Slices of account limits between gateways: the route of the home and the calls of the user.

use std::time::Duration;

use crossbeam_channel::Sender;
use hemlock_lib::gateway::Gateway;
use hemlock_lib::message_auth::KeyRing;
use hemlock_lib::slices::SliceRequest;
use hemlock_lib::time::Time;
use hemlock_wire::http_client;
use ntex::util::Bytes;
use ntex::web::{HttpResponse, types};

use crate::event_loop::{Call, Event};
use crate::routes::State;

/// Path of the route.
pub(crate) const PATH: &str = "/v1/slices";
/// Time after which an ask is given up; the next one is sent sooner.
const WAIT: Duration = Duration::from_secs(1);

/// Answers another gateway's ask.
pub(crate) async fn answer(state: types::State<State>, payload: Bytes) -> HttpResponse {
    let Some(keys) = &state.keys else {
        return HttpResponse::NotFound().finish();
    };
    let Some(ask) = keys.verify_call::<SliceRequest>(&payload) else {
        return HttpResponse::Forbidden().finish();
    };
    let (reply, answer) = async_channel::bounded(1);
    if state.events.try_send(Event::Slices(ask, reply)).is_err() {
        return HttpResponse::ServiceUnavailable().finish();
    }
    match answer.recv().await {
        Ok(Some(reply)) => HttpResponse::Ok().body(keys.sign_call(&reply)),
        _ => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// Sends the asks that are due; one for this gateway itself is answered on the spot.
pub(crate) fn ask(
    gateway: &mut Gateway,
    now: Time,
    keys: &KeyRing,
    calls: &async_channel::Sender<Call>,
) {
    for (address, ask) in gateway.slice_requests(now) {
        if ask.from == ask.to {
            if let Some(reply) = gateway.answer_slice_request(now, &ask) {
                gateway.apply_slice_reply(&reply);
            }
        } else {
            let _ = calls.try_send(Call::Slices(address, ask, keys.clone()));
        }
    }
}

/// Sends one ask and passes the reply on.
pub(crate) async fn send(
    address: &str,
    ask: &SliceRequest,
    keys: &KeyRing,
    events: &Sender<Event>,
) {
    let url = format!("{address}{PATH}");
    let Ok(body) = http_client::post(&url, keys.sign_call(ask), WAIT).await else {
        return;
    };
    if let Some(reply) = keys.verify_call(&body) {
        let _ = events.try_send(Event::SliceReply(reply));
    }
}
