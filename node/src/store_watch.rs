//! Reads the configuration, the endpoints and the members from the store, and follows them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::cache::{Batch, Cache, Entry};
use hemlock_lib::node::peers::Member;
use hemlock_lib::time::Time;
use hemlock_platform::store::{Record, Store, StoreError, Topic};
use rand::Rng;

use crate::feed::Source;
use crate::metrics::Counter;
use crate::state::Node;

/// Wait of one read at the store. The connection may be silent, and other VMs rely on this one: they
/// must know a change within the 2 s that the users allow.
const READ_WAIT: Duration = Duration::from_millis(1_000);
/// Time for which a source that failed or has lost the store is not asked.
const AVOID: Duration = Duration::from_secs(3);
/// Time between two looks at the members' list; datagrams tell of new members at once.
const MEMBERS_EVERY: Duration = Duration::from_secs(60);
/// First and longest wait before another try.
const BACKOFF: Duration = Duration::from_millis(60);
const BACKOFF_MOST: Duration = Duration::from_millis(600);
/// The longest one of a process that knows nothing yet, and so serves nobody.
const BACKOFF_START: Duration = Duration::from_millis(300);

/// Follows the operators' configuration.
pub(crate) async fn config(node: Rc<Node>) {
    follow(&node, Topic::Config, |node, records, _| {
        for record in records {
            take_config(node, &record);
        }
    })
    .await;
}

/// Follows the list of endpoints.
pub(crate) async fn endpoints(node: Rc<Node>) {
    follow(&node, Topic::Endpoints, |node, records, fresh| {
        if fresh {
            replace_endpoints(node, &records);
        } else {
            take_endpoints(node, &records);
        }
        node.refresh();
        node.changed.notify_one();
    })
    .await;
}

/// Writes the own record of the members' list, and then reads the others.
///
/// Of two VMs that start at once, the one that writes last reads the other's record and tells it of
/// itself by datagram, so that one read after the write is enough; later ones make up for lost records.
pub(crate) async fn members(node: Rc<Node>) {
    write_member(&node).await;
    let mut wait = BACKOFF;
    loop {
        node.metrics
            .count(Counter::StoreReads, Topic::Members.label());
        match node.store.newest(Topic::Members).await {
            Ok(snapshot) => {
                for record in &snapshot.records {
                    take_member(&node, record);
                }
                wait = MEMBERS_EVERY;
            }
            Err(e) => {
                log::info!("event=read_failed topic=Members cause=\"{e}\"");
                wait = (wait * 2).min(BACKOFF_MOST);
            }
        }
        tokio::time::sleep(wait).await;
    }
}

/// Where a topic is read.
enum Reader {
    Store(Store),
    Peer(Source),
}

/// Reads the newest records of a topic and then each new one, for good: from the store if this VM
/// reads it for its zone or plans, and else from the VM that does.
///
/// `take` gets the records, and whether they are all that there are.
async fn follow(node: &Rc<Node>, topic: Topic, take: impl Fn(&Node, Vec<Entry>, bool)) {
    let feed = node.feed(topic);
    let mut reader = None;
    let mut avoided: Vec<(SocketAddr, Time)> = Vec::new();
    let mut wait = BACKOFF;
    loop {
        let now = node.now();
        avoided.retain(|(_, until)| *until > now);
        let wanted = node.source(now, &avoided);
        let from = feed.cache.borrow().next();
        let read = tokio::select! {
            read = read(node, topic, wanted, &mut reader, from) => read,
            () = feed.stale.notified() => Err("peers are ahead".to_owned()),
        };
        match read {
            Ok(None) => {
                feed.cache.replace(Cache::default());
                log::info!("event=history_lost topic={topic:?} next={from:?}");
            }
            Ok(Some(batch)) => {
                wait = BACKOFF;
                feed.direct.set(wanted.is_none());
                if let (Some(peer), true) = (wanted, batch.store_down) {
                    avoided.push((peer, now + AVOID));
                }
                if batch.is_snapshot || !batch.entries.is_empty() || from.is_none() {
                    feed.cache.borrow_mut().apply(&batch);
                }
                node.store_answers(topic, !batch.store_down, &format_args!("from={wanted:?}"));
                feed.read();
                let Batch {
                    entries,
                    is_snapshot,
                    next,
                    ..
                } = batch;
                if is_snapshot {
                    let count = entries.len();
                    log::info!(
                        "event=read topic={topic:?} records={count} next={next} from={wanted:?}"
                    );
                }
                if is_snapshot || !entries.is_empty() {
                    take(node, entries, is_snapshot);
                    tokio::time::sleep(node.gather(topic, wanted)).await;
                }
            }
            Err(e) => {
                reader = None;
                log::info!("event=read_failed topic={topic:?} from={wanted:?} cause=\"{e}\"");
                match wanted {
                    Some(peer) => avoided.push((peer, now + AVOID)),
                    None => {
                        feed.direct.set(false);
                        node.store_answers(topic, false, &e);
                        // A store that only this VM does not reach is read through another one.
                        avoided.push((node.me.peer_address, now + AVOID));
                        let part = rand::rng().random_range(0.5..1.0);
                        let pause = wait.max(node.search_pause(now, from.is_none()));
                        tokio::select! {
                            () = tokio::time::sleep(pause.mul_f64(part)) => {}
                            () = node.found.notified() => {}
                        }
                        let most = if from.is_none() {
                            BACKOFF_START
                        } else {
                            BACKOFF_MOST
                        };
                        wait = (wait * 2).min(most).max(node.store_pause());
                    }
                }
            }
        }
    }
}

