//! `hemlock-soak`: runs the daemon under faults and says what broke.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Arg, Command, value_parser};
use hemlock_soak::Soak;

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("hemlock-soak")
        .about(
            "Runs entry VMs as processes under faults, and checks what callers and endpoints see",
        )
        .args([
            number("seeds", "1", "Seeds to run"),
            number("first", "1", "First seed"),
            number(
                "minutes",
                "0",
                "Go on with further seeds for so many minutes",
            ),
            number("processes", "3", "Entry VMs"),
            number("callers", "6", "Callers"),
            number("seconds", "10", "Seconds of faults in each run"),
            Arg::new("program")
                .long("program")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("The daemon; the one beside this program otherwise"),
        ])
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let beside = || {
        std::env::current_exe()
            .ok()
            .map(|p| p.with_file_name("hemlock-node"))
    };
    let Some(program) = matches
        .get_one::<PathBuf>("program")
        .cloned()
        .or_else(beside)
    else {
        eprintln!("the daemon's program is not known; name it with --program");
        return ExitCode::from(2);
    };
    let end = Instant::now() + Duration::from_secs(number("minutes") * 60);
    let mut failed = Vec::new();
    let mut seed = number("first");
    while seed < number("first") + number("seeds") || Instant::now() < end {
        let dir = match tempfile::Builder::new().prefix("hemlock-soak-").tempdir() {
            Ok(dir) => dir,
            Err(e) => {
                eprintln!("no directory for settings and logs: {e}");
                return ExitCode::from(2);
            }
        };
        let soak = Soak {
            program: program.clone(),
            nodes: number("processes").max(1) as usize,
            callers: number("callers") as usize,
            length: Duration::from_secs(number("seconds")),
            seed,
            dir: dir.path().to_owned(),
        };
        match soak.run() {
            Ok(outcome) if outcome.broken.is_empty() => println!(
                "seed {seed}: {} of {} served, {} faults, nothing broken",
                outcome.served,
                outcome.requests,
                outcome.faults.len()
            ),
            Ok(outcome) => {
                failed.push(seed);
                println!("seed {seed}: BROKEN, logs in {}", dir.keep().display());
                outcome
                    .broken
                    .iter()
                    .take(20)
                    .for_each(|b| println!("  {b}"));
                outcome.faults.iter().for_each(|f| println!("  fault: {f}"));
            }
            Err(e) => {
                eprintln!("seed {seed}: the run did not start: {e}");
                return ExitCode::from(2);
            }
        }
        seed += 1;
    }
    match failed.is_empty() {
        true => ExitCode::SUCCESS,
        false => {
            println!("failed seeds: {failed:?}");
            ExitCode::FAILURE
        }
    }
}
