//! `hickorylink config`: checks the configuration of a deployment.

use std::path::{Path, PathBuf};

use clap::{Args as ClapArgs, Subcommand};
use hickorylink_lib::jobs::{config::Config, config_check::Severity};
use hickorylink_platform::{
    control::CONFIG_PATH,
    wire::config_check::{PlacedFinding, check_text, parse_text},
};
use hyper::Method;
use serde_json::json;

use crate::{
    client::{Call, Connection, Outcome, call, error_outcome},
    exit::Exit,
};

/// The scheme that distinguishes the address of a controller from the name of a file.
const SCHEME: &str = "http://";

/// How many redirects are followed. The first is to the leader; the second serves a leader that changes
/// meanwhile.
const MAX_REDIRECTS: usize = 2;

const TEMPORARY_REDIRECT: u16 = 307;

/// The arguments of `config`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Report errors, warnings and differences without sending the configuration
    Check {
        /// The file to check
        #[arg(value_hint = clap::ValueHint::FilePath)]
        file: PathBuf,
        /// The configuration to compare with: a file, or a controller as http://ADDRESS
        #[arg(long, value_name = "FILE|ADDRESS", value_hint = clap::ValueHint::FilePath)]
        against: Option<String>,
    },
}

/// Runs the command.
pub fn run(connection: &Connection, args: &Args) -> Outcome {
    let done = match &args.action {
        Action::Check { file, against } => check(connection, file, against.as_deref()),
    };
    done.unwrap_or_else(|failure| failure)
}

fn check(connection: &Connection, file: &Path, against: Option<&str>) -> Result<Outcome, Outcome> {
    let body = read(file)?;
    let in_force = against.map(|source| read_in_force(connection, source)).transpose()?;
    let findings = check_text(&file.display().to_string(), &body, in_force.as_ref());
    let exit = match findings.iter().map(|finding| finding.severity).max() {
        None => Exit::Done,
        Some(Severity::Difference) => Exit::ConfigDifferences,
        Some(Severity::Warning) => Exit::ConfigWarnings,
        Some(Severity::Error) => Exit::ConfigErrors,
    };
    let output = if connection.json {
        json!({ "findings": findings.iter().map(to_json).collect::<Vec<_>>() }).to_string()
    } else if findings.is_empty() {
        "no findings".to_owned()
    } else {
        findings.iter().map(to_line).collect::<Vec<_>>().join("\n")
    };
    Ok(Outcome { exit, output, errors: String::new() })
}

fn to_line(finding: &PlacedFinding) -> String {
    format!("{}: {}: {}", finding.place, finding.severity, finding.message)
}

fn to_json(finding: &PlacedFinding) -> serde_json::Value {
    json!({
        "severity": finding.severity.to_string(),
        "file": finding.place.file,
        "line": finding.place.line,
        "column": finding.place.column,
        "path": finding.path,
        "message": finding.message,
    })
}

fn read(file: &Path) -> Result<Vec<u8>, Outcome> {
    std::fs::read(file)
        .map_err(|error| Outcome::failure(Exit::Failed, format!("{}: {error}", file.display())))
}

/// Reads the configuration in force from a file or a controller.
fn read_in_force(connection: &Connection, source: &str) -> Result<Config, Outcome> {
    let body = match source.strip_prefix(SCHEME) {
        Some(address) => fetch(connection, address.trim_end_matches('/'))?,
        None => read(Path::new(source))?,
    };
    parse_text(source, &body).map_err(|finding| Outcome::failure(Exit::Failed, to_line(&finding)))
}

fn fetch(connection: &Connection, address: &str) -> Result<Vec<u8>, Outcome> {
    // Controllers ask for no credential, so none is sent.
    let mut at = Connection { address: address.to_owned(), credential: None, ..connection.clone() };
    let get = || Call::new(Method::GET, CONFIG_PATH);
    let mut response = call(&at, get())?;
    for _ in 0..MAX_REDIRECTS {
        if response.status != TEMPORARY_REDIRECT {
            break;
        }
        let location = response.location.as_deref().and_then(|to| to.strip_prefix(SCHEME));
        let Some(leader) = location.and_then(|to| to.split('/').next()) else { break };
        leader.clone_into(&mut at.address);
        response = call(&at, get())?;
    }
    match response.status {
        200 => Ok(response.body.into()),
        503 => Err(Outcome::failure(
            Exit::NotRun,
            format!("{}: there is no leader, or no configuration is in force yet", at.address),
        )),
        TEMPORARY_REDIRECT => Err(Outcome::failure(
            Exit::NotRun,
            format!("{}: the leader changes; the redirect isn't followed further", at.address),
        )),
        _ => Err(error_outcome(&response)),
    }
}
