//! Reads the configuration, the endpoints and the members from the store, and watches them for
//! changes.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::cache::{Batch, Entry, Position, Update};
use hemlock_lib::node::config::Config;
use hemlock_lib::node::endpoints::Endpoint;
use hemlock_lib::node::passing::{SECRET_KEY_PREFIX, SecretRecord};
use hemlock_lib::node::peers::Member;
use hemlock_lib::time::Time;
use hemlock_platform::store::{Record, Store, StoreError, Topic};
use rand::Rng;
use rand::seq::IteratorRandom;
use tokio::task::spawn_local;

use crate::evacuations;
use crate::feed::PeerSource;
use crate::metrics::Counter;
use crate::state::Node;

/// Time for which the store holds a read when it has nothing new. A dead connection is noticed only
/// after this time, and a change must reach all VMs, including those that read through this one,
/// within 2 s.
const LONG_POLL: Duration = Duration::from_millis(1_000);
/// Time for which a source that failed or has lost the store is avoided.
const AVOID_TIME: Duration = Duration::from_secs(3);
/// Interval between two reads of the members; datagrams announce new members at once.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(60);
/// Time after the first read of the members until the second, which finds the secrets of VMs that
/// started at the same time; datagrams don't carry these.
const SECOND_READ_DELAY: Duration = Duration::from_secs(3);
/// Minimum time between two reads of the members for secrets that are missing.
const SECRETS_PAUSE: Duration = Duration::from_secs(1);
/// Time over which the VMs spread the writes of their records to a store that came back from an
/// older copy.
const MEMBER_REWRITE_TIME: Duration = Duration::from_secs(1);
/// Time after which a VM that has just started has heard from its peers.
const PEERS_KNOWN_DELAY: Duration = Duration::from_millis(700);
/// Number of peers whose records are compared with those of a store that came back from an older copy;
/// one of them may have just started itself.
const COMPARED_PEERS: usize = 3;
/// Wait before the first retry; it doubles with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(60);
/// Longest wait before a retry.
const MAX_BACKOFF: Duration = Duration::from_millis(600);
/// Longest wait before a retry of a process that has read nothing yet, and so can't serve callers.
const MAX_STARTUP_BACKOFF: Duration = Duration::from_millis(300);

/// Watches the operators' configuration, and which zones they have evacuated.
pub(crate) async fn watch_config(node: Rc<Node>) {
    watch_topic(&node, Topic::Config, |node, records, update| {
        let feed = node.feed(Topic::Config);
        let is_first = node.config.borrow().is_none();
        if is_first && feed.direct.get() && feed.next_position().era > 0 {
            spawn_local(compare_with_peer(node.clone()));
        }
        // Before the first configuration, with which this VM begins to send requests.
        evacuations::apply(
            node,
            feed.next_position(),
            update,
            &records,
            feed.source.get(),
        );
        apply_newest_config(node, &records);
        if update != Update::Changes {
            keep_config(node);
        }
    })
    .await;
}

/// Reads the configuration from a peer that has a newer one, and clears [`Node::config_read`].
pub(crate) async fn read_config_from_peer(node: Rc<Node>, peer: SocketAddr) {
    let read = async {
        let mut source = PeerSource::open(peer).await.map_err(|e| e.to_string())?;
        source.read(Topic::Config, None, &Cell::default()).await
    };
    match read.await {
        Ok(batch) => {
            let own = node.feed(Topic::Config).next_position();
            let update = match batch.next.era > own.era {
                true => Update::Restored,
                false => Update::Snapshot,
            };
            evacuations::apply(&node, batch.next, update, &batch.entries, Some(peer));
            apply_newest_config(&node, &batch.entries);
            keep_config(&node);
        }
        Err(e) => log::info!("event=read_failed topic=Config from={peer} cause=\"{e}\""),
    }
    node.config_read.set(false);
}

