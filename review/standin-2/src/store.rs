//! Stand-in of the platform's store: keyed topics, and one group whose members share one partition.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use hemlock_wire::http1::Conn;
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::world::World;

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Topic of the workers' entries.
pub const SERVERS: &str = "keyed.servers";
/// Topic of the operator.
pub const OPERATOR: &str = "keyed.op";
/// Silence of a worker after which its entry is removed: three heartbeat intervals.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3_600);

#[derive(Default)]
struct Group {
    members: BTreeMap<String, Instant>,
    holder: Option<String>,
    generation: u64,
}

#[derive(Default)]
pub struct Store {
    topics: RefCell<BTreeMap<String, Vec<(String, Vec<u8>)>>>,
    /// When each worker's entry was last written.
    written: RefCell<BTreeMap<String, Instant>>,
    changed: Notify,
    group: RefCell<Group>,
    /// Since when the store answers no call.
    silent_since: Cell<Option<Instant>>,
}

impl Store {
    /// Appends a record; an empty value drops the key.
    pub fn append(&self, topic: &str, key: &str, value: &[u8]) -> usize {
        if topic == SERVERS {
            self.written
                .borrow_mut()
                .insert(key.to_owned(), Instant::now());
        }
        let mut topics = self.topics.borrow_mut();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.to_vec()));
        let end = records.len();
        drop(topics);
        self.changed.notify_waiters();
        end
    }

    /// Has the store answer no more calls, or answer again. The times of entries and of members pause
    /// meanwhile.
    pub fn set_silent(&self, silent: bool) {
        if silent {
            return self.silent_since.set(Some(Instant::now()));
        }
        let Some(since) = self.silent_since.take() else {
            return;
        };
        let pause = since.elapsed();
        self.written
            .borrow_mut()
            .values_mut()
            .for_each(|at| *at += pause);
        let mut group = self.group.borrow_mut();
        group.members.values_mut().for_each(|until| *until += pause);
    }

    pub fn is_silent(&self) -> bool {
        self.silent_since.get().is_some()
    }

    /// Member of the group that holds its partition.
    pub fn holder(&self) -> Option<String> {
        let mut group = self.group.borrow_mut();
        group.assign();
        group.holder.clone()
    }

    /// Removes the entries of workers that have been silent for too long.
    pub fn expire(&self, world: &World) {
        if self.is_silent() {
            return;
        }
        let mut written = self.written.borrow_mut();
        let is_old = |at: &Instant| at.elapsed() > ENTRY_LIFETIME;
        let old: Vec<String> = written
            .iter()
            .filter(|(_, at)| is_old(at))
            .map(|(id, _)| id.clone())
            .collect();
        written.retain(|_, at| !is_old(at));
        drop(written);
        for id in old {
            world.note(&format!(
                "store: the entry of {id} is removed after its silence"
            ));
            self.append(SERVERS, &id, b"");
            self.written.borrow_mut().remove(&id);
        }
    }

    fn newest(&self, topic: &str) -> Value {
        let topics = self.topics.borrow();
        let none = Vec::new();
        let records = topics.get(topic).unwrap_or(&none);
        let mut newest: BTreeMap<&str, (&[u8], usize)> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (value, offset));
        }
        newest.retain(|_, (value, _)| !value.is_empty());
        let items: Vec<Value> = newest
            .into_iter()
            .map(|(key, (value, offset))| json!({"key": key, "value": STANDARD.encode(value), "offset": offset}))
            .collect();
        json!({"items": items, "hasMore": false, "end": records.len()})
    }

    async fn read(&self, topic: &str, from: usize, wait: Duration) -> (u16, Vec<u8>) {
        let end = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            {
                let topics = self.topics.borrow();
                let none = Vec::new();
                let records = topics.get(topic).unwrap_or(&none);
                if from > records.len() {
                    return (410, json!({"first": 0}).to_string().into_bytes());
                }
                if from < records.len() || Instant::now() >= end {
                    let mut out = (records.len() as u64).to_be_bytes().to_vec();
                    out.extend_from_slice(&0_u64.to_be_bytes());
                    for (key, value) in &records[from..] {
                        let length = 1 + key.len() + value.len();
                        out.extend_from_slice(&(length as u32).to_be_bytes());
                        out.push(key.len() as u8);
                        out.extend_from_slice(key.as_bytes());
                        out.extend_from_slice(value);
                    }
                    return (200, out);
                }
            }
            let left = end.saturating_duration_since(Instant::now());
            let _ = tokio::time::timeout(left, changed).await;
        }
    }

    fn append_body(&self, topic: &str, mut body: &[u8]) -> (u16, Vec<u8>) {
        let mut end = 0;
        while body.len() > 4 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            let content = &body[4..4 + length];
            let key_length = usize::from(content[0]);
            let key = String::from_utf8_lossy(&content[1..=key_length]).into_owned();
            end = self.append(topic, &key, &content[1 + key_length..]);
            body = &body[4 + length..];
        }
        (
            200,
            json!({"offset": end.saturating_sub(1), "end": end})
                .to_string()
                .into_bytes(),
        )
    }

    fn join(&self, world: &World, call: &Value) -> Vec<u8> {
        let member = call["member"].as_str().unwrap_or_default().to_owned();
        let ttl = Duration::from_millis(call["ttlMs"].as_u64().unwrap_or(1_000));
        let mut group = self.group.borrow_mut();
        group.assign();
        if group
            .members
            .insert(member.clone(), Instant::now() + ttl)
            .is_none()
        {
            group.generation += 1;
        }
        let before = group.holder.clone();
        group.assign();
        if before != group.holder {
            world.note(&format!(
                "store: {} holds the partition, generation {}",
                member, group.generation
            ));
        }
        let holds = group.holder.as_ref() == Some(&member);
        let topic = call["topics"][0].as_str().unwrap_or_default();
        let parts = if holds {
            json!([[topic, 0, 0]])
        } else {
            json!([])
        };
        json!({"generation": group.generation, "ttlMs": ttl.as_millis() as u64, "parts": parts})
            .to_string()
            .into_bytes()
    }

    fn leave(&self, world: &World, call: &Value) {
        let member = call["member"].as_str().unwrap_or_default();
        let mut group = self.group.borrow_mut();
        if group.members.remove(member).is_some() {
            group.generation += 1;
            world.note(&format!("store: {member} leaves the group"));
        }
        group.assign();
    }
}

