//! Calls to model engines: puts one answer together from the chunks of one or more attempts.

use std::time::Duration;

use async_channel::{Sender, TrySendError};
use hemlock_lib::claims::Answer;
use hemlock_lib::codes::{Code, Ran};
use hemlock_lib::engine::{Chunk, EngineCall};
use hemlock_lib::gateway::FailReason;
use hemlock_lib::ids::{AttemptId, ReplicaId};
use hemlock_lib::stream::{AnswerStream, ChunkAction, DropReason};
use hemlock_wire::http_client::{self, CallError};
use ntex::time::Millis;
use ntex::util::BytesMut;
use serde_bytes::ByteBuf;

use crate::body::{KeptText, Refusal};
use crate::event_loop::Decision;
use crate::request::{AttemptReporter, RequestHandle};

/// Maximum number of parts of an answer that are buffered for a slow caller.
pub(crate) const PART_BUFFER_LIMIT: usize = 64;
/// Time without a reply or a chunk after which an attempt has failed.
const STALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which the buffer may stay full before the caller is refused as too slow.
const SLOW_CALLER_TIMEOUT: Duration = Duration::from_secs(10);
/// Chunks between two reports of an attempt's progress.
const PROGRESS_REPORT_CHUNKS: u64 = 32;
/// Largest event that an engine may send, in bytes.
const EVENT_LIMIT_BYTES: usize = 256 << 10;

/// A part of the answer on its way to the caller.
#[derive(Debug)]
pub(crate) enum AnswerPart {
    /// Text, and the number of chunks that it consists of.
    Text(String, u64),
    /// The answer is complete.
    Done,
    /// The answer can't be completed.
    Refused(Refusal),
}

/// The part of an engine call that is the same for all attempts of a request.
#[derive(Debug)]
pub(crate) struct GenerationParams {
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
    pub(crate) priority: i32,
    /// Whether the work must run at most once. It then runs on when the caller leaves.
    pub(crate) at_most_once: bool,
}

/// How an attempt ended.
enum AttemptOutcome {
    Done,
    Failed(FailReason),
    CallerSlow,
    CallerLeft,
}

/// Sends the answer to a request to `parts`.
///
/// Ends early when the caller has left, unless the work must run at most once.
pub(crate) async fn answer(
    request_handle: RequestHandle,
    params: GenerationParams,
    parts: Sender<AnswerPart>,
) {
    let at_most_once = params.at_most_once;
    let mut task = AnswerTask {
        request_handle,
        params,
        parts: parts.clone(),
        answer_stream: AnswerStream::new(String::new()),
        kept: KeptText::default(),
    };
    if at_most_once {
        return task.answer().await;
    }
    let answer = std::pin::pin!(task.answer());
    let left = std::pin::pin!(parts.closed());
    futures_util::future::select(answer, left).await;
}

/// An answer in progress.
struct AnswerTask {
    request_handle: RequestHandle,
    params: GenerationParams,
    parts: Sender<AnswerPart>,
    answer_stream: AnswerStream,
    kept: KeptText,
}

impl AnswerTask {
    async fn answer(&mut self) {
        loop {
            match self.request_handle.next_decision().await {
                Decision::Dispatch {
                    attempt,
                    address,
                    replica,
                } => {
                    if self.make_attempt(attempt, &address, replica).await {
                        return;
                    }
                }
                Decision::Refuse(refusal) => return self.refuse(refusal).await,
                Decision::Replay(answer) => return self.replay(&answer).await,
            }
        }
    }