/// Reads the configuration's topic from a peer as well, after the first read from a store that has come
/// back from an older copy: peers may know of evacuations that the copy lacks.
async fn compare_with_peer(node: Rc<Node>) {
    tokio::time::sleep(PEERS_KNOWN_DELAY).await;
    let now = node.now();
    let is_other = |m: &&Member| m.node != node.identity.node;
    let compared: Vec<SocketAddr> = {
        let peers = node.peers.borrow();
        let others = peers.ready(now).filter(is_other);
        let others = others.map(|m| m.peer_address);
        others.choose_multiple(&mut rand::rng(), COMPARED_PEERS)
    };
    for peer in compared {
        read_config_from_peer(node.clone(), peer).await;
    }
}

/// Watches the list of endpoints.
pub(crate) async fn watch_endpoints(node: Rc<Node>) {
    watch_topic(&node, Topic::Endpoints, |node, records, update| {
        match update {
            Update::Changes => apply_endpoint_changes(node, &records),
            Update::Snapshot | Update::Restored => replace_endpoints(node, &records, update),
        }
        node.refresh_candidates();
        node.endpoints_changed.notify_one();
    })
    .await;
}

/// Writes this VM's record to the list of members, and then reads the list regularly.
///
/// Of two VMs that start at the same time, the one that writes last reads the other's record and
/// announces itself to it by datagram. So one read after the write is enough; later ones make up
/// for lost records. A store that came back from an older copy may lack this VM's record.
pub(crate) async fn watch_members(node: Rc<Node>) {
    write_member(&node).await;
    let mut written_era = node.store.era();
    let mut wait = MIN_BACKOFF;
    let mut is_first = true;
    loop {
        if written_era < node.store_era.get() {
            write_member(&node).await;
            written_era = node.store.era();
        }
        node.metrics
            .count(Counter::StoreReads, Topic::Members.label());
        match node.store.read_snapshot(Topic::Members).await {
            Ok(snapshot) => {
                for record in &snapshot.records {
                    apply_member(&node, record);
                }
                node.members_read.set(true);
                node.note_entry_vms(node.now());
                wait = match std::mem::take(&mut is_first) {
                    true => SECOND_READ_DELAY,
                    false => MEMBERS_INTERVAL,
                };
            }
            Err(e) => {
                log::info!("event=read_failed topic=Members cause=\"{e}\"");
                wait = (wait * 2).min(MAX_BACKOFF);
            }
        }
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = missing_secrets(&node) => {}
            () = node.members_outdated.notified() => {
                // All VMs notice it at the same time.
                let delay = MEMBER_REWRITE_TIME.mul_f64(rand::rng().random_range(0.0..1.0));
                tokio::time::sleep(delay).await;
            }
        }
    }
}

/// The open connection over which a topic is read.
enum Reader {
    Store(Store),
    Peer(PeerSource),
}

impl Reader {
    /// Returns the number of bytes received of the reply of a peer, also if it is not complete.
    fn received(&self) -> usize {
        match self {
            Self::Store(_) => 0,
            Self::Peer(source) => source.received(),
        }
    }
}

fn value_bytes(entries: &[Entry]) -> usize {
    let values = entries.iter().filter_map(|e| e.value.as_ref());
    values.map(|v| v.len()).sum()
}

