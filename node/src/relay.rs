//! Sends requests on to endpoints and brings the answers back.
//!
//! Each send ends in one of a few ways ([`End`]); what follows depends on whether the request may
//! have run and on whether it may be repeated. A whole answer is read before any of it is passed
//! on; a stream is passed on event by event, and goes on at another endpoint after the last one.

mod outcome;
mod stream;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::balance::{Candidate, Choice, RoutingRequest, SILENCE_TIMEOUT};
use hemlock_lib::node::capacity::RequestSize;
use hemlock_lib::node::config::{Engine, RequestKind};
use hemlock_lib::node::forecast::Estimate;
use hemlock_lib::time::Time;
use hemlock_platform::requests::{self, Passed};
use hemlock_wire::http1::{self, Conn, Framing, HttpError, ResponseHead};
use rand::Rng;

use crate::front::{self, Next, Request};
use crate::metrics::Counter;
use crate::state::Node;

/// Time to connect to an endpoint that lives: a few network delays and its handshake.
const CONNECT_WAIT: Duration = Duration::from_millis(250);
/// Largest head of an endpoint's answer in bytes.
const HEAD_LIMIT: usize = 32 << 10;
/// Largest whole answer in bytes.
const BODY_LIMIT: usize = 8 << 20;
/// Bytes that a caller may send ahead of its next request.
const AHEAD: usize = 64 << 10;
/// Times that a request stays at an endpoint that is silent for it, but answers others.
const STAYS: u32 = 2;
/// Factor on the expected time to a first event, within which its endpoint is not doubted.
const FIRST_SLACK: f64 = 1.5;
/// Shortest gap after which callers abandon a stream.
const GIVE_UP: Duration = Duration::from_secs(2);
/// Part of that gap that an expected first event may take, since estimates err, and the part for a
/// caller that has come back and will not come again.
const FIRST_PART: f64 = 0.7;
const LAST_PART: f64 = 0.9;
/// Part of the route's time below which a caller's wait shows that it has come back after a
/// refusal.
const RETURN_PART: f64 = 0.9;
/// Answers to other requests that are skipped on one connection.
const SKIPS: u32 = 2;
/// Least part of the caller's wait that a send needs to be of use.
const LEAST_LEFT: Duration = Duration::from_millis(20);

/// How one send of a request ended.
#[derive(Debug)]
enum End {
    /// The answer was passed on in whole.
    Answered { status: u16, next: Next },
    /// It surely did not run.
    NotRun(&'static str),
    /// It may have run, and nothing was passed on since the last event.
    MayHaveRun(&'static str),
    /// The caller left.
    Left,
    /// Its time is over.
    Overdue,
}

/// What the caller has got so far.
#[derive(Debug, Default)]
struct Sent {
    /// Whether the head of the answer was passed on.
    head: bool,
    /// Number of the last event.
    last: Option<u64>,
    events: u32,
    /// Time from the request's arrival to its first event.
    first: Option<Duration>,
    last_at: Option<Time>,
}

/// How long a request has heard nothing of its endpoint.
#[derive(Debug)]
struct Watch {
    since: Time,
    stays: u32,
}

impl Watch {
    fn new(now: Time) -> Self {
        Self {
            since: now,
            stays: 0,
        }
    }
}

struct Relay<'a> {
    node: &'a Rc<Node>,
    request: &'a Request,
    keep: bool,
    service: Option<Arc<str>>,
    tried: Vec<Arc<str>>,
    /// Endpoints at which it may have run.
    runs: u32,
    sent: Sent,
    /// What was expected of the send under way, and when that began.
    expected: Option<(Estimate, Time)>,
}

/// Relays a request and returns what becomes of the caller's connection.
pub(crate) async fn relay(node: &Rc<Node>, conn: &mut Conn, request: &Request, keep: bool) -> Next {
    node.has_traffic.set(true);
    if let Some(model) = &request.meta.model {
        let size = RequestSize {
            prompt_tokens: request.meta.prompt,
            answer_tokens: request.meta.answer,
            latency_goal: request.route.latency_goal,
        };
        node.demand_meter
            .borrow_mut()
            .count(request.received, model, &size);
    }
    let mut relay = Relay {
        node,
        request,
        keep,
        service: None,
        tried: Vec::new(),
        runs: 0,
        sent: Sent {
            last: request.meta.last_event,
            ..Sent::default()
        },
        expected: None,
    };
    relay.run(conn).await
}

impl Relay<'_> {
    fn id(&self) -> &str {
        &self.request.meta.request_id
    }

