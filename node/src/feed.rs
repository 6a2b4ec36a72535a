//! Forwarding of the store's topics between entry VMs: one VM of each zone reads the store and
//! serves the others, so that the load on the store does not grow with the number of VMs.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use hemlock_lib::node::cache::{Batch, Cache, Position};
use hemlock_lib::time::Time;
use hemlock_platform::store::Topic;
use hemlock_wire::http1::{self, Conn};
use tokio::sync::Notify;

use crate::connections::{self, HeadRead};
use crate::front::ConnectionAction;
use crate::metrics::Counter;
use crate::peer_requests;
use crate::state::Node;

/// Time for which a peer holds a read when it has nothing new; its empty reply shows that it is
/// alive.
const LONG_POLL: Duration = Duration::from_millis(500);
/// Time beyond [`LONG_POLL`] after which a read has failed.
const READ_GRACE: Duration = Duration::from_millis(400);
/// Time after which a connection on which a peer reads nothing is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size in bytes of the head of a message, beyond the head of a caller's request.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Maximum size in bytes of the body of a reply.
const MAX_REPLY_BYTES: usize = 16 << 20;
/// Time for which a peer may be ahead of this VM before the source of this VM counts as stale.
pub(crate) const MAX_LAG: Duration = Duration::from_millis(700);

/// One topic that this VM reads and serves to its peers.
#[derive(Debug, Default)]
pub(crate) struct Feed {
    /// Newest records of the topic.
    pub(crate) cache: RefCell<Cache>,
    /// Whether the store answers the VM that reads this topic from it.
    pub(crate) store_up: Cell<bool>,
    /// Whether this VM reads the topic from the store itself.
    pub(crate) direct: Cell<bool>,
    /// Wakes the peers' reads that wait for new records.
    pub(crate) updated: Notify,
    /// Wakes this VM's own read when its source is stale.
    pub(crate) source_stale: Notify,
    /// Since when a peer has been ahead of this VM.
    behind_since: Cell<Option<Time>>,
}

impl Feed {
    /// Returns the position of the next record to read, or the first one if nothing was read yet.
    pub(crate) fn next_position(&self) -> Position {
        self.cache.borrow().next().unwrap_or_default()
    }

    /// Compares the next position of a peer with that of this VM, and wakes this VM's own read if
    /// its source lags for longer than [`MAX_LAG`].
    pub(crate) fn compare_with_peer(&self, now: Time, peer_position: Position) {
        if peer_position <= self.next_position() {
            return;
        }
        let since = self.behind_since.get().unwrap_or(now);
        self.behind_since.set(Some(since));
        if now.since(since) >= MAX_LAG {
            self.behind_since.set(None);
            self.source_stale.notify_one();
        }
    }

    /// Records that the topic was read, and wakes the peers' reads.
    pub(crate) fn note_read(&self) {
        self.behind_since.set(None);
        self.updated.notify_waiters();
    }
}

/// Serves the topics to a peer on one connection, and the requests that it passes on.
pub(crate) async fn serve(node: Rc<Node>, mut conn: Conn) {
    let mut is_new = true;
    while connections::wait_for_request(&node, &mut conn, IDLE_TIMEOUT, is_new).await {
        is_new = false;
        let limits = node.config().map(|c| c.limits).unwrap_or_default();
        let max_bytes = limits.head_bytes + MAX_HEAD_BYTES;
        let read = connections::read_head(&node, &mut conn, max_bytes, IDLE_TIMEOUT).await;
        let head = match read {
            HeadRead::Head(head) => head,
            HeadRead::Stopping => return connections::refuse_unread(&mut conn).await,
            HeadRead::Failed(_) | HeadRead::TimedOut => return,
        };
        if peer_requests::is_passed_on(&head) {
            match peer_requests::handle(&node, &mut conn, head).await {
                ConnectionAction::KeepOpen => continue,
                ConnectionAction::Close => return connections::linger(&mut conn).await,
                ConnectionAction::Abort => return,
            }
        }
        let Some((topic, from)) = parse_target(&head.target) else {
            return;
        };
        let batch = next_batch(&node, topic, from).await;
        let body = match rmp_serde::to_vec(&batch) {
            Ok(body) => body,
            Err(e) => {
                log::error!("event=feed_failed cause=\"{e}\"");
                return;
            }
        };
        let mut out = Vec::with_capacity(body.len() + 64);
        http1::put_status_line(&mut out, 200, http1::reason_phrase(200));
        http1::put_header(
            &mut out,
            "Content-Length",
            body.len().to_string().as_bytes(),
        );
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&body);
        if conn.write(&out).await.is_err() {
            return;
        }
        let metrics = &node.metrics;
        metrics.add(Counter::FeedBytes, topic.label(), out.len() as u64);
    }
}

