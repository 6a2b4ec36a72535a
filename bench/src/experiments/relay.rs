//! Throughput, added latency and memory of the gateway beside a bare echo and a bare relay.
//!
//! All servers run in this process; the figures that count are ratios within one run.

use std::net::TcpListener;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use hemlock_lib::chart::Charts;
use hemlock_lib::engine::{Chunk, EngineCall};
use hemlock_lib::settings::Settings;
use hemlock_testutils::agent::{API_KEYS, AgentStub, GROUP, SERVICE};
use hemlock_wire::{http_client, server};
use ntex::time::Millis;
use ntex::util::Bytes;
use ntex::web::{self, HttpResponse, ServiceConfig, types};

use super::Experiment;
use crate::figure::{Figure, Options};

/// Time for each measurement.
const SPAN: Duration = Duration::from_secs(3);
/// Calls open at a time when throughput is measured.
const OPEN: usize = 32;
/// Threads of each server.
const WORKERS: usize = 2;
/// Streams held open when memory is measured.
const STREAMS: [usize; 4] = [250, 500, 1_000, 2_000];
const BODY: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";
const WAIT: Duration = Duration::from_secs(10);

/// The experiment.
pub(super) const EXPERIMENT: Experiment = Experiment {
    name: "relay",
    about: "Gateway beside a bare echo and a bare relay: throughput, latency, memory of streams",
    timed: true,
    run,
};

fn run(_: &Options) -> Vec<Figure> {
    let echo = serve("echo", String::new(), echo_routes);
    let echo_url = format!("http://{}", echo.address());
    let relay = serve("relay", echo_url.clone(), relay_routes);
    let port = free_port();
    let gateway_url = format!("http://127.0.0.1:{port}");
    let agent = AgentStub::spawn(&[&echo_url], &[&echo_url], &gateway_url);
    let agent = agent.expect("the stand-in starts");
    let settings =
        Settings::parse("relay.yaml", &agent.gateway_settings(port)).expect("they parse");
    let charts = Charts::built_in().expect("the built-in charts are sound");
    let gateway = hemlock_gateway::spawn(
        &settings,
        &charts,
        hemlock_testutils::deployments::test_keys(),
    )
    .expect("the gateway starts");
    std::thread::sleep(Duration::from_millis(500));

    let service = format!("{gateway_url}/v1/services/{SERVICE}/echo");
    let targets = [
        ("echo", format!("{echo_url}/echo")),
        ("relay", format!("http://{}/echo", relay.address())),
        ("gateway", service),
    ];
    let mut figures = Vec::new();
    let mut seen = Vec::new();
    for (name, url) in targets {
        let rate = throughput(url.clone());
        let latency = latency(url);
        figures.push(Figure::new(format!("relay.{name}.rate"), rate, "calls/s"));
        figures.push(Figure::new(format!("relay.{name}.p50_us"), latency, "us"));
        seen.push((rate, latency));
    }
    let ratio = |name: &str, value| Figure::new(format!("relay.{name}"), value, "ratio");
    figures.push(ratio("rate_to_echo", seen[2].0 / seen[0].0));
    figures.push(ratio("rate_to_relay", seen[2].0 / seen[1].0));
    let added = (seen[2].1 - seen[0].1) / (seen[1].1 - seen[0].1).max(1.0);
    figures.push(ratio("added_latency_to_relay", added));
    for streams in STREAMS {
        let direct = memory(streams, format!("{echo_url}/v1/generate"), engine_call());
        let through = memory(
            streams,
            format!("{gateway_url}/v1/chat/completions"),
            chat_call(),
        );
        for (way, (held, bytes)) in [("direct", direct), ("gateway", through)] {
            let name = format!("relay.streams.{way}.{streams}");
            figures.push(Figure::new(name, held as f64, "open"));
            let name = format!("relay.stream_bytes.{way}.{streams}");
            figures.push(Figure::new(name, bytes, "B a stream"));
        }
    }
    gateway.stop();
    agent.stop();
    relay.stop(false);
    echo.stop(false);
    figures
}

fn serve(name: &str, state: String, routes: fn(&mut ServiceConfig)) -> server::Server {
    let listener = server::bind("127.0.0.1:0").expect("a free port");
    server::spawn(name, listener, WORKERS, state, routes).expect("the server starts")
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("it is bound").port()
}

fn echo_routes(config: &mut ServiceConfig) {
    config
        .route("/echo", web::post().to(echo))
        .route("/v1/generate", web::post().to(generate));
}

