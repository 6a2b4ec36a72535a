//! Forwarding of streams event by event, so that another endpoint can continue after the last
//! complete event.

use bytes::Bytes;
use hemlock_lib::node::events::{self, EventPosition, EventSplitter};
use hemlock_lib::time::Time;
use hemlock_platform::requests;
use hemlock_wire::http1::{self, Conn, Framing, ResponseHead};
use tokio::task::coop::unconstrained;

use super::pass_on::PEER_CHECK_INTERVAL;
use super::{Relay, SendOutcome, SilenceTimer, Upstream};
use crate::front::ConnectionAction;
use crate::metrics::Latency;

/// Maximum size in bytes of an event of a stream; usual ones hold a few tokens.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Pieces of a stream that are forwarded after its deadline if they are ready; the timer of the
/// deadline may not be looked at while an endpoint always has bytes ready.
const MAX_LATE_PIECES: u32 = 256;

impl Relay<'_> {
    /// Forwards a stream event by event. Sets `stream_started` when the endpoint sends its first
    /// bytes.
    pub(super) async fn relay_stream(
        &mut self,
        caller: &mut Conn,
        conn: &mut Conn,
        head: &mut ResponseHead,
        upstream: Upstream<'_>,
        prompt: u32,
        stream_started: &mut bool,
    ) -> SendOutcome {
        let mut splitter = EventSplitter::default();
        let mut silence = SilenceTimer::new(self.node.now());
        let framing = head.body_framing;
        let mut late_pieces = 0;
        let time_left = self.request.deadline.since(self.node.now());
        let mut deadline = std::pin::pin!(tokio::time::sleep(time_left));
        loop {
            let now = self.node.now();
            let wait = match upstream {
                Upstream::Endpoint(_) => self.silence_wait(now, silence.since, !*stream_started),
                Upstream::Peer(_) => PEER_CHECK_INTERVAL,
            };
            let piece = tokio::select! {
                biased;
                piece = conn.read_body_piece(&mut head.body_framing) => piece,
                disconnected = unconstrained(self.caller_disconnected(caller)) => {
                    if disconnected { return SendOutcome::CallerLeft }
                    continue;
                }
                () = unconstrained(&mut deadline) => return SendOutcome::DeadlinePassed,
                () = tokio::time::sleep(wait) => {
                    let now = self.node.now();
                    if let Some(outcome) =
                        self.check_upstream(now, &mut silence, upstream, !*stream_started)
                    {
                        return outcome;
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
                    let is_first_piece = !*stream_started;
                    self.note_progress(now, upstream, prompt, stream_started);
                    splitter.push(&bytes);
                    match self
                        .forward_events(caller, head, &mut splitter, upstream, is_first_piece)
                        .await
                    {
                        Ok(has_event) if has_event || is_first_piece => {
                            silence = SilenceTimer::new(now);
                        }
                        Ok(_) => {
                            if let Some(outcome) =
                                self.check_upstream(now, &mut silence, upstream, false)
                            {
                                return outcome;
                            }
                        }
                        Err(outcome) => return outcome,
                    }
                    if splitter.partial().len() > MAX_EVENT_BYTES {
                        return SendOutcome::MayHaveRun("too_large");
                    }
                }
                Ok(None) if !splitter.partial().is_empty() || self.is_empty_answer(framing) => {
                    return match upstream {
                        Upstream::Endpoint(to) => {
                            self.record_crash(to, &"the stream ended too early");
                            SendOutcome::MayHaveRun("cut_event")
                        }
                        Upstream::Peer(_) => SendOutcome::PeerLost("cut_event"),
                    };
                }
                Ok(None) => return self.finish_stream(caller, head).await,
                Err(e) => return self.connection_broken(upstream, &e),
            }
        }
    }

    /// Returns the outcome if the endpoint or the peer has been silent for too long.
    fn check_upstream(
        &self,
        now: Time,
        silence: &mut SilenceTimer,
        upstream: Upstream<'_>,
        awaits_first_event: bool,
    ) -> Option<SendOutcome> {
        match upstream {
            Upstream::Endpoint(to) => self
                .check_silence(now, silence, to, awaits_first_event)
                .map(SendOutcome::MayHaveRun),
            Upstream::Peer(peer) => self
                .check_peer(now, silence.since, peer)
                .map(SendOutcome::PeerLost),
        }
    }

    /// Returns whether a stream that has ended lacks its answer: one without a length ends with its
    /// connection, also when its endpoint crashes before its first event.
    fn is_empty_answer(&self, framing: Framing) -> bool {
        framing == Framing::UntilClose && self.delivered.of_endpoint == 0
    }

    /// Records that bytes of the stream arrived, and the latency of the first ones.
    fn note_progress(
        &mut self,
        now: Time,
        upstream: Upstream<'_>,
        prompt: u32,
        stream_started: &mut bool,
    ) {
        let is_first = !std::mem::replace(stream_started, true);
        self.heard_at = now;
        if let Upstream::Endpoint(to) = upstream {
            self.node.note_heard(&to.id);
            let mut balancer = self.node.balancer.borrow_mut();
            if !is_first {
                return balancer.record_progress(now, &to.id);
            }
            balancer.record_first_event(now, &to.id, prompt);
            if let Some((expected, sent)) = &self.current_estimate {
                balancer.record_first_event_time(to, expected, now.since(*sent));
            }
        }
        if is_first && self.delivered.events == 0 {
            let time = now.since(self.request.received);
            self.delivered.first_event_after = Some(time);
            if self.request.passed.is_none() {
                self.node
                    .metrics
                    .record(Latency::FirstEvent, "answered", time);
            }
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
        head: &ResponseHead,
        splitter: &mut EventSplitter,
        upstream: Upstream<'_>,
        is_first_piece: bool,
    ) -> Result<bool, SendOutcome> {
        let now = self.node.now();
        let mut out = Vec::new();
        let mut has_event = false;
        let mut last_event = self.delivered.last_event;
        let mut events = 0;
        let mut has_gap = false;
        while let Some(event) = splitter.next_event() {
            has_event = true;
            let is_first = self.delivered.of_endpoint + events == 0;
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
                message = self.stream_head(head);
            }
            message.extend_from_slice(&out);
            if !self.write_to_caller(caller, &message).await {
                return Err(SendOutcome::CallerLeft);
            }
            self.delivered.head = true;
            self.delivered.last_event = last_event;
            self.delivered.events += events;
            self.delivered.of_endpoint += events;
            let has_begun = |count: u32| count >= super::MIN_BEGUN_EVENTS;
            let of_endpoint = self.delivered.of_endpoint;
            if has_begun(of_endpoint) && !has_begun(of_endpoint - events) {
                let mut quarantine = self.node.quarantine.borrow_mut();
                quarantine.record_begun(now, &self.request.suspects);
            }
            if let Some(before) = self.delivered.last_event_at.replace(now) {
                let pause = now.since(before);
                self.node
                    .metrics
                    .record(Latency::EventGap, "answered", pause);
                if let Upstream::Endpoint(to) = upstream
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
