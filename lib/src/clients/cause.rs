//! Why a client is refused or its connection closed.

/// Why a client is refused or its connection closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// The listener's connections are used up.
    Connections,
    /// The listener's bytes are used up.
    Bytes,
    /// The head of a request took too long.
    Head,
    /// The body of a request took too long, or made no progress.
    Body,
    /// The client didn't read a response.
    Write,
    /// The connection was idle for too long.
    Idle,
    /// The body is larger than the limit of its path.
    TooLarge,
    /// The time for which the client waits had passed when the request was read.
    Expired,
}

impl Cause {
    /// All causes.
    pub const ALL: [Self; 8] = [
        Self::Connections,
        Self::Bytes,
        Self::Head,
        Self::Body,
        Self::Write,
        Self::Idle,
        Self::TooLarge,
        Self::Expired,
    ];

    /// The name in metrics and in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Bytes => "bytes",
            Self::Head => "head_timeout",
            Self::Body => "body_timeout",
            Self::Write => "write_timeout",
            Self::Idle => "idle_timeout",
            Self::TooLarge => "too_large",
            Self::Expired => "expired",
        }
    }
}