/// Reads the newest records of a topic and then each new one, until the process ends: from the
/// store if this VM is the planner or reads the store for its zone, and otherwise from the VM that
/// does.
///
/// `apply` is called with the records and with how they relate to those before.
async fn watch_topic(node: &Rc<Node>, topic: Topic, apply: impl Fn(&Rc<Node>, Vec<Entry>, Update)) {
    let feed = node.feed(topic);
    let mut reader = None;
    let mut avoided: Vec<(SocketAddr, Time)> = Vec::new();
    let mut wait = MIN_BACKOFF;
    // Whether the whole topic is to be read, since its next position does not exist any more.
    let mut reads_all = false;
    loop {
        let now = node.now();
        avoided.retain(|(_, until)| *until > now);
        let source_addr = node.choose_source(now, &avoided);
        let position = feed.cache.borrow().next();
        let from = position.filter(|_| !reads_all);
        feed.source.set(source_addr);
        let read = tokio::select! {
            read = read_source(node, topic, source_addr, &mut reader, from) => read,
            () = feed.source_stale.notified() => Err("a peer is ahead of the source".to_owned()),
        };
        feed.transfer.set(None);
        let era = position.unwrap_or_default().era;
        let read = match read {
            Ok(Some(batch)) if batch.next.era < era => Err(format!(
                "the source reads an older era of the store: {} after {era}",
                batch.next.era
            )),
            read => read,
        };
        match read {
            Ok(None) => {
                reads_all = true;
                log::info!("event=history_lost topic={topic:?} next={from:?}");
            }
            Ok(Some(batch)) => {
                wait = MIN_BACKOFF;
                reads_all = false;
                node.note_store_era(topic, batch.next.era);
                feed.direct.set(source_addr.is_none());
                if let (Some(peer), true) = (source_addr, batch.store_down) {
                    avoided.push((peer, now + AVOID_TIME));
                }
                if batch.is_snapshot || !batch.entries.is_empty() {
                    feed.cache.borrow_mut().apply(&batch);
                }
                node.set_store_state(
                    topic,
                    !batch.store_down,
                    &format_args!("from={source_addr:?}"),
                );
                feed.note_read();
                let Batch {
                    entries,
                    is_snapshot,
                    next,
                    ..
                } = batch;
                let update = match (is_snapshot, position.is_some() && next.era > era) {
                    (false, _) => Update::Changes,
                    (true, false) => Update::Snapshot,
                    (true, true) => Update::Restored,
                };
                if is_snapshot || topic == Topic::Config && !entries.is_empty() {
                    log::info!(
                        "event=read topic={topic:?} records={} bytes={} ms={} next={} era={} from={source_addr:?}",
                        entries.len(),
                        value_bytes(&entries),
                        node.now().since(now).as_millis(),
                        next.offset,
                        next.era
                    );
                }
                if is_snapshot || !entries.is_empty() {
                    apply(node, entries, update);
                    tokio::time::sleep(node.batching_delay(topic, source_addr)).await;
                }
            }
            Err(e) => {
                log::info!(
                    "event=read_failed topic={topic:?} from={source_addr:?} received={} ms={} cause=\"{e}\"",
                    reader.as_ref().map_or(0, Reader::received),
                    node.now().since(now).as_millis()
                );
                let source = source_addr.map_or("store", |_| "peer");
                node.metrics.count(Counter::FeedReadsFailed, source);
                reader = None;
                match source_addr {
                    Some(peer) => avoided.push((peer, now + AVOID_TIME)),
                    None => {
                        feed.direct.set(false);
                        node.set_store_state(topic, false, &e);
                        // If only this VM does not reach the store, it reads through a peer.
                        avoided.push((node.identity.peer_address, now + AVOID_TIME));
                        let jitter = rand::rng().random_range(0.5..1.0);
                        let pause = wait.max(node.store_search_pause(now, position.is_none()));
                        tokio::select! {
                            () = tokio::time::sleep(pause.mul_f64(jitter)) => {}
                            () = node.store_found.notified() => {}
                        }
                        let max_wait = if position.is_none() {
                            MAX_STARTUP_BACKOFF
                        } else {
                            MAX_BACKOFF
                        };
                        wait = (wait * 2).min(max_wait).max(node.min_store_interval());
                    }
                }
            }
        }
    }
}

/// Reads a topic once, over the open connection if that leads to the wanted source. `None` means
/// that `from` is no position of the topic any more.
async fn read_source(
    node: &Node,
    topic: Topic,
    source_addr: Option<SocketAddr>,
    reader: &mut Option<Reader>,
    from: Option<Position>,
) -> Result<Option<Batch>, String> {
    let is_connected = match (&*reader, source_addr) {
        (Some(Reader::Store(_)), None) => true,
        (Some(Reader::Peer(source)), Some(address)) => source.address == address,
        _ => false,
    };
    if !is_connected {
        *reader = Some(match source_addr {
            // Each topic has its own connection, since a long poll occupies it.
            None => Reader::Store(Store::new(node.settings.store.address)),
            Some(address) => {
                Reader::Peer(PeerSource::open(address).await.map_err(|e| e.to_string())?)
            }
        });
    }
    match reader {
        Some(Reader::Peer(source)) => {
            let transfer = &node.feed(topic).transfer;
            source.read(topic, from, transfer).await.map(Some)
        }
        Some(Reader::Store(store)) => {
            node.metrics.count(Counter::StoreReads, topic.label());
            read_store(store, topic, from).await
        }
        None => Err("no connection to a source".to_owned()),
    }
}