    async fn run(&mut self, conn: &mut Conn) -> Next {
        let draw = rand::rng().random_range(0.0..1.0);
        let Some(service) = self.request.route.service(draw).cloned() else {
            let left = self.request.deadline.since(self.node.now());
            return self
                .give_up(conn, "no_service", front::come_back(left))
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
            if now + LEAST_LEFT >= self.request.deadline {
                return self.overdue(conn).await;
            }
            let stops = self.node.time_until_exit(now).is_some();
            let (to, estimate) = match self.choose(now, &service, engine) {
                Choice::Send(to, estimate) => (to, estimate),
                // It may not end before this node does; another one takes it at once.
                Choice::Full(_) if stops && self.runs == 0 => {
                    return self.give_up(conn, "stopping", front::ELSEWHERE_WAIT).await;
                }
                Choice::Full(after) => return self.give_up(conn, "full", after).await,
                Choice::Unavailable(after) => return self.give_up(conn, "nobody", after).await,
            };
            if !self.tried.is_empty() && !self.may_repeat(now, &service, cause) {
                let after = front::come_back(self.request.deadline.since(now));
                return self.give_up(conn, "budget", after).await;
            }
            self.log_send(&to, estimate, cause);
            self.tried.push(to.id.clone());
            self.expected = Some((estimate, now));
            let end = self.send(conn, &to, engine.is_some()).await;
            match end {
                End::Answered { status, next } => return self.answered(&to, status, next),
                End::Left => return self.left(&to),
                End::Overdue => {
                    self.runs += 1;
                    return self.overdue(conn).await;
                }
                End::NotRun(why) => {
                    self.log_failed(&to, why, false);
                    self.node
                        .balancer
                        .borrow_mut()
                        .record_failure(self.node.now(), &to.id);
                    cause = why;
                }
                End::MayHaveRun(why) => {
                    self.runs += 1;
                    self.log_failed(&to, why, true);
                    self.node
                        .balancer
                        .borrow_mut()
                        .record_failure(self.node.now(), &to.id);
                    cause = why;
                    let repeat = self.request.route.request_kind.may_retry();
                    if !repeat || self.runs >= self.request.route.max_attempts {
                        return self.give_up(conn, why, Duration::ZERO).await;
                    }
                }
            }
        }
    }

    fn choose(&self, now: Time, service: &str, engine: Option<&Engine>) -> Choice {
        let warm = self.node.pool.warm(now);
        let ask = RoutingRequest {
            service,
            model: self.request.meta.model.as_deref(),
            prompt_tokens: self.request.meta.prompt,
            zone: &self.node.identity.zone,
            answer_tokens: self.answer_left(),
            first_event_limit: self.first_limit(now),
            time_left: self.request.deadline.since(now),
            shutdown_limit: self
                .node
                .time_until_exit(now)
                .filter(|_| self.request.route.request_kind.is_stream() && self.runs == 0)
                .map(|left| (self.request.meta.answer_most, left)),
            connected: &warm,
            has_started: self.runs > 0,
        };
        let mut balancer = self.node.balancer.borrow_mut();
        balancer.choose(now, &ask, engine, &self.tried)
    }

    fn may_repeat(&self, now: Time, service: &Arc<str>, cause: &'static str) -> bool {
        let machines = self.node.entry_vm_count();
        let taken = self
            .node
            .retry_budget
            .borrow_mut()
            .try_retry(now, service, machines);
        let counter = if taken {
            Counter::Repeated
        } else {
            Counter::RepeatsDenied
        };
        self.node.metrics.count(counter, cause);
        taken
    }

