//! `hemlock-demo`: runs both example deployments in one process, under load and faults.

mod faults;
mod load;
mod monitor;
mod report;
mod run;

use std::process::ExitCode;

use clap::{Arg, ArgAction, Command};
use hemlock_testutils::deployments::Deployment;
use hemlock_testutils::engine::EngineConfig;
use hemlock_testutils::platform::Platform;

/// Port of the stand-ins for the platform, by deployment.
const STAND_IN_PORTS: [u16; 2] = [19_000, 19_001];
/// First port of the entry VMs, by deployment.
const ENTRY_PORTS: [u16; 2] = [18_100, 18_200];

fn main() -> ExitCode {
    let hold = Arg::new("hold")
        .long("hold")
        .action(ArgAction::SetTrue)
        .help("Keep both deployments running after the report is printed");
    let stand_ins = Arg::new("stand-ins")
        .long("stand-ins")
        .action(ArgAction::SetTrue)
        .help("Run only the stand-ins for the platform that the settings under examples/ name");
    let matches = Command::new("hemlock-demo")
        .about("Runs both deployments with stand-ins, load and faults")
        .args([hold, stand_ins])
        .get_matches();
    let hold = matches.get_flag("hold");
    let _ = hemlock_wire::logger::start("warn");
    if matches.get_flag("stand-ins") {
        return run_stand_ins();
    }
    let runs: Vec<_> = Deployment::ALL
        .into_iter()
        .zip(ENTRY_PORTS)
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
        run::print_addresses_and_wait(&reports);
    }
    if reports.iter().all(report::Report::invariants_held) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn run_stand_ins() -> ExitCode {
    let mut running = Vec::new();
    for (deployment, port) in Deployment::ALL.into_iter().zip(STAND_IN_PORTS) {
        let address = format!("127.0.0.1:{port}");
        let vms = deployment.vms();
        match Platform::spawn(&address, &vms, EngineConfig::default()) {
            Ok(platform) => running.push(platform),
            Err(e) => {
                let cause = format!("can't listen on {address}: {e}");
                return hemlock_wire::daemon::report_fatal(cause);
            }
        }
        println!("{}: log, VM list and VMs at {address}", deployment.name());
    }
    hemlock_wire::daemon::wait_for_stop();
    ExitCode::SUCCESS
}
