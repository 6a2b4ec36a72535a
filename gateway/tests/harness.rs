//! Test harness: a gateway with scripted endpoints and a stub of its agent, over loopback.

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
use hemlock_testutils::engine::expected_token;
use serde_json::Value;

/// How a scripted endpoint responds to one call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Behaviour {
    /// Answers in full.
    Answer,
    /// Answers with this pause before each chunk, or before the answer of a plain service.
    Slow(Duration),
    /// Closes the connection after this many chunks, or within the answer of a plain service.
    Cut(u64),
    /// Closes the connection after this many bytes of its answer's head.
    CutHead(usize),
    /// Mixes in chunks of another attempt and repeats its own.
    StrayChunks,
    /// Leaves out a chunk.
    Gap,
    /// Never stops sending chunks.
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

/// An endpoint that responds to its n-th call by the n-th entry of a script, and answers all
/// further calls in full.
#[derive(Debug, Clone)]
pub(crate) struct Endpoint {
    address: String,
    calls: Arc<AtomicU32>,
    open: Arc<AtomicU32>,
}

impl Endpoint {
    pub(crate) fn spawn(script: &[Behaviour]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = format!("http://{}", listener.local_addr().expect("it is bound"));
        let endpoint = Self {
            address,
            calls: Arc::default(),
            open: Arc::default(),
        };
        let (handler, script) = (endpoint.clone(), script.to_vec());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (handler, script) = (handler.clone(), script.clone());
                std::thread::spawn(move || handler.serve(stream, &script));
            }
        });
        endpoint
    }

    /// Returns the number of calls received so far.
    pub(crate) fn calls(&self) -> u32 {
        self.calls.load(Ordering::SeqCst)
    }

    /// Returns the number of calls being answered now.
    pub(crate) fn open(&self) -> u32 {
        self.open.load(Ordering::SeqCst)
    }

    fn serve(&self, mut stream: TcpStream, script: &[Behaviour]) {
        let Some(body) = read_request(&mut stream) else {
            return;
        };
        let index = self.calls.fetch_add(1, Ordering::SeqCst) as usize;
        let behaviour = script.get(index).copied().unwrap_or(Behaviour::Answer);
        self.open.fetch_add(1, Ordering::SeqCst);
        let _ = match serde_json::from_slice::<EngineCall>(&body) {
            Ok(call) => respond_as_engine(&mut stream, behaviour, &call),
            Err(_) => respond_as_service(&mut stream, behaviour, &body),
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

/// Returns the head of a plain service's answer.
pub(crate) fn service_head(status: u16, length: usize) -> String {
    format!(
        "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n"
    )
}

/// Responds to a call to a plain service.
fn respond_as_service(
    stream: &mut TcpStream,
    behaviour: Behaviour,
    body: &[u8],
) -> std::io::Result<()> {
    let body = serde_json::json!({"done": String::from_utf8_lossy(body)}).to_string();
    let status = match behaviour {
        Behaviour::Close => return Ok(()),
        Behaviour::Garbage => return stream.write_all(b"no HTTP at all\r\n\r\n"),
        Behaviour::Cut(_) => {
            return stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nha");
        }
        Behaviour::Slow(pause) => {
            std::thread::sleep(pause);
            200
        }
        Behaviour::Status(status) => status,
        _ => 200,
    };
    let head = service_head(status, body.len());
    if let Behaviour::CutHead(length) = behaviour {
        return stream.write_all(&head.as_bytes()[..length]);
    }
    write!(stream, "{head}{body}")
}

/// Responds to a call to a model engine.
fn respond_as_engine(
    stream: &mut TcpStream,
    behaviour: Behaviour,
    call: &EngineCall,
) -> std::io::Result<()> {
    match behaviour {
        Behaviour::Close => return Ok(()),
        Behaviour::Garbage => return stream.write_all(b"no HTTP at all\r\n\r\n"),
        Behaviour::Status(status) => {
            return write!(stream, "HTTP/1.1 {status} x\r\ncontent-length: 0\r\n\r\n");
        }
        _ => {}
    }
    stream.write_all(
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
    )?;
    if behaviour == Behaviour::Oversized {
        loop {
            send_transfer_chunk(stream, &"x".repeat(4_096))?;
        }
    }
    for seq in call.resume_from.. {
        let done = seq >= u64::from(call.max_tokens) && behaviour != Behaviour::Endless;
        match behaviour {
            Behaviour::Cut(n) if seq >= n => return Ok(()),
            Behaviour::Gap if seq == 1 => continue,
            Behaviour::Slow(pause) => std::thread::sleep(pause),
            Behaviour::StrayChunks => {
                send_chunk(stream, "foreign/1", seq, "wrong", false)?;
                send_chunk(stream, &call.attempt, seq.saturating_sub(1), "again", false)?;
            }
            _ => {}
        }
        let text = if done {
            String::new()
        } else {
            expected_token(&call.prompt, seq)
        };
        send_chunk(stream, &call.attempt, seq, &text, done)?;
        if done {
            break;
        }
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Sends a chunk as an event.
fn send_chunk(
    stream: &mut TcpStream,
    attempt: &str,
    seq: u64,
    text: &str,
    done: bool,
) -> std::io::Result<()> {
    // No chunk precedes the first one, so there is none to repeat.
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
    send_transfer_chunk(stream, &format!("data: {json}\n\n"))
}

/// Sends text as one chunk of the chunked transfer coding.
fn send_transfer_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    write!(stream, "{:x}\r\n{text}\r\n", text.len())
}

/// A running gateway and the stub of its agent. Dropping it stops those that no test has taken out.
pub(crate) struct Harness {
    pub(crate) url: String,
    pub(crate) gateway: Option<GatewayHandle>,
    pub(crate) agent: Option<AgentStub>,
}

impl Harness {
    /// Starts a gateway that routes to one replica for each engine and to the VMs of one plain
    /// service.
    pub(crate) fn spawn(engines: &[&Endpoint], services: &[&Endpoint]) -> Self {
        let port = hemlock_testutils::ports::free_port();
        let url = format!("http://127.0.0.1:{port}");
        let addresses =
            |all: &[&Endpoint]| -> Vec<String> { all.iter().map(|e| e.address.clone()).collect() };
        let (engines, services) = (addresses(engines), addresses(services));
        let engines: Vec<&str> = engines.iter().map(String::as_str).collect();
        let services: Vec<&str> = services.iter().map(String::as_str).collect();
        let agent = AgentStub::spawn(&engines, &services, &url).expect("the agent stub starts");
        let settings = agent.gateway_settings(port);
        let settings = Settings::parse("site.yaml", &settings).expect("the settings parse");
        let charts = Charts::built_in().expect("the charts are sound");
        let gateway = hemlock_gateway::spawn(
            &settings,
            &charts,
            hemlock_testutils::deployments::test_keys(),
        )
        .expect("the gateway starts");
        let harness = Self {
            url,
            gateway: Some(gateway),
            agent: Some(agent),
        };
        harness.wait_until_ready();
        harness
    }

    pub(crate) fn set_log_fault(&self, fault: LogFault) {
        if let Some(agent) = &self.agent {
            agent.set_log_fault(fault);
        }
    }

    /// Changes the view that the agent serves, and gives the gateway 300 ms to receive it.
    pub(crate) fn change_view(&self, change: impl FnOnce(&mut View)) {
        if let Some(agent) = &self.agent {
            agent.change_view(change);
        }
        std::thread::sleep(Duration::from_millis(300));
    }

    fn wait_until_ready(&self) {
        let deadline = Instant::now() + Duration::from_secs(10);
        while Instant::now() < deadline {
            if self.send("GET", "/v1/entry", &[], b"").status == 200 {
                return;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("the gateway has no view after 10 s");
    }

    /// Sends a request over a new connection and reads the reply to its end.
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

    /// Sends a chat completion request with the API key of the first client account.
    pub(crate) fn chat(&self, stream: bool, tokens: u32, headers: &[(&str, &str)]) -> Reply {
        let body = chat_body(stream, tokens, "hello");
        let headers = [&[AUTH], headers].concat();
        self.send("POST", "/v1/chat/completions", &headers, body.as_bytes())
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        if let Some(gateway) = self.gateway.take() {
            gateway.stop();
        }
        if let Some(agent) = self.agent.take() {
            agent.stop();
        }
    }
}

/// Header with the API key of the first client account.
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
    /// Whether the body was received to its end.
    pub(crate) complete: bool,
}

impl Reply {
    /// Returns the numbered result code, or 0 if there is none.
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

    /// Returns the text of a chat completion that was not streamed.
    pub(crate) fn text(&self) -> String {
        let json = self.json();
        let text = json["choices"][0]["message"]["content"].as_str();
        text.unwrap_or_default().to_owned()
    }

    /// Returns the text of a streamed answer and the code with which it ends: 1000 if it is
    /// complete, the code of the error event, or `None` if the stream just ends.
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
    let (body, complete) = if chunked {
        decode_chunked(body)
    } else {
        let length = headers.get("content-length").and_then(|l| l.parse().ok());
        (body.to_owned(), length == Some(body.len()))
    };
    Reply {
        status: status.and_then(|s| s.parse().ok()).unwrap_or(0),
        headers,
        body,
        complete,
    }
}

/// Returns the decoded chunked body and whether it is complete.
fn decode_chunked(mut rest: &str) -> (String, bool) {
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
