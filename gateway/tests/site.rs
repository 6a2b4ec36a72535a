//! A gateway before scripted endpoints and a stand-in for its agent, over loopback.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hemlock_gateway::GatewayHandle;
use hemlock_lib::chart::Charts;
use hemlock_lib::claims::{ClaimRecord, Claims};
use hemlock_lib::codec;
use hemlock_lib::engine::{Chunk, EngineCall, Held, Load};
use hemlock_lib::fleet::{Fleet, FleetChange, FleetRecord, Form};
use hemlock_lib::hash;
use hemlock_lib::ids::{Fence, Incarnation, Nonce, Offset, ReplicaId, ReplicaSeq, VmId};
use hemlock_lib::members::Member;
use hemlock_lib::peers::{Settled, Submit};
use hemlock_lib::platform::{VmListing, VmRole};
use hemlock_lib::settings::Settings;
use hemlock_lib::table::{AccountRow, ConfigRecord, Edit, GroupRow, Row, RowKey, ServiceRow};
use hemlock_lib::view::{EntryStatus, Health, View, VmStatus};
use hemlock_testutils::engine::token;
use hemlock_wire::server::{self, Server};
use ntex::util::Bytes;
use ntex::web::{self, HttpResponse, ServiceConfig, types};
use serde_json::Value;

/// Keys of the two client accounts.
pub(crate) const KEYS: [&str; 2] = ["key-1", "key-2"];
const DOMAIN: &str = "riverside";

/// What an endpoint does to one call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Act {
    /// Answers in full.
    Answer,
    /// Answers with pauses between the pieces.
    Slow(Duration),
    /// Breaks off after so many pieces.
    Cut(u64),
    /// Mixes in pieces of another attempt and repeats its own.
    Noisy,
    /// Leaves out a piece.
    Gap,
    /// Sends pieces without end.
    Endless,
    /// Sends one event that never ends.
    Oversized,
    /// Sends something that is not HTTP.
    Garbage,
    /// Refuses with this status.
    Status(u16),
    /// Reads the call and closes the connection.
    Close,
}

/// A scripted endpoint; the calls beyond its script are answered.
#[derive(Debug, Clone)]
pub(crate) struct Endpoint {
    address: String,
    calls: Arc<AtomicU32>,
    open: Arc<AtomicU32>,
}

impl Endpoint {
    pub(crate) fn spawn(script: &[Act]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = format!("http://{}", listener.local_addr().expect("it is bound"));
        let endpoint = Self {
            address,
            calls: Arc::default(),
            open: Arc::default(),
        };
        let (own, script) = (endpoint.clone(), script.to_vec());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (own, script) = (own.clone(), script.clone());
                std::thread::spawn(move || own.serve(stream, &script));
            }
        });
        endpoint
    }

    /// Returns the number of calls that it read.
    pub(crate) fn calls(&self) -> u32 {
        self.calls.load(Ordering::SeqCst)
    }

    /// Returns the number of calls that it is answering.
    pub(crate) fn open(&self) -> u32 {
        self.open.load(Ordering::SeqCst)
    }

    fn serve(&self, mut stream: TcpStream, script: &[Act]) {
        let Some(body) = read_request(&mut stream) else {
            return;
        };
        let n = self.calls.fetch_add(1, Ordering::SeqCst) as usize;
        let act = script.get(n).copied().unwrap_or(Act::Answer);
        self.open.fetch_add(1, Ordering::SeqCst);
        let _ = match serde_json::from_slice::<EngineCall>(&body) {
            Ok(call) => generate(&mut stream, act, &call),
            Err(_) => respond(&mut stream, act, &body),
        };
        self.open.fetch_sub(1, Ordering::SeqCst);
    }
}

