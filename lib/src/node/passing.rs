//! Passing requests on: an entry VM that has lost its path to the endpoints has a peer that has one
//! send a request and forward the response.
//!
//! One message goes each way, as a header beside the request and the response. They carry what both
//! VMs must agree on: the proof of membership, the time that is left, and the sends so far, so that
//! limits on sends hold across both VMs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use super::peer_paths::PeerPath;
use super::reach::PathState;
use crate::time::Time;

/// Prefix of the headers that entry VMs add for each other, in lower case. They are dropped from what
/// others send.
pub const HEADER_PREFIX: &str = "hemlock-";
/// Header with the [`PassedRequest`].
pub const REQUEST_HEADER: &str = "Hemlock-Passed-On";
/// Header with the [`PeerReport`].
pub const REPORT_HEADER: &str = "Hemlock-Report";
/// Header with the length in bytes of the body of a request that is passed on, so that a peer without
/// memory for it declines it at once.
pub const LENGTH_HEADER: &str = "Hemlock-Body-Bytes";
/// Prefix of the target of a request that is passed on. An entry VM whose build knows no such requests
/// takes it for an unknown topic and closes the connection.
pub const TARGET_PREFIX: &str = "/requests";
/// Prefix of the keys of records with the secret of an entry VM.
pub const SECRET_KEY_PREFIX: &str = "secret/";

/// Interval at which a peer shows that it is still at work on a request, until it sends the head of
/// the response.
pub const SIGN_INTERVAL: Duration = Duration::from_millis(400);
/// Time without any byte after which a peer that owes the head of a response counts as lost.
pub const PEER_SILENCE: Duration = Duration::from_millis(1_500);
/// Number of peers that are asked to take one request.
pub const MAX_PEERS_TRIED: usize = 3;
/// Number of endpoints to which one request fails to connect before it is refused.
pub const MAX_FAILED_CONNECTS: u32 = 3;
/// Longest time for which a request that may have run waits for a path.
const MAX_PATH_WAIT: Duration = Duration::from_secs(1);
/// Longest time for which it waits if nothing tells the path from the endpoint that failed.
const MAX_BLIND_WAIT: Duration = Duration::from_millis(150);
/// Number of endpoints that failed at about the same time from which this VM's own path may be the
/// cause.
const MIN_SUSPICIOUS: usize = 2;
/// Time for which a peer that failed or took no request gets none.
const AVOID_TIME: Duration = Duration::from_millis(1_000);

/// A random secret by which the callers of an entry VM prove that they read the members from the
/// store.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret([u8; Self::BYTES]);

impl Secret {
    const BYTES: usize = 16;

    /// Returns a new random secret.
    pub fn random() -> Self {
        Self(rand::rng().random())
    }

    /// Returns the secret as hexadecimal digits.
    pub fn to_hex(&self) -> String {
        self.0.iter().map(|b| format!("{b:02x}")).collect()
    }

    /// Returns whether `hex` is this secret, in a time that does not depend on where they differ.
    pub fn matches(&self, hex: &str) -> bool {
        self.to_hex().as_bytes().ct_eq(hex.as_bytes()).into()
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Record with the secret of an entry VM in the member list, under a key of its own.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SecretRecord {
    /// Name of the entry VM.
    pub node: String,
    /// Random number that identifies the start of the process.
    pub run: u64,
    /// The secret as hexadecimal digits.
    pub secret: String,
    /// Address at which the entry VM takes requests of peers. Datagrams may be forged, and what they
    /// say must not decide who gets the secret.
    pub address: SocketAddr,
}

impl std::fmt::Debug for SecretRecord {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { node, run, .. } = self;
        write!(f, "SecretRecord({node}, {run:x})")
    }
}

/// The secrets of the other entry VMs.
#[derive(Debug, Default)]
pub struct Secrets {
    records: BTreeMap<String, SecretRecord>,
}

impl Secrets {
    /// Adds or replaces the secret of a peer.
    pub fn record(&mut self, record: SecretRecord) {
        self.records.insert(record.node.clone(), record);
    }

