//! Start and stop of HTTP servers.

use std::time::{Duration, Instant};

use hemlock_wire::server;
use ntex::web::{self, HttpResponse, ServiceConfig};

fn routes(config: &mut ServiceConfig) {
    config.route("/", web::get().to(async || HttpResponse::Ok().body("ok")));
}

/// Stopping at once must not wait for idle connections.
#[test]
fn stops_at_once() {
    let listener = server::bind("127.0.0.1:0").expect("a free port");
    let server = server::spawn("test", listener, 1, (), routes).expect("the server starts");
    let _idle = std::net::TcpStream::connect(server.address()).expect("it listens");
    let started = Instant::now();
    server.stop(false);
    assert!(
        started.elapsed() < Duration::from_secs(10),
        "stopping took {:?}",
        started.elapsed()
    );
}
