//! HTTP calls to the platform, to endpoints and to other daemons.

use std::cell::RefCell;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, Shared};
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, Connector};
use ntex::http::Method;
use ntex::time::Millis;
use ntex::util::Bytes;

/// Connections of one thread at most.
///
/// The client library names zero as no limit, but then never wakes a call that found another one
/// connecting to the same peer.
const CONNECTIONS: usize = 65_536;
/// Largest reply body in bytes.
const REPLY_LIMIT: usize = 16 << 20;

/// A client that one task builds and many wait for.
type SharedClient = Shared<LocalBoxFuture<'static, Client>>;

thread_local! {
    static CLIENT: RefCell<Option<SharedClient>> = const { RefCell::new(None) };
}

/// Says how a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// No connection was made, so nothing was sent.
    Connect,
    /// The connection broke or the reply did not come in time.
    Lost,
    /// The peer replied with this HTTP status.
    Status(u16),
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Connect => f.write_str("can't connect"),
            Self::Lost => f.write_str("the connection broke or the reply is late"),
            Self::Status(status) => write!(f, "the peer replied with status {status}"),
        }
    }
}

impl std::error::Error for CallError {}

impl From<ClientError> for CallError {
    /// Tells whether anything was sent.
    ///
    /// The library reports a connection that the peer closed after the request was sent as
    /// disconnected without a cause; a connection that was never made has one.
    fn from(error: ClientError) -> Self {
        match error {
            ClientError::Connect(ConnectError::Disconnected(None)) => Self::Lost,
            ClientError::Connect(_) | ClientError::Url(_) => Self::Connect,
            _ => Self::Lost,
        }
    }
}

/// Returns the client of this thread, whose connections are pooled.
///
/// Tasks that ask while it is being built wait for the same one; a second client would end the
/// connections of the first.
pub async fn shared_client() -> Client {
    let shared = CLIENT.with_borrow_mut(|known| {
        known
            .get_or_insert_with(|| {
                build(Connector::default().limit(CONNECTIONS))
                    .boxed_local()
                    .shared()
            })
            .clone()
    });
    shared.await
}

/// Returns a new client, whose first call goes over a fresh connection.
pub async fn new_client() -> Client {
    build(Connector::default()).await
}

/// Sends a body by POST and returns the reply's body.
pub async fn post(url: &str, body: Vec<u8>, wait: Duration) -> Result<Bytes, CallError> {
    call(Method::POST, url, body, wait).await
}

/// Returns the body at `url`.
pub async fn get(url: &str, wait: Duration) -> Result<Bytes, CallError> {
    call(Method::GET, url, Vec::new(), wait).await
}

async fn call(
    method: Method,
    url: &str,
    body: Vec<u8>,
    wait: Duration,
) -> Result<Bytes, CallError> {
    let wait = Millis(wait.as_millis() as u32);
    let request = shared_client().await.request(method, url).timeout(wait);
    let reply = request.send_body(body).await?;
    let bytes = reply
        .body()
        .limit(REPLY_LIMIT)
        .timeout(wait)
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

/// Runs `future` on a thread and runtime of its own, and waits for it.
///
/// Pooled connections and timers belong to the runtime of one thread, so that a second runtime on a
/// thread would find those of the first one dead.
///
/// # Panics
///
/// Panics if the thread can't be started or `future` panics.
pub fn block_on_new_thread<R: Send + 'static>(
    name: &str,
    future: impl AsyncFnOnce() -> R + Send + 'static,
) -> R {
    let thread_name = name.to_owned();
    let body = move || {
        let system = ntex::rt::System::new(&thread_name, ntex::rt::DefaultRuntime);
        system.block_on(async move { future().await })
    };
    let thread = std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(body);
    thread
        .expect("a thread can be started")
        .join()
        .expect("the future does not panic")
}
