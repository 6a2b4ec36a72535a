//! The subcommands, one file each.

mod apply;
mod check;
mod completion;
mod diff;
mod drain;
mod explain;
mod get;
mod history;
mod key;
mod schema;
mod set;
mod status;
mod undrain;
mod watch;

use std::io::Write;

use clap::{ArgMatches, Command};

use crate::exit::{Exit, Failure};
use crate::output::Format;
use crate::session::{Context, Session};

/// Returns the definitions of all subcommands.
pub(crate) fn all() -> Vec<Command> {
    vec![
        check::command(),
        diff::command(),
        apply::command(),
        get::command(),
        set::command(),
        history::command(),
        status::command(),
        explain::command(),
        drain::command(),
        undrain::command(),
        key::command(),
        watch::command(),
        schema::command(),
        completion::command(),
    ]
}

/// Runs the subcommand that `matches` names; `agents` are the default agents, separated by commas.
pub(crate) fn run(
    agents: &str,
    matches: &ArgMatches,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> Result<Exit, Failure> {
    let Some((name, args)) = matches.subcommand() else {
        return Err(Failure::usage("no command"));
    };
    let given = args.get_many::<String>("agent");
    let agents = match given {
        Some(urls) => urls.cloned().collect(),
        None => agents.split(',').map(|a| a.trim().to_owned()).collect(),
    };
    let format = args.get_one::<String>("output").map_or("table", |f| f);
    let mut context = Context {
        session: Session::new(agents),
        format: Format::from_name(format),
        out,
        err,
    };
    match name {
        "check" => check::run(&mut context, args),
        "diff" => diff::run(&mut context, args),
        "apply" => apply::run(&mut context, args),
        "get" => get::run(&mut context, args),
        "set" => set::run(&mut context, args),
        "history" => history::run(&mut context, args),
        "status" => status::run(&mut context, args),
        "explain" => explain::run(&mut context, args),
        "drain" => drain::run(&mut context, args),
        "undrain" => undrain::run(&mut context, args),
        "key" => key::run(&mut context, args),
        "watch" => watch::run(&mut context, args),
        "schema" => schema::run(&mut context, args),
        "completion" => completion::run(&mut context, args),
        _ => Err(Failure::usage("no such command")),
    }
}
