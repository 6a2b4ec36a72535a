//! Stand-in of a model worker: orders, groups, entries in the store, and streams.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hemlock_wire::http1::{self, Conn, RequestHead};
use rand::Rng;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, spawn_local};

use crate::store::SERVERS;
use crate::world::World;

pub const SERVICE: &str = "listwriter";
pub const MODEL: &str = "m1";
pub const GROUP_SIZE: usize = 2;
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
pub const LOAD_TIME: Duration = Duration::from_secs(12);
pub const WARM_UP_TIME: Duration = Duration::from_millis(1_100);
const REJOIN_TIME: Duration = Duration::from_millis(200);
pub const FORM_TIME: Duration = Duration::from_millis(300);
const STALL_TIME: Duration = Duration::from_secs(5);
const EVENT_INTERVAL: Duration = Duration::from_millis(45);
const EVENT_COUNT: u64 = 30;
/// Time that a write to the store takes.
const WRITE_TIME: Duration = Duration::from_millis(4);

#[derive(Debug, Clone, PartialEq)]
pub struct Group {
    pub name: String,
    pub epoch: u64,
    pub rank: usize,
    pub state: &'static str,
    pub members: Vec<String>,
    pub model: String,
}

/// What becomes of the writes of a worker that is partitioned from the store.
#[derive(Debug, Clone, Copy)]
pub enum Held {
    /// They are lost.
    Lost,
    /// They are executed this many milliseconds after they were sent, drawn from the range, but not
    /// before the end of the cut.
    Late(u64, u64),
}

#[derive(Debug)]
pub struct State {
    born: u64,
    /// Number of lives that have ended.
    life: u32,
    is_down: bool,
    pub group: Option<Group>,
    pub staged: Vec<String>,
    /// Model that is being loaded onto the host, and when that began.
    pub staging: Option<(String, Instant)>,
    last_model: Option<String>,
    fence: u64,
    max_epoch: u64,
    orders: u64,
    beats: u64,
    is_opening: bool,
    streams: usize,
    /// Since when a member of the open group has been missing.
    missing_since: Option<Instant>,
    /// A cut from the store.
    pub cut: Option<(Instant, Instant, Held)>,
}

pub struct Engine {
    pub id: String,
    pub domain: String,
    pub address: SocketAddr,
    pub state: RefCell<State>,
    /// The task that accepts connections, while the worker runs.
    accepting: RefCell<Option<JoinHandle<()>>>,
}

impl Engine {
    /// Starts a worker without weights, which registers itself in the store.
    pub fn spawn(world: &Rc<World>, id: &str, domain: &str) -> Rc<Self> {
        let (listener, address) = crate::listen();
        let engine = Rc::new(Self {
            id: id.to_owned(),
            domain: domain.to_owned(),
            address,
            accepting: RefCell::default(),
            state: RefCell::new(State {
                born: unix_ms(),
                life: 0,
                is_down: false,
                group: None,
                staged: Vec::new(),
                staging: None,
                last_model: None,
                fence: 0,
                max_epoch: 0,
                orders: 0,
                beats: 0,
                is_opening: false,
                streams: 0,
                missing_since: None,
                cut: None,
            }),
        });
        world.engines.borrow_mut().push(engine.clone());
        engine.accept(world, listener);
        let (world, beating) = (world.clone(), engine.clone());
        spawn_local(async move {
            beating.publish(&world);
            tokio::time::sleep(HEARTBEAT.mul_f64(rand::rng().random_range(0.1..1.0))).await;
            loop {
                beating.publish(&world);
                tokio::time::sleep(HEARTBEAT).await;
            }
        });
        engine
    }

    fn accept(self: &Rc<Self>, world: &Rc<World>, listener: TcpListener) {
        let (world, engine) = (world.clone(), self.clone());
        let accepting = spawn_local(crate::accept(listener, move |conn| {
            serve(world.clone(), engine.clone(), conn)
        }));
        self.accepting.replace(Some(accepting));
    }

