//! A worker of a plain service that answers with a body of a given size, as the pages say: it checks
//! `Expect-Instance`, repeats `Request-Id` and signs its answers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hemlock_platform_standin::server;
use hemlock_platform_standin::store::Store;
use hemlock_wire::http1::{self, Conn};
use serde_json::json;

/// Behaviour that all workers of a script share.
#[derive(Debug, Clone, Copy)]
pub struct Service {
    pub work: Duration,
    pub answer_bytes: usize,
}

#[derive(Debug, Clone)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    runs: Arc<Mutex<Vec<String>>>,
    silenced: Arc<AtomicU64>,
}

impl Worker {
    /// Starts a worker, which is not listed in the store yet.
    pub fn spawn(id: &str, service: Service) -> Self {
        let runs = Arc::new(Mutex::new(Vec::new()));
        let silenced = Arc::new(AtomicU64::new(0));
        let (shared, own_id, cuts) = (runs.clone(), id.to_owned(), silenced.clone());
        let address = server::spawn(id, move |conn| {
            let (id, runs, cuts) = (own_id.clone(), shared.clone(), cuts.clone());
            let before = cuts.load(Ordering::Relaxed);
            async move {
                let mut conn = conn;
                tokio::select! {
                    () = serve(&mut conn, id, service, runs) => return,
                    () = until_silenced(&cuts, before) => {}
                }
                // The connection stays open.
                std::future::pending::<()>().await;
            }
        });
        Self {
            id: id.to_owned(),
            address,
            runs,
            silenced,
        }
    }

    /// Has all open connections go silent for good: no byte passes any more, and no end. New ones work.
    pub fn silence_open_connections(&self) {
        self.silenced.fetch_add(1, Ordering::Relaxed);
    }

    /// Lists the worker in the store under an address, its own or that of a proxy.
    pub fn list(&self, store: &Store, service: &str, address: SocketAddr) {
        let entry = json!({
            "service": service, "address": address.to_string(), "zone": "z1", "version": "v1",
            "slots": 60, "state": "ready", "sequence": 1, "coldLeftMs": 0, "born": 1_000,
        });
        store.put("keyed.servers", &self.id, entry.to_string().as_bytes());
    }

    /// Returns the identifiers of the requests that the worker began to run, one for each run.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().expect("no worker panics").clone()
    }
}

async fn until_silenced(cuts: &AtomicU64, before: u64) {
    while cuts.load(Ordering::Relaxed) == before {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

async fn serve(conn: &mut Conn, id: String, service: Service, runs: Arc<Mutex<Vec<String>>>) {
    loop {
        let Ok(mut head) = conn.read_request_head(32 << 10).await else {
            return;
        };
        let Ok(Some(_)) = conn.read_body(&mut head.body_framing, 8 << 20).await else {
            return;
        };
        let get = |name: &str| head.headers.get(name).unwrap_or_default().to_owned();
        let request_id = get("Request-Id");
        let mut out = Vec::new();
        if get("Expect-Instance") != id {
            http1::put_status_line(&mut out, 421, http1::reason_phrase(421));
            out.extend_from_slice(b"Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        } else {
            runs.lock()
                .expect("no worker panics")
                .push(request_id.clone());
            tokio::time::sleep(service.work).await;
            http1::put_status_line(&mut out, 200, http1::reason_phrase(200));
            http1::put_header(&mut out, "Request-Id", request_id.as_bytes());
            http1::put_header(&mut out, "Server-Stamp", b"stamp");
            http1::put_header(&mut out, "Keep-Alive", b"timeout=5");
            http1::put_header(
                &mut out,
                "Content-Length",
                service.answer_bytes.to_string().as_bytes(),
            );
            out.extend_from_slice(b"\r\n");
            out.resize(out.len() + service.answer_bytes, b'a');
        }
        if conn.write(&out).await.is_err() {
            return;
        }
    }
}
