//! What became of the last requests of one gateway, for operators who ask.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;

use crate::codes::{Code, Ran};
use crate::gateway::{Input, Output, Target};
use crate::ids::{RequestId, VmId};
use crate::time::Time;

/// Attempts and reasons kept of one request at most.
const MAX_STEPS: usize = 16;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    /// It has not ended.
    Open,
    /// It was answered in full.
    Answered,
    /// It got the answer that was kept for its idempotency key.
    Replayed,
    /// It was refused.
    Refused,
    /// Its caller left.
    Left,
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// Model group or plain service.
    pub target: String,
    /// When it came, in milliseconds since the origin of the gateway's clock.
    pub arrived_ms: u64,
    /// VMs that it was sent to, in order.
    pub attempts: Vec<VmId>,
    /// Why attempts were made again, in order.
    pub retried: Vec<&'static str>,
    /// How it ended.
    pub end: End,
    /// Number of its result code, once it was answered or refused.
    pub code: Option<u16>,
    /// Meaning of the code.
    pub meaning: Option<&'static str>,
    /// Whether it was run, if it was refused.
    pub ran: Option<Ran>,
}

/// The last requests, oldest first.
#[derive(Debug)]
pub struct Outcomes {
    limit: usize,
    order: VecDeque<RequestId>,
    outcomes: BTreeMap<RequestId, Outcome>,
}

impl Outcomes {
    /// Remembers the last `limit` requests.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            order: VecDeque::new(),
            outcomes: BTreeMap::new(),
        }
    }

    /// Returns what became of a request, if it is remembered.
    pub fn get(&self, request: &RequestId) -> Option<&Outcome> {
        self.outcomes.get(request)
    }

    /// Takes an input of the gateway's state machine.
    pub fn record_input(&mut self, now: Time, input: &Input) {
        match input {
            Input::Arrive(arrival) => self.record_arrival(now, &arrival.request, &arrival.target),
            Input::Finished(request, ..) => self.end(request, End::Answered, Some(Code::Ok), None),
            Input::CallerLeft(request) => self.end(request, End::Left, None, None),
            _ => {}
        }
    }

    /// Takes an output of the gateway's state machine.
    pub fn record_output(&mut self, output: &Output) {
        match output {
            Output::Dispatch { request, vm, .. } => {
                if let Some(outcome) = self.with_room(request, |o| o.attempts.len()) {
                    outcome.attempts.push(vm.clone());
                }
            }
            Output::Retry(request, reason) => {
                if let Some(outcome) = self.with_room(request, |o| o.retried.len()) {
                    outcome.retried.push(reason.name());
                }
            }
            Output::Refuse {
                request, code, ran, ..
            } => self.end(request, End::Refused, Some(*code), Some(*ran)),
            Output::Replay(request, _) => self.end(request, End::Replayed, Some(Code::Ok), None),
            _ => {}
        }
    }

    /// Remembers a request that came at the time `now`.
    pub fn record_arrival(&mut self, now: Time, request: &RequestId, target: &Target) {
        let target = match target {
            Target::Model(group) => group.to_string(),
            Target::Service(service) => service.to_string(),
        };
        let outcome = Outcome {
            target,
            arrived_ms: now.as_millis(),
            attempts: Vec::new(),
            retried: Vec::new(),
            end: End::Open,
            code: None,
            meaning: None,
            ran: None,
        };
        self.outcomes.insert(request.clone(), outcome);
        self.order.push_back(request.clone());
        if self.order.len() > self.limit {
            let oldest = self.order.pop_front();
            oldest.map(|request| self.outcomes.remove(&request));
        }
    }

    fn with_room(
        &mut self,
        request: &RequestId,
        count: impl Fn(&Outcome) -> usize,
    ) -> Option<&mut Outcome> {
        self.outcomes
            .get_mut(request)
            .filter(|o| count(o) < MAX_STEPS)
    }

    /// Records an end; the first one stands.
    fn end(&mut self, request: &RequestId, end: End, code: Option<Code>, ran: Option<Ran>) {
        let outcome = self.outcomes.get_mut(request);
        let Some(outcome) = outcome.filter(|o| o.end == End::Open) else {
            return;
        };
        outcome.end = end;
        outcome.code = code.map(Code::number);
        outcome.meaning = code.map(Code::text);
        outcome.ran = ran;
    }
}
