//! HTTP servers, each with its own thread and runtime.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;

use ntex::web::{self, App, HttpServer, ServiceConfig};

/// A running HTTP server. It serves until [`Server::stop`] is called.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    commands: async_channel::Sender<Command>,
    thread: JoinHandle<()>,
}

#[derive(Debug)]
enum Command {
    Pause,
    Stop { graceful: bool },
}

impl Server {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts no more connections; those that are open are still served.
    pub fn pause(&self) {
        let _ = self.commands.send_blocking(Command::Pause);
    }

    /// Stops the server and waits for its end. With `graceful`, open requests have 60 s to end
    /// first.
    pub fn stop(self, graceful: bool) {
        let _ = self.commands.send_blocking(Command::Stop { graceful });
        let _ = self.thread.join();
    }
}

/// Binds a TCP listener to `address`, given as host and port.
///
/// # Errors
///
/// Fails if the address can't be resolved or bound.
pub fn bind(address: &str) -> io::Result<TcpListener> {
    TcpListener::bind(address)
}

/// Starts a server that serves `routes`, which share `state`, on `workers` threads.
///
/// # Errors
///
/// Fails if `listener` can't be used or a thread can't be started.
pub fn spawn<S: Clone + Send + 'static>(
    name: &str,
    listener: TcpListener,
    workers: usize,
    state: S,
    routes: fn(&mut ServiceConfig),
) -> io::Result<Server> {
    let address = listener.local_addr()?;
    let (commands, received_commands) = async_channel::bounded(1);
    let (start_results, start_result) = crossbeam_channel::bounded(1);
    let name = name.to_owned();
    let thread = std::thread::Builder::new()
        .name(name.clone())
        .spawn(move || {
            let system = ntex::rt::System::new(&name, ntex::rt::DefaultRuntime);
            system.block_on(async move {
                let factory = async move || {
                    let payload = web::types::PayloadConfig::new(MAX_BODY_BYTES);
                    App::new()
                        .state(state.clone())
                        .state(payload)
                        .configure(routes)
                };
                let server = HttpServer::new(factory)
                    .workers(workers)
                    .disable_signals()
                    .shutdown_timeout(ntex::time::Seconds(GRACEFUL_STOP_TIMEOUT_S))
                    .listen(listener);
                match server {
                    Err(e) => drop(start_results.send(Err(e))),
                    Ok(server) => {
                        let server = server.run();
                        drop(start_results.send(Ok(())));
                        let graceful = loop {
                            match received_commands.recv().await {
                                Ok(Command::Pause) => server.pause().await,
                                Ok(Command::Stop { graceful }) => break graceful,
                                Err(_) => break false,
                            }
                        };
                        server.stop(graceful).await;
                    }
                }
            });
        })?;
    start_result.recv().map_err(io::Error::other)??;
    Ok(Server {
        address,
        commands,
        thread,
    })
}

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Time in seconds that open requests have to end in a graceful stop.
const GRACEFUL_STOP_TIMEOUT_S: u16 = 60;
