//! What the controllers agree on. Applying the same records in the same order gives the same
//! state everywhere.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use snafu::ResultExt as _;

use crate::{
    codec::{DecodeError, MalformedSnafu, append},
    data,
    ids::{Incarnation, InstanceId, WorkerName},
    jobs::{
        config::{Config, Queue},
        lifecycle::{JobEvent, JobPhase, TaskEvent, TaskPhase},
        model::{JobId, JobSpec, QueueName, Run, Step, StepKey, TaskKey, WorkerNumber},
        progress::Input,
        record::{Ending, Node, Record},
    },
    time::WallTime,
};

data! {
    /// The agreed state.
    #[derive(Default)]
    pub struct State {
        /// The configuration in force.
        pub config: Option<Arc<Config>>,
        /// All jobs that aren't forgotten.
        pub jobs: BTreeMap<JobId, Job>,
        /// The incarnations of workers that may run something.
        pub workers: BTreeMap<WorkerNumber, WorkerIncarnation>,
        /// The controllers.
        pub nodes: BTreeMap<InstanceId, Node>,
        /// For each queue, its jobs of which no task has started.
        pub pending: BTreeMap<QueueName, u32>,
        /// The largest number that a worker was given.
        pub last_worker: WorkerNumber,
    }

    /// An incarnation of a worker.
    pub struct WorkerIncarnation {
        /// The worker.
        pub name: WorkerName,
        /// Its incarnation.
        pub incarnation: Incarnation,
    }

    /// A job and its progress.
    pub struct Job {
        /// Its queue.
        pub queue: QueueName,
        /// When it was accepted.
        pub accepted: WallTime,
        /// What was submitted.
        pub spec: Arc<JobSpec>,
        /// Where it stands.
        pub phase: JobPhase,
        /// The occurrences that have begun.
        pub occurrences: BTreeMap<u32, Occurrence>,
        /// How many occurrences are done.
        pub done: u32,
    }

    /// An occurrence of a job.
    pub struct Occurrence {
        /// Its steps.
        pub steps: Vec<Progress>,
    }

    /// How far a step is.
    pub struct Progress {
        /// Its tasks.
        pub tasks: Vec<Task>,
        /// How many of them are done.
        pub done: u32,
    }

    /// A task's runs.
    #[derive(Default)]
    pub struct Task {
        /// Where it stands.
        pub phase: TaskPhase,
        /// The last run that was recorded.
        pub run: Run,
        /// That run's worker.
        pub worker: WorkerNumber,
        /// How many runs have failed.
        pub failed: u32,
        /// The last progress that was saved; empty if there is none.
        pub checkpoint: Box<str>,
    }
}

/// What a record brought about, for the controller that leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Tasks of the step may start.
    Ready(StepKey),
    /// The job has ended; its runs are to be stopped.
    Ended(JobId),
    /// A job was accepted.
    Accepted(JobId),
}

