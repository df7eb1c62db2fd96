//! The job model: jobs, steps and tasks, and their keys.

use std::{fmt, ops::RangeInclusive, sync::Arc};

use crate::{data, key, name, resources::Resources, time::WallTime};

key! {
    /// The identifier of a job, chosen by the customer.
    pub struct JobId(u64);
    /// The number of a task's run. Every start of a task has a larger number than the one before.
    pub struct Run(u32);
    /// The number that the controllers assign to one incarnation of a worker.
    pub struct WorkerNumber(u32);
}

name! {
    /// The name of a queue in the configuration.
    pub struct QueueName;
    /// The image that the tasks of a step execute. Tasks of the same image are assumed to behave
    /// alike.
    pub struct Image;
    /// A property of a worker that a step can require.
    pub struct Label;
}

/// The number of hexadecimal digits of a job identifier.
const JOB_DIGITS: usize = 16;

impl JobId {
    /// Parses 16 lower-case hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
        if text.len() != JOB_DIGITS || !digits {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(Self)
    }

    /// The range of its steps, of all occurrences.
    pub fn steps(self) -> RangeInclusive<StepKey> {
        let first = StepKey { job: self, occurrence: 0, step: 0 };
        first..=StepKey { job: self, occurrence: u32::MAX, step: u16::MAX }
    }

    /// The range of its tasks, of all occurrences.
    pub fn tasks(self) -> RangeInclusive<TaskKey> {
        self.steps().start().task(0)..=self.steps().end().task(u32::MAX)
    }

    /// The identifier as 16 hexadecimal digits.
    pub fn hex(self) -> String {
        format!("{:016x}", self.0)
    }
}

/// The key of a task: its position in a step of one occurrence of a job.
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
    /// The index of the task in the step.
    pub index: u32,
}

impl TaskKey {
    /// The key of the step that the task belongs to.
    pub fn step_key(&self) -> StepKey {
        StepKey { job: self.job, occurrence: self.occurrence, step: self.step }
    }

    /// Parses the form that [`Display`](fmt::Display) writes.
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

/// The key of a step in one occurrence of a job.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct StepKey {
    /// The job.
    pub job: JobId,
    /// The occurrence.
    pub occurrence: u32,
    /// The step.
    pub step: u16,
}

impl StepKey {
    /// The key of one of the step's tasks.
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
    /// A job as submitted by its customer.
    pub struct JobSpec {
        /// The payload, passed unchanged to every task.
        pub text: Arc<str>,
        /// The steps. A step depends only on earlier ones.
        pub steps: Vec<Step>,
        /// The schedule of a repeated job.
        pub schedule: Option<Schedule>,
    }

    /// When the occurrences of a repeated job are due.
    #[derive(Copy)]
    pub struct Schedule {
        /// When the first occurrence is due.
        pub first: WallTime,
        /// The interval between two occurrences, in milliseconds.
        pub every: u64,
        /// The number of occurrences.
        pub times: u32,
    }

    /// A group of identical tasks.
    pub struct Step {
        /// The number of tasks.
        pub count: u32,
        /// The resources that each task needs. The processors of an opportunistic step are
        /// requested but not reserved.
        pub needs: Resources,
        /// The customer's estimate of a task's duration, in milliseconds.
        pub estimate: u64,
        /// The steps that must be done before this one starts.
        pub after: Vec<u16>,
        /// A label that the worker must have.
        pub label: Option<Label>,
        /// The rack that holds the input data; tasks on other racks take longer.
        pub rack: Option<Label>,
        /// The maximum number of tasks of one occurrence on a worker; `None` for no limit.
        pub spread: Option<u32>,
        /// The image that the tasks execute.
        pub image: Option<Image>,
        /// The target latency of serving tasks, in milliseconds.
        pub target_latency: Option<u64>,
        /// The options of the step.
        pub options: StepOptions,
    }

