//! Calls to model engines: one answer from the chunks of one or more attempts.

use std::time::Duration;

use hemlock_lib::codes::Code;
use hemlock_lib::engine::{Chunk, EngineCall};
use hemlock_lib::gateway::FailReason;
use hemlock_lib::ids::{AttemptId, ReplicaId};
use hemlock_lib::stream::{Answering, DropReason, Piece};
use hemlock_wire::caller::{self, CallError};
use ntex::time::Millis;
use ntex::util::BytesMut;

use crate::drive::Driven;
use crate::mind::Decision;

/// Pieces that wait for a slow caller at most.
pub(crate) const PIECES: usize = 64;
/// Time without a chunk after which an attempt is given up.
const STALL: Duration = Duration::from_secs(3);
/// Time that a slow caller may hold a full buffer.
const SLOW_CALLER: Duration = Duration::from_secs(10);
/// Pieces between two reports of an attempt's progress.
const PROGRESS_PIECES: u64 = 32;

/// A part of the answer on its way to the caller.
#[derive(Debug)]
pub(crate) enum Part {
    /// Text.
    Text(String),
    /// The end of the whole answer.
    Done,
    /// The end of an answer that can't be completed.
    Refused(Code, Duration),
}

/// What the engine is asked, whichever attempt it is.
#[derive(Debug)]
pub(crate) struct Question {
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
    pub(crate) priority: i32,
}

enum End {
    Done,
    Failed(FailReason),
    CallerSlow,
    CallerLeft,
}

/// Answers a question, sending the parts to `parts`; ends early when the caller has left.
pub(crate) async fn answer(
    mut driven: Driven,
    question: Question,
    parts: async_channel::Sender<Part>,
) {
    let mut answering: Option<Answering> = None;
    while let Some(decision) = driven.next().await {
        let (attempt, address, replica) = match decision {
            Decision::Dispatch {
                attempt,
                address,
                replica: Some(replica),
            } => (attempt, address, replica),
            Decision::Dispatch { attempt, .. } => {
                driven.failed(attempt, FailReason::Connect);
                continue;
            }
            Decision::Refuse { code, after } => {
                let _ = parts.send(Part::Refused(code, after)).await;
                return;
            }
            Decision::Replay(_) => return,
        };
        let name = attempt_name(&driven, attempt);
        let progress = match &mut answering {
            Some(progress) => {
                progress.resume(&name);
                progress
            }
            none => none.insert(Answering::new(&name)),
        };
        let end = attempt_once(
            &driven, attempt, &address, replica, &question, progress, &parts,
        );
        match end.await {
            End::Done => {
                driven.finished(attempt, None);
                let _ = parts.send(Part::Done).await;
                return;
            }
            End::Failed(reason) => driven.failed(attempt, reason),
            End::CallerSlow => return end_slow(driven, attempt, &parts),
            End::CallerLeft => return,
        }
    }
}

fn attempt_name(driven: &Driven, attempt: AttemptId) -> String {
    format!("{}/{attempt}", driven.request())
}

fn end_slow(driven: Driven, attempt: AttemptId, parts: &async_channel::Sender<Part>) {
    log::info!(
        "event=slow_caller request={} attempt={attempt}",
        driven.request()
    );
    let _ = parts.try_send(Part::Refused(Code::SlowCaller, Duration::ZERO));
}

async fn attempt_once(
    driven: &Driven,
    attempt: AttemptId,
    address: &str,
    replica: ReplicaId,
    question: &Question,
    progress: &mut Answering,
    parts: &async_channel::Sender<Part>,
) -> End {
    let name = attempt_name(driven, attempt);
    let from = progress.delivered();
    let call = EngineCall {
        attempt: name.clone(),
        replica,
        prompt: question.prompt.clone(),
        max_tokens: question.max_tokens,
        resume_from: progress.delivered(),
        priority: question.priority,
    };
    let client = caller::client().await;
    let request = client.post(format!("{address}/v1/generate"));
    let reply = request
        .timeout(Millis(STALL.as_millis() as u32))
        .send_json(&call)
        .await;
    let reply = match reply.map_err(CallError::from) {
        Ok(reply) if reply.status().is_success() => reply,
        Ok(_) => return End::Failed(FailReason::Refused),
        Err(CallError::Connect) => return End::Failed(FailReason::Connect),
        Err(_) => return End::Failed(FailReason::Broken),
    };
    let mut payload = reply.take_payload();
    let mut buffer = BytesMut::new();
    loop {
        let wait = Millis(STALL.as_millis() as u32);
        match ntex::time::timeout(wait, payload.recv()).await {
            Err(_) => return End::Failed(FailReason::Stalled),
            Ok(None | Some(Err(_))) => return End::Failed(FailReason::Broken),
            Ok(Some(Ok(bytes))) => buffer.extend_from_slice(&bytes),
        }
        while let Some(chunk) = next_chunk(&mut buffer) {
            match progress.take(chunk) {
                Piece::Deliver(text) => {
                    let pieces = progress.delivered() - from;
                    if pieces % PROGRESS_PIECES == 1 {
                        driven.progress(attempt, pieces);
                    }
                    match deliver(parts, text).await {
                        Ok(()) => {}
                        Err(end) => return end,
                    }
                }
                Piece::Done => return End::Done,
                Piece::Drop(DropReason::Gap) => {
                    driven.dropped(DropReason::Gap);
                    return End::Failed(FailReason::Broken);
                }
                Piece::Drop(reason) => {
                    let reason_name = reason.name();
                    log::debug!("event=drop attempt={name} reason={reason_name}");
                    driven.dropped(reason);
                }
            }
        }
    }
}

async fn deliver(parts: &async_channel::Sender<Part>, text: String) -> Result<(), End> {
    match parts.try_send(Part::Text(text)) {
        Ok(()) => Ok(()),
        Err(async_channel::TrySendError::Closed(_)) => Err(End::CallerLeft),
        Err(async_channel::TrySendError::Full(part)) => {
            let wait = Millis(SLOW_CALLER.as_millis() as u32);
            match ntex::time::timeout(wait, parts.send(part)).await {
                Err(_) => Err(End::CallerSlow),
                Ok(Err(_)) => Err(End::CallerLeft),
                Ok(Ok(())) => Ok(()),
            }
        }
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
