//! Seeded fault schedules for non-idempotent work: several gateways, the claims that they fold from
//! one log, and endpoints, all in virtual time.
//!
//! The log loses, refuses and delays appends; endpoints refuse, break and stall; gateways pause and
//! die; callers leave and send again elsewhere under the same key.

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
/// Jobs of one schedule, each under a key of its own.
const JOBS: usize = 10;
/// Sends of one job at most.
const SENDS: u32 = 6;
const ACCOUNTS: [&str; 2] = ["account-01", "account-02"];
const SERVICE: &str = "ledger";
const START: Time = Time(1_700_000_000_000_000);
/// Time within which the jobs start.
const LOAD_MS: u64 = 8_000;
const END: Duration = Duration::from_secs(40);
const TICK: Duration = Duration::from_millis(100);
const VIEWS: Duration = Duration::from_millis(500);
/// Time that an agent waits until a record is settled.
const SUBMIT_MS: u64 = 3_000;
const DEADLINE_MS: u64 = 6_000;
/// Time past its deadline after which a send without an answer counts as hung.
const BOUND: Duration = Duration::from_millis(500);
const STALL_MS: u64 = 3_000;

/// What came of schedules.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Runs beyond the first of work under one key.
    pub duplicate_runs: u64,
    /// Answers that are not the ones of their request.
    pub wrong_answers: u64,
    /// Refusals that said `ran: no` though the request was run.
    pub false_not_run: u64,
    /// Sends with more than one final answer.
    pub repeated_answers: u64,
    /// Sends without a final answer at their deadline.
    pub hung: u64,
    /// Sends.
    pub sends: u64,
    /// Jobs whose work ran.
    pub executed_jobs: u64,
    /// Answers given first.
    pub answered: u64,
    /// Kept answers given again.
    pub replayed: u64,
    /// Refusals by code.
    pub refused: BTreeMap<Code, u64>,
}

impl Outcome {
    /// Adds the outcome of another schedule.
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

/// Runs the schedule of a seed to its end.
pub fn run(seed: u64, charts: &Charts) -> Outcome {
    let mut world = World::new(seed, charts);
    world.run();
    world.outcome()
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    View(usize),
    /// A job is sent, or sent again.
    Send(usize),
    /// The log takes a record.
    Append(usize),
    /// A reader folds what the log holds.
    Read(usize),
    /// An agent gives up waiting for a record.
    Expire(usize),
    /// The agent tells that a record was not appended.
    Refuse(usize),
    /// An endpoint runs an attempt.
    Run(usize),
    /// An attempt ends.
    End(usize),
    Leave(usize),
    Pause(usize),
    Wake(usize),
    Die(usize),
    Start(usize),
}

#[derive(Debug)]
struct Entry {
    gateway: Option<Gateway>,
    run: u64,
    paused: bool,
    /// When it last woke.
    woke: Time,
    /// What came while it was paused.
    held: Vec<Input>,
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
struct Sent {
    job: usize,
    request: RequestId,
    gateway: usize,
    run: u64,
    at: Time,
    /// Final answers given.
    finals: u32,
    /// Whether the caller left or the gateway died, so that no answer is due.
    gone: bool,
    /// Whether the refusal said that it was not run.
    denied: bool,
    runs: u32,
}

#[derive(Debug)]
struct Submitted {
    gateway: usize,
    run: u64,
    record: ClaimRecord,
    request: Option<RequestId>,
    open: bool,
}

#[derive(Debug, Clone, Copy)]
enum Fate {
    Answer,
    Fail(FailReason),
}

#[derive(Debug)]
struct Attempt {
    gateway: usize,
    run: u64,
    sent: usize,
    id: AttemptId,
    fate: Fate,
}

struct World<'a> {
    charts: &'a Charts,
    rng: SmallRng,
    now: Time,
    order: u64,
    heap: BinaryHeap<Reverse<(Time, u64, Event)>>,
    table: Table,
    entries: Vec<Entry>,
    jobs: Vec<Job>,
    sent: Vec<Sent>,
    by_request: BTreeMap<RequestId, usize>,
    submitted: Vec<Submitted>,
    log: Vec<ClaimRecord>,
    attempts: Vec<Attempt>,
    faults: Faults,
    result: Outcome,
}

/// How likely faults are in this schedule.
#[derive(Debug)]
struct Faults {
    append: f64,
    endpoint: f64,
    leave: f64,
}

impl<'a> World<'a> {
    fn new(seed: u64, charts: &'a Charts) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let faults = Faults {
            append: rng.random_range(0.0..0.6),
            endpoint: rng.random_range(0.0..0.6),
            leave: rng.random_range(0.0..0.3),
        };
        let mut world = Self {
            charts,
            rng,
            now: START,
            order: 0,
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
        world.set_up();
        world
    }

