//! Forwarding of streams event by event, so that another endpoint can continue after the last
//! complete event.

use std::time::Duration;

use bytes::Bytes;
use hemlock_lib::node::events::{self, EventPosition};
use hemlock_lib::time::Time;
use hemlock_platform::requests;
use hemlock_wire::http1::{self, Conn, ResponseHead};
use tokio::task::coop::unconstrained;

use super::exchange::{Body, Exchange, Receiver};
use super::pass_on::PEER_CHECK_INTERVAL;
use super::{Relay, SendOutcome, SilenceTimer};
use crate::front::ConnectionAction;
use crate::metrics::{Counter, Latency};

/// Maximum size in bytes of an event of a stream; usual ones hold a few tokens.
pub(super) const MAX_EVENT_BYTES: usize = 64 << 10;

/// Pieces of a stream that are forwarded after its deadline if they are ready; the timer of the
/// deadline may not be looked at while an endpoint always has bytes ready.
const MAX_LATE_PIECES: u32 = 256;

impl Relay<'_> {
    /// Forwards a stream event by event, first those that arrived while its send was held.
    pub(super) async fn relay_stream(
        &mut self,
        caller: &mut Conn,
        send: &mut Exchange,
        body: &mut Body,
    ) -> SendOutcome {
        let mut silence = SilenceTimer::new(self.node.now());
        let mut late_pieces = 0;
        let time_left = self.request.deadline.since(self.node.now());
        let mut deadline = std::pin::pin!(tokio::time::sleep(time_left));
        if send.has_started() {
            if self.delivered.first_event_after.is_none() {
                self.note_progress(send.heard_at, true);
            }
            if let Err(outcome) = self.forward_events(caller, send, body, true).await {
                return outcome;
            }
        }
        loop {
            let now = self.node.now();
            let has_started = send.has_started();
            let wait = match send.receiver {
                Receiver::Endpoint(_) => self.silence_wait(now, silence.since, !has_started),
                Receiver::Peer(..) => PEER_CHECK_INTERVAL,
            };
            let piece = tokio::select! {
                biased;
                piece = send.conn.read_body_piece(&mut body.head.body_framing) => piece,
                disconnected = unconstrained(self.caller_disconnected(caller)) => {
                    if disconnected { return SendOutcome::CallerLeft }
                    continue;
                }
                () = unconstrained(&mut deadline) => return SendOutcome::DeadlinePassed,
                () = tokio::time::sleep(wait) => {
                    let now = self.node.now();
                    if let Some(cause) =
                        self.check_receiver(now, &mut silence, &send.receiver, !has_started)
                    {
                        return SendOutcome::Silent(cause);
                    }
                    continue;
                }
            };
            let now = self.node.now();
            match piece {
                Ok(Some(bytes)) => {
                    if now >= self.request.deadline {
                        late_pieces += 1;
                        if late_pieces > MAX_LATE_PIECES {
                            return SendOutcome::DeadlinePassed;
                        }
                    }
                    let is_first_piece = !has_started;
                    send.note_piece(self.node, now);
                    self.note_progress(now, is_first_piece);
                    body.splitter.push(&bytes);
                    match self
                        .forward_events(caller, send, body, is_first_piece)
                        .await
                    {
                        Ok(has_event) if has_event || is_first_piece => {
                            silence = SilenceTimer::new(now);
                        }
                        Ok(_) => {
                            if let Some(cause) =
                                self.check_receiver(now, &mut silence, &send.receiver, false)
                            {
                                return SendOutcome::Silent(cause);
                            }
                        }
                        Err(outcome) => return outcome,
                    }
                    if body.splitter.partial().len() > MAX_EVENT_BYTES {
                        return SendOutcome::MayHaveRun("too_large");
                    }
                }
                Ok(None) if send.is_cut_off(body) => {
                    return send.cut_off(self.node, self.request);
                }
                Ok(None) => return self.finish_stream(caller, &body.head).await,
                Err(e) => return send.connection_broken(self.node, self.request, &e),
            }
        }
    }

    /// Returns the cause for which to hold a send, if the endpoint or the peer has been silent for
    /// too long.
    fn check_receiver(
        &self,
        now: Time,
        silence: &mut SilenceTimer,
        receiver: &Receiver,
        awaits_first_event: bool,
    ) -> Option<&'static str> {
        match receiver {
            Receiver::Endpoint(to) => self.check_silence(now, silence, to, awaits_first_event),
            Receiver::Peer(peer, runs) => self.check_peer(now, silence.since, peer, *runs),
        }
    }

    /// Records that bytes of the stream arrived, and the latency of the first ones.
    fn note_progress(&mut self, now: Time, is_first: bool) {
        self.heard_at = now;
        if is_first && self.delivered.events == 0 {
            let time = now.since(self.request.received);
            self.delivered.first_event_after = Some(time);
            if self.request.passed.is_none() {
                self.node
                    .metrics
                    .record(Latency::FirstEvent, "answered", time);
                let label = self.first_event_label(time);
                self.node.metrics.count(Counter::FirstEvents, label);
            }
        }
    }

    /// Returns the metric label of a first event that arrived after `time`.
    fn first_event_label(&self, time: Duration) -> &'static str {
        let chunk = self.engine().and_then(|engine| engine.prefill_chunk);
        let is_long = chunk.is_some_and(|chunk| self.request.meta.prompt_tokens > chunk);
        let is_late = time > self.request.route.latency_goal;
        match (is_long, is_late) {
            (false, false) => "short_in_time",
            (false, true) => "short_late",
            (true, false) => "long_in_time",
            (true, true) => "long_late",
        }
    }

    /// Forwards the complete events that are new to the caller, and stops at a gap in their
    /// numbers. Returns whether there was a complete event, new or not.
    ///
    /// `is_first_piece` means that these are the first bytes from this endpoint, so that the pause
    /// before them says nothing about its pace.
    async fn forward_events(
        &mut self,
        caller: &mut Conn,
        send: &mut Exchange,
        body: &mut Body,
        is_first_piece: bool,
    ) -> Result<bool, SendOutcome> {
        let now = self.node.now();
        let mut out = Vec::new();
        let mut has_event = false;
        let mut last_event = self.delivered.last_event;
        let mut events = 0;
        let mut has_gap = false;
        while let Some(event) = body.splitter.next_event() {
            has_event = true;
            let is_first = send.of_endpoint + events == 0;
            if is_first && !events::may_continue(last_event, event.id) {
                has_gap = true;
                break;
            }
            match events::event_position(last_event, event.id) {
                EventPosition::AlreadySent => continue,
                EventPosition::Gap => {
                    has_gap = true;
                    break;
                }
                EventPosition::Next => {}
            }
            last_event = event.id.or(last_event);
            events += 1;
            put_event(&mut out, &event.bytes);
        }
        if events > 0 {
            let mut message = Vec::new();
            if !self.delivered.head {
                self.note_pipelined(caller);
                message = self.stream_head(&body.head);
            }
            message.extend_from_slice(&out);
            self.signals.is_committed.set(true);
            if !self.write_to_caller(caller, &message).await {
                return Err(SendOutcome::CallerLeft);
            }
            self.delivered.head = true;
            self.delivered.last_event = last_event;
            self.delivered.events += events;
            send.of_endpoint += events;
            let has_begun = |count: u32| count >= super::MIN_BEGUN_EVENTS;
            let of_endpoint = send.of_endpoint;
            if has_begun(of_endpoint) && !has_begun(of_endpoint - events) {
                let mut quarantine = self.node.quarantine.borrow_mut();
                quarantine.record_begun(now, &self.request.suspects);
            }
            if let Some(before) = self.delivered.last_event_at.replace(now) {
                let pause = now.since(before);
                self.delivered.longest_gap = self.delivered.longest_gap.max(pause);
                self.node
                    .metrics
                    .record(Latency::EventGap, "answered", pause);
                if let Receiver::Endpoint(to) = &send.receiver
                    && !is_first_piece
                    && let Some(engine) = self.engine()
                {
                    let mut balancer = self.node.balancer.borrow_mut();
                    balancer.record_event_gap(&to.id, pause, engine);
                }
            }
        }
        if has_gap {
            return Err(SendOutcome::MayHaveRun("missing_event"));
        }
        Ok(has_event)
    }

    /// Encodes the head of the response to the caller.
    fn stream_head(&self, head: &ResponseHead) -> Vec<u8> {
        let mut out = requests::encode_response(head);
        self.put_report(&mut out);
        http1::put_header(&mut out, "Transfer-Encoding", b"chunked");
        if !self.keep_alive {
            http1::put_header(&mut out, "Connection", b"close");
        }
        out.extend_from_slice(b"\r\n");
        out
    }

    /// Ends a complete stream.
    async fn finish_stream(&mut self, caller: &mut Conn, head: &ResponseHead) -> SendOutcome {
        let mut out = Vec::new();
        if !self.delivered.head {
            self.note_pipelined(caller);
            out = self.stream_head(head);
        }
        out.extend_from_slice(http1::LAST_CHUNK);
        self.signals.is_committed.set(true);
        if !self.write_to_caller(caller, &out).await {
            return SendOutcome::CallerLeft;
        }
        self.delivered.head = true;
        SendOutcome::Answered {
            status: head.status,
            next: if self.keep_alive {
                ConnectionAction::KeepOpen
            } else {
                ConnectionAction::Close
            },
        }
    }
}

fn put_event(out: &mut Vec<u8>, event: &Bytes) {
    http1::put_chunk(out, event);
}
