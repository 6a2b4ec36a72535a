//! Throughput, added latency and memory of the gateway, compared with an echo server and a minimal
//! relay.
//!
//! All servers run in this process. Only ratios within one run can be compared between machines.

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

/// Duration of each measurement.
const MEASUREMENT: Duration = Duration::from_secs(3);
/// Concurrent calls during the measurement of throughput.
const CONCURRENCY: usize = 32;
/// Threads of each server.
const SERVER_THREADS: usize = 2;
/// Numbers of streams that are open during the measurements of memory.
const STREAM_COUNTS: [usize; 4] = [250, 500, 1_000, 2_000];
/// Body of each echoed call.
const ECHO_BODY: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The experiment.
pub(super) const EXPERIMENT: Experiment = Experiment {
    name: "relay",
    about: "Gateway compared with an echo server and a minimal relay: throughput, latency, memory of streams",
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
    let agent = agent.expect("the agent stub starts");
    let settings = Settings::parse("relay.yaml", &agent.gateway_settings(port))
        .expect("the settings are valid");
    let charts = Charts::built_in().expect("the built-in charts are valid");
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
    let mut measured = Vec::new();
    for (name, url) in targets {
        let rate = throughput(url.clone());
        let latency = latency(url);
        figures.push(Figure::new(format!("relay.{name}.rate"), rate, "calls/s"));
        figures.push(Figure::new(format!("relay.{name}.p50_us"), latency, "us"));
        measured.push((rate, latency));
    }
    let ratio = |name: &str, value| Figure::new(format!("relay.{name}"), value, "ratio");
    figures.push(ratio("rate_to_echo", measured[2].0 / measured[0].0));
    figures.push(ratio("rate_to_relay", measured[2].0 / measured[1].0));
    let added = (measured[2].1 - measured[0].1) / (measured[1].1 - measured[0].1).max(1.0);
    figures.push(ratio("added_latency_to_relay", added));
    for streams in STREAM_COUNTS {
        let direct =
            measure_stream_memory(streams, format!("{echo_url}/v1/generate"), engine_call());
        let through_gateway = measure_stream_memory(
            streams,
            format!("{gateway_url}/v1/chat/completions"),
            chat_call(),
        );
        for (path, (open_count, bytes)) in [("direct", direct), ("gateway", through_gateway)] {
            let name = format!("relay.streams.{path}.{streams}");
            figures.push(Figure::new(name, open_count as f64, "open"));
            let name = format!("relay.stream_bytes.{path}.{streams}");
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
    server::spawn(name, listener, SERVER_THREADS, state, routes).expect("the server starts")
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("the listener is bound").port()
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
    match http_client::post(&url, body.to_vec(), CALL_TIMEOUT).await {
        Ok(body) => HttpResponse::Ok().body(body),
        Err(_) => HttpResponse::BadGateway().finish(),
    }
}

/// Streams one token at once and then one every 500 ms, without an end.
async fn generate(body: Bytes) -> HttpResponse {
    let Ok(call) = serde_json::from_slice::<EngineCall>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let chunks = futures_util::stream::unfold((0, call.attempt), |(seq, attempt)| async move {
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
        .streaming(Box::pin(chunks))
}

async fn echo_call(url: &str) -> bool {
    let client = http_client::shared_client().await;
    let request = client
        .post(url)
        .bearer_auth(API_KEYS[0])
        .header("x-idempotent", "yes")
        .timeout(Millis(CALL_TIMEOUT.as_millis() as u32));
    match request.send_body(ECHO_BODY).await {
        Ok(reply) => reply.status().is_success() && reply.body().await.is_ok(),
        Err(_) => false,
    }
}

/// Returns the successful calls a second with [`CONCURRENCY`] calls open at a time.
fn throughput(url: String) -> f64 {
    http_client::block_on_new_thread("relay-load", async move || {
        let end = Instant::now() + MEASUREMENT;
        let loops = (0..CONCURRENCY).map(|_| {
            let url = url.clone();
            async move {
                let mut done = 0_u64;
                while Instant::now() < end {
                    done += u64::from(echo_call(&url).await);
                }
                done
            }
        });
        let done: u64 = futures_util::future::join_all(loops).await.iter().sum();
        done as f64 / MEASUREMENT.as_secs_f64()
    })
}

/// Returns the median time of sequential successful calls, in microseconds.
fn latency(url: String) -> f64 {
    http_client::block_on_new_thread("relay-latency", async move || {
        let mut times = Histogram::<u64>::new(3).expect("three significant digits are valid");
        let end = Instant::now() + MEASUREMENT;
        while Instant::now() < end {
            let started = Instant::now();
            if echo_call(&url).await {
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

/// Opens `streams` streams. Returns how many of them succeeded, and by how many bytes each increased
/// the resident set of this process.
fn measure_stream_memory(streams: usize, url: String, body: String) -> (usize, f64) {
    http_client::block_on_new_thread("relay-memory", async move || {
        let before = resident_bytes();
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
        let open_count = open.iter().filter(|r| r.status().is_success()).count();
        let added_bytes = resident_bytes().saturating_sub(before);
        drop(open);
        ntex::time::sleep(Millis(1_500)).await;
        (open_count, added_bytes as f64 / open_count.max(1) as f64)
    })
}

/// Returns the resident set of this process in bytes, or 0 if it can't be read.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kb = line.and_then(|l| l.trim().split(' ').next()?.parse::<u64>().ok());
    kb.unwrap_or(0) * 1_024
}
