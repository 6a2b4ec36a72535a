//! A request that crashes the workers that run it comes again and again.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use hemlock_platform_standin::caller;
use hemlock_platform_standin::fixtures;
use hemlock_platform_standin::store::Store;

use crate::harness::{Node, Record, STABLE_WINDOW, TempFolder, Verdict, lock, start_nodes};
use crate::worker::{Action, Arrival, Request, Worker};

const NODES: usize = 3;
const WORKERS: usize = 12;
/// Interval at which the request that crashes workers comes again.
const KILLER_INTERVAL: Duration = Duration::from_millis(1_200);
/// Interval between two other requests, and the time for which they run.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
const RUN_TIME: Duration = Duration::from_millis(250);
/// Time after which a worker that has crashed is back.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// Time between the start of an entry VM and the stop of the next one.
const ROLL_PAUSE: Duration = Duration::from_secs(9);
/// Retries of the request that may reach workers later than the stable window after its third crash.
const MAX_RETRIES: usize = 3;
/// Path and body of the request.
const KILLER_PATH: &str = "/once/design";
const KILLER_BODY: &str = "the order that crashes what runs it";

/// What happens beside the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// The workers crash with their connections closed, and nothing else happens.
    None,
    /// The entry VMs are stopped and started in turn.
    Roll,
    /// The workers go dark instead.
    Dark,
    /// The request has another query each time.
    Query,
}

#[derive(Default)]
struct Workers {
    all: Vec<Worker>,
    arrivals: Vec<Arrival>,
    count: usize,
}

/// Starts a worker; a new one takes its place some time after it has crashed.
fn start_worker(store: &Store, workers: &Arc<Mutex<Workers>>, trouble: Trouble, record: &Record) {
    let (shared, for_crash) = (workers.clone(), workers.clone());
    let (own_store, own_record) = (store.clone(), record.clone());
    let decide = move |worker: &Worker, request: &Request| {
        if request.target.split('?').next() != Some(KILLER_PATH) {
            own_record.add(format!("{} runs {}", worker.id, request.id()));
            return Action::Run(RUN_TIME);
        }
        lock(&shared).arrivals.push(Arrival {
            id: request.id().to_owned(),
            worker: worker.id.clone(),
            at: Instant::now(),
        });
        own_record.add(format!("{} runs {} and crashes", worker.id, request.id()));
        let (store, workers, record) = (own_store.clone(), for_crash.clone(), own_record.clone());
        thread::spawn(move || {
            thread::sleep(RETURN_TIME);
            start_worker(&store, &workers, trouble, &record);
        });
        match trouble {
            Trouble::Dark => Action::GoDark,
            Trouble::None | Trouble::Roll | Trouble::Query => Action::Crash,
        }
    };
    let id = {
        let mut workers = lock(workers);
        workers.count += 1;
        format!("i-{:04}", workers.count)
    };
    match Worker::start(store, &id, "plain", Arc::new(decide), None) {
        Ok(worker) => lock(workers).all.push(worker),
        Err(e) => record.add(format!("worker {id} does not start: {e}")),
    }
}

/// A request that was sent, and its answer.
struct Sent {
    id: String,
    at: Instant,
    /// Whether the entry VM was in touch when it was sent.
    in_touch: bool,
}

pub fn run(record: &Record, trouble: Trouble) -> Verdict {
    match try_run(record, trouble) {
        Ok(verdict) => verdict,
        Err(cause) => Verdict::CouldNotRun(cause),
    }
}

fn try_run(record: &Record, trouble: Trouble) -> Result<Verdict, String> {
    let folder = TempFolder::new().map_err(|e| e.to_string())?;
    let store = Store::spawn();
    let mut config = fixtures::config(1);
    fixtures::set_timeout(&mut config, "/once/", Duration::from_secs(3));
    fixtures::publish_config(&store, &config);
    let workers: Arc<Mutex<Workers>> = Arc::default();
    for _ in 0..WORKERS {
        start_worker(&store, &workers, trouble, record);
    }
    let nodes = start_nodes(NODES, &store, &folder)?;
    let nodes: Arc<Vec<Mutex<Node>>> = Arc::new(nodes.into_iter().map(Mutex::new).collect());
    thread::sleep(STABLE_WINDOW + Duration::from_secs(1));
    record.add("all entry VMs are ready");

    let is_over = Arc::new(AtomicBool::new(false));
    let others = {
        let (nodes, is_over, record) = (nodes.clone(), is_over.clone(), record.clone());
        thread::spawn(move || send_others(&nodes, &is_over, &record))
    };
    let killers = {
        let (nodes, is_over, record) = (nodes.clone(), is_over.clone(), record.clone());
        thread::spawn(move || send_killers(&nodes, &is_over, trouble, &record))
    };
    let third = wait_for_third(&workers)?;
    record.add(format!("third crash at {} ms", record.ms(third)));
    thread::sleep(Duration::from_secs(5));
    for index in 0..NODES {
        if trouble == Trouble::Roll {
            roll(&nodes[index], record)?;
        }
        thread::sleep(ROLL_PAUSE);
    }
    is_over.store(true, Ordering::SeqCst);
    let sent = killers.join().map_err(|_| "the caller failed".to_owned())?;
    let lost = others.join().map_err(|_| "the caller failed".to_owned())?;
    thread::sleep(Duration::from_millis(500));

    let by_id: BTreeMap<&str, &Sent> = sent.iter().map(|s| (s.id.as_str(), s)).collect();
    let state = lock(&workers);
    let is_late = |a: &&Arrival| {
        let sent = by_id.get(a.id.as_str());
        sent.is_some_and(|s| s.in_touch && s.at > third + STABLE_WINDOW)
    };
    let late: Vec<&Arrival> = state.arrivals.iter().filter(is_late).collect();
    for arrival in &late {
        record.add(format!(
            "counted: {} reached {} at {} ms",
            arrival.id,
            arrival.worker,
            record.ms(arrival.at)
        ));
    }
    record.add(format!(
        "{} other requests, {} without a good answer",
        lost.0, lost.1
    ));
    let text = format!(
        "{} retries of the request reached workers, sent by machines in touch later than {} ms after \
         its third crash; {MAX_RETRIES} may; {} crashes in all, {} of {} other requests lost",
        late.len(),
        STABLE_WINDOW.as_millis(),
        state.arrivals.len(),
        lost.1,
        lost.0
    );
    Ok(match late.len() > MAX_RETRIES {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    })
}

