//! Handling of a request after admission: its claim, attempts and retries, and its answer or refusal.

use std::collections::BTreeSet;
use std::time::Duration;

use uuid::Uuid;

use crate::at_most_once::{self, ClaimRejection, ClaimUpdate};
use crate::claims::{Answer, Binding, ClaimChange, ClaimId};
use crate::codes::{Code, Ran};
use crate::dispatch::{DispatchedAttempt, Dispatcher};
use crate::gateway::{Attempt, DEFAULT_RETRY_AFTER, FailReason, Gateway, Output, Request, Target};
use crate::ids::{AccountId, AttemptId, RequestId, VmId};
use crate::peers::{Settled, Suspicion};
use crate::retry::RetryDecision;
use crate::suspicion::{SuspectRequests, TRIAL_TIME, Verdict};
use crate::time::Time;
use crate::view::View;

/// Time for which a VM is avoided after a failed connect or a broken connection; by then its
/// probers report its health.
const AVOID_TIME: Duration = Duration::from_secs(1);
/// Time for which a VM is avoided after it refused a request.
const AVOID_TIME_REFUSED: Duration = Duration::from_millis(100);
/// Wait before a caller retries a request that is suspected of crashing endpoints.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_secs(5);

impl Gateway {
    /// Refuses the requests whose deadline has passed, resubmits claim updates that the log may not
    /// hold, and ends the avoidance of VMs.
    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        while let Some((deadline, id)) = self.deadlines.first().cloned() {
            if deadline > now {
                break;
            }
            self.time_out(now, &id, out);
            self.deadlines.remove(&(deadline, id));
        }
        out.extend(
            self.pending_updates
                .take_due(now)
                .into_iter()
                .map(Output::UpdateClaim),
        );
        let before = self.avoided.len();
        self.avoided.retain(|_, until| now < *until);
        if self.avoided.len() < before
            && let Some(view) = self.view.clone()
        {
            self.refresh(now, &view);
        }
    }

    /// Returns the wait before a retry that a refusal with this code tells the caller.
    pub(crate) fn retry_after(&self, code: Code) -> Duration {
        match code {
            Code::Suspect => SUSPECT_RETRY_AFTER,
            _ => DEFAULT_RETRY_AFTER,
        }
    }

    /// Refuses an idempotency key under which this gateway has an open request.
    pub(crate) fn check_not_open(
        &self,
        key: &Uuid,
        account: &AccountId,
        body_fingerprint: &str,
    ) -> Result<(), Code> {
        let open = self.open_keys.get(key).and_then(|id| self.requests.get(id));
        match open {
            None => Ok(()),
            Some(r) if r.account == *account && r.arrival.body_fingerprint == body_fingerprint => {
                Err(Code::InProgress)
            }
            Some(_) => Err(Code::KeyReused),
        }
    }

    /// Asks the agent to claim the idempotency key of a request.
    pub(crate) fn claim(&mut self, id: &RequestId, key: Uuid, out: &mut Vec<Output>) {
        self.claim_count += 1;
        let claim = ClaimId(self.claim_count);
        self.advance(id, "claim");
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.claim = Some(claim);
        self.open_keys.insert(key, id.clone());
        let change = ClaimUpdate {
            claim,
            key,
            change: ClaimChange::Claim,
        };
        out.push(Output::Claim(id.clone(), change, binding(request)));
    }

    /// Handles the result of a claim: queues the request, refuses it, or replays the stored answer.
    ///
    /// A request that got its final answer meanwhile is ignored; its claim has been released
    /// already.
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
        let may_hold = matches!(settled, Settled::Accepted { .. } | Settled::Unknown);
        let released = match &settled {
            Settled::ClaimTaken { owner, claim, .. } => {
                *owner == self.config.owner && self.pending_updates.is_released(*claim)
            }
            _ => false,
        };
        let bound = binding(request);
        let rejection = at_most_once::rejection(settled, &bound, |owner| self.is_live(owner));
        if !may_hold && let Some(request) = self.requests.get_mut(id) {
            request.claim = None;
        }
        match rejection {
            None => {
                self.advance(id, "claimed");
                self.enqueue(id, out);
            }
            Some(ClaimRejection::Refuse(_)) if released => {
                self.refuse(now, id, Code::ClaimUnavailable, out);
            }
            Some(ClaimRejection::Refuse(code)) => self.refuse(now, id, code, out),
            Some(ClaimRejection::Replay(answer)) => {
                self.advance(id, "refuse");
                self.remove_request(id);
                out.push(Output::Replay(id.clone(), answer));
            }
        }
    }

    /// Handles a failed attempt: retries the request or refuses it.
    pub(crate) fn failed(
        &mut self,
        now: Time,
        id: &RequestId,
        attempt: AttemptId,
        reason: FailReason,
        out: &mut Vec<Output>,
    ) {
        self.dispatcher.fail(now, attempt);
        let since = self.trials.get(id).map(|(_, since)| *since);
        let Some(mut ended) = self.end_attempt(id, attempt, false) else {
            return;
        };
        let recent = since.is_some_and(|since| now.since(since) < TRIAL_TIME);
        let other_trials = self.trials.values().any(|(vm, _)| *vm == ended.vm);
        ended.alone &= recent || !other_trials;
        if matches!(reason, FailReason::Connect | FailReason::Broken) {
            self.avoid(now, &ended.vm, AVOID_TIME);
        }
        if reason == FailReason::Refused {
            self.avoid(now, &ended.vm, AVOID_TIME_REFUSED);
        }
        if reason == FailReason::Broken {
            self.report_suspicion(now, id, &ended, out);
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
        let must_not_repeat = request.arrival.idempotency_key.is_some();
        match self
            .retry_budget
            .decide(reason, must_not_repeat, request.attempts)
        {
            RetryDecision::MayHaveRun => self.refuse(now, id, Code::MayHaveRun, out),
            RetryDecision::GiveUp if request.ran == Ran::No => {
                self.refuse(now, id, Code::EndpointRefused, out);
            }
            RetryDecision::GiveUp => self.refuse(now, id, Code::RetryBudget, out),
            RetryDecision::Retry => {
                out.push(Output::Retry(id.clone(), reason));
                self.advance(id, "failed");
                self.enqueue_front(id);
            }
        }
    }

    /// Handles a complete answer, and stores it with the claim if the request made one.
    pub(crate) fn finished(
        &mut self,
        now: Time,
        id: &RequestId,
        attempt: AttemptId,
        answer: Option<Answer>,
        out: &mut Vec<Output>,
    ) {
        if self.end_attempt(id, attempt, true).is_none() {
            return;
        }
        self.advance(id, "finish");
        let Some(request) = self.remove_request(id) else {
            return;
        };
        self.suspects.record_success(now, request.fingerprint);
        let stored = answer.filter(|a| a.body.len() <= at_most_once::MAX_STORED_ANSWER_BYTES);
        let change = stored.map_or(ClaimChange::Close { ran: true }, ClaimChange::Finish);
        self.update_claim(now, &request, change, out);
    }

    /// Ends a request whose caller disconnected.
    pub(crate) fn caller_left(&mut self, now: Time, id: &RequestId, out: &mut Vec<Output>) {
        self.cancel_attempt(id);
        self.advance(id, "cancel");
        self.dequeue(id);
        if let Some(request) = self.remove_request(id) {
            self.end_claim(now, &request, out);
        }
    }

    /// Refuses a request for good, with the wait before a retry that the code implies.
    pub(crate) fn refuse(&mut self, now: Time, id: &RequestId, code: Code, out: &mut Vec<Output>) {
        self.refuse_after(now, id, code, self.retry_after(code), out);
    }

    /// Refuses a request for good, and tells the caller to retry after `retry_after`.
    pub(crate) fn refuse_after(
        &mut self,
        now: Time,
        id: &RequestId,
        code: Code,
        retry_after: Duration,
        out: &mut Vec<Output>,
    ) {
        self.cancel_attempt(id);
        self.advance(id, "refuse");
        self.dequeue(id);
        let Some(request) = self.remove_request(id) else {
            return;
        };
        self.end_claim(now, &request, out);
        let by_key = matches!(
            code,
            Code::InProgress | Code::MayHaveRun | Code::AnswerNotKept
        );
        out.push(Output::Refuse {
            request: id.clone(),
            code,
            ran: if by_key { code.ran() } else { request.ran },
            retry_after,
        });
    }

    /// Updates the dispatcher with the endpoints of a view, except for VMs that failed recently or
    /// run a suspected request.
    pub(crate) fn refresh(&mut self, now: Time, view: &View) {
        let mut avoided: BTreeSet<VmId> = self.avoided.keys().cloned().collect();
        if self.suspects.has_any() {
            let domain = &self.config.domain;
            for (group, _) in view.table.groups() {
                let target = Target::Model(group.clone());
                let vms = Dispatcher::serving_vms(now, view, domain, &target);
                avoided.extend(self.suspects.trial_vms_in_use(now, &vms));
            }
        }
        self.dispatcher.refresh(now, view, &avoided);
    }

    /// Returns whether requests with this fingerprint are refused because they crashed endpoints.
    pub(crate) fn is_refused(&self, now: Time, view: &View, fingerprint: u64) -> bool {
        let own_entry = &self.config.owner.entry;
        let verdict = self.suspects.verdict(now, view, own_entry, fingerprint);
        matches!(verdict, Verdict::Refused(_) | Verdict::TrialElsewhere)
    }

    /// Returns the verdict on an open request: whether it may run, must run alone, or is refused.
    pub(crate) fn verdict(&self, now: Time, id: &RequestId) -> Verdict {
        let (Some(view), Some(request)) = (&self.view, self.requests.get(id)) else {
            return Verdict::Clear;
        };
        let own_entry = &self.config.owner.entry;
        self.suspects
            .verdict(now, view, own_entry, request.fingerprint)
    }

    /// Keeps a suspected request out of the queue until it can run alone; returns whether it is
    /// suspected.
    pub(crate) fn hold_if_suspected(&mut self, id: &RequestId) -> bool {
        let suspect = self.verdict(self.now, id) != Verdict::Clear;
        if suspect && !self.held_back.contains(id) {
            self.held_back.push(id.clone());
        }
        suspect
    }

    /// Requeues, holds back or refuses a request, by a verdict that changed while it waited.
    pub(crate) fn apply_verdict(
        &mut self,
        now: Time,
        id: &RequestId,
        verdict: Verdict,
        out: &mut Vec<Output>,
    ) {
        match verdict {
            Verdict::Clear => self.enqueue_front(id),
            Verdict::Suspect(_) => drop(self.hold_if_suspected(id)),
            Verdict::TrialElsewhere | Verdict::Refused(_) => {
                self.refuse(now, id, Code::Suspect, out);
            }
        }
    }

    /// Dispatches the suspected requests that may run now, each alone on its replica.
    pub(crate) fn dispatch_trials(&mut self, now: Time, out: &mut Vec<Output>) {
        for id in std::mem::take(&mut self.held_back) {
            match self.verdict(now, &id) {
                Verdict::Suspect(from) if now < from => self.held_back.push(id),
                Verdict::Suspect(_) => match self.dispatch_trial(now, &id) {
                    Some(dispatched) => {
                        self.trials.insert(id, (dispatched.vm.clone(), now));
                        self.start_attempt(dispatched, true, out);
                    }
                    None => self.held_back.push(id),
                },
                verdict => self.apply_verdict(now, &id, verdict, out),
            }
        }
    }

    fn dispatch_trial(&mut self, now: Time, id: &RequestId) -> Option<DispatchedAttempt> {
        let view = self.view.clone()?;
        let target = self.requests.get(id)?.arrival.target.clone();
        let all = Dispatcher::serving_vms(now, &view, &self.config.domain, &target);
        let vms = SuspectRequests::trial_vms(&self.config.owner.entry, &all);
        let (trials, avoided) = (&self.trials, &self.avoided);
        let running_trials = |vm: &VmId| {
            let on_vm = trials.values().filter(|(at, _)| at == vm);
            let recent = on_vm
                .clone()
                .any(|(_, since)| now.since(*since) < TRIAL_TIME);
            let usable = vms.contains(&vm) && !recent && !avoided.contains_key(vm);
            usable.then(|| on_vm.count() as u32)
        };
        self.dispatcher
            .dispatch_alone(now, &view, &target, id, running_trials)
    }

    fn avoid(&mut self, now: Time, vm: &VmId, duration: Duration) {
        self.avoided.insert(vm.clone(), now + duration);
        if let Some(view) = self.view.clone() {
            self.refresh(now, &view);
        }
    }

    /// Removes a request from its queue, or from the suspected requests that are held back.
    fn dequeue(&mut self, id: &RequestId) {
        self.held_back.retain(|held| held != id);
        if let Some(request) = self.requests.get(id) {
            let target = request.arrival.target.clone();
            self.dispatcher.remove(&target, id);
        }
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

    fn report_suspicion(
        &mut self,
        now: Time,
        id: &RequestId,
        ended: &Attempt,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if matches!(request.arrival.target, Target::Service(_)) {
            return;
        }
        let suspicion = Suspicion {
            print: request.fingerprint,
            origin: self.config.owner.entry.clone(),
            vm: ended.vm.clone(),
            run: ended.run,
            alone: ended.alone,
            age_ms: 0,
        };
        self.suspects.record_crash(now, suspicion.clone());
        out.push(Output::Suspect(suspicion));
    }

    /// Releases the claim of a request that did not run, or closes it if the request ran or may
    /// have.
    fn end_claim(&mut self, now: Time, request: &Request, out: &mut Vec<Output>) {
        let change = match request.ran {
            Ran::No => ClaimChange::Release,
            Ran::Yes => ClaimChange::Close { ran: true },
            Ran::Unknown => ClaimChange::Close { ran: false },
        };
        self.update_claim(now, request, change, out);
    }

    fn update_claim(
        &mut self,
        now: Time,
        request: &Request,
        change: ClaimChange,
        out: &mut Vec<Output>,
    ) {
        let (Some(key), Some(claim)) = (request.arrival.idempotency_key, request.claim) else {
            return;
        };
        let change = ClaimUpdate { claim, key, change };
        self.pending_updates.add(now, change.clone());
        out.push(Output::UpdateClaim(change));
    }

    /// Cancels the attempt in flight; it may have run, so the request counts as possibly run.
    fn cancel_attempt(&mut self, id: &RequestId) {
        let running = self.requests.get(id).and_then(|r| r.attempt.as_ref());
        let Some(attempt) = running.map(|a| a.id) else {
            return;
        };
        self.end_attempt(id, attempt, false);
        if let Some(request) = self.requests.get_mut(id) {
            request.ran = Ran::Unknown;
        }
    }

    fn end_attempt(
        &mut self,
        id: &RequestId,
        attempt: AttemptId,
        complete: bool,
    ) -> Option<Attempt> {
        let request = self.requests.get_mut(id)?;
        let ended = request.attempt.take_if(|a| a.id == attempt)?;
        self.dispatcher.end(self.now, attempt, complete);
        self.trials.remove(id);
        Some(ended)
    }

    fn remove_request(&mut self, id: &RequestId) -> Option<Request> {
        let request = self.requests.remove(id)?;
        self.deadlines
            .remove(&(request.arrival.deadline, id.clone()));
        if let Some(key) = request.arrival.idempotency_key {
            self.open_keys.remove(&key);
        }
        if let Some(usage) = self.usage.get_mut(&request.account) {
            usage.record_end();
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
        body: request.arrival.body_fingerprint.clone(),
    }
}
