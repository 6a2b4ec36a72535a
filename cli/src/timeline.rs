//! Timeline of one request, from saved log files of entry VMs.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use serde::Serialize;

use crate::exit::{Exit, Failure};

/// Time before the first line of a request from which lines on the state of VMs are shown, in
/// milliseconds. The loss of an engine can be logged up to 3 s before that line.
const CONTEXT_BEFORE_MS: u64 = 3_000;
/// Time after the last line of a request until which lines on the state of VMs are shown, in milliseconds.
const CONTEXT_AFTER_MS: u64 = 500;
/// Events on the state of an entry VM that are shown, besides those on the request's endpoints.
const VM_STATE_EVENTS: [&str; 9] = [
    "outage",
    "store_lost",
    "store_regained",
    "duty",
    "duty_alone",
    "config",
    "stopping",
    "log_dropped",
    "path",
];
/// Events that end a request, with their meaning.
const END_EVENTS: [(&str, &str); 7] = [
    ("answered", "it was answered"),
    ("refused", "it was refused before it ran"),
    ("denied", "no configuration in force there allows it"),
    ("failed", "it may have run, and could not be sent again"),
    ("broken_off", "its stream ended unfinished"),
    ("left", "its caller left"),
    (
        "handed_back",
        "a peer that had it passed on gave it back; the log of the VM of its caller is not here",
    ),
];

/// Parsed line of a log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct LogLine {
    time_ms: u64,
    vm: String,
    event: String,
    text: String,
}

/// Timeline of a request, as the logs show it.
#[derive(Debug, Serialize)]
pub(crate) struct Timeline {
    /// ID of the request.
    pub(crate) request: String,
    /// How the request ended, and why.
    pub(crate) verdict: String,
    /// Lines of the request and lines on the state of VMs meanwhile, by time.
    pub(crate) lines: Vec<String>,
}