/// Waits for the third crash; returns when it was.
fn wait_for_third(workers: &Mutex<Workers>) -> Result<Instant, String> {
    let due = Instant::now() + Duration::from_secs(25);
    while Instant::now() < due {
        if let Some(third) = lock(workers).arrivals.get(2) {
            return Ok(third.at);
        }
        thread::sleep(Duration::from_millis(20));
    }
    Err("the request did not crash three workers".to_owned())
}

/// Stops an entry VM by SIGTERM, and starts it again once its process has ended.
fn roll(node: &Mutex<Node>, record: &Record) -> Result<(), String> {
    lock(node).terminate();
    record.add(format!("SIGTERM to {}", lock(node).name));
    let due = Instant::now() + Duration::from_secs(8);
    while !lock(node).has_ended() {
        if Instant::now() > due {
            lock(node).wait_end();
        }
        thread::sleep(Duration::from_millis(20));
    }
    lock(node).start_again().map_err(|e| e.to_string())?;
    record.add(format!("{} starts again", lock(node).name));
    let due = Instant::now() + Duration::from_secs(10);
    while !lock(node).is_ready() {
        if Instant::now() > due {
            return Err("an entry VM is not ready again".to_owned());
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// Sends the request that crashes workers, at one entry VM after the other.
fn send_killers(
    nodes: &[Mutex<Node>],
    is_over: &AtomicBool,
    trouble: Trouble,
    record: &Record,
) -> Vec<Sent> {
    let mut sent = Vec::new();
    let mut answers = Vec::new();
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            break;
        }
        let (front, name, at, in_touch, is_stopping) = {
            let node = lock(&nodes[number % nodes.len()]);
            let at = Instant::now();
            let is_stopping = node.stopped.is_some();
            (
                node.front,
                node.name.clone(),
                at,
                node.is_in_touch(at),
                is_stopping,
            )
        };
        // Callers use the addresses that they are told, where one that stops is missing.
        if !is_stopping {
            let id = format!("killer-{number}");
            let target = match trouble {
                Trouble::Query => format!("{KILLER_PATH}?try={number}"),
                Trouble::None | Trouble::Roll | Trouble::Dark => KILLER_PATH.to_owned(),
            };
            let text = fixtures::request("POST", &target, &id, "", KILLER_BODY);
            sent.push(Sent {
                id: id.clone(),
                at,
                in_touch,
            });
            let record = record.clone();
            answers.push(thread::spawn(move || {
                let response = caller::send(front, &text);
                record.add(format!(
                    "{id} at {name}, in touch {in_touch}: {}",
                    response.status
                ));
            }));
        }
        thread::sleep(KILLER_INTERVAL);
    }
    for answer in answers {
        let _ = answer.join();
    }
    sent
}

/// Sends other requests; returns their number, and that of those without a good answer.
fn send_others(nodes: &[Mutex<Node>], is_over: &AtomicBool, record: &Record) -> (usize, usize) {
    let mut answers = Vec::new();
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            break;
        }
        let (front, name, is_stopping) = {
            let node = lock(&nodes[number % nodes.len()]);
            (node.front, node.name.clone(), node.stopped.is_some())
        };
        if !is_stopping {
            let id = format!("order-{number}");
            let text = fixtures::request("POST", &format!("/once/{id}"), &id, "", &id);
            let record = record.clone();
            answers.push(thread::spawn(move || {
                let status = caller::send(front, &text).status;
                record.add(format!("{id} at {name}: {status}"));
                status == 200
            }));
        }
        thread::sleep(REQUEST_INTERVAL);
    }
    let count = answers.len();
    let good = answers
        .into_iter()
        .filter_map(|a| a.join().ok())
        .filter(|good| *good);
    (count, count - good.count())
}
