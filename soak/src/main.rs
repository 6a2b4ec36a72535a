//! `hemlock-soak`: runs the daemon under faults and prints violations of its guarantees.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Arg, ArgAction, Command, value_parser};
use hemlock_soak::{FaultSet, Soak};

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
            number("seeds", "1", "Number of seeds to run"),
            number("first", "1", "First seed"),
            number(
                "minutes",
                "0",
                "Continue with further seeds for this many minutes",
            ),
            number("processes", "3", "Number of entry VMs"),
            number("callers", "6", "Number of callers"),
            number(
                "seconds",
                "10",
                "Length of the fault period of each run, in seconds",
            ),
            Arg::new("faults")
                .long("faults")
                .value_name("SET")
                .default_value("cuts")
                .value_parser(["basic", "all", "cuts", "limits", "stops", "pauses", "warm-ups", "evacuations"])
                .help(
                    "Kinds of faults: basic, all, cuts and limits each with those of the one before it; \
                     stops are stops of all entry VMs one after the other, again and again; \
                     pauses are pauses of sound endpoints beside versions and signals; \
                     warm-ups are those of basic beside endpoints that are cold; \
                     evacuations are those of zones beside basic faults",
                ),
            Arg::new("regressions")
                .long("regressions")
                .action(ArgAction::SetTrue)
                .help("Repeat the runs of soak/seeds.txt instead"),
            Arg::new("keep")
                .long("keep")
                .action(ArgAction::SetTrue)
                .help("Keep the logs of runs that pass, too"),
            Arg::new("program")
                .long("program")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Path of hemlock-node; by default the one in the directory of this program"),
            Arg::new("older")
                .long("older")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Path of an older hemlock-node that every second entry VM runs until it is restarted"),
        ])
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let sibling_program = || {
        std::env::current_exe()
            .ok()
            .map(|p| p.with_file_name("hemlock-node"))
    };
    let Some(program) = matches
        .get_one::<PathBuf>("program")
        .cloned()
        .or_else(sibling_program)
    else {
        eprintln!("can't determine the path of hemlock-node; set it with --program");
        return ExitCode::from(2);
    };
    let older = matches.get_one::<PathBuf>("older").cloned();
    let programs = Programs {
        program,
        older,
        keep: matches.get_flag("keep"),
    };
    let requested = Case {
        seed: number("first"),
        nodes: number("processes"),
        callers: number("callers"),
        seconds: number("seconds"),
        fault_set: match matches.get_one::<String>("faults").map(String::as_str) {
            Some("basic") => FaultSet::Basic,
            Some("all") => FaultSet::All,
            Some("limits") => FaultSet::Limits,
            Some("stops") => FaultSet::Stops,
            Some("pauses") => FaultSet::Pauses,
            Some("warm-ups") => FaultSet::WarmUps,
            Some("evacuations") => FaultSet::Evacuations,
            _ => FaultSet::Cuts,
        },
    };
    let mut failed = Vec::new();
    if matches.get_flag("regressions") {
        for case in SEEDS.lines().filter_map(Case::parse) {
            match run_case(&programs, &case) {
                Ok(true) => {}
                Ok(false) => failed.push(case.seed),
                Err(e) => return report_error(&e),
            }
        }
    } else {
        let end = Instant::now() + Duration::from_secs(number("minutes") * 60);
        for seed in requested.seed.. {
            if seed >= requested.seed + number("seeds") && Instant::now() >= end {
                break;
            }
            match run_case(&programs, &Case { seed, ..requested }) {
                Ok(true) => {}
                Ok(false) => failed.push(seed),
                Err(e) => return report_error(&e),
            }
        }
    }
    if failed.is_empty() {
        return ExitCode::SUCCESS;
    }
    println!("failed seeds: {failed:?}");
    ExitCode::FAILURE
}

fn report_error(cause: &std::io::Error) -> ExitCode {
    eprintln!("can't start a run: {cause}");
    ExitCode::from(2)
}

/// Runs that failed at some time, which are repeated as regression tests.
const SEEDS: &str = include_str!("../seeds.txt");

/// The programs that entry VMs run.
#[derive(Debug)]
struct Programs {
    program: PathBuf,
    /// Program that every second entry VM runs until it is restarted.
    older: Option<PathBuf>,
    /// Whether the logs of runs that pass are kept, too.
    keep: bool,
}

/// Parameters of a run that are set on the command line or in `seeds.txt`.
#[derive(Debug, Clone, Copy)]
struct Case {
    seed: u64,
    nodes: u64,
    callers: u64,
    seconds: u64,
    fault_set: FaultSet,
}

impl Case {
    /// Parses a line of `seeds.txt`, with an optional `all`, `cuts`, `limits`, `pauses`, `warm-ups` or
    /// `evacuations` before the cause for the kinds of faults. Returns `None` for a comment.
    fn parse(line: &str) -> Option<Self> {
        let mut numbers = line.split(' ').map_while(|n| n.parse().ok());
        Some(Self {
            seed: numbers.next()?,
            nodes: numbers.next()?,
            callers: numbers.next()?,
            seconds: numbers.next()?,
            fault_set: match line.split(' ').nth(4) {
                Some("all") => FaultSet::All,
                Some("cuts") => FaultSet::Cuts,
                Some("limits") => FaultSet::Limits,
                Some("pauses") => FaultSet::Pauses,
                Some("warm-ups") => FaultSet::WarmUps,
                Some("evacuations") => FaultSet::Evacuations,
                _ => FaultSet::Basic,
            },
        })
    }
}

/// Runs one case, prints its outcome and returns whether there was no violation. The logs of a
/// failure are kept.
fn run_case(programs: &Programs, case: &Case) -> std::io::Result<bool> {
    let seed = case.seed;
    let dir = tempfile::Builder::new().prefix("hemlock-soak-").tempdir()?;
    let soak = Soak {
        program: programs.program.clone(),
        older: programs.older.clone(),
        nodes: case.nodes.max(1) as usize,
        callers: case.callers as usize,
        fault_period: Duration::from_secs(case.seconds),
        seed,
        fault_set: case.fault_set,
        dir: dir.path().to_owned(),
    };
    let outcome = soak.run()?;
    let (served, requests, faults) = (outcome.served, outcome.requests, &outcome.faults);
    let passed = outcome.broken.is_empty();
    if passed {
        if programs.keep {
            println!("seed {seed}: logs in {}", dir.keep().display());
        }
        println!(
            "seed {seed}: {served} of {requests} served, {} faults, nothing broken",
            faults.len()
        );
    } else {
        println!("seed {seed}: BROKEN, logs in {}", dir.keep().display());
        let shown = 20;
        let broken = outcome.broken.iter();
        broken.take(shown).for_each(|b| println!("  {b}"));
        if let Some(more @ 1..) = outcome.broken.len().checked_sub(shown) {
            println!("  and {more} more");
        }
        faults.iter().for_each(|f| println!("  fault: {f}"));
    }
    if matches!(case.fault_set, FaultSet::Pauses | FaultSet::Evacuations) {
        outcome.counts.iter().for_each(|c| println!("  {c}"));
    }
    Ok(passed)
}
