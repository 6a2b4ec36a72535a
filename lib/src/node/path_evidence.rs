//! What is known of the path from this VM to endpoints: its state, and how endpoints fail and are
//! probed.

use std::sync::Arc;

/// Whether this VM reaches endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PathState {
    /// Endpoints answer this VM, or nothing shows that they do not.
    #[default]
    Direct,
    /// Several endpoints do not answer this VM, and it is not known whether they answer peers.
    Doubtful,
    /// Endpoints that do not answer this VM answer its peers.
    Cut,
}

impl PathState {
    /// Returns the name of the state in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::Doubtful => "doubtful",
            Self::Cut => "cut",
        }
    }
}

/// How an endpoint failed to answer this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathFailure {
    /// A connection could not be opened.
    Connect,
    /// A request or a probe got no byte for some time.
    Quiet,
    /// A connection broke.
    Broken,
}

/// How an endpoint is probed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeKind {
    /// A connection is opened.
    Connect,
    /// A connection is opened, and the endpoint has to answer a query if it is an engine.
    Answer,
}

/// Outcome of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// No connection was opened, or it was closed at once.
    Unreachable,
    /// A connection was opened, and the endpoint was not queried.
    Connected,
    /// The endpoint answered a query.
    Answered,
    /// A connection was opened, and the endpoint did not answer a query.
    Silent,
}

impl ProbeOutcome {
    /// Returns the name of the outcome in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Connected => "connected",
            Self::Answered => "answered",
            Self::Silent => "silent",
        }
    }
}

/// An endpoint that may be probed.
#[derive(Debug, Clone, Copy)]
pub struct Target<'a> {
    /// Identifier of the endpoint.
    pub id: &'a Arc<str>,
    /// Name of its service.
    pub service: &'a Arc<str>,
    /// Whether the endpoint can be asked for an answer without a request of a caller.
    pub is_engine: bool,
}
