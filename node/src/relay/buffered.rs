//! Forwarding of responses that are no streams, and writes to callers.

use hemlock_lib::node::config::RequestKind;
use hemlock_platform::requests;
use hemlock_wire::http1::{self, Conn, Framing};
use tokio::task::coop::unconstrained;

use super::exchange::{Body, Exchange, Receiver};
use super::{MAX_PIPELINED_BYTES, MIN_TIME_LEFT, Relay, SendOutcome, answer_body};
use crate::front::ConnectionAction;

impl Relay<'_> {
    /// Reads a complete response that is no stream, and forwards it.
    pub(super) async fn relay_buffered(
        &mut self,
        caller: &mut Conn,
        send: &mut Exchange,
        body: &mut Body,
    ) -> SendOutcome {
        let head = &mut body.head;
        if self.request.head.method == "HEAD" {
            head.body_framing = Framing::Done;
        }
        let body = {
            let time_left = self.request.deadline.since(self.node.now());
            let read = answer_body::read(
                &self.node.answer_memory,
                &mut send.conn,
                &mut head.body_framing,
            );
            let mut read = std::pin::pin!(read);
            let mut deadline = std::pin::pin!(tokio::time::sleep(time_left));
            loop {
                tokio::select! {
                    biased;
                    body = &mut read => break body,
                    disconnected = unconstrained(self.caller_disconnected(caller)) => {
                        if disconnected { return SendOutcome::CallerLeft }
                    }
                    () = unconstrained(&mut deadline) => return SendOutcome::DeadlinePassed,
                }
            }
        };
        let mut body = match body {
            Ok(Some(body)) => body,
            Ok(None) => return SendOutcome::MayHaveRun("too_large"),
            Err(e) => return send.connection_broken(self.node, self.request, &e),
        };
        if let Receiver::Endpoint(to) = &send.receiver {
            self.node.note_heard(&to.id);
            let mut balancer = self.node.balancer.borrow_mut();
            balancer.record_progress(self.node.now(), &to.id);
        }
        // A failure of the endpoint itself is retried if the request may be repeated.
        if head.status >= 500
            && self.request.route.request_kind == RequestKind::Idempotent
            && self.may_switch_endpoint()
        {
            return SendOutcome::MayHaveRun("endpoint_failed");
        }
        if matches!(head.status, 408 | 421 | 429 | 503) {
            // These statuses would promise the caller that nothing ran, which this endpoint did not
            // say.
            return SendOutcome::MayHaveRun("unclear_refusal");
        }
        if self.delivered.head {
            return SendOutcome::MayHaveRun("refused_to_go_on");
        }
        self.note_pipelined(caller);
        let mut out = requests::encode_response(head);
        self.put_report(&mut out);
        http1::put_header(
            &mut out,
            "Content-Length",
            body.bytes().len().to_string().as_bytes(),
        );
        if !self.keep_alive {
            http1::put_header(&mut out, "Connection", b"close");
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(body.bytes());
        body.free_bytes();
        self.signals.is_committed.set(true);
        match self.write_to_caller(caller, &out).await {
            true => SendOutcome::Answered {
                status: head.status,
                next: if self.keep_alive {
                    ConnectionAction::KeepOpen
                } else {
                    ConnectionAction::Close
                },
            },
            false => SendOutcome::CallerLeft,
        }
    }

    /// Keeps the caller's connection open if the next request was already read in part.
    pub(super) fn note_pipelined(&mut self, caller: &Conn) {
        self.keep_alive |= self.request.head.keep_alive && caller.has_buffered_bytes();
    }

    /// Writes to the caller until the deadline, unless it disconnects; returns whether all was
    /// written.
    pub(super) async fn write_to_caller(&self, caller: &mut Conn, bytes: &[u8]) -> bool {
        let time_left = self.request.deadline.since(self.node.now());
        let write = caller.write_while_open(bytes, MAX_PIPELINED_BYTES);
        let write = tokio::time::timeout(time_left.max(MIN_TIME_LEFT), write);
        matches!(write.await, Ok(Ok(())))
    }
}
