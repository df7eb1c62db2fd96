//! The order in which waiting steps are placed.

use crate::{
    jobs::{config::Queue, model::StepKey, outlook::Outlook, state::Job},
    resources::Resources,
    time::WallTime,
};

/// The rank of a step; smaller ranks are placed first.
///
/// Tasks that have run and last until their job is cancelled come first: their users wait for them. The
/// smallest of them come first: in a full service what becomes free is rarely enough for a large one.
/// Next, in the order of the queues' priorities, come jobs that end and can still be of use, and
/// then tasks that last and haven't run yet. These keep their processors for minutes, so they take
/// what the others leave; the other way round, a full service would run no short job at all.
///
/// Under overload, jobs that can still meet their objective come first, and among them those with
/// the least remaining work. This lets the most jobs meet their objectives. Jobs that are overdue
/// wait for free capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// What kind of tasks it has.
    pub class: Class,
    /// Whether the job can still meet its objective; long-running jobs always can.
    pub lateness: Lateness,
    /// The remaining work of the occurrence, in milliseconds of one processor. For
    /// [`Class::Restarted`], the dominant share of a task in the service's largest worker, in millionths.
    pub size: u64,
}

/// The kind of a step's tasks, with the priority of its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Long-running tasks of which at least one has run.
    Restarted,
    /// Tasks of queues with this priority.
    Queued(u32, Tenure),
}

/// How long the tasks of a step keep their resources, and whether anybody waits for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tenure {
    /// The tasks end, and their job can still be of use.
    Short,
    /// The tasks run until their job is cancelled.
    Long,
    /// The tasks end, and their job is overdue.
    Overdue,
}

/// How the expected completion of a job compares with its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lateness {
    /// Within its objective.
    InTime,
    /// Within three times its objective.
    Late,
    /// Later than that.
    Overdue,
}

/// A job that takes more than this many times its objective is overdue: customers have no use for
/// its result any more.
const LATE_FACTOR: u64 = 3;

/// Estimates are assumed to be wrong by at most the objective divided by this.
const TOLERANCE_DIVISOR: u64 = 10;

/// The rank of a step. `outlook` is that of its occurrence.
///
/// `largest` is the most of each resource that a worker of the service has.
pub(crate) fn rank(
    job: &Job,
    queue: &Queue,
    step: &StepKey,
    outlook: &Outlook,
    largest: &Resources,
    wall: WallTime,
) -> Rank {
    let spec = job.spec.steps.get(usize::from(step.step));
    let long_running = spec.is_some_and(|spec| spec.options.long_running);
    let begin = job.spec.due(step.occurrence).unwrap_or(job.accepted);
    let Outlook { objective, remaining } = *outlook;
    let done = wall.0.saturating_add(remaining.critical_path);
    let tolerance = objective / TOLERANCE_DIVISOR;
    let within = |times: u64| {
        let allowed = objective.saturating_mul(times).saturating_add(tolerance);
        done <= begin.0.saturating_add(allowed)
    };
    let lateness = match () {
        () if within(1) => Lateness::InTime,
        () if within(LATE_FACTOR) => Lateness::Late,
        () => Lateness::Overdue,
    };
    let class = match (long_running, lateness) {
        (true, _) if job.has_run(step) => Class::Restarted,
        (true, _) => Class::Queued(queue.priority, Tenure::Long),
        (false, Lateness::InTime | Lateness::Late) => Class::Queued(queue.priority, Tenure::Short),
        (false, Lateness::Overdue) => Class::Queued(queue.priority, Tenure::Overdue),
    };
    let lateness = if long_running { Lateness::InTime } else { lateness };
    let size = match class {
        Class::Restarted => {
            spec.map_or(0, |spec| (spec.needs.dominant_share(largest) * 1e6) as u64)
        }
        Class::Queued(..) => remaining.work,
    };
    Rank { class, lateness, size }
}
