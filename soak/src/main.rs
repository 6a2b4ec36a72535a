//! `hemlock-soak`: runs the daemon under faults and says what broke.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Arg, ArgAction, Command, value_parser};
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
            Arg::new("regressions")
                .long("regressions")
                .action(ArgAction::SetTrue)
                .help("Play the runs of soak/seeds.txt instead"),
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
    let asked = Case {
        seed: number("first"),
        nodes: number("processes"),
        callers: number("callers"),
        seconds: number("seconds"),
    };
    let mut failed = Vec::new();
    if matches.get_flag("regressions") {
        for case in SEEDS.lines().filter_map(Case::parse) {
            match play(&program, &case) {
                Ok(true) => {}
                Ok(false) => failed.push(case.seed),
                Err(e) => return refuse(&e),
            }
        }
    } else {
        let end = Instant::now() + Duration::from_secs(number("minutes") * 60);
        for seed in asked.seed.. {
            if seed >= asked.seed + number("seeds") && Instant::now() >= end {
                break;
            }
            match play(&program, &Case { seed, ..asked }) {
                Ok(true) => {}
                Ok(false) => failed.push(seed),
                Err(e) => return refuse(&e),
            }
        }
    }
    if failed.is_empty() {
        return ExitCode::SUCCESS;
    }
    println!("failed seeds: {failed:?}");
    ExitCode::FAILURE
}

fn refuse(cause: &std::io::Error) -> ExitCode {
    eprintln!("a run did not start: {cause}");
    ExitCode::from(2)
}

/// Runs that failed once.
const SEEDS: &str = include_str!("../seeds.txt");

/// One run.
#[derive(Debug, Clone, Copy)]
struct Case {
    seed: u64,
    nodes: u64,
    callers: u64,
    seconds: u64,
}

impl Case {
    /// Reads a line of the runs that failed once; none is a comment.
    fn parse(line: &str) -> Option<Self> {
        let mut numbers = line.split(' ').map_while(|n| n.parse().ok());
        Some(Self {
            seed: numbers.next()?,
            nodes: numbers.next()?,
            callers: numbers.next()?,
            seconds: numbers.next()?,
        })
    }
}

/// Runs once, prints what came of it and returns whether nothing broke; logs of a failure are kept.
fn play(program: &Path, case: &Case) -> std::io::Result<bool> {
    let seed = case.seed;
    let dir = tempfile::Builder::new().prefix("hemlock-soak-").tempdir()?;
    let soak = Soak {
        program: program.to_owned(),
        nodes: case.nodes.max(1) as usize,
        callers: case.callers as usize,
        fault_period: Duration::from_secs(case.seconds),
        seed,
        dir: dir.path().to_owned(),
    };
    let outcome = soak.run()?;
    let (served, requests, faults) = (outcome.served, outcome.requests, &outcome.faults);
    let good = outcome.broken.is_empty();
    if good {
        println!(
            "seed {seed}: {served} of {requests} served, {} faults, nothing broken",
            faults.len()
        );
    } else {
        println!("seed {seed}: BROKEN, logs in {}", dir.keep().display());
        outcome
            .broken
            .iter()
            .take(20)
            .for_each(|b| println!("  {b}"));
        faults.iter().for_each(|f| println!("  fault: {f}"));
    }
    Ok(good)
}
