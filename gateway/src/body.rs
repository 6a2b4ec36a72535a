//! Request and response bodies of the caller interface, in the format of the OpenAI chat
//! completions API.

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

/// Maximum number of generated tokens when the caller gives no limit.
const DEFAULT_MAX_TOKENS: u32 = 128;
/// Bytes of a prompt that are estimated as one token.
const BYTES_PER_TOKEN: u64 = 4;
/// Characters at the start of a prompt that are assumed to be shared with other prompts.
const PREFIX_CHARS: usize = 256;

/// A request for a chat completion. Unknown fields are ignored.
#[derive(Debug, Deserialize)]
pub(crate) struct ChatCall {
    pub(crate) model: String,
    pub(crate) messages: Vec<ChatMessage>,
    #[serde(default)]
    pub(crate) stream: bool,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
}

/// A message of a chat.
#[derive(Debug, Deserialize)]
pub(crate) struct ChatMessage {
    #[serde(default)]
    role: String,
    #[serde(default)]
    content: String,
}

impl ChatCall {
    /// Returns the prompt, with one line for each message.
    pub(crate) fn prompt(&self) -> String {
        let lines: Vec<String> = self
            .messages
            .iter()
            .map(|m| format!("{}: {}", m.role, m.content))
            .collect();
        lines.join("\n")
    }

    /// Returns the maximum number of tokens to generate, which is at least 1.
    pub(crate) fn max_tokens(&self) -> u32 {
        self.max_completion_tokens
            .or(self.max_tokens)
            .unwrap_or(DEFAULT_MAX_TOKENS)
            .max(1)
    }

    /// Returns the priority, the estimated tokens of the prompt and the hash of its prefix.
    ///
    /// The hash is zero, for unknown, if the prompt is no longer than the prefix.
    pub(crate) fn hint(&self, priority: i32) -> Hint {
        let prompt = self.prompt();
        let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
        let is_longer = prefix.len() < prompt.len();
        Hint {
            priority,
            prompt: prompt.len() as u64 / BYTES_PER_TOKEN,
            prefix: if is_longer {
                rendezvous::score(prefix.as_bytes(), b"prefix")
            } else {
                0
            },
        }
    }

    /// Returns the expected work in tokens, of the prompt and of the longest answer.
    pub(crate) fn expected_tokens(&self) -> u64 {
        let prompt: u64 = self.messages.iter().map(|m| m.content.len() as u64).sum();
        prompt / BYTES_PER_TOKEN + u64::from(self.max_tokens())
    }
}

/// The body of an answer that is kept for callers who send their request again.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct KeptText {
    pub(crate) text: String,
    pub(crate) tokens: u64,
}

/// Returns an event of a streamed answer: with a piece of the text, or with the finish reason if
/// `text` is `None`.
pub(crate) fn chunk_event(request: &RequestId, model: &str, text: Option<&str>) -> Bytes {
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

/// Returns the event that ends a streamed answer.
pub(crate) fn end_event() -> Bytes {
    Bytes::from_static(b"data: [DONE]\n\n")
}

/// Returns the response with a whole answer.
pub(crate) fn completion(
    request: &RequestId,
    model: &str,
    text: &str,
    tokens: u64,
) -> HttpResponse {
    let message = json!({"role": "assistant", "content": text});
    HttpResponse::Ok().json(&json!({
        "id": request.as_str(),
        "object": "chat.completion",
        "model": model,
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        "usage": {"completion_tokens": tokens},
    }))
}

/// Returns the event that ends a streamed answer that can't be completed.
pub(crate) fn error_event(refusal: &Refusal, request: &RequestId) -> Bytes {
    let body = error_body(refusal, Some(request));
    Bytes::from(format!("event: error\ndata: {body}\n\n"))
}

/// The reason why a request gets no answer, or no complete one.
#[derive(Debug, Clone)]
pub(crate) struct Refusal {
    pub(crate) code: Code,
    /// Whether the request ran.
    pub(crate) ran: Ran,
    /// Wait before the next try; sent only with codes that may be retried.
    pub(crate) retry_after: Option<Duration>,
    /// Base URLs of other entry VMs, best first, if this one should not be asked again.
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

/// Returns the JSON body of a refusal.
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

/// Returns the response that refuses a request. Its headers give the numbered code, whether the
/// request ran and when to try again.
pub(crate) fn refusal_response(refusal: &Refusal, request: Option<&RequestId>) -> HttpResponse {
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
