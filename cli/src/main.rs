//! `hemlock`: the operators' command.

use std::process::ExitCode;

fn main() -> ExitCode {
    hemlock_cli::main()
}
