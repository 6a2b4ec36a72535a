//! Stand-ins for the cases of the review, one mode for each script.

mod client;
mod drill;
mod engine;
mod memory;
mod node;
mod refused;
mod worker;

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let mode = args.next().unwrap_or_default();
    let record = args.next().unwrap_or_else(|| "record.txt".to_owned());
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let code = match mode.as_str() {
        "memory" => memory::run(&record, trouble),
        "drill" => drill::run(&record, trouble, std::env::var("KILL").map_or(true, |v| v != "0"), std::env::var("DRILL").map_or(true, |v| v != "0")),
        "refused" => refused::run(&record, trouble),
        _ => 2,
    };
    ExitCode::from(code)
}
