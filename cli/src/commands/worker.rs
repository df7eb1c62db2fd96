//! `hickorylink worker`: a worker as its scheduler sees it.

use clap::{Args as ClapArgs, Subcommand};
use hyper::Method;

use crate::client::{Call, Connection, Outcome, call, format_value, parse_json};

/// What to do.
#[derive(ClapArgs, Debug)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Show what runs on a worker, and why; ask the holder of its data centre's epoch
    Show {
        /// The worker's name
        worker: String,
    },
}

/// Runs the command.
pub fn run(connection: &Connection, args: &Args) -> Outcome {
    let Action::Show { worker } = &args.action;
    let path = format!("/v1/workers/{worker}");
    call(connection, Call::new(Method::GET, &path))
        .and_then(|response| parse_json(&response))
        .map_or_else(|problem| problem, |value| Outcome::success(format_value(connection, &value)))
}