    /// Returns the secret of a peer if it is that of the given start of its process.
    pub fn get(&self, node: &str, run: u64) -> Option<&SecretRecord> {
        self.records.get(node).filter(|r| r.run == run)
    }
}

/// Message to a peer with a request that is passed on to it.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct PassedRequest {
    /// The secret of the peer, as hexadecimal digits.
    pub secret: String,
    /// Name of the entry VM that the caller sent the request to.
    pub from: String,
    /// Version of the configuration by which that VM accepted the request.
    pub config: u64,
    /// Service that was chosen for the request.
    pub service: Arc<str>,
    /// Milliseconds until the deadline.
    pub left_ms: u64,
    /// Milliseconds since the request arrived.
    pub age_ms: u64,
    /// Milliseconds until the VM that the caller uses exits, if it is stopping.
    pub exit_ms: Option<u64>,
    /// Milliseconds since the caller received the last event.
    pub pause_ms: Option<u64>,
    /// Number of the last event that the caller has.
    pub last_event: Option<u64>,
    /// Number of events that the caller has received in this response.
    pub events: u32,
    /// The sends so far.
    pub sends: Sends,
    /// Upper bound on [`Sends::possible_runs()`] for the peer.
    pub max_runs: u32,
    /// Endpoints that the sender knows to accept no requests.
    pub leaving: Vec<Arc<str>>,
}

impl std::fmt::Debug for PassedRequest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            from,
            service,
            left_ms,
            sends,
            ..
        } = self;
        write!(
            f,
            "PassedRequest({from}, {service}, {left_ms} ms, {sends:?})"
        )
    }
}

/// The sends of one request to endpoints, over all entry VMs that took part.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sends {
    /// Endpoints to which the request was sent, or which could not be connected to.
    pub tried: Vec<Arc<str>>,
    /// Number of sends that may have reached an endpoint.
    pub reached: u32,
    /// Number of sends with which the request may have run.
    possible_runs: u32,
}

/// What one send to an endpoint, or one hand-over to a peer, says of the runs of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Runs {
    /// The request certainly did not run.
    None,
    /// An endpoint may have run it.
    MayBeOne,
    /// A peer was lost that had the request; it may have used all runs up to this bound on those of
    /// the request.
    UpTo(u32),
    /// A peer forwarded the response of an endpoint. Its report, which was merged, does not count
    /// that run; all runs together are within this bound.
    Forwarded(u32),
    /// A peer failed to get a response after the request may have run this many times before. Its
    /// report, which was merged, counts the runs at the peer.
    FailedAfter(u32),
}

impl Sends {
    /// Creates the sends to the endpoints `tried`, of which `reached` may have got the request.
    pub fn new(tried: Vec<Arc<str>>, reached: u32, possible_runs: u32) -> Self {
        Self {
            tried,
            reached,
            possible_runs,
        }
    }

    /// Returns the number of sends with which the request may have run.
    pub fn possible_runs(&self) -> u32 {
        self.possible_runs
    }

    /// Returns whether the request may have run, so that it must not be refused any more.
    pub fn may_have_run(&self) -> bool {
        self.possible_runs > 0
    }

    /// Records what one send or hand-over says of the runs of the request.
    pub fn record(&mut self, runs: Runs) {
        self.possible_runs = match runs {
            Runs::None => self.possible_runs,
            Runs::MayBeOne => self.possible_runs + 1,
            Runs::UpTo(max) => {
                self.reached += 1;
                self.possible_runs.max(max)
            }
            Runs::Forwarded(max) => self.possible_runs.max(max.min(self.possible_runs + 1)),
            Runs::FailedAfter(before) => self.possible_runs.max(before + 1),
        };
    }

    /// Returns whether the next send repeats one that may have reached an endpoint. Only such sends
    /// are charged to the retry budget.
    pub fn next_is_repeat(&self) -> bool {
        self.reached > 0
    }

    /// Adds what a peer reports of its sends.
    pub fn merge(&mut self, report: &Sends) {
        for id in &report.tried {
            if !self.tried.contains(id) {
                self.tried.push(id.clone());
            }
        }
        self.reached = self.reached.max(report.reached);
        self.possible_runs = self.possible_runs.max(report.possible_runs);
    }
}