    /// Makes an attempt and returns whether the request has ended.
    async fn make_attempt(
        &mut self,
        attempt: AttemptId,
        address: &str,
        replica: Option<ReplicaId>,
    ) -> bool {
        let Some(replica) = replica else {
            self.request_handle
                .report_failed(attempt, FailReason::Connect);
            return false;
        };
        let attempt_name = format!("{}/{attempt}", self.request_handle.request_id());
        self.answer_stream.resume(&attempt_name);
        let mut chunk_reader = ChunkReader {
            params: &self.params,
            answer_stream: &mut self.answer_stream,
            kept: &mut self.kept,
            parts: &self.parts,
            delivered_before: 0,
            attempt,
            reporter: self.request_handle.reporter(),
        };
        chunk_reader.delivered_before = chunk_reader.answer_stream.delivered();
        let read = chunk_reader.read(&attempt_name, address, replica);
        match self.request_handle.run_attempt(read).await {
            Err(Decision::Refuse(refusal)) => {
                self.refuse(refusal).await;
                true
            }
            Err(_) => true,
            Ok(AttemptOutcome::Done) => {
                let answer = self.params.at_most_once.then(|| kept_answer(&self.kept));
                self.request_handle.report_finished(attempt, answer);
                let _ = self.parts.send(AnswerPart::Done).await;
                true
            }
            Ok(AttemptOutcome::Failed(reason)) => {
                self.request_handle.report_failed(attempt, reason);
                false
            }
            Ok(AttemptOutcome::CallerSlow) => {
                log::info!(
                    "event=slow_caller request={}",
                    self.request_handle.request_id()
                );
                let refusal = Refusal {
                    ran: Ran::Unknown,
                    ..Refusal::from(Code::SlowCaller)
                };
                let _ = self.parts.try_send(AnswerPart::Refused(refusal));
                true
            }
            Ok(AttemptOutcome::CallerLeft) => true,
        }
    }

    async fn refuse(&self, refusal: Refusal) {
        let _ = self.parts.send(AnswerPart::Refused(refusal)).await;
    }

    async fn replay(&self, answer: &Answer) {
        let Ok(kept) = serde_json::from_slice::<KeptText>(&answer.body) else {
            return self.refuse(Refusal::from(Code::MayHaveRun)).await;
        };
        let _ = self
            .parts
            .send(AnswerPart::Text(kept.text, kept.tokens))
            .await;
        let _ = self.parts.send(AnswerPart::Done).await;
    }
}

/// Returns the text in the form in which it is kept for the idempotency key.
fn kept_answer(kept: &KeptText) -> Answer {
    Answer {
        status: 200,
        kind: "application/json".to_owned(),
        body: ByteBuf::from(serde_json::to_vec(kept).unwrap_or_default()),
    }
}

/// Reads the chunks of one attempt and passes their text on.
struct ChunkReader<'a> {
    params: &'a GenerationParams,
    answer_stream: &'a mut AnswerStream,
    kept: &'a mut KeptText,
    parts: &'a Sender<AnswerPart>,
    /// Chunks delivered by earlier attempts.
    delivered_before: u64,
    attempt: AttemptId,
    reporter: AttemptReporter,
}

