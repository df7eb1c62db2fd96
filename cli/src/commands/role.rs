//! What the commands that run an instance of a deployment share.

use std::path::PathBuf;

use clap::Args as ClapArgs;
use hickorylink_runtime::settings::{SETTINGS_ENV, Settings};

use crate::{client::Outcome, exit::Exit};

/// What an instance of a deployment is told on the command line.
#[derive(ClapArgs, Debug)]
pub struct Args {
    /// The settings, in JSON with comments
    #[arg(long, env = SETTINGS_ENV)]
    settings: PathBuf,

    /// Report everything that is wrong in the settings, and don't run
    #[arg(long)]
    check: bool,
}

impl Args {
    /// Reads the settings.
    ///
    /// # Errors
    ///
    /// What the command ends with if they can't be read.
    pub fn read_settings(&self) -> Result<Settings, Outcome> {
        let name = self.settings.display().to_string();
        let text = std::fs::read_to_string(&self.settings)
            .map_err(|error| Outcome::failure(Exit::Failed, format!("{name}: {error}")))?;
        Settings::parse(&name, &text)
            .map_err(|findings| Outcome::failure(Exit::Findings, findings.to_string()))
    }

    /// Whether the settings are only to be checked.
    pub fn check_only(&self) -> bool {
        self.check
    }
}
