//! `hickorylink plans` and `hickorylink usage`: applies, checks or shows a list.

use std::path::{Path, PathBuf};

use clap::{Args as ClapArgs, Subcommand};
use hickorylink_lib::{api::EDIT_ID_HEADER, command::ListKind, finding::Findings, lists};
use hyper::Method;
use serde_json::Value;

use crate::{
    client::{Call, Connection, Outcome, call, format_value, parse_json},
    exit::Exit,
};

/// The arguments of `plans` and `usage`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Apply a file, whose version must be one higher than the version in force
    Apply {
        /// The file to apply
        file: PathBuf,
        /// The number of an earlier edit whose answer was lost, to resend that edit
        #[arg(long)]
        edit: Option<String>,
    },
    /// Report all errors in a file without applying it
    Check {
        /// The file to check
        file: PathBuf,
    },
    /// Print the list in force
    Show,
}

/// Runs the command for one of the lists.
pub fn run(connection: &Connection, list: ListKind, args: &Args) -> Outcome {
    let done = match &args.action {
        Action::Apply { file, edit } => apply(connection, list, file, edit.as_deref()),
        Action::Check { file } => read_valid(list, file).map(|_| Outcome::success("no findings")),
        Action::Show => show_current(connection, list),
    };
    done.unwrap_or_else(|failure| failure)
}

fn apply(
    connection: &Connection,
    list: ListKind,
    file: &Path,
    edit: Option<&str>,
) -> Result<Outcome, Outcome> {
    let text = read_valid(list, file)?;
    let edit = edit.map_or_else(|| format!("{:032x}", rand::random::<u128>()), str::to_owned);
    let path = format!("/v1/lists/{list}");
    let mut put = Call::new(Method::PUT, &path);
    put.headers.push((EDIT_ID_HEADER, edit.clone()));
    put.body = text.into();
    let response = call(connection, put).map_err(|failure| resend_hint(failure, &edit))?;
    let value = parse_json(&response).map_err(|failure| resend_hint(failure, &edit))?;
    Ok(Outcome::success(format_value(connection, &value)))
}

fn resend_hint(mut failure: Outcome, edit: &str) -> Outcome {
    if failure.exit == Exit::Unknown {
        failure.errors.push_str(&format!("\nto resend this edit: --edit {edit}"));
    }
    failure
}

/// Reads a file and runs the checks that need no instance.
fn read_valid(list: ListKind, file: &Path) -> Result<String, Outcome> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|error| Outcome::failure(Exit::Failed, format!("{name}: {error}")))?;
    let checked: Result<(), Findings> = match list {
        ListKind::Plans => lists::parse_plans(&name, &text).map(drop),
        ListKind::Usage => lists::parse_usage(&name, &text).map(drop),
    };
    match checked {
        Ok(()) => Ok(text),
        Err(findings) => Err(Outcome::failure(Exit::Findings, findings.to_string())),
    }
}

fn show_current(connection: &Connection, list: ListKind) -> Result<Outcome, Outcome> {
    let path = format!("/v1/lists/{list}");
    let value = parse_json(&call(connection, Call::new(Method::GET, &path))?)?;
    if connection.json {
        return Ok(Outcome::success(value.to_string()));
    }
    let text = value.get("text").and_then(Value::as_str).unwrap_or_default();
    Ok(Outcome::success(text))
}
