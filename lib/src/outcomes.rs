//! Outcomes of the latest requests of one gateway, for `hemlock explain`.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;

use crate::codes::{Code, Ran};
use crate::gateway::{Input, Output, Target};
use crate::ids::{RequestId, VmId};
use crate::time::Time;

/// Maximum number of attempts, and of retry reasons, that are kept for one request.
const MAX_STEPS: usize = 16;

/// End of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    /// The request is open.
    Open,
    /// The request was answered in full.
    Answered,
    /// The request got the stored answer of its idempotency key.
    Replayed,
    /// The request was refused.
    Refused,
    /// The caller disconnected before the request ended.
    Left,
}

/// Outcome of a request so far.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// Name of the model group or plain service.
    pub target: String,
    /// Arrival time, in milliseconds since the origin of the gateway's clock.
    pub arrived_ms: u64,
    /// VMs to which the request was dispatched, in order.
    pub attempts: Vec<VmId>,
    /// Reasons of the retries, in order.
    pub retried: Vec<&'static str>,
    /// End of the request.
    pub end: End,
    /// Number of the result code, once the request was answered or refused.
    pub code: Option<u16>,
    /// Meaning of the result code.
    pub meaning: Option<&'static str>,
    /// Whether the request ran, if it was refused.
    pub ran: Option<Ran>,
}

/// Outcomes of the latest requests, oldest first.
#[derive(Debug)]
pub struct Outcomes {
    limit: usize,
    order: VecDeque<RequestId>,
    outcomes: BTreeMap<RequestId, Outcome>,
}

impl Outcomes {
    /// Creates a record of the latest `limit` requests.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            order: VecDeque::new(),
            outcomes: BTreeMap::new(),
        }
    }

    /// Returns the outcome of a request, if it is still recorded.
    pub fn get(&self, request: &RequestId) -> Option<&Outcome> {
        self.outcomes.get(request)
    }

    /// Records an input of the gateway's state machine.
    pub fn record_input(&mut self, now: Time, input: &Input) {
        match input {
            Input::Arrive(arrival) => self.record_arrival(now, &arrival.request, &arrival.target),
            Input::Finished(request, ..) => self.end(request, End::Answered, Some(Code::Ok), None),
            Input::CallerLeft(request) => self.end(request, End::Left, None, None),
            _ => {}
        }
    }

    /// Records an output of the gateway's state machine.
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

    /// Records a request that arrived at the time `now`, and drops the oldest one beyond the limit.
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

    /// Records the end of a request; only the first one counts.
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
