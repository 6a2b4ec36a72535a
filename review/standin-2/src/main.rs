//! Stand-ins of the platform's store, workers and clients, and the scripts of the cases.

mod engine;
mod scenario;
mod store;
mod vm;
mod world;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use hemlock_wire::http1::{self, Conn};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};

/// Binds a listener to a free port on loopback.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.set_nonblocking(true).expect("a socket");
    let address = listener.local_addr().expect("an address");
    (
        TcpListener::from_std(listener).expect("a listener"),
        address,
    )
}

/// Serves each connection in a task of its own.
pub async fn accept<R: Future<Output = ()> + 'static>(
    listener: TcpListener,
    serve: impl Fn(Conn) -> R,
) {
    loop {
        if let Ok((io, _)) = listener.accept().await
            && let Ok(conn) = Conn::new(io)
        {
            spawn_local(serve(conn));
        }
    }
}

/// Sends an answer with a body.
pub async fn reply(
    conn: &mut Conn,
    status: u16,
    headers: &str,
    body: &[u8],
) -> std::io::Result<()> {
    let mut out = Vec::new();
    http1::put_status_line(&mut out, status, http1::reason_phrase(status));
    out.extend_from_slice(headers.as_bytes());
    http1::put_header(&mut out, "Content-Type", b"application/json");
    http1::put_header(
        &mut out,
        "Content-Length",
        body.len().to_string().as_bytes(),
    );
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    conn.write(&out).await
}

/// Arguments: the scenario, and the folder of the case. Runs in the repository's root.
fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(name), Some(dir)) = (args.next(), args.next()) else {
        eprintln!("usage: review-standin-2 SCENARIO FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let run = scenario::run(name, PathBuf::from(dir), has_trouble);
    ExitCode::from(LocalSet::new().block_on(&runtime, run))
}