impl ChunkReader<'_> {
    /// Calls the engine and handles its chunks until the attempt ends.
    async fn read(
        &mut self,
        attempt_name: &str,
        address: &str,
        replica: ReplicaId,
    ) -> AttemptOutcome {
        let call = EngineCall {
            attempt: attempt_name.to_owned(),
            replica,
            prompt: self.params.prompt.clone(),
            max_tokens: self.params.max_tokens,
            resume_from: self.answer_stream.delivered(),
            priority: self.params.priority,
        };
        let client = if self.params.at_most_once {
            http_client::new_client().await
        } else {
            http_client::shared_client().await
        };
        let request = client.post(format!("{address}/v1/generate"));
        let wait = Millis(STALL_TIMEOUT.as_millis() as u32);
        // The client's own timeout covers the wait for the reply, but not the time to connect.
        let reply = request.timeout(wait).send_json(&call);
        let Ok(reply) = ntex::time::timeout(wait, reply).await else {
            return AttemptOutcome::Failed(FailReason::Stalled);
        };
        let reply = match reply.map_err(CallError::from) {
            Ok(reply) if reply.status().is_success() => reply,
            Ok(reply) => return AttemptOutcome::Failed(fail_reason(reply.status().as_u16())),
            Err(CallError::Connect) => return AttemptOutcome::Failed(FailReason::Connect),
            Err(_) => return AttemptOutcome::Failed(FailReason::Broken),
        };
        let mut payload = reply.take_payload();
        let mut buffer = BytesMut::new();
        loop {
            match ntex::time::timeout(wait, payload.recv()).await {
                Err(_) => return AttemptOutcome::Failed(FailReason::Stalled),
                Ok(None | Some(Err(_))) => return AttemptOutcome::Failed(FailReason::Broken),
                Ok(Some(Ok(bytes))) => buffer.extend_from_slice(&bytes),
            }
            while let Some(chunk) = next_chunk(&mut buffer) {
                if let Some(outcome) = self.handle_chunk(attempt_name, chunk).await {
                    return outcome;
                }
            }
            if buffer.len() > EVENT_LIMIT_BYTES {
                return AttemptOutcome::Failed(FailReason::Malformed);
            }
        }
    }

    /// Handles a chunk; returns the outcome of the attempt if the chunk ends it.
    async fn handle_chunk(&mut self, attempt_name: &str, chunk: Chunk) -> Option<AttemptOutcome> {
        let over_limit = !chunk.done && chunk.seq >= u64::from(self.params.max_tokens);
        if over_limit && chunk.attempt == attempt_name {
            return Some(AttemptOutcome::Failed(FailReason::Malformed));
        }
        match self.answer_stream.accept(chunk) {
            ChunkAction::Deliver(text) => {
                let delivered = self.answer_stream.delivered() - self.delivered_before;
                if delivered % PROGRESS_REPORT_CHUNKS == 1 {
                    self.reporter.report_progress(self.attempt, delivered);
                }
                self.deliver(text).await.err()
            }
            ChunkAction::Done => Some(AttemptOutcome::Done),
            ChunkAction::Drop(DropReason::Gap) => {
                self.reporter.report_dropped(DropReason::Gap);
                Some(AttemptOutcome::Failed(FailReason::Malformed))
            }
            ChunkAction::Drop(reason) => {
                log::debug!("event=drop attempt={attempt_name} reason={}", reason.name());
                self.reporter.report_dropped(reason);
                None
            }
        }
    }

    /// Passes text on to the caller, and keeps it if the work must run at most once.
    async fn deliver(&mut self, text: String) -> Result<(), AttemptOutcome> {
        if self.params.at_most_once {
            self.kept.text.push_str(&text);
            self.kept.tokens += 1;
        }
        match self.parts.try_send(AnswerPart::Text(text, 1)) {
            Ok(()) => Ok(()),
            Err(TrySendError::Closed(_)) if self.params.at_most_once => Ok(()),
            Err(TrySendError::Closed(_)) => Err(AttemptOutcome::CallerLeft),
            Err(TrySendError::Full(part)) => {
                let wait = Millis(SLOW_CALLER_TIMEOUT.as_millis() as u32);
                match ntex::time::timeout(wait, self.parts.send(part)).await {
                    Ok(Ok(())) => Ok(()),
                    Ok(Err(_)) if self.params.at_most_once => Ok(()),
                    Ok(Err(_)) => Err(AttemptOutcome::CallerLeft),
                    Err(_) => Err(AttemptOutcome::CallerSlow),
                }
            }
        }
    }
}

/// Returns why an attempt failed with this HTTP status.
///
/// By the statuses listed as refused, engines state that they did not run the call. After any other
/// status, the call may have run.
fn fail_reason(status: u16) -> FailReason {
    match status {
        400 | 404 | 409 | 413 | 422 | 429 | 503 => FailReason::Refused,
        _ => FailReason::Failed,
    }
}

/// Removes the first complete chunk from `buffer`; events that are not chunks are skipped.
fn next_chunk(buffer: &mut BytesMut) -> Option<Chunk> {
    loop {
        let end = buffer.windows(2).position(|w| w == b"\n\n")?;
        let event = buffer.split_to(end + 2);
        let data = event.strip_prefix(b"data: ").unwrap_or(&event);
        if let Ok(chunk) = serde_json::from_slice(data) {
            return Some(chunk);
        }
    }
}