    /// Crashes the worker: its connections end, and it says nothing more.
    pub fn crash(&self, world: &World) {
        world.note(&format!("srv_crash: {}", self.id));
        if let Some(accepting) = self.accepting.take() {
            accepting.abort();
        }
        let mut state = self.state.borrow_mut();
        state.is_down = true;
        state.life += 1;
        state.group = None;
    }

    /// Starts the worker again under its id. It has what is on its host, and nothing else.
    pub fn restart(self: &Rc<Self>, world: &Rc<World>) {
        let listener = std::net::TcpListener::bind(self.address).expect("the port of before");
        listener.set_nonblocking(true).expect("a socket");
        {
            let mut state = self.state.borrow_mut();
            state.born = unix_ms();
            state.is_down = false;
            state.last_model = None;
            (state.fence, state.max_epoch, state.orders, state.beats) = (0, 0, 0, 0);
            (state.is_opening, state.missing_since) = (false, None);
        }
        world.note(&format!("{} starts again under its id", self.id));
        self.accept(world, TcpListener::from_std(listener).expect("a listener"));
        self.publish(world);
    }

    fn life(&self) -> (u32, bool) {
        let state = self.state.borrow();
        (state.life, state.is_down)
    }

    pub fn is_free(&self) -> bool {
        let state = self.state.borrow();
        state.group.is_none() && state.staged.iter().any(|m| m == MODEL)
    }

    /// Returns whether the worker is the head of a group that takes requests.
    pub fn is_open_head(&self) -> bool {
        let state = self.state.borrow();
        state
            .group
            .as_ref()
            .is_some_and(|g| g.rank == 0 && g.state == "open")
    }

    /// Returns what the worker says of itself, as in its entry.
    pub fn describe(&self) -> Value {
        let state = self.state.borrow();
        let group = state
            .group
            .as_ref()
            .map(|g| json!({"name": g.name, "epoch": g.epoch, "rank": g.rank, "state": g.state}));
        let models = state
            .group
            .as_ref()
            .map(|g| json!([{"name": g.model, "version": 1, "adapters": []}]));
        json!({
            "service": SERVICE, "address": self.address.to_string(), "zone": "riverside", "version": "v1",
            "slots": 17, "state": "ready", "coldLeftMs": 0, "phase": "both",
            "models": models.unwrap_or_else(|| json!([])), "domain": self.domain, "staged": state.staged,
            "group": group, "born": state.born, "sequence": state.beats,
        })
    }

    /// Writes the entry to the store. The worker does not wait for the answer of an earlier write that
    /// gets none.
    pub fn publish(self: &Rc<Self>, world: &Rc<World>) {
        if self.state.borrow().is_down {
            return;
        }
        self.state.borrow_mut().beats += 1;
        let entry = self.describe();
        let now = Instant::now();
        let cut = self
            .state
            .borrow()
            .cut
            .filter(|(from, until, _)| (*from..*until).contains(&now));
        let delay = match cut {
            None => WRITE_TIME,
            Some((_, _, Held::Lost)) => return,
            Some((_, until, Held::Late(least, most))) => {
                let late = Duration::from_millis(rand::rng().random_range(least..=most));
                let delay = late.max(until - now + WRITE_TIME);
                world.note(&format!(
                    "worker {}: write {} (group {}) gets no answer; executed {} ms later",
                    self.id,
                    entry["sequence"],
                    entry["group"],
                    delay.as_millis()
                ));
                delay
            }
        };
        let (world, engine) = (world.clone(), self.clone());
        spawn_local(async move {
            tokio::time::sleep(delay).await;
            if delay > WRITE_TIME {
                world.note(&format!(
                    "store: executes write {} of {}",
                    entry["sequence"], engine.id
                ));
            }
            // A store that is down does nothing.
            if world.store.is_silent() {
                return;
            }
            world
                .store
                .append(SERVERS, &engine.id, entry.to_string().as_bytes());
        });
    }

