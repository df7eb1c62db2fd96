//! The work that a leader does in a turn, counted and not timed.

/// The numbers of items that a leader looked at in one turn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TurnWork {
    /// Steps of new jobs, and of all jobs after a takeover, that may have to be queued.
    pub examined: usize,
    /// Steps over which outlooks were computed.
    pub estimated: usize,
    /// Waiting steps whose rank was computed again.
    pub ranked: usize,
    /// Waiting steps that were considered for placement.
    pub considered: usize,
    /// Workers that were evaluated for tasks, and tasks that were collected for it.
    pub evaluated: usize,
}

impl TurnWork {
    /// The sum of all numbers.
    pub fn total(&self) -> usize {
        let Self { examined, estimated, ranked, considered, evaluated } = self;
        examined + estimated + ranked + considered + evaluated
    }
}
