//! Relays requests to endpoints and their responses to callers.
//!
//! Each send of a request has one of a few outcomes ([`SendOutcome`]). What follows depends on
//! whether the request may have run and on whether it may be repeated. A response that is no stream
//! is read completely before any of it is forwarded. A stream is forwarded event by event, and
//! continues at another endpoint after the last forwarded event if its endpoint fails.

mod answer_body;
mod buffered;
mod connect;
mod endpoint_signs;
mod exchange;
mod held;
mod limits;
mod outcome;
mod pass_on;
mod race;
mod report;
mod stream;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::balance::{Candidate, Choice, Goals, RoutingRequest};
use hemlock_lib::node::capacity::RequestSize;
use hemlock_lib::node::config::Engine;
use hemlock_lib::node::forecast::Estimate;
use hemlock_lib::node::holding::Next;
use hemlock_lib::node::passing::{self, Sends, Step};
use hemlock_lib::time::Time;
use hemlock_platform::requests::{self, ForwardMeta};
use hemlock_wire::http1::{self, Conn, Framing};
use tokio::task::coop::unconstrained;

use self::exchange::{
    Body, EndpointLoad, Exchange, HeadVerdict, LimitToken, Load, Phase, Receiver, advance_head,
};
use self::held::Signals;
use self::race::{Raced, StepEnd};

use crate::front::{self, ConnectionAction, Request};
use crate::metrics::Counter;
use crate::path_watch;
use crate::state::Node;

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
/// Cause of a send for which no connection to the endpoint was there in time.
const SLOW_CONNECT: &str = "connect_slow";
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
    /// Nothing arrived for too long, for this cause; the send was held.
    Silent(&'static str),
    /// The caller disconnected.
    CallerLeft,
    /// The deadline passed.
    DeadlinePassed,
}

