//! `hickorylink completions`: prints shell completions.

use clap::{Args as ClapArgs, CommandFactory};
use clap_complete::{Shell, generate};

use crate::{client::Outcome, commands::Cli};

/// The arguments of `completions`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    /// The shell to print completions for
    shell: Shell,
}

/// Runs the command.
pub fn run(args: &Args) -> Outcome {
    let mut text = Vec::new();
    generate(args.shell, &mut Cli::command(), "hickorylink", &mut text);
    Outcome::success(String::from_utf8_lossy(&text))
}
