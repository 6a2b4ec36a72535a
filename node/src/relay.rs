//! Relays requests to endpoints and their responses to callers.
//!
//! Each send of a request has one of a few outcomes ([`SendOutcome`]). What follows depends on
//! whether the request may have run and on whether it may be repeated. A response that is no stream
//! is read completely before any of it is forwarded. A stream is forwarded event by event, and
//! continues at another endpoint after the last forwarded event if its endpoint fails.

mod answer_body;
mod buffered;
mod endpoint_signs;
mod limits;
mod outcome;
mod pass_on;
mod report;
mod stream;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::balance::{Candidate, Choice, RoutingRequest};
use hemlock_lib::node::capacity::RequestSize;
use hemlock_lib::node::config::Engine;
use hemlock_lib::node::forecast::Estimate;
use hemlock_lib::node::passing::{self, Sends, Step};
use hemlock_lib::node::peer_paths::PeerPath;
use hemlock_lib::node::reach::PathFailure;
use hemlock_lib::time::Time;
use hemlock_platform::requests::{self, ForwardMeta};
use hemlock_wire::http1::{Conn, Framing, ResponseHead};
use tokio::task::coop::unconstrained;

use crate::front::{self, ConnectionAction, Request};
use crate::metrics::Counter;
use crate::path_watch;
use crate::state::Node;

