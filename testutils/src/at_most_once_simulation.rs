//! Simulation of at-most-once requests under seeded faults, in virtual time: several gateways, the
//! claims that they fold from one log, and endpoints.
//!
//! The log loses, refuses and delays appends. Endpoints refuse requests, break connections and
//! stall. Gateways pause and crash. Callers disconnect and retry through another gateway with the
//! same idempotency key.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::at_most_once::ClaimUpdate;
use hemlock_lib::chart::Charts;
use hemlock_lib::claims::{Answer, Binding, ClaimRecord, Claims, Owner};
use hemlock_lib::codes::{Code, Ran};
use hemlock_lib::engine::Load;
use hemlock_lib::gateway::{
    Arrival, FailReason, Gateway, GatewayConfig, Hint, Input, Output, Target,
};
use hemlock_lib::hash;
use hemlock_lib::ids::{AttemptId, Incarnation, Nonce, Offset, RequestId, ServiceId, VmId};
use hemlock_lib::members::Member;
use hemlock_lib::peers::Settled;
use hemlock_lib::platform::{VmListing, VmRole};
use hemlock_lib::table::{AccountRow, ConfigRecord, Edit, Row, RowKey, ServiceRow, Table};
use hemlock_lib::time::Time;
use hemlock_lib::view::{EntryStatus, Health, View, VmStatus};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_bytes::ByteBuf;
use uuid::Uuid;

const GATEWAYS: usize = 3;
const ENDPOINTS: usize = 3;
/// Jobs of one run. Most have an idempotency key of their own.
const JOBS: usize = 10;
/// Maximum number of times that a job is sent.
const MAX_SENDS: u32 = 6;
const ACCOUNTS: [&str; 2] = ["account-01", "account-02"];
const SERVICE: &str = "ledger";
const START: Time = Time(1_700_000_000_000_000);
/// Time in milliseconds within which each job is sent for the first time.
const LOAD_MS: u64 = 8_000;
/// Virtual time that a run covers.
const RUN_LENGTH: Duration = Duration::from_secs(40);
/// Interval between two ticks of a gateway.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which each gateway gets a view.
const VIEW_INTERVAL: Duration = Duration::from_millis(500);
/// Time in milliseconds that an agent waits for the outcome of a record.
const SUBMIT_MS: u64 = 3_000;
/// Deadline of a send in milliseconds.
const DEADLINE_MS: u64 = 6_000;
/// Time past the deadline after which a send without a final answer counts as hung.
const HUNG_AFTER: Duration = Duration::from_millis(500);
/// Time in milliseconds until an attempt at a stalled endpoint fails.
const STALL_MS: u64 = 3_000;

/// Counts over one or several runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Executions after the first one of work with the same idempotency key.
    pub duplicate_runs: u64,
    /// Answers that are not the expected ones of their requests.
    pub wrong_answers: u64,
    /// Sends that were refused with `ran: no` although the request was executed.
    pub false_not_run: u64,
    /// Sends with more than one final answer.
    pub repeated_answers: u64,
    /// Sends without a final answer in time, or with a late one.
    pub hung: u64,
    /// Times that jobs were sent.
    pub sends: u64,
    /// Idempotency keys whose work was executed.
    pub executed_jobs: u64,
    /// Answers that came from an endpoint.
    pub answered: u64,
    /// Kept answers that were returned to a repeated request.
    pub replayed: u64,
    /// Refusals by code.
    pub refused: BTreeMap<Code, u64>,
}

impl Outcome {
    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Self) {
        self.duplicate_runs += other.duplicate_runs;
        self.wrong_answers += other.wrong_answers;
        self.false_not_run += other.false_not_run;
        self.repeated_answers += other.repeated_answers;
        self.hung += other.hung;
        self.sends += other.sends;
        self.executed_jobs += other.executed_jobs;
        self.answered += other.answered;
        self.replayed += other.replayed;
        for (code, count) in &other.refused {
            *self.refused.entry(*code).or_insert(0) += count;
        }
    }
}

