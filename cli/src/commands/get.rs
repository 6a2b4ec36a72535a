//! `hemlock get`: shows rows of the table.

use clap::{Arg, ArgMatches, Command};
use hemlock_lib::declaration::Declaration;
use hemlock_lib::table::{Entry, Row, RowKey, Table};

use crate::exit::{Exit, Failure};
use crate::output::{self, TextTable};
use crate::rows;
use crate::session::Context;

pub(crate) fn command() -> Command {
    let row = Arg::new("row")
        .value_name("ROW")
        .help("Row to show, such as group/listwriter; by default all rows");
    Command::new("get")
        .about("Show rows of the table")
        .arg(row)
        .after_help(
            "Examples:\n  hemlock get\n  hemlock get group/listwriter --output yaml > row.yaml",
        )
}

pub(crate) fn run(context: &mut Context<'_>, matches: &ArgMatches) -> Result<Exit, Failure> {
    let row = matches.get_one::<String>("row");
    let key = row.map(|r| rows::parse_key(r)).transpose()?;
    let table = context.session.view()?.table;
    let selected = select(&table, key.as_ref())?;
    let mut declaration = Declaration::default();
    for (key, entry, row) in &selected {
        declaration.insert(key, row);
        declaration.bases.insert(key.to_string(), entry.version.0);
    }
    output::print(context.out, context.format, &declaration, || {
        let mut text = TextTable::new(&["row", "columns", "last changed by"]);
        for (key, entry, row) in &selected {
            let columns = rows::describe_changes(None, Some(row));
            text.push_line([key.to_string(), columns, rows::describe_last_change(entry)]);
        }
        text
    })?;
    Ok(Exit::Done)
}

/// Rows with their keys and entries.
type SelectedRows<'a> = Vec<(&'a RowKey, &'a Entry, &'a Row)>;

/// Returns the row of `key`, or all rows of the table if `key` is `None`.
fn select<'a>(table: &'a Table, key: Option<&'a RowKey>) -> Result<SelectedRows<'a>, Failure> {
    match key {
        None => Ok(table.rows().collect()),
        Some(key) => {
            let (entry, row) = rows::find(table, key)?;
            Ok(vec![(key, entry, row)])
        }
    }
}
