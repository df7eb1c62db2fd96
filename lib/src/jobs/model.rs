//! What a job is made of.

use std::{fmt, sync::Arc};

use crate::{data, key, name, resources::Resources, time::WallTime};

key! {
    /// A job, by the number that its customer chose.
    pub struct JobId(u64);
    /// The number of a start of a task; a later start has a larger number.
    pub struct Run(u32);
    /// One incarnation of a worker, numbered by the controllers.
    pub struct WorkerNumber(u32);
}

name! {
    /// A queue of the configuration.
    pub struct QueueName;
    /// What the tasks of a step execute; tasks of the same image behave alike.
    pub struct Image;
    /// A property of a worker that a step may require.
    pub struct Label;
}

/// Digits of a job's number as text.
const JOB_DIGITS: usize = 16;

impl JobId {
    /// Reads 16 hexadecimal digits in lower case.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
        if text.len() != JOB_DIGITS || !digits {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(Self)
    }

    /// The number as its customer wrote it.
    pub fn hex(self) -> String {
        format!("{:016x}", self.0)
    }
}

/// A task: one of a step's tasks in one occurrence of a job.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// The occurrence; 0 for a job that isn't repeated.
    pub occurrence: u32,
    /// The step.
    pub step: u16,
    /// The task's place in the step.
    pub index: u32,
}

impl TaskKey {
    /// The step that the task belongs to.
    pub fn step_key(&self) -> StepKey {
        StepKey { job: self.job, occurrence: self.occurrence, step: self.step }
    }

    /// Reads the form that [`Display`](fmt::Display) writes.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let job = JobId::parse(parts.next()?)?;
        let occurrence = parts.next()?.parse().ok()?;
        let step = parts.next()?.parse().ok()?;
        let index = parts.next()?.parse().ok()?;
        parts.next().is_none().then_some(Self { job, occurrence, step, index })
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{}.{}.{}", self.job.0, self.occurrence, self.step, self.index)
    }
}

/// A step of a job in one occurrence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepKey {
    /// The job.
    pub job: JobId,
    /// The occurrence.
    pub occurrence: u32,
    /// The step.
    pub step: u16,
}

impl StepKey {
    /// One of the step's tasks.
    pub fn task(&self, index: u32) -> TaskKey {
        TaskKey { job: self.job, occurrence: self.occurrence, step: self.step, index }
    }
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{}.{}", self.job.0, self.occurrence, self.step)
    }
}

data! {
    /// A job as its customer submits it.
    pub struct JobSpec {
        /// Handed to every task as it is.
        pub text: Arc<str>,
        /// The steps; a step depends only on earlier ones.
        pub steps: Vec<Step>,
        /// When the job is repeated, if it is.
        pub schedule: Option<Schedule>,
    }

    /// When the occurrences of a repeated job are due.
    #[derive(Copy)]
    pub struct Schedule {
        /// The first occurrence.
        pub first: WallTime,
        /// The time between two occurrences, in milliseconds.
        pub every: u64,
        /// How many there are.
        pub times: u32,
    }

    /// A group of equal tasks.
    pub struct Step {
        /// How many tasks.
        pub count: u32,
        /// What each task needs. The processors of a filling step are wishes, not a reservation.
        pub needs: Resources,
        /// The customer's estimate of a task's duration, in milliseconds.
        pub estimate: u64,
        /// Steps whose tasks must be done first.
        pub after: Vec<u16>,
        /// A label that the worker must have.
        pub label: Option<Label>,
        /// The rack that holds the data; elsewhere tasks take longer.
        pub rack: Option<Label>,
        /// How many tasks of an occurrence may share a worker; nothing for no bound.
        pub spread: Option<u32>,
        /// What the tasks execute.
        pub image: Option<Image>,
        /// The bound on the response times of tasks that serve users, in milliseconds.
        pub target_latency: Option<u64>,
        /// How the tasks start, run and end.
        pub options: StepOptions,
    }

    /// Properties of a step that may be combined.
    #[derive(Copy, Default)]
    pub struct StepOptions {
        /// The tasks work only together.
        pub gang: bool,
        /// The tasks take longer when they run on more than one rack.
        pub rack_sensitive: bool,
        /// The tasks save their progress.
        pub checkpoints: bool,
        /// Copies of a task may run at the same time.
        pub speculative: bool,
        /// The tasks run until the job is cancelled.
        pub long_running: bool,
        /// The tasks use what others leave of a worker's processors.
        pub opportunistic: bool,
        /// How many tasks of a long-running step may be disrupted at a time.
        pub disruptable: u32,
    }
}

impl Step {
    /// What a task reserves on its worker.
    pub fn reserved(&self) -> Resources {
        let millicores = if self.options.opportunistic { 0 } else { self.needs.millicores };
        Resources { millicores, ..self.needs }
    }

    /// Whether the tasks serve users, whose response times matter.
    pub fn serves(&self) -> bool {
        self.options.long_running && self.target_latency.is_some()
    }
}

impl JobSpec {
    /// The duration of the longest chain of steps by the customer's estimates, in milliseconds.
    pub fn critical_path(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begin = step.after.iter().filter_map(|at| ends.get(usize::from(*at))).max();
            ends.push(begin.copied().unwrap_or(0) + step.estimate);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// What makes the job impossible to carry out as it is written, if anything.
    pub fn validation_error(&self) -> Option<String> {
        if self.steps.is_empty() {
            return Some("a job has at least one step".to_owned());
        }
        if self.schedule.is_some_and(|schedule| schedule.times > 1 && schedule.every == 0) {
            return Some("a repeated job needs a time between occurrences".to_owned());
        }
        let steps = self.steps.iter().enumerate();
        steps.filter_map(|(at, step)| step.validation_error(at)).next()
    }

    /// How many occurrences there are.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }

    /// When an occurrence is due; nothing for a job that starts at once.
    pub fn due(&self, occurrence: u32) -> Option<WallTime> {
        let schedule = self.schedule?;
        Some(WallTime(schedule.first.0 + u64::from(occurrence) * schedule.every))
    }
}

/// The most tasks that one step may have.
const STEP_TASKS: u32 = 100_000;

impl Step {
    fn validation_error(&self, at: usize) -> Option<String> {
        if self.count == 0 || self.count > STEP_TASKS {
            return Some(format!("step {at} has {} tasks, not 1 to {STEP_TASKS}", self.count));
        }
        let later = self.after.iter().find(|before| usize::from(**before) >= at)?;
        Some(format!("step {at} depends on step {later}, which isn't an earlier one"))
    }
}
