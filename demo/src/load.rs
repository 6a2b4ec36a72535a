//! Load on one deployment: open-loop arrivals of requests from a client that asks for addresses first.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use hemlock_lib::advice::Advice;
use hemlock_testutils::caller::{self, CallEnd, CallReport};
use hemlock_testutils::deployments::Deployment;
use hemlock_wire::http_client as http;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use uuid::Uuid;

/// Mean arrival rate, in requests per second.
const ARRIVALS_PER_S: f64 = 25.0;
/// One in this many calls is a non-idempotent call of the plain service; the others are chat requests.
const NON_IDEMPOTENT_EVERY: u64 = 5;
/// Tokens of a chat answer.
const TOKENS: u32 = 40;
/// Maximum number of attempts of one call.
const MAX_ATTEMPTS: u32 = 4;
/// Time after which the client asks for addresses again.
const ADVICE_LIFETIME: Duration = Duration::from_secs(2);
/// Pause before the first retry, in milliseconds; each further pause is twice as long.
const RETRY_PAUSE_MS: u32 = 300;
/// Time limit for one gateway to return the addresses.
const ADVICE_TIMEOUT: Duration = Duration::from_secs(2);

/// Results of all calls of a load.
#[derive(Debug)]
pub(crate) struct Totals {
    pub(crate) requests: u64,
    pub(crate) answered: u64,
    pub(crate) wrong: u64,
    pub(crate) lost: u64,
    pub(crate) silent: u64,
    /// Attempts after the first of a call.
    pub(crate) retries: u64,
    /// Refused attempts by result code.
    pub(crate) refused: BTreeMap<u64, u64>,
    /// Time to the first token, in microseconds.
    pub(crate) first_token: Histogram<u64>,
    /// Time between two tokens, in microseconds.
    pub(crate) token_gaps: Histogram<u64>,
}

impl Totals {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        Self {
            requests: 0,
            answered: 0,
            wrong: 0,
            lost: 0,
            silent: 0,
            retries: 0,
            refused: BTreeMap::new(),
            first_token: histogram(),
            token_gaps: histogram(),
        }
    }

    fn count(&mut self, end: &CallEnd) {
        match end {
            CallEnd::Answered => self.answered += 1,
            CallEnd::Wrong => self.wrong += 1,
            CallEnd::Lost => self.lost += 1,
            CallEnd::Silent => self.silent += 1,
            CallEnd::Refused(code) => *self.refused.entry(*code).or_insert(0) += 1,
        }
    }

    fn record_latency(&mut self, report: &CallReport) {
        if let Some(first) = report.time_to_first_token {
            let _ = self.first_token.record(first.as_micros() as u64);
        }
        for gap in &report.token_gaps {
            let _ = self.token_gaps.record(gap.as_micros() as u64);
        }
    }
}

/// Thread that sends requests until [`Load::finish`] is called.
#[derive(Debug)]
pub(crate) struct Load {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Totals>,
}

impl Load {
    pub(crate) fn spawn(deployment: Deployment, entry: String) -> io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = std::thread::Builder::new()
            .name("demo-load".to_owned())
            .spawn(move || {
                let system = ntex::rt::System::new("demo-load", ntex::rt::DefaultRuntime);
                system.block_on(run_load(deployment, entry, stopped))
            })?;
        Ok(Self { stop, thread })
    }

    /// Stops sending, waits for open calls to end and returns the totals.
    pub(crate) fn finish(self) -> Totals {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("the load thread does not panic")
    }
}

struct Shared {
    deployment: Deployment,
    seed: String,
    addresses: RefCell<Vec<String>>,
    totals: RefCell<Totals>,
}

async fn run_load(deployment: Deployment, entry: String, stop: Arc<AtomicBool>) -> Totals {
    let shared = Rc::new(Shared {
        deployment,
        seed: entry.clone(),
        addresses: RefCell::new(vec![entry]),
        totals: RefCell::new(Totals::new()),
    });
    let mut rng = SmallRng::seed_from_u64(7);
    let mut next_arrival = Instant::now();
    let mut refreshed_at = None::<Instant>;
    let mut tasks = Vec::new();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        if refreshed_at.is_none_or(|at| at.elapsed() > ADVICE_LIFETIME) {
            refreshed_at = Some(Instant::now());
            refresh_addresses(&shared).await;
        }
        while next_arrival <= Instant::now() {
            next_arrival +=
                Duration::from_secs_f64(-rng.random::<f64>().max(1e-9).ln() / ARRIVALS_PER_S);
            number += 1;
            tasks.push(ntex::rt::spawn(run_call(Rc::clone(&shared), number)));
        }
        ntex::time::sleep(ntex::time::Millis(20)).await;
    }
    for task in tasks {
        let _ = task.await;
    }
    shared.totals.replace(Totals::new())
}

async fn refresh_addresses(shared: &Shared) {
    let mut known = shared.addresses.borrow().clone();
    known.push(shared.seed.clone());
    for address in known {
        let url = format!("{address}/v1/entry?caller=demo");
        let Ok(body) = http::get(&url, ADVICE_TIMEOUT).await else {
            continue;
        };
        if let Ok(advice) = serde_json::from_slice::<Advice>(&body)
            && !advice.addresses.is_empty()
        {
            shared.addresses.replace(advice.addresses);
            return;
        }
    }
}

async fn run_call(shared: Rc<Shared>, number: u64) {
    shared.totals.borrow_mut().requests += 1;
    let accounts = shared.deployment.accounts();
    let account = &accounts[number as usize % accounts.len()];
    let key = shared.deployment.account_key(account);
    let id = Uuid::now_v7();
    for attempt in 0..MAX_ATTEMPTS {
        let addresses = shared.addresses.borrow().clone();
        let address = &addresses[(number as usize + attempt as usize) % addresses.len()];
        let text = format!("item {number}");
        let end = if number.is_multiple_of(NON_IDEMPOTENT_EVERY) {
            caller::call_service(address, &key, shared.deployment.service(), id, &text).await
        } else {
            let group = shared.deployment.group();
            let report = caller::stream_chat(address, &key, group, &text, TOKENS).await;
            shared.totals.borrow_mut().record_latency(&report);
            report.end
        };
        let is_final =
            attempt + 1 == MAX_ATTEMPTS || matches!(end, CallEnd::Answered | CallEnd::Wrong);
        if is_final {
            shared.totals.borrow_mut().count(&end);
            return;
        }
        if let CallEnd::Refused(code) = end {
            *shared.totals.borrow_mut().refused.entry(code).or_insert(0) += 1;
        }
        shared.totals.borrow_mut().retries += 1;
        ntex::time::sleep(ntex::time::Millis(RETRY_PAUSE_MS << attempt)).await;
    }
}