/// Timeout of connecting to an endpoint; a live one needs a few network delays for the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size in bytes of the head of an endpoint's response.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Maximum size in bytes of the body of a response that is no stream.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Maximum size in bytes of the body of a refusal after which its connection is reused.
const MAX_REFUSAL_BYTES: usize = 64 << 10;
/// Time after the head of a refusal in which its body must end for its connection to be reused.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(50);
/// Bytes that are buffered of what a caller sends before its current request has ended.
const MAX_PIPELINED_BYTES: usize = 64 << 10;
/// Number of times that the silence timeout is extended for an endpoint that answers other requests
/// meanwhile.
const MAX_EXTENSIONS: u32 = 2;
/// Factor on the expected time to the first event, before which the endpoint does not count as
/// silent.
const FIRST_EVENT_SLACK: f64 = 1.5;
/// Maximum number of responses to other requests that are skipped on one connection.
const MAX_SKIPPED_RESPONSES: u32 = 2;
/// Events after which an endpoint has begun to answer. The first one may be written just before it
/// crashes.
const MIN_BEGUN_EVENTS: u32 = 2;
/// Cause of a send that failed since no connection to the endpoint could be established.
const FAILED_CONNECT: &str = "connect";
/// Minimum time before the deadline at which sending a request is of use.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// The outcome of one send of a request to an endpoint.
#[derive(Debug)]
enum SendOutcome {
    /// The complete response was forwarded.
    Answered { status: u16, next: ConnectionAction },
    /// The request did not run, for this cause.
    NotRun(&'static str),
    /// A peer did not run the request, and others would refuse it as well; the caller may retry
    /// after this time.
    Refused(Duration),
    /// The request may have run and did not complete, for this cause. Of a stream, only whole
    /// events were forwarded.
    MayHaveRun(&'static str),
    /// The peer that had the request was lost, for this cause. The request may have run as often as
    /// the peer was allowed.
    PeerLost(&'static str),
    /// The caller disconnected.
    CallerLeft,
    /// The deadline passed.
    DeadlinePassed,
}

/// Receiver of a request: an endpoint, or a peer that passes it on.
#[derive(Debug, Clone, Copy)]
enum Upstream<'a> {
    Endpoint(&'a Candidate),
    /// A peer, which sends the request to an endpoint.
    Peer(&'a PeerPath),
}

/// What was forwarded to the caller so far.
#[derive(Debug, Default)]
struct Delivered {
    /// Whether the head of the response was forwarded.
    head: bool,
    /// Number of the last event that the caller has, also from an earlier request.
    last_event: Option<u64>,
    /// Number of events forwarded.
    events: u32,
    /// Number of events that the current endpoint has sent.
    of_endpoint: u32,
    /// Time from the arrival of the request to its first event.
    first_event_after: Option<Duration>,
    last_event_at: Option<Time>,
}

/// Measures for how long an endpoint has sent nothing for a request.
#[derive(Debug)]
struct SilenceTimer {
    since: Time,
    /// Number of times that the timeout was extended.
    extensions: u32,
}

impl SilenceTimer {
    fn new(now: Time) -> Self {
        Self {
            since: now,
            extensions: 0,
        }
    }
}

/// The relaying of one request.
struct Relay<'a> {
    node: &'a Rc<Node>,
    request: &'a Request,
    /// Whether the caller's connection is kept open after the response.
    keep_alive: bool,
    service: Option<Arc<str>>,
    /// The sends so far, here and at peers.
    sends: Sends,
    /// Number of endpoints to which this VM could not connect for the request.
    failed_connects: u32,
    /// When the last send failed with which the request may have run.
    failed_at: Option<Time>,
    /// Cause of the failure of the last send; empty if none has failed.
    failed_by: &'static str,
    /// When the current endpoint last sent something for the request, or got it.
    heard_at: Time,
    /// Peers to which the request was passed on.
    peers_tried: Vec<String>,
    /// Identifier and start time of the endpoint that has the request, or had it last.
    endpoint: Option<(Arc<str>, u64)>,
    /// Peer that has the request, or had it last; `None` if this VM sent it to an endpoint since.
    peer: Option<String>,
    /// Endpoints that said that they are about to stop.
    leaving: Vec<(Arc<str>, u64)>,
    /// When the peer that passed on the request must see next that this VM is at work on it.
    sign_due: Cell<Time>,
    delivered: Delivered,
    /// Estimate for the current send, and the time of that send.
    current_estimate: Option<(Estimate, Time)>,
    /// Set if the current connection to an endpoint breaks, while it is new and has brought nothing.
    new_conn: Option<Rc<Cell<bool>>>,
}

/// Relays a request and returns what to do with the caller's connection.
pub(crate) async fn relay(
    node: &Rc<Node>,
    conn: &mut Conn,
    request: &Request,
    keep_alive: bool,
) -> ConnectionAction {
    node.has_traffic.set(true);
    // A request that a peer passed on was counted there.
    if let Some(model) = &request.meta.model
        && request.passed.is_none()
        && request.config.has_model(model)
    {
        let size = RequestSize {
            prompt_tokens: request.meta.prompt_tokens,
            answer_tokens: request.meta.answer_tokens,
            latency_goal: request.route.latency_goal,
        };
        node.demand_meter
            .borrow_mut()
            .count(request.received, model, &size);
    }
    let mut relay = Relay::new(node, request, keep_alive);
    relay.run(conn).await
}

impl<'a> Relay<'a> {
    /// Prepares the relaying of a request, with the sends that a peer has made before.
    fn new(node: &'a Rc<Node>, request: &'a Request, keep_alive: bool) -> Self {
        let now = node.now();
        let passed = request.passed.as_ref();
        let ago = |ms: u64| now - Duration::from_millis(ms);
        Self {
            node,
            request,
            keep_alive,
            service: None,
            sends: passed.map(|p| p.sends.clone()).unwrap_or_default(),
            failed_connects: 0,
            failed_at: None,
            failed_by: "",
            heard_at: now,
            peers_tried: Vec::new(),
            endpoint: None,
            peer: None,
            leaving: Vec::new(),
            sign_due: Cell::new(now + passing::SIGN_INTERVAL),
            delivered: Delivered {
                last_event: passed.map_or(request.meta.last_event, |p| p.last_event),
                events: passed.map_or(0, |p| p.events),
                last_event_at: passed.and_then(|p| p.pause_ms).map(ago),
                ..Delivered::default()
            },
            current_estimate: None,
            new_conn: None,
        }
    }

    fn request_id(&self) -> &str {
        &self.request.meta.request_id
    }

    /// Sends the request to one endpoint after the other, or passes it on, until the outcome is
    /// final.
    async fn run(&mut self, conn: &mut Conn) -> ConnectionAction {
        let Some(service) = self.choose_service() else {
            let time_left = self.request.deadline.since(self.node.now());
            return self
                .give_up(conn, "no_service", front::jittered_retry_after(time_left))
                .await;
        };
        self.service = Some(service.clone());
        if self.request.passed.is_none() {
            let mut budget = self.node.retry_budget.borrow_mut();
            budget.record_request(self.node.now(), &service);
        }
        loop {
            let cause = self.failed_by;
            if caller_has_left(conn) {
                return self.caller_left();
            }
            let now = self.node.now();
            if now + MIN_TIME_LEFT >= self.request.deadline {
                return self.deadline_passed(conn).await;
            }
            if self.has_been_sent() && self.is_quarantined(now) {
                let after = front::QUARANTINE_RETRY_AFTER;
                return self.give_up(conn, "breaks_endpoints", after).await;
            }
            let path = self.node.path_state(now);
            let peer = self.choose_peer(now);
            let situation = self.situation(now, path, peer.is_some());
            let outcome = match (passing::next_step(&situation), &peer) {
                (Step::PassOn, Some(peer)) => self.pass_on(conn, peer, cause).await,
                (Step::Send, _) => match self.send_direct(conn, now, &service, cause).await {
                    Ok(outcome) => outcome,
                    Err((cause, after)) => return self.give_up(conn, cause, after).await,
                },
                (Step::Wait, _) => match self.wait_for_path(conn).await {
                    true => return self.caller_left(),
                    false => continue,
                },
                (Step::Refuse | Step::PassOn, _) => {
                    return self
                        .give_up(conn, "no_path", self.retry_elsewhere_after(path))
                        .await;
                }
            };
            self.failed_by = match outcome {
                SendOutcome::Answered { status, next } => return self.answered(status, next),
                SendOutcome::CallerLeft => return self.caller_left(),
                SendOutcome::DeadlinePassed => {
                    self.sends.possible_runs += 1;
                    return self.deadline_passed(conn).await;
                }
                SendOutcome::Refused(after) => {
                    return self.give_up(conn, "peer_refused", after).await;
                }
                SendOutcome::NotRun(reason) => reason,
                SendOutcome::MayHaveRun(reason) | SendOutcome::PeerLost(reason) => {
                    self.failed_at = Some(self.node.now());
                    let may_retry = self.request.route.request_kind.may_retry();
                    self.failed_by = reason;
                    if !may_retry || self.sends.possible_runs >= self.max_attempts() {
                        return self.give_up(conn, reason, Duration::ZERO).await;
                    }
                    reason
                }
            };
        }
    }

    /// Sends the request to an endpoint. Fails with the cause, and the time after which the caller
    /// may retry, if the request must not be sent.
    async fn send_direct(
        &mut self,
        conn: &mut Conn,
        now: Time,
        service: &Arc<str>,
        cause: &'static str,
    ) -> Result<SendOutcome, (&'static str, Duration)> {
        let config = self.request.config.clone();
        let engine = config.services.get(service).and_then(|s| s.engine.as_ref());
        let must_end_soon = self.time_until_exit(now).is_some();
        let (to, estimate) = match self.choose_endpoint(now, service, engine) {
            Choice::Send(to, estimate) => (to, estimate),
            // The request may outlast this node, but another VM accepts it at once.
            Choice::Full(_) if must_end_soon && self.sends.possible_runs == 0 => {
                return Err(("stopping", front::RETRY_ELSEWHERE_AFTER));
            }
            Choice::Full(after) => return Err(("full", after)),
            Choice::Limited(after) => return Err(("limited", after)),
            Choice::Unavailable(after) => return Err(("nobody", after)),
        };
        if self.sends.next_is_repeat() && !self.try_retry(now, service, cause) {
            let mut balancer = self.node.balancer.borrow_mut();
            balancer.limits_mut().record_not_sent(now, &to.id);
            let after = front::jittered_retry_after(self.request.deadline.since(now));
            return Err(("budget", after));
        }
        self.log_send(&to, estimate, cause);
        self.sends.tried.push(to.id.clone());
        self.endpoint = Some((to.id.clone(), to.incarnation.0));
        self.peer = None;
        self.current_estimate = Some((estimate, now));
        let outcome = self.send(conn, &to, engine.is_some()).await;
        match outcome {
            SendOutcome::NotRun(reason) => {
                self.log_failed(&to, reason, false);
                let mut balancer = self.node.balancer.borrow_mut();
                balancer.record_failure(self.node.now(), &to.id);
                if reason == FAILED_CONNECT {
                    self.failed_connects += 1;
                    let now = self.node.now();
                    balancer.limits_mut().record_not_sent(now, &to.id);
                }
            }
            SendOutcome::MayHaveRun(reason) => {
                self.sends.possible_runs += 1;
                self.log_failed(&to, reason, true);
                let mut balancer = self.node.balancer.borrow_mut();
                balancer.record_failure(self.node.now(), &to.id);
            }
            _ => {}
        }
        Ok(outcome)
    }

    /// Returns whether the request was sent to an endpoint, or an attempt was made.
    fn has_been_sent(&self) -> bool {
        !self.sends.tried.is_empty()
    }

    fn is_quarantined(&self, now: Time) -> bool {
        self.node
            .is_quarantined(now, self.request_id(), &self.request.suspects)
    }

    /// Chooses the endpoint for the next send.
    fn choose_endpoint(&self, now: Time, service: &str, engine: Option<&Engine>) -> Choice {
        let connected = self.node.pool.connected_endpoints(now);
        let routing_request = RoutingRequest {
            service,
            model: self.request.meta.model.as_deref(),
            prompt_tokens: self.request.meta.prompt_tokens,
            zone: &self.node.identity.zone,
            answer_tokens: self.tokens_left(),
            first_event_limit: self.first_event_limit(now),
            queue_limit: self.queue_limit(),
            time_left: self.request.deadline.since(now),
            shutdown_limit: self
                .time_until_exit(now)
                .filter(|_| {
                    self.request.route.request_kind.is_stream() && self.sends.possible_runs == 0
                })
                .map(|time_left| (self.request.meta.max_answer_tokens, time_left)),
            connected: &connected,
            has_started: self.sends.possible_runs > 0,
            is_urgent: self.is_most_urgent(service),
        };
        let mut balancer = self.node.balancer.borrow_mut();
        balancer.choose(now, &routing_request, engine, &self.excluded_endpoints())
    }

    /// Takes one retry from the service's retry budget and counts it; returns whether the budget
    /// allows it.
    fn try_retry(&self, now: Time, service: &Arc<str>, cause: &'static str) -> bool {
        let entry_vms = self.node.entry_vm_count();
        let allowed = self
            .node
            .retry_budget
            .borrow_mut()
            .try_retry(now, service, entry_vms);
        let counter = if allowed {
            Counter::Retries
        } else {
            Counter::RetriesDenied
        };
        self.node.metrics.count(counter, cause);
        allowed
    }

    /// Sends the request to one endpoint and relays the response.
    async fn send(&mut self, caller: &mut Conn, to: &Candidate, engine: bool) -> SendOutcome {
        let Ok(address) = to.address.parse::<SocketAddr>() else {
            return SendOutcome::NotRun("bad_address");
        };
        let now = self.node.now();
        self.new_conn = None;
        let kept = self.node.pool.take(now, &to.id);
        let is_kept = kept.is_some();
        let mut conn = match kept {
            Some(conn) => conn,
            None => match self.connect(caller, address, Some(to)).await {
                // A task that is not run for a while finds both the connection and the caller's close.
                Ok(_) if caller_has_left(caller) => return SendOutcome::CallerLeft,
                Ok(conn) => conn,
                Err(outcome) => return outcome,
            },
        };
        self.sends.reached += 1;
        let prompt = if engine {
            self.request.meta.prompt_tokens
        } else {
            0
        };
        let now = self.node.now();
        self.node
            .balancer
            .borrow_mut()
            .record_send(now, &to.id, prompt);
        let mut stream_started = false;
        self.delivered.of_endpoint = 0;
        self.heard_at = now;
        let outcome = self
            .exchange(caller, &mut conn, is_kept, to, prompt, &mut stream_started)
            .await;
        let mut balancer = self.node.balancer.borrow_mut();
        balancer.record_end(&to.id, prompt, !stream_started);
        let (outcome, reuse) = outcome;
        if let Some(keep_alive) = reuse {
            self.node
                .pool
                .put(self.node.now(), &to.id, conn, keep_alive);
        }
        outcome
    }

    /// Connects to an endpoint, or to a peer if `endpoint` is `None`, unless the caller disconnects
    /// first.
    async fn connect(
        &mut self,
        caller: &mut Conn,
        address: SocketAddr,
        endpoint: Option<&Candidate>,
    ) -> Result<Conn, SendOutcome> {
        let kind = endpoint.map_or("peer", |_| "endpoint");
        self.node.metrics.count(Counter::Connects, kind);
        let mut connect = std::pin::pin!(Conn::connect(address, CONNECT_TIMEOUT));
        loop {
            tokio::select! {
                conn = &mut connect => {
                    match (&conn, endpoint) {
                        (Ok(_), Some(to)) => {
                            self.new_conn = Some(path_watch::confirm_connected(self.node, &to.id));
                        }
                        (Err(_), Some(to)) => {
                            self.node.note_path_failure(&to.id, PathFailure::Connect);
                        }
                        (_, None) => {}
                    }
                    return conn.map_err(|_| SendOutcome::NotRun(FAILED_CONNECT));
                }
                disconnected = self.caller_disconnected(caller) => {
                    if disconnected { return Err(SendOutcome::CallerLeft) }
                }
            }
        }
    }

    /// Sends the request on a connection, which is kept if it has carried others before, and relays the
    /// response. The second part of the result is `Some` if the connection may be reused, with the
    /// keep-alive time that the endpoint announced.
    async fn exchange(
        &mut self,
        caller: &mut Conn,
        conn: &mut Conn,
        is_kept: bool,
        to: &Candidate,
        prompt: u32,
        stream_started: &mut bool,
    ) -> (SendOutcome, Option<Option<Duration>>) {
        let now = self.node.now();
        let passed = ForwardMeta {
            endpoint: &to.id,
            address: &to.address,
            account: self.request.account.as_ref().map(|a| &*a.name),
            time_left: self.request.deadline.since(now),
            last_event: self.delivered.last_event,
            priority: self.endpoint_priority(),
        };
        let mut out =
            requests::encode_request(&self.request.head, &passed, self.request.body.len());
        let write = conn.write_message(&mut out, &self.request.body);
        match self.await_endpoint(caller, write, to).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => {
                self.note_broken(to);
                return (SendOutcome::MayHaveRun("write"), None);
            }
            Err(outcome) => return (outcome, None),
        }
        let mut skipped = 0;
        let (mut head, meta) = loop {
            let mut head = match self.await_response_head(caller, conn, to).await {
                Ok(head) => head,
                Err(outcome) => return (outcome, None),
            };
            self.node.note_heard(&to.id);
            self.new_conn = None;
            // An endpoint can't speak for an entry VM.
            head.headers.remove_prefixed(passing::HEADER_PREFIX);
            let meta = requests::read_response_meta(&head);
            // Status 421 may come from another endpoint at this address.
            if meta.leaving && head.status != 421 {
                let (started_ms, _) = to.incarnation;
                self.node.note_leaving(&to.id, started_ms);
                self.leaving.push((to.id.clone(), started_ms));
            }
            if head.status != 421 {
                self.node.note_limit(&to.id, to.incarnation.0, meta.limit);
            }
            if meta.request_id == self.request_id() {
                if let Some(time) = meta.retry_after {
                    self.hold_off(to, time);
                }
                break (head, meta);
            }
            log::info!(
                "event=foreign_answer request={} id={} answers={}",
                self.request_id(),
                to.id,
                meta.request_id
            );
            self.node.metrics.count(Counter::ForeignAnswers, "skipped");
            // Status 421 comes from another endpoint, which need not repeat the request's identifier. On
            // a connection that has answered before, it may be an earlier refusal.
            if head.status == 421 && meta.request_id.is_empty() && !is_kept && skipped == 0 {
                return (SendOutcome::NotRun("other_endpoint"), None);
            }
            skipped += 1;
            if skipped > MAX_SKIPPED_RESPONSES || !head.keep_alive {
                return (SendOutcome::MayHaveRun("foreign_answer"), None);
            }
            let mut framing = head.body_framing;
            let skip = conn.skip_body(&mut framing, MAX_BODY_BYTES);
            match self.await_endpoint(caller, skip, to).await {
                Ok(Ok(true)) => {}
                Ok(Ok(false) | Err(_)) => {
                    return (SendOutcome::MayHaveRun("foreign_answer"), None);
                }
                Err(outcome) => return (outcome, None),
            }
        };
        if meta.not_run {
            let may_reuse = head.keep_alive && skipped == 0;
            let reuse = may_reuse && skip_refusal(conn, &mut head.body_framing).await;
            let outcome = SendOutcome::NotRun(if head.status == 421 {
                "other_endpoint"
            } else {
                "endpoint_full"
            });
            return (outcome, reuse.then_some(meta.idle_timeout));
        }
        let success = (200..300).contains(&head.status);
        if success && !meta.signed {
            return (SendOutcome::MayHaveRun("unsigned"), None);
        }
        let upstream = Upstream::Endpoint(to);
        let outcome = if success && self.request.route.request_kind.is_stream() {
            self.relay_stream(caller, conn, &mut head, upstream, prompt, stream_started)
                .await
        } else {
            self.relay_buffered(caller, conn, &mut head, upstream).await
        };
        let reuse =
            matches!(outcome, SendOutcome::Answered { .. }) && head.keep_alive && skipped == 0;
        (outcome, reuse.then_some(meta.idle_timeout))
    }

    /// Reads the head of the response, unless the endpoint is silent for too long, the deadline
    /// passes or the caller disconnects.
    async fn await_response_head(
        &mut self,
        caller: &mut Conn,
        conn: &mut Conn,
        to: &Candidate,
    ) -> Result<ResponseHead, SendOutcome> {
        let read = conn.read_response_head(MAX_HEAD_BYTES);
        let head = self.await_endpoint(caller, read, to).await?;
        head.map_err(|e| self.connection_broken(Upstream::Endpoint(to), &e))
    }

    /// Waits for a read from the endpoint or a write to it, unless that takes longer than the
    /// endpoint may be silent, the deadline passes or the caller disconnects.
    async fn await_endpoint<T>(
        &self,
        caller: &mut Conn,
        transfer: impl Future<Output = T>,
        to: &Candidate,
    ) -> Result<T, SendOutcome> {
        let mut silence = SilenceTimer::new(self.node.now());
        let mut transfer = std::pin::pin!(transfer);
        loop {
            let now = self.node.now();
            let time_left = self.request.deadline.since(now);
            let wait = self.silence_wait(now, silence.since, true).min(time_left);
            tokio::select! {
                biased;
                done = &mut transfer => return Ok(done),
                disconnected = unconstrained(self.caller_disconnected(caller)) => {
                    if disconnected { return Err(SendOutcome::CallerLeft) }
                }
                () = unconstrained(tokio::time::sleep(wait)) => {
                    let now = self.node.now();
                    if now >= self.request.deadline {
                        return Err(SendOutcome::DeadlinePassed);
                    }
                    if let Some(cause) = self.check_silence(now, &mut silence, to, true) {
                        return Err(SendOutcome::MayHaveRun(cause));
                    }
                }
            }
        }
    }
}

/// Returns whether the caller has closed its connection. Needed before each step that does not wait:
/// a close that arrived while this process stood still is noticed only by a wait.
fn caller_has_left(caller: &mut Conn) -> bool {
    caller.is_closed(MAX_PIPELINED_BYTES)
}

/// Reads the rest of a refusal; returns whether it ended soon, so that the connection may be reused.
async fn skip_refusal(conn: &mut Conn, framing: &mut Framing) -> bool {
    let skip = conn.skip_body(framing, MAX_REFUSAL_BYTES);
    matches!(
        tokio::time::timeout(REFUSAL_TIMEOUT, skip).await,
        Ok(Ok(true))
    )
}
