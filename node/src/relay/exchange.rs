//! One send of a request to an endpoint or a peer, as a state that can be left and taken up again
//! between any two reads or writes.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hemlock_lib::node::balance::Candidate;
use hemlock_lib::node::events::EventSplitter;
use hemlock_lib::node::forecast::Estimate;
use hemlock_lib::node::passing;
use hemlock_lib::node::peer_paths::PeerPath;
use hemlock_lib::time::Time;
use hemlock_platform::requests;
use hemlock_wire::http1::{Conn, Framing, HttpError, ResponseHead};

use super::answer_body::AnswerBody;
use super::{MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_SKIPPED_RESPONSES, SendOutcome};
use crate::front::Request;
use crate::metrics::Counter;
use crate::state::Node;

/// Receiver of a request.
#[derive(Debug, Clone)]
pub(super) enum Receiver {
    Endpoint(Rc<Candidate>),
    /// A peer, which sends the request to endpoints.
    Peer(Rc<PeerPath>, PeerRuns),
}

/// How often a peer may have a request run.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerRuns {
    /// Upper bound on the possible runs of the request, those before included.
    pub(super) max: u32,
    /// Number of runs at the peer.
    pub(super) own: u32,
}

/// What is done next on the connection.
#[derive(Debug)]
pub(super) enum Phase {
    /// The request is written.
    Write {
        /// What is left of the head, with a small body.
        head: Bytes,
        /// Number of bytes of the body that were written, or go out with the head.
        body_sent: usize,
    },
    /// The head of a response is read.
    Head,
    /// The body of a response to another request is skipped.
    Skip(Framing),
    /// The head of a peer's response has arrived and was not looked at.
    Arrived(Box<ResponseHead>),
    /// The body of the response is read.
    Body(Box<Body>),
}

/// A response whose head was read.
#[derive(Debug)]
pub(super) struct Body {
    pub(super) head: ResponseHead,
    /// How the end of the body is found, as the head says.
    pub(super) framing: Framing,
    /// Time for which the endpoint keeps an idle connection open.
    pub(super) idle_timeout: Option<Duration>,
    /// Events of a stream that were not forwarded.
    pub(super) splitter: EventSplitter,
    /// What was read of a body that is no stream.
    pub(super) answer: AnswerBody,
}

impl Body {
    pub(super) fn new(node: &Rc<Node>, head: ResponseHead, idle_timeout: Option<Duration>) -> Self {
        Self {
            answer: AnswerBody::new(node),
            framing: head.body_framing,
            head,
            idle_timeout,
            splitter: EventSplitter::default(),
        }
    }
}

/// Counts a request as open at an endpoint until this is dropped.
#[derive(Debug)]
pub(super) struct EndpointLoad {
    node: Rc<Node>,
    id: Arc<str>,
    prompt: u32,
    /// Whether the stream has started, so that the prompt counts as read.
    has_started: bool,
}

impl EndpointLoad {
    pub(super) fn new(node: &Rc<Node>, now: Time, id: &Arc<str>, prompt: u32) -> Self {
        node.balancer.borrow_mut().record_send(now, id, prompt);
        Self {
            node: node.clone(),
            id: id.clone(),
            prompt,
            has_started: false,
        }
    }
}

impl Drop for EndpointLoad {
    fn drop(&mut self) {
        let mut balancer = self.node.balancer.borrow_mut();
        balancer.record_end(&self.id, self.prompt, !self.has_started);
    }
}

/// Counts a request as open at a peer until this is dropped.
#[derive(Debug)]
pub(super) struct PeerLoad {
    node: Rc<Node>,
    peer: String,
}

impl PeerLoad {
    pub(super) fn new(node: &Rc<Node>, peer: &str) -> Self {
        node.peer_loads.borrow_mut().record_start(peer);
        Self {
            node: node.clone(),
            peer: peer.to_owned(),
        }
    }
}

impl Drop for PeerLoad {
    fn drop(&mut self) {
        self.node.peer_loads.borrow_mut().record_end(&self.peer);
    }
}

/// The load that an open send is counted with.
#[derive(Debug)]
pub(super) enum Load {
    Endpoint(EndpointLoad),
    Peer {
        #[expect(dead_code, reason = "counts until it is dropped")]
        load: PeerLoad,
        has_started: bool,
    },
}

impl Load {
    fn has_started(&mut self) -> &mut bool {
        match self {
            Self::Endpoint(load) => &mut load.has_started,
            Self::Peer { has_started, .. } => has_started,
        }
    }
}

/// Takes a request from the limit of an endpoint, and gives it back if it is not sent.
#[derive(Debug)]
pub(super) struct LimitToken {
    node: Rc<Node>,
    id: Option<Arc<str>>,
}

