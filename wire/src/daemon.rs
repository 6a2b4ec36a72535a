//! What the daemons' `main` functions share: the command line, settings and signals.

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

/// What a daemon has read before it starts.
#[derive(Debug)]
pub struct StartupInputs {
    /// The settings.
    pub settings: Settings,
    /// The state charts.
    pub charts: Charts,
    /// The keys that authenticate gossip.
    pub keys: KeyRing,
}

/// Runs a daemon: reads its command line and settings, then calls `body`.
pub fn run(
    name: &'static str,
    about: &'static str,
    body: impl FnOnce(StartupInputs) -> Result<(), String>,
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
    match body(inputs) {
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

/// Sets the log's level anew from the settings at `path` on each SIGHUP.
fn reload_log_level_on_sighup(path: PathBuf) {
    let Ok(mut signals) = Signals::new([SIGHUP]) else {
        return;
    };
    let body = move || {
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
        .spawn(body);
}

/// Reads the settings, the charts and the keys that they name.
pub fn load(path: PathBuf) -> Result<StartupInputs, String> {
    let settings = Settings::open(&path).map_err(|e| settings_line(e.current_context()))?;
    let charts = match &settings.charts {
        None => Charts::built_in(),
        Some(dir) => Charts::open(base(&path).join(dir)),
    };
    let charts = charts.map_err(|e| chart_line(e.current_context()))?;
    let keys = keys(&path, &settings)?;
    Ok(StartupInputs {
        settings,
        charts,
        keys,
    })
}

/// Prints `cause` in one line and returns the exit code for bad input.
pub fn report_fatal(cause: impl AsRef<str>) -> ExitCode {
    eprintln!("error: {}", cause.as_ref().replace('\n', " "));
    ExitCode::from(EXIT_BAD_INPUT)
}

/// Waits for SIGTERM or SIGINT.
pub fn wait_for_stop() {
    if let Ok(mut signals) = Signals::new([SIGTERM, SIGINT]) {
        signals.forever().next();
    }
}

fn keys(path: &std::path::Path, settings: &Settings) -> Result<KeyRing, String> {
    let base = base(path);
    let read = |key: &hemlock_lib::settings::KeySettings| {
        let file = base.join(&key.file);
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

/// Returns the directory from which paths in the settings are read.
fn base(settings: &std::path::Path) -> &std::path::Path {
    settings.parent().unwrap_or(std::path::Path::new("."))
}

fn settings_line(error: &SettingsError) -> String {
    error.to_string()
}

fn chart_line(error: &ChartError) -> String {
    error.to_string()
}
