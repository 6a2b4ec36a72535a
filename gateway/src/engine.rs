//! Calls to model engines: one answer from the chunks of one or more attempts.

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

/// Pieces that wait for a slow caller at most.
pub(crate) const PIECES: usize = 64;
/// Time without a chunk after which an attempt is given up.
const STALL: Duration = Duration::from_secs(3);
/// Time that a slow caller may hold a full buffer.
const SLOW_CALLER: Duration = Duration::from_secs(10);
/// Pieces between two reports of an attempt's progress.
const PROGRESS_PIECES: u64 = 32;
/// Largest event of an engine in bytes.
const EVENT_LIMIT: usize = 256 << 10;

/// A part of the answer on its way to the caller.
#[derive(Debug)]
pub(crate) enum Part {
    /// Text of that many pieces.
    Text(String, u64),
    /// The end of the whole answer.
    Done,
    /// The end of an answer that can't be completed.
    Refused(Refusal),
}

/// What the engine is asked, whichever attempt it is.
#[derive(Debug)]
pub(crate) struct Question {
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
    pub(crate) priority: i32,
    /// Whether it must run at most once; it runs on when the caller leaves.
    pub(crate) once: bool,
}

/// How an attempt ended.
enum End {
    Done,
    Failed(FailReason),
    CallerSlow,
    CallerLeft,
}

/// Answers a question, sending the parts to `parts`; ends early when the caller has left.
pub(crate) async fn answer(request_handle: RequestHandle, question: Question, parts: Sender<Part>) {
    let once = question.once;
    let mut run = Run {
        request_handle,
        question,
        parts: parts.clone(),
        answering: AnswerStream::new(String::new()),
        kept: KeptText::default(),
    };
    if once {
        return run.answer().await;
    }
    let answered = std::pin::pin!(run.answer());
    let left = std::pin::pin!(parts.closed());
    futures_util::future::select(answered, left).await;
}

/// One question under way.
struct Run {
    request_handle: RequestHandle,
    question: Question,
    parts: Sender<Part>,
    answering: AnswerStream,
    kept: KeptText,
}

impl Run {
    async fn answer(&mut self) {
        loop {
            match self.request_handle.next_decision().await {
                Decision::Dispatch {
                    attempt,
                    address,
                    replica,
                } => {
                    if self.attempt(attempt, &address, replica).await {
                        return;
                    }
                }
                Decision::Refuse(refusal) => return self.refuse(refusal).await,
                Decision::Replay(answer) => return self.replay(&answer).await,
            }
        }
    }

    /// Makes an attempt and returns whether the caller has the final answer.
    async fn attempt(
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
        let name = format!("{}/{attempt}", self.request_handle.request_id());
        self.answering.resume(&name);
        let mut chunks = Chunks {
            question: &self.question,
            answering: &mut self.answering,
            kept: &mut self.kept,
            parts: &self.parts,
            from: 0,
            attempt,
            reporter: self.request_handle.reporter(),
        };
        chunks.from = chunks.answering.delivered();
        let read = chunks.read(&name, address, replica);
        match self.request_handle.run_attempt(read).await {
            Err(Decision::Refuse(refusal)) => {
                self.refuse(refusal).await;
                true
            }
            Err(_) => true,
            Ok(End::Done) => {
                let answer = self.question.once.then(|| keep(&self.kept));
                self.request_handle.report_finished(attempt, answer);
                let _ = self.parts.send(Part::Done).await;
                true
            }
            Ok(End::Failed(reason)) => {
                self.request_handle.report_failed(attempt, reason);
                false
            }
            Ok(End::CallerSlow) => {
                log::info!(
                    "event=slow_caller request={}",
                    self.request_handle.request_id()
                );
                let refusal = Refusal {
                    ran: Ran::Unknown,
                    ..Refusal::from(Code::SlowCaller)
                };
                let _ = self.parts.try_send(Part::Refused(refusal));
                true
            }
            Ok(End::CallerLeft) => true,
        }
    }

    async fn refuse(&self, refusal: Refusal) {
        let _ = self.parts.send(Part::Refused(refusal)).await;
    }

    async fn replay(&self, answer: &Answer) {
        let Ok(kept) = serde_json::from_slice::<KeptText>(&answer.body) else {
            return self.refuse(Refusal::from(Code::MayHaveRun)).await;
        };
        let _ = self.parts.send(Part::Text(kept.text, kept.tokens)).await;
        let _ = self.parts.send(Part::Done).await;
    }
}

