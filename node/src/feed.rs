//! Reads of the store's topics between entry VMs: one VM of each zone reads the store and serves
//! the others, so that calls to the store don't grow with their number.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hemlock_lib::node::cache::{Batch, Cache};
use hemlock_lib::time::Time;
use hemlock_platform::store::Topic;
use hemlock_wire::http1::{self, Conn};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;

use crate::state::Node;

/// Wait of one read at a peer; its reply shows that the peer lives.
const READ_WAIT: Duration = Duration::from_millis(500);
/// Time beyond that after which the peer counts as lost.
const READ_SLACK: Duration = Duration::from_millis(400);
/// Time to connect to a peer.
const CONNECT_WAIT: Duration = Duration::from_millis(300);
/// Largest head and reply.
const HEAD_LIMIT: usize = 4 << 10;
const REPLY_LIMIT: usize = 16 << 20;
/// Time for which a peer may be ahead before the source of this VM counts as stale.
const LAG: Duration = Duration::from_millis(700);

/// One topic that this VM follows and serves.
#[derive(Debug, Default)]
pub(crate) struct Feed {
    pub(crate) cache: RefCell<Cache>,
    /// Whether the store answers where this topic is read.
    pub(crate) up: Cell<bool>,
    /// Whether it is read there by this VM itself.
    pub(crate) direct: Cell<bool>,
    /// Wakes the readers that wait.
    pub(crate) news: Notify,
    /// Wakes the own reading when its source is stale.
    pub(crate) stale: Notify,
    behind: Cell<Option<Time>>,
}

impl Feed {
    pub(crate) fn next(&self) -> u64 {
        self.cache.borrow().next().unwrap_or_default()
    }

    /// Takes the offset that a peer has read up to.
    pub(crate) fn compare(&self, now: Time, other: u64) {
        if other <= self.next() {
            return;
        }
        let since = self.behind.get().unwrap_or(now);
        self.behind.set(Some(since));
        if now.since(since) >= LAG {
            self.behind.set(None);
            self.stale.notify_one();
        }
    }

    /// Notes that something was read.
    pub(crate) fn read(&self) {
        self.behind.set(None);
        self.news.notify_waiters();
    }
}

/// Serves the own topics to peers for good.
pub(crate) async fn accept(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((io, _)) => {
                if let Ok(conn) = Conn::new(io) {
                    spawn_local(serve(node.clone(), conn));
                }
            }
            Err(e) => {
                log::warn!("event=accept_failed role=feed cause=\"{e}\"");
                tokio::time::sleep(READ_SLACK).await;
            }
        }
    }
}

async fn serve(node: Rc<Node>, mut conn: Conn) {
    loop {
        let Ok(head) = conn.read_request_head(HEAD_LIMIT).await else {
            return;
        };
        let Some((topic, from)) = parse(&head.target) else {
            return;
        };
        let batch = wait_for(&node, topic, from).await;
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
    }
}

/// Returns what a reader lacks as soon as there is something, or nothing after a while.
async fn wait_for(node: &Node, topic: Topic, from: Option<u64>) -> Option<Batch> {
    let feed = node.feed(topic);
    let lacks = || feed.cache.borrow().batch_after(from, !feed.up.get());
    let wait = async {
        loop {
            let news = feed.news.notified();
            if let Some(batch) = lacks() {
                return batch;
            }
            news.await;
        }
    };
    match tokio::time::timeout(READ_WAIT, wait).await {
        Ok(batch) => Some(batch),
        Err(_) => from.map(|next| Batch {
            entries: Vec::new(),
            next,
            is_snapshot: false,
            store_down: !feed.up.get(),
        }),
    }
}

fn parse(target: &str) -> Option<(Topic, Option<u64>)> {
    let (topic, from) = target.strip_prefix('/')?.split_once('/')?;
    let topics = [Topic::Config, Topic::Endpoints];
    let topic = topics.into_iter().find(|t| t.label() == topic)?;
    Some((topic, from.parse().ok()))
}

/// A connection to a peer's feed.
#[derive(Debug)]
pub(crate) struct Source {
    pub(crate) address: SocketAddr,
    conn: Conn,
}

impl Source {
    pub(crate) async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let conn = Conn::connect(address, CONNECT_WAIT).await?;
        Ok(Self { address, conn })
    }

    /// Reads what comes after `from`.
    pub(crate) async fn read(&mut self, topic: Topic, from: Option<u64>) -> Result<Batch, String> {
        let from = from.map_or_else(|| "all".to_owned(), |n| n.to_string());
        let text = format!("GET /{}/{from} HTTP/1.1\r\n\r\n", topic.label());
        let talk = async {
            self.conn
                .write(text.as_bytes())
                .await
                .map_err(|e| e.to_string())?;
            let head = self.conn.read_response_head(HEAD_LIMIT).await;
            let mut head = head.map_err(|e| e.to_string())?;
            let body = self
                .conn
                .read_body(&mut head.body_framing, REPLY_LIMIT)
                .await;
            body.map_err(|e| e.to_string())?
                .ok_or_else(|| "the reply is too large".to_owned())
        };
        let body = tokio::time::timeout(READ_WAIT + READ_SLACK, talk).await;
        let body = body.map_err(|_| "the reply is late".to_owned())??;
        let batch: Option<Batch> = rmp_serde::from_slice(&body).map_err(|e| e.to_string())?;
        batch.ok_or_else(|| "the peer knows nothing yet".to_owned())
    }
}
