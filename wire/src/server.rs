//! HTTP servers of the daemons and stand-ins.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;

use ntex::web::{self, App, HttpServer, ServiceConfig};

/// A running server; it stops when asked to.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: async_channel::Sender<bool>,
    thread: JoinHandle<()>,
}

impl Server {
    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops it; `graceful` lets open requests end first.
    pub fn stop(self, graceful: bool) {
        let _ = self.stop.send_blocking(graceful);
        let _ = self.thread.join();
    }
}

/// Binds `address`.
pub fn bind(address: &str) -> io::Result<TcpListener> {
    TcpListener::bind(address)
}

/// Serves `routes` with `state` on `workers` threads.
pub fn spawn<S: Clone + Send + 'static>(
    name: &str,
    listener: TcpListener,
    workers: usize,
    state: S,
    routes: fn(&mut ServiceConfig),
) -> io::Result<Server> {
    let address = listener.local_addr()?;
    let (stop, stopped) = async_channel::bounded(1);
    let (started, start) = crossbeam_channel::bounded(1);
    let name = name.to_owned();
    let thread = std::thread::Builder::new()
        .name(name.clone())
        .spawn(move || {
            let system = ntex::rt::System::new(&name, ntex::rt::DefaultRuntime);
            system.block_on(async move {
                let factory = async move || {
                    let payload = web::types::PayloadConfig::new(BODY_LIMIT);
                    App::new()
                        .state(state.clone())
                        .state(payload)
                        .configure(routes)
                };
                let server = HttpServer::new(factory)
                    .workers(workers)
                    .disable_signals()
                    .shutdown_timeout(ntex::time::Seconds(STOP_TIMEOUT_S))
                    .listen(listener);
                match server {
                    Err(e) => drop(started.send(Err(e))),
                    Ok(server) => {
                        let server = server.run();
                        drop(started.send(Ok(())));
                        let graceful = stopped.recv().await.unwrap_or(false);
                        server.stop(graceful).await;
                    }
                }
            });
        })?;
    start.recv().map_err(io::Error::other)??;
    Ok(Server {
        address,
        stop,
        thread,
    })
}

/// Largest body in bytes that a server reads.
const BODY_LIMIT: usize = 4 << 20;
/// Time that open requests have to end in a graceful stop.
const STOP_TIMEOUT_S: u16 = 60;
