//! Client account limits shared between gateways by slices: the route on which the allocator of an
//! account grants slices, and the requests that a gateway sends to it.

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

/// Path of the route that grants slices.
pub(crate) const PATH: &str = "/v1/slices";
/// Time after which a request is given up. The next request is sent earlier than that.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves another gateway's request for slices: 404 if limits are not shared by slices, 403 if the
/// request is not authentic, 503 if the event loop can't answer.
pub(crate) async fn serve(state: types::State<State>, payload: Bytes) -> HttpResponse {
    let Some(keys) = &state.keys else {
        return HttpResponse::NotFound().finish();
    };
    let Some(request) = keys.verify_call::<SliceRequest>(&payload) else {
        return HttpResponse::Forbidden().finish();
    };
    let (reply, answer) = async_channel::bounded(1);
    if state
        .events
        .try_send(Event::SlicesRequested(request, reply))
        .is_err()
    {
        return HttpResponse::ServiceUnavailable().finish();
    }
    match answer.recv().await {
        Ok(Some(reply)) => HttpResponse::Ok().body(keys.sign_call(&reply)),
        _ => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// Sends the requests that are due; one whose allocator is this gateway is answered without a call.
pub(crate) fn request_slices(
    gateway: &mut Gateway,
    now: Time,
    keys: &KeyRing,
    calls: &async_channel::Sender<Call>,
) {
    for (address, request) in gateway.slice_requests(now) {
        if request.from == request.to {
            if let Some(reply) = gateway.answer_slice_request(now, &request) {
                gateway.apply_slice_reply(&reply);
            }
        } else {
            let _ = calls.try_send(Call::Slices(address, request, keys.clone()));
        }
    }
}

/// Sends one request and passes an authentic reply on to the event loop. Failed requests and other
/// replies are ignored.
pub(crate) async fn send(
    address: &str,
    request: &SliceRequest,
    keys: &KeyRing,
    events: &Sender<Event>,
) {
    let url = format!("{address}{PATH}");
    let Ok(body) = http_client::post(&url, keys.sign_call(request), REQUEST_TIMEOUT).await else {
        return;
    };
    if let Some(reply) = keys.verify_call(&body) {
        let _ = events.try_send(Event::SliceReply(reply));
    }
}
