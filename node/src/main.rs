//! `hemlock-node`: the daemon of an entry VM on a hosted platform.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command};
use hemlock_lib::node::settings::NodeSettings;
use hemlock_wire::daemon::report_fatal;

fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .value_parser(clap::value_parser!(PathBuf))
        .help(format!(
            "Settings of this entry VM; the default is the file that the environment variable {} names",
            hemlock_platform::SETTINGS_VARIABLE
        ));
    let check = Arg::new("check")
        .long("check-settings")
        .action(ArgAction::SetTrue)
        .help("Check the settings and exit");
    Command::new("hemlock-node")
        .about(
            "Relays requests to endpoints, and forms the replicas that serve them, on a hosted platform",
        )
        .version(env!("CARGO_PKG_VERSION"))
        .args([settings, check])
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let from_argument = matches.get_one::<PathBuf>("settings").cloned();
    let from_variable = || std::env::var_os(hemlock_platform::SETTINGS_VARIABLE).map(PathBuf::from);
    let Some(path) = from_argument.or_else(from_variable) else {
        return report_fatal("no settings file given");
    };
    let settings = match NodeSettings::open(&path) {
        Ok(settings) => settings,
        Err(e) => return report_fatal(e.to_string()),
    };
    if matches.get_flag("check") {
        println!("settings ok");
        return ExitCode::SUCCESS;
    }
    match hemlock_node::run(path, settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => report_fatal(e),
    }
}
