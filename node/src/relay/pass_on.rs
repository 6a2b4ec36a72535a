//! Passing a request on to a peer that reaches endpoints, and relaying the response.
//!
//! The peer gets the head of the request first, and the body only after it has accepted the request.
//! Until then it can't run it, so that a peer that refuses, is lost or has an older build may be
//! replaced by another one whatever the request is.

use std::rc::Rc;
use std::time::Duration;

use hemlock_lib::node::passing::{self, Origin, PassedRequest, PeerReport, Situation};
use hemlock_lib::node::peer_paths::PeerPath;
use hemlock_lib::node::reach::PathState;
use hemlock_lib::time::Time;
use hemlock_platform::requests;
use hemlock_wire::http1::{self, Conn, HttpError, ResponseHead};
use rand::Rng;

use super::exchange::{Body, Exchange, Load, PeerLoad, PeerRuns, Phase, Receiver};
use super::{
    FAILED_CONNECT, MAX_HEAD_BYTES, Relay, SLOW_CONNECT, SendOutcome, caller_has_left, skip_refusal,
};
use crate::front;
use crate::metrics::Counter;

/// Time within which a peer accepts or refuses a request.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which a peer that sends nothing is checked.
pub(super) const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without any byte of a stream after which a peer is lost if its heartbeats are missing too.
const PEER_LOST_AFTER: Duration = Duration::from_millis(500);
/// Time that a peer gets beyond the silence timeouts of its endpoints.
const PEER_SLACK: Duration = Duration::from_millis(200);
/// Interval at which a request that waits for a path looks for one.
const PATH_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time after a failure in which bytes that arrive may have been sent before the path was lost.
const PATH_SETTLE_TIME: Duration = Duration::from_millis(5);
/// Upper bound on the endpoints that a peer is told not to use.
const MAX_LEAVING: usize = 32;

/// Cause of a send that a peer ended in an orderly way before its response was complete, as it does
/// when the endpoint fails after the response has begun. It may still serve others.
pub(super) const PEER_BROKE_OFF: &str = "peer_broke_off";
/// Cause of a send for which a peer got no response although the request may have run.
pub(super) const PEER_FAILED: &str = "peer_failed";
/// Cause of a send to a peer that is at work and has brought nothing of the answer for too long, since
/// its endpoints are silent. It may still serve others.
pub(super) const PEER_SLOW: &str = "peer_slow";
/// Cause of a send that a peer refused for the request, so that others may go to it.
const PEER_UNABLE: &str = "peer_unable";

/// Returns the cause of a send that a peer did not carry out.
fn cause_of_decline(origin: &Origin) -> &'static str {
    match origin {
        Origin::Elsewhere { cause } if !passing::refuses_all(cause) => PEER_UNABLE,
        _ => "peer_declined",
    }
}

/// Why a peer did not accept a request.
enum Declined {
    /// The peer sent this final response.
    Response(Box<ResponseHead>),
    /// The connection was closed or broke.
    Broken(HttpError),
    /// The request has ended with this outcome.
    Outcome(SendOutcome),
}

