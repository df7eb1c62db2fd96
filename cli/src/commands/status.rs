//! `hickorylink status`: shows the status of an instance and of its consensus group.

use clap::Args as ClapArgs;
use hyper::Method;

use crate::client::{Call, Connection, Outcome, call, format_value, parse_json};

/// The arguments of `status`; it has only those of the connection.
#[derive(ClapArgs, Debug)]
pub struct Args {}

/// Runs the command.
pub fn run(connection: &Connection, _args: &Args) -> Outcome {
    call(connection, Call::new(Method::GET, "/v1/status"))
        .and_then(|response| parse_json(&response))
        .map_or_else(|failure| failure, |value| Outcome::success(format_value(connection, &value)))
}
