//! `hemlock diff`: shows what `apply` would change.

use clap::{ArgMatches, Command};
use hemlock_lib::declaration;
use hemlock_lib::table::Table;

use super::check;
use crate::exit::{Exit, Failure};
use crate::session::Context;
use crate::settle;

pub(crate) fn command() -> Command {
    Command::new("diff")
        .about("Show what `apply` would change; exit code 8 if rows differ")
        .arg(check::dir_arg())
        .after_help("Example:\n  hemlock diff examples/tallow-creek/table")
}

pub(crate) fn run(context: &mut Context<'_>, matches: &ArgMatches) -> Result<Exit, Failure> {
    let declared = check::open_dir(matches)?;
    check::refuse_faults(context, &declared, &Table::default())?;
    let table = context.session.view()?.table;
    let edits = declaration::diff(&table, &declared);
    settle::show(context, &table, &edits)?;
    Ok(if edits.is_empty() {
        Exit::Done
    } else {
        Exit::Differs
    })
}
