//! The `hickorylink` binary.

use std::{
    io::{self, ErrorKind, Write},
    process::ExitCode,
};

use clap::Parser;
use hickorylink_cli::{commands::Cli, exit::Exit};

fn main() -> ExitCode {
    let outcome = Cli::parse().run();
    let printed = print(io::stdout(), &outcome.output);
    let reported = print(io::stderr(), &outcome.errors);
    match printed.and(reported) {
        Ok(()) => ExitCode::from(outcome.exit.code()),
        Err(error) => {
            let _ = writeln!(io::stderr(), "can't write the output: {error}");
            ExitCode::from(Exit::Failed.code())
        }
    }
}

/// Prints a text as a line, unless it is empty. A reader such as `head` may close its end early, which is
/// no failure of the command.
fn print(mut to: impl Write, text: &str) -> io::Result<()> {
    if text.is_empty() {
        return Ok(());
    }
    match writeln!(to, "{text}").and_then(|()| to.flush()) {
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(()),
        result => result,
    }
}