    /// Sends the request to one endpoint and relays its answer.
    async fn send(&mut self, caller: &mut Conn, to: &Candidate, engine: bool) -> End {
        let Ok(address) = to.address.parse::<SocketAddr>() else {
            return End::NotRun("bad_address");
        };
        let now = self.node.now();
        let mut conn = match self.node.pool.take(now, &to.id) {
            Some(conn) => conn,
            None => match self.connect(caller, address).await {
                Ok(conn) => conn,
                Err(end) => return end,
            },
        };
        let prompt = if engine { self.request.meta.prompt } else { 0 };
        let now = self.node.now();
        self.node
            .balancer
            .borrow_mut()
            .record_send(now, &to.id, prompt);
        let mut first = false;
        let end = self
            .exchange(caller, &mut conn, to, prompt, &mut first)
            .await;
        let mut balancer = self.node.balancer.borrow_mut();
        balancer.record_end(&to.id, prompt, !first);
        let (end, reuse) = end;
        if let Some(keep) = reuse {
            self.node.pool.put(self.node.now(), &to.id, conn, keep);
        }
        end
    }

    async fn connect(&self, caller: &mut Conn, address: SocketAddr) -> Result<Conn, End> {
        self.node.metrics.count(Counter::Connects, "endpoint");
        let mut connect = std::pin::pin!(Conn::connect(address, CONNECT_WAIT));
        loop {
            tokio::select! {
                conn = &mut connect => return conn.map_err(|_| End::NotRun("connect")),
                gone = caller_gone(caller) => if gone { return Err(End::Left) },
            }
        }
    }

    /// Exchanges one request and its answer; the second part says whether the connection may be
    /// kept, and for how long.
    async fn exchange(
        &mut self,
        caller: &mut Conn,
        conn: &mut Conn,
        to: &Candidate,
        prompt: u32,
        first: &mut bool,
    ) -> (End, Option<Option<Duration>>) {
        let now = self.node.now();
        let passed = Passed {
            endpoint: &to.id,
            address: &to.address,
            account: self.request.account.as_ref().map(|a| &*a.name),
            left: self.request.deadline.since(now),
            last_event: self.sent.last,
            rank: self.rank(),
        };
        let mut out =
            requests::encode_request(&self.request.head, &passed, self.request.body.len());
        out.extend_from_slice(&self.request.body);
        if conn.write(&out).await.is_err() {
            return (End::MayHaveRun("write"), None);
        }
        let mut skips = 0;
        let (mut head, meta) = loop {
            let head = match self.answer_head(caller, conn, to).await {
                Ok(head) => head,
                Err(end) => return (end, None),
            };
            let meta = requests::read_answer(&head);
            if meta.request_id == self.id() {
                break (head, meta);
            }
            log::info!(
                "event=foreign_answer request={} id={} answers={}",
                self.id(),
                to.id,
                meta.request_id
            );
            self.node.metrics.count(Counter::ForeignAnswers, "skipped");
            skips += 1;
            let mut framing = head.body_framing;
            let body = conn.read_body(&mut framing, BODY_LIMIT).await;
            // Status 421 comes from another endpoint, which need not repeat the identifier.
            if head.status == 421 {
                return (End::NotRun("other_endpoint"), None);
            }
            if skips > SKIPS || !head.keep_alive || !matches!(body, Ok(Some(_))) {
                return (End::MayHaveRun("foreign_answer"), None);
            }
        };
        if meta.not_run {
            let whole = conn.read_body(&mut head.body_framing, BODY_LIMIT).await;
            let reuse = head.keep_alive && skips == 0 && matches!(whole, Ok(Some(_)));
            let end = End::NotRun(if head.status == 421 {
                "other_endpoint"
            } else {
                "endpoint_full"
            });
            return (end, reuse.then_some(meta.keep_for));
        }
        let success = (200..300).contains(&head.status);
        if success && !meta.signed {
            return (End::MayHaveRun("unsigned"), None);
        }
        let end = if success && self.request.route.request_kind.is_stream() {
            self.stream(caller, conn, &mut head, to, prompt, first)
                .await
        } else {
            self.whole(caller, conn, &mut head, to).await
        };
        let reuse = matches!(end, End::Answered { .. }) && head.keep_alive && skips == 0;
        (end, reuse.then_some(meta.keep_for))
    }

    /// Returns the rank at the endpoint: a stream whose caller has come back goes before its like.
    fn rank(&self) -> Option<u8> {
        let own = self.request.account.as_ref().and_then(|a| a.priority);
        let rank = own.unwrap_or(self.request.route.priority);
        Some(rank.saturating_sub(u8::from(self.is_return())))
    }

