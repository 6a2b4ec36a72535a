//! The `hemlock` command, by which operators read and change the table and inspect the system's state.

mod commands;
mod exit;
mod output;
mod rows;
mod session;
mod submission;
mod timeline;
mod timestamp;

use std::ffi::OsString;
use std::fmt::Write as _;
use std::io::Write;
use std::process::ExitCode;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, Command};

pub use crate::exit::Exit;
use crate::output::Format;

/// Environment variable that holds the URLs of the agents, separated by commas.
const AGENT_ENV: &str = "HEMLOCK_AGENT";
/// URL of the agent that is used if neither the command line nor the environment names one.
const DEFAULT_AGENT: &str = "http://127.0.0.1:8101";

/// Returns the definition of the command line.
pub fn command() -> Command {
    let agent = Arg::new("agent")
        .long("agent")
        .global(true)
        .action(ArgAction::Append)
        .value_name("URL")
        .help(format!(
            "URL of the agent; if given more than once, the agents are tried in order \
             [default: {AGENT_ENV}, or {DEFAULT_AGENT}]"
        ));
    let output = Arg::new("output")
        .long("output")
        .global(true)
        .value_name("FORMAT")
        .value_parser(PossibleValuesParser::new(Format::NAMES))
        .default_value("table")
        .help("Output format");
    Command::new("hemlock")
        .about("Operates hemlocklb")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args([agent, output])
        .after_help(exit_codes_help())
        .subcommands(commands::all())
}

/// Runs one command, with the default agent if `args` names none.
///
/// Output is written to `out`, errors and progress to `err`.
pub fn run(
    args: impl IntoIterator<Item = impl Into<OsString> + Clone>,
    out: &mut impl Write,
    err: &mut impl Write,
) -> Exit {
    run_with(DEFAULT_AGENT, args, out, err)
}

/// Runs the command line of this process.
pub fn main() -> ExitCode {
    let agents = std::env::var(AGENT_ENV).unwrap_or_else(|_| DEFAULT_AGENT.to_owned());
    let args: Vec<OsString> = std::env::args_os().collect();
    run_with(
        &agents,
        args,
        &mut std::io::stdout(),
        &mut std::io::stderr(),
    )
    .into()
}

fn run_with(
    agents: &str,
    args: impl IntoIterator<Item = impl Into<OsString> + Clone>,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> Exit {
    let matches = match command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(e) => {
            let rendered = e.render();
            if !e.use_stderr() {
                let _ = write!(out, "{rendered}");
                return Exit::Done;
            }
            let _ = write!(err, "{rendered}");
            return Exit::Usage;
        }
    };
    match commands::run(agents, &matches, out, err) {
        Ok(exit) => exit,
        Err(failure) => {
            let _ = writeln!(err, "error: {}", failure.cause);
            failure.exit
        }
    }
}

fn exit_codes_help() -> String {
    let mut text = "Exit codes:\n".to_owned();
    for (exit, meaning) in Exit::ALL {
        let _ = writeln!(text, "  {}  {meaning}", exit as u8);
    }
    text
}
