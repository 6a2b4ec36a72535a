//! Start and stop of HTTP servers, and concurrent calls to one.

use std::time::{Duration, Instant};

use hemlock_wire::{http_client, server};
use ntex::web::{self, HttpResponse, ServiceConfig};

/// Number of concurrent calls of one thread.
const CALLS: u32 = 8;

fn routes(config: &mut ServiceConfig) {
    config.route("/", web::get().to(async || HttpResponse::Ok().body("ok")));
}

/// A stop that is not graceful must not wait for idle connections.
#[test]
fn immediate_stop_does_not_wait_for_idle_connections() {
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

/// Calls that start while another one connects to the same peer are all answered.
///
/// With a connection limit of zero, the client library never woke them.
#[test]
fn concurrent_calls_to_one_peer_are_all_answered() {
    let listener = server::bind("127.0.0.1:0").expect("a free port");
    let server = server::spawn("test", listener, 1, (), routes).expect("the server starts");
    let url = format!("http://{}/", server.address());
    let answered = http_client::block_on_new_thread("test-calls", async move || {
        http_client::shared_client().await;
        let start_call = |yields: u32| {
            let url = url.clone();
            ntex::rt::spawn(async move {
                for _ in 0..yields {
                    yield_once().await;
                }
                http_client::get(&url, Duration::from_secs(2)).await.is_ok()
            })
        };
        let calls: Vec<_> = (0..CALLS).map(start_call).collect();
        let mut answered = 0;
        for call in calls {
            let result = ntex::time::timeout(ntex::time::Millis(1_000), call).await;
            answered += u32::from(matches!(result, Ok(Ok(true))));
        }
        answered
    });
    server.stop(false);
    assert_eq!(answered, CALLS);
}

/// Yields to the other tasks of the thread once.
async fn yield_once() {
    let mut yielded = false;
    std::future::poll_fn(|context| {
        if std::mem::replace(&mut yielded, true) {
            return std::task::Poll::Ready(());
        }
        context.waker().wake_by_ref();
        std::task::Poll::Pending
    })
    .await;
}
