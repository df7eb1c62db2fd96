//! `hickorylink burn`: shows the burn rates of the error budgets.

use std::path::{Path, PathBuf};

use clap::Args as ClapArgs;
use hickorylink_lib::burn::Report;
use hyper::Method;
use serde_json::json;

use crate::{
    burn::{self, ReportBody},
    client::{Call, Connection, Outcome, call, error_outcome},
    exit::Exit,
};

/// The arguments of `burn`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    /// The addresses of the instances to query [default: the one of --address]
    #[arg(long, value_delimiter = ',')]
    instances: Vec<String>,

    /// Also draw the report as SVG into this file
    #[arg(long)]
    svg: Option<PathBuf>,
}

/// An instance whose report couldn't be fetched.
#[derive(Debug)]
struct FailedInstance {
    address: String,
    outcome: Outcome,
}

/// Runs the command. If some instances fail, the report of the others is printed and the exit code
/// is that of the first failure.
pub fn run(connection: &Connection, args: &Args) -> Outcome {
    let (report, failed) = fetch_all(connection, &args.instances);
    let errors: Vec<_> = failed.iter().map(FailedInstance::message).collect();
    let exit = failed.first().map_or(Exit::Done, |first| first.outcome.exit);
    if report.sources.is_empty() {
        return Outcome::failure(exit, errors.join("\n"));
    }
    if let Some(path) = &args.svg
        && let Err(failure) = write_svg(&report, path)
    {
        return failure;
    }
    let output = match connection.json {
        true => to_json(&report, &failed),
        false => burn::table(&report),
    };
    Outcome { exit, output, errors: errors.join("\n") }
}

fn fetch_all(connection: &Connection, instances: &[String]) -> (Report, Vec<FailedInstance>) {
    let mut merged = Report::default();
    let mut failed = Vec::new();
    let own = std::slice::from_ref(&connection.address);
    let addresses = if instances.is_empty() { own } else { instances };
    for address in addresses {
        let at = Connection { address: address.clone(), ..connection.clone() };
        match fetch(&at) {
            // An instance that is named twice is counted once.
            Ok(report) => drop(merged.merge(&report)),
            Err(outcome) => failed.push(FailedInstance { address: address.clone(), outcome }),
        }
    }
    (merged, failed)
}

fn fetch(connection: &Connection) -> Result<Report, Outcome> {
    let response = call(connection, Call::new(Method::GET, "/v1/burn"))?;
    if response.status >= 300 {
        return Err(error_outcome(&response));
    }
    let body: Result<ReportBody, _> = serde_json::from_slice(&response.body);
    body.map(Report::from).map_err(|error| Outcome::failure(Exit::Failed, error.to_string()))
}

fn write_svg(report: &Report, path: &Path) -> Result<(), Outcome> {
    let image =
        burn::svg(report).map_err(|error| Outcome::failure(Exit::Failed, error.to_string()))?;
    std::fs::write(path, image)
        .map_err(|error| Outcome::failure(Exit::Failed, format!("{}: {error}", path.display())))
}

fn to_json(report: &Report, failed: &[FailedInstance]) -> String {
    let failed: Vec<_> = failed
        .iter()
        .map(|failed| json!({ "address": failed.address, "error": failed.outcome.errors }))
        .collect();
    let mut value = burn::json(report);
    value["silent_instances"] = failed.into();
    value.to_string()
}

impl FailedInstance {
    fn message(&self) -> String {
        format!("no report from {}: {}", self.address, self.outcome.errors)
    }
}