    fn is_return(&self) -> bool {
        let Request { route, meta, .. } = self.request;
        let short = |wait: Duration| wait < route.timeout.mul_f64(RETURN_PART);
        route.request_kind.is_stream() && meta.deadline.is_some_and(short)
    }

    /// Returns the tokens that the answer still needs.
    fn answer_left(&self) -> u32 {
        let stride = self.engine().map_or(1, |e| e.steps_per_pass);
        self.request
            .meta
            .answer
            .saturating_sub(self.sent.events * stride)
    }

    fn engine(&self) -> Option<&Engine> {
        let service = self.service.as_ref()?;
        self.request.config.services.get(service)?.engine.as_ref()
    }

    /// Returns the longest time to the first event that is of use: callers abandon a stream after a
    /// gap of 2 s, four times the goal or eight times the pause, whichever is longest.
    fn first_limit(&self, now: Time) -> Duration {
        let route = &self.request.route;
        let left = self.request.deadline.since(now);
        if !route.request_kind.is_stream() {
            return left;
        }
        let gap = GIVE_UP
            .max(route.latency_goal * 4)
            .max(route.event_gap_goal * 8);
        let spent = self
            .sent
            .last_at
            .map_or_else(|| self.spent(), |t| now.since(t));
        let part = match self.is_return() {
            true => LAST_PART,
            false => FIRST_PART,
        };
        gap.mul_f64(part).saturating_sub(spent).min(left)
    }

    /// Returns how long the endpoint may stay silent before another one is tried.
    fn patience(&self, waits_first: bool) -> Duration {
        let route = &self.request.route;
        match (route.request_kind, waits_first) {
            (RequestKind::Idempotent, _) => route.timeout / 2,
            (_, true) => {
                let expected = self
                    .expected
                    .map(|(e, _)| e.first_event.mul_f64(FIRST_SLACK));
                (route.latency_goal * 2)
                    .max(SILENCE_TIMEOUT)
                    .max(expected.unwrap_or_default())
            }
            (_, false) => (route.event_gap_goal * 3 / 2).max(SILENCE_TIMEOUT),
        }
    }

    /// Returns whether another endpoint may go on if this one stays silent.
    fn may_move(&self) -> bool {
        let route = &self.request.route;
        route.request_kind.may_retry() && self.runs + 1 < route.max_attempts
    }

    async fn answer_head(
        &self,
        caller: &mut Conn,
        conn: &mut Conn,
        to: &Candidate,
    ) -> Result<ResponseHead, End> {
        let mut watch = Watch::new(self.node.now());
        loop {
            let now = self.node.now();
            let left = self.request.deadline.since(now);
            let wait = self.wait(now, watch.since, true).min(left);
            let read = conn.read_response_head(HEAD_LIMIT);
            tokio::select! {
                biased;
                head = read => return head.map_err(|e| self.broken(to, &e)),
                gone = caller_gone(caller) => if gone { return Err(End::Left) },
                () = tokio::time::sleep(wait) => {
                    let now = self.node.now();
                    if now >= self.request.deadline {
                        return Err(End::Overdue);
                    }
                    if let Some(cause) = self.gave_up_on(now, &mut watch, to, true) {
                        return Err(End::MayHaveRun(cause));
                    }
                }
            }
        }
    }

    fn wait(&self, now: Time, since: Time, waits_first: bool) -> Duration {
        if !self.may_move() {
            return Duration::from_secs(60);
        }
        let patience = self.patience(waits_first);
        patience
            .saturating_sub(now.since(since))
            .max(Duration::from_millis(1))
    }

