//! `hickorylink controller`: runs a controller of a deployment.

use hickorylink_platform::{control::ControlFrontend, wire::response::LIMITS};
use hickorylink_runtime::controller;

use crate::{client::Outcome, commands::role::Args, exit::Exit};

/// Runs the command until the controller is told to stop.
pub fn run(args: &Args) -> Outcome {
    let settings = match args.read_settings() {
        Ok(settings) => settings,
        Err(outcome) => return outcome,
    };
    if args.check_only() {
        return Outcome::success("no findings");
    }
    let front = ControlFrontend { listen: settings.listen };
    match controller::run(&settings, || args.read_settings().ok(), front, LIMITS) {
        Ok(()) => Outcome::success(String::new()),
        Err(error) => Outcome::failure(Exit::Failed, error.to_string()),
    }
}