async fn read_store(
    store: &Store,
    topic: Topic,
    from: Option<Position>,
) -> Result<Option<Batch>, String> {
    let read = match from {
        None => store
            .read_snapshot(topic)
            .await
            .map(|s| (s.records, s.next)),
        Some(from) => store.read(topic, from, LONG_POLL).await,
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
        Err(StoreError::Trimmed | StoreError::Restored) => Ok(None),
        Err(e) => Err(e.to_string()),
    }
}

/// Applies the newest of the configuration's records that is valid and newer than the configuration
/// in force.
fn apply_newest_config(node: &Node, records: &[Entry]) {
    let is_config = |r: &&Entry| r.key == hemlock_platform::config::KEY;
    for record in records.iter().rev().filter(is_config) {
        let Some(value) = &record.value else { continue };
        match hemlock_platform::config::decode(value) {
            Ok(config) if is_newer(node, &config) => return apply_config(node, record, config),
            Ok(_) => {}
            Err(e) => log::error!("event=config_refused cause=\"{e}\""),
        }
    }
}

fn is_newer(node: &Node, config: &Config) -> bool {
    node.config().is_none_or(|old| config.version > old.version)
}

fn apply_config(node: &Node, record: &Entry, config: Config) {
    let before = node.config().map_or(0, |c| c.version);
    let version = config.version;
    log::info!(
        "event=config version={} before={before} era={} routes={} services={}",
        config.version,
        node.store_era.get(),
        config.route_count(),
        config.services.len()
    );
    let replaced = node.config.borrow_mut().replace(Rc::new(config));
    if let Some(replaced) = replaced {
        let mut kept = node.replaced_configs.borrow_mut();
        kept.record(node.now(), replaced);
    }
    node.config_record.replace(Some(record.clone()));
    node.config_behind_since.set(None);
    node.refresh_candidates();
    let peers = node.peers.borrow();
    if peers.should_announce(node.now(), version) {
        node.announces_config.set(true);
        node.send_now.notify_one();
    }
}

/// Has peers that read the configuration from this VM get the one in force, if the store came back
/// with an older one.
fn keep_config(node: &Node) {
    if let Some(record) = &*node.config_record.borrow() {
        let feed = node.feed(Topic::Config);
        feed.cache.borrow_mut().keep(record);
    }
}

/// A record of the list of endpoints.
#[derive(Debug)]
enum Told {
    Entry(Box<Endpoint>),
    /// The endpoint's entry has ended.
    Ended,
    /// The value is no entry, so that it comes from another writer.
    Odd,
}

impl Told {
    fn decode(record: &Entry) -> Self {
        match record.value.as_deref() {
            None | Some([]) => Self::Ended,
            Some(value) => match hemlock_platform::endpoints::decode(&record.key, value) {
                Some(endpoint) => Self::Entry(Box::new(endpoint)),
                None => Self::Odd,
            },
        }
    }
}

/// Replaces the list of endpoints by a complete one.
fn replace_endpoints(node: &Node, records: &[Entry], update: Update) {
    let now = node.now();
    let mut endpoints = node.endpoints.borrow_mut();
    let (mut list, mut odd) = (Vec::new(), Vec::new());
    for record in records {
        match Told::decode(record) {
            Told::Entry(endpoint) => list.push(*endpoint),
            Told::Ended => {}
            Told::Odd => {
                list.extend(endpoints.get(&record.key).cloned());
                odd.push(record.key.as_str());
            }
        }
    }
    let mut changes = match update {
        Update::Restored => endpoints.restore(now, list),
        Update::Snapshot | Update::Changes => endpoints.replace(now, list),
    };
    let doubted = odd
        .into_iter()
        .map(|id| (Arc::from(id), endpoints.doubt(now, id)));
    changes.extend(doubted);
    drop(endpoints);
    for (id, change) in changes {
        node.log_endpoint_change(&id, change);
    }
    node.endpoints_listed.set(true);
}