fn keep(kept: &KeptText) -> Answer {
    Answer {
        status: 200,
        kind: "application/json".to_owned(),
        body: ByteBuf::from(serde_json::to_vec(kept).unwrap_or_default()),
    }
}

/// The chunks of one attempt.
struct Chunks<'a> {
    question: &'a Question,
    answering: &'a mut AnswerStream,
    kept: &'a mut KeptText,
    parts: &'a Sender<Part>,
    /// Pieces delivered before this attempt.
    from: u64,
    attempt: AttemptId,
    reporter: AttemptReporter,
}

impl Chunks<'_> {
    async fn read(&mut self, name: &str, address: &str, replica: ReplicaId) -> End {
        let call = EngineCall {
            attempt: name.to_owned(),
            replica,
            prompt: self.question.prompt.clone(),
            max_tokens: self.question.max_tokens,
            resume_from: self.answering.delivered(),
            priority: self.question.priority,
        };
        let client = if self.question.once {
            http_client::new_client().await
        } else {
            http_client::shared_client().await
        };
        let request = client.post(format!("{address}/v1/generate"));
        let wait = Millis(STALL.as_millis() as u32);
        // The client's own limit covers the wait for the reply, not the connection.
        let reply = request.timeout(wait).send_json(&call);
        let Ok(reply) = ntex::time::timeout(wait, reply).await else {
            return End::Failed(FailReason::Stalled);
        };
        let reply = match reply.map_err(CallError::from) {
            Ok(reply) if reply.status().is_success() => reply,
            Ok(reply) => return End::Failed(refused(reply.status().as_u16())),
            Err(CallError::Connect) => return End::Failed(FailReason::Connect),
            Err(_) => return End::Failed(FailReason::Broken),
        };
        let mut payload = reply.take_payload();
        let mut buffer = BytesMut::new();
        loop {
            match ntex::time::timeout(wait, payload.recv()).await {
                Err(_) => return End::Failed(FailReason::Stalled),
                Ok(None | Some(Err(_))) => return End::Failed(FailReason::Broken),
                Ok(Some(Ok(bytes))) => buffer.extend_from_slice(&bytes),
            }
            while let Some(chunk) = next_chunk(&mut buffer) {
                if let Some(end) = self.take(name, chunk).await {
                    return end;
                }
            }
            if buffer.len() > EVENT_LIMIT {
                return End::Failed(FailReason::Malformed);
            }
        }
    }

    /// Takes a chunk; returns the attempt's end if it is one.
    async fn take(&mut self, name: &str, chunk: Chunk) -> Option<End> {
        let beyond = !chunk.done && chunk.seq >= u64::from(self.question.max_tokens);
        if beyond && chunk.attempt == name {
            return Some(End::Failed(FailReason::Malformed));
        }
        match self.answering.accept(chunk) {
            ChunkAction::Deliver(text) => {
                let pieces = self.answering.delivered() - self.from;
                if pieces % PROGRESS_PIECES == 1 {
                    self.reporter.report_progress(self.attempt, pieces);
                }
                self.deliver(text).await.err()
            }
            ChunkAction::Done => Some(End::Done),
            ChunkAction::Drop(DropReason::Gap) => {
                self.reporter.report_dropped(DropReason::Gap);
                Some(End::Failed(FailReason::Malformed))
            }
            ChunkAction::Drop(reason) => {
                log::debug!("event=drop attempt={name} reason={}", reason.name());
                self.reporter.report_dropped(reason);
                None
            }
        }
    }

    async fn deliver(&mut self, text: String) -> Result<(), End> {
        if self.question.once {
            self.kept.text.push_str(&text);
            self.kept.tokens += 1;
        }
        match self.parts.try_send(Part::Text(text, 1)) {
            Ok(()) => Ok(()),
            Err(TrySendError::Closed(_)) if self.question.once => Ok(()),
            Err(TrySendError::Closed(_)) => Err(End::CallerLeft),
            Err(TrySendError::Full(part)) => {
                let wait = Millis(SLOW_CALLER.as_millis() as u32);
                match ntex::time::timeout(wait, self.parts.send(part)).await {
                    Ok(Ok(())) => Ok(()),
                    Ok(Err(_)) if self.question.once => Ok(()),
                    Ok(Err(_)) => Err(End::CallerLeft),
                    Err(_) => Err(End::CallerSlow),
                }
            }
        }
    }
}

/// Engines say by these statuses that they did not run a call; any other leaves it open.
fn refused(status: u16) -> FailReason {
    match status {
        400 | 404 | 409 | 413 | 422 | 429 | 503 => FailReason::Refused,
        _ => FailReason::Failed,
    }
}

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
