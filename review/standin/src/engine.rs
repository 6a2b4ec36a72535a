//! Engines that form groups as the pages say: joins and loads take their time, the newest fencing token
//! and epoch win, and a head accepts requests until it has missed a member for `stallMs`. What each
//! engine is in is kept here, whatever the store lists.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use hemlock_platform_standin::server;
use hemlock_platform_standin::store::Store;
use hemlock_wire::http1::{self, Conn};
use serde_json::{Value, json};

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const REJOIN_TIME: Duration = Duration::from_millis(200);
const FORM_TIME: Duration = Duration::from_millis(300);
const STALL_TIME: Duration = Duration::from_millis(5_000);
pub const WARMUP_TIME: Duration = Duration::from_millis(1_100);
pub const LOAD_TIME: Duration = Duration::from_millis(12_000);
const EVENTS: u64 = 8;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Debug, Clone)]
struct Seat {
    group: String,
    epoch: u64,
    members: Vec<String>,
    state: &'static str,
    missing_since: Option<Instant>,
}

#[derive(Debug, Default)]
struct Engine {
    address: String,
    sequence: u64,
    orders: u64,
    fence: u64,
    epoch: u64,
    model: String,
    staged: Vec<String>,
    loads_until: Option<Instant>,
    seat: Option<Seat>,
    /// Entries are written again on the next heartbeat.
    is_stale: bool,
}

/// All engines of a script, with what they did.
#[derive(Debug, Clone)]
pub struct Engines {
    start: Instant,
    store: Store,
    shared: Arc<Mutex<World>>,
}

#[derive(Debug, Default)]
struct World {
    engines: BTreeMap<String, Engine>,
    log: Vec<String>,
    broken: Vec<String>,
    has_traffic: bool,
    /// Engines that were ready in a group, with its name, epoch and members.
    ready: BTreeSet<(String, String, u64, Vec<String>)>,
}

