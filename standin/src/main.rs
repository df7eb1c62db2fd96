//! Stand-ins for the platform's workers and targets, and for callers. Never ships.

use std::{path::PathBuf, process::ExitCode};

use clap::{Parser, Subcommand};
use hickorylink_standin::demo;

/// Stand-ins for what the system works with.
#[derive(Debug, Parser)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Start instances and workers, apply lists, send requests and tasks, print what came of them
    Demo {
        /// A user's lists
        #[arg(long, default_value = "samples/kowhai")]
        samples: PathBuf,
    },
}

fn main() -> ExitCode {
    let Command::Demo { samples } = Args::parse().command;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let shown = runtime.and_then(|runtime| {
        runtime.block_on(async { demo::run(&demo::program_beside()?, &samples).await })
    });
    match shown {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("something did not come out as promised; see above");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("the demonstration ended early: {error}");
            ExitCode::FAILURE
        }
    }
}
