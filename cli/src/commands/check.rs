//! `hemlock check`: checks declarations without sending anything.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use hemlock_lib::declaration::{self, Declared};
use hemlock_lib::table::Table;

use crate::exit::{Exit, Failure};
use crate::session::Context;

pub(crate) fn command() -> Command {
    Command::new("check")
        .about("Check a directory of table files without sending anything")
        .arg(dir_arg())
        .after_help("Example:\n  hemlock check examples/tallow-creek/table")
}

pub(crate) fn run(context: &mut Context<'_>, matches: &ArgMatches) -> Result<Exit, Failure> {
    let declared = open_dir(matches)?;
    refuse_faults(context, &declared, &Table::default())?;
    writeln!(context.out, "{} rows ok", declared.rows.len())?;
    Ok(Exit::Done)
}

/// Returns the argument that names the directory of table files.
pub(crate) fn dir_arg() -> Arg {
    Arg::new("dir")
        .value_name("DIR")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Directory of YAML files that declare the table")
}

/// Reads the directory that was named.
pub(crate) fn open_dir(matches: &ArgMatches) -> Result<Declared, Failure> {
    let dir = matches.get_one::<PathBuf>("dir").cloned();
    declaration::open(dir.unwrap_or_default())
        .map_err(|e| Failure::usage(e.current_context().to_string()))
}

/// Writes each fault in one line and fails if there is any.
pub(crate) fn refuse_faults(
    context: &mut Context<'_>,
    declared: &Declared,
    known: &Table,
) -> Result<(), Failure> {
    let faults = declared.check(known);
    for fault in &faults {
        writeln!(context.err, "{fault}")?;
    }
    match faults.len() {
        0 => Ok(()),
        n => Err(Failure::usage(format!(
            "faults in the table: {n}; nothing was sent"
        ))),
    }
}
