//! `hickorylink task`: shows or cancels a batch task.

use std::{thread::sleep, time::Duration};

use clap::{Args as ClapArgs, Subcommand};
use hyper::Method;
use serde_json::Value;

use crate::client::{Call, Connection, Outcome, call, format_value, parse_json};

/// The polling interval of `--watch`.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// The arguments of `task`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Show the state of a task and the reason for it
    Show {
        /// The id of the task
        task: u64,
        /// Print each change of state until the task ends
        #[arg(long)]
        watch: bool,
    },
    /// Cancel a task; cancelling it again has no effect
    Cancel {
        /// The id of the task
        task: u64,
    },
}

/// Runs the command.
pub fn run(connection: &Connection, args: &Args) -> Outcome {
    match args.action {
        Action::Show { task, watch: false } => ask(connection, Method::GET, task),
        Action::Show { task, watch: true } => watch(connection, task),
        Action::Cancel { task } => ask(connection, Method::DELETE, task),
    }
    .map_or_else(|failure| failure, |value| Outcome::success(format_value(connection, &value)))
}

fn ask(connection: &Connection, method: Method, task: u64) -> Result<Value, Outcome> {
    parse_json(&call(connection, Call::new(method, &format!("/v1/tasks/{task}")))?)
}

fn watch(connection: &Connection, task: u64) -> Result<Value, Outcome> {
    let mut last = Value::Null;
    loop {
        let value = ask(connection, Method::GET, task)?;
        let state = value.pointer("/task/state").cloned().unwrap_or_default();
        if state.get("Ended").is_some() {
            return Ok(value);
        }
        if state != last {
            println!("{}", format_value(connection, &state));
            last = state;
        }
        sleep(WATCH_INTERVAL);
    }
}