impl LimitToken {
    pub(super) fn new(node: &Rc<Node>, id: &Arc<str>) -> Self {
        Self {
            node: node.clone(),
            id: Some(id.clone()),
        }
    }

    /// Records that the request is sent.
    pub(super) fn spend(mut self) {
        self.id = None;
    }
}

impl Drop for LimitToken {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            let now = self.node.now();
            let mut balancer = self.node.balancer.borrow_mut();
            balancer.limits_mut().record_not_sent(now, &id);
        }
    }
}

/// One send of a request. Dropping it ends the send.
#[derive(Debug)]
pub(super) struct Exchange {
    pub(super) receiver: Receiver,
    pub(super) conn: Conn,
    pub(super) phase: Phase,
    /// Whether the connection has carried other requests before.
    pub(super) is_kept: bool,
    /// Number of responses to other requests that were skipped.
    pub(super) skipped: u32,
    /// Number of events that were forwarded before this send.
    pub(super) events_before: u32,
    /// Number of events of this send that were forwarded.
    pub(super) of_endpoint: u32,
    /// Estimate for the send, and the time of the send.
    pub(super) estimate: Option<(Estimate, Time)>,
    /// Identifier and start time of the endpoint that has the request.
    pub(super) endpoint: Option<(Arc<str>, u64)>,
    /// Endpoints that said that they are about to stop.
    pub(super) leaving: Vec<(Arc<str>, u64)>,
    /// When something arrived last for the request, or it was sent.
    pub(super) heard_at: Time,
    /// Set if the connection to the endpoint breaks, while it is new and has brought nothing.
    pub(super) new_conn: Option<Rc<Cell<bool>>>,
    pub(super) load: Load,
    /// Whether the send is counted as a possible run.
    pub(super) is_counted: bool,
    /// Why the send was held, if it was; the last time.
    pub(super) held_for: &'static str,
    /// When a complete event first arrived while the send was held.
    pub(super) moving_since: Option<Time>,
    /// Why the send ended while it was held.
    pub(super) ended_by: Option<&'static str>,
}

/// Why no head of a response was read.
#[derive(Debug)]
pub(super) enum HeadError {
    /// The request could not be written.
    Write,
    /// A response to another request did not end.
    Foreign,
    Http(HttpError),
}

/// What the head of a response says.
pub(super) enum HeadVerdict {
    /// The response is that of the request; the phase is [`Phase::Body`] now.
    Answer,
    /// The response is one to another request, which is skipped.
    Skip,
    /// The request did not run, for this cause.
    NotRun(&'static str, Box<Body>),
    /// The send has failed.
    Failed(SendOutcome),
}

/// Writes the request, or reads the next head, and goes on to the next phase. Cancel-safe.
pub(super) async fn advance_head(
    conn: &mut Conn,
    phase: &mut Phase,
    request_body: &[u8],
) -> Result<Option<ResponseHead>, HeadError> {
    match phase {
        Phase::Write { head, body_sent } => {
            conn.write_rest(head).await.map_err(|_| HeadError::Write)?;
            while *body_sent < request_body.len() {
                let written = conn.write_part(&request_body[*body_sent..]).await;
                *body_sent += written.map_err(|_| HeadError::Write)?;
            }
        }
        Phase::Skip(framing) => match conn.skip_body(framing, MAX_BODY_BYTES).await {
            Ok(true) => {}
            Ok(false) | Err(_) => return Err(HeadError::Foreign),
        },
        Phase::Head | Phase::Arrived(_) | Phase::Body(_) => {
            let head = conn.read_response_head(MAX_HEAD_BYTES).await;
            return head.map(Some).map_err(HeadError::Http);
        }
    }
    *phase = Phase::Head;
    Ok(None)
}

impl Exchange {
    /// Returns the name of the receiver, for the log.
    pub(super) fn name(&self) -> &str {
        match &self.receiver {
            Receiver::Endpoint(to) => &to.id,
            Receiver::Peer(peer, _) => &peer.node,
        }
    }

    /// Returns whether bytes of the response's body have arrived.
    pub(super) fn has_started(&mut self) -> bool {
        *self.load.has_started()
    }

    /// Returns the outcome of a send for which no head was read.
    pub(super) fn head_failed(
        &mut self,
        node: &Rc<Node>,
        request: &Request,
        error: &HeadError,
    ) -> SendOutcome {
        match error {
            HeadError::Write => {
                self.note_broken(node, request);
                SendOutcome::MayHaveRun("write")
            }
            HeadError::Foreign => SendOutcome::MayHaveRun("foreign_answer"),
            HeadError::Http(e) => self.connection_broken(node, request, e),
        }
    }

