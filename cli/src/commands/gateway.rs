//! `hickorylink gateway`: run a gateway of a deployment.

use hickorylink_platform::ingress::Ingress;
use hickorylink_runtime::gateway;

use crate::{client::Outcome, commands::role::Args, exit::Exit};

/// Runs the command until the gateway is told to leave.
pub fn run(args: &Args) -> Outcome {
    let settings = match args.read() {
        Ok(settings) => settings,
        Err(outcome) => return outcome,
    };
    if args.checks() {
        return Outcome::done("no findings");
    }
    let front = Ingress { listen: settings.listen, readiness: settings.readiness };
    match gateway::run(&settings, || args.read().ok(), front) {
        Ok(()) => Outcome::done(String::new()),
        Err(error) => Outcome::problem(Exit::Failed, error.to_string()),
    }
}
