//! Startup that the daemons' `main` functions share: command line, settings and signals.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command};
use hemlock_lib::chart::{ChartError, Charts};
use hemlock_lib::message_auth::{Key, KeyRing};
use hemlock_lib::settings::{Settings, SettingsError};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::logger;

/// Exit code of a process whose settings, charts or addresses can't be used.
pub const EXIT_BAD_INPUT: u8 = 2;

/// Everything that a daemon reads before it starts.
#[derive(Debug)]
pub struct StartupInputs {
    /// Settings of this entry VM.
    pub settings: Settings,
    /// State charts, from the directory that the settings name or else the built-in ones.
    pub charts: Charts,
    /// Keys that authenticate gossip and messages about slices of client account limits.
    pub keys: KeyRing,
}

/// Runs a daemon: parses the command line, reads the settings, starts the logger, then calls
/// `daemon_main`.
///
/// Returns [`EXIT_BAD_INPUT`] if the inputs can't be used or `daemon_main` fails, after printing
/// the cause.
pub fn run(
    name: &'static str,
    about: &'static str,
    daemon_main: impl FnOnce(StartupInputs) -> Result<(), String>,
) -> ExitCode {
    let matches = command(name, about).get_matches();
    let path = matches
        .get_one::<PathBuf>("settings")
        .cloned()
        .unwrap_or_default();
    let inputs = match load(path.clone()) {
        Ok(inputs) => inputs,
        Err(cause) => return report_fatal(cause),
    };
    if matches.get_flag("check") {
        println!("settings ok");
        return ExitCode::SUCCESS;
    }
    if let Err(e) = logger::start(&inputs.settings.log.level) {
        return report_fatal(format!("can't start the log: {e}"));
    }
    reload_log_level_on_sighup(path);
    match daemon_main(inputs) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => report_fatal(cause),
    }
}

fn command(name: &'static str, about: &'static str) -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .value_parser(clap::value_parser!(PathBuf))
        .required(true)
        .help("Settings of this entry VM");
    let check = Arg::new("check")
        .long("check-settings")
        .action(ArgAction::SetTrue)
        .help("Check the settings and exit");
    Command::new(name)
        .about(about)
        .version(env!("CARGO_PKG_VERSION"))
        .args([settings, check])
}

/// Starts a thread that rereads the log level from the settings at `path` on each SIGHUP.
fn reload_log_level_on_sighup(path: PathBuf) {
    let Ok(mut signals) = Signals::new([SIGHUP]) else {
        return;
    };
    let watch = move || {
        for _ in signals.forever() {
            let read = Settings::open(&path).map_err(|e| e.current_context().to_string());
            let set = read.and_then(|s| {
                let level = s.log.level;
                logger::set_level(&level).map_err(|e| e.to_string())?;
                Ok(level)
            });
            match set {
                Ok(level) => log::warn!("event=log_level level_now={level}"),
                Err(e) => log::error!("event=log_level_refused cause={}", logger::quote_value(&e)),
            }
        }
    };
    let _ = std::thread::Builder::new()
        .name("log-level".to_owned())
        .spawn(watch);
}

/// Reads the settings at `path`, and the charts and keys that they name.
///
/// # Errors
///
/// The error is one line that names the file and, if there is one, the place in it.
pub fn load(path: PathBuf) -> Result<StartupInputs, String> {
    let settings = Settings::open(&path).map_err(|e| settings_error(e.current_context()))?;
    let charts = match &settings.charts {
        None => Charts::built_in(),
        Some(dir) => Charts::open(base_dir(&path).join(dir)),
    };
    let charts = charts.map_err(|e| chart_error(e.current_context()))?;
    let keys = read_keys(&path, &settings)?;
    Ok(StartupInputs {
        settings,
        charts,
        keys,
    })
}

/// Prints `cause` as one line to standard error and returns [`EXIT_BAD_INPUT`].
pub fn report_fatal(cause: impl AsRef<str>) -> ExitCode {
    eprintln!("error: {}", cause.as_ref().replace('\n', " "));
    ExitCode::from(EXIT_BAD_INPUT)
}

/// Blocks until SIGTERM or SIGINT arrives.
pub fn wait_for_stop() {
    if let Ok(mut signals) = Signals::new([SIGTERM, SIGINT]) {
        signals.forever().next();
    }
}

fn read_keys(path: &std::path::Path, settings: &Settings) -> Result<KeyRing, String> {
    let base_dir = base_dir(path);
    let read = |key: &hemlock_lib::settings::KeySettings| {
        let file = base_dir.join(&key.file);
        std::fs::read(&file)
            .map(|secret| Key { id: key.id, secret })
            .map_err(|e| format!("{}: can't read key {}: {e}", file.display(), key.id))
    };
    Ok(KeyRing::new(
        settings
            .agent
            .keys
            .iter()
            .map(read)
            .collect::<Result<_, _>>()?,
    ))
}

/// Returns the directory that relative paths in the settings start from.
fn base_dir(settings: &std::path::Path) -> &std::path::Path {
    settings.parent().unwrap_or(std::path::Path::new("."))
}

fn settings_error(error: &SettingsError) -> String {
    error.to_string()
}

fn chart_error(error: &ChartError) -> String {
    error.to_string()
}
