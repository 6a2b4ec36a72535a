//! The planner's health and readiness addresses.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use hemlock_wire::server::{self, Server};
use ntex::web::{self, HttpResponse, ServiceConfig, types};

/// Whether the planner has a present view.
#[derive(Debug, Clone, Default)]
pub(crate) struct Ready(Arc<AtomicBool>);

impl Ready {
    pub(crate) fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Relaxed);
    }
}

/// Serves `/healthz` and `/readyz` on `listen`, if it is given.
pub(crate) fn serve(listen: Option<&str>, ready: Ready) -> io::Result<Option<Server>> {
    let Some(address) = listen else {
        return Ok(None);
    };
    let named = |e: io::Error| io::Error::new(e.kind(), format!("can't listen on {address}: {e}"));
    let listener = server::bind(address).map_err(named)?;
    server::spawn("planner-http", listener, 1, ready, routes).map(Some)
}

fn routes(config: &mut ServiceConfig) {
    config
        .route("/healthz", web::get().to(health))
        .route("/readyz", web::get().to(answer_ready));
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn answer_ready(ready: types::State<Ready>) -> HttpResponse {
    if ready.0.load(Ordering::Relaxed) {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("no agent answers\n")
    }
}