/// Runs the simulation with the faults that follow from `seed`.
pub fn run(seed: u64, charts: &Charts) -> Outcome {
    let mut simulation = Simulation::new(seed, charts);
    simulation.run();
    simulation.into_outcome()
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    View(usize),
    /// A job is sent for the first time or again.
    Send(usize),
    /// The log appends a record.
    Append(usize),
    /// A gateway's agent folds the records of the log that it has not read yet.
    Read(usize),
    /// An agent stops waiting for the outcome of a record.
    SubmitTimeout(usize),
    /// An agent reports that a record was not appended.
    RefuseAppend(usize),
    /// An endpoint executes an attempt.
    Execute(usize),
    /// An attempt succeeds or fails.
    End(usize),
    /// A caller disconnects.
    Disconnect(usize),
    Pause(usize),
    Resume(usize),
    Crash(usize),
    Start(usize),
}

#[derive(Debug)]
struct Entry {
    gateway: Option<Gateway>,
    run: u64,
    paused: bool,
    /// When the gateway last resumed after a pause.
    resumed_at: Time,
    /// Inputs that arrived while the gateway was paused.
    queued_inputs: Vec<Input>,
    claims: Claims,
    next: u64,
}

#[derive(Debug)]
struct Job {
    key: Uuid,
    account: usize,
    body: String,
    sends: u32,
    done: bool,
}

#[derive(Debug)]
struct SentRequest {
    job: usize,
    request: RequestId,
    gateway: usize,
    run: u64,
    at: Time,
    /// Final answers that the caller got.
    final_answers: u32,
    /// Whether the caller disconnected or the gateway crashed, so that no answer is expected.
    no_answer_expected: bool,
    /// Whether a refusal stated that the request was not run.
    refused_as_not_run: bool,
    runs: u32,
}

#[derive(Debug)]
struct Submitted {
    gateway: usize,
    run: u64,
    record: ClaimRecord,
    request: Option<RequestId>,
    unsettled: bool,
}

#[derive(Debug, Clone, Copy)]
enum AttemptEnd {
    Answer,
    Fail(FailReason),
}

#[derive(Debug)]
struct Attempt {
    gateway: usize,
    run: u64,
    sent: usize,
    id: AttemptId,
    end_of_attempt: AttemptEnd,
}

struct Simulation<'a> {
    charts: &'a Charts,
    rng: SmallRng,
    now: Time,
    sequence: u64,
    heap: BinaryHeap<Reverse<(Time, u64, Event)>>,
    table: Table,
    entries: Vec<Entry>,
    jobs: Vec<Job>,
    sent: Vec<SentRequest>,
    by_request: BTreeMap<RequestId, usize>,
    submitted: Vec<Submitted>,
    log: Vec<ClaimRecord>,
    attempts: Vec<Attempt>,
    faults: Faults,
    result: Outcome,
}

/// Probabilities of the faults in this run.
#[derive(Debug)]
struct Faults {
    append: f64,
    endpoint: f64,
    disconnect: f64,
}

