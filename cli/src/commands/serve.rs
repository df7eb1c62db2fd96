//! `hickorylink serve`: runs an instance.

use std::path::PathBuf;

use clap::Args as ClapArgs;
use hickorylink_lib::settings::Settings;

use crate::{client::Outcome, daemon, exit::Exit};

/// The arguments of `serve`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    /// The settings file, in JSON with comments
    #[arg(long)]
    settings: PathBuf,

    /// Report all errors in the settings and exit
    #[arg(long)]
    check: bool,
}

/// Runs the command until the instance is told to stop.
pub fn run(args: &Args) -> Outcome {
    let settings = match read_settings(args) {
        Ok(settings) => settings,
        Err(outcome) => return outcome,
    };
    if args.check {
        return Outcome::success("no findings");
    }
    match daemon::run(settings, || read_settings(args).ok()) {
        Ok(()) => Outcome::success(String::new()),
        Err(error) => Outcome::failure(Exit::Failed, error.to_string()),
    }
}

fn read_settings(args: &Args) -> Result<Settings, Outcome> {
    let name = args.settings.display().to_string();
    let text = std::fs::read_to_string(&args.settings)
        .map_err(|error| Outcome::failure(Exit::Failed, format!("{name}: {error}")))?;
    Settings::parse(&name, &text)
        .map_err(|findings| Outcome::failure(Exit::Findings, findings.to_string()))
}
