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
    let name = args.settings.display().to_string();
    let text = match std::fs::read_to_string(&args.settings) {
        Ok(text) => text,
        Err(error) => return Outcome::failure(Exit::Failed, format!("{name}: {error}")),
    };
    let settings = match Settings::parse(&name, &text) {
        Ok(settings) => settings,
        Err(findings) => return Outcome::failure(Exit::Findings, findings.to_string()),
    };
    if args.check {
        return Outcome::success("no findings");
    }
    match daemon::run(settings) {
        Ok(()) => Outcome::success(String::new()),
        Err(error) => Outcome::failure(Exit::Failed, error.to_string()),
    }
}
