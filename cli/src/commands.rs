//! The subcommands, one per file.

use clap::{Parser, Subcommand};
use hickorylink_lib::command::ListKind;

use crate::client::{Connection, Outcome};

pub mod burn;
pub mod call;
pub mod completions;
pub mod config;
pub mod controller;
pub mod credential;
pub mod gateway;
pub mod list;
pub mod log_level;
pub mod role;
pub mod serve;
pub mod status;
pub mod submit;
pub mod task;
pub mod worker;

/// A scheduler for colocated latency-critical services and batch work.
#[derive(Debug, Parser)]
#[command(name = "hickorylink", version, after_help = EXIT_CODES)]
pub struct Cli {
    #[command(flatten)]
    connection: Connection,

    #[command(subcommand)]
    command: Command,
}

const EXIT_CODES: &str = "\
Exit codes: 0 success, 1 failure, 2 usage error, 3 findings in a file, 4 not run, 5 unknown whether \
it ran, 6 conflict, 7 denied, 8 not found, 9 errors in a configuration, 10 warnings, 11 differences";

#[derive(Debug, Subcommand)]
enum Command {
    /// Run an instance
    Serve(serve::Args),
    /// Run a deployment's controller, which stores jobs and decides where tasks run
    Controller(role::Args),
    /// Run a deployment's gateway, which forwards customers' calls to the controllers
    Gateway(role::Args),
    /// Apply, check or show the customers' plans
    Plans(list::Args),
    /// Apply, check or show the usage limits of each plan
    Usage(list::Args),
    /// Show the status of an instance and of its consensus group
    Status(status::Args),
    /// Submit a batch task
    Submit(submit::Args),
    /// Show or cancel a batch task
    Task(task::Args),
    /// Show the scheduler's view of a worker
    Worker(worker::Args),
    /// Call a service
    Call(call::Args),
    /// Check the configuration of a deployment
    Config(config::Args),
    /// Show the burn rates of the error budgets
    Burn(burn::Args),
    /// Change the log level of an instance without a restart
    LogLevel(log_level::Args),
    /// Hash a credential for use in the plans list
    Credential(credential::Args),
    /// Print shell completions
    Completions(completions::Args),
}

impl Cli {
    /// Runs the command.
    pub fn run(self) -> Outcome {
        let connection = &self.connection;
        match self.command {
            Command::Serve(args) => serve::run(&args),
            Command::Controller(args) => controller::run(&args),
            Command::Gateway(args) => gateway::run(&args),
            Command::Plans(args) => list::run(connection, ListKind::Plans, &args),
            Command::Usage(args) => list::run(connection, ListKind::Usage, &args),
            Command::Status(args) => status::run(connection, &args),
            Command::Submit(args) => submit::run(connection, &args),
            Command::Task(args) => task::run(connection, &args),
            Command::Worker(args) => worker::run(connection, &args),
            Command::Call(args) => call::run(connection, args),
            Command::Config(args) => config::run(connection, &args),
            Command::Burn(args) => burn::run(connection, &args),
            Command::LogLevel(args) => log_level::run(connection, args),
            Command::Credential(args) => credential::run(&args),
            Command::Completions(args) => completions::run(&args),
        }
    }
}