    /// Has the worker's state in its group change after a time, unless it has left it by then.
    fn change_later(
        self: &Rc<Self>,
        world: &Rc<World>,
        delay: Duration,
        epoch: u64,
        state: &'static str,
    ) {
        let (world, engine) = (world.clone(), self.clone());
        spawn_local(async move {
            tokio::time::sleep(delay).await;
            {
                let mut own = engine.state.borrow_mut();
                let Some(group) = own.group.as_mut().filter(|g| g.epoch == epoch) else {
                    return;
                };
                group.state = state;
                if state == "ready" {
                    let key = (
                        engine.id.clone(),
                        group.name.clone(),
                        epoch,
                        group.members.clone(),
                    );
                    world.ready.borrow_mut().insert(key);
                }
                let model = group.model.clone();
                own.is_opening = false;
                if !own.staged.contains(&model) {
                    own.staged = vec![model.clone()];
                }
                own.last_model = Some(model);
            }
            world.note(&format!("worker {}: epoch {epoch} is {state}", engine.id));
            engine.publish(&world);
        });
    }

    /// Carries out an order; returns the status of the answer.
    fn execute(self: &Rc<Self>, world: &Rc<World>, order: &Value) -> u16 {
        let operation = order["operation"].as_str().unwrap_or_default();
        let epoch = order["epoch"].as_u64().unwrap_or(0);
        let name = order["group"].as_str().unwrap_or_default();
        let mut state = self.state.borrow_mut();
        let fence = order["fencingToken"].as_u64().unwrap_or(0);
        if fence < state.fence {
            return 412;
        }
        state.fence = fence;
        if order["precondition"]
            .as_u64()
            .is_some_and(|n| n != state.orders)
        {
            return 409;
        }
        let is_member = state
            .group
            .as_ref()
            .is_some_and(|g| g.name == name && g.epoch == epoch);
        match operation {
            "join" => {
                let listed = order["members"].as_array().cloned().unwrap_or_default();
                let members: Vec<String> = listed
                    .iter()
                    .filter_map(|m| m.as_str().map(str::to_owned))
                    .collect();
                let Some(rank) = members.iter().position(|m| *m == self.id) else {
                    return 409;
                };
                if epoch < state.max_epoch {
                    return 412;
                }
                if let Some(own) = state.group.as_ref().filter(|_| is_member) {
                    return if own.members == members { 200 } else { 412 };
                }
                if let Some(own) = state.group.clone() {
                    drop(state);
                    self.check_join(world, &own, name);
                    state = self.state.borrow_mut();
                }
                let model = order["model"].as_str().unwrap_or_default().to_owned();
                let delay = if state.last_model.as_ref() == Some(&model) {
                    REJOIN_TIME
                } else if state.staged.contains(&model) {
                    WARM_UP_TIME
                } else if world.has_traffic.get() {
                    LOAD_TIME
                } else {
                    LOAD_TIME / 10
                };
                state.max_epoch = epoch;
                state.orders += 1;
                state.is_opening = false;
                state.missing_since = None;
                state.group = Some(Group {
                    name: name.to_owned(),
                    epoch,
                    rank,
                    state: "joining",
                    members,
                    model,
                });
                drop(state);
                self.publish(world);
                self.change_later(world, delay, epoch, "ready");
                202
            }
            "open" => {
                let Some(group) = state.group.as_ref().filter(|_| is_member) else {
                    return 409;
                };
                match group.state {
                    _ if group.rank != 0 => return 409,
                    "open" => return 200,
                    "ready" if state.is_opening => return 200,
                    "ready" => {}
                    _ => return 409,
                }
                state.is_opening = true;
                state.orders += 1;
                drop(state);
                self.change_later(world, FORM_TIME, epoch, "open");
                202
            }
            "close" if is_member => {
                let is_busy = state.streams > 0;
                if let Some(group) = state.group.as_mut() {
                    group.state = if is_busy { "closing" } else { "ready" };
                }
                state.orders += 1;
                drop(state);
                self.publish(world);
                202
            }
            "leave" if is_member => {
                state.group = None;
                state.is_opening = false;
                state.orders += 1;
                drop(state);
                self.publish(world);
                200
            }
            "leave" => 200,
            "phase" => {
                let model = order["model"].as_str().unwrap_or_default().to_owned();
                if state.staged.contains(&model) {
                    return 200;
                }
                if state.staging.is_some() {
                    return 409;
                }
                state.staging = Some((model.clone(), Instant::now()));
                state.orders += 1;
                drop(state);
                let time = if world.has_traffic.get() {
                    LOAD_TIME
                } else {
                    LOAD_TIME / 10
                };
                let (world, engine) = (world.clone(), self.clone());
                spawn_local(async move {
                    tokio::time::sleep(time).await;
                    {
                        let mut state = engine.state.borrow_mut();
                        state.staging = None;
                        state.staged = vec![model];
                    }
                    world.note(&format!("worker {}: weights are on the host", engine.id));
                    engine.publish(&world);
                });
                202
            }
            _ => 409,
        }
    }

