//! `hemlock diff`: shows what `apply` would change.

use clap::{ArgMatches, Command};
use hemlock_lib::declaration;

use super::check;
use crate::exit::{Exit, Failure};
use crate::session::Context;
use crate::submission;

pub(crate) fn command() -> Command {
    Command::new("diff")
        .about("Show what `apply` would change; exit code 8 if rows differ")
        .arg(check::dir_arg())
        .after_help("Example:\n  hemlock diff examples/tallow-creek/table")
}

pub(crate) fn run(context: &mut Context<'_>, matches: &ArgMatches) -> Result<Exit, Failure> {
    let declared = check::read_dir(matches)?;
    let view = context.session.view()?;
    let edits = declaration::diff(&view.table, &declared);
    check::reject_faults(context, &declared, &view, &edits)?;
    submission::print_edits(context, &view.table, &edits)?;
    Ok(if edits.is_empty() {
        Exit::Done
    } else {
        Exit::Differs
    })
}