fn relay_routes(config: &mut ServiceConfig) {
    config.route("/echo", web::post().to(relay));
}

async fn echo(body: Bytes) -> HttpResponse {
    HttpResponse::Ok().body(body)
}

async fn relay(to: types::State<String>, body: Bytes) -> HttpResponse {
    let url = format!("{}/echo", to.as_str());
    match http_client::post(&url, body.to_vec(), WAIT).await {
        Ok(body) => HttpResponse::Ok().body(body),
        Err(_) => HttpResponse::BadGateway().finish(),
    }
}

/// Sends one piece and then holds the stream open.
async fn generate(body: Bytes) -> HttpResponse {
    let Ok(call) = serde_json::from_slice::<EngineCall>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let pieces = futures_util::stream::unfold((0, call.attempt), |(seq, attempt)| async move {
        if seq > 0 {
            ntex::time::sleep(Millis(500)).await;
        }
        let chunk = Chunk {
            attempt: attempt.clone(),
            seq,
            text: "word ".to_owned(),
            done: false,
        };
        let json = serde_json::to_string(&chunk).ok()?;
        let event = Bytes::from(format!("data: {json}\n\n"));
        Some((Ok::<_, std::io::Error>(event), (seq + 1, attempt)))
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(Box::pin(pieces))
}

async fn call(url: &str) -> bool {
    let client = http_client::shared_client().await;
    let request = client
        .post(url)
        .bearer_auth(API_KEYS[0])
        .header("x-idempotent", "yes")
        .timeout(Millis(WAIT.as_millis() as u32));
    match request.send_body(BODY).await {
        Ok(reply) => reply.status().is_success() && reply.body().await.is_ok(),
        Err(_) => false,
    }
}

/// Returns the calls a second with [`OPEN`] of them open.
fn throughput(url: String) -> f64 {
    http_client::block_on_new_thread("relay-load", async move || {
        let end = Instant::now() + SPAN;
        let loops = (0..OPEN).map(|_| {
            let url = url.clone();
            async move {
                let mut done = 0_u64;
                while Instant::now() < end {
                    done += u64::from(call(&url).await);
                }
                done
            }
        });
        let done: u64 = futures_util::future::join_all(loops).await.iter().sum();
        done as f64 / SPAN.as_secs_f64()
    })
}

/// Returns the median time of calls made one after the other, in microseconds.
fn latency(url: String) -> f64 {
    http_client::block_on_new_thread("relay-latency", async move || {
        let mut times = Histogram::<u64>::new(3).expect("three digits are allowed");
        let end = Instant::now() + SPAN;
        while Instant::now() < end {
            let started = Instant::now();
            if call(&url).await {
                times.saturating_record(started.elapsed().as_micros() as u64);
            }
        }
        times.value_at_quantile(0.5) as f64
    })
}

fn engine_call() -> String {
    serde_json::json!({
        "attempt": "direct/1",
        "replica": {"shard": "riverside", "seq": 1},
        "prompt": "hello",
        "max_tokens": 1_000,
        "resume_from": 0,
        "priority": 0,
    })
    .to_string()
}

fn chat_call() -> String {
    serde_json::json!({
        "model": GROUP,
        "stream": true,
        "max_tokens": 1_000,
        "messages": [{"role": "user", "content": "hello"}],
    })
    .to_string()
}

/// Returns how many of `streams` streams were opened, and the resident bytes that each adds to this
/// process.
fn memory(streams: usize, url: String, body: String) -> (usize, f64) {
    http_client::block_on_new_thread("relay-memory", async move || {
        let before = resident();
        let mut open = Vec::new();
        for _ in 0..streams {
            let client = http_client::shared_client().await;
            let request = client
                .post(&url)
                .bearer_auth(API_KEYS[0])
                .timeout(Millis(10_000));
            if let Ok(reply) = request.send_body(body.clone()).await {
                open.push(reply);
            }
        }
        let held = open.iter().filter(|r| r.status().is_success()).count();
        let grown = resident().saturating_sub(before);
        drop(open);
        ntex::time::sleep(Millis(1_500)).await;
        (held, grown as f64 / held.max(1) as f64)
    })
}

/// Returns the resident set of this process in bytes.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kb = line.and_then(|l| l.trim().split(' ').next()?.parse::<u64>().ok());
    kb.unwrap_or(0) * 1_024
}
