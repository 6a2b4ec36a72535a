//! Requests from their claim to their final answer: attempts, retries, claims and refusals.

use std::time::Duration;

use uuid::Uuid;

use crate::claims::{Answer, Binding, ClaimChange, ClaimId};
use crate::codes::{Code, Ran};
use crate::gateway::{Attempt, FailReason, Gateway, Output, RETRY_AFTER, Request, Target};
use crate::ids::{AccountId, AttemptId, RequestId, VmId};
use crate::once::{self, Change, Held};
use crate::peers::{Settled, Suspicion};
use crate::retry::Next;
use crate::router::Candidate;
use crate::suspicion::{Suspects, TRIAL_TIME};
use crate::time::Time;

/// Time for which a VM is avoided that broke off or was not reached; its probers tell more by then.
const AVOID: Duration = Duration::from_secs(1);
/// Wait before a caller tries a request again that is under suspicion.
const SUSPECT_AFTER: Duration = Duration::from_secs(5);

impl Gateway {
    /// Ends the requests whose deadline has passed, and submits again what the log may not hold.
    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        while let Some((deadline, id)) = self.deadlines.first().cloned() {
            if deadline > now {
                break;
            }
            self.time_out(now, &id, out);
            self.deadlines.remove(&(deadline, id));
        }
        out.extend(self.unsettled.due(now).into_iter().map(Output::Settle));
        self.avoided.retain(|_, until| now < *until);
    }

    /// Returns the wait that callers are told with a refusal.
    pub(crate) fn wait_after(&self, code: Code) -> Duration {
        match code {
            Code::Suspect => SUSPECT_AFTER,
            _ => RETRY_AFTER,
        }
    }

    /// Refuses a key under which a request of this gateway is open.
    pub(crate) fn check_open(
        &self,
        key: &Uuid,
        account: &AccountId,
        body: &str,
    ) -> Result<(), Code> {
        let open = self.keys.get(key).and_then(|id| self.requests.get(id));
        match open {
            None => Ok(()),
            Some(r) if r.account == *account && r.arrival.body == body => Err(Code::InProgress),
            Some(_) => Err(Code::KeyReused),
        }
    }

    /// Claims the key of a request.
    pub(crate) fn claim(&mut self, id: &RequestId, key: Uuid, out: &mut Vec<Output>) {
        self.next += 1;
        let claim = ClaimId(self.next);
        self.advance(id, "claim");
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.claim = Some(claim);
        self.keys.insert(key, id.clone());
        let change = Change {
            claim,
            key,
            change: ClaimChange::Claim,
        };
        out.push(Output::Claim(id.clone(), change, binding(request)));
    }

    /// Takes the end of a claim.
    ///
    /// The request may have got its final answer meanwhile; its claim is released then already.
    pub(crate) fn claimed(
        &mut self,
        now: Time,
        id: &RequestId,
        settled: Settled,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let stands = matches!(settled, Settled::Accepted { .. } | Settled::Unknown);
        let released = match &settled {
            Settled::ClaimTaken { owner, claim, .. } => {
                *owner == self.config.owner && self.unsettled.is_released(*claim)
            }
            _ => false,
        };
        let bound = binding(request);
        let outcome = once::outcome(settled, &bound, |owner| self.is_live(owner));
        if !stands && let Some(request) = self.requests.get_mut(id) {
            request.claim = None;
        }
        match outcome {
            None => {
                self.advance(id, "claimed");
                self.queue.push_back(id.clone());
            }
            Some(Held::Refuse(_)) if released => {
                self.refuse(now, id, Code::ClaimUnavailable, out);
            }
            Some(Held::Refuse(code)) => self.refuse(now, id, code, out),
            Some(Held::Replay(answer)) => {
                self.advance(id, "refuse");
                self.forget(id);
                out.push(Output::Replay(id.clone(), answer));
            }
        }
    }

    /// Takes the failure of an attempt.
    pub(crate) fn failed(
        &mut self,
        now: Time,
        id: &RequestId,
        attempt: AttemptId,
        reason: FailReason,
        out: &mut Vec<Output>,
    ) {
        let since = self.trials.get(id).map(|(_, since)| *since);
        let Some(mut ended) = self.end_attempt(id, attempt) else {
            return;
        };
        let young = since.is_some_and(|since| now.since(since) < TRIAL_TIME);
        ended.alone &= young || self.dispatched.requests(&ended.vm) == 0;
        if matches!(reason, FailReason::Connect | FailReason::Broken) {
            self.avoided.insert(ended.vm.clone(), now + AVOID);
        }
        if reason == FailReason::Broken {
            self.suspect(now, id, &ended, out);
        }
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if !reason.not_run() {
            request.ran = Ran::Unknown;
        }
        if now >= request.arrival.deadline {
            return self.time_out(now, id, out);
        }
        if ended.alone && reason == FailReason::Broken {
            return self.refuse(now, id, Code::Suspect, out);
        }
        let once = request.arrival.once.is_some();
        match self.retries.decide(reason, once, request.attempts) {
            Next::MayHaveRun => self.refuse(now, id, Code::MayHaveRun, out),
            Next::GiveUp if request.ran == Ran::No => {
                self.refuse(now, id, Code::EndpointRefused, out);
            }
            Next::GiveUp => self.refuse(now, id, Code::RetryBudget, out),
            Next::Retry => {
                out.push(Output::Retry(id.clone(), reason));
                self.advance(id, "failed");
                self.queue.push_front(id.clone());
            }
        }
    }

    /// Takes the whole answer of an attempt.
    pub(crate) fn finished(
        &mut self,
        now: Time,
        id: &RequestId,
        attempt: AttemptId,
        answer: Option<Answer>,
        out: &mut Vec<Output>,
    ) {
        if self.end_attempt(id, attempt).is_none() {
            return;
        }
        self.advance(id, "finish");
        let Some(request) = self.forget(id) else {
            return;
        };
        self.suspects.passed(now, request.print);
        let kept = answer.filter(|a| a.body.len() <= once::KEEP_LIMIT);
        let change = kept.map_or(ClaimChange::Close { ran: true }, ClaimChange::Finish);
        self.settle(now, &request, change, out);
    }

    /// Takes the departure of a caller.
    pub(crate) fn left(&mut self, now: Time, id: &RequestId, out: &mut Vec<Output>) {
        self.cancel_attempt(id);
        self.advance(id, "cancel");
        self.queue.retain(|q| q != id);
        if let Some(request) = self.forget(id) {
            self.give_up_claim(now, &request, out);
        }
    }

    /// Gives a request its final refusal.
    pub(crate) fn refuse(&mut self, now: Time, id: &RequestId, code: Code, out: &mut Vec<Output>) {
        self.cancel_attempt(id);
        self.advance(id, "refuse");
        self.queue.retain(|q| q != id);
        let Some(request) = self.forget(id) else {
            return;
        };
        self.give_up_claim(now, &request, out);
        let of_key = matches!(
            code,
            Code::InProgress | Code::MayHaveRun | Code::AnswerNotKept
        );
        out.push(Output::Refuse {
            request: id.clone(),
            code,
            ran: if of_key { code.ran() } else { request.ran },
            after: self.wait_after(code),
        });
    }

    /// Returns the candidate on which a suspect may run alone now, if there is one.
    pub(crate) fn trial_candidate<'a>(
        &self,
        now: Time,
        from: Time,
        candidates: &'a [Candidate],
    ) -> Option<&'a Candidate> {
        if now < from {
            return None;
        }
        let vms = Suspects::trial_vms(&self.config.owner.entry, candidates);
        candidates.iter().find(|c| {
            vms.contains(&&c.vm) && !self.is_avoided(now, &c.vm) && self.is_spared(now, c)
        })
    }

    /// Returns whether a VM runs nothing but suspects that have run for a while.
    fn is_spared(&self, now: Time, candidate: &Candidate) -> bool {
        let here = self.trials.values().filter(|(vm, _)| *vm == candidate.vm);
        let (trials, young) = here.fold((0, false), |(n, young), (_, since)| {
            (n + 1, young || now.since(*since) < TRIAL_TIME)
        });
        let idle = trials > 0 || candidate.reported == 0;
        idle && !young && self.dispatched.requests(&candidate.vm) == trials
    }

    /// Leaves out the VM of the last attempt and VMs that failed lately, unless no other is left.
    pub(crate) fn avoid(&self, now: Time, id: &RequestId, candidates: &mut Vec<Candidate>) {
        let last = self.requests.get(id).and_then(|r| r.last.as_ref());
        let good = |c: &Candidate| Some(&c.vm) != last && !self.is_avoided(now, &c.vm);
        if candidates.iter().any(good) {
            candidates.retain(good);
        }
    }

    fn is_avoided(&self, now: Time, vm: &VmId) -> bool {
        self.avoided.get(vm).is_some_and(|until| now < *until)
    }

    fn time_out(&mut self, now: Time, id: &RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let started = request.attempt.is_some() || request.ran != Ran::No;
        let code = if started {
            Code::TimedOut
        } else {
            Code::DeadlineUnmet
        };
        self.refuse(now, id, code, out);
    }

    fn suspect(&mut self, now: Time, id: &RequestId, ended: &Attempt, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if matches!(request.arrival.target, Target::Service(_)) {
            return;
        }
        let suspicion = Suspicion {
            print: request.print,
            origin: self.config.owner.entry.clone(),
            vm: ended.vm.clone(),
            run: ended.run,
            alone: ended.alone,
            age_ms: 0,
        };
        self.suspects.broke(now, suspicion.clone());
        out.push(Output::Suspect(suspicion));
    }

    /// Releases the claim of a request that surely did not run, or ends it for good.
    fn give_up_claim(&mut self, now: Time, request: &Request, out: &mut Vec<Output>) {
        let change = match request.ran {
            Ran::No => ClaimChange::Release,
            Ran::Yes => ClaimChange::Close { ran: true },
            Ran::Unknown => ClaimChange::Close { ran: false },
        };
        self.settle(now, request, change, out);
    }

    fn settle(&mut self, now: Time, request: &Request, change: ClaimChange, out: &mut Vec<Output>) {
        let (Some(key), Some(claim)) = (request.arrival.once, request.claim) else {
            return;
        };
        let change = Change { claim, key, change };
        self.unsettled.add(now, change.clone());
        out.push(Output::Settle(change));
    }

    /// Ends the attempt in flight, which may have run.
    fn cancel_attempt(&mut self, id: &RequestId) {
        let running = self.requests.get(id).and_then(|r| r.attempt.as_ref());
        let Some(attempt) = running.map(|a| a.id) else {
            return;
        };
        self.end_attempt(id, attempt);
        if let Some(request) = self.requests.get_mut(id) {
            request.ran = Ran::Unknown;
        }
    }

    fn end_attempt(&mut self, id: &RequestId, attempt: AttemptId) -> Option<Attempt> {
        let request = self.requests.get_mut(id)?;
        let ended = request.attempt.take_if(|a| a.id == attempt)?;
        self.dispatched.end(&ended.vm, request.arrival.tokens);
        self.trials.remove(id);
        Some(ended)
    }

    fn forget(&mut self, id: &RequestId) -> Option<Request> {
        let request = self.requests.remove(id)?;
        self.deadlines
            .remove(&(request.arrival.deadline, id.clone()));
        if let Some(key) = request.arrival.once {
            self.keys.remove(&key);
        }
        if let Some(usage) = self.usage.get_mut(&request.account) {
            usage.ended();
        }
        Some(request)
    }

    pub(crate) fn advance(&mut self, id: &RequestId, event: &str) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let next = self
            .chart
            .event(event)
            .and_then(|e| self.chart.next(request.state, e));
        request.state = next.unwrap_or(request.state);
    }
}

fn binding(request: &Request) -> Binding {
    Binding {
        account: request.account.clone(),
        body: request.arrival.body.clone(),
    }
}