fn read_request(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?.to_lowercase();
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    let mut body = vec![0; length.and_then(|l| l.parse().ok()).unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    Some(body)
}

fn respond(stream: &mut TcpStream, act: Act, body: &[u8]) -> std::io::Result<()> {
    let body = serde_json::json!({"done": String::from_utf8_lossy(body)}).to_string();
    let status = match act {
        Act::Close => return Ok(()),
        Act::Garbage => return stream.write_all(b"no HTTP at all\r\n\r\n"),
        Act::Cut(_) => {
            return stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nha");
        }
        Act::Slow(pause) => {
            std::thread::sleep(pause);
            200
        }
        Act::Status(status) => status,
        _ => 200,
    };
    let length = body.len();
    write!(
        stream,
        "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

fn generate(stream: &mut TcpStream, act: Act, call: &EngineCall) -> std::io::Result<()> {
    match act {
        Act::Close => return Ok(()),
        Act::Garbage => return stream.write_all(b"no HTTP at all\r\n\r\n"),
        Act::Status(status) => {
            return write!(stream, "HTTP/1.1 {status} x\r\ncontent-length: 0\r\n\r\n");
        }
        _ => {}
    }
    stream.write_all(
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
    )?;
    if act == Act::Oversized {
        loop {
            send(stream, &"x".repeat(4_096))?;
        }
    }
    for seq in call.resume_from.. {
        let done = seq >= u64::from(call.max_tokens) && act != Act::Endless;
        match act {
            Act::Cut(n) if seq >= n => return Ok(()),
            Act::Gap if seq == 1 => continue,
            Act::Slow(pause) => std::thread::sleep(pause),
            Act::Noisy => {
                piece(stream, "foreign/1", seq, "wrong", false)?;
                piece(stream, &call.attempt, seq.saturating_sub(1), "again", false)?;
            }
            _ => {}
        }
        let text = if done {
            String::new()
        } else {
            token(&call.prompt, seq)
        };
        piece(stream, &call.attempt, seq, &text, done)?;
        if done {
            break;
        }
    }
    stream.write_all(b"0\r\n\r\n")
}

fn piece(
    stream: &mut TcpStream,
    attempt: &str,
    seq: u64,
    text: &str,
    done: bool,
) -> std::io::Result<()> {
    // The first piece has nothing before it that could be repeated.
    if text == "again" && seq == 0 {
        return Ok(());
    }
    let chunk = Chunk {
        attempt: attempt.to_owned(),
        seq,
        text: text.to_owned(),
        done,
    };
    let json = serde_json::to_string(&chunk)?;
    send(stream, &format!("data: {json}\n\n"))
}

fn send(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    write!(stream, "{:x}\r\n{text}\r\n", text.len())
}

/// What the stand-in for the agent does to submitted records.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) enum LogFault {
    #[default]
    None,
    /// Not appended.
    Out,
    /// Appended, but its end is not known.
    Lost,
}

#[derive(Debug, Default)]
struct Shared {
    view: View,
    claims: Claims,
    fault: LogFault,
}

/// State of the stand-in for the agent.
#[derive(Debug, Clone, Default)]
struct Agent(Arc<Mutex<Shared>>);

impl Agent {
    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A gateway with its surroundings.
pub(crate) struct Site {
    pub(crate) url: String,
    pub(crate) gateway: Option<GatewayHandle>,
    agent: Agent,
    server: Option<Server>,
}

impl Site {
    /// Starts a gateway before one replica for each engine, and the VMs of one plain service.
    pub(crate) fn spawn(engines: &[&Endpoint], services: &[&Endpoint]) -> Self {
        let agent = Agent::default();
        let listener = server::bind("127.0.0.1:0").expect("a free port");
        let server = server::spawn("test-agent", listener, 1, agent.clone(), routes);
        let server = server.expect("the stand-in starts");
        let port = free_port();
        let url = format!("http://127.0.0.1:{port}");
        agent.lock().view = view(engines, services, &url);
        let text = settings(port, &server.address().to_string());
        let settings = Settings::parse("site.yaml", &text).expect("the settings parse");
        let charts = Charts::built_in().expect("the charts are sound");
        let gateway = hemlock_gateway::spawn(&settings, &charts).expect("the gateway starts");
        let site = Self {
            url,
            gateway: Some(gateway),
            agent,
            server: Some(server),
        };
        site.wait_ready();
        site
    }

    pub(crate) fn set_log(&self, fault: LogFault) {
        self.agent.lock().fault = fault;
    }

    /// Changes the view that the gateway sees, and waits until it has taken it.
    pub(crate) fn change_view(&self, change: impl FnOnce(&mut View)) {
        let mut shared = self.agent.lock();
        change(&mut shared.view);
        shared.view.version += 1;
        drop(shared);
        std::thread::sleep(Duration::from_millis(300));
    }

    pub(crate) fn entry_live(&self) -> bool {
        self.agent.lock().view.entries[0].live
    }

    fn wait_ready(&self) {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if self.send("GET", "/v1/entry", &[], b"").status == 200 {
                return;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("the gateway has no view after 10 s");
    }

    /// Sends a request over a connection of its own and reads the reply to its end.
    pub(crate) fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Reply {
        let mut stream = self.connect();
        let _ = stream.write_all(&request(method, path, headers, body));
        read_reply(&mut stream)
    }

    pub(crate) fn connect(&self) -> TcpStream {
        let address = self.url.strip_prefix("http://").expect("it is a URL");
        let stream = TcpStream::connect(address).expect("the gateway listens");
        let wait = Some(Duration::from_secs(20));
        stream.set_read_timeout(wait).expect("a timeout can be set");
        stream
    }

    /// Sends a chat with the first account's key.
    pub(crate) fn chat(&self, stream: bool, tokens: u32, headers: &[(&str, &str)]) -> Reply {
        let body = chat_body(stream, tokens, "hello");
        let headers = [&[AUTH], headers].concat();
        self.send("POST", "/v1/chat/completions", &headers, body.as_bytes())
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if let Some(gateway) = self.gateway.take() {
            gateway.stop();
        }
        if let Some(server) = self.server.take() {
            server.stop(false);
        }
    }
}

/// Header with the first account's key.
pub(crate) const AUTH: (&str, &str) = ("authorization", "Bearer key-1");

pub(crate) fn chat_body(stream: bool, tokens: u32, text: &str) -> String {
    serde_json::json!({
        "model": "listwriter",
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": text}],
    })
    .to_string()
}

pub(crate) fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\nhost: gateway\r\nconnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    [head.as_bytes(), body].concat()
}

/// A reply of the gateway.
#[derive(Debug, Clone)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: BTreeMap<String, String>,
    pub(crate) body: String,
    /// Whether the body came to its end.
    pub(crate) whole: bool,
}

impl Reply {
    /// Returns the numbered result code.
    pub(crate) fn code(&self) -> u64 {
        let code = self.headers.get("x-result-code");
        code.and_then(|c| c.parse().ok()).unwrap_or(0)
    }

    pub(crate) fn ran(&self) -> &str {
        self.headers.get("x-ran").map_or("", String::as_str)
    }

    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns the text of a whole chat completion.
    pub(crate) fn text(&self) -> String {
        let json = self.json();
        let text = json["choices"][0]["message"]["content"].as_str();
        text.unwrap_or_default().to_owned()
    }

    /// Returns the text of a streamed answer and how it ends: 1000 or the code of the error event.
    pub(crate) fn stream(&self) -> (String, Option<u64>) {
        let mut text = String::new();
        for event in self.body.split("\n\n") {
            let data = event.lines().find_map(|l| l.strip_prefix("data: "));
            let Some(data) = data else { continue };
            if data == "[DONE]" {
                return (text, Some(1000));
            }
            let json: Value = serde_json::from_str(data).unwrap_or_default();
            if let Some(code) = json["error"]["code"].as_u64() {
                return (text, Some(code));
            }
            let piece = json["choices"][0]["delta"]["content"].as_str();
            text.push_str(piece.unwrap_or_default());
        }
        (text, None)
    }
}

pub(crate) fn read_reply(stream: &mut TcpStream) -> Reply {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let mut lines = head.lines();
    let status = lines.next().and_then(|l| l.split(' ').nth(1));
    let headers: BTreeMap<String, String> = lines
        .filter_map(|l| l.split_once(": "))
        .map(|(name, value)| (name.to_lowercase(), value.to_owned()))
        .collect();
    let chunked = headers.contains_key("transfer-encoding");
    let (body, whole) = if chunked {
        unchunk(body)
    } else {
        let length = headers.get("content-length").and_then(|l| l.parse().ok());
        (body.to_owned(), length == Some(body.len()))
    };
    Reply {
        status: status.and_then(|s| s.parse().ok()).unwrap_or(0),
        headers,
        body,
        whole,
    }
}

fn unchunk(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, tail)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else {
            break;
        };
        if size == 0 {
            return (body, true);
        }
        let Some(piece) = tail.get(..size) else { break };
        body.push_str(piece);
        rest = tail.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}

fn routes(config: &mut ServiceConfig) {
    config
        .route("/v1/view", web::get().to(serve_view))
        .route("/v1/submit", web::post().to(serve_submit))
        .route("/{path}*", web::to(async || HttpResponse::NoContent()));
}

async fn serve_view(agent: types::State<Agent>) -> HttpResponse {
    ntex::time::sleep(ntex::time::Millis(20)).await;
    let view = codec::encode(&agent.lock().view);
    HttpResponse::Ok().body(Bytes::from(view))
}

async fn serve_submit(agent: types::State<Agent>, body: Bytes) -> HttpResponse {
    let Ok(submit) = codec::decode::<Submit>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let settled = settle(&mut agent.lock(), submit);
    HttpResponse::Ok().body(codec::encode(&settled))
}

fn settle(shared: &mut Shared, submit: Submit) -> Settled {
    let (key, record) = match submit {
        Submit::ClaimStatus { key } => (key, None),
        Submit::Claim {
            key,
            owner,
            claim,
            binding,
            change,
        } => {
            let record = ClaimRecord {
                nonce: Nonce(0),
                key,
                owner,
                claim,
                binding,
                change,
            };
            (key, Some(record))
        }
        _ => return Settled::NotAppended,
    };
    if shared.fault == LogFault::Out {
        return Settled::NotAppended;
    }
    let offset = shared.claims.next;
    let valid = record
        .as_ref()
        .is_some_and(|r| shared.claims.fold(offset, r).is_ok());
    match shared.claims.get(&key) {
        _ if shared.fault == LogFault::Lost => Settled::Unknown,
        _ if valid => Settled::Accepted { offset },
        None => Settled::ClaimFree,
        Some(held) => Settled::ClaimTaken {
            owner: held.owner.clone(),
            claim: held.claim,
            binding: held.binding.clone(),
            answer: held.answer.clone(),
            closed: held.closed,
        },
    }
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("it is bound").port()
}

pub(crate) fn settings(port: u16, agent: &str) -> String {
    format!(
        "entry: entry-0\ndomain: {DOMAIN}\ndomains: [{DOMAIN}]\n\
         platform:\n  log: http://127.0.0.1:9\n  vms: http://127.0.0.1:9\n\
         gateway:\n  listen: 127.0.0.1:{port}\n  advertise: http://127.0.0.1:{port}\n  \
         body_limit: 4096\n  keep_for_s: 1\n  drain_s: 10\n\
         agent:\n  listen: 127.0.0.1:9\n  advertise: http://{agent}\n  gossip: 127.0.0.1:9\n  \
         keys: [{{id: 1, file: none.key}}]\n"
    )
}

fn view(engines: &[&Endpoint], services: &[&Endpoint], url: &str) -> View {
    let mut view = View {
        version: 1,
        log_up: true,
        peers_up: true,
        ..View::default()
    };
    let record = ConfigRecord {
        nonce: Nonce(1),
        author: "test".to_owned(),
        at_ms: 0,
        edits: rows(engines.len() as u32),
    };
    view.table
        .fold(Offset(0), &record)
        .expect("the rows are well formed");
    view.entries = vec![
        entry("entry-0", url),
        entry("entry-1", "http://127.0.0.1:9"),
    ];
    let mut fleet = Fleet::default();
    fold(
        &mut fleet,
        FleetChange::Lease {
            holder: "entry-0".into(),
            run: Incarnation(1),
            supersedes: None,
            length_ms: 3_000,
        },
    );
    for (i, endpoint) in engines.iter().enumerate() {
        let vm = VmId::new(format!("engine-{i}"));
        let (seq, base) = (ReplicaSeq(fleet.next.0 + 1), fleet.planned);
        fold(
            &mut fleet,
            FleetChange::Assign {
                fence: Fence(1),
                base,
                form: 1,
                group: "listwriter".into(),
                version: "listwriter-v1".into(),
                span: 1,
                vms: vec![vm.clone()],
                reserve: Vec::new(),
            },
        );
        let held = Held {
            replica: ReplicaId {
                shard: DOMAIN.into(),
                seq,
            },
            fence: Fence(1),
            form: Form {
                fence: Fence(1),
                seq: 1,
            },
            version: "listwriter-v1".into(),
            rank: 0,
            ready: true,
        };
        let status = status(&vm, endpoint, VmRole::Engine, Some(held));
        view.vms.insert(vm, status);
    }
    for (i, endpoint) in services.iter().enumerate() {
        let vm = VmId::new(format!("service-{i}"));
        let role = VmRole::Service("portal-app".into());
        view.vms
            .insert(vm.clone(), status(&vm, endpoint, role, None));
    }
    view.fleets.insert(DOMAIN.into(), fleet);
    view
}

fn rows(replicas: u32) -> Vec<Edit> {
    let row = |key, row| Edit {
        key,
        base: None,
        row: Some(row),
    };
    let group = GroupRow {
        replicas,
        minimum: 0,
        downtime: 1.0,
        stranded: 1.0,
        reserve: 0,
        slots: 8,
    };
    let account = |key: &str| AccountRow {
        key_hash: hash::sha256_hex(key.as_bytes()),
        weight: 1.0,
        requests: 100_000.0,
        tokens: 10_000_000.0,
        concurrency: 10_000,
    };
    let version = hemlock_lib::table::VersionRow {
        group: "listwriter".into(),
        weight: 1.0,
        span: 1,
    };
    let mut rows = vec![
        row(RowKey::Group("listwriter".into()), Row::Group(group)),
        row(
            RowKey::Version("listwriter-v1".into()),
            Row::Version(version),
        ),
        row(
            RowKey::Service("portal-app".into()),
            Row::Service(ServiceRow { slots: 16 }),
        ),
    ];
    for key in KEYS {
        rows.push(row(RowKey::Account(key.into()), Row::Account(account(key))));
    }
    rows
}

fn entry(name: &str, url: &str) -> EntryStatus {
    EntryStatus {
        member: Member {
            entry: name.into(),
            domain: DOMAIN.into(),
            gateway: url.to_owned(),
            agent: "http://127.0.0.1:9".to_owned(),
            gossip: "127.0.0.1:9".to_owned(),
            incarnation: Incarnation(1),
            leaving: false,
        },
        live: true,
        spare: 1.0,
        config: 1,
    }
}

fn status(vm: &VmId, endpoint: &Endpoint, role: VmRole, held: Option<Held>) -> VmStatus {
    VmStatus {
        listing: VmListing {
            vm: vm.clone(),
            address: endpoint.address.clone(),
            domain: DOMAIN.into(),
            role,
            leaving: false,
        },
        health: Health::Live,
        run: Incarnation(1),
        held,
        load: Load::default(),
        silent_ms: 0,
    }
}

fn fold(fleet: &mut Fleet, change: FleetChange) {
    let offset = fleet.next;
    let record = FleetRecord {
        nonce: Nonce(offset.0),
        change,
    };
    fleet.fold(offset, &record).expect("each record is valid");
}