/// Returns the upper bound on possible runs for a peer: one of several remaining sends is left for the
/// case that the peer is lost.
pub fn max_runs_of_peer(possible_runs: u32, max_attempts: u32, may_retry: bool) -> u32 {
    match may_retry {
        true => (possible_runs + 1).max(max_attempts.saturating_sub(1)),
        false => possible_runs + 1,
    }
}

/// Message of a peer with its response to a request that was passed on to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReport {
    /// Where the response comes from.
    pub origin: Origin,
    /// The sends so far.
    pub sends: Sends,
    /// Identifiers and start times of endpoints that said in their responses that they are about to
    /// stop.
    pub leaving: Vec<(Arc<str>, u64)>,
}

/// Where a response comes from that a peer sends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Origin {
    /// An endpoint, and the time at which it started in Unix milliseconds.
    Endpoint {
        /// Identifier of the endpoint.
        id: Arc<str>,
        /// Start time of the endpoint.
        started_ms: u64,
    },
    /// The peer, which has not run the request; another one may accept it.
    Elsewhere {
        /// Why the peer refused.
        cause: String,
    },
    /// The peer, which has not run the request; others would refuse it as well.
    Refused {
        /// Why the peer refused.
        cause: String,
        /// Milliseconds after which the caller may retry.
        after_ms: u64,
    },
    /// The peer, which failed to get a response.
    Failed {
        /// Why the peer gave up.
        cause: String,
    },
}

/// Causes of refusals that hold for one VM, so that another one may accept the request.
const LOCAL_CAUSES: [&str; 11] = [
    "stopping",
    "budget",
    "no_path",
    "no_config",
    "older_config",
    "denied",
    "no_service",
    "nobody",
    "limited",
    "memory",
    "body_too_large",
];

/// Returns whether a peer that refused a request for `cause` would refuse others too, so that it is
/// avoided for a while.
pub fn refuses_all(cause: &str) -> bool {
    matches!(cause, "stopping" | "no_path" | "no_config")
}

/// Returns what a peer reports of a request that it gives up for `cause`.
pub fn refusal(cause: &str, may_have_run: bool, retry_after: Duration) -> Origin {
    let is_local = LOCAL_CAUSES.contains(&cause);
    let cause = cause.to_owned();
    match (may_have_run, is_local) {
        (true, _) => Origin::Failed { cause },
        (false, true) => Origin::Elsewhere { cause },
        (false, false) => Origin::Refused {
            cause,
            after_ms: retry_after.as_millis() as u64,
        },
    }
}

/// Encodes a message between entry VMs as the value of a header.
pub fn encode<T: Serialize>(message: &T) -> Result<String, serde_json::Error> {
    serde_json::to_string(message)
}

/// Decodes a message between entry VMs from the value of a header.
pub fn decode<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, serde_json::Error> {
    serde_json::from_str(text)
}

/// Next step with a request that is to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// This VM sends it to an endpoint.
    Send,
    /// A peer sends it.
    PassOn,
    /// The request waits until more is known of the paths.
    Wait,
    /// The request is refused.
    Refuse,
}

/// State of a request that is to be sent, and of the ways to send it.
#[derive(Debug, Clone, Copy)]
pub struct Situation {
    /// Whether this VM reaches endpoints.
    pub path: PathState,
    /// Whether a peer that reaches endpoints can take the request.
    pub has_peer: bool,
    /// Whether all peers that were asked reach no endpoint either.
    pub nobody_has_path: bool,
    /// Number of endpoints to which this VM failed to connect for the request.
    pub failed_connects: u32,
    /// How long ago the last send failed with which the request may have run.
    pub since_failure: Option<Duration>,
    /// Number of endpoints that failed lately, for any request.
    pub failed_endpoints: usize,
    /// Whether any endpoint sent something after that failure.
    pub heard_since: bool,
    /// Whether an idle connection to an endpoint is left after that failure.
    pub has_idle_conn: bool,
}

