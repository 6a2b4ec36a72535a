//! `hemlock history`: shows who changed rows, when and to what.

use clap::{Arg, ArgMatches, Command};
use hemlock_lib::ids::Offset;
use hemlock_lib::table::{Entry, RowKey};
use serde::Serialize;

use crate::exit::{Exit, Failure};
use crate::output::{self, TextTable};
use crate::session::Context;
use crate::{rows, timestamp};

pub(crate) fn command() -> Command {
    let row = Arg::new("row")
        .value_name("ROW")
        .help("Row to show, such as group/listwriter; by default all rows");
    Command::new("history")
        .about("Show who changed rows, when and to what")
        .arg(row)
        .after_help(
            "The table keeps the last five changes of each row; older ones are in version control.\n\n\
             Example:\n  hemlock history group/listwriter",
        )
}

/// One change of one row in the output.
#[derive(Debug, Serialize)]
struct HistoryEntry {
    offset: Offset,
    at: String,
    author: String,
    row: String,
    change: String,
}

pub(crate) fn run(context: &mut Context<'_>, matches: &ArgMatches) -> Result<Exit, Failure> {
    let row = matches.get_one::<String>("row");
    let key = row.map(|r| rows::parse_key(r)).transpose()?;
    let table = context.session.view()?.table;
    let mut all: Vec<HistoryEntry> = match &key {
        None => table
            .entries()
            .flat_map(|(k, e)| history_entries(k, e))
            .collect(),
        Some(key) => match table.entry(key) {
            Some(entry) => history_entries(key, entry),
            None => return rows::find(&table, key).map(|_| Exit::Done),
        },
    };
    all.sort_by(|a, b| b.offset.cmp(&a.offset).then_with(|| a.row.cmp(&b.row)));
    output::print(context.out, context.format, &all, || {
        let mut text = TextTable::new(&["offset", "at", "author", "row", "change"]);
        for s in &all {
            text.push_line([&s.offset.to_string(), &s.at, &s.author, &s.row, &s.change]);
        }
        text
    })?;
    Ok(Exit::Done)
}

/// Returns the changes of a row that the table keeps.
fn history_entries(key: &RowKey, entry: &Entry) -> Vec<HistoryEntry> {
    let changes = rows::history(entry);
    let mut out = Vec::new();
    for (i, change) in changes.iter().enumerate() {
        let before = changes.get(i + 1).and_then(|c| c.row.as_ref());
        let description = match (&change.row, before) {
            (None, _) => "delete".to_owned(),
            (Some(row), None) => rows::describe_changes(None, Some(row)),
            (Some(row), Some(before)) => rows::describe_changes(Some(before), Some(row)),
        };
        out.push(HistoryEntry {
            offset: change.version,
            at: timestamp::format_utc(change.at_ms),
            author: change.author.clone(),
            row: key.to_string(),
            change: description,
        });
    }
    out
}
