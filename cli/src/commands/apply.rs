//! `hemlock apply`: makes the table what a directory or a file declares.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use hemlock_lib::declaration::{self, Declared};
use hemlock_lib::table::{Edit, Table};

use super::check;
use crate::exit::{Exit, Failure};
use crate::session::Context;
use crate::settle;

pub(crate) fn command() -> Command {
    let file = Arg::new("file")
        .long("file")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .conflicts_with("dir")
        .help("Change only the rows of this file, such as `get ROW --output yaml` writes");
    let dir = check::dir_arg()
        .required(false)
        .required_unless_present("file");
    Command::new("apply")
        .about("Make the table what a directory or a file declares")
        .args([dir, file])
        .args(settle::args())
        .after_help(
            "A directory declares the whole table: rows that it lacks are deleted, but for drains.\n\
             Only rows that differ are touched, all of them or none.\n\n\
             Examples:\n  \
             hemlock apply examples/tallow-creek/table --wait --author ines\n  \
             hemlock get group/listwriter --output yaml > row.yaml\n  \
             hemlock apply --file row.yaml",
        )
}

pub(crate) fn run(context: &mut Context<'_>, matches: &ArgMatches) -> Result<Exit, Failure> {
    let (declared, diff) = declared(matches)?;
    if matches.contains_id("dir") {
        check::refuse_faults(context, &declared, &Table::default())?;
    }
    let table = context.session.view()?.table;
    check::refuse_faults(context, &declared, &table)?;
    let edits = diff(&table, &declared);
    settle::submit(context, matches, &table, edits)
}

type Diff = fn(&Table, &Declared) -> Vec<Edit>;

fn declared(matches: &ArgMatches) -> Result<(Declared, Diff), Failure> {
    let Some(file) = matches.get_one::<PathBuf>("file") else {
        return Ok((check::open_dir(matches)?, declaration::diff));
    };
    let declared = declaration::open_file(file)
        .map_err(|e| Failure::usage(e.current_context().to_string()))?;
    Ok((declared, declaration::edits))
}
