//! The exit codes of the commands.

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// A local failure, such as an unreadable file, or an error without a code of its own.
    Failed,
    /// The command line or the request is invalid.
    Usage,
    /// A file has errors, and nothing was changed.
    Findings,
    /// The work didn't run.
    NotRun,
    /// It isn't known whether the work ran.
    Unknown,
    /// The change or request conflicts with an earlier one.
    Conflict,
    /// The credential is unknown, or lacks the permission.
    Denied,
    /// The item doesn't exist.
    NotFound,
    /// A configuration has errors.
    ConfigErrors,
    /// A configuration has warnings, and no errors.
    ConfigWarnings,
    /// A configuration only differs from the one in force.
    ConfigDifferences,
}

impl Exit {
    /// The exit code of the process.
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Findings => 3,
            Self::NotRun => 4,
            Self::Unknown => 5,
            Self::Conflict => 6,
            Self::Denied => 7,
            Self::NotFound => 8,
            Self::ConfigErrors => 9,
            Self::ConfigWarnings => 10,
            Self::ConfigDifferences => 11,
        }
    }
}
