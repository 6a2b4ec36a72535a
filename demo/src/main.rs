//! `hemlock-demo`: both deployments of today in one process, under load and faults.

mod faults;
mod load;
mod monitor;
mod report;
mod run;

use std::process::ExitCode;

use clap::{Arg, ArgAction, Command};
use hemlock_testutils::scenario::Deployment;

/// First port of each deployment's entry VMs.
const PORTS: [u16; 2] = [18_100, 18_200];

fn main() -> ExitCode {
    let hold = Arg::new("hold")
        .long("hold")
        .action(ArgAction::SetTrue)
        .help("Keep both deployments running after the table is printed");
    let matches = Command::new("hemlock-demo")
        .about("Runs both deployments with stand-ins, load and faults")
        .arg(hold)
        .get_matches();
    let hold = matches.get_flag("hold");
    let _logger = hemlock_wire::logger::start("warn");
    let runs: Vec<_> = Deployment::ALL
        .into_iter()
        .zip(PORTS)
        .map(|(deployment, port)| std::thread::spawn(move || run::run(deployment, port, hold)))
        .collect();
    let mut reports = Vec::new();
    for run in runs {
        match run.join() {
            Ok(Ok(report)) => reports.push(report),
            Ok(Err(e)) => {
                eprintln!("error: can't run the demo: {e}");
                return ExitCode::FAILURE;
            }
            Err(_) => return ExitCode::FAILURE,
        }
    }
    print!("{}", report::table(&reports));
    if hold {
        run::hold(&reports);
    }
    if reports.iter().all(report::Report::is_sound) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
