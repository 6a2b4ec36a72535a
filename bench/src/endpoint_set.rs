//! Simulation of a set of model endpoints in virtual time. An endpoint has slots, prefills one prompt
//! after the other and decodes at a fixed rate.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use hemlock_lib::engine::{HeldReplica, Load};
use hemlock_lib::fleet::{Fleet, FleetChange, FleetRecord};
use hemlock_lib::ids::{Fence, Incarnation, Nonce, Offset, VmId};
use hemlock_lib::members::Member;
use hemlock_lib::platform::{VmListing, VmRole};
use hemlock_lib::table::{
    AccountRow, ConfigRecord, Edit, GroupRow, Row, RowKey, Table, VersionRow,
};
use hemlock_lib::time::Time;
use hemlock_lib::view::{EntryStatus, Health, View, VmStatus};

/// Name of the model group.
pub const GROUP: &str = "listwriter";
/// Failure domains.
pub const DOMAINS: [&str; 3] = ["riverside", "pinehill", "cotton-row"];
/// Prompt prefixes that the cache of one endpoint holds.
const CACHED_PREFIXES: usize = 16;

/// Sizes of a deployment in which all endpoints serve.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Number of endpoints and weight of each version.
    pub versions: Vec<(usize, f64)>,
    /// Slots of each endpoint.
    pub slots: u32,
    /// Number of entry VMs.
    pub gateways: usize,
    /// Client accounts with their weights and limits. `key_hash` also serves as the name.
    pub accounts: Vec<AccountRow>,
}

/// Returns the name of an endpoint's VM, which ends in its index.
pub fn vm(index: usize) -> VmId {
    VmId::new(format!("{}-{index:04}", DOMAINS[index % DOMAINS.len()]))
}

/// Returns the name of a version.
pub fn version(index: usize) -> String {
    format!("{GROUP}-v{index}")
}

impl Setup {
    /// Returns the row of a client account whose limits are never reached.
    pub fn account(name: &str, weight: f64) -> AccountRow {
        AccountRow {
            key_hash: name.to_owned(),
            weight,
            requests: 1e9,
            tokens: 1e12,
            concurrency: u32::MAX,
        }
    }

    /// Returns a view in which all endpoints serve and are idle.
    pub fn view(&self) -> View {
        let mut view = View {
            table: self.table(),
            entries: (0..self.gateways).map(entry).collect(),
            log_up: true,
            peers_up: true,
            ..View::default()
        };
        let mut index = 0;
        let mut fleets: BTreeMap<&str, (Fleet, u64)> = BTreeMap::new();
        for (v, (count, _)) in self.versions.iter().enumerate() {
            for _ in 0..*count {
                let shard = fleets.entry(DOMAINS[index % DOMAINS.len()]).or_default();
                assign(shard, version(v), vm(index));
                index += 1;
            }
        }
        view.fleets = fleets
            .into_iter()
            .map(|(domain, (fleet, _))| (domain.into(), fleet))
            .collect();
        let replicas: Vec<_> = view.replicas().map(|(id, a)| (id, a.clone())).collect();
        for (replica, assignment) in replicas {
            let held = HeldReplica {
                replica: replica.clone(),
                fence: assignment.fence,
                form: assignment.form,
                version: assignment.version.clone(),
                rank: 0,
                ready: true,
            };
            let vm = assignment.vms[0].clone();
            let listing = VmListing {
                vm: vm.clone(),
                address: format!("http://{vm}"),
                domain: replica.shard.clone(),
                role: VmRole::Engine,
                leaving: false,
            };
            let status = VmStatus {
                listing,
                health: Health::Live,
                run: Incarnation(1),
                held: Some(held),
                load: Load::default(),
                silent_ms: 0,
            };
            view.vms.insert(vm, status);
        }
        view
    }