/// Decides who sends a request.
pub fn next_step(situation: &Situation) -> Step {
    let Situation {
        path,
        has_peer,
        failed_connects,
        ..
    } = *situation;
    match (path, has_peer) {
        (PathState::Cut | PathState::Doubtful, true) => Step::PassOn,
        (PathState::Direct, true) if failed_connects > 0 => Step::PassOn,
        _ if should_wait(situation) => Step::Wait,
        (PathState::Cut, false) => Step::Refuse,
        (PathState::Doubtful, false) if failed_connects > 0 || situation.nobody_has_path => {
            Step::Refuse
        }
        _ if failed_connects >= MAX_FAILED_CONNECTS => Step::Refuse,
        _ => Step::Send,
    }
}

/// Returns whether a request that may have run, and so can't be refused any more, should wait rather
/// than use up its sends on a path that may be lost.
fn should_wait(situation: &Situation) -> bool {
    let Some(since_failure) = situation.since_failure else {
        return false;
    };
    let Situation {
        failed_endpoints,
        heard_since,
        has_idle_conn,
        ..
    } = *situation;
    let longest = match situation.path {
        PathState::Cut => MAX_PATH_WAIT,
        PathState::Direct | PathState::Doubtful if heard_since => Duration::ZERO,
        PathState::Doubtful => MAX_PATH_WAIT,
        PathState::Direct if failed_endpoints >= MIN_SUSPICIOUS => MAX_PATH_WAIT,
        PathState::Direct if has_idle_conn => Duration::ZERO,
        PathState::Direct => MAX_BLIND_WAIT,
    };
    since_failure < longest
}

/// Requests that this VM has passed on to each peer, and the peers that get none for now.
#[derive(Debug, Default)]
pub struct PeerLoads {
    in_flight: BTreeMap<String, u32>,
    avoided: BTreeMap<String, Time>,
}

impl PeerLoads {
    /// Records that a request is passed on to a peer.
    pub fn record_start(&mut self, peer: &str) {
        *self.in_flight.entry(peer.to_owned()).or_default() += 1;
    }

    /// Records the end of a request that was passed on.
    pub fn record_end(&mut self, peer: &str) {
        if let Some(count) = self.in_flight.get_mut(peer) {
            *count = count.saturating_sub(1);
        }
        self.in_flight.retain(|_, count| *count > 0);
    }

    /// Returns the number of requests that are passed on to a peer and have not ended.
    pub fn in_flight(&self, peer: &str) -> u32 {
        self.in_flight.get(peer).copied().unwrap_or_default()
    }

    /// Passes nothing on to a peer for a while.
    pub fn avoid(&mut self, now: Time, peer: &str) {
        self.avoided.retain(|_, until| *until > now);
        self.avoided.insert(peer.to_owned(), now + AVOID_TIME);
    }

    /// Returns whether a peer is avoided.
    pub fn is_avoided(&self, now: Time, peer: &str) -> bool {
        self.avoided.get(peer).is_some_and(|until| *until > now)
    }

    /// Chooses between two peers, picked by `draws`, the one with fewer open requests for each core.
    /// The draws are uniform between 0 and 1.
    pub fn choose<'a>(&self, peers: &'a [PeerPath], draws: [f64; 2]) -> Option<&'a PeerPath> {
        let pick = |draw: f64, count: usize| ((draw * count as f64) as usize).min(count - 1);
        if peers.is_empty() {
            return None;
        }
        let first = pick(draws[0], peers.len());
        // The second one is drawn from the others, if there are any.
        let others = (peers.len() - 1).max(1);
        let second = (first + 1 + pick(draws[1], others)) % peers.len();
        let (a, b) = (&peers[first], &peers[second]);
        Some(if self.load(b) < self.load(a) { b } else { a })
    }

    /// Returns the open requests of a peer for each core. Those that this VM passed on may be counted
    /// twice, since the peer's own figure is as old as its last reply.
    fn load(&self, peer: &PeerPath) -> f64 {
        f64::from(peer.open_requests + self.in_flight(&peer.node)) / peer.cores.max(0.01)
    }
}
