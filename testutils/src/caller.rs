//! A caller that compares each answer with the expected one.

use std::time::{Duration, Instant};

use hemlock_wire::http_client;
use ntex::client::error::ClientError;
use ntex::time::Millis;
use serde_json::{Value, json};
use uuid::Uuid;

use crate::engine;

/// Time without data from the system after which a caller gives up, in milliseconds.
const RECEIVE_TIMEOUT: Millis = Millis(15_000);

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// The whole expected answer arrived.
    Answered,
    /// The answer was wrong, or ended early without an error.
    Wrong,
    /// The system refused the call with this error code.
    Refused(u64),
    /// The connection failed, or the refusal had no error code.
    Lost,
    /// No data arrived within the time limit of the caller.
    Silent,
}

/// Result of one call as its caller saw it.
#[derive(Debug, Clone)]
pub struct CallReport {
    /// How the call ended.
    pub end: CallEnd,
    /// Time from the call until the first token, if one arrived.
    pub time_to_first_token: Option<Duration>,
    /// Times between consecutive tokens.
    pub token_gaps: Vec<Duration>,
}

/// Streams a chat completion and compares its text with the expected answer.
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
    let reply = match request.timeout(RECEIVE_TIMEOUT).send_json(&body).await {
        Ok(reply) => reply,
        Err(e) => {
            report.end = call_end_of(&e);
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
    let mut last_token_at = started;
    loop {
        let bytes = match ntex::time::timeout(RECEIVE_TIMEOUT, payload.recv()).await {
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
            match parse_event(&event) {
                StreamEvent::Text(text) => {
                    let now = Instant::now();
                    match report.time_to_first_token {
                        None => report.time_to_first_token = Some(now - started),
                        Some(_) => report.token_gaps.push(now - last_token_at),
                    }
                    last_token_at = now;
                    answer.push_str(&text);
                }
                StreamEvent::Done => {
                    let expected = engine::expected_answer(&format!("user: {text}"), tokens.into());
                    report.end = if answer == expected {
                        CallEnd::Answered
                    } else {
                        CallEnd::Wrong
                    };
                    return report;
                }
                StreamEvent::Error(code) => {
                    report.end = CallEnd::Refused(code);
                    return report;
                }
                StreamEvent::Other => {}
            }
        }
    }
    report.end = CallEnd::Wrong;
    report
}

/// Makes a non-idempotent call to a plain service with the idempotency key `id`. The answer must
/// repeat `text`.
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
    let reply = match request
        .timeout(RECEIVE_TIMEOUT)
        .send_body(text.to_owned())
        .await
    {
        Ok(reply) => reply,
        Err(e) => return call_end_of(&e),
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

fn call_end_of(error: &ClientError) -> CallEnd {
    match error {
        ClientError::Timeout => CallEnd::Silent,
        _ => CallEnd::Lost,
    }
}

enum StreamEvent {
    Text(String),
    Done,
    Error(u64),
    Other,
}

fn parse_event(event: &str) -> StreamEvent {
    let Some(data) = event.lines().find_map(|l| l.strip_prefix("data: ")) else {
        return StreamEvent::Other;
    };
    if data == "[DONE]" {
        return StreamEvent::Done;
    }
    let Ok(value) = serde_json::from_str::<Value>(data) else {
        return StreamEvent::Other;
    };
    if let Some(code) = value["error"]["code"].as_u64() {
        return StreamEvent::Error(code);
    }
    match value["choices"][0]["delta"]["content"].as_str() {
        Some(text) => StreamEvent::Text(text.to_owned()),
        None => StreamEvent::Other,
    }
}
