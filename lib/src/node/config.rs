//! The operators' configuration: routes, services, models and client accounts.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// What may be repeated of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once for each attempt of the caller.
    NonIdempotent,
    /// It is a stream that another endpoint may go on with.
    ResumableStream,
    /// It is a stream that runs at most once.
    NonResumableStream,
}

impl RequestKind {
    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::NonResumableStream)
    }

    /// Returns whether a request that may have run may be sent again.
    pub fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A route of requests to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host that it serves, in lower case.
    pub host: String,
    /// Start of the paths that it serves, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub request_kind: RequestKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time to the answer, or to its first event, for full worth.
    pub latency_goal: Duration,
    /// Longest pause between events for full worth.
    pub event_gap_goal: Duration,
    /// Rank; zero is the most urgent.
    pub priority: u8,
    /// Endpoints that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Whether no key is needed.
    pub public: bool,
    /// Services with their weights.
    pub services: Vec<(Arc<str>, u32)>,
}

/// A model that engines of a service can load.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: Arc<str>,
    /// Endpoints that one group of it spans.
    pub group_size: usize,
    /// Factor on all times of a group.
    pub time_factor: f64,
    /// Its part of the engines' work.
    pub share: f64,
    /// Time to load its weights from the weight store.
    pub load_time: Duration,
    /// Time to start it from weights on the host.
    pub warmup_time: Duration,
}

/// How engines of a service work.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests of one batch.
    pub slots: usize,
    /// Time of one decoding step.
    pub step_time: Duration,
    /// Time that each request of the batch adds to a step.
    pub step_time_per_request: Duration,
    /// Prompt tokens read in a second.
    pub prefill_rate: f64,
    /// Decoding steps of one pass.
    pub steps_per_pass: u32,
    /// Loads that the weight store starts in a second at most.
    pub load_rate: f64,
    /// Loads that run at a time without slowing each other.
    pub load_limit: usize,
    /// Models by name.
    pub models: Vec<Model>,
}

impl Engine {
    /// Returns a model by name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|m| &*m.name == name)
    }
}

/// A service that routes lead to.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Connections that one endpoint takes from all callers.
    pub max_connections: usize,
    /// Its engines, if it serves models.
    pub engine: Option<Engine>,
}

/// A client account with its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Its name.
    pub name: Arc<str>,
    /// Its keys.
    pub keys: Vec<String>,
    /// Rank that replaces that of the route.
    pub priority: Option<u8>,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time to send a head.
    pub head_timeout: Duration,
    /// Time that a connection may lie idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Its version; larger is newer.
    pub version: u64,
    /// Bounds on requests.
    pub limits: Limits,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    hosts: HashMap<String, Vec<Arc<Route>>>,
    /// Accounts by key; `None` if requests need no key.
    keys: Option<HashMap<String, Arc<Account>>>,
}

/// Says who a request is from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Caller {
    /// A known account.
    Account(Arc<Account>),
    /// Anybody: the route needs no key, or the configuration names no accounts.
    Anonymous,
    /// The key is unknown or missing.
    Unknown,
}

impl Config {
    /// Builds a version from its parts; `accounts` is `None` if requests need no key.
    pub fn new(
        version: u64,
        limits: Limits,
        routes: impl IntoIterator<Item = Route>,
        services: impl IntoIterator<Item = Service>,
        accounts: Option<Vec<Account>>,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let of_host = hosts.entry(route.host.clone()).or_default();
            of_host.push(Arc::new(route));
        }
        for of_host in hosts.values_mut() {
            of_host.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let by_key = |accounts: Vec<Account>| {
            let mut keys = HashMap::new();
            for account in accounts.into_iter().map(Arc::new) {
                for key in &account.keys {
                    keys.insert(key.clone(), account.clone());
                }
            }
            keys
        };
        Self {
            version,
            limits,
            services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            hosts,
            keys: accounts.map(by_key),
        }
    }

    /// Returns the route of a request: the one with the longest prefix of its path.
    ///
    /// `host` may carry a port; `path` may carry a query.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let path = path.split('?').next().unwrap_or(path);
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// Returns who sent a request with this key on this route.
    pub fn caller(&self, route: &Route, key: Option<&str>) -> Caller {
        let Some(keys) = &self.keys else {
            return Caller::Anonymous;
        };
        match key.and_then(|k| keys.get(k)) {
            Some(account) => Caller::Account(account.clone()),
            None if route.public => Caller::Anonymous,
            None => Caller::Unknown,
        }
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

impl Route {
    /// Returns the service for a draw between 0 and 1, by the services' weights.
    pub fn service(&self, draw: f64) -> Option<&Arc<str>> {
        let total: u32 = self.services.iter().map(|(_, w)| w).sum();
        let mut left = draw * f64::from(total);
        for (service, weight) in &self.services {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(service);
            }
        }
        let mut weighed = self.services.iter().rev().filter(|(_, w)| *w > 0);
        weighed.next().map(|(service, _)| service)
    }
}
