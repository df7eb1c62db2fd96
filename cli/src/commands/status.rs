//! `hickorylink status`: how an instance and the council are.

use clap::Args as ClapArgs;
use hyper::Method;

use crate::client::{Call, Connection, Outcome, call, read, show};

/// Nothing but the connection.
#[derive(ClapArgs, Debug)]
pub struct Args {}

/// Runs the command.
pub fn run(connection: &Connection, _args: &Args) -> Outcome {
    call(connection, Call::new(Method::GET, "/v1/status"))
        .and_then(|answer| read(&answer))
        .map_or_else(|problem| problem, |value| Outcome::done(show(connection, &value)))
}
