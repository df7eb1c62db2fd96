//! `hickorylink submit`: submits a batch task.

use std::path::PathBuf;

use clap::Args as ClapArgs;
use hyper::Method;

use crate::{
    client::{Call, Connection, Outcome, call, format_value, parse_json},
    exit::Exit,
};

/// The arguments of `submit`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    /// A file with the task in JSON, in the format of POST /v1/tasks
    file: PathBuf,
}

/// Runs the command.
pub fn run(connection: &Connection, args: &Args) -> Outcome {
    let text = match std::fs::read(&args.file) {
        Ok(text) => text,
        Err(error) => {
            let message = format!("{}: {error}", args.file.display());
            return Outcome::failure(Exit::Failed, message);
        }
    };
    let mut post = Call::new(Method::POST, "/v1/tasks");
    post.body = text.into();
    call(connection, post)
        .and_then(|response| parse_json(&response))
        .map_or_else(|failure| failure, |value| Outcome::success(format_value(connection, &value)))
}
