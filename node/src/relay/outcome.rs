//! What is logged, counted and answered when a send or a request ends.

use std::time::Duration;

use hemlock_lib::node::balance::Candidate;
use hemlock_lib::node::forecast::Estimate;
use hemlock_wire::http1::Conn;

use super::Relay;
use crate::front::{self, Next};
use crate::metrics::{Counter, Latency};

impl Relay<'_> {
    pub(super) fn log_send(&self, to: &Candidate, estimate: Estimate, cause: &str) {
        log::info!(
            "event=sent request={} id={} attempt={} after={cause} prompt={} answer={} running={} \
             unread={} slowness={:.2} first_ms={} from={:?} config={}",
            self.id(),
            to.id,
            self.tried.len() + 1,
            self.request.meta.prompt,
            self.request.meta.answer,
            estimate.running,
            estimate.pending_prompt_tokens,
            estimate.slowness,
            estimate.first_event.as_millis(),
            self.sent.last,
            self.request.config.version
        );
    }

    pub(super) fn log_failed(&self, to: &Candidate, cause: &'static str, may_have_run: bool) {
        log::info!(
            "event=send_failed request={} id={} cause={cause} may_have_run={may_have_run} events={}",
            self.id(),
            to.id,
            self.sent.events
        );
        self.node.metrics.count(Counter::SendsFailed, cause);
    }

    pub(super) fn spent(&self) -> Duration {
        self.node.now().since(self.request.received)
    }

    pub(super) fn answered(&self, to: &Candidate, status: u16, next: Next) -> Next {
        log::info!(
            "event=answered request={} id={} status={status} ms={} first_ms={:?} events={} attempts={}",
            self.id(),
            to.id,
            self.spent().as_millis(),
            self.sent.first.map(|t| t.as_millis()),
            self.sent.events,
            self.tried.len()
        );
        self.node.metrics.count(
            Counter::Answered,
            if status < 300 { "success" } else { "failure" },
        );
        self.node
            .metrics
            .record(Latency::Whole, "answered", self.spent());
        if status < 300 {
            let mut quarantine = self.node.quarantine.borrow_mut();
            quarantine.record_success(self.node.now(), self.request.print);
        }
        next
    }

    pub(super) fn left(&self, to: &Candidate) -> Next {
        log::info!(
            "event=left request={} id={} ms={} events={}",
            self.id(),
            to.id,
            self.spent().as_millis(),
            self.sent.events
        );
        self.node.metrics.count(Counter::Left, "caller");
        self.node
            .metrics
            .record(Latency::Whole, "left", self.spent());
        Next::Abort
    }

    /// Ends a request that no endpoint will answer any more.
    pub(super) async fn give_up(
        &self,
        conn: &mut Conn,
        cause: &'static str,
        after: Duration,
    ) -> Next {
        if self.sent.head {
            log::info!(
                "event=broken_off request={} cause={cause} ms={} events={} attempts={}",
                self.id(),
                self.spent().as_millis(),
                self.sent.events,
                self.tried.len()
            );
            self.node.metrics.count(Counter::BrokenOff, cause);
            return Next::Abort;
        }
        // A resumable stream may run again elsewhere, but this attempt of the caller has run.
        if self.runs == 0 {
            return front::refuse(self.node, conn, self.id(), cause, after, self.keep).await;
        }
        self.fail(conn, 502, cause).await
    }

    pub(super) async fn overdue(&self, conn: &mut Conn) -> Next {
        if self.sent.head || self.runs == 0 {
            return self.give_up(conn, "overdue", Duration::ZERO).await;
        }
        self.fail(conn, 504, "overdue").await
    }

    async fn fail(&self, conn: &mut Conn, status: u16, cause: &'static str) -> Next {
        log::info!(
            "event=failed request={} status={status} cause={cause} ms={} attempts={}",
            self.id(),
            self.spent().as_millis(),
            self.tried.len()
        );
        self.node.metrics.count(Counter::Failed, cause);
        self.node
            .metrics
            .record(Latency::Whole, "failed", self.spent());
        front::answer(conn, status, self.id(), None, self.keep).await
    }
}
