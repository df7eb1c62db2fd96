//! The `hickorylink` binary.

use std::process::ExitCode;

use clap::Parser;
use hickorylink_cli::commands::Cli;

fn main() -> ExitCode {
    let outcome = Cli::parse().run();
    if !outcome.output.is_empty() {
        println!("{}", outcome.output);
    }
    if !outcome.errors.is_empty() {
        eprintln!("{}", outcome.errors);
    }
    ExitCode::from(outcome.exit.code())
}
