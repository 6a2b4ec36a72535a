//! What the peers of this VM report of their own paths to endpoints.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Time;

/// Time for which a reply is used.
const REPLY_RETENTION: Duration = Duration::from_millis(1_500);

/// A question to a peer whether it reaches endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PathQuery {
    /// Name of the sender.
    pub node: String,
    /// Random number that identifies the run of the sender.
    pub run: u64,
    /// Number of the query, which its reply repeats.
    pub number: u64,
    /// Identifiers of endpoints to which the sender can't open connections.
    pub unreachable: Vec<String>,
    /// Identifiers of endpoints that send the sender nothing.
    pub silent: Vec<String>,
}

/// The reply to a [`PathQuery`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PathReply {
    /// Name of the sender.
    pub node: String,
    /// Random number that identifies the run of the sender.
    pub run: u64,
    /// Number of the query.
    pub number: u64,
    /// Those unreachable endpoints of the query to which the sender could open connections.
    pub connected: Vec<String>,
    /// Those silent endpoints of the query that sent bytes to the sender.
    pub answered: Vec<String>,
    /// Whether the sender reaches endpoints at all, and so can relay requests of the receiver.
    pub has_path: bool,
    /// Whether the sender is stopping.
    pub stopping: bool,
    /// Requests that the sender has open.
    pub open_requests: u32,
    /// Fraction of a CPU core available to the sender.
    pub cores: f64,
    /// Address for requests that are passed on to the sender.
    pub address: SocketAddr,
}

/// A peer that reaches endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerPath {
    /// Name of the peer.
    pub node: String,
    /// Random number that identifies the run of the peer.
    pub run: u64,
    /// Address for requests that are passed on to the peer.
    pub address: SocketAddr,
    /// Requests that the peer had open when it replied.
    pub open_requests: u32,
    /// Fraction of a CPU core available to the peer.
    pub cores: f64,
}

/// The latest replies of peers.
#[derive(Debug, Default)]
pub struct PeerPaths {
    replies: BTreeMap<String, (Time, PathReply)>,
    /// Whether this VM may itself reach endpoints of some service.
    may_reach: bool,
}

impl PeerPaths {
    /// Records the reply of a peer.
    pub fn record_reply(&mut self, now: Time, reply: PathReply) {
        self.replies.insert(reply.node.clone(), (now, reply));
    }

    /// Records whether this VM may reach endpoints of some service, since those have not failed.
    pub fn set_may_reach(&mut self, may_reach: bool) {
        self.may_reach = may_reach;
    }

    /// Lists the peers that replied recently that they reach endpoints and are not stopping.
    pub fn with_path(&self, now: Time) -> Vec<PeerPath> {
        let usable = |reply: &&PathReply| reply.has_path && !reply.stopping;
        self.recent(now)
            .filter(usable)
            .map(|reply| PeerPath {
                node: reply.node.clone(),
                run: reply.run,
                address: reply.address,
                open_requests: reply.open_requests,
                cores: reply.cores,
            })
            .collect()
    }

    /// Returns whether no VM reaches any endpoint: all services fail here, and all peers that replied
    /// recently said that they reach none; false if none replied. A peer that doubts its path says so
    /// too, and VMs that all refuse requests would never hear the endpoints that answer.
    pub fn nobody_has_path(&self, now: Time) -> bool {
        let mut replies = self.recent(now).peekable();
        !self.may_reach && replies.peek().is_some() && replies.all(|reply| !reply.has_path)
    }

    fn recent(&self, now: Time) -> impl Iterator<Item = &PathReply> {
        let is_recent = move |received: Time| now.since(received) < REPLY_RETENTION;
        let replies = self.replies.values();
        replies
            .filter(move |(received, _)| is_recent(*received))
            .map(|(_, reply)| reply)
    }
}