impl SendOutcome {
    /// Returns the cause of a send that failed, for the log.
    fn cause(&self) -> &'static str {
        match self {
            Self::NotRun(cause)
            | Self::MayHaveRun(cause)
            | Self::PeerLost(cause)
            | Self::Silent(cause) => cause,
            Self::Answered { .. } => "answered",
            Self::Refused(_) => "refused",
            Self::CallerLeft => "left",
            Self::DeadlinePassed => "overdue",
        }
    }
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
    /// Time from the arrival of the request to its first event.
    first_event_after: Option<Duration>,
    last_event_at: Option<Time>,
    /// Longest time between two events.
    longest_gap: Duration,
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
    /// Endpoints to which connections are still being established.
    slow_endpoints: Vec<Arc<str>>,
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
    /// Whether the current send is counted as a possible run.
    is_counted: bool,
    /// Receiver of the current send, until its outcome is known.
    open_send: Option<Receiver>,
    /// Sends whose endpoints are silent.
    held: Vec<Exchange>,
    /// Number of sends that are held, also during a step.
    held_count: usize,
    /// Whether the next step is to wait before another endpoint is looked for.
    is_paused: bool,
    signals: Signals,
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
            slow_endpoints: Vec::new(),
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
            is_counted: false,
            open_send: None,
            held: Vec::new(),
            held_count: 0,
            is_paused: false,
            signals: Signals::default(),
        }
    }

    fn request_id(&self) -> &str {
        &self.request.meta.request_id
    }

    /// Sends the request to one endpoint after the other, or passes it on, until the outcome is
    /// final. Sends whose endpoints are silent are held meanwhile.
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
        let mut resumed = None;
        loop {
            match self.race(conn, &service, resumed.take()).await {
                Raced::Resume(send) => resumed = Some(send),
                Raced::Step(StepEnd::Again) => {}
                Raced::Step(StepEnd::Overdue) => return self.deadline_passed(conn).await,
                Raced::Step(StepEnd::NoPlace(cause, after)) => {
                    if self.standing(self.node.now()).after_refusal() == Next::End {
                        return self.give_up(conn, cause, after).await;
                    }
                    self.pause();
                }
                Raced::Step(StepEnd::Outcome(outcome)) => match outcome {
                    SendOutcome::Answered { status, next } => return self.answered(status, next),
                    SendOutcome::CallerLeft => return self.caller_left(),
                    SendOutcome::DeadlinePassed => return self.deadline_passed(conn).await,
                    SendOutcome::Refused(after) => {
                        if self.standing(self.node.now()).after_refusal() == Next::End {
                            return self.give_up(conn, "peer_refused", after).await;
                        }
                        self.pause();
                    }
                    SendOutcome::NotRun(reason) => self.failed_by = reason,
                    SendOutcome::MayHaveRun(reason)
                    | SendOutcome::PeerLost(reason)
                    | SendOutcome::Silent(reason) => {
                        self.failed_at = Some(self.node.now());
                        self.failed_by = reason;
                    }
                },
            }
        }
    }

    /// Sends the request, passes it on, goes on with a send, or waits.
    async fn step(
        &mut self,
        conn: &mut Conn,
        service: &Arc<str>,
        resumed: Option<Box<Exchange>>,
    ) -> StepEnd {
        if let Some(send) = resumed {
            return StepEnd::Outcome(self.carry_on(conn, send).await);
        }
        if caller_has_left(conn) {
            return StepEnd::Outcome(SendOutcome::CallerLeft);
        }
        let cause = self.failed_by;
        let now = self.node.now();
        let next = self.standing(now).next();
        if next == Next::End {
            return StepEnd::NoPlace(cause, Duration::ZERO);
        }
        if now + MIN_TIME_LEFT >= self.request.deadline {
            return match self.held_count {
                0 => StepEnd::Overdue,
                _ => self.listen(conn).await,
            };
        }
        if std::mem::take(&mut self.is_paused) || next == Next::Listen {
            return self.listen(conn).await;
        }
        if self.has_been_sent() && self.is_quarantined(now) {
            return StepEnd::NoPlace("breaks_endpoints", front::QUARANTINE_RETRY_AFTER);
        }
        let path = self.node.path_state(now);
        let peer = self.choose_peer(now);
        let situation = self.situation(now, path, peer.is_some());
        match (passing::next_step(&situation), &peer) {
            (Step::PassOn, Some(peer)) => StepEnd::Outcome(self.pass_on(conn, peer, cause).await),
            (Step::Send, _) => match self.send_direct(conn, now, service, cause).await {
                Ok(outcome) => StepEnd::Outcome(outcome),
                Err((cause, after)) => StepEnd::NoPlace(cause, after),
            },
            (Step::Wait, _) => match self.wait_for_path(conn).await {
                true => StepEnd::Outcome(SendOutcome::CallerLeft),
                false => StepEnd::Again,
            },
            (Step::Refuse | Step::PassOn, _) => {
                StepEnd::NoPlace("no_path", self.retry_elsewhere_after(path))
            }
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
            Choice::Full(_) if must_end_soon && !self.sends.may_have_run() => {
                return Err(("stopping", front::RETRY_ELSEWHERE_AFTER));
            }
            Choice::Full(after) => return Err(("full", after)),
            Choice::Limited(after) => return Err(("limited", after)),
            Choice::Unavailable(after) => return Err((self.unavailable_cause(service), after)),
        };
        let token = LimitToken::new(self.node, &to.id);
        if self.sends.next_is_repeat() && !self.try_retry(now, service, cause) {
            let after = front::jittered_retry_after(self.request.deadline.since(now));
            return Err(("budget", after));
        }
        self.log_send(&to, estimate, cause);
        self.sends.tried.push(to.id.clone());
        self.endpoint = Some((to.id.clone(), to.incarnation.0));
        self.peer = None;
        let to = Rc::new(to);
        let estimate = (estimate, now);
        match self
            .connect_and_send(conn, &to, estimate, engine.is_some(), token)
            .await
        {
            Ok(send) => Ok(self.carry_on(conn, send).await),
            Err(outcome) => {
                if let SendOutcome::NotRun(reason) = outcome {
                    if let FAILED_CONNECT | SLOW_CONNECT = reason {
                        self.failed_connects += 1;
                    }
                    if reason == SLOW_CONNECT {
                        self.slow_endpoints.push(to.id.clone());
                    }
                    self.note_not_run(&to, reason);
                }
                Ok(outcome)
            }
        }
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
            goals: Goals {
                first_event: self.request.route.latency_goal,
                event_gap: self.request.route.event_gap_goal,
            },
            time_left: self.request.deadline.since(now),
            shutdown_limit: self
                .time_until_exit(now)
                .filter(|_| {
                    self.request.route.request_kind.is_stream() && !self.sends.may_have_run()
                })
                .map(|time_left| (self.request.meta.max_answer_tokens, time_left)),
            connected: &connected,
            has_started: self.sends.may_have_run(),
            is_urgent: self.is_most_urgent(service),
        };
        let mut balancer = self.node.balancer.borrow_mut();
        balancer.choose(now, &routing_request, engine, &self.excluded_endpoints())
    }

    /// Returns why no endpoint serves the request now.
    fn unavailable_cause(&self, service: &str) -> &'static str {
        let model = self.request.meta.model.as_deref();
        match self.node.balancer.borrow().is_evacuated(service, model) {
            true => "evacuated",
            false => "nobody",
        }
    }

    /// Takes one retry from the service's retry budget and counts it; returns whether the budget
    /// allows it.
    fn try_retry(&self, now: Time, service: &Arc<str>, cause: &'static str) -> bool {
        let mut budget = self.node.retry_budget.borrow_mut();
        let allowed = budget.try_retry(now, service);
        let usage = budget.usage(now, service);
        log::info!(
            "event=retry request={} service={service} is_allowed={allowed} after={cause} requests={} \
             retries={} left={:.1} vms={:?}",
            self.request_id(),
            usage.requests,
            usage.retries,
            usage.left,
            budget.entry_vms()
        );
        let counter = if allowed {
            Counter::Retries
        } else {
            Counter::RetriesDenied
        };
        self.node.metrics.count(counter, cause);
        allowed
    }

    /// Connects to an endpoint, and prepares the send of the request.
    async fn connect_and_send(
        &mut self,
        caller: &mut Conn,
        to: &Rc<Candidate>,
        estimate: (Estimate, Time),
        engine: bool,
        token: LimitToken,
    ) -> Result<Box<Exchange>, SendOutcome> {
        let Ok(address) = to.address.parse::<SocketAddr>() else {
            return Err(SendOutcome::NotRun("bad_address"));
        };
        let now = self.node.now();
        let kept = self.node.pool.take(now, &to.id);
        let is_kept = kept.is_some();
        let (conn, new_conn) = match kept {
            Some(conn) => (conn, None),
            None => {
                let conn = self.connect(caller, address, Some(to)).await?;
                // A task that is not run for a while finds both the connection and the caller's close.
                if caller_has_left(caller) {
                    return Err(SendOutcome::CallerLeft);
                }
                let is_broken = path_watch::confirm_connected(self.node, &to.id);
                (conn, Some(is_broken))
            }
        };
        token.spend();
        self.sends.reached += 1;
        let prompt = match engine {
            true => self.request.meta.prompt_tokens,
            false => 0,
        };
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
        let body_sent = http1::join_small_body(&mut out, &self.request.body);
        Ok(Box::new(Exchange {
            receiver: Receiver::Endpoint(to.clone()),
            conn,
            phase: Phase::Write {
                head: out.into(),
                body_sent,
            },
            is_kept,
            skipped: 0,
            events_before: self.delivered.events,
            of_endpoint: 0,
            estimate: Some(estimate),
            endpoint: Some((to.id.clone(), to.incarnation.0)),
            leaving: Vec::new(),
            heard_at: now,
            new_conn,
            load: Load::Endpoint(EndpointLoad::new(self.node, now, &to.id, prompt)),
            is_counted: false,
            held_for: "",
            moving_since: None,
            ended_by: None,
        }))
    }

    /// Goes on with a send until its outcome is known, or it must be held.
    async fn carry_on(&mut self, caller: &mut Conn, mut send: Box<Exchange>) -> SendOutcome {
        self.current_estimate = send.estimate;
        self.endpoint = send.endpoint.clone();
        self.peer = match &send.receiver {
            Receiver::Endpoint(_) => None,
            Receiver::Peer(peer, _) => Some(peer.node.clone()),
        };
        self.leaving.append(&mut send.leaving);
        self.heard_at = send.heard_at;
        self.is_counted = send.is_counted;
        self.open_send = Some(send.receiver.clone());
        let receiver = send.receiver.clone();
        let (outcome, reuse) = match &receiver {
            Receiver::Endpoint(to) => self.exchange(caller, &mut send, to).await,
            Receiver::Peer(peer, runs) => {
                self.exchange_with_peer(caller, &mut send, peer, *runs)
                    .await
            }
        };
        self.leaving.append(&mut send.leaving);
        self.heard_at = send.heard_at;
        self.open_send = None;
        if let SendOutcome::Silent(cause) = outcome {
            send.held_for = cause;
            send.endpoint = self.endpoint.clone();
            self.hold(send);
        } else {
            send.end(self.node, reuse);
            self.settle(&receiver, &outcome);
        }
        outcome
    }

    /// Writes the request to an endpoint, or what is left of it, and relays the response. The second
    /// part of the result is `Some` if the connection may be reused, with the keep-alive time that the
    /// endpoint announced.
    async fn exchange(
        &mut self,
        caller: &mut Conn,
        send: &mut Exchange,
        to: &Candidate,
    ) -> (SendOutcome, Option<Option<Duration>>) {
        let mut body = loop {
            match std::mem::replace(&mut send.phase, Phase::Head) {
                Phase::Body(body) => break body,
                phase => send.phase = phase,
            }
            let step = advance_head(&mut send.conn, &mut send.phase, &self.request.body);
            let head = match self.await_endpoint(caller, step, to).await {
                Ok(Ok(Some(head))) => head,
                Ok(Ok(None)) => continue,
                Ok(Err(e)) => return (send.head_failed(self.node, self.request, &e), None),
                Err(outcome) => return (outcome, None),
            };
            match send.judge_head(self.node, self.request, to, head) {
                HeadVerdict::Answer | HeadVerdict::Skip => {}
                HeadVerdict::Failed(outcome) => return (outcome, None),
                HeadVerdict::NotRun(cause, mut body) => {
                    let may_reuse = body.head.keep_alive && send.skipped == 0;
                    let reuse = may_reuse
                        && skip_refusal(&mut send.conn, &mut body.head.body_framing).await;
                    return (
                        SendOutcome::NotRun(cause),
                        reuse.then_some(body.idle_timeout),
                    );
                }
            }
        };
        self.leaving.append(&mut send.leaving);
        let outcome = self.relay_body(caller, send, &mut body).await;
        let may_reuse = body.head.keep_alive && send.skipped == 0;
        let reuse = matches!(outcome, SendOutcome::Answered { .. }) && may_reuse;
        let idle_timeout = body.idle_timeout;
        send.phase = Phase::Body(body);
        (outcome, reuse.then_some(idle_timeout))
    }

    /// Relays the body of a response, as a stream if it is one.
    async fn relay_body(
        &mut self,
        caller: &mut Conn,
        send: &mut Exchange,
        body: &mut Body,
    ) -> SendOutcome {
        let is_stream = self.request.route.request_kind.is_stream();
        match is_stream && (200..300).contains(&body.head.status) {
            true => self.relay_stream(caller, send, body).await,
            false => self.relay_buffered(caller, send, body).await,
        }
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
                        return Err(SendOutcome::Silent(cause));
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