    /// Returns why to leave an endpoint that was silent for this request, if it is time. One that
    /// answers others meanwhile is only slow, and keeps the request for a while.
    fn gave_up_on(
        &self,
        now: Time,
        watch: &mut Watch,
        to: &Candidate,
        first: bool,
    ) -> Option<&'static str> {
        if !self.may_move() || now.since(watch.since) < self.patience(first) {
            return None;
        }
        if self.request.route.request_kind == RequestKind::Idempotent {
            return Some("silent");
        }
        let mut balancer = self.node.balancer.borrow_mut();
        let progress = balancer.last_progress(&to.id).unwrap_or_default();
        if now.since(progress) < SILENCE_TIMEOUT {
            if watch.stays >= STAYS {
                return Some("stuck");
            }
            watch.since = now;
            watch.stays += 1;
            return None;
        }
        balancer.mark_silent(now, &to.id);
        log::warn!(
            "event=silent id={} request={} progress_age_ms={}",
            to.id,
            self.id(),
            now.since(progress).as_millis()
        );
        self.node.metrics.count(Counter::Silent, "endpoint");
        self.node.send_now.notify_one();
        self.node.endpoints_changed.notify_one();
        Some("silent")
    }

    /// Notes a connection that broke while its endpoint had the request.
    fn broken(&self, to: &Candidate, error: &HttpError) -> End {
        let now = self.node.now();
        let start = endpoint_print(&to.id, to.incarnation.0);
        let count =
            self.node
                .quarantine
                .borrow_mut()
                .record_crash(now, (self.request.print, start), true);
        if count > 1 {
            log::warn!(
                "event=breaks request={} id={} endpoints={count}",
                self.id(),
                to.id
            );
        }
        log::debug!(
            "event=broken request={} id={} cause=\"{error}\"",
            self.id(),
            to.id
        );
        match error {
            HttpError::Malformed(_) | HttpError::HeadTooLarge => End::MayHaveRun("malformed"),
            HttpError::Closed | HttpError::Broken(_) => End::MayHaveRun("broken"),
        }
    }

    /// Reads a whole answer and passes it on.
    async fn whole(
        &mut self,
        caller: &mut Conn,
        conn: &mut Conn,
        head: &mut ResponseHead,
        to: &Candidate,
    ) -> End {
        if self.request.head.method == "HEAD" {
            head.body_framing = Framing::Done;
        }
        let body = {
            let left = self.request.deadline.since(self.node.now());
            let mut read = std::pin::pin!(conn.read_body(&mut head.body_framing, BODY_LIMIT));
            let mut over = std::pin::pin!(tokio::time::sleep(left));
            loop {
                tokio::select! {
                    biased;
                    body = &mut read => break body,
                    gone = caller_gone(caller) => if gone { return End::Left },
                    () = &mut over => return End::Overdue,
                }
            }
        };
        let body = match body {
            Ok(Some(body)) => body,
            Ok(None) => return End::MayHaveRun("too_large"),
            Err(e) => return self.broken(to, &e),
        };
        self.node
            .balancer
            .borrow_mut()
            .record_progress(self.node.now(), &to.id);
        // An endpoint's own failure of work that may be repeated is tried once more.
        if head.status >= 500
            && self.request.route.request_kind == RequestKind::Idempotent
            && self.may_move()
        {
            return End::MayHaveRun("endpoint_failed");
        }
        if matches!(head.status, 408 | 421 | 429 | 503) {
            // These promise that nothing ran, which this endpoint does not say.
            return End::MayHaveRun("unclear_refusal");
        }
        if self.sent.head {
            return End::MayHaveRun("refused_to_go_on");
        }
        let mut out = requests::encode_answer(head);
        http1::put_header(
            &mut out,
            "Content-Length",
            body.len().to_string().as_bytes(),
        );
        if !self.keep {
            http1::put_header(&mut out, "Connection", b"close");
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&body);
        match self.pass_on(caller, &out).await {
            true => End::Answered {
                status: head.status,
                next: if self.keep { Next::Keep } else { Next::Close },
            },
            false => End::Left,
        }
    }

    async fn pass_on(&self, caller: &mut Conn, bytes: &[u8]) -> bool {
        let left = self.request.deadline.since(self.node.now());
        let write = tokio::time::timeout(left.max(LEAST_LEFT), caller.write(bytes));
        matches!(write.await, Ok(Ok(())))
    }
}

/// Returns a hash that names one start of an endpoint.
fn endpoint_print(id: &str, born: u64) -> u64 {
    hemlock_lib::rendezvous::score(id.as_bytes(), &born.to_le_bytes())
}

/// Waits until the caller sends something or leaves; returns whether it left.
async fn caller_gone(caller: &mut Conn) -> bool {
    if caller.buffered_len() > AHEAD {
        return std::future::pending().await;
    }
    !matches!(caller.fill().await, Ok(1..))
}
