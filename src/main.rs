//! The `limpetloom` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    limpetloom::cli::main()
}
