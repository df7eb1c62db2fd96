//! `hickorylink completions`: completions for a shell.

use clap::{Args as ClapArgs, CommandFactory};
use clap_complete::{Shell, generate};

use crate::{client::Outcome, commands::Cli};

/// The shell.
#[derive(ClapArgs, Debug)]
pub struct Args {
    /// The shell
    shell: Shell,
}

/// Runs the command.
pub fn run(args: &Args) -> Outcome {
    let mut text = Vec::new();
    generate(args.shell, &mut Cli::command(), "hickorylink", &mut text);
    Outcome::success(String::from_utf8_lossy(&text))
}
