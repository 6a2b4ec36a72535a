//! The commands, one file each.

mod apply;
mod status;

use std::io::Write;

use clap::{ArgMatches, Command};

use crate::exit::{Exit, Failure};
use crate::session::Session;

/// Returns the definitions of all commands.
pub(crate) fn all() -> Vec<Command> {
    vec![apply::command(), status::command()]
}

/// Runs the command that was named.
pub(crate) fn run(matches: &ArgMatches, out: &mut impl Write) -> Result<Exit, Failure> {
    let agent = matches
        .get_one::<String>("agent")
        .cloned()
        .unwrap_or_default();
    let session = Session::new(agent);
    match matches.subcommand() {
        Some(("apply", matches)) => apply::run(&session, matches, out),
        Some(("status", _)) => status::run(&session, out),
        _ => Err(Failure::new(Exit::Usage, "no such command")),
    }
}