    fn set_up(&mut self) {
        for g in 0..GATEWAYS {
            self.entries.push(Entry {
                gateway: None,
                run: 0,
                paused: false,
                woke: Time::ZERO,
                held: Vec::new(),
                claims: Claims::default(),
                next: 0,
            });
            self.start(g);
            self.at(TICK, Event::Tick(g));
            self.at(Duration::ZERO, Event::View(g));
        }
        for _ in 0..self.rng.random_range(0..3) {
            let (g, at) = (self.rng.random_range(0..GATEWAYS), self.ms(0, LOAD_MS));
            let event = if self.rng.random_bool(0.5) {
                Event::Die(g)
            } else {
                Event::Pause(g)
            };
            self.at(at, event);
        }
        for job in 0..JOBS {
            self.add_job(job);
        }
    }

    fn add_job(&mut self, job: usize) {
        let at = self.ms(500, LOAD_MS);
        let made = (self.now + at).as_millis();
        let mut random = [0; 10];
        self.rng.fill(&mut random);
        let mut key = uuid::Builder::from_unix_timestamp_millis(made, &random).into_uuid();
        let mut account = 0;
        // A few jobs use the key of an earlier one, for another body or account.
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
        self.at(at, Event::Send(job));
        if self.rng.random_bool(0.2) {
            let again = at + self.ms(0, 50);
            self.at(again, Event::Send(job));
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.heap.pop() {
            if at > START + END {
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
                self.at(TICK, Event::Tick(g));
            }
            Event::View(g) => {
                let view = Arc::new(self.view());
                self.step(g, Input::View(view));
                self.at(VIEWS, Event::View(g));
            }
            Event::Send(job) => self.send(job),
            Event::Append(s) => self.append(s),
            Event::Read(g) => self.read(g),
            Event::Expire(s) => self.settle(s, Settled::Unknown),
            Event::Refuse(s) => self.settle(s, Settled::NotAppended),
            Event::Run(a) => self.run_attempt(a),
            Event::End(a) => self.end_attempt(a),
            Event::Leave(s) => self.leave(s),
            Event::Pause(g) => {
                self.entries[g].paused = true;
                let wake = self.ms(500, 9_000);
                self.at(wake, Event::Wake(g));
            }
            Event::Wake(g) => {
                self.entries[g].paused = false;
                self.entries[g].woke = self.now;
                for input in std::mem::take(&mut self.entries[g].held) {
                    self.step(g, input);
                }
            }
            Event::Die(g) => self.die(g),
            Event::Start(g) => self.start(g),
        }
    }

    fn send(&mut self, job: usize) {
        if self.jobs[job].done || self.jobs[job].sends >= SENDS {
            return;
        }
        self.jobs[job].sends += 1;
        self.result.sends += 1;
        let g = self.rng.random_range(0..GATEWAYS);
        if self.entries[g].gateway.is_none() {
            let again = self.ms(100, 1_000);
            return self.at(again, Event::Send(job));
        }
        let index = self.sent.len();
        let request = RequestId::new(format!("request-{index}"));
        let sent = Sent {
            job,
            request: request.clone(),
            gateway: g,
            run: self.entries[g].run,
            at: self.now,
            finals: 0,
            gone: false,
            denied: false,
            runs: 0,
        };
        self.by_request.insert(request.clone(), index);
        self.sent.push(sent);
        if self.rng.random_bool(self.faults.leave) {
            let leave = self.ms(0, 4_000);
            self.at(leave, Event::Leave(index));
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
            // Time does not pass for a paused process; only its sockets fill.
            if !matches!(input, Input::Tick | Input::View(_)) {
                entry.held.push(input);
            }
            return;
        }
        let Some(gateway) = &mut entry.gateway else {
            return;
        };
        let mut out = Vec::new();
        gateway.step(self.now, input, &mut out);
        for output in out {
            self.carry_out(g, output);
        }
    }

    fn carry_out(&mut self, g: usize, output: Output) {
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
            open: true,
        });
        self.at(Duration::from_millis(SUBMIT_MS), Event::Expire(s));
        if !self.rng.random_bool(self.faults.append) {
            let delay = self.ms(1, 30);
            return self.at(delay, Event::Append(s));
        }
        match self.rng.random_range(0..4) {
            0 => {
                let delay = self.ms(1, 100);
                self.at(delay, Event::Refuse(s));
            }
            1 => {}
            2 => {
                let delay = self.ms(500, SUBMIT_MS + 500);
                self.at(delay, Event::Append(s));
            }
            _ => {
                let delay = self.ms(SUBMIT_MS, 12_000);
                self.at(delay, Event::Append(s));
            }
        }
    }

