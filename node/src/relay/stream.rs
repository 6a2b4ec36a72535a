//! Streams, passed on event by event, so that another endpoint can go on after the last one.

use bytes::Bytes;
use hemlock_lib::node::balance::Candidate;
use hemlock_lib::node::events::{self, EventPosition, EventSplitter};
use hemlock_lib::time::Time;
use hemlock_platform::requests;
use hemlock_wire::http1::{self, Conn, ResponseHead};

use super::{End, Relay, Watch, caller_gone};
use crate::front::Next;
use crate::metrics::Latency;

impl Relay<'_> {
    /// Passes a stream on event by event.
    pub(super) async fn stream(
        &mut self,
        caller: &mut Conn,
        conn: &mut Conn,
        head: &mut ResponseHead,
        to: &Candidate,
        prompt: u32,
        first: &mut bool,
    ) -> End {
        let mut splitter = EventSplitter::default();
        let mut watch = Watch::new(self.node.now());
        loop {
            let now = self.node.now();
            let left = self.request.deadline.since(now);
            let wait = self.wait(now, watch.since, !*first).min(left);
            let piece = tokio::select! {
                biased;
                piece = conn.read_body_piece(&mut head.body_framing) => piece,
                gone = caller_gone(caller) => {
                    if gone { return End::Left }
                    continue;
                }
                () = tokio::time::sleep(wait) => {
                    let now = self.node.now();
                    if now >= self.request.deadline {
                        return End::Overdue;
                    }
                    if let Some(cause) = self.gave_up_on(now, &mut watch, to, !*first) {
                        return End::MayHaveRun(cause);
                    }
                    continue;
                }
            };
            let now = self.node.now();
            match piece {
                Ok(Some(bytes)) => {
                    watch = Watch::new(now);
                    let moved = !*first;
                    self.note_progress(now, to, prompt, first);
                    splitter.push(&bytes);
                    match self
                        .pass_events(caller, head, &mut splitter, to, moved)
                        .await
                    {
                        Ok(()) => {}
                        Err(end) => return end,
                    }
                }
                Ok(None) if splitter.partial().is_empty() => {
                    return self.finish(caller, head).await;
                }
                Ok(None) => return End::MayHaveRun("cut_event"),
                Err(e) => return self.broken(to, &e),
            }
        }
    }

    fn note_progress(&mut self, now: Time, to: &Candidate, prompt: u32, first: &mut bool) {
        let mut balancer = self.node.balancer.borrow_mut();
        if *first {
            return balancer.record_progress(now, &to.id);
        }
        *first = true;
        balancer.record_first_event(now, &to.id, prompt);
        if let Some((expected, sent)) = &self.expected {
            balancer.record_first_event_time(to, expected, now.since(*sent));
        }
        if self.sent.events == 0 {
            let time = now.since(self.request.received);
            self.sent.first = Some(time);
            self.node
                .metrics
                .record(Latency::FirstEvent, "answered", time);
        }
    }

    async fn pass_events(
        &mut self,
        caller: &mut Conn,
        head: &ResponseHead,
        splitter: &mut EventSplitter,
        to: &Candidate,
        moved: bool,
    ) -> Result<(), End> {
        let now = self.node.now();
        let mut out = Vec::new();
        let mut last = self.sent.last;
        let mut events = 0;
        let mut gap = false;
        while let Some(event) = splitter.next_event() {
            match events::event_position(last, event.id) {
                EventPosition::AlreadySent => continue,
                EventPosition::Gap => {
                    gap = true;
                    break;
                }
                EventPosition::Next => {}
            }
            last = event.id.or(last);
            events += 1;
            put_event(&mut out, &event.bytes);
        }
        if events > 0 {
            let mut message = Vec::new();
            if !self.sent.head {
                message = self.stream_head(head);
            }
            message.extend_from_slice(&out);
            if !self.pass_on(caller, &message).await {
                return Err(End::Left);
            }
            self.sent.head = true;
            self.sent.last = last;
            self.sent.events += events;
            if let Some(before) = self.sent.last_at.replace(now) {
                let pause = now.since(before);
                self.node.metrics.record(Latency::Pause, "answered", pause);
                if !moved && let Some(engine) = self.engine() {
                    let mut balancer = self.node.balancer.borrow_mut();
                    balancer.record_event_gap(&to.id, pause, engine);
                }
            }
        }
        if gap {
            return Err(End::MayHaveRun("missing_event"));
        }
        Ok(())
    }

    fn stream_head(&self, head: &ResponseHead) -> Vec<u8> {
        let mut out = requests::encode_answer(head);
        http1::put_header(&mut out, "Transfer-Encoding", b"chunked");
        if !self.keep {
            http1::put_header(&mut out, "Connection", b"close");
        }
        out.extend_from_slice(b"\r\n");
        out
    }

    /// Ends a stream that is complete.
    async fn finish(&mut self, caller: &mut Conn, head: &ResponseHead) -> End {
        let mut out = Vec::new();
        if !self.sent.head {
            out = self.stream_head(head);
        }
        out.extend_from_slice(http1::LAST_CHUNK);
        if !self.pass_on(caller, &out).await {
            return End::Left;
        }
        self.sent.head = true;
        End::Answered {
            status: head.status,
            next: if self.keep { Next::Keep } else { Next::Close },
        }
    }
}

fn put_event(out: &mut Vec<u8>, event: &Bytes) {
    http1::put_chunk(out, event);
}
