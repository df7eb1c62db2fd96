//! Stand-ins for the platform's workers and targets, and for callers. Never ships.

use std::{path::PathBuf, process::ExitCode};

use clap::{Parser, Subcommand};
use hickorylink_standin::{demo, measure};

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
        /// Where settings, logs and data go and stay; without it they are removed at the end
        #[arg(long)]
        folder: Option<PathBuf>,
    },
    /// Measure what real processes spend; build with --release for figures that count
    Measure,
}

fn main() -> ExitCode {
    let command = Args::parse().command;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let shown = runtime.and_then(|runtime| {
        let temporary = tempfile::tempdir()?;
        let program = demo::program_beside()?;
        match &command {
            Command::Demo { samples, folder } => {
                let folder = folder.as_deref().unwrap_or(temporary.path());
                runtime.block_on(demo::run(&program, samples, folder))
            }
            Command::Measure => {
                runtime.block_on(measure::run(&program, temporary.path())).map(|()| true)
            }
        }
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
