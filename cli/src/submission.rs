//! Submits edits of the table and reports how they were settled.

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

/// Seconds that `--wait` waits for every entry VM unless told otherwise.
const WAIT_S: &str = "12";
const POLL: Duration = Duration::from_millis(200);

/// Arguments of each command that changes the table.
pub(crate) fn args() -> [Arg; 2] {
    let wait = Arg::new("wait")
        .long("wait")
        .value_name("SECONDS")
        .num_args(0..=1)
        .require_equals(true)
        .default_missing_value(WAIT_S)
        .value_parser(value_parser!(u64))
        .help(format!(
            "Wait until the change is in force on every entry VM, for {WAIT_S} s unless told otherwise"
        ));
    let author = Arg::new("author")
        .long("author")
        .value_name("NAME")
        .default_value("operator")
        .help("Name that the change is recorded under");
    [wait, author]
}

/// One row's edit as shown to operators.
#[derive(Debug, Serialize)]
struct Shown {
    row: String,
    action: &'static str,
    columns: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    last_change: Option<String>,
}

/// What became of a change.
#[derive(Debug, Serialize)]
struct Outcome {
    edits: Vec<Shown>,
    #[serde(skip_serializing_if = "Option::is_none")]
    offset: Option<Offset>,
}

/// Writes what the edits change.
pub(crate) fn show(
    context: &mut Context<'_>,
    table: &Table,
    edits: &[Edit],
) -> Result<(), Failure> {
    let outcome = Outcome {
        edits: shown(table, edits),
        offset: None,
    };
    print(context, &outcome)
}

/// Submits edits, writes what they changed and, if asked, waits until they are in force.
pub(crate) fn submit(
    context: &mut Context<'_>,
    matches: &ArgMatches,
    table: &Table,
    edits: Vec<Edit>,
) -> Result<Exit, Failure> {
    if edits.is_empty() {
        show(context, table, &edits)?;
        return Ok(Exit::Done);
    }
    let author = matches.get_one::<String>("author").cloned();
    let shown = shown(table, &edits);
    let change = Submit::Config {
        author: author.unwrap_or_default(),
        edits: edits.clone(),
    };
    let settled = context.session.submit(&change);
    let offset = accepted(context, table, &edits, settled)?;
    let outcome = Outcome {
        edits: shown,
        offset: Some(offset),
    };
    print(context, &outcome)?;
    match matches.get_one::<u64>("wait") {
        Some(seconds) => wait_in_force(context, offset, Duration::from_secs(*seconds)),
        None => Ok(Exit::Done),
    }
}

fn print(context: &mut Context<'_>, outcome: &Outcome) -> Result<(), Failure> {
    output::print(context.out, context.format, outcome, || {
        let mut text = TextTable::default();
        for edit in &outcome.edits {
            let last = edit.last_change.as_ref();
            let last = last.map(|l| format!("(last changed by {l})"));
            let row = format!("{} {}", edit.action, edit.row);
            text.push_line([row, edit.columns.clone(), last.unwrap_or_default()]);
        }
        match outcome.offset {
            Some(offset) => text.push_line([format!("accepted at offset {offset}")]),
            None if outcome.edits.is_empty() => text.push_line(["no row differs"]),
            None => {}
        }
        text
    })
}

fn shown(table: &Table, edits: &[Edit]) -> Vec<Shown> {
    let one = |edit: &Edit| {
        let entry = table.entry(&edit.key);
        let old = entry.and_then(|e| e.row.as_ref());
        Shown {
            row: edit.key.to_string(),
            action: rows::verb(table, edit),
            columns: match &edit.row {
                None => String::new(),
                row => rows::difference(old, row.as_ref()),
            },
            last_change: entry.map(rows::origin),
        }
    };
    edits.iter().map(one).collect()
}

fn accepted(
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
            "the agent missed records that have expired, so it decides nothing; nothing was changed",
        ),
        Settled::NotAppended => Failure::new(
            Exit::Unreachable,
            "no agent could append the change to the log; nothing was changed",
        ),
        Settled::Unknown => Failure::new(
            Exit::Unknown,
            "the change was sent but no answer came within 8 s; whether it was accepted can't be \
             told: run `hemlock history` before a new try",
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
        let moved = present.entry(&edit.key);
        if moved.map(|e| e.version) == edit.base {
            continue;
        }
        let theirs = moved.and_then(|e| e.row.as_ref());
        let columns = rows::difference(theirs, edit.row.as_ref());
        let who = moved.map_or_else(|| "somebody".to_owned(), rows::origin);
        let _ = writeln!(
            context.err,
            "`{}` was changed by {who}; yours against theirs: {columns}",
            edit.key
        );
    }
    let who = entry.map_or_else(|| "it is gone".to_owned(), rows::origin);
    Failure::new(
        Exit::Conflict,
        format!("`{key}` moved on since it was read: {who}; nothing was changed"),
    )
}

fn wait_in_force(
    context: &mut Context<'_>,
    offset: Offset,
    limit: Duration,
) -> Result<Exit, Failure> {
    let end = Instant::now() + limit;
    let mut last = usize::MAX;
    loop {
        let view = context.session.view()?;
        let (total, behind) = progress(&view, offset);
        if behind.is_empty() {
            writeln!(context.err, "in force on {total} entry VMs")?;
            return Ok(Exit::Done);
        }
        if behind.len() != last {
            last = behind.len();
            writeln!(
                context.err,
                "in force on {} of {total} entry VMs",
                total - last
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
        std::thread::sleep(POLL);
    }
}

/// Returns how many entry VMs work, and those of them that have not read the record at `offset`.
///
/// An entry VM that left as planned and is silent takes no more work, so it does not count.
pub(crate) fn progress(view: &View, offset: Offset) -> (usize, Vec<String>) {
    let working = view.entries.iter().filter(|e| !has_left(e));
    let behind = working.clone().filter(|e| e.config <= offset.0);
    let names = behind.map(|e| e.member.entry.to_string());
    (working.count(), names.collect())
}

/// Returns whether an entry VM announced that it leaves and was not heard since.
pub(crate) fn has_left(entry: &EntryStatus) -> bool {
    entry.member.leaving && !entry.live
}
