//! Submits edits of the table and reports the result.

use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, value_parser};
use hemlock_lib::ids::Offset;
use hemlock_lib::peers::{Settled, Submit};
use hemlock_lib::table::{Edit, Entry, Refusal, RowKey, Table};
use hemlock_lib::view::{EntryStatus, View};
use serde::Serialize;

use crate::exit::{Exit, Failure};
use crate::output::{self, TextTable};
use crate::rows;
use crate::session::Context;

/// Default of `--wait`, in seconds.
const DEFAULT_WAIT_S: &str = "12";
/// Interval at which the view is read while waiting for a change to be in force.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Returns the arguments that all commands that change the table have.
pub(crate) fn args() -> [Arg; 2] {
    let wait = Arg::new("wait")
        .long("wait")
        .value_name("SECONDS")
        .num_args(0..=1)
        .require_equals(true)
        .default_missing_value(DEFAULT_WAIT_S)
        .value_parser(value_parser!(u64))
        .help(format!(
            "Wait until the change is in force on every entry VM, for at most {DEFAULT_WAIT_S} s by default"
        ));
    let author = Arg::new("author")
        .long("author")
        .value_name("NAME")
        .default_value("operator")
        .help("Name that the change is recorded under");
    [wait, author]
}

/// Edit of one row in the output.
#[derive(Debug, Serialize)]
struct EditSummary {
    row: String,
    action: &'static str,
    columns: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    last_change: Option<String>,
}

/// Output of a command that submits or compares edits.
#[derive(Debug, Serialize)]
struct ChangeReport {
    edits: Vec<EditSummary>,
    #[serde(skip_serializing_if = "Option::is_none")]
    offset: Option<Offset>,
}

/// Writes the changes that edits make, without submitting them.
pub(crate) fn print_edits(
    context: &mut Context<'_>,
    table: &Table,
    edits: &[Edit],
) -> Result<(), Failure> {
    let report = ChangeReport {
        edits: summarize(table, edits),
        offset: None,
    };
    print_report(context, &report)
}

/// Submits edits and writes their changes; with `--wait`, waits until they are in force.
///
/// # Errors
///
/// Fails if the edits are not accepted, if that is unknown, or if they are not confirmed to be in force
/// within the time limit.
pub(crate) fn submit(
    context: &mut Context<'_>,
    matches: &ArgMatches,
    table: &Table,
    edits: Vec<Edit>,
) -> Result<Exit, Failure> {
    if edits.is_empty() {
        print_edits(context, table, &edits)?;
        return Ok(Exit::Done);
    }
    let author = matches.get_one::<String>("author").cloned();
    let summaries = summarize(table, &edits);
    let change = Submit::Config {
        author: author.unwrap_or_default(),
        edits: edits.clone(),
    };
    let settled = context.session.submit(&change);
    let offset = accepted_offset(context, table, &edits, settled)?;
    let report = ChangeReport {
        edits: summaries,
        offset: Some(offset),
    };
    print_report(context, &report)?;
    match matches.get_one::<u64>("wait") {
        Some(seconds) => wait_in_force(context, offset, Duration::from_secs(*seconds)),
        None => Ok(Exit::Done),
    }
}

fn print_report(context: &mut Context<'_>, report: &ChangeReport) -> Result<(), Failure> {
    output::print(context.out, context.format, report, || {
        let mut text = TextTable::default();
        for edit in &report.edits {
            let last = edit.last_change.as_ref();
            let last = last.map(|l| format!("(last changed by {l})"));
            let row = format!("{} {}", edit.action, edit.row);
            text.push_line([row, edit.columns.clone(), last.unwrap_or_default()]);
        }
        match report.offset {
            Some(offset) => text.push_line([format!("accepted at offset {offset}")]),
            None if report.edits.is_empty() => text.push_line(["no row differs"]),
            None => {}
        }
        text
    })
}

fn summarize(table: &Table, edits: &[Edit]) -> Vec<EditSummary> {
    let summary = |edit: &Edit| {
        let entry = table.entry(&edit.key);
        let old = entry.and_then(|e| e.row.as_ref());
        EditSummary {
            row: edit.key.to_string(),
            action: rows::action(table, edit),
            columns: match &edit.row {
                None => String::new(),
                row => rows::describe_changes(old, row.as_ref()),
            },
            last_change: entry.map(rows::describe_last_change),
        }
    };
    edits.iter().map(summary).collect()
}

