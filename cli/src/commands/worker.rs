//! `hickorylink worker`: shows the scheduler's view of a worker.

use clap::{Args as ClapArgs, Subcommand};
use hyper::Method;

use crate::client::{Call, Connection, Outcome, call, format_value, parse_json};

/// The arguments of `worker`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Show what runs on a worker and why; only the instance that holds the epoch of the worker's
    /// data centre knows it
    Show {
        /// The name of the worker
        worker: String,
    },
}

/// Runs the command.
pub fn run(connection: &Connection, args: &Args) -> Outcome {
    let Action::Show { worker } = &args.action;
    let path = format!("/v1/workers/{worker}");
    call(connection, Call::new(Method::GET, &path))
        .and_then(|response| parse_json(&response))
        .map_or_else(|failure| failure, |value| Outcome::success(format_value(connection, &value)))
}
