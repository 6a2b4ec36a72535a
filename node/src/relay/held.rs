//! Sends whose endpoints are silent. They are held open while the request is sent elsewhere, and the
//! first send that goes on answers: a stream whose events arrive again or that has its orderly end, any
//! other response once it is complete. What was under way when an endpoint was lost may still arrive, so
//! that a first event alone does not end another send.

use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use hemlock_lib::node::passing::{self, Origin, PeerReport};
use hemlock_wire::http1::{Framing, ResponseHead};

use super::exchange::{Body, Exchange, HeadVerdict, Phase, Receiver, advance_head};
use super::stream::MAX_EVENT_BYTES;
use super::{MAX_HEAD_BYTES, SendOutcome};
use crate::front::Request;
use crate::metrics::Counter;
use crate::state::Node;

/// Time over which the events of a held stream must arrive before another send is given up for it.
const STEADY_TIME: Duration = Duration::from_millis(100);

/// How a held send goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// It answers.
    Answers,
    /// Its complete answer is a failure, which is used only if no other send answers.
    Fails,
}

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
        .map(|send| Some(Box::pin(listen(node, request, send, signals))))
        .collect();
    let mut has_ended = false;
    let mut failure = None;
    poll_fn(|cx| {
        if signals.is_committed.get() {
            return Poll::Ready(HeldEvent::Committed);
        }
        for (index, slot) in open.iter_mut().enumerate() {
            let Some(Poll::Ready(progress)) = slot.as_mut().map(|l| l.as_mut().poll(cx)) else {
                continue;
            };
            *slot = None;
            match progress {
                Some(Progress::Answers) => return Poll::Ready(HeldEvent::GoesOn(index)),
                Some(Progress::Fails) => failure = Some(index),
                None => has_ended = true,
            }
        }
        if !signals.is_listening.get() {
            return Poll::Pending;
        }
        match failure {
            Some(index) if open.iter().all(Option::is_none) => {
                Poll::Ready(HeldEvent::GoesOn(index))
            }
            _ if has_ended => Poll::Ready(HeldEvent::Ended),
            _ => Poll::Pending,
        }
    })
    .await
}

/// Reads from a held send until it goes on or ends; `None` means that it ends. Cancel-safe.
async fn listen(
    node: &Rc<Node>,
    request: &Request,
    held: &mut Exchange,
    signals: &Signals,
) -> Option<Progress> {
    if held.ended_by.is_some() {
        return None;
    }
    match read_on(node, request, held, signals).await {
        Ok(progress) => Some(progress),
        Err(outcome) => {
            held.ended_by = Some(outcome.cause());
            None
        }
    }
}

/// Waits until nothing else is done for the request.
async fn nothing_else(signals: &Signals) {
    poll_fn(|_| match signals.is_listening.get() {
        true => Poll::Ready(()),
        false => Poll::Pending,
    })
    .await;
}

/// Returns whether a status is a failure that another send may make good.
fn is_failure(status: u16) -> bool {
    status >= 500 || matches!(status, 408 | 421 | 429)
}

/// Reads from a held send until it goes on. Fails with the outcome of a send that ends otherwise.
async fn read_on(
    node: &Rc<Node>,
    request: &Request,
    held: &mut Exchange,
    signals: &Signals,
) -> Result<Progress, SendOutcome> {
    loop {
        if let Phase::Body(body) = &mut held.phase {
            let Body { head, answer, .. } = &mut **body;
            if !request.route.request_kind.is_stream() || !(200..300).contains(&head.status) {
                if request.head.method == "HEAD" {
                    head.body_framing = Framing::Done;
                }
                let progress = match is_failure(head.status) {
                    true => Progress::Fails,
                    false => Progress::Answers,
                };
                return match answer.read(&mut held.conn, &mut head.body_framing).await {
                    Ok(true) => Ok(progress),
                    Ok(false) => Err(SendOutcome::MayHaveRun("too_large")),
                    Err(e) => Err(held.connection_broken(node, request, &e)),
                };
            }
            let has_event = body.splitter.has_event();
            let piece = tokio::select! {
                biased;
                () = nothing_else(signals), if has_event => return Ok(Progress::Answers),
                piece = held.conn.read_body_piece(&mut body.head.body_framing) => piece,
            };
            match piece {
                Ok(Some(bytes)) => {
                    let now = node.now();
                    body.splitter.push(&bytes);
                    let has_event = body.splitter.has_event();
                    let is_too_large = body.splitter.partial().len() > MAX_EVENT_BYTES;
                    held.note_piece(node, now);
                    if has_event {
                        let since = *held.moving_since.get_or_insert(now);
                        if is_too_large || now.since(since) >= STEADY_TIME {
                            return Ok(Progress::Answers);
                        }
                    } else if is_too_large {
                        return Err(SendOutcome::MayHaveRun("too_large"));
                    }
                }
                Ok(None) if has_event => return Ok(Progress::Answers),
                Ok(None) => {
                    return match is_cut_off(held) {
                        true => Err(held.cut_off(node, request)),
                        false => Ok(Progress::Answers),
                    };
                }
                Err(e) => return Err(held.connection_broken(node, request, &e)),
            }
            continue;
        }
        match held.receiver.clone() {
            Receiver::Endpoint(to) => {
                let head = advance_head(&mut held.conn, &mut held.phase, &request.body).await;
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
                if let Phase::Arrived(head) = &held.phase {
                    return Ok(match is_failure(head.status) {
                        true => Progress::Fails,
                        false => Progress::Answers,
                    });
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