fn accepted_offset(
    context: &mut Context<'_>,
    table: &Table,
    edits: &[Edit],
    settled: Settled,
) -> Result<Offset, Failure> {
    let failure = match settled {
        Settled::Accepted { offset } => return Ok(offset),
        Settled::ConfigRefused(Refusal::Conflict { key, entry }) => {
            conflict(context, table, edits, &key, entry.as_deref())
        }
        Settled::ConfigInvalid(faults) => {
            for fault in &faults {
                writeln!(context.err, "{fault}")?;
            }
            let cause = format!(
                "the agent found faults: {}; nothing was changed",
                faults.len()
            );
            Failure::new(Exit::Refused, cause)
        }
        Settled::Gap => Failure::new(
            Exit::Refused,
            "the agent missed records that have expired and accepts no changes; nothing was changed",
        ),
        Settled::NotAppended => Failure::new(
            Exit::Unreachable,
            "no agent could append the change to the log; nothing was changed",
        ),
        Settled::Unknown => Failure::new(
            Exit::Unknown,
            "the change was sent but no answer came within 8 s; it may have been accepted: check \
             `hemlock history` before you retry",
        ),
        other => Failure::new(
            Exit::Refused,
            format!("the change was refused: {other:?}; nothing was changed"),
        ),
    };
    Err(failure)
}

fn conflict(
    context: &mut Context<'_>,
    table: &Table,
    edits: &[Edit],
    key: &RowKey,
    entry: Option<&Entry>,
) -> Failure {
    let present = context.session.view().map(|v| v.table);
    let present = present.as_ref().unwrap_or(table);
    for edit in edits {
        let current = present.entry(&edit.key);
        if current.map(|e| e.version) == edit.base {
            continue;
        }
        let current_row = current.and_then(|e| e.row.as_ref());
        let columns = rows::describe_changes(current_row, edit.row.as_ref());
        let last_change = current.map_or_else(|| "somebody".to_owned(), rows::describe_last_change);
        let _ = writeln!(
            context.err,
            "`{}` was changed by {last_change}; their value -> yours: {columns}",
            edit.key
        );
    }
    let last_change = entry.map_or_else(|| "it was deleted".to_owned(), rows::describe_last_change);
    Failure::new(
        Exit::Conflict,
        format!("`{key}` was changed since it was read: {last_change}; nothing was changed"),
    )
}

fn wait_in_force(
    context: &mut Context<'_>,
    offset: Offset,
    limit: Duration,
) -> Result<Exit, Failure> {
    let end = Instant::now() + limit;
    let mut last_behind = usize::MAX;
    loop {
        let view = context.session.view()?;
        let (total, behind) = in_force_on(&view, offset);
        if behind.is_empty() {
            writeln!(context.err, "in force on {total} entry VMs")?;
            return Ok(Exit::Done);
        }
        if behind.len() != last_behind {
            last_behind = behind.len();
            writeln!(
                context.err,
                "in force on {} of {total} entry VMs",
                total - last_behind
            )?;
        }
        if Instant::now() >= end {
            let cause = format!(
                "accepted at offset {offset}, but not confirmed in force within {} s on: {}",
                limit.as_secs(),
                behind.join(", ")
            );
            return Err(Failure::new(Exit::NotInForce, cause));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the number of working entry VMs, and the names of those that have not read the record at
/// `offset`.
///
/// An entry VM that announced that it leaves and is silent gets no requests, so it does not count.
pub(crate) fn in_force_on(view: &View, offset: Offset) -> (usize, Vec<String>) {
    let working = view.entries.iter().filter(|e| !has_left(e));
    let behind = working.clone().filter(|e| e.config <= offset.0);
    let names = behind.map(|e| e.member.entry.to_string());
    (working.count(), names.collect())
}

/// Returns whether an entry VM announced that it leaves and is silent.
pub(crate) fn has_left(entry: &EntryStatus) -> bool {
    entry.member.leaving && !entry.live
}
