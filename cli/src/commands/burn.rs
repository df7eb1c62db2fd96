//! `hickorylink burn`: how fast error budgets are used up.

use std::path::{Path, PathBuf};

use clap::Args as ClapArgs;
use hickorylink_lib::burn::Report;
use hyper::Method;
use serde_json::json;

use crate::{
    burn::{self, Counts},
    client::{Call, Connection, Outcome, call, problem},
    exit::Exit,
};

/// Whom to ask, and what to make of it.
#[derive(ClapArgs, Debug)]
pub struct Args {
    /// The addresses of the instances to ask; the one of --address by default
    #[arg(long, value_delimiter = ',')]
    instances: Vec<String>,

    /// Draw the report into this file
    #[arg(long)]
    svg: Option<PathBuf>,
}

/// An instance that gave no report.
#[derive(Debug)]
struct Silent {
    address: String,
    problem: Outcome,
}

/// Runs the command. A report that lacks an instance is printed, and the command ends as the
/// first call that failed.
pub fn run(connection: &Connection, args: &Args) -> Outcome {
    let (report, silent) = ask_all(connection, &args.instances);
    let errors: Vec<_> = silent.iter().map(Silent::line).collect();
    let exit = silent.first().map_or(Exit::Done, |first| first.problem.exit);
    if report.sources.is_empty() {
        return Outcome::problem(exit, errors.join("\n"));
    }
    if let Some(path) = &args.svg
        && let Err(problem) = draw(&report, path)
    {
        return problem;
    }
    let output = match connection.json {
        true => in_json(&report, &silent),
        false => burn::table(&report),
    };
    Outcome { exit, output, errors: errors.join("\n") }
}

fn ask_all(connection: &Connection, instances: &[String]) -> (Report, Vec<Silent>) {
    let mut merged = Report::default();
    let mut silent = Vec::new();
    let own = std::slice::from_ref(&connection.address);
    let addresses = if instances.is_empty() { own } else { instances };
    for address in addresses {
        let at = Connection { address: address.clone(), ..connection.clone() };
        match ask(&at) {
            // An instance that is named twice is counted once.
            Ok(report) => drop(merged.merge(&report)),
            Err(problem) => silent.push(Silent { address: address.clone(), problem }),
        }
    }
    (merged, silent)
}

fn ask(connection: &Connection) -> Result<Report, Outcome> {
    let answer = call(connection, Call::new(Method::GET, "/v1/burn"))?;
    if answer.status >= 300 {
        return Err(problem(&answer));
    }
    let counts: Result<Counts, _> = serde_json::from_slice(&answer.body);
    counts.map(Report::from).map_err(|error| Outcome::problem(Exit::Failed, error.to_string()))
}

fn draw(report: &Report, path: &Path) -> Result<(), Outcome> {
    let picture =
        burn::svg(report).map_err(|error| Outcome::problem(Exit::Failed, error.to_string()))?;
    std::fs::write(path, picture)
        .map_err(|error| Outcome::problem(Exit::Failed, format!("{}: {error}", path.display())))
}

fn in_json(report: &Report, silent: &[Silent]) -> String {
    let silent: Vec<_> = silent
        .iter()
        .map(|silent| json!({ "address": silent.address, "error": silent.problem.errors }))
        .collect();
    let mut value = burn::json(report);
    value["silent_instances"] = silent.into();
    value.to_string()
}

impl Silent {
    fn line(&self) -> String {
        format!("no report from {}: {}", self.address, self.problem.errors)
    }
}
