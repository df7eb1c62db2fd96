//! The arguments that `controller` and `gateway` share.

use std::path::PathBuf;

use clap::Args as ClapArgs;
use hickorylink_runtime::settings::{SETTINGS_ENV, Settings};

use crate::{client::Outcome, exit::Exit};

/// The arguments of `controller` and `gateway`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    /// The settings file, in JSON with comments
    #[arg(long, env = SETTINGS_ENV)]
    settings: PathBuf,

    /// Report all errors in the settings and exit
    #[arg(long)]
    check: bool,
}

impl Args {
    /// Reads the settings file.
    ///
    /// # Errors
    ///
    /// The outcome of the command if the file can't be read or has errors.
    pub fn read_settings(&self) -> Result<Settings, Outcome> {
        let name = self.settings.display().to_string();
        let text = std::fs::read_to_string(&self.settings)
            .map_err(|error| Outcome::failure(Exit::Failed, format!("{name}: {error}")))?;
        Settings::parse(&name, &text)
            .map_err(|findings| Outcome::failure(Exit::Findings, findings.to_string()))
    }

    /// Whether to check the settings without running.
    pub fn check_only(&self) -> bool {
        self.check
    }
}
