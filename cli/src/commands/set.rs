//! `hemlock set`: changes columns of one row.

use clap::{Arg, ArgAction, ArgMatches, Command};
use hemlock_lib::declaration::{self, DeclaredTable};
use hemlock_lib::nearest::nearest;
use hemlock_lib::table::Row;
use serde_json::Value;

use super::check;
use crate::exit::{Exit, Failure};
use crate::session::Context;
use crate::{rows, submission};

pub(crate) fn command() -> Command {
    let row = Arg::new("row")
        .value_name("ROW")
        .required(true)
        .help("Row to change, such as group/listwriter");
    let columns = Arg::new("columns")
        .value_name("COLUMN=VALUE")
        .required(true)
        .action(ArgAction::Append)
        .help("New values");
    Command::new("set")
        .about("Change columns of one row")
        .args([row, columns])
        .args(submission::args())
        .after_help("Example:\n  hemlock set group/listwriter replicas=14 minimum=9 --wait")
}

pub(crate) fn run(context: &mut Context<'_>, matches: &ArgMatches) -> Result<Exit, Failure> {
    let row = matches.get_one::<String>("row").cloned();
    let key = rows::parse_key(&row.unwrap_or_default())?;
    let columns = matches.get_many::<String>("columns").unwrap_or_default();
    let view = context.session.view()?;
    let (entry, old) = rows::find(&view.table, &key)?;
    let new = with_columns(old, columns)?;
    let mut declared = DeclaredTable::default();
    declared.rows.insert(key.clone(), new);
    declared.bases.insert(key, entry.version);
    let edits = declaration::upserts(&view.table, &declared);
    check::reject_faults(context, &declared, &view, &edits)?;
    submission::submit(context, matches, &view.table, edits)
}

/// Returns `old` with the columns that `assignments` (`COLUMN=VALUE`) give.
///
/// # Errors
///
/// Fails with [`Exit::Usage`] if an assignment is malformed, names an unknown column or gives a
/// value of the wrong type.
fn with_columns<'a>(
    old: &Row,
    assignments: impl Iterator<Item = &'a String>,
) -> Result<Row, Failure> {
    let mut columns = rows::columns(old);
    for assignment in assignments {
        let (column, value) = assignment.split_once('=').ok_or_else(|| {
            Failure::usage(format!("`{assignment}` is not of the form COLUMN=VALUE"))
        })?;
        let known = columns.keys().map(String::as_str);
        if !columns.contains_key(column) {
            let suggestion = nearest(column, known).map(|m| format!("; did you mean `{m}`?"));
            let cause = format!("no column `{column}`{}", suggestion.unwrap_or_default());
            return Err(Failure::usage(cause));
        }
        let is_text = columns.get(column).is_some_and(Value::is_string);
        let value = match serde_yaml_ng::from_str(value) {
            Ok(parsed) if !is_text => parsed,
            _ => Value::String(value.to_owned()),
        };
        columns.insert(column.to_owned(), value);
    }
    rows::from_columns(old, columns).map_err(Failure::usage)
}