/// Applies changes to the list of endpoints.
fn apply_endpoint_changes(node: &Node, records: &[Entry]) {
    let now = node.now();
    let mut changes = Vec::new();
    let mut removed = Vec::new();
    let mut endpoints = node.endpoints.borrow_mut();
    for record in records {
        let change = match Told::decode(record) {
            Told::Entry(endpoint) => {
                removed.retain(|id| *id != record.key);
                endpoints.put(now, *endpoint)
            }
            Told::Ended => {
                removed.push(record.key.as_str());
                continue;
            }
            Told::Odd => endpoints.doubt(now, &record.key),
        };
        changes.push((Arc::from(record.key.as_str()), change));
    }
    changes.extend(endpoints.remove(now, removed));
    drop(endpoints);
    for (id, change) in changes {
        node.log_endpoint_change(&id, change);
    }
}

/// Adds, updates or removes a member.
fn apply_member(node: &Node, record: &Record) {
    if record.key == node.identity.node {
        return;
    }
    if record.key.starts_with(SECRET_KEY_PREFIX) {
        return apply_secret(node, record);
    }
    let mut peers = node.peers.borrow_mut();
    let Some(value) = &record.value else {
        peers.remove_member(&record.key);
        return;
    };
    match rmp_serde::from_slice::<Member>(value) {
        Ok(member) if member.node == record.key => peers.add_member(node.now(), member),
        Ok(_) => log::warn!(
            "event=member_refused node={} cause=\"the record names another node\"",
            record.key
        ),
        Err(e) => log::warn!("event=member_refused node={} cause=\"{e}\"", record.key),
    }
}

/// Keeps the secret of a peer.
fn apply_secret(node: &Node, record: &Record) {
    let Some(value) = &record.value else { return };
    match rmp_serde::from_slice::<SecretRecord>(value) {
        Ok(secret) if record.key.strip_prefix(SECRET_KEY_PREFIX) == Some(&secret.node) => {
            node.secrets.borrow_mut().record(secret);
        }
        Ok(_) => log::warn!(
            "event=member_refused node={} cause=\"the record names another node\"",
            record.key
        ),
        Err(e) => log::warn!("event=member_refused node={} cause=\"{e}\"", record.key),
    }
}

/// Waits until a secret is missing and the members may be read again.
async fn missing_secrets(node: &Node) {
    let pause = SECRETS_PAUSE.max(node.min_store_interval());
    tokio::time::sleep(pause).await;
    node.secrets_missing.notified().await;
}

/// Writes this VM's record and its secret to the list of members, with retries until it succeeds or the VM is
/// stopping.
async fn write_member(node: &Rc<Node>) {
    let identity = &node.identity;
    let secret = SecretRecord {
        node: identity.node.clone(),
        run: identity.run,
        secret: node.own_secret.to_hex(),
        address: identity.peer_address,
    };
    let records = [
        (identity.node.clone(), rmp_serde::to_vec(identity)),
        (
            format!("{SECRET_KEY_PREFIX}{}", identity.node),
            rmp_serde::to_vec(&secret),
        ),
    ];
    for (key, value) in records {
        match value {
            Ok(value) => write_record(node, &key, &value).await,
            Err(e) => log::error!("event=member_unwritten cause=\"{e}\""),
        }
    }
}

/// Writes a record to the list of members, with retries until it succeeds or the VM is stopping.
async fn write_record(node: &Node, key: &str, value: &[u8]) {
    let mut wait = MIN_BACKOFF;
    while !node.stop.is_stopping() {
        match node.store.put(Topic::Members, key, Some(value)).await {
            Ok(()) => return,
            Err(e) => {
                log::info!("event=member_unwritten cause=\"{e}\"");
                tokio::time::sleep(wait).await;
                wait = (wait * 2).min(MAX_BACKOFF);
            }
        }
    }
}
