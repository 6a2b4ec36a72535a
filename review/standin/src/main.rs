//! Stand-ins for the cases of the review, one mode for each script.

mod client;
mod drill;
mod engine;
mod memory;
mod node;
mod refused;
mod worker;

use std::process::ExitCode;

/// Returns whether a disruption is played: the variable of that name is not 0.
fn is_on(name: &str) -> bool {
    std::env::var(name).map_or(true, |v| v != "0")
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let mode = args.next().unwrap_or_default();
    let record = args.next().unwrap_or_else(|| "record.txt".to_owned());
    let trouble = is_on("TROUBLE");
    let code = match mode.as_str() {
        "drill" => drill::run(&record, trouble && is_on("KILL"), trouble && is_on("DRILL")),
        "memory" => memory::run(&record, trouble),
        "refused" => refused::run(&record, trouble),
        _ => 2,
    };
    ExitCode::from(code)
}
