//! Forwarding of the store's topics between entry VMs: one VM of each zone reads the store and
//! serves the others, so that the load on the store does not grow with the number of VMs.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hemlock_lib::node::cache::{Batch, Cache, Missing, Position};
use hemlock_lib::node::source::{Lag, Transfer};
use hemlock_lib::time::Time;
use hemlock_platform::store::Topic;
use hemlock_wire::http1::{self, Conn, Framing};
use hemlock_wire::timeout::timeout;
use hemlock_wire::{clock, compression};
use tokio::sync::Notify;

use crate::connections::{self, HeadRead};
use crate::front::ConnectionAction;
use crate::metrics::Counter;
use crate::peer_requests;
use crate::state::Node;

/// Time for which a peer holds a read when it has nothing new; its empty reply shows that it is
/// alive.
const LONG_POLL: Duration = Duration::from_millis(500);
/// Time beyond [`LONG_POLL`] within which the head of the reply must arrive.
const HEAD_GRACE: Duration = Duration::from_millis(400);
/// Time after which a connection on which a peer reads nothing is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size in bytes of the head of a message, beyond the head of a caller's request.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Maximum size in bytes of the body of a reply.
const MAX_REPLY_BYTES: usize = 16 << 20;
/// Size in bytes up to which the body of a reply is sent together with its head.
const MAX_JOINED_BYTES: usize = 16 << 10;
/// Size in bytes from which the body of a reply is compressed.
const MIN_COMPRESSED_BYTES: usize = 2 << 10;
/// Coding of compressed replies. Builds that don't know it neither ask for it nor use it.
const ENCODING: &str = "deflate";
const ACCEPT_ENCODING: &str = "Accept-Encoding";
const CONTENT_ENCODING: &str = "Content-Encoding";
/// Replies that are kept for other peers until the next change.
const MAX_REPLIES: usize = 4;

/// One topic that this VM reads and serves to its peers.
#[derive(Debug, Default)]
pub(crate) struct Feed {
    /// Newest records of the topic.
    pub(crate) cache: RefCell<Cache>,
    /// Whether the store answers the VM that reads this topic from it.
    pub(crate) store_up: Cell<bool>,
    /// Whether this VM reads the topic from the store itself.
    pub(crate) direct: Cell<bool>,
    /// Peer from which this VM reads the topic; `None` if that is the store.
    pub(crate) source: Cell<Option<SocketAddr>>,
    /// Wakes the peers' reads that wait for new records.
    pub(crate) updated: Notify,
    /// Wakes this VM's own read when its source is stale.
    pub(crate) source_stale: Notify,
    /// Reply to this VM's own read that is being received.
    pub(crate) transfer: Cell<Option<Transfer>>,
    lag: RefCell<Lag>,
    /// Replies to peers as of the last change of the cache.
    replies: RefCell<Vec<Reply>>,
}

/// A reply that is the same for all peers that lack the same records.
#[derive(Debug, Clone)]
struct Reply {
    missing: Missing,
    store_down: bool,
    /// Whether the peer reads compressed replies.
    may_compress: bool,
    body: Body,
}

/// The body of a reply.
#[derive(Debug, Clone)]
struct Body {
    bytes: Bytes,
    is_compressed: bool,
}

impl Feed {
    /// Returns the position of the next record to read, or the first one if nothing was read yet.
    pub(crate) fn next_position(&self) -> Position {
        self.cache.borrow().next().unwrap_or_default()
    }

    /// Compares the next position of a peer with that of this VM, and wakes this VM's own read if
    /// its source is stale. A source whose reply is being received is kept.
    pub(crate) fn compare_with_peer(&self, now: Time, peer_position: Position) {
        let own = self.next_position();
        let is_stale = self.lag.borrow_mut().record_peer(now, own, peer_position);
        if is_stale && self.transfer.get().is_none() {
            self.source_stale.notify_waiters();
        }
    }

    /// Records that the topic was read, and wakes the peers' reads.
    pub(crate) fn note_read(&self) {
        self.lag.borrow_mut().record_read(self.next_position());
        self.updated.notify_waiters();
    }

    /// Returns the body of the reply to a peer that has read up to `from`; `None` if there is nothing
    /// new.
    fn reply_after(&self, from: Option<Position>, may_compress: bool) -> Option<io::Result<Body>> {
        let cache = self.cache.borrow();
        let missing = cache.missing(from)?;
        let store_down = !self.store_up.get();
        let mut replies = self.replies.borrow_mut();
        replies.retain(|r| r.missing.is_as_recent_as(&missing) && r.store_down == store_down);
        let is_same = |r: &&Reply| r.missing == missing && r.may_compress == may_compress;
        if let Some(reply) = replies.iter().find(is_same) {
            return Some(Ok(reply.body.clone()));
        }
        let body = match encode(Some(cache.batch(missing, store_down)), may_compress) {
            Ok(body) => body,
            Err(e) => return Some(Err(e)),
        };
        if replies.len() < MAX_REPLIES {
            replies.push(Reply {
                missing,
                store_down,
                may_compress,
                body: body.clone(),
            });
        }
        Some(Ok(body))
    }
}