impl Relay<'_> {
    /// Chooses a peer for the request, if it may be passed on and one can take it.
    pub(super) fn choose_peer(&self, now: Time) -> Option<PeerPath> {
        // One hop: a request that a peer passed on goes to an endpoint or back.
        if self.request.passed.is_some() || self.peers_tried.len() >= passing::MAX_PEERS_TRIED {
            return None;
        }
        let loads = self.node.peer_loads.borrow();
        let secrets = self.node.secrets.borrow();
        let mut peers = self.node.peers_with_path(now);
        if peers.iter().any(|p| secrets.get(&p.node, p.run).is_none()) {
            self.node.secrets_missing.notify_one();
        }
        peers.retain_mut(|p| {
            let Some(record) = secrets.get(&p.node, p.run) else {
                return false;
            };
            p.address = record.address;
            !self.peers_tried.contains(&p.node) && !loads.is_avoided(now, &p.node)
        });
        let mut rng = rand::rng();
        let draws = [rng.random_range(0.0..1.0), rng.random_range(0.0..1.0)];
        loads.choose(&peers, draws).cloned()
    }

    /// Returns what decides how the request is sent next.
    pub(super) fn situation(&self, now: Time, path: PathState, has_peer: bool) -> Situation {
        let reach = self.node.reach.borrow();
        let failed_at = self.failed_at;
        Situation {
            path,
            has_peer,
            nobody_has_path: self.node.peer_paths.borrow().nobody_has_path(now),
            failed_connects: self.failed_connects,
            since_failure: failed_at.map(|at| now.since(at)),
            has_idle_conn: failed_at.is_some() && self.node.pool.has_idle(now),
            failed_endpoints: reach.failing_endpoints(now),
            heard_since: failed_at.is_some_and(|at| reach.has_heard_since(at + PATH_SETTLE_TIME)),
        }
    }

    /// Waits until more is known of the path; returns whether the caller has disconnected.
    pub(super) async fn wait_for_path(&self, caller: &mut Conn) -> bool {
        tokio::select! {
            disconnected = self.caller_disconnected(caller) => disconnected,
            () = tokio::time::sleep(PATH_CHECK_INTERVAL) => false,
        }
    }

    /// Returns the time after which the caller of a request may retry that this VM can't send. While a
    /// cut is only suspected, no VM may have a path.
    pub(super) fn retry_elsewhere_after(&self, path: PathState) -> Duration {
        match path {
            PathState::Doubtful => {
                front::jittered_retry_after(self.request.deadline.since(self.node.now()))
            }
            PathState::Direct | PathState::Cut => front::RETRY_ELSEWHERE_AFTER,
        }
    }

    /// Passes the request on to a peer and relays the response; `cause` is that of the failure of the
    /// last send.
    pub(super) async fn pass_on(
        &mut self,
        caller: &mut Conn,
        peer: &PeerPath,
        cause: &'static str,
    ) -> SendOutcome {
        let now = self.node.now();
        log::info!(
            "event=passed_on request={} via=peer:{} address={} after={cause} sends={} left_ms={} from={:?}",
            self.request_id(),
            peer.node,
            peer.address,
            self.sends.reached,
            self.request.deadline.since(now).as_millis(),
            self.delivered.last_event
        );
        self.peers_tried.push(peer.node.clone());
        let load = PeerLoad::new(self.node, &peer.node);
        let max = passing::max_runs_of_peer(
            self.sends.possible_runs(),
            self.max_attempts(),
            self.request.route.request_kind.may_retry(),
        );
        let runs = PeerRuns {
            max,
            own: max - self.sends.possible_runs(),
        };
        self.peer = Some(peer.node.clone());
        let peer = Rc::new(peer.clone());
        match self.hand_over(caller, &peer, runs, load).await {
            Ok(send) => self.carry_on(caller, send).await,
            Err(outcome) => {
                self.note_peer_outcome(&peer, &outcome);
                outcome
            }
        }
    }

    /// Logs and counts the outcome of a request that was passed on, and avoids a peer that failed.
    pub(super) fn note_peer_outcome(&self, peer: &PeerPath, outcome: &SendOutcome) {
        let is_avoided = match outcome {
            SendOutcome::NotRun(PEER_UNABLE) | SendOutcome::PeerLost(PEER_BROKE_OFF) => false,
            SendOutcome::NotRun(_) | SendOutcome::PeerLost(_) => true,
            _ => false,
        };
        if is_avoided {
            let mut loads = self.node.peer_loads.borrow_mut();
            loads.avoid(self.node.now(), &peer.node);
            self.node.peer_pool.drop_endpoint(&peer.node);
        }
        self.node.metrics.count(Counter::PassedOn, outcome.cause());
        if let SendOutcome::NotRun(cause)
        | SendOutcome::MayHaveRun(cause)
        | SendOutcome::PeerLost(cause) = outcome
        {
            log::info!(
                "event=pass_failed request={} via=peer:{} cause={cause} may_have_run={} events={}",
                self.request_id(),
                peer.node,
                !matches!(outcome, SendOutcome::NotRun(_)),
                self.delivered.events
            );
        }
    }

    /// Hands the request over to a peer, over a new connection if a kept one was closed meanwhile.
    /// Fails with the outcome of a request that the peer has not got in full.
    async fn hand_over(
        &mut self,
        caller: &mut Conn,
        peer: &Rc<PeerPath>,
        runs: PeerRuns,
        load: PeerLoad,
    ) -> Result<Box<Exchange>, SendOutcome> {
        let key = std::sync::Arc::from(peer.node.as_str());
        let (mut conn, is_kept) = loop {
            let kept = self.node.peer_pool.take(self.node.now(), &key);
            let is_kept = kept.is_some();
            let mut conn = match kept {
                Some(conn) => conn,
                None => match self.connect(caller, peer.address, None).await {
                    Ok(conn) => conn,
                    Err(SendOutcome::NotRun(FAILED_CONNECT | SLOW_CONNECT)) => {
                        return Err(SendOutcome::NotRun("peer_connect"));
                    }
                    Err(outcome) => return Err(outcome),
                },
            };
            let Some(out) = self.encode_for_peer(peer, runs.max) else {
                return Err(SendOutcome::NotRun("peer_secret"));
            };
            match self.write_to_peer(caller, &mut conn, &out).await {
                Ok(()) => {}
                Err(SendOutcome::NotRun(_)) if is_kept => continue,
                Err(SendOutcome::NotRun(_)) => return Err(SendOutcome::NotRun("peer_broken")),
                Err(outcome) => return Err(outcome),
            }
            match self.await_acceptance(caller, &mut conn).await {
                Ok(()) => break (conn, is_kept),
                Err(Declined::Broken(_)) if is_kept => continue,
                Err(Declined::Broken(error)) => {
                    log::debug!("event=peer_declined node={} cause=\"{error}\"", peer.node);
                    return Err(SendOutcome::NotRun("peer_broken"));
                }
                Err(Declined::Outcome(outcome)) => return Err(outcome),
                Err(Declined::Response(head)) => {
                    return Err(self.declined(&head, peer));
                }
            }
        };
        let receiver = Receiver::Peer(peer.clone(), runs);
        self.is_counted = false;
        self.open_send = Some(receiver.clone());
        for part in http1::body_in_chunks(&self.request.body) {
            let written = self.write_to_peer(caller, &mut conn, &part).await;
            if written.is_err() {
                self.open_send = None;
            }
            written?;
        }
        self.open_send = None;
        Ok(Box::new(Exchange {
            receiver,
            conn,
            phase: Phase::Head,
            is_kept,
            skipped: 0,
            events_before: self.delivered.events,
            of_endpoint: 0,
            estimate: None,
            endpoint: self.endpoint.clone(),
            leaving: Vec::new(),
            heard_at: self.node.now(),
            new_conn: None,
            load: Load::Peer {
                load,
                has_started: false,
            },
            is_counted: false,
            held_for: "",
            moving_since: None,
            ended_by: None,
        }))
    }

    /// Encodes the head of the request for a peer; `None` if the peer's secret is not known.
    fn encode_for_peer(&self, peer: &PeerPath, max_runs: u32) -> Option<Vec<u8>> {
        let now = self.node.now();
        let millis = |time: Duration| time.as_millis() as u64;
        let leaving = self.node.endpoints.borrow();
        let leaving = leaving.iter().filter(|e| e.draining).map(|e| e.id.clone());
        let message = PassedRequest {
            secret: self
                .node
                .secrets
                .borrow()
                .get(&peer.node, peer.run)?
                .secret
                .clone(),
            from: self.node.identity.node.clone(),
            config: self.request.config.version,
            service: self.service.clone()?,
            left_ms: millis(self.request.deadline.since(now)),
            age_ms: millis(self.elapsed()),
            exit_ms: self.time_until_exit(now).map(millis),
            pause_ms: self.delivered.last_event_at.map(|at| millis(now.since(at))),
            last_event: self.delivered.last_event,
            events: self.delivered.events,
            sends: self.sends.clone(),
            max_runs,
            leaving: leaving.take(MAX_LEAVING).collect(),
        };
        let message = match passing::encode(&message) {
            Ok(message) => message,
            Err(e) => {
                log::error!("event=pass_failed cause=\"{e}\"");
                return None;
            }
        };
        let head = &self.request.head;
        let target = format!("{}{}", passing::TARGET_PREFIX, head.target);
        let mut out = format!("{} {target} HTTP/1.1\r\n", head.method).into_bytes();
        for (name, value) in head.headers.iter() {
            let is_framing = ["content-length", "expect"]
                .iter()
                .any(|n| name.eq_ignore_ascii_case(n));
            if !is_framing && !head.headers.is_hop_by_hop(name) {
                http1::put_header(&mut out, name, value);
            }
        }
        http1::put_header(&mut out, "Expect", b"100-continue");
        http1::put_header(&mut out, "Transfer-Encoding", b"chunked");
        http1::put_header(&mut out, passing::REQUEST_HEADER, message.as_bytes());
        let length = self.request.body.len().to_string();
        http1::put_header(&mut out, passing::LENGTH_HEADER, length.as_bytes());
        out.extend_from_slice(b"\r\n");
        Some(out)
    }

    /// Waits until the peer accepts the request.
    async fn await_acceptance(&self, caller: &mut Conn, conn: &mut Conn) -> Result<(), Declined> {
        let time_left = self.request.deadline.since(self.node.now());
        let mut timeout = std::pin::pin!(tokio::time::sleep(ACCEPT_TIMEOUT.min(time_left)));
        loop {
            tokio::select! {
                biased;
                head = conn.read_any_response_head(MAX_HEAD_BYTES) => return match head {
                    Ok(head) if head.status == 100 => Ok(()),
                    Ok(head) if head.status < 200 => continue,
                    Ok(head) => Err(Declined::Response(Box::new(head))),
                    Err(e) => Err(Declined::Broken(e)),
                },
                disconnected = self.caller_disconnected(caller) => {
                    if disconnected { return Err(Declined::Outcome(SendOutcome::CallerLeft)) }
                }
                () = &mut timeout => {
                    return Err(Declined::Outcome(SendOutcome::NotRun("peer_silent")));
                }
            }
        }
    }

    /// Returns the outcome of a request that a peer refused before it had read it.
    fn declined(&mut self, head: &ResponseHead, peer: &PeerPath) -> SendOutcome {
        if head.status == 403 {
            // The peer has started again since its secret was read.
            self.node.secrets_missing.notify_one();
            return SendOutcome::NotRun("peer_secret");
        }
        match self.read_report(head, peer) {
            Some(Origin::Refused { after_ms, .. }) => {
                SendOutcome::Refused(Duration::from_millis(after_ms))
            }
            Some(origin) => SendOutcome::NotRun(cause_of_decline(&origin)),
            None => SendOutcome::NotRun("peer_declined"),
        }
    }

    /// Sends a part of the request to a peer, unless that takes too long or the caller disconnects. A
    /// peer does not run a request whose body it has not got in full.
    async fn write_to_peer(
        &self,
        caller: &mut Conn,
        conn: &mut Conn,
        part: &[u8],
    ) -> Result<(), SendOutcome> {
        if caller_has_left(caller) {
            return Err(SendOutcome::CallerLeft);
        }
        let time_left = self.request.deadline.since(self.node.now());
        let mut timeout = std::pin::pin!(tokio::time::sleep(passing::PEER_SILENCE.min(time_left)));
        let mut write = std::pin::pin!(conn.write(part));
        loop {
            tokio::select! {
                biased;
                written = &mut write => {
                    return written.map_err(|_| SendOutcome::NotRun("peer_write"));
                }
                disconnected = self.caller_disconnected(caller) => {
                    if disconnected { return Err(SendOutcome::CallerLeft) }
                }
                () = &mut timeout => return Err(SendOutcome::NotRun("peer_write")),
            }
        }
    }

    /// Relays the response of a peer that has the request. The second part of the result is `Some` if
    /// the connection can be used again.
    pub(super) async fn exchange_with_peer(
        &mut self,
        caller: &mut Conn,
        send: &mut Exchange,
        peer: &PeerPath,
        runs: PeerRuns,
    ) -> (SendOutcome, Option<Option<Duration>>) {
        let mut body = loop {
            match std::mem::replace(&mut send.phase, Phase::Head) {
                Phase::Body(body) => break body,
                Phase::Arrived(head) => match self.judge_peer_head(send, peer, *head).await {
                    Ok(body) => break body,
                    Err((outcome, is_reusable)) => {
                        return (outcome, is_reusable.then_some(None));
                    }
                },
                Phase::Write { .. } | Phase::Head | Phase::Skip(_) => {
                    match self.await_peer_head(caller, send, runs).await {
                        Ok(head) => send.phase = Phase::Arrived(Box::new(head)),
                        Err(outcome) => return (outcome, None),
                    }
                }
            }
        };
        let outcome = self.relay_body(caller, send, &mut body).await;
        let is_reusable = matches!(outcome, SendOutcome::Answered { .. }) && body.head.keep_alive;
        send.phase = Phase::Body(body);
        (outcome, is_reusable.then_some(None))
    }

    /// Looks at the head of a peer's response. Fails with the outcome if it is no answer of an
    /// endpoint, and with whether the connection can be used again.
    async fn judge_peer_head(
        &mut self,
        send: &mut Exchange,
        peer: &PeerPath,
        mut head: ResponseHead,
    ) -> Result<Box<Body>, (SendOutcome, bool)> {
        let Some(origin) = self.read_report(&head, peer) else {
            return Err((SendOutcome::PeerLost("peer_malformed"), false));
        };
        let (id, started_ms) = match origin {
            Origin::Endpoint { id, started_ms } => (id, started_ms),
            Origin::Elsewhere { .. } | Origin::Refused { .. } | Origin::Failed { .. } => {
                let is_reusable =
                    head.keep_alive && skip_refusal(&mut send.conn, &mut head.body_framing).await;
                let outcome = match origin {
                    Origin::Refused { after_ms, .. } => {
                        SendOutcome::Refused(Duration::from_millis(after_ms))
                    }
                    Origin::Failed { .. } => SendOutcome::MayHaveRun(PEER_FAILED),
                    _ => SendOutcome::NotRun(cause_of_decline(&origin)),
                };
                return Err((outcome, is_reusable));
            }
        };
        self.endpoint = Some((id, started_ms));
        let meta = requests::read_response_meta(&head);
        if meta.request_id != self.request_id() {
            return Err((SendOutcome::PeerLost("foreign_answer"), false));
        }
        let success = (200..300).contains(&head.status);
        if success && !meta.signed {
            return Err((SendOutcome::MayHaveRun("unsigned"), false));
        }
        head.headers.remove_prefixed(passing::HEADER_PREFIX);
        Ok(Box::new(Body::new(self.node, head, None)))
    }

    /// Reads the head of the response from a peer, which shows at intervals that it is at work. One
    /// that brings no answer for too long is held.
    async fn await_peer_head(
        &self,
        caller: &mut Conn,
        send: &mut Exchange,
        runs: PeerRuns,
    ) -> Result<ResponseHead, SendOutcome> {
        let begun = self.node.now();
        let mut heard = begun;
        let limit = self.peer_silence_limit(runs, true);
        loop {
            let now = self.node.now();
            if now >= self.request.deadline {
                return Err(SendOutcome::DeadlinePassed);
            }
            let mut quiet_left =
                passing::PEER_SILENCE.saturating_sub(self.node.own_delay.silence(heard, now));
            if self.may_switch_endpoint() {
                quiet_left =
                    quiet_left.min(limit.saturating_sub(self.node.own_delay.silence(begun, now)));
            }
            if quiet_left.is_zero() {
                let is_mute = self.node.own_delay.silence(heard, now) >= passing::PEER_SILENCE;
                return Err(SendOutcome::Silent(match is_mute {
                    true => "peer_silent",
                    false => PEER_SLOW,
                }));
            }
            let wait = quiet_left.min(self.request.deadline.since(now));
            tokio::select! {
                biased;
                head = send.conn.read_any_response_head(MAX_HEAD_BYTES) => match head {
                    Ok(head) if head.status >= 200 => return Ok(head),
                    Ok(_) => {
                        heard = self.node.now();
                        send.heard_at = heard;
                    }
                    Err(_) => return Err(SendOutcome::PeerLost("peer_broken")),
                },
                disconnected = self.caller_disconnected(caller) => {
                    if disconnected { return Err(SendOutcome::CallerLeft) }
                }
                () = tokio::time::sleep(wait) => {}
            }
        }
    }

    /// Returns the cause for which to hold a send to a peer that has sent nothing of a stream since `since`.
    pub(super) fn check_peer(
        &self,
        now: Time,
        since: Time,
        peer: &PeerPath,
        runs: PeerRuns,
    ) -> Option<&'static str> {
        let quiet = self.node.own_delay.silence(since, now);
        if quiet < PEER_LOST_AFTER {
            return None;
        }
        let peers = self.node.peers.borrow();
        let is_live = peers
            .heartbeats(now)
            .any(|(h, _)| h.member.node == peer.node && h.member.run == peer.run);
        if !is_live {
            return Some("peer_lost");
        }
        let limit = self.peer_silence_limit(runs, false);
        (self.may_switch_endpoint() && quiet >= limit).then_some(PEER_SLOW)
    }

    /// Returns for how long a peer may bring nothing before another way is tried. It changes the
    /// endpoint itself while it has runs left.
    fn peer_silence_limit(&self, runs: PeerRuns, awaits_first_event: bool) -> Duration {
        self.silence_timeout(awaits_first_event) * runs.own.max(1) + PEER_SLACK
    }

    /// Reads what a peer reports of its sends. `None` if the report is missing or malformed.
    pub(super) fn read_report(&mut self, head: &ResponseHead, peer: &PeerPath) -> Option<Origin> {
        let report: PeerReport = match passing::decode(head.headers.get(passing::REPORT_HEADER)?) {
            Ok(report) => report,
            Err(e) => {
                log::warn!("event=report_refused node={} cause=\"{e}\"", peer.node);
                return None;
            }
        };
        self.sends.merge(&report.sends);
        for (id, started_ms) in &report.leaving {
            self.node.note_leaving(id, *started_ms);
        }
        if let Origin::Elsewhere { cause }
        | Origin::Refused { cause, .. }
        | Origin::Failed { cause } = &report.origin
        {
            log::info!(
                "event=peer_refused request={} via=peer:{} cause={cause}",
                self.request_id(),
                peer.node
            );
        }
        Some(report.origin)
    }

    /// Returns how the request was sent last, for the log.
    pub(super) fn via(&self) -> String {
        match &self.peer {
            Some(peer) => format!("peer:{peer}"),
            None => "direct".to_owned(),
        }
    }
}
