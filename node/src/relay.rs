//! Relays requests to endpoints and their responses to callers.
//!
//! Each send of a request has one of a few outcomes ([`SendOutcome`]). What follows depends on
//! whether the request may have run and on whether it may be repeated. A response that is no stream
//! is read completely before any of it is forwarded. A stream is forwarded event by event, and
//! continues at another endpoint after the last forwarded event if its endpoint fails.

mod answer_body;
mod endpoint_signs;
mod outcome;
mod stream;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::balance::{Candidate, Choice, RoutingRequest};
use hemlock_lib::node::capacity::RequestSize;
use hemlock_lib::node::config::{Engine, RequestKind};
use hemlock_lib::node::forecast::Estimate;
use hemlock_lib::time::Time;
use hemlock_platform::requests::{self, ForwardMeta};
use hemlock_wire::http1::{self, Conn, Framing, ResponseHead};
use rand::Rng;
use tokio::task::coop::unconstrained;

use crate::front::{self, ConnectionAction, Request};
use crate::metrics::Counter;
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
/// Shortest gap between events after which callers abandon a stream.
const MIN_ABANDON_GAP: Duration = Duration::from_secs(2);
/// Share of the gap after which callers abandon a stream that the expected first event may take;
/// the rest allows for errors of the estimate.
const FIRST_EVENT_SHARE: f64 = 0.7;
/// Share of the gap after which callers abandon a stream that the expected first event may take if
/// the caller retries after a refusal, and will not retry again.
const RETRY_FIRST_EVENT_SHARE: f64 = 0.9;
/// Share of the route's timeout below which a caller's deadline shows that this is a retry after a
/// refusal.
const RETRY_DEADLINE_SHARE: f64 = 0.9;
/// Maximum number of responses to other requests that are skipped on one connection.
const MAX_SKIPPED_RESPONSES: u32 = 2;
/// Events after which an endpoint has begun to answer. The first one may be written just before it
/// crashes.
const MIN_BEGUN_EVENTS: u32 = 2;
/// Minimum time before the deadline at which sending a request is of use.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// The outcome of one send of a request to an endpoint.
#[derive(Debug)]
enum SendOutcome {
    /// The complete response was forwarded.
    Answered { status: u16, next: ConnectionAction },
    /// The request did not run, for this cause.
    NotRun(&'static str),
    /// The request may have run and did not complete, for this cause. Of a stream, only whole
    /// events were forwarded.
    MayHaveRun(&'static str),
    /// The caller disconnected.
    CallerLeft,
    /// The deadline passed.
    DeadlinePassed,
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
    /// Endpoints to which the request was sent.
    tried: Vec<Arc<str>>,
    /// Number of sends with which the request may have run.
    possible_runs: u32,
    delivered: Delivered,
    /// Estimate for the current send, and the time of that send.
    current_estimate: Option<(Estimate, Time)>,
}

/// Relays a request and returns what to do with the caller's connection.
pub(crate) async fn relay(
    node: &Rc<Node>,
    conn: &mut Conn,
    request: &Request,
    keep_alive: bool,
) -> ConnectionAction {
    node.has_traffic.set(true);
    if let Some(model) = &request.meta.model {
        let size = RequestSize {
            prompt_tokens: request.meta.prompt_tokens,
            answer_tokens: request.meta.answer_tokens,
            latency_goal: request.route.latency_goal,
        };
        node.demand_meter
            .borrow_mut()
            .count(request.received, model, &size);
    }
    let mut relay = Relay {
        node,
        request,
        keep_alive,
        service: None,
        tried: Vec::new(),
        possible_runs: 0,
        delivered: Delivered {
            last_event: request.meta.last_event,
            ..Delivered::default()
        },
        current_estimate: None,
    };
    relay.run(conn).await
}

impl Relay<'_> {
    fn request_id(&self) -> &str {
        &self.request.meta.request_id
    }

    /// Sends the request to one endpoint after the other until the outcome is final.
    async fn run(&mut self, conn: &mut Conn) -> ConnectionAction {
        let draw = rand::rng().random_range(0.0..1.0);
        let Some(service) = self.request.route.service(draw).cloned() else {
            let time_left = self.request.deadline.since(self.node.now());
            return self
                .give_up(conn, "no_service", front::jittered_retry_after(time_left))
                .await;
        };
        self.service = Some(service.clone());
        let now = self.node.now();
        self.node
            .retry_budget
            .borrow_mut()
            .record_request(now, &service);
        let config = self.request.config.clone();
        let engine = config
            .services
            .get(&service)
            .and_then(|s| s.engine.as_ref());
        let mut cause = "";
        loop {
            let now = self.node.now();
            if now + MIN_TIME_LEFT >= self.request.deadline {
                return self.deadline_passed(conn).await;
            }
            let must_end_soon = self.node.stop.time_left(now).is_some();
            let (to, estimate) = match self.choose_endpoint(now, &service, engine) {
                Choice::Send(to, estimate) => (to, estimate),
                // The request may outlast this node, but another VM accepts it at once.
                Choice::Full(_) if must_end_soon && self.possible_runs == 0 => {
                    return self
                        .give_up(conn, "stopping", front::RETRY_ELSEWHERE_AFTER)
                        .await;
                }
                Choice::Full(after) => return self.give_up(conn, "full", after).await,
                Choice::Unavailable(after) => return self.give_up(conn, "nobody", after).await,
            };
            let suspects = &self.request.suspects;
            if !self.tried.is_empty() && self.node.is_quarantined(now, self.request_id(), suspects)
            {
                let after = front::QUARANTINE_RETRY_AFTER;
                return self.give_up(conn, "breaks_endpoints", after).await;
            }
            if !self.tried.is_empty() && !self.try_retry(now, &service, cause) {
                let after = front::jittered_retry_after(self.request.deadline.since(now));
                return self.give_up(conn, "budget", after).await;
            }
            self.log_send(&to, estimate, cause);
            self.tried.push(to.id.clone());
            self.current_estimate = Some((estimate, now));
            let outcome = self.send(conn, &to, engine.is_some()).await;
            match outcome {
                SendOutcome::Answered { status, next } => return self.answered(&to, status, next),
                SendOutcome::CallerLeft => return self.caller_left(&to),
                SendOutcome::DeadlinePassed => {
                    self.possible_runs += 1;
                    return self.deadline_passed(conn).await;
                }
                SendOutcome::NotRun(reason) => {
                    self.log_failed(&to, reason, false);
                    self.node
                        .balancer
                        .borrow_mut()
                        .record_failure(self.node.now(), &to.id);
                    cause = reason;
                }
                SendOutcome::MayHaveRun(reason) => {
                    self.possible_runs += 1;
                    self.log_failed(&to, reason, true);
                    self.node
                        .balancer
                        .borrow_mut()
                        .record_failure(self.node.now(), &to.id);
                    cause = reason;
                    let may_retry = self.request.route.request_kind.may_retry();
                    if !may_retry || self.possible_runs >= self.request.route.max_attempts {
                        return self.give_up(conn, reason, Duration::ZERO).await;
                    }
                }
            }
        }
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
            time_left: self.request.deadline.since(now),
            shutdown_limit: self
                .node
                .stop
                .time_left(now)
                .filter(|_| self.request.route.request_kind.is_stream() && self.possible_runs == 0)
                .map(|time_left| (self.request.meta.max_answer_tokens, time_left)),
            connected: &connected,
            has_started: self.possible_runs > 0,
        };
        let mut balancer = self.node.balancer.borrow_mut();
        balancer.choose(now, &routing_request, engine, &self.tried)
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
        let mut conn = match self.node.pool.take(now, &to.id) {
            Some(conn) => conn,
            None => match self.connect(caller, address).await {
                Ok(conn) => conn,
                Err(outcome) => return outcome,
            },
        };
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
        let outcome = self
            .exchange(caller, &mut conn, to, prompt, &mut stream_started)
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

    /// Connects to an endpoint, unless the caller disconnects first.
    async fn connect(&self, caller: &mut Conn, address: SocketAddr) -> Result<Conn, SendOutcome> {
        self.node.metrics.count(Counter::Connects, "endpoint");
        let mut connect = std::pin::pin!(Conn::connect(address, CONNECT_TIMEOUT));
        loop {
            tokio::select! {
                conn = &mut connect => return conn.map_err(|_| SendOutcome::NotRun("connect")),
                disconnected = caller_disconnected(caller) => {
                    if disconnected { return Err(SendOutcome::CallerLeft) }
                }
            }
        }
    }

    /// Sends the request on a connection and relays the response. The second part of the result is
    /// `Some` if the connection may be reused, with the keep-alive time that the endpoint
    /// announced.
    async fn exchange(
        &mut self,
        caller: &mut Conn,
        conn: &mut Conn,
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
        out.extend_from_slice(&self.request.body);
        match self.await_endpoint(caller, conn.write(&out), to).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return (SendOutcome::MayHaveRun("write"), None),
            Err(outcome) => return (outcome, None),
        }
        let mut skipped = 0;
        let (mut head, meta) = loop {
            let head = match self.await_response_head(caller, conn, to).await {
                Ok(head) => head,
                Err(outcome) => return (outcome, None),
            };
            let meta = requests::read_response_meta(&head);
            // Status 421 may come from another endpoint at this address.
            if meta.leaving && head.status != 421 {
                self.node.note_leaving(to);
            }
            if let Some(time) = meta.retry_after {
                self.hold_off(to, time);
            }
            if meta.request_id == self.request_id() {
                break (head, meta);
            }
            log::info!(
                "event=foreign_answer request={} id={} answers={}",
                self.request_id(),
                to.id,
                meta.request_id
            );
            self.node.metrics.count(Counter::ForeignAnswers, "skipped");
            // Status 421 comes from another endpoint, which need not repeat the request's
            // identifier.
            if head.status == 421 {
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
        let outcome = if success && self.request.route.request_kind.is_stream() {
            self.relay_stream(caller, conn, &mut head, to, prompt, stream_started)
                .await
        } else {
            self.relay_buffered(caller, conn, &mut head, to).await
        };
        let reuse =
            matches!(outcome, SendOutcome::Answered { .. }) && head.keep_alive && skipped == 0;
        (outcome, reuse.then_some(meta.idle_timeout))
    }

    /// Returns the priority to send to the endpoint: a retried stream precedes others of the same
    /// priority.
    fn endpoint_priority(&self) -> Option<u8> {
        let own_priority = self.request.account.as_ref().and_then(|a| a.priority);
        let priority = own_priority.unwrap_or(self.request.route.priority);
        Some(priority.saturating_sub(u8::from(self.is_retry_after_refusal())))
    }

    /// Returns whether the caller sends this stream again after a refusal: its deadline is then
    /// shorter.
    fn is_retry_after_refusal(&self) -> bool {
        let Request { route, meta, .. } = self.request;
        let is_short = |wait: Duration| wait < route.timeout.mul_f64(RETRY_DEADLINE_SHARE);
        route.request_kind.is_stream() && meta.max_wait.is_some_and(is_short)
    }

    /// Returns the number of tokens that the answer is expected to need still.
    fn tokens_left(&self) -> u32 {
        let steps_per_pass = self.engine().map_or(1, |e| e.steps_per_pass);
        self.request
            .meta
            .answer_tokens
            .saturating_sub(self.delivered.events * steps_per_pass)
    }

    /// Returns the engine settings of the service, if its endpoints are engines.
    fn engine(&self) -> Option<&Engine> {
        let service = self.service.as_ref()?;
        self.request.config.services.get(service)?.engine.as_ref()
    }

    /// Returns the longest expected time to the first event with which a send is of use. Callers
    /// abandon a stream after a gap of 2 s, four times the latency goal or eight times the target
    /// pause between events, whichever is longest.
    fn first_event_limit(&self, now: Time) -> Duration {
        let route = &self.request.route;
        let time_left = self.request.deadline.since(now);
        if !route.request_kind.is_stream() {
            return time_left;
        }
        let gap = MIN_ABANDON_GAP
            .max(route.latency_goal * 4)
            .max(route.event_gap_goal * 8);
        let elapsed = self
            .delivered
            .last_event_at
            .map_or_else(|| self.elapsed(), |t| now.since(t));
        let share = match self.is_retry_after_refusal() {
            true => RETRY_FIRST_EVENT_SHARE,
            false => FIRST_EVENT_SHARE,
        };
        gap.mul_f64(share).saturating_sub(elapsed).min(time_left)
    }

    /// Returns whether another endpoint may continue the request if this one sends nothing.
    fn may_switch_endpoint(&self) -> bool {
        let route = &self.request.route;
        route.request_kind.may_retry() && self.possible_runs + 1 < route.max_attempts
    }

    /// Reads the head of the response, unless the endpoint is silent for too long, the deadline
    /// passes or the caller disconnects.
    async fn await_response_head(
        &self,
        caller: &mut Conn,
        conn: &mut Conn,
        to: &Candidate,
    ) -> Result<ResponseHead, SendOutcome> {
        let read = conn.read_response_head(MAX_HEAD_BYTES);
        let head = self.await_endpoint(caller, read, to).await?;
        head.map_err(|e| self.connection_broken(to, &e))
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
                disconnected = unconstrained(caller_disconnected(caller)) => {
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

    /// Reads a complete response that is no stream, and forwards it.
    async fn relay_buffered(
        &mut self,
        caller: &mut Conn,
        conn: &mut Conn,
        head: &mut ResponseHead,
        to: &Candidate,
    ) -> SendOutcome {
        if self.request.head.method == "HEAD" {
            head.body_framing = Framing::Done;
        }
        let body = {
            let time_left = self.request.deadline.since(self.node.now());
            let read = answer_body::read(&self.node.answer_memory, conn, &mut head.body_framing);
            let mut read = std::pin::pin!(read);
            let mut deadline = std::pin::pin!(tokio::time::sleep(time_left));
            loop {
                tokio::select! {
                    biased;
                    body = &mut read => break body,
                    disconnected = unconstrained(caller_disconnected(caller)) => {
                        if disconnected { return SendOutcome::CallerLeft }
                    }
                    () = unconstrained(&mut deadline) => return SendOutcome::DeadlinePassed,
                }
            }
        };
        let mut body = match body {
            Ok(Some(body)) => body,
            Ok(None) => return SendOutcome::MayHaveRun("too_large"),
            Err(e) => return self.connection_broken(to, &e),
        };
        self.node
            .balancer
            .borrow_mut()
            .record_progress(self.node.now(), &to.id);
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
    fn note_pipelined(&mut self, caller: &Conn) {
        self.keep_alive |= self.request.head.keep_alive && caller.has_buffered_bytes();
    }

    /// Writes to the caller until the deadline; returns whether all was written.
    async fn write_to_caller(&self, caller: &mut Conn, bytes: &[u8]) -> bool {
        let time_left = self.request.deadline.since(self.node.now());
        let write = tokio::time::timeout(time_left.max(MIN_TIME_LEFT), caller.write(bytes));
        matches!(write.await, Ok(Ok(())))
    }
}

/// Reads the rest of a refusal; returns whether it ended soon, so that the connection may be reused.
async fn skip_refusal(conn: &mut Conn, framing: &mut Framing) -> bool {
    let skip = conn.skip_body(framing, MAX_REFUSAL_BYTES);
    matches!(
        tokio::time::timeout(REFUSAL_TIMEOUT, skip).await,
        Ok(Ok(true))
    )
}

/// Waits until the caller sends something or disconnects; returns whether it disconnected.
///
/// Never returns once more than [`MAX_PIPELINED_BYTES`] are buffered.
async fn caller_disconnected(caller: &mut Conn) -> bool {
    if caller.buffered_len() > MAX_PIPELINED_BYTES {
        return std::future::pending().await;
    }
    !matches!(caller.fill().await, Ok(1..))
}