fn encode(batch: Option<Batch>, may_compress: bool) -> io::Result<Body> {
    let bytes = rmp_serde::to_vec(&batch).map_err(io::Error::other)?;
    let is_compressed = may_compress && bytes.len() >= MIN_COMPRESSED_BYTES;
    let bytes = match is_compressed {
        true => compression::compress(&bytes),
        false => bytes,
    };
    Ok(Body {
        bytes: Bytes::from(bytes),
        is_compressed,
    })
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
            HeadRead::Failed(_) | HeadRead::TimedOut | HeadRead::NoMemory => return,
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
        let may_compress = head.headers.has_token(ACCEPT_ENCODING, ENCODING);
        let body = match next_reply(&node, topic, from, may_compress).await {
            Ok(body) => body,
            Err(e) => {
                log::error!("event=feed_failed cause=\"{e}\"");
                return;
            }
        };
        if write_reply(&mut conn, &body).await.is_err() {
            return;
        }
        let metrics = &node.metrics;
        metrics.add(Counter::FeedBytes, topic.label(), body.bytes.len() as u64);
    }
}

/// Writes a reply. The body, which other peers get as well, is not copied.
async fn write_reply(conn: &mut Conn, body: &Body) -> io::Result<()> {
    let Body {
        bytes: body,
        is_compressed,
    } = body;
    let mut head = Vec::with_capacity(128);
    http1::put_status_line(&mut head, 200, http1::reason_phrase(200));
    let length = body.len().to_string();
    http1::put_header(&mut head, "Content-Length", length.as_bytes());
    if *is_compressed {
        http1::put_header(&mut head, CONTENT_ENCODING, ENCODING.as_bytes());
    }
    head.extend_from_slice(b"\r\n");
    if body.len() <= MAX_JOINED_BYTES {
        head.extend_from_slice(body);
        return conn.write(&head).await;
    }
    conn.write(&head).await?;
    conn.write(body).await
}

/// Returns the records after `from` as soon as there are any, or an empty batch after [`LONG_POLL`]
/// if `from` is given.
async fn next_reply(
    node: &Node,
    topic: Topic,
    from: Option<Position>,
    may_compress: bool,
) -> io::Result<Body> {
    let feed = node.feed(topic);
    let wait = async {
        loop {
            let update = feed.updated.notified();
            if let Some(reply) = feed.reply_after(from, may_compress) {
                return reply;
            }
            update.await;
        }
    };
    tokio::select! {
        biased;
        reply = wait => return reply,
        () = node.stop.closing() => {}
        () = tokio::time::sleep(LONG_POLL) => {}
    }
    let empty = from.map(|next| Batch {
        entries: Vec::new(),
        next,
        is_snapshot: false,
        store_down: !feed.store_up.get(),
    });
    encode(empty, may_compress)
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
    pub(crate) async fn open(address: SocketAddr) -> io::Result<Self> {
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

    /// Reads the records from the position `from` on, or all if it is `None`. `transfer` is set while
    /// the body of the reply is being received. Fails if the connection breaks, the reply is late,
    /// stalls, is too large or malformed, or the peer has not read the topic yet.
    pub(crate) async fn read(
        &mut self,
        topic: Topic,
        from: Option<Position>,
        transfer: &Cell<Option<Transfer>>,
    ) -> Result<Batch, String> {
        self.received = 0;
        let from = from.map_or_else(|| "all".to_owned(), |p| u64::from(p).to_string());
        let text = format!(
            "GET /{}/{from} HTTP/1.1\r\n{ACCEPT_ENCODING}: {ENCODING}\r\n\r\n",
            topic.label()
        );
        let exchange = async {
            self.conn
                .write(text.as_bytes())
                .await
                .map_err(|e| e.to_string())?;
            let head = self.conn.read_response_head(MAX_HEAD_BYTES).await;
            head.map_err(|e| e.to_string())
        };
        let head = timeout(LONG_POLL + HEAD_GRACE, exchange).await;
        let mut head = head.map_err(|_| "the reply timed out".to_owned())??;
        let mut body = self.receive(&mut head.body_framing, transfer).await?;
        if head.headers.has_token(CONTENT_ENCODING, ENCODING) {
            body = compression::decompress(&body, MAX_REPLY_BYTES).map_err(|e| e.to_string())?;
        }
        let batch: Option<Batch> = rmp_serde::from_slice(&body).map_err(|e| e.to_string())?;
        batch.ok_or_else(|| "the peer has not read the topic yet".to_owned())
    }

    /// Receives the body of a reply, for as long as it makes progress.
    async fn receive(
        &mut self,
        framing: &mut Framing,
        transfer: &Cell<Option<Transfer>>,
    ) -> Result<Vec<u8>, String> {
        let mut progress = Transfer::new(clock::since_boot());
        let mut body = Vec::new();
        loop {
            transfer.set(Some(progress));
            let time_left = progress.time_left(clock::since_boot());
            let piece = timeout(time_left, self.conn.read_body_piece(framing)).await;
            let piece = piece.map_err(|_| "the transfer stalled".to_owned())?;
            let Some(piece) = piece.map_err(|e| e.to_string())? else {
                return Ok(body);
            };
            progress.record(clock::since_boot(), piece.len());
            self.received += piece.len();
            if self.received > MAX_REPLY_BYTES {
                return Err("the reply is too large".to_owned());
            }
            body.extend_from_slice(&piece);
        }
    }
}
