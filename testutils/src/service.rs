//! Stub of plain services whose calls must not be repeated.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ntex::util::Bytes;
use ntex::web::{HttpRequest, HttpResponse};

use crate::engine::close_connection;

/// How the services fail calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ServiceFault {
    /// Every call is run and answered.
    #[default]
    None,
    /// Calls are run, but the connection is closed without a response.
    ReplyLost,
}

#[derive(Debug, Default)]
struct Inner {
    run_counts: BTreeMap<String, u32>,
    fault: ServiceFault,
}

/// State of the service stubs, shared by their HTTP handlers and the test.
#[derive(Debug, Clone, Default)]
pub struct Services {
    inner: Arc<Mutex<Inner>>,
}

impl Services {
    /// Sets how the services fail calls from now on.
    pub fn set_fault(&self, fault: ServiceFault) {
        self.lock().fault = fault;
    }

    /// Returns how often a call with each request body was run.
    pub fn run_counts(&self) -> BTreeMap<String, u32> {
        self.lock().run_counts.clone()
    }

    pub(crate) fn serve(&self, request: &HttpRequest, body: &Bytes) -> HttpResponse {
        let text = String::from_utf8_lossy(body).into_owned();
        let mut inner = self.lock();
        *inner.run_counts.entry(text.clone()).or_insert(0) += 1;
        if inner.fault == ServiceFault::ReplyLost {
            return close_connection(request);
        }
        HttpResponse::Ok().json(&serde_json::json!({"done": text}))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
