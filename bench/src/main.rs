//! `hemlock-bench`: runs experiments, prints their figures and checks these against bounds.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command};
use hemlock_bench::bounds::Bounds;
use hemlock_bench::experiments::{self, Experiment};
use hemlock_bench::figure::{self, Figure, Options};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let Some((name, matches)) = matches.subcommand() else {
        return ExitCode::from(2);
    };
    let options = options(matches);
    let figures = match name {
        "all" => experiments::ALL
            .iter()
            .flat_map(|e| run(e, &options))
            .collect(),
        name => experiments::find(name).map_or_else(Vec::new, |e| run(e, &options)),
    };
    if matches
        .get_one::<String>("output")
        .is_some_and(|o| o == "json")
    {
        println!("{}", figure::json(&figures));
    } else {
        print!("{}", figure::table(&figures));
    }
    let violations = Bounds::built_in().violations(&figures);
    for line in &violations {
        eprintln!("bound violated: {line}");
    }
    if violations.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn run(experiment: &Experiment, options: &Options) -> Vec<Figure> {
    eprintln!("running {}", experiment.name);
    (experiment.run)(options)
}

fn command() -> Command {
    let experiment = |e: &Experiment| arguments(Command::new(e.name).about(e.about));
    Command::new("hemlock-bench")
        .about("Runs experiments and checks their figures against bounds")
        .subcommand_required(true)
        .subcommand(arguments(Command::new("all").about("Run every experiment")))
        .subcommands(experiments::ALL.iter().map(experiment))
}

fn arguments(command: Command) -> Command {
    let seed = Arg::new("seed")
        .long("seed")
        .value_parser(clap::value_parser!(u64));
    let repeats = Arg::new("repeats")
        .long("repeats")
        .value_parser(clap::value_parser!(u32));
    let policy = Arg::new("policy").long("policy").action(ArgAction::Append);
    let output = Arg::new("output")
        .long("output")
        .value_parser(["table", "json"]);
    command.args([
        seed.default_value("1").help("Seed of the random choices"),
        repeats
            .default_value("1")
            .help("Number of runs, each with the next seed"),
        policy.help("Run only this policy; may be given more than once"),
        output.default_value("table").help("Output format"),
    ])
}

fn options(matches: &ArgMatches) -> Options {
    Options {
        seed: matches.get_one("seed").copied().unwrap_or(1),
        repeats: matches.get_one("repeats").copied().unwrap_or(1),
        policies: matches
            .get_many("policy")
            .unwrap_or_default()
            .cloned()
            .collect(),
    }
}
