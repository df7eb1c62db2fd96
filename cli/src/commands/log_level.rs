//! `hickorylink log-level`: changes the log level of an instance without a restart.

use clap::{Args as ClapArgs, builder::PossibleValuesParser};
use hickorylink_lib::settings::LogLevel;
use hyper::Method;

use crate::client::{Call, Connection, Outcome, call, format_value, parse_json};

/// The arguments of `log-level`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    /// The lowest level to log, until the next change or restart
    #[arg(value_parser = PossibleValuesParser::new(LogLevel::NAMES))]
    level: String,
}

/// Runs the command.
pub fn run(connection: &Connection, args: Args) -> Outcome {
    let mut put = Call::new(Method::PUT, "/v1/log-level");
    put.body = args.level.into();
    call(connection, put)
        .and_then(|response| parse_json(&response))
        .map_or_else(|failure| failure, |value| Outcome::success(format_value(connection, &value)))
}