    /// Checks the rule TWO for a worker in the group `own` that takes a join of another one.
    fn check_join(&self, world: &World, own: &Group, name: &str) {
        let Some(head) = own.members.first().and_then(|head| world.engine(head)) else {
            return;
        };
        let state = head.state.borrow();
        let of_head = state
            .group
            .as_ref()
            .filter(|g| g.name == own.name && g.epoch == own.epoch);
        if let Some(of_head) = of_head
            && matches!(of_head.state, "open" | "closing")
        {
            world.violate(format!(
                "TWO: worker {} of group {} takes a join of {name} while its head {} is {} with {} streams",
                self.id, own.name, head.id, of_head.state, state.streams
            ));
        }
    }

    /// Checks the rule PARTIAL for a request that begins to run in a group.
    fn check_run(&self, world: &World, group: &Group, request: &str) {
        let was_ready = world.ready.borrow();
        for member in &group.members {
            let key = (
                member.clone(),
                group.name.clone(),
                group.epoch,
                group.members.clone(),
            );
            if !was_ready.contains(&key) {
                world.violate(format!(
                    "PARTIAL: {request} runs at {} in group {} of {:?}, whose member {member} has never been \
                     ready under that name, epoch and list",
                    self.id, group.name, group.members
                ));
            }
        }
        if group.members.len() != GROUP_SIZE {
            world.violate(format!(
                "PARTIAL: {request} runs in group {} of {:?}",
                group.name, group.members
            ));
        }
    }

    /// Has the head of an open group give up once a member has been missing for the stall time.
    pub fn check_members(self: &Rc<Self>, world: &Rc<World>) {
        let Some(group) = self.state.borrow().group.clone() else {
            return;
        };
        if group.rank != 0 || !matches!(group.state, "open" | "closing") {
            return;
        }
        let is_here = |id: &String| {
            let engine = world.engine(id);
            engine.is_some_and(|e| {
                e.state
                    .borrow()
                    .group
                    .as_ref()
                    .is_some_and(|g| g.name == group.name && g.epoch == group.epoch)
            })
        };
        let are_here = group.members.iter().all(is_here);
        let mut state = self.state.borrow_mut();
        if are_here {
            state.missing_since = None;
            return;
        }
        let since = *state.missing_since.get_or_insert(Instant::now());
        if since.elapsed() >= STALL_TIME {
            if let Some(own) = state.group.as_mut() {
                own.state = "broken";
            }
            drop(state);
            world.note(&format!(
                "worker {}: group {} is broken",
                self.id, group.name
            ));
            self.publish(world);
        }
    }
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(1, |t| t.as_millis() as u64)
}

async fn serve(world: Rc<World>, engine: Rc<Engine>, mut conn: Conn) {
    let life = engine.life();
    while let Ok(mut head) = conn.read_request_head(32 << 10).await {
        if engine.life() != life {
            return;
        }
        let Ok(Some(body)) = conn.read_body(&mut head.body_framing, 4 << 20).await else {
            return;
        };
        let is_open = match head.target.as_str() {
            "/v1/order" => {
                let order: Value = serde_json::from_slice(&body).unwrap_or_default();
                let status = engine.execute(&world, &order);
                world.note(&format!("worker {}: order {order} -> {status}", engine.id));
                crate::reply(&mut conn, status, "", b"{}").await.is_ok()
            }
            "/v1/report" => {
                let mut report = engine.describe();
                {
                    let state = engine.state.borrow();
                    report["sequence"] = json!(state.orders);
                    report["busy"] = json!(state.staging.is_some());
                    report["active"] = json!(state.streams);
                    report["queued"] = json!(0);
                }
                crate::reply(&mut conn, 200, "", report.to_string().as_bytes())
                    .await
                    .is_ok()
            }
            _ => run(&world, &engine, &head, &mut conn).await,
        };
        if !is_open {
            return;
        }
    }
}

