//! The `hemlock` command for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    hemlock_cli::main()
}
