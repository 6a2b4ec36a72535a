//! `hemlock completion`: writes the completion script of a shell.

use std::str::FromStr;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgMatches, Command};
use clap_complete::Shell;

use crate::exit::{Exit, Failure};
use crate::session::Context;

pub(crate) fn command() -> Command {
    let shell = Arg::new("shell")
        .value_name("SHELL")
        .required(true)
        .value_parser(PossibleValuesParser::new([
            "bash",
            "elvish",
            "fish",
            "powershell",
            "zsh",
        ]))
        .help("Shell that runs the script");
    Command::new("completion")
        .about("Write the completion script of a shell")
        .arg(shell)
        .after_help("Example:\n  hemlock completion bash > /etc/bash_completion.d/hemlock")
}

pub(crate) fn run(context: &mut Context<'_>, matches: &ArgMatches) -> Result<Exit, Failure> {
    let name = matches.get_one::<String>("shell").cloned();
    let shell = Shell::from_str(&name.unwrap_or_default()).map_err(Failure::usage)?;
    let mut text = Vec::new();
    clap_complete::generate(shell, &mut crate::command(), "hemlock", &mut text);
    context.out.write_all(&text)?;
    Ok(Exit::Done)
}
