//! Checks that no answer is lost while all endpoints are sound, and counts of the outcomes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::callers::{LeftRequest, ObservedRequest, RequestKind};
use crate::deployment::{GRACE_S, MAX_ATTEMPTS, Run, min_timeout};
use crate::faults::Fault;
use crate::{checks::InjectedFault, checks::LEFT_LIMIT};

/// Time after its last byte from which a request that was not passed on must be answered.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Time after SIGTERM up to which a request is one that the stopping entry VM has to answer early.
const LATE_REQUEST: Duration = Duration::from_secs(3);
/// Share of the grace period after which work that is left may be ended.
const GRACE_SHARE: f64 = 5.0 / 6.0;

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    Served,
    /// The response is a complete 503.
    Refused,
    /// The response is another complete failure.
    Failed,
    /// The connection ended within a response.
    Cut,
    /// The connection ended without any part of a response.
    Unanswered,
}

fn end_of(request: &ObservedRequest) -> End {
    match (request.response.status, request.response.complete) {
        (0, _) => End::Unanswered,
        (_, false) => End::Cut,
        (200, true) => End::Served,
        (503, true) => End::Refused,
        (_, true) => End::Failed,
    }
}

/// Returns the number of requests of each kind by how they ended and by how many runs they had.
pub(crate) fn count_ends(requests: &[ObservedRequest], runs: &[Run]) -> Vec<String> {
    let runs = count_runs(runs);
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for request in requests {
        let ran = match runs.contains_key(request.id.as_str()) {
            true => "ran",
            false => "not run",
        };
        let status = request.response.status;
        let key = format!("{:?} {:?} {status} {ran}", request.kind, end_of(request));
        *counts.entry(key).or_default() += 1;
    }
    counts
        .iter()
        .map(|(key, n)| format!("{key}: {n}"))
        .collect()
}

/// Checks that each request is answered before its time has passed, that none has more runs than
/// allowed, and that the work on a stream ends soon after its caller has left.
pub(crate) fn violations(
    requests: &[ObservedRequest],
    runs: &[Run],
    left: &[LeftRequest],
    faults: &[InjectedFault],
    fronts: &[std::net::SocketAddr],
) -> Vec<String> {
    let counts = count_runs(runs);
    let stop_of = |request: &ObservedRequest| {
        let node = fronts.iter().position(|f| *f == request.front);
        let is_stop = |i: &&InjectedFault| match i.fault {
            Fault::Terminate(n) => Some(n) == node && i.from <= request.done_at,
            _ => false,
        };
        faults.iter().filter(is_stop).map(|i| i.from).max()
    };
    let answers = requests.iter().filter_map(|request| {
        let count = counts.get(request.id.as_str()).copied().unwrap_or(0);
        check_answer(request, count, stop_of(request))
    });
    let attempts = counts.iter().filter(|(_, count)| **count > MAX_ATTEMPTS);
    let attempts = attempts.map(|(id, count)| format!("{id} ran {count} times"));
    let left_at: BTreeMap<&str, Instant> =
        left.iter().map(|l| (l.id.as_str(), l.left_at)).collect();
    let work = runs.iter().filter_map(|run| {
        let left_at = *left_at.get(run.id.as_str())?;
        let late = run.ended_at.unwrap_or_else(Instant::now);
        let late = late.checked_duration_since(left_at)?;
        (late > LEFT_LIMIT).then(|| {
            let (id, endpoint) = (&run.id, &run.endpoint);
            let stay = left_at.saturating_duration_since(run.started_at);
            format!(
                "{endpoint} still worked on {id} {late:?} after its caller had left, {stay:?} after \
                 it began"
            )
        })
    });
    answers.chain(attempts).chain(work).collect()
}

fn count_runs(runs: &[Run]) -> BTreeMap<&str, usize> {
    let mut counts = BTreeMap::new();
    for run in runs {
        *counts.entry(run.id.as_str()).or_default() += 1;
    }
    counts
}

/// Checks that a request with this number of runs is answered in time. Its entry VM may have got
/// SIGTERM at `stopped_at`.
fn check_answer(
    request: &ObservedRequest,
    runs: usize,
    stopped_at: Option<Instant>,
) -> Option<String> {
    let took = request.done_at - request.sent_at;
    let is_timely = took < min_timeout(request.kind);
    let is_grace_over = stopped_at.is_some_and(|stopped_at| {
        request.sent_at <= stopped_at + LATE_REQUEST
            && request.done_at >= stopped_at + Duration::from_secs(GRACE_S).mul_f64(GRACE_SHARE)
    });
    let is_lost = match end_of(request) {
        End::Served | End::Refused => false,
        End::Failed => runs > 0,
        End::Cut => true,
        End::Unanswered => runs > 0 || took >= LOSS_SLACK,
    };
    (is_lost && is_timely && !is_grace_over).then(|| {
        let (id, kind, status) = (&request.id, request.kind, request.response.status);
        let events = match kind {
            RequestKind::Stream => {
                let received = request.response.events().len();
                format!(", {received} of {} events", request.events)
            }
            RequestKind::Idempotent | RequestKind::NonIdempotent => String::new(),
        };
        let end = end_of(request);
        format!("LOST {id} {kind:?}: {end:?} {status} after {took:?} and {runs} runs{events}")
    })
}