/// Reads once, over the open connection if it leads to the wanted source; `None` says that the
/// records asked for are deleted.
async fn read(
    node: &Node,
    topic: Topic,
    wanted: Option<SocketAddr>,
    reader: &mut Option<Reader>,
    from: Option<u64>,
) -> Result<Option<Batch>, String> {
    let fits = match (&*reader, wanted) {
        (Some(Reader::Store(_)), None) => true,
        (Some(Reader::Peer(source)), Some(address)) => source.address == address,
        _ => false,
    };
    if !fits {
        *reader = Some(match wanted {
            // Each topic has its own connection, which a long read occupies.
            None => Reader::Store(Store::open(node.settings.store.address)),
            Some(address) => Reader::Peer(Source::open(address).await.map_err(|e| e.to_string())?),
        });
    }
    match reader {
        Some(Reader::Peer(source)) => source.read(topic, from).await.map(Some),
        Some(Reader::Store(store)) => {
            node.metrics.count(Counter::StoreReads, topic.label());
            read_store(store, topic, from).await
        }
        None => Err("no source".to_owned()),
    }
}

async fn read_store(
    store: &Store,
    topic: Topic,
    from: Option<u64>,
) -> Result<Option<Batch>, String> {
    let read = match from {
        None => store.newest(topic).await.map(|s| (s.records, s.next)),
        Some(from) => store.read(topic, from, READ_WAIT).await,
    };
    let entry = |r: Record| Entry {
        key: r.key,
        value: r.value,
    };
    match read {
        Ok((records, next)) => Ok(Some(Batch {
            entries: records.into_iter().map(entry).collect(),
            next,
            is_snapshot: from.is_none(),
            store_down: false,
        })),
        Err(StoreError::Trimmed) => Ok(None),
        Err(e) => Err(e.to_string()),
    }
}

fn take_config(node: &Node, record: &Entry) {
    if record.key != hemlock_platform::config::KEY {
        return;
    }
    let Some(value) = &record.value else { return };
    let config = match hemlock_platform::config::decode(value) {
        Ok(config) => config,
        Err(e) => {
            log::error!("event=config_refused cause=\"{e}\"");
            return;
        }
    };
    let old = node.config().map_or(0, |c| c.version);
    if config.version <= old {
        return;
    }
    log::info!(
        "event=config version={} before={old} routes={} services={}",
        config.version,
        config.route_count(),
        config.services.len()
    );
    *node.config.borrow_mut() = Some(Rc::new(config));
    node.refresh();
}

fn replace_endpoints(node: &Node, records: &[Entry]) {
    let decode = |r: &Entry| hemlock_platform::endpoints::decode(&r.key, r.value.as_deref()?);
    let fresh = records.iter().filter_map(decode).collect();
    let changes = node.endpoints.borrow_mut().replace(node.now(), fresh);
    for (id, change) in changes {
        node.log_change(&id, change);
    }
    node.listed.set(true);
}

fn take_endpoints(node: &Node, records: &[Entry]) {
    let now = node.now();
    let mut changes = Vec::new();
    let mut ended = Vec::new();
    for record in records {
        let value = record.value.as_deref();
        // An entry that another writer spoiled names no endpoint either.
        match value.and_then(|v| hemlock_platform::endpoints::decode(&record.key, v)) {
            Some(endpoint) => {
                ended.retain(|id| *id != record.key);
                let change = node.endpoints.borrow_mut().put(endpoint);
                changes.push((Arc::from(record.key.as_str()), change));
            }
            None => ended.push(record.key.as_str()),
        }
    }
    changes.extend(node.endpoints.borrow_mut().remove(now, ended));
    for (id, change) in changes {
        node.log_change(&id, change);
    }
}

fn take_member(node: &Node, record: &Record) {
    if record.key == node.me.node {
        return;
    }
    let mut peers = node.peers.borrow_mut();
    let Some(value) = &record.value else {
        peers.remove_member(&record.key);
        return;
    };
    match rmp_serde::from_slice::<Member>(value) {
        Ok(member) if member.node == record.key => peers.add_member(node.now(), member),
        Ok(_) => log::warn!(
            "event=member_refused node={} cause=\"other name\"",
            record.key
        ),
        Err(e) => log::warn!("event=member_refused node={} cause=\"{e}\"", record.key),
    }
}

async fn write_member(node: &Rc<Node>) {
    let value = match rmp_serde::to_vec(&node.me) {
        Ok(value) => value,
        Err(e) => {
            log::error!("event=member_unwritten cause=\"{e}\"");
            return;
        }
    };
    let mut wait = BACKOFF;
    while node.stopping.get().is_none() {
        let key = &node.me.node;
        match node.store.put(Topic::Members, key, Some(&value)).await {
            Ok(()) => return,
            Err(e) => {
                log::info!("event=member_unwritten cause=\"{e}\"");
                tokio::time::sleep(wait).await;
                wait = (wait * 2).min(BACKOFF_MOST);
            }
        }
    }
}
