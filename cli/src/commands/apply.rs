//! `hemlock apply`: makes the table what a directory or a file declares.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use hemlock_lib::declaration::{self, DeclaredTable};
use hemlock_lib::table::{Edit, Table};

use super::check;
use crate::exit::{Exit, Failure};
use crate::session::Context;
use crate::submission;

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
        .args(submission::args())
        .after_help(
            "A directory declares the whole table: rows that it lacks are deleted, except for drains.\n\
             Only rows that differ are changed, all of them or none.\n\n\
             Examples:\n  \
             hemlock apply examples/tallow-creek/table --wait --author ines\n  \
             hemlock get group/listwriter --output yaml > row.yaml\n  \
             hemlock apply --file row.yaml",
        )
}

pub(crate) fn run(context: &mut Context<'_>, matches: &ArgMatches) -> Result<Exit, Failure> {
    let (declared, diff) = read_declaration(matches)?;
    let view = context.session.view()?;
    let edits = diff(&view.table, &declared);
    check::reject_faults(context, &declared, &view, &edits)?;
    submission::submit(context, matches, &view.table, edits)
}

/// Function that returns the edits that make a table match a declaration.
type Diff = fn(&Table, &DeclaredTable) -> Vec<Edit>;

/// Reads the declaration, with the function that compares it: a directory deletes rows that it lacks, a
/// file does not.
fn read_declaration(matches: &ArgMatches) -> Result<(DeclaredTable, Diff), Failure> {
    let Some(file) = matches.get_one::<PathBuf>("file") else {
        return Ok((check::read_dir(matches)?, declaration::diff));
    };
    let declared = declaration::read_file(file)
        .map_err(|e| Failure::usage(e.current_context().to_string()))?;
    Ok((declared, declaration::upserts))
}
