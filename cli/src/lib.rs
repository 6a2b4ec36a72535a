//! The `hemlock` command: operators' view of the table and of the system's state.

mod commands;
mod exit;
mod session;

use std::ffi::OsString;
use std::io::Write;
use std::process::ExitCode;

use clap::{Arg, Command};

pub use crate::exit::Exit;

/// Environment variable that names the agent.
const AGENT_VARIABLE: &str = "HEMLOCK_AGENT";

/// Returns the command line's definition.
pub fn command() -> Command {
    let agent = Arg::new("agent")
        .long("agent")
        .global(true)
        .value_name("URL")
        .default_value("http://127.0.0.1:8101")
        .help(format!(
            "Agent to talk to; {AGENT_VARIABLE} sets the default"
        ));
    Command::new("hemlock")
        .about("Operates hemlocklb")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg(agent)
        .subcommands(commands::all())
}

/// Runs one command; output goes to `out`, errors to `err`.
pub fn run(
    args: impl IntoIterator<Item = impl Into<OsString> + Clone>,
    out: &mut impl Write,
    err: &mut impl Write,
) -> Exit {
    let matches = match command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(e) => {
            let shown = e.render();
            let _ = if e.use_stderr() {
                write!(err, "{shown}")
            } else {
                write!(out, "{shown}")
            };
            return if e.use_stderr() {
                Exit::Usage
            } else {
                Exit::Done
            };
        }
    };
    match commands::run(&matches, out) {
        Ok(exit) => exit,
        Err(failure) => {
            let _ = writeln!(err, "error: {}", failure.cause);
            failure.exit
        }
    }
}

/// Runs the process's own command line.
pub fn main() -> ExitCode {
    let mut args: Vec<OsString> = std::env::args_os().collect();
    if let Some(agent) = std::env::var_os(AGENT_VARIABLE) {
        args.splice(1..1, ["--agent".into(), agent]);
    }
    run(args, &mut std::io::stdout(), &mut std::io::stderr()).into()
}
