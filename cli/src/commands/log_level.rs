//! `hickorylink log-level`: change what an instance logs, without a restart.

use clap::{Args as ClapArgs, builder::PossibleValuesParser};
use hickorylink_lib::settings::LogLevel;
use hyper::Method;

use crate::client::{Call, Connection, Outcome, call, format_value, parse_json};

/// The level.
#[derive(ClapArgs, Debug)]
pub struct Args {
    /// The least severe records to write, until the next change or the next start
    #[arg(value_parser = PossibleValuesParser::new(LogLevel::NAMES))]
    level: String,
}

/// Runs the command.
pub fn run(connection: &Connection, args: Args) -> Outcome {
    let mut put = Call::new(Method::PUT, "/v1/log-level");
    put.body = args.level.into();
    call(connection, put)
        .and_then(|response| parse_json(&response))
        .map_or_else(|problem| problem, |value| Outcome::success(format_value(connection, &value)))
}
