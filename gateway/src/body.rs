//! Bodies that callers send and receive, in the form that OpenAI-style clients use.

use hemlock_lib::codes::Code;
use hemlock_lib::gateway::Hint;
use hemlock_lib::ids::RequestId;
use hemlock_lib::rendezvous;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::HttpResponse;
use serde::Deserialize;
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

/// Returns the body of a refusal.
pub(crate) fn error_body(code: Code, request: Option<&RequestId>) -> serde_json::Value {
    json!({"error": {
        "code": code.number(),
        "type": code.name(),
        "message": code.text(),
        "ran": code.ran().as_str(),
        "retry": code.retry(),
        "request": request.map(RequestId::as_str),
    }})
}

/// Returns a refusal with its numbered code, whether the request ran and when to try again.
pub(crate) fn refusal(
    code: Code,
    request: Option<&RequestId>,
    after: Option<std::time::Duration>,
) -> HttpResponse {
    let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    response.header("x-result-code", code.number().to_string());
    response.header("x-ran", code.ran().as_str());
    if let Some(after) = after.filter(|_| code.retry()) {
        response.header("retry-after", after.as_millis().div_ceil(1_000).to_string());
        response.header("retry-after-ms", after.as_millis().to_string());
    }
    response.json(&error_body(code, request))
}