    fn append(&mut self, s: usize) {
        self.log.push(self.submitted[s].record.clone());
        for g in 0..GATEWAYS {
            let slow = if self.rng.random_bool(0.1) { 2_000 } else { 40 };
            let delay = self.ms(1, slow);
            self.at(delay, Event::Read(g));
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
            let mine = self
                .submitted
                .iter()
                .position(|s| s.record.nonce == record.nonce && s.gateway == g);
            if let Some(s) = mine {
                self.settle(s, settled);
            }
        }
    }

    fn settle(&mut self, s: usize, settled: Settled) {
        let submitted = &mut self.submitted[s];
        let (g, run) = (submitted.gateway, submitted.run);
        if !submitted.open || self.entries[g].run != run {
            return;
        }
        submitted.open = false;
        let input = match &submitted.request {
            Some(request) => Input::Claimed(request.clone(), settled),
            None => Input::ClaimUpdated(submitted.record.claim, settled),
        };
        self.step(g, input);
    }

    fn dispatch(&mut self, g: usize, request: &RequestId, id: AttemptId) {
        let sent = self.by_request[request];
        let fault = self.rng.random_bool(self.faults.endpoint);
        let (runs, fate) = match self.rng.random_range(0..6) {
            _ if !fault => (true, Fate::Answer),
            0 => (false, Fate::Fail(FailReason::Connect)),
            1 => (false, Fate::Fail(FailReason::Refused)),
            2 => (false, Fate::Fail(FailReason::Broken)),
            3 => (true, Fate::Fail(FailReason::Broken)),
            4 => (true, Fate::Fail(FailReason::Stalled)),
            _ => (true, Fate::Answer),
        };
        let a = self.attempts.len();
        self.attempts.push(Attempt {
            gateway: g,
            run: self.entries[g].run,
            sent,
            id,
            fate,
        });
        let slow = if fault { 5_000 } else { 200 };
        let run = self.ms(1, slow);
        if runs {
            self.at(run, Event::Run(a));
        }
        let end = match fate {
            Fate::Fail(FailReason::Stalled) => Duration::from_millis(STALL_MS),
            _ => run + self.ms(1, 50),
        };
        self.at(end, Event::End(a));
    }