impl State {
    /// Reads the state from a snapshot.
    ///
    /// # Errors
    ///
    /// The bytes are damaged.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        postcard::from_bytes(bytes).context(MalformedSnafu)
    }

    /// The state as bytes for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        append(Vec::new(), self)
    }

    /// The queue of a job, if the configuration still has it.
    pub fn queue_of(&self, job: &Job) -> Option<&Queue> {
        self.config.as_ref()?.queue(&job.queue)
    }

    /// A task, if its occurrence has begun.
    pub fn task(&self, key: &TaskKey) -> Option<&Task> {
        let progress = self.progress(&key.step_key())?;
        progress.tasks.get(usize::try_from(key.index).ok()?)
    }

    /// A step's progress, if its occurrence has begun.
    pub fn progress(&self, key: &StepKey) -> Option<&Progress> {
        let occurrence = self.jobs.get(&key.job)?.occurrences.get(&key.occurrence)?;
        occurrence.steps.get(usize::from(key.step))
    }

    /// What was submitted of a step.
    pub fn step(&self, key: &StepKey) -> Option<&Step> {
        self.jobs.get(&key.job)?.spec.steps.get(usize::from(key.step))
    }

    /// Takes a record into effect and adds what it brings about to `changes`.
    pub fn apply(&mut self, record: &Record, changes: &mut Vec<Change>) {
        match record {
            Record::Configure(config) => self.configure(config),
            Record::Submit { id, queue, at, spec } => self.submit(*id, queue, *at, spec, changes),
            Record::Cancel { id } => self.end_job(*id, JobEvent::Cancel, changes),
            Record::AddWorker { number, name, incarnation } => {
                self.last_worker = self.last_worker.max(*number);
                self.workers.insert(
                    *number,
                    WorkerIncarnation { name: name.clone(), incarnation: *incarnation },
                );
            }
            Record::RemoveWorker { worker } => self.lose_worker(*worker, changes),
            Record::Start { task, run, worker } => self.start(*task, *run, *worker),
            Record::End { task, run, ending, checkpoint } => {
                self.end_run(*task, *run, *ending, checkpoint, changes);
            }
            Record::Node(node) => {
                self.nodes.insert(node.id, node.clone());
            }
            Record::Forget { jobs } => {
                for id in jobs {
                    self.jobs.remove(id);
                }
            }
        }
    }

    /// The steps of which tasks may start, by what is recorded; an occurrence's due time isn't
    /// looked at.
    pub fn ready_steps(&self, id: JobId, occurrence: u32) -> Vec<StepKey> {
        let Some(job) = self.jobs.get(&id).filter(|job| job.phase.is_open()) else {
            return Vec::new();
        };
        let steps = 0..job.spec.steps.len();
        let key =
            |step| StepKey { job: id, occurrence, step: u16::try_from(step).unwrap_or(u16::MAX) };
        steps.map(key).filter(|key| job.is_ready(key)).collect()
    }

    fn configure(&mut self, config: &Config) {
        if self.config.as_ref().is_none_or(|held| held.version < config.version) {
            self.config = Some(Arc::new(config.clone()));
        }
    }

    fn submit(
        &mut self,
        id: JobId,
        queue: &QueueName,
        at: WallTime,
        spec: &JobSpec,
        changes: &mut Vec<Change>,
    ) {
        if self.jobs.contains_key(&id) {
            return;
        }
        let job = Job {
            queue: queue.clone(),
            accepted: at,
            spec: Arc::new(spec.clone()),
            phase: JobPhase::Queued,
            occurrences: BTreeMap::new(),
            done: 0,
        };
        self.jobs.insert(id, job);
        *self.pending.entry(queue.clone()).or_default() += 1;
        changes.push(Change::Accepted(id));
    }

    fn start(&mut self, key: TaskKey, run: Run, worker: WorkerNumber) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        if !job.phase.is_open() {
            return;
        }
        let queued = job.phase == JobPhase::Queued;
        job.step_chart(JobEvent::Start);
        if queued {
            let queue = job.queue.clone();
            self.started(&queue);
        }
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        if let Some(task) = job.task_mut(&key) {
            let input = Input { event: TaskEvent::Start, run, worker, checkpoint: "" };
            task.step_chart(&input);
        }
    }

    fn started(&mut self, queue: &QueueName) {
        if let Some(pending) = self.pending.get_mut(queue) {
            *pending = pending.saturating_sub(1);
        }
    }

    fn end_run(
        &mut self,
        key: TaskKey,
        run: Run,
        ending: Ending,
        checkpoint: &str,
        changes: &mut Vec<Change>,
    ) {
        let max_attempts = self.max_attempts(key.job);
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(step) = job.spec.steps.get(usize::from(key.step)) else { return };
        let (gang, lasting) = (step.options.gang, step.options.long_running);
        let event = match ending {
            // Long-running tasks start again however they end, without a bound.
            Ending::Done if lasting => TaskEvent::Interrupted,
            Ending::Done => TaskEvent::Done,
            Ending::Failed if lasting => TaskEvent::Interrupted,
            Ending::Failed => TaskEvent::Failed,
            Ending::Stopped
            | Ending::LeaseExpired
            | Ending::GangBroken
            | Ending::GangIncomplete
            | Ending::Refused => TaskEvent::Interrupted,
        };
        // One member's end as done stands for its whole gang.
        let indexes = if gang && ending == Ending::Done {
            0..step.count
        } else {
            key.index..key.index.saturating_add(1)
        };
        let mut failed = 0;
        let mut moved = false;
        for index in indexes {
            let member = TaskKey { index, ..key };
            let Some(task) = job.task_mut(&member) else { continue };
            let input = Input { event, run, worker: task.worker, checkpoint };
            moved |= task.step_chart(&input);
            failed = failed.max(task.failed);
        }
        if !moved {
            return;
        }
        job.recount(&key.step_key());
        if failed >= max_attempts {
            self.end_job(key.job, JobEvent::Exhaust, changes);
            return;
        }
        self.follow_up(&key.step_key(), event, changes);
    }

    /// Notes which steps may go on after a run's end.
    fn follow_up(&mut self, key: &StepKey, event: TaskEvent, changes: &mut Vec<Change>) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        if event != TaskEvent::Done {
            changes.push(Change::Ready(*key));
            return;
        }
        if !job.is_done(key) {
            return;
        }
        if job.finish_occurrence(key.occurrence) {
            self.end_job(key.job, JobEvent::Finish, changes);
            return;
        }
        let steps = job.spec.steps.iter().enumerate();
        let next = steps.filter(|(_, step)| step.after.contains(&key.step));
        for (at, _) in next {
            let next = StepKey { step: u16::try_from(at).unwrap_or(u16::MAX), ..*key };
            if job.is_ready(&next) {
                changes.push(Change::Ready(next));
            }
        }
    }

    /// How often a task of the job may fail.
    fn max_attempts(&self, id: JobId) -> u32 {
        let job = self.jobs.get(&id);
        job.and_then(|job| self.queue_of(job)).map_or(u32::MAX, |queue| queue.max_attempts.max(1))
    }

    fn end_job(&mut self, id: JobId, event: JobEvent, changes: &mut Vec<Change>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let before = job.phase;
        job.step_chart(event);
        if !before.is_open() || job.phase.is_open() {
            return;
        }
        changes.push(Change::Ended(id));
        if before == JobPhase::Queued {
            let queue = job.queue.clone();
            self.started(&queue);
        }
    }

    fn lose_worker(&mut self, worker: WorkerNumber, changes: &mut Vec<Change>) {
        if self.workers.remove(&worker).is_none() {
            return;
        }
        let mut lost = BTreeSet::new();
        for (id, job) in &mut self.jobs {
            for (occurrence, progress) in &mut job.occurrences {
                for (at, step) in progress.steps.iter_mut().enumerate() {
                    if step.lose(worker) && job.phase.is_open() {
                        let step = u16::try_from(at).unwrap_or(u16::MAX);
                        lost.insert(StepKey { job: *id, occurrence: *occurrence, step });
                    }
                }
            }
        }
        changes.extend(lost.into_iter().map(Change::Ready));
    }
}