    /// Looks at the head of an endpoint's response, and goes on to its body.
    pub(super) fn judge_head(
        &mut self,
        node: &Rc<Node>,
        request: &Request,
        to: &Candidate,
        mut head: ResponseHead,
    ) -> HeadVerdict {
        let request_id = &request.meta.request_id;
        node.note_heard(&to.id);
        self.new_conn = None;
        // An endpoint can't speak for an entry VM.
        head.headers.remove_prefixed(passing::HEADER_PREFIX);
        let meta = requests::read_response_meta(&head);
        // Status 421 may come from another endpoint at this address.
        if head.status != 421 {
            let (started_ms, _) = to.incarnation;
            if meta.leaving {
                node.note_leaving(&to.id, started_ms);
                self.leaving.push((to.id.clone(), started_ms));
            }
            node.note_limit(&to.id, started_ms, meta.limit);
        }
        if meta.request_id != *request_id {
            log::info!(
                "event=foreign_answer request={request_id} id={} answers={}",
                to.id,
                meta.request_id
            );
            node.metrics.count(Counter::ForeignAnswers, "skipped");
            // Status 421 comes from another endpoint, which need not repeat the request's identifier. On
            // a connection that has answered before, it may be an earlier refusal.
            if head.status == 421
                && meta.request_id.is_empty()
                && !self.is_kept
                && self.skipped == 0
            {
                return HeadVerdict::Failed(SendOutcome::NotRun("other_endpoint"));
            }
            self.skipped += 1;
            if self.skipped > MAX_SKIPPED_RESPONSES || !head.keep_alive {
                return HeadVerdict::Failed(SendOutcome::MayHaveRun("foreign_answer"));
            }
            self.phase = Phase::Skip(head.body_framing);
            return HeadVerdict::Skip;
        }
        if let Some(time) = meta.retry_after {
            log::info!(
                "event=held_off id={} request={request_id} ms={}",
                to.id,
                time.as_millis()
            );
            let mut balancer = node.balancer.borrow_mut();
            balancer.hold_off(node.now(), to, time);
        }
        let status = head.status;
        let body = Box::new(Body::new(node, head, meta.idle_timeout));
        if meta.not_run {
            let cause = match status {
                421 => "other_endpoint",
                _ => "endpoint_full",
            };
            return HeadVerdict::NotRun(cause, body);
        }
        if (200..300).contains(&status) && !meta.signed {
            return HeadVerdict::Failed(SendOutcome::MayHaveRun("unsigned"));
        }
        self.phase = Phase::Body(body);
        HeadVerdict::Answer
    }

    /// Records that bytes of a stream arrived, and the time of the first ones.
    pub(super) fn note_piece(&mut self, node: &Node, now: Time) {
        let is_first = !std::mem::replace(self.load.has_started(), true);
        self.heard_at = now;
        let (Receiver::Endpoint(to), Load::Endpoint(load)) = (&self.receiver, &self.load) else {
            return;
        };
        node.note_heard(&to.id);
        let mut balancer = node.balancer.borrow_mut();
        if !is_first {
            return balancer.record_progress(now, &to.id);
        }
        balancer.record_first_event(now, &to.id, load.prompt);
        if let Some((expected, sent)) = &self.estimate {
            let observed = now.since(*sent);
            balancer.record_first_event_time(to, expected, observed);
            if observed > expected.first_event * 2 {
                node.metrics.count(Counter::EventsLate, expected.place());
            }
        }
    }

    /// Returns whether a stream that has ended lacks its answer: one that breaks off an event, or one
    /// without a length, which ends with its connection also when its endpoint crashes before its
    /// first event.
    pub(super) fn is_cut_off(&self, body: &Body) -> bool {
        !body.splitter.partial().is_empty()
            || body.framing == Framing::UntilClose && self.of_endpoint == 0
    }

    /// Returns the outcome of a stream that ended without its whole answer.
    pub(super) fn cut_off(&self, node: &Rc<Node>, request: &Request) -> SendOutcome {
        match &self.receiver {
            Receiver::Endpoint(_) => {
                self.record_crash(node, request, &"the stream ended too early");
                SendOutcome::MayHaveRun("cut_event")
            }
            Receiver::Peer(..) => SendOutcome::PeerLost("cut_event"),
        }
    }

    /// Ends the send; its connection is kept for other requests if `reuse` names the keep-alive time.
    pub(super) fn end(self, node: &Node, reuse: Option<Option<Duration>>) {
        let Self {
            receiver,
            conn,
            load,
            ..
        } = self;
        drop(load);
        let Some(keep_alive) = reuse else { return };
        match receiver {
            Receiver::Endpoint(to) => node.pool.put(node.now(), &to.id, conn, keep_alive),
            Receiver::Peer(peer, _) => {
                let key = Arc::from(peer.node.as_str());
                node.peer_pool.put(node.now(), &key, conn, keep_alive);
            }
        }
    }
}
