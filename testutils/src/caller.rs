//! A caller that checks each answer against the right one.

use std::time::{Duration, Instant};

use hemlock_wire::http_client;
use ntex::client::error::ClientError;
use ntex::time::Millis;
use serde_json::{Value, json};
use uuid::Uuid;

use crate::engine;

/// Time without a word from the system after which a caller gives up.
const SILENCE: Millis = Millis(15_000);

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// The whole right answer came.
    Answered,
    /// An answer came that is wrong or cut short without an error.
    Wrong,
    /// The system refused, with this code.
    Refused(u64),
    /// The connection failed.
    Lost,
    /// Nothing came for longer than any answer may take.
    Silent,
}

/// What a caller saw of one call.
#[derive(Debug, Clone)]
pub struct CallReport {
    /// How it ended.
    pub end: CallEnd,
    /// Time to the first token.
    pub time_to_first_token: Option<Duration>,
    /// Times between tokens.
    pub token_gaps: Vec<Duration>,
}

/// Streams a chat completion and checks the answer.
pub async fn stream_chat(
    gateway: &str,
    key: &str,
    model: &str,
    text: &str,
    tokens: u32,
) -> CallReport {
    let started = Instant::now();
    let mut report = CallReport {
        end: CallEnd::Lost,
        time_to_first_token: None,
        token_gaps: Vec::new(),
    };
    let body = json!({
        "model": model,
        "stream": true,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": text}],
    });
    let client = http_client::shared_client().await;
    let request = client
        .post(format!("{gateway}/v1/chat/completions"))
        .bearer_auth(key);
    let reply = match request.timeout(SILENCE).send_json(&body).await {
        Ok(reply) => reply,
        Err(e) => {
            report.end = lost(&e);
            return report;
        }
    };
    if !reply.status().is_success() {
        let error = reply
            .body()
            .await
            .ok()
            .and_then(|b| serde_json::from_slice::<Value>(&b).ok());
        let code = error.and_then(|e| e["error"]["code"].as_u64());
        report.end = code.map_or(CallEnd::Lost, CallEnd::Refused);
        return report;
    }
    let mut payload = reply.take_payload();
    let mut stream = String::new();
    let mut answer = String::new();
    let mut last = started;
    loop {
        let bytes = match ntex::time::timeout(SILENCE, payload.recv()).await {
            Ok(Some(Ok(bytes))) => bytes,
            Ok(_) => break,
            Err(_) => {
                report.end = CallEnd::Silent;
                return report;
            }
        };
        stream.push_str(&String::from_utf8_lossy(&bytes));
        while let Some(end) = stream.find("\n\n") {
            let event: String = stream.drain(..end + 2).collect();
            match parse(&event) {
                Event::Text(text) => {
                    let now = Instant::now();
                    match report.time_to_first_token {
                        None => report.time_to_first_token = Some(now - started),
                        Some(_) => report.token_gaps.push(now - last),
                    }
                    last = now;
                    answer.push_str(&text);
                }
                Event::Done => {
                    let right = engine::expected_answer(&format!("user: {text}"), tokens.into());
                    report.end = if answer == right {
                        CallEnd::Answered
                    } else {
                        CallEnd::Wrong
                    };
                    return report;
                }
                Event::Error(code) => {
                    report.end = CallEnd::Refused(code);
                    return report;
                }
                Event::Other => {}
            }
        }
    }
    report.end = CallEnd::Wrong;
    report
}

/// Makes a non-idempotent call to a plain service; the answer must name `text`.
pub async fn call_service(
    gateway: &str,
    key: &str,
    service: &str,
    id: Uuid,
    text: &str,
) -> CallEnd {
    let client = http_client::shared_client().await;
    let url = format!("{gateway}/v1/services/{service}/claims");
    let request = client
        .post(url)
        .bearer_auth(key)
        .header("idempotency-key", id.to_string());
    let reply = match request.timeout(SILENCE).send_body(text.to_owned()).await {
        Ok(reply) => reply,
        Err(e) => return lost(&e),
    };
    let Ok(body) = reply.body().await else {
        return CallEnd::Lost;
    };
    let Ok(value) = serde_json::from_slice::<Value>(&body) else {
        return CallEnd::Wrong;
    };
    if let Some(code) = value["error"]["code"].as_u64() {
        return CallEnd::Refused(code);
    }
    if value["done"] == text {
        CallEnd::Answered
    } else {
        CallEnd::Wrong
    }
}

fn lost(error: &ClientError) -> CallEnd {
    match error {
        ClientError::Timeout => CallEnd::Silent,
        _ => CallEnd::Lost,
    }
}

enum Event {
    Text(String),
    Done,
    Error(u64),
    Other,
}

fn parse(event: &str) -> Event {
    let Some(data) = event.lines().find_map(|l| l.strip_prefix("data: ")) else {
        return Event::Other;
    };
    if data == "[DONE]" {
        return Event::Done;
    }
    let Ok(value) = serde_json::from_str::<Value>(data) else {
        return Event::Other;
    };
    if let Some(code) = value["error"]["code"].as_u64() {
        return Event::Error(code);
    }
    match value["choices"][0]["delta"]["content"].as_str() {
        Some(text) => Event::Text(text.to_owned()),
        None => Event::Other,
    }
}
