//! HTTP client for calls to the platform, to endpoints and to other daemons.

use std::cell::RefCell;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, Shared};
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, Connector};
use ntex::http::Method;
use ntex::time::Millis;
use ntex::util::Bytes;

/// Maximum number of connections of one thread's shared client.
///
/// The client library documents zero as no limit, but then never wakes a call that arrived while
/// another one was connecting to the same peer. So the limit is a number that is never reached.
const MAX_CONNECTIONS: usize = 65_536;
/// Maximum size of a reply body in bytes.
const MAX_REPLY_BYTES: usize = 16 << 20;

/// A client that is built once, and that any number of tasks can wait for.
type SharedClient = Shared<LocalBoxFuture<'static, Client>>;

thread_local! {
    static CLIENT: RefCell<Option<SharedClient>> = const { RefCell::new(None) };
}

/// The reason why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// No connection was established, so nothing was sent.
    Connect,
    /// The connection broke or the reply timed out; the peer may have handled the request.
    Lost,
    /// The peer replied with this HTTP status, which is not a success.
    Status(u16),
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Connect => f.write_str("can't connect"),
            Self::Lost => f.write_str("the connection broke or the reply timed out"),
            Self::Status(status) => write!(f, "the peer replied with status {status}"),
        }
    }
}

impl std::error::Error for CallError {}

impl From<ClientError> for CallError {
    /// Distinguishes errors before anything was sent from later ones.
    ///
    /// The library reports a connection that the peer closed after the request was sent as
    /// disconnected without a cause; a connection that was never established has a cause.
    fn from(error: ClientError) -> Self {
        match error {
            ClientError::Connect(ConnectError::Disconnected(None)) => Self::Lost,
            ClientError::Connect(_) | ClientError::Url(_) => Self::Connect,
            _ => Self::Lost,
        }
    }
}

/// Returns the client that all tasks of this thread share, with its connection pool.
///
/// Tasks that ask for it while it is being built wait for the same one: a second client would close
/// the connections of the first.
pub async fn shared_client() -> Client {
    let shared = CLIENT.with_borrow_mut(|client| {
        client
            .get_or_insert_with(|| {
                build(Connector::default().limit(MAX_CONNECTIONS))
                    .boxed_local()
                    .shared()
            })
            .clone()
    });
    shared.await
}

/// Returns a new client, whose first call opens a new connection.
pub async fn new_client() -> Client {
    build(Connector::default()).await
}

/// Sends `body` to `url` by POST and returns the body of the reply.
///
/// `timeout` applies separately to the head and to the body of the reply.
///
/// # Errors
///
/// See [`CallError`]; any status but 2xx is an error.
pub async fn post(url: &str, body: Vec<u8>, timeout: Duration) -> Result<Bytes, CallError> {
    call(Method::POST, url, body, timeout).await
}

/// Fetches `url` by GET and returns the body of the reply.
///
/// `timeout` applies separately to the head and to the body of the reply.
///
/// # Errors
///
/// See [`CallError`]; any status but 2xx is an error.
pub async fn get(url: &str, timeout: Duration) -> Result<Bytes, CallError> {
    call(Method::GET, url, Vec::new(), timeout).await
}

async fn call(
    method: Method,
    url: &str,
    body: Vec<u8>,
    timeout: Duration,
) -> Result<Bytes, CallError> {
    let timeout = Millis(timeout.as_millis() as u32);
    let request = shared_client().await.request(method, url).timeout(timeout);
    let reply = request.send_body(body).await?;
    let bytes = reply
        .body()
        .limit(MAX_REPLY_BYTES)
        .timeout(timeout)
        .await
        .map_err(|_| CallError::Lost)?;
    match reply.status().as_u16() {
        200..=299 => Ok(bytes),
        status => Err(CallError::Status(status)),
    }
}

async fn build(connector: Connector) -> Client {
    let builder = Client::builder()
        .connector::<ntex::client::Connect>(connector)
        .disable_redirects();
    builder
        .build(ntex::SharedCfg::default())
        .await
        .expect("a client without TLS can be built")
}

/// Runs `future` on a new thread with its own runtime, and blocks until it has ended.
///
/// Pooled connections and timers belong to the runtime of their thread. A second runtime on the
/// calling thread would find those of the first one closed.
///
/// # Panics
///
/// Panics if the thread can't be started or `future` panics.
pub fn block_on_new_thread<R: Send + 'static>(
    name: &str,
    future: impl AsyncFnOnce() -> R + Send + 'static,
) -> R {
    let thread_name = name.to_owned();
    let run = move || {
        let system = ntex::rt::System::new(&thread_name, ntex::rt::DefaultRuntime);
        system.block_on(async move { future().await })
    };
    let thread = std::thread::Builder::new().name(name.to_owned()).spawn(run);
    thread
        .expect("a thread can be started")
        .join()
        .expect("the future does not panic")
}