/// Runs a request as a stream of events; returns whether the connection can be used again.
async fn run(world: &Rc<World>, engine: &Rc<Engine>, head: &RequestHead, conn: &mut Conn) -> bool {
    let get = |name: &str| head.headers.get(name).unwrap_or_default().to_owned();
    let id = get("Request-Id");
    let refusal = format!("Request-Id: {id}\r\nNot-Run: 1\r\n");
    if get("Expect-Instance") != engine.id {
        return crate::reply(conn, 421, &refusal, b"").await.is_ok();
    }
    let group = engine.state.borrow().group.clone();
    let group = match group {
        Some(group) if group.rank == 0 && group.state == "open" => group,
        Some(group) if group.state == "broken" => {
            return crate::reply(conn, 503, &refusal, b"").await.is_ok();
        }
        _ => return crate::reply(conn, 421, &refusal, b"").await.is_ok(),
    };
    world.note(&format!(
        "worker {}: runs {id} from {:?}",
        engine.id,
        get("Last-Event-Id")
    ));
    engine.check_run(world, &group, &id);
    engine.state.borrow_mut().streams += 1;
    let sent = stream(
        world,
        engine,
        &group,
        &id,
        get("Last-Event-Id").parse().unwrap_or(0),
        conn,
    )
    .await;
    engine.state.borrow_mut().streams -= 1;
    let is_closed = {
        let mut state = engine.state.borrow_mut();
        let is_idle = state.streams == 0;
        state
            .group
            .as_mut()
            .filter(|g| is_idle && g.state == "closing")
            .map(|g| g.state = "ready")
            .is_some()
    };
    if is_closed {
        engine.publish(world);
    }
    sent
}

async fn stream(
    world: &Rc<World>,
    engine: &Rc<Engine>,
    group: &Group,
    id: &str,
    last: u64,
    conn: &mut Conn,
) -> bool {
    let life = engine.life().0;
    let text = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp-{}\r\nWeight-Versions: 1\r\n\
         Content-Type: text/event-stream\r\nKeep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n",
        engine.id
    );
    if conn.write(text.as_bytes()).await.is_err() {
        return false;
    }
    for number in last + 1..=EVENT_COUNT {
        tokio::select! {
            () = tokio::time::sleep(EVENT_INTERVAL) => {}
            read = conn.fill() => if !matches!(read, Ok(1..)) { return false },
        }
        // Nothing moves while a member is missing, until the head gives up.
        loop {
            let state = engine.state.borrow();
            let own = state
                .group
                .as_ref()
                .filter(|g| g.epoch == group.epoch && g.state != "broken");
            let is_moving = own.is_some() && state.missing_since.is_none();
            let is_over = own.is_none();
            let is_down = state.life != life;
            drop(state);
            if is_down {
                return false;
            }
            if is_over {
                world.note(&format!(
                    "worker {}: cuts off {id} after event {}",
                    engine.id,
                    number - 1
                ));
                return false;
            }
            if is_moving {
                break;
            }
            tokio::select! {
                () = tokio::time::sleep(EVENT_INTERVAL) => {}
                read = conn.fill() => if !matches!(read, Ok(1..)) { return false },
            }
        }
        let mut out = Vec::new();
        http1::put_chunk(
            &mut out,
            format!("id: {number}\ndata: token {number}\n\n").as_bytes(),
        );
        if conn.write(&out).await.is_err() {
            return false;
        }
    }
    conn.write(http1::LAST_CHUNK).await.is_ok()
}
