//! Bodies that callers send and receive, in the form that OpenAI-style clients use.

use std::time::Duration;

use hemlock_lib::codes::{Code, Ran};
use hemlock_lib::gateway::Hint;
use hemlock_lib::ids::RequestId;
use hemlock_lib::rendezvous;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::HttpResponse;
use serde::{Deserialize, Serialize};
use serde_json::json;

/// Pieces generated when the caller names no limit.
const DEFAULT_TOKENS: u32 = 128;
/// Characters that count as one token of a prompt.
const CHARS_PER_TOKEN: u64 = 4;
/// Characters of a prompt that are taken as the part it shares with others.
const PREFIX_CHARS: usize = 256;

/// A call for a chat completion; fields that this system doesn't use are ignored.
#[derive(Debug, Deserialize)]
pub(crate) struct ChatCall {
    pub(crate) model: String,
    pub(crate) messages: Vec<ChatMessage>,
    #[serde(default)]
    pub(crate) stream: bool,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
}

/// One message of a chat.
#[derive(Debug, Deserialize)]
pub(crate) struct ChatMessage {
    #[serde(default)]
    role: String,
    #[serde(default)]
    content: String,
}

impl ChatCall {
    /// Returns the prompt: one line a message.
    pub(crate) fn prompt(&self) -> String {
        let lines: Vec<String> = self
            .messages
            .iter()
            .map(|m| format!("{}: {}", m.role, m.content))
            .collect();
        lines.join("\n")
    }

    /// Returns the number of pieces to generate at most.
    pub(crate) fn max_tokens(&self) -> u32 {
        self.max_completion_tokens
            .or(self.max_tokens)
            .unwrap_or(DEFAULT_TOKENS)
            .max(1)
    }

    /// Returns what helps to place and order the call.
    pub(crate) fn hint(&self, priority: i32) -> Hint {
        let prompt = self.prompt();
        let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
        let whole = prefix.len() < prompt.len();
        Hint {
            priority,
            prompt: prompt.len() as u64 / CHARS_PER_TOKEN,
            prefix: if whole {
                rendezvous::score(prefix.as_bytes(), b"prefix")
            } else {
                0
            },
        }
    }

    /// Returns the expected work in tokens.
    pub(crate) fn tokens(&self) -> u64 {
        let prompt: u64 = self.messages.iter().map(|m| m.content.len() as u64).sum();
        prompt / CHARS_PER_TOKEN + u64::from(self.max_tokens())
    }
}

/// An answer kept for callers that send their request again.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct KeptText {
    pub(crate) text: String,
    pub(crate) tokens: u64,
}

/// Returns one event of a streamed answer.
pub(crate) fn chunk(request: &RequestId, model: &str, text: Option<&str>) -> Bytes {
    let (delta, finish) = match text {
        Some(text) => (json!({"content": text}), None),
        None => (json!({}), Some("stop")),
    };
    let body = json!({
        "id": request.as_str(),
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    });
    Bytes::from(format!("data: {body}\n\n"))
}

/// Returns the last event of a streamed answer.
pub(crate) fn end() -> Bytes {
    Bytes::from_static(b"data: [DONE]\n\n")
}

/// Returns a whole answer.
pub(crate) fn whole(request: &RequestId, model: &str, text: &str, tokens: u64) -> HttpResponse {
    let message = json!({"role": "assistant", "content": text});
    HttpResponse::Ok().json(&json!({
        "id": request.as_str(),
        "object": "chat.completion",
        "model": model,
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        "usage": {"completion_tokens": tokens},
    }))
}

/// Returns one event that ends a streamed answer which can't be completed.
pub(crate) fn error_event(refusal: &Refusal, request: &RequestId) -> Bytes {
    let body = error_body(refusal, Some(request));
    Bytes::from(format!("event: error\ndata: {body}\n\n"))
}

/// A final answer that says why there is no other.
#[derive(Debug, Clone)]
pub(crate) struct Refusal {
    pub(crate) code: Code,
    pub(crate) ran: Ran,
    pub(crate) retry_after: Option<Duration>,
    /// Base URLs of other entry VMs, when this one should not be asked again.
    pub(crate) other_addresses: Vec<String>,
}

impl From<Code> for Refusal {
    fn from(code: Code) -> Self {
        Self {
            code,
            ran: code.ran(),
            retry_after: None,
            other_addresses: Vec::new(),
        }
    }
}

/// Returns the body of a refusal.
fn error_body(refusal: &Refusal, request: Option<&RequestId>) -> serde_json::Value {
    let code = refusal.code;
    let mut error = json!({
        "code": code.number(),
        "type": code.name(),
        "message": code.text(),
        "ran": refusal.ran.as_str(),
        "retry": code.is_retryable(),
        "request": request.map(RequestId::as_str),
    });
    if !refusal.other_addresses.is_empty() {
        error["addresses"] = json!(refusal.other_addresses);
    }
    json!({"error": error})
}

/// Returns a refusal with its numbered code, whether the request ran and when to try again.
pub(crate) fn refusal(refusal: &Refusal, request: Option<&RequestId>) -> HttpResponse {
    let code = refusal.code;
    let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    response.header("x-result-code", code.number().to_string());
    response.header("x-ran", refusal.ran.as_str());
    if let Some(retry_after) = refusal.retry_after.filter(|_| code.is_retryable()) {
        response.header(
            "retry-after",
            retry_after.as_millis().div_ceil(1_000).to_string(),
        );
        response.header("retry-after-ms", retry_after.as_millis().to_string());
    }
    response.json(&error_body(refusal, request))
}
