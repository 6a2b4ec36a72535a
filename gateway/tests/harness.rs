//! A gateway before scripted endpoints and a stand-in for its agent, over loopback.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use hemlock_gateway::GatewayHandle;
use hemlock_lib::chart::Charts;
use hemlock_lib::engine::{Chunk, EngineCall};
use hemlock_lib::settings::Settings;
use hemlock_lib::view::View;
use hemlock_testutils::agent::{AgentStub, LogFault};
use hemlock_testutils::engine::token;
use serde_json::Value;

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

/// A gateway with its surroundings.
pub(crate) struct Site {
    pub(crate) url: String,
    pub(crate) gateway: Option<GatewayHandle>,
    pub(crate) agent: Option<AgentStub>,
}

impl Site {
    /// Starts a gateway before one replica for each engine, and the VMs of one plain service.
    pub(crate) fn spawn(engines: &[&Endpoint], services: &[&Endpoint]) -> Self {
        let port = hemlock_testutils::ports::free_port();
        let url = format!("http://127.0.0.1:{port}");
        let addresses =
            |all: &[&Endpoint]| -> Vec<String> { all.iter().map(|e| e.address.clone()).collect() };
        let (engines, services) = (addresses(engines), addresses(services));
        let engines: Vec<&str> = engines.iter().map(String::as_str).collect();
        let services: Vec<&str> = services.iter().map(String::as_str).collect();
        let agent = AgentStub::spawn(&engines, &services, &url).expect("the stand-in starts");
        let settings = agent.settings(port);
        let settings = Settings::parse("site.yaml", &settings).expect("the settings parse");
        let charts = Charts::built_in().expect("the charts are sound");
        let gateway =
            hemlock_gateway::spawn(&settings, &charts, hemlock_testutils::scenario::test_keys())
                .expect("the gateway starts");
        let site = Self {
            url,
            gateway: Some(gateway),
            agent: Some(agent),
        };
        site.wait_ready();
        site
    }

    pub(crate) fn set_log(&self, fault: LogFault) {
        if let Some(agent) = &self.agent {
            agent.set_log(fault);
        }
    }

    /// Changes the view that the gateway sees, and waits until it has taken it.
    pub(crate) fn change_view(&self, change: impl FnOnce(&mut View)) {
        if let Some(agent) = &self.agent {
            agent.change_view(change);
        }
        std::thread::sleep(Duration::from_millis(300));
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
        if let Some(agent) = self.agent.take() {
            agent.stop();
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
