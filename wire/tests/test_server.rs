//! Start and stop of HTTP servers.

use std::time::{Duration, Instant};

use hemlock_wire::{http_client, server};
use ntex::web::{self, HttpResponse, ServiceConfig};

/// Calls that one thread starts side by side.
const CALLS: u32 = 8;

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

/// Calls that start while another one connects to the same peer are all answered.
///
/// The client library never woke them when its limit on connections was zero.
#[test]
fn calls_side_by_side_are_all_answered() {
    let listener = server::bind("127.0.0.1:0").expect("a free port");
    let server = server::spawn("test", listener, 1, (), routes).expect("the server starts");
    let url = format!("http://{}/", server.address());
    let answered = http_client::block_on_new_thread("test-calls", async move || {
        http_client::shared_client().await;
        let one = |turns: u32| {
            let url = url.clone();
            ntex::rt::spawn(async move {
                for _ in 0..turns {
                    yield_once().await;
                }
                http_client::get(&url, Duration::from_secs(2)).await.is_ok()
            })
        };
        let calls: Vec<_> = (0..CALLS).map(one).collect();
        let mut answered = 0;
        for call in calls {
            let end = ntex::time::timeout(ntex::time::Millis(1_000), call).await;
            answered += u32::from(matches!(end, Ok(Ok(true))));
        }
        answered
    });
    server.stop(false);
    assert_eq!(answered, CALLS);
}

/// Lets the other tasks of the thread run once.
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
