//! A full worker refuses requests with long bodies before it has read them, keeps the connection and
//! reads on later. It says for how long it wants nothing from the machine.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use hemlock_platform_standin::caller;
use hemlock_platform_standin::fixtures;
use hemlock_platform_standin::store::Store;

use crate::harness::{Record, STABLE_WINDOW, TempFolder, Verdict, lock, start_nodes};
use crate::worker::{Action, Arrival, Refusal, Request, Worker};

/// Largest body that the configuration allows.
const BODY_BYTES: usize = 4 << 20;
/// Time for which the full worker wants nothing from the machine.
const RETRY_AFTER_S: u32 = 8;
/// Time after its answer when the full worker reads on.
const READ_ON: Duration = Duration::from_secs(5);
/// Time for which the other workers run a request.
const RUN_TIME: Duration = Duration::from_millis(800);
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
const REQUESTS: usize = 180;
/// Time after the answer from which few requests may reach the worker, and their number.
const SLACK: Duration = Duration::from_millis(500);
const MAX_ARRIVALS: usize = 2;

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    match try_run(record, has_trouble) {
        Ok(verdict) => verdict,
        Err(cause) => Verdict::CouldNotRun(cause),
    }
}

fn try_run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let folder = TempFolder::new().map_err(|e| e.to_string())?;
    let store = Store::spawn();
    let mut config = fixtures::config(1);
    fixtures::set_timeout(&mut config, "/once/", Duration::from_secs(4));
    config["limits"]["maxBodyBytes"] = BODY_BYTES.into();
    fixtures::publish_config(&store, &config);
    let log: Arc<Mutex<Vec<(Arrival, Instant)>>> = Arc::default();
    let refusal = Refusal {
        retry_after_s: RETRY_AFTER_S,
        read_on: has_trouble.then_some(READ_ON),
        log: log.clone(),
    };
    let own_record = record.clone();
    let decide = Arc::new(move |worker: &Worker, request: &Request| {
        own_record.add(format!("{} runs {}", worker.id, request.id()));
        Action::Run(RUN_TIME)
    });
    let mut workers = Vec::new();
    for (id, refusal) in [
        ("i-full", Some(refusal)),
        ("i-good-1", None),
        ("i-good-2", None),
    ] {
        let worker = Worker::start(&store, id, "plain", decide.clone(), refusal);
        workers.push(worker.map_err(|e| e.to_string())?);
    }
    let nodes = start_nodes(1, &store, &folder)?;
    thread::sleep(STABLE_WINDOW + Duration::from_secs(1));
    record.add("the entry VM is ready");

    let body = Arc::new("x".repeat(BODY_BYTES));
    let mut answers = Vec::new();
    for number in 0..REQUESTS {
        let (front, body, record) = (nodes[0].front, body.clone(), record.clone());
        answers.push(thread::spawn(move || {
            let id = format!("upload-{number}");
            let text = fixtures::request("POST", &format!("/once/{id}"), &id, "", &body);
            let sent = Instant::now();
            let status = caller::send(front, &text).status;
            record.add(format!(
                "{id}: {status} after {} ms",
                sent.elapsed().as_millis()
            ));
            (id, status)
        }));
        thread::sleep(REQUEST_INTERVAL);
    }
    let answers: Vec<(String, u16)> = answers.into_iter().filter_map(|a| a.join().ok()).collect();

    let log = lock(&log);
    let Some((_, first)) = log.first() else {
        return Err("no request reached the full worker".to_owned());
    };
    let (from, until) = (
        *first + SLACK,
        *first + Duration::from_secs(RETRY_AFTER_S.into()),
    );
    let late: Vec<&Arrival> = log
        .iter()
        .map(|(arrival, _)| arrival)
        .filter(|a| a.at > from && a.at < until)
        .collect();
    for (arrival, at) in log.iter() {
        record.add(format!(
            "{} reached {} at {} ms, answered 503 at {} ms",
            arrival.id,
            arrival.worker,
            record.ms(arrival.at),
            record.ms(*at)
        ));
    }
    let status_of = |id: &str| answers.iter().find(|(i, _)| i == id).map_or(0, |(_, s)| *s);
    let lost = log
        .iter()
        .filter(|(a, _)| matches!(status_of(&a.id), 0 | 502 | 504))
        .count();
    let text = format!(
        "{} requests reached the full worker between {} ms and {RETRY_AFTER_S} s after it had answered \
         503 with Retry-After: {RETRY_AFTER_S}; {MAX_ARRIVALS} may; {lost} of {} that it had refused as \
         not run ended with 502, 504 or nothing",
        late.len(),
        SLACK.as_millis(),
        log.len()
    );
    Ok(match late.len() > MAX_ARRIVALS {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    })
}
