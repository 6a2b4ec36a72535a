//! Simulation of load on model replicas through several gateways, seeded and in virtual time, while
//! attempts fail, endpoints are lost, or one repeatedly sent request crashes its endpoints.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::chart::Charts;
use hemlock_lib::claims::Owner;
use hemlock_lib::codes::Code;
use hemlock_lib::engine::{HeldReplica, Load};
use hemlock_lib::fleet::{Fleet, FleetChange, FleetRecord, Form};
use hemlock_lib::gateway::{
    Arrival, FailReason, Gateway, GatewayConfig, Hint, Input, Output, Target,
};
use hemlock_lib::hash;
use hemlock_lib::ids::{
    AttemptId, DomainId, Fence, Incarnation, Nonce, Offset, ReplicaId, ReplicaSeq, RequestId, VmId,
};
use hemlock_lib::members::Member;
use hemlock_lib::peers::Suspicion;
use hemlock_lib::platform::{VmListing, VmRole};
use hemlock_lib::table::{
    AccountRow, ConfigRecord, Edit, GroupRow, Row, RowKey, Table, VersionRow,
};
use hemlock_lib::time::Time;
use hemlock_lib::view::{EntryStatus, Health, View, VmStatus};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const ACCOUNT: &str = "account-01";
const GROUP: &str = "listwriter";
const DOMAINS: [&str; 3] = ["riverside", "pinehill", "cotton-row"];
/// Interval between two ticks of a gateway.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which each gateway gets a view.
const VIEW_INTERVAL: Duration = Duration::from_millis(250);
/// Time until probes show that an endpoint went down or came back up.
const PROBE_DELAY: Duration = Duration::from_millis(500);
/// Time until a suspicion has reached all gateways.
const SUSPICION_SPREAD_DELAY: Duration = Duration::from_millis(400);
/// Time until a lost endpoint comes back up.
const DOWNTIME: Duration = Duration::from_secs(8);
/// Deadline of each request after its arrival.
const DEADLINE: Duration = Duration::from_secs(20);
/// Time from the start of the crashing request until its endpoint goes down.
const CRASH_DELAY: Duration = Duration::from_millis(40);
/// Tokens of each request.
const REQUEST_TOKENS: u64 = 100;

/// Load and faults of a run.
#[derive(Debug, Clone)]
pub struct Config {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of replicas. Each has one VM.
    pub replicas: usize,
    /// Mean arrival rate over all gateways, in requests a second.
    pub requests_per_s: f64,
    /// Time during which requests arrive.
    pub load_duration: Duration,
    /// Probability that an attempt fails, in the middle third of the load, from 0 to 1.
    pub attempt_failure_rate: f64,
    /// Whether a caller repeatedly sends a request that crashes its endpoint.
    pub crashing_request: bool,
    /// Endpoints of one failure domain that are lost at the same time, without a crashing request.
    pub simultaneous_losses: usize,
}

/// Counts of a run. The crashing request is not among the innocent requests.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Innocent requests that arrived.
    pub requests: u64,
    /// Innocent requests that were answered.
    pub answered: u64,
    /// Refusals of innocent requests by code.
    pub refused: BTreeMap<Code, u64>,
    /// Innocent requests without a final answer at the end of the run.
    pub hung: u64,
    /// Retries by reason.
    pub retries: BTreeMap<FailReason, u64>,
    /// Endpoints that the crashing request took down.
    pub crashes: u64,
    /// Times that the crashing request was sent.
    pub crashing_request_sends: u64,
    /// Longest time from the loss of an endpoint to the answer of a request that was running there, in
    /// milliseconds.
    pub recovery_ms: u64,
}

impl Outcome {
    /// Returns the number of retries as a share of the innocent requests.
    pub fn retry_share(&self) -> f64 {
        self.retries.values().sum::<u64>() as f64 / self.requests.max(1) as f64
    }

    /// Returns the number of innocent requests that were refused with `code`.
    pub fn refusals(&self, code: Code) -> u64 {
        self.refused.get(&code).copied().unwrap_or(0)
    }
}

/// Runs the simulation with the random choices that follow from `seed`.
pub fn run(seed: u64, config: &Config, charts: &Charts) -> Outcome {
    let mut simulation = Simulation::new(seed, config.clone(), charts);
    simulation.run();
    simulation.result.hung = simulation.unanswered.len() as u64;
    simulation.result
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    SendCrashingRequest,
    Tick(usize),
    View(usize),
    End(usize),
    Crash(usize),
    Lose(usize),
    Recover(usize),
}

#[derive(Debug)]
struct Vm {
    id: VmId,
    domain: DomainId,
    run: u64,
    up: bool,
    /// When the VM last went down or came back up; zero if it never did.
    changed_at: Time,
    running: BTreeSet<usize>,
}

