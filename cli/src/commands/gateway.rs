//! `hickorylink gateway`: runs a gateway of a deployment.

use hickorylink_platform::ingress::Ingress;
use hickorylink_runtime::gateway;

use crate::{client::Outcome, commands::role::Args, exit::Exit};

/// Runs the command until the gateway is told to stop.
pub fn run(args: &Args) -> Outcome {
    let settings = match args.read_settings() {
        Ok(settings) => settings,
        Err(outcome) => return outcome,
    };
    if args.check_only() {
        return Outcome::success("no findings");
    }
    let front = Ingress { listen: settings.listen, readiness: settings.readiness };
    match gateway::run(&settings, || args.read_settings().ok(), front) {
        Ok(()) => Outcome::success(String::new()),
        Err(error) => Outcome::failure(Exit::Failed, error.to_string()),
    }
}
