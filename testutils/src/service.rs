//! Stand-in for plain services whose calls may not be repeated.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ntex::util::Bytes;
use ntex::web::{HttpRequest, HttpResponse};

use crate::engine::cut;

/// What the services do to calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ServiceFault {
    /// They answer.
    #[default]
    None,
    /// They run the call, but their reply is lost.
    ReplyLost,
}

#[derive(Debug, Default)]
struct Inner {
    runs: BTreeMap<String, u32>,
    fault: ServiceFault,
}

/// The services' state, shared by their HTTP handlers and the test.
#[derive(Debug, Clone, Default)]
pub struct Services {
    inner: Arc<Mutex<Inner>>,
}

impl Services {
    /// Sets what the services do to calls.
    pub fn set_fault(&self, fault: ServiceFault) {
        self.lock().fault = fault;
    }

    /// Returns how often each body was run.
    pub fn run_counts(&self) -> BTreeMap<String, u32> {
        self.lock().runs.clone()
    }

    pub(crate) fn serve(&self, request: &HttpRequest, body: &Bytes) -> HttpResponse {
        let text = String::from_utf8_lossy(body).into_owned();
        let mut inner = self.lock();
        *inner.runs.entry(text.clone()).or_insert(0) += 1;
        if inner.fault == ServiceFault::ReplyLost {
            return cut(request);
        }
        HttpResponse::Ok().json(&serde_json::json!({"done": text}))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
