//! Sends whose endpoints are silent. They are held open while the request is sent elsewhere, and the
//! first send that goes on answers: a stream with a complete event or its orderly end, any other
//! response with its head.

use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;

use hemlock_lib::node::passing::{self, Origin, PeerReport};
use hemlock_wire::http1::ResponseHead;

use super::exchange::{Exchange, HeadVerdict, Phase, Receiver, advance_head};
use super::stream::MAX_EVENT_BYTES;
use super::{MAX_HEAD_BYTES, SendOutcome};
use crate::front::Request;
use crate::metrics::Counter;
use crate::state::Node;

/// What the other sends of a request tell those that are held.
#[derive(Debug, Clone, Default)]
pub(super) struct Signals {
    /// Another send has begun to write to the caller, so that it answers.
    pub(super) is_committed: Rc<Cell<bool>>,
    /// Nothing is done for the request but to listen to the sends that are held.
    pub(super) is_listening: Rc<Cell<bool>>,
}

/// What became of held sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeldEvent {
    /// The send with this index goes on.
    GoesOn(usize),
    /// Sends have ended while nothing else is done for the request.
    Ended,
    /// Another send answers.
    Committed,
}

/// Listens to held sends. Those that end are marked so.
pub(super) async fn watch(
    node: &Rc<Node>,
    request: &Request,
    held: &mut [Exchange],
    signals: &Signals,
) -> HeldEvent {
    let open = held.iter_mut();
    let mut open: Vec<_> = open
        .map(|send| Some(Box::pin(listen(node, request, send))))
        .collect();
    let mut has_ended = false;
    poll_fn(|cx| {
        if signals.is_committed.get() {
            return Poll::Ready(HeldEvent::Committed);
        }
        for (index, slot) in open.iter_mut().enumerate() {
            let Some(Poll::Ready(goes_on)) = slot.as_mut().map(|l| l.as_mut().poll(cx)) else {
                continue;
            };
            if goes_on {
                return Poll::Ready(HeldEvent::GoesOn(index));
            }
            *slot = None;
            has_ended = true;
        }
        match has_ended && signals.is_listening.get() {
            true => Poll::Ready(HeldEvent::Ended),
            false => Poll::Pending,
        }
    })
    .await
}

/// Reads from a held send until it goes on or ends; returns whether it goes on. Cancel-safe.
async fn listen(node: &Rc<Node>, request: &Request, held: &mut Exchange) -> bool {
    if held.ended_by.is_some() {
        return false;
    }
    match read_on(node, request, held).await {
        Ok(()) => true,
        Err(outcome) => {
            held.ended_by = Some(outcome.cause());
            false
        }
    }
}

/// Reads from a held send until it goes on. Fails with the outcome of a send that ends otherwise.
async fn read_on(
    node: &Rc<Node>,
    request: &Request,
    held: &mut Exchange,
) -> Result<(), SendOutcome> {
    loop {
        if let Phase::Body(body) = &mut held.phase {
            if !request.route.request_kind.is_stream() || !(200..300).contains(&body.head.status) {
                return Ok(());
            }
            if body.splitter.has_event() {
                return Ok(());
            }
            let piece = held.conn.read_body_piece(&mut body.head.body_framing).await;
            match piece {
                Ok(Some(bytes)) => {
                    body.splitter.push(&bytes);
                    let is_too_large = !body.splitter.has_event()
                        && body.splitter.partial().len() > MAX_EVENT_BYTES;
                    held.note_piece(node, node.now());
                    if is_too_large {
                        return Err(SendOutcome::MayHaveRun("too_large"));
                    }
                }
                Ok(None) => {
                    return match is_cut_off(held) {
                        true => Err(held.cut_off(node, request)),
                        false => Ok(()),
                    };
                }
                Err(e) => return Err(held.connection_broken(node, request, &e)),
            }
            continue;
        }
        match held.receiver.clone() {
            Receiver::Endpoint(to) => {
                let head = advance_head(&mut held.conn, &mut held.phase).await;
                let head = match head {
                    Ok(Some(head)) => head,
                    Ok(None) => continue,
                    Err(e) => return Err(held.head_failed(node, request, &e)),
                };
                held.heard_at = node.now();
                match held.judge_head(node, request, &to, head) {
                    HeadVerdict::Answer | HeadVerdict::Skip => {}
                    HeadVerdict::NotRun(cause, _) => return Err(SendOutcome::NotRun(cause)),
                    HeadVerdict::Failed(outcome) => return Err(outcome),
                }
            }
            Receiver::Peer(..) => {
                if let Phase::Arrived(_) = held.phase {
                    return Ok(());
                }
                match held.conn.read_any_response_head(MAX_HEAD_BYTES).await {
                    Ok(head) if head.status < 200 => held.heard_at = node.now(),
                    Ok(head) => {
                        let has_answer = is_of_endpoint(&head);
                        held.phase = Phase::Arrived(Box::new(head));
                        if !has_answer {
                            return Err(SendOutcome::PeerLost("peer_failed"));
                        }
                    }
                    Err(_) => return Err(SendOutcome::PeerLost("peer_broken")),
                }
            }
        }
    }
}

/// Returns whether a stream that has ended lacks its answer.
fn is_cut_off(held: &Exchange) -> bool {
    match &held.phase {
        Phase::Body(body) => held.is_cut_off(body),
        _ => false,
    }
}

/// Returns whether the response of a peer is one of an endpoint.
fn is_of_endpoint(head: &ResponseHead) -> bool {
    let report = head.headers.get(passing::REPORT_HEADER);
    let report = report.and_then(|text| passing::decode::<PeerReport>(text).ok());
    report.is_some_and(|r| matches!(r.origin, Origin::Endpoint { .. }))
}

/// Logs and counts held sends that are dropped, since another send answers.
pub(super) fn drop_all(node: &Node, request: &Request, held: &mut Vec<Exchange>) {
    for held in held.drain(..) {
        let cause = held.ended_by.unwrap_or(held.held_for);
        log_end(node, request, &held, cause);
    }
}

/// Logs and counts a held send that has ended.
pub(super) fn log_end(node: &Node, request: &Request, held: &Exchange, cause: &'static str) {
    let now = node.now();
    if let Receiver::Peer(..) = held.receiver {
        node.metrics.count(Counter::PassedOn, cause);
    }
    log::info!(
        "event=send_failed request={} id={} cause={cause} may_have_run=true events={} open={} \
         quiet_ms={} left_ms={}",
        request.meta.request_id,
        held.name(),
        held.events_before + held.of_endpoint,
        held.ended_by.is_none(),
        now.since(held.heard_at).as_millis(),
        request.deadline.since(now).as_millis()
    );
    node.metrics.count(Counter::SendsFailed, cause);
}