    fn run_attempt(&mut self, a: usize) {
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
            // The reply waits in the socket.
            return self.at(TICK, Event::End(a));
        }
        let request = self.sent[sent].request.clone();
        match attempt.fate {
            Fate::Fail(reason) => self.step(g, Input::Failed(request, id, reason)),
            Fate::Answer => {
                let answer = self.right_answer(sent);
                // The task of the request hands the answer on unless it was told of a refusal.
                if self.sent[sent].finals == 0 && !self.sent[sent].gone {
                    self.result.answered += 1;
                    self.answered(&request, &answer);
                }
                self.step(g, Input::Finished(request, id, Some(answer)));
            }
        }
    }

    fn right_answer(&self, sent: usize) -> Answer {
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
        if *answer != self.right_answer(sent) {
            self.result.wrong_answers += 1;
        }
        self.finish(sent);
        let job = self.sent[sent].job;
        self.jobs[job].done = true;
    }

    fn refused(&mut self, request: &RequestId, code: Code, ran: Ran, after: Duration) {
        *self.result.refused.entry(code).or_insert(0) += 1;
        let sent = self.by_request[request];
        self.finish(sent);
        self.sent[sent].denied |= ran == Ran::No;
        let job = self.sent[sent].job;
        if code.is_retryable() {
            let wait = after + self.ms(0, 500);
            self.at(wait, Event::Send(job));
        }
    }

    /// Counts a final answer, and a late one of a gateway that was not paused as hung.
    fn finish(&mut self, sent: usize) {
        let sent = &mut self.sent[sent];
        sent.finals += 1;
        let deadline = sent.at + Duration::from_millis(DEADLINE_MS);
        let due = deadline.max(self.entries[sent.gateway].woke) + BOUND;
        self.result.hung += u64::from(self.now > due);
    }

    fn leave(&mut self, s: usize) {
        let sent = &mut self.sent[s];
        if sent.finals > 0 || sent.gone {
            return;
        }
        sent.gone = true;
        let (g, run, job) = (sent.gateway, sent.run, sent.job);
        let request = sent.request.clone();
        if self.entries[g].run == run {
            self.step(g, Input::CallerLeft(request));
        }
        let wait = self.ms(0, 1_000);
        self.at(wait, Event::Send(job));
    }

    fn die(&mut self, g: usize) {
        let entry = &mut self.entries[g];
        if entry.gateway.take().is_none() {
            return;
        }
        entry.held.clear();
        let run = entry.run;
        entry.run += 1;
        let cut = |s: &&mut Sent| s.gateway == g && s.run == run && s.finals == 0 && !s.gone;
        let mut again = Vec::new();
        for sent in self.sent.iter_mut().filter(cut) {
            sent.gone = true;
            again.push(sent.job);
        }
        for job in again {
            let wait = self.ms(0, 1_000);
            self.at(wait, Event::Send(job));
        }
        let start = self.ms(200, 4_000);
        self.at(start, Event::Start(g));
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
        self.at(Duration::ZERO, Event::View(g));
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

    fn outcome(mut self) -> Outcome {
        let mut runs: BTreeMap<Uuid, u64> = BTreeMap::new();
        for sent in &self.sent {
            *runs.entry(self.jobs[sent.job].key).or_insert(0) += u64::from(sent.runs);
            self.result.false_not_run += u64::from(sent.denied && sent.runs > 0);
            self.result.repeated_answers += u64::from(sent.finals > 1);
            let due = START + END > sent.at + Duration::from_millis(DEADLINE_MS) + BOUND;
            self.result.hung += u64::from(due && sent.finals == 0 && !sent.gone);
        }
        self.result.duplicate_runs = runs.values().map(|r| r.saturating_sub(1)).sum();
        self.result.executed_jobs = runs.values().filter(|r| **r > 0).count() as u64;
        self.result
    }

    fn at(&mut self, after: Duration, event: Event) {
        self.order += 1;
        self.heap
            .push(Reverse((self.now + after, self.order, event)));
    }

    fn ms(&mut self, low: u64, high: u64) -> Duration {
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
