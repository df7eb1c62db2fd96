//! Command line of the demonstration and of the resource measurement.

use std::{path::PathBuf, process::ExitCode};

use clap::{Parser, Subcommand};
use hickorylink_standin::{demo, measure};

/// Run the system against simulated workers and callers
#[derive(Debug, Parser)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Start instances and workers, apply lists, send requests and tasks, and check the results
    Demo {
        /// Folder with the plans and usage lists
        #[arg(long, default_value = "samples/kowhai")]
        samples: PathBuf,
        /// Folder for settings, logs and data; by default a temporary one, removed at the end
        #[arg(long)]
        folder: Option<PathBuf>,
    },
    /// Measure memory, processor time, traffic and recovery times; use a --release build
    Measure,
}

fn main() -> ExitCode {
    let command = Args::parse().command;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let result = runtime.and_then(|runtime| {
        let temporary = tempfile::tempdir()?;
        let program = demo::system_binary()?;
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
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("a check failed; see the output above");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("run aborted: {error}");
            ExitCode::FAILURE
        }
    }
}