/// Returns the records after `from` as soon as there are any, or an empty batch after [`LONG_POLL`]
/// if `from` is given.
async fn next_batch(node: &Node, topic: Topic, from: Option<Position>) -> Option<Batch> {
    let feed = node.feed(topic);
    let missing = || feed.cache.borrow().batch_after(from, !feed.store_up.get());
    let wait = async {
        loop {
            let update = feed.updated.notified();
            if let Some(batch) = missing() {
                return batch;
            }
            update.await;
        }
    };
    tokio::select! {
        biased;
        batch = wait => return Some(batch),
        () = node.stop.closing() => {}
        () = tokio::time::sleep(LONG_POLL) => {}
    }
    from.map(|next| Batch {
        entries: Vec::new(),
        next,
        is_snapshot: false,
        store_down: !feed.store_up.get(),
    })
}

/// Parses a request target of the form `/TOPIC/POSITION`; a position that is no number asks for all
/// records.
fn parse_target(target: &str) -> Option<(Topic, Option<Position>)> {
    let (topic, from) = target.strip_prefix('/')?.split_once('/')?;
    let topics = [Topic::Config, Topic::Endpoints];
    let topic = topics.into_iter().find(|t| t.label() == topic)?;
    Some((topic, from.parse().ok().map(u64::into)))
}

/// A connection to a peer that serves the topics.
#[derive(Debug)]
pub(crate) struct PeerSource {
    pub(crate) address: SocketAddr,
    conn: Conn,
    /// Bytes received of the body of the last reply.
    received: usize,
}

impl PeerSource {
    pub(crate) async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let conn = Conn::connect(address, CONNECT_TIMEOUT).await?;
        Ok(Self {
            address,
            conn,
            received: 0,
        })
    }

    /// Returns the number of bytes that were received of the last reply, also of one that is not
    /// complete.
    pub(crate) fn received(&self) -> usize {
        self.received
    }

    /// Reads the records from the position `from` on, or all if it is `None`. Fails if the connection
    /// breaks, the reply is late, too large or malformed, or the peer has not read the topic yet.
    pub(crate) async fn read(
        &mut self,
        topic: Topic,
        from: Option<Position>,
    ) -> Result<Batch, String> {
        let from = from.map_or_else(|| "all".to_owned(), |p| u64::from(p).to_string());
        let text = format!("GET /{}/{from} HTTP/1.1\r\n\r\n", topic.label());
        self.received = 0;
        let exchange = async {
            self.conn
                .write(text.as_bytes())
                .await
                .map_err(|e| e.to_string())?;
            let head = self.conn.read_response_head(MAX_HEAD_BYTES).await;
            let mut head = head.map_err(|e| e.to_string())?;
            let mut body = BytesMut::new();
            let framing = &mut head.body_framing;
            while let Some(piece) = self
                .conn
                .read_body_piece(framing)
                .await
                .map_err(|e| e.to_string())?
            {
                self.received += piece.len();
                if self.received > MAX_REPLY_BYTES {
                    return Err("the reply is too large".to_owned());
                }
                body.extend_from_slice(&piece);
            }
            Ok(body)
        };
        let body = tokio::time::timeout(LONG_POLL + READ_GRACE, exchange).await;
        let body = body.map_err(|_| "the reply timed out".to_owned())??;
        let batch: Option<Batch> = rmp_serde::from_slice(&body).map_err(|e| e.to_string())?;
        batch.ok_or_else(|| "the peer has not read the topic yet".to_owned())
    }
}
