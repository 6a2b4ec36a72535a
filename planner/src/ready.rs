//! The HTTP routes on which the planner answers health and readiness checks.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use hemlock_wire::server::{self, Server};
use ntex::web::{self, HttpResponse, ServiceConfig, types};

/// Whether the planner gets views from an agent, shared by all clones.
#[derive(Debug, Clone, Default)]
pub(crate) struct Ready(Arc<AtomicBool>);

impl Ready {
    pub(crate) fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Relaxed);
    }
}

/// Serves `/healthz` and `/readyz` on `listen`; returns `None` if that is not given.
///
/// Fails if the address can't be bound; the error names it.
pub(crate) fn serve(listen: Option<&str>, ready: Ready) -> io::Result<Option<Server>> {
    let Some(address) = listen else {
        return Ok(None);
    };
    let with_address =
        |e: io::Error| io::Error::new(e.kind(), format!("can't listen on {address}: {e}"));
    let listener = server::bind(address).map_err(with_address)?;
    server::spawn("planner-http", listener, 1, ready, routes).map(Some)
}

fn routes(config: &mut ServiceConfig) {
    config
        .route("/healthz", web::get().to(health_response))
        .route("/readyz", web::get().to(ready_response));
}

async fn health_response() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn ready_response(ready: types::State<Ready>) -> HttpResponse {
    if ready.0.load(Ordering::Relaxed) {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("no agent answers\n")
    }
}