impl Engines {
    pub fn new(store: &Store) -> Self {
        Self {
            start: Instant::now(),
            store: store.clone(),
            shared: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, World> {
        self.shared.lock().expect("no engine panics")
    }

    pub fn millis(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    pub fn note(&self, text: &str) {
        let at = self.millis();
        self.lock().log.push(format!("{at} ms: {text}"));
    }

    /// Returns what happened, and the violations of the rules for groups.
    pub fn record(&self) -> (Vec<String>, Vec<String>) {
        let world = self.lock();
        (world.log.clone(), world.broken.clone())
    }

    /// Returns the number of engines in groups whose head is open.
    pub fn serving(&self) -> usize {
        let world = self.lock();
        let is_served = |e: &Engine| {
            e.seat
                .as_ref()
                .is_some_and(|s| head_state(&world, s) == Some("open"))
        };
        world.engines.values().filter(|e| is_served(e)).count()
    }

    /// Starts an engine without staged models, and writes its entry.
    pub fn spawn(&self, id: &str) {
        let (engines, own_id) = (self.clone(), id.to_owned());
        let address = server::spawn(id, move |conn| serve(conn, engines.clone(), own_id.clone()));
        let engine = Engine {
            address: address.to_string(),
            ..Engine::default()
        };
        self.lock().engines.insert(id.to_owned(), engine);
        self.publish(id);
        let (engines, id) = (self.clone(), id.to_owned());
        let phase =
            HEARTBEAT.mul_f64(f64::from(id.bytes().map(u32::from).sum::<u32>() * 37 % 100) / 100.0);
        std::thread::spawn(move || engines.live(&id, phase));
    }

    /// Has each engine write its entry again with its next heartbeat, as after a return of the store.
    pub fn write_again(&self) {
        self.lock()
            .engines
            .values_mut()
            .for_each(|e| e.is_stale = true);
    }

    fn publish(&self, id: &str) {
        let entry = {
            let mut world = self.lock();
            let Some(engine) = world.engines.get_mut(id) else {
                return;
            };
            engine.sequence += 1;
            engine.is_stale = false;
            entry(id, engine)
        };
        self.store
            .put("keyed.servers", id, entry.to_string().as_bytes());
    }

    /// Loads, heartbeats and the head's watch over its members.
    fn live(&self, id: &str, phase: Duration) {
        let mut next_beat = Instant::now() + phase;
        loop {
            std::thread::sleep(Duration::from_millis(20));
            let now = Instant::now();
            let mut is_changed = false;
            {
                let mut world = self.lock();
                let is_whole = world.engines[id]
                    .seat
                    .as_ref()
                    .is_none_or(|s| s.members.iter().all(|m| is_member(&world, m, s)));
                let engine = world.engines.get_mut(id).expect("the engine exists");
                if engine.loads_until.is_some_and(|until| until <= now) {
                    engine.loads_until = None;
                    is_changed = true;
                }
                if let Some(seat) = &mut engine.seat
                    && seat.members[0] == id
                    && matches!(seat.state, "open" | "closing")
                {
                    match (is_whole, seat.missing_since) {
                        (true, _) => seat.missing_since = None,
                        (false, None) => seat.missing_since = Some(now),
                        (false, Some(since)) if now - since >= STALL_TIME => {
                            seat.state = "broken";
                            is_changed = true;
                        }
                        (false, Some(_)) => {}
                    }
                }
                if now >= next_beat {
                    next_beat = now + HEARTBEAT;
                    is_changed |= engine.is_stale;
                }
            }
            if is_changed {
                self.publish(id);
            }
        }
    }

    fn execute(&self, id: &str, call: &Value) -> (u16, Option<Duration>) {
        let now = Instant::now();
        let at = self.millis();
        let mut world = self.lock();
        let fence = call["fencingToken"].as_u64().unwrap_or(0);
        let text = |status: u16| {
            format!(
                "{at} ms: {id} {} {} epoch={} fence={fence} -> {status}",
                call["operation"], call["group"], call["epoch"]
            )
        };
        let load_time = if world.has_traffic {
            LOAD_TIME
        } else {
            LOAD_TIME / 10
        };
        let violation = violation(&world, id, call);
        let engine = world.engines.get_mut(id).expect("the engine exists");
        let is_own = |e: &Engine| {
            e.seat
                .as_ref()
                .is_some_and(|s| call["group"] == s.group.as_str() && call["epoch"] == s.epoch)
        };
        let epoch = call["epoch"].as_u64().unwrap_or(0);
        let mut wait = None;
        let status = if fence < engine.fence {
            412
        } else if call["precondition"]
            .as_u64()
            .is_some_and(|n| n != engine.orders)
        {
            409
        } else {
            engine.fence = fence;
            match call["operation"].as_str() {
                Some("join") if epoch < engine.epoch => 412,
                Some("join") if is_own(engine) => 200,
                Some("join") => {
                    let model = call["model"].as_str().unwrap_or_default().to_owned();
                    let is_staged = engine.staged.contains(&model) && engine.loads_until.is_none();
                    wait = Some(match (engine.model == model, is_staged) {
                        (true, _) => REJOIN_TIME,
                        (false, true) => WARMUP_TIME,
                        (false, false) => load_time,
                    });
                    engine.staged = vec![model.clone()];
                    engine.model = model;
                    engine.epoch = epoch;
                    let members = call["members"].as_array().into_iter().flatten();
                    engine.seat = Some(Seat {
                        group: call["group"].as_str().unwrap_or_default().to_owned(),
                        epoch,
                        members: members
                            .filter_map(|m| Some(m.as_str()?.to_owned()))
                            .collect(),
                        state: "joining",
                        missing_since: None,
                    });
                    202
                }
                Some("open")
                    if is_own(engine)
                        && engine
                            .seat
                            .as_ref()
                            .is_some_and(|s| s.members[0] == id && s.state == "ready") =>
                {
                    wait = Some(FORM_TIME);
                    202
                }
                Some("open")
                    if is_own(engine)
                        && engine.seat.as_ref().is_some_and(|s| s.state == "open") =>
                {
                    200
                }
                Some("close") if is_own(engine) => {
                    if let Some(seat) = &mut engine.seat {
                        seat.state = "ready";
                    }
                    202
                }
                Some("leave") if is_own(engine) => {
                    engine.seat = None;
                    202
                }
                Some("leave") => 200,
                Some("phase") => {
                    engine.staged = vec![call["model"].as_str().unwrap_or_default().to_owned()];
                    engine.loads_until = Some(now + load_time);
                    202
                }
                Some(_) => 409,
                None => 400,
            }
        };
        engine.orders += u64::from(status == 202);
        let line = text(status);
        world.log.push(line.clone());
        if status == 202
            && let Some(violation) = violation
        {
            world.broken.push(format!("{line}: {violation}"));
        }
        (status, wait)
    }

    /// Returns whether an engine takes a request, as the open head of a group.
    fn accept(&self, id: &str) -> bool {
        let at = self.millis();
        let mut world = self.lock();
        world.has_traffic = true;
        let Some(seat) = world.engines[id].seat.clone() else {
            return false;
        };
        if seat.members[0] != id || seat.state != "open" {
            return false;
        }
        let was_ready = |m: &String| {
            world.ready.contains(&(
                m.clone(),
                seat.group.clone(),
                seat.epoch,
                seat.members.clone(),
            ))
        };
        let is_whole =
            seat.group.split('-').nth(1) == Some(seat.members.len().to_string().as_str());
        if !is_whole || !seat.members.iter().all(was_ready) {
            world.broken.push(format!(
                "{at} ms: PARTIAL: a request runs in {} with {:?}",
                seat.group, seat.members
            ));
        }
        true
    }

    /// Ends a join or an opening, if it is still under way.
    fn finish(&self, id: &str, call: &Value) {
        {
            let mut world = self.lock();
            let engine = world.engines.get_mut(id).expect("the engine exists");
            let Some(seat) = &mut engine.seat else { return };
            if call["group"] != seat.group.as_str() || call["epoch"] != seat.epoch {
                return;
            }
            seat.state = match (call["operation"].as_str(), seat.state) {
                (Some("join"), "joining") => "ready",
                (Some("open"), "ready") => "open",
                (_, state) => state,
            };
            let seat = seat.clone();
            if seat.state == "ready" {
                world
                    .ready
                    .insert((id.to_owned(), seat.group, seat.epoch, seat.members));
            }
        }
        self.publish(id);
    }
}

fn entry(id: &str, engine: &Engine) -> Value {
    let group = engine.seat.as_ref().map(|s| {
        let rank = s.members.iter().position(|m| m == id).unwrap_or(0);
        json!({"name": s.group, "epoch": s.epoch, "rank": rank, "state": s.state})
    });
    let is_loaded = engine.seat.as_ref().is_some_and(|s| s.state != "joining");
    let models = if is_loaded {
        json!([{"name": engine.model, "version": 1, "adapters": []}])
    } else {
        json!([])
    };
    let staged = if engine.loads_until.is_some() {
        json!([])
    } else {
        json!(engine.staged)
    };
    json!({
        "service": "models", "address": engine.address, "zone": "z1", "version": "v1", "slots": 17,
        "state": "ready", "sequence": engine.sequence, "coldLeftMs": 0, "born": 1_000, "domain": "d1",
        "models": models, "staged": staged, "group": group,
    })
}

fn is_member(world: &World, id: &str, seat: &Seat) -> bool {
    let own = world.engines.get(id).and_then(|e| e.seat.as_ref());
    own.is_some_and(|s| s.group == seat.group && s.epoch == seat.epoch)
}

/// Returns the state of the head of a group, if the head is in it.
fn head_state(world: &World, seat: &Seat) -> Option<&'static str> {
    let head = world.engines.get(&seat.members[0])?.seat.as_ref()?;
    (head.group == seat.group && head.epoch == seat.epoch).then_some(head.state)
}

/// Returns what is wrong with an order, if the engine takes it.
fn violation(world: &World, id: &str, call: &Value) -> Option<String> {
    let seat = world.engines[id].seat.as_ref()?;
    let is_own = call["group"] == seat.group.as_str() && call["epoch"] == seat.epoch;
    if call["operation"] != "join" || is_own {
        return None;
    }
    let state = head_state(world, seat).filter(|s| matches!(*s, "open" | "closing"))?;
    Some(format!(
        "TWO: {id} joins another group while the head of {} is {state}",
        seat.group
    ))
}

async fn serve(mut conn: Conn, engines: Engines, id: String) {
    loop {
        let Ok(mut head) = conn.read_request_head(32 << 10).await else {
            return;
        };
        let Ok(Some(body)) = conn.read_body(&mut head.body_framing, 8 << 20).await else {
            return;
        };
        let get = |name: &str| head.headers.get(name).unwrap_or_default().to_owned();
        match head.target.as_str() {
            "/v1/order" => {
                let call: Value = serde_json::from_slice(&body).unwrap_or_default();
                let (status, wait) = engines.execute(&id, &call);
                engines.publish(&id);
                if let Some(wait) = wait {
                    let (engines, id) = (engines.clone(), id.clone());
                    tokio::task::spawn_local(async move {
                        tokio::time::sleep(wait).await;
                        engines.finish(&id, &call);
                    });
                }
                if reply(&mut conn, status, "", b"{}").await.is_err() {
                    return;
                }
            }
            "/v1/report" => {
                let report = {
                    let world = engines.lock();
                    let engine = &world.engines[&id];
                    let mut report = entry(&id, engine);
                    report["sequence"] = json!(engine.orders);
                    report
                };
                if reply(&mut conn, 200, "", report.to_string().as_bytes())
                    .await
                    .is_err()
                {
                    return;
                }
            }
            _ => {
                let is_open = engines.accept(&id);
                let request_id = get("Request-Id");
                let sent = if get("Expect-Instance") != id || !is_open {
                    reply(
                        &mut conn,
                        421,
                        &format!("Request-Id: {request_id}\r\nNot-Run: 1\r\n"),
                        b"",
                    )
                    .await
                } else {
                    stream(
                        &mut conn,
                        &request_id,
                        get("Last-Event-Id").parse().unwrap_or(0),
                    )
                    .await
                };
                if sent.is_err() {
                    return;
                }
            }
        }
    }
}

async fn stream(conn: &mut Conn, request_id: &str, from: u64) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Stamp: stamp\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    conn.write(head.as_bytes()).await?;
    for number in from + 1..=EVENTS {
        tokio::time::sleep(EVENT_INTERVAL).await;
        let mut out = Vec::new();
        http1::put_chunk(
            &mut out,
            format!("id: {number}\ndata: words\n\n").as_bytes(),
        );
        conn.write(&out).await?;
    }
    conn.write(http1::LAST_CHUNK).await
}

async fn reply(conn: &mut Conn, status: u16, headers: &str, body: &[u8]) -> std::io::Result<()> {
    let mut out = Vec::new();
    http1::put_status_line(&mut out, status, http1::reason_phrase(status));
    out.extend_from_slice(headers.as_bytes());
    http1::put_header(
        &mut out,
        "Content-Length",
        body.len().to_string().as_bytes(),
    );
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    conn.write(&out).await
}
