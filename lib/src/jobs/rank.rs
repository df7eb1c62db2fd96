//! The order in which steps that wait get their places.

use crate::{
    jobs::{config::Queue, model::StepKey, state::Job},
    time::WallTime,
};

/// The order in which steps get places: smaller first.
///
/// Under overload, what can still be done in time and has the least work left goes first: that
/// lets the most jobs end within their objectives. What is late anyway waits for room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Long-running steps, then queues by their priority.
    pub class: u32,
    /// Whether the job can still be done in time.
    pub outlook: Outlook,
    /// The job's work that is left, in milliseconds of a processor.
    pub work: u64,
}

/// Whether a job can still be done in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outlook {
    /// Within its objective.
    InTime,
    /// Within three times its objective.
    Late,
    /// Not even that.
    Overdue,
}

/// A step that waits for places.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Queued {
    pub(crate) rank: Rank,
    /// Since when, by the wall clock.
    pub(crate) since: WallTime,
}

/// How many times its objective a job may take and still be worth something.
const LATE: u64 = 3;

/// The part of an objective by which estimates may be off, as a divisor.
const TOLERANCE: u64 = 10;

/// Where a step of a job stands in the queue.
pub(crate) fn rank(job: &Job, queue: &Queue, step: &StepKey, wall: WallTime) -> Rank {
    let long = job.spec.steps.get(usize::from(step.step)).is_some_and(|s| s.options.long_running);
    let begin = job.spec.due(step.occurrence).unwrap_or(job.accepted);
    let objective = queue.objective(job.spec.critical_path());
    let remaining = job.remaining(step.occurrence);
    let done = wall.0 + remaining.critical_path;
    let within = |times: u64| done <= begin.0 + objective * times + objective / TOLERANCE;
    let outlook = match () {
        () if within(1) => Outlook::InTime,
        () if within(LATE) => Outlook::Late,
        () => Outlook::Overdue,
    };
    let class = if long { 0 } else { queue.priority.saturating_add(1) };
    Rank { class, outlook, work: remaining.work }
}