#[derive(Debug)]
struct Attempt {
    gateway: usize,
    request: RequestId,
    id: AttemptId,
    vm: usize,
    failing: bool,
}

struct Simulation {
    config: Config,
    rng: SmallRng,
    now: Time,
    sequence: u64,
    heap: BinaryHeap<Reverse<(Time, u64, Event)>>,
    table: Table,
    gateways: Vec<Gateway>,
    vms: Vec<Vm>,
    attempts: Vec<Attempt>,
    suspicions: Vec<(Suspicion, Time)>,
    unanswered: BTreeSet<RequestId>,
    lost_at: BTreeMap<RequestId, Time>,
    next: u64,
    result: Outcome,
}

impl Simulation {
    fn new(seed: u64, config: Config, charts: &Charts) -> Self {
        let vm = |i: usize| Vm {
            id: VmId::new(format!("engine-{i:02}")),
            domain: DOMAINS[i % DOMAINS.len()].into(),
            run: 1,
            up: true,
            changed_at: Time::ZERO,
            running: BTreeSet::new(),
        };
        let gateway = |g: usize| {
            let config = GatewayConfig {
                owner: Owner {
                    entry: entry_name(g).as_str().into(),
                    run: Incarnation(1),
                },
                domain: DOMAINS[g % DOMAINS.len()].into(),
                queue_limit: 1_024,
                max_key_age: Duration::from_secs(600),
                isolation_timeout: Duration::from_secs(3_600),
                seed: seed ^ g as u64,
            };
            Gateway::new(config, charts)
        };
        let mut simulation = Self {
            rng: SmallRng::seed_from_u64(seed),
            now: Time::from_millis(1_000),
            sequence: 0,
            heap: BinaryHeap::new(),
            table: table(config.replicas as u32),
            gateways: (0..config.gateways).map(gateway).collect(),
            vms: (0..config.replicas).map(vm).collect(),
            attempts: Vec::new(),
            suspicions: Vec::new(),
            unanswered: BTreeSet::new(),
            lost_at: BTreeMap::new(),
            next: 0,
            result: Outcome::default(),
            config,
        };
        simulation.schedule_initial_events();
        simulation
    }

    fn schedule_initial_events(&mut self) {
        for g in 0..self.config.gateways {
            self.schedule(Duration::ZERO, Event::View(g));
            self.schedule(TICK_INTERVAL, Event::Tick(g));
        }
        self.schedule(Duration::from_millis(100), Event::Arrive);
        if self.config.crashing_request {
            self.schedule(self.config.load_duration / 4, Event::SendCrashingRequest);
        }
        for vm in 0..self.config.simultaneous_losses {
            // The VMs of the first failure domain have multiples of the number of domains as index.
            self.schedule(
                self.config.load_duration / 2,
                Event::Lose(vm * DOMAINS.len()),
            );
        }
    }