impl Group {
    /// Removes members that have sent nothing for their time, and gives the partition to another one
    /// if its holder is no member any more.
    fn assign(&mut self) {
        let now = Instant::now();
        let count = self.members.len();
        self.members.retain(|_, until| *until > now);
        if self.members.len() != count {
            self.generation += 1;
        }
        let is_member = |holder: &String| self.members.contains_key(holder);
        if !self.holder.as_ref().is_some_and(is_member) {
            let next = self.members.keys().next().cloned();
            if next != self.holder {
                self.holder = next;
                self.generation += 1;
            }
        }
    }
}

/// Serves the store's calls on one connection.
pub async fn serve(world: Rc<World>, mut conn: Conn) {
    while let Ok(mut head) = conn.read_request_head(16 << 10).await {
        let Ok(Some(body)) = conn.read_body(&mut head.body_framing, 4 << 20).await else {
            return;
        };
        tokio::time::sleep(ANSWER_TIME).await;
        if world.store.is_silent() {
            return hold(&mut conn).await;
        }
        let (path, query) = head.target.split_once('?').unwrap_or((&head.target, ""));
        let params: BTreeMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let number = |name: &str| {
            params
                .get(name)
                .and_then(|v| v.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let topic = params.get("topic").copied().unwrap_or_default();
        let call = || serde_json::from_slice::<Value>(&body).unwrap_or_default();
        let store = &world.store;
        let (status, reply) = match (head.method.as_str(), path) {
            ("GET", "/v1/log-newest") => (200, store.newest(topic).to_string().into_bytes()),
            ("GET", "/v1/log-read") => {
                let wait = Duration::from_millis(number("waitMs").min(30_000));
                store.read(topic, number("from") as usize, wait).await
            }
            ("POST", "/v1/log-append") if matches!(topic, SERVERS | OPERATOR) => (403, Vec::new()),
            ("POST", "/v1/log-append") => store.append_body(topic, &body),
            ("POST", "/v1/log-join") => (200, store.join(&world, &call())),
            ("POST", "/v1/log-leave") => {
                store.leave(&world, &call());
                (200, b"{}".to_vec())
            }
            _ => (404, Vec::new()),
        };
        if world.store.is_silent() {
            return hold(&mut conn).await;
        }
        if crate::reply(&mut conn, status, "", &reply).await.is_err() {
            return;
        }
    }
}

/// Leaves a call without an answer until its caller closes the connection.
async fn hold(conn: &mut Conn) {
    let _ = conn.discard_all().await;
}
