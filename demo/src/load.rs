//! Callers of one deployment: open-loop arrivals that ask for an address first.

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

/// Mean requests a second.
const RATE: f64 = 25.0;
/// One in this many calls is non-idempotent work for the plain service.
const ONCE_EVERY: u64 = 5;
/// Pieces of an answer.
const TOKENS: u32 = 40;
/// Tries of one call at most.
const TRIES: u32 = 4;
/// Time after which callers ask for an address again.
const KEEP: Duration = Duration::from_secs(2);
const PAUSE_MS: u32 = 300;
const ADVICE_WAIT: Duration = Duration::from_secs(2);

/// What the callers saw.
#[derive(Debug)]
pub(crate) struct Totals {
    pub(crate) requests: u64,
    pub(crate) answered: u64,
    pub(crate) wrong: u64,
    pub(crate) lost: u64,
    pub(crate) silent: u64,
    pub(crate) resent: u64,
    pub(crate) refused: BTreeMap<u64, u64>,
    pub(crate) first: Histogram<u64>,
    pub(crate) gaps: Histogram<u64>,
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
            resent: 0,
            refused: BTreeMap::new(),
            first: histogram(),
            gaps: histogram(),
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

    fn time(&mut self, report: &CallReport) {
        if let Some(first) = report.time_to_first_token {
            let _ = self.first.record(first.as_micros() as u64);
        }
        for gap in &report.token_gaps {
            let _ = self.gaps.record(gap.as_micros() as u64);
        }
    }
}

/// A thread that sends requests until told to finish.
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
                system.block_on(drive(deployment, entry, stopped))
            })?;
        Ok(Self { stop, thread })
    }

    /// Sends no more, waits for the answers and returns the totals.
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

async fn drive(deployment: Deployment, entry: String, stop: Arc<AtomicBool>) -> Totals {
    let shared = Rc::new(Shared {
        deployment,
        seed: entry.clone(),
        addresses: RefCell::new(vec![entry]),
        totals: RefCell::new(Totals::new()),
    });
    let mut rng = SmallRng::seed_from_u64(7);
    let mut due = Instant::now();
    let mut asked = None::<Instant>;
    let mut tasks = Vec::new();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        if asked.is_none_or(|at| at.elapsed() > KEEP) {
            asked = Some(Instant::now());
            ask_address(&shared).await;
        }
        while due <= Instant::now() {
            due += Duration::from_secs_f64(-rng.random::<f64>().max(1e-9).ln() / RATE);
            number += 1;
            tasks.push(ntex::rt::spawn(call(Rc::clone(&shared), number)));
        }
        ntex::time::sleep(ntex::time::Millis(20)).await;
    }
    for task in tasks {
        let _ = task.await;
    }
    shared.totals.replace(Totals::new())
}

async fn ask_address(shared: &Shared) {
    let mut known = shared.addresses.borrow().clone();
    known.push(shared.seed.clone());
    for address in known {
        let url = format!("{address}/v1/entry?caller=demo");
        let Ok(body) = http::get(&url, ADVICE_WAIT).await else {
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

async fn call(shared: Rc<Shared>, number: u64) {
    shared.totals.borrow_mut().requests += 1;
    let accounts = shared.deployment.accounts();
    let account = &accounts[number as usize % accounts.len()];
    let key = shared.deployment.account_key(account);
    let id = Uuid::now_v7();
    for attempt in 0..TRIES {
        let addresses = shared.addresses.borrow().clone();
        let address = &addresses[(number as usize + attempt as usize) % addresses.len()];
        let text = format!("item {number}");
        let end = if number.is_multiple_of(ONCE_EVERY) {
            caller::call_service(address, &key, shared.deployment.service(), id, &text).await
        } else {
            let group = shared.deployment.group();
            let report = caller::stream_chat(address, &key, group, &text, TOKENS).await;
            shared.totals.borrow_mut().time(&report);
            report.end
        };
        let last = attempt + 1 == TRIES || matches!(end, CallEnd::Answered | CallEnd::Wrong);
        if last {
            shared.totals.borrow_mut().count(&end);
            return;
        }
        if let CallEnd::Refused(code) = end {
            *shared.totals.borrow_mut().refused.entry(code).or_insert(0) += 1;
        }
        shared.totals.borrow_mut().resent += 1;
        ntex::time::sleep(ntex::time::Millis(PAUSE_MS << attempt)).await;
    }
}
