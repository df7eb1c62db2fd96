//! Exit codes, for scripts.

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// It was done.
    Done,
    /// Something went wrong in this program or on this machine.
    Failed,
    /// The command line is wrong.
    Usage,
    /// A file has findings, and nothing was changed.
    Findings,
    /// The work did not run.
    NotRun,
    /// It isn't known whether the work ran.
    Unknown,
    /// Something else stands.
    Conflict,
    /// The credential isn't known, or may not do this.
    Denied,
    /// There is no such thing.
    NotFound,
}

impl Exit {
    /// The number that the process ends with.
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
        }
    }
}