    fn table(&self) -> Table {
        let mut rows = vec![(
            RowKey::Group(GROUP.into()),
            Row::Group(GroupRow {
                replicas: self.versions.iter().map(|v| v.0 as u32).sum(),
                minimum: 0,
                downtime: 1.0,
                stranded: 1.0,
                reserve: 0,
                slots: self.slots,
            }),
        )];
        for (v, (_, weight)) in self.versions.iter().enumerate() {
            let row = VersionRow {
                group: GROUP.into(),
                weight: *weight,
                span: 1,
            };
            let key = RowKey::Version(version(v).as_str().into());
            rows.push((key, Row::Version(row)));
        }
        for account in &self.accounts {
            let key = RowKey::Account(account.key_hash.as_str().into());
            rows.push((key, Row::Account(account.clone())));
        }
        table(rows)
    }
}

fn table(rows: Vec<(RowKey, Row)>) -> Table {
    let edits = rows.into_iter().map(|(key, row)| Edit {
        key,
        base: None,
        row: Some(row),
    });
    let record = ConfigRecord {
        nonce: Nonce(1),
        author: "bench".to_owned(),
        at_ms: 0,
        edits: edits.collect(),
    };
    let mut table = Table::default();
    table
        .fold(Offset(0), &record)
        .expect("the first record conflicts with none");
    table
}

fn entry(index: usize) -> EntryStatus {
    let name = format!("entry-{index}");
    EntryStatus {
        member: Member {
            entry: name.as_str().into(),
            domain: DOMAINS[index % DOMAINS.len()].into(),
            gateway: format!("http://{name}:80"),
            agent: format!("http://{name}:81"),
            gossip: format!("{name}:82"),
            incarnation: Incarnation(1),
            leaving: false,
        },
        live: true,
        spare: 1.0,
        config: 1,
    }
}

fn assign((fleet, offset): &mut (Fleet, u64), version: String, vm: VmId) {
    let new = *offset == 0;
    let base = Offset(if new { 0 } else { *offset });
    let mut fold = |change| {
        let record = FleetRecord {
            nonce: Nonce(*offset),
            change,
        };
        let folded = fleet.fold(Offset(*offset), &record);
        assert!(folded.is_ok(), "each record is valid");
        *offset += 1;
    };
    if new {
        fold(FleetChange::Lease {
            holder: "entry-0".into(),
            run: Incarnation(1),
            supersedes: None,
            length_ms: 3_000,
        });
    }
    fold(FleetChange::Assign {
        fence: Fence(1),
        base,
        form: 1,
        group: GROUP.into(),
        version: version.as_str().into(),
        span: 1,
        vms: vec![vm],
        reserve: Vec::new(),
    });
}

/// A request at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Job {
    /// Identifier.
    pub id: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub answer_tokens: u64,
    /// Identifier of the prompt's prefix, or zero if it shares none.
    pub prefix: u64,
    /// Tokens of the prefix, which need no prefill if the endpoint has the prefix in its cache.
    pub prefix_tokens: u64,
}

/// Progress of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobEvent {
    /// The first token was generated.
    FirstToken,
    /// The last token was generated.
    Done,
}

/// Generation times of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct GenerationTimes {
    /// Time to prefill one prompt token.
    pub per_prompt_token: Duration,
    /// Time between two tokens of one answer.
    pub token_interval: Duration,
}

#[derive(Debug, Default)]
struct Endpoint {
    slowdown: u32,
    down: bool,
    jobs: BTreeMap<u64, Job>,
    queue: VecDeque<Job>,
    prefill_done: Time,
    cached_prefixes: VecDeque<u64>,
}

/// The simulated endpoints.
#[derive(Debug)]
pub struct EndpointSet {
    times: GenerationTimes,
    slots: usize,
    endpoints: Vec<Endpoint>,
    events: BinaryHeap<Reverse<(Time, usize, JobEvent, Job)>>,
}

impl EndpointSet {
    /// Creates `count` idle endpoints.
    pub fn new(count: usize, slots: u32, times: GenerationTimes) -> Self {
        let endpoint = || Endpoint {
            slowdown: 1,
            ..Endpoint::default()
        };
        Self {
            times,
            slots: slots as usize,
            endpoints: (0..count).map(|_| endpoint()).collect(),
            events: BinaryHeap::new(),
        }
    }

    /// Multiplies the generation times of an endpoint by `factor`.
    pub fn set_slowdown(&mut self, endpoint: usize, factor: u32) {
        self.endpoints[endpoint].slowdown = factor;
    }