    fn run(&mut self) {
        let end = self.now + self.config.load_duration + DEADLINE + DEADLINE;
        while let Some(Reverse((at, _, event))) = self.heap.pop() {
            if at > end {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => {
                self.result.requests += 1;
                self.arrive("innocent");
                let gap = -self.rng.random::<f64>().max(1e-9).ln() / self.config.requests_per_s;
                let next = Duration::from_secs_f64(gap);
                if self.now.since(Time::ZERO) + next < self.config.load_duration {
                    self.schedule(next, Event::Arrive);
                }
            }
            Event::SendCrashingRequest => {
                self.result.crashing_request_sends += 1;
                self.arrive("culprit");
            }
            Event::Tick(g) => {
                self.step(g, Input::Tick);
                self.schedule(TICK_INTERVAL, Event::Tick(g));
            }
            Event::View(g) => {
                let view = Arc::new(self.view(g));
                self.step(g, Input::View(view));
                self.schedule(VIEW_INTERVAL, Event::View(g));
            }
            Event::End(a) => self.end(a),
            Event::Crash(a) => self.crash(a),
            Event::Lose(vm) => self.lose(vm),
            Event::Recover(vm) => {
                let now = self.now;
                let vm = &mut self.vms[vm];
                (vm.up, vm.changed_at) = (true, now);
            }
        }
    }

    fn arrive(&mut self, kind: &str) {
        self.next += 1;
        let id = RequestId::new(format!("{kind}-{}", self.next));
        let body_fingerprint = match kind {
            "culprit" => kind.to_owned(),
            _ => id.to_string(),
        };
        let arrival = Arrival {
            request: id.clone(),
            key_hash: hash::sha256_hex(ACCOUNT.as_bytes()),
            target: Target::Model(GROUP.into()),
            tokens: REQUEST_TOKENS,
            deadline: self.now + DEADLINE,
            idempotency_key: None,
            body_fingerprint,
            hint: Hint::default(),
        };
        if kind == "innocent" {
            self.unanswered.insert(id);
        }
        let g = self.rng.random_range(0..self.gateways.len());
        self.step(g, Input::Arrive(arrival));
    }

    fn step(&mut self, g: usize, input: Input) {
        let mut out = Vec::new();
        self.gateways[g].step(self.now, input, &mut out);
        for output in out {
            self.apply_output(g, output);
        }
    }

    fn apply_output(&mut self, g: usize, output: Output) {
        match output {
            Output::Dispatch {
                request,
                attempt,
                vm,
                ..
            } => self.dispatch(g, request, attempt, &vm),
            Output::Refuse {
                request,
                code,
                retry_after,
                ..
            } => self.refused(&request, code, retry_after),
            Output::Suspect(suspicion) => self.suspicions.push((suspicion, self.now)),
            Output::Retry(_, reason) => *self.result.retries.entry(reason).or_insert(0) += 1,
            Output::Replay(..) | Output::Claim(..) | Output::UpdateClaim(_) => {}
        }
    }

    fn refused(&mut self, request: &RequestId, code: Code, after: Duration) {
        if request.as_str().starts_with("culprit") {
            if self.now.since(Time::ZERO) < self.config.load_duration {
                self.schedule(after, Event::SendCrashingRequest);
            }
            return;
        }
        self.unanswered.remove(request);
        *self.result.refused.entry(code).or_insert(0) += 1;
    }

    fn dispatch(&mut self, g: usize, request: RequestId, id: AttemptId, vm: &VmId) {
        let vm = self.vms.iter().position(|v| v.id == *vm).unwrap_or(0);
        let third = self.config.load_duration / 3;
        let elapsed = self.now.since(Time::ZERO);
        let in_middle_third = elapsed > third && elapsed < third * 2;
        let failing = in_middle_third && self.rng.random_bool(self.config.attempt_failure_rate);
        let a = self.attempts.len();
        let is_crashing = request.as_str().starts_with("culprit");
        self.attempts.push(Attempt {
            gateway: g,
            request,
            id,
            vm,
            failing,
        });
        if !self.vms[vm].up {
            // The endpoint is down, but the probes have not shown it yet.
            let failure_delay = Duration::from_millis(2);
            self.attempts[a].failing = true;
            return self.schedule(failure_delay, Event::End(a));
        }
        self.vms[vm].running.insert(a);
        if is_crashing {
            return self.schedule(CRASH_DELAY, Event::Crash(a));
        }
        let time = Duration::from_millis(self.rng.random_range(200..1_500));
        self.schedule(time, Event::End(a));
    }

    fn end(&mut self, a: usize) {
        let attempt = &self.attempts[a];
        let (g, id, vm, failing) = (attempt.gateway, attempt.id, attempt.vm, attempt.failing);
        let request = attempt.request.clone();
        let was_running = self.vms[vm].running.remove(&a);
        if !was_running && !failing {
            return;
        }
        if failing {
            let reasons = [
                FailReason::Refused,
                FailReason::Failed,
                FailReason::Stalled,
                FailReason::Connect,
            ];
            let reason = match was_running {
                true => reasons[self.rng.random_range(0..3)],
                false => reasons[3],
            };
            return self.step(g, Input::Failed(request, id, reason));
        }
        if self.unanswered.remove(&request) {
            self.result.answered += 1;
        }
        if let Some(at) = self.lost_at.remove(&request) {
            let ms = self.now.since(at).as_millis() as u64;
            self.result.recovery_ms = self.result.recovery_ms.max(ms);
        }
        self.step(g, Input::Finished(request, id, None));
    }

    fn crash(&mut self, a: usize) {
        let vm = self.attempts[a].vm;
        if self.vms[vm].running.contains(&a) {
            self.result.crashes += 1;
            self.lose(vm);
        }
    }

    fn lose(&mut self, vm: usize) {
        let now = self.now;
        let state = &mut self.vms[vm];
        if !state.up {
            return;
        }
        (state.up, state.changed_at) = (false, now);
        state.run += 1;
        for a in std::mem::take(&mut state.running) {
            let attempt = &self.attempts[a];
            let (g, id) = (attempt.gateway, attempt.id);
            let request = attempt.request.clone();
            self.lost_at.insert(request.clone(), now);
            self.step(g, Input::Failed(request, id, FailReason::Broken));
        }
        self.schedule(DOWNTIME, Event::Recover(vm));
    }

    fn view(&self, g: usize) -> View {
        let mut view = View {
            version: 1,
            table: self.table.clone(),
            log_up: true,
            peers_up: true,
            entries: (0..self.gateways.len()).map(entry_status).collect(),
            ..View::default()
        };
        for domain in DOMAINS {
            view.fleets.insert(domain.into(), leased_fleet());
        }
        for vm in &self.vms {
            let Some(fleet) = view.fleets.get_mut(&vm.domain) else {
                continue;
            };
            let seq = assign(fleet, &vm.id);
            let replica = ReplicaId {
                shard: vm.domain.clone(),
                seq,
            };
            view.vms.insert(vm.id.clone(), self.status(vm, replica));
        }
        let own_name = entry_name(g);
        let received = |(s, at): &&(Suspicion, Time)| {
            s.origin.as_str() == own_name || self.now.since(*at) >= SUSPICION_SPREAD_DELAY
        };
        let aged = |(s, at): &(Suspicion, Time)| Suspicion {
            age_ms: self.now.since(*at).as_millis() as u64,
            ..s.clone()
        };
        view.suspicions = self.suspicions.iter().filter(received).map(aged).collect();
        view
    }

    fn status(&self, vm: &Vm, replica: ReplicaId) -> VmStatus {
        let probed = self.now.since(vm.changed_at) >= PROBE_DELAY || vm.changed_at == Time::ZERO;
        let up = vm.up == probed;
        let run = if probed || vm.up { vm.run } else { vm.run - 1 };
        let since = self.now.since(vm.changed_at).as_millis() as u64;
        VmStatus {
            listing: VmListing {
                vm: vm.id.clone(),
                address: format!("http://{}", vm.id),
                domain: vm.domain.clone(),
                role: VmRole::Engine,
                leaving: false,
            },
            health: if up { Health::Live } else { Health::Suspect },
            run: Incarnation(run),
            held: Some(HeldReplica {
                replica,
                fence: Fence(1),
                form: Form {
                    fence: Fence(1),
                    seq: 1,
                },
                version: "listwriter-v1".into(),
                rank: 0,
                ready: up,
            }),
            load: Load {
                running: vm.running.len() as u32,
                queued: 0,
                tokens: vm.running.len() as u64 * REQUEST_TOKENS,
                age_ms: 0,
            },
            silent_ms: if probed && up { 100 } else { since },
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.heap
            .push(Reverse((self.now + after, self.sequence, event)));
    }
}

fn entry_name(g: usize) -> String {
    format!("entry-{g}")
}

fn entry_status(g: usize) -> EntryStatus {
    let name = entry_name(g);
    EntryStatus {
        member: Member {
            entry: name.as_str().into(),
            domain: DOMAINS[g % DOMAINS.len()].into(),
            gateway: format!("http://{name}"),
            agent: format!("http://{name}"),
            gossip: name,
            incarnation: Incarnation(1),
            leaving: false,
        },
        live: true,
        spare: 1.0,
        config: 0,
    }
}

fn leased_fleet() -> Fleet {
    let mut fleet = Fleet::default();
    fold(
        &mut fleet,
        FleetChange::Lease {
            holder: "entry-0".into(),
            run: Incarnation(1),
            supersedes: None,
            length_ms: 3_000,
        },
    );
    fleet
}

fn assign(fleet: &mut Fleet, vm: &VmId) -> ReplicaSeq {
    let (seq, base) = (ReplicaSeq(fleet.next.0 + 1), fleet.planned);
    fold(
        fleet,
        FleetChange::Assign {
            fence: Fence(1),
            base,
            form: 1,
            group: GROUP.into(),
            version: "listwriter-v1".into(),
            span: 1,
            vms: vec![vm.clone()],
            reserve: Vec::new(),
        },
    );
    seq
}

fn fold(fleet: &mut Fleet, change: FleetChange) {
    let offset = fleet.next;
    let record = FleetRecord {
        nonce: Nonce(offset.0),
        change,
    };
    fleet.fold(offset, &record).expect("each record is valid");
}

fn table(replicas: u32) -> Table {
    let edit = |key, row| Edit {
        key,
        base: None,
        row: Some(row),
    };
    let group = GroupRow {
        replicas,
        minimum: 0,
        downtime: 1.0,
        stranded: 1.0,
        reserve: 0,
        slots: 8,
    };
    let version = VersionRow {
        group: GROUP.into(),
        weight: 1.0,
        span: 1,
    };
    let account = AccountRow {
        key_hash: hash::sha256_hex(ACCOUNT.as_bytes()),
        weight: 1.0,
        requests: 1e6,
        tokens: 1e8,
        concurrency: 100_000,
    };
    let edits = vec![
        edit(RowKey::Group(GROUP.into()), Row::Group(group)),
        edit(
            RowKey::Version("listwriter-v1".into()),
            Row::Version(version),
        ),
        edit(RowKey::Account(ACCOUNT.into()), Row::Account(account)),
    ];
    let record = ConfigRecord {
        nonce: Nonce(1),
        author: "outage".to_owned(),
        at_ms: 0,
        edits,
    };
    let mut table = Table::default();
    table
        .fold(Offset(0), &record)
        .expect("the rows are well formed");
    table
}