    /// Options of a step; they can be combined.
    #[derive(Copy, Default)]
    pub struct StepOptions {
        /// All tasks start together and need each other.
        pub gang: bool,
        /// The tasks take longer if they run on more than one rack.
        pub rack_sensitive: bool,
        /// The tasks save checkpoints.
        pub checkpoints: bool,
        /// A task may run in several copies at the same time.
        pub speculative: bool,
        /// The tasks run until the job is cancelled.
        pub long_running: bool,
        /// The tasks reserve no processors and use those that are idle.
        pub opportunistic: bool,
        /// How many tasks of a long-running step may be disrupted at the same time.
        pub disruptable: u32,
    }
}

impl Step {
    /// The resources that a task reserves on its worker.
    pub fn reserved(&self) -> Resources {
        let millicores = if self.options.opportunistic { 0 } else { self.needs.millicores };
        Resources { millicores, ..self.needs }
    }

    /// Whether these are serving tasks: long-running, with a target latency.
    pub fn serves(&self) -> bool {
        self.options.long_running && self.target_latency.is_some()
    }
}

impl JobSpec {
    /// The length of the critical path by the customer's estimates, in milliseconds.
    pub fn critical_path(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begin = step.after.iter().filter_map(|at| ends.get(usize::from(*at))).max();
            ends.push(begin.copied().unwrap_or(0).saturating_add(step.estimate));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns why the job can't be accepted, or `None` if it is valid.
    pub fn validation_error(&self) -> Option<String> {
        if self.steps.is_empty() {
            return Some("a job has at least one step".to_owned());
        }
        if self.schedule.is_some_and(|schedule| schedule.times > 1 && schedule.every == 0) {
            return Some("a repeated job needs a time between occurrences".to_owned());
        }
        if self.tasks() > MAX_JOB_TASKS || self.steps.len() > usize::from(u16::MAX) {
            let (steps, tasks) = (self.steps.len(), self.tasks());
            return Some(format!("{steps} steps with {tasks} tasks exceed {MAX_JOB_TASKS} tasks"));
        }
        let steps = self.steps.iter().enumerate();
        steps.filter_map(|(at, step)| step.validation_error(at)).next()
    }

    /// About how many bytes the specification takes in memory.
    pub fn memory_bytes(&self) -> u64 {
        let lists: usize = self.steps.iter().map(|step| 2 * step.after.capacity()).sum();
        let steps = self.steps.capacity() * size_of::<Step>();
        // Labels and images are short.
        (self.text.len() + steps + lists) as u64
    }

    /// The number of tasks of one occurrence.
    pub fn tasks(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// How many unfinished occurrences may be in progress or queued at a time.
    pub fn max_unfinished(&self) -> u32 {
        let fitting = MAX_JOB_TASKS / self.tasks().max(1);
        u32::try_from(fitting).unwrap_or(u32::MAX).clamp(1, MAX_UNFINISHED)
    }

    /// The number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }

    /// When an occurrence is due; `None` for a job that starts at once.
    pub fn due(&self, occurrence: u32) -> Option<WallTime> {
        let schedule = self.schedule?;
        let after = u64::from(occurrence).saturating_mul(schedule.every);
        Some(WallTime(schedule.first.0.saturating_add(after)))
    }
}

/// The maximum number of tasks in a step.
const MAX_STEP_TASKS: u32 = 100_000;

/// The maximum number of tasks in one occurrence of a job, and in all its occurrences that are
/// unfinished, unless there is only one.
const MAX_JOB_TASKS: u64 = 200_000;

/// The maximum number of occurrences of a job that are unfinished at a time.
const MAX_UNFINISHED: u32 = 256;

impl Step {
    fn validation_error(&self, at: usize) -> Option<String> {
        if self.count == 0 || self.count > MAX_STEP_TASKS {
            return Some(format!("step {at} has {} tasks, not 1 to {MAX_STEP_TASKS}", self.count));
        }
        if !Resources::LARGEST_WORKER.fits(&self.needs) {
            return Some(format!("a task of step {at} needs more than any worker has"));
        }
        let later = self.after.iter().find(|before| usize::from(**before) >= at)?;
        Some(format!("step {at} depends on step {later}, which isn't an earlier one"))
    }
}