/// Reads log files and builds the timeline of one request.
///
/// # Errors
///
/// Fails with [`Exit::Usage`] if a file can't be read, and with [`Exit::Failed`] if no line names the
/// request.
pub(crate) fn read(files: &[&Path], request: &str) -> Result<Timeline, Failure> {
    let mut all = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file).map_err(|e| {
            let cause = format!("can't read {}: {e}", file.display());
            Failure::new(Exit::Usage, cause)
        })?;
        let name = file.file_stem().unwrap_or_default().to_string_lossy();
        all.extend(text.lines().filter_map(|l| parse(l, &name)));
    }
    let request_lines: Vec<&LogLine> = all
        .iter()
        .filter(|l| field(&l.text, "request") == Some(request))
        .collect();
    let (Some(first), Some(last)) = (
        request_lines.iter().map(|l| l.time_ms).min(),
        request_lines.iter().map(|l| l.time_ms).max(),
    ) else {
        let cause = format!("no line of {} files names request {request}", files.len());
        return Err(Failure::new(Exit::Failed, cause));
    };
    let vms: BTreeSet<&str> = request_lines.iter().map(|l| l.vm.as_str()).collect();
    let endpoints: BTreeSet<&str> = request_lines
        .iter()
        .filter_map(|l| field(&l.text, "id"))
        .collect();
    let in_context = |l: &&LogLine| {
        l.time_ms + CONTEXT_BEFORE_MS >= first && l.time_ms <= last + CONTEXT_AFTER_MS
    };
    let on_endpoint = |l: &LogLine| {
        let names_endpoint = field(&l.text, "id").is_some_and(|id| endpoints.contains(id));
        names_endpoint && (field(&l.text, "request").is_none() || l.event == "silent")
    };
    let on_vm_state = |l: &LogLine| {
        VM_STATE_EVENTS.contains(&l.event.as_str()) && vms.contains(l.vm.as_str()) || on_endpoint(l)
    };
    let mut shown: Vec<&LogLine> = all
        .iter()
        .filter(in_context)
        .filter(|l| on_vm_state(l))
        .collect();
    // The last summary of the planner before the end shows why there were few engine groups.
    let plans = all
        .iter()
        .filter(|l| l.event == "plan" && l.time_ms <= last);
    shown.extend(plans.max_by_key(|l| l.time_ms));
    shown.extend(&request_lines);
    shown.sort_by_key(|l| (l.time_ms, l.vm.clone()));
    shown.dedup();
    Ok(Timeline {
        request: request.to_owned(),
        verdict: verdict(&request_lines, &shown),
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

/// Parses a line of a log; returns `None` if a daemon did not write it.
///
/// The word before `time_ms=`, if any, is the name of the VM: lines of several VMs may be saved in one
/// file. Otherwise `file` names the VM.
fn parse(line: &str, file: &str) -> Option<LogLine> {
    let at = line.find("time_ms=")?;
    let vm = line[..at].split_whitespace().last().unwrap_or(file);
    let text = &line[at..];
    let event = field(text, "event")?;
    Some(LogLine {
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

/// Describes how the request ended, and the cause.
fn verdict(request_lines: &[&LogLine], shown: &[&LogLine]) -> String {
    let ends: BTreeMap<&str, &str> = END_EVENTS.into_iter().collect();
    let end_of = |is_wanted: &dyn Fn(&LogLine) -> bool| {
        let wanted = request_lines.iter().rev().filter(|l| is_wanted(l));
        wanted
            .filter_map(|l| Some((*l, ends.get(l.event.as_str())?)))
            .next()
    };
    // Lines of a peer that had the request passed on name the VM of its caller, whose line counts.
    let end = end_of(&|l| field(&l.text, "for").is_none()).or_else(|| end_of(&|_| true));
    let Some((line, meaning)) = end else {
        return "its end is in none of the files: its VM stopped, or the lines were dropped"
            .to_owned();
    };
    let cause = field(&line.text, "cause");
    let failures: Vec<&str> = request_lines
        .iter()
        .filter(|l| matches!(l.event.as_str(), "send_failed" | "pass_failed"))
        .filter_map(|l| field(&l.text, "cause"))
        .collect();
    let mut parts = vec![(*meaning).to_owned()];
    parts.extend(cause.map(|c| format!("cause {c}: {}", cause_meaning(c))));
    if !failures.is_empty() {
        parts.push(format!("sends failed: {}", failures.join(", ")));
    }
    let has = |event: &str, word: &str| {
        shown
            .iter()
            .any(|l| l.event == event && l.text.contains(word))
    };
    let peers = request_lines.iter().filter(|l| l.event == "passed_on");
    let peers: Vec<&str> = peers.filter_map(|l| field(&l.text, "via")).collect();
    if !peers.is_empty() {
        let names = peers.iter().map(|p| p.trim_start_matches("peer:"));
        parts.push(format!(
            "passed on to {}",
            names.collect::<Vec<_>>().join(", ")
        ));
    }
    if has("outage", "of_all=true") {
        parts.push("no VM reached the store".to_owned());
    }
    if has("probe", "answered=false") {
        parts.push("an engine of its group did not answer".to_owned());
    }
    parts.join("; ")
}

/// Returns the meaning of a cause; causes are listed in the order in which a request can meet them.
fn cause_meaning(cause: &str) -> &'static str {
    match cause {
        "no_config" => "its VM had no configuration yet",
        "config_may_be_old" => {
            "its VM did not reach the store, so that a new route or key may be unknown to it"
        }
        "breaks_endpoints" => "it, or others with a part of its prompt, crashed several endpoints",
        "evacuated" => "all endpoints of the model or service are in evacuated zones",
        "nobody" => "no endpoint of the model or service was in use",
        "full" => "no endpoint could have begun it in time",
        "budget" => "the budget of repeated sends was used up",
        "no_path" => "its VM reached no endpoint, and no peer that does took it",
        "peer_refused" => "the peer that it was passed on to refused it",
        "peer_failed" => "the peer that it was passed on to got no answer",
        "peer_silent" | "peer_lost" | "peer_broken" | "peer_write" => {
            "the peer that it was passed on to was lost"
        }
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
