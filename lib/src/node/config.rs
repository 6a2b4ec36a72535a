//! The operators' configuration: routes, services, models and client accounts.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::warm_up::WarmUp;

/// The kind of a route's requests, which decides whether they may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// At-most-once: the request runs at most once per attempt of the caller.
    NonIdempotent,
    /// The answer is an event stream that another endpoint can continue.
    ResumableStream,
    /// The answer is an event stream, and the request is at-most-once.
    NonResumableStream,
}

impl RequestKind {
    /// Returns whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::NonResumableStream)
    }

    /// Returns whether the request may be sent again although it may have run already.
    pub fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A route from a host and path prefix to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that the route serves, in lower case.
    pub host: String,
    /// Prefix of the paths that the route serves, with a slash at both ends.
    pub prefix: String,
    /// Kind of the route's requests.
    pub request_kind: RequestKind,
    /// Longest time that a caller waits for the whole answer.
    pub timeout: Duration,
    /// Target time to the answer, or to the first event of a stream.
    pub latency_goal: Duration,
    /// Target for the longest gap between two events of a stream.
    pub event_gap_goal: Duration,
    /// Priority from 0 to 9; zero is the most urgent.
    pub priority: u8,
    /// Upper bound on the endpoints at which one attempt of a caller may run.
    pub max_attempts: u32,
    /// Whether callers need no API key.
    pub public: bool,
    /// Services of the route with their weights.
    pub services: Vec<(Arc<str>, u32)>,
}

/// A model that engines of a service can load.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Name of the model.
    pub name: Arc<str>,
    /// Number of engines in one group that serves the model.
    pub group_size: usize,
    /// Factor on all processing times of a group of this model.
    pub time_factor: f64,
    /// Share of the engines' work that operators expect for this model, relative to the other
    /// models.
    pub share: f64,
    /// Time to load the weights from the weight store.
    pub load_time: Duration,
    /// Time to start the model from weights that are on the host already.
    pub warmup_time: Duration,
}

/// Performance figures of a service's engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests in one batch.
    pub slots: usize,
    /// Duration of one decoding step with an empty batch.
    pub step_time: Duration,
    /// Time that each request of the batch adds to a decoding step.
    pub step_time_per_request: Duration,
    /// Prompt tokens processed per second.
    pub prefill_rate: f64,
    /// Prompt tokens processed in one decoding step at most; `None` if there is no bound.
    pub prefill_chunk: Option<u32>,
    /// Decoding steps in one pass; each pass of a request produces one event.
    pub steps_per_pass: u32,
    /// Loads that the weight store starts per second at most.
    pub load_rate: f64,
    /// Loads that can run at the same time without slowing each other down.
    pub load_limit: usize,
    /// Models that the engines can serve.
    pub models: Vec<Model>,
}

impl Engine {
    /// Returns the model with the given name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|m| &*m.name == name)
    }
}

/// A service that routes send requests to.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Connections that one endpoint accepts from all callers together.
    pub max_connections: usize,
    /// Performance of the engines, if the service serves models; `None` for a plain service.
    pub engine: Option<Engine>,
    /// Warm-up of the endpoints; `None` if they take as much after a start as later.
    pub warm_up: Option<WarmUp>,
}

/// A client account with its API keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Name of the client account.
    pub name: Arc<str>,
    /// API keys of the client account.
    pub keys: Vec<String>,
    /// Priority that overrides the priority of the route.
    pub priority: Option<u8>,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head in bytes.
    pub head_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Time in which the request head must arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
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
    /// Version number; a larger one is newer.
    pub version: u64,
    /// Limits on callers' requests.
    pub limits: Limits,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    hosts: HashMap<String, Vec<Arc<Route>>>,
    /// Client accounts by API key; `None` if requests need no key.
    keys: Option<HashMap<String, Arc<Account>>>,
}

/// The sender of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Caller {
    /// A known client account.
    Account(Arc<Account>),
    /// A caller without a client account: the route needs no key, or the configuration has no
    /// accounts.
    Anonymous,
    /// The API key is missing or unknown.
    Unknown,
}

impl Config {
    /// Returns whether an engine of any service runs the model called `name`.
    pub fn has_model(&self, name: &str) -> bool {
        let engines = self.services.values().filter_map(|s| s.engine.as_ref());
        engines.into_iter().any(|e| e.model(name).is_some())
    }

    /// Builds a configuration; `accounts` is `None` if requests need no key.
    pub fn new(
        version: u64,
        limits: Limits,
        routes: impl IntoIterator<Item = Route>,
        services: impl IntoIterator<Item = Service>,
        accounts: Option<Vec<Account>>,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host_routes = hosts.entry(route.host.clone()).or_default();
            host_routes.push(Arc::new(route));
        }
        for host_routes in hosts.values_mut() {
            host_routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let index_by_key = |accounts: Vec<Account>| {
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
            keys: accounts.map(index_by_key),
        }
    }

    /// Returns the route with the longest matching path prefix.
    ///
    /// `host` may include a port, and `path` a query.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let path = path.split('?').next().unwrap_or(path);
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// Returns the sender of a request with this key on this route.
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

    /// Iterates over all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.hosts.values().flatten().map(|r| &**r)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

impl Route {
    /// Picks a service by weight; `draw` is uniform between 0 and 1. Returns `None` if all weights
    /// are zero.
    pub fn service(&self, draw: f64) -> Option<&Arc<str>> {
        let total: u32 = self.services.iter().map(|(_, w)| w).sum();
        let mut remaining = draw * f64::from(total);
        for (service, weight) in &self.services {
            remaining -= f64::from(*weight);
            if remaining < 0.0 {
                return Some(service);
            }
        }
        let mut nonzero = self.services.iter().rev().filter(|(_, w)| *w > 0);
        nonzero.next().map(|(service, _)| service)
    }
}