impl<'a> Simulation<'a> {
    fn new(seed: u64, charts: &'a Charts) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let faults = Faults {
            append: rng.random_range(0.0..0.6),
            endpoint: rng.random_range(0.0..0.6),
            disconnect: rng.random_range(0.0..0.3),
        };
        let mut simulation = Self {
            charts,
            rng,
            now: START,
            sequence: 0,
            heap: BinaryHeap::new(),
            table: table(),
            entries: Vec::new(),
            jobs: Vec::new(),
            sent: Vec::new(),
            by_request: BTreeMap::new(),
            submitted: Vec::new(),
            log: Vec::new(),
            attempts: Vec::new(),
            faults,
            result: Outcome::default(),
        };
        simulation.schedule_initial_events();
        simulation
    }

    fn schedule_initial_events(&mut self) {
        for g in 0..GATEWAYS {
            self.entries.push(Entry {
                gateway: None,
                run: 0,
                paused: false,
                resumed_at: Time::ZERO,
                queued_inputs: Vec::new(),
                claims: Claims::default(),
                next: 0,
            });
            self.start(g);
            self.schedule(TICK_INTERVAL, Event::Tick(g));
            self.schedule(Duration::ZERO, Event::View(g));
        }
        for _ in 0..self.rng.random_range(0..3) {
            let (g, at) = (
                self.rng.random_range(0..GATEWAYS),
                self.random_duration(0, LOAD_MS),
            );
            let event = if self.rng.random_bool(0.5) {
                Event::Crash(g)
            } else {
                Event::Pause(g)
            };
            self.schedule(at, event);
        }
        for job in 0..JOBS {
            self.add_job(job);
        }
    }

    fn add_job(&mut self, job: usize) {
        let at = self.random_duration(500, LOAD_MS);
        let created_ms = (self.now + at).as_millis();
        let mut random = [0; 10];
        self.rng.fill(&mut random);
        let mut key = uuid::Builder::from_unix_timestamp_millis(created_ms, &random).into_uuid();
        let mut account = 0;
        // One job in ten uses the key of the job before it, with another body and perhaps another
        // account.
        if job > 0 && self.rng.random_bool(0.1) {
            key = self.jobs[job - 1].key;
            account = self.rng.random_range(0..ACCOUNTS.len());
        }
        self.jobs.push(Job {
            key,
            account,
            body: format!("body-{job}"),
            sends: 0,
            done: false,
        });
        self.schedule(at, Event::Send(job));
        if self.rng.random_bool(0.2) {
            let again = at + self.random_duration(0, 50);
            self.schedule(again, Event::Send(job));
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.heap.pop() {
            if at > START + RUN_LENGTH {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(g) => {
                self.step(g, Input::Tick);
                self.schedule(TICK_INTERVAL, Event::Tick(g));
            }
            Event::View(g) => {
                let view = Arc::new(self.view());
                self.step(g, Input::View(view));
                self.schedule(VIEW_INTERVAL, Event::View(g));
            }
            Event::Send(job) => self.send(job),
            Event::Append(s) => self.append(s),
            Event::Read(g) => self.read(g),
            Event::SubmitTimeout(s) => self.settle(s, Settled::Unknown),
            Event::RefuseAppend(s) => self.settle(s, Settled::NotAppended),
            Event::Execute(a) => self.execute_attempt(a),
            Event::End(a) => self.end_attempt(a),
            Event::Disconnect(s) => self.disconnect(s),
            Event::Pause(g) => {
                self.entries[g].paused = true;
                let resume = self.random_duration(500, 9_000);
                self.schedule(resume, Event::Resume(g));
            }
            Event::Resume(g) => {
                self.entries[g].paused = false;
                self.entries[g].resumed_at = self.now;
                for input in std::mem::take(&mut self.entries[g].queued_inputs) {
                    self.step(g, input);
                }
            }
            Event::Crash(g) => self.crash(g),
            Event::Start(g) => self.start(g),
        }
    }

    fn send(&mut self, job: usize) {
        if self.jobs[job].done || self.jobs[job].sends >= MAX_SENDS {
            return;
        }
        self.jobs[job].sends += 1;
        self.result.sends += 1;
        let g = self.rng.random_range(0..GATEWAYS);
        if self.entries[g].gateway.is_none() {
            let again = self.random_duration(100, 1_000);
            return self.schedule(again, Event::Send(job));
        }
        let index = self.sent.len();
        let request = RequestId::new(format!("request-{index}"));
        let sent = SentRequest {
            job,
            request: request.clone(),
            gateway: g,
            run: self.entries[g].run,
            at: self.now,
            final_answers: 0,
            no_answer_expected: false,
            refused_as_not_run: false,
            runs: 0,
        };
        self.by_request.insert(request.clone(), index);
        self.sent.push(sent);
        if self.rng.random_bool(self.faults.disconnect) {
            let disconnect = self.random_duration(0, 4_000);
            self.schedule(disconnect, Event::Disconnect(index));
        }
        let job = &self.jobs[job];
        let arrival = Arrival {
            request,
            key_hash: hash::sha256_hex(ACCOUNTS[job.account].as_bytes()),
            target: Target::Service(ServiceId::new(SERVICE)),
            tokens: 1,
            deadline: self.now + Duration::from_millis(DEADLINE_MS),
            idempotency_key: Some(job.key),
            body_fingerprint: job.body.clone(),
            hint: Hint::default(),
        };
        self.step(g, Input::Arrive(arrival));
    }

    fn step(&mut self, g: usize, input: Input) {
        let entry = &mut self.entries[g];
        if entry.paused {
            // A paused process gets no ticks. Other inputs wait in its socket buffers.
            if !matches!(input, Input::Tick | Input::View(_)) {
                entry.queued_inputs.push(input);
            }
            return;
        }
        let Some(gateway) = &mut entry.gateway else {
            return;
        };
        let mut out = Vec::new();
        gateway.step(self.now, input, &mut out);
        for output in out {
            self.apply_output(g, output);
        }
    }

    fn apply_output(&mut self, g: usize, output: Output) {
        match output {
            Output::Dispatch {
                request, attempt, ..
            } => self.dispatch(g, &request, attempt),
            Output::Refuse {
                request,
                code,
                ran,
                retry_after,
            } => self.refused(&request, code, ran, retry_after),
            Output::Replay(request, answer) => {
                self.result.replayed += 1;
                self.answered(&request, &answer);
            }
            Output::Claim(request, change, binding) => {
                self.submit(g, Some(request), change, Some(binding));
            }
            Output::UpdateClaim(change) => self.submit(g, None, change, None),
            Output::Suspect(_) | Output::Retry(..) => {}
        }
    }

    fn submit(
        &mut self,
        g: usize,
        request: Option<RequestId>,
        change: ClaimUpdate,
        binding: Option<Binding>,
    ) {
        let entry = &mut self.entries[g];
        entry.next += 1;
        let record = ClaimRecord {
            nonce: Nonce((g as u64) << 40 | entry.run << 20 | entry.next),
            key: change.key,
            owner: owner(g, entry.run),
            claim: change.claim,
            binding,
            change: change.change,
        };
        let s = self.submitted.len();
        self.submitted.push(Submitted {
            gateway: g,
            run: entry.run,
            record,
            request,
            unsettled: true,
        });
        self.schedule(Duration::from_millis(SUBMIT_MS), Event::SubmitTimeout(s));
        if !self.rng.random_bool(self.faults.append) {
            let delay = self.random_duration(1, 30);
            return self.schedule(delay, Event::Append(s));
        }
        match self.rng.random_range(0..4) {
            0 => {
                let delay = self.random_duration(1, 100);
                self.schedule(delay, Event::RefuseAppend(s));
            }
            1 => {}
            2 => {
                let delay = self.random_duration(500, SUBMIT_MS + 500);
                self.schedule(delay, Event::Append(s));
            }
            _ => {
                let delay = self.random_duration(SUBMIT_MS, 12_000);
                self.schedule(delay, Event::Append(s));
            }
        }
    }

    fn append(&mut self, s: usize) {
        self.log.push(self.submitted[s].record.clone());
        for g in 0..GATEWAYS {
            let max_delay_ms = if self.rng.random_bool(0.1) { 2_000 } else { 40 };
            let delay = self.random_duration(1, max_delay_ms);
            self.schedule(delay, Event::Read(g));
        }
    }

    fn read(&mut self, g: usize) {
        if self.entries[g].paused {
            return;
        }
        let from = self.entries[g].claims.next.0 as usize;
        for offset in from..self.log.len() {
            let record = self.log[offset].clone();
            let claims = &mut self.entries[g].claims;
            let folded = claims.fold(Offset(offset as u64), &record);
            let settled = match (folded, claims.get(&record.key)) {
                (Ok(()), _) => Settled::Accepted {
                    offset: Offset(offset as u64),
                },
                (Err(_), Some(held)) => Settled::ClaimTaken {
                    owner: held.owner.clone(),
                    claim: held.claim,
                    binding: held.binding.clone(),
                    answer: held.answer.clone(),
                    closed: held.closed,
                },
                (Err(_), None) => Settled::NotAppended,
            };
            let own_record = self
                .submitted
                .iter()
                .position(|s| s.record.nonce == record.nonce && s.gateway == g);
            if let Some(s) = own_record {
                self.settle(s, settled);
            }
        }
    }

    fn settle(&mut self, s: usize, settled: Settled) {
        let submitted = &mut self.submitted[s];
        let (g, run) = (submitted.gateway, submitted.run);
        if !submitted.unsettled || self.entries[g].run != run {
            return;
        }
        submitted.unsettled = false;
        let input = match &submitted.request {
            Some(request) => Input::Claimed(request.clone(), settled),
            None => Input::ClaimUpdated(submitted.record.claim, settled),
        };
        self.step(g, input);
    }

    fn dispatch(&mut self, g: usize, request: &RequestId, id: AttemptId) {
        let sent = self.by_request[request];
        let fault = self.rng.random_bool(self.faults.endpoint);
        let (executes, end_of_attempt) = match self.rng.random_range(0..6) {
            _ if !fault => (true, AttemptEnd::Answer),
            0 => (false, AttemptEnd::Fail(FailReason::Connect)),
            1 => (false, AttemptEnd::Fail(FailReason::Refused)),
            2 => (false, AttemptEnd::Fail(FailReason::Broken)),
            3 => (true, AttemptEnd::Fail(FailReason::Broken)),
            4 => (true, AttemptEnd::Fail(FailReason::Stalled)),
            _ => (true, AttemptEnd::Answer),
        };
        let a = self.attempts.len();
        self.attempts.push(Attempt {
            gateway: g,
            run: self.entries[g].run,
            sent,
            id,
            end_of_attempt,
        });
        let max_delay_ms = if fault { 5_000 } else { 200 };
        let run = self.random_duration(1, max_delay_ms);
        if executes {
            self.schedule(run, Event::Execute(a));
        }
        let end = match end_of_attempt {
            AttemptEnd::Fail(FailReason::Stalled) => Duration::from_millis(STALL_MS),
            _ => run + self.random_duration(1, 50),
        };
        self.schedule(end, Event::End(a));
    }

    fn execute_attempt(&mut self, a: usize) {
        let sent = &mut self.sent[self.attempts[a].sent];
        sent.runs += 1;
    }

    fn end_attempt(&mut self, a: usize) {
        let attempt = &self.attempts[a];
        let (g, id, sent) = (attempt.gateway, attempt.id, attempt.sent);
        if self.entries[g].run != attempt.run {
            return;
        }
        if self.entries[g].paused {
            // The reply waits in the socket buffer.
            return self.schedule(TICK_INTERVAL, Event::End(a));
        }
        let request = self.sent[sent].request.clone();
        match attempt.end_of_attempt {
            AttemptEnd::Fail(reason) => self.step(g, Input::Failed(request, id, reason)),
            AttemptEnd::Answer => {
                let answer = self.expected_answer(sent);
                // The gateway forwards the answer to the caller, unless the request was refused before.
                if self.sent[sent].final_answers == 0 && !self.sent[sent].no_answer_expected {
                    self.result.answered += 1;
                    self.answered(&request, &answer);
                }
                self.step(g, Input::Finished(request, id, Some(answer)));
            }
        }
    }

    fn expected_answer(&self, sent: usize) -> Answer {
        let job = &self.jobs[self.sent[sent].job];
        let text = format!("{}/{}", ACCOUNTS[job.account], job.body);
        Answer {
            status: 200,
            kind: "text/plain".to_owned(),
            body: ByteBuf::from(text.into_bytes()),
        }
    }

    fn answered(&mut self, request: &RequestId, answer: &Answer) {
        let sent = self.by_request[request];
        if *answer != self.expected_answer(sent) {
            self.result.wrong_answers += 1;
        }
        self.count_final_answer(sent);
        let job = self.sent[sent].job;
        self.jobs[job].done = true;
    }

    fn refused(&mut self, request: &RequestId, code: Code, ran: Ran, after: Duration) {
        *self.result.refused.entry(code).or_insert(0) += 1;
        let sent = self.by_request[request];
        self.count_final_answer(sent);
        self.sent[sent].refused_as_not_run |= ran == Ran::No;
        let job = self.sent[sent].job;
        if code.is_retryable() {
            let wait = after + self.random_duration(0, 500);
            self.schedule(wait, Event::Send(job));
        }
    }

    /// Counts a final answer. A late one counts as hung too, unless the gateway was paused until
    /// shortly before.
    fn count_final_answer(&mut self, sent: usize) {
        let sent = &mut self.sent[sent];
        sent.final_answers += 1;
        let deadline = sent.at + Duration::from_millis(DEADLINE_MS);
        let due = deadline.max(self.entries[sent.gateway].resumed_at) + HUNG_AFTER;
        self.result.hung += u64::from(self.now > due);
    }

    fn disconnect(&mut self, s: usize) {
        let sent = &mut self.sent[s];
        if sent.final_answers > 0 || sent.no_answer_expected {
            return;
        }
        sent.no_answer_expected = true;
        let (g, run, job) = (sent.gateway, sent.run, sent.job);
        let request = sent.request.clone();
        if self.entries[g].run == run {
            self.step(g, Input::CallerLeft(request));
        }
        let wait = self.random_duration(0, 1_000);
        self.schedule(wait, Event::Send(job));
    }

    fn crash(&mut self, g: usize) {
        let entry = &mut self.entries[g];
        if entry.gateway.take().is_none() {
            return;
        }
        entry.queued_inputs.clear();
        let run = entry.run;
        entry.run += 1;
        let interrupted = |s: &&mut SentRequest| {
            s.gateway == g && s.run == run && s.final_answers == 0 && !s.no_answer_expected
        };
        let mut again = Vec::new();
        for sent in self.sent.iter_mut().filter(interrupted) {
            sent.no_answer_expected = true;
            again.push(sent.job);
        }
        for job in again {
            let wait = self.random_duration(0, 1_000);
            self.schedule(wait, Event::Send(job));
        }
        let start = self.random_duration(200, 4_000);
        self.schedule(start, Event::Start(g));
    }

    fn start(&mut self, g: usize) {
        let entry = &mut self.entries[g];
        entry.run += 1;
        entry.paused = false;
        let config = GatewayConfig {
            owner: owner(g, entry.run),
            domain: "riverside".into(),
            queue_limit: 64,
            max_key_age: Duration::from_secs(600),
            isolation_timeout: Duration::from_secs(3_600),
            seed: entry.run,
        };
        entry.gateway = Some(Gateway::new(config, self.charts));
        self.schedule(Duration::ZERO, Event::View(g));
    }

    fn view(&self) -> View {
        let entries = self.entries.iter().enumerate().map(|(g, entry)| {
            let name = format!("entry-{g}");
            EntryStatus {
                member: Member {
                    entry: name.as_str().into(),
                    domain: "riverside".into(),
                    gateway: format!("http://{name}"),
                    agent: format!("http://{name}"),
                    gossip: name,
                    incarnation: Incarnation(entry.run),
                    leaving: false,
                },
                live: entry.gateway.is_some() && !entry.paused,
                spare: 1.0,
                config: 0,
            }
        });
        let vms = (0..ENDPOINTS).map(|i| {
            let vm = VmId::new(format!("ledger-{i}"));
            let listing = VmListing {
                vm: vm.clone(),
                address: format!("http://{vm}"),
                domain: "riverside".into(),
                role: VmRole::Service(SERVICE.into()),
                leaving: false,
            };
            let status = VmStatus {
                listing,
                health: Health::Live,
                run: Incarnation(1),
                held: None,
                load: Load::default(),
                silent_ms: 0,
            };
            (vm, status)
        });
        View {
            version: 1,
            table: self.table.clone(),
            entries: entries.collect(),
            vms: vms.collect(),
            log_up: true,
            peers_up: true,
            ..View::default()
        }
    }

    fn into_outcome(mut self) -> Outcome {
        let mut runs: BTreeMap<Uuid, u64> = BTreeMap::new();
        for sent in &self.sent {
            *runs.entry(self.jobs[sent.job].key).or_insert(0) += u64::from(sent.runs);
            self.result.false_not_run += u64::from(sent.refused_as_not_run && sent.runs > 0);
            self.result.repeated_answers += u64::from(sent.final_answers > 1);
            let due =
                START + RUN_LENGTH > sent.at + Duration::from_millis(DEADLINE_MS) + HUNG_AFTER;
            self.result.hung +=
                u64::from(due && sent.final_answers == 0 && !sent.no_answer_expected);
        }
        self.result.duplicate_runs = runs.values().map(|r| r.saturating_sub(1)).sum();
        self.result.executed_jobs = runs.values().filter(|r| **r > 0).count() as u64;
        self.result
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.heap
            .push(Reverse((self.now + after, self.sequence, event)));
    }

    fn random_duration(&mut self, low: u64, high: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(low..=high.max(low)))
    }
}

fn owner(g: usize, run: u64) -> Owner {
    Owner {
        entry: format!("entry-{g}").as_str().into(),
        run: Incarnation(run),
    }
}

fn table() -> Table {
    let account = |name: &str| Edit {
        key: RowKey::Account(name.into()),
        base: None,
        row: Some(Row::Account(AccountRow {
            key_hash: hash::sha256_hex(name.as_bytes()),
            weight: 1.0,
            requests: 10_000.0,
            tokens: 1_000_000.0,
            concurrency: 10_000,
        })),
    };
    let mut edits: Vec<Edit> = ACCOUNTS.into_iter().map(account).collect();
    edits.push(Edit {
        key: RowKey::Service(SERVICE.into()),
        base: None,
        row: Some(Row::Service(ServiceRow { slots: 16 })),
    });
    let record = ConfigRecord {
        nonce: Nonce(1),
        author: "schedule".to_owned(),
        at_ms: 0,
        edits,
    };
    let mut table = Table::default();
    table
        .fold(Offset(0), &record)
        .expect("the rows are well formed");
    table
}
