//! One request's story, from saved log files of entry VMs.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use serde::Serialize;

use crate::exit::{Exit, Failure};

/// Time before a request's first line and after its last from which beliefs are shown: an engine's loss
/// shows up to 3 s before.
const BEFORE_MS: u64 = 3_000;
const AFTER_MS: u64 = 500;
/// Lines on what VMs believed, other than of the request's endpoints, that are shown.
const BELIEFS: [&str; 8] = [
    "outage",
    "store_lost",
    "store_regained",
    "duty",
    "duty_alone",
    "config",
    "stopping",
    "log_dropped",
];
/// Ends of a request, and what each tells.
const ENDS: [(&str, &str); 6] = [
    ("answered", "it was answered"),
    ("refused", "it was refused before it ran"),
    ("denied", "no configuration in force there allows it"),
    ("failed", "it may have run, and could not be sent again"),
    ("broken_off", "its stream ended unfinished"),
    ("left", "its caller left"),
];

/// A line of a log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct Line {
    time_ms: u64,
    vm: String,
    event: String,
    text: String,
}

/// What the logs tell of a request.
#[derive(Debug, Serialize)]
pub(crate) struct Story {
    /// The request.
    pub(crate) request: String,
    /// How it ended, and why.
    pub(crate) verdict: String,
    /// Its lines and what was believed meanwhile, in order.
    pub(crate) lines: Vec<String>,
}

/// Reads `files` and tells the story of one request.
pub(crate) fn read(files: &[&Path], request: &str) -> Result<Story, Failure> {
    let mut all = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file).map_err(|e| {
            let cause = format!("can't read {}: {e}", file.display());
            Failure::new(Exit::Usage, cause)
        })?;
        let name = file.file_stem().unwrap_or_default().to_string_lossy();
        all.extend(text.lines().filter_map(|l| parse(l, &name)));
    }
    let own: Vec<&Line> = all
        .iter()
        .filter(|l| field(&l.text, "request") == Some(request))
        .collect();
    let (Some(first), Some(last)) = (
        own.iter().map(|l| l.time_ms).min(),
        own.iter().map(|l| l.time_ms).max(),
    ) else {
        let cause = format!("no line of {} files names request {request}", files.len());
        return Err(Failure::new(Exit::Failed, cause));
    };
    let vms: BTreeSet<&str> = own.iter().map(|l| l.vm.as_str()).collect();
    let endpoints: BTreeSet<&str> = own.iter().filter_map(|l| field(&l.text, "id")).collect();
    let near = |l: &&Line| l.time_ms + BEFORE_MS >= first && l.time_ms <= last + AFTER_MS;
    let of_endpoint = |l: &Line| {
        let named = field(&l.text, "id").is_some_and(|id| endpoints.contains(id));
        named && (field(&l.text, "request").is_none() || l.event == "silent")
    };
    let belief = |l: &Line| {
        BELIEFS.contains(&l.event.as_str()) && vms.contains(l.vm.as_str()) || of_endpoint(l)
    };
    let mut shown: Vec<&Line> = all.iter().filter(near).filter(|l| belief(l)).collect();
    // What the planner found last before the end says why groups were few.
    let plans = all
        .iter()
        .filter(|l| l.event == "plan" && l.time_ms <= last);
    shown.extend(plans.max_by_key(|l| l.time_ms));
    shown.extend(&own);
    shown.sort_by_key(|l| (l.time_ms, l.vm.clone()));
    shown.dedup();
    Ok(Story {
        request: request.to_owned(),
        verdict: verdict(&own, &shown),
        lines: shown
            .iter()
            .map(|l| {
                format!(
                    "{:+} ms  {}  {}",
                    l.time_ms as i64 - first as i64,
                    l.vm,
                    l.text
                )
            })
            .collect(),
    })
}

/// Reads a line; `None` says that it is none of the daemon's. What stands before its time names the VM
/// if the lines of several were saved together.
fn parse(line: &str, file: &str) -> Option<Line> {
    let at = line.find("time_ms=")?;
    let vm = line[..at].split_whitespace().last().unwrap_or(file);
    let text = &line[at..];
    let event = field(text, "event")?;
    Some(Line {
        time_ms: field(text, "time_ms")?.parse().ok()?,
        vm: vm.to_owned(),
        event: event.to_owned(),
        text: text[text.find("event=")?..].to_owned(),
    })
}

fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = text.split_whitespace().filter_map(|w| w.split_once('='));
    pairs.find(|(n, _)| *n == name).map(|(_, v)| v)
}

/// Says how the request ended and what explains it.
fn verdict(own: &[&Line], shown: &[&Line]) -> String {
    let ends: BTreeMap<&str, &str> = ENDS.into_iter().collect();
    let end = own
        .iter()
        .rev()
        .find_map(|l| Some((l, ends.get(l.event.as_str())?)));
    let Some((line, meaning)) = end else {
        return "its end is in none of the files: its VM stopped, or the lines were dropped"
            .to_owned();
    };
    let cause = field(&line.text, "cause");
    let failures: Vec<&str> = own
        .iter()
        .filter(|l| l.event == "send_failed")
        .filter_map(|l| field(&l.text, "cause"))
        .collect();
    let mut parts = vec![(*meaning).to_owned()];
    parts.extend(cause.map(|c| format!("cause {c}: {}", explain(c))));
    if !failures.is_empty() {
        parts.push(format!("sends failed: {}", failures.join(", ")));
    }
    let has = |event: &str, word: &str| {
        shown
            .iter()
            .any(|l| l.event == event && l.text.contains(word))
    };
    if has("outage", "of_all=true") {
        parts.push("no VM reached the store".to_owned());
    }
    if has("probe", "answered=false") {
        parts.push("an engine of its group did not answer".to_owned());
    }
    parts.join("; ")
}

/// Says what a cause means, in the order in which a request meets them.
fn explain(cause: &str) -> &'static str {
    match cause {
        "no_config" => "its VM had no configuration yet",
        "config_may_be_old" => {
            "its VM did not reach the store, so that a new route or key may be unknown to it"
        }
        "breaks_endpoints" => "the same request broke three endpoints",
        "nobody" => "no endpoint of the model or service was in use",
        "full" => "no endpoint could have begun it in time",
        "budget" => "the budget of repeated sends was used up",
        "stopping" => "its VM was about to stop, and it might not have ended before",
        "overdue" => "its time was over",
        "silent" | "stuck" => "its endpoint stopped answering it",
        "broken" => "the connection to its endpoint broke",
        "endpoint_failed" => "its endpoint answered with a failure of its own",
        "malformed" | "unsigned" | "foreign_answer" | "unclear_refusal" | "cut_event"
        | "missing_event" => "its endpoint sent bytes that are no whole answer to it",
        _ => "see the lines",
    }
}