    /// Takes an endpoint down and returns the running and queued jobs that were lost.
    pub fn kill(&mut self, endpoint: usize) -> Vec<Job> {
        let state = &mut self.endpoints[endpoint];
        state.down = true;
        let mut lost: Vec<Job> = std::mem::take(&mut state.jobs).into_values().collect();
        lost.extend(state.queue.drain(..));
        lost
    }

    /// Returns whether an endpoint is down.
    pub fn is_down(&self, endpoint: usize) -> bool {
        self.endpoints[endpoint].down
    }

    /// Starts a job at an endpoint, or queues it if all slots are taken.
    pub fn start(&mut self, now: Time, endpoint: usize, job: Job) {
        let state = &mut self.endpoints[endpoint];
        if state.jobs.len() < self.slots {
            self.run(now, endpoint, job);
        } else {
            state.queue.push_back(job);
        }
    }

    /// Returns the time of the next event.
    pub fn next_at(&self) -> Option<Time> {
        self.events.peek().map(|e| e.0.0)
    }

    /// Removes the next event and returns it with its endpoint, or `None` if there is none or its job
    /// was lost.
    pub fn pop(&mut self) -> Option<(usize, JobEvent, Job)> {
        let Reverse((now, endpoint, event, job)) = self.events.pop()?;
        let state = &mut self.endpoints[endpoint];
        if !state.jobs.contains_key(&job.id) {
            return None;
        }
        if event == JobEvent::Done {
            state.jobs.remove(&job.id);
            if let Some(next) = state.queue.pop_front() {
                self.run(now, endpoint, next);
            }
        }
        Some((endpoint, event, job))
    }

    /// Returns the current load of an endpoint.
    pub fn load(&self, endpoint: usize) -> Load {
        let state = &self.endpoints[endpoint];
        let work = |j: &Job| j.prompt_tokens + j.answer_tokens;
        Load {
            running: state.jobs.len() as u32,
            queued: state.queue.len() as u32,
            tokens: state.jobs.values().chain(&state.queue).map(work).sum(),
            age_ms: 0,
        }
    }

    /// Returns the time until the first token of a job if an endpoint started it now, or `None` if the
    /// endpoint is down or full. Adds 1 µs for each running job, so that ties go to the less busy
    /// endpoint.
    pub fn time_to_first_token(&self, now: Time, endpoint: usize, job: &Job) -> Option<Duration> {
        let state = &self.endpoints[endpoint];
        if state.down || state.jobs.len() >= self.slots {
            return None;
        }
        let tie_breaker = Duration::from_micros(state.jobs.len() as u64);
        Some(state.prefill_done.max(now).since(now) + self.prefill_time(state, job) + tie_breaker)
    }

    fn prefill_time(&self, state: &Endpoint, job: &Job) -> Duration {
        let cached = job.prefix != 0 && state.cached_prefixes.contains(&job.prefix);
        let tokens = if cached {
            job.prompt_tokens - job.prefix_tokens
        } else {
            job.prompt_tokens
        };
        self.times.per_prompt_token * tokens as u32 * state.slowdown
    }

    fn run(&mut self, now: Time, endpoint: usize, job: Job) {
        let prefill = self.prefill_time(&self.endpoints[endpoint], &job);
        let token_interval = self.times.token_interval;
        let state = &mut self.endpoints[endpoint];
        let first = state.prefill_done.max(now) + prefill;
        state.prefill_done = first;
        if job.prefix != 0 {
            state.cached_prefixes.retain(|p| *p != job.prefix);
            state.cached_prefixes.push_back(job.prefix);
            if state.cached_prefixes.len() > CACHED_PREFIXES {
                state.cached_prefixes.pop_front();
            }
        }
        let done = first + token_interval * state.slowdown * job.answer_tokens as u32;
        state.jobs.insert(job.id, job);
        self.events
            .push(Reverse((first, endpoint, JobEvent::FirstToken, job)));
        self.events
            .push(Reverse((done, endpoint, JobEvent::Done, job)));
    }
}
